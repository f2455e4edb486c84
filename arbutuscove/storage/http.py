"""JSON client for HTTP requests to platform and upstream addresses.

The errors distinguish whether the request may have taken effect: after
`NotSentError` it cannot have, after `NoResponseError` it may have.
"""

import datetime
import errno
import functools
import ipaddress
import re
import typing
from collections import abc

import geventhttpclient
import msgspec
from gevent import socket
from geventhttpclient import connectionpool
from geventhttpclient import response as response_module

from arbutuscove.kernel import decoding
from arbutuscove.kernel import turns

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
REQUEST_TIMEOUT = datetime.timedelta(seconds=2)
MAX_CONNECTIONS = 8  # pooled per address; bounds sockets to one server
# Exceptions raised while a response is read. `HTTPParseError`, which is not an
# `OSError`, is also raised if the connection is closed before the headers are
# complete.
READ_ERRORS = (OSError, ValueError, response_module.HTTPParseError)
MAX_HOST_LENGTH = 253  # characters of a host name (RFC 1035)
MAX_PORT = 65535
MAX_BODY_BYTES = 64 * 1024 * 1024  # of a response that is decoded
_DECODER = decoding.JsonDecoder[typing.Any](typing.Any, MAX_BODY_BYTES)
_PORT = re.compile(r"[0-9]{1,5}")
_LABEL = re.compile(r"(?!-)[A-Za-z0-9_-]{1,63}(?<!-)")

# Final statuses (RFC 9110, section 15). Anything else is no answer.
FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = range(100, 200)
# Ends HTTP/1.1 on the connection, and only if a request asks for it.
SWITCHING_PROTOCOLS = 101

ValueT = typing.TypeVar("ValueT")


class HttpError(Exception):
    """A request failed without a complete HTTP response."""


class NotSentError(HttpError):
    """The connection was not established; the request had no effect."""


class RefusedError(NotSentError):
    """The host refused the connection: no process listens on the port."""


class NoResponseError(HttpError):
    """The request was sent but its response was lost."""


class Address(typing.NamedTuple):
    """IP address and TCP port of a server."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parses `host:port`, an IPv4 address or host name and a TCP port.

        Example:
            >>> Address.parse("127.0.0.1:80")
            Address(host='127.0.0.1', port=80)

        Raises:
            ValueError: the host is no IPv4 address or host name, or the port
                is not a decimal number from 1 to 65535.
        """
        address = cls.parse_listen(text)
        if address.port == 0:
            raise ValueError("the port of a server cannot be 0")
        return address

    @classmethod
    def parse_listen(cls, text: str) -> "Address":
        """Parses an address to listen on; port 0 is any free port.

        Example:
            >>> Address.parse_listen("127.0.0.1:0")
            Address(host='127.0.0.1', port=0)

        Raises:
            ValueError: the host is no IPv4 address or host name, or the port
                is not a decimal number up to 65535.
        """
        return cls(*_parse_address(text))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


# The addresses of all VMs are parsed again with each of their heartbeats.
@functools.lru_cache(maxsize=4096)
def _parse_address(text: str) -> tuple[str, int]:
    if len(text) > MAX_HOST_LENGTH + len(":65535"):
        raise ValueError(f"address has {len(text)} characters")
    host, _, port = text.rpartition(":")
    if not _is_host(host) or not _PORT.fullmatch(port):
        raise ValueError(f"address must be host:port, not {text!r}")
    if int(port) > MAX_PORT:
        raise ValueError(f"port {port} is out of range")
    return host, int(port)


def check_status(status: int) -> None:
    """Checks the status of a response whose head is complete.

    Raises:
        ValueError: neither an interim nor a final response has it.
    """
    is_interim = status in INTERIM_STATUSES and status != SWITCHING_PROTOCOLS
    if not is_interim and status not in FINAL_STATUSES:
        raise ValueError(f"{status} is no status of an answer")


