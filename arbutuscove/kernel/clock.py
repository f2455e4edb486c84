"""Clock interface, so that decisions can be tested with a manual clock.

Durations come from a monotonic clock and are `datetime.timedelta`. Wall-clock
time is only recorded for people to read; no decision compares wall-clock times
of different machines.
"""

import datetime
import time
import typing

import gevent


class Clock(typing.Protocol):
    """Source of time for every module that needs it."""

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary fixed point; never decreases."""

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC, for records only."""

    def sleep(self, duration: datetime.timedelta) -> None:
        """Suspends the calling greenlet for `duration`."""


class SystemClock:
    """The clock of the machine, including time in which the VM is suspended.

    Leases and deadlines expire, and data ages, during a suspension, too.
    """

    def monotonic(self) -> datetime.timedelta:
        """Returns the time since an arbitrary fixed point; never decreases."""
        seconds = time.clock_gettime(time.CLOCK_BOOTTIME)
        return datetime.timedelta(seconds=seconds)

    def now(self) -> datetime.datetime:
        """Returns the wall-clock time in UTC, for records only."""
        return datetime.datetime.now(datetime.UTC)

    def sleep(self, duration: datetime.timedelta) -> None:
        """Suspends the calling greenlet for `duration`."""
        gevent.sleep(duration.total_seconds())


class ManualClock:
    """A clock that only advances when told to, for tests and benchmarks.

    Example:
        >>> clock = ManualClock()
        >>> clock.advance(datetime.timedelta(seconds=2))
        >>> clock.monotonic()
        datetime.timedelta(seconds=2)
    """

    def __init__(self) -> None:
        self._elapsed = datetime.timedelta()
        self._origin = datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC)

    def advance(self, duration: datetime.timedelta) -> None:
        """Advances the clock.

        Args:
            duration: the time to add.

        Raises:
            ValueError: `duration` is negative.
        """
        if duration < datetime.timedelta():
            raise ValueError(f"duration must not be negative: {duration}")
        self._elapsed += duration

    def monotonic(self) -> datetime.timedelta:
        """Returns the total time advanced so far."""
        return self._elapsed

    def now(self) -> datetime.datetime:
        """Returns a fixed date plus the total time advanced so far."""
        return self._origin + self._elapsed

    def sleep(self, duration: datetime.timedelta) -> None:
        """Advances the clock by `duration` without blocking."""
        self.advance(duration)
