"""Cost and reach of membership at sizes beyond one machine's processes.

`python -m bench.gossip` runs the real services of many daemons in one process
on a manual clock with the fake network of the tests, and prints for each size
the rounds until an accepted change is in force everywhere, and for a daemon
and second the probes, message bytes and processor time of one turn (gRPC not
included).
"""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import time  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402
import psutil  # noqa: E402

from arbutuscove.config import model  # noqa: E402
from arbutuscove.membership.tests import test_service  # noqa: E402


class CountingClient(test_service.FakeClient):
    """Counts the encoded bytes of both directions."""

    sent = 0

    def probe(self, address, gossip, timeout):
        """Delivers a probe and counts it with its answer."""
        answer = super().probe(address, gossip, timeout)
        CountingClient.sent += gossip.ByteSize() + answer.ByteSize()
        return answer


def measure(size: int, regions: int, seed: int) -> dict[str, float]:
    """Returns figures for one size of the fleet."""
    test_service.FakeClient = CountingClient
    process = psutil.Process()
    empty = process.memory_info().rss
    world = test_service.World(size, regions=regions, seed=seed)
    for daemon in world.daemons.values():
        daemon.config.merge_snapshot(model.Snapshot())
        daemon.config._read_at = world.clock.monotonic()
    world.run(2)
    calls, sent = world.calls, CountingClient.sent
    spent = time.process_time()
    world.run(3)
    spent = time.process_time() - spent
    turns = 3 * size
    calls, sent = world.calls - calls, CountingClient.sent - sent
    world.accept(0)
    rounds = 0
    while world.sequences() != {1}:
        world.run(1)
        rounds += 1
    memory = process.memory_info().rss - empty
    return {
        "rounds_until_in_force": rounds,
        "probes_per_s": round(calls / turns, 2),
        # Each exchange costs both ends, so a daemon carries twice its own.
        "bytes_per_s": round(2 * sent / turns),
        "cpu_us_per_turn": round(1e6 * spent / turns),
        "kb_per_view": round(memory / size / 1e3, 1),
    }


@click.command()
@click.option("--size", multiple=True, type=int, default=(7, 50, 200, 1900))
@click.option("--seed", default=0, show_default=True)
def main(size: tuple[int, ...], seed: int) -> None:
    """Prints one line of JSON for each size."""
    for number in size:
        regions = 6 if number >= 200 else 1
        found = measure(number, regions, seed)
        line = {"daemons": number, "regions": regions, **found}
        click.echo(msgspec.json.encode(line).decode())


if __name__ == "__main__":
    main()
