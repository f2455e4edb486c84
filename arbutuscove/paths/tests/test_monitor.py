"""Tests of the rounds of trial connections."""

import gevent
import pytest
from gevent import event as gevent_event

from arbutuscove.paths import monitor
from arbutuscove.paths import reach
from arbutuscove.paths.tests import scripts
from arbutuscove.storage import http
from arbutuscove.transport import tunnel

ms = scripts.ms
SERVICE = scripts.SERVICE
REACHED = reach.Verdict.REACHED
CUT_OFF = reach.Verdict.CUT_OFF
UNREACHED = reach.Verdict.UNREACHED


@pytest.fixture(name="daemon")
def fixture_daemon():
    daemon = scripts.Daemon()
    yield daemon
    daemon.stop()


def lose_all(daemon):
    """Cuts the direct paths and those through peers."""
    daemon.network.all_direct = http.NotSentError
    daemon.network.all_tunnels = tunnel.CarrierError


def test_round_is_shared_by_all_that_wait_for_it(daemon):
    """Guards against one round for each of many failed requests."""
    released = gevent_event.Event()
    daemon.network.all_direct = lambda timeout: released.wait()
    waiting = [gevent.spawn(daemon.confirm) for _ in range(50)]
    scripts.settle()
    assert daemon.network.count("direct") == 1
    released.set()
    gevent.joinall(waiting)
    assert all(greenlet.value for greenlet in waiting)
    assert daemon.network.count("direct") == 1


def test_round_of_one_service_does_not_wait_for_another(daemon):
    """Guards against one service that is cut off and delays the others."""
    other = scripts.Upstream(http.Address("10.2.0.1", 80))
    daemon.upstreams["other"] = [other]
    released = gevent_event.Event()
    daemon.network.all_direct = lambda timeout: released.wait()
    daemon.network.direct[other.address] = lambda timeout: None
    waiting = gevent.spawn(daemon.confirm)
    scripts.settle()
    assert daemon.monitor.confirm_reach("other", ms(0))
    assert not waiting.ready()
    released.set()
    waiting.join()


def test_round_ends_with_a_first_trial_that_is_quick(daemon):
    """Guards against three trials for each failure while the path is sound."""
    assert daemon.confirm()
    assert daemon.network.count("direct") == 1
    assert daemon.network.count_tunnels() == 0
    assert [opened.is_closed for opened in daemon.network.opened] == [True]


def test_round_goes_on_beside_a_first_trial_that_is_slow(daemon):
    """Guards against a dead upstream, tried first, that hides the others."""
    released = gevent_event.Event()
    is_first = iter([True])

    def wait_first(timeout):
        if next(is_first, False):
            released.wait()
            raise http.NotSentError("scripted")

    daemon.network.all_direct = wait_first
    waiting = gevent.spawn(daemon.confirm)
    while daemon.network.count("direct") < 3 and not waiting.ready():
        gevent.sleep(0.005)
    assert not waiting.ready()
    released.set()
    waiting.join()
    assert waiting.value
    assert daemon.network.count("direct") == 3
    assert daemon.network.count_tunnels() == 0


def test_round_asks_peers_only_if_no_direct_trial_is_accepted(daemon):
    """Guards against load on peers by a daemon that reaches its upstreams."""
    daemon.network.all_direct = http.NotSentError
    assert not daemon.confirm()
    paths = [call[0] for call in daemon.network.calls]
    assert paths[:3] == ["direct"] * 3
    assert "direct" not in paths[3:]
    assert len(paths) == 6
    assert all(opened.is_closed for opened in daemon.network.opened)


def test_round_samples_unlike_fabric_domains(daemon):
    """Guards against a lost rack that passes for a lost path."""
    daemon.upstreams[SERVICE] = [
        scripts.Upstream(http.Address(f"10.1.{domain}.{i}", 80), str(domain))
        for domain in range(3)
        for i in range(1, 21)
    ]
    daemon.network.all_direct = http.NotSentError
    daemon.confirm()
    hosts = [call[1].host for call in daemon.network.calls[:3]]
    assert sorted(host.split(".")[2] for host in hosts) == ["0", "1", "2"]


def test_round_is_not_run_after_a_newer_connection(daemon):
    """Guards against trials whose answer is known already."""
    started = daemon.clock.monotonic()
    daemon.clock.advance(ms(10))
    daemon.monitor.record_open(SERVICE)
    assert daemon.monitor.confirm_reach(SERVICE, started)
    daemon.monitor.suspect(SERVICE, started)
    scripts.settle()
    assert daemon.network.calls == []
    daemon.clock.advance(ms(10))
    daemon.monitor.suspect(SERVICE, daemon.clock.monotonic())
    scripts.settle()
    assert daemon.network.calls != []


