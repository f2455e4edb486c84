"""Guards against daemons that serve nobody while they reach no server."""

import random
import time

import gevent
import pytest

from arbutuscove.standins import forwarder
from soak import callers
from soak import ends
from soak import faults
from soak import partitions
from soak import run
from soak import world as world_module

CALM_SECONDS = 1.0
CUT_SECONDS = 6.0
HEALED_SECONDS = 2.0  # that are counted after the settle time
KINDS = {
    "groups": ("stream",),
    "plain": ("once", "safe"),
    "plain, not repeatable": ("once",),
}


class _Play:
    """One world with a cut of some daemons, and what its callers saw."""

    def __init__(self, directory, seed, cut_count, mode):
        generator = random.Random(seed)
        self.world = world_module.World(directory, seed)
        try:
            for daemon in self.world.daemons:
                self.world.start(daemon)
            clients = callers.Callers(self.world, random.Random(seed + 1), 0)
            clients.call_steadily()
            run.wait_until_serving(clients)
            chosen = generator.sample(self.world.daemons, cut_count)
            self.cut_names = [daemon.name for daemon in chosen]
            gevent.sleep(CALM_SECONDS)
            self.cut_at = time.monotonic()
            self.world.cut_off(chosen, mode)
            gevent.sleep(CUT_SECONDS)
            self.world.end_cut()
            self.healed_at = time.monotonic()
            gevent.sleep(faults.SETTLE_SECONDS + HEALED_SECONDS)
            clients.stop()
            self.exits = run.check_exits(self.world)
        finally:
            self.world.stop()
        self.clients = clients

    def list_tries(self, since, until, routes):
        """Returns the tries at all daemons that began in a time."""
        return [
            outcome
            for outcome in partitions.list_tries(
                self.clients.outcomes + self.clients.unsent, since, until
            )
            if outcome.route in routes
        ]

    def list_broken(self):
        """Returns the promises of the soak that were broken."""
        outcomes, runs = self.clients.outcomes, self.world.platform.runs
        record = faults.Record(
            started_at=self.cut_at,
            name=faults.ENTRY_CUT,
            target=",".join(self.cut_names),
            seconds=CUT_SECONDS,
            ended_at=self.healed_at,
        )
        return [
            *self.clients.violations,
            *self.world.platform.violations,
            *callers.check_runs(outcomes, runs),
            *ends.check_ends(outcomes, runs, [record], self.world.changes),
            *self.exits,
        ]


@pytest.mark.parametrize("mode", list(forwarder.CutMode))
@pytest.mark.parametrize("cut_count", [1, 2])
def test_daemons_without_a_way_to_servers_serve(tmp_path, cut_count, mode):
    """Guards against daemons that fail their callers while cut off."""
    seed = 140 + 10 * cut_count + list(forwarder.CutMode).index(mode)
    play = _Play(tmp_path, seed, cut_count, mode)
    broken = [str(item) for item in play.list_broken()]
    since = play.healed_at + faults.SETTLE_SECONDS
    for kind, routes in KINDS.items():
        during = play.list_tries(
            play.cut_at + faults.SETTLE_SECONDS, play.healed_at, routes
        )
        broken += [
            f"{kind}, {item}"
            for item in partitions.check_shares(during, play.cut_names)
        ]
        others, healed = (
            [item for item in during if item.daemon not in play.cut_names],
            [
                item
                for item in play.list_tries(since, float("inf"), routes)
                if item.daemon in play.cut_names
            ],
        )
        for name, tries in (
            ("the others meanwhile", others),
            ("cut daemons after the heal", healed),
        ):
            share = partitions.compute_served_share(tries)
            if share < run.MIN_SERVED_SHARE:
                broken.append(f"{kind}, {name}: {share:.2f} of {len(tries)}")
    assert not broken, "\n".join(broken)
