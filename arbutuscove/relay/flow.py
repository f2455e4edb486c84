"""Processing of a request from its arrival to the end of its answer.

The route determines which requests may be retried. If a resumable stream fails,
it continues from another backend within the same response, after the last
complete event that the caller received.
"""

import contextlib
import datetime
import random
from collections import abc

import eliot

from arbutuscove.catalog import model as catalog_model
from arbutuscove.kernel import services
from arbutuscove.relay import attempt as attempt_module
from arbutuscove.relay import budget as budget_module
from arbutuscove.relay import continuation
from arbutuscove.relay import model
from arbutuscove.relay import replacement as replacement_module

SERVICE_NAME = "flow"
# An event has a few tokens; a faulty upstream may never end one.
MAX_EVENT_BYTES = 65536
RETRY_AFTER = datetime.timedelta(milliseconds=200)
# Pause between two replacements of one silent attempt, of which the first got
# no slot.
REPLACEMENT_INTERVAL = datetime.timedelta(milliseconds=500)


class Flow(services.BaseService):
    """Serves requests by attempts at backends, with retries."""

    def __init__(
        self,
        context: attempt_module.AttemptContext,
        allowance: budget_module.RetryAllowance,
        count_daemons: abc.Callable[[], int],
        generator: random.Random,
    ) -> None:
        self.context = context
        self.clock = context.clock
        self._allowance = allowance
        self._count_daemons = count_daemons
        self._generator = generator
        self._budgets: dict[str, budget_module.RetryBudget] = {}

    def serve(self, request: model.Request) -> model.Answer:
        """Returns the answer of an upstream to a request.

        Raises:
            RefusedError: the request is answered by the system itself.
        """
        retry_after = self.context.crashes.check(request)
        if retry_after is not None:
            raise build_quarantine_refusal(retry_after)
        service = self._choose_service(request.route)
        self._get_budget(service).record_request(self.clock.monotonic())
        if request.route.repeat.is_streamed:
            return _StreamedAnswer(self, request, service).start()
        return self._serve_buffered(request, service)

    def is_safe_to_repeat(
        self, request: model.Request, error: attempt_module.FailedAttempt
    ) -> bool:
        """Returns whether another attempt crashes no upstream, as known now."""
        match error:
            case attempt_module.QuarantinedError():
                return False
            case attempt_module.NotRunError():
                return True
            case attempt_module.AttemptLostError():
                return self.context.crashes.may_repeat(request)

    def acquire_retry(self, service: str) -> bool:
        """Acquires one retry from the budget of a service, if there is one."""
        now = self.clock.monotonic()
        return self._get_budget(service).try_acquire(now, self._count_daemons())

    def give_retry_back(self, service: str) -> None:
        """Returns the last retry that was acquired and not used."""
        self._get_budget(service).give_back()

    def _get_budget(self, service: str) -> budget_module.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = budget_module.RetryBudget(self._allowance)
            self._budgets[service] = budget
        return budget

    def _choose_service(self, route: catalog_model.Route) -> str:
        weights = [target.weight for target in route.targets]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.targets[0].service
        (target,) = self._generator.choices(route.targets, weights)
        return target.service

    def _serve_buffered(
        self, request: model.Request, service: str
    ) -> model.Answer:
        excluded: frozenset[model.BackendKey] = frozenset()
        repeat = request.route.repeat
        attempts_made = 0
        has_lost_attempt = False
        while True:
            attempt = attempt_module.Attempt(self.context, request, service)
            is_handed_over = False
            try:
                with correct_refusal(request, has_lost_attempt):
                    reply = attempt.open(excluded, "")
                body = attempt.read_body()
                if not attempt.has_ended():
                    is_handed_over = True
                    return _relay_long_answer(attempt, reply, body)
                attempt.finish()
                attempts_made += 1
                if self._is_final(request, service, attempts_made, reply):
                    return _build_buffered_answer(reply, body)
                has_lost_attempt = True
                reason = f"status {reply.status}"
            except attempt_module.NotRunError as error:
                reason = str(error)
                attempts_made += 1
                if not self._may_retry(request, service, attempts_made, error):
                    raise build_not_run_refusal(
                        request, error, has_lost_attempt
                    ) from error
            except attempt_module.AttemptLostError as error:
                reason = str(error)
                attempts_made += 1
                has_lost_attempt = True
                if not repeat.is_idempotent or not self._may_retry(
                    request, service, attempts_made, error
                ):
                    raise build_failure(
                        request, self._get_failure_status(request), reason
                    ) from error
            finally:
                if not is_handed_over:
                    attempt.close()
            if attempt.backend is not None:
                excluded |= {attempt.backend.key}
            log_retry(request, attempts_made, reason)

    def _is_final(
        self,
        request: model.Request,
        service: str,
        attempts_made: int,
        reply: attempt_module.Reply,
    ) -> bool:
        """Returns whether the caller gets this answer, without another attempt.

        Acquires a retry from the budget if there will be another attempt.
        """
        if reply.status < 500 or not request.route.repeat.is_idempotent:
            return True
        if attempts_made >= request.route.attempts:
            return True
        return not self._acquire_retry_in_time(request, service)

    def _may_retry(
        self,
        request: model.Request,
        service: str,
        attempts_made: int,
        error: attempt_module.FailedAttempt,
    ) -> bool:
        if attempts_made >= request.route.attempts:
            return False
        if not self.is_safe_to_repeat(request, error):
            return False
        return self._acquire_retry_in_time(request, service)

    def _acquire_retry_in_time(
        self, request: model.Request, service: str
    ) -> bool:
        """Returns whether a retry was acquired, with time left to send it."""
        left = request.deadline - self.clock.monotonic()
        return left > attempt_module.MIN_TIME_LEFT and self.acquire_retry(
            service
        )

    def _get_failure_status(self, request: model.Request) -> int:
        passed = self.clock.monotonic() >= request.deadline
        return 504 if passed else 502


