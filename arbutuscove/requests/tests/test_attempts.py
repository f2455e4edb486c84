"""Guards against retries that multiply an overload."""

import datetime

import hypothesis
from hypothesis import strategies

from arbutuscove.requests import attempts
from arbutuscove.requests import failures

MINUTE = datetime.timedelta(minutes=1)


@hypothesis.given(strategies.lists(strategies.integers(0, 2), max_size=400))
def test_attempts_budget_bounds_retries(wanted):
    """No order of requests and retries may pass a tenth of the requests."""
    budget = attempts.RetryBudget()
    taken = 0
    for number, retries in enumerate(wanted, start=1):
        budget.record_request()
        taken += sum(budget.try_acquire() for _ in range(retries))
        allowed = number / attempts.REQUESTS_PER_RETRY
        assert taken <= max(attempts.RETRY_CREDIT, allowed)


def test_attempts_saved_budget_is_bounded():
    """A long calm must not save up a storm of retries."""
    budget = attempts.RetryBudget()
    for _ in range(100_000):
        budget.record_request()
    taken = sum(budget.try_acquire() for _ in range(1000))
    assert taken == attempts.RETRY_CREDIT


@hypothesis.given(
    strategies.lists(strategies.sampled_from(failures.RunStatus), max_size=4),
    strategies.booleans(),
)
def test_attempts_only_what_may_run_again(runs, repeatable):
    """A request that may have run is sent again only if repeatable."""
    made = attempts.Attempts()
    for run in runs:
        made = made.add(run)
    budget = attempts.RetryBudget()
    allowed = attempts.may_retry(made, repeatable, MINUTE, budget)
    safe = repeatable or set(runs) <= {failures.RunStatus.NOT_RUN}
    assert allowed == (safe and len(runs) < attempts.ATTEMPT_LIMIT)
