"""Scripted connections and a clock moved by the test."""

import datetime
import heapq
import itertools
import random
import typing

import gevent
from gevent import event as gevent_event

from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths import carriers
from arbutuscove.paths import connections
from arbutuscove.paths import monitor
from arbutuscove.paths import peers
from arbutuscove.storage import http
from arbutuscove.transport import pool as pool_module

SERVICE = "chat"
TURNS = 30  # of the event loop until all greenlets wait


def ms(count):
    return datetime.timedelta(milliseconds=count)


def settle():
    """Lets all greenlets run until they wait."""
    for _ in range(TURNS):
        gevent.sleep(0)


class SteppedClock(clock_module.ManualClock):
    """A manual clock whose sleepers wait until the test advances it."""

    def __init__(self):
        super().__init__()
        self._sleepers = []
        self._numbers = itertools.count()

    def sleep(self, duration):
        wakes = gevent_event.Event()
        entry = (self.monotonic() + duration, next(self._numbers), wakes)
        heapq.heappush(self._sleepers, entry)
        wakes.wait()

    def run(self, duration):
        """Advances the clock and wakes the sleepers in order."""
        end = self.monotonic() + duration
        settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, wakes = heapq.heappop(self._sleepers)
            self.advance(max(due - self.monotonic(), ms(0)))
            wakes.set()
            settle()
        self.advance(end - self.monotonic())


class Upstream(typing.NamedTuple):
    """A listed upstream."""

    address: http.Address
    fabric_domain: str = ""


class FakeConnection:
    """Stands for an open connection."""

    def __init__(self, address, carrier=None):
        self.address = address
        self.carrier = carrier
        self.exchange_count = 1
        self.idle_since = ms(0)
        self.max_idle_time = None
        self.is_closed = False

    def is_reusable(self):
        return not self.is_closed

    def is_still_idle(self):
        return not self.is_closed

    def close(self):
        self.is_closed = True


class Network:
    """Opens connections by script and records the calls.

    `direct` and `tunnels` hold the errors by address of the upstream or of the
    carrier, or functions to call with the timeout; `all_direct` and
    `all_tunnels` apply to the other addresses. None accepts.
    """

    def __init__(self):
        self.direct = {}
        self.tunnels = {}
        self.all_direct = None
        self.all_tunnels = None
        self.calls = []
        self.opened = []

    def open_direct(self, address, timeout):
        self.calls.append(("direct", address))
        step = self.direct.get(address, self.all_direct)
        return self._open(step, timeout, FakeConnection(address))

    def open_tunnel(self, carrier, target, timeout):
        self.calls.append((carrier.host, target))
        step = self.tunnels.get(carrier.host, self.all_tunnels)
        return self._open(step, timeout, FakeConnection(target, carrier))

    def _open(self, step, timeout, opened):
        if isinstance(step, type):
            raise step("scripted")
        if step is not None:
            step(timeout)
        self.opened.append(opened)
        return opened

    def count(self, path):
        """Returns how many calls took a path."""
        return sum(call[0] == path for call in self.calls)

    def count_tunnels(self):
        return len(self.calls) - self.count("direct")


class ScriptedPool(pool_module.ConnectionPool):
    """A pool that opens connections by script."""

    def __init__(self, clock, network):
        super().__init__(clock)
        self._network = network

    def open(self, address, timeout):
        return self._network.open_direct(address, timeout)


def list_upstreams(count=3):
    """Returns upstreams in unlike fabric domains."""
    return [
        Upstream(http.Address(f"10.1.0.{i}", 80), f"domain-{i}")
        for i in range(1, count + 1)
    ]


def list_carriers(names="ab", **changes):
    return [
        carriers.Carrier(
            **{"name": name, "host": name, "port": 7340, "capacity": 1000}
            | changes
        )
        for name in names
    ]


class Daemon:
    """The paths of one daemon before scripted upstreams and peers."""

    def __init__(self, upstreams=3, peer_names="ab", clock=None, name="own"):
        self.clock = clock or SteppedClock()
        self.network = Network()
        self.upstreams = {SERVICE: list_upstreams(upstreams)}
        self.addresses = [it.address for it in self.upstreams[SERVICE]]
        self.carriers = list_carriers(peer_names)
        self.changes = []
        self._open_tunnel = self.network.open_tunnel
        self.peer_paths = peers.PeerPaths(
            self.clock,
            name,
            lambda: self.carriers,
            lambda *args: self._open_tunnel(*args),
        )
        self.monitor = monitor.ReachMonitor(
            self.clock,
            lambda service: self.upstreams.get(service, []),
            self.peer_paths.open,
            random.Random(1),
            self.network.open_direct,
        )
        self.monitor.add_change_handler(
            lambda service: self.changes.append(
                self.monitor.get_verdict(service)
            )
        )
        self.direct = ScriptedPool(self.clock, self.network)
        self.tunnels = pool_module.ConnectionPool(self.clock)
        self.connections = connections.UpstreamConnections(
            self.clock,
            self.direct,
            self.tunnels,
            self.monitor,
            self.peer_paths,
        )

    def use_tunnels(self, open_tunnel):
        """Replaces the function that opens tunnels."""
        self._open_tunnel = open_tunnel

    def start(self):
        """Starts the loop of the monitor."""
        self.monitor.start(None)
        settle()

    def stop(self):
        """Stops all greenlets."""
        self.monitor.stop()

    def cut(self):
        """Cuts all direct paths and lets a round find that."""
        self.network.all_direct = http.NotSentError
        self.clock.advance(ms(1))
        self.confirm()

    def heal(self):
        self.network.all_direct = None

    def confirm(self, since=None):
        """Runs a round; returns whether a direct connection was opened."""
        now = self.clock.monotonic()
        return self.monitor.confirm_reach(SERVICE, since or now)

    def check_out(self, index=0, **options):
        """Opens a connection, on which the upstream then answers."""
        opened = self.connections.check_out(
            SERVICE, self.addresses[index], **options
        )
        self.connections.record_answer(SERVICE, opened)
        return opened
