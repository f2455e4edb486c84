"""One HTTP/1.1 client connection and the responses received on it.

A pooled HTTP client hides whether it has sent a request again, and which bytes
belong to which response. Here, an exchange is a single request and its
response. Any other bytes received make the connection unfit for reuse.
"""

import datetime
import errno
import socket
import typing

from gevent import socket as gevent_socket
from geventhttpclient import response as response_module

from arbutuscove.kernel import turns
from arbutuscove.storage import http

READ_SIZE_BYTES = turns.TURN_BYTES
TRANSFER_ENCODING = "transfer-encoding"
# The response heads of model engines and stores have some hundred bytes.
# Informational responses before a final one count as part of its head.
MAX_HEAD_BYTES = 65536
# Limit of chunk sizes and trailers, in addition to `FRAMING_RATIO` bytes for
# each body byte: a chunk of one byte has five bytes of framing.
MAX_FRAMING_BYTES = 65536
FRAMING_RATIO = 8  # allowed framing bytes per body byte
# Body bytes that were received and not yet read with `pop_body`.
MAX_BUFFERED_BODY_BYTES = 131072
# The kernel doubles it. It bounds what an answer that its caller reads slowly
# takes here; by default the kernel lets it grow to megabytes.
RECEIVE_BUFFER_BYTES = 131072
ZERO = datetime.timedelta()
# A peer that has lost power or network sends neither an answer nor a reset. On
# Linux, TCP_USER_TIMEOUT decides in both cases: a connection with
# unacknowledged data ends after it, an idle one when the first keep-alive probe
# after it is due, three seconds after the last byte. The number of probes has
# no effect beside it; it would give the same time.
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2500
READ_ERRORS = (OSError, ValueError, response_module.HTTPParseError)


class ResponseTimeoutError(http.NoResponseError):
    """No bytes were received before the timeout; the connection is open."""


class NoSocketError(http.NotSentError):
    """This process could not open a socket; the peer is not the cause."""


class OversizeError(ValueError):
    """A response exceeds a size limit; it may be endless."""


class _ExtraBytesError(ValueError):
    """A second response begins after a complete one."""


class ResponseParser(response_module.HTTPResponse):
    """Parses one final response; bytes after it set `has_extra_bytes`.

    A faulty upstream may send an endless head, body or chunk framing, so the
    size of each is limited. Of the body, only bytes not yet read count.
    """

    def __init__(
        self, method: str, max_buffered_body: int = MAX_BUFFERED_BODY_BYTES
    ) -> None:
        super().__init__(method)
        self.has_extra_bytes = False
        self._max_buffered_body = max_buffered_body
        self._head_size = 0
        self._body_size = 0
        self._framing_size = 0

    def feed(self, data: str | bytes) -> None:
        """Parses received bytes; b"" means that the peer closed the connection.

        Raises:
            OversizeError: the response exceeds a size limit.
            ValueError: the response has an unknown transfer coding.
        """
        in_head = not self.has_head()
        buffered = len(self._body_buffer)
        try:
            super().feed(data)
        except (_ExtraBytesError, response_module.HTTPParseError):
            if not self.is_complete():
                raise
            self.has_extra_bytes = True
        self._count_bytes(len(data), len(self._body_buffer) - buffered, in_head)

    def _count_bytes(self, size: int, body_size: int, in_head: bool) -> None:
        if len(self._body_buffer) > self._max_buffered_body:
            raise OversizeError("the body passes the bound")
        if in_head:
            self._head_size += size - body_size
            if self._head_size > MAX_HEAD_BYTES:
                raise OversizeError("the head passes the bound")
            return
        self._body_size += body_size
        self._framing_size += size - body_size
        allowance = FRAMING_RATIO * self._body_size
        if self._framing_size > MAX_FRAMING_BYTES + allowance:
            raise OversizeError("the framing passes the bound")

    def is_complete(self) -> bool:
        """Returns whether a final response is complete."""
        return bool(self.message_complete) and self.get_code() >= 200

    def has_head(self) -> bool:
        """Returns whether the head of a final response is complete."""
        return bool(self.headers_complete) and self.get_code() >= 200

    def get_header(self, name: str) -> str | None:
        """Returns a header value (the first if repeated), or None."""
        value = self.get(name)
        if isinstance(value, list):
            return value[0] if value else None
        return value

    def pop_body(self) -> bytes:
        """Returns and clears the body bytes received since the last call."""
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        return body

    def _on_message_begin(self) -> None:
        if self.is_complete():
            raise _ExtraBytesError("a second response began")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        http.check_status(self.get_code())
        result = super()._on_headers_complete()
        value = self.get(TRANSFER_ENCODING)
        if value is not None and (
            isinstance(value, list) or value.strip().lower() != "chunked"
        ):
            # No request asks for a coding. The bytes up to the end of the
            # connection would pass for the body.
            raise ValueError(f"unknown transfer coding {value!r:.100}")
        return result


