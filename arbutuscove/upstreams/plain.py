"""Client of plain services.

Uses the client of the standard library and not geventhttpclient. The latter
sends PUT and DELETE again when a connection breaks, but a call that must not be
repeated may be sent only once.
"""

import dataclasses
import datetime
import http.client
import socket

import expression
import gevent

from arbutuscove.storage import http as storage_http
from arbutuscove.upstreams import errors

CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# A timeout of zero would make the socket non-blocking.
MIN_CONNECT_TIMEOUT = datetime.timedelta(milliseconds=1)
MAX_ANSWER_BYTES = 16 << 20  # an answer is buffered in memory


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
    """Complete answer to a call."""

    status: int
    content_type: str
    body: bytes


def send_call(
    address: str, call: PlainCall, timeout: datetime.timedelta
) -> expression.Result[PlainAnswer, errors.UpstreamError]:
    """Sends a call once and waits for the complete answer.

    Args:
        address: host and port of the service.
        call: the call.
        timeout: longest wait for the complete answer after the connection was
            made; also limits the time to connect.

    Returns:
        The answer, `NotDispatchedError` if nothing ran, or
        `DispatchUnknownError` if the call may have run.
    """
    parsed = storage_http.Address.parse(address)
    connect_timeout = max(MIN_CONNECT_TIMEOUT, min(CONNECT_TIMEOUT, timeout))
    connection = http.client.HTTPConnection(
        parsed.host, parsed.port, timeout=connect_timeout.total_seconds()
    )
    try:
        connection.connect()
    except OSError as error:
        return expression.Error(errors.NotDispatchedError(str(error)))
    # The timer limits the time to the complete answer; a socket timeout starts
    # again whenever bytes are received. The connection is not reused.
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
    body = response.read(MAX_ANSWER_BYTES + 1)
    if len(body) > MAX_ANSWER_BYTES:
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
