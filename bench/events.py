"""A discrete-event loop on a manual clock."""

import datetime
import heapq
import itertools
from collections import abc

from arbutuscove.kernel import clock as clock_module


class EventLoop:
    """Runs callbacks in order of time, and of scheduling at equal times.

    Example:
        >>> loop = EventLoop()
        >>> loop.call_at(2.0, lambda: print(loop.now()))
        >>> loop.run(5.0)
        2.0
    """

    def __init__(self) -> None:
        self.clock = clock_module.ManualClock()
        self._events: list[tuple[float, int, abc.Callable[[], None]]] = []
        self._sequence_numbers = itertools.count()

    def now(self) -> float:
        """Returns the simulated time in seconds."""
        return self.clock.monotonic().total_seconds()

    def call_at(self, when: float, action: abc.Callable[[], None]) -> None:
        """Schedules one call.

        Args:
            when: simulated time of the call, in seconds.
            action: called once, without arguments.
        """
        heapq.heappush(
            self._events, (when, next(self._sequence_numbers), action)
        )

    def call_every(
        self, interval: float, action: abc.Callable[[], None], first: float
    ) -> None:
        """Schedules periodic calls.

        Args:
            interval: seconds between two calls.
            action: called without arguments.
            first: simulated time of the first call, in seconds.
        """

        def repeat() -> None:
            action()
            self.call_at(self.now() + interval, repeat)

        self.call_at(first, repeat)

    def run(self, until: float) -> None:
        """Runs all events that are due.

        Args:
            until: last simulated time to run, in seconds (inclusive).
        """
        while self._events and self._events[0][0] <= until:
            when, _, action = heapq.heappop(self._events)
            target = datetime.timedelta(seconds=when)
            self.clock.advance(
                max(datetime.timedelta(), target - self.clock.monotonic())
            )
            action()