class _StreamedAnswer:
    """A streamed answer, from one backend or several."""

    def __init__(self, flow: Flow, request: model.Request, service: str):
        self._flow = flow
        self._request = request
        self._service = service
        # What the caller has received.
        self._position = continuation.Position(event_id=request.last_event)
        self._excluded: frozenset[model.BackendKey] = frozenset()
        self._attempts_begun = 0
        self._has_lost_attempt = False
        self._attempt: attempt_module.Attempt | None = None
        self._replacement: replacement_module.Replacement | None = None
        self._next_replacement_at = request.arrived
        # Bytes that a replacement has read of its answer.
        self._read_ahead = b""
        # The head of the stream that the caller receives.
        self._first: attempt_module.Reply | None = None
        self._has_delivered = False

    def start(self) -> model.Answer:
        """Returns the answer once its head has arrived.

        Raises:
            RefusedError: the request is answered by the system itself.
        """
        reply = self._open()
        assert self._attempt is not None
        if reply.status != 200:
            try:
                body = self._attempt.read_body()
                if not self._attempt.has_ended():
                    raise self._attempt.record_loss("a failure is too long")
                self._attempt.finish()
            except attempt_module.AttemptLostError as error:
                raise build_failure(self._request, 502, str(error)) from error
            finally:
                self._close()
            return _build_buffered_answer(reply, body)
        self._first = reply
        events = self._relay_events()
        try:
            # The head is returned only after the first event: if the attempt
            # fails before it, the caller gets an error status instead of a
            # closed connection.
            first = next(events, b"")
        except model.BrokenAnswerError as error:
            raise build_failure(self._request, 502, str(error)) from error
        return model.Answer(
            status=reply.status,
            fields=reply.fields,
            body=_prepend(first, events),
            length=None,
        )

    def _is_resumable(self) -> bool:
        return (
            self._request.route.repeat.is_idempotent and self._position.is_known
        )

    def _open(self) -> attempt_module.Reply:
        """Makes attempts until one returns the head of a response."""
        while True:
            attempt = self._begin_attempt()
            self._attempt = attempt
            try:
                with correct_refusal(self._request, self._has_lost_attempt):
                    reply = attempt.open(
                        self._excluded,
                        self._position.event_id,
                        self._is_replaced,
                    )
                self._cancel_replacement()
                return reply
            except attempt_module.NotRunError as error:
                replaced = self._switch(error)
                if replaced is not None:
                    return replaced
                if not self._record_failed_attempt(attempt, error):
                    raise build_not_run_refusal(
                        self._request, error, self._has_lost_attempt
                    ) from error
            except attempt_module.AttemptLostError as error:
                self._has_lost_attempt = True
                replaced = self._switch(error)
                if replaced is not None:
                    return replaced
                if not self._is_resumable() or not self._record_failed_attempt(
                    attempt, error
                ):
                    passed = self._request.deadline <= (
                        self._flow.clock.monotonic()
                    )
                    raise build_failure(
                        self._request, 504 if passed else 502, str(error)
                    ) from error
            except BaseException:
                self._close()
                raise

    def _begin_attempt(self) -> attempt_module.Attempt:
        self._attempts_begun += 1
        return attempt_module.Attempt(
            self._flow.context, self._request, self._service
        )

    def _may_begin_attempt(self) -> bool:
        """Returns whether attempts and time are left for another one."""
        left = self._request.deadline - self._flow.clock.monotonic()
        return (
            self._attempts_begun < self._request.route.attempts
            and left > attempt_module.MIN_TIME_LEFT
        )

    def _is_replaced(self) -> bool:
        """Returns whether another attempt can take over from a stalled one.

        Begins one if that is allowed. The stalled attempt goes on until the
        other one is answered: its backend may only be silent.
        """
        replacement = self._replacement
        if replacement is None:
            self._begin_replacement()
            return False
        if not replacement.has_ended():
            return False
        if not self._is_resumable():
            self._cancel_replacement()
            return False
        if replacement.reply is not None:
            return True
        self._drop_replacement(replacement)
        return False

    def _begin_replacement(self) -> None:
        now = self._flow.clock.monotonic()
        stalled = self._attempt
        if (
            stalled is None
            or stalled.backend is None
            or now < self._next_replacement_at
            or not self._is_resumable()
            or not self._may_begin_attempt()
            or not self._flow.context.crashes.may_repeat(self._request)
        ):
            return
        self._next_replacement_at = now + REPLACEMENT_INTERVAL
        if not self._flow.acquire_retry(self._service):
            return
        replacement_module.log_step(
            self._request, "begun", f"{stalled.backend.key[0]} moves nothing"
        )
        self._replacement = replacement_module.Replacement(
            self._begin_attempt(),
            self._excluded | {stalled.backend.key},
            self._position.event_id,
            self._is_usable,
            self._find_fault,
        )

    def _is_usable(self, reply: attempt_module.Reply) -> bool:
        """Returns whether an answer may go on with the stream."""
        if self._first is None:
            return reply.status == 200
        return continuation.is_continuation(self._first, reply)

    def _find_fault(self, events: bytes) -> str:
        """Returns why the first events of an answer cannot go on with it."""
        if not self._has_delivered:
            return ""
        return continuation.find_fault(events, self._position, has_joined=False)

    def _drop_replacement(
        self, replacement: replacement_module.Replacement
    ) -> None:
        """Forgets a replacement that failed, so that another one may begin."""
        self._replacement = None
        backend = replacement.attempt.backend
        if backend is None:
            self._give_attempt_back()
        else:
            self._has_lost_attempt = True
            self._excluded |= {backend.key}
        replacement_module.log_step(self._request, "failed", replacement.reason)

    def _give_attempt_back(self) -> None:
        """Takes back an attempt that got no slot, and its retry."""
        self._attempts_begun -= 1
        self._flow.give_retry_back(self._service)

    def _cancel_replacement(self) -> None:
        """Ends a replacement that is not needed any more."""
        replacement, self._replacement = self._replacement, None
        if replacement is None:
            return
        if replacement.attempt.backend is not None:
            self._has_lost_attempt = True
        else:
            self._give_attempt_back()
        replacement.cancel()
        replacement_module.log_step(self._request, "cancelled")

    def _switch(
        self, error: attempt_module.FailedAttempt
    ) -> attempt_module.Reply | None:
        """Closes a failed attempt and waits for its replacement.

        Returns:
            The head of the replacement's answer; None without a replacement, or
            if that failed, too.
        """
        failed, replacement = self._attempt, self._replacement
        assert failed is not None
        failed.close()
        if replacement is None:
            return None
        if not self._flow.is_safe_to_repeat(self._request, error):
            self._cancel_replacement()
            return None
        try:
            reply = replacement.wait()
        except BaseException:
            self._cancel_replacement()
            raise
        if reply is None:
            self._drop_replacement(replacement)
            return None
        self._replacement = None
        if failed.backend is not None:
            self._excluded |= {failed.backend.key}
        self._attempt = replacement.attempt
        self._read_ahead = replacement.data
        replacement_module.log_step(self._request, "used", str(error))
        return reply

    def _close(self) -> None:
        """Ends all attempts."""
        self._cancel_replacement()
        if self._attempt is not None:
            self._attempt.close()

    def _record_failed_attempt(
        self,
        attempt: attempt_module.Attempt,
        error: attempt_module.FailedAttempt,
    ) -> bool:
        """Records a failed attempt and excludes its backend.

        Returns:
            Whether another attempt may follow; its retry is then acquired.
        """
        if attempt.backend is not None:
            self._excluded |= {attempt.backend.key}
        if not self._may_begin_attempt():
            return False
        if not self._flow.is_safe_to_repeat(self._request, error):
            return False
        if not self._flow.acquire_retry(self._service):
            return False
        log_retry(self._request, self._attempts_begun, str(error))
        return True

    def _relay_events(self) -> abc.Generator[bytes, None, None]:
        """Yields complete events, and resumes after the last one on failure."""
        try:
            while True:
                try:
                    yield from self._relay_attempt()
                    return
                except attempt_module.AttemptLostError as error:
                    self._resume(error)
        finally:
            self._close()

    def _relay_attempt(self) -> abc.Iterator[bytes]:
        attempt = self._attempt
        assert attempt is not None
        pending = bytearray()
        is_continued, has_events = self._has_delivered, False
        while data := self._read_more(attempt):
            search_start = max(
                0, len(pending) - len(continuation.EVENT_END) + 1
            )
            pending += data
            end = pending.rfind(continuation.EVENT_END, search_start)
            if end < 0:
                if len(pending) > MAX_EVENT_BYTES:
                    raise attempt.record_loss("an event passes the bound")
                continue
            events = bytes(pending[: end + len(continuation.EVENT_END)])
            del pending[: end + len(continuation.EVENT_END)]
            if is_continued:
                self._check_events(attempt, events, has_events)
                if not has_events and continuation.is_comment(events):
                    continue
            self._record_events(attempt, events)
            has_events = True
            yield events
        if pending.strip():
            raise attempt.record_loss(
                "the answer ended in the middle of an event",
                is_cut=attempt.is_unframed(),
            )
        if not has_events and attempt.is_unframed():
            raise attempt.record_loss(
                "the connection ended before the first event", is_cut=True
            )
        if is_continued and not has_events:
            # An upstream that knows nothing of the stream ends like this, too.
            raise attempt.record_loss("the answer went on with no event")
        self._cancel_replacement()
        attempt.finish()

    def _read_more(self, attempt: attempt_module.Attempt) -> bytes:
        data, self._read_ahead = self._read_ahead, b""
        return data or attempt.read_more(self._is_replaced)

    def _check_events(
        self, attempt: attempt_module.Attempt, events: bytes, has_joined: bool
    ) -> None:
        fault = continuation.find_fault(events, self._position, has_joined)
        if fault:
            raise attempt.record_loss(fault)

    def _record_events(
        self, attempt: attempt_module.Attempt, events: bytes
    ) -> None:
        """Records events that the caller is about to receive."""
        if continuation.EVENT_ID.search(events):
            attempt.record_progress()
        if not continuation.is_comment(events):
            # The replacement was asked to go on after an earlier event.
            self._cancel_replacement()
        self._position = self._position.advance(events)
        self._has_delivered = True

    def _resume(self, error: attempt_module.AttemptLostError) -> None:
        """Goes on with another attempt after the last event.

        Raises:
            BrokenAnswerError: no other upstream goes on with the answer.
        """
        assert self._attempt is not None
        broken = model.BrokenAnswerError(str(error))
        while self._switch(error) is None:
            if not self._is_resumable() or not self._record_failed_attempt(
                self._attempt, error
            ):
                raise broken from error
            try:
                reply = self._open()
            except model.RefusedError as refused:
                raise broken from refused
            if self._is_usable(reply):
                return
            error = attempt_module.AttemptLostError(
                f"status {reply.status} does not go on with the stream"
            )


