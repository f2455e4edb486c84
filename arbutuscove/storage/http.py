"""JSON over HTTP to platform and upstream addresses.

The errors say what is known about the request: `NotSentError` means that it
cannot have taken effect; `NoResponseError` means that it may have.
"""

import datetime
import errno
import typing
from collections import abc

import geventhttpclient
import msgspec
from geventhttpclient import response as response_module

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
REQUEST_TIMEOUT = datetime.timedelta(seconds=2)
POOL_CONNECTIONS = 8  # per address; bounds sockets towards one server
# What reading a response raises; `HTTPParseError` also stands for a connection
# that was closed before the headers were complete and is no `OSError`.
READ_ERRORS = (OSError, ValueError, response_module.HTTPParseError)


class HttpError(Exception):
    """A request to an address failed below HTTP."""


class NotSentError(HttpError):
    """The connection could not be made; the request had no effect."""


class RefusedError(NotSentError):
    """The host answered that no process listens on the port."""


class NoResponseError(HttpError):
    """The request was sent but its response was lost."""


class Address(typing.NamedTuple):
    """IP address and TCP port of a server."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Reads `host:port`.

        Example:
            >>> Address.parse("127.0.0.1:80")
            Address(host='127.0.0.1', port=80)

        Raises:
            ValueError: the text has no port or the port is no number.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not host:
            raise ValueError(f"address must be host:port, not {text!r}")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Reply(typing.NamedTuple):
    """Status, body and headers of a complete HTTP response."""

    status: int
    body: bytes
    headers: abc.Mapping[str, str]

    def json(self) -> typing.Any:
        """Decodes the body.

        Raises:
            NoResponseError: the body is not JSON, so nothing can be said.
        """
        try:
            return msgspec.json.decode(self.body)
        except msgspec.DecodeError as error:
            raise NoResponseError(f"response is not JSON: {error}") from error


class JsonClient:
    """Sends JSON requests to one address over pooled connections."""

    def __init__(
        self,
        address: Address,
        timeout: datetime.timedelta = REQUEST_TIMEOUT,
        connections: int = POOL_CONNECTIONS,
        connect_timeout: datetime.timedelta = CONNECT_TIMEOUT,
    ) -> None:
        self.address = address
        self._client = geventhttpclient.HTTPClient(
            address.host,
            port=address.port,
            concurrency=connections,
            connection_timeout=connect_timeout.total_seconds(),
            network_timeout=timeout.total_seconds(),
        )

    def send(
        self,
        method: str,
        path: str,
        body: typing.Any = None,
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Sends one request and reads the whole response.

        Raises:
            NotSentError: the connection was refused or timed out.
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
        """Sends one request and returns after the response headers.

        Raises:
            NotSentError: the connection was refused or timed out.
            NoResponseError: the request may have taken effect.
        """
        encoded = b"" if body is None else msgspec.json.encode(body)
        fields = {"Content-Type": "application/json", **(headers or {})}
        try:
            return self._client.request(method, path, encoded, fields)
        except ConnectionRefusedError as error:
            raise RefusedError(f"{self.address}: {error}") from error
        except OSError as error:
            if error.errno in (errno.EHOSTUNREACH, errno.ENETUNREACH):
                raise NotSentError(f"{self.address}: {error}") from error
            raise NoResponseError(f"{self.address}: {error}") from error
        except READ_ERRORS as error:
            raise NoResponseError(f"{self.address}: {error}") from error

    def close(self) -> None:
        """Closes the pooled connections."""
        self._client.close()
