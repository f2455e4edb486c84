"""Circuit breaker for a service that does not answer in time.

While the breaker is closed, all calls are allowed. A call that fails after
`SLOW_CALL_THRESHOLD` or longer opens the breaker for `OPEN_DURATION`, during
which calls are refused at once. After that, one call is allowed as a probe: its
success closes the breaker, and if it fails slowly, the breaker opens again.
Other calls are refused until the probe has ended (Nygard, Release It!, 2007).
"""

import datetime

from arbutuscove.kernel import clock as clock_module

# Refused connections and 503 responses arrive within milliseconds, so they do
# not need a breaker.
SLOW_CALL_THRESHOLD = datetime.timedelta(seconds=1)
# Short, so that a recovered service is used again soon; long enough that probes
# of 2 to 5 s do not follow each other without a break.
OPEN_DURATION = datetime.timedelta(seconds=5)


class Breaker:
    """Allows or refuses calls, depending on how earlier calls ended.

    Example:
        >>> clock = clock_module.ManualClock()
        >>> breaker = Breaker(clock)
        >>> breaker.record_failure(
        ...     started=clock.monotonic() - 2 * SLOW_CALL_THRESHOLD
        ... )
        >>> breaker.allow_call()
        False
        >>> clock.advance(OPEN_DURATION)
        >>> breaker.allow_call(), breaker.allow_call()
        (True, False)
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._open_until: datetime.timedelta | None = None
        self._is_probing = False

    def allow_call(self) -> bool:
        """Returns whether a call is allowed; its result must be recorded."""
        if self._open_until is None:
            return True
        if self._is_probing or self._clock.monotonic() < self._open_until:
            return False
        self._is_probing = True
        return True

    def record_success(self) -> None:
        """Closes the breaker: the service answered."""
        self._open_until = None
        self._is_probing = False

    def record_failure(self, started: datetime.timedelta) -> None:
        """Opens the breaker if the failed call was slow.

        A probe that failed quickly closes the breaker, since such failures do
        not make callers wait.

        Args:
            started: start of the call on the monotonic clock.
        """
        now = self._clock.monotonic()
        is_slow = now - started >= SLOW_CALL_THRESHOLD
        if is_slow:
            self._open_until = now + OPEN_DURATION
        elif self._is_probing:
            self._open_until = None
        self._is_probing = False

    def record_inconclusive(self) -> None:
        """Ends a call that did not show whether the service is available.

        If the call was the probe, the next call is allowed as the probe.
        """
        self._is_probing = False
