"""The platform's object store: complete bodies under string keys."""

import typing
import urllib.parse

from arbutuscove.storage import http

SERVICE_NAME = "objects"


class ObjectStoreUnavailableError(Exception):
    """The object store did not complete a request."""


class ObjectStore(typing.Protocol):
    """Interface of the object store as used by the rest of the system."""

    def put(self, key: str, body: bytes) -> None:
        """Stores a body under a key that is written only once."""

    def get(self, key: str) -> bytes | None:
        """Returns the body stored under a key, or None if there is none."""


class HttpObjectStore:
    """Client of the object store over HTTP."""

    def __init__(self, address: http.Address) -> None:
        self._client = http.JsonClient(address)

    def put(self, key: str, body: bytes) -> None:
        """Stores a body under a key.

        Raises:
            ObjectStoreUnavailableError: the body may not have been stored.
        """
        reply = self._send("PUT", key, body.decode())
        if reply.status != 200:
            raise ObjectStoreUnavailableError(f"status {reply.status}")

    def get(self, key: str) -> bytes | None:
        """Returns the body stored under a key, or None if there is none.

        Raises:
            ObjectStoreUnavailableError: the body could not be read.
        """
        reply = self._send("GET", key, None)
        match reply.status:
            case 200:
                return _decode_body(reply)
            case 404:
                return None
            case status:
                raise ObjectStoreUnavailableError(f"status {status}")

    def _send(self, method: str, key: str, body: str | None) -> http.Reply:
        path = "/objects/" + urllib.parse.quote(key, safe="/")
        try:
            return self._client.send(method, path, body)
        except http.HttpError as error:
            raise ObjectStoreUnavailableError(str(error)) from error


def _decode_body(reply: http.Reply) -> bytes:
    try:
        return reply.decode(str).encode()
    except http.HttpError as error:
        raise ObjectStoreUnavailableError(str(error)) from error
