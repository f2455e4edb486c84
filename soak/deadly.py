"""A run in which some requests crash each server that runs them.

Few contents come again and again, at any daemon. Sound requests share their
account and the first parts of their prompt.
"""

import dataclasses
import datetime
import itertools
import pathlib
import random
import time

import gevent
from gevent import pool

from arbutuscove.platform import headers
from arbutuscove.standins import users_platform
from arbutuscove.storage import http
from arbutuscove.transport import connection
from soak import faults
from soak import run
from soak import world as world_module

SETTLE_SECONDS = 3.0  # as stated in the users' settings
MAX_CRASHES = 3  # after which the requests sent later are counted
MAX_LATER_REQUESTS = 3  # of those, for each content, as stated by the users
MIN_SOUND_SHARE = 0.5  # of the sound requests once the contents are known
MIN_SOUND_REQUESTS = 20  # below that, a share says nothing
SOUND_PER_SECOND = 12.0
# Beside faults, many requests meet daemons that are not in touch.
SOUND_PER_SECOND_BESIDE_FAULTS = 24.0
SHARED_PARTS = ("aa", "ab")
DEADLINE = datetime.timedelta(seconds=4)
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
RESTART_SECONDS = 3.0  # from a crash to the next start of the server
DRAIN_SECONDS = 1.0  # from the last request to the end of the run
START_TIMEOUT_SECONDS = 30.0
RETRY_SECONDS = 0.1  # between two requests before the start


