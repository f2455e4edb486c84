"""Time for membership views to converge after a network partition.

`python -m bench.partition` disconnects a sixth of an in-process fleet for a
time and prints the seconds from the end of the partition until all members
consider each other alive again.
"""

import click
import msgspec

from arbutuscove.membership import swim
from arbutuscove.membership.tests import fleet as fleet_module

MAX_HEAL_SECONDS = 1800  # the measurement ends without convergence after this


def measure(size: int, seconds: int, seed: int) -> dict[str, int]:
    """Measures one partition.

    Args:
        size: number of daemons.
        seconds: duration of the partition.
        seed: seed of the simulation.
    """
    fleet = fleet_module.Fleet(size, seed=seed, domains=12)
    fleet.run(5)
    names = list(fleet.views)
    minority, majority = names[: size // 6], names[size // 6 :]
    fleet.cut(minority, majority)
    fleet.cut(majority, minority)
    fleet.run(seconds)
    dead = sum(
        member.state == swim.State.DEAD
        for member in fleet.views[majority[0]].members.values()
    )
    fleet.cuts.clear()
    heal_seconds = 0
    while heal_seconds < MAX_HEAL_SECONDS and not fleet.all_alive():
        fleet.run(5)
        heal_seconds += 5
    return {
        "dead_at_heal": dead,
        "cut_off": len(minority),
        "healed_s": heal_seconds,
    }


@click.command()
@click.option("--size", multiple=True, type=int, default=(14, 50, 200))
@click.option("--seconds", default=300, show_default=True)
@click.option("--seed", default=0, show_default=True)
def main(size: tuple[int, ...], seconds: int, seed: int) -> None:
    """Prints one line of JSON for each size."""
    for number in size:
        line = {"daemons": number, **measure(number, seconds, seed)}
        click.echo(msgspec.json.encode(line).decode())


if __name__ == "__main__":
    main()
