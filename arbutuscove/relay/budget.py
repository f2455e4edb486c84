"""Repeats that this daemon may send, a share of those of the whole fleet.

The fleet may send, in any window, a ratio of the requests for a service and a
constant more. Each daemon takes the ratio of its own requests and an equal
part of the constant, so no daemon needs to ask another.
"""

import collections
import dataclasses
import datetime

# Of the allowance; arrivals are counted elsewhere and at other moments.
SAFETY = 0.7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryAllowance:
    """Repeats that the fleet may send in any window."""

    ratio: float
    slack: float
    window: datetime.timedelta


class RepeatBudget:
    """Counts requests and repeats of one service in a sliding window."""

    def __init__(self, allowance: RetryAllowance) -> None:
        self._allowance = allowance
        self._requests: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._repeats: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    def note_request(self, now: datetime.timedelta) -> None:
        """Counts a request of a caller."""
        self._forget(now)
        self._requests.append(now)

    def take(self, now: datetime.timedelta, daemons: int) -> bool:
        """Draws one repeat; returns whether it may be sent."""
        self._forget(now)
        allowance = self._allowance
        allowed = allowance.ratio * len(self._requests)
        allowed += allowance.slack / max(1, daemons)
        if len(self._repeats) + 1 > SAFETY * allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: datetime.timedelta) -> None:
        start = now - self._allowance.window
        for times in (self._requests, self._repeats):
            while times and times[0] <= start:
                times.popleft()
