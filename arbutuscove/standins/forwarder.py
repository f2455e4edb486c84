"""TCP forwarder with fault injection, for tests only.

It forwards connections between two processes and can reset or delay them, drop
their data in one direction or both, and accept connections without forwarding.
"""

import dataclasses
import datetime
import enum
import socket
import typing

import gevent
import msgspec
from gevent import event
from gevent import server as gevent_server
from werkzeug import wrappers

from arbutuscove.standins import server
from arbutuscove.storage import http

READ_SIZE = 65536  # bytes
CONNECT_TIMEOUT = 2.0  # seconds


class Mode(enum.StrEnum):
    """Fault mode of connections; the `DROP_*` modes lose data silently."""

    PASS = "pass"
    CUT = "cut"  # open connections are shut down, new ones closed at once
    DROP_TO_TARGET = "drop_to_target"
    DROP_TO_CLIENT = "drop_to_client"
    HALF_OPEN = "half_open"  # accepted, but data is dropped both ways


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Faults to inject.

    Attributes:
        mode: Fault mode.
        delay: Delay of each piece of data in each direction.
    """

    mode: Mode = Mode.PASS
    delay: datetime.timedelta = datetime.timedelta(0)


class Forwarder:
    """Forwards connections from one address to another.

    Dropped data is never delivered: a connection that lost data is closed when
    the fault ends, since a real connection would eventually fail as well.
    """

    def __init__(self, listen: http.Address, target: http.Address) -> None:
        self._target = target
        self._faults = Faults()
        self._lossy: set[socket.socket] = set()
        self._open: set[socket.socket] = set()
        self._changed = event.Event()
        self._server = gevent_server.StreamServer(
            (listen.host, listen.port), self._forward
        )

    def start(self) -> None:
        """Starts to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stops listening and closes all connections."""
        self._server.stop(timeout=1)
        self._close(self._open)

    def connections(self) -> int:
        """Returns the number of open connections."""
        return len(self._open)

    def set_faults(self, faults: Faults) -> None:
        """Applies faults to new and open connections."""
        self._faults = faults
        if faults.mode == Mode.CUT:
            self._close(self._open)
        elif faults.mode == Mode.PASS:
            self._close(self._lossy)
        self._changed.set()
        self._changed.clear()

    def _close(self, sockets: set[socket.socket]) -> None:
        for sock in list(sockets):
            _shut_down(sock)
        sockets.clear()

    def _forward(self, client: typing.Any, address: typing.Any) -> None:
        if self._faults.mode == Mode.CUT:
            client.close()
            return
        self._open.add(client)
        try:
            if self._faults.mode == Mode.HALF_OPEN:
                self._lossy.add(client)
                while self._faults.mode == Mode.HALF_OPEN:
                    self._changed.wait()
                return
            self._connect_to_target(client)
        except OSError:
            return
        finally:
            self._open.discard(client)
            self._lossy.discard(client)
            client.close()

    def _connect_to_target(self, client: socket.socket) -> None:
        target = socket.create_connection(self._target, CONNECT_TIMEOUT)
        target.settimeout(None)
        outbound = gevent.spawn(
            self._copy, client, target, client, Mode.DROP_TO_TARGET
        )
        inbound = gevent.spawn(
            self._copy, target, client, client, Mode.DROP_TO_CLIENT
        )
        gevent.joinall([outbound, inbound])
        target.close()

    def _copy(
        self,
        source: socket.socket,
        sink: socket.socket,
        client: socket.socket,
        drop_mode: Mode,
    ) -> None:
        try:
            while True:
                data = source.recv(READ_SIZE)
                if not data:
                    break
                gevent.sleep(self._faults.delay.total_seconds())
                if self._faults.mode in (drop_mode, Mode.HALF_OPEN):
                    self._lossy.add(client)
                    continue
                sink.sendall(data)
        except OSError:
            _shut_down(source)
        _shut_down(sink)


class ForwarderStandin:
    """HTTP interface that sets the faults of a forwarder process."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App([("POST", "/faults", self._set_faults)])

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        self._forwarder.set_faults(
            msgspec.json.decode(request.get_data(), type=Faults)
        )
        return server.respond({})


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