class Connection:
    """One open connection to an address.

    `exchange_count` counts the requests sent on it. `idle_since` is a monotonic
    time; `max_idle_time` is derived from the peer's `Keep-Alive` header, None
    without one. `carrier` is the daemon through which a tunnel leads to the
    address, None on a direct connection.
    """

    def __init__(self, sock: gevent_socket.socket, address: http.Address):
        self.address = address
        self.carrier: http.Address | None = None
        self.exchange_count = 0
        self.idle_since = ZERO
        self.max_idle_time: datetime.timedelta | None = None
        self._socket = sock
        self._turn = turns.Turn()
        self._parser: ResponseParser | None = None

    def send(
        self,
        method: str,
        data: bytes,
        max_buffered_body: int = MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        """Sends a whole request; `receive` then reads its response.

        Args:
            method: the method of the request.
            data: the encoded request.
            max_buffered_body: maximum bytes of the response body that may be
                buffered at once.

        Raises:
            NoResponseError: sending failed; the peer may have received a part.
        """
        self._parser = ResponseParser(method, max_buffered_body)
        self.exchange_count += 1
        try:
            self._socket.settimeout(
                KEEP_ALIVE_IDLE_SECONDS + KEEP_ALIVE_INTERVAL_SECONDS
            )
            self._socket.sendall(data)
        except READ_ERRORS as error:
            raise http.NoResponseError(f"{self.address}: {error}") from error

    def receive(self, timeout: datetime.timedelta) -> ResponseParser:
        """Waits for more bytes and returns the response received so far.

        Args:
            timeout: longest wait; nothing is read if it is not positive.

        Raises:
            ResponseTimeoutError: no bytes were received before the timeout.
            NoResponseError: the connection was lost, or the bytes are no valid
                HTTP response or exceed a size limit.
        """
        parser = self._parser
        if parser is None:
            raise http.NoResponseError(f"{self.address}: nothing was sent")
        if parser.is_complete():
            return parser
        if timeout <= ZERO:
            # Even if bytes are ready: a deadline must also end a response whose
            # bytes never pause.
            raise ResponseTimeoutError(f"{self.address}: no time is left")
        try:
            self._socket.settimeout(max(timeout.total_seconds(), 0.0005))
            data = self._socket.recv(READ_SIZE_BYTES)
            parser.feed(data)
        except TimeoutError as error:
            if error.errno == errno.ETIMEDOUT:
                # The kernel gave the connection up. The next read would return
                # the end of the stream, as after a complete response.
                raise http.NoResponseError(
                    f"{self.address}: {error}"
                ) from error
            raise ResponseTimeoutError(
                f"{self.address}: nothing arrived"
            ) from error
        except READ_ERRORS as error:
            raise http.NoResponseError(f"{self.address}: {error}") from error
        if not data and not parser.is_complete():
            raise http.NoResponseError(f"{self.address}: closed early")
        self._turn.spend(len(data))
        return parser

    def discard_response(self) -> None:
        """Discards a complete response, so that the next one can be received.

        Used if the response belongs to an earlier request on the connection.

        Raises:
            NoResponseError: the response is incomplete, or bytes of the next
                response were received with it and are lost.
        """
        parser = self._parser
        if parser is None or not parser.is_complete() or parser.has_extra_bytes:
            raise http.NoResponseError(f"{self.address}: responses are mixed")
        self._parser = ResponseParser(parser.method)

    def is_reusable(self) -> bool:
        """Returns whether the last exchange allows another one.

        The response must be complete, without extra bytes after it, and allow
        keep-alive.
        """
        parser = self._parser
        return (
            parser is not None
            and parser.is_complete()
            and not parser.has_extra_bytes
            and bool(parser.should_keep_alive())
        )

    def is_still_idle(self) -> bool:
        """Returns whether an idle connection is open without unread bytes."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            self._socket.setblocking(False)
            self._socket.recv(1, flags)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Closes the connection."""
        self._socket.close()

    def detach(self) -> gevent_socket.socket:
        """Returns the open socket, which the caller then has to close.

        The connection must not be used afterwards.
        """
        return self._socket


def connect(
    address: http.Address, timeout: datetime.timedelta, source_host: str = ""
) -> Connection:
    """Opens a connection.

    Args:
        address: the address of the peer.
        timeout: longest time until the connection is established.
        source_host: own IP address to connect from; the kernel chooses it if
            this is empty.

    Raises:
        RefusedError: no process listens on the port.
        NoSocketError: this process has no file descriptor left for it.
        NotSentError: the connection was not established within `timeout`.
    """
    try:
        sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise NoSocketError(f"{address}: {error}") from error
    try:
        set_options(sock)
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        sock.settimeout(timeout.total_seconds())
        if source_host:
            sock.bind((source_host, 0))
        sock.connect((address.host, address.port))
    except ConnectionRefusedError as error:
        sock.close()
        raise http.RefusedError(f"{address}: {error}") from error
    except OSError as error:
        sock.close()
        raise http.NotSentError(f"{address}: {error}") from error
    except BaseException:
        sock.close()
        raise
    return Connection(sock, address)


def encode_request(
    method: str,
    target: str,
    fields: typing.Iterable[tuple[str, str]],
    body: bytes,
) -> bytes:
    """Returns an HTTP/1.1 request; `Content-Length` is added to `fields`."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def set_options(sock: socket.socket) -> None:
    """Sets the options by which the loss of a peer is noticed.

    Raises:
        OSError: the peer has closed the connection.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
