"""Serves chat completions, as event streams or as complete answers."""

import re
import typing
import uuid
from collections import abc

import eliot
import msgspec
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.entry import bodies
from arbutuscove.entry import callers
from arbutuscove.entry import completions
from arbutuscove.entry import connections
from arbutuscove.entry import documents
from arbutuscove.entry import headers
from arbutuscove.entry import refusals
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.requests import answers
from arbutuscove.requests import claims as claims_module
from arbutuscove.requests import failures
from arbutuscove.requests import flow as flow_module
from arbutuscove.requests import once as once_module
from arbutuscove.requests import resume as resume_module
from arbutuscove.upstreams import errors

EVENT_STREAM = "text/event-stream"
MAX_SHOWN_NAME_CHARS = 100  # of an unknown model, in the refusal
EVENT_NUMBER_PATTERN = re.compile(r"[0-9]{1,9}")
ERROR_CODE = "answer_incomplete"


class AnswerCutShortError(ConnectionError):
    """Makes the server close the connection without the final chunk."""


class ChatHandler:
    """Serves `POST /v1/chat/completions`.

    Args:
        clock: the clock.
        flow: runs requests at the replicas.
        once: at-most-once execution of non-repeatable requests.
        tokens: issues and verifies resume tokens.
        metrics: the metrics of this daemon.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        flow: flow_module.RequestFlow,
        once: once_module.AtMostOnce,
        tokens: resume_module.ResumeTokens,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._flow = flow
        self._once = once
        self._tokens = tokens
        self._metrics = metrics

    def handle(
        self,
        request: wrappers.Request,
        snapshot: config_model.Snapshot,
        request_id: str,
    ) -> wrappers.Response:
        """Returns the response, whose body may still be streaming.

        Args:
            request: the HTTP request.
            snapshot: the configuration in force.
            request_id: identity of the request.

        Raises:
            BadRequestError: the request is invalid.
            RequestFailedError: the request was rejected or has no answer.
        """
        arrived = self._clock.monotonic()
        callers_of_key = callers.authenticate(snapshot, request)
        content = request.get_data()
        body = documents.decode(content)
        caller = _select_caller(callers_of_key, str(body.get("model")))
        work = callers.build_work(
            request, caller, content, request_id, arrived, body
        )
        token = request.headers.get(headers.RESUME)
        if token is not None:
            answer = self._resume(request, token, caller, work)
            return self._stream(answer, None, bodies.AnswerMemory(None))
        repeat = request.headers.get(headers.REPEAT, "")
        repeatable = repeat.lower() != headers.NEVER
        held_claim = None
        if not repeatable:
            try:
                held_claim = self._claim(request, caller, work.digest)
            except once_module.AlreadyRanError as ran:
                return _replay(ran)
        answer = self._start(
            flow_module.ModelRequest(
                work=work,
                body=_enable_stream(body),
                repeatable=repeatable,
                caller=request.environ.get(connections.PRESENCE_KEY),
            ),
            held_claim,
        )
        first_token_time = self._clock.monotonic() - arrived
        labels = {"service": work.service.name, "rank": work.rank.name}
        self._metrics.first_token.observe(
            labels, first_token_time.total_seconds()
        )
        self._metrics.requests.inc(
            {**labels, "account": work.account.name, "code": "started"}
        )
        answer_memory = request.environ["wsgi.input"].hold_answer()
        if body.get("stream"):
            return self._stream(answer, held_claim, answer_memory)
        return self._assemble(answer, held_claim, answer_memory)

    def _claim(
        self, request: wrappers.Request, caller: callers.Caller, digest: str
    ) -> claims_module.HeldClaim:
        """Claims the idempotency key, before dispatch."""
        key = request.headers.get(headers.IDEMPOTENCY_KEY, "")
        if not key:
            raise refusals.BadRequestError(
                400,
                "missing_idempotency_key",
                f"{headers.REPEAT}: never needs {headers.IDEMPOTENCY_KEY}",
            )
        attempt_id = uuid.uuid4().hex
        return self._once.begin(
            _qualify_account(caller), key, attempt_id, digest
        )

    def _start(
        self,
        request: flow_module.ModelRequest,
        held_claim: claims_module.HeldClaim | None,
    ) -> flow_module.Answer:
        """Starts a request; cancels its claim if it certainly did not run."""
        try:
            return self._flow.run(request)
        except failures.RequestFailedError as error:
            if held_claim is None or error.run != failures.RunStatus.NOT_RUN:
                raise
            run = self._once.cancel(held_claim)
            raise failures.RequestFailedError(error.refusal, run) from error

    def _resume(
        self,
        request: wrappers.Request,
        token: str,
        caller: callers.Caller,
        work: work_module.Work,
    ) -> flow_module.Answer:
        """Resumes an answer after the last event that the caller received."""
        try:
            owner = _qualify_account(caller)
            point = self._tokens.verify(token, owner, work.digest)
        except resume_module.ResumeRefusedError as error:
            raise refusals.BadRequestError(
                400, "invalid_resume_token", str(error)
            ) from error
        last_event_id = request.headers.get(headers.LAST_EVENT_ID, "")
        stream, _, number = last_event_id.rpartition("-")
        is_valid = EVENT_NUMBER_PATTERN.fullmatch(number) is not None
        if last_event_id and (stream != point.stream or not is_valid):
            raise refusals.BadRequestError(
                400, "invalid_last_event_id", "event of another stream"
            )
        after = int(number) if last_event_id else -1
        return self._flow.resume(point, after, work.deadline)

    def _stream(
        self,
        answer: flow_module.Answer,
        held_claim: claims_module.HeldClaim | None,
        answer_memory: bodies.AnswerMemory,
    ) -> wrappers.Response:
        response = wrappers.Response(
            self._relay(answer, held_claim, answer_memory),
            content_type=EVENT_STREAM,
        )
        # Releases the admission ticket if the caller disconnects before the
        # first event.
        response.call_on_close(lambda: _close(answer.events))
        response.headers[headers.RESUME] = answer.token
        response.headers["Cache-Control"] = "no-store"
        return response

    def _relay(
        self,
        answer: flow_module.Answer,
        held_claim: claims_module.HeldClaim | None,
        answer_memory: bodies.AnswerMemory,
    ) -> abc.Iterator[bytes]:
        """Yields the events of the answer, then stores it under any claim."""
        relayed: list[bytes] | None = None if held_claim is None else []
        try:
            for event in answer.events:
                if relayed is not None:
                    relayed = _keep(relayed, event, answer_memory)
                yield event
        except answers.AnswerIncompleteError as error:
            eliot.log_message("answer:incomplete", reason=str(error))
            yield _build_error_event(str(error))
            raise AnswerCutShortError(104, ERROR_CODE) from error
        finally:
            _close(answer.events)
        if held_claim is None:
            return
        if relayed is None:
            self._once.finish(held_claim, None)
            return
        try:
            stored = msgspec.json.encode(completions.assemble(relayed))
        except completions.UnreadableAnswerError as error:
            # The caller has the whole answer; only its copy is not kept.
            eliot.log_message("answer:unreadable", reason=str(error))
            stored = None
        self._once.finish(held_claim, stored)

    def _assemble(
        self,
        answer: flow_module.Answer,
        held_claim: claims_module.HeldClaim | None,
        answer_memory: bodies.AnswerMemory,
    ) -> wrappers.Response:
        """Returns the complete answer, after storing it under any claim."""
        events = []
        try:
            for event in answer.events:
                answer_memory.reserve(len(event))
                events.append(event)
        except errors.NoMemoryError as error:
            raise failures.RequestFailedError(
                bodies.build_answer_refusal(), failures.RunStatus.UNKNOWN
            ) from error
        except answers.AnswerIncompleteError as error:
            refusal = refusals.BadRequestError(
                502, ERROR_CODE, str(error)
            ).refusal
            run = failures.RunStatus.UNKNOWN
            raise failures.RequestFailedError(refusal, run) from error
        finally:
            _close(answer.events)
        try:
            body = msgspec.json.encode(completions.assemble(events))
        except completions.UnreadableAnswerError as error:
            if held_claim is not None:
                self._once.finish(held_claim, None)
            refusal = refusals.BadRequestError(
                502, "answer_unreadable", str(error)
            ).refusal
            run = failures.RunStatus.RAN
            raise failures.RequestFailedError(refusal, run) from error
        if held_claim is not None:
            self._once.finish(held_claim, body)
        return wrappers.Response(body, content_type=refusals.JSON_TYPE)


def _enable_stream(body: dict[str, typing.Any]) -> dict[str, typing.Any]:
    """Returns the request body with streaming enabled.

    Engines always stream their answers, because only the numbered events of a
    stream show whether an answer is complete. For callers that do not stream,
    the engine is also asked to report the token usage.
    """
    if body.get("stream"):
        return body
    options = {"include_usage": True}
    return {**body, "stream": True, "stream_options": options}


def _qualify_account(caller: callers.Caller) -> str:
    return claims_module.qualify_account(
        caller.service.name, caller.account.name
    )


def _select_caller(
    candidates: list[callers.Caller], model: str
) -> callers.Caller:
    """Returns the caller whose service has the model or the name `model`."""
    for caller in candidates:
        backend = caller.service.model
        if backend is None:
            continue
        if model in (caller.service.name, backend.model):
            return caller
    raise refusals.BadRequestError(
        404,
        "unknown_model",
        f"no model {model[:MAX_SHOWN_NAME_CHARS]!r} for this key",
    )


def _replay(ran: once_module.AlreadyRanError) -> wrappers.Response:
    if ran.answer is None:
        refusal = refusals.BadRequestError(
            409, "already_ran", "the request ran; its answer is not kept"
        ).refusal
        raise failures.RequestFailedError(refusal, failures.RunStatus.RAN)
    response = wrappers.Response(ran.answer, content_type=refusals.JSON_TYPE)
    response.headers[headers.REPLAYED] = "true"
    response.headers[headers.RUN] = failures.RunStatus.RAN.value
    return response


def _build_error_event(message: str) -> bytes:
    refusal = refusals.BadRequestError(502, ERROR_CODE, message).refusal
    body = refusals.build_body(refusal, failures.RunStatus.UNKNOWN)
    return b"data: " + msgspec.json.encode(body) + b"\n\n"


def _keep(
    events: list[bytes], event: bytes, answer_memory: bodies.AnswerMemory
) -> list[bytes] | None:
    """Returns the events with one more, None if there is no memory for it."""
    try:
        answer_memory.reserve(len(event))
    except errors.NoMemoryError as error:
        eliot.log_message("answer:not_kept", reason=str(error))
        answer_memory.drop()
        return None
    events.append(event)
    return events


def _close(events: abc.Iterator[bytes]) -> None:
    if isinstance(events, abc.Generator):
        events.close()
