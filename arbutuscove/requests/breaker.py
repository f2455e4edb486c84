"""Stops calls to a service that does not answer in time.

While closed, all calls pass. A call that failed after `SLOW` opens the breaker
for `OPEN_FOR`, and calls are then refused at once. After that one call passes
as a trial: its success closes the breaker, its failure opens it again. The
other calls are refused until the trial has ended (Nygard, Release It!, 2007).
"""

import datetime

from arbutuscove.kernel import clock as clock_module

# A refused connection or a 503 comes within milliseconds and needs no breaker.
SLOW = datetime.timedelta(seconds=1)
# Short, so that a service that is back is used again soon; long enough that
# trials of 2 to 5 s are not made without a break.
OPEN_FOR = datetime.timedelta(seconds=5)


class Breaker:
    """Decides whether a call may be made, from how earlier ones ended.

    Example:
        >>> clock = clock_module.ManualClock()
        >>> breaker = Breaker(clock)
        >>> breaker.record_failure(started=clock.monotonic() - 2 * SLOW)
        >>> breaker.permit()
        False
        >>> clock.advance(OPEN_FOR)
        >>> breaker.permit(), breaker.permit()
        (True, False)
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._open_until: datetime.timedelta | None = None
        self._trial = False

    def permit(self) -> bool:
        """Returns whether a call may be made; its end must be recorded."""
        if self._open_until is None:
            return True
        if self._trial or self._clock.monotonic() < self._open_until:
            return False
        self._trial = True
        return True

    def record_success(self) -> None:
        """Closes the breaker: the service answered."""
        self._open_until = None
        self._trial = False

    def record_failure(self, started: datetime.timedelta) -> None:
        """Opens the breaker if the call that began at `started` was slow.

        A trial that failed quickly also ends the open state: such failures
        refuse callers quickly by themselves.
        """
        now = self._clock.monotonic()
        slow = now - started >= SLOW
        if slow:
            self._open_until = now + OPEN_FOR
        elif self._trial:
            self._open_until = None
        self._trial = False

    def cancel(self) -> None:
        """Lets another call be the trial: the last one said nothing."""
        self._trial = False
