"""Guards against demands that are read for another daemon or model."""

import pytest

from arbutuscove.balancing import loans
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import lending
from arbutuscove.relay import placement
from arbutuscove.relay.tests import test_scarce_room

POOL = ("s", "m")
NAMES = tuple(f"d{number}" for number in range(15))
OWN = NAMES[0]
PLACES = test_scarce_room.SLOTS / len(NAMES)
BACKENDS = [
    test_scarce_room.create_backend(number)
    for number in range(test_scarce_room.GROUPS)
]
IDLE = placement.DaemonLoad(running={1: 10, 2: 8, 999: 50})


def create_loads(by_daemon, dispatchers=NAMES):
    return placement.PeerLoads(
        running={},
        daemons=len(NAMES) - 1,
        dispatchers=dispatchers,
        own=OWN,
        by_daemon=by_daemon,
    )


def lend(requests, loads, pool=POOL):
    """Returns the loan for a demand that has lasted."""
    clock = clock_module.ManualClock()
    lent = lending.Lending(clock)
    for _ in range(12):
        lent.update(pool, BACKENDS, requests, loads)
        clock.advance(loans.SAMPLE_INTERVAL)
    return lent.get(pool).slots


def test_daemon_with_many_callers_gets_a_loan():
    """Guards against places that stay idle beside a busy daemon.

    Requests of the others at backends of another model are no demand here.
    """
    loads = create_loads(dict.fromkeys(NAMES[1:], IDLE))
    assert PLACES + lend(67, loads) >= 67


def test_requests_that_wait_in_others_are_demand():
    """Guards against places that are lent while their owner needs them."""
    load = placement.DaemonLoad(running={1: 10}, waiting={POOL: 20})
    loads = create_loads(dict.fromkeys(NAMES[1:], load))
    assert lend(67, loads) == 0.0
    load = placement.DaemonLoad(running={1: 10}, waiting={("s", "other"): 20})
    loads = create_loads(dict.fromkeys(NAMES[1:], load))
    assert lend(67, loads) > 0.0


def test_dispatcher_without_requests_has_idle_places():
    """Guards against a loan that counts only busy daemons."""
    assert PLACES + lend(67, create_loads({})) >= 67


@pytest.mark.parametrize("dispatchers", [(), NAMES[1:]])
def test_daemon_without_places_gets_no_loan(dispatchers):
    """Guards against a loan beside the part that such a daemon borrows."""
    assert lend(67, create_loads({}, dispatchers)) == 0.0


def test_copy_changes_apart():
    """Guards against explanations that change what is lent."""
    lent = lending.Lending(clock_module.ManualClock())
    lent.copy().update(POOL, BACKENDS, 67, create_loads({}))
    assert lent.get(POOL) == loans.NO_LOAN
    assert not lent._histories
