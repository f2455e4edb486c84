"""Guards against a prompt part that crashes one group after the other."""

import random
import time

import gevent
import pytest

from soak import callers
from soak import run
from soak import world as world_module

CALLER_COUNT = 8
CALM_SECONDS = 6.0
CRASH_SECONDS = 16.0
CRASHING_SHARE = 0.15  # of the streamed requests
SETTLE_SECONDS = 3.0  # as stated in the users' settings
MAX_CRASHES = 5
MAX_LATER_REQUESTS = 3
FIRST_PARTS = ("aa", "ab", "ac", "ad")
CRASHING_PART = "bad0"


class _Prompts:
    """Draws the prompt parts of requests, of which no two are equal."""

    def __init__(self, seed):
        self._generator = random.Random(seed)
        self.crashing_share = 0.0

    def draw(self, request_id):
        own = f"own-{request_id}"
        if self._generator.random() < self.crashing_share:
            return (FIRST_PARTS[0], CRASHING_PART, own)
        return (self._generator.choice(FIRST_PARTS), own)


def _compute_served_share(outcomes, since, until):
    """Returns the share of sound requests with the first part of the others."""
    sound = [
        outcome
        for outcome in outcomes
        if outcome.prompt_parts[:1] == FIRST_PARTS[:1]
        and CRASHING_PART not in outcome.prompt_parts
        and since <= outcome.started_at < until
    ]
    assert len(sound) >= 20
    return sum(outcome.status == 200 for outcome in sound) / len(sound)


@pytest.mark.parametrize("has_server_links", [False, True])
def test_crashing_prompt_part_reaches_no_server_after_five_crashes(
    tmp_path, has_server_links
):
    """Guards against equal prompt parts that crash group after group.

    With links, a connection to a crashed server is accepted and then closed.
    """
    seed = 91 + has_server_links
    world = world_module.World(tmp_path, seed, has_server_links)
    prompts = _Prompts(seed)
    try:
        for daemon in world.daemons:
            world.start(daemon)
        clients = callers.Callers(
            world, random.Random(seed), CALLER_COUNT, prompts.draw
        )
        run.wait_until_serving(clients)
        calm_since = time.monotonic()
        gevent.sleep(CALM_SECONDS)
        world.platform.crashing_parts.add(CRASHING_PART)
        prompts.crashing_share = CRASHING_SHARE
        crashing_since = time.monotonic()
        gevent.sleep(CRASH_SECONDS)
        end = time.monotonic()
        clients.stop()
    finally:
        world.stop()
    crashing_runs = [
        r.at for r in world.platform.runs if CRASHING_PART in r.prompt_parts
    ]
    deaths = world.platform.deaths
    assert len(deaths) >= 1
    counted_since = sorted(deaths)[:MAX_CRASHES][-1]
    later = [at for at in crashing_runs if at > counted_since + SETTLE_SECONDS]
    summary = [round(at - crashing_since, 1) for at in sorted(deaths)]
    assert len(later) <= MAX_LATER_REQUESTS, summary
    calm_share = _compute_served_share(
        clients.outcomes, calm_since, crashing_since
    )
    share = _compute_served_share(
        clients.outcomes, counted_since + 2 * SETTLE_SECONDS, end
    )
    assert share >= calm_share / 2, summary
    assert not world.platform.violations
