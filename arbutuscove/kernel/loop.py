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
DECAY_FACTOR = 0.8  # keeps a spike visible for about one second of samples


class LagMonitor(services.LoopService):
    """Measures how late the loop runs its timers."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._lag = datetime.timedelta()
        self._last_lag = datetime.timedelta()
        self._sustained_lag = datetime.timedelta()

    def start(self, kernel: services.Kernel) -> None:
        """Begins sampling."""
        self.run_loop(self._sample)

    def get_lag(self) -> datetime.timedelta:
        """Returns the recent peak lag, decaying over about a second."""
        return self._lag

    def get_sustained_lag(self) -> datetime.timedelta:
        """Returns the smaller of the last two lags.

        One late timer may be a pause of the VM, after which nothing is late.
        """
        return self._sustained_lag

    def record(self, lag: datetime.timedelta) -> None:
        """Takes one sample into the decaying peak."""
        self._lag = max(lag, self._lag * DECAY_FACTOR)
        self._sustained_lag, self._last_lag = min(lag, self._last_lag), lag

    def _sample(self) -> None:
        while True:
            started_at = self._clock.monotonic()
            self._clock.sleep(SAMPLE_INTERVAL)
            lag = self._clock.monotonic() - started_at - SAMPLE_INTERVAL
            self.record(max(lag, datetime.timedelta()))
