"""Faults from outside the daemons, drawn by seed; they come in series."""

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

MODES = (
    forwarder.Mode.CUT,
    forwarder.Mode.HALF_OPEN,
    forwarder.Mode.DROP_TO_TARGET,
    forwarder.Mode.DROP_TO_CLIENT,
)
SETTLE_SECONDS = 3.0  # after a fault, a daemon is held to its promises again
HEALTHY = forwarder.Faults()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One fault that was injected."""

    at: float
    name: str
    target: str
    seconds: float


class Faults:
    """Injects faults into a world until it is told to end."""

    def __init__(
        self, world: world_module.World, generator: random.Random
    ) -> None:
        self._world = world
        self._generator = generator
        self.records: list[Record] = []
        self.store_disturbed_until = 0.0
        self._kinds: dict[str, abc.Callable[[float], str]] = {
            "kill": self._kill,
            "pause": self._pause,
            "term": self._terminate,
            "store_refuses": self._refuse_store,
            "store_silent": self._silence_store,
            "store_loses": self._lose_answers,
            "store_forgets": self._forget_history,
            "store_link": self._fail_store_link,
            "server_crash": self._crash_server,
            "server_link": self._fail_server_link,
            "server_refuses": self._refuse_server,
            "server_fails": self._fail_server,
            "configuration": self._change_configuration,
        }

    def run(self, seconds: float) -> None:
        """Injects faults, one after the other and overlapping."""
        end = time.monotonic() + seconds
        jobs = []
        while time.monotonic() < end:
            name = self._generator.choice(sorted(self._kinds))
            length = self._generator.uniform(0.3, 2.5)
            jobs.append(gevent.spawn(self._inject, name, length))
            gevent.sleep(self._generator.uniform(0.2, 1.5))
        gevent.joinall(jobs)

    def _inject(self, name: str, length: float) -> None:
        at = time.monotonic()
        target = self._kinds[name](length)
        self.records.append(
            Record(at=at, name=name, target=target, seconds=length)
        )

    def _pick_daemon(self, length: float, planned: bool = False) -> typing.Any:
        daemon = self._generator.choice(self._world.daemons)
        if not planned:
            until = time.monotonic() + length + SETTLE_SECONDS
            daemon.disturbed_until = max(daemon.disturbed_until, until)
        return daemon

    def _pick_server(self) -> users_platform.Server:
        servers = self._world.platform.servers
        return servers[self._generator.choice(sorted(servers))]

    def _kill(self, length: float) -> str:
        daemon = self._pick_daemon(length)
        process = daemon.process
        if process is None:
            return daemon.name
        # Taken away first: of two overlapping kills only one may start it.
        daemon.process = None
        process.kill()
        process.wait()
        gevent.sleep(length)
        self._world.start(daemon)
        return daemon.name

    def _pause(self, length: float) -> str:
        daemon = self._pick_daemon(length)
        self._world.signal(daemon, signal.SIGSTOP)
        gevent.sleep(length)
        self._world.signal(daemon, signal.SIGCONT)
        return daemon.name

    def _terminate(self, length: float) -> str:
        daemon = self._pick_daemon(length, planned=True)
        process = daemon.process
        if process is None or process.poll() is not None:
            return daemon.name
        self._world.signal(daemon, signal.SIGTERM)
        process.wait(timeout=world_module.STOP_SECONDS)
        if daemon.process is process:
            # Taken away first: the start yields, and another planned stop may
            # have waited for the same end.
            daemon.process = None
            self._world.start(daemon)
        return daemon.name

    def _disturb_store(self, length: float) -> users_store.StoreFaults:
        until = time.monotonic() + length + SETTLE_SECONDS
        self.store_disturbed_until = max(self.store_disturbed_until, until)
        return self._world.platform.store.faults

    def _refuse_store(self, length: float) -> str:
        faults = self._disturb_store(length)
        faults.error_status = self._generator.choice((429, 503))
        gevent.sleep(length)
        faults.error_status = 0
        return "store"

    def _silence_store(self, length: float) -> str:
        faults = self._disturb_store(length)
        faults.is_unresponsive = True
        gevent.sleep(length)
        faults.is_unresponsive = False
        return "store"

    def _lose_answers(self, length: float) -> str:
        faults = self._disturb_store(length)
        faults.lost_answer_period = 2
        gevent.sleep(length)
        faults.lost_answer_period = 0
        return "store"

    def _forget_history(self, _: float) -> str:
        self._world.platform.store.truncate_history()
        return "store"

    def _fail_store_link(self, length: float) -> str:
        daemon = self._pick_daemon(length)
        self._fail_link(daemon.link, length)
        return str(daemon.name)

    def _crash_server(self, length: float) -> str:
        server = self._pick_server()
        if not server.is_alive:
            return server.name
        server.crash()
        gevent.sleep(length)
        server.start()
        return server.name

    def _fail_server_link(self, length: float) -> str:
        server = self._pick_server()
        self._fail_link(self._world.links[server.name], length)
        return server.name

    def _refuse_server(self, length: float) -> str:
        server = self._pick_server()
        server.is_refusing = True
        gevent.sleep(length)
        server.is_refusing = False
        return server.name

    def _fail_server(self, length: float) -> str:
        server = self._pick_server()
        server.failure_period = 3
        gevent.sleep(length)
        server.failure_period = 0
        return server.name

    def _change_configuration(self, _: float) -> str:
        return str(self._world.change_configuration())

    def _fail_link(self, link: forwarder.Forwarder, length: float) -> None:
        mode = self._generator.choice(MODES)
        delay = datetime.timedelta(seconds=self._generator.choice((0, 0.2)))
        link.set_faults(forwarder.Faults(mode=mode, delay=delay))
        gevent.sleep(length)
        link.set_faults(HEALTHY)
