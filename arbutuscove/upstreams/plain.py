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
import gevent

from arbutuscove.storage import http as platform_http
from arbutuscove.upstreams import errors

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
SHORTEST_TIMEOUT = datetime.timedelta(milliseconds=1)  # zero means no wait
ANSWER_LIMIT = 16 << 20  # bytes of an answer held in memory


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
    """Sends a call once and waits at most `timeout` for the whole answer.

    Returns the whole answer, or `NotDispatchedError` when nothing ran and
    `DispatchUnknownError` when the call may have run.
    """
    parsed = platform_http.Address.parse(address)
    connect = max(SHORTEST_TIMEOUT, min(CONNECT_TIMEOUT, timeout))
    connection = http.client.HTTPConnection(
        parsed.host, parsed.port, timeout=connect.total_seconds()
    )
    try:
        connection.connect()
    except OSError as error:
        return expression.Error(errors.NotDispatchedError(str(error)))
    # The timer bounds the whole answer; the timeout of the socket would start
    # again with each piece. The connection is not used again.
    timer = gevent.Timeout(timeout.total_seconds(), TimeoutError("deadline"))
    try:
        with timer:
            assert isinstance(connection.sock, socket.socket)
            connection.sock.settimeout(timeout.total_seconds())
            return _exchange(connection, call)
    except (OSError, http.client.HTTPException) as error:
        return expression.Error(errors.DispatchUnknownError(str(error)))
    finally:
        connection.close()


def _exchange(
    connection: http.client.HTTPConnection, call: PlainCall
) -> expression.Result[PlainAnswer, errors.UpstreamError]:
    headers = {
        "Content-Type": call.content_type,
        "X-Request-Id": call.attempt_id,
    }
    connection.request(call.method, call.path, call.body, headers)
    response = connection.getresponse()
    body = response.read(ANSWER_LIMIT + 1)
    if len(body) > ANSWER_LIMIT:
        return expression.Error(
            errors.DispatchUnknownError("the answer is too large")
        )
    if response.length:
        return expression.Error(
            errors.DispatchUnknownError("the answer was cut short")
        )
    return expression.Ok(
        PlainAnswer(
            status=response.status,
            content_type=response.getheader("Content-Type", ""),
            body=body,
        )
    )
