"""Command line of `arbutuscove`."""

import pathlib
import sys
import typing

import click
import msgspec

import arbutuscove
from arbutuscove.config import acceptance
from arbutuscove.questionnaire import answers as answers_module
from arbutuscove.questionnaire import generation
from arbutuscove.tool import client as client_module

EXIT_REFUSED = 3
EXIT_ANSWERS = 4

ANSWER_FILE = click.Path(dir_okay=False, path_type=pathlib.Path)


@click.group()
@click.version_option(arbutuscove.__version__)
@click.option(
    "--admin-url",
    envvar="ARBUTUSCOVE_ADMIN_URL",
    default="http://127.0.0.1:8001",
    show_default=True,
    help="Administration address of any daemon.",
)
@click.option(
    "--admin-key", envvar="ARBUTUSCOVE_ADMIN_KEY", help="Operator's key."
)
@click.pass_context
def main(context: click.Context, admin_url: str, admin_key: str) -> None:
    """Administers an arbutuscove system.

    Example: arbutuscove accept examples/demo.yaml --base-version 0
    """
    context.obj = (admin_url, admin_key or "")


@main.command()
@click.argument("answers", type=ANSWER_FILE)
def generate(answers: pathlib.Path) -> None:
    """Prints the configuration generated from an answer file."""
    _print(generation.generate(_read(answers)))


@main.command()
@click.argument("answers", type=ANSWER_FILE)
@click.option("--base-version", type=int, required=True)
@click.option("--author", default="operator", show_default=True)
@click.option("--reason", default="", help="Kept in the audit trail.")
@click.pass_context
def accept(
    context: click.Context,
    answers: pathlib.Path,
    base_version: int,
    author: str,
    reason: str,
) -> None:
    """Puts the generated configuration in force.

    The base version is the one that was reviewed; 0 for a new service.
    """
    service = generation.generate(_read(answers))
    proposal = acceptance.Proposal(
        service=service,
        base_version=base_version,
        author=author,
        reason=reason,
    )
    _print(_call(context, "PUT", "/services/" + service.name, proposal))


@main.command()
@click.pass_context
def status(context: click.Context) -> None:
    """Shows replicas and the configuration sequence in force."""
    _print(_call(context, "GET", "/status"))


@main.command()
@click.argument("scope")
@click.option("--after", default=0, help="Show entries after this number.")
@click.pass_context
def audit(context: click.Context, scope: str, after: int) -> None:
    """Shows audit entries of a scope, for example `config`."""
    _print(_call(context, "GET", f"/audit/{scope}?after={after}"))


def _call(
    context: click.Context, method: str, path: str, body: typing.Any = None
) -> typing.Any:
    client = client_module.AdminClient(*context.obj)
    try:
        return client.call(method, path, body)
    except client_module.AdminFailedError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_REFUSED)


def _read(path: pathlib.Path) -> answers_module.Answers:
    try:
        return answers_module.read_answers(path)
    except answers_module.AnswersInvalidError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_ANSWERS)


def _print(value: typing.Any) -> None:
    encoded = msgspec.json.encode(value)
    click.echo(msgspec.json.format(encoded, indent=2).decode())


if __name__ == "__main__":
    main()
