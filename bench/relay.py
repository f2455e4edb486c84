"""Cost of relaying a streamed answer, against a bare gevent relay.

Both relays stand in front of the same engine stand-ins in the same run and
serve the same load. Their processor time is fitted to a cost by request and a
cost by token from a load of short and one of long answers.

Bounds: at most 1.5 times the processor time of the bare relay by token, and
at most 3 ms added to the time to the first token at the median.
"""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import dataclasses  # noqa: E402
import http.client  # noqa: E402
import pathlib  # noqa: E402
import socket  # noqa: E402
import statistics  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
import geventhttpclient  # noqa: E402
import msgspec  # noqa: E402
import psutil  # noqa: E402
from gevent import pywsgi  # noqa: E402

from arbutuscove.standins import cluster as cluster_module  # noqa: E402
from arbutuscove.standins import demo  # noqa: E402
from arbutuscove.storage import http as platform_http  # noqa: E402
from arbutuscove.upstreams import protocol  # noqa: E402

TOKEN_RATIO_BOUND = 1.5
FIRST_TOKEN_BOUND = 0.003  # seconds added at the median
SHORT = 8  # tokens
LONG = 200
REQUESTS = 96
CONCURRENT = 16
PROBES = 100
LAYOUT = cluster_module.Layout(
    daemons=1, vms=6, slots=CONCURRENT, token_interval=0.005
)


