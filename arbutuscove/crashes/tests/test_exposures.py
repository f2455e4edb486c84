"""Guards against crashes that no attempt is left to see."""

import datetime

import gevent
import pytest

from arbutuscove.crashes import exposures
from arbutuscove.crashes import judgement
from arbutuscove.crashes import tracker
from arbutuscove.crashes.tests import test_tracker
from arbutuscove.kernel import clock as clock_module

SECOND = datetime.timedelta(seconds=1)
MINIMUM = judgement.MIN_DEATHS_ANSWERED


@pytest.fixture(name="clock")
def fixture_clock():
    return clock_module.ManualClock()


@pytest.fixture(name="daemon")
def fixture_daemon(clock):
    return test_tracker.Daemon(clock)


def leave(daemon, vm, name="same", parts=()):
    """Sends a request whose caller leaves before the answer."""
    request = test_tracker.Request(request_id=name, prompt_parts=parts)
    exposure = daemon.tracker.begin(
        request, test_tracker.create_vm(vm), has_begun=True
    )
    daemon.tracker.end(exposure)


def watch(daemon, clock, duration=SECOND):
    """Runs the loop of the tracker for a time."""
    end = clock.monotonic() + duration
    while clock.monotonic() < end:
        clock.advance(datetime.timedelta(milliseconds=250))
        daemon.tracker.settle_losses()
        daemon.tracker.examine_silent()
        gevent.sleep(0)


def test_crash_after_the_caller_has_left_blames_its_request(daemon, clock):
    """Guards against a request that crashes VMs after its caller has left."""
    for number in range(MINIMUM):
        leave(daemon, f"vm{number}")
        watch(daemon, clock)
    assert daemon.refuses("same", parts=())
    assert not daemon.refuses("another", parts=())


def test_death_that_a_peer_reports_blames_requests_of_callers_who_left(clock):
    """Guards against blame of those alone who were there to see the death."""
    daemon, peer = test_tracker.Daemon(clock), test_tracker.Daemon(clock)
    for number in range(MINIMUM):
        leave(daemon, f"vm{number}")
        peer.lose(f"sound{number}", f"vm{number}", parts=())
    for data in peer.sent:
        daemon.evidence.merge_evidence(data)
    assert daemon.refuses("same", parts=())
    for data in daemon.sent:
        peer.evidence.merge_evidence(data)
    assert peer.refuses("same", parts=())


def test_crash_that_the_list_shows_blames_requests_of_callers_who_left(
    daemon, clock
):
    """Guards against crashes behind a cut, which no probe can show."""
    daemon.liveness = test_tracker.UNKNOWN
    for number in range(MINIMUM):
        leave(daemon, f"vm{number}")
    watch(daemon, clock, 4 * SECOND)
    assert not daemon.refuses("same", parts=())
    for number in range(MINIMUM):
        name = f"vm{number}"
        daemon.listed[name] = test_tracker.create_vm(name, 2)
    watch(daemon, clock)
    assert daemon.refuses("same", parts=())


def test_vm_that_answers_later_has_survived_the_request(daemon, clock):
    """Guards against blame of a request long after its end."""
    for number in range(MINIMUM):
        name = f"vm{number}"
        leave(daemon, name)
        clock.advance(exposures.RUN_GRACE + SECOND)
        daemon.tracker.record_life(test_tracker.create_vm(name))
        watch(daemon, clock, 2 * SECOND)
        daemon.lose(f"sound{number}", name, parts=())
    assert not daemon.refuses("same", parts=())


def test_planned_end_of_a_vm_blames_no_request(daemon, clock):
    """Guards against a drain that counts as a crash."""
    for number in range(MINIMUM):
        name = f"vm{number}"
        daemon.listed[name] = test_tracker.create_vm(name, leaving=True)
        leave(daemon, name)
        watch(daemon, clock)
        del daemon.listed[name]
        watch(daemon, clock, 2 * SECOND)
    assert not daemon.refuses("same", parts=())
    assert not daemon.probes


