"""When a request is dispatched again.

A request is dispatched again while nothing ran, or, when it is repeatable,
after an attempt was lost before any token reached the caller. Each request
has at most `ATTEMPT_LIMIT` attempts inside its deadline. Each daemon has a
token bucket which allows retries for a tenth of its requests, so that retries
cannot multiply an overload.
"""

import dataclasses
import datetime
import random

from arbutuscove.requests import failures

ATTEMPT_LIMIT = 3  # dispatches of one request
BACKOFF = datetime.timedelta(milliseconds=50)  # doubled for each attempt
REQUESTS_PER_RETRY = 10  # a tenth, so that attempts are 1.1 times requests
RETRY_CREDIT = 10  # retries saved up at most, and lent at the start


class RetryBudget:
    """Token bucket of retries in one daemon.

    It starts full, so that a daemon with few requests can retry; the first
    `RETRY_CREDIT * REQUESTS_PER_RETRY` requests earn nothing and so pay that
    back. Retries are therefore at most `max(RETRY_CREDIT, requests / 10)`.

    Example:
        >>> budget = RetryBudget()
        >>> [budget.try_acquire() for _ in range(11)].count(True)
        10
    """

    def __init__(self) -> None:
        self._requests = RETRY_CREDIT * REQUESTS_PER_RETRY
        self._owed = RETRY_CREDIT * REQUESTS_PER_RETRY

    def record_request(self) -> None:
        """Earns a tenth of a retry."""
        if self._owed > 0:
            self._owed -= 1
            return
        full = RETRY_CREDIT * REQUESTS_PER_RETRY
        self._requests = min(full, self._requests + 1)

    def try_acquire(self) -> bool:
        """Returns whether a retry is allowed, and counts it."""
        if self._requests < REQUESTS_PER_RETRY:
            return False
        self._requests -= REQUESTS_PER_RETRY
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempts:
    """The attempts of one request and what is known of them together."""

    count: int = 0
    run: failures.RunStatus = failures.RunStatus.NOT_RUN

    def add(self, run: failures.RunStatus) -> "Attempts":
        """Returns the attempts after one more was lost.

        Example:
            >>> first = Attempts().add(failures.RunStatus.UNKNOWN)
            >>> first.add(failures.RunStatus.NOT_RUN).run.value
            'unknown'
        """
        known = run if self.run == failures.RunStatus.NOT_RUN else self.run
        return Attempts(count=self.count + 1, run=known)


def may_retry(
    attempts: Attempts,
    repeatable: bool,
    left: datetime.timedelta,
    budget: RetryBudget,
) -> bool:
    """Returns whether to dispatch again; draws on the budget if so.

    Args:
        attempts: the attempts made, none of which brought a token.
        repeatable: whether the request may run twice.
        left: time until the deadline.
        budget: retries of this daemon.
    """
    if attempts.count >= ATTEMPT_LIMIT or left <= compute_max_backoff(
        attempts.count
    ):
        return False
    if attempts.run != failures.RunStatus.NOT_RUN and not repeatable:
        return False
    return budget.try_acquire()


def compute_max_backoff(made: int) -> datetime.timedelta:
    """Returns the longest pause after a number of attempts.

    Example:
        >>> compute_max_backoff(2)
        datetime.timedelta(microseconds=100000)
    """
    return BACKOFF * 2 ** max(0, made - 1)


def draw_backoff(made: int, generator: random.Random) -> datetime.timedelta:
    """Returns a jittered pause before the next attempt."""
    return compute_max_backoff(made) * generator.random()
