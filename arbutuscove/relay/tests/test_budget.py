"""Guards against daemons that together send more retries than are allowed."""

import datetime
import random

import pytest

from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import budget

SECOND = datetime.timedelta(seconds=1)
ALLOWANCE = budget.RetryAllowance(ratio=0.2, slack=130, window=10 * SECOND)
DAEMONS = 7
REQUESTS_PER_STEP = 1  # at each daemon
STEP = SECOND / 10
STEPS = 600


class _Daemon:
    """A daemon that retries as often as it may, and may hear fewer peers."""

    def __init__(self, clock, start_gap=datetime.timedelta()):
        self.heard = DAEMONS
        self._clock = clock
        self.start(start_gap)

    def start(self, gap):
        self.size = budget.FleetSize(self._clock, lambda: self.heard)
        self.budget = budget.RetryBudget(
            ALLOWANCE, self._clock.monotonic() + gap
        )

    def step(self):
        """Returns the retries that it sends."""
        now = self._clock.monotonic()
        for _ in range(REQUESTS_PER_STEP):
            self.budget.record_request(now)
        daemons = self.size.get()
        count = 0
        while self.budget.try_acquire(now, daemons):
            count += 1
        return count


def find_excess(disturb):
    """Returns by how much the busiest window exceeds the allowance."""
    clock = clock_module.ManualClock()
    daemons = [_Daemon(clock) for _ in range(DAEMONS)]
    generator = random.Random(1)
    sent = []
    for number in range(STEPS):
        clock.advance(STEP)
        disturb(daemons, number, generator)
        sent.append(sum(daemon.step() for daemon in daemons))
    steps = ALLOWANCE.window // STEP
    busiest = max(
        sum(sent[begin : begin + steps]) for begin in range(STEPS - steps)
    )
    requests = steps * DAEMONS * REQUESTS_PER_STEP
    return busiest - (ALLOWANCE.ratio * requests + ALLOWANCE.slack)


def leave_alone(daemons, number, generator):
    """Disturbs nothing."""


def restart_in_turn(daemons, number, generator):
    """Restarts a daemon each second, as a roll of a new version does."""
    if number % 10 == 5:
        daemon = daemons[number // 10 % DAEMONS]
        daemon.heard = 1
        daemon.start(ALLOWANCE.window)
    if number % 10 == 8:
        for daemon in daemons:
            daemon.heard = DAEMONS


def restart_all(daemons, number, generator):
    """Restarts all daemons at once, which then hear nobody for a second."""
    if number % 150 == 100:
        for daemon in daemons:
            daemon.heard = 1
            daemon.start(ALLOWANCE.window)
    if number % 150 == 110:
        for daemon in daemons:
            daemon.heard = DAEMONS


def hear_few(daemons, number, generator):
    """Daemons hear each other badly, as if some stood still."""
    for daemon in daemons:
        if number:
            daemon.heard = generator.randint(1, DAEMONS)


@pytest.mark.parametrize(
    "disturb", [leave_alone, restart_in_turn, restart_all, hear_few]
)
def test_daemons_stay_inside_the_allowance(disturb):
    """Guards against shares that are computed of too few daemons, or twice."""
    assert find_excess(disturb) <= 0


def test_fleet_size_forgets_daemons_that_are_gone_for_long():
    """Guards against a share that stays small in a fleet that has shrunk."""
    clock = clock_module.ManualClock()
    counts = iter([7, 3, 5, 2, 2])
    size = budget.FleetSize(clock, lambda: next(counts))
    assert [size.get() for _ in range(3)] == [7, 7, 7]
    clock.advance(budget.UNHEARD_TTL)
    assert size.get() == 7
    clock.advance(SECOND)
    assert size.get() == 2
