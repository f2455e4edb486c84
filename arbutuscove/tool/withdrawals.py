"""Commands that take VMs or failure domains out of service and return them."""

import typing
import urllib.parse

import click

from arbutuscove.tool import calls
from arbutuscove.tool import display


@click.group()
def drains() -> None:
    """Takes VMs out of service and returns them."""


@drains.command("list")
@click.pass_obj
def list_drains(context: calls.Context) -> None:
    """Lists the VMs being drained."""
    calls.print_response(
        context, calls.call(context, "GET", "/drains"), _describe_drains
    )


@drains.command("add")
@click.argument("vm")
@click.option("--reason", default="")
@click.pass_obj
def add_drain(context: calls.Context, vm: str, reason: str) -> None:
    """Takes a VM out of service; its replica is repaired without it."""
    body = {"vm": vm, "reason": reason}
    response = calls.call(context, "PUT", "/drains/" + vm, body)
    calls.print_response(context, response, _describe_drains)


@drains.command("remove")
@click.argument("vm")
@click.pass_obj
def remove_drain(context: calls.Context, vm: str) -> None:
    """Returns a VM to service."""
    response = calls.call(context, "DELETE", "/drains/" + vm)
    calls.print_response(context, response, _describe_drains)


@click.group()
def domains() -> None:
    """Evacuates failure domains and restores them."""


@domains.command("list")
@click.pass_obj
def list_domains(context: calls.Context) -> None:
    """Lists the failure domains that have VMs or are evacuated."""
    response = calls.call(context, "GET", "/evacuations")
    calls.print_response(context, response, _describe_evacuations)


@domains.command("evacuate")
@click.argument("name")
@click.option("--reason", default="")
@click.pass_obj
def evacuate_domain(context: calls.Context, name: str, reason: str) -> None:
    """Sends nothing more to a failure domain; its replicas are kept."""
    path = "/evacuations/" + urllib.parse.quote(name, safe="")
    body = {"domain": name, "reason": reason}
    response = calls.call(context, "PUT", path, body)
    calls.print_response(context, response, _describe_evacuations)


@domains.command("restore")
@click.argument("name")
@click.pass_obj
def restore_domain(context: calls.Context, name: str) -> None:
    """Lets requests and repairs begin again in a failure domain."""
    path = "/evacuations/" + urllib.parse.quote(name, safe="")
    response = calls.call(context, "DELETE", path)
    calls.print_response(context, response, _describe_evacuations)


def _describe_evacuations(response: dict[str, typing.Any]) -> str:
    reasons = {item["domain"]: item["reason"] for item in response["items"]}
    rows = [
        (name, "evacuated" if name in reasons else "", reasons.get(name, ""))
        for name in sorted({*response["domains"], *reasons})
    ]
    return display.build_table(["failure domain", "state", "reason"], rows)


def _describe_drains(response: dict[str, typing.Any]) -> str:
    rows = [(item["vm"], item["reason"]) for item in response["items"]]
    return display.build_table(["VM", "reason"], rows)
