"""Guards against wrong detours around the path to a failure domain."""

import datetime

from arbutuscove.paths import detours

SECOND = datetime.timedelta(seconds=1)


def test_dead_domain_costs_few_connections_through_peers():
    """Guards against a call of a peer for each upstream that has died.

    Load pattern: 57 upstreams of a domain are silent and asked again and again.
    """
    state = detours.Detours()
    tried = sum(
        state.may_try("a", tick * SECOND / 10)
        for tick in range(20)
        for _ in range(57)
    )
    assert tried == 2 * SECOND / detours.TRIAL_INTERVAL


def test_domain_on_a_detour_is_tried_directly_now_and_then():
    """Guards against a detour that outlives the cut, or that nobody takes."""
    state = detours.Detours()
    assert not state.must_take("a", SECOND)
    assert state.begin("a", SECOND)
    assert not state.begin("a", SECOND)
    assert state.must_take("a", SECOND)
    assert not state.must_take("b", SECOND)
    due = SECOND + detours.DIRECT_INTERVAL
    direct = [not state.must_take("a", due) for _ in range(10)]
    assert direct == [True] + 9 * [False]
    assert state.may_try("a", due)
    assert state.end("a")
    assert not state.end("a")
    assert not state.must_take("a", due)


def test_detours_are_bounded():
    """Guards against names of domains that fill the memory."""
    state = detours.Detours()
    for number in range(3 * detours.MAX_DOMAINS):
        state.may_try(f"d{number}", SECOND)
        state.begin(f"d{number}", SECOND)
    assert len(state._next_trial) <= detours.MAX_DOMAINS
    assert len(state._next_direct) <= detours.MAX_DOMAINS


def test_number_of_silent_vms_is_bounded():
    """Guards against memory that grows with the names in entries."""
    silent = detours.SilentVms()
    for number in range(detours.MAX_SILENT_VMS + 9):
        silent.record_silence(f"vm-{number}", True, SECOND)
    assert not silent.must_take_peer("vm-8", SECOND)
    assert silent.must_take_peer("vm-9", SECOND)
    silent.record_answer("vm-9", is_direct=False)
    assert silent.must_take_peer("vm-9", SECOND)
    silent.record_answer("vm-9", is_direct=True)
    assert not silent.must_take_peer("vm-9", SECOND)
