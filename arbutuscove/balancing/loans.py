"""Places that a daemon with more callers than others may use beside its own.

Each dispatcher owns an equal part of the slots (`scarcity`). The mean load of
the engines does not tell a daemon with many callers from an overload of all, so
a daemon compares its demand with that of each other daemon at about the same
time, as heartbeats report it: idle places are lent to those whose demand is
above their part, in proportion to the excess. In an overload of all daemons, no
places are idle.
"""

import collections
import dataclasses
import datetime
import math
from collections import abc

# Heartbeats take over a second to reach all of a large fleet.
REPORT_AGE = datetime.timedelta(milliseconds=1500)
SAMPLE_INTERVAL = datetime.timedelta(milliseconds=250)
# The daemon's own demand is compared as it was before the others reported
# theirs, so that a rise of the demand of all does not look like its own.
OWN_AGE = REPORT_AGE + SAMPLE_INTERVAL
# An older sample is from before a time without any request.
MAX_SAMPLE_AGE = 2 * OWN_AGE
# Random arrivals differ from their mean by more than this number of roots in
# one of fifteen cases.
VARIATION = 1.5
# Part of the free slots that late work takes in the time of a request, as work
# in time arrives meanwhile.
LATE_PART = 0.67


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Requests of one daemon that run or wait, and the slots that it owns."""

    requests: float
    places: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Loan:
    """What a daemon may use beside its own part of the slots.

    Attributes:
        slots: idle slots of other daemons.
        late_part: part of the free slots that late work may take.
    """

    slots: float = 0.0
    late_part: float = 0.0


NO_LOAN = Loan()


def compute_loan(own: Demand, others: abc.Iterable[Demand]) -> Loan:
    """Returns what a daemon may use beside its own places.

    An excess within the random variation gets nothing.

    Args:
        own: the daemon's demand that has lasted for `OWN_AGE`.
        others: demands of the other daemons, as last reported.

    Example:
        >>> idle = [Demand(requests=18, places=27)] * 14
        >>> round(compute_loan(Demand(requests=67, places=27), idle).slots, 1)
        52.3
        >>> compute_loan(Demand(requests=31, places=27), idle).slots
        0.0
    """
    excess = own.requests - own.places
    if excess <= math.sqrt(own.places):
        return NO_LOAN
    idle = total = 0.0
    for demand in others:
        idle += max(0.0, demand.places - demand.requests)
        total += max(0.0, demand.requests - demand.places)
    part = excess / (excess + total)
    wanted = excess + VARIATION * math.sqrt(own.requests)
    slots = min(wanted, idle * part)
    if slots < 1.0:
        return NO_LOAN
    return Loan(slots=slots, late_part=LATE_PART * part)


class DemandHistory:
    """A daemon's own demand, as it was before others reported theirs.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> history = DemandHistory()
        >>> [history.record(10.0 * n, n * second) for n in (1, 2, 3, 4)]
        [0.0, 0.0, 10.0, 20.0]
        >>> history.record(5.0, 5 * second)
        5.0
    """

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[datetime.timedelta, float]] = (
            collections.deque()
        )

    def record(self, requests: float, now: datetime.timedelta) -> float:
        """Adds the present demand; returns the one that has lasted.

        Args:
            requests: requests that run or wait.
            now: monotonic time.

        Returns:
            The smaller of the present demand and that of `OWN_AGE` ago; 0
            if the latter is not known.
        """
        samples = self._samples
        if not samples or now - samples[-1][0] >= SAMPLE_INTERVAL:
            samples.append((now, requests))
        while len(samples) > 1 and now - samples[1][0] >= OWN_AGE:
            samples.popleft()
        age = now - samples[0][0]
        is_known = OWN_AGE <= age <= MAX_SAMPLE_AGE
        return min(samples[0][1], requests) if is_known else 0.0
