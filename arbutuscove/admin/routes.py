"""Routes of the administration API, for the server and the OpenAPI file."""

import dataclasses
import typing
from collections import abc

from arbutuscove.admin import keys
from arbutuscove.admin import operations
from arbutuscove.admin import preview
from arbutuscove.admin import resources
from arbutuscove.config import acceptance
from arbutuscove.config import model as config_model
from arbutuscove.questionnaire import review
from arbutuscove.replicas import drains
from arbutuscove.replicas import evacuations

PREFIX = "/admin/v1"
MAX_PAGE_ITEMS = 100  # maximum and default size of a page
Operation = abc.Callable[..., typing.Any]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """One call of the administration API.

    Attributes:
        method: HTTP method.
        path: URL path below `PREFIX`, in the notation of werkzeug.
        summary: Summary in the OpenAPI description.
        operation: Method that implements the call.
        response_type: Type of the response body.
        body: Type of the request body, None if there is no body.
        query: Names of the query parameters with their defaults.
    """

    method: str
    path: str
    summary: str
    operation: Operation
    response_type: type
    body: type | None = None
    query: tuple[tuple[str, str | int], ...] = ()


KEY_PAGE_QUERY = (("after", ""), ("limit", MAX_PAGE_ITEMS))
NUMBER_PAGE_QUERY = (("after", 0), ("limit", MAX_PAGE_ITEMS))
ROUTE_QUERY = (
    ("account", ""),
    ("rank", ""),
    ("tokens", preview.DEFAULT_TOKENS),
    ("deadline_ms", preview.DEFAULT_DEADLINE_MS),
    ("prefix", ""),
)
Calls = operations.Operations

ROUTES = (
    Route(
        method="GET",
        path="/services",
        summary="Lists the services in force.",
        operation=Calls.list_services,
        response_type=resources.ServicePage,
        query=KEY_PAGE_QUERY,
    ),
    Route(
        method="GET",
        path="/services/<name>",
        summary="Returns the newest accepted version of a service.",
        operation=Calls.get_service,
        response_type=config_model.ServiceVersion,
    ),
    Route(
        method="POST",
        path="/services/<name>/review",
        summary="Shows a proposal beside what is in force; changes nothing.",
        operation=Calls.review,
        response_type=review.Review,
        body=config_model.Service,
    ),
    Route(
        method="PUT",
        path="/services/<name>",
        summary="Accepts a proposal if the reviewed version is in force.",
        operation=Calls.accept,
        response_type=resources.AcceptedChange,
        body=acceptance.Proposal,
    ),
    Route(
        method="PUT",
        path="/services/<name>/accounts/<account>/keys",
        summary="Replaces the key digests of a client account.",
        operation=Calls.set_account_keys,
        response_type=resources.AcceptedChange,
        body=resources.AccountKey,
    ),
    Route(
        method="GET",
        path="/keys",
        summary="Lists administration keys by digest.",
        operation=Calls.list_keys,
        response_type=resources.KeyPage,
        query=KEY_PAGE_QUERY,
    ),
    Route(
        method="PUT",
        path="/keys/<digest>",
        summary="Adds or changes an administration key.",
        operation=Calls.put_key,
        response_type=keys.AdminKey,
        body=keys.Identity,
    ),
    Route(
        method="DELETE",
        path="/keys/<digest>",
        summary="Removes an administration key.",
        operation=Calls.delete_key,
        response_type=resources.KeyPage,
    ),
    Route(
        method="GET",
        path="/drains",
        summary="Lists VMs that are taken out of service.",
        operation=Calls.list_drains,
        response_type=resources.DrainList,
    ),
    Route(
        method="PUT",
        path="/drains/<vm>",
        summary="Takes a VM out of service.",
        operation=Calls.put_drain,
        response_type=resources.DrainList,
        body=drains.Drain,
    ),
    Route(
        method="DELETE",
        path="/drains/<vm>",
        summary="Returns a VM to service.",
        operation=Calls.delete_drain,
        response_type=resources.DrainList,
    ),
    Route(
        method="GET",
        path="/evacuations",
        summary="Lists failure domains to which nothing is sent.",
        operation=Calls.list_evacuations,
        response_type=resources.EvacuationList,
    ),
    Route(
        method="PUT",
        path="/evacuations/<domain>",
        summary="Sends nothing more to a failure domain; keeps its replicas.",
        operation=Calls.put_evacuation,
        response_type=resources.EvacuationList,
        body=evacuations.Evacuation,
    ),
    Route(
        method="DELETE",
        path="/evacuations/<domain>",
        summary="Restores a failure domain.",
        operation=Calls.delete_evacuation,
        response_type=resources.EvacuationList,
    ),
    Route(
        method="GET",
        path="/quarantine",
        summary="Lists digests of quarantined requests.",
        operation=Calls.list_quarantine,
        response_type=resources.QuarantineList,
    ),
    Route(
        method="GET",
        path="/status",
        summary="Shows the system as the answering daemon sees it.",
        operation=Calls.get_status,
        response_type=resources.SystemStatus,
    ),
    Route(
        method="GET",
        path="/requests/<request_id>",
        summary="Explains what happened to a recent request.",
        operation=Calls.explain,
        response_type=resources.Explanation,
    ),
    Route(
        method="GET",
        path="/services/<name>/route",
        summary="Explains where a request would go now; sends nothing.",
        operation=Calls.explain_route,
        response_type=resources.RouteExplanation,
        query=ROUTE_QUERY,
    ),
    Route(
        method="GET",
        path="/audit",
        summary="Lists audit scopes and their newest numbers.",
        operation=Calls.list_audit_scopes,
        response_type=resources.AuditScopes,
    ),
    Route(
        method="GET",
        path="/audit/<path:scope>",
        summary="Lists audit entries of a scope.",
        operation=Calls.read_audit,
        response_type=resources.AuditPage,
        query=NUMBER_PAGE_QUERY,
    ),
)