@contextlib.contextmanager
def correct_refusal(
    request: model.Request, has_lost_attempt: bool
) -> abc.Iterator[None]:
    """Turns a refusal into a failure if an earlier attempt may have run."""
    try:
        yield
    except model.RefusedError as refused:
        if has_lost_attempt:
            raise build_failure(request, 502, str(refused)) from refused
        raise


def build_not_run_refusal(
    request: model.Request,
    error: attempt_module.NotRunError,
    has_lost_attempt: bool,
) -> model.RefusedError:
    """Returns the error for a request whose last attempt did not run.

    Args:
        request: the request.
        error: why the last attempt did not run.
        has_lost_attempt: whether an earlier attempt may have run.
    """
    if has_lost_attempt:
        return build_failure(request, 502, str(error))
    if isinstance(error, attempt_module.QuarantinedError):
        return build_quarantine_refusal(error.retry_after)
    return model.RefusedError(
        model.Refusal(
            status=503,
            code="upstream_busy" if error.is_busy else "upstream_unavailable",
            not_run=True,
            retry_after=RETRY_AFTER,
        )
    )


def build_quarantine_refusal(
    retry_after: datetime.timedelta,
) -> model.RefusedError:
    """Returns the error for a request that would crash its upstream."""
    return model.RefusedError(
        model.Refusal(
            status=503,
            code="request_quarantined",
            not_run=True,
            retry_after=retry_after,
        )
    )


