"""Runs a daemon whose connections to upstreams can be cut, for tests.

The cut is read from a file, so a test can begin and end it. Only this process
is affected: other daemons still reach the upstreams at the same addresses.
"""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import dataclasses  # noqa: E402
import enum  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import typing  # noqa: E402
import weakref  # noqa: E402

import gevent  # noqa: E402
import msgspec  # noqa: E402
from gevent import socket as gevent_socket  # noqa: E402

DIRECTORY_VARIABLE = "ARBUTUSCOVE_TEST_CUTS"
POLL_SECONDS = 0.02


class Mode(enum.StrEnum):
    """What a cut does to connections."""

    NONE = "none"
    SILENT = "silent"  # nothing arrives, on old and new connections
    RESET = "reset"  # old connections are reset, new ones are refused
    REFUSED = "refused"  # only new connections are refused


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cut:
    """A cut of all connections to some ports."""

    mode: Mode = Mode.NONE
    ports: frozenset[int] = frozenset()


def write_cut(directory: pathlib.Path, daemon: str, cut: Cut) -> None:
    """Applies a cut to a daemon, which reads it from its file."""
    path = _build_path(directory, daemon)
    changed = path.with_suffix(".new")
    changed.write_bytes(msgspec.json.encode(cut))
    changed.replace(path)


def _build_path(directory: pathlib.Path, daemon: str) -> pathlib.Path:
    return directory / f"{daemon}.cut.json"


class _Link:
    """The connections of this process, and the cut."""

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._cut = Cut()
        self._ports: weakref.WeakKeyDictionary[typing.Any, int] = (
            weakref.WeakKeyDictionary()
        )
        self._broken: weakref.WeakSet[typing.Any] = weakref.WeakSet()

    def read_cut(self) -> None:
        if self._path.exists():
            cut = msgspec.json.decode(self._path.read_bytes(), type=Cut)
            if cut != self._cut:
                self._cut = cut
                self._break_connections()

    def run(self) -> None:
        while True:
            self.read_cut()
            gevent.sleep(POLL_SECONDS)

    def connect(self, sock: typing.Any, address: typing.Any) -> None:
        self._ports[sock] = address[1]
        self.read_cut()
        match self._get_mode(sock):
            case Mode.RESET | Mode.REFUSED:
                raise ConnectionRefusedError("cut")
            case Mode.SILENT:
                self._wait(sock)

    def check(self, sock: typing.Any) -> None:
        if self._get_mode(sock) == Mode.SILENT:
            self._broken.add(sock)
            self._wait(sock)
        if sock in self._broken:
            raise ConnectionResetError("cut")

    def _get_mode(self, sock: typing.Any) -> Mode:
        port = self._ports.get(sock)
        return self._cut.mode if port in self._cut.ports else Mode.NONE

    def _break_connections(self) -> None:
        for sock in list(self._ports):
            if self._get_mode(sock) == Mode.RESET and sock.fileno() >= 0:
                self._broken.add(sock)
                try:
                    sock.shutdown(socket.SHUT_RDWR)
                except OSError:
                    continue

    def _wait(self, sock: typing.Any) -> None:
        timeout = sock.gettimeout()
        with gevent.Timeout(timeout, TimeoutError("timed out")):
            while self._get_mode(sock) == Mode.SILENT:
                gevent.sleep(POLL_SECONDS)


def _patch_sockets(link: _Link) -> None:
    socket_class: typing.Any = gevent_socket.socket
    connect, recv = socket_class.connect, socket_class.recv
    sendall = socket_class.sendall

    def cut_connect(sock: typing.Any, address: typing.Any) -> typing.Any:
        if sock.family == socket.AF_INET:
            link.connect(sock, address)
        return connect(sock, address)

    def cut_recv(sock: typing.Any, *args: typing.Any) -> typing.Any:
        link.check(sock)
        data = recv(sock, *args)
        link.check(sock)
        return data

    def cut_sendall(sock: typing.Any, *args: typing.Any) -> typing.Any:
        link.check(sock)
        return sendall(sock, *args)

    socket_class.connect = cut_connect
    socket_class.recv = cut_recv
    socket_class.sendall = cut_sendall


def run() -> None:
    """Runs the daemon with the command line of this process."""
    # The command line is read after the sockets have been replaced.
    from arbutuscove.daemon import main  # noqa: PLC0415

    name = sys.argv[sys.argv.index("--name") + 1]
    directory = pathlib.Path(os.environ[DIRECTORY_VARIABLE])
    link = _Link(_build_path(directory, name))
    _patch_sockets(link)
    gevent.spawn(link.run)
    main.main()


if __name__ == "__main__":
    run()
