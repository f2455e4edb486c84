"""When callers that a queue refuses are to come back, from measured rates.

The decision is that of `balancing.returns`; this module keeps what it needs to
know of one queue: how fast running work ends and how fast work of each rank
arrives.
"""

import datetime
from collections import abc

from arbutuscove.admission import rates
from arbutuscove.balancing import returns

# Demand that is expected to go on, and present demand. What is beyond the first
# is a burst.
STEADY_WINDOW = datetime.timedelta(seconds=10)
PRESENT_WINDOW = datetime.timedelta(seconds=1)
# Random arrivals are no burst.
MIN_BURST_FACTOR = 1.2
DURATION_WEIGHT = 0.1  # weight of a new running time in the moving mean


class Arrivals:
    """Arrival rates of one rank, without callers that were told to return."""

    def __init__(self, now: datetime.timedelta) -> None:
        self._steady = rates.BusyRate(STEADY_WINDOW, now)
        self._present = rates.BusyRate(PRESENT_WINDOW, now)

    def add(self, count: float, now: datetime.timedelta) -> None:
        """Counts arrivals; a negative count takes expected ones out."""
        self._steady.add(count, now)
        self._present.add(count, now)

    def read(self, now: datetime.timedelta) -> returns.Demand:
        """Returns the demand of the rank."""
        steady = max(0.0, self._steady.read(now))
        excess = max(0.0, self._present.read(now) - steady)
        return returns.Demand(steady=steady, excess=excess)


class ReturnPlanner:
    """Plans the returns of the callers that one queue refuses."""

    def __init__(self) -> None:
        self._calendar = returns.ReturnCalendar()
        self._arrivals: dict[int, Arrivals] = {}
        self._all: Arrivals | None = None
        self._burst_since: datetime.timedelta | None = None
        self._duration: datetime.timedelta | None = None

    def record_arrival(self, rank: int, now: datetime.timedelta) -> None:
        """Counts arriving work of a rank."""
        self._advance(now)
        arrivals = self._arrivals.get(rank)
        if arrivals is None:
            arrivals = self._arrivals[rank] = Arrivals(now)
        arrivals.add(1.0, now)
        if self._all is None:
            self._all = Arrivals(now)
        self._all.add(1.0, now)
        demand = self._all.read(now)
        is_burst = demand.excess > (MIN_BURST_FACTOR - 1.0) * demand.steady
        if not is_burst:
            self._burst_since = None
        elif self._burst_since is None:
            self._burst_since = now

    def record_end(self, duration: datetime.timedelta) -> None:
        """Records how long work ran."""
        if self._duration is None:
            self._duration = duration
        self._duration += DURATION_WEIGHT * (duration - self._duration)

    def plan(
        self,
        rank: int,
        waiting: abc.Mapping[int, int],
        running: int,
        now: datetime.timedelta,
        earliest: datetime.timedelta,
        latest: datetime.timedelta,
    ) -> returns.Return:
        """Returns when a caller is to come back.

        Args:
            rank: priority of the refused work.
            waiting: waiting work of each rank.
            running: running work of the queue.
            now: monotonic time.
            earliest: time that must pass before the caller comes back.
            latest: time from now after which the work cannot be served.
        """
        self._advance(now)
        end_rate = 0.0
        if self._duration:
            end_rate = running / self._duration.total_seconds()
        demands = {
            other: arrivals.read(now)
            for other, arrivals in self._arrivals.items()
        }
        urgent = [demand for other, demand in demands.items() if other < rank]
        outlook = returns.Outlook(
            end_rate=end_rate,
            urgent=returns.Demand(
                steady=sum(demand.steady for demand in urgent),
                excess=sum(demand.excess for demand in urgent),
            ),
            own=demands.get(rank, returns.Demand()),
            burst_age=datetime.timedelta()
            if self._burst_since is None
            else now - self._burst_since,
            waiting=sum(
                count for other, count in waiting.items() if other <= rank
            ),
        )
        return self._calendar.plan(outlook, rank, now, earliest, latest)

    def _advance(self, now: datetime.timedelta) -> None:
        """Takes the callers that return out of the demand.

        They arrive again, but are no demand that comes before them.
        """
        for rank, count in self._calendar.advance(now).items():
            self._arrivals[rank].add(-float(count), now)
            if self._all is not None:
                self._all.add(-float(count), now)
