"""One attempt to serve a request at one backend.

An attempt ends in one of three ways: the upstream certainly did not run the
request (`NotRunError`), it may have run it (`AttemptLostError`), or it
answered. While an attempt waits for data, it checks whether its backend is
stalled.
"""

import datetime
from collections import abc

import eliot
import gevent

from arbutuscove.crashes import exposures
from arbutuscove.fleet import model as fleet_model
from arbutuscove.paths import errors as path_errors
from arbutuscove.relay import context as context_module
from arbutuscove.relay import model
from arbutuscove.relay import outcomes
from arbutuscove.relay import replies
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool as pool_module

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# Time without progress after which one request is resumed at another backend,
# even if other requests at the same backend make progress.
STREAM_STALL_TIMEOUT = datetime.timedelta(milliseconds=1200)
FIRST_BYTE_STALL_TIMEOUT = datetime.timedelta(milliseconds=1500)
ZERO = datetime.timedelta()
CONTENT_LENGTH = "content-length"
# A longer body is forwarded as it arrives: an endless body would otherwise fill
# the memory of a small VM.
BUFFERED_BODY_BYTES = 65536
# Upstreams that one request finds unable to accept a connection.
MAX_UNSENT_ATTEMPTS = 3
# Another attempt cannot answer within less time.
MIN_TIME_LEFT = datetime.timedelta(milliseconds=30)
# Limit for the bodies of late answers to earlier requests that are read on a
# connection before the expected answer.
MAX_UNMATCHED_BODY_BYTES = 1024 * 1024
# A VM that has crashed refuses a connection within less time.
MAX_REPORT_WAIT = datetime.timedelta(milliseconds=50)
# To callers, each of these promises that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Silence before the head after which the path of an attempt is examined.
SUSPECT_PATH_TIMEOUT = datetime.timedelta(milliseconds=300)
# Silence on a direct connection while this daemon is cut off from the service.
LOST_PATH_TIMEOUT = datetime.timedelta(milliseconds=300)
# How often a waiting attempt checks whether its backend is stalled.
STALL_CHECK_INTERVAL = datetime.timedelta(milliseconds=150)


IsReplaced = abc.Callable[[], bool]


def _never_replace() -> bool:
    return False