def test_contact_through_a_peer_confirms_contact_only(daemon):
    """Guards against a tunnel that passes for a sound direct path."""
    daemon.cut()
    daemon.clock.advance(ms(10))
    started = daemon.clock.monotonic()
    daemon.monitor.record_contact(SERVICE)
    daemon.network.calls.clear()
    assert daemon.monitor.confirm_contact(SERVICE, started)
    assert not daemon.monitor.confirm_reach(SERVICE, started)
    assert daemon.network.calls == []


def test_contact_is_confirmed_by_the_next_round_while_cut_off(daemon):
    """Guards against groups never repaired by a daemon that is cut off.

    Its orders go through peers on idle tunnels, which open nothing.
    """
    daemon.start()
    daemon.cut()
    daemon.clock.run(ms(50))
    started = daemon.clock.monotonic()
    waiting = gevent.spawn(daemon.monitor.confirm_contact, SERVICE, started)
    daemon.clock.run(reach.ROUND_INTERVAL + monitor.WATCH_INTERVAL)
    assert waiting.ready()
    assert waiting.value


def test_contact_is_denied_at_once_while_nothing_is_reached(daemon):
    """Guards against checks that wait for an upstream of a dead service."""
    lose_all(daemon)
    daemon.start()
    daemon.confirm()
    waiting = gevent.spawn(
        daemon.monitor.confirm_contact, SERVICE, daemon.clock.monotonic()
    )
    scripts.settle()
    assert waiting.ready()
    assert waiting.value is False


def test_contact_is_denied_when_the_carriers_are_lost(daemon):
    """Guards against a check that waits on as the cut becomes a full one."""
    daemon.start()
    daemon.cut()
    lose_all(daemon)
    daemon.clock.run(ms(50))
    waiting = gevent.spawn(
        daemon.monitor.confirm_contact, SERVICE, daemon.clock.monotonic()
    )
    daemon.clock.run(reach.ROUND_INTERVAL + monitor.WATCH_INTERVAL)
    assert waiting.ready()
    assert waiting.value is False


def test_verdict_changes_as_the_rounds_decide(daemon):
    """Guards against a verdict that peers are not told, or twice."""
    daemon.confirm()
    assert daemon.changes == []
    daemon.cut()
    assert daemon.monitor.list_unreached() == (SERVICE,)
    daemon.network.all_tunnels = tunnel.CarrierError
    daemon.clock.advance(reach.ROUND_INTERVAL)
    daemon.confirm()
    daemon.network.all_tunnels = None
    daemon.clock.advance(reach.MAX_RETRY_INTERVAL)
    daemon.confirm()
    daemon.heal()
    daemon.clock.advance(reach.ROUND_INTERVAL)
    daemon.confirm()
    assert daemon.changes == [CUT_OFF, UNREACHED, CUT_OFF, REACHED]
    assert daemon.monitor.list_unreached() == ()


def test_verdict_cut_off_is_kept_while_few_upstreams_accept(daemon):
    """Guards against a cut that ends for one upstream reached by chance."""
    daemon.cut()
    daemon.network.direct[daemon.addresses[0]] = lambda timeout: None
    daemon.clock.advance(reach.ROUND_INTERVAL)
    daemon.confirm()
    assert daemon.changes == [CUT_OFF]
    daemon.network.direct[daemon.addresses[1]] = lambda timeout: None
    daemon.clock.advance(reach.ROUND_INTERVAL)
    daemon.confirm()
    assert daemon.changes == [CUT_OFF, REACHED]


@pytest.mark.parametrize("count", [1, 2])
def test_verdict_with_few_upstreams(count):
    """Guards against a service of one or two upstreams that is never cut off.

    One dead upstream of two is no cut.
    """
    daemon = scripts.Daemon(upstreams=count)
    daemon.network.direct[daemon.addresses[0]] = http.NotSentError
    daemon.confirm()
    assert daemon.changes == ([CUT_OFF] if count == 1 else [])
    daemon.network.all_direct = http.NotSentError
    daemon.clock.advance(reach.ROUND_INTERVAL)
    daemon.confirm()
    assert daemon.changes == [CUT_OFF]
    daemon.stop()


@pytest.mark.parametrize(("count", "dead"), [(2, 1), (3, 2)])
def test_verdict_cut_off_ends_beside_dead_upstreams(count, dead):
    """Guards against a cut that never ends as half of a service is dead.

    Peers do not reach the dead upstreams, either.
    """
    daemon = scripts.Daemon(upstreams=count)
    lost = set(daemon.addresses[:dead])

    def open_tunnel(carrier, target, timeout):
        if target in lost:
            daemon.network.calls.append((carrier.host, target))
            raise http.NotSentError("scripted")
        return daemon.network.open_tunnel(carrier, target, timeout)

    daemon.use_tunnels(open_tunnel)
    daemon.cut()
    assert daemon.changes == [CUT_OFF]
    daemon.heal()
    daemon.network.direct = dict.fromkeys(lost, http.NotSentError)
    daemon.clock.advance(reach.ROUND_INTERVAL)
    daemon.confirm()
    assert daemon.changes == [CUT_OFF, REACHED]
    daemon.stop()


