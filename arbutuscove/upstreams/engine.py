"""Client of the model engine on one VM."""

import dataclasses
import datetime
import typing
import urllib.parse
from collections import abc

import expression
from geventhttpclient import response as response_module

from arbutuscove.kernel import decoding
from arbutuscove.storage import http
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import paths as paths_module
from arbutuscove.upstreams import protocol

STATUS_TIMEOUT = datetime.timedelta(seconds=1)
ORDER_TIMEOUT = datetime.timedelta(seconds=2)
STALL_TIMEOUT = datetime.timedelta(seconds=5)  # maximum gap between events
# Of a status, the answer to an order, or an event of a stream.
MAX_ANSWER_BYTES = 1024 * 1024
MAX_STREAM_CONNECTIONS = 512  # per engine; limits the sockets of a daemon


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """One attempt to run a request on the leader of a replica."""

    attempt_id: str
    replica: str
    generation: int
    priority: int
    body: dict[str, typing.Any]


class EventReader:
    """Reads raw events from one connection to an engine."""

    def __init__(
        self,
        response: response_module.HTTPSocketPoolResponse,
        report_loss: abc.Callable[[], None],
    ) -> None:
        self._response = response
        self._report_loss = report_loss

    def read(self) -> bytes:
        """Returns the next event with its terminator, or b"" at the end.

        Raises:
            StreamBrokenError: the connection was lost or stalled.
        """
        try:
            event = self._response.readline(protocol.EVENT_END)
            http.begin_part(self._response)
            return event
        except http.READ_ERRORS as error:
            self._report_loss()
            raise errors.StreamBrokenError(str(error)) from error

    def close(self) -> None:
        """Closes the connection; the engine retains the stream for a while."""
        self._response.release()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Refusal:
    code: decoding.Text = "unknown"


