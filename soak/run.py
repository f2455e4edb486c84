"""One seeded run: start, faults, recovery, verdict."""

import collections
import dataclasses
import pathlib
import random
import tempfile
import time

import gevent

from arbutuscove.standins import users_platform
from soak import callers
from soak import faults
from soak import world as world_module

START_SECONDS = 30.0
RECOVERY_SECONDS = 12.0  # as the users' settings state it
CHECK_SECONDS = 3.0
CALLERS = 6
SERVED_AT_LEAST = 0.9  # of the requests after the recovery
PLANNED_GRACE = 8.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """What a run found."""

    seed: int
    violations: tuple[users_platform.Violation, ...]
    faults: tuple[faults.Record, ...]
    outcomes: tuple[callers.Outcome, ...]

    def describe(self) -> str:
        """Returns a few lines for people."""
        statuses = collections.Counter(o.status for o in self.outcomes)
        kinds = collections.Counter(f.name for f in self.faults)
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations",
            f"  faults: {dict(sorted(kinds.items()))}",
            f"  answers: {dict(sorted(statuses.items()))}",
        ]
        lines += [f"  {v.name}: {v.detail}" for v in self.violations]
        return "\n".join(lines)


class StartError(Exception):
    """The system did not serve before the faults began."""


def run_seed(seed: int, seconds: float, logs: pathlib.Path | None) -> Report:
    """Runs the system under the faults of one seed.

    Args:
        seed: the same seed draws the same faults.
        seconds: how long faults are injected.
        logs: where the daemons' logs stay; None for a directory that goes.

    Raises:
        StartError: nothing was served at the start.
    """
    with tempfile.TemporaryDirectory() as directory:
        place = pathlib.Path(directory) if logs is None else logs
        place.mkdir(parents=True, exist_ok=True)
        world = world_module.World(place, seed)
        try:
            return _run(world, seed, seconds)
        finally:
            world.stop()


def _run(world: world_module.World, seed: int, seconds: float) -> Report:
    generator = random.Random(seed)
    for daemon in world.daemons:
        world.start(daemon)
    clients = callers.Callers(world, random.Random(seed + 1), CALLERS)
    _wait_serving(clients)
    injected = faults.Faults(world, generator)
    injected.run(seconds)
    gevent.sleep(RECOVERY_SECONDS)
    recovered = time.monotonic()
    world.change_configuration()
    gevent.sleep(CHECK_SECONDS)
    clients.stop()
    violations = [
        *clients.violations,
        *world.platform.violations,
        *callers.check_runs(clients.outcomes, world.platform.runs),
        *_check_recovery(clients.outcomes, recovered),
        *_check_stops(clients.outcomes, injected),
        *_check_ends(world),
    ]
    return Report(
        seed=seed,
        violations=tuple(violations),
        faults=tuple(injected.records),
        outcomes=tuple(clients.outcomes),
    )


def _wait_serving(clients: callers.Callers) -> None:
    end = time.monotonic() + START_SECONDS
    while time.monotonic() < end:
        served = {o.kind for o in clients.outcomes if o.status == 200}
        if served == set(callers.KINDS):
            return
        gevent.sleep(0.1)
    raise StartError("not every kind of request was served")


def _check_recovery(
    outcomes: list[callers.Outcome], since: float
) -> list[users_platform.Violation]:
    late = [outcome for outcome in outcomes if outcome.at > since]
    served = sum(outcome.status == 200 for outcome in late)
    if served >= SERVED_AT_LEAST * len(late) and late:
        return []
    detail = f"{served} of {len(late)} served after the recovery"
    return [users_platform.Violation(name="RECOVER", detail=detail)]


def _check_stops(
    outcomes: list[callers.Outcome],
    injected: faults.Faults,
) -> list[users_platform.Violation]:
    """Finds answers cut by a planned stop alone."""
    found = []
    for record in injected.records:
        if record.name != "term":
            continue
        # Any other fault in the window may have cut the answer.
        begin, end = record.at - faults.SETTLE_SECONDS, record.at + 9.0
        others = [
            other
            for other in injected.records
            if other.name not in ("term", "configuration", "store_forgets")
            and other.at < end
            and other.at + other.seconds + faults.SETTLE_SECONDS > begin
        ]
        if others:
            continue
        found += [
            users_platform.Violation(
                name="LOST", detail=f"{o.request_id} at {o.daemon} was cut"
            )
            for o in outcomes
            if o.daemon == record.target
            and record.at <= o.at <= record.at + PLANNED_GRACE
            and o.status == 0
        ]
    return found


def _check_ends(world: world_module.World) -> list[users_platform.Violation]:
    """Finds daemons that ended by themselves."""
    return [
        users_platform.Violation(
            name="ENDED", detail=f"{daemon.name}: {daemon.process.returncode}"
        )
        for daemon in world.daemons
        if daemon.process is not None and daemon.process.poll() is not None
    ]
