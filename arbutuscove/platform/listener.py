"""HTTP server for callers and for the platform's status requests.

Requests of callers are converted to requests of `relay`; answers are returned
with the upstream's status, signature and body unchanged. Which requests are
answered by the daemon itself depends on the address at which they arrive; see
`platform.status`.
"""

import dataclasses
import datetime
import enum
import errno
import functools
import typing
from collections import abc

import eliot
import gevent

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.entry import connections
from arbutuscove.entry import memory as memory_module
from arbutuscove.entry import refusals
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.kernel import shutdown as shutdown_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import fields as fields_module
from arbutuscove.platform import headers
from arbutuscove.platform import status as status_module
from arbutuscove.platform import upstreams
from arbutuscove.relay import blocking
from arbutuscove.relay import flow as flow_module
from arbutuscove.relay import model
from arbutuscove.requests import presence

SERVICE_NAME = "listener"
FIELDS = "arbutuscove.fields"  # key in the WSGI environment
TARGET = "arbutuscove.target"  # key in the WSGI environment
# How long callers may cache a list of addresses.
ADDRESS_TTL = datetime.timedelta(seconds=2)
MAX_ADDRESSES = 64  # in one answer
# New connections are still accepted for this long after the start of a drain:
# callers with an older list of addresses connect until then, and their requests
# have to end before the daemon exits.
DRAIN_ACCEPT_DURATION = datetime.timedelta(seconds=3)
DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
# Retry-After of a daemon that cannot serve yet.
UNAVAILABLE_RETRY_AFTER = datetime.timedelta(milliseconds=100)
DEFAULT_BOUNDS = connections.Bounds()
FAULT_REFUSAL = model.Refusal(status=502, code="fault", not_run=False)

StartResponse = abc.Callable[[str, list[tuple[str, str]]], typing.Any]
Environ = dict[str, typing.Any]


class _Handler(connections.CallerHandler):
    """Passes the raw request target and headers to the application."""

    def get_environ(self) -> Environ:
        """Returns the WSGI environment."""
        environ: Environ = super().get_environ()
        environ[FIELDS] = list(self.headers.items())
        environ[TARGET] = self.path
        return environ

    def handle_error(self, *error: typing.Any) -> None:
        """Closes the connection after an answer that broke off."""
        if isinstance(error[1], model.BrokenAnswerError):
            self.close_connection = True
            return
        super().handle_error(*error)


class _Server(connections.CallerServer):
    handler_class = _Handler


class _Ending(enum.Enum):
    """How a request ended, as its caller sees it.

    The answer of an upstream or a refusal is whole. A failed request gets an
    error that says that it may have run, as after a fault of this daemon. The
    connection of a broken answer ends without a whole answer, and so does that
    of a fault within an answer.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    BROKEN = "broken"
    CALLER_LEFT = "caller_left"
    FAULT = "fault"


class _Refused(Exception):  # noqa: N818 - carries an answer, not a fault
    """The request is refused before it reaches the relay."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.refusal = model.Refusal(
            status=status,
            code=code,
            not_run=True,
            retry_after=UNAVAILABLE_RETRY_AFTER if status == 503 else None,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Head:
    """What the head of a request tells, before its body is read."""

    headers_by_name: dict[str, str]
    route: catalog_model.Route
    account: catalog_model.Account | None
    deadline: datetime.timedelta
    body_limit: int


class _FaultError(Exception):
    """A fault of this daemon before the head of the answer."""


