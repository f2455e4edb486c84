"""Listens for callers and for the platform's questions.

Callers' requests become `relay` requests here, and answers go back with the
upstream's status, signature and body unchanged.
"""

import datetime
import errno
import http.client
import typing
import urllib.parse
from collections import abc

import eliot
import msgspec

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.entry import connections
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import headers
from arbutuscove.platform import upstreams
from arbutuscove.relay import flow as flow_module
from arbutuscove.relay import model
from arbutuscove.requests import presence
from arbutuscove.storage import http as storage_http

SERVICE_NAME = "listener"
FIELDS = "arbutuscove.fields"  # keys in the WSGI environment
TARGET = "arbutuscove.target"
# How long callers may keep an answer about addresses.
KEEP = datetime.timedelta(seconds=2)
ADDRESS_LIMIT = 64  # addresses in one answer
# After the start of a stop, how long new connections are still taken: callers
# who hold an older answer come here, and what they send has to end in time.
ACCEPT_WHILE_LEAVING = datetime.timedelta(seconds=3)
DRAIN_POLL = datetime.timedelta(milliseconds=50)
EXIT_MARGIN = datetime.timedelta(milliseconds=400)
# When to come back to a daemon that cannot serve yet or any more.
RETRY_ELSEWHERE = datetime.timedelta(milliseconds=100)
BODY_LIMIT = 4 * 1024 * 1024  # bytes, before a configuration is known
JSON_TYPE = "application/json"

StartResponse = abc.Callable[[str, list[tuple[str, str]]], typing.Any]
Environ = dict[str, typing.Any]


class _Handler(connections.CallerHandler):
    """Hands the raw target and headers to the application."""

    def get_environ(self) -> Environ:
        """Returns the WSGI environment."""
        environ: Environ = super().get_environ()
        environ[FIELDS] = list(self.headers.items())
        environ[TARGET] = self.path
        return environ

    def handle_error(self, *error: typing.Any) -> None:
        """Ends the connection after an answer that broke off."""
        if isinstance(error[1], model.BrokenAnswerError):
            self.close_connection = True
            return
        super().handle_error(*error)


class _Server(connections.CallerServer):
    handler_class = _Handler


class _Refused(Exception):  # noqa: N818 - carries an answer, not a fault
    """The request gets an answer before it is looked at by the relay."""

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.refusal = model.Refusal(
            status=status,
            code=code,
            not_run=True,
            retry_after=RETRY_ELSEWHERE if status == 503 else None,
        )


