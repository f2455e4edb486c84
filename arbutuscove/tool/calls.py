"""Calls of the administration API by the commands of the tool."""

import sys
import typing
from collections import abc

import click
import msgspec

from arbutuscove.tool import client as client_module

EXIT_REFUSED = 3  # the administration API rejected the call
EXIT_UNREACHABLE = 5  # no complete response from the administration API

Render = abc.Callable[[dict[str, typing.Any]], str]


class Context(typing.NamedTuple):
    """Options that apply to all commands."""

    url: str
    key: str
    output: str


def call(
    context: Context, method: str, path: str, body: typing.Any = None
) -> typing.Any:
    """Returns the response of a call; ends the program if there is none.

    Args:
        context: options of the program.
        method: HTTP method.
        path: path below `/admin/v1`, with the query.
        body: value to send as JSON, None for no body.
    """
    try:
        client = client_module.AdminClient(context.url, context.key)
        return client.call(method, path, body)
    except ValueError as error:
        raise click.UsageError(f"--admin-url: {error}") from error
    except client_module.AdminUnreachableError as error:
        click.echo(f"unreachable: {error}", err=True)
        sys.exit(EXIT_UNREACHABLE)
    except client_module.AdminRefusedError as error:
        click.echo(f"refused: {error}", err=True)
        for detail in error.details.values():
            click.echo(f"  {detail}", err=True)
        sys.exit(EXIT_REFUSED)


def print_response(
    context: Context, response: dict[str, typing.Any], render: Render
) -> None:
    """Prints a response as JSON, or as the text that a function builds."""
    if context.output == "json":
        print_json(response)
    else:
        click.echo(render(response))


def print_json(value: typing.Any) -> None:
    """Prints a value as indented JSON."""
    encoded = msgspec.json.encode(value)
    click.echo(msgspec.json.format(encoded, indent=2).decode())