class Listener(services.BaseService):
    """Serves callers and the platform's status requests on one daemon.

    All addresses share the places of `bounds`.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        addresses: status_module.Addresses,
        catalog: catalog_holder.CatalogHolder,
        flow: flow_module.Flow,
        metrics: metrics_module.Metrics,
        list_addresses: abc.Callable[[str], list[str]],
        is_ready: abc.Callable[[], bool],
        record_traffic: abc.Callable[[], None],
        grace: datetime.timedelta,
        shutdown: shutdown_module.Shutdown | None = None,
        bounds: connections.Bounds = DEFAULT_BOUNDS,
        budget: memory_module.ByteBudget | None = None,
    ) -> None:
        self._clock = clock
        self._addresses = addresses
        self._catalog = catalog
        self._flow = flow
        self._metrics = metrics
        self._list_addresses = list_addresses
        self._is_ready = is_ready
        self._record_traffic = record_traffic
        self._grace = grace
        self._shutdown = shutdown or shutdown_module.Shutdown()
        self._bounds = bounds
        self._budget = budget
        self._servers: list[connections.CallerServer] = []
        self._active_requests = 0
        self._has_drained = False

    def start(self, kernel: services.Kernel) -> None:
        """Starts to accept connections on all addresses."""
        shared_places = connections.create_places(self._bounds)
        for address, parts in self._addresses.collect_parts().items():
            server = _Server(
                address,
                functools.partial(self._serve, parts),
                self._bounds,
                self._count_refusal,
                self._budget,
                shared_places,
                is_status=status_module.Part.CALLERS not in parts,
            )
            server.start()
            self._servers.append(server)

    def is_draining(self) -> bool:
        """Returns whether this daemon is draining."""
        return self._shutdown.get_schedule() is not None

    def mark_draining(self) -> None:
        """Begins the planned stop: this daemon is not ready from now on."""
        self._shutdown.begin(
            shutdown_module.plan_stop(
                self._clock.monotonic(), self._grace, DRAIN_ACCEPT_DURATION
            )
        )

    def drain(self) -> None:
        """Accepts connections for a while, then waits until all requests ended.

        The wait ends before the grace period does. Requests that arrive
        afterwards are refused.
        """
        self.mark_draining()
        schedule = self._shutdown.get_schedule()
        assert schedule is not None
        while self._clock.monotonic() < schedule.refuse_at:
            self._clock.sleep(DRAIN_POLL_INTERVAL)
        for server in self._servers:
            server.stop_accepting()
            server.close()
        while (
            self._active_requests and self._clock.monotonic() < schedule.exit_at
        ):
            self._clock.sleep(DRAIN_POLL_INTERVAL)
        self._has_drained = True

    def stop(self) -> None:
        """Closes the listening sockets."""
        for server in self._servers:
            server.stop(timeout=0.1)

    def _count_refusal(self, code: str) -> None:
        self._metrics.refusals.inc({"code": code})

    def _serve(
        self,
        parts: frozenset[status_module.Part],
        environ: Environ,
        start_response: StartResponse,
    ) -> abc.Iterable[bytes]:
        """Serves a request at an address.

        Args:
            parts: what is served at the address.
            environ: the WSGI environment.
            start_response: the WSGI callback.
        """
        path = environ[TARGET].partition("?")[0]
        catalog = self._catalog.get_current()
        is_configured_host = (
            catalog is not None and _read_host(environ) in catalog.routes
        )
        page = status_module.find_page(parts, path, is_configured_host)
        if page is not None:
            return self._answer_page(page, environ, start_response)
        if status_module.Part.CALLERS in parts:
            return self._serve_caller(environ, start_response)
        environ["wsgi.input"].discard_small()
        return self._send_error(404, "no_page", environ, start_response)

    def _answer_page(
        self,
        page: status_module.Page,
        environ: Environ,
        start_response: StartResponse,
    ) -> abc.Iterable[bytes]:
        method = environ["REQUEST_METHOD"]
        if method not in status_module.PAGE_METHODS:
            environ["wsgi.input"].discard_small()
            allowed = ("Allow", ", ".join(status_module.PAGE_METHODS))
            return self._send_error(
                405, "method", environ, start_response, [allowed]
            )
        status = 200
        body: dict[str, typing.Any] = {}
        match page:
            case status_module.Page.METRICS:
                if self._budget is not None:
                    self._metrics.body_bytes.set({}, self._budget.used)
                content, fields = self._metrics.render("text/plain")
                return status_module.send(
                    start_response, 200, content, fields.items(), method
                )
            case status_module.Page.READY:
                is_ready = self._is_ready() and not self.is_draining()
                status = 200 if is_ready else 503
            case status_module.Page.RESOLVE:
                status, body = self._resolve(environ[TARGET])
        return status_module.send_json(
            start_response, status, body, method=method
        )

    def _resolve(self, target: str) -> tuple[int, dict[str, typing.Any]]:
        """Returns status and body of the answer to a look-up of addresses."""
        domain = status_module.read_failure_domain(target)
        addresses = self._list_addresses(domain)[:MAX_ADDRESSES]
        if not addresses:
            return 503, {}
        return 200, {
            "addresses": addresses,
            "ttl_s": ADDRESS_TTL.total_seconds(),
        }

    def _send_error(
        self,
        status: int,
        code: str,
        environ: Environ,
        start_response: StartResponse,
        fields: abc.Iterable[tuple[str, str]] = (),
    ) -> abc.Iterable[bytes]:
        return status_module.send_json(
            start_response,
            status,
            {"error": code},
            fields,
            environ["REQUEST_METHOD"],
        )

    def _serve_caller(
        self, environ: Environ, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        self._active_requests += 1
        started_at = self._clock.monotonic()
        request: model.Request | None = None
        ending = _Ending.FAULT
        code = "ok"
        try:
            try:
                request = self._read_request(environ, started_at)
                self._record_traffic()
                with environ[connections.PRESENCE_KEY].watch():
                    answer = self._run(request)
                    code = str(answer.status)
                    start_response(
                        status_module.format_status(answer.status),
                        self._build_headers(answer),
                    )
                    yield from _relay_body(answer)
                ending = _Ending.ANSWERED
            except model.RefusedError as error:
                code = error.refusal.code
                yield from self._refuse(error.refusal, start_response)
                ending = _classify_refusal(error.refusal)
            except _Refused as error:
                code = error.refusal.code
                yield from self._refuse(error.refusal, start_response)
                ending = _classify_refusal(error.refusal)
            except _FaultError as error:
                code = f"fault: {error}"
                yield from self._refuse(FAULT_REFUSAL, start_response)
            except presence.CallerLeftError as error:
                code, ending = "caller_left", _Ending.CALLER_LEFT
                raise ConnectionResetError(
                    errno.ECONNRESET, "caller left"
                ) from error
            except model.BrokenAnswerError as error:
                code, ending = f"broken: {error}", _Ending.BROKEN
                raise
            except GeneratorExit:
                # The server could not write to the caller's connection.
                code, ending = "caller_left", _Ending.CALLER_LEFT
                raise
            except BaseException as error:
                code = f"cut: {type(error).__name__} {error}"
                raise
        finally:
            self._active_requests -= 1
            self._log(environ, request, code, ending, started_at)

    def _run(self, request: model.Request) -> model.Answer:
        """Returns the answer of the relay.

        Raises:
            RefusedError: the request is answered by the system itself.
            CallerLeftError: the caller closed its connection.
            _FaultError: the relay failed. The error itself might look like the
                loss of the caller's connection.
        """
        try:
            return self._flow.serve(request)
        except (model.RefusedError, presence.CallerLeftError):
            raise
        except (Exception, gevent.Timeout) as error:
            eliot.write_traceback()
            raise _FaultError(f"{type(error).__name__} {error}") from error

    def _log(
        self,
        environ: Environ,
        request: model.Request | None,
        code: str,
        ending: "_Ending",
        started_at: datetime.timedelta,
    ) -> None:
        """Records how a request ended; each request passes here once."""
        duration = (self._clock.monotonic() - started_at).total_seconds()
        route = "" if request is None else request.route.name
        self._metrics.requests.inc({"route": route, "outcome": code[:24]})
        self._metrics.request_endings.inc({"ending": ending.value})
        if code != "200":
            eliot.log_message(
                "entry:request",
                request_id=environ.get("HTTP_X_REQUEST_ID"),
                route=route,
                model="" if request is None else request.model,
                outcome=code,
                ending=ending.value,
                seconds=round(duration, 4),
                config_version=self._catalog.get_version(),
            )

    def _read_request(
        self, environ: Environ, now: datetime.timedelta
    ) -> model.Request:
        """Returns the request with its body.

        Raises:
            _Refused: no configuration is in force, no route matches, the key is
                missing or unknown, or the body is too large.
            RefusedError: the daemon may exit before the request ends.
        """
        fields: list[tuple[str, str]] = environ[FIELDS]
        target: str = environ[TARGET]
        body_input = environ["wsgi.input"]
        try:
            head = self._check_head(fields, target, now)
        except (_Refused, model.RefusedError):
            body_input.discard_small()
            raise
        try:
            body = body_input.read_whole(head.body_limit)
        except refusals.BadRequestError as error:
            refusal = error.refusal
            raise _Refused(refusal.status, refusal.code) from error
        # The body may have taken a while.
        self._check_stop(head.deadline)
        headers_by_name, route = head.headers_by_name, head.route
        prompt, answer = fields_module.parse_token_counts(headers_by_name)
        return model.Request(
            request_id=headers_by_name.get(headers.REQUEST_ID.lower(), ""),
            method=environ["REQUEST_METHOD"],
            target=target,
            fields=upstreams.select_fields(fields, upstreams.SYSTEM_FIELDS),
            body=body,
            route=route,
            account=head.account,
            arrived=now,
            deadline=head.deadline,
            model=headers_by_name.get(headers.MODEL.lower(), ""),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event=headers_by_name.get(headers.LAST_EVENT_ID.lower(), ""),
            prompt_parts=fields_module.parse_prompt_parts(headers_by_name),
        )

    def _check_head(
        self,
        fields: list[tuple[str, str]],
        target: str,
        now: datetime.timedelta,
    ) -> _Head:
        """Returns what the head tells, if the body is worth to be read.

        Raises:
            _Refused: no configuration is in force, no route matches, or the key
                is missing or unknown.
            RefusedError: the daemon may exit before the request ends.
        """
        catalog = self._catalog.get_current()
        if catalog is None:
            raise _Refused(503, "no_configuration")
        headers_by_name = {name.lower(): value for name, value in fields}
        host = headers_by_name.get("host", "").partition(":")[0]
        route = catalog.find_route(host, target.partition("?")[0])
        if route is None:
            raise _Refused(404, "no_route")
        account = _find_account(catalog, route, headers_by_name)
        deadline = now + fields_module.parse_timeout(headers_by_name, route)
        self._check_stop(deadline)
        return _Head(
            headers_by_name=headers_by_name,
            route=route,
            account=account,
            deadline=deadline,
            body_limit=catalog.bounds.body_bytes_limit,
        )

    def _check_stop(self, deadline: datetime.timedelta) -> None:
        """Checks that the daemon does not exit before a request may end.

        Raises:
            RefusedError: it may.
        """
        if self._has_drained or self._shutdown.may_cut(
            self._clock.monotonic(), deadline
        ):
            raise model.RefusedError(blocking.build_stop_refusal())

    def _build_headers(self, answer: model.Answer) -> list[tuple[str, str]]:
        fields = list(answer.fields)
        if answer.length is not None:
            fields.append(("Content-Length", str(answer.length)))
        if self.is_draining():
            fields.append(("Connection", "close"))
        return fields

    def _refuse(
        self, refusal: model.Refusal, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        self._metrics.refusals.inc({"code": refusal.code})
        fields: list[tuple[str, str]] = []
        if refusal.retry_after is not None:
            seconds = f"{refusal.retry_after.total_seconds():.3f}"
            fields.append((headers.RETRY_AFTER, seconds))
        if self.is_draining():
            fields.append(("Connection", "close"))
        body = {"error": refusal.code, "not_run": refusal.not_run}
        return status_module.send_json(
            start_response, refusal.status, body, fields
        )


def _relay_body(answer: model.Answer) -> abc.Iterator[bytes]:
    """Yields the body of an answer whose head has been sent.

    Raises:
        BrokenAnswerError: the rest cannot be delivered. A refusal is no part of
            the answer any more.
    """
    try:
        yield from answer.body
    except (model.RefusedError, _Refused) as error:
        raise model.BrokenAnswerError(f"refused: {error}") from error


def _classify_refusal(refusal: model.Refusal) -> _Ending:
    return _Ending.REFUSED if refusal.not_run else _Ending.FAILED


def _find_account(
    catalog: catalog_model.Catalog,
    route: catalog_model.Route,
    headers_by_name: dict[str, str],
) -> catalog_model.Account | None:
    """Returns the account of the caller's key, None if it has none.

    Raises:
        _Refused: the route needs a key, which is missing or unknown.
    """
    if catalog.accounts is None:
        return None
    text = headers_by_name.get("authorization", "")
    key = text[len(headers.KEY_SCHEME) :].strip()
    account = None
    if text.startswith(headers.KEY_SCHEME):
        account = catalog.accounts.get(key)
    if account is None and not route.public:
        raise _Refused(401, "unknown_key")
    return account


def _read_host(environ: Environ) -> str:
    """Returns the host that a request names, without its port."""
    host: str = environ.get("HTTP_HOST", "")
    return host.partition(":")[0].lower()
