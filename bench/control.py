"""Cost of the control traffic of idle daemons: `python -m bench.control`.

Starts real daemons and stand-ins on loopback. Reports the mean processor time,
resident memory, gRPC calls and TCP payload bytes per second of a daemon, and
the reads and writes per second of the table service. Bytes come from the
kernel's counters of each connection (`ss -ti`), so they include HTTP and
HTTP/2 framing but no TCP/IP headers. The engines share one process.
"""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import collections  # noqa: E402
import pathlib  # noqa: E402
import re  # noqa: E402
import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402
import psutil  # noqa: E402

from arbutuscove.standins import cluster as cluster_module  # noqa: E402
from arbutuscove.standins import demo  # noqa: E402

PID = re.compile(r"pid=(\d+)")
PORTS = re.compile(r":(\d+)\s+\S+:(\d+)\s")
SENT = re.compile(r"bytes_sent:(\d+)")
RECEIVED = re.compile(r"bytes_received:(\d+)")
CALLS = re.compile(r"^arbutuscove_peer_calls_total\{[^}]*\} (\S+)", re.M)
SETTLE_SECONDS = 12.0  # longer than the lease term and the first gossip


class ControlCluster(cluster_module.Cluster):
    """A cluster whose engines share one process."""

    def start_upstreams(self) -> None:
        """Starts all engines in one process, and the plain services."""
        vms = self.list_vms()
        encoded = msgspec.json.encode(vms).decode()
        command = [sys.executable, "-m", "bench.engines", encoded]
        self._spawn("engines", [*command, self.addresses["weights"]])
        self.processes[vms[-1].name] = self.processes["engines"]
        cluster_module.wait_for(
            "engines to answer", lambda: self._answers(vms[-1].name)
        )
        del self.processes[vms[-1].name]
        self._start_standin("plain-0", ["plain", "--name", "plain-0"])


def count_bytes(
    pids: set[int], peer_ports: set[str]
) -> dict[int, dict[str, int]]:
    """Returns the TCP payload bytes of the established connections.

    Args:
        pids: the processes to include.
        peer_ports: ports of the daemons' peer listeners.

    Returns:
        By process id: bytes on connections between daemons (`peer`) and on
        all connections (`all`), both directions together.
    """
    output = subprocess.run(
        ["ss", "-tinpOH", "state", "established"],
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    totals: dict[int, dict[str, int]] = collections.defaultdict(
        lambda: {"peer": 0, "all": 0}
    )
    for line in output.splitlines():
        pid = PID.search(line)
        ports = PORTS.search(line)
        if pid is None or ports is None or int(pid[1]) not in pids:
            continue
        sent, received = SENT.search(line), RECEIVED.search(line)
        total = sum(int(item[1]) for item in (sent, received) if item)
        entry = totals[int(pid[1])]
        entry["all"] += total
        if peer_ports & {ports[1], ports[2]}:
            entry["peer"] += total
    return totals


def sample_totals(cluster: cluster_module.Cluster) -> dict[str, typing.Any]:
    """Returns the cumulative counters of the daemons and the table service."""
    daemons = {
        name: cluster.processes[name].pid
        for name in cluster.processes
        if name.startswith("entry-")
    }
    ports = {
        address.rpartition(":")[2]
        for name, address in cluster.addresses.items()
        if name.endswith(".peer")
    }
    traffic = count_bytes(set(daemons.values()), ports)
    result: dict[str, typing.Any] = {"at": time.monotonic(), "daemons": {}}
    for name, pid in daemons.items():
        process = psutil.Process(pid)
        times = process.cpu_times()
        page = cluster_module.call(cluster.addresses[name], "GET", "/metrics")
        calls = CALLS.findall(page.body.decode())
        result["daemons"][name] = {
            "cpu": times.user + times.system,
            "rss": process.memory_info().rss,
            "calls": sum(float(value) for value in calls),
            "peer": traffic[pid]["peer"],
            "all": traffic[pid]["all"],
        }
    result["table"] = cluster_module.call(
        cluster.addresses["table"], "GET", "/counts"
    ).json()
    return result


def measure(daemons: int, vms: int, seconds: float) -> dict[str, float]:
    """Measures an idle cluster.

    Args:
        daemons: number of daemons.
        vms: number of VMs.
        seconds: duration of the measurement.

    Returns:
        Mean rates of a daemon and rates of the table service.
    """
    layout = cluster_module.Layout(
        daemons=daemons, vms=vms, fabric_domains=3, accelerators_per_vm=4
    )
    with tempfile.TemporaryDirectory() as directory:
        cluster = ControlCluster(pathlib.Path(directory), layout)
        try:
            cluster.start()
            demo.create_services(cluster)
            demo.wait_until_serving(cluster)
            time.sleep(SETTLE_SECONDS)
            before = sample_totals(cluster)
            time.sleep(seconds)
            after = sample_totals(cluster)
        finally:
            cluster.stop()
    return compare(before, after)


def compare(
    before: dict[str, typing.Any], after: dict[str, typing.Any]
) -> dict[str, float]:
    """Returns the rates between two samples.

    Example:
        >>> one = {"cpu": 0, "rss": 1, "calls": 0, "peer": 0, "all": 0}
        >>> two = {"cpu": 1, "rss": 1e6, "calls": 8, "peer": 2000, "all": 4000}
        >>> early = {"at": 0, "daemons": {"a": one}, "table": {"reads": 0}}
        >>> late = {"at": 2, "daemons": {"a": two}, "table": {"reads": 6}}
        >>> compare(early, late)["table_reads_per_s"]
        3.0
    """
    elapsed = after["at"] - before["at"]

    def rate(key: str) -> float:
        return statistics.mean(
            (after["daemons"][name][key] - totals[key]) / elapsed
            for name, totals in before["daemons"].items()
        )

    memory = statistics.mean(d["rss"] for d in after["daemons"].values())
    result = {
        "cpu_percent": 100 * rate("cpu"),
        "rss_mb": memory / 1e6,
        "grpc_calls_per_s": rate("calls"),
        "peer_kb_per_s": rate("peer") / 1e3,
        "all_kb_per_s": rate("all") / 1e3,
    }
    for key, value in after["table"].items():
        result[f"table_{key}_per_s"] = (value - before["table"][key]) / elapsed
    return {key: round(value, 2) for key, value in result.items()}


@click.command()
@click.option("--daemons", multiple=True, type=int, default=(3, 7, 14))
@click.option("--vms", default=50, show_default=True)
@click.option("--seconds", default=20.0, show_default=True)
def main(daemons: tuple[int, ...], vms: int, seconds: float) -> None:
    """Prints one line of JSON for each number of daemons."""
    for number in daemons:
        rates = measure(number, vms, seconds)
        line = {"daemons": number, "vms": vms, **rates}
        click.echo(msgspec.json.encode(line).decode())


if __name__ == "__main__":
    main()