def build_plan(
    delay_seconds: float = users_platform.CRASH_DELAY_SECONDS,
    has_head: bool = True,
    events: int = 0,
) -> users_platform.CrashPlan:
    """Returns a plan by which servers are back after a while, as new ones."""
    return users_platform.CrashPlan(
        delay_seconds=delay_seconds,
        has_head=has_head,
        events=events,
        restart_seconds=RESTART_SECONDS,
        is_renamed=True,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """What callers send.

    Attributes:
        route: `once` and `safe` lead to plain servers, `stream` to groups.
        contents: number of different contents that crash servers.
        per_second: requests with such a content, of all callers together.
        leave_seconds: after which their callers leave; None if they stay.
        seconds: duration of the run.
        has_new_parts: whether the last part of their prompts is always new.
        plan: when and how such a request crashes a server.
        grouped_count: servers that form groups.
        plain_count: servers of the plain service.
        daemon_count: daemons, each a process.
        has_faults: whether random faults meet the daemons meanwhile.
    """

    route: str = "once"
    contents: int = 2
    per_second: float = 8.0
    leave_seconds: float | None = None
    seconds: float = 12.0
    has_new_parts: bool = False
    plan: users_platform.CrashPlan = dataclasses.field(
        default_factory=build_plan
    )
    grouped_count: int = 2
    plain_count: int = 12
    daemon_count: int = 3
    has_faults: bool = False


def draw_load(seed: int, seconds: float) -> Load:
    """Returns a random load beside random faults.

    Args:
        seed: seed of the random choices.
        seconds: duration of the run.
    """
    generator = random.Random(seed)
    route = generator.choice(("once", "safe", "stream", "stream"))
    is_stream = route == "stream"
    contents = generator.choice((1, 2, 3))
    per_second = generator.uniform(2.0, 5.0 if is_stream else 10.0)
    leave_seconds = generator.choice((None, 0.03, 0.1, 0.3))
    # A server that writes an event to a caller who left drops the request.
    event_counts = (0, 0, 1, 3) if leave_seconds is None else (0, 0, 0, 0)
    return Load(
        route=route,
        contents=contents,
        per_second=per_second,
        leave_seconds=leave_seconds,
        seconds=seconds,
        has_new_parts=generator.random() < 0.5,
        plan=users_platform.CrashPlan(
            delay_seconds=generator.choice((0.01, 0.05, 0.2, 0.5)),
            has_head=generator.random() < 0.5,
            events=generator.choice(event_counts),
            restart_seconds=generator.choice((0.05, 1.0, RESTART_SECONDS)),
            is_renamed=generator.random() < 0.7,
        ),
        grouped_count=12 if is_stream else 2,
        plain_count=1 if is_stream else 12,
        daemon_count=generator.choice((3, 3, 3, 7)),
        has_faults=True,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Result of one run.

    Attributes:
        crashes: number of crashes by each content.
        late: for each content, the requests that daemons in touch sent to
            servers later than `SETTLE_SECONDS` after its third crash.
        sound_count: sound requests sent to daemons in touch since
            `SETTLE_SECONDS` after the third crash of the last content that had
            three, or since the start.
        served_count: how many of them were served.
        statuses: number of all sound requests by their status, 0 for none.
        violations: promises that were broken, as the servers saw it, and
            daemons that ended by themselves.
        faults: names of the faults that were injected.
    """

    crashes: tuple[int, ...]
    late: tuple[int, ...]
    sound_count: int
    served_count: int
    statuses: dict[int, int]
    violations: int
    faults: tuple[str, ...] = ()

    def list_broken(self) -> list[str]:
        """Returns the promises that were broken, or not tried."""
        checks = {
            "a server crashed": any(self.crashes),
            "few later requests": max(self.late) <= MAX_LATER_REQUESTS,
            "enough sound requests": self.sound_count >= MIN_SOUND_REQUESTS,
            "sound requests are served": self.served_count
            >= MIN_SOUND_SHARE * self.sound_count,
            "servers saw no violation": not self.violations,
        }
        return [name for name, is_kept in checks.items() if not is_kept]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Sound:
    """A sound request; times are monotonic, in seconds."""

    daemon: str
    started_at: float
    ended_at: float
    status: int


class _Callers:
    """Callers at all daemons, each request on a connection of its own."""

    def __init__(
        self, world: world_module.World, load: Load, seed: int
    ) -> None:
        self._world = world
        self._load = load
        self._generator = random.Random(seed)
        self._numbers = itertools.count()
        self.sound: list[_Sound] = []
        # The daemon that each request was sent to, by its id.
        self.called: dict[str, str] = {}

    def list_contents(self) -> list[bytes]:
        """Returns the bodies that crash servers."""
        return [b"deadly %d" % n for n in range(self._load.contents)]

    def wait_until_served(self) -> None:
        """Waits until each daemon has served a sound request.

        Raises:
            StartError: that took longer than `START_TIMEOUT_SECONDS`.
        """
        deadline = time.monotonic() + START_TIMEOUT_SECONDS
        for daemon in self._world.daemons:
            while self._send_sound(daemon) != 200:
                if time.monotonic() > deadline:
                    raise run.StartError(f"{daemon.name} serves nothing")
                gevent.sleep(RETRY_SECONDS)
        self.sound.clear()

    def send_deadly(self, end: float) -> None:
        """Sends the crashing contents in turn until `end`."""
        calls = pool.Group()
        contents = itertools.cycle(self.list_contents())
        while time.monotonic() < end:
            content = next(contents)
            name = content.decode().replace(" ", "")
            number = next(self._numbers)
            last = f"{name}{number}" if self._load.has_new_parts else name
            calls.spawn(
                self._send,
                self._generator.choice(self._world.daemons),
                f"c{number}",
                content,
                (*SHARED_PARTS, name, last),
                self._load.leave_seconds,
            )
            gevent.sleep(2 * self._generator.random() / self._load.per_second)
        calls.join()

    def send_sound(self, end: float) -> None:
        """Sends sound requests until `end`."""
        rate = SOUND_PER_SECOND
        if self._load.has_faults:
            rate = SOUND_PER_SECOND_BESIDE_FAULTS
        calls = pool.Group()
        while time.monotonic() < end:
            daemon = self._generator.choice(self._world.daemons)
            calls.spawn(self._send_sound, daemon)
            gevent.sleep(2 * self._generator.random() / rate)
        calls.join()

    def _send_sound(self, daemon: world_module.Daemon) -> int:
        request_id = f"s{next(self._numbers)}"
        started_at = time.monotonic()
        status = self._send(
            daemon,
            request_id,
            request_id.encode(),
            (*SHARED_PARTS, request_id),
            None,
        )
        self.sound.append(
            _Sound(
                daemon=daemon.name,
                started_at=started_at,
                ended_at=time.monotonic(),
                status=status,
            )
        )
        return status

    def _send(
        self,
        daemon: world_module.Daemon,
        request_id: str,
        body: bytes,
        parts: tuple[str, ...],
        leave_seconds: float | None,
    ) -> int:
        """Returns the status, 0 without a complete answer."""
        address = http.Address(daemon.ip, self._world.port)
        self.called[request_id] = daemon.name
        is_stream = self._load.route == "stream"
        prompt = ",".join(f"{part}:40" for part in parts)
        fields = (
            ("Host", "x.example"),
            ("Authorization", f"Token {self._world.keys[0]}"),
            (headers.REQUEST_ID, request_id),
            (headers.DEADLINE, str(int(DEADLINE.total_seconds() * 1000))),
            *(
                ((headers.MODEL, "chat"), (headers.PROMPT_PREFIX, prompt))
                if is_stream
                else ()
            ),
        )
        data = connection.encode_request(
            "POST", f"/{self._load.route}/1", fields, body
        )
        patience = (
            DEADLINE.total_seconds() + 1
            if leave_seconds is None
            else leave_seconds
        )
        try:
            caller = connection.connect(address, CONNECT_TIMEOUT)
        except http.HttpError:
            return 0
        end = time.monotonic() + patience
        try:
            caller.send("POST", data)
            parser = None
            while parser is None or not parser.is_complete():
                left = datetime.timedelta(seconds=end - time.monotonic())
                parser = caller.receive(left)
            return parser.get_code()
        except http.HttpError:
            return 0
        finally:
            caller.close()


def run_seed(
    directory: pathlib.Path,
    seed: int,
    load: Load,
    beside: pathlib.Path | None = None,
) -> Report:
    """Runs three daemons before servers that the contents crash.

    Args:
        directory: for the daemons' settings and logs.
        seed: seed of the random generators.
        load: what callers send.
        beside: checkout of another version, which every second daemon runs.
    """
    world = world_module.World(
        directory,
        seed,
        has_server_links=False,
        beside=beside,
        grouped_count=load.grouped_count,
        plain_count=load.plain_count,
        daemon_count=load.daemon_count,
    )
    injector = faults.Injector(
        world, random.Random(seed + 1), faults.DEADLY_FAULTS
    )
    clients = _Callers(world, load, seed)
    contents = clients.list_contents()
    try:
        for daemon in world.daemons:
            world.start(daemon)
        clients.wait_until_served()
        world.platform.crash_plan = load.plan
        world.platform.crashing_contents.update(contents)
        end = time.monotonic() + load.seconds
        senders = [
            gevent.spawn(clients.send_deadly, end),
            gevent.spawn(clients.send_sound, end),
        ]
        if load.has_faults:
            senders.append(gevent.spawn(injector.run, load.seconds))
        gevent.joinall(senders, raise_error=True)
        gevent.sleep(DRAIN_SECONDS)
        exits = run.check_exits(world)
    finally:
        world.stop()
    return _build_report(
        world.platform, contents, clients, injector.records, len(exits)
    )


def _is_in_touch(
    records: list[faults.Record], daemon: str, since: float, until: float
) -> bool:
    """Returns whether no fault excuses what a daemon does in a time."""
    return not any(
        record.target == daemon
        and record.name in faults.OUT_OF_TOUCH_FAULTS
        and record.started_at <= until
        and since <= record.ended_at + SETTLE_SECONDS
        for record in records
    )


def _build_report(
    platform: users_platform.UsersPlatform,
    contents: list[bytes],
    clients: _Callers,
    records: list[faults.Record],
    exit_count: int,
) -> Report:
    counted_since = 0.0
    crashes, late = [], []
    for content in contents:
        times = [
            item.at for item in platform.crashes if item.content == content
        ]
        crashes.append(len(times))
        since = float("inf")
        if len(times) >= MAX_CRASHES:
            since = sorted(times)[MAX_CRASHES - 1] + SETTLE_SECONDS
            counted_since = max(counted_since, since)
        late.append(
            sum(
                item.content == content
                and item.at > since
                and _is_in_touch(
                    records, clients.called[item.request_id], item.at, item.at
                )
                for item in platform.runs
            )
        )
    counted = [
        item.status
        for item in clients.sound
        if item.started_at >= counted_since
        and _is_in_touch(records, item.daemon, item.started_at, item.ended_at)
    ]
    statuses = [item.status for item in clients.sound]
    return Report(
        crashes=tuple(crashes),
        late=tuple(late),
        sound_count=len(counted),
        served_count=counted.count(200),
        statuses={code: statuses.count(code) for code in sorted(set(statuses))},
        violations=len(platform.violations) + exit_count,
        faults=tuple(sorted(record.name for record in records)),
    )
