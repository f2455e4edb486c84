"""Calls of the administration API."""

import typing

from arbutuscove.platform import http


class AdminFailedError(Exception):
    """The administration API refused or could not be reached."""

    def __init__(self, status: int, body: typing.Any) -> None:
        super().__init__(f"{status}: {body}")
        self.status = status
        self.body = body


class AdminClient:
    """Sends calls with the operator's key; `url` is `http://host:port`."""

    def __init__(self, url: str, key: str) -> None:
        address = http.Address.parse(url.removeprefix("http://").rstrip("/"))
        self._client = http.JsonClient(address)
        self._headers = {"Authorization": f"Bearer {key}"}

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Returns the decoded response.

        Raises:
            AdminFailedError: the status is not 200, or no answer was received.
        """
        try:
            reply = self._client.send(
                method, "/admin/v1" + path, body, self._headers
            )
        except http.HttpError as error:
            raise AdminFailedError(0, str(error)) from error
        if reply.status != 200:
            raise AdminFailedError(reply.status, reply.json())
        return reply.json()
