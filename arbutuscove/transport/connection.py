"""One client connection and the responses that arrive on it.

A pooled HTTP client hides whether a request was sent again and which bytes
belong to which response. Here each exchange is one send and one response, and
whatever arrives besides makes the connection unfit for another exchange.
"""

import datetime
import socket
import typing

from gevent import socket as gevent_socket
from geventhttpclient import response as response_module

from arbutuscove.storage import http

READ_SIZE_BYTES = 65536  # bytes
# Heads of model engines and stores have some hundred bytes. Informational
# responses before a final one count as part of its head.
MAX_HEAD_BYTES = 65536  # bytes
# Chunk sizes and trailers, beyond what the chunks of a body explain. A chunk of
# one byte comes with five others.
MAX_FRAMING_BYTES = 65536  # bytes
FRAMING_RATIO = 8  # framing bytes for each byte of a body
# Body bytes that arrived and that nobody took yet.
MAX_BUFFERED_BODY_BYTES = 131072  # bytes
ZERO = datetime.timedelta()
# A peer that lost power or is cut off answers nothing and resets nothing;
# probes each second end such a connection within three seconds.
KEEP_ALIVE_IDLE_SECONDS = 1  # seconds
KEEP_ALIVE_INTERVAL_SECONDS = 1  # seconds
KEEP_ALIVE_PROBES = 2
TCP_USER_TIMEOUT_MS = 2500  # milliseconds
READ_ERRORS = (OSError, ValueError, response_module.HTTPParseError)


class ResponseTimeoutError(http.NoResponseError):
    """Nothing arrived in the time given; the connection is still open."""


class OversizeError(ValueError):
    """A response passes a bound on its size; it may have no end."""


class _ExtraBytesError(ValueError):
    """A second response began behind a complete one."""


class ResponseParser(response_module.HTTPResponse):
    """Parses one final response; bytes behind it set `overrun`.

    Upstreams in trouble may send bytes without end, in a head, in a body or
    between its chunks, so each is bounded.
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
        """Takes bytes as they arrive; b"" is the end of the connection.

        Raises:
            OversizeError: the response passes a bound.
        """
        in_head = not self.has_head()
        held = len(self._body_buffer)
        try:
            super().feed(data)
        except (_ExtraBytesError, response_module.HTTPParseError):
            if not self.is_complete():
                raise
            self.has_extra_bytes = True
        self._count(len(data), len(self._body_buffer) - held, in_head)

    def _count(self, size: int, body: int, in_head: bool) -> None:
        if len(self._body_buffer) > self._max_buffered_body:
            raise OversizeError("the body passes the bound")
        if in_head:
            self._head_size += size - body
            if self._head_size > MAX_HEAD_BYTES:
                raise OversizeError("the head passes the bound")
            return
        self._body_size += body
        self._framing_size += size - body
        explained = FRAMING_RATIO * self._body_size
        if self._framing_size > MAX_FRAMING_BYTES + explained:
            raise OversizeError("the framing passes the bound")

    def is_complete(self) -> bool:
        """Returns whether a final response is complete."""
        return bool(self.message_complete) and self.get_code() >= 200

    def has_head(self) -> bool:
        """Returns whether the head of a final response is complete."""
        return bool(self.headers_complete) and self.get_code() >= 200

    def get_header(self, name: str) -> str | None:
        """Returns a header; the first if it came more than once."""
        value = self.get(name)
        if isinstance(value, list):
            return value[0] if value else None
        return value

    def pop_body(self) -> bytes:
        """Returns the body bytes that arrived since the last call."""
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        return body

    def _on_message_begin(self) -> None:
        if self.is_complete():
            raise _ExtraBytesError("a second response began")
        super()._on_message_begin()


class Connection:
    """One open connection to an address."""

    def __init__(self, sock: gevent_socket.socket, address: http.Address):
        self.address = address
        self.exchange_count = 0
        self.idle_since = ZERO
        self.max_idle_time: datetime.timedelta | None = None
        self._socket = sock
        self._parser: ResponseParser | None = None

    def send(
        self,
        method: str,
        data: bytes,
        max_buffered_body: int = MAX_BUFFERED_BODY_BYTES,
    ) -> None:
        """Sends a whole request and expects its response.

        Args:
            method: the method of the request.
            data: its bytes.
            max_buffered_body: most bytes of the response's body held at once.

        Raises:
            NoResponseError: the connection broke; part may have arrived.
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
        """Waits for more bytes and returns the response so far.

        Raises:
            ResponseTimeoutError: nothing arrived in time.
            NoResponseError: the connection broke or sent no HTTP.
        """
        parser = self._parser
        if parser is None:
            raise http.NoResponseError(f"{self.address}: nothing was sent")
        if parser.is_complete():
            return parser
        if timeout <= ZERO:
            # Bytes may be there all the time; a deadline ends them, too.
            raise ResponseTimeoutError(f"{self.address}: no time is left")
        try:
            self._socket.settimeout(max(timeout.total_seconds(), 0.0005))
            data = self._socket.recv(READ_SIZE_BYTES)
            parser.feed(data)
        except TimeoutError as error:
            raise ResponseTimeoutError(
                f"{self.address}: nothing arrived"
            ) from error
        except READ_ERRORS as error:
            raise http.NoResponseError(f"{self.address}: {error}") from error
        if not data and not parser.is_complete():
            raise http.NoResponseError(f"{self.address}: closed early")
        return parser

    def discard_response(self) -> None:
        """Reads the next response instead of one that was not awaited.

        Raises:
            NoResponseError: the bytes of the next one are already lost.
        """
        parser = self._parser
        if parser is None or not parser.is_complete() or parser.has_extra_bytes:
            raise http.NoResponseError(f"{self.address}: responses are mixed")
        self._parser = ResponseParser(parser.method)

    def is_reusable(self) -> bool:
        """Returns whether the last exchange left the connection clean."""
        parser = self._parser
        return (
            parser is not None
            and parser.is_complete()
            and not parser.has_extra_bytes
            and bool(parser.should_keep_alive())
        )

    def is_still_idle(self) -> bool:
        """Returns whether nothing arrived while the connection was idle."""
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


def connect(address: http.Address, timeout: datetime.timedelta) -> Connection:
    """Opens a connection.

    Raises:
        NotSentError: no connection within `timeout`.
    """
    sock = gevent_socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        _set_options(sock)
        sock.settimeout(timeout.total_seconds())
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
    """Returns a request in HTTP/1.1 form; `fields` hold no length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method not in ("GET", "HEAD", "DELETE"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def _set_options(sock: gevent_socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
