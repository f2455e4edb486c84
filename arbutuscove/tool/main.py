"""Command-line interface `arbutuscove`."""

import collections
import hashlib
import itertools
import pathlib
import secrets
import sys
import time
import typing
import urllib.parse

import click
import msgspec
from click import shell_completion

import arbutuscove
from arbutuscove.admin import openapi
from arbutuscove.config import acceptance
from arbutuscove.config import model as config_model
from arbutuscove.questionnaire import answers as answers_module
from arbutuscove.questionnaire import checks
from arbutuscove.questionnaire import generation
from arbutuscove.questionnaire import interview
from arbutuscove.tool import calls
from arbutuscove.tool import display
from arbutuscove.tool import logs as logs_module
from arbutuscove.tool import report as report_module
from arbutuscove.tool import routes
from arbutuscove.tool import withdrawals

EXIT_ANSWERS = 4  # the answers contradict each other or cannot be read
KEY_BYTES = 32
MAX_REPORT_SAMPLES = 10_000  # the oldest samples are dropped

ANSWER_FILE = click.Path(dir_okay=False, path_type=pathlib.Path)
OUTPUT_FILE = click.Path(dir_okay=False, writable=True, path_type=pathlib.Path)


@click.group(
    epilog="Exit codes: 0 done, 2 wrong usage, 3 refused, 4 wrong answers, "
    "5 unreachable."
)
@click.version_option(arbutuscove.__version__)
@click.option(
    "--admin-url",
    envvar="ARBUTUSCOVE_ADMIN_URL",
    default="http://127.0.0.1:8001",
    show_default=True,
    help="Administration address of any daemon.",
)
@click.option(
    "--admin-key",
    envvar="ARBUTUSCOVE_ADMIN_KEY",
    default="",
    help="Administration key.",
)
@click.option(
    "--output",
    envvar="ARBUTUSCOVE_OUTPUT",
    type=click.Choice(["text", "json"]),
    default="text",
    show_default=True,
)
@click.pass_context
def main(
    context: click.Context, admin_url: str, admin_key: str, output: str
) -> None:
    """Administers an arbutuscove system.

    Example: arbutuscove questionnaire > answers.yaml

    Example: arbutuscove review answers.yaml
    """
    context.obj = calls.Context(admin_url, admin_key, output)


@main.command()
def questionnaire() -> None:
    """Asks about a service and prints an answer file.

    Example: arbutuscove questionnaire > answers.yaml
    """

    def ask(question: str, default: str) -> str:
        return str(click.prompt(question, default=default, err=True))

    def confirm(question: str) -> bool:
        return click.confirm(question + "?", err=True)

    answers = interview.Interview(ask, confirm).run()
    click.echo(interview.write_answers(answers), nl=False)


@main.command()
def schema() -> None:
    """Prints the JSON schema of answer files."""
    calls.print_json(msgspec.json.schema(answers_module.Answers))


@main.command("openapi")
def print_openapi() -> None:
    """Prints the OpenAPI description of the administration API."""
    calls.print_json(openapi.build_description())


