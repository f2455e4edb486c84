"""HTTP server of the administration API under `/admin/v1/`."""

import typing
from collections import abc

import msgspec
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from arbutuscove.admin import errors
from arbutuscove.admin import operations as operations_module
from arbutuscove.admin import resources
from arbutuscove.admin import routes
from arbutuscove.entry import callers
from arbutuscove.entry import connections
from arbutuscove.entry import memory
from arbutuscove.entry import places
from arbutuscove.entry import refusals
from arbutuscove.kernel import decoding
from arbutuscove.kernel import services
from arbutuscove.replicas import marks
from arbutuscove.storage import http
from arbutuscove.storage import table as table_module

SERVICE_NAME = "admin"
MAX_BODY_BYTES = 1 << 20
BOUNDS = connections.Bounds(
    max_connections=256, max_connections_per_address=128
)
MAX_PARAMETER_DIGITS = 18  # of a number in a query


class AdminServer(services.BaseService):
    """Serves operators and teams; every call needs an administration key.

    Args:
        listen: the address to listen on.
        operations: the calls.
        count: called with the reason code of each refused connection.
        budget: memory for the bodies of requests; None for no bound.
        shared_places: places of connections that it shares with the callers'
            server; None for own ones.
    """

    def __init__(
        self,
        listen: http.Address,
        operations: operations_module.Operations,
        count: abc.Callable[[str], None],
        budget: memory.ByteBudget | None = None,
        shared_places: places.Places | None = None,
    ) -> None:
        self._operations = operations
        self._server = connections.CallerServer(
            listen,
            self,
            BOUNDS,
            count,
            budget,
            shared_places,
            is_status=True,
        )
        self._url_map = routing.Map(
            [
                routing.Rule(
                    routes.PREFIX + route.path,
                    methods=[route.method],
                    endpoint=route,
                )
                for route in routes.ROUTES
            ]
        )

    def start(self, kernel: services.Kernel) -> None:
        """Starts to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stops the server; open requests have 1 s to finish."""
        self._server.stop(timeout=1)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request."""
        request = wrappers.Request(environ)
        request.max_content_length = MAX_BODY_BYTES
        response = self._respond(request)
        return response(environ, start_response)

    def _respond(self, request: wrappers.Request) -> wrappers.Response:
        try:
            return _build_response(self._dispatch(request), 200)
        except errors.AdminError as error:
            problem = resources.Problem(
                code=error.code,
                message=str(error),
                details=error.details or {},
            )
            return _build_response(problem, error.status)
        except refusals.BadRequestError as error:
            return _build_problem(
                error.refusal.status, error.refusal.code, str(error)
            )
        except (table_module.TableError, marks.MarkUndecidedError) as error:
            return _build_problem(503, "table_unavailable", str(error))
        except exceptions.HTTPException as error:
            code = error.name.lower().replace(" ", "_")
            return _build_problem(error.code or 400, code, error.name)

    def _dispatch(self, request: wrappers.Request) -> typing.Any:
        url_adapter = self._url_map.bind_to_environ(request.environ)
        route, values = url_adapter.match()
        digest = callers.digest_key(callers.read_key(request))
        caller = self._operations.identify(digest)
        arguments: dict[str, typing.Any] = dict(values)
        for name, default in route.query:
            arguments[name] = _read_parameter(request, name, default)
        if route.body is not None:
            arguments["body"] = _decode_body(request.get_data(), route.body)
        return route.operation(self._operations, caller, **arguments)


def _read_parameter(
    request: wrappers.Request, name: str, default: str | int
) -> str | int:
    text = request.args.get(name)
    if text is None or isinstance(default, str):
        return text if text is not None else default
    value = decoding.parse_digits(text, MAX_PARAMETER_DIGITS)
    if value is None:
        raise errors.AdminError(400, "invalid_parameter", f"{name}: {text}")
    if name == "limit" and not 1 <= value <= routes.MAX_PAGE_ITEMS:
        raise errors.AdminError(
            400, "invalid_parameter", f"limit is 1 to {routes.MAX_PAGE_ITEMS}"
        )
    return value


def _decode_body(content: bytes, body_type: type) -> typing.Any:
    decoder = decoding.JsonDecoder[typing.Any](body_type, MAX_BODY_BYTES)
    try:
        return decoder.decode(content)
    except decoding.DecodingError as error:
        raise errors.AdminError(400, "invalid_body", str(error)) from error


def _build_problem(status: int, code: str, message: str) -> wrappers.Response:
    return _build_response(
        resources.Problem(code=code, message=message), status
    )


def _build_response(body: typing.Any, status: int) -> wrappers.Response:
    return wrappers.Response(
        msgspec.json.encode(body), status, content_type=refusals.JSON_TYPE
    )
