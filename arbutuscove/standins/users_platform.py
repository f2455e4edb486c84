"""Stand-in for the users' platform: its store and its servers.

It implements the protocol that `arbutuscove.platform` translates, records
every run of a request, and fails on command. Its times are short, so that
tests take only seconds.
"""

import dataclasses
import errno
import socket
import time
import typing
from collections import abc

import gevent
import msgspec
from gevent import pywsgi

from arbutuscove.standins import users_store

STALL_SECONDS = 1.5  # after a member failure, until the group is broken
HEARTBEAT_SECONDS = 0.3
ENTRY_EXPIRY_SECONDS = 0.9  # since the last heartbeat of a server
WARM_SECONDS = 0.1  # to join a group with staged weights
LOAD_SECONDS = 0.4  # to join a group without them
# From the head of an answer on a crashing prompt part to the crash.
CRASH_DELAY_SECONDS = 0.05
RESTART_SECONDS = 1.0  # after a crash by a prompt part
EVENT_INTERVAL_SECONDS = 0.02  # between two events of a stream
EVENTS_PER_STREAM = 8
# Retries that the fleet may send to a service in any window.
RETRY_RATIO = 0.2
RETRY_SLACK = 100
RETRY_WINDOW_SECONDS = 10
# A server with this number plus two of open streams refuses requests. Plain
# servers open no streams, so that this does not limit them.
MAX_QUEUED_REQUESTS = 4
STAMP = "X-Server-Stamp"

StartResponse = abc.Callable[..., typing.Any]
Environ = dict[str, typing.Any]
Reply = users_store.Reply


