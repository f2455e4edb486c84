"""Guards against retries that multiply an overload."""

import datetime

import hypothesis
from hypothesis import strategies

from arbutuscove.requests import attempts
from arbutuscove.requests import failures

MINUTE = datetime.timedelta(minutes=1)


@hypothesis.given(strategies.lists(strategies.integers(0, 2), max_size=400))
def test_attempts_budget_bounds_retries(wanted):
    """Retries must not exceed a tenth of the requests in any order of both."""
    budget = attempts.RetryBudget()
    acquired = 0
    for number, retries in enumerate(wanted, start=1):
        budget.record_request()
        acquired += sum(budget.try_acquire() for _ in range(retries))
        allowed = number / attempts.REQUESTS_PER_RETRY
        assert acquired <= max(attempts.RETRY_CREDIT, allowed)


def test_attempts_saved_budget_is_bounded():
    """Requests without retries must not accumulate more than the credit."""
    budget = attempts.RetryBudget()
    for _ in range(100_000):
        budget.record_request()
    acquired = sum(budget.try_acquire() for _ in range(1000))
    assert acquired == attempts.RETRY_CREDIT


@hypothesis.given(
    strategies.lists(strategies.sampled_from(failures.RunStatus), max_size=4),
    strategies.booleans(),
)
def test_attempts_only_what_may_run_again(runs, repeatable):
    """A request that may have run is retried only if it is repeatable."""
    lost = attempts.Attempts()
    for run in runs:
        lost = lost.add(run)
    budget = attempts.RetryBudget()
    allowed = attempts.may_retry(lost, repeatable, MINUTE, budget)
    is_safe = repeatable or set(runs) <= {failures.RunStatus.NOT_RUN}
    assert allowed == (is_safe and len(runs) < attempts.MAX_ATTEMPTS)
