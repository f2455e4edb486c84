"""Sums that forget: recent tokens and tokens per second without a log."""

import datetime
import math


class DecayedSum:
    """A sum whose parts fade with a time constant.

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
        self._at = datetime.timedelta()

    def add(self, amount: float, now: datetime.timedelta) -> None:
        """Adds an amount at a time."""
        self._value = self.read(now) + amount
        self._at = max(now, self._at)

    def read(self, now: datetime.timedelta) -> float:
        """Returns the sum as it has faded by now."""
        if now <= self._at:
            return self._value
        return self._value * math.exp(-((now - self._at) / self._window))


class BusyRate:
    """Tokens per second over a busy period, unbiased from its beginning.

    An idle queue has no drain rate: a rate that kept falling while nothing
    waited would predict long waits for the next small burst.
    """

    def __init__(
        self, window: datetime.timedelta, since: datetime.timedelta
    ) -> None:
        self._window = window
        self._since = since
        self._sum = DecayedSum(window)

    def add(self, tokens: float, now: datetime.timedelta) -> None:
        """Counts tokens that were sent off."""
        self._sum.add(tokens, now)

    def elapsed(self, now: datetime.timedelta) -> datetime.timedelta:
        """Returns how long the busy period has lasted."""
        return now - self._since

    def read(self, now: datetime.timedelta) -> float:
        """Returns tokens per second, 0 before any time has passed."""
        covered = 1.0 - math.exp(-(self.elapsed(now) / self._window))
        if covered <= 0.0:
            return 0.0
        return self._sum.read(now) / (self._window.total_seconds() * covered)


class TokenBucket:
    """An entitlement in tokens per second with a bounded burst.

    The level may go below zero once, so that one request larger than the burst
    can pass; the debt is then paid before the next one passes.
    """

    def __init__(self, burst: datetime.timedelta) -> None:
        self._burst = burst
        self._level: float | None = None
        self._at = datetime.timedelta()

    def try_acquire(
        self, tokens: float, rate: float, now: datetime.timedelta
    ) -> bool:
        """Draws tokens if any are left; returns whether it did."""
        full = rate * self._burst.total_seconds()
        level = full if self._level is None else self._level
        if now > self._at:
            level += rate * (now - self._at).total_seconds()
            self._at = now
        level = min(level, full)
        granted = level > 0.0
        self._level = level - tokens if granted else level
        return granted
