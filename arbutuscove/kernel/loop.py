"""Lag of the event loop: how late timers fire.

A single event loop on one thread runs the whole process, so its lag is the
first sign of overload. New work is shed while the lag stays above `SHED_LAG`.
Above `RELEASE_LAG` leases are no longer renewed, so that another daemon takes
over the duties before this process becomes too slow to perform them while it
still holds their leases.
"""

import datetime

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "loop"
SAMPLE_INTERVAL = datetime.timedelta(milliseconds=100)
SHED_LAG = datetime.timedelta(milliseconds=250)
RELEASE_LAG = datetime.timedelta(seconds=1)
DECAY_FACTOR = 0.8  # per sample; a spike remains visible for about 1 s


class LagMonitor(services.LoopService):
    """Measures how late the event loop runs its timers."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._lag = datetime.timedelta()
        self._last_lag = datetime.timedelta()
        self._sustained_lag = datetime.timedelta()

    def start(self, kernel: services.Kernel) -> None:
        """Starts sampling."""
        self.run_loop(self._sample)

    def get_lag(self) -> datetime.timedelta:
        """Returns the recent peak lag, which decays over about 1 s."""
        return self._lag

    def get_sustained_lag(self) -> datetime.timedelta:
        """Returns the smaller of the last two samples.

        A single late timer may be due to a pause of the VM that is already
        over, so it does not indicate overload.
        """
        return self._sustained_lag

    def record(self, lag: datetime.timedelta) -> None:
        """Adds a sample of the lag."""
        self._lag = max(lag, self._lag * DECAY_FACTOR)
        self._sustained_lag, self._last_lag = min(lag, self._last_lag), lag

    def _sample(self) -> None:
        while True:
            started_at = self._clock.monotonic()
            self._clock.sleep(SAMPLE_INTERVAL)
            lag = self._clock.monotonic() - started_at - SAMPLE_INTERVAL
            self.record(max(lag, datetime.timedelta()))
