"""An event loop on a manual clock."""

import datetime
import heapq
import itertools
from collections import abc

from arbutuscove.kernel import clock as clock_module


class EventLoop:
    """Runs callbacks in order of time; equal times in order of scheduling.

    Example:
        >>> loop = EventLoop()
        >>> loop.call_at(2.0, lambda: print(loop.now()))
        >>> loop.run(5.0)
        2.0
    """

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._numbers = itertools.count()

    def now(self) -> float:
        """Returns the time in seconds."""
        return self.clock.monotonic().total_seconds()

    def call_at(self, when: float, action: abc.Callable[[], None]) -> None:
        """Schedules an action at a time in seconds."""
        heapq.heappush(self._events, (when, next(self._numbers), action))

    def call_every(
        self, interval: float, action: abc.Callable[[], None], first: float
    ) -> None:
        """Schedules an action at a time and then at each interval."""

        def repeat() -> None:
            action()
            self.call_at(self.now() + interval, repeat)

        self.call_at(first, repeat)

    def run(self, until: float) -> None:
        """Runs all events up to a time in seconds."""
        while self._events and self._events[0][0] <= until:
            when, _, action = heapq.heappop(self._events)
            wanted = datetime.timedelta(seconds=when)
            self.clock.advance(
                max(datetime.timedelta(), wanted - self.clock.monotonic())
            )
            action()
