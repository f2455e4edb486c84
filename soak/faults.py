"""Random faults, drawn by seed, that are injected from outside the daemons."""

import dataclasses
import datetime
import random
import signal
import time
import typing
from collections import abc

import gevent

from arbutuscove.standins import forwarder
from arbutuscove.standins import users_platform
from arbutuscove.standins import users_store
from soak import world as world_module

LINK_FAULT_MODES = (
    forwarder.Mode.CUT,
    forwarder.Mode.HALF_OPEN,
    forwarder.Mode.DROP_TO_TARGET,
    forwarder.Mode.DROP_TO_CLIENT,
)
# Time after the end of a fault in which the fault may still have effects.
SETTLE_SECONDS = 3.0
NO_FAULTS = forwarder.Faults()
FAULTS = (
    "configuration",
    "kill",
    "pause",
    "server_crash",
    "server_fails",
    "server_link",
    "server_refuses",
    "store_forgets",
    "store_link",
    "store_loses",
    "store_refuses",
    "store_silent",
    "term",
)
# None of these excuses a request without an answer.
PLANNED_WORK = (
    "server_silent",
    "server_silent",
    "server_silent",
    "configuration_series",
    "configuration_series",
    "hup",
)
# Cuts one to all but one daemons from all servers.
ENTRY_CUT = "entry_cut"
PARTITION_FAULTS = (*FAULTS, ENTRY_CUT, ENTRY_CUT)
ENTRY_CUT_SECONDS = (1.0, 6.0)  # shortest and longest cut
# A zone is evacuated; its servers restart cold; they become cold as they run.
EVACUATION = "evacuation"
COLD_RETURN = "cold_return"
COLD_AGAIN = "cold_again"
# Without faults of the store that keep all daemons from any news.
ZONE_FAULTS = (
    EVACUATION,
    EVACUATION,
    COLD_RETURN,
    COLD_RETURN,
    COLD_AGAIN,
    "kill",
    "pause",
    "store_forgets",
    "store_link",
    "term",
)
EVACUATION_SECONDS = (2.5, 5.0)  # shortest and longest evacuation
# Heads of open groups are cut from the store, and from all daemons or not; all
# daemons are killed at once.
HEAD_CUT = "head_cut"
HEAD_UNLISTED = "head_unlisted"
KILL_ALL = "kill_all"
HEAD_FAULTS = (
    HEAD_CUT,
    HEAD_CUT,
    HEAD_UNLISTED,
    HEAD_UNLISTED,
    KILL_ALL,
    "kill",
    "pause",
    "server_crash",
    "store_link",
    "term",
)
HEAD_CUT_SECONDS = (0.5, 6.0)  # shortest and longest cut
PLANNED_FAULTS = ("configuration", "configuration", "server_silent", "term")
# Faults of one daemon after which its requests may get no answer.
DAEMON_FAULTS = ("kill", "pause", "store_link")
# Faults of one server after which it breaks off answers.
SERVER_FAULTS = ("server_crash", "server_link")
# Beside requests that crash servers; these keep the servers' own restarts.
DEADLY_FAULTS = (
    "configuration_series",
    "hup",
    "hup",
    "kill",
    "pause",
    "server_fails",
    "server_refuses",
    "server_silent",
    "store_link",
    "term",
    "term",
)
# After these, and for `SETTLE_SECONDS`, a daemon does not count as in touch.
OUT_OF_TOUCH_FAULTS = ("kill", "pause", "store_link", "term")
SILENT_SECONDS = (0.8, 1.8)  # shortest and longest silence of a sound server
# An interpreter that starts ends by SIGHUP before any of its program runs.
INTERPRETER_START_SECONDS = 0.5
MAX_SERIES = 6  # changes of the configuration, or SIGHUPs, in one series
MAX_SERIES_PAUSE_SECONDS = 0.6  # between two of them


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One fault that was injected.

    Attributes:
        started_at: monotonic time at which the fault began, in seconds.
        name: name of the fault.
        target: name of the daemon or server, "store", names of daemons or
            servers that are separated by commas, or the version of the
            configuration. An `ENTRY_CUT` beside another one has no target.
        seconds: duration that was drawn for the fault.
        ended_at: monotonic time at which the fault was over, in seconds.
    """

    started_at: float
    name: str
    target: str
    seconds: float
    ended_at: float


class Injector:
    """Injects random faults into a world for a limited time."""

    def __init__(
        self,
        world: world_module.World,
        generator: random.Random,
        names: abc.Sequence[str] = FAULTS,
    ) -> None:
        """Creates an injector.

        Args:
            world: the system to inject into.
            generator: source of random choices.
            names: names of the faults to draw from, each as often as it occurs.
        """
        self._names = sorted(names)
        self._world = world
        self._generator = generator
        self.records: list[Record] = []
        self.store_disturbed_until = 0.0
        self._is_cut = False
        self._evacuated: set[str] = set()
        self._injectors: dict[str, abc.Callable[[float], str]] = {
            "kill": self._kill,
            "pause": self._pause,
            "term": self._terminate,
            "store_refuses": self._make_store_refuse,
            "store_silent": self._make_store_unresponsive,
            "store_loses": self._lose_store_answers,
            "store_forgets": self._drop_store_history,
            "store_link": self._fail_store_link,
            "server_crash": self._crash_server,
            "server_link": self._fail_server_link,
            "server_refuses": self._make_server_refuse,
            "server_fails": self._make_server_fail,
            "configuration": self._change_configuration,
            "configuration_series": self._change_configuration_often,
            "hup": self._hang_up,
            "server_silent": self._make_server_silent,
            ENTRY_CUT: self._cut_entries,
            EVACUATION: self._evacuate_zone,
            COLD_RETURN: self._restart_zone,
            COLD_AGAIN: self._cool_zone,
            HEAD_CUT: self._cut_heads,
            HEAD_UNLISTED: self._unlist_heads,
            KILL_ALL: self._kill_all,
        }

    def run(self, seconds: float) -> None:
        """Injects faults that may overlap, and waits until all have ended.

        Args:
            seconds: time in which new faults begin.
        """
        deadline = time.monotonic() + seconds
        greenlets = []
        while time.monotonic() < deadline:
            name = self._generator.choice(self._names)
            duration = self._generator.uniform(0.3, 2.5)
            greenlets.append(gevent.spawn(self._inject, name, duration))
            gevent.sleep(self._generator.uniform(0.2, 1.5))
        gevent.joinall(greenlets)

    def _inject(self, name: str, duration: float) -> None:
        started_at = time.monotonic()
        target = self._injectors[name](duration)
        self._record(name, target, started_at, duration)

    def _pick_daemon(
        self, duration: float, is_planned_stop: bool = False
    ) -> typing.Any:
        daemon = self._generator.choice(self._world.daemons)
        if not is_planned_stop:
            until = time.monotonic() + duration + SETTLE_SECONDS
            daemon.disturbed_until = max(daemon.disturbed_until, until)
        return daemon

    def _pick_server(self) -> users_platform.Server:
        servers = self._world.platform.servers
        names = sorted(
            name
            for name, server in servers.items()
            if server.service != world_module.SPARE_SERVICE
        )
        return servers[self._generator.choice(names)]

    def _kill(self, duration: float) -> str:
        daemon = self._pick_daemon(duration)
        process = daemon.process
        if process is None:
            return daemon.name
        # Cleared before the wait, so that only one of two overlapping kills
        # restarts the daemon.
        daemon.process = None
        process.kill()
        process.wait()
        gevent.sleep(duration)
        self._world.start(daemon)
        return daemon.name

    def _kill_all(self, duration: float) -> str:
        """Kills all daemons, each of which counts as killed."""
        started_at = time.monotonic()
        killed = []
        for daemon in self._world.daemons:
            until = started_at + duration + SETTLE_SECONDS
            daemon.disturbed_until = max(daemon.disturbed_until, until)
            if daemon.process is not None:
                killed.append((daemon, daemon.process))
                daemon.process = None
        for _, process in killed:
            process.kill()
        for _, process in killed:
            process.wait()
        gevent.sleep(duration)
        for daemon, _ in killed:
            self._world.start(daemon)
            self._record("kill", daemon.name, started_at, duration)
        return ",".join(daemon.name for daemon, _ in killed)

    def _cut_heads(self, _: float) -> str:
        return self._isolate_heads(is_reachable=False)

    def _unlist_heads(self, _: float) -> str:
        return self._isolate_heads(is_reachable=True)

    def _isolate_heads(self, is_reachable: bool) -> str:
        """Cuts heads from the store; their groups count as disturbed.

        Args:
            is_reachable: whether the daemons still reach them.
        """
        heads = self._world.list_heads()
        if not heads:
            return ""
        count = self._generator.randint(1, min(2, len(heads)))
        chosen = self._generator.sample(heads, count)
        names = {name for head in chosen for name in head.members}
        duration = self._generator.uniform(*HEAD_CUT_SECONDS)
        mode = self._generator.choice(LINK_FAULT_MODES)
        started_at = time.monotonic()
        self._world.isolate(chosen, None if is_reachable else mode)
        gevent.sleep(duration)
        self._world.end_isolation(chosen)
        for name in sorted(names):
            self._record("server_link", name, started_at, duration)
        return ",".join(head.name for head in chosen)

    def _record(
        self, name: str, target: str, started_at: float, duration: float
    ) -> None:
        self.records.append(
            Record(
                started_at=started_at,
                name=name,
                target=target,
                seconds=duration,
                ended_at=time.monotonic(),
            )
        )

    def _pause(self, duration: float) -> str:
        daemon = self._pick_daemon(duration)
        self._world.signal(daemon, signal.SIGSTOP)
        gevent.sleep(duration)
        self._world.signal(daemon, signal.SIGCONT)
        return daemon.name

    def _terminate(self, duration: float) -> str:
        daemon = self._pick_daemon(duration, is_planned_stop=True)
        process = daemon.process
        if process is None or process.poll() is not None:
            return daemon.name
        self._world.signal(daemon, signal.SIGTERM)
        process.wait(timeout=world_module.STOP_TIMEOUT_SECONDS)
        if daemon.process is process:
            # Cleared before the start, which yields: another planned stop may
            # have waited for the exit of the same process.
            daemon.process = None
            self._world.start(daemon)
        return daemon.name

    def _disturb_store(self, duration: float) -> users_store.StoreFaults:
        until = time.monotonic() + duration + SETTLE_SECONDS
        self.store_disturbed_until = max(self.store_disturbed_until, until)
        return self._world.platform.store.faults

    def _make_store_refuse(self, duration: float) -> str:
        faults = self._disturb_store(duration)
        faults.error_status = self._generator.choice((429, 503))
        gevent.sleep(duration)
        faults.error_status = 0
        return "store"

    def _make_store_unresponsive(self, duration: float) -> str:
        faults = self._disturb_store(duration)
        faults.is_unresponsive = True
        gevent.sleep(duration)
        faults.is_unresponsive = False
        return "store"

    def _lose_store_answers(self, duration: float) -> str:
        faults = self._disturb_store(duration)
        faults.lost_answer_period = 2
        gevent.sleep(duration)
        faults.lost_answer_period = 0
        return "store"

    def _drop_store_history(self, _: float) -> str:
        self._world.platform.store.truncate_history()
        return "store"

    def _fail_store_link(self, duration: float) -> str:
        daemon = self._pick_daemon(duration)
        self._fail_link(daemon.link, duration)
        return str(daemon.name)

    def _crash_server(self, duration: float) -> str:
        server = self._pick_server()
        if not server.is_alive:
            return server.name
        server.crash()
        gevent.sleep(duration)
        server.start()
        return server.name

    def _fail_server_link(self, duration: float) -> str:
        server = self._pick_server()
        self._fail_link(self._world.links[server.name], duration)
        return server.name

    def _make_server_refuse(self, duration: float) -> str:
        server = self._pick_server()
        server.is_refusing = True
        gevent.sleep(duration)
        server.is_refusing = False
        return server.name

    def _make_server_fail(self, duration: float) -> str:
        server = self._pick_server()
        server.failure_period = 3
        gevent.sleep(duration)
        server.failure_period = 0
        return server.name

    def _make_server_silent(self, _: float) -> str:
        """Makes servers silent: one, or more of its service at once."""
        servers = self._world.platform.servers
        service = self._generator.choice(sorted(servers.items()))[1].service
        now = time.monotonic()
        sending = [
            server
            for _, server in sorted(servers.items())
            if server.service == service and now >= server.silent_until
        ]
        count = self._generator.choice((1, 2, len(sending)))
        chosen = self._generator.sample(sending, min(count, len(sending)))
        duration = self._generator.uniform(*SILENT_SECONDS)
        for server in chosen:
            server.silent_until = now + duration
        gevent.sleep(duration)
        return ",".join(server.name for server in chosen)

    def _cut_entries(self, _: float) -> str:
        if self._is_cut:
            return ""
        self._is_cut = True
        daemons = self._world.daemons
        count = self._generator.randint(1, len(daemons) - 1)
        chosen = self._generator.sample(daemons, count)
        mode = self._generator.choice(list(forwarder.CutMode))
        duration = self._generator.uniform(*ENTRY_CUT_SECONDS)
        self._world.cut_off(chosen, mode)
        gevent.sleep(duration)
        self._world.end_cut()
        self._is_cut = False
        return ",".join(daemon.name for daemon in chosen)

    def _evacuate_zone(self, _: float) -> str:
        zone = self._generator.choice(world_module.ZONES)
        if zone in self._evacuated:
            return ""
        self._evacuated.add(zone)
        groups = self._world.list_open_groups(zone)
        self._world.evacuate(zone)
        gevent.sleep(self._generator.uniform(*EVACUATION_SECONDS))
        platform = self._world.platform
        for group in groups - self._world.list_open_groups(zone):
            # A group is lost with any of its members.
            if all(
                platform.servers[name].is_alive
                and platform.servers[name].born == born
                for name, born in group[2:]
            ):
                platform.record_violation("EVAC", f"{group} was not kept")
        self._world.restore(zone)
        self._evacuated.remove(zone)
        return zone

    def _restart_zone(self, duration: float) -> str:
        """Restarts the live servers of a zone; each counts as crashed."""
        zone = self._generator.choice(world_module.ZONES)
        started_at = time.monotonic()
        servers = [
            server
            for server in self._world.platform.servers.values()
            if server.zone == zone and server.is_alive
        ]
        for server in servers:
            server.crash()
        gevent.sleep(duration)
        for server in servers:
            server.start()
            self._record("server_crash", server.name, started_at, duration)
        return zone

    def _cool_zone(self, _: float) -> str:
        zone = self._generator.choice(world_module.ZONES)
        for server in self._world.platform.servers.values():
            if server.zone == zone and server.domain and server.is_alive:
                server.become_cold(world_module.COLD_SECONDS)
        return zone

    def _hang_up(self, _: float) -> str:
        daemon = self._pick_daemon(0.0, is_planned_stop=True)
        for _number in range(self._generator.randint(1, MAX_SERIES)):
            if time.monotonic() > daemon.started_at + INTERPRETER_START_SECONDS:
                self._world.signal(daemon, signal.SIGHUP)
            self._pause_in_series()
        return str(daemon.name)

    def _change_configuration_often(self, _: float) -> str:
        for _number in range(self._generator.randint(2, MAX_SERIES)):
            self._world.vary_configuration(self._generator)
            self._pause_in_series()
        return str(self._world.version)

    def _pause_in_series(self) -> None:
        gevent.sleep(self._generator.uniform(0.0, MAX_SERIES_PAUSE_SECONDS))

    def _change_configuration(self, _: float) -> str:
        return str(self._world.change_configuration())

    def _fail_link(self, link: forwarder.Forwarder, duration: float) -> None:
        mode = self._generator.choice(LINK_FAULT_MODES)
        delay = datetime.timedelta(seconds=self._generator.choice((0, 0.2)))
        link.set_faults(forwarder.Faults(mode=mode, delay=delay))
        gevent.sleep(duration)
        link.set_faults(NO_FAULTS)