class Listener(services.BaseService):
    """The callers' side of one daemon."""

    def __init__(
        self,
        clock: clock_module.Clock,
        addresses: abc.Collection[storage_http.Address],
        catalog: catalog_holder.CatalogHolder,
        flow: flow_module.Flow,
        metrics: metrics_module.Metrics,
        list_addresses: abc.Callable[[str], list[str]],
        is_ready: abc.Callable[[], bool],
        note_traffic: abc.Callable[[], None],
        grace: datetime.timedelta,
    ) -> None:
        self._clock = clock
        self._addresses = set(addresses)
        self._catalog = catalog
        self._flow = flow
        self._metrics = metrics
        self._list_addresses = list_addresses
        self._is_ready = is_ready
        self._note_traffic = note_traffic
        self._grace = grace
        self._servers: list[connections.CallerServer] = []
        self._active = 0
        self._leaving = False

    def start(self, kernel: services.Kernel) -> None:
        """Begins to accept connections on all addresses."""
        for address in self._addresses:
            server = _Server(
                address, self._serve, connections.Bounds(), self._count
            )
            server.start()
            self._servers.append(server)

    def is_leaving(self) -> bool:
        """Returns whether this daemon is stopping."""
        return self._leaving

    def begin_leaving(self) -> None:
        """Says that this daemon is not ready from now on."""
        self._leaving = True

    def drain(self) -> None:
        """Serves until callers went elsewhere and all requests ended."""
        self._leaving = True
        begun = self._clock.monotonic()
        while self._clock.monotonic() < begun + ACCEPT_WHILE_LEAVING:
            self._clock.sleep(DRAIN_POLL)
        for server in self._servers:
            server.stop_accepting()
            server.close()
        end = begun + self._grace - EXIT_MARGIN
        while self._active and self._clock.monotonic() < end:
            self._clock.sleep(DRAIN_POLL)

    def stop(self) -> None:
        """Closes the listening sockets."""
        for server in self._servers:
            server.stop(timeout=0.1)

    def _count(self, code: str) -> None:
        self._metrics.refusals.inc({"code": code})

    def _serve(
        self, environ: Environ, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        target = environ[TARGET]
        path = target.partition("?")[0]
        if environ["REQUEST_METHOD"] == "GET":
            match path:
                case "/ready":
                    return self._answer_ready(start_response)
                case "/resolve":
                    return self._answer_resolve(target, start_response)
                case "/metrics":
                    return self._answer_metrics(start_response)
        return self._serve_caller(environ, start_response)

    def _answer_ready(
        self, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        ready = self._is_ready() and not self._leaving
        return _send_json(start_response, 200 if ready else 503, {})

    def _answer_resolve(
        self, target: str, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        query = urllib.parse.parse_qs(target.partition("?")[2])
        # The caller's failure domain.
        domain = query.get("zone", [""])[0]
        found = self._list_addresses(domain)[:ADDRESS_LIMIT]
        if not found:
            return _send_json(start_response, 503, {})
        body = {"addresses": found, "ttl_s": KEEP.total_seconds()}
        return _send_json(start_response, 200, body)

    def _answer_metrics(
        self, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        body, fields = self._metrics.render("text/plain")
        start_response("200 OK", list(fields.items()))
        return [body]

    def _serve_caller(
        self, environ: Environ, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        self._active += 1
        begun = self._clock.monotonic()
        request: model.Request | None = None
        code = "ok"
        try:
            try:
                request = self._read_request(environ, begun)
                self._note_traffic()
                with environ[connections.PRESENCE_KEY].watch():
                    answer = self._flow.serve(request)
                    code = str(answer.status)
                    start_response(
                        _describe(answer.status),
                        self._build_fields(answer),
                    )
                    yield from answer.body
            except model.RefusedError as error:
                code = error.refusal.code
                yield from self._refuse(error.refusal, start_response)
            except _Refused as error:
                code = error.refusal.code
                yield from self._refuse(error.refusal, start_response)
            except presence.CallerLeftError as error:
                code = "caller_left"
                raise ConnectionResetError(
                    errno.ECONNRESET, "caller left"
                ) from error
            except model.BrokenAnswerError as error:
                code = f"broken: {error}"
                raise
            except BaseException as error:
                code = f"cut: {type(error).__name__} {error}"
                raise
        finally:
            self._active -= 1
            self._log(environ, request, code, begun)

    def _log(
        self,
        environ: Environ,
        request: model.Request | None,
        code: str,
        begun: datetime.timedelta,
    ) -> None:
        duration = (self._clock.monotonic() - begun).total_seconds()
        route = "" if request is None else request.route.name
        self._metrics.requests.inc({"route": route, "outcome": code[:24]})
        if code != "200":
            eliot.log_message(
                "entry:request",
                request_id=environ.get("HTTP_X_REQUEST_ID"),
                route=route,
                model="" if request is None else request.model,
                outcome=code,
                seconds=round(duration, 4),
                config_version=self._catalog.get_version(),
            )

    def _read_request(
        self, environ: Environ, now: datetime.timedelta
    ) -> model.Request:
        """Returns the request with its body.

        Raises:
            _Refused: no such route, no such key, or a body that is too large.
        """
        catalog = self._catalog.get_current()
        # Read before any refusal, so that the connection stays usable.
        limit = (
            BODY_LIMIT if catalog is None else catalog.bounds.body_bytes_limit
        )
        body = environ["wsgi.input"].read(limit + 1)
        if catalog is None:
            raise _Refused(503, "no_configuration")
        fields: list[tuple[str, str]] = environ[FIELDS]
        named = {name.lower(): value for name, value in fields}
        target: str = environ[TARGET]
        host = named.get("host", "").partition(":")[0]
        route = catalog.find_route(host, target.partition("?")[0])
        if route is None:
            raise _Refused(404, "no_route")
        account = _find_account(catalog, route, named)
        if len(body) > catalog.bounds.body_bytes_limit:
            raise _Refused(413, "body_too_large")
        timeout = _read_timeout(named, route)
        prompt, answer = _read_tokens(named)
        return model.Request(
            request_id=named.get(headers.REQUEST_ID.lower(), ""),
            method=environ["REQUEST_METHOD"],
            target=target,
            fields=upstreams.select_fields(fields, upstreams.OWN_FIELDS),
            body=body,
            route=route,
            account=account,
            arrived=now,
            deadline=now + timeout,
            model=named.get(headers.MODEL.lower(), ""),
            prompt_tokens=prompt,
            answer_tokens=answer,
            last_event=named.get(headers.LAST_EVENT.lower(), ""),
        )

    def _build_fields(self, answer: model.Answer) -> list[tuple[str, str]]:
        fields = list(answer.fields)
        if answer.length is not None:
            fields.append(("Content-Length", str(answer.length)))
        if self._leaving:
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
        if self._leaving:
            fields.append(("Connection", "close"))
        body = {"error": refusal.code, "not_run": refusal.not_run}
        return _send_json(start_response, refusal.status, body, fields)


def _find_account(
    catalog: catalog_model.Catalog,
    route: catalog_model.Route,
    named: dict[str, str],
) -> catalog_model.Account | None:
    """Returns the account of the caller's key, None if no key is needed.

    Raises:
        _Refused: the key is missing or unknown.
    """
    if catalog.accounts is None:
        return None
    text = named.get("authorization", "")
    key = text[len(headers.KEY_SCHEME) :].strip()
    account = None
    if text.startswith(headers.KEY_SCHEME):
        account = catalog.accounts.get(key)
    if account is None and not route.public:
        raise _Refused(401, "unknown_key")
    return account


def _read_timeout(
    named: dict[str, str], route: catalog_model.Route
) -> datetime.timedelta:
    """Returns the time that the request may take: the caller's or route's."""
    text = named.get(headers.DEADLINE.lower(), "")
    if not text.isdigit():
        return route.timeout
    return min(route.timeout, datetime.timedelta(milliseconds=int(text)))


def _read_tokens(named: dict[str, str]) -> tuple[int, int]:
    """Returns prompt tokens and most answer tokens, zeros if not stated."""
    prompt, _, answer = named.get(headers.TOKENS.lower(), "").partition(",")
    if not (prompt.strip().isdigit() and answer.strip().isdigit()):
        return 0, 0
    return int(prompt), int(answer)


def _describe(status: int) -> str:
    return f"{status} {http.client.responses.get(status, 'Unknown')}"


def _send_json(
    start_response: StartResponse,
    status: int,
    body: dict[str, typing.Any],
    fields: abc.Iterable[tuple[str, str]] = (),
) -> abc.Iterable[bytes]:
    data = msgspec.json.encode(body)
    start_response(
        _describe(status),
        [
            ("Content-Type", JSON_TYPE),
            ("Content-Length", str(len(data))),
            *fields,
        ],
    )
    return [data]
