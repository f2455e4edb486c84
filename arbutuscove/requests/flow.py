"""Carries one request from admission to its whole answer.

The flow yields the verified events of the answer. Every refusal says whether
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
    status=499,  # in common use for a client that closed its request
    code="caller_left",
    message="the caller closed its connection before the request ran",
)
LENGTH_FIELDS = ("max_tokens", "max_completion_tokens")
REFUSED_BEFORE_RUN = (409, 429, 503)  # statuses of engines that ran nothing


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An answer that has begun: its resume token and its events."""

    token: str
    attempt_id: str
    events: abc.Iterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequest:
    """A request to a model; `repeatable` permits a second run.

    `caller` tells when the caller leaves; None where that is not known.
    """

    work: work_module.Work
    body: dict[str, typing.Any]
    repeatable: bool
    caller: presence.Presence | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Lost:
    """An attempt that brought no token, and what is known of it."""

    run: failures.RunStatus
    replica: str
    refused_as: int = 0  # status with which the engine found it at fault


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Usage:
    completion_tokens: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Report:
    usage: _Usage | None = None


class _Held:
    """What one attempt holds, given back exactly once."""

    def __init__(
        self,
        admission: admission_module.Admission,
        limits: limits_module.Limits,
        suspects: suspects_module.SuspectTracker,
        reservation: limits_module.Reservation,
        run: suspects_module.TrackedAttempt,
    ) -> None:
        self._admission = admission
        self._limits = limits
        self._suspects = suspects
        self._reservation: limits_module.Reservation | None = reservation
        self.run = run
        self.ticket: work_module.Ticket | None = None

    def release(
        self, tokens: int, used: int | None, whole: bool = False
    ) -> None:
        """Gives all back; further calls have no effect.

        Args:
            tokens: tokens that reached the caller.
            used: tokens generated, None if unknown.
            whole: whether the answer was whole.
        """
        reservation = self._reservation
        if reservation is None:
            return
        self._reservation = None
        if self.ticket is not None:
            self._admission.finish(self.ticket, tokens)
        self._limits.settle(reservation, used)
        self._suspects.end(self.run, whole)


class RequestFlow(services.BaseService):
    """Runs model requests through limits, admission and an engine."""

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
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._limits = limits
        self._engines = engines
        self._tokens = tokens
        self._random = generator
        self._budget = budget
        self._suspects = suspects

    def run(self, request: ModelRequest) -> Answer:
        """Returns the answer once its first event is there.

        Raises:
            failures.RequestFailedError: there is no answer.
        """
        self._budget.record_request()
        work = request.work
        made = attempts_module.Attempts()
        while True:
            outcome = self._run_once(request, work, made.run)
            if isinstance(outcome, Answer):
                return outcome
            made = made.add(outcome.run)
            if outcome.refused_as:
                raise failures.RequestFailedError(
                    _refuse_request(outcome.refused_as), made.run
                )
            left = work.deadline - self._clock.monotonic()
            if not attempts_module.may_retry(
                made, request.repeatable, left, self._budget
            ):
                raise failures.RequestFailedError(_refuse_failed(), made.run)
            excluded = self._suspects.exclude_replica(
                work.service.name, outcome.replica
            )
            work = dataclasses.replace(work, excluded=excluded)
            self._clock.sleep(
                attempts_module.draw_backoff(made.count, self._random)
            )

    def resume(
        self,
        point: resume.ResumePoint,
        after: int,
        deadline: datetime.timedelta,
    ) -> Answer:
        """Continues an answer after an event number, until a deadline."""
        client = self._engines.get(point.address)
        events = answers.read_answer(
            client, point.stream, None, after + 1, self._bound(deadline)
        )
        return Answer(
            token=self._tokens.issue(point),
            attempt_id=point.stream,
            events=events,
        )

    def _bound(self, deadline: datetime.timedelta) -> answers.Bounds:
        return answers.Bounds(
            clock=self._clock, deadline=deadline, generator=self._random
        )

    def _run_once(
        self,
        request: ModelRequest,
        work: work_module.Work,
        run: failures.RunStatus,
    ) -> Answer | _Lost:
        # Each attempt has its own reservation, since a lost attempt may have
        # generated as many tokens as were reserved for it.
        begun = self._suspects.begin(work)
        if begun.is_error():
            raise failures.RequestFailedError(begun.error, run)
        trial = begun.ok.trial is not None
        excluded = begun.ok.excluded
        if not trial:
            excluded |= work.excluded
        work = dataclasses.replace(work, excluded=excluded, suspect=trial)
        reserved = self._limits.reserve(work)
        if reserved.is_error():
            self._suspects.end(begun.ok, is_complete=False)
            raise failures.RequestFailedError(reserved.error, run)
        held = _Held(
            self._admission,
            self._limits,
            self._suspects,
            reserved.ok,
            begun.ok,
        )
        used: int | None = 0
        try:
            admitted = self._admit(request, work, run)
            if admitted.is_error():
                raise failures.RequestFailedError(admitted.error, run)
            held.ticket = admitted.ok
            used = None
            outcome = self._attempt(request, admitted.ok, held)
        except BaseException:
            held.release(0, used)
            raise
        if isinstance(outcome, _Lost):
            known: int | None = 0
            if outcome.run == failures.RunStatus.NOT_RUN:
                self._suspects.cancel(begun.ok)
            else:
                known = None
                self._suspects.report_loss(begun.ok, work.deadline)
            held.release(0, known)
        return outcome

    def _admit(
        self,
        request: ModelRequest,
        work: work_module.Work,
        run: failures.RunStatus,
    ) -> admission_module.Admitted:
        if request.caller is None:
            return self._admission.admit(work)
        try:
            with request.caller.watch():
                return self._admission.admit(work)
        except presence.CallerLeftError as error:
            raise failures.RequestFailedError(CALLER_LEFT, run) from error

    def _attempt(
        self, request: ModelRequest, ticket: work_module.Ticket, held: _Held
    ) -> Answer | _Lost:
        replica = ticket.replica
        dispatch = engine_module.Dispatch(
            attempt_id=uuid.uuid4().hex,
            replica=replica.replica,
            generation=replica.generation,
            priority=ticket.work.rank.priority,
            body=_bound_body(request),
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
        # Signed while the engine works, so that it delays no first token.
        token = gevent.spawn(
            self._tokens.issue, _find_point(ticket, dispatch.attempt_id)
        )
        self._suspects.record_dispatch(held.run, replica)
        reader: engine_module.EventReader | None = None
        try:
            opened = client.open_stream(dispatch)
            if opened.is_error():
                return _judge_refusal(opened.error.status, replica.replica)
            reader = opened.ok
        except errors.NotDispatchedError:
            return _Lost(
                run=failures.RunStatus.NOT_RUN, replica=replica.replica
            )
        except errors.DispatchUnknownError as error:
            # The engine may be running it: its stream is resumed from the
            # start, which cannot run it a second time.
            eliot.log_message("request:unconfirmed", reason=str(error))
        bounds = self._bound(ticket.work.deadline)
        events = answers.read_answer(
            client, dispatch.attempt_id, reader, bounds=bounds
        )
        try:
            first = next(events)
        except answers.AnswerIncompleteError as error:
            eliot.log_message("request:lost", reason=str(error))
            gevent.spawn(client.cancel_stream, dispatch.attempt_id)
            return _Lost(
                run=failures.RunStatus.UNKNOWN, replica=replica.replica
            )
        delivery = self._deliver(first, events, held, client, dispatch)
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
        held: _Held,
        client: engine_module.EngineClient,
        dispatch: engine_module.Dispatch,
    ) -> abc.Iterator[bytes]:
        count = 0
        used = None
        previous = last = first
        try:
            yield b""
            yield first
            for event in events:
                count += 1
                previous, last = last, event
                yield event
            used = _count_used(previous, count)
        except answers.DeadlinePassedError:
            gevent.spawn(client.cancel_stream, dispatch.attempt_id)
            raise
        except answers.AnswerIncompleteError:
            if held.ticket is not None:
                deadline = held.ticket.work.deadline
                self._suspects.report_loss(held.run, deadline)
            raise
        finally:
            held.release(count, used, whole=used is not None)