def build_failure(
    request: model.Request, status: int, reason: str
) -> model.RefusedError:
    """Logs a failed request that may have run and returns its error."""
    eliot.log_message(
        "flow:failed",
        request_id=request.request_id,
        status=status,
        reason=reason,
    )
    return model.RefusedError(
        model.Refusal(status=status, code="attempt_lost", not_run=False)
    )


def log_retry(request: model.Request, attempts_made: int, reason: str) -> None:
    """Logs a retry of a request."""
    eliot.log_message(
        "flow:repeat",
        request_id=request.request_id,
        attempts=attempts_made,
        reason=reason,
    )


def _build_buffered_answer(
    reply: attempt_module.Reply, body: bytes
) -> model.Answer:
    return model.Answer(
        status=reply.status,
        fields=reply.fields,
        body=(body,),
        length=len(body),
    )


def _relay_long_answer(
    attempt: attempt_module.Attempt, reply: attempt_module.Reply, body: bytes
) -> model.Answer:
    """Returns an answer whose body is too long to buffer, as it arrives."""

    def relay() -> abc.Generator[bytes, None, None]:
        try:
            yield body
            while data := attempt.read_more():
                yield data
            attempt.finish()
        except attempt_module.AttemptLostError as error:
            raise model.BrokenAnswerError(str(error)) from error
        finally:
            attempt.close()

    chunks = relay()
    # The generator is started here, so that closing it ends the attempt and
    # frees the slot in any case.
    first = next(chunks)
    return model.Answer(
        status=reply.status,
        fields=reply.fields,
        body=_prepend(first, chunks),
        length=attempt.get_stated_length(),
    )


def _prepend(
    first: bytes, events: abc.Generator[bytes, None, None]
) -> abc.Iterator[bytes]:
    """Yields the first item, then the others; closes `events` in any case."""
    try:
        yield first
        yield from events
    finally:
        events.close()
