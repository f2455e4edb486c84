"""Stand-in for a plain service beside the engines."""

import pathlib

import gevent
import msgspec
from werkzeug import wrappers

from arbutuscove.standins import server


class PlainStandin:
    """Echoes calls and records each one that it ran."""

    def __init__(self, name: str, record: pathlib.Path | None) -> None:
        self._name = name
        self._record = record
        self._delay = 0.0
        self._drop = False

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        routes: list[tuple[str, str, server.Handler]] = [
            ("POST", "/faults", self._set_faults),
            ("GET", "/healthz", self._healthz),
        ]
        for method in ("GET", "POST", "PUT", "DELETE"):
            routes.append((method, "/call/<path:path>", self._call))
        return server.App(routes)

    def _healthz(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond({"name": self._name})

    def _call(self, request: wrappers.Request, path: str) -> wrappers.Response:
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
            raise ConnectionResetError("dropped after the call ran")
        return server.respond(entry)

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        faults = server.read_json(request)
        self._delay = float(faults.get("delay", 0))
        self._drop = bool(faults.get("drop", False))
        return server.respond({})
