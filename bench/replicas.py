"""Group downtime and stranded VM time under failures, without real time.

The same failures are applied to the product's real control code and to a naive
baseline. In the baseline a VM stays assigned to its replica, which is rebuilt
only when all its VMs are back. A VM is stranded while it is up but not in a
replica that serves; loading counts as stranded. Unavoidable are the VMs left
over in a fabric domain after it is divided into whole replicas.

Run it with `python -m bench.replicas --hours 4 --seed 1`.
"""

import dataclasses
import datetime
import random

import click

from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import fleet as fleet_module
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import inventory

STEP_DURATION = datetime.timedelta(seconds=2)  # the renewal interval of leases
# VMs by fabric domain: two domains leave a remainder after division into
# replicas, and one does not.
DOMAIN_SIZES = {"a": 18, "b": 17, "c": 16}
VMS_PER_REPLICA = 4
SPARES_PER_DOMAIN = 2
ACCELERATORS_PER_VM = 4
WARM_UP = datetime.timedelta(minutes=5)
# Far more frequent than at the target size (240 of 12,000 VMs a day), so that
# failures and not the fixed remainder of the domains dominate the results.
DEATH_INTERVAL = datetime.timedelta(minutes=5)
REPLACEMENT_TIME = datetime.timedelta(minutes=15)
FLAP_UP_TIME = datetime.timedelta(seconds=40)
FLAP_DOWN_TIME = datetime.timedelta(seconds=10)
FLAP_DURATION = datetime.timedelta(minutes=10)
DOMAIN_OUTAGE_DURATION = datetime.timedelta(minutes=10)
HOUR = datetime.timedelta(hours=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """One VM is down from `start` to `end`; a restart loses the weights."""

    vm: str
    start: datetime.timedelta
    end: datetime.timedelta
    is_restart: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """The types of failures to inject; one generator draws all times."""

    name: str
    has_deaths: bool = False
    has_flapping: bool = False
    has_domain_outage: bool = False


SCENARIOS = (
    Scenario(name="deaths", has_deaths=True),
    Scenario(name="flapping", has_flapping=True),
    Scenario(name="dark domain", has_domain_outage=True),
    Scenario(
        name="all", has_deaths=True, has_flapping=True, has_domain_outage=True
    ),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Stranded VM hours, and hours of downtime of promised replicas."""

    scenario: str
    stranded: float
    stranded_naive: float
    unavoidable: float
    downtime: float
    downtime_naive: float


def build_outages(
    scenario: Scenario, duration: datetime.timedelta, seed: int
) -> list[Outage]:
    """Returns the outages of a scenario.

    Args:
        scenario: the types of failures.
        duration: simulated time of the run.
        seed: seed of the failure times and of the VMs that fail.
    """
    generator = random.Random(seed)
    names = [vm.name for vm in _build_vms()]
    outages: list[Outage] = []
    start = WARM_UP
    while start < duration:
        if scenario.has_deaths:
            at = start + generator.random() * DEATH_INTERVAL
            outages.append(
                Outage(
                    vm=generator.choice(names),
                    start=at,
                    end=at + REPLACEMENT_TIME,
                    is_restart=True,
                )
            )
        start += DEATH_INTERVAL
    start = WARM_UP
    while start + HOUR <= duration + WARM_UP:
        if scenario.has_flapping:
            outages += _build_flapping(generator.choice(names), start)
        if scenario.has_domain_outage:
            domain = generator.choice(sorted(DOMAIN_SIZES))
            outages += _build_domain_outage(domain, start + HOUR / 2)
        start += HOUR
    return outages


def run(scenario: Scenario, duration: datetime.timedelta, seed: int) -> Result:
    """Simulates the product and the baseline under the same failures.

    Args:
        scenario: the types of failures.
        duration: simulated time of the run.
        seed: seed of the failures.
    """
    outages = build_outages(scenario, duration, seed)
    clock = clock_module.ManualClock()
    fleet = fleet_module.Fleet(clock, _build_vms())
    table = table_standin.MemoryTable()
    fleet_module.accept(table, clock, _build_service())
    daemon = fleet_module.Daemon("d0", clock, table, fleet)
    naive = NaiveBaseline()
    hours = [0.0] * 5
    while clock.monotonic() < duration:
        clock.advance(STEP_DURATION)
        now = clock.monotonic()
        down = {o.vm for o in outages if o.start <= now < o.end}
        restarting = {
            o.vm for o in outages if o.is_restart and o.start <= now < o.end
        }
        _apply(fleet, down, restarting)
        naive.step(now, down, restarting)
        daemon.observe()
        daemon.renew()
        daemon.control()
        if now < WARM_UP:
            continue
        up = len(fleet.vms) - len(down)
        serving_count = _count_serving(daemon, down)
        serving_count_naive = naive.count_serving(now)
        promised = _count_promised()
        for index, count in enumerate(
            (
                up - serving_count * VMS_PER_REPLICA,
                up - serving_count_naive * VMS_PER_REPLICA,
                _count_remainder(down),
                promised - serving_count,
                promised - serving_count_naive,
            )
        ):
            hours[index] += count * (STEP_DURATION / HOUR)
    return Result(
        scenario=scenario.name,
        stranded=hours[0],
        stranded_naive=hours[1],
        unavoidable=hours[2],
        downtime=hours[3],
        downtime_naive=hours[4],
    )


class NaiveBaseline:
    """The baseline, in which the VMs of a replica never change."""

    def __init__(self) -> None:
        self._groups = [
            [
                f"{domain}{VMS_PER_REPLICA * index + number}"
                for number in range(VMS_PER_REPLICA)
            ]
            for domain, size in DOMAIN_SIZES.items()
            for index in range(size // VMS_PER_REPLICA)
        ]
        self._ready_at = [fleet_module.LOAD_TIME for _ in self._groups]

    def step(
        self, now: datetime.timedelta, down: set[str], restarting: set[str]
    ) -> None:
        """Postpones the recovery of each group that has a VM down.

        Args:
            now: simulated time.
            down: names of the VMs that are down.
            restarting: those of them that lose their weights.
        """
        for index, group in enumerate(self._groups):
            if down.isdisjoint(group):
                continue
            must_reload = not restarting.isdisjoint(group)
            recovery_time = fleet_module.REGROUP_TIME
            if must_reload:
                recovery_time = fleet_module.LOAD_TIME
            # The baseline is assumed to detect failures without delay.
            self._ready_at[index] = max(
                self._ready_at[index], now + recovery_time
            )

    def count_serving(self, now: datetime.timedelta) -> int:
        """Returns the number of replicas that serve."""
        return sum(ready_at <= now for ready_at in self._ready_at)


def _build_vms() -> list[inventory.Vm]:
    return [
        inventory.Vm(
            name=f"{domain}{number}",
            address=f"{domain}{number}:1",
            fabric_domain=domain,
            failure_domain=domain,
            accelerators=ACCELERATORS_PER_VM,
        )
        for domain, size in DOMAIN_SIZES.items()
        for number in range(size)
    ]


def _build_service() -> config_model.Service:
    rank = config_model.Rank(
        name="bid",
        priority=0,
        worth=1.0,
        first_token_target=datetime.timedelta(seconds=1),
        floor_share=0.5,
    )
    return config_model.Service(
        name="desk",
        team="bench",
        ranks=(rank,),
        accounts=(),
        limits=config_model.Limits(
            accelerators=ACCELERATORS_PER_VM * sum(DOMAIN_SIZES.values())
        ),
        model=config_model.ModelBackend(
            model="m1",
            vms_per_replica=VMS_PER_REPLICA,
            replicas=_count_promised(),
            spares_per_fabric_domain=SPARES_PER_DOMAIN,
        ),
    )


def _build_flapping(vm: str, start: datetime.timedelta) -> list[Outage]:
    count = FLAP_DURATION // (FLAP_UP_TIME + FLAP_DOWN_TIME)
    return [
        Outage(
            vm=vm,
            start=start + index * (FLAP_UP_TIME + FLAP_DOWN_TIME),
            end=start
            + index * (FLAP_UP_TIME + FLAP_DOWN_TIME)
            + FLAP_DOWN_TIME,
            is_restart=False,
        )
        for index in range(count)
    ]


def _build_domain_outage(
    domain: str, start: datetime.timedelta
) -> list[Outage]:
    return [
        Outage(
            vm=f"{domain}{number}",
            start=start,
            end=start + DOMAIN_OUTAGE_DURATION,
            is_restart=False,
        )
        for number in range(DOMAIN_SIZES[domain])
    ]


def _apply(
    fleet: fleet_module.Fleet, down: set[str], restarting: set[str]
) -> None:
    for name, vm in fleet.vms.items():
        if name in restarting and vm.up:
            vm.restart()
        vm.up = name not in down


def _count_serving(daemon: fleet_module.Daemon, down: set[str]) -> int:
    """Counts listed replicas whose members are all actually up."""
    rows = daemon.directory.get_rows()
    return sum(
        down.isdisjoint(m.name for m in rows[serving.replica].members)
        for serving in daemon.directory.list_serving("desk")
    )


def _count_promised() -> int:
    return sum(size // VMS_PER_REPLICA for size in DOMAIN_SIZES.values())


def _count_remainder(down: set[str]) -> int:
    total = 0
    for domain, size in DOMAIN_SIZES.items():
        down_count = sum(1 for name in down if name.startswith(domain))
        total += (size - down_count) % VMS_PER_REPLICA
    return total


@click.command()
@click.option("--hours", default=4.0, help="Simulated hours.")
@click.option("--seed", default=1, help="Seed of the failures.")
def main(hours: float, seed: int) -> None:
    """Prints one line for each scenario."""
    click.echo(
        f"{'scenario':<12} {'stranded':>9} {'naive':>9} {'remainder':>9} "
        f"{'downtime':>9} {'naive':>9}  (VM hours, replica hours)"
    )
    for scenario in SCENARIOS:
        result = run(scenario, hours * HOUR, seed)
        click.echo(
            f"{result.scenario:<12} {result.stranded:>9.2f} "
            f"{result.stranded_naive:>9.2f} {result.unavoidable:>9.2f} "
            f"{result.downtime:>9.2f} {result.downtime_naive:>9.2f}"
        )


if __name__ == "__main__":
    main()
