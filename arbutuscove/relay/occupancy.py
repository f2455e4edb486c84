"""Estimate of how full the engines of a model are, from response headers.

Each answer reports how many requests its engine was running and queueing when
the answer began. Requests are spread evenly over the engines, so the answers
that one daemon reads are samples of all engines. They are some hundred
milliseconds old, while the counts that daemons send each other take over a
second to reach all of a large fleet.
"""

import dataclasses
import datetime
import math

# Time constant of the moving mean. A daemon of a large fleet reads three
# answers in this time.
WINDOW = datetime.timedelta(milliseconds=500)
# A mean whose last answer is older than this is not used.
MAX_MEAN_AGE = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineLoad:
    """Load that an engine reports; all values are numbers of requests."""

    running: int
    waiting: int
    slots: int


class Occupancy:
    """Moving mean of the requests in an engine divided by its slots.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> occupancy = Occupancy()
        >>> load = EngineLoad(running=13, waiting=13, slots=13)
        >>> occupancy.record(load, second)
        >>> occupancy.get_mean(1.5 * second)
        2.0
        >>> occupancy.get_mean(3 * second) is None
        True
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._updated_at: datetime.timedelta | None = None

    def record(self, load: EngineLoad, now: datetime.timedelta) -> None:
        """Adds the load that an answer reports to the mean."""
        ratio = (load.running + load.waiting) / max(1, load.slots)
        if self.get_mean(now) is None or self._updated_at is None:
            self._mean = ratio
        else:
            # The lower bound lets the second of two answers that arrive at the
            # same time still count.
            elapsed_windows = max((now - self._updated_at) / WINDOW, 0.1)
            self._mean += (1.0 - math.exp(-elapsed_windows)) * (
                ratio - self._mean
            )
        self._updated_at = now

    def get_age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Returns the time since the last answer, None before the first."""
        return None if self._updated_at is None else now - self._updated_at

    def get_mean(self, now: datetime.timedelta) -> float | None:
        """Returns the mean, None if the last answer is too old."""
        if self._updated_at is None or now - self._updated_at > MAX_MEAN_AGE:
            return None
        return self._mean
