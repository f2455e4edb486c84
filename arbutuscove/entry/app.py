"""HTTP server for callers: routing, readiness and draining."""

import datetime
import typing
from collections import abc

import eliot
import msgspec
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.config import follower
from arbutuscove.config import model as config_model
from arbutuscove.entry import bodies
from arbutuscove.entry import callers
from arbutuscove.entry import chat
from arbutuscove.entry import connections
from arbutuscove.entry import entries as entries_module
from arbutuscove.entry import headers
from arbutuscove.entry import memory
from arbutuscove.entry import places
from arbutuscove.entry import plain
from arbutuscove.entry import refusals
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.requests import failures
from arbutuscove.storage import http
from arbutuscove.upstreams import engine

SERVICE_NAME = "entry"
MAX_BODY_BYTES = 4 << 20
NOT_READY_RETRY_AFTER = datetime.timedelta(seconds=2)
DEFAULT_BOUNDS = connections.Bounds()
# Until the departure has propagated, peers may still return this address.
LEAVE_PROPAGATION_TIME = datetime.timedelta(seconds=1)
# How long after its deadline the last answer may end: an engine's stream is
# read until it stalls.
LAST_ANSWER_TIMEOUT = engine.STALL_TIMEOUT
DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
# Reason codes of the errors that werkzeug raises, by HTTP status.
REASON_CODES = {
    400: "invalid_request",
    404: "unknown_path",
    405: "method_not_allowed",
    413: "body_too_large",
}
INTERNAL_ERROR = work_module.Refusal(
    status=500, code="internal_error", message="the daemon failed"
)
PLAIN_METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]

ListEntries = abc.Callable[[], list[entries_module.Entry]]


class _Request(wrappers.Request):
    """A request whose body is read within the limits of the server."""

    def get_data(
        self, *_args: typing.Any, **_options: typing.Any
    ) -> typing.Any:
        """Returns the body; it can be read once.

        Raises:
            BadRequestError: the body is too large, did not arrive in time, or
                there is no memory for it.
        """
        body = self.environ["wsgi.input"]
        assert isinstance(body, bodies.RequestBody)
        return body.read_whole(MAX_BODY_BYTES)


