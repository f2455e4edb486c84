"""Exponentially decayed sums and rates, and a token bucket.

None of them stores single events.
"""

import datetime
import math


class DecayedSum:
    """A sum whose terms decay exponentially with a time constant.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> recent = DecayedSum(10 * second)
        >>> recent.add(100.0, 0 * second)
        >>> round(recent.read(10 * second), 1)
        36.8
    """

    def __init__(self, window: datetime.timedelta) -> None:
        self._window = window
        self._value = 0.0
        self._updated_at = datetime.timedelta()

    def add(self, amount: float, now: datetime.timedelta) -> None:
        """Adds an amount at the time `now`."""
        self._value = self.read(now) + amount
        self._updated_at = max(now, self._updated_at)

    def read(self, now: datetime.timedelta) -> float:
        """Returns the sum, decayed until `now`."""
        if now <= self._updated_at:
            return self._value
        return self._value * math.exp(
            -((now - self._updated_at) / self._window)
        )


class BusyRate:
    """Tokens per second since the start of a busy period.

    The decayed sum is divided by the part of its window that the busy period
    covers, so the rate is unbiased from the start. An idle queue has no drain
    rate: a rate that decayed while nothing waited would predict long waits for
    the next small burst.
    """

    def __init__(
        self, window: datetime.timedelta, since: datetime.timedelta
    ) -> None:
        self._window = window
        self._since = since
        self._sum = DecayedSum(window)

    def add(self, tokens: float, now: datetime.timedelta) -> None:
        """Counts dispatched tokens."""
        self._sum.add(tokens, now)

    def compute_elapsed(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns the duration of the busy period until `now`."""
        return now - self._since

    def read(self, now: datetime.timedelta) -> float:
        """Returns tokens per second; 0 at the start of the busy period."""
        covered_share = 1.0 - math.exp(
            -(self.compute_elapsed(now) / self._window)
        )
        if covered_share <= 0.0:
            return 0.0
        return self._sum.read(now) / (
            self._window.total_seconds() * covered_share
        )


class TokenBucket:
    """A token bucket with a bounded burst; the caller passes the rate.

    A request is granted whenever the level is positive, and the level may then
    become negative, so that a request larger than the burst can pass. No other
    request passes until the level is positive again.
    """

    def __init__(self, burst: datetime.timedelta) -> None:
        self._burst = burst
        self._level: float | None = None
        self._updated_at = datetime.timedelta()

    def try_acquire(
        self, tokens: float, rate: float, now: datetime.timedelta
    ) -> bool:
        """Takes tokens from the bucket if its level is positive.

        Args:
            tokens: number of tokens.
            rate: refill rate in tokens per second.
            now: monotonic time.

        Returns:
            Whether the tokens were granted.
        """
        full = rate * self._burst.total_seconds()
        level = full if self._level is None else self._level
        if now > self._updated_at:
            level += rate * (now - self._updated_at).total_seconds()
            self._updated_at = now
        level = min(level, full)
        is_granted = level > 0.0
        self._level = level - tokens if is_granted else level
        return is_granted
