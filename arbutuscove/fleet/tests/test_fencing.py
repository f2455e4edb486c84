"""Guards against members released without a proof that their head ended."""

import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.fleet import fencing

SECOND = datetime.timedelta(seconds=1)
STALL = 6 * SECOND
FENCE_TIME = fencing.compute_fence_time(STALL)
DAY = 86400 * SECOND
durations = strategies.timedeltas(min_value=0 * SECOND, max_value=DAY)
groups = strategies.builds(
    fencing.HeadlessGroup,
    sign=strategies.sampled_from(fencing.HeadSign),
    silent_for=durations,
    unlisted_for=durations,
    may_be_draining=strategies.booleans(),
    lost_member_for=strategies.none() | durations,
)


def _decide(sign, silent_for, **fields):
    values = {
        "unlisted_for": silent_for,
        "may_be_draining": False,
        "lost_member_for": None,
    }
    group = fencing.HeadlessGroup(
        sign=sign, silent_for=silent_for, **(values | fields)
    )
    return fencing.decide(group, STALL)


@hypothesis.given(groups)
def test_no_time_of_silence_releases_members(group):
    """Guards against a timeout taken for the end of a head (review/6, 9)."""
    if fencing.decide(group, STALL) == fencing.Decision.RELEASE:
        assert group.sign == fencing.HeadSign.ENDED or (
            group.lost_member_for is not None
            and group.lost_member_for >= FENCE_TIME
        )


@pytest.mark.parametrize(
    ("sign", "patience"),
    [
        (fencing.HeadSign.REFUSING, fencing.REFUSING_HEAD_PATIENCE),
        (fencing.HeadSign.SILENT, fencing.SILENT_HEAD_PATIENCE),
        (fencing.HeadSign.UNSEEN, fencing.UNSEEN_HEAD_PATIENCE),
    ],
)
def test_head_is_fenced_once_patience_has_ended(sign, patience):
    """Guards against members that wait for ever, and heads fenced at once."""
    assert _decide(sign, patience - SECOND / 9) == fencing.Decision.WAIT
    assert _decide(sign, patience) == fencing.Decision.FENCE


def test_head_that_answers_is_not_fenced():
    """Guards against a fence for a head that can be ordered to leave."""
    sign = fencing.HeadSign.RESPONSIVE
    for is_draining in (False, True):
        decision = _decide(sign, DAY, may_be_draining=is_draining)
        assert decision == fencing.Decision.WAIT


def test_draining_head_may_finish_its_requests():
    """Guards against answers cut off as a planned drain ends."""
    for sign in (fencing.HeadSign.REFUSING, fencing.HeadSign.SILENT):
        for seconds, decision in (
            (5, fencing.Decision.WAIT),
            (6, fencing.Decision.FENCE),
        ):
            unlisted_for = seconds * SECOND
            assert (
                _decide(
                    sign, DAY, unlisted_for=unlisted_for, may_be_draining=True
                )
                == decision
            )


def test_fenced_head_is_fenced_only_once():
    """Guards against one member after the other that is ordered to leave."""
    for sign in fencing.HeadSign:
        if sign != fencing.HeadSign.ENDED:
            decision = _decide(sign, DAY, lost_member_for=FENCE_TIME - SECOND)
            assert decision == fencing.Decision.WAIT
