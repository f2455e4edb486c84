"""Times at which refused callers are to come back.

Callers that are refused together and told the same time come back together and
are refused again. Each is therefore told a time at which room is expected that
nobody else was told. Room grows with the rate at which requests end, less the
demand that goes first, once what waits has been served. A caller that cannot be
served by then is told the time all the same, with `is_hopeless`: it is useful
for another request, but not for this one.

Work of a more urgent rank sees less demand and less backlog before it than work
of a less urgent one, so it is told an earlier time, also while the room of
others is taken.
"""

import collections
import dataclasses
import datetime
import math
from collections import abc

# Callers come back with delays of connections and clocks, so a finer calendar
# gives nothing.
CELL = datetime.timedelta(milliseconds=250)
CELLS = 240  # of the calendar; later times are estimates without a place
# Share of the room beside more urgent demand that is kept for those who come
# back while new requests of their own rank take all, as deadlines decide there.
MIN_SHARE = 0.1
# A burst is expected to last this many times as long again as it has lasted.
PERSISTENCE = 2.0
MAX_DELAY = CELLS * CELL
JITTER = 0.25  # spreads the returns of callers without a place
GOLDEN_RATIO_FRACTION = 0.6180339887498949  # multiples mod 1 are evenly spread


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demand:
    """Arrivals each second, without those that were told to come back.

    `steady` is expected to go on, `excess` is a burst beyond it.
    """

    steady: float = 0.0
    excess: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outlook:
    """What a refused request of one rank would meet.

    Attributes:
        end_rate: requests that end each second.
        urgent: demand of more urgent ranks.
        own: demand of the request's own rank.
        burst_age: how long the excess has lasted.
        waiting: requests of these ranks that wait.
    """

    end_rate: float
    urgent: Demand
    own: Demand
    burst_age: datetime.timedelta = datetime.timedelta()
    waiting: int = 0

    def compute_room(self, time: datetime.timedelta) -> float:
        """Returns how many callers may come back by a time from now."""
        seconds = time.total_seconds()
        burst = min(seconds, PERSISTENCE * self.burst_age.total_seconds())
        left = (
            self.end_rate - self.urgent.steady
        ) * seconds - self.urgent.excess * burst
        own = self.own.steady * seconds + self.own.excess * burst
        return max(left - own, MIN_SHARE * left) - self.waiting


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Return:
    """When a caller is to come back.

    `is_hopeless` tells that the refused request cannot be served then.
    """

    delay: datetime.timedelta
    is_hopeless: bool


def find_cell(
    outlook: Outlook,
    booked: abc.Sequence[int],
    first: int,
    offset: datetime.timedelta,
) -> int | None:
    """Returns the first cell in which one more caller fits, None without one.

    A caller fits if, at the end of its cell and of each later one, no more
    callers have come back than there was room for.

    Args:
        outlook: what the request would meet.
        booked: callers told to come back in each cell that matters, the present
            one first.
        first: the earliest cell to consider.
        offset: time since the begin of the present cell.
    """
    found: int | None = None
    total = sum(booked)
    for number in range(len(booked) - 1, first - 1, -1):
        room = outlook.compute_room((number + 1) * CELL - offset)
        if room - total < 1.0:
            break
        found = number
        total -= booked[number]
    return found


class ReturnCalendar:
    """The callers that were told to come back, by cells of time.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> calendar = ReturnCalendar()
        >>> outlook = Outlook(
        ...     end_rate=10.0,
        ...     urgent=Demand(steady=8.0),
        ...     own=Demand(),
        ...     waiting=2,
        ... )
        >>> planned = [
        ...     calendar.plan(outlook, 0, 0 * second, 0 * second, 9 * second)
        ...     for _ in range(3)
        ... ]
        >>> [round(each.delay.total_seconds(), 1) for each in planned]
        [1.7, 2.1, 2.7]
    """

    def __init__(self) -> None:
        self._cells: collections.deque[collections.Counter[int]] = (
            collections.deque(collections.Counter() for _ in range(CELLS))
        )
        self._begin = datetime.timedelta()  # of the present cell
        self._count = 0

    def advance(self, now: datetime.timedelta) -> collections.Counter[int]:
        """Moves to the present cell.

        Args:
            now: monotonic time.

        Returns:
            The callers, by rank, whose time to come back has passed since the
            last call.
        """
        passed: collections.Counter[int] = collections.Counter()
        steps = math.floor((now - self._begin) / CELL)
        for _ in range(min(steps, CELLS)):
            passed += self._cells.popleft()
            self._cells.append(collections.Counter())
        self._begin += max(0, steps) * CELL
        return passed

    def plan(
        self,
        outlook: Outlook,
        rank: int,
        now: datetime.timedelta,
        earliest: datetime.timedelta,
        latest: datetime.timedelta,
    ) -> Return:
        """Returns when a refused caller is to come back, and books the time.

        A time after `latest` is not booked.

        Args:
            outlook: what the request would meet.
            rank: priority of the request, 0 for the most urgent.
            now: monotonic time, as last passed to `advance`.
            earliest: time that must pass before the caller comes back.
            latest: time from now after which this request cannot be served.
        """
        self._count += 1
        spread = self._count * GOLDEN_RATIO_FRACTION % 1.0
        offset = now - self._begin
        # Room grows during its cell and is there at the end of it.
        first = max(0, math.ceil((earliest + offset) / CELL) - 1)
        last = min(math.floor((latest + offset) / CELL), CELLS)
        # Cells after the last booked one are no limit.
        counts = [cell.total() for cell in self._cells]
        while len(counts) > max(last, 0) and not counts[-1]:
            counts.pop()
        number = find_cell(outlook, counts, first, offset)
        if number is None or number >= last:
            delay = _estimate(outlook, sum(counts), earliest)
            delay *= 1.0 + JITTER * spread
            return Return(delay=delay, is_hopeless=delay > latest)
        self._cells[number][rank] += 1
        delay = (number + 1) * CELL - offset
        return Return(
            delay=min(delay + CELL * spread, latest), is_hopeless=False
        )


def _estimate(
    outlook: Outlook, booked: int, earliest: datetime.timedelta
) -> datetime.timedelta:
    """Returns when room is expected for another request, roughly."""
    delay = max(earliest, CELL)
    if outlook.end_rate <= 0.0:
        return delay  # no rate has been measured
    while delay < MAX_DELAY and outlook.compute_room(delay) < booked + 1:
        delay *= 2
    return min(delay, MAX_DELAY)
