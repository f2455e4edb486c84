"""One seeded run: start, faults, recovery and checks."""

import collections
import dataclasses
import operator
import pathlib
import random
import tempfile
import time
from collections import abc

import gevent

from arbutuscove.standins import users_platform
from soak import callers
from soak import crowds
from soak import ends
from soak import faults
from soak import partitions
from soak import retries
from soak import world as world_module
from soak import zones

START_TIMEOUT_SECONDS = 30.0
RECOVERY_SECONDS = 12.0  # as stated in the users' settings
PLANNED_RECOVERY_SECONDS = 1.0  # after planned work alone
CHECK_SECONDS = 3.0
CALLER_COUNT = 6
# Without the limit, cold servers would get several times as many requests.
ZONES_CALLER_COUNT = 18
MIN_SERVED_SHARE = 0.9  # of the requests after recovery
PLANNED_STOP_SECONDS = 8.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Result of one run.

    Attributes:
        seed: seed of the run.
        violations: promises that were broken.
        faults: faults that were injected.
        outcomes: outcomes of all requests.
        crowd_clients: number of clients that kept to no limit.
    """

    seed: int
    violations: tuple[users_platform.Violation, ...]
    faults: tuple[faults.Record, ...]
    outcomes: tuple[callers.Outcome, ...]
    crowd_clients: int = 0

    def describe(self) -> str:
        """Returns a readable summary of a few lines."""
        statuses = collections.Counter(o.status for o in self.outcomes)
        fault_counts = collections.Counter(f.name for f in self.faults)
        lines = [
            f"seed {self.seed}: {len(self.violations)} violations",
            f"  faults: {dict(sorted(fault_counts.items()))}",
            f"  answers: {dict(sorted(statuses.items()))}",
            f"  clients in crowds: {self.crowd_clients}",
        ]
        lines += [f"  {v.name}: {v.detail}" for v in self.violations]
        return "\n".join(lines)


class StartError(Exception):
    """The system did not serve every route before the fault injection."""


def run_seed(
    seed: int,
    seconds: float,
    logs: pathlib.Path | None,
    is_planned_only: bool = False,
    has_partitions: bool = False,
    beside: pathlib.Path | None = None,
    has_zones: bool = False,
    has_crowds: bool = False,
    has_lost_heads: bool = False,
) -> Report:
    """Runs the system under the faults of one seed.

    Args:
        seed: seed of the random generators; the same seed draws the same
            faults.
        seconds: time in which faults are injected.
        logs: directory in which the daemons' logs are kept; None for a
            temporary directory that is deleted after the run.
        is_planned_only: whether there is only planned work and silence of
            sound servers, so that each request gets an answer.
        has_partitions: whether daemons are also cut from all servers. Each
            daemon is then called at a steady rate, too.
        beside: checkout of another version, which every second start runs.
        has_zones: whether the faults are evacuations and cold servers of whole
            zones, beside faults of daemons.
        has_crowds: whether crowds of clients that keep to no limit meet the
            daemons, beside planned work alone.
        has_lost_heads: whether heads of groups are cut from the store and from
            the daemons, beside faults of daemons, which all end at once, too.

    Returns:
        The faults, outcomes and violations of the run.

    Raises:
        StartError: not every route was served within `START_TIMEOUT_SECONDS`.
    """
    with tempfile.TemporaryDirectory() as directory:
        log_directory = pathlib.Path(directory) if logs is None else logs
        log_directory.mkdir(parents=True, exist_ok=True)
        world = world_module.World(
            log_directory,
            seed,
            beside=beside,
            has_zones=has_zones,
            memory_mb=crowds.MEMORY_MB if has_crowds else None,
        )
        try:
            return _run(
                world,
                seed,
                seconds,
                is_planned_only or has_crowds,
                has_partitions,
                has_zones,
                has_crowds,
                has_lost_heads,
            )
        finally:
            world.stop()


def _run(
    world: world_module.World,
    seed: int,
    seconds: float,
    is_planned_only: bool,
    has_partitions: bool,
    has_zones: bool,
    has_crowds: bool,
    has_lost_heads: bool,
) -> Report:
    generator = random.Random(seed)
    for daemon in world.daemons:
        world.start(daemon)
    clients = callers.Callers(
        world,
        random.Random(seed + 1),
        ZONES_CALLER_COUNT if has_zones else CALLER_COUNT,
    )
    random_faults = faults.FAULTS
    if is_planned_only:
        random_faults = faults.PLANNED_FAULTS
    if has_zones:
        random_faults = faults.ZONE_FAULTS
    if has_lost_heads:
        random_faults = faults.HEAD_FAULTS
    if has_partitions:
        random_faults = faults.PARTITION_FAULTS
        clients.call_steadily()
    wait_until_serving(clients)
    # The planned work has a generator of its own, so that the other faults of
    # a seed stay the same.
    injectors = [
        faults.Injector(world, random.Random(seed + 2), faults.PLANNED_WORK),
        faults.Injector(world, generator, random_faults),
    ]
    crowd = crowds.Crowds(world, random.Random(seed + 3))
    runners: list[abc.Callable[[float], None]] = [
        injector.run for injector in injectors
    ]
    if has_crowds:
        runners.append(crowd.run)
    gevent.joinall(
        [gevent.spawn(runner, seconds) for runner in runners],
        raise_error=True,
    )
    records = [record for item in injectors for record in item.records]
    gevent.sleep(
        PLANNED_RECOVERY_SECONDS if is_planned_only else RECOVERY_SECONDS
    )
    recovered_at = time.monotonic()
    world.change_configuration()
    gevent.sleep(CHECK_SECONDS)
    clients.stop()
    arrivals = sorted(world.platform.arrivals, key=operator.attrgetter("at"))
    violations = [
        *clients.violations,
        *world.platform.violations,
        *callers.check_runs(clients.outcomes, world.platform.runs),
        *_check_recovery(clients.outcomes, recovered_at),
        *_check_planned_stops(clients.outcomes, records, world.platform.runs),
        *ends.check_ends(
            clients.outcomes, world.platform.runs, records, world.changes
        ),
        *retries.check_retries(
            arrivals,
            users_platform.RETRY_RATIO,
            users_platform.RETRY_SLACK,
            users_platform.RETRY_WINDOW_SECONDS,
        ),
        *partitions.check_cuts(clients.outcomes + clients.unsent, records),
        *zones.check_cold(arrivals),
        *zones.check_evacuations(arrivals, clients.outcomes, records),
        *check_exits(world),
        *crowd.check_memory(),
    ]
    return Report(
        seed=seed,
        violations=tuple(violations),
        faults=tuple(records),
        outcomes=tuple(clients.outcomes),
        crowd_clients=crowd.sent,
    )


def wait_until_serving(clients: callers.Callers) -> None:
    """Waits until every route was served.

    Raises:
        StartError: that took longer than `START_TIMEOUT_SECONDS`.
    """
    deadline = time.monotonic() + START_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        served_routes = {o.route for o in clients.outcomes if o.status == 200}
        if served_routes.issuperset(callers.ROUTES):
            return
        gevent.sleep(0.1)
    raise StartError("not every route was served before the fault injection")


def _check_recovery(
    outcomes: list[callers.Outcome], since: float
) -> list[users_platform.Violation]:
    after_recovery = [
        outcome
        for outcome in outcomes
        if outcome.started_at > since and outcome.route in callers.ROUTES
    ]
    served = sum(outcome.status == 200 for outcome in after_recovery)
    if served >= MIN_SERVED_SHARE * len(after_recovery) and after_recovery:
        return []
    detail = f"{served} of {len(after_recovery)} served after the recovery"
    return [users_platform.Violation(name="RECOVER", detail=detail)]


def _check_planned_stops(
    outcomes: list[callers.Outcome],
    records: list[faults.Record],
    runs: list[users_platform.Run],
) -> list[users_platform.Violation]:
    """Returns a violation for each request that only a planned stop cut off."""
    servers = {run.request_id: (run.server,) for run in runs}
    violations = []
    for record in records:
        if record.name != "term":
            continue
        # Another fault in the same window may have cut off the answer.
        begin, end = (
            record.started_at - faults.SETTLE_SECONDS,
            record.started_at + 9.0,
        )
        others = [
            other
            for other in records
            if other.name
            not in (
                "store_forgets",
                faults.EVACUATION,
                faults.COLD_AGAIN,
                *faults.PLANNED_FAULTS,
                *faults.PLANNED_WORK,
            )
            and other.started_at < end
            and max(other.started_at + other.seconds, other.ended_at)
            + faults.SETTLE_SECONDS
            > begin
        ]
        if others:
            continue
        violations += [
            users_platform.Violation(
                name="LOST", detail=f"{o.request_id} at {o.daemon} was cut"
            )
            for o in outcomes
            if o.daemon == record.target
            and record.started_at
            <= o.started_at
            <= record.started_at + PLANNED_STOP_SECONDS
            and o.status == 0
            and not ends.has_crossed(o, servers.get(o.request_id, ()))
        ]
    return violations


def check_exits(world: world_module.World) -> list[users_platform.Violation]:
    """Returns a violation for each daemon that exited by itself."""
    return [
        users_platform.Violation(
            name="ENDED", detail=f"{daemon.name}: {daemon.process.returncode}"
        )
        for daemon in world.daemons
        if daemon.process is not None and daemon.process.poll() is not None
    ]
