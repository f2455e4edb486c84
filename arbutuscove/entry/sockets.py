"""Ends of connections whose clients still send."""

import datetime
import socket
import typing
from collections import abc

import gevent

from arbutuscove.kernel import turns

# How long a refused connection stays open, so that its client can read the
# refusal.
LINGER_TIMEOUT = datetime.timedelta(seconds=1)


def stop_reading(sock: typing.Any) -> None:
    """Ends a wait for bytes of a client as if it had closed."""
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        return  # the client closed it first


def linger(
    sock: typing.Any,
    is_shutdown_needed: bool,
    is_over: abc.Callable[[], bool] = lambda: False,
) -> None:
    """Reads and discards for a short time what the client still sends.

    Closing a socket with unread data resets the connection, and the reset can
    reach the client before the response that states the reason.

    Args:
        sock: the connection.
        is_shutdown_needed: whether the sending side is shut down first.
        is_over: returns whether the connection has to close earlier.
    """
    with gevent.Timeout(LINGER_TIMEOUT.total_seconds(), False):
        try:
            if is_shutdown_needed:
                sock.shutdown(socket.SHUT_WR)
            turn = turns.Turn()
            while not is_over() and (data := sock.recv(turns.TURN_BYTES)):
                turn.spend(len(data))
        except OSError:
            return
