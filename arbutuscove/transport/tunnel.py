"""A TCP path to an upstream through another daemon, the carrier.

It is used when the links of this daemon to the upstreams are cut while other
daemons still reach them. The initiator connects to the carrier and names the
target; the carrier connects to it directly, so that a path has one hop. After
one JSON line in each direction, the bytes of the initiator follow as they are.
Those of the target follow in frames (`transport/frames`). A tunnel that ends
without the last frame was lost, so an answer that ends with its connection
cannot look complete when the carrier dies.
"""

import contextlib
import dataclasses
import datetime
import enum
import socket
import struct
import time
import typing
from collections import abc

import eliot
import gevent
import msgspec
from gevent import event
from gevent import pool
from gevent import server
from gevent import socket as gevent_socket

from arbutuscove.kernel import decoding
from arbutuscove.kernel import services
from arbutuscove.kernel import turns
from arbutuscove.storage import http
from arbutuscove.transport import carriage
from arbutuscove.transport import connection
from arbutuscove.transport import frames

SERVICE_NAME = "tunnels"
MAX_HANDSHAKE_BYTES = 512  # of a line, with its end
HANDSHAKE_TIMEOUT = datetime.timedelta(milliseconds=500)
# Connections without a tunnel: in their handshake, or just refused.
MAX_HANDSHAKES = 64
# Less than the time of an initiator to open a tunnel, so that a silent target
# is reported as unreachable before the carrier is taken for silent.
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=250)
# As in `Connection.send` to a target that does not read.
TARGET_WRITE_TIMEOUT = datetime.timedelta(seconds=2)
# As long as a daemon waits for a caller that does not read. An initiator that
# reads nothing at all, with all buffers full, is taken for lost after
# `connection.TCP_USER_TIMEOUT_MS`.
INITIATOR_WRITE_TIMEOUT = datetime.timedelta(seconds=10)
# How long a tunnel whose target has closed waits until the initiator has read
# the rest: closing a socket with unread bytes discards what is not yet sent.
LINGER_TIMEOUT = datetime.timedelta(seconds=1)
HANDSHAKE_ERRORS = (OSError, ValueError)

RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER

Connect = abc.Callable[
    [http.Address, datetime.timedelta], connection.Connection
]


class OpenResult(enum.StrEnum):
    """Whether the carrier opened a tunnel, and why not."""

    OPENED = "opened"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BUSY = "busy"
    UNLISTED = "unlisted"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenRequest:
    """Names the upstream address that the carrier is to connect to."""

    target: decoding.Name


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OpenReply:
    """The carrier's answer to an `OpenRequest`."""

    result: OpenResult


_REQUESTS = decoding.JsonDecoder[OpenRequest](OpenRequest, MAX_HANDSHAKE_BYTES)
_REPLIES = decoding.JsonDecoder[OpenReply](OpenReply, MAX_HANDSHAKE_BYTES)


class CarrierError(http.NotSentError):
    """The carrier does not carry; nothing was sent to the target.

    It is unreachable or busy, sent odd bytes or denies the address.
    """


