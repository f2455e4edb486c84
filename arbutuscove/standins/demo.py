"""Demo: starts a complete system on loopback, sends requests, stops it."""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import dataclasses  # noqa: E402
import pathlib  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402

import click  # noqa: E402
import msgspec  # noqa: E402

from arbutuscove.config import acceptance  # noqa: E402
from arbutuscove.entry import headers  # noqa: E402
from arbutuscove.questionnaire import answers as answers_module  # noqa: E402
from arbutuscove.questionnaire import generation  # noqa: E402
from arbutuscove.standins import cluster as cluster_module  # noqa: E402
from arbutuscove.storage import http  # noqa: E402

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
API_KEY = "demo-key"
SERVICE = "assistant"
MODEL = "demo-model"
PLAIN_SERVICE = "filings"
REPLICAS = 2


class DemoFailedError(Exception):
    """A step of the demo did not have its expected outcome."""


def create_services(cluster: cluster_module.Cluster) -> None:
    """Accepts the services generated from the demo's answer files.

    Raises:
        DemoFailedError: A daemon refused a service.
    """
    for name in ("demo.yaml", "demo-plain.yaml"):
        answers = answers_module.read_answers(EXAMPLES / name)
        service = generation.generate(answers)
        if service.plain is not None:
            address = cluster.addresses["plain-0"]
            backend = dataclasses.replace(service.plain, addresses=(address,))
            service = dataclasses.replace(service, plain=backend)
        proposal = acceptance.Proposal(
            service=service, base_version=0, author="demo", reason="first run"
        )
        reply = cluster.admin("PUT", "/services/" + service.name, proposal)
        _check(reply.status == 200, f"accept {name}: {reply}")


def send_chat(
    cluster: cluster_module.Cluster,
    content: str,
    extra: dict[str, str] | None = None,
    stream: bool = False,
    daemon: int = 0,
    system: str = "",
) -> http.Reply:
    """Sends one chat request to a daemon and returns the complete response.

    Args:
        cluster: Running cluster.
        content: Content of the user message.
        extra: Further headers.
        stream: Whether to request a streamed answer.
        daemon: Number of the daemon.
        system: Content of a system message that precedes it; empty for none.
    """
    messages = [{"role": "user", "content": content}]
    if system:
        messages.insert(0, {"role": "system", "content": system})
    body = {
        "model": MODEL,
        "messages": messages,
        "stream": stream,
    }
    return cluster_module.call(
        cluster.addresses[f"entry-{daemon}"],
        "POST",
        "/v1/chat/completions",
        body,
        {"Authorization": f"Bearer {API_KEY}", **(extra or {})},
    )


def wait_until_serving(cluster: cluster_module.Cluster) -> None:
    """Waits until every daemon is ready and sees all replicas serving.

    Raises:
        WaitFailedError: The timeout passed.
    """
    daemons = range(cluster.layout.daemons)
    cluster_module.wait_for(
        "all replicas to serve at every daemon",
        lambda: all(
            cluster.is_ready(number)
            and cluster.count_serving(SERVICE, number) >= REPLICAS
            for number in daemons
        ),
    )


def run_requests(cluster: cluster_module.Cluster) -> None:
    """Sends one request of each kind and checks its outcome.

    Raises:
        DemoFailedError: An outcome differs from the expected one.
    """
    reply = send_chat(cluster, "a streamed answer", stream=True)
    _check(reply.body.rstrip().endswith(b"data: [DONE]"), str(reply))
    events = reply.body.count(b"\n\n")
    click.echo(f"streamed answer: {events} events, complete")
    reply = send_chat(cluster, "a whole answer", daemon=1)
    _check(reply.status == 200, str(reply))
    text = reply.json()["choices"][0]["message"]["content"]
    click.echo(f"whole answer: {len(text.split())} tokens")
    _send_non_repeatable(cluster)
    _call_plain(cluster)


def _send_non_repeatable(cluster: cluster_module.Cluster) -> None:
    extra = {headers.REPEAT: "never", headers.IDEMPOTENCY_KEY: "filing-1"}
    before = _count_runs(cluster)
    first = send_chat(cluster, "file the complaint", extra)
    repeated = send_chat(cluster, "file the complaint", extra, daemon=2)
    _check(first.status == repeated.status == 200, f"{first} {repeated}")
    _check(first.body == repeated.body, "the repeated answer differs")
    runs = _count_runs(cluster) - before
    _check(runs == 1, f"the engines ran it {runs} times")
    click.echo("non-repeatable request sent twice: ran once, same answer")


def _call_plain(cluster: cluster_module.Cluster) -> None:
    reply = cluster_module.call(
        cluster.addresses["entry-0"],
        "POST",
        f"/plain/{PLAIN_SERVICE}/call/settle",
        {"lot": 7},
        {
            "Authorization": f"Bearer {API_KEY}",
            headers.IDEMPOTENCY_KEY: "lot-7",
        },
    )
    _check(reply.status == 200, str(reply))
    click.echo("plain service: answered " + str(reply.json()["path"]))


def _count_runs(cluster: cluster_module.Cluster) -> int:
    return sum("ran" in entry for entry in cluster.read_record())


def _check(is_met: bool, reason: str) -> None:
    if not is_met:
        raise DemoFailedError(reason)


def list_access(cluster: cluster_module.Cluster) -> dict[str, str]:
    """Returns the addresses and keys that `--keep` prints, by name."""
    urls = [
        "http://" + cluster.addresses[f"entry-{number}"]
        for number in range(cluster.layout.daemons)
    ]
    return {
        "ENTRY_URLS": ",".join(urls),
        "API_KEY": API_KEY,
        "MODEL": MODEL,
        "ADMIN_URL": "http://" + cluster.addresses["entry-0.admin"],
        "ADMIN_KEY": cluster_module.ADMIN_KEY,
    }


def _run(cluster: cluster_module.Cluster, keep: bool) -> None:
    cluster.start()
    click.echo(f"started {len(cluster.processes)} processes", err=keep)
    create_services(cluster)
    click.echo("accepted the generated configuration", err=keep)
    wait_until_serving(cluster)
    click.echo(f"{REPLICAS} replicas serve at every daemon", err=keep)
    if not keep:
        run_requests(cluster)
        return
    for name, value in list_access(cluster).items():
        click.echo(f"{name}={value}")
    sys.stdout.flush()
    while True:
        time.sleep(1)


@click.command()
@click.option("--keep", is_flag=True, help="Leave it running until Ctrl-C.")
def main(keep: bool) -> None:
    """Runs the demo; exit code 0 if every step did what it should."""
    failure: typing.Any = None
    with tempfile.TemporaryDirectory() as directory:
        cluster = cluster_module.Cluster(
            pathlib.Path(directory), cluster_module.Layout()
        )
        try:
            _run(cluster, keep)
        except KeyboardInterrupt:
            click.echo("interrupted", err=True)
        except (
            DemoFailedError,
            cluster_module.WaitFailedError,
            http.HttpError,
            msgspec.DecodeError,
        ) as error:
            failure = error
        codes = cluster.stop()
    nonzero = {name: code for name, code in codes.items() if code != 0}
    click.echo("stopped all processes", err=keep)
    if failure or nonzero:
        click.echo(f"failed: {failure or nonzero}", err=True)
        sys.exit(1)


if __name__ == "__main__":
    main()
