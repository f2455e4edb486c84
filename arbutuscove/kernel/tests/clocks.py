"""Clocks for tests."""

from arbutuscove.kernel import clock


class StoppedClock(clock.SystemClock):
    """The clock of the machine until a test stops it and moves it on."""

    def __init__(self):
        self._stopped_at = None

    def monotonic(self):
        if self._stopped_at is None:
            return super().monotonic()
        return self._stopped_at

    def stop(self):
        """Stops the clock and returns its time."""
        self._stopped_at = self.monotonic()
        return self._stopped_at

    def move_to(self, time):
        """Moves the stopped clock on to a time, unless it has passed."""
        self._stopped_at = max(self.monotonic(), time)
