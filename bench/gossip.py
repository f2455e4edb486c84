"""Cost and propagation time of gossip in fleets too large for one machine.

`python -m bench.gossip` runs the real services of many daemons in one process
on a manual clock with the fake network of the tests. It prints for each fleet
size the rounds until an accepted change is in force everywhere, and the probes,
message bytes and processor time per daemon and round of one second. gRPC is not
included.
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
    """A client that counts the encoded bytes of both directions."""

    sent = 0

    def probe(self, address, gossip, timeout):
        """Delivers a probe and counts the bytes of the probe and its answer."""
        answer = super().probe(address, gossip, timeout)
        CountingClient.sent += gossip.ByteSize() + answer.ByteSize()
        return answer


def measure(size: int, regions: int, seed: int) -> dict[str, float]:
    """Measures one fleet.

    Args:
        size: number of daemons.
        regions: number of regions.
        seed: seed of the simulation.
    """
    test_service.FakeClient = CountingClient
    process = psutil.Process()
    initial_rss = process.memory_info().rss
    world = test_service.World(size, regions=regions, seed=seed)
    for daemon in world.daemons.values():
        daemon.config.merge_snapshot(model.Snapshot())
        daemon.config._read_at = world.clock.monotonic()
    world.run(2)
    calls, sent = world.calls, CountingClient.sent
    cpu_time = time.process_time()
    world.run(3)
    cpu_time = time.process_time() - cpu_time
    daemon_rounds = 3 * size
    calls, sent = world.calls - calls, CountingClient.sent - sent
    world.accept(0)
    rounds = 0
    while world.sequences() != {1}:
        world.run(1)
        rounds += 1
    memory = process.memory_info().rss - initial_rss
    return {
        "rounds_until_in_force": rounds,
        "probes_per_s": round(calls / daemon_rounds, 2),
        # Both ends of an exchange carry its bytes, so the traffic of a daemon
        # is twice that of the probes that it sends.
        "bytes_per_s": round(2 * sent / daemon_rounds),
        "cpu_us_per_turn": round(1e6 * cpu_time / daemon_rounds),
        "kb_per_view": round(memory / size / 1e3, 1),
    }


@click.command()
@click.option("--size", multiple=True, type=int, default=(7, 50, 200, 1900))
@click.option("--seed", default=0, show_default=True)
def main(size: tuple[int, ...], seed: int) -> None:
    """Prints one line of JSON for each size."""
    for number in size:
        regions = 6 if number >= 200 else 1
        costs = measure(number, regions, seed)
        line = {"daemons": number, "regions": regions, **costs}
        click.echo(msgspec.json.encode(line).decode())


if __name__ == "__main__":
    main()