class FramedSocket:
    """The initiator's end of a tunnel, used like a plain socket."""

    def __init__(self, sock: gevent_socket.socket) -> None:
        self._socket = sock
        self._decoder = frames.FrameDecoder()

    def settimeout(self, seconds: float | None) -> None:
        """Sets the time-out of `recv` and `sendall`; None waits for ever."""
        self._socket.settimeout(seconds)

    def setblocking(self, is_blocking: bool) -> None:
        """Sets whether `recv` and `sendall` wait."""
        self._socket.setblocking(is_blocking)

    def sendall(self, data: bytes) -> None:
        """Sends bytes to the target.

        Raises:
            OSError: sending failed; the target may have received a part.
        """
        self._socket.sendall(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Returns bytes of the target; b"" means that it has closed.

        With `MSG_PEEK`, bytes only mean that something is left to be read.

        Raises:
            TimeoutError: no bytes were received before the time-out; the next
                call goes on in the same frame.
            ConnectionResetError: the tunnel was lost.
            FrameError: the carrier's bytes are invalid.
        """
        if flags & socket.MSG_PEEK:
            if not self._decoder.is_between_frames():
                return b""
            return bytes(self._socket.recv(size, flags))
        timeout = self._socket.gettimeout()
        started_at = time.monotonic()
        try:
            while not self._decoder.is_ended:
                data = self._socket.recv(size)
                if not data:
                    raise ConnectionResetError("the tunnel was lost")
                if payload := self._decoder.feed(data):
                    return payload
                if timeout:
                    # Only a part of a length has arrived.
                    left = timeout - (time.monotonic() - started_at)
                    self._socket.settimeout(max(left, 0.0005))
        finally:
            self._socket.settimeout(timeout)
        return b""

    def close(self) -> None:
        """Closes the tunnel; the carrier then closes it to the target."""
        self._socket.close()


def open_tunnel(
    carrier: http.Address,
    target: http.Address,
    timeout: datetime.timedelta,
    source_host: str = "",
) -> connection.Connection:
    """Opens a connection to an upstream through another daemon.

    Args:
        carrier: the address of that daemon's `TunnelServer`.
        target: the address of the upstream.
        timeout: limit of the whole call. Below `CONNECT_TIMEOUT` an upstream
            that does not answer is reported as a silent carrier.
        source_host: own IP address, by which the carrier knows this daemon; the
            kernel chooses it if this is empty.

    Raises:
        RefusedError: the target refused the carrier's connection.
        CarrierError: the carrier does not carry.
        NotSentError: the carrier does not reach the target, this process has
            no file descriptor left, or `timeout` is not positive.
    """
    if timeout <= connection.ZERO:
        raise http.NotSentError(f"{target}: no time is left")
    timer = gevent.Timeout(timeout.total_seconds(), TimeoutError("timed out"))
    with timer, contextlib.ExitStack() as cleanup:
        sock = _connect_to_carrier(carrier, timeout, source_host)
        cleanup.callback(sock.close)
        try:
            sock.sendall(_encode_line(OpenRequest(target=str(target))))
            reply = _REPLIES.decode(_read_line(sock))
        except HANDSHAKE_ERRORS as error:
            raise CarrierError(f"carrier {carrier}: {error}") from error
        text = f"{target}: {reply.result} at carrier {carrier}"
        match reply.result:
            case OpenResult.OPENED:
                opened = connection.Connection(FramedSocket(sock), target)
                opened.carrier = carrier
                cleanup.pop_all()
                return opened
            case OpenResult.REFUSED:
                raise http.RefusedError(text)
            case OpenResult.UNREACHABLE:
                raise http.NotSentError(text)
            case OpenResult.BUSY | OpenResult.UNLISTED:
                raise CarrierError(text)


class _Listener(server.StreamServer):
    """Accepts connections; a failure is logged before gevent tries again."""

    def do_read(self) -> typing.Any:
        """Accepts one connection, returns None if none is waiting."""
        try:
            return super().do_read()
        except OSError as error:
            eliot.log_message("tunnel:accept_failed", reason=str(error))
            raise


class TunnelServer(services.BaseService):
    """Carries the connections of other daemons to upstreams.

    Args:
        address: the address to listen on.
        is_daemon: whether an IP address belongs to a daemon.
        is_upstream: whether an address may be connected to.
        may_carry: whether this daemon carries at present.
        capacity: the most tunnels at once, and the sizes of their buffers.
        connect: opens a direct connection.
        record_unanswered: called with a target that accepted a connection and
            ended it without a byte. Its path may do so for it.

    Attributes:
        opened: the number of tunnels opened so far.
        refused: the number of connections without a tunnel so far.
    """

    def __init__(
        self,
        address: http.Address,
        is_daemon: abc.Callable[[str], bool],
        is_upstream: abc.Callable[[http.Address], bool],
        may_carry: abc.Callable[[], bool],
        capacity: carriage.Capacity,
        connect: Connect = connection.connect,
        record_unanswered: abc.Callable[[http.Address], None] = (
            lambda target: None
        ),
    ) -> None:
        self.opened = 0
        self.refused = 0
        self._is_daemon = is_daemon
        self._is_upstream = is_upstream
        self._may_carry = may_carry
        self._capacity = capacity
        self._max_tunnels = capacity.max_tunnels
        self._connect = connect
        self._record_unanswered = record_unanswered
        self._open_count = 0
        self._greenlets = pool.Group()
        self._listener = _Listener(
            (address.host, address.port),
            self._serve,
            spawn=self._greenlets.spawn,
        )

    @property
    def open_count(self) -> int:
        """The number of tunnels that are open or being opened."""
        return self._open_count

    @property
    def address(self) -> http.Address:
        """The address it listens on, with the port in use once started."""
        return http.Address(
            self._listener.server_host, self._listener.server_port
        )

    def start(self, kernel: services.Kernel) -> None:
        """Starts to accept connections of daemons."""
        self._listener.start()

    def stop(self) -> None:
        """Closes the listening socket and breaks all tunnels."""
        self._listener.stop()
        self._greenlets.kill()

    def _serve(self, sock: gevent_socket.socket, peer: typing.Any) -> None:
        """Serves a connection, which the listener closes afterwards."""
        host = str(peer[0])
        if not self._is_daemon(host):
            self._count_refusal("unknown_peer", host)
            return
        if len(self._greenlets) > self._max_tunnels + MAX_HANDSHAKES:
            self._count_refusal("too_many_connections", host)
            return
        try:
            connection.set_options(sock)
            self._limit_buffers(sock)
            with _limit_time(HANDSHAKE_TIMEOUT):
                request = _REQUESTS.decode(_read_line(sock))
            target = http.Address.parse(request.target)
        except HANDSHAKE_ERRORS as error:
            self._count_refusal("handshake", host, error=str(error))
            return
        if not self._is_upstream(target):
            self._refuse(sock, host, target, OpenResult.UNLISTED)
        elif not self._may_carry() or self._open_count >= self._max_tunnels:
            self._refuse(sock, host, target, OpenResult.BUSY)
        else:
            self._open_count += 1
            try:
                self._open(sock, host, target)
            finally:
                self._open_count -= 1

    def _open(
        self, sock: gevent_socket.socket, host: str, target: http.Address
    ) -> None:
        try:
            upstream = self._connect(target, CONNECT_TIMEOUT).detach()
        except http.RefusedError as error:
            self._refuse(sock, host, target, OpenResult.REFUSED, error)
            return
        except connection.NoSocketError as error:
            self._refuse(sock, host, target, OpenResult.BUSY, error)
            return
        except http.NotSentError as error:
            self._refuse(sock, host, target, OpenResult.UNREACHABLE, error)
            return
        log = _Log(peer=host, target=str(target))
        with contextlib.closing(upstream):
            if not log.watch("open", self._confirm, sock, upstream):
                self.refused += 1
                return
            self.opened += 1
            end = _carry(log, sock, upstream)
        if end.is_unanswered:
            self._record_unanswered(target)
        if end.is_orderly:
            log.watch("linger", _linger, sock)

    def _confirm(
        self, sock: gevent_socket.socket, upstream: gevent_socket.socket
    ) -> None:
        self._limit_buffers(upstream)
        upstream.settimeout(None)
        sock.sendall(_encode_line(OpenReply(result=OpenResult.OPENED)))

    def _limit_buffers(self, sock: gevent_socket.socket) -> None:
        for option, size in (
            (socket.SO_SNDBUF, self._capacity.send_bytes),
            (socket.SO_RCVBUF, self._capacity.receive_bytes),
        ):
            sock.setsockopt(socket.SOL_SOCKET, option, size)

    def _refuse(
        self,
        sock: gevent_socket.socket,
        host: str,
        target: http.Address,
        result: OpenResult,
        error: http.NotSentError | None = None,
    ) -> None:
        cause = "" if error is None else str(error)
        self._count_refusal(result.value, host, target=str(target), error=cause)
        reply = _encode_line(OpenReply(result=result))
        _Log(peer=host, target=str(target)).watch("refuse", sock.sendall, reply)

    def _count_refusal(self, reason: str, host: str, **fields: str) -> None:
        self.refused += 1
        eliot.log_message("tunnel:refused", reason=reason, peer=host, **fields)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Log:
    """Logs the failures of one tunnel."""

    peer: str
    target: str

    def watch(
        self, step: str, run: abc.Callable[..., None], *args: typing.Any
    ) -> bool:
        """Runs a step; returns whether it succeeded, logs why not."""
        try:
            run(*args)
        except OSError as error:
            eliot.log_message(
                "tunnel:failed",
                step=step,
                peer=self.peer,
                target=self.target,
                reason=str(error),
            )
            return False
        return True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _End:
    """How a tunnel ended.

    Attributes:
        is_orderly: whether the target closed and the initiator was told.
        is_unanswered: whether the target's end came before any of its bytes.
    """

    is_orderly: bool
    is_unanswered: bool


def _carry(
    log: _Log, sock: gevent_socket.socket, upstream: gevent_socket.socket
) -> _End:
    """Copies in both directions until one has ended."""
    answered = event.Event()
    to_target = gevent.spawn(
        log.watch, "to_target", _copy_to_target, sock, upstream
    )
    to_initiator = gevent.spawn(
        log.watch, "to_initiator", _copy_to_initiator, upstream, sock, answered
    )
    both = [to_target, to_initiator]
    try:
        gevent.joinall(both, count=1)
        return _End(
            is_orderly=to_initiator.value is True,
            is_unanswered=to_initiator.ready() and not answered.is_set(),
        )
    finally:
        gevent.killall(both)
        if to_target.value is not True and to_initiator.value is not True:
            # Without a reset, the end would wait behind the bytes that the
            # target does not read.
            upstream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE
            )


def _copy_to_target(
    sock: gevent_socket.socket, upstream: gevent_socket.socket
) -> None:
    turn = turns.Turn()
    while data := sock.recv(connection.READ_SIZE_BYTES):
        with _limit_time(TARGET_WRITE_TIMEOUT):
            upstream.sendall(data)
        turn.spend(len(data))


def _copy_to_initiator(
    upstream: gevent_socket.socket,
    sock: gevent_socket.socket,
    answered: event.Event,
) -> None:
    turn = turns.Turn()
    while data := upstream.recv(connection.READ_SIZE_BYTES):
        answered.set()
        with _limit_time(INITIATOR_WRITE_TIMEOUT):
            sock.sendall(frames.encode(data))
        turn.spend(len(data))
    with _limit_time(INITIATOR_WRITE_TIMEOUT):
        sock.sendall(frames.END_FRAME)


def _linger(sock: gevent_socket.socket) -> None:
    with gevent.Timeout(LINGER_TIMEOUT.total_seconds(), False):
        turn = turns.Turn()
        while data := sock.recv(connection.READ_SIZE_BYTES):
            turn.spend(len(data))


def _limit_time(timeout: datetime.timedelta) -> gevent.Timeout:
    # Not the time-out of the socket, which the other direction uses, too.
    return gevent.Timeout(timeout.total_seconds(), TimeoutError("timed out"))


def _connect_to_carrier(
    carrier: http.Address, timeout: datetime.timedelta, source_host: str
) -> gevent_socket.socket:
    try:
        return connection.connect(carrier, timeout, source_host).detach()
    except connection.NoSocketError:
        raise
    except http.NotSentError as error:
        raise CarrierError(f"carrier {error}") from error


def _encode_line(message: OpenRequest | OpenReply) -> bytes:
    return msgspec.json.encode(message) + b"\n"


def _read_line(sock: gevent_socket.socket) -> bytes:
    """Reads one line and nothing of what follows it.

    Raises:
        OSError: the connection was lost or closed.
        ValueError: the line is too long.
    """
    line = b""
    while not line.endswith(b"\n"):
        if len(line) >= MAX_HANDSHAKE_BYTES:
            raise ValueError(f"a line of more than {len(line)} bytes")
        size = MAX_HANDSHAKE_BYTES - len(line)
        data = sock.recv(size, socket.MSG_PEEK)
        if not data:
            raise ConnectionResetError("closed in the handshake")
        line += sock.recv(data.find(b"\n") + 1 or len(data))
    return line