class _Server(pywsgi.WSGIServer):
    def handle(self, sock: typing.Any, address: typing.Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def relay_bare(listen: str, target: str) -> None:
    """Serves a relay that does nothing but pass events on."""
    parsed = platform_http.Address.parse(target)
    upstream = geventhttpclient.HTTPClient(
        parsed.host, port=parsed.port, concurrency=4 * CONCURRENT
    )
    passed_on = ("X_REQUEST_ID", "X_REPLICA", "X_REPLICA_GENERATION")

    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        fields = {"Content-Type": "application/json"}
        for name in passed_on:
            fields[name.replace("_", "-")] = environ["HTTP_" + name]
        path = environ["PATH_INFO"]
        response = upstream.request("POST", path, body, fields)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        while event := response.readline(b"\n\n"):
            yield bytes(event)
        response.release()

    own = platform_http.Address.parse(listen)
    server = _Server((own.host, own.port), application, log=None)
    server.serve_forever()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """One way to the engine, and the process whose time is counted."""

    name: str
    address: str
    process: psutil.Process | None
    fields: dict[str, str]


def send(target: Target, tokens: int, content: str) -> float:
    """Sends one request; returns the seconds to the first event.

    Raises:
        RuntimeError: the answer was not whole.
    """
    parsed = platform_http.Address.parse(target.address)
    connection = http.client.HTTPConnection(parsed.host, parsed.port)
    body = {
        "model": demo.MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": True,
    }
    fields = {**target.fields, protocol.REQUEST_ID: f"{target.name}-{content}"}
    connection.connect()
    began = time.perf_counter()
    encoded = msgspec.json.encode(body)
    connection.request("POST", "/v1/chat/completions", encoded, fields)
    response = connection.getresponse()
    response.readline()
    first = time.perf_counter() - began
    rest = response.read()
    connection.close()
    if response.status != 200 or not rest.endswith(b"data: [DONE]\n\n"):
        raise RuntimeError(f"{target.name}: {response.status} {rest[-200:]!r}")
    return first


def measure_load(target: Target, tokens: int, run: str) -> float:
    """Returns the processor seconds that a load cost the target."""
    assert target.process is not None
    before = target.process.cpu_times()
    began = time.perf_counter()
    pending = list(range(REQUESTS))

    def call() -> None:
        while pending:
            send(target, tokens, f"{run}-{tokens}-{pending.pop()}")

    gevent.joinall(
        [gevent.spawn(call) for _ in range(CONCURRENT)], raise_error=True
    )
    lasted = time.perf_counter() - began
    after = target.process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return used - measure_idle(target) * lasted


def measure_idle(target: Target) -> float:
    """Returns the processor seconds a second without requests."""
    assert target.process is not None
    before = target.process.cpu_times()
    gevent.sleep(2)
    after = target.process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return used / 2


def measure_cost(target: Target) -> tuple[float, float]:
    """Returns processor seconds by token and by request."""
    measure_load(target, SHORT, "warm")
    short = measure_load(target, SHORT, "cost") / REQUESTS
    long = measure_load(target, LONG, "cost") / REQUESTS
    token = (long - short) / (LONG - SHORT)
    return token, short - SHORT * token


def _build_targets(
    cluster: cluster_module.Cluster, bare: "subprocess.Popen[bytes]"
) -> tuple[Target, Target, Target]:
    replica = cluster.list_serving(demo.SERVICE)[0]
    fields = {
        "Content-Type": "application/json",
        protocol.REPLICA: replica["replica"],
        protocol.GENERATION: str(replica["generation"]),
    }
    key = {"Authorization": f"Bearer {demo.API_KEY}"}
    daemon = psutil.Process(cluster.processes["entry-0"].pid)
    return (
        Target(
            name="engine",
            address=replica["members"][0]["address"],
            process=None,
            fields=fields,
        ),
        Target(
            name="bare",
            address=cluster.addresses["bare"],
            process=psutil.Process(bare.pid),
            fields=fields,
        ),
        Target(
            name="daemon",
            address=cluster.addresses["entry-0"],
            process=daemon,
            fields={"Content-Type": "application/json", **key},
        ),
    )


def _start_bare(
    cluster: cluster_module.Cluster,
) -> "subprocess.Popen[bytes]":
    replica = cluster.list_serving(demo.SERVICE)[0]
    leader = replica["members"][0]["address"]
    command = [sys.executable, "-m", "bench.relay", "bare"]
    command += ["--listen", cluster.get_address("bare"), "--target", leader]
    process = subprocess.Popen(command)
    address = platform_http.Address.parse(cluster.addresses["bare"])
    cluster_module.wait_for("the bare relay", lambda: _accepts(address))
    return process


def _accepts(address: platform_http.Address) -> bool:
    try:
        gevent.socket.create_connection(address).close()
    except OSError:
        return False
    return True


def compare(cluster: cluster_module.Cluster) -> bool:
    """Prints the figures; returns whether the bounds hold."""
    bare_process = _start_bare(cluster)
    try:
        engine, bare, daemon = _build_targets(cluster, bare_process)
        first = {}
        for target in (engine, bare, daemon):
            times = [send(target, 2, f"first-{n}") for n in range(PROBES)]
            first[target.name] = statistics.median(times)
        bare_token, bare_request = measure_cost(bare)
        token, request = measure_cost(daemon)
    finally:
        bare_process.terminate()
        bare_process.wait()
    added = first["daemon"] - first["engine"]
    ratio = token / bare_token
    click.echo(f"bare relay: {bare_token * 1e6:.0f} us/token")
    click.echo(f"bare relay: {bare_request * 1e3:.2f} ms/request")
    click.echo(f"daemon: {token * 1e6:.0f} us/token, ratio {ratio:.2f}")
    click.echo(f"daemon: {request * 1e3:.2f} ms/request")
    click.echo(
        f"first token, median of {PROBES}: engine "
        f"{first['engine'] * 1e3:.2f} ms, bare {first['bare'] * 1e3:.2f} ms, "
        f"daemon {first['daemon'] * 1e3:.2f} ms, added {added * 1e3:.2f} ms"
    )
    return ratio <= TOKEN_RATIO_BOUND and added <= FIRST_TOKEN_BOUND


@click.group(invoke_without_command=True)
@click.pass_context
def main(context: click.Context) -> None:
    """Measures; exit code 1 if a bound is passed."""
    if context.invoked_subcommand is not None:
        return
    with tempfile.TemporaryDirectory() as directory:
        cluster = cluster_module.Cluster(pathlib.Path(directory), LAYOUT)
        try:
            cluster.start()
            demo.create_services(cluster)
            demo.wait_until_serving(cluster)
            within = compare(cluster)
        finally:
            cluster.stop()
    sys.exit(0 if within else 1)


@main.command("bare")
@click.option("--listen", required=True)
@click.option("--target", required=True)
def bare(listen: str, target: str) -> None:
    """Runs the bare relay."""
    relay_bare(listen, target)


if __name__ == "__main__":
    main()
