"""Whether the caller of a request is still connected.

A caller that closes its connection while its request waits is noticed by the
end of its socket. A caller that shuts down only its sending side looks the
same and counts as gone, as with other HTTP/1.1 servers.
"""

import contextlib
import socket
import typing
from collections import abc

import gevent
import greenlet

READABLE = 1  # event mask of the loop


class CallerLeftError(Exception):
    """The caller closed its connection before its request was dispatched."""


class Presence(typing.Protocol):
    """Notices the departure of a caller."""

    def watch(self) -> contextlib.AbstractContextManager[None]:
        """Raises `CallerLeftError` inside the block when the caller leaves."""


class SocketPresence:
    """Watches the connection of one caller."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock

    @contextlib.contextmanager
    def watch(self) -> abc.Iterator[None]:
        """Raises `CallerLeftError` inside the block when the caller leaves.

        The error is raised only while the block waits, and never after it.
        """
        waiting = greenlet.getcurrent()
        watcher = gevent.get_hub().loop.io(self._socket.fileno(), READABLE)

        def check() -> None:
            if self._is_open():
                # Bytes of a next request stay readable until this one has
                # ended; watching on would call this without pause.
                watcher.stop()
            else:
                waiting.throw(CallerLeftError())

        watcher.start(check)
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
