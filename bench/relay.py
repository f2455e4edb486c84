"""Cost of relaying a streamed answer, against a bare gevent relay.

Both relays forward the same load to the same engine stand-ins in one run. The
costs per request and per token are computed from the processor time for a load
of short answers and a load of long ones.

Bounds: at most 1.5 times the processor time of the bare relay per token, and
at most 3 ms added to the median time to the first token.
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
from arbutuscove.storage import http as storage_http  # noqa: E402
from arbutuscove.upstreams import protocol  # noqa: E402

TOKEN_RATIO_BOUND = 1.5
FIRST_TOKEN_BOUND_SECONDS = 0.003  # added to the median
SHORT_ANSWER_TOKENS = 8
LONG_ANSWER_TOKENS = 200
REQUESTS_PER_LOAD = 96
CONCURRENT_REQUESTS = 16
FIRST_TOKEN_SAMPLES = 100
LAYOUT = cluster_module.Layout(
    daemons=1, vms=6, slots=CONCURRENT_REQUESTS, token_interval=0.005
)


class _Server(pywsgi.WSGIServer):
    def handle(self, sock: typing.Any, address: typing.Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def serve_bare_relay(listen: str, target: str) -> None:
    """Serves a relay that only forwards events, until the process ends.

    Args:
        listen: address of the relay.
        target: address of the engine.
    """
    parsed = storage_http.Address.parse(target)
    upstream = geventhttpclient.HTTPClient(
        parsed.host, port=parsed.port, concurrency=4 * CONCURRENT_REQUESTS
    )
    forwarded_fields = ("X_REQUEST_ID", "X_REPLICA", "X_REPLICA_GENERATION")

    def application(environ, start_response):
        body = environ["wsgi.input"].read()
        fields = {"Content-Type": "application/json"}
        for name in forwarded_fields:
            fields[name.replace("_", "-")] = environ["HTTP_" + name]
        path = environ["PATH_INFO"]
        response = upstream.request("POST", path, body, fields)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        while event := response.readline(b"\n\n"):
            yield bytes(event)
        response.release()

    own = storage_http.Address.parse(listen)
    server = _Server((own.host, own.port), application, log=None)
    server.serve_forever()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """An endpoint under load and the process whose time is measured."""

    name: str
    address: str
    process: psutil.Process | None
    fields: dict[str, str]


def send(target: Target, tokens: int, content: str) -> float:
    """Sends one request and reads the whole answer.

    Args:
        target: the endpoint.
        tokens: number of tokens to generate.
        content: the prompt; also makes the request id unique.

    Returns:
        The time from sending to the first event, in seconds.

    Raises:
        RuntimeError: the request failed or the answer is incomplete.
    """
    parsed = storage_http.Address.parse(target.address)
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
    first_token = time.perf_counter() - began
    rest = response.read()
    connection.close()
    if response.status != 200 or not rest.endswith(b"data: [DONE]\n\n"):
        raise RuntimeError(
            f"{target.name}: request failed or answer incomplete: status "
            f"{response.status}, body ends with {rest[-200:]!r}"
        )
    return first_token


def measure_load(target: Target, tokens: int, run: str) -> float:
    """Runs one load and measures the target's processor time.

    Args:
        target: the endpoint; it must have a process.
        tokens: length of each answer.
        run: prefix of the prompts.

    Returns:
        Processor seconds for the load, without those of an idle target.
    """
    assert target.process is not None
    before = target.process.cpu_times()
    began = time.perf_counter()
    pending = list(range(REQUESTS_PER_LOAD))

    def call() -> None:
        while pending:
            send(target, tokens, f"{run}-{tokens}-{pending.pop()}")

    gevent.joinall(
        [gevent.spawn(call) for _ in range(CONCURRENT_REQUESTS)],
        raise_error=True,
    )
    elapsed = time.perf_counter() - began
    after = target.process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return used - measure_idle(target) * elapsed


def measure_idle(target: Target) -> float:
    """Returns the processor seconds per second of an idle target."""
    assert target.process is not None
    before = target.process.cpu_times()
    gevent.sleep(2)
    after = target.process.cpu_times()
    used = after.user + after.system - before.user - before.system
    return used / 2


def measure_cost(target: Target) -> tuple[float, float]:
    """Returns the processor seconds per token and per request."""
    measure_load(target, SHORT_ANSWER_TOKENS, "warm")
    short = (
        measure_load(target, SHORT_ANSWER_TOKENS, "cost") / REQUESTS_PER_LOAD
    )
    long = measure_load(target, LONG_ANSWER_TOKENS, "cost") / REQUESTS_PER_LOAD
    token = (long - short) / (LONG_ANSWER_TOKENS - SHORT_ANSWER_TOKENS)
    return token, short - SHORT_ANSWER_TOKENS * token


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
    address = storage_http.Address.parse(cluster.addresses["bare"])
    cluster_module.wait_for("the bare relay", lambda: _is_listening(address))
    return process


def _is_listening(address: storage_http.Address) -> bool:
    try:
        gevent.socket.create_connection(address).close()
    except OSError:
        return False
    return True


def compare(cluster: cluster_module.Cluster) -> bool:
    """Prints the measurements; returns whether they are within the bounds."""
    bare_process = _start_bare(cluster)
    try:
        engine, bare, daemon = _build_targets(cluster, bare_process)
        first_token = {}
        for target in (engine, bare, daemon):
            times = [
                send(target, 2, f"first-{n}")
                for n in range(FIRST_TOKEN_SAMPLES)
            ]
            first_token[target.name] = statistics.median(times)
        bare_token, bare_request = measure_cost(bare)
        token, request = measure_cost(daemon)
    finally:
        bare_process.terminate()
        bare_process.wait()
    added = first_token["daemon"] - first_token["engine"]
    ratio = token / bare_token
    click.echo(f"bare relay: {bare_token * 1e6:.0f} us/token")
    click.echo(f"bare relay: {bare_request * 1e3:.2f} ms/request")
    click.echo(f"daemon: {token * 1e6:.0f} us/token, ratio {ratio:.2f}")
    click.echo(f"daemon: {request * 1e3:.2f} ms/request")
    click.echo(
        f"first token, median of {FIRST_TOKEN_SAMPLES}: engine "
        f"{first_token['engine'] * 1e3:.2f} ms, "
        f"bare {first_token['bare'] * 1e3:.2f} ms, "
        f"daemon {first_token['daemon'] * 1e3:.2f} ms, "
        f"added {added * 1e3:.2f} ms"
    )
    return ratio <= TOKEN_RATIO_BOUND and added <= FIRST_TOKEN_BOUND_SECONDS


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
            is_within_bounds = compare(cluster)
        finally:
            cluster.stop()
    sys.exit(0 if is_within_bounds else 1)


@main.command("bare")
@click.option("--listen", required=True)
@click.option("--target", required=True)
def bare(listen: str, target: str) -> None:
    """Runs the bare relay."""
    serve_bare_relay(listen, target)


if __name__ == "__main__":
    main()
