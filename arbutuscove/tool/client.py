"""HTTP client of the administration API."""

import datetime
import typing

from arbutuscove.storage import http

# The call that accepts a change waits up to 3 s for daemons to apply it.
CALL_TIMEOUT = datetime.timedelta(seconds=10)


class AdminUnreachableError(Exception):
    """No complete response was received; the call may have taken effect."""


class AdminRefusedError(Exception):
    """The administration API rejected the call.

    Attributes:
        details: Further information about the problem.
    """

    def __init__(self, status: int, problem: dict[str, typing.Any]) -> None:
        code = problem.get("code", "")
        super().__init__(f"{status} {code}: {problem.get('message', '')}")
        self.details: dict[str, str] = problem.get("details") or {}


class AdminClient:
    """Sends calls with an administration key; `url` is `http://host:port`."""

    def __init__(self, url: str, key: str) -> None:
        address = http.Address.parse(url.removeprefix("http://").rstrip("/"))
        self._client = http.JsonClient(address, CALL_TIMEOUT)
        self._headers = {"Authorization": f"Bearer {key}"}

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Sends a call and returns the decoded response body.

        Args:
            method: HTTP method.
            path: Path below `/admin/v1`, with the query.
            body: Value to send as JSON, None for no body.

        Raises:
            AdminRefusedError: the status is not 200.
            AdminUnreachableError: no complete response was received.
        """
        try:
            reply = self._client.send(
                method, "/admin/v1" + path, body, self._headers
            )
            decoded = reply.json()
        except http.HttpError as error:
            raise AdminUnreachableError(str(error)) from error
        if reply.status != 200:
            raise AdminRefusedError(reply.status, decoded)
        return decoded
