"""Streamed answers, from one backend or several.

If a resumable stream fails, it continues from another backend within the same
response, after the last complete event that the caller received. While its
backend is silent, another one is asked beside it (`relay.replacement`).
"""

import datetime
import typing
from collections import abc

from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import attempt as attempt_module
from arbutuscove.relay import bodies
from arbutuscove.relay import context as context_module
from arbutuscove.relay import continuation
from arbutuscove.relay import model
from arbutuscove.relay import outcomes
from arbutuscove.relay import refusals
from arbutuscove.relay import replacement as replacement_module
from arbutuscove.relay import replies

# Pause between two replacements of one silent attempt, of which the first got
# no slot.
REPLACEMENT_INTERVAL = datetime.timedelta(milliseconds=500)
# A broken stream whose next attempt is not sent tries again for this long.
# Callers give a silent stream up after two seconds at the earliest, and may
# resume it at another daemon.
MAX_RESUME_WAIT = datetime.timedelta(seconds=2)
RESUME_INTERVAL = datetime.timedelta(milliseconds=200)


class RetryPolicy(typing.Protocol):
    """What all requests share: services of attempts, and the retry budgets."""

    context: context_module.AttemptContext
    clock: clock_module.Clock

    def is_safe_to_repeat(
        self,
        request: model.Request,
        error: outcomes.FailedAttempt,
        has_delivered: bool = False,
    ) -> bool:
        """Returns whether another attempt crashes no upstream, as known now."""

    def may_try_elsewhere(
        self, request: model.Request, unsent_count: int
    ) -> bool:
        """Returns whether a request that was not sent may go elsewhere."""

    def acquire_retry(self, service: str) -> bool:
        """Acquires one retry from the budget of a service, if there is one."""

    def give_retry_back(self, service: str) -> None:
        """Returns the last retry that was acquired and not used."""


