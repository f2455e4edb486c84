"""Times of a planned stop, and what they mean for a request.

After SIGTERM a daemon has a grace period until it is killed. Callers still send
to it at first; from `Schedule.refuse_at` on, a request that no upstream has
received is refused if its deadline leaves room for an answer that the stop
would cut. All other requests get an answer from `Schedule.cutoff` on, at the
latest: the daemon does not wait longer for upstreams.
"""

import dataclasses
import datetime

# Part of the grace period that a stop leaves for the exit of the process.
EXIT_MARGIN = datetime.timedelta(milliseconds=400)
# Time for the answers to requests that are given up at the cutoff.
LAST_ANSWERS_DURATION = datetime.timedelta(milliseconds=200)
# Part of a short time until the cutoff in which all requests are accepted.
MAX_ACCEPT_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Schedule:
    """Monotonic times of a planned stop, in their order.

    Attributes:
        refuse_at: when requests begin to be refused that may be cut.
        cutoff: when the last answers are given.
        exit_at: when the process ends, whether or not they have been read.
    """

    refuse_at: datetime.timedelta
    cutoff: datetime.timedelta
    exit_at: datetime.timedelta


def plan_stop(
    begun_at: datetime.timedelta,
    grace: datetime.timedelta,
    accept_duration: datetime.timedelta,
) -> Schedule:
    """Returns the times of a stop.

    Args:
        begun_at: when the stop began.
        grace: time until the process is killed.
        accept_duration: how long callers may still use this daemon; a short
            grace period shortens it.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> schedule = plan_stop(0 * second, 8 * second, 3 * second)
        >>> schedule.refuse_at / second, schedule.cutoff / second
        (3.0, 7.4)
    """
    exit_at = begun_at + max(grace - EXIT_MARGIN, grace / 2)
    left = exit_at - begun_at
    cutoff = exit_at - min(LAST_ANSWERS_DURATION, left / 2)
    longest = MAX_ACCEPT_SHARE * (cutoff - begun_at)
    return Schedule(
        refuse_at=begun_at + min(accept_duration, longest),
        cutoff=cutoff,
        exit_at=exit_at,
    )


class Shutdown:
    """The planned stop of this daemon, once it has begun."""

    def __init__(self) -> None:
        self._schedule: Schedule | None = None

    def begin(self, schedule: Schedule) -> None:
        """Begins the stop; a stop that has begun keeps its times."""
        if self._schedule is None:
            self._schedule = schedule

    def get_schedule(self) -> Schedule | None:
        """Returns the times of the stop, None before it begins."""
        return self._schedule

    def may_cut(
        self, now: datetime.timedelta, deadline: datetime.timedelta
    ) -> bool:
        """Returns whether a request sent to an upstream now may be cut.

        Until `Schedule.refuse_at` this is accepted, as callers may not know of
        the stop.
        """
        schedule = self._schedule
        return (
            schedule is not None
            and now >= schedule.refuse_at
            and deadline > schedule.cutoff
        )

    def has_cut(self, now: datetime.timedelta) -> bool:
        """Returns whether no attempt may go on."""
        return self._schedule is not None and now >= self._schedule.cutoff

    def bound_deadline(
        self, deadline: datetime.timedelta
    ) -> datetime.timedelta:
        """Returns when the attempts at a request have to end."""
        if self._schedule is None:
            return deadline
        return min(deadline, self._schedule.cutoff)
