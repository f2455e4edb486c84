"""Guards against idle places that nobody uses, or that all use at once."""

import datetime

import hypothesis
from hypothesis import strategies

from arbutuscove.balancing import loans

SECOND = datetime.timedelta(seconds=1)
PLACES = 27

requests = strategies.integers(0, 200)


def create_demand(count, places=PLACES):
    return loans.Demand(requests=count, places=places)


def compute_loans(counts):
    """Returns the loan of each of some daemons with equal places."""
    demands = [create_demand(count) for count in counts]
    return [
        loans.compute_loan(
            own, [*demands[:number], *demands[number + 1 :]]
        ).slots
        for number, own in enumerate(demands)
    ]


def test_daemon_with_many_callers_gets_what_it_needs():
    """Guards against requests that wait beside idle places of others."""
    lent = compute_loans([67, *[18] * 14])
    assert PLACES + lent[0] >= 67
    assert not any(lent[1:])


def test_nobody_gets_more_in_an_overload_of_all():
    """Guards against daemons that fill groups beyond their slots.

    All daemons have 1.5 to 3 times what their places bear, none the same.
    """
    assert not any(compute_loans([41 + 3 * number for number in range(15)]))


def test_random_excess_gets_nothing():
    """Guards against loans by the random variation of arrivals."""
    assert not any(compute_loans([31, 30, 29, *[20] * 12]))


def test_demand_of_daemons_without_places_counts():
    """Guards against idle places that are in use by such daemons."""
    idle = [create_demand(10)] * 3
    own = create_demand(60)
    alone = loans.compute_loan(own, idle)
    beside = loans.compute_loan(own, [*idle, create_demand(90, places=0)])
    assert beside.slots < alone.slots / 2
    assert beside.late_part < alone.late_part


@hypothesis.given(strategies.lists(requests, min_size=1, max_size=20))
def test_loans_never_exceed_the_idle_places(counts):
    """Guards against places that are lent twice."""
    idle = sum(max(0, PLACES - count) for count in counts)
    assert sum(compute_loans(counts)) <= idle + 1e-6


def test_rise_of_all_looks_like_no_excess():
    """Guards against a burst that each daemon takes for its own.

    The demand of others is known as it was before the burst.
    """
    history = loans.DemandHistory()
    step = loans.SAMPLE_INTERVAL
    now = SECOND
    for _ in range(20):
        assert history.record(20.0, now) in (0.0, 20.0)
        now += step
    burst = now
    while now - burst < loans.REPORT_AGE:
        assert history.record(80.0, now) == 20.0
        now += step
    for _ in range(3):
        now += step
        lasting = history.record(80.0, now)
    assert lasting == 80.0


def test_demand_before_a_pause_is_forgotten():
    """Guards against a loan for what was asked for long ago."""
    history = loans.DemandHistory()
    for number in range(10):
        history.record(80.0, number * loans.SAMPLE_INTERVAL)
    assert history.record(80.0, 60 * SECOND) == 0.0