class EntryServer(services.BaseService):
    """Routes the requests of callers, and drains before it stops.

    Args:
        listen: the address to listen on.
        clock: the clock.
        config: provides the configuration in force.
        chat_handler: serves chat completions.
        plain_handler: forwards calls to plain services.
        list_entries: returns the entries of all daemons that accept requests.
        metrics: the metrics of this daemon.
        create_id: creates the identity of a request.
        address_ttl: how long callers may use a list of entry addresses.
        bounds: the limits on connections.
        budget: memory for the bodies of requests; None for no bound.
    """

    def __init__(
        self,
        listen: http.Address,
        clock: clock_module.Clock,
        config: follower.ConfigFollower,
        chat_handler: chat.ChatHandler,
        plain_handler: plain.PlainHandler,
        list_entries: ListEntries,
        metrics: metrics_module.Metrics,
        create_id: abc.Callable[[], str],
        address_ttl: datetime.timedelta = entries_module.ADDRESS_TTL,
        bounds: connections.Bounds = DEFAULT_BOUNDS,
        budget: memory.ByteBudget | None = None,
        shared_places: places.Places | None = None,
    ) -> None:
        self._clock = clock
        self._config = config
        self._chat = chat_handler
        self._plain = plain_handler
        self._list_entries = list_entries
        self._metrics = metrics
        self._budget = budget
        self._create_id = create_id
        self._address_ttl = address_ttl
        self._active_requests = 0
        self._draining = False
        self._has_drained = False
        self._server = connections.CallerServer(
            listen, self, bounds, self._count_refusal, budget, shared_places
        )
        self._url_map = routing.Map(
            [
                routing.Rule(
                    "/v1/chat/completions", methods=["POST"], endpoint="chat"
                ),
                routing.Rule("/v1/models", methods=["GET"], endpoint="models"),
                routing.Rule(
                    "/v1/entries", methods=["GET"], endpoint="entries"
                ),
                routing.Rule(
                    "/plain/<service>/<path:path>",
                    methods=PLAIN_METHODS,
                    endpoint="plain",
                ),
                routing.Rule("/healthz", methods=["GET"], endpoint="healthz"),
                routing.Rule("/readyz", methods=["GET"], endpoint="readyz"),
                routing.Rule("/metrics", methods=["GET"], endpoint="metrics"),
            ]
        )

    def start(self, kernel: services.Kernel) -> None:
        """Starts accepting connections."""
        self._server.start()

    def drain(self) -> None:
        """Serves while callers may use this address, then until requests end.

        First waits for the time to live of entry lists, because callers that
        received this address may still connect. Then closes the listening
        socket and idle connections, and waits for the last request, at most for
        the maximum deadline of one whose first byte came just before. Meanwhile
        responses ask the client to close the connection.
        Requests that arrive afterwards are refused.
        """
        self._draining = True
        deadline = (
            self._clock.monotonic() + self._address_ttl + LEAVE_PROPAGATION_TIME
        )
        while self._clock.monotonic() < deadline:
            self._clock.sleep(DRAIN_POLL_INTERVAL)
        self._server.close()
        end = self._clock.monotonic() + self._compute_longest_request()
        while self._active_requests and self._clock.monotonic() < end:
            self._clock.sleep(DRAIN_POLL_INTERVAL)
        self._has_drained = True

    def _compute_longest_request(self) -> datetime.timedelta:
        """Returns the longest time from the first byte to the last answer."""
        bounds = self._server.bounds
        return (
            bounds.head_timeout
            + bounds.body_timeout
            + callers.MAX_DEADLINE
            + LAST_ANSWER_TIMEOUT
        )

    def stop(self) -> None:
        """Stops the server."""
        self._server.stop(timeout=1)

    def count_active(self) -> int:
        """Returns the number of requests in progress."""
        return self._active_requests

    def is_draining(self) -> bool:
        """Returns whether the daemon is draining."""
        return self._draining

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request, which is active until its last byte is sent.

        Args:
            environ: the WSGI environment.
            start_response: the WSGI callback.
        """
        request_id = self._create_id()
        request = _Request(environ)
        self._active_requests += 1
        try:
            response = self._respond(request, request_id)
            response.headers[headers.REQUEST_ID] = request_id
            if self._draining:
                response.headers["Connection"] = "close"
            response.call_on_close(self._end_request)
            return response(environ, start_response)
        except BaseException:
            self._end_request()
            raise

    def _end_request(self) -> None:
        self._active_requests -= 1

    def _respond(
        self, request: wrappers.Request, request_id: str
    ) -> wrappers.Response:
        with eliot.start_action(
            action_type="entry:request",
            request_id=request_id,
            method=request.method,
            path=request.path,
        ):
            try:
                return self._route(request, request_id)
            except refusals.BadRequestError as error:
                return self._refuse(error.refusal, failures.RunStatus.NOT_RUN)
            except failures.RequestFailedError as error:
                return self._refuse(error.refusal, error.run)
            except exceptions.HTTPException as error:
                status = error.code or 400
                code = REASON_CODES.get(status, "invalid_request")
                invalid_error = refusals.BadRequestError(
                    status, code, error.name
                )
                return self._refuse(
                    invalid_error.refusal, failures.RunStatus.NOT_RUN
                )
            except Exception:
                # A fault of the daemon: the response states that the run
                # status of the request is unknown.
                eliot.write_traceback()
                return self._refuse(INTERNAL_ERROR, failures.RunStatus.UNKNOWN)

    def _refuse(
        self, refusal: work_module.Refusal, run: failures.RunStatus
    ) -> wrappers.Response:
        self._count_refusal(refusal.code)
        eliot.log_message("entry:refused", code=refusal.code, run=run.value)
        return refusals.build_response(refusal, run)

    def _count_refusal(self, code: str) -> None:
        self._metrics.refusals.inc({"code": code})

    def _route(
        self, request: wrappers.Request, request_id: str
    ) -> wrappers.Response:
        url_adapter = self._url_map.bind_to_environ(request.environ)
        endpoint, values = url_adapter.match()
        match endpoint:
            case "healthz":
                return wrappers.Response("ok\n")
            case "readyz":
                return self._report_readiness()
            case "metrics":
                accept = request.headers.get("Accept", "")
                if self._budget is not None:
                    self._metrics.body_bytes.set({}, self._budget.used)
                content, fields = self._metrics.render(accept)
                return wrappers.Response(content, headers=fields)
        snapshot = self._read_snapshot()
        match endpoint:
            case "entries":
                return self._answer_entries(request, snapshot)
            case "models":
                return _answer_models(request, snapshot)
            case "plain":
                return self._plain.handle(request, snapshot, **values)
            case _:
                return self._chat.handle(request, snapshot, request_id)

    def _read_snapshot(self) -> config_model.Snapshot:
        reason = self._get_unready_reason()
        if reason is not None:
            raise failures.RequestFailedError(
                work_module.Refusal(
                    status=503,
                    code=reason,
                    message="this daemon cannot admit requests now",
                    retry_after=NOT_READY_RETRY_AFTER,
                ),
                failures.RunStatus.NOT_RUN,
            )
        return self._config.get_snapshot()

    def _get_unready_reason(self) -> str | None:
        """Returns why requests cannot be admitted now, None if they can."""
        if self._has_drained:
            return "draining"
        if not self._config.is_loaded():
            return "config_missing"
        if self._config.is_stale():
            return "config_stale"
        return None

    def _report_readiness(self) -> wrappers.Response:
        reason = "draining" if self._draining else self._get_unready_reason()
        if reason is None:
            return wrappers.Response("ready\n")
        return wrappers.Response(reason + "\n", 503)

    def _answer_entries(
        self, request: wrappers.Request, snapshot: config_model.Snapshot
    ) -> wrappers.Response:
        account = callers.authenticate(snapshot, request)[0].account
        entries = entries_module.select_entries(
            self._list_entries(), account.name
        )
        body = {
            "entries": [
                {"url": item.url, "failure_domain": item.failure_domain}
                for item in entries
            ],
            "keep_seconds": int(self._address_ttl.total_seconds()),
        }
        return wrappers.Response(
            msgspec.json.encode(body), content_type=refusals.JSON_TYPE
        )


def _answer_models(
    request: wrappers.Request, snapshot: config_model.Snapshot
) -> wrappers.Response:
    models = [
        {"id": caller.service.model.model, "object": "model"}
        for caller in callers.authenticate(snapshot, request)
        if caller.service.model is not None
    ]
    body = {"object": "list", "data": models}
    return wrappers.Response(
        msgspec.json.encode(body), content_type=refusals.JSON_TYPE
    )
