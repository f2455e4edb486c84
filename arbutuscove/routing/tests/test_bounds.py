"""Checks the bounds of design section 1.2 in a simulation of 7 daemons.

The simulation uses the fakes of `bench`. Each test guards against a policy
change that passes the unit tests but lets one kind of work starve another
across daemons. Seeds are fixed.
"""

import functools

import pytest

from bench import scenarios
from bench import simulation
from bench import users

SEED = 1
# One run has about 40 requests of small accounts, too few to detect a
# difference of 2 percentage points.
SMALL_SEEDS = (1, 2)
LENGTH = 25.0  # seconds of disturbance
SMALL_ACCOUNTS = ("account-7", "account-8", "account-9")
USERS = pytest.mark.parametrize("user", users.USERS, ids=lambda u: u.name)


@functools.lru_cache(maxsize=16)
def _run(user, build, seed=SEED):
    scenario = build(user, LENGTH)
    run = simulation.Simulation(user, scenario, simulation.CURRENT_POLICY, seed)
    run.run()
    return run


def _measure(runs, rank, accounts):
    matching = [
        record
        for run in runs
        for record in run.list_measured_records()
        if record.rank == rank and record.account in accounts
    ]
    assert matching
    in_time = sum(r.outcome == simulation.Outcome.IN_TIME for r in matching)
    return in_time / len(matching)


@USERS
def test_bounds_urgent_in_bulk_flood(user):
    """Bulk work that occupies the slots would make urgent work late."""
    run = _run(user, scenarios.build_bulk_flood)
    urgent = user.ranks[0].name
    assert (
        simulation.compute_share_in_time(run.list_measured_records(), urgent)
        >= 0.95
    )


@USERS
def test_bounds_floors_in_urgent_flood(user):
    """A flood of urgent work must not use up the floors of other ranks."""
    shares = _run(user, scenarios.build_urgent_flood).compute_slot_shares()
    for rank in user.ranks[1:]:
        assert shares[rank.name] >= 0.9 * rank.min_slot_share, rank.name


@USERS
def test_bounds_small_accounts_beside_large(user):
    """An account at 50 times its usual load must not starve small ones."""
    urgent = user.ranks[0].name
    calm = [_run(user, scenarios.build_normal, s) for s in SMALL_SEEDS]
    loud = [_run(user, scenarios.build_large_account, s) for s in SMALL_SEEDS]
    usual = _measure(calm, urgent, SMALL_ACCOUNTS)
    assert _measure(loud, urgent, SMALL_ACCOUNTS) >= usual - 0.02


@USERS
@pytest.mark.parametrize(
    "build", [scenarios.build_bulk_flood, scenarios.build_urgent_flood]
)
def test_bounds_refusals_at_once(user, build):
    """Work that cannot be served must be refused at once, not kept waiting."""
    run = _run(user, build)
    refused = [
        record
        for record in run.list_measured_records()
        if record.outcome
        in (
            simulation.Outcome.REFUSED_ON_ARRIVAL,
            simulation.Outcome.REFUSED_AFTER_WAIT,
        )
    ]
    assert refused
    assert max(record.refusal_delay for record in refused) <= 0.05
    assert all(record.retry_after >= 1.0 for record in refused)


@USERS
def test_bounds_every_request_has_one_outcome(user):
    """Each request must be answered or refused, or else it is lost."""
    for build in (scenarios.build_normal, scenarios.build_urgent_flood):
        run = _run(user, build)
        outcomes = {record.outcome for record in run.records}
        assert simulation.Outcome.PENDING not in outcomes
        assert simulation.Outcome.LOST not in outcomes
