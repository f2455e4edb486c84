"""Stand-in for the platform's object store."""

from werkzeug import wrappers

from arbutuscove.standins import server


class ObjectStandin:
    """In-memory object store with an HTTP interface.

    After `POST /faults {"down": true}` it answers all calls with status 503.
    """

    def __init__(self) -> None:
        self._bodies: dict[str, str] = {}
        self._down = False

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App(
            [
                ("GET", "/objects/<path:key>", self._get),
                ("PUT", "/objects/<path:key>", self._put),
                ("POST", "/faults", self._set_faults),
            ]
        )

    def _get(self, request: wrappers.Request, key: str) -> wrappers.Response:
        if self._down:
            return server.respond({}, 503)
        if key not in self._bodies:
            return server.respond({}, 404)
        return server.respond(self._bodies[key])

    def _put(self, request: wrappers.Request, key: str) -> wrappers.Response:
        if self._down:
            return server.respond({}, 503)
        self._bodies[key] = server.read_json(request)
        return server.respond({})

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        self._down = bool(server.read_json(request)["down"])
        return server.respond({})
