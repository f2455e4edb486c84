"""Retry budget of one service in one daemon, for the attempts of `relay.flow`.

It bounds the retries of a service in any window of time: the fleet may send a
ratio of the requests for the service plus a constant. Each daemon uses the
ratio of its own requests and an equal share of the constant, so daemons need no
coordination. A daemon that knows of fewer daemons than there are would take
more than its share, and so would one whose former process has spent some: the
largest number of daemons heard lately counts, and a process that follows
another one has no share of the constant in its first window.

The budget in `requests.attempts` is another one: it bounds the retries of all
services in one daemon by its requests since the start.
"""

import collections
import dataclasses
import datetime
from collections import abc

from arbutuscove.kernel import clock as clock_module

# Share of the allowance that is used: the arrivals that the allowance refers to
# are counted at another place and at other times.
SAFETY_FACTOR = 0.7
# How long a daemon counts that is not heard any more. It may only be silent, or
# cut off from this one, and goes on spending its share.
UNHEARD_TTL = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryAllowance:
    """Retries that the fleet may send in any window.

    `ratio` is retries per request, `slack` the number of retries beyond it.
    """

    ratio: float
    slack: float
    window: datetime.timedelta


class FleetSize:
    """The number of daemons that share the allowance.

    `count` returns how many daemons are heard now, with this one.
    """

    def __init__(
        self, clock: clock_module.Clock, count: abc.Callable[[], int]
    ) -> None:
        self._clock = clock
        self._count = count
        # Decreasing counts, each with the time at which it was last seen.
        self._peaks: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )

    def get(self) -> int:
        """Returns the largest number that was heard within `UNHEARD_TTL`.

        It is to be called regularly, also while no retry is needed.
        """
        now, count = self._clock.monotonic(), self._count()
        while self._peaks and self._peaks[-1][1] <= count:
            self._peaks.pop()
        self._peaks.append((now, count))
        while now - self._peaks[0][0] > UNHEARD_TTL:
            self._peaks.popleft()
        return self._peaks[0][1]


class RetryBudget:
    """Bounds the retries of one service in a sliding window."""

    def __init__(
        self,
        allowance: RetryAllowance,
        slack_from: datetime.timedelta = datetime.timedelta(),
    ) -> None:
        """Creates a budget without requests.

        Args:
            allowance: the allowance of the fleet.
            slack_from: monotonic time from which the slack may be used.
        """
        self._allowance = allowance
        self._slack_from = slack_from
        self._requests: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._retries: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    def record_request(self, now: datetime.timedelta) -> None:
        """Counts a caller's request."""
        self._expire(now)
        self._requests.append(now)

    def try_acquire(self, now: datetime.timedelta, daemons: int) -> bool:
        """Acquires one retry if the budget allows it.

        Args:
            now: monotonic time.
            daemons: number of daemons in the fleet, with this one.

        Returns:
            Whether the retry may be sent.
        """
        self._expire(now)
        allowance = self._allowance
        allowed = allowance.ratio * len(self._requests)
        if now >= self._slack_from:
            allowed += allowance.slack / max(1, daemons)
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            return False
        self._retries.append(now)
        return True

    def give_back(self) -> None:
        """Takes the newest retry back, as it was not sent."""
        if self._retries:
            self._retries.pop()

    def _expire(self, now: datetime.timedelta) -> None:
        start = now - self._allowance.window
        for times in (self._requests, self._retries):
            while times and times[0] <= start:
                times.popleft()
