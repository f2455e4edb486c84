"""Table of the administration calls, for the server and the OpenAPI file."""

import dataclasses
import typing
from collections import abc

from arbutuscove.admin import keys
from arbutuscove.admin import operations
from arbutuscove.admin import resources
from arbutuscove.config import acceptance
from arbutuscove.config import model as config_model
from arbutuscove.questionnaire import review
from arbutuscove.replicas import drains

PREFIX = "/admin/v1"
PAGE_LIMIT = 100  # items of a page at most, and by default
Operation = abc.Callable[..., typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One call: `body` is the type of the request body, None for none.

    `query` names the query parameters with their defaults.
    """

    method: str
    path: str
    summary: str
    operation: Operation
    answer: type
    body: type | None = None
    query: tuple[tuple[str, str | int], ...] = ()


PAGED = (("after", ""), ("limit", PAGE_LIMIT))
NUMBERED = (("after", 0), ("limit", PAGE_LIMIT))
Calls = operations.Operations

ROUTES = (
    Route(
        method="GET",
        path="/services",
        summary="Lists the services in force.",
        operation=Calls.list_services,
        answer=resources.ServicePage,
        query=PAGED,
    ),
    Route(
        method="GET",
        path="/services/<name>",
        summary="Returns the newest accepted version of a service.",
        operation=Calls.get_service,
        answer=config_model.ServiceVersion,
    ),
    Route(
        method="POST",
        path="/services/<name>/review",
        summary="Shows a proposal beside what is in force; changes nothing.",
        operation=Calls.review,
        answer=review.Review,
        body=config_model.Service,
    ),
    Route(
        method="PUT",
        path="/services/<name>",
        summary="Accepts a proposal if the reviewed version is in force.",
        operation=Calls.accept,
        answer=resources.AcceptedChange,
        body=acceptance.Proposal,
    ),
    Route(
        method="PUT",
        path="/services/<name>/accounts/<account>/keys",
        summary="Replaces the key digests of a client account.",
        operation=Calls.set_account_keys,
        answer=resources.AcceptedChange,
        body=resources.AccountKey,
    ),
    Route(
        method="GET",
        path="/keys",
        summary="Lists administration keys by digest.",
        operation=Calls.list_keys,
        answer=resources.KeyPage,
        query=PAGED,
    ),
    Route(
        method="PUT",
        path="/keys/<digest>",
        summary="Adds or changes an administration key.",
        operation=Calls.put_key,
        answer=keys.AdminKey,
        body=keys.Identity,
    ),
    Route(
        method="DELETE",
        path="/keys/<digest>",
        summary="Removes an administration key.",
        operation=Calls.delete_key,
        answer=resources.KeyPage,
    ),
    Route(
        method="GET",
        path="/drains",
        summary="Lists VMs that are taken out of service.",
        operation=Calls.list_drains,
        answer=resources.DrainList,
    ),
    Route(
        method="PUT",
        path="/drains/<vm>",
        summary="Takes a VM out of service.",
        operation=Calls.put_drain,
        answer=resources.DrainList,
        body=drains.Drain,
    ),
    Route(
        method="DELETE",
        path="/drains/<vm>",
        summary="Returns a VM to service.",
        operation=Calls.delete_drain,
        answer=resources.DrainList,
    ),
    Route(
        method="GET",
        path="/quarantine",
        summary="Lists digests of quarantined requests.",
        operation=Calls.list_quarantine,
        answer=resources.QuarantineList,
    ),
    Route(
        method="GET",
        path="/status",
        summary="Shows the system as the answering daemon sees it.",
        operation=Calls.get_status,
        answer=resources.SystemStatus,
    ),
    Route(
        method="GET",
        path="/requests/<request_id>",
        summary="Explains what happened to a recent request.",
        operation=Calls.explain,
        answer=resources.Explanation,
    ),
    Route(
        method="GET",
        path="/audit",
        summary="Lists audit scopes and their newest numbers.",
        operation=Calls.list_audit_scopes,
        answer=resources.AuditScopes,
    ),
    Route(
        method="GET",
        path="/audit/<path:scope>",
        summary="Lists audit entries of a scope.",
        operation=Calls.read_audit,
        answer=resources.AuditPage,
        query=NUMBERED,
    ),
)
