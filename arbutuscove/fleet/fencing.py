"""When the members of a group without a listed head may be reused.

A head that is disconnected and one that has ended look the same from here: no
silence, however long, shows that a head serves no longer. What does show it is
the loss of a member: the head of a group without one of its members serves no
longer after the stall timeout. One member that answers is therefore ordered to
leave, which *fences* the head, and all are reused once that time has passed.

A fence costs a head that is only disconnected its group, and waiting costs the
members of a head that has ended their time. How long to wait before the fence
depends on the signs of the head and decides nothing but these costs.
"""

import dataclasses
import datetime
import enum

# Covers the difference between the clocks of the VMs, and the time that the
# head takes to notice the loss.
STALL_MARGIN = datetime.timedelta(milliseconds=600)
# A server in trouble may refuse connections for a moment.
REFUSING_HEAD_PATIENCE = datetime.timedelta(seconds=1)
# A head that is only disconnected comes back with its whole group.
SILENT_HEAD_PATIENCE = datetime.timedelta(seconds=1)
# Requests that a draining head has accepted end within this time, but for a
# few that are resumed elsewhere.
DRAINING_HEAD_PATIENCE = datetime.timedelta(seconds=6)
# The entry of a head that was there before this daemon started may come back.
UNSEEN_HEAD_PATIENCE = datetime.timedelta(seconds=2)


class HeadSign(enum.Enum):
    """What is known of a head that is not listed."""

    ENDED = "ended"  # it serves the group no longer
    RESPONSIVE = "responsive"  # it answers, and is in the group
    REFUSING = "refusing"  # no process listens at its address, as it seems
    SILENT = "silent"
    UNSEEN = "unseen"  # this daemon has never seen its entry


class Decision(enum.Enum):
    """What to do with the members of a group without a listed head."""

    WAIT = "wait"
    FENCE = "fence"  # order a member to leave
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeadlessGroup:
    """What is known of a group without a listed head.

    `silent_for` is for how long the head has not answered, or not been seen.
    `unlisted_for` is for how long it has not been listed. `may_be_draining` is
    whether it may have left the list to drain with requests that it serves.
    `lost_member_for` is for how long a member has been known to be in the group
    no longer, None if none is.
    """

    sign: HeadSign
    silent_for: datetime.timedelta
    unlisted_for: datetime.timedelta
    may_be_draining: bool
    lost_member_for: datetime.timedelta | None


def compute_fence_time(stall_timeout: datetime.timedelta) -> datetime.timedelta:
    """Returns the time from the loss of a member until the head has ended.

    Args:
        stall_timeout: time after which an engine gives up work that depends on
            a lost member.
    """
    return stall_timeout + STALL_MARGIN


def decide(group: HeadlessGroup, stall_timeout: datetime.timedelta) -> Decision:
    """Decides whether the members of a group may be reused.

    Args:
        group: what is known of the group.
        stall_timeout: time after which an engine gives up work that depends on
            a lost member.

    Returns:
        The decision. The members are released only if the head is known to
        serve no longer.
    """
    if group.sign == HeadSign.ENDED:
        return Decision.RELEASE
    if group.lost_member_for is not None:
        if group.lost_member_for >= compute_fence_time(stall_timeout):
            return Decision.RELEASE
        return Decision.WAIT
    if group.may_be_draining and group.sign != HeadSign.RESPONSIVE:
        is_due = group.unlisted_for >= DRAINING_HEAD_PATIENCE
        return Decision.FENCE if is_due else Decision.WAIT
    match group.sign:
        case HeadSign.REFUSING:
            is_due = group.silent_for >= REFUSING_HEAD_PATIENCE
        case HeadSign.SILENT:
            is_due = group.silent_for >= SILENT_HEAD_PATIENCE
        case HeadSign.UNSEEN:
            is_due = group.silent_for >= UNSEEN_HEAD_PATIENCE
        case _:
            is_due = False
    return Decision.FENCE if is_due else Decision.WAIT
