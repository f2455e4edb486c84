"""HTTP server and helpers shared by the stand-ins."""

import signal
import socket
import sys
import typing
from collections import abc

import gevent
import msgspec
from gevent import pywsgi
from werkzeug import exceptions
from werkzeug import routing
from werkzeug import wrappers

JSON_TYPE = "application/json"
Handler = abc.Callable[..., wrappers.Response]


def respond(body: typing.Any, status: int = 200) -> wrappers.Response:
    """Returns a JSON response."""
    encoded = msgspec.json.encode(body)
    return wrappers.Response(encoded, status, content_type=JSON_TYPE)


def read_json(request: wrappers.Request) -> typing.Any:
    """Returns the decoded JSON body of a request."""
    return msgspec.json.decode(request.get_data())


class App:
    """WSGI application with routes of method, path pattern and handler."""

    def __init__(self, routes: list[tuple[str, str, Handler]]) -> None:
        self._map = routing.Map(
            [
                routing.Rule(path, methods=[method], endpoint=handler)
                for method, path, handler in routes
            ]
        )

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> abc.Iterable[bytes]:
        """Passes one request to the handler of its route."""
        request = wrappers.Request(environ)
        try:
            endpoint, values = self._map.bind_to_environ(environ).match()
            response = endpoint(request, **values)
        except exceptions.HTTPException as error:
            response = error.get_response(environ)
        return response(environ, start_response)


class _Server(pywsgi.WSGIServer):
    def handle(self, sock: typing.Any, address: typing.Any) -> None:
        """Serves a connection with `TCP_NODELAY`, so without write delay."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle(sock, address)


def serve(app: App, listen: str) -> None:
    """Serves until SIGTERM or SIGINT, then exits without draining requests.

    Args:
        app: Application to serve.
        listen: Address as `host:port`.
    """
    host, _, port = listen.rpartition(":")
    server = _Server((host, int(port)), app, log=None)
    gevent.signal_handler(signal.SIGTERM, sys.exit, 0)
    gevent.signal_handler(signal.SIGINT, sys.exit, 0)
    server.serve_forever()
