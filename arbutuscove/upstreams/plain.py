"""Client of plain services.

Sends with the client of the standard library and not with geventhttpclient. The
latter sends PUT and DELETE again when a connection breaks, but a call that must
not be repeated may be sent only once. Answers are read with the parser of
`transport`: the standard library takes a head, a chunk size or a trailer that
the end of the connection cuts short for a complete one.
"""

import dataclasses
import datetime
import http.client
import typing
from collections import abc

import expression
import gevent

from arbutuscove.kernel import turns
from arbutuscove.storage import http as storage_http
from arbutuscove.transport import connection as transport
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import paths as paths_module

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
    address: str,
    call: PlainCall,
    timeout: datetime.timedelta,
    paths: paths_module.Paths | None = None,
    reserve: abc.Callable[[int], None] = lambda size: None,
    is_evacuated: abc.Callable[[], bool] = lambda: False,
) -> expression.Result[PlainAnswer, errors.UpstreamError]:
    """Sends a call once and waits for the complete answer.

    Args:
        address: host and port of the service.
        call: the call.
        timeout: longest wait for the complete answer after the connection was
            made; also limits the time to connect.
        paths: opens the connection; None opens it directly.
        reserve: called with a number of bytes before they are kept.
        is_evacuated: whether nothing may be sent to the address; opening a
            connection takes time.

    Returns:
        The answer, `NotDispatchedError` if nothing ran, or
        `DispatchUnknownError` if the call may have run.

    Raises:
        NoMemoryError: there is no memory for the answer.
    """
    parsed = storage_http.Address.parse(address)
    connect_timeout = max(MIN_CONNECT_TIMEOUT, min(CONNECT_TIMEOUT, timeout))
    connection = http.client.HTTPConnection(parsed.host, parsed.port)
    paths = paths or paths_module.DirectPaths()
    try:
        connection.sock = paths.open(parsed, connect_timeout)
    except storage_http.NotSentError as error:
        return expression.Error(errors.NotDispatchedError(str(error)))
    if is_evacuated():
        connection.close()
        return expression.Error(errors.NotDispatchedError("evacuated"))
    # The timer limits the time to the complete answer; a socket timeout starts
    # again whenever bytes are received. The connection is not reused.
    timer = gevent.Timeout(timeout.total_seconds(), TimeoutError("deadline"))
    try:
        with timer:
            connection.sock.settimeout(timeout.total_seconds())
            headers = {
                "Content-Type": call.content_type,
                "X-Request-Id": call.attempt_id,
            }
            connection.request(call.method, call.path, call.body, headers)
            return expression.Ok(
                _read_answer(connection.sock, call.method, reserve)
            )
    except (
        OSError,
        http.client.HTTPException,
        storage_http.NoResponseError,
    ) as error:
        paths.suspect(parsed)
        return expression.Error(errors.DispatchUnknownError(str(error)))
    finally:
        connection.close()


def _read_answer(
    sock: typing.Any,
    method: str,
    reserve: abc.Callable[[int], None] = lambda size: None,
) -> PlainAnswer:
    """Returns the complete answer.

    Raises:
        OSError: the connection was lost, or the deadline has passed.
        NoResponseError: the answer is malformed, too large or cut short.
        NoMemoryError: there is no memory for the answer.
    """
    parser = transport.ResponseParser(method, MAX_ANSWER_BYTES)
    turn = turns.Turn()
    while not parser.is_complete():
        data = sock.recv(transport.READ_SIZE_BYTES)
        reserve(len(data))
        try:
            parser.feed(data)
        except storage_http.READ_ERRORS as error:
            raise storage_http.NoResponseError(str(error)) from error
        if not data and not parser.is_complete():
            raise storage_http.NoResponseError("the connection closed early")
        turn.spend(len(data))
    return PlainAnswer(
        status=parser.get_code(),
        content_type=parser.get_header("Content-Type") or "",
        body=parser.pop_body(),
    )
