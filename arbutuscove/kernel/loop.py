"""Lag of the event loop: how late a timer fires.

One loop on one thread serves everything, so its lag is the first sign of
overload. New work is shed while it stays above `SHED_LAG`; leases are no longer
renewed above `RELEASE_LAG`, so that another daemon takes the duties before a
lease is held by a process too busy to honour it.
"""

import datetime

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "loop"
SAMPLE_INTERVAL = datetime.timedelta(milliseconds=100)
SHED_LAG = datetime.timedelta(milliseconds=250)
RELEASE_LAG = datetime.timedelta(seconds=1)
DECAY = 0.8  # keeps a spike visible for about one second of samples


class LagMonitor(services.LoopService):
    """Measures how late the loop runs its timers."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._lag = datetime.timedelta()
        self._last = datetime.timedelta()
        self._sustained = datetime.timedelta()

    def start(self, kernel: services.Kernel) -> None:
        """Begins sampling."""
        self.run_loop(self._sample)

    def lag(self) -> datetime.timedelta:
        """Returns the recent peak lag, decaying over about a second."""
        return self._lag

    def sustained(self) -> datetime.timedelta:
        """Returns the smaller of the last two lags.

        One late timer may be a pause of the VM, after which nothing is late.
        """
        return self._sustained

    def record(self, late: datetime.timedelta) -> None:
        """Takes one sample into the decaying peak."""
        self._lag = max(late, self._lag * DECAY)
        self._sustained, self._last = min(late, self._last), late

    def _sample(self) -> None:
        while True:
            before = self._clock.monotonic()
            self._clock.sleep(SAMPLE_INTERVAL)
            late = self._clock.monotonic() - before - SAMPLE_INTERVAL
            self.record(max(late, datetime.timedelta()))
