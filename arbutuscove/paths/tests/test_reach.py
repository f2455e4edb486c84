"""Tests of the verdicts on paths."""

import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.paths import reach

DIRECT = reach.Path.DIRECT
PEER = reach.Path.PEER
NONE = reach.Path.NONE
REACHED = reach.Verdict.REACHED
CUT_OFF = reach.Verdict.CUT_OFF
UNREACHED = reach.Verdict.UNREACHED

_ROUNDS = strategies.lists(
    strategies.sampled_from(reach.Path),
    min_size=1,
    max_size=reach.SAMPLE_SIZE,
)
# "open", "contact" or the paths of a round, after a time in milliseconds.
_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 2000),
        strategies.one_of(
            strategies.sampled_from(["open", "contact"]), _ROUNDS
        ),
    ),
    max_size=30,
)


def ms(count):
    return datetime.timedelta(milliseconds=count)


def apply(state, event, now):
    """Returns the state after an event."""
    match event:
        case "open":
            return reach.record_open(state, now)
        case "contact":
            return reach.record_contact(state, now)
        case _:
            return reach.finish_round(state, event, now)


def play(events):
    """Yields the state before, the event, the state after and the time."""
    state = reach.Reach()
    now = ms(0)
    for pause, event in events:
        now += ms(pause)
        after = apply(state, event, now)
        yield state, event, after, now
        state = after


def cut_off():
    return reach.finish_round(reach.Reach(), [PEER], ms(0))


@hypothesis.given(events=_EVENTS)
def test_reach_without_any_path_is_never_cut_off(events):
    """Guards against a daemon without peers that takes itself for cut off."""
    for _, event, after, _ in play(events):
        if isinstance(event, list) and set(event) == {NONE}:
            assert after.verdict is UNREACHED


@hypothesis.given(events=_EVENTS)
def test_reach_cut_off_needs_a_path_through_a_peer(events):
    """Guards against a verdict of a cut that no peer has confirmed."""
    for before, event, after, _ in play(events):
        if before.verdict is not CUT_OFF and after.verdict is CUT_OFF:
            assert PEER in event and DIRECT not in event


@hypothesis.given(events=_EVENTS)
def test_reach_cut_off_is_healed_only_by_a_majority(events):
    """Guards against direct connections through a path that mostly fails.

    Upstreams that accept on no path do not count.
    """
    for before, event, after, _ in play(events):
        if before.verdict is CUT_OFF and after.verdict is REACHED:
            assert isinstance(event, list)
            assert event.count(DIRECT) > event.count(PEER)


@hypothesis.given(events=_EVENTS)
def test_reach_majority_heals_at_once(events):
    """Guards against a verdict that outlasts the cut."""
    for _, event, after, now in play(events):
        if isinstance(event, list) and 2 * event.count(DIRECT) > len(event):
            assert after == reach.Reach(
                opened_at=now, contact_at=now, next_round_at=now
            )


@hypothesis.given(events=_EVENTS)
def test_reach_pauses_are_bounded(events):
    """Guards against rounds in a tight loop and against an unnoticed heal."""
    for _, event, after, now in play(events):
        if isinstance(event, list) and after.verdict is not REACHED:
            pause = after.next_round_at - now
            assert pause >= reach.MIN_RETRY_INTERVAL
            assert pause <= reach.MAX_RETRY_INTERVAL


@hypothesis.given(events=_EVENTS)
def test_reach_times_never_go_back(events):
    """Guards against proof of a connection that a later event takes back."""
    for before, _, after, now in play(events):
        for earlier, later in (
            (before.opened_at, after.opened_at),
            (before.contact_at, after.contact_at),
        ):
            if earlier is not None:
                assert later is not None and earlier <= later <= now
        if after.opened_at is not None:
            assert after.contact_at >= after.opened_at


@pytest.mark.parametrize(
    ("paths", "verdict"),
    [
        ([DIRECT], REACHED),
        ([DIRECT, NONE, NONE], REACHED),
        ([PEER], CUT_OFF),
        ([PEER, NONE, NONE], CUT_OFF),
        ([NONE], UNREACHED),
        ([NONE, NONE, NONE], UNREACHED),
    ],
)
def test_reach_first_round_decides(paths, verdict):
    """Guards against a first verdict that contradicts the trials."""
    assert reach.finish_round(reach.Reach(), paths, ms(5)).verdict is verdict


@pytest.mark.parametrize(
    ("paths", "verdict"),
    [
        ([DIRECT], REACHED),
        ([DIRECT, DIRECT, NONE], REACHED),
        ([DIRECT, NONE, NONE], REACHED),
        ([DIRECT, PEER], CUT_OFF),
        ([DIRECT, PEER, NONE], CUT_OFF),
        ([DIRECT, PEER, PEER], CUT_OFF),
        ([PEER, PEER, PEER], CUT_OFF),
        ([NONE, NONE, NONE], UNREACHED),
    ],
)
def test_reach_round_while_cut_off_decides(paths, verdict):
    """Guards against a heal by chance, and against one never noticed."""
    assert reach.finish_round(cut_off(), paths, ms(500)).verdict is verdict


def test_reach_one_open_ends_unreached_but_not_cut_off():
    """Guards against waiting for a round though an upstream has accepted."""
    unreached = reach.finish_round(reach.Reach(), [NONE], ms(0))
    assert reach.record_open(unreached, ms(1)).verdict is REACHED
    assert reach.record_open(cut_off(), ms(1)).verdict is CUT_OFF


def test_reach_contact_keeps_the_verdict():
    """Guards against a tunnel that passes for a direct connection."""
    state = reach.record_contact(cut_off(), ms(7))
    assert (state.verdict, state.opened_at) == (CUT_OFF, None)
    assert state.contact_at == ms(7)


def test_reach_search_ends_after_its_rounds():
    """Guards against requests that wait for a path for ever."""
    state = reach.Reach()
    assert not reach.is_searching(state)
    searching = []
    for _ in range(reach.MAX_SEARCH_ROUNDS + 1):
        state = reach.finish_round(state, [NONE], ms(0))
        searching.append(reach.is_searching(state))
    assert searching == [True] * (reach.MAX_SEARCH_ROUNDS - 1) + [False] * 2
    assert not reach.is_searching(cut_off())


def test_reach_searches_again_when_the_carriers_are_lost():
    """Guards against refusals at once after a long cut, as a carrier ends."""
    state = reach.Reach()
    for i in range(20):
        state = reach.finish_round(state, [PEER], ms(500 * i))
    state = reach.finish_round(state, [NONE], ms(10000))
    assert state.next_round_at - ms(10000) == reach.MIN_RETRY_INTERVAL
    assert reach.is_searching(state)


def test_reach_pause_doubles_while_no_path_is_found():
    """Guards against a fleet that tries dead upstreams at a constant rate."""
    state = reach.Reach()
    pauses = []
    for _ in range(100):
        state = reach.finish_round(state, [NONE], ms(0))
        pauses.append(state.next_round_at)
    first = reach.MIN_RETRY_INTERVAL
    assert pauses[:4] == [first, 2 * first, 4 * first, 8 * first]
    assert set(pauses[4:]) == {reach.MAX_RETRY_INTERVAL}