def test_verdict_of_a_daemon_without_peers_is_unreached():
    """Guards against a daemon alone that takes itself for cut off."""
    daemon = scripts.Daemon(peer_names="")
    daemon.cut()
    assert daemon.changes == [UNREACHED]
    daemon.stop()


@pytest.mark.parametrize("has_peers", [True, False])
def test_watch_finds_the_heal_without_requests(daemon, has_peers):
    """Guards against a daemon without callers that stays cut off."""
    if not has_peers:
        daemon.network.all_tunnels = tunnel.CarrierError
    daemon.start()
    daemon.cut()
    assert daemon.changes == [CUT_OFF if has_peers else UNREACHED]
    daemon.clock.run(ms(5000))
    assert len(daemon.changes) == 1
    daemon.heal()
    daemon.clock.run(reach.MAX_RETRY_INTERVAL + monitor.WATCH_INTERVAL)
    assert daemon.changes[1:] == [REACHED]


def test_unreached_services_of_a_heartbeat_are_limited(daemon):
    """Guards against a datagram too large to send as many services are cut.

    The watch loop goes on for all of them.
    """
    names = [f"service-{i:03}" for i in range(300)]
    daemon.upstreams |= dict.fromkeys(names, daemon.upstreams[SERVICE])
    daemon.network.all_direct = http.NotSentError
    for name in names:
        daemon.monitor.confirm_reach(name, ms(0))
    listed = daemon.monitor.list_unreached()
    assert 0 < len(listed) <= monitor.MAX_LISTED_SERVICES
    assert all(map(daemon.monitor.is_cut_off, listed))
    daemon.heal()
    daemon.start()
    daemon.clock.run(reach.ROUND_INTERVAL + monitor.WATCH_INTERVAL)
    assert not any(map(daemon.monitor.is_cut_off, names))


def test_reached_services_that_are_gone_are_forgotten(daemon):
    """Guards against state for each service that ever was configured."""
    daemon.start()
    names = [f"service-{i}" for i in range(100)]
    daemon.upstreams |= dict.fromkeys(names, daemon.upstreams[SERVICE])
    for name in [SERVICE, *names]:
        daemon.monitor.record_open(name)
    for name in names:
        del daemon.upstreams[name]
    daemon.clock.run(monitor.FORGET_INTERVAL + monitor.WATCH_INTERVAL)
    assert daemon.monitor.service_count == 1


def test_watch_opens_nothing_while_all_is_well(daemon):
    """Guards against probes by each daemon that nothing has failed for."""
    daemon.start()
    daemon.monitor.record_open(SERVICE)
    daemon.clock.run(ms(60000))
    assert daemon.network.calls == []


def test_watch_forgets_a_service_without_upstreams(daemon):
    """Guards against rounds and heartbeats for a service that is gone."""
    daemon.start()
    daemon.cut()
    daemon.upstreams.clear()
    daemon.clock.run(monitor.WATCH_INTERVAL)
    assert daemon.monitor.list_unreached() == ()
    daemon.network.calls.clear()
    daemon.clock.run(ms(5000))
    assert daemon.network.calls == []


@pytest.mark.parametrize("has_peers", [True, False])
def test_trials_per_second_are_bounded_while_unreached(daemon, has_peers):
    """Guards against a storm by 195 daemons before dead upstreams.

    Requests that fail all the time begin no further round.
    """
    if not has_peers:
        daemon.network.all_tunnels = tunnel.CarrierError
    daemon.start()
    daemon.cut()
    daemon.clock.run(ms(5000))
    interval = reach.ROUND_INTERVAL if has_peers else reach.MAX_RETRY_INTERVAL
    daemon.network.calls.clear()
    seconds = 20
    for _ in range(seconds * 100):
        daemon.monitor.suspect(SERVICE, daemon.clock.monotonic())
        daemon.confirm()
        daemon.clock.run(ms(10))
    rounds = ms(1000 * seconds) / interval + 1
    assert daemon.network.count("direct") <= reach.SAMPLE_SIZE * rounds
    tunnels = reach.SAMPLE_SIZE * (1 if has_peers else len(daemon.carriers))
    assert daemon.network.count_tunnels() <= tunnels * rounds


