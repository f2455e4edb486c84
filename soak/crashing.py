"""A run in which one prompt part crashes each server that answers it.

The requests with the part arrive at all daemons and no two of them are equal.
Sound requests share their account and their first part.
"""

import dataclasses
import pathlib
import random
import time

import gevent

from soak import callers
from soak import run
from soak import world as world_module

CALLER_COUNT = 8
CALM_SECONDS = 6.0
CRASH_SECONDS = 16.0
CRASHING_SHARE = 0.15  # of the streamed requests
SETTLE_SECONDS = 3.0  # as stated in the users' settings
MAX_CRASHES = 5  # after which the requests sent later are counted
MAX_LATER_REQUESTS = 3  # of those, as stated by the users
MIN_REQUESTS = 20  # below that, a share says nothing
FIRST_PARTS = ("aa", "ab", "ac", "ad")
CRASHING_PART = "bad0"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Result of one run.

    Attributes:
        crashes: seconds from the first possible crash to each crash.
        later_requests: requests with the part that reached servers later than
            `SETTLE_SECONDS` after the fifth crash, or the last if there are
            fewer.
        calm_share: served share, before any crash, of the sound requests that
            share their first part with the crashing ones.
        share: the same from twice `SETTLE_SECONDS` after that crash.
        calm_count: number of those requests before any crash.
        count: number of those requests afterwards.
        violations: promises that were broken, as the servers saw it.
    """

    crashes: tuple[float, ...]
    later_requests: int
    calm_share: float
    share: float
    calm_count: int
    count: int
    violations: int

    def list_broken(self) -> list[str]:
        """Returns the promises that were broken, or not tried."""
        checks = {
            "a server crashed": bool(self.crashes),
            "few later requests": self.later_requests <= MAX_LATER_REQUESTS,
            "enough sound requests": min(self.calm_count, self.count)
            >= MIN_REQUESTS,
            "sound requests are served": self.share >= self.calm_share / 2,
            "servers saw no violation": not self.violations,
        }
        return [name for name, is_kept in checks.items() if not is_kept]


class _Prompts:
    """Draws the prompt parts of requests, of which no two are equal."""

    def __init__(self, seed: int) -> None:
        self._generator = random.Random(seed)
        self.crashing_share = 0.0

    def draw(self, request_id: str) -> tuple[str, ...]:
        """Returns the parts of one request."""
        own = f"own-{request_id}"
        if self._generator.random() < self.crashing_share:
            return (FIRST_PARTS[0], CRASHING_PART, own)
        return (self._generator.choice(FIRST_PARTS), own)


def run_seed(
    directory: pathlib.Path,
    seed: int,
    has_server_links: bool,
    beside: pathlib.Path | None = None,
) -> Report:
    """Runs three daemons before servers that the part crashes.

    Args:
        directory: for the daemons' settings and logs.
        seed: seed of the random generators.
        has_server_links: whether servers are reached through forwarders, which
            accept connections for a crashed server and then close them.
        beside: checkout of another version, which every second daemon runs.
    """
    world = world_module.World(directory, seed, has_server_links, beside)
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
    deaths = sorted(world.platform.deaths)
    counted_since = deaths[:MAX_CRASHES][-1] if deaths else crashing_since
    calm = _list_sound(clients.outcomes, calm_since, crashing_since)
    sound = _list_sound(
        clients.outcomes, counted_since + 2 * SETTLE_SECONDS, end
    )
    return Report(
        crashes=tuple(round(at - crashing_since, 1) for at in deaths),
        later_requests=sum(
            item.at > counted_since + SETTLE_SECONDS
            for item in world.platform.runs
            if CRASHING_PART in item.prompt_parts
        ),
        calm_share=_compute_served_share(calm),
        share=_compute_served_share(sound),
        calm_count=len(calm),
        count=len(sound),
        violations=len(world.platform.violations),
    )


def _list_sound(
    outcomes: list[callers.Outcome], since: float, until: float
) -> list[callers.Outcome]:
    return [
        outcome
        for outcome in outcomes
        if outcome.prompt_parts[:1] == FIRST_PARTS[:1]
        and CRASHING_PART not in outcome.prompt_parts
        and since <= outcome.started_at < until
    ]


def _compute_served_share(outcomes: list[callers.Outcome]) -> float:
    served = sum(outcome.status == 200 for outcome in outcomes)
    return served / len(outcomes) if outcomes else 0.0