class Attempt:
    """One attempt to serve a request at one backend."""

    def __init__(
        self,
        context: context_module.AttemptContext,
        request: model.Request,
        service: str,
    ):
        self._context = context
        self._request = request
        self._service = service
        self._started_at = context.clock.monotonic()
        self._connection: connection.Connection | None = None
        self._is_released = False
        self._was_sent = False
        # Whether the end of the answer, or its loss, has been recorded.
        self._has_end = False
        self._exposure: exposures.Exposure[fleet_model.Vm] | None = None
        self._has_answer_begun = False
        self._head_at: datetime.timedelta | None = None
        self._event_count = 0
        self._first_event_at: datetime.timedelta | None = None
        # Time spent waiting for bytes since the last progress. It leaves out
        # time in which the caller reads slowly or this process is suspended, as
        # the upstream is not silent then.
        self._read_wait = ZERO
        self.backend: model.Backend | None = None
        self.reply: replies.Reply | None = None
        self.parser: connection.ResponseParser | None = None

    def open(
        self,
        excluded: frozenset[model.BackendKey],
        last_event: str,
        is_replaced: IsReplaced = _never_replace,
        may_have_run: bool = False,
    ) -> replies.Reply:
        """Sends the request and returns the head of the response.

        Args:
            excluded: backends that the request was sent to before.
            last_event: id of the event after which a stream resumes, or empty.
            is_replaced: called while the backend is stalled; ends the attempt
                with a `StalledError` if it returns true.
            may_have_run: whether an earlier attempt may have run the request.

        Raises:
            RefusedError: no slot becomes free in time.
            NotRunError: the request did not run.
            AttemptLostError: the request may have run.
        """
        context = self._context
        request = self._request
        self.backend = context.dispatcher.acquire(
            request,
            self._service,
            excluded,
            is_resumed=bool(last_event),
            may_have_run=may_have_run,
        )
        requested_at, self._started_at = (
            self._started_at,
            context.clock.monotonic(),
        )
        eliot.log_message(
            "flow:placed",
            request_id=request.request_id,
            service=self._service,
            backend=self.backend.key[0],
            vm=self.backend.vm.name,
            running=context.states[self.backend.key].running,
            waited=round((self._started_at - requested_at).total_seconds(), 4),
            excluded=len(excluded),
            last_event=last_event,
        )
        left = context.compute_end(request) - self._started_at
        if left <= MIN_TIME_LEFT:
            raise outcomes.NotRunError("no time is left")
        retry_after = context.crashes.check(request)
        if retry_after is not None:
            raise outcomes.QuarantinedError(retry_after)
        repeat = request.route.repeat
        max_idle_time = pool_module.MAX_IDLE_TIME
        # The upstream may close an idle connection while the request is sent,
        # and what ended an earlier attempt may have ended idle ones, too.
        if not repeat.is_idempotent or excluded:
            max_idle_time = pool_module.NEVER_IDLE
        try:
            upstream = context.connections.check_out(
                self._service,
                self.backend.vm.address,
                min(CONNECT_TIMEOUT, left),
                max_idle_time,
                request.deadline,
            )
        except path_errors.UnreachedError as error:
            raise outcomes.NoPathError(str(error)) from error
        except path_errors.NoPathError as error:
            raise outcomes.UnsentError(str(error)) from error
        except http.NotSentError as error:
            context.states.record_failure(self.backend.key)
            raise outcomes.UnsentError(str(error)) from error
        self._connection = upstream
        # Opening a connection may have taken a part of the time.
        left = context.compute_end(request) - context.clock.monotonic()
        if left <= MIN_TIME_LEFT:
            raise outcomes.NotRunError("no time is left")
        self._check_still_usable(self.backend)
        self._was_sent = True
        # Plain services send no head before the answer.
        self._exposure = context.crashes.begin(
            request, self.backend.vm, has_begun=not self.backend.model
        )
        try:
            upstream.send(
                request.method,
                context.codec.encode(request, self.backend, left, last_event),
            )
            self.reply = self._read_head(upstream, is_replaced)
        except http.NoResponseError as error:
            raise self._record_loss(error) from error
        return self._check_reply(self.reply)

    def _check_still_usable(self, backend: model.Backend) -> None:
        """Raises `UnsentError` if the backend was closed since it was chosen.

        The greenlet must not switch between this check and the send.
        """
        if self._context.states.is_paused(backend.vm):
            raise outcomes.UnsentError("the upstream has asked for a pause")
        if self._context.dispatcher.is_evacuated(backend):
            raise outcomes.UnsentError("the failure domain is evacuated")

    def was_sent(self) -> bool:
        """Returns whether any byte of the request may have left."""
        return self._was_sent

    def read_body(self) -> bytes:
        """Returns the whole body, or its beginning if it is long.

        Raises:
            AttemptLostError: the body was cut short.
        """
        assert self.parser is not None
        body = bytearray(self.parser.pop_body())
        try:
            while (
                not self.parser.is_complete()
                and len(body) < BUFFERED_BODY_BYTES
            ):
                self._receive(_never_replace)
                body += self.parser.pop_body()
        except http.NoResponseError as error:
            raise self._record_loss(error) from error
        self._record_first_byte()
        return bytes(body)

    def has_ended(self) -> bool:
        """Returns whether the whole answer has been read."""
        return self.parser is not None and self.parser.is_complete()

    def get_stated_length(self) -> int | None:
        """Returns the Content-Length of the response in bytes, if any."""
        text = (
            None
            if self.parser is None
            else self.parser.get_header(CONTENT_LENGTH)
        )
        return int(text) if text is not None and text.isdigit() else None

    def is_unframed(self) -> bool:
        """Returns whether only the end of the connection ends the body.

        Nothing then tells a complete body from one that was cut short.
        """
        assert self.parser is not None
        return not (
            self.parser.get_header(CONTENT_LENGTH)
            or self.parser.get_header(connection.TRANSFER_ENCODING)
        )

    def record_progress(self) -> None:
        """Records progress of the answer; bytes alone are no progress."""
        assert self.backend is not None
        if self.reply is not None:
            self._record_event()
            self._context.crashes.record_life(self.backend.vm)
        pause, self._read_wait = self._read_wait, ZERO
        self._context.states.record_progress(
            self.backend.key, self._compute_pause_ratio(pause)
        )

    def _record_event(self) -> None:
        self._event_count += 1
        if self._first_event_at is None:
            self._first_event_at = self._context.clock.monotonic()

    def record_loss(
        self, reason: str, is_cut: bool = False
    ) -> outcomes.AttemptLostError:
        """Counts a failure of the backend and returns the error to raise.

        Args:
            reason: what is wrong with the answer.
            is_cut: whether the connection ended, as in a crash of the upstream.
        """
        error = http.NoResponseError(reason) if is_cut else ValueError(reason)
        return self._record_loss(error)

    def read_more(self, is_replaced: IsReplaced = _never_replace) -> bytes:
        """Returns body bytes as they arrive, b"" at the end.

        Args:
            is_replaced: called while the backend is stalled; ends the attempt
                with a `StalledError` if it returns true.

        Raises:
            AttemptLostError: the body was cut short.
        """
        assert self.parser is not None
        data = self.parser.pop_body()
        try:
            while not data and not self.parser.is_complete():
                self._receive(is_replaced)
                data = self.parser.pop_body()
        except http.NoResponseError as error:
            raise self._record_loss(error) from error
        self._record_first_byte()
        return data

    def finish(self) -> None:
        """Returns the connection to the pool and frees the slot."""
        self._has_end = True
        if self._exposure is not None:
            self._context.crashes.record_life(self._exposure.vm)
        begun_at = self._first_event_at
        if not self._request.route.repeat.is_streamed:
            begun_at = self._head_at
        is_success = self.reply is not None and self.reply.status < 300
        if is_success and begun_at is not None:
            self._context.crashes.record_answer(self._request, begun_at)
        upstream, self._connection = self._connection, None
        self._end_exposure(is_open=False)
        if upstream is not None and self.parser is not None:
            self._context.connections.check_in(
                upstream, pool_module.parse_keep_alive_timeout(self.parser)
            )
        self._release(tokens=1)

    def close(self) -> None:
        """Ends the attempt in any state; may be called more than once."""
        if self._was_sent and not self._has_end:
            self._has_end = True
            self._log_end("flow:attempt_left")
        upstream, self._connection = self._connection, None
        if upstream is not None:
            upstream.close()
        self._end_exposure(is_open=True)
        self._release(tokens=0)

    def _end_exposure(self, is_open: bool) -> None:
        """Ends the exposure, or leaves it open if the VM may go on with it."""
        exposure, self._exposure = self._exposure, None
        if exposure is None:
            return
        if is_open:
            self._context.crashes.end(exposure)
        else:
            self._context.crashes.finish(exposure)

    def _record_first_byte(self) -> None:
        if self._has_answer_begun:
            return
        assert self.backend is not None
        self._has_answer_begun = True
        context = self._context
        context.states.begin_answer(self.backend.key)
        context.dispatcher.record_first_byte(
            self._request,
            self._service,
            context.clock.monotonic() - self._started_at,
        )

    def _release(self, tokens: int) -> None:
        if self.backend is None or self._is_released:
            return
        self._is_released = True
        context = self._context
        if self._has_answer_begun:
            context.states.end_answer(self.backend.key)
        context.dispatcher.release(
            self._request,
            self._service,
            self.backend,
            tokens,
            context.clock.monotonic() - self._started_at,
        )

    def _read_head(
        self, upstream: connection.Connection, is_replaced: IsReplaced
    ) -> replies.Reply:
        unmatched, unmatched_bytes = 0, 0
        while True:
            self._receive(is_replaced)
            assert self.parser is not None
            if not self.parser.has_head():
                continue
            reply = self._context.codec.read_reply(self._request, self.parser)
            # Also of a late answer to another request: the same VM sent it.
            assert self.backend is not None
            self._context.dispatcher.record_notice(
                self.backend.vm, reply.notice
            )
            if reply.is_matching:
                if not reply.is_named and upstream.exchange_count > 1:
                    # It may be a copy of an answer to an earlier request, while
                    # the upstream runs this one.
                    raise self.record_loss(
                        f"status {reply.status} on a used connection names no"
                        " request"
                    )
                self._head_at = self._context.clock.monotonic()
                if self._exposure is not None and not reply.not_run:
                    self._context.crashes.record_begin(self._exposure)
                self._context.connections.record_answer(self._service, upstream)
                self.record_progress()
                return reply
            # A late answer to an earlier request; the expected one follows.
            unmatched += 1
            unmatched_bytes += len(self.parser.pop_body())
            while (
                not self.parser.is_complete()
                and unmatched_bytes <= MAX_UNMATCHED_BODY_BYTES
            ):
                self._receive(is_replaced)
                unmatched_bytes += len(self.parser.pop_body())
            # Each earlier request on the connection has at most one answer.
            if (
                unmatched >= upstream.exchange_count
                or unmatched_bytes > MAX_UNMATCHED_BODY_BYTES
            ):
                raise http.NoResponseError("another request's answer came")
            upstream.discard_response()

    def _receive(self, is_replaced: IsReplaced) -> None:
        """Waits for bytes, at most until the deadline.

        Args:
            is_replaced: called while the backend is stalled; the wait also ends
                if it returns true.

        Raises:
            AttemptLostError: the deadline has passed, this daemon stops, or
                another attempt replaces this one (`StalledError`).
            NoResponseError: the connection failed.
        """
        context = self._context
        assert self._connection is not None and self.backend is not None
        key = self.backend.key
        stall_timeout = STREAM_STALL_TIMEOUT
        if self.reply is None:
            stall_timeout = FIRST_BYTE_STALL_TIMEOUT
        longest_healthy_pause = context.get_longest_pause(
            self._service, self.backend.model
        )
        stall_timeout = max(stall_timeout, longest_healthy_pause)
        while True:
            now = context.clock.monotonic()
            left = context.compute_end(self._request) - now
            if left <= datetime.timedelta():
                is_late = now >= self._request.deadline
                raise outcomes.AttemptLostError(
                    "the deadline has passed" if is_late else "the daemon stops"
                )
            # A request that waits in an engine may have become known to crash
            # upstreams since it was sent.
            if (
                self.reply is None
                and context.crashes.check(self._request) is not None
            ):
                raise outcomes.AttemptLostError(
                    "requests like it crash upstreams"
                )
            # Checked even while bytes arrive, as they may belong to no event.
            waited = self._read_wait
            has_lost_path = (
                waited >= LOST_PATH_TIMEOUT and self._has_lost_path()
            )
            if has_lost_path and self._may_leave_path():
                raise http.NoResponseError(f"{key[0]}: the path was lost")
            stalled = (
                context.states.is_stalled(key)
                or waited >= stall_timeout
                or has_lost_path
            )
            if stalled and waited >= STALL_CHECK_INTERVAL and is_replaced():
                raise outcomes.StalledError(f"{key[0]} moves nothing")
            try:
                self.parser = self._connection.receive(
                    min(left, STALL_CHECK_INTERVAL)
                )
                return
            except connection.ResponseTimeoutError:
                context.probe(self._service, self.backend)
                if self.reply is None and waited >= SUSPECT_PATH_TIMEOUT:
                    self._suspect_path()
            finally:
                passed = context.clock.monotonic() - now
                self._read_wait += min(passed, 2 * STALL_CHECK_INTERVAL)

    def _suspect_path(self) -> None:
        """Has the path examined, as this attempt fails or is silent."""
        if self._connection is not None:
            self._context.connections.suspect(
                self._service, self._connection, self._started_at
            )

    def _has_lost_path(self) -> bool:
        """Returns whether a failure may be one of the path alone."""
        return (
            self._connection is not None
            and self._context.connections.has_lost_path(
                self._service, self._connection
            )
        )

    def _may_leave_path(self) -> bool:
        """Returns whether the request may be sent again on another path.

        Streams go on until another attempt has replaced them.
        """
        repeat = self._request.route.repeat
        return repeat.is_idempotent and not repeat.is_streamed

    def _compute_pause_ratio(self, pause: datetime.timedelta) -> float | None:
        """Returns a pause between two events divided by the expected one."""
        assert self.backend is not None
        if self.reply is None or not self.backend.model:
            return None
        expected = self._context.get_expected_pause(
            self._service, self.backend.model
        )
        return None if expected is None else pause / expected

    def _record_loss(self, error: Exception) -> outcomes.AttemptLostError:
        assert self.backend is not None
        has_lost_path = (
            isinstance(error, http.NoResponseError) and self._has_lost_path()
        )
        if not has_lost_path:
            self._context.states.record_failure(self.backend.key)
        if isinstance(error, http.NoResponseError):
            self._suspect_path()
        self._has_end = True
        self._log_end(
            "flow:attempt_lost", reason=str(error), has_lost_path=has_lost_path
        )
        if isinstance(error, http.NoResponseError):
            self._report_crash(has_lost_path)
        return outcomes.AttemptLostError(str(error))

    def _log_end(self, name: str, **fields: str | bool) -> None:
        """Logs the end of an attempt that was sent and not answered."""
        assert self.backend is not None
        now = self._context.clock.monotonic()
        head_at = self._head_at
        eliot.log_message(
            name,
            request_id=self._request.request_id,
            backend=self.backend.key[0],
            vm=self.backend.vm.name,
            born=self.backend.vm.started_at_ms,
            since_sent=(now - self._started_at).total_seconds(),
            since_head=(
                None if head_at is None else (now - head_at).total_seconds()
            ),
            events=self._event_count,
            prompt_parts=self._request.prompt_parts,
            **fields,
        )

    def _report_crash(self, has_lost_path: bool) -> None:
        """Has the VM examined whose answer was lost.

        An engine sends the head when it begins to run a request; plain services
        send it with the answer. Without it, the request may have waited, so
        that one death says little of it, and its next attempt does not wait
        long for the examination.
        """
        assert self.backend is not None
        has_begun = self._head_at is not None or not self.backend.model
        if self._exposure is None or (has_lost_path and not has_begun):
            return
        # A greenlet of its own completes the report if the caller leaves now.
        report = gevent.spawn(self._context.crashes.report_loss, self._exposure)
        report.join(None if has_begun else MAX_REPORT_WAIT.total_seconds())

    def _check_reply(self, reply: replies.Reply) -> replies.Reply:
        assert self.backend is not None
        if reply.load is not None:
            self._context.dispatcher.record_load(
                self._service,
                self.backend.model,
                reply.load,
                self.backend.vm.failure_domain,
            )
        if reply.not_run:
            self._has_end = True
            self._end_exposure(is_open=False)
            if not reply.is_busy:
                self._context.states.record_failure(self.backend.key)
            raise outcomes.NotRunError(
                f"upstream answered {reply.status}", reply.is_busy
            )
        if reply.status in NOT_RUN_STATUSES:
            # The status alone is not the upstream's word that nothing ran.
            raise self.record_loss(f"status {reply.status} may have run")
        if not reply.is_signed and reply.status < 300:
            raise self.record_loss("the answer is not signed")
        if reply.status >= 500:
            self._context.states.record_failure(self.backend.key)
        return reply
