"""JSON client for HTTP requests to platform and upstream addresses.

The errors distinguish whether the request may have taken effect: after
`NotSentError` it cannot have, after `NoResponseError` it may have.
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
MAX_CONNECTIONS = 8  # pooled per address; bounds sockets to one server
# Exceptions raised while a response is read. `HTTPParseError`, which is not an
# `OSError`, is also raised if the connection is closed before the headers are
# complete.
READ_ERRORS = (OSError, ValueError, response_module.HTTPParseError)


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
        """Parses `host:port`.

        Example:
            >>> Address.parse("127.0.0.1:80")
            Address(host='127.0.0.1', port=80)

        Raises:
            ValueError: the text has no host or port, or the port is not a
                number.
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
        """Decodes the body as JSON.

        Raises:
            NoResponseError: the body is not JSON, so the outcome of the
                request is unknown.
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
        connections: int = MAX_CONNECTIONS,
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
