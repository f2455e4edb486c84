"""How full the engines of a model are, as their answers say.

Each answer carries what its engine ran and had waiting when it began. Requests
are spread evenly over the engines, so the answers that one daemon reads are
samples of all of them: some hundred milliseconds old, where the counts that
daemons tell each other take over a second to pass through a large fleet.
"""

import dataclasses
import datetime
import math

# Memory of the moving mean; a daemon of a large fleet reads three answers in
# this time.
WINDOW = datetime.timedelta(milliseconds=500)
# A mean without a new answer for so long is not used.
AGE_LONGEST = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineLoad:
    """What an engine says of itself; all counts are requests."""

    running: int
    waiting: int
    slots: int


class Occupancy:
    """Moving mean of requests in engines by their slots.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> occupancy = Occupancy()
        >>> occupancy.note(EngineLoad(running=13, waiting=13, slots=13), second)
        >>> occupancy.read(1.5 * second)
        2.0
        >>> occupancy.read(3 * second) is None
        True
    """

    def __init__(self) -> None:
        self._mean = 0.0
        self._at: datetime.timedelta | None = None

    def note(self, load: EngineLoad, now: datetime.timedelta) -> None:
        """Takes what an answer says."""
        found = (load.running + load.waiting) / max(1, load.slots)
        if self.read(now) is None or self._at is None:
            self._mean = found
        else:
            # The first of two answers in one moment must not hide the second.
            passed = max((now - self._at) / WINDOW, 0.1)
            self._mean += (1.0 - math.exp(-passed)) * (found - self._mean)
        self._at = now

    def read(self, now: datetime.timedelta) -> float | None:
        """Returns the mean, None if no answer came lately."""
        if self._at is None or now - self._at > AGE_LONGEST:
            return None
        return self._mean
