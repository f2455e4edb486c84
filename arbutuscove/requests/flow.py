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

from arbutuscove.admission import service as admission_module
from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.limits import service as limits_module
from arbutuscove.requests import answers
from arbutuscove.requests import claims
from arbutuscove.requests import failures
from arbutuscove.requests import resume
from arbutuscove.upstreams import engine as engine_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import pool

SERVICE_NAME = "requests"
ATTEMPT_LIMIT = 3  # dispatches of one request
RETRY_AFTER = datetime.timedelta(seconds=2)
BACKOFF = datetime.timedelta(milliseconds=50)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An answer that has begun: its resume token and its events."""

    token: str
    attempt_id: str
    events: abc.Iterator[bytes]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelRequest:
    """A request to a model; `repeatable` permits a second run."""

    work: work_module.Work
    body: dict[str, typing.Any]
    repeatable: bool


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
    ) -> None:
        self._clock = clock
        self._admission = admission
        self._limits = limits
        self._engines = engines
        self._tokens = tokens
        self._random = generator

    def run(self, request: ModelRequest) -> Answer:
        """Returns the answer once its first event is there.

        Raises:
            failures.RequestFailedError: there is no answer.
        """
        reservation = self._limits.reserve(request.work)
        if reservation.is_error():
            raise failures.RequestFailedError(
                reservation.error, failures.Run.NOT_RUN
            )
        try:
            return self._run_attempts(request, reservation.ok)
        except failures.RequestFailedError as error:
            known = 0 if error.run == failures.Run.NOT_RUN else None
            self._limits.settle(reservation.ok, known)
            raise

    def resume(self, point: resume.ResumePoint, after: int) -> Answer:
        """Continues an answer after an event number."""
        client = self._engines.get(point.address)
        events = answers.read_answer(client, point.stream, None, after + 1)
        return Answer(
            token=self._tokens.issue(point),
            attempt_id=point.stream,
            events=events,
        )

    def _run_attempts(
        self,
        request: ModelRequest,
        reservation: limits_module.Reservation,
    ) -> Answer:
        work = request.work
        run = failures.Run.NOT_RUN
        for attempt in range(ATTEMPT_LIMIT):
            admitted = self._admission.admit(work)
            if admitted.is_error():
                raise failures.RequestFailedError(admitted.error, run)
            ticket = admitted.ok
            outcome = self._attempt(request, ticket, reservation)
            if isinstance(outcome, Answer):
                return outcome
            self._admission.finish(ticket, 0)
            if outcome == failures.Run.UNKNOWN:
                run = failures.Run.UNKNOWN
                if not request.repeatable:
                    break
            excluded = work.excluded | {ticket.replica.replica}
            work = dataclasses.replace(work, excluded=excluded)
            self._clock.sleep(BACKOFF * self._random.uniform(0, 2**attempt))
        raise failures.RequestFailedError(
            work_module.Refusal(
                status=503,
                code="upstream_failed",
                message="no upstream completed the request",
                retry_after=RETRY_AFTER,
            ),
            run,
        )

    def _attempt(
        self,
        request: ModelRequest,
        ticket: work_module.Ticket,
        reservation: limits_module.Reservation,
    ) -> Answer | failures.Run:
        replica = ticket.replica
        dispatch = engine_module.Dispatch(
            attempt_id=uuid.uuid4().hex,
            replica=replica.replica,
            generation=replica.generation,
            priority=ticket.work.rank.priority,
            body=request.body,
        )
        eliot.log_message(
            "request:dispatch",
            request_id=ticket.work.request_id,
            attempt=dispatch.attempt_id,
            replica=replica.replica,
        )
        client = self._engines.get(replica.leader.address)
        try:
            opened = client.open_stream(dispatch)
        except errors.NotDispatchedError:
            return failures.Run.NOT_RUN
        except errors.DispatchUnknownError:
            client.cancel_stream(dispatch.attempt_id)
            return failures.Run.UNKNOWN
        if opened.is_error():
            return failures.Run.NOT_RUN
        events = answers.read_answer(client, dispatch.attempt_id, opened.ok)
        try:
            first = next(events)
        except answers.AnswerIncompleteError as error:
            eliot.log_message("request:lost", reason=str(error))
            return failures.Run.UNKNOWN
        delivery = self._deliver(first, events, ticket, reservation)
        next(delivery)  # enters the try block, so that close() always settles
        point = resume.ResumePoint(
            service=ticket.work.service.name,
            replica=replica.replica,
            generation=replica.generation,
            address=replica.leader.address,
            stream=dispatch.attempt_id,
            account=claims.name_owner(
                ticket.work.service.name, ticket.work.account.name
            ),
            digest=ticket.work.digest,
        )
        return Answer(
            token=self._tokens.issue(point),
            attempt_id=dispatch.attempt_id,
            events=delivery,
        )

    def _deliver(
        self,
        first: bytes,
        events: abc.Iterator[bytes],
        ticket: work_module.Ticket,
        reservation: limits_module.Reservation,
    ) -> abc.Iterator[bytes]:
        count = 0
        whole = False
        try:
            yield b""
            yield first
            for event in events:
                count += 1
                yield event
            whole = True
        finally:
            self._admission.finish(ticket, count)
            self._limits.settle(reservation, count if whole else None)