def _is_host(text: str) -> bool:
    """Returns whether the text is an IPv4 address or a host name."""
    labels = text.split(".")
    if len(text) > MAX_HOST_LENGTH or not all(map(_LABEL.fullmatch, labels)):
        return False
    if not labels[-1].isdecimal():
        return True
    # A name whose last label is a number would be resolved as an address.
    try:
        ipaddress.IPv4Address(text)
    except ValueError:
        return False
    return True


OpenSocket = abc.Callable[[Address, datetime.timedelta], typing.Any]


class Reply(typing.NamedTuple):
    """Status, body and headers of a complete HTTP response."""

    status: int
    body: bytes
    headers: abc.Mapping[str, str]

    def json(self) -> typing.Any:
        """Decodes the body as JSON.

        Raises:
            NoResponseError: the body is not JSON or beyond a limit, so the
                outcome of the request is unknown.
        """
        try:
            return _DECODER.decode(self.body)
        except decoding.DecodingError as error:
            raise NoResponseError(f"response is not JSON: {error}") from error

    def decode(self, value_type: type[ValueT]) -> ValueT:
        """Decodes the body as JSON of a type.

        Raises:
            NoResponseError: the body is not of that type, so the outcome of
                the request is unknown.
        """
        try:
            return decoding.convert(self.json(), value_type)
        except decoding.DecodingError as error:
            raise NoResponseError(f"response is invalid: {error}") from error


