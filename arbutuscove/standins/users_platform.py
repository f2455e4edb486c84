"""A small stand-in of the users' platform: its store, servers and operator.

It speaks the dialect that `arbutuscove.platform` translates, keeps a record of
every run, and fails on command. Times are short, so that tests need seconds.
"""

import dataclasses
import errno
import time
import typing
from collections import abc

import gevent
import msgspec
from gevent import pywsgi

from arbutuscove.standins import users_store

STALL_SECONDS = 1.5  # a group whose member died is broken after this time
HEARTBEAT_SECONDS = 0.3
LAPSE_SECONDS = 0.9  # an entry without a heartbeat goes away
WARM_SECONDS = 0.1
LOAD_SECONDS = 0.4
EVENT_SECONDS = 0.02  # pause between two events of a stream
EVENTS_PER_STREAM = 8  # events of each stream
QUEUE_LIMIT = 4  # requests of a plain server beyond its slots
STAMP = "X-Server-Stamp"

StartResponse = abc.Callable[..., typing.Any]
Environ = dict[str, typing.Any]
Reply = users_store.Reply


class _Server(pywsgi.WSGIServer):
    """A server without logs whose open connections can be silenced."""

    def __init__(self, host: str, port: int, app: typing.Any) -> None:
        super().__init__((host, port), app, log=None, error_log=None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One run of a request, as the server recorded it."""

    request_id: str
    server: str
    service: str
    account: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A promise that the server saw broken."""

    name: str
    detail: str


class Server:
    """One server: a member of groups, or a plain one without a domain."""

    def __init__(
        self,
        platform: "UsersPlatform",
        name: str,
        service: str,
        address: tuple[str, int],
        domain: str = "",
        advertised: tuple[str, int] | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self.advertised = advertised or address
        self.service = service
        self.domain = domain
        self.is_alive = True
        self.is_refusing = False  # answers 503, not run
        self.silent_health = False
        self.failure_period = 0  # each n-th request gets the server's own 500
        self.leaving = False
        self._platform = platform
        self._requests = 0
        self._server: _Server | None = None
        self._reset()
        self.start()

    def start(self) -> None:
        """Starts, or starts again without any memory."""
        self._reset()
        self.is_alive = True
        self._server = _Server(*self.address, self)
        self._server.start()

    def crash(self) -> None:
        """Ends without a word; open connections fall silent."""
        self.is_alive = False
        if self._server is not None:
            self._server.close()

    def _reset(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.accepted = 0
        self.fence = -1
        self.group: dict[str, typing.Any] | None = None
        self.members: tuple[str, ...] = ()
        self.running = 0
        self.ready_at = 0.0
        self.stalled_at: float | None = None
        self.last_model = ""
        self.staged: tuple[str, ...] = ()

    def describe(self) -> dict[str, typing.Any]:
        """Returns what it says of itself; the group's state as of now."""
        group = self.group
        if group is not None:
            loaded = time.monotonic() >= self.ready_at
            if group["state"] == "joining" and loaded:
                group["state"] = "ready"
                self.staged = (self.last_model,)
        entry: dict[str, typing.Any] = {"born": self.born, "models": []}
        if self.domain:
            entry |= {"domain": self.domain, "staged": self.staged}
        if group is not None:
            entry["group"] = dict(group)
        return entry

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        """Serves one call."""
        self._hang_if_dead()
        body = environ["wsgi.input"].read()
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", self.name)
        if expected != self.name:
            fields = [("Content-Length", "0"), ("X-Instance-Id", self.name)]
            start_response("421 -", fields)
            return []
        match environ["PATH_INFO"]:
            case "/report":
                report = self.describe() | {"sequence": self.accepted}
                return users_store.send_json(start_response, (200, report))
            case "/order":
                reply = self._order(msgspec.json.decode(body))
                return users_store.send_json(start_response, reply)
        return self._run(environ, body, start_response)

    def _hang_if_dead(self) -> None:
        while not self.is_alive:
            gevent.sleep(0.05)
            if self._platform.stopped:
                raise ConnectionResetError(errno.ECONNRESET, "stopped")

    def _order(self, order: dict[str, typing.Any]) -> Reply:
        if order["fence"] < self.fence:
            return 412, {}
        self.fence = order["fence"]
        if order["expected_revision"] != self.accepted:
            return 409, {}
        self.describe()
        match order["operation"]:
            case "join":
                return self._join(order)
            case "stage":
                self.accepted += 1
                self.staged = (order["model"],)
                return 202, {}
        group = self.group
        if group is None or (group["name"], group["epoch"]) != (
            order["group"],
            order["epoch"],
        ):
            return 409, {}
        match order["operation"], group["state"]:
            case "open", "ready" if group["rank"] == 0:
                group["state"] = "open"
                self._check_members()
            case "close", "open":
                group["state"] = "ready"
            case "leave", _:
                self.group = None
            case _:
                return 409, {}
        self.accepted += 1
        return 202, {}

    def _join(self, order: dict[str, typing.Any]) -> Reply:
        held = self.group
        if held is not None and order["epoch"] < held["epoch"]:
            return 412, {}
        if held is not None and held["name"] == order["group"]:
            return 200, {}
        self._platform.check_free(self, order["group"])
        warm = order["model"] in self.staged
        self.ready_at = time.monotonic() + (
            WARM_SECONDS if warm else LOAD_SECONDS
        )
        self.last_model = order["model"]
        self.members = tuple(order["members"])
        self.group = {
            "name": order["group"],
            "epoch": order["epoch"],
            "rank": order["members"].index(self.name),
            "state": "joining",
        }
        self.stalled_at = None
        self.accepted += 1
        return 202, {}

    def _check_members(self) -> None:
        own = self.describe()["group"]["name"]
        for name in self.members:
            other = self._platform.servers[name]
            state = other.describe().get("group", {})
            same = other.is_alive and state.get("name") == own
            if same and state["state"] == "joining":
                self._platform.note("PARTIAL", f"{name} is not ready")

    def moves(self) -> bool:
        """Returns whether the group's members are all there."""
        for name in self.members:
            other = self._platform.servers[name]
            held = other.group
            if not other.is_alive or held is None or self.group is None:
                return False
            if held["name"] != self.group["name"]:
                return False
        return self.group is not None and self.group["state"] == "open"

    def watch_stall(self) -> None:
        """Breaks the group once it stood still for long enough."""
        if self.group is None or self.group["state"] != "open":
            return
        if self.moves() or not self.running:
            self.stalled_at = None
        elif self.stalled_at is None:
            self.stalled_at = time.monotonic()
        elif time.monotonic() - self.stalled_at > STALL_SECONDS:
            self.group["state"] = "broken"

    def _run(
        self, environ: Environ, body: bytes, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        fields = [("X-Request-Id", request_id)]
        self._requests += 1
        head = self.group is not None and self.group["state"] == "open"
        full = self.running >= QUEUE_LIMIT + 2
        if self.is_refusing or full or (self.domain and not head):
            status = "421 -" if self.domain and not head else "503 -"
            fields += [("X-Not-Run", "1"), ("Content-Length", "0")]
            start_response(status, fields)
            return []
        self._platform.note_run(self, environ, request_id)
        fields.append((STAMP, f"{self.name}.{request_id}"))
        if self.domain:
            start_response("200 -", fields)
            return self._stream(environ, request_id)
        gevent.sleep(EVENT_SECONDS)
        self._hang_if_dead()
        data = f"{self.name}:{request_id}".encode() + body
        fields.append(("Content-Length", str(len(data))))
        fails = (
            self.failure_period and self._requests % self.failure_period == 0
        )
        start_response("500 -" if fails else "200 -", fields)
        return [data]

    def _stream(self, environ: Environ, request_id: str) -> abc.Iterator[bytes]:
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        self.running += 1
        try:
            for number in range(first, EVENTS_PER_STREAM + 1):
                gevent.sleep(EVENT_SECONDS)
                while not self.moves():
                    self._hang_if_dead()
                    if self.group is None or self.group["state"] == "broken":
                        raise ConnectionResetError(
                            errno.ECONNRESET, "group broken"
                        )
                    gevent.sleep(0.02)
                yield f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
        finally:
            self.running -= 1


class UsersPlatform:
    """Store, servers and the record of what was run."""

    def __init__(self, host: str, port: int) -> None:
        self.store = users_store.Store()
        self.servers: dict[str, Server] = {}
        self.runs: list[Run] = []
        self.violations: list[Violation] = []
        self.stopped = False
        self._store_server = _Server(host, port, self.store)
        self._store_server.start()
        self._beats = gevent.spawn(self._beat)
        self._seen: dict[str, float] = {}

    def add(self, server: Server) -> None:
        """Adds a server to the list."""
        self.servers[server.name] = server

    def stop(self) -> None:
        """Stops everything."""
        self.stopped = True
        self._beats.kill()
        for server in self.servers.values():
            server.crash()
        self._store_server.stop(timeout=0.1)

    def note(self, name: str, detail: str) -> None:
        """Records a broken promise."""
        self.violations.append(Violation(name=name, detail=detail))

    def note_run(
        self, server: Server, environ: Environ, request_id: str
    ) -> None:
        """Records a run."""
        if "HTTP_AUTHORIZATION" in environ:
            self.note("UNASKED", f"{request_id} was shown a caller's key")
        if "HTTP_X_DEADLINE_MS" not in environ:
            self.note("BUDGET", f"{request_id} has no deadline")
        self.runs.append(
            Run(
                request_id=request_id,
                server=server.name,
                service=server.service,
                account=environ.get("HTTP_X_TENANT", ""),
                at=time.monotonic(),
            )
        )

    def check_free(self, server: Server, group: str) -> None:
        """Notes a join of a server whose former head still serves."""
        held = server.group
        if held is None or held["name"] == group:
            return
        head = self.servers[server.members[0]]
        if not head.is_alive or head.group is None:
            return
        if head.group["name"] != held["name"]:
            return
        if head.group["state"] in ("open", "closing"):
            self.note("TWO", f"{server.name} joins {group} from {held['name']}")

    def _beat(self) -> None:
        count = 0
        while True:
            count += 1
            now = time.monotonic()
            for server in list(self.servers.values()):
                server.watch_stall()
                if server.is_alive:
                    self._seen[server.name] = now
                    self._write(server, count)
                elif now - self._seen.get(server.name, 0) > LAPSE_SECONDS:
                    self.store.drop("servers", server.name)
            gevent.sleep(HEARTBEAT_SECONDS / 3)

    def _write(self, server: Server, count: int) -> None:
        entry = server.describe() | {
            "service": server.service,
            "address": f"{server.advertised[0]}:{server.advertised[1]}",
            "zone": "a",
            "version": "v1",
            "slots": 4,
            "state": "draining" if server.leaving else "ready",
        }
        held = self.store.read("servers", server.name)
        if held is not None:
            del held["sequence"]
        # The tenth of a heartbeat without a change is written, too.
        if held != msgspec.to_builtins(entry) or count % 10 == 0:
            self.store.put("servers", server.name, entry | {"sequence": count})


def build_configuration(
    version: int, services: abc.Sequence[str] = ("models", "desk")
) -> dict[str, typing.Any]:
    """Returns a configuration with one model service and one plain one."""
    models, desk = services
    route = {
        "host": "x.example",
        "timeout_ms": 4000,
        "target_latency_ms": 500,
        "public": False,
    }
    spec = {"name": "chat", "size": 2, "share": 1.0, "pace": 1.0}
    return {
        "version": version,
        "routes": [
            route
            | {
                "name": "stream",
                "prefix": "/stream/",
                "kind": "stream",
                "service": models,
                "max_attempts": 3,
                "resumable": True,
                "target_gap_ms": 300,
                "priority": 0,
            },
            route
            | {
                "name": "once",
                "prefix": "/once/",
                "kind": "unsafe",
                "service": desk,
                "max_attempts": 1,
                "priority": 1,
            },
            route
            | {
                "name": "safe",
                "prefix": "/safe/",
                "kind": "safe",
                "service": desk,
                "max_attempts": 2,
                "priority": 1,
            },
        ],
        "services": [
            {
                "name": models,
                "max_connections": 100,
                "engine": {
                    "slots": 4,
                    "step_ms": 4.0,
                    "per_seq_ms": 0.2,
                    "read_per_s": 46000.0,
                    "loads_per_s": 8.0,
                    "loads_at_once": 8,
                    "models": [spec | {"load_s": 0.4, "warm_s": 0.1}],
                },
            },
            {"name": desk, "max_connections": 100},
        ],
        "tenants": [{"name": "acme", "api_keys": ["key-1"]}],
    }


def build_settings(
    name: str, ip: str, store: str, port: int
) -> dict[str, typing.Any]:
    """Returns the settings of one daemon; its ports begin at `port`."""
    return {
        "node": name,
        "ip": ip,
        "zone": "a",
        "region": "r",
        "zones": {"a": "r"},
        "listen": {
            "front": f"{ip}:{port}",
            "ready": f"{ip}:{port + 1}",
            "directory": f"{ip}:{port + 2}",
        },
        "internal_ports": [port + 3, port + 10],
        "bootstrap": True,
        "limits": {"max_fds": 1000},
        "heartbeat_ms": HEARTBEAT_SECONDS * 1000,
        "bounds": {
            "drain_ms": 2000,
            "config_apply_ms": 2000,
            "grace_s": 8,
            "stall_ms": STALL_SECONDS * 1000,
            "retry_budget_ratio": 0.2,
            "retry_budget_slack": 100,
            "budget_window_s": 10,
        },
        "platform": {"address": store},
    }