class _Server(pywsgi.WSGIServer):
    """WSGI server that writes no logs."""

    def __init__(self, host: str, port: int, app: typing.Any) -> None:
        super().__init__((host, port), app, log=None, error_log=None)
        self._connections: set[typing.Any] = set()

    def handle(self, sock: typing.Any, address: typing.Any) -> None:
        """Serves one connection."""
        self._connections.add(sock)
        try:
            super().handle(sock, address)
        finally:
            self._connections.discard(sock)

    def cut_connections(self) -> None:
        """Ends all open connections, in the middle of any answer."""
        for sock in list(self._connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue  # the peer closed it first


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """The arrival of a request at a server, which may reject it.

    Attributes:
        request_id: Identifier of the request.
        service: Service of the server.
        at: Monotonic time in seconds.
        server: Name of the server.
        zone: Zone of the server.
        cold_left: Seconds for which the server stayed cold; 0 if it was not.
        is_misdirected: Whether it was rejected with status 421.
    """

    request_id: str
    service: str
    at: float
    server: str = ""
    zone: str = ""
    cold_left: float = 0.0
    is_misdirected: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """One run of a request, as recorded by its server.

    Attributes:
        request_id: Identifier of the request.
        server: Name of the server.
        service: Service of the server.
        account: Account that the request was sent for.
        at: Monotonic time of the start, in seconds.
        prompt_parts: Ids of all parts of the prompt, in order.
        members: Names of the servers of its group; empty for a plain server.
        content: Body of the request.
    """

    request_id: str
    server: str
    service: str
    account: str
    at: float
    prompt_parts: tuple[str, ...] = ()
    members: tuple[str, ...] = ()
    content: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Crash:
    """The crash of a server by the content of a request.

    Attributes:
        content: Body of the request.
        at: Monotonic time in seconds.
    """

    content: bytes
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CrashPlan:
    """When a server ends that runs a crashing content, and how it returns.

    Attributes:
        delay_seconds: Time from the start of the run to the crash, or from the
            head or the last event of a stream.
        has_head: Whether a stream's head is sent before the crash.
        events: Events of a stream that are sent before the crash.
        restart_seconds: Time from the crash to the next start.
        is_renamed: Whether the next start has another name.
    """

    delay_seconds: float = CRASH_DELAY_SECONDS
    has_head: bool = True
    events: int = 0
    restart_seconds: float = RESTART_SECONDS
    is_renamed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """Violation of a guarantee, as observed by a server.

    The names of the guarantees are:

    - `PARTIAL`: a group opens only when none of its live members is still
      joining it.
    - `UNASKED`: a request that runs on a server shows no caller's key, that
      is, no `Authorization` header.
    - `BUDGET`: a request that runs on a server has a deadline header.
    - `TWO`: a server joins another group only after its former group has
      stopped serving, also if it has left that group before.

    Attributes:
        name: Name of the guarantee.
        detail: Description of the case.
    """

    name: str
    detail: str


class Server:
    """One server: a member of groups, or a plain one without a fabric domain.

    Attributes:
        address: Host and port that it listens on.
        advertised: Host and port that its entry in the store shows.
        domain: Fabric domain; empty for a plain server.
        zone: Zone that its entry shows.
        cold_until: Monotonic time, in seconds, until which it is cold.
        is_alive: Whether it runs; a crashed server hangs open connections.
        is_refusing: Whether it answers 503 without running requests.
        silent_until: Monotonic time, in seconds, until which it is sound but
            sends nothing. Connections stay open and requests are accepted.
        failure_period: If n > 0, each n-th request to a plain server gets
            status 500 after it ran.
        leaving: Whether its entry shows that it drains.
        is_cut_from_store: Whether its heartbeats do not reach the store, so
            that its entry expires. Requests and orders reach it.
        born: Start in milliseconds since 1970.
        accepted: Number of accepted orders.
        fence: Greatest fencing token received.
        group: Group that it is a member of, as in its report.
        members: Names of the group's servers, its head first.
        former_groups: Groups that it has left since its start, each with the
            name of its head.
        running: Number of open streams.
        ready_at: Monotonic time at which its weights are loaded.
        stalled_at: Monotonic time at which its group stopped progressing.
        staged: Models whose weights it has staged.
    """

    def __init__(
        self,
        platform: "UsersPlatform",
        name: str,
        service: str,
        address: tuple[str, int],
        domain: str = "",
        advertised: tuple[str, int] | None = None,
        zone: str = "a",
    ) -> None:
        self.name = name
        self.address = address
        self.advertised = advertised or address
        self.service = service
        self.domain = domain
        self.zone = zone
        self.cold_until = 0.0
        self.is_alive = True
        self.is_refusing = False
        self.silent_until = 0.0
        self.failure_period = 0
        self.leaving = False
        self.is_cut_from_store = False
        self._platform = platform
        self._requests = 0
        self._crash_count = 0
        self._server: _Server | None = None
        self._reset()
        self.start()

    def start(self) -> None:
        """Starts or restarts the server with empty state."""
        self._reset()
        self.is_alive = True
        # Plain servers bear any rate.
        if self.domain:
            self.cold_until = (
                time.monotonic() + self._platform.cold_start_seconds
            )
        self._server = _Server(*self.address, self)
        self._server.start()

    def become_cold(self, seconds: float) -> None:
        """Becomes cold without a restart, and reports it at once."""
        self.cold_until = time.monotonic() + seconds
        if not self.is_cut_from_store:
            self._platform.write_entry(self)

    def get_cold_ms(self) -> int:
        """Returns the milliseconds for which the server stays cold."""
        return max(0, round(1000 * (self.cold_until - time.monotonic())))

    def crash(self) -> None:
        """Stops without a final message; open connections hang."""
        self.is_alive = False
        self._platform.update_stalls()
        if self._server is not None:
            self._server.close()

    def die(self, content: bytes = b"") -> None:
        """Crashes with all connections cut, and restarts soon afterwards.

        Args:
            content: Body of the request that causes the crash.
        """
        if not self.is_alive:
            return
        now = time.monotonic()
        self._platform.deaths.append(now)
        self._platform.crashes.append(Crash(content=content, at=now))
        self._crash_count += 1
        self.crash()
        if self._server is not None:
            self._server.cut_connections()
        plan = self._platform.crash_plan
        gevent.spawn_later(plan.restart_seconds, self._restart)

    def _restart(self) -> None:
        if self._platform.stopped:
            return
        if self._platform.crash_plan.is_renamed:
            first_name = self.name.partition("-again-")[0]
            self._platform.rename(
                self, f"{first_name}-again-{self._crash_count}"
            )
        self.start()

    def _reset(self) -> None:
        self.born = time.time_ns() // 1_000_000
        self.accepted = 0
        self.fence = -1
        self.group: dict[str, typing.Any] | None = None
        self.members: tuple[str, ...] = ()
        self.former_groups: dict[str, str] = {}
        self.running = 0
        self.ready_at = 0.0
        self.stalled_at: float | None = None
        self.last_model = ""
        self.staged: tuple[str, ...] = ()

    def build_report(self) -> dict[str, typing.Any]:
        """Returns the report of this server, with its group's state updated."""
        self.update_stall()
        group = self.group
        if group is not None:
            is_loaded = time.monotonic() >= self.ready_at
            if group["state"] == "joining" and is_loaded:
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
        """Handles one HTTP call."""
        # A silent server may become cold before it reads the request.
        arrived_at = time.monotonic()
        cold_left = max(0.0, self.cold_until - arrived_at)
        crash_count = self._crash_count
        self._block_while_unresponsive()
        body = environ["wsgi.input"].read()
        if self._crash_count != crash_count:
            raise ConnectionResetError(errno.ECONNRESET, "crashed")
        expected = environ.get("HTTP_X_EXPECT_INSTANCE", self.name)
        if expected != self.name:
            fields = [("Content-Length", "0"), ("X-Instance-Id", self.name)]
            start_response("421 -", fields)
            return []
        match environ["PATH_INFO"]:
            case "/report":
                report = self.build_report() | {"sequence": self.accepted}
                return users_store.send_json(start_response, (200, report))
            case "/health":
                status = 503 if self.leaving else 200
                return users_store.send_json(
                    start_response,
                    (status, {}),
                    more_fields=[("X-Cold-Ms", str(self.get_cold_ms()))],
                )
            case "/order":
                reply = self._handle_order(msgspec.json.decode(body))
                return users_store.send_json(start_response, reply)
        return self._run(environ, body, start_response, arrived_at, cold_left)

    def _block_while_unresponsive(self) -> None:
        while not self.is_alive or time.monotonic() < self.silent_until:
            gevent.sleep(0.02)
            if self._platform.stopped:
                raise ConnectionResetError(errno.ECONNRESET, "stopped")

    def _handle_order(self, order: dict[str, typing.Any]) -> Reply:
        if order["fence"] < self.fence:
            return 412, {}
        self.fence = order["fence"]
        if order["expected_revision"] != self.accepted:
            return 409, {}
        self.build_report()
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
                self._leave_group()
            case _:
                return 409, {}
        self.accepted += 1
        return 202, {}

    def _join(self, order: dict[str, typing.Any]) -> Reply:
        current = self.group
        if current is not None and order["epoch"] < current["epoch"]:
            return 412, {}
        if current is not None and current["name"] == order["group"]:
            return 200, {}
        self._leave_group()
        self._platform.check_released(self, order["group"])
        is_warm = order["model"] in self.staged
        self.ready_at = time.monotonic() + (
            WARM_SECONDS if is_warm else LOAD_SECONDS
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

    def _leave_group(self) -> None:
        if self.group is None:
            return
        if self.members[0] != self.name:
            self.former_groups[self.group["name"]] = self.members[0]
        self.group = None
        self._platform.update_stalls()

    def _check_members(self) -> None:
        own = self.build_report()["group"]["name"]
        for name in self.members:
            other = self._platform.servers.get(name)
            if other is None:
                continue
            state = other.build_report().get("group", {})
            is_member = other.is_alive and state.get("name") == own
            if is_member and state["state"] == "joining":
                self._platform.record_violation(
                    "PARTIAL", f"{name} is not ready"
                )

    def is_progressing(self) -> bool:
        """Returns whether the group is open and all members are alive in it."""
        for name in self.members:
            other = self._platform.servers.get(name)
            joined = None if other is None else other.group
            if (
                other is None
                or not other.is_alive
                or joined is None
                or self.group is None
            ):
                return False
            if joined["name"] != self.group["name"]:
                return False
        return self.group is not None and self.group["state"] == "open"

    def update_stall(self) -> None:
        """Marks the group as broken after it stalled for `STALL_SECONDS`.

        A group without any work breaks, too.
        """
        if self.group is None or self.group["state"] != "open":
            return
        if self.is_progressing():
            self.stalled_at = None
        elif self.stalled_at is None:
            self.stalled_at = time.monotonic()
        elif time.monotonic() - self.stalled_at > STALL_SECONDS:
            self.group["state"] = "broken"

    def _run(
        self,
        environ: Environ,
        body: bytes,
        start_response: StartResponse,
        arrived_at: float,
        cold_left: float,
    ) -> abc.Iterable[bytes]:
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        fields = [("X-Request-Id", request_id)]
        self._requests += 1
        is_open = self.group is not None and self.group["state"] == "open"
        is_full = self.running >= MAX_QUEUED_REQUESTS + 2
        is_misdirected = bool(self.domain) and not is_open
        self._platform.arrivals.append(
            Arrival(
                request_id=request_id,
                service=self.service,
                at=arrived_at,
                server=self.name,
                zone=self.zone,
                cold_left=cold_left,
                is_misdirected=is_misdirected,
            )
        )
        if self.is_refusing or is_full or is_misdirected:
            status = "421 -" if is_misdirected else "503 -"
            fields += [("X-Not-Run", "1"), ("Content-Length", "0")]
            start_response(status, fields)
            return []
        self._platform.record_run(self, environ, request_id, body)
        self._block_while_unresponsive()
        fields.append((STAMP, f"{self.name}.{request_id}"))
        plan = self._platform.crash_plan
        is_crashing = body in self._platform.crashing_contents
        if is_crashing and not (self.domain and plan.has_head):
            gevent.sleep(plan.delay_seconds)
            self.die(body)
            raise ConnectionResetError(errno.ECONNRESET, "crashed")
        if self.domain:
            start_response("200 -", fields)
            return self._stream(environ, request_id, body, is_crashing)
        gevent.sleep(EVENT_INTERVAL_SECONDS)
        self._block_while_unresponsive()
        data = f"{self.name}:{request_id}".encode() + body
        fields.append(("Content-Length", str(len(data))))
        fails = (
            self.failure_period and self._requests % self.failure_period == 0
        )
        start_response("500 -" if fails else "200 -", fields)
        return [data]

    def _stream(
        self,
        environ: Environ,
        request_id: str,
        content: bytes,
        is_crashing: bool,
    ) -> abc.Iterator[bytes]:
        plan = self._platform.crash_plan
        first = int(environ.get("HTTP_LAST_EVENT_ID") or 0) + 1
        self.running += 1
        try:
            is_crashing = is_crashing or bool(
                self._platform.crashing_parts.intersection(
                    read_prompt_parts(environ)
                )
            )
            if is_crashing:
                yield b" "  # sends the head; a space is no event
            for number in range(first, EVENTS_PER_STREAM + 1):
                if is_crashing and number >= first + plan.events:
                    gevent.sleep(plan.delay_seconds)
                    self.die(content)
                    raise ConnectionResetError(errno.ECONNRESET, "crashed")
                gevent.sleep(EVENT_INTERVAL_SECONDS)
                self._block_while_unresponsive()
                while not self.is_progressing():
                    self._block_while_unresponsive()
                    if self.group is None or self.group["state"] == "broken":
                        raise ConnectionResetError(
                            errno.ECONNRESET, "group broken"
                        )
                    gevent.sleep(0.02)
                yield f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
        finally:
            self.running -= 1


class UsersPlatform:
    """The store, the servers, and the record of runs and violations.

    Attributes:
        store: Store that servers, operator and daemons share.
        servers: Servers by name.
        runs: Runs of requests in order of their start.
        arrivals: Arrivals of requests at servers. One at a silent server is
            added after the silence.
        violations: Violations that the servers observed.
        crashing_parts: Ids of prompt parts that crash each server that begins
            to answer a prompt with one of them.
        crashing_contents: Bodies of requests that crash each server that runs
            them.
        crash_plan: When and how such requests crash a server.
        deaths: Monotonic times, in seconds, of the crashes by requests.
        crashes: The same with their causes.
        cold_start_seconds: For how long a server that starts is cold.
        stopped: Whether `stop` was called.
    """

    def __init__(self, host: str, port: int) -> None:
        self.store = users_store.Store()
        self.servers: dict[str, Server] = {}
        self.runs: list[Run] = []
        self.arrivals: list[Arrival] = []
        self.violations: list[Violation] = []
        self.crashing_parts: set[str] = set()
        self.crashing_contents: set[bytes] = set()
        self.crash_plan = CrashPlan()
        self.crashes: list[Crash] = []
        self.deaths: list[float] = []
        self.cold_start_seconds = 0.0
        self.stopped = False
        self._store_server = _Server(host, port, self.store)
        self._store_server.start()
        self._heartbeats = gevent.spawn(self._run_heartbeats)
        self._last_alive: dict[str, float] = {}
        # Names of servers that crashed and have started again under another.
        self._ended: list[str] = []
        self._pass_count = 0

    def add(self, server: Server) -> None:
        """Registers a server."""
        self.servers[server.name] = server

    def stop(self) -> None:
        """Stops heartbeats, servers and store."""
        self.stopped = True
        self._heartbeats.kill()
        for server in self.servers.values():
            server.crash()
        self._store_server.stop(timeout=0.1)

    def record_violation(self, name: str, detail: str) -> None:
        """Records the violation of a guarantee."""
        self.violations.append(Violation(name=name, detail=detail))

    def rename(self, server: Server, name: str) -> None:
        """Gives a server another name; the entry of the former one expires."""
        self._ended.append(server.name)
        del self.servers[server.name]
        server.name = name
        self.servers[name] = server

    def record_run(
        self,
        server: Server,
        environ: Environ,
        request_id: str,
        content: bytes = b"",
    ) -> None:
        """Records a run and checks the headers of its request."""
        if "HTTP_AUTHORIZATION" in environ:
            self.record_violation(
                "UNASKED", f"{request_id} was shown a caller's key"
            )
        if "HTTP_X_DEADLINE_MS" not in environ:
            self.record_violation("BUDGET", f"{request_id} has no deadline")
        self.runs.append(
            Run(
                request_id=request_id,
                server=server.name,
                service=server.service,
                account=environ.get("HTTP_X_TENANT", ""),
                at=time.monotonic(),
                prompt_parts=read_prompt_parts(environ),
                members=server.members,
                content=content,
            )
        )

    def check_released(self, server: Server, group: str) -> None:
        """Records a violation for each former group that still serves.

        A head that restarted or left its group serves it no longer.
        """
        for former, head_name in server.former_groups.items():
            head = self.servers.get(head_name)
            if head is None or not head.is_alive or former == group:
                continue
            reported = head.build_report().get("group")
            if (
                reported is not None
                and reported["name"] == former
                and reported["state"] in ("open", "closing")
            ):
                self.record_violation(
                    "TWO", f"{server.name} joins {group} from {former}"
                )

    def update_stalls(self) -> None:
        """Updates the groups of all servers after one has lost a member."""
        for server in self.servers.values():
            server.update_stall()

    def _run_heartbeats(self) -> None:
        while True:
            self._pass_count += 1
            now = time.monotonic()
            for server in list(self.servers.values()):
                server.update_stall()
                if server.is_alive and not server.is_cut_from_store:
                    self._last_alive[server.name] = now
                    self.write_entry(server)
                elif (
                    now - self._last_alive.get(server.name, 0)
                    > ENTRY_EXPIRY_SECONDS
                ):
                    self.store.drop("servers", server.name)
            for name in list(self._ended):
                if now - self._last_alive.get(name, 0) > ENTRY_EXPIRY_SECONDS:
                    self.store.drop("servers", name)
                    self._ended.remove(name)
            gevent.sleep(HEARTBEAT_SECONDS / 3)

    def write_entry(self, server: Server) -> None:
        """Writes a server's entry if it has changed or is due."""
        count = self._pass_count
        entry = server.build_report() | {
            "service": server.service,
            "address": f"{server.advertised[0]}:{server.advertised[1]}",
            "zone": server.zone,
            "version": "v1",
            "slots": 4,
            "state": "draining" if server.leaving else "ready",
            "cold_remaining_ms": server.get_cold_ms(),
        }
        stored = self.store.read("servers", server.name)
        if stored is not None:
            del stored["sequence"]
        # Without a change, the entry is written only at every tenth pass of
        # the loop, whose passes are HEARTBEAT_SECONDS / 3 apart.
        if stored != msgspec.to_builtins(entry) or count % 10 == 0:
            self.store.put("servers", server.name, entry | {"sequence": count})


def read_prompt_parts(environ: Environ) -> tuple[str, ...]:
    """Returns the ids of all parts of a request's prompt, in order."""
    entries = environ.get("HTTP_X_PROMPT_PREFIX", "").split(",")
    return tuple(entry.partition(":")[0] for entry in entries if entry)


def build_configuration(
    version: int, services: abc.Sequence[str] = ("models", "desk")
) -> dict[str, typing.Any]:
    """Returns a configuration with one model service and one plain service.

    Args:
        version: Version of the configuration.
        services: Names of the model service and of the plain service.
    """
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
                "health_path": "/health",
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
            {"name": desk, "health_path": "/health", "max_connections": 100},
        ],
        "tenants": [{"name": "acme", "api_keys": ["key-1"]}],
    }


def build_settings(
    name: str, ip: str, store: str, port: int
) -> dict[str, typing.Any]:
    """Returns the settings of one daemon.

    Args:
        name: Name of the daemon.
        ip: Address that it listens on.
        store: Address of the store as `host:port`.
        port: First of its ports.
    """
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
            "retry_budget_ratio": RETRY_RATIO,
            "retry_budget_slack": RETRY_SLACK,
            "budget_window_s": RETRY_WINDOW_SECONDS,
        },
        "platform": {"address": store},
    }