class _BoundedSocket:
    """A socket that limits the bytes of a response, used like a plain one.

    The HTTP library keeps whole heads, bodies and lines; a faulty server may
    send them without an end.
    """

    def __init__(self, sock: typing.Any, max_bytes: int) -> None:
        self.is_direct = isinstance(sock, socket.socket)
        self._socket = sock
        self._max_bytes = max_bytes
        self._received = 0
        self._turn = turns.Turn()

    def __getattr__(self, name: str) -> typing.Any:
        return getattr(self._socket, name)

    def begin_part(self) -> None:
        """Begins to count anew: what was received has been used."""
        self._received = 0

    def sendall(self, data: bytes) -> None:
        """Sends a request, whose response is then counted.

        Raises:
            OSError: sending failed.
        """
        self.begin_part()
        self._socket.sendall(data)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Returns received bytes; b"" means that the peer has closed.

        Raises:
            OSError: the connection failed.
            ValueError: the response exceeds its limit; it may be endless.
        """
        data: bytes = self._socket.recv(size, flags)
        self._received += len(data)
        if self._received > self._max_bytes:
            raise ValueError(f"response of more than {self._max_bytes} bytes")
        self._turn.spend(len(data))
        return data


def begin_part(response: response_module.HTTPSocketPoolResponse) -> None:
    """Applies the limit of a response to what follows, as in a stream."""
    if isinstance(response._sock, _BoundedSocket):
        response._sock.begin_part()


class _Pool(connectionpool.ConnectionPool):
    """Opens connections with a function, if one is given."""

    def __init__(
        self,
        address: Address,
        open_socket: OpenSocket | None,
        **options: typing.Any,
    ) -> None:
        super().__init__(
            address.host,
            address.port,
            address.host,
            address.port,
            size=options["concurrency"],
            connection_timeout=options["connection_timeout"],
            network_timeout=options["network_timeout"],
        )
        self._address = address
        self._open_socket = open_socket
        self._max_bytes = int(options["max_bytes"])

    def share_limit(self, other: "_Pool") -> None:
        """Counts connections together with those of another pool."""
        self._semaphore = other._semaphore

    def close_idle(self) -> None:
        """Closes the connections that are kept for reuse."""
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def return_socket(self, sock: typing.Any) -> None:
        """Keeps a direct connection for reuse and closes any other one."""
        if sock.is_direct:
            super().return_socket(sock)
        else:
            self.release_socket(sock)

    def _create_socket(self) -> typing.Any:
        if self._open_socket is None:
            return _BoundedSocket(super()._create_socket(), self._max_bytes)
        timeout = datetime.timedelta(seconds=self.connection_timeout)
        sock = self._open_socket(self._address, timeout)
        sock.settimeout(self.network_timeout)
        return _BoundedSocket(sock, self._max_bytes)


class _SingleUsePool(_Pool):
    """Limits the number of connections and keeps none for reuse."""

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        # A request that got no answer is sent again `size + 1` times, in case
        # its connection was kept too long. No connection is kept here.
        self.size = -1

    def return_socket(self, sock: typing.Any) -> None:
        """Closes a connection whose response is complete."""
        self.release_socket(sock)


class _Client(geventhttpclient.HTTPClient):
    """Sends requests on the connections of a pool."""

    def __init__(
        self, address: Address, sockets: _Pool, **options: typing.Any
    ) -> None:
        super().__init__(address.host, port=address.port, **options)
        self._connection_pool = sockets


class JsonClient:
    """Sends JSON requests to one address over pooled connections.

    With `is_single_use` each request has a new connection: a used one may hold
    a copy of an earlier response, which names no request.
    """

    def __init__(
        self,
        address: Address,
        timeout: datetime.timedelta = REQUEST_TIMEOUT,
        connections: int = MAX_CONNECTIONS,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
        is_single_use: bool = False,
        open_socket: OpenSocket | None = None,
        max_bytes: int = MAX_BODY_BYTES,
        limit_with: "JsonClient | None" = None,
    ) -> None:
        """Creates a client without connections.

        Args:
            address: the address of the server.
            timeout: longest wait for bytes of a response.
            connections: most connections at once.
            connect_timeout: longest time to open a connection.
            is_single_use: whether each request has a new connection.
            open_socket: opens a connection within a time; raises NotSentError
                if it cannot. None opens direct connections.
            max_bytes: limit of a response with its head and framing; of a
                stream, from one `begin_part` to the next.
            limit_with: a client with which this one shares `connections`.
        """
        self.address = address
        options: dict[str, typing.Any] = {
            "concurrency": connections,
            "connection_timeout": connect_timeout.total_seconds(),
            "network_timeout": timeout.total_seconds(),
        }
        pool_class = _SingleUsePool if is_single_use else _Pool
        self._sockets = pool_class(
            address, open_socket, max_bytes=max_bytes, **options
        )
        if limit_with is not None:
            self._sockets.share_limit(limit_with._sockets)
        self._client = _Client(address, self._sockets, **options)

    def send(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Sends a request and reads the complete response.

        Args:
            method: the HTTP method.
            path: path and query of the request.
            body: value that is sent as JSON; None sends an empty body.
            headers: additional request headers.

        Raises:
            NotSentError: the connection was refused or there is no route to
                the host.
            NoResponseError: the request may have taken effect.
        """
        response = self.open(method, path, body, headers)
        try:
            content = bytes(response.read())
        except READ_ERRORS as error:
            raise NoResponseError(f"{self.address}: {error}") from error
        if not response.message_complete:
            raise NoResponseError(f"{self.address}: response was cut short")
        fields = dict(response.items())
        return Reply(response.status_code, content, fields)

    def open(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> response_module.HTTPSocketPoolResponse:
        """Sends a request and returns once the response headers are read.

        Args:
            method: the HTTP method.
            path: path and query of the request.
            body: value that is sent as JSON; None sends an empty body.
            headers: additional request headers.

        Raises:
            NotSentError: the connection was refused or there is no route to
                the host.
            NoResponseError: the request may have taken effect.
        """
        encoded = b"" if body is None else msgspec.json.encode(body)
        fields = {"Content-Type": "application/json", **(headers or {})}
        try:
            response = self._client.request(method, path, encoded, fields)
            check_status(response.status_code)
            return response
        except ConnectionRefusedError as error:
            raise RefusedError(f"{self.address}: {error}") from error
        except OSError as error:
            if error.errno in (errno.EHOSTUNREACH, errno.ENETUNREACH):
                raise NotSentError(f"{self.address}: {error}") from error
            raise NoResponseError(f"{self.address}: {error}") from error
        except READ_ERRORS as error:
            raise NoResponseError(f"{self.address}: {error}") from error

    def close_idle(self) -> None:
        """Closes the connections that no request uses."""
        self._sockets.close_idle()

    def close(self) -> None:
        """Closes the pooled connections."""
        self._client.close()