class EngineClient:
    """Sends dispatches, orders and status requests to one engine."""

    def __init__(
        self,
        address: str,
        paths: paths_module.Paths | None = None,
        is_evacuated: abc.Callable[[str], bool] = lambda address: False,
    ) -> None:
        """Creates a client without connections.

        Args:
            address: host and port of the engine.
            paths: opens connections; None opens direct ones.
            is_evacuated: whether no request may be sent to an address.
        """
        self._is_evacuated = is_evacuated
        parsed = http.Address.parse(address)
        self._address = parsed
        self._paths = paths or paths_module.DirectPaths()
        self._control = http.JsonClient(
            parsed,
            ORDER_TIMEOUT,
            open_socket=self._paths.open,
            max_bytes=MAX_ANSWER_BYTES,
        )
        self._status = http.JsonClient(
            parsed,
            STATUS_TIMEOUT,
            2,
            open_socket=self._paths.open,
            max_bytes=MAX_ANSWER_BYTES,
        )
        self._streams = http.JsonClient(
            parsed,
            STALL_TIMEOUT,
            MAX_STREAM_CONNECTIONS,
            is_single_use=True,
            open_socket=self._paths.open,
            max_bytes=MAX_ANSWER_BYTES,
        )
        self._dispatches = http.JsonClient(
            parsed,
            STALL_TIMEOUT,
            MAX_STREAM_CONNECTIONS,
            is_single_use=True,
            open_socket=self._open_for_dispatch,
            max_bytes=MAX_ANSWER_BYTES,
            limit_with=self._streams,
        )

    def _open_for_dispatch(
        self, address: http.Address, timeout: datetime.timedelta
    ) -> typing.Any:
        """Returns a new connection for a request that has not been sent.

        The request is sent on it at once, before any other greenlet runs.

        Raises:
            NotSentError: there is no connection, or the engine was evacuated
                while it was opened.
        """
        opened = self._paths.open(address, timeout)
        if self._is_evacuated(str(address)):
            opened.close()
            raise http.NotSentError(f"{address}: evacuated")
        return opened

    def read_status(self) -> protocol.Status:
        """Returns the status that the VM reports.

        Raises:
            NotListeningError: no process listens on the engine's port.
            UnreachableError: no valid answer was received.
        """
        try:
            reply = self._status.send("GET", "/status")
            return reply.decode(protocol.Status)
        except http.RefusedError as error:
            raise errors.NotListeningError(str(error)) from error
        except http.HttpError as error:
            self._report_loss()
            raise errors.UnreachableError(str(error)) from error

    def send_order(
        self, order: protocol.Order
    ) -> expression.Result[protocol.Status, errors.OrderRefused]:
        """Sends an idempotent order.

        Raises:
            UnreachableError: the order may or may not have been accepted.
        """
        try:
            reply = self._control.send("POST", "/orders", order)
            if reply.status == 200:
                status = reply.decode(protocol.Status)
                return expression.Ok(status)
            refusal = reply.decode(_Refusal)
            return expression.Error(errors.OrderRefused(code=refusal.code))
        except http.HttpError as error:
            self._report_loss()
            raise errors.UnreachableError(str(error)) from error

    def open_stream(
        self, dispatch: Dispatch
    ) -> expression.Result[EventReader, errors.DispatchRefused]:
        """Dispatches a request and opens the event stream of its answer.

        Raises:
            NotDispatchedError: no connection could be made, or the engine is
                evacuated; nothing ran.
            DispatchUnknownError: the request may have begun to run.
        """
        headers = {
            protocol.REQUEST_ID: dispatch.attempt_id,
            protocol.REPLICA: dispatch.replica,
            protocol.GENERATION: str(dispatch.generation),
            protocol.PRIORITY: str(dispatch.priority),
        }
        try:
            response = self._dispatches.open(
                "POST", "/v1/chat/completions", dispatch.body, headers
            )
        except http.NotSentError as error:
            raise errors.NotDispatchedError(str(error)) from error
        except http.HttpError as error:
            self._report_loss()
            raise errors.DispatchUnknownError(str(error)) from error
        if response.status_code == 200:
            return expression.Ok(EventReader(response, self._report_loss))
        _drain_body(response)
        return expression.Error(
            errors.DispatchRefused(status=response.status_code)
        )

    def resume_stream(self, stream_id: str, after: int) -> EventReader:
        """Resumes a stream after an event.

        Args:
            stream_id: the identity of the stream.
            after: number of the last event received; -1 for the start.

        Raises:
            StreamLostError: the engine no longer has the stream.
            StreamBrokenError: the connection failed or no answer was received.
        """
        path = f"/v1/streams/{urllib.parse.quote(stream_id)}?after={after}"
        try:
            response = self._streams.open("GET", path)
        except http.HttpError as error:
            self._report_loss()
            raise errors.StreamBrokenError(str(error)) from error
        if response.status_code == 200:
            return EventReader(response, self._report_loss)
        _drain_body(response)
        raise errors.StreamLostError(f"status {response.status_code}")

    def cancel_stream(self, stream_id: str) -> None:
        """Requests the engine to end a stream; errors are ignored.

        The engine also ends streams without a reader.
        """
        path = "/v1/streams/" + urllib.parse.quote(stream_id)
        try:
            self._control.send("DELETE", path)
        except http.HttpError:
            return

    def close_idle(self) -> None:
        """Closes the connections that no call uses."""
        for client in (self._control, self._status):
            client.close_idle()

    def close(self) -> None:
        """Closes all pooled connections."""
        for client in (
            self._control,
            self._status,
            self._dispatches,
            self._streams,
        ):
            client.close()

    def _report_loss(self) -> None:
        self._paths.suspect(self._address)


def _drain_body(response: response_module.HTTPSocketPoolResponse) -> None:
    """Reads the rest of a response, so that its connection can be reused."""
    try:
        response.read()
    except http.READ_ERRORS:
        return  # the status is known already, and the connection is not reused