def _find_point(
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


def _bound_body(request: ModelRequest) -> dict[str, typing.Any]:
    """Returns the body with an answer length that the reservation covers.

    An engine that is given no length generates as many tokens as fit into
    its context, which could exceed the approved limit.
    """
    work = request.work
    if not work.service.limits.tokens_per_period:
        return request.body
    choices = request.body.get("n")
    if not isinstance(choices, int) or choices < 1:
        choices = 1
    longest = max(1, work.tokens // choices)
    body = dict(request.body)
    given = [name for name in LENGTH_FIELDS if isinstance(body.get(name), int)]
    for name in given or LENGTH_FIELDS[:1]:
        body[name] = min(longest, body.get(name) or longest)
    return body


def _count_used(event: bytes, count: int) -> int:
    """Returns the tokens that the engine reports in its last data event.

    Without a report the events are counted.
    """
    try:
        report = msgspec.json.decode(
            event.partition(b"data: ")[2], type=_Report
        )
    except msgspec.DecodeError:
        return count
    if report.usage is None:
        return count
    return report.usage.completion_tokens


def _judge_refusal(status: int, replica: str) -> _Lost:
    """Returns what a status other than 200 says of the request.

    An engine answers 409, 429 and 503 before it runs anything, and another
    4xx when the request is at fault. Any other status, such as 500 or 502,
    may come after the request has begun to run.
    """
    if status in REFUSED_BEFORE_RUN:
        return _Lost(run=failures.RunStatus.NOT_RUN, replica=replica)
    if 400 <= status < 500:
        return _Lost(
            run=failures.RunStatus.NOT_RUN, replica=replica, refused_as=status
        )
    return _Lost(run=failures.RunStatus.UNKNOWN, replica=replica)


def _refuse_request(status: int) -> work_module.Refusal:
    return work_module.Refusal(
        status=status,
        code="upstream_refused",
        message=f"the engine refused the request with status {status}",
    )


def _refuse_failed() -> work_module.Refusal:
    return work_module.Refusal(
        status=503,
        code="upstream_failed",
        message="no upstream completed the request",
        retry_after=RETRY_AFTER,
    )
