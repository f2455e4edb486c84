"""Retry policy: limits on attempts, backoff and retry budget.

A request is retried if no attempt ran it, or, if it is repeatable, after an
attempt was lost before any token reached the caller. Each request has at most
`MAX_ATTEMPTS` attempts within its deadline. Each daemon has a token bucket
that allows retries for a tenth of its requests, so that retries cannot
multiply an overload.
"""

import dataclasses
import datetime
import random

from arbutuscove.requests import failures

MAX_ATTEMPTS = 3  # dispatches of one request
INITIAL_BACKOFF = datetime.timedelta(milliseconds=50)  # doubles per attempt
REQUESTS_PER_RETRY = 10  # bounds attempts to 1.1 times the requests
RETRY_CREDIT = 10  # capacity and initial level of the bucket, in retries


class RetryBudget:
    """Token bucket that bounds the retries of all services in one daemon.

    The budget in `relay.budget` is another one: it bounds the retries of one
    service in a sliding window by an allowance of the whole fleet.

    The bucket starts full, so that a daemon with few requests can retry. The
    first `RETRY_CREDIT * REQUESTS_PER_RETRY` requests add nothing, which repays
    this credit. The number of retries is therefore at most
    `max(RETRY_CREDIT, requests / 10)`.

    Example:
        >>> budget = RetryBudget()
        >>> [budget.try_acquire() for _ in range(11)].count(True)
        10
    """

    def __init__(self) -> None:
        # The level of the bucket, counted in requests.
        self._requests = RETRY_CREDIT * REQUESTS_PER_RETRY
        # Requests that add nothing until the initial credit is repaid.
        self._owed = RETRY_CREDIT * REQUESTS_PER_RETRY

    def record_request(self) -> None:
        """Adds a request's share of a retry, once the credit is repaid."""
        if self._owed > 0:
            self._owed -= 1
            return
        capacity = RETRY_CREDIT * REQUESTS_PER_RETRY
        self._requests = min(capacity, self._requests + 1)

    def try_acquire(self) -> bool:
        """Consumes one retry; returns False if the bucket has none."""
        if self._requests < REQUESTS_PER_RETRY:
            return False
        self._requests -= REQUESTS_PER_RETRY
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempts:
    """The lost attempts of one request.

    Attributes:
        count: number of attempts.
        run: whether the attempts ran the request.
    """

    count: int = 0
    run: failures.RunStatus = failures.RunStatus.NOT_RUN

    def add(self, run: failures.RunStatus) -> "Attempts":
        """Returns the attempts with one more lost attempt.

        Example:
            >>> first = Attempts().add(failures.RunStatus.UNKNOWN)
            >>> first.add(failures.RunStatus.NOT_RUN).run.value
            'unknown'
        """
        combined = run if self.run == failures.RunStatus.NOT_RUN else self.run
        return Attempts(count=self.count + 1, run=combined)


def may_retry(
    attempts: Attempts,
    repeatable: bool,
    remaining: datetime.timedelta,
    budget: RetryBudget,
) -> bool:
    """Returns whether to retry; if so, the retry is charged to the budget.

    Args:
        attempts: the attempts so far, none of which returned a token.
        repeatable: whether the request may run twice.
        remaining: time until the deadline.
        budget: retry budget of this daemon.
    """
    if attempts.count >= MAX_ATTEMPTS or remaining <= compute_max_backoff(
        attempts.count
    ):
        return False
    if attempts.run != failures.RunStatus.NOT_RUN and not repeatable:
        return False
    return budget.try_acquire()


def compute_max_backoff(attempt_count: int) -> datetime.timedelta:
    """Returns the upper bound of the backoff after a number of attempts.

    Example:
        >>> compute_max_backoff(2)
        datetime.timedelta(microseconds=100000)
    """
    return INITIAL_BACKOFF * 2 ** max(0, attempt_count - 1)


def draw_backoff(
    attempt_count: int, generator: random.Random
) -> datetime.timedelta:
    """Returns a backoff with full jitter before the next attempt."""
    return compute_max_backoff(attempt_count) * generator.random()
