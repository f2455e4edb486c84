"""Tests of daemons that lose their paths together and carry for each other."""

import collections
import dataclasses

import gevent
import pytest

from arbutuscove.paths import errors
from arbutuscove.paths import monitor
from arbutuscove.paths import reach
from arbutuscove.paths.tests import scripts
from arbutuscove.storage import http
from arbutuscove.transport import tunnel

ms = scripts.ms
NAMES = "abcdefg"
SETTLE_TIME = ms(3000)
HEARTBEAT_INTERVAL = ms(250)


class Fleet:
    """Daemons before the same upstreams; those in `cut` reach none.

    A cut is silent. The daemons learn of each other's verdicts from heartbeats
    only.
    """

    def __init__(self, names=NAMES, upstreams=3):
        self.clock = scripts.SteppedClock()
        self.cut = set()
        self.hops = collections.Counter()
        self.daemons = {}
        for name in names:
            daemon = scripts.Daemon(upstreams, "", self.clock, name)
            daemon.network.all_direct = self._build_connect(name)
            daemon.use_tunnels(self._open_tunnel)
            self.daemons[name] = daemon
        self._tell()
        for daemon in self.daemons.values():
            daemon.start()
        self._heartbeats = gevent.spawn(self._tell_at_intervals)

    def stop(self):
        self._heartbeats.kill()
        for daemon in self.daemons.values():
            daemon.stop()

    def check_out_all(self, names, timeout=4000):
        """Returns the greenlets of one request at each daemon."""
        deadline = self.clock.monotonic() + ms(timeout)
        return {
            name: gevent.spawn(
                self.daemons[name].check_out, number % 2, deadline=deadline
            )
            for number, name in enumerate(names)
        }

    def list_verdicts(self, names=NAMES):
        return {
            self.daemons[name].monitor.get_verdict(scripts.SERVICE)
            for name in names
        }

    def _build_connect(self, name):
        def connect(timeout):
            if name in self.cut:
                self.clock.sleep(timeout)
                raise http.NotSentError("silent")

        return connect

    def _open_tunnel(self, carrier, target, timeout):
        self.hops[carrier.host] += 1
        try:
            self.daemons[carrier.host].connections.connect_for_peer(
                scripts.SERVICE, target, min(timeout, tunnel.CONNECT_TIMEOUT)
            )
        except http.NotSentError as error:
            raise http.NotSentError("unreachable") from error
        return scripts.FakeConnection(target, carrier)

    def _tell_at_intervals(self):
        while True:
            self.clock.sleep(HEARTBEAT_INTERVAL)
            self._tell()

    def _tell(self):
        told = [
            dataclasses.replace(
                carrier,
                unreached=frozenset(
                    self.daemons[carrier.name].monitor.list_unreached()
                ),
            )
            for carrier in scripts.list_carriers(self.daemons)
        ]
        for name, daemon in self.daemons.items():
            daemon.carriers = [it for it in told if it.name != name]


@pytest.fixture(name="fleet")
def fixture_fleet(monkeypatch):
    # The clock of the test moves while a real wait would not.
    monkeypatch.setattr(monitor, "FIRST_TRIAL_TIME", ms(0))
    fleet = Fleet()
    yield fleet
    fleet.stop()


@pytest.mark.parametrize("count", [1, 3, 6])
def test_fleet_that_is_partly_cut_off_serves_through_the_others(fleet, count):
    """Guards against carriers that are cut off and do not know it yet.

    The requests that find the cut find the way through a peer, too.
    """
    fleet.cut = set(NAMES[:count])
    calls = fleet.check_out_all(NAMES)
    fleet.clock.run(SETTLE_TIME)
    for name, call in calls.items():
        assert call.ready(), name
        carrier = call.get().carrier
        if name in fleet.cut:
            assert carrier.host not in fleet.cut
        else:
            assert carrier is None
    assert fleet.list_verdicts(fleet.cut) == {reach.Verdict.CUT_OFF}
    assert fleet.list_verdicts(set(NAMES) - fleet.cut) == {
        reach.Verdict.REACHED
    }


def test_fleet_that_is_wholly_cut_off_tries_rarely_and_recovers(fleet):
    """Guards against a storm of trials before dead upstreams."""
    fleet.cut = set(NAMES)
    calls = fleet.check_out_all(NAMES)
    fleet.clock.run(ms(5000))
    for call in calls.values():
        assert isinstance(call.exception, errors.NoPathError)
    assert fleet.list_verdicts() == {reach.Verdict.UNREACHED}
    fleet.hops.clear()
    for daemon in fleet.daemons.values():
        daemon.network.calls.clear()
    seconds = 20
    fleet.clock.run(ms(1000 * seconds))
    rounds = ms(1000 * seconds) / reach.MAX_RETRY_INTERVAL + 1
    for daemon in fleet.daemons.values():
        assert daemon.network.count("direct") <= reach.SAMPLE_SIZE * rounds
    assert not fleet.hops
    fleet.cut.clear()
    wait = reach.MAX_RETRY_INTERVAL + monitor.TRIAL_TIMEOUT
    fleet.clock.run(wait + 2 * monitor.WATCH_INTERVAL)
    assert fleet.list_verdicts() == {reach.Verdict.REACHED}


def test_fleet_goes_on_when_the_last_carrier_is_cut_off_and_back(fleet):
    """Guards against daemons that stay without a path as one of them heals."""
    fleet.cut = set(NAMES[:6])
    fleet.check_out_all(NAMES)
    fleet.clock.run(SETTLE_TIME)
    fleet.cut = set(NAMES)
    fleet.check_out_all(NAMES)
    fleet.clock.run(SETTLE_TIME)
    assert reach.Verdict.REACHED not in fleet.list_verdicts()
    fleet.cut = set(NAMES[1:])
    fleet.clock.run(SETTLE_TIME)
    assert fleet.list_verdicts("a") == {reach.Verdict.REACHED}
    assert fleet.list_verdicts(NAMES[1:]) == {reach.Verdict.CUT_OFF}
    calls = fleet.check_out_all(NAMES[1:])
    scripts.settle()
    assert {call.get().carrier.host for call in calls.values()} == {"a"}


def test_fleet_is_direct_again_after_the_heal(fleet):
    """Guards against a carrier that is used longer than it is needed."""
    fleet.cut = set(NAMES[:6])
    fleet.check_out_all(NAMES)
    fleet.clock.run(SETTLE_TIME)
    fleet.cut.clear()
    fleet.clock.run(
        reach.ROUND_INTERVAL
        + monitor.TRIAL_TIMEOUT
        + 2 * monitor.WATCH_INTERVAL
    )
    assert fleet.list_verdicts() == {reach.Verdict.REACHED}
    calls = fleet.check_out_all(NAMES)
    scripts.settle()
    assert {call.get().carrier for call in calls.values()} == {None}