class StreamedAnswer:
    """A streamed answer, from one backend or several."""

    def __init__(
        self, policy: RetryPolicy, request: model.Request, service: str
    ) -> None:
        self._policy = policy
        self._request = request
        self._service = service
        # What the caller has received.
        self._position = continuation.Position(event_id=request.last_event)
        self._excluded: frozenset[model.BackendKey] = frozenset()
        self._attempts_begun = 0
        self._unsent_count = 0
        self._has_lost_attempt = False
        self._attempt: attempt_module.Attempt | None = None
        self._replacement: replacement_module.Replacement | None = None
        self._next_replacement_at = request.arrived
        # Bytes that a replacement has read of its answer.
        self._read_ahead = b""
        # The head of the stream that the caller receives.
        self._first: replies.Reply | None = None
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
            except outcomes.AttemptLostError as error:
                raise refusals.build_failure(
                    self._request, 502, str(error)
                ) from error
            finally:
                self._close()
            return bodies.build_answer(reply, body)
        self._first = reply
        events = self._relay_events()
        try:
            # The head is returned only after the first event: if the attempt
            # fails before it, the caller gets an error status instead of a
            # closed connection.
            first = next(events, b"")
        except model.BrokenAnswerError as error:
            raise refusals.build_failure(
                self._request, 502, str(error)
            ) from error
        return model.Answer(
            status=reply.status,
            fields=reply.fields,
            body=bodies.prepend(first, events),
            length=None,
        )

    def _is_resumable(self) -> bool:
        return (
            self._request.route.repeat.is_idempotent and self._position.is_known
        )

    def _open(self) -> replies.Reply:
        """Makes attempts until one returns the head of a response."""
        while True:
            attempt = self._begin_attempt()
            self._attempt = attempt
            try:
                with refusals.correct_refusal(
                    self._request, self._has_lost_attempt
                ):
                    reply = attempt.open(
                        self._excluded,
                        self._position.event_id,
                        self._is_replaced,
                        may_have_run=self._has_lost_attempt
                        or self._has_delivered,
                    )
                self._cancel_replacement()
                return reply
            except outcomes.NotRunError as error:
                replaced = self._switch(error)
                if replaced is not None:
                    return replaced
                if not self._may_go_on(attempt, error):
                    raise refusals.build_not_run_refusal(
                        self._request,
                        error,
                        self._has_lost_attempt,
                        self._policy.context.dispatcher.get_pause(
                            self._service, self._request
                        ),
                    ) from error
            except outcomes.AttemptLostError as error:
                self._has_lost_attempt = True
                replaced = self._switch(error)
                if replaced is not None:
                    return replaced
                if not self._is_resumable() or not self._record_failed_attempt(
                    attempt, error
                ):
                    passed = self._request.deadline <= (
                        self._policy.clock.monotonic()
                    )
                    raise refusals.build_failure(
                        self._request, 504 if passed else 502, str(error)
                    ) from error
            except BaseException:
                self._close()
                raise

    def _begin_attempt(self) -> attempt_module.Attempt:
        self._attempts_begun += 1
        return attempt_module.Attempt(
            self._policy.context, self._request, self._service
        )

    def _may_go_on(
        self,
        attempt: attempt_module.Attempt,
        error: outcomes.NotRunError,
    ) -> bool:
        """Returns whether another attempt may follow one that did not run."""
        match error:
            case outcomes.UnsentError():
                self._attempts_begun -= 1
                self._unsent_count += 1
                if isinstance(error, outcomes.NoPathError):
                    return False
                if attempt.backend is not None:
                    self._excluded |= {attempt.backend.key}
                return self._policy.may_try_elsewhere(
                    self._request, self._unsent_count
                )
            case _:
                return self._record_failed_attempt(attempt, error)

    def _may_begin_attempt(self) -> bool:
        """Returns whether attempts and time are left for another one."""
        end = self._policy.context.compute_end(self._request)
        left = end - self._policy.clock.monotonic()
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
        now = self._policy.clock.monotonic()
        stalled = self._attempt
        if (
            stalled is None
            or stalled.backend is None
            or now < self._next_replacement_at
            or not self._is_resumable()
            or not self._may_begin_attempt()
            or not self._policy.context.crashes.may_repeat(self._request)
        ):
            return
        self._next_replacement_at = now + REPLACEMENT_INTERVAL
        if not self._policy.acquire_retry(self._service):
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

    def _is_usable(self, reply: replies.Reply) -> bool:
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
        if backend is not None:
            self._excluded |= {backend.key}
        if backend is None or replacement.is_unsent:
            self._give_attempt_back()
        else:
            self._has_lost_attempt = True
        replacement_module.log_step(self._request, "failed", replacement.reason)

    def _give_attempt_back(self) -> None:
        """Takes back an attempt that got no slot, and its retry."""
        self._attempts_begun -= 1
        self._policy.give_retry_back(self._service)

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

    def _switch(self, error: outcomes.FailedAttempt) -> replies.Reply | None:
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
        # An answered replacement is used in any case: its backend has survived
        # the request.
        if replacement.reply is None and not self._policy.is_safe_to_repeat(
            self._request, error, self._has_delivered
        ):
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
        error: outcomes.FailedAttempt,
    ) -> bool:
        """Records a failed attempt and excludes its backend.

        Returns:
            Whether another attempt may follow; its retry is then acquired.
        """
        if attempt.backend is not None and attempt.was_sent():
            self._excluded |= {attempt.backend.key}
        if not self._may_begin_attempt():
            return False
        if not self._policy.is_safe_to_repeat(
            self._request, error, self._has_delivered
        ):
            return False
        if not self._policy.acquire_retry(self._service):
            return False
        refusals.log_retry(self._request, self._attempts_begun, str(error))
        return True

    def _relay_events(self) -> abc.Generator[bytes, None, None]:
        """Yields complete events, and resumes after the last one on failure."""
        try:
            while True:
                try:
                    yield from self._relay_attempt()
                    return
                except outcomes.AttemptLostError as error:
                    self._resume(error)
        finally:
            self._close()

    def _relay_attempt(self) -> abc.Iterator[bytes]:
        attempt = self._attempt
        assert attempt is not None
        pending = bytearray()
        # Bytes of comments since the last event.
        idle_size = 0
        is_continued, has_events = self._has_delivered, False
        while data := self._read_more(attempt):
            search_start = max(
                0, len(pending) - len(continuation.EVENT_END) + 1
            )
            pending += data
            end = pending.rfind(continuation.EVENT_END, search_start)
            if idle_size + len(pending) > continuation.MAX_EVENT_BYTES and (
                end < 0 or continuation.is_comment(bytes(pending))
            ):
                raise attempt.record_loss("an event passes the bound")
            if end < 0:
                continue
            events = bytes(pending[: end + len(continuation.EVENT_END)])
            del pending[: end + len(continuation.EVENT_END)]
            is_idle = continuation.is_comment(events)
            idle_size = idle_size + len(events) if is_idle else 0
            if is_continued:
                self._check_events(attempt, events, has_events)
                if not has_events and is_idle:
                    continue
            self._record_events(attempt, events, is_idle)
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
        self, attempt: attempt_module.Attempt, events: bytes, is_idle: bool
    ) -> None:
        """Records events that the caller is about to receive.

        Args:
            attempt: the attempt that received them.
            events: the events.
            is_idle: whether they are nothing but comments.
        """
        if continuation.EVENT_ID.search(events):
            attempt.record_progress()
        if not is_idle:
            # The replacement was asked to go on after an earlier event.
            self._cancel_replacement()
        self._position = self._position.advance(events)
        self._has_delivered = True

    def _resume(self, error: outcomes.AttemptLostError) -> None:
        """Goes on with another attempt after the last event.

        Raises:
            BrokenAnswerError: no other upstream goes on with the answer.
        """
        assert self._attempt is not None
        broken = model.BrokenAnswerError(str(error))
        end = self._policy.clock.monotonic() + MAX_RESUME_WAIT
        while self._switch(error) is None:
            if not self._is_resumable() or not self._record_failed_attempt(
                self._attempt, error
            ):
                raise broken from error
            try:
                reply = self._open()
            except model.RefusedError as refused:
                if not self._wait_unsent(end):
                    raise broken from refused
                continue
            if self._is_usable(reply):
                return
            error = outcomes.AttemptLostError(
                f"status {reply.status} does not go on with the stream"
            )

    def _wait_unsent(self, end: datetime.timedelta) -> bool:
        """Waits before another attempt if the last one was sent nowhere.

        It had no slot, or no upstream accepted a connection for it.

        Args:
            end: when to give the stream up.

        Returns:
            Whether another attempt may be made.
        """
        assert self._attempt is not None
        now = self._policy.clock.monotonic()
        if self._attempt.was_sent() or now >= end:
            return False
        if self._attempt.backend is None:
            self._give_attempt_back()
        else:
            self._policy.give_retry_back(self._service)
        self._unsent_count = 0
        self._policy.clock.sleep(RESUME_INTERVAL)
        return True
