"""HTTP server of the administration API under `/admin/v1/`."""

import datetime
import typing
from collections import abc

import msgspec
from gevent import pywsgi
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

from arbutuscove.audit import trail
from arbutuscove.config import acceptance
from arbutuscove.config import follower
from arbutuscove.entry import callers
from arbutuscove.entry import refusals
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import http
from arbutuscove.platform import table as table_module
from arbutuscove.replicas import directory as directory_module

SERVICE_NAME = "admin"
# Clients give up after 2 s (`http.REQUEST_TIMEOUT`) and would then not know
# whether the change was accepted; a large fleet is reported in part.
FORCE_TIMEOUT = datetime.timedelta(seconds=1)

WaitInForce = abc.Callable[[int, datetime.timedelta], typing.Any]


class AdminServer(services.BaseService):
    """Serves operators; every call needs the administration key."""

    def __init__(
        self,
        listen: http.Address,
        key_digest: str,
        clock: clock_module.Clock,
        table: table_module.Table,
        config: follower.ConfigFollower,
        directory: directory_module.ReplicaDirectory,
        wait_in_force: WaitInForce,
    ) -> None:
        self._wait_in_force = wait_in_force
        self._key_digest = key_digest
        self._clock = clock
        self._table = table
        self._config = config
        self._directory = directory
        self._server = pywsgi.WSGIServer(
            (listen.host, listen.port), self, log=None, error_log=None
        )
        self._map = routing.Map(
            [
                routing.Rule(
                    "/admin/v1/services",
                    methods=["GET"],
                    endpoint=self._list_services,
                ),
                routing.Rule(
                    "/admin/v1/services/<name>",
                    methods=["GET"],
                    endpoint=self._get_service,
                ),
                routing.Rule(
                    "/admin/v1/services/<name>",
                    methods=["PUT"],
                    endpoint=self._accept,
                ),
                routing.Rule(
                    "/admin/v1/status",
                    methods=["GET"],
                    endpoint=self._get_status,
                ),
                routing.Rule(
                    "/admin/v1/audit/<path:scope>",
                    methods=["GET"],
                    endpoint=self._read_audit,
                ),
            ]
        )

    def start(self, kernel: services.Kernel) -> None:
        """Begins to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Closes the server."""
        self._server.stop(timeout=1)

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Serves one request."""
        request = wrappers.Request(environ)
        try:
            if callers.digest_key(callers.read_key(request)) != (
                self._key_digest
            ):
                raise refusals.BadRequestError(401, "wrong_key", "unknown key")
            bound = self._map.bind_to_environ(environ)
            endpoint, values = bound.match()
            response = endpoint(request, **values)
        except refusals.BadRequestError as error:
            response = _respond(
                {"code": error.refusal.code, "message": str(error)},
                error.refusal.status,
            )
        except table_module.TableUnavailableError as error:
            response = _respond(
                {"code": "table_unavailable", "message": str(error)}, 503
            )
        except exceptions.HTTPException as error:
            response = _respond(
                {"code": error.name, "message": str(error)}, error.code or 400
            )
        return response(environ, start_response)

    def _list_services(self, request: wrappers.Request) -> wrappers.Response:
        versions = self._config.current().services.values()
        return _respond(list(versions))

    def _get_service(
        self, request: wrappers.Request, name: str
    ) -> wrappers.Response:
        found = self._config.current().services.get(name)
        if found is None:
            raise refusals.BadRequestError(404, "unknown_service", name)
        return _respond(found)

    def _accept(
        self, request: wrappers.Request, name: str
    ) -> wrappers.Response:
        try:
            proposal = msgspec.json.decode(
                request.get_data(), type=acceptance.Proposal
            )
        except msgspec.DecodeError as error:
            raise refusals.BadRequestError(
                400, "invalid_body", str(error)
            ) from error
        if proposal.service.name != name:
            raise refusals.BadRequestError(400, "invalid_body", "name differs")
        try:
            result = acceptance.accept(self._table, self._clock, proposal)
        except acceptance.AcceptanceUnavailableError as error:
            return _respond(
                {"code": "table_unavailable", "message": str(error)}, 503
            )
        except acceptance.AcceptanceUnknownError as error:
            return _respond(
                {"code": "outcome_unknown", "message": str(error)}, 504
            )
        if result.is_error():
            return _respond(
                {"code": "version_conflict", "conflict": result.error}, 409
            )
        change = result.ok
        report = self._wait_in_force(change.sequence, FORCE_TIMEOUT)
        body = msgspec.to_builtins(change)
        body["in_force"] = list(report.reached)
        body["not_yet_in_force"] = list(report.missing)
        return _respond(body)

    def _get_status(self, request: wrappers.Request) -> wrappers.Response:
        snapshot = self._config.current()
        names = [item.service.name for item in snapshot.services.values()]
        body = {
            "sequence": snapshot.sequence,
            "replicas": list(self._directory.rows().values()),
            "serving": {name: self._directory.serving(name) for name in names},
        }
        return _respond(body)

    def _read_audit(
        self, request: wrappers.Request, scope: str
    ) -> wrappers.Response:
        after = int(request.args.get("after", 0))
        return _respond(trail.read_scope(self._table, scope, after))


def _respond(body: typing.Any, status: int = 200) -> wrappers.Response:
    return wrappers.Response(
        msgspec.json.encode(body), status, content_type=refusals.JSON_TYPE
    )
