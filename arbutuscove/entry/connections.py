"""HTTP server that limits the resources of each caller connection.

The WSGI server of gevent sets no timeout, reads up to 6.5 MB of headers and
reads the body of a refused request to its end. `CallerServer` limits times,
sizes and the number of connections, and answers an invalid request head with a
reason code. Exceeding a limit ends only the connection that exceeded it.
"""

import dataclasses
import datetime
import errno
import http.client
import re
import socket
import typing
from collections import abc

import gevent
import msgspec
from gevent import pywsgi

from arbutuscove.admission import work as work_module
from arbutuscove.entry import bodies
from arbutuscove.entry import memory
from arbutuscove.entry import places
from arbutuscove.entry import refusals
from arbutuscove.entry import sockets
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import turns
from arbutuscove.requests import failures
from arbutuscove.requests import presence
from arbutuscove.storage import http as storage_http

RETRY_AFTER = datetime.timedelta(seconds=2)
# Keep-alive probes of an idle connection within `Bounds.loss_timeout`.
KEEP_ALIVE_PROBES = 4
# Refused connections that stay open so that their clients read the refusal, at
# most, and as a part of those that are served: each takes a descriptor.
MAX_LINGERING = 256
LINGERING_SHARE = 0.125
# A quarter of all, so that one client host cannot lock out the others.
MAX_CONNECTIONS_PER_ADDRESS = memory.MAX_CONNECTIONS // 4
# Part of the connections that one address may open where they are few. Callers
# of a whole site may come through one address.
MAX_ADDRESS_SHARE = 0.75
REQUEST_BYTES = 4096  # a request counts as so much work beside its body
HEADER_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# Of callers' sockets; the kernel doubles them. They bound the bytes that have
# arrived and are not yet read, and those that a caller has not yet taken.
SOCKET_BUFFER_BYTES = 65536
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
    max_connections: int = memory.MAX_CONNECTIONS
    max_connections_per_address: int = MAX_CONNECTIONS_PER_ADDRESS


def compute_bounds(memory_bytes: int, max_descriptors: int) -> Bounds:
    """Returns the limits of a daemon on a VM.

    Args:
        memory_bytes: memory of the VM.
        max_descriptors: most open descriptors of the process.
    """
    connections = memory.compute_max_connections(memory_bytes, max_descriptors)
    return Bounds(
        max_connections=connections,
        max_connections_per_address=min(
            MAX_CONNECTIONS_PER_ADDRESS,
            int(connections * MAX_ADDRESS_SHARE),
        ),
    )


def create_places(bounds: Bounds) -> places.Places:
    """Returns the places of a daemon's connections."""
    return places.Places(
        bounds.max_connections,
        bounds.max_connections_per_address,
        clock_module.SystemClock(),
    )


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
        place = self.server.get_place(self.socket)
        environ: dict[str, typing.Any] = super().get_environ()
        is_chunked = self.headers.get("Transfer-Encoding", "") != ""
        self.wsgi_input = bodies.RequestBody(
            self, self.rfile, is_chunked, self.server.budget, place
        )
        if place is not None and not self.wsgi_input.has_unread_bytes():
            place.complete()
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
        if isinstance(body, bodies.RequestBody) and body.has_unread_bytes():
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
        place = self.server.get_place(self.socket)
        if place is not None and place.is_lost:
            return
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
        budget: memory for the bodies of requests; None for no bound.
        shared_places: places that it shares with other servers of the daemon;
            None for own ones, as `bounds` has them.
        is_status: whether its connections may take the spare places.

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
        budget: memory.ByteBudget | None = None,
        shared_places: places.Places | None = None,
        is_status: bool = False,
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
        self.budget = budget
        self._places = shared_places or create_places(bounds)
        self._is_status = is_status
        self._places_by_socket: dict[typing.Any, places.Place] = {}
        self._lingering = 0
        self._max_lingering = min(
            MAX_LINGERING,
            max(1, int(bounds.max_connections * LINGERING_SHARE)),
        )
        self.is_closing = False
        self._idle: set[typing.Any] = set()  # sockets

    def init_socket(self) -> None:
        """Opens the listening socket; connections inherit its options."""
        super().init_socket()
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )

    def handle(self, sock: typing.Any, address: typing.Any) -> None:
        """Serves a connection, or refuses it if too many are open."""
        try:
            place = self._places.open(
                address[0], lambda: self._evict(sock), self._is_status
            )
        except places.NoPlaceError:
            self._refuse_connection(sock)
            return
        # Without this the second small write of a response waits up to 40 ms
        # for the client's delayed acknowledgement of the first.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _limit_silence(sock, self.bounds.loss_timeout)
        self._places_by_socket[sock] = place
        try:
            super().handle(sock, address)
        finally:
            del self._places_by_socket[sock]
            place.leave()

    def get_place(self, sock: typing.Any) -> places.Place | None:
        """Returns the place of a connection."""
        return self._places_by_socket.get(sock)

    def _evict(self, sock: typing.Any) -> None:
        """Ends the wait of a handler, which closes its connection."""
        self.count("connection_evicted")
        self._idle.discard(sock)
        sockets.stop_reading(sock)

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
                sockets.stop_reading(sock)

    def wait_idle(self, sock: typing.Any, stream: typing.Any) -> bool:
        """Waits for the first byte of the next request of a connection.

        Args:
            sock: the connection.
            stream: its reader.

        Returns:
            Whether a request begins.
        """
        place = self.get_place(sock)
        if place is not None:
            if place.is_lost:
                return False
            place.begin()
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
            if self._lingering < self._max_lingering:
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
        sock.settimeout(sockets.LINGER_TIMEOUT.total_seconds())
        sock.sendall(head + body)
    except OSError:
        return
    sockets.linger(sock, is_shutdown_needed=True)