def test_request_sent_after_the_death_is_not_blamed(daemon, clock):
    """Guards against blame of what a dead VM can't have run."""
    for number in range(MINIMUM):
        name = f"vm{number}"
        daemon.lose(f"sound{number}", name, parts=())
        clock.advance(SECOND)
        daemon.lose("same", name, parts=())
    assert not daemon.refuses("same", parts=())


def test_refused_request_is_not_blamed(daemon, clock):
    """Guards against blame of a request that the VM did not run."""
    for number in range(MINIMUM):
        vm = test_tracker.create_vm(f"vm{number}")
        request = test_tracker.Request(request_id="same", prompt_parts=())
        daemon.tracker.finish(daemon.tracker.begin(request, vm, True))
        daemon.lose(f"sound{number}", vm.name, parts=())
    watch(daemon, clock)
    assert not daemon.refuses("same", parts=())


def test_silent_vm_is_examined_once_a_second(daemon, clock):
    """Guards against probes for each caller who leaves."""
    daemon.liveness = test_tracker.UNKNOWN
    for number in range(20):
        leave(daemon, "vm", f"r{number}")
    watch(daemon, clock, 20 * SECOND)
    assert 0 < daemon.probes <= exposures.MAX_WATCH // SECOND
    daemon.probes = 0
    daemon.liveness = test_tracker.ALIVE
    leave(daemon, "vm")
    watch(daemon, clock, 20 * SECOND)
    assert 0 < daemon.probes <= exposures.RUN_GRACE // SECOND + 2


def test_refusals_at_the_address_of_a_dead_vm_are_no_sign_of_life(
    daemon, clock
):
    """Guards against another VM that takes the address and answers 421."""
    for number in range(MINIMUM):
        leave(daemon, f"vm{number}")
        for _ in range(8):
            vm = test_tracker.create_vm(f"vm{number}")
            request = test_tracker.Request(request_id="s", prompt_parts=())
            daemon.tracker.finish(daemon.tracker.begin(request, vm, True))
            watch(daemon, clock, SECOND / 4)
    assert daemon.refuses("same", parts=())


def test_signs_of_life_take_bounded_memory(daemon, clock):
    """Guards against a time that is kept for each start of each VM."""
    for number in range(100):
        daemon.tracker.record_life(test_tracker.create_vm("vm", number))
    daemon.tracker.settle_losses()
    assert not daemon.tracker._exposures._alive_at


def test_signs_of_life_are_dropped_while_no_attempt_has_ended(monkeypatch):
    """Guards against a loop that drops them beside ended attempts only."""
    interval = datetime.timedelta(milliseconds=10)
    monkeypatch.setattr(tracker, "EXPIRY_INTERVAL", interval)
    daemon = test_tracker.Daemon(clock_module.SystemClock())
    daemon.tracker.record_life(test_tracker.create_vm("vm"))
    daemon.tracker.start(None)
    try:
        with gevent.Timeout(10):
            while daemon.tracker._exposures._alive_at:
                gevent.sleep(0.01)
    finally:
        daemon.tracker.stop()


def test_vm_that_answers_is_not_examined(daemon, clock):
    """Guards against probes of VMs that other requests show to be alive."""
    leave(daemon, "vm")
    for _ in range(20):
        daemon.tracker.record_life(test_tracker.create_vm("vm"))
        watch(daemon, clock, SECOND / 4)
    assert not daemon.probes


def test_ended_attempts_take_bounded_memory():
    """Guards against a daemon that keeps each request whose caller left."""
    known = exposures.Exposures()
    for number in range(3 * exposures.MAX_ENDED):
        request = test_tracker.Request(request_id=f"r{number}")
        vm = test_tracker.create_vm(f"vm{number}")
        exposure = known.begin(request, vm, number * SECOND, has_begun=True)
        known.record_life(vm, number * SECOND)
        known.end(exposure, number * SECOND)
    assert len(known.list_open()) == exposures.MAX_ENDED
    known.expire(number * SECOND)
    assert len(known.list_open()) <= exposures.MAX_WATCH // SECOND + 1
    assert len(known._alive_at) == len(known.list_open())
