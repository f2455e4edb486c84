"""Answers on the daemon's internal address where a request would go.

Only operators ask here; the addresses for callers do not serve it, and nothing
is asked of the store, a peer or an upstream.
"""

import datetime
import random
import typing
import urllib.parse
from collections import abc

import eliot
import msgspec

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.crashes import tracker
from arbutuscove.entry import connections
from arbutuscove.fleet import model as fleet_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import headers
from arbutuscove.relay import explanation
from arbutuscove.relay import model
from arbutuscove.relay import waiting
from arbutuscove.storage import http as storage_http

SERVICE_NAME = "explaining"
PATH = "/explain-route"
# Few operators ask, one question at a time.
BOUNDS = connections.Bounds(
    max_header_bytes=16384,
    idle_timeout=datetime.timedelta(seconds=5),
    max_connections=8,
    max_connections_per_address=4,
)
MAX_FIELDS = 64  # in a query
MAX_PROMPT_PARTS = 32

StartResponse = abc.Callable[[str, list[tuple[str, str]]], typing.Any]
Text = typing.Annotated[str, msgspec.Meta(max_length=256)]
Tokens = typing.Annotated[int, msgspec.Meta(ge=0, le=1_000_000_000)]


class Question(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """A request that is not sent.

    `key` or `account` name the client account. The service is drawn by the
    weights of the route unless `service` names one of them.
    """

    host: Text
    path: Text = "/"
    account: Text = ""
    model: Text = ""
    service: Text = ""
    prompt_tokens: Tokens = 0
    answer_tokens: Tokens = 0
    deadline_ms: typing.Annotated[int, msgspec.Meta(ge=1, le=10**10)] | None = (
        None
    )
    prompt_part: typing.Annotated[
        tuple[Text, ...], msgspec.Meta(max_length=MAX_PROMPT_PARTS)
    ] = ()


class QuestionError(Exception):
    """The question cannot be read or names what does not exist."""


def parse_question(query: str) -> Question:
    """Returns the question in the query of a URL.

    Raises:
        QuestionError: a field is missing, unknown, repeated or out of range.
    """
    try:
        fields: dict[str, typing.Any] = urllib.parse.parse_qs(
            query,
            keep_blank_values=True,
            strict_parsing=True,
            errors="strict",
            max_num_fields=MAX_FIELDS,
        )
        for name, values in fields.items():
            if name == "prompt_part":
                continue
            if len(values) > 1:
                raise QuestionError(f"{name} is given {len(values)} times")
            fields[name] = values[0]
        return msgspec.convert(fields, Question, strict=False)
    except (ValueError, msgspec.ValidationError) as error:
        raise QuestionError(str(error)) from error


class Explainer(services.BaseService):
    """Serves explanations of routes."""

    def __init__(
        self,
        clock: clock_module.Clock,
        address: storage_http.Address,
        catalog: catalog_holder.CatalogHolder,
        dispatcher: waiting.RequestDispatcher,
        crashes: tracker.CrashTracker[fleet_model.Vm],
    ) -> None:
        """Creates an explainer that does not listen yet.

        Args:
            clock: source of monotonic times.
            address: where it listens.
            catalog: holder of the configuration.
            dispatcher: decides where requests go.
            crashes: knows the requests that crash upstreams.
        """
        self._clock = clock
        self._address = address
        self._catalog = catalog
        self._dispatcher = dispatcher
        self._crashes = crashes
        self._generator = random.Random()
        self._server: connections.CallerServer | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Starts to listen; without the address the daemon serves on."""
        server = connections.CallerServer(
            self._address, self.serve, BOUNDS, lambda code: None
        )
        try:
            server.start()
        except OSError as error:
            eliot.log_message("explaining:closed", reason=str(error))
            return
        self._server = server

    def stop(self) -> None:
        """Closes the listening socket."""
        if self._server is not None:
            self._server.stop(timeout=0.1)

    def serve(
        self, environ: dict[str, typing.Any], start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        """Answers a question, as a WSGI application."""
        if environ.get("PATH_INFO") != PATH:
            return _send(start_response, "404 Not Found", {"error": "no_path"})
        if environ.get("REQUEST_METHOD") != "GET":
            return _send(
                start_response, "405 Method Not Allowed", {"error": "method"}
            )
        try:
            question = parse_question(environ.get("QUERY_STRING", ""))
            key = environ.get("HTTP_AUTHORIZATION", "")
            found = self.explain(question, key)
        except QuestionError as error:
            return _send(
                start_response,
                "400 Bad Request",
                {"error": "question", "message": str(error)},
            )
        return _send(start_response, "200 OK", explanation.encode(found))

    def explain(
        self, question: Question, authorization: str = ""
    ) -> explanation.Explanation:
        """Returns where a request would go.

        Args:
            question: the request.
            authorization: the header field with the caller's key, empty if the
                request has none.

        Raises:
            QuestionError: the question names an account or service that the
                configuration or the route does not have.
        """
        catalog = self._catalog.get_current()
        if catalog is None:
            return _refuse(503, "no_configuration", "no configuration holds")
        path = question.path.partition("?")[0]
        route = catalog.find_route(question.host.partition(":")[0], path)
        if route is None:
            return _refuse(404, "no_route", "no route has this host and path")
        account = _find_account(catalog, question.account, authorization)
        needs_key = catalog.accounts is not None and not route.public
        if account is None and needs_key:
            return _refuse(
                401, "unknown_key", f"route {route.name} needs a known key"
            )
        request = self._create_request(question, route, account)
        service = self._choose_service(question, route)
        blamed = self._crashes.find_blamed(request)
        if blamed is not None:
            return explanation.refuse(
                explanation.describe_request(request, (service, request.model)),
                model.Refusal(
                    status=503,
                    code="request_quarantined",
                    not_run=True,
                    retry_after=max(
                        blamed.trial_due - self._clock.monotonic(),
                        tracker.MIN_RETRY_AFTER,
                    ),
                ),
                f"{blamed.deaths} upstreams crashed under requests like it",
            )
        return self._dispatcher.explain(request, service, self._generator)

    def _create_request(
        self,
        question: Question,
        route: catalog_model.Route,
        account: catalog_model.Account | None,
    ) -> model.Request:
        now = self._clock.monotonic()
        timeout = route.timeout
        if question.deadline_ms is not None:
            timeout = min(
                timeout, datetime.timedelta(milliseconds=question.deadline_ms)
            )
        return model.Request(
            request_id=explanation.REQUEST_ID,
            method="POST",
            target=question.path,
            fields=(),
            body=b"",
            route=route,
            account=account,
            arrived=now,
            deadline=now + timeout,
            model=question.model,
            prompt_tokens=question.prompt_tokens,
            answer_tokens=question.answer_tokens,
            prompt_parts=question.prompt_part,
        )

    def _choose_service(
        self, question: Question, route: catalog_model.Route
    ) -> str:
        names = [target.service for target in route.targets]
        if question.service:
            if question.service not in names:
                raise QuestionError(
                    f"route {route.name} has no service {question.service}"
                )
            return question.service
        weights = [target.weight for target in route.targets]
        if sum(weights) <= 0:
            return names[0]
        (name,) = self._generator.choices(names, weights)
        return name


def _find_account(
    catalog: catalog_model.Catalog, name: str, authorization: str
) -> catalog_model.Account | None:
    """Returns the account of a name or key, None if none is given.

    Raises:
        QuestionError: no account has the name.
    """
    accounts = catalog.accounts or {}
    if name:
        for account in accounts.values():
            if account.name == name:
                return account
        raise QuestionError(f"no account {name}")
    if not authorization.startswith(headers.KEY_SCHEME):
        return None
    return accounts.get(authorization[len(headers.KEY_SCHEME) :].strip())


def _refuse(status: int, code: str, reason: str) -> explanation.Explanation:
    """Returns the explanation of a request that reaches no service."""
    return explanation.Explanation(
        route="",
        service="",
        model="",
        account="",
        priority=0,
        verdict=explanation.Refused(status=status, code=code, retry_after=None),
        reasons=(reason,),
    )


def _send(
    start_response: StartResponse, status: str, body: dict[str, typing.Any]
) -> abc.Iterable[bytes]:
    data = msgspec.json.encode(body)
    start_response(
        status,
        [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ],
    )
    return [data]
