"""Client of plain services.

The standard library's client is used here and not geventhttpclient, because
the latter sends PUT and DELETE again when a connection breaks, and a call that
may not be repeated must be sent once.
"""

import dataclasses
import datetime
import http.client
import socket

import expression

from arbutuscove.platform import http as platform_http
from arbutuscove.upstreams import errors

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainCall:
    """One call of a plain service; `path` starts with a slash."""

    attempt_id: str
    method: str
    path: str
    content_type: str
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainAnswer:
    """The whole answer to a call."""

    status: int
    content_type: str
    body: bytes


def send_call(
    address: str, call: PlainCall, timeout: datetime.timedelta
) -> expression.Result[PlainAnswer, errors.UpstreamError]:
    """Sends a call once.

    Returns the whole answer, or `NotDispatchedError` when nothing ran and
    `DispatchUnknownError` when the call may have run.
    """
    parsed = platform_http.Address.parse(address)
    connection = http.client.HTTPConnection(
        parsed.host, parsed.port, timeout=CONNECT_TIMEOUT.total_seconds()
    )
    try:
        connection.connect()
    except OSError as error:
        return expression.Error(errors.NotDispatchedError(str(error)))
    try:
        assert isinstance(connection.sock, socket.socket)
        connection.sock.settimeout(timeout.total_seconds())
        headers = {
            "Content-Type": call.content_type,
            "X-Request-Id": call.attempt_id,
        }
        connection.request(call.method, call.path, call.body, headers)
        response = connection.getresponse()
        return expression.Ok(
            PlainAnswer(
                status=response.status,
                content_type=response.getheader("Content-Type", ""),
                body=response.read(),
            )
        )
    except (OSError, http.client.HTTPException) as error:
        return expression.Error(errors.DispatchUnknownError(str(error)))
    finally:
        connection.close()
