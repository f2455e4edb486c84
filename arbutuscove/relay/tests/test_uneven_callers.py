"""Guards against a daemon with many callers that refuses beside free places.

The replay of `test_scarce_room`, in which one daemon gets a part of all callers
beside its even share; work is refused when its deadline cannot be met any more.
"""

import math
import random

import pytest

from arbutuscove.relay.tests import test_scarce_room

MAX_SECONDS_TO_START = 3.0  # then the deadline cannot be met any more


class Replay(test_scarce_room.Replay):
    """A load of which one daemon has a given part beside its even share."""

    def __init__(self, times, part):
        super().__init__(times, has_dispatchers=True)
        self.part = part
        self.free_at_refusals = []

    def choose_daemon(self):
        if self.generator.random() < self.part:
            return self.callees[0]
        return super().choose_daemon()

    def dispatch(self, time, daemon):
        super().dispatch(time, daemon)
        waiting = self.waiting[daemon]
        while waiting and time - waiting[0] > MAX_SECONDS_TO_START:
            waiting.pop(0)
            free = test_scarce_room.SLOTS - sum(self.running)
            self.free_at_refusals.append(free)


@pytest.mark.parametrize("seed", [11, 1, 2, 3, 4, 5, 6])
def test_daemon_with_many_callers_uses_what_the_others_leave(seed):
    """Guards against late and refused work beside a fifth of free slots.

    The load is steady at four fifths of the slots of 24 groups. One daemon has
    about three times as many callers as each of the others.
    """
    run = Replay(1.0, 0.15)
    run.generator = random.Random(seed)
    run.run()
    # Places within the random variation of the load are none to rely on.
    variation = 2 * math.sqrt(test_scarce_room.SLOTS)
    assert not [free for free in run.free_at_refusals if free > variation]
    assert min(run.list_shares_in_time()) > 0.95
