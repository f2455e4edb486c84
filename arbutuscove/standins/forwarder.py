"""TCP forwarder with fault injection, for tests only.

It forwards connections between two processes and can reset or delay them, drop
their data in one direction or both, and accept connections without forwarding.
It can also cut only the connections of some peers.
"""

import ctypes
import dataclasses
import datetime
import enum
import socket
import struct
import typing
from collections import abc

import gevent
import msgspec
from gevent import event
from gevent import server as gevent_server
from werkzeug import wrappers

from arbutuscove.standins import server
from arbutuscove.storage import http

READ_SIZE = 65536  # bytes
CONNECT_TIMEOUT = 2.0  # seconds
# Without lingering, a closed socket sends a reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)

# Options of Linux that the module `socket` does not name.
SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
SO_MEMINFO = 55
DROPS_POSITION = 8  # of the count of dropped segments in the memory information
MEMINFO_SIZE = 36  # bytes
# A socket filter of one instruction, which keeps 0 bytes of each segment.
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 6, 0, 0, 0))

# Addresses of a connection: of the peer that opened it, and of the forwarder.
Ends = tuple[tuple[str, int], tuple[str, int]]
FindCut = abc.Callable[[abc.Set[Ends]], abc.Set[Ends]]


class Mode(enum.StrEnum):
    """Fault mode of connections; the `DROP_*` modes lose data silently."""

    PASS = "pass"
    CUT = "cut"  # open connections are shut down, new ones closed at once
    DROP_TO_TARGET = "drop_to_target"
    DROP_TO_CLIENT = "drop_to_client"
    HALF_OPEN = "half_open"  # accepted, but data is dropped both ways


class CutMode(enum.StrEnum):
    """How the connections of some peers are cut.

    In a silent cut, the kernel drops what the peer sends before it acknowledges
    it, so that the peer's TCP times out as in a cut of the network. However, a
    connection is opened before its peer can be looked up. Therefore a new one
    succeeds, what is sent on it meanwhile is acknowledged and dropped, and the
    first read from it hangs.
    """

    SILENT = "silent"  # segments are dropped both ways, new ones are accepted
    RESET = "reset"  # open and new connections are reset
    REFUSED = "refused"  # open connections live on, new ones are reset


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Cut:
    """A cut of some peers that is in force."""

    mode: CutMode
    find_cut: FindCut


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
        self._cut: _Cut | None = None
        self._silenced: set[socket.socket] = set()
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
        self.end_cut()

    def connections(self) -> int:
        """Returns the number of open connections."""
        return len(self._open)

    def set_faults(self, faults: Faults) -> None:
        """Applies faults to new and open connections."""
        self._faults = faults
        if faults.mode == Mode.CUT:
            self._close(self._open)
        elif faults.mode == Mode.PASS:
            self._close(self._lossy - self._silenced)
        self._notify()

    def cut_peers(self, mode: CutMode, find_cut: FindCut) -> None:
        """Cuts the connections of some peers until `end_cut`.

        Args:
            mode: what happens to the connections.
            find_cut: returns which of the given connections belong to the peers
                that are cut. It is called once for the open connections, then
                for each new one, and may yield.
        """
        self._cut = _Cut(mode=mode, find_cut=find_cut)
        if mode == CutMode.REFUSED:
            return
        for client in self._list_cut(self._cut, self._open):
            if mode == CutMode.SILENT:
                self._silence(client)
            else:
                _reset(client)

    def end_cut(self) -> None:
        """Ends the cut of peers; closes connections that lost data."""
        self._cut = None
        silenced = list(self._silenced)
        self._silenced.clear()
        for client in silenced:
            # A reset, as the peer's kernel would otherwise send again.
            if client in self._lossy or _has_dropped(client):
                _reset(client)
            else:
                client.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        self._notify()

    def _silence(self, client: socket.socket) -> None:
        program = struct.pack("HP", 1, ctypes.addressof(DROP_ALL))
        try:
            client.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        except OSError:
            return  # closed meanwhile
        self._silenced.add(client)

    def _list_cut(
        self, cut: _Cut, sockets: abc.Iterable[socket.socket]
    ) -> list[socket.socket]:
        """Returns the sockets of cut peers; none if the cut has ended."""
        by_ends = {}
        for sock in list(sockets):
            try:
                by_ends[(sock.getpeername(), sock.getsockname())] = sock
            except OSError:
                continue  # closed meanwhile
        found = cut.find_cut(by_ends.keys())
        if self._cut is not cut:
            return []
        return [sock for ends, sock in by_ends.items() if ends in found]

    def _notify(self) -> None:
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
            cut = self._cut
            if cut is not None and self._list_cut(cut, [client]):
                if cut.mode == CutMode.SILENT:
                    self._silence(client)
                    while self._cut is cut:
                        self._changed.wait()
                _reset(client)
                return
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
            self._silenced.discard(client)
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
                is_dropped = self._faults.mode in (drop_mode, Mode.HALF_OPEN)
                if is_dropped or client in self._silenced:
                    self._lossy.add(client)
                    continue
                sink.sendall(data)
        except OSError:
            _shut_down(source)
        # The end of a silenced connection does not reach the other side.
        while client in self._silenced:
            self._changed.wait()
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


def _has_dropped(sock: socket.socket) -> bool:
    """Returns whether the socket is closed or has dropped a segment."""
    try:
        information = sock.getsockopt(
            socket.SOL_SOCKET, SO_MEMINFO, MEMINFO_SIZE
        )
    except OSError:
        return True
    return struct.unpack("9I", information)[DROPS_POSITION] > 0


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    except OSError:
        return
    sock.close()
