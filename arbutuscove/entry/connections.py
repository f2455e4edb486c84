"""HTTP server that limits the resources of each caller connection.

The WSGI server of gevent sets no timeout, reads up to 6.5 MB of headers and
reads the body of a refused request to its end. `CallerServer` limits times,
sizes and the number of connections, and answers an invalid request head with a
reason code. Exceeding a limit ends only the connection that exceeded it.
"""

import collections
import dataclasses
import datetime
import errno
import http.client
import math
import re
import socket
import time
import typing
from collections import abc

import gevent
import msgspec
from gevent import pywsgi

from arbutuscove.admission import work as work_module
from arbutuscove.entry import refusals
from arbutuscove.kernel import turns
from arbutuscove.requests import failures
from arbutuscove.requests import presence
from arbutuscove.storage import http as storage_http

RETRY_AFTER = datetime.timedelta(seconds=2)
# How long a refused connection stays open, so that its client can read the
# refusal.
LINGER_TIMEOUT = datetime.timedelta(seconds=1)
# Keep-alive probes of an idle connection within `Bounds.loss_timeout`.
KEEP_ALIVE_PROBES = 4
MAX_LINGERING = 256  # concurrently lingering refused connections
READ_SIZE_BYTES = turns.TURN_BYTES
REQUEST_BYTES = 4096  # a request counts as so much work beside its body
# Body bytes in chunks that are read in one turn: chunks may have a byte each,
# which costs some microseconds.
CHUNKED_READ_SIZE_BYTES = 1024
HEADER_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
PRESENCE_KEY = "arbutuscove.presence"  # key in the WSGI environment
TRANSFER_ENCODINGS = ("", "chunked")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits of one connection, and on the number of connections.

    `head_timeout` runs from the first byte of a request to the end of its
    headers, `body_timeout` from the first read of the body to its end;
    `idle_timeout` limits the wait for a request, and `write_timeout` one write
    to a client that does not read. `loss_timeout` limits the silence of a
    client that acknowledges neither data nor keep-alive probes, or has no room
    for data; it is longer than `write_timeout`, so that a client that pauses is
    not taken for lost.
    """

    max_header_bytes: int = 32768  # the largest documented header is 2 KB
    head_timeout: datetime.timedelta = datetime.timedelta(seconds=5)
    body_timeout: datetime.timedelta = datetime.timedelta(seconds=20)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=60)
    write_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    loss_timeout: datetime.timedelta = datetime.timedelta(seconds=20)
    max_connections: int = 4096
    # A quarter of all, so that one client host cannot lock out the others.
    max_connections_per_address: int = 1024


class _HeadReader:
    """Reads header lines up to a total number of bytes."""

    def __init__(self, stream: typing.Any, limit: int) -> None:
        self._stream = stream
        self._remaining = limit

    def readline(self, limit: int) -> bytes:
        """Returns the next line, of at most `limit` bytes.

        Raises:
            BadRequestError: the headers are too large, or the connection ended
                within them. The parser takes an empty line for their end.
        """
        wanted = min(limit, self._remaining + 1)
        line: bytes = self._stream.readline(wanted)
        if len(line) < wanted and not line.endswith(b"\n"):
            raise refusals.BadRequestError(
                400, "invalid_headers", "the request head is incomplete"
            )
        self._remaining -= len(line)
        if self._remaining < 0:
            raise refusals.BadRequestError(
                431, "headers_too_large", "the request headers are too large"
            )
        return line


class _Body(pywsgi.Input):
    """A request body with a read deadline, left unread if it is refused."""

    def __init__(
        self, handler: "CallerHandler", stream: typing.Any, chunked: bool
    ) -> None:
        super().__init__(
            stream, handler.content_length, handler.socket, chunked
        )
        self._handler = handler
        self._deadline: float | None = None
        if not handler.headers.get("Expect"):
            self.socket = None  # the client expects no interim response

    def read(self, length: int | None = None) -> bytes:
        """Returns up to `length` bytes of the body; None reads to its end.

        Raises:
            BadRequestError: the body did not arrive in time.
        """
        if self._deadline is None:
            timeout = self._handler.server.bounds.body_timeout
            self._deadline = time.monotonic() + timeout.total_seconds()
        remaining = max(0.0, self._deadline - time.monotonic())
        timeout_error = refusals.BadRequestError(
            408, "body_timeout", "the request body did not arrive in time"
        )
        with gevent.Timeout(remaining, timeout_error):
            return b"".join(self._read_pieces(length))

    def _read_pieces(self, length: int | None) -> abc.Iterator[bytes]:
        """Yields the body in pieces, between which other greenlets run."""
        size = READ_SIZE_BYTES
        if self.chunked_input:
            size = CHUNKED_READ_SIZE_BYTES
        turn = turns.Turn()
        left = math.inf if length is None else length
        while left > 0:
            wanted = int(min(size, left))
            piece = bytes(super().read(wanted))
            yield piece
            if len(piece) < wanted:
                return
            left -= wanted
            # Chunks count as much as they may cost.
            turn.spend(READ_SIZE_BYTES)

    def has_unread_bytes(self) -> bool:
        """Returns whether part of the body was not read."""
        if self.chunked_input:
            return bool(self.chunk_length != 0)
        return bool(self.position < (self.content_length or 0))

    def _discard(self) -> None:
        """Closes the connection instead of reading the rest of the body."""
        if self.has_unread_bytes():
            self._handler.close_connection = True
            _linger(self._handler.socket, is_shutdown_needed=False)


class CallerHandler(pywsgi.WSGIHandler):
    """Serves the requests of one connection."""

    def __init__(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        super().__init__(*args, **kwargs)
        self.turn = turns.Turn()

    def handle_one_request(self) -> typing.Any:
        """Serves one request; returns None to end the connection."""
        bounds = self.server.bounds
        # The next request may have arrived already.
        self.turn.spend(REQUEST_BYTES)
        try:
            timeout = bounds.idle_timeout.total_seconds()
            # A server that closes still serves requests that have arrived.
            self.socket.settimeout(0 if self.server.is_closing else timeout)
            if not self.server.wait_idle(self.socket, self.rfile):
                return None
            self.socket.settimeout(bounds.write_timeout.total_seconds())
        except (OSError, ValueError):
            return None
        head_timer = gevent.Timeout.start_new(
            bounds.head_timeout.total_seconds()
        )
        self._head_timer = head_timer
        try:
            result = super().handle_one_request()
        except gevent.Timeout as expired:
            if expired is not head_timer:
                raise
            timeout_error = refusals.BadRequestError(
                408, "headers_timeout", "the headers did not arrive in time"
            )
            return self._refuse(timeout_error)
        except refusals.BadRequestError as error:
            return self._refuse(error)
        finally:
            head_timer.close()
        if isinstance(result, tuple):
            invalid_error = refusals.BadRequestError(
                int(result[0]), "invalid_request", "the request is not HTTP/1.1"
            )
            return self._refuse(invalid_error)
        return result

    def MessageClass(  # noqa: N802 - name given by pywsgi
        self, *args: typing.Any
    ) -> typing.Any:
        """Returns the parsed headers, whose total size is limited."""
        reader = _HeadReader(self.rfile, self.server.bounds.max_header_bytes)
        return super().MessageClass(reader)

    def read_request(self, raw_requestline: str) -> bool:
        """Reads the headers and rejects malformed or ambiguous ones."""
        is_valid = super().read_request(raw_requestline)
        _check_headers(self.headers)
        return bool(is_valid)

    def get_environ(self) -> dict[str, typing.Any]:
        """Returns the WSGI environment and stops the timer of the headers.

        The headers have arrived completely when pywsgi calls this.
        """
        self._head_timer.close()
        environ: dict[str, typing.Any] = super().get_environ()
        is_chunked = self.headers.get("Transfer-Encoding", "") != ""
        self.wsgi_input = _Body(self, self.rfile, is_chunked)
        environ["wsgi.input"] = self.wsgi_input
        environ["wsgi.input_terminated"] = True
        environ[PRESENCE_KEY] = presence.SocketPresence(self.socket)
        return environ

    def finalize_headers(self) -> None:
        """Adds `Connection: close` if the body was not read completely.

        Otherwise the client could send its next request on this connection,
        where it would be discarded with the rest of the body.
        """
        body = self.wsgi_input
        if isinstance(body, _Body) and body.has_unread_bytes():
            self.close_connection = True
            names = [name.lower() for name, _ in self.response_headers]
            if b"connection" not in names:
                self.response_headers.append((b"Connection", b"close"))
        super().finalize_headers()

    def handle_error(self, *error: typing.Any) -> None:
        """Closes the connection after a failure while a response is sent.

        Other errors of the operating system, for example a lack of file
        descriptors, are no reason to leave a caller without an answer.
        """
        if isinstance(error[1], ConnectionError | TimeoutError) or (
            isinstance(error[1], OSError) and self.headers_sent
        ):
            # ETIMEDOUT: the kernel gave the connection up.
            is_stalled = (
                isinstance(error[1], TimeoutError)
                and error[1].errno != errno.ETIMEDOUT
            )
            self.server.count("write_stalled" if is_stalled else "client_lost")
            self.close_connection = True
            return
        super().handle_error(*error)

    def _handle_client_error(self, error: Exception) -> None:
        if isinstance(error, refusals.BadRequestError):
            raise error
        raise refusals.BadRequestError(
            400, "invalid_headers", "the request head is malformed"
        ) from error

    def _refuse(self, error: refusals.BadRequestError) -> None:
        self.server.count(error.refusal.code)
        _send_refusal(self.socket, error.refusal)


class CallerServer(pywsgi.WSGIServer):
    """Accepts caller connections within limits.

    Args:
        listen: the address to listen on.
        application: the WSGI application.
        bounds: the limits on connections.
        count: called with the reason code of each refused connection or
            request head, and of each client that was lost or stalled while
            a response was sent.

    Attributes:
        is_closing: whether no more requests begin.
    """

    handler_class = CallerHandler

    def __init__(
        self,
        listen: storage_http.Address,
        application: typing.Any,
        bounds: Bounds,
        count: abc.Callable[[str], None],
    ) -> None:
        # Without these names the server looks up its host in the DNS.
        names = {"SERVER_NAME": listen.host, "SERVER_PORT": str(listen.port)}
        super().__init__(
            (listen.host, listen.port),
            application,
            log=None,
            error_log=None,
            environ=names,
        )
        self.bounds = bounds
        self.count = count
        self._open_by_address: collections.Counter[str] = collections.Counter()
        self._lingering = 0
        self.is_closing = False
        self._idle: set[typing.Any] = set()  # sockets

    def handle(self, sock: typing.Any, address: typing.Any) -> None:
        """Serves a connection, or refuses it if too many are open."""
        host = address[0]
        is_full = self._open_by_address.total() >= self.bounds.max_connections
        is_address_full = (
            self._open_by_address[host]
            >= self.bounds.max_connections_per_address
        )
        if is_full or is_address_full:
            self._refuse_connection(sock)
            return
        # Without this the second small write of a response waits up to 40 ms
        # for the client's delayed acknowledgement of the first.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _limit_silence(sock, self.bounds.loss_timeout)
        self._open_by_address[host] += 1
        try:
            super().handle(sock, address)
        finally:
            self._open_by_address[host] -= 1
            if not self._open_by_address[host]:
                del self._open_by_address[host]

    def close(self) -> None:
        """Stops accepting and closes idle connections.

        Requests that have arrived are served. Otherwise a request on an idle
        connection could begin while the process ends.
        """
        super().close()
        self.is_closing = True
        for sock in list(self._idle):
            if not _has_bytes(sock):
                self._idle.discard(sock)
                # Ends the wait of the handler, which closes the connection.
                _stop_reading(sock)

    def wait_idle(self, sock: typing.Any, stream: typing.Any) -> bool:
        """Waits for the first byte of the next request of a connection.

        Args:
            sock: the connection.
            stream: its reader.

        Returns:
            Whether a request begins.
        """
        self._idle.add(sock)
        try:
            # A request that begins after its connection was closed is not read.
            return bool(stream.peek(1)) and sock in self._idle
        finally:
            self._idle.discard(sock)

    def _refuse_connection(self, sock: typing.Any) -> None:
        self.count("too_many_connections")
        refusal = work_module.Refusal(
            status=503,
            code="too_many_connections",
            message="too many connections are open",
            retry_after=RETRY_AFTER,
        )
        try:
            if self._lingering < MAX_LINGERING:
                self._lingering += 1
                _send_refusal(sock, refusal)
                self._lingering -= 1
        finally:
            sock.close()


def _limit_silence(sock: typing.Any, timeout: datetime.timedelta) -> None:
    """Makes the kernel end a connection whose client is lost silently."""
    seconds = timeout.total_seconds()
    # The last probe of an idle connection is due when the time is over.
    interval = max(1, round(seconds / KEEP_ALIVE_PROBES))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, interval),
        (socket.TCP_KEEPINTVL, interval),
        (socket.TCP_USER_TIMEOUT, round(seconds * 1000)),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def _check_headers(message: typing.Any) -> None:
    """Rejects heads that HTTP parsers may interpret differently (RFC 9112)."""
    is_malformed = bool(message.defects) or bool(message.get_payload())
    if is_malformed or not all(
        map(HEADER_NAME_PATTERN.fullmatch, message.keys())
    ):
        raise refusals.BadRequestError(
            400, "invalid_headers", "a header line is malformed"
        )
    lengths = message.get_all("Content-Length", [])
    encoding = message.get("Transfer-Encoding", "").lower()
    if len(lengths) > 1 or not all(
        text.isascii() and text.isdigit() for text in lengths
    ):
        raise refusals.BadRequestError(
            400, "invalid_content_length", "Content-Length must be one number"
        )
    if encoding not in TRANSFER_ENCODINGS:
        raise refusals.BadRequestError(
            400,
            "unsupported_transfer_encoding",
            "only the chunked transfer encoding is supported",
        )


def _has_bytes(sock: typing.Any) -> bool:
    """Returns whether unread bytes have arrived; sets the time-out to 0."""
    sock.settimeout(0)
    try:
        return bool(sock.recv(1, socket.MSG_PEEK))
    except OSError:
        return False


def _stop_reading(sock: typing.Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RD)
    except OSError:
        return  # the client closed it first


def _send_refusal(sock: typing.Any, refusal: work_module.Refusal) -> None:
    run = failures.RunStatus.NOT_RUN
    body = msgspec.json.encode(refusals.build_body(refusal, run))
    fields = refusals.build_headers(refusal, run)
    fields["Content-Type"] = refusals.JSON_TYPE
    fields["Content-Length"] = str(len(body))
    fields["Connection"] = "close"
    reason = http.client.responses.get(refusal.status, "Refused")
    lines = [f"HTTP/1.1 {refusal.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    try:
        sock.settimeout(LINGER_TIMEOUT.total_seconds())
        sock.sendall(head + body)
    except OSError:
        return
    _linger(sock, is_shutdown_needed=True)


def _linger(sock: typing.Any, is_shutdown_needed: bool) -> None:
    """Reads and discards for a short time what the client still sends.

    Closing a socket with unread data resets the connection, and the reset can
    reach the client before the response that states the reason.
    """
    with gevent.Timeout(LINGER_TIMEOUT.total_seconds(), False):
        try:
            if is_shutdown_needed:
                sock.shutdown(socket.SHUT_WR)
            turn = turns.Turn()
            while data := sock.recv(READ_SIZE_BYTES):
                turn.spend(len(data))
        except OSError:
            return
