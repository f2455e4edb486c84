"""Retry budget of one service in one daemon, for the attempts of `relay.flow`.

It bounds the retries of a service in any window of time: the fleet may send a
ratio of the requests for the service plus a constant. Each daemon uses the
ratio of its own requests and an equal share of the constant, so daemons need no
coordination. The budget in `requests.attempts` is another one: it bounds the
retries of all services in one daemon by its requests since the start.
"""

import collections
import dataclasses
import datetime

# Share of the allowance that is used: the arrivals that the allowance refers to
# are counted at another place and at other times.
SAFETY_FACTOR = 0.7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryAllowance:
    """Retries that the fleet may send in any window.

    `ratio` is retries per request, `slack` the number of retries beyond it.
    """

    ratio: float
    slack: float
    window: datetime.timedelta


class RetryBudget:
    """Bounds the retries of one service in a sliding window."""

    def __init__(self, allowance: RetryAllowance) -> None:
        self._allowance = allowance
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
