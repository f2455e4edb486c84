"""Runs model requests: limits, admission, dispatch, retries and the answer.

The flow yields the verified events of an answer. Each refusal states whether
the request was run.
"""

import dataclasses
import datetime
import random
import typing
import uuid
from collections import abc

import eliot
import gevent
import msgspec

from arbutuscove.admission import service as admission_module
from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.kernel import services
from arbutuscove.limits import service as limits_module
from arbutuscove.requests import answers
from arbutuscove.requests import attempts as attempts_module
from arbutuscove.requests import claims
from arbutuscove.requests import failures
from arbutuscove.requests import presence
from arbutuscove.requests import resume
from arbutuscove.requests import suspects as suspects_module
from arbutuscove.upstreams import engine as engine_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import pool

SERVICE_NAME = "requests"
RETRY_AFTER = datetime.timedelta(seconds=2)
CALLER_LEFT = work_module.Refusal(
    status=499,  # in common use if the client closed its connection
    code="caller_left",
    message="the caller closed its connection before the request ran",
)
ANSWER_LENGTH_FIELDS = ("max_tokens", "max_completion_tokens")
NOT_RUN_STATUSES = (409, 429, 503)  # an engine sends these before a run
FULL_STATUS = 429
MAX_REPORT_BYTES = 1024 * 1024  # of the last event of an answer
MAX_TOKENS = 1_000_000_000  # of one answer

