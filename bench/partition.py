"""How long views take to agree again after a region was cut off.

`python -m bench.partition` cuts a sixth of an in-process fleet off for a time
and prints the seconds until all members believe each other alive again.
"""

import click
import msgspec

from arbutuscove.membership import swim
from arbutuscove.membership.tests import fleet as fleet_module

GIVE_UP = 1800  # seconds after healing


def measure(size: int, seconds: int, seed: int) -> dict[str, int]:
    """Returns the figures for one size of the fleet."""
    fleet = fleet_module.Fleet(size, seed=seed, domains=12)
    fleet.run(5)
    names = list(fleet.views)
    some, others = names[: size // 6], names[size // 6 :]
    fleet.cut(some, others)
    fleet.cut(others, some)
    fleet.run(seconds)
    dead = sum(
        member.state == swim.State.DEAD
        for member in fleet.views[others[0]].members.values()
    )
    fleet.cuts.clear()
    healed = 0
    while healed < GIVE_UP and not fleet.all_alive():
        fleet.run(5)
        healed += 5
    return {"dead_at_heal": dead, "cut_off": len(some), "healed_s": healed}


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
