"""Clocks for tests."""

import datetime

from arbutuscove.kernel import clock


class MovedClock(clock.SystemClock):
    """The clock of the machine, moved on by a test instead of waited for."""

    def __init__(self):
        self._added = datetime.timedelta()

    def monotonic(self):
        return super().monotonic() + self._added

    def move_to(self, time):
        """Moves the clock on to a time, unless it has passed."""
        self._added += max(datetime.timedelta(), time - self.monotonic())