_TokenCount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A started answer with its resume token and its events."""

    token: str
    attempt_id: str
    events: abc.Iterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequest:
    """A request to a model.

    Attributes:
        work: the request as seen by admission and limits.
        body: the decoded body for the engine.
        repeatable: whether the request may run more than once.
        caller: detects that the caller disconnects; None if that is not
            possible.
    """

    work: work_module.Work
    body: dict[str, typing.Any]
    repeatable: bool
    caller: presence.Presence | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _LostAttempt:
    """An attempt that returned no token.

    Attributes:
        run: whether the attempt ran the request.
        replica: the replica of the attempt.
        rejected_status: the status with which the engine rejected the request
            as faulty, otherwise 0.
        is_unfit: whether the engine would not run any request now, for another
            reason than its load.
    """

    run: failures.RunStatus
    replica: str
    rejected_status: int = 0
    is_unfit: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Usage:
    completion_tokens: _TokenCount


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Report:
    usage: _Usage | None = None


_REPORT_DECODER = decoding.JsonDecoder[_Report](_Report, MAX_REPORT_BYTES)


class _AttemptResources:
    """The resources of one attempt, which are released exactly once."""

    def __init__(
        self,
        admission: admission_module.Admission,
        limits: limits_module.Limits,
        suspects: suspects_module.SuspectTracker,
        reservation: limits_module.Reservation,
        tracked_attempt: suspects_module.TrackedAttempt,
    ) -> None:
        self._admission = admission
        self._limits = limits
        self._suspects = suspects
        self._reservation: limits_module.Reservation | None = reservation
        self.tracked_attempt = tracked_attempt
        self.ticket: work_module.Ticket | None = None

    def release(
        self, tokens: int, used: int | None, is_complete: bool = False
    ) -> None:
        """Releases all resources; further calls have no effect.

        Args:
            tokens: number of tokens delivered to the caller.
            used: number of generated tokens, None if unknown.
            is_complete: whether the answer was delivered to the end.
        """
        reservation = self._reservation
        if reservation is None:
            return
        self._reservation = None
        if self.ticket is not None:
            self._admission.finish(self.ticket, tokens)
        self._limits.settle(reservation, used)
        self._suspects.end(self.tracked_attempt, is_complete)


class RequestFlow(services.BaseService):
    """Runs model requests: reserves tokens, waits for admission, dispatches."""

    def __init__(
        self,
        clock: clock_module.Clock,
        admission: admission_module.Admission,
        limits: limits_module.Limits,
        engines: pool.EnginePool,
        tokens: resume.ResumeTokens,
        generator: random.Random,
        budget: attempts_module.RetryBudget,
        suspects: suspects_module.SuspectTracker,
        record_rejection: abc.Callable[[work_module.Ticket], None] = (
            lambda ticket: None
        ),
    ) -> None:
        self._record_rejection = record_rejection
        self._clock = clock
        self._admission = admission
        self._limits = limits
        self._engines = engines
        self._tokens = tokens
        self._random = generator
        self._budget = budget
        self._suspects = suspects

    def run(self, request: ModelRequest) -> Answer:
        """Returns an answer once its first event has been received.

        Raises:
            failures.RequestFailedError: no attempt started an answer.
        """
        self._budget.record_request()
        work = request.work
        lost = attempts_module.Attempts()
        while True:
            outcome = self._run_attempt(request, work, lost.run)
            if isinstance(outcome, Answer):
                return outcome
            lost = lost.add(outcome.run)
            if outcome.rejected_status:
                raise failures.RequestFailedError(
                    _build_rejection(outcome.rejected_status), lost.run
                )
            remaining = work.deadline - self._clock.monotonic()
            if not self._suspects.may_repeat(
                work
            ) or not attempts_module.may_retry(
                lost, request.repeatable, remaining, self._budget
            ):
                raise failures.RequestFailedError(_build_failure(), lost.run)
            excluded = self._suspects.exclude_replica(
                work.service.name, outcome.replica
            )
            work = dataclasses.replace(work, excluded=excluded)
            self._clock.sleep(
                attempts_module.draw_backoff(lost.count, self._random)
            )

    def resume(
        self,
        point: resume.ResumePoint,
        after: int,
        deadline: datetime.timedelta,
    ) -> Answer:
        """Resumes an answer after an event number, until a deadline."""
        client = self._engines.get(point.address)
        events = answers.read_answer(
            client,
            point.stream,
            None,
            after + 1,
            self._build_read_policy(deadline),
        )
        return Answer(
            token=self._tokens.issue(point),
            attempt_id=point.stream,
            events=events,
        )

    def _build_read_policy(
        self, deadline: datetime.timedelta
    ) -> answers.ReadPolicy:
        return answers.ReadPolicy(
            clock=self._clock, deadline=deadline, generator=self._random
        )

    def _run_attempt(
        self,
        request: ModelRequest,
        work: work_module.Work,
        run_status: failures.RunStatus,
    ) -> Answer | _LostAttempt:
        # Each attempt has its own reservation, since a lost attempt may have
        # generated as many tokens as were reserved for it.
        begun = self._suspects.begin(work)
        if begun.is_error():
            raise failures.RequestFailedError(begun.error, run_status)
        is_trial = begun.ok.trial is not None
        excluded = begun.ok.excluded
        if not is_trial:
            excluded |= work.excluded
        work = dataclasses.replace(work, excluded=excluded, is_suspect=is_trial)
        reserved = self._limits.reserve(work)
        if reserved.is_error():
            self._suspects.end(begun.ok, is_complete=False)
            raise failures.RequestFailedError(reserved.error, run_status)
        resources = _AttemptResources(
            self._admission,
            self._limits,
            self._suspects,
            reserved.ok,
            begun.ok,
        )
        used: int | None = 0
        try:
            admitted = self._admit(request, work, run_status)
            if admitted.is_error():
                raise failures.RequestFailedError(admitted.error, run_status)
            resources.ticket = admitted.ok
            used = None
            outcome = self._dispatch(request, admitted.ok, resources)
        except BaseException:
            resources.release(0, used)
            raise
        if isinstance(outcome, _LostAttempt):
            used_by_lost_attempt: int | None = 0
            if outcome.run == failures.RunStatus.NOT_RUN:
                self._suspects.cancel(begun.ok)
                if outcome.is_unfit:
                    self._record_rejection(resources.ticket)
            else:
                used_by_lost_attempt = None
                self._suspects.report_loss(begun.ok, work.deadline)
            resources.release(0, used_by_lost_attempt)
        return outcome

    def _admit(
        self,
        request: ModelRequest,
        work: work_module.Work,
        run_status: failures.RunStatus,
    ) -> admission_module.AdmissionResult:
        if request.caller is None:
            return self._admission.admit(work)
        try:
            with request.caller.watch():
                return self._admission.admit(work)
        except presence.CallerLeftError as error:
            raise failures.RequestFailedError(
                CALLER_LEFT, run_status
            ) from error

    def _dispatch(
        self,
        request: ModelRequest,
        ticket: work_module.Ticket,
        resources: _AttemptResources,
    ) -> Answer | _LostAttempt:
        replica = ticket.replica
        dispatch = engine_module.Dispatch(
            attempt_id=uuid.uuid4().hex,
            replica=replica.replica,
            generation=replica.generation,
            priority=ticket.work.rank.priority,
            body=_cap_answer_length(request),
        )
        eliot.log_message(
            "request:dispatch",
            request_id=ticket.work.request_id,
            attempt=dispatch.attempt_id,
            replica=replica.replica,
            rank=ticket.work.rank.name,
            waited=(ticket.admitted - ticket.work.arrived).total_seconds(),
        )
        client = self._engines.get(replica.leader.address)
        # Signed concurrently with the call of the engine, so that signing does
        # not delay the first token.
        token = gevent.spawn(
            self._tokens.issue, _build_resume_point(ticket, dispatch.attempt_id)
        )
        self._suspects.record_dispatch(resources.tracked_attempt, replica)
        reader: engine_module.EventReader | None = None
        try:
            opened = client.open_stream(dispatch)
            if opened.is_error():
                return _classify_rejection(opened.error.status, replica.replica)
            reader = opened.ok
        except errors.NotDispatchedError:
            return _LostAttempt(
                run=failures.RunStatus.NOT_RUN,
                replica=replica.replica,
                is_unfit=True,
            )
        except errors.DispatchUnknownError as error:
            # The engine may be running the request: its stream is resumed from
            # the start, which cannot run the request a second time.
            eliot.log_message("request:unconfirmed", reason=str(error))
        policy = self._build_read_policy(ticket.work.deadline)
        events = answers.read_answer(
            client, dispatch.attempt_id, reader, policy=policy
        )
        try:
            first = next(events)
        except answers.AnswerIncompleteError as error:
            eliot.log_message("request:lost", reason=str(error))
            gevent.spawn(client.cancel_stream, dispatch.attempt_id)
            return _LostAttempt(
                run=failures.RunStatus.UNKNOWN, replica=replica.replica
            )
        self._suspects.record_event(resources.tracked_attempt)
        delivery = self._deliver(first, events, resources, client, dispatch)
        next(delivery)  # enters the try block, so that close() always releases
        return Answer(
            token=token.get(),
            attempt_id=dispatch.attempt_id,
            events=delivery,
        )

    def _deliver(
        self,
        first: bytes,
        events: abc.Iterator[bytes],
        resources: _AttemptResources,
        client: engine_module.EngineClient,
        dispatch: engine_module.Dispatch,
    ) -> abc.Iterator[bytes]:
        token_count = 0
        used = None
        previous = last = first
        try:
            yield b""
            yield first
            for event in events:
                token_count += 1
                self._suspects.record_event(resources.tracked_attempt)
                previous, last = last, event
                yield event
            used = _read_token_count(previous, token_count)
        except answers.DeadlinePassedError:
            gevent.spawn(client.cancel_stream, dispatch.attempt_id)
            raise
        except answers.AnswerIncompleteError:
            if resources.ticket is not None:
                deadline = resources.ticket.work.deadline
                self._suspects.report_loss(resources.tracked_attempt, deadline)
            raise
        finally:
            resources.release(token_count, used, is_complete=used is not None)


def _build_resume_point(
    ticket: work_module.Ticket, attempt_id: str
) -> resume.ResumePoint:
    replica = ticket.replica
    service = ticket.work.service.name
    return resume.ResumePoint(
        service=service,
        replica=replica.replica,
        generation=replica.generation,
        address=replica.leader.address,
        stream=attempt_id,
        account=claims.qualify_account(service, ticket.work.account.name),
        digest=ticket.work.digest,
    )


def _cap_answer_length(request: ModelRequest) -> dict[str, typing.Any]:
    """Returns the body with the answer length capped to the reservation.

    Without a length an engine generates as many tokens as fit into its context,
    which could exceed the approved limit.
    """
    work = request.work
    if not work.service.limits.tokens_per_period:
        return request.body
    choices = request.body.get("n")
    if not isinstance(choices, int) or choices < 1:
        choices = 1
    max_length = max(1, work.tokens // choices)
    body = dict(request.body)
    present = [
        name for name in ANSWER_LENGTH_FIELDS if isinstance(body.get(name), int)
    ]
    for name in present or ANSWER_LENGTH_FIELDS[:1]:
        body[name] = min(max_length, body.get(name) or max_length)
    return body


def _read_token_count(event: bytes, event_count: int) -> int:
    """Returns the number of generated tokens from the last data event.

    If the engine does not report usage there, returns the number of events.
    """
    try:
        report = _REPORT_DECODER.decode(event.partition(b"data: ")[2])
    except decoding.DecodingError:
        return event_count
    if report.usage is None:
        return event_count
    return report.usage.completion_tokens


def _classify_rejection(status: int, replica: str) -> _LostAttempt:
    """Returns the lost attempt for a status other than 200.

    An engine answers 409, 429 and 503 before it runs anything, and another
    4xx status if the request is at fault. Any other status, such as 500 or
    502, may be sent after the request has begun to run.
    """
    if status in NOT_RUN_STATUSES:
        return _LostAttempt(
            run=failures.RunStatus.NOT_RUN,
            replica=replica,
            is_unfit=status != FULL_STATUS,
        )
    if 400 <= status < 500:
        return _LostAttempt(
            run=failures.RunStatus.NOT_RUN,
            replica=replica,
            rejected_status=status,
        )
    return _LostAttempt(run=failures.RunStatus.UNKNOWN, replica=replica)


def _build_rejection(status: int) -> work_module.Refusal:
    return work_module.Refusal(
        status=status,
        code="upstream_refused",
        message=f"the engine refused the request with status {status}",
    )


def _build_failure() -> work_module.Refusal:
    return work_module.Refusal(
        status=503,
        code="upstream_failed",
        message="no upstream completed the request",
        retry_after=RETRY_AFTER,
    )
