"""Detects that the caller of a request has disconnected.

A caller that closes its connection while its request waits is detected by the
end of file on its socket. A caller that shuts down only its sending side cannot
be distinguished from this and is treated as disconnected, as by other HTTP/1.1
servers.
"""

import contextlib
import socket
import typing
from collections import abc

import gevent
import greenlet

READABLE = 1  # event mask of the gevent loop


class CallerLeftError(Exception):
    """The caller closed its connection before its request was dispatched."""


class Presence(typing.Protocol):
    """Detects that a caller has disconnected."""

    def watch(self) -> contextlib.AbstractContextManager[None]:
        """Raises `CallerLeftError` in the block when the caller disconnects."""


class SocketPresence:
    """Watches the connection of one caller."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    @contextlib.contextmanager
    def watch(self) -> abc.Iterator[None]:
        """Raises `CallerLeftError` in the block when the caller disconnects.

        The error is raised only while the block waits, never afterwards.
        """
        waiting_greenlet = greenlet.getcurrent()
        watcher = gevent.get_hub().loop.io(self._socket.fileno(), READABLE)

        def check_connection() -> None:
            if self._is_open():
                # Bytes of a pipelined request stay readable until this one has
                # ended, so the watcher would fire continuously.
                watcher.stop()
            else:
                waiting_greenlet.throw(CallerLeftError())

        watcher.start(check_connection)
        try:
            yield
        finally:
            watcher.stop()
            watcher.close()

    def _is_open(self) -> bool:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            return bool(self._socket.recv(1, flags))
        except BlockingIOError:
            return True
        except OSError:
            return False
