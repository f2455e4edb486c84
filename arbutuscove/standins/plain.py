"""Stand-in for a plain HTTP service, which serves no model."""

import pathlib

import gevent
import msgspec
from werkzeug import wrappers

from arbutuscove.standins import server


class PlainStandin:
    """Service that echoes each call and records that it ran.

    `POST /faults` sets `delay` (seconds before each answer) and `drop` (close
    the connection instead of an answer, after the call ran).
    """

    def __init__(self, name: str, record: pathlib.Path | None) -> None:
        self._name = name
        self._record = record
        self._delay = 0.0
        self._drop = False

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        routes: list[tuple[str, str, server.Handler]] = [
            ("POST", "/faults", self._set_faults),
            ("GET", "/healthz", self._get_health),
        ]
        for method in ("GET", "POST", "PUT", "DELETE"):
            routes.append((method, "/call/<path:path>", self._run_call))
        return server.App(routes)

    def _get_health(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond({"name": self._name})

    def _run_call(
        self, request: wrappers.Request, path: str
    ) -> wrappers.Response:
        entry = {
            "plain": self._name,
            "method": request.method,
            "path": path,
            "attempt": request.headers.get("X-Request-Id", ""),
            "body": request.get_data(as_text=True),
        }
        if self._record is not None:
            with self._record.open("ab") as stream:
                stream.write(msgspec.json.encode(entry) + b"\n")
        gevent.sleep(self._delay)
        if self._drop:
            raise ConnectionResetError(
                "answer dropped after the call ran, by an injected fault"
            )
        return server.respond(entry)

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        faults = server.read_json(request)
        self._delay = float(faults.get("delay", 0))
        self._drop = bool(faults.get("drop", False))
        return server.respond({})