@main.command("new-key")
def create_key() -> None:
    """Prints a new key and its digest; the key is shown only now.

    Give the key to its holder and put the digest into the answer file, or
    into `keys set` or `rotate`.
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    click.echo(f"key     {key}")
    click.echo(f"digest  {hashlib.sha256(key.encode()).hexdigest()}")


@main.command()
@click.argument("answers", type=ANSWER_FILE)
@click.option(
    "--trace", is_flag=True, help="Show the answer behind each value."
)
def generate(answers: pathlib.Path, trace: bool) -> None:
    """Prints the configuration generated from an answer file.

    Example: arbutuscove generate --trace examples/nilavu.yaml
    """
    parsed = _read_answers(answers)
    if not trace:
        calls.print_json(generation.generate(parsed))
        return
    rows = [
        (item.setting, item.value, item.answer)
        for item in generation.trace_origins(parsed)
    ]
    click.echo(display.build_table(["setting", "value", "answer"], rows))


@main.command()
@click.argument("answers", type=ANSWER_FILE)
@click.pass_obj
def review(context: calls.Context, answers: pathlib.Path) -> None:
    """Shows generated configuration beside what is in force.

    Example: arbutuscove review examples/nilavu.yaml
    """
    service = generation.generate(_read_answers(answers))
    path = f"/services/{service.name}/review"
    calls.print_response(
        context,
        calls.call(context, "POST", path, service),
        display.format_review,
    )


@main.command()
@click.argument("answers", type=ANSWER_FILE)
@click.option(
    "--base-version",
    type=int,
    required=True,
    help="The version that was reviewed; 0 for a new service.",
)
@click.option("--author", default="operator", show_default=True)
@click.option("--reason", default="", help="Kept in the audit trail.")
@click.pass_obj
def accept(
    context: calls.Context,
    answers: pathlib.Path,
    base_version: int,
    author: str,
    reason: str,
) -> None:
    """Puts generated configuration in force.

    Refused with the differences if another version was accepted meanwhile.

    Example: arbutuscove accept examples/nilavu.yaml --base-version 0
    """
    service = generation.generate(_read_answers(answers))
    proposal = acceptance.Proposal(
        service=service,
        base_version=base_version,
        author=author,
        reason=reason,
    )
    response = calls.call(context, "PUT", "/services/" + service.name, proposal)
    calls.print_response(context, response, _describe_acceptance)


@main.command()
@click.argument("service")
@click.argument("account")
@click.option("--digest", "digests", multiple=True, help="Key digests to keep.")
@click.option("--base-version", type=int, required=True)
@click.pass_obj
def rotate(
    context: calls.Context,
    service: str,
    account: str,
    digests: tuple[str, ...],
    base_version: int,
) -> None:
    """Replaces the key digests of a client account.

    Give the old and the new digest first, and the new one alone when all
    callers use it.
    """
    body = {"base_version": base_version, "key_digests": digests}
    path = f"/services/{service}/accounts/{account}/keys"
    response = calls.call(context, "PUT", path, body)
    calls.print_response(context, response, _describe_acceptance)


@main.command()
@click.pass_obj
def services(context: calls.Context) -> None:
    """Lists the services in force."""
    items: list[typing.Any] = []
    after = ""
    while True:
        page = calls.call(context, "GET", "/services?after=" + after)
        items += page["items"]
        after = page["next"]
        if not after:
            break
    rows = [
        (i["service"]["name"], i["service"]["team"], i["version"])
        for i in items
    ]
    titles = ["service", "team", "version"]
    response = {"items": items}
    calls.print_response(
        context, response, lambda _: display.build_table(titles, rows)
    )


@main.command()
@click.option("--watch", is_flag=True, help="Repeat until Ctrl-C.")
@click.option("--interval", default=2.0, show_default=True, help="Seconds.")
@click.pass_obj
def status(context: calls.Context, watch: bool, interval: float) -> None:
    """Shows replicas, stranded VMs, daemons and configuration in force."""
    while True:
        response = calls.call(context, "GET", "/status")
        if watch and context.output == "text":
            click.clear()
        calls.print_response(context, response, display.format_status)
        if not watch:
            return
        time.sleep(interval)


@main.command()
@click.argument("request_id")
@click.option(
    "--log",
    "logs",
    type=click.File("rb"),
    multiple=True,
    help="Log of a daemon; - is standard input. May be given several times.",
)
@click.pass_obj
def explain(
    context: calls.Context, request_id: str, logs: tuple[typing.BinaryIO, ...]
) -> None:
    """Shows why a recent request was queued, routed or refused.

    Ask the daemon whose name begins the request identity, or give the logs of
    the daemons that may have served it.

    Example: arbutuscove explain --log daemon-1.log 7ac01f52
    """
    if not logs:
        response = calls.call(context, "GET", "/requests/" + request_id)
    else:
        lines = itertools.chain.from_iterable(logs)
        events = logs_module.find_steps(lines, request_id)
        if not events:
            raise click.ClickException(f"no line names request {request_id}")
        response = {"request_id": request_id, "events": events}
    calls.print_response(context, response, display.format_explanation)


@main.command()
@click.argument("scope", required=False)
@click.option("--after", default=0, help="Show entries after this number.")
@click.pass_obj
def audit(context: calls.Context, scope: str | None, after: int) -> None:
    """Shows audit entries of a scope, or the scopes there are.

    Example: arbutuscove audit config
    """
    if scope is None:
        response = calls.call(context, "GET", "/audit")
        rows = sorted(response["newest"].items())
        titles = ["scope", "newest"]
        calls.print_response(
            context, response, lambda _: display.build_table(titles, rows)
        )
        return
    path = f"/audit/{urllib.parse.quote(scope)}?after={after}"
    calls.print_response(
        context, calls.call(context, "GET", path), display.format_audit
    )


@main.group()
def keys() -> None:
    """Administration keys, by digest."""


@keys.command("list")
@click.pass_obj
def list_keys(context: calls.Context) -> None:
    """Lists administration keys."""
    response = calls.call(context, "GET", "/keys")
    rows = [
        (k["digest"][:16], k["identity"]["name"], k["identity"]["role"])
        for k in response["items"]
    ]
    titles = ["digest", "name", "role"]
    calls.print_response(
        context, response, lambda _: display.build_table(titles, rows)
    )


@keys.command("set")
@click.argument("digest")
@click.option("--name", required=True)
@click.option(
    "--role",
    type=click.Choice(["operator", "team", "read-only"]),
    required=True,
)
@click.option("--team", default="", help="The team of a team key.")
@click.pass_obj
def set_key(
    context: calls.Context, digest: str, name: str, role: str, team: str
) -> None:
    """Adds or changes an administration key (see new-key)."""
    body = {"name": name, "role": role, "team": team}
    response = calls.call(context, "PUT", "/keys/" + digest, body)
    calls.print_response(context, response, lambda _: "done")


@keys.command("remove")
@click.argument("digest")
@click.pass_obj
def remove_key(context: calls.Context, digest: str) -> None:
    """Removes an administration key."""
    response = calls.call(context, "DELETE", "/keys/" + digest)
    calls.print_response(context, response, lambda _: "done")


@main.command()
@click.pass_obj
def quarantine(context: calls.Context) -> None:
    """Lists digests of requests that crash upstreams."""
    response = calls.call(context, "GET", "/quarantine")
    calls.print_response(context, response, lambda a: "\n".join(a["digests"]))


@main.command()
@click.option("--seconds", default=60.0, show_default=True, help="Period.")
@click.option("--interval", default=1.0, show_default=True, help="Seconds.")
@click.option("--file", "path", type=OUTPUT_FILE, required=True)
@click.pass_obj
def report(
    context: calls.Context, seconds: float, interval: float, path: pathlib.Path
) -> None:
    """Samples the status for a period and writes a page with plots."""
    samples: collections.deque[report_module.Sample] = collections.deque(
        maxlen=MAX_REPORT_SAMPLES
    )
    start = time.monotonic()
    while True:
        elapsed = time.monotonic() - start
        response = calls.call(context, "GET", "/status")
        samples.append(report_module.Sample(seconds=elapsed, status=response))
        if elapsed + interval > seconds:
            break
        time.sleep(interval)
    try:
        path.write_text(report_module.build_page(samples))
    except report_module.PlotterMissingError as error:
        raise click.ClickException(str(error)) from error
    click.echo(f"wrote {path}")


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell: str) -> None:
    """Prints the completion script of a shell.

    Example: arbutuscove completion bash > ~/.arbutuscove-completion
    """
    completion_class = shell_completion.get_completion_class(shell)
    if completion_class is None:
        raise click.ClickException(f"no completion for {shell}")
    script = completion_class(main, {}, "arbutuscove", "_ARBUTUSCOVE_COMPLETE")
    click.echo(script.source())


main.add_command(routes.explain_route)
main.add_command(withdrawals.drains)
main.add_command(withdrawals.domains)


def _read_answers(path: pathlib.Path) -> answers_module.Answers:
    try:
        answers = answers_module.read_answers(path)
    except answers_module.AnswersInvalidError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_ANSWERS)
    faults = checks.find_faults(answers)
    for fault in faults:
        click.echo(str(fault), err=True)
    if faults:
        sys.exit(EXIT_ANSWERS)
    return answers


def _describe_acceptance(response: dict[str, typing.Any]) -> str:
    change = msgspec.convert(response["change"], config_model.Change)
    pending = ", ".join(response["not_yet"]) or "none"
    return (
        f"{change.service.name}: version {change.version} accepted as change "
        f"{change.sequence}\n"
        f"in force at: {', '.join(response['in_force']) or 'none'}\n"
        f"not yet at: {pending}"
    )


if __name__ == "__main__":
    main()