def test_verdict_is_kept_if_a_connection_was_opened_in_the_round(daemon):
    """Guards against a cut found by chance while requests are served.

    With one packet of ten lost, three trials fail together now and then.
    """
    released = gevent_event.Event()

    def fail_late(timeout):
        released.wait()
        raise http.NotSentError("scripted")

    daemon.network.all_direct = fail_late
    waiting = gevent.spawn(daemon.confirm)
    scripts.settle()
    daemon.clock.advance(ms(100))
    daemon.monitor.record_open(SERVICE)
    daemon.clock.advance(ms(200))
    released.set()
    waiting.join()
    assert daemon.changes == []
    assert waiting.value
    assert daemon.network.count_tunnels() == 0


def test_wait_for_path_ends_when_peers_carry(daemon):
    """Guards against refusals while daemons cut off together find a carrier."""
    lose_all(daemon)
    daemon.start()
    daemon.confirm()
    waiting = gevent.spawn(daemon.monitor.wait_for_path, SERVICE, None)
    scripts.settle()
    assert not waiting.ready()
    daemon.network.all_tunnels = None
    daemon.clock.run(ms(200))
    assert waiting.ready() and waiting.value
    assert daemon.changes == [UNREACHED, CUT_OFF]


def test_wait_for_path_ends_after_the_search(daemon):
    """Guards against requests that wait for as long as nothing is reached."""
    lose_all(daemon)
    daemon.start()
    daemon.confirm()
    waiting = gevent.spawn(daemon.monitor.wait_for_path, SERVICE, None)
    daemon.clock.run(ms(2000))
    assert waiting.ready() and waiting.value is False
    assert daemon.monitor.wait_for_path(SERVICE, None) is False


def test_wait_for_path_ends_at_the_deadline(daemon):
    """Guards against a request that waits past its own deadline."""
    lose_all(daemon)
    daemon.confirm()
    deadline = daemon.clock.monotonic() + ms(50)
    waiting = gevent.spawn(daemon.monitor.wait_for_path, SERVICE, deadline)
    daemon.clock.run(ms(60))
    assert waiting.ready() and waiting.value is False


def test_wait_for_path_to_a_service_that_is_gone_does_not_spin(daemon):
    """Guards against a busy loop as a service loses its last upstream."""
    lose_all(daemon)
    daemon.confirm()
    reads = []

    class Counting(dict):
        def get(self, service, default):
            reads.append(service)
            return default

    daemon.upstreams = Counting()
    daemon.clock.advance(reach.MAX_RETRY_INTERVAL)
    waiting = gevent.spawn(
        daemon.monitor.wait_for_path,
        SERVICE,
        daemon.clock.monotonic() + ms(1000),
    )
    daemon.clock.run(ms(100))
    assert len(reads) <= ms(100) / monitor.SEARCH_INTERVAL + 1
    daemon.start()
    daemon.clock.run(monitor.WATCH_INTERVAL + monitor.SEARCH_INTERVAL)
    assert waiting.ready()


def test_wait_for_path_leaves_a_round_at_the_deadline(daemon):
    """Guards against a request that waits for trials past its deadline."""
    lose_all(daemon)
    daemon.confirm()
    ended = gevent_event.Event()
    daemon.network.all_direct = lambda timeout: ended.wait()
    daemon.clock.advance(reach.MAX_RETRY_INTERVAL)
    deadline = daemon.clock.monotonic() + ms(20)
    waiting = gevent.spawn(daemon.monitor.wait_for_path, SERVICE, deadline)
    scripts.settle()
    daemon.clock.advance(ms(20))
    waiting.join(2)
    has_ended = waiting.ready()
    ended.set()
    waiting.join()
    assert has_ended
    assert waiting.value is False


def test_stop_ends_the_rounds(daemon):
    """Guards against greenlets that outlive the service."""
    released = gevent_event.Event()
    daemon.network.all_direct = lambda timeout: released.wait()
    daemon.start()
    waiting = gevent.spawn(daemon.confirm)
    scripts.settle()
    daemon.stop()
    waiting.join()
    assert waiting.value is False


def test_contact_on_another_path_than_before_confirms_nothing():
    """Guards against sound groups marked as stalled as the cut is found.

    Their members were asked on the path that has failed, and a peer has
    opened a connection since.
    """
    daemon = scripts.Daemon()
    since = daemon.clock.monotonic()
    daemon.cut()
    assert daemon.monitor.is_cut_off(SERVICE)
    assert not daemon.monitor.confirm_contact(SERVICE, since)
    daemon.clock.advance(ms(1))
    later = daemon.clock.monotonic()
    daemon.monitor.record_contact(SERVICE)
    assert daemon.monitor.confirm_contact(SERVICE, later)
