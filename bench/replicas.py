"""Group downtime and stranded VM time under failures, without real time.

The same failures meet the product's real control code and a naive baseline,
in which a VM stays with its replica until that replica is rebuilt, that is
until all its VMs are back. A VM is stranded while it is up and not in a
replica that serves; loading counts as stranded. Unavoidable is what does not
fill a whole replica in its fabric domain.

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

STEP = datetime.timedelta(seconds=2)  # the renewal interval of leases
# VMs of each fabric domain: two that leave a remainder and one that does not.
SIZES = {"a": 18, "b": 17, "c": 16}
SIZE = 4  # VMs of a replica
SPARES = 2
ACCELERATORS = 4
WARM_UP = datetime.timedelta(minutes=5)
# Far above the rate of the target size (240 of 12,000 VMs a day), so that the
# failures and not the fixed remainder of the domains decide the figures.
DEATH_INTERVAL = datetime.timedelta(minutes=5)
REPLACED_AFTER = datetime.timedelta(minutes=15)
FLAP_UP = datetime.timedelta(seconds=40)
FLAP_DOWN = datetime.timedelta(seconds=10)
FLAP_FOR = datetime.timedelta(minutes=10)
DARK_FOR = datetime.timedelta(minutes=10)
HOUR = datetime.timedelta(hours=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outage:
    """One VM is down from `start` to `end`; a restart loses its weights."""

    vm: str
    start: datetime.timedelta
    end: datetime.timedelta
    restart: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Which failures happen; the times of all come from one generator."""

    name: str
    deaths: bool = False
    flapping: bool = False
    dark: bool = False


SCENARIOS = (
    Scenario(name="deaths", deaths=True),
    Scenario(name="flapping", flapping=True),
    Scenario(name="dark domain", dark=True),
    Scenario(name="all", deaths=True, flapping=True, dark=True),
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Result:
    """Hours summed over VMs and over promised replicas."""

    scenario: str
    stranded: float
    stranded_naive: float
    unavoidable: float
    downtime: float
    downtime_naive: float


def build_outages(
    scenario: Scenario, duration: datetime.timedelta, seed: int
) -> list[Outage]:
    """Returns the failures of a scenario."""
    generator = random.Random(seed)
    names = [vm.name for vm in _build_vms()]
    outages: list[Outage] = []
    start = WARM_UP
    while start < duration:
        if scenario.deaths:
            at = start + generator.random() * DEATH_INTERVAL
            outages.append(
                Outage(
                    vm=generator.choice(names),
                    start=at,
                    end=at + REPLACED_AFTER,
                    restart=True,
                )
            )
        start += DEATH_INTERVAL
    start = WARM_UP
    while start + HOUR <= duration + WARM_UP:
        if scenario.flapping:
            outages += _build_flapping(generator.choice(names), start)
        if scenario.dark:
            domain = generator.choice(sorted(SIZES))
            outages += _build_dark(domain, start + HOUR / 2)
        start += HOUR
    return outages


def run(scenario: Scenario, duration: datetime.timedelta, seed: int) -> Result:
    """Runs product and baseline through the same failures."""
    outages = build_outages(scenario, duration, seed)
    clock = clock_module.ManualClock()
    fleet = fleet_module.Fleet(clock, _build_vms())
    table = table_standin.MemoryTable()
    fleet_module.accept(table, clock, _build_service())
    daemon = fleet_module.Daemon("d0", clock, table, fleet)
    naive = Naive()
    sums = [0.0] * 5
    while clock.monotonic() < duration:
        clock.advance(STEP)
        now = clock.monotonic()
        down = {o.vm for o in outages if o.start <= now < o.end}
        lost = {o.vm for o in outages if o.restart and o.start <= now < o.end}
        _apply(fleet, down, lost)
        naive.step(now, down, lost)
        daemon.observe()
        daemon.renew()
        daemon.control()
        if now < WARM_UP:
            continue
        up = len(fleet.vms) - len(down)
        served = _count_serving(daemon, down)
        served_naive = naive.count_serving(now)
        promised = _count_promised()
        for index, vms in enumerate(
            (
                up - served * SIZE,
                up - served_naive * SIZE,
                _count_remainder(down),
                promised - served,
                promised - served_naive,
            )
        ):
            sums[index] += vms * (STEP / HOUR)
    return Result(
        scenario=scenario.name,
        stranded=sums[0],
        stranded_naive=sums[1],
        unavoidable=sums[2],
        downtime=sums[3],
        downtime_naive=sums[4],
    )


class Naive:
    """The baseline: replicas keep their VMs whatever happens to them."""

    def __init__(self) -> None:
        self._groups = [
            [f"{domain}{SIZE * index + number}" for number in range(SIZE)]
            for domain, size in SIZES.items()
            for index in range(size // SIZE)
        ]
        self._ready = [fleet_module.LOAD_TIME for _ in self._groups]

    def step(
        self, now: datetime.timedelta, down: set[str], lost: set[str]
    ) -> None:
        """Lets groups without all VMs wait; they reload when complete."""
        for index, group in enumerate(self._groups):
            if down.isdisjoint(group):
                continue
            reload = not lost.isdisjoint(group)
            pause = fleet_module.REGROUP_TIME
            if reload:
                pause = fleet_module.LOAD_TIME
            # Detection costs the baseline nothing.
            self._ready[index] = max(self._ready[index], now + pause)

    def count_serving(self, now: datetime.timedelta) -> int:
        """Returns how many replicas serve."""
        return sum(ready <= now for ready in self._ready)


def _build_vms() -> list[inventory.Vm]:
    return [
        inventory.Vm(
            name=f"{domain}{number}",
            address=f"{domain}{number}:1",
            fabric_domain=domain,
            failure_domain=domain,
            accelerators=ACCELERATORS,
        )
        for domain, size in SIZES.items()
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
            accelerators=ACCELERATORS * sum(SIZES.values())
        ),
        model=config_model.ModelBackend(
            model="m1",
            vms_per_replica=SIZE,
            replicas=_count_promised(),
            spares_per_fabric_domain=SPARES,
        ),
    )


def _build_flapping(vm: str, start: datetime.timedelta) -> list[Outage]:
    count = FLAP_FOR // (FLAP_UP + FLAP_DOWN)
    return [
        Outage(
            vm=vm,
            start=start + index * (FLAP_UP + FLAP_DOWN),
            end=start + index * (FLAP_UP + FLAP_DOWN) + FLAP_DOWN,
            restart=False,
        )
        for index in range(count)
    ]


def _build_dark(domain: str, start: datetime.timedelta) -> list[Outage]:
    return [
        Outage(
            vm=f"{domain}{number}",
            start=start,
            end=start + DARK_FOR,
            restart=False,
        )
        for number in range(SIZES[domain])
    ]


def _apply(fleet: fleet_module.Fleet, down: set[str], lost: set[str]) -> None:
    for name, vm in fleet.vms.items():
        if name in lost and vm.up:
            vm.restart()
        vm.up = name not in down


def _count_serving(daemon: fleet_module.Daemon, down: set[str]) -> int:
    """Counts replicas that serve and really have all their members up."""
    rows = daemon.directory.get_rows()
    return sum(
        down.isdisjoint(m.name for m in rows[found.replica].members)
        for found in daemon.directory.list_serving("desk")
    )


def _count_promised() -> int:
    return sum(size // SIZE for size in SIZES.values())


def _count_remainder(down: set[str]) -> int:
    total = 0
    for domain, size in SIZES.items():
        lost = sum(1 for name in down if name.startswith(domain))
        total += (size - lost) % SIZE
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
