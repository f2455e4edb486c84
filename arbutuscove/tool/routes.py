"""The command that asks a daemon where a request would go."""

import datetime
import sys
import typing
import urllib.parse
from collections import abc

import click
import msgspec

from arbutuscove.storage import http
from arbutuscove.tool import calls
from arbutuscove.tool import display

TIMEOUT = datetime.timedelta(seconds=5)
KEY_SCHEME = "Token "
# Options by the name of their field in the question.
TEXT_FIELDS = ("host", "path", "account", "model", "service")
NUMBER_FIELDS = ("prompt_tokens", "answer_tokens", "deadline_ms")


@click.command("explain-route")
@click.option(
    "--address",
    envvar="ARBUTUSCOVE_EXPLAIN_ADDRESS",
    default="",
    help="IP:PORT of a daemon's internal address for questions on the users' "
    "platform: the first internal port of its settings plus 1. Without it, "
    "the daemon at --admin-url is asked.",
)
@click.option("--host", default="", help="Host name that callers use.")
@click.option("--path", default="/", show_default=True)
@click.option("--account", default="", help="Name of the client account.")
@click.option(
    "--key",
    envvar="ARBUTUSCOVE_CALLER_KEY",
    default="",
    help="A caller's key, in place of --account.",
)
@click.option("--model", default="")
@click.option(
    "--service",
    default="",
    help="One service of the route; drawn by the weights without it. Required "
    "without --address.",
)
@click.option("--prompt-tokens", type=click.IntRange(min=0), default=0)
@click.option("--answer-tokens", type=click.IntRange(min=0), default=0)
@click.option(
    "--deadline-ms",
    type=click.IntRange(min=1),
    default=None,
    help="Milliseconds that the caller waits; without it the route's time-out.",
)
@click.option(
    "--prompt-part",
    "prompt_parts",
    multiple=True,
    help="Identity of a part of the prompt that other requests have, too.",
)
@click.option("--rank", default="", help="Only without --address.")
@click.option(
    "--prefix",
    default="",
    help="Digest of the prompt's start, for which replicas with a warm cache "
    "are preferred. Only without --address.",
)
@click.option("--json", "is_json", is_flag=True, help="Print JSON.")
@click.pass_obj
def explain_route(
    context: calls.Context,
    address: str,
    key: str,
    prompt_parts: tuple[str, ...],
    rank: str,
    prefix: str,
    is_json: bool,
    **fields: typing.Any,
) -> None:
    """Shows where a request would go now, and why, without sending it.

    The answer holds for the daemon that is asked; others may know other loads.

    Example: arbutuscove explain-route --address 10.0.1.2:7341 --host
    chat.example --path /v1/chat --model m0 --prompt-tokens 700

    Example: arbutuscove explain-route --service chat --account kitchen
    """
    if not address:
        response = _ask_service(context, rank, prefix, fields)
        _show(context, is_json, response, display.format_service_route)
        return
    if not fields["host"]:
        raise click.UsageError("--address needs --host")
    query = [
        (name, fields[name])
        for name in (*TEXT_FIELDS, *NUMBER_FIELDS)
        if fields[name] not in ("", None)
    ]
    query += [("prompt_part", part) for part in prompt_parts]
    response = _ask(address, urllib.parse.urlencode(query), key)
    _show(context, is_json, response, display.format_route)


def _show(
    context: calls.Context,
    is_json: bool,
    response: dict[str, typing.Any],
    render: abc.Callable[[dict[str, typing.Any]], str],
) -> None:
    if is_json or context.output == "json":
        encoded = msgspec.json.encode(response)
        click.echo(msgspec.json.format(encoded, indent=2).decode())
    else:
        click.echo(render(response))


def _ask_service(
    context: calls.Context,
    rank: str,
    prefix: str,
    fields: dict[str, typing.Any],
) -> dict[str, typing.Any]:
    """Returns the answer of the administration API."""
    if not fields["service"] or not fields["account"]:
        raise click.UsageError(
            "give --address and --host, or --service and --account"
        )
    values = {
        "account": fields["account"],
        "rank": rank,
        "tokens": fields["prompt_tokens"] + fields["answer_tokens"] or None,
        "deadline_ms": fields["deadline_ms"],
        "prefix": prefix,
    }
    query = urllib.parse.urlencode(
        {name: value for name, value in values.items() if value}
    )
    service = urllib.parse.quote(fields["service"], safe="")
    response: dict[str, typing.Any] = calls.call(
        context, "GET", f"/services/{service}/route?{query}"
    )
    return response


def _ask(address: str, query: str, key: str) -> dict[str, typing.Any]:
    """Returns the daemon's answer; ends the program if there is none."""
    try:
        client = http.JsonClient(http.Address.parse(address), TIMEOUT)
    except ValueError as error:
        raise click.UsageError(f"--address: {error}") from error
    fields = {"Authorization": KEY_SCHEME + key} if key else {}
    try:
        reply = client.send("GET", f"/explain-route?{query}", None, fields)
        body = reply.json()
    except http.HttpError as error:
        click.echo(f"unreachable: {error}", err=True)
        sys.exit(calls.EXIT_UNREACHABLE)
    if not isinstance(body, dict):
        body = {}
    if reply.status != 200:
        message = body.get("message", body.get("error", "no message"))
        click.echo(f"refused: {reply.status} {message}", err=True)
        sys.exit(calls.EXIT_REFUSED)
    return body
