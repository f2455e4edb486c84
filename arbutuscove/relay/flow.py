"""One request from its arrival to its whole answer.

What may be sent again follows from the route. An answer that may be resumed
goes on at another backend inside the same response, after the last whole event
that the caller has.
"""

import datetime
import random
import re
from collections import abc

import eliot

from arbutuscove.catalog import model as catalog_model
from arbutuscove.kernel import services
from arbutuscove.relay import attempt as attempt_module
from arbutuscove.relay import budget as budget_module
from arbutuscove.relay import model

SERVICE_NAME = "flow"
EVENT_END = b"\n\n"
# An event holds a few tokens; an upstream in trouble may never end one.
EVENT_LIMIT = 65536  # bytes
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\n]*)")
RETRY_SOON = datetime.timedelta(milliseconds=200)


class Flow(services.BaseService):
    """Serves requests through backends."""

    def __init__(
        self,
        upstreams: attempt_module.AttemptContext,
        allowance: budget_module.RetryAllowance,
        count_daemons: abc.Callable[[], int],
        generator: random.Random,
    ) -> None:
        self.upstreams = upstreams
        self.clock = upstreams.clock
        self._allowance = allowance
        self._count_daemons = count_daemons
        self._generator = generator
        self._budgets: dict[str, budget_module.RepeatBudget] = {}

    def serve(self, request: model.Request) -> model.Answer:
        """Returns the answer of an upstream.

        Raises:
            RefusedError: the request gets the system's own answer.
        """
        service = self._pick_service(request.route)
        self._budget(service).note_request(self.clock.monotonic())
        if request.route.repeat.streamed:
            return _StreamRun(self, request, service).start()
        return self._serve_whole(request, service)

    def may_repeat(self, service: str) -> bool:
        """Draws one repeat on the budget of a service."""
        now = self.clock.monotonic()
        return self._budget(service).take(now, self._count_daemons())

    def _budget(self, service: str) -> budget_module.RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = budget_module.RepeatBudget(self._allowance)
            self._budgets[service] = budget
        return budget

    def _pick_service(self, route: catalog_model.Route) -> str:
        weights = [target.weight for target in route.targets]
        if len(weights) == 1 or sum(weights) <= 0:
            return route.targets[0].service
        (target,) = self._generator.choices(route.targets, weights)
        return target.service

    def _serve_whole(
        self, request: model.Request, service: str
    ) -> model.Answer:
        excluded: frozenset[model.BackendKey] = frozenset()
        repeat = request.route.repeat
        made = 0
        while True:
            attempt = attempt_module.Attempt(self.upstreams, request, service)
            handed_on = False
            try:
                reply = attempt.open(excluded, "", at_stall=False)
                body = attempt.read_whole()
                if not attempt.ended():
                    handed_on = True
                    return _pass_long(attempt, reply, body)
                attempt.finish()
                made += 1
                if self._is_final(request, service, made, reply):
                    return _build_whole(reply, body)
                reason = f"status {reply.status}"
            except attempt_module.NotRunError as error:
                reason = str(error)
                made += 1
                if not self._may_follow(request, service, made, reason):
                    raise refuse_not_run(error) from error
            except attempt_module.AttemptLostError as error:
                reason = str(error)
                made += 1
                if not repeat.idempotent or not self._may_follow(
                    request, service, made, reason
                ):
                    raise fail(
                        request, self._pick_status(request), reason
                    ) from error
            finally:
                if not handed_on:
                    attempt.close()
            if attempt.backend is not None:
                excluded |= {attempt.backend.key}
            log_repeat(request, made, reason)

    def _is_final(
        self,
        request: model.Request,
        service: str,
        made: int,
        reply: attempt_module.Reply,
    ) -> bool:
        """Returns whether the caller gets this answer and no other."""
        if reply.status < 500 or not request.route.repeat.idempotent:
            return True
        if made >= request.route.attempts:
            return True
        return not self._may_go_on(request, service)

    def _may_follow(
        self, request: model.Request, service: str, made: int, reason: str
    ) -> bool:
        if made >= request.route.attempts:
            return False
        return self._may_go_on(request, service)

    def _may_go_on(self, request: model.Request, service: str) -> bool:
        left = request.deadline - self.clock.monotonic()
        return left > attempt_module.LEAST_TIME_LEFT and self.may_repeat(
            service
        )

    def _pick_status(self, request: model.Request) -> int:
        passed = self.clock.monotonic() >= request.deadline
        return 504 if passed else 502


class _StreamRun:
    """A streamed answer, over one backend or several."""

    def __init__(self, flow: Flow, request: model.Request, service: str):
        self._flow = flow
        self._request = request
        self._service = service
        self._last_event = request.last_event
        self._excluded: frozenset[model.BackendKey] = frozenset()
        self._made = 0
        self._attempt: attempt_module.Attempt | None = None

    def start(self) -> model.Answer:
        """Returns the answer once its head has arrived.

        Raises:
            RefusedError: the request gets the system's own answer.
        """
        reply = self._open()
        assert self._attempt is not None
        if reply.status != 200:
            try:
                body = self._attempt.read_whole()
                if not self._attempt.ended():
                    raise self._attempt.lose("a failure is too long")
                self._attempt.finish()
            except attempt_module.AttemptLostError as error:
                raise fail(self._request, 502, str(error)) from error
            finally:
                self._attempt.close()
            return _build_whole(reply, body)
        events = self._pass_on()
        try:
            # With the first event at hand, an attempt that breaks off before
            # it still gets a proper status instead of a closed connection.
            first = next(events, b"")
        except model.BrokenAnswerError as error:
            raise fail(self._request, 502, str(error)) from error
        return model.Answer(
            status=reply.status,
            fields=reply.fields,
            body=_lead_with(first, events),
            length=None,
        )

    def _resumable(self) -> bool:
        return self._request.route.repeat.idempotent

    def _open(self) -> attempt_module.Reply:
        """Opens attempts until one has begun to answer."""
        while True:
            attempt = attempt_module.Attempt(
                self._flow.upstreams, self._request, self._service
            )
            self._attempt = attempt
            try:
                return attempt.open(
                    self._excluded, self._last_event, self._may_switch()
                )
            except attempt_module.NotRunError as error:
                attempt.close()
                if not self._note(attempt, str(error)):
                    raise refuse_not_run(error) from error
            except attempt_module.AttemptLostError as error:
                attempt.close()
                if not self._resumable() or not self._note(attempt, str(error)):
                    passed = self._request.deadline <= (
                        self._flow.clock.monotonic()
                    )
                    raise fail(
                        self._request, 504 if passed else 502, str(error)
                    ) from error
            except BaseException:
                attempt.close()
                raise

    def _may_switch(self) -> bool:
        """Returns whether a stalled attempt may be left for another."""
        return (
            self._resumable() and self._made + 1 < self._request.route.attempts
        )

    def _note(self, attempt: attempt_module.Attempt, reason: str) -> bool:
        """Counts an attempt that failed; returns whether one may follow."""
        self._made += 1
        if attempt.backend is not None:
            self._excluded |= {attempt.backend.key}
        left = self._request.deadline - self._flow.clock.monotonic()
        if self._made >= self._request.route.attempts:
            return False
        if left <= attempt_module.LEAST_TIME_LEFT:
            return False
        if not self._flow.may_repeat(self._service):
            return False
        log_repeat(self._request, self._made, reason)
        return True

    def _pass_on(self) -> abc.Generator[bytes, None, None]:
        """Yields whole events, resuming where the last one ended."""
        try:
            while True:
                try:
                    yield from self._pass_attempt()
                    return
                except attempt_module.AttemptLostError as error:
                    self._resume(error)
        finally:
            if self._attempt is not None:
                self._attempt.close()

    def _pass_attempt(self) -> abc.Iterator[bytes]:
        attempt = self._attempt
        assert attempt is not None
        pending = bytearray()
        while True:
            data = attempt.read_more(self._may_switch())
            if not data:
                break
            searched = max(0, len(pending) - len(EVENT_END) + 1)
            pending += data
            end = pending.rfind(EVENT_END, searched)
            if end < 0:
                if len(pending) > EVENT_LIMIT:
                    raise attempt.lose("an event passes the bound")
                continue
            events = bytes(pending[: end + len(EVENT_END)])
            del pending[: end + len(EVENT_END)]
            found = EVENT_ID.findall(events)
            if found:
                self._last_event = found[-1].decode("latin-1").strip()
                attempt.note_progress()
            yield events
        if pending.strip():
            raise attempt.lose("the answer ended in the middle of an event")
        attempt.finish()

    def _resume(self, error: attempt_module.AttemptLostError) -> None:
        assert self._attempt is not None
        self._attempt.close()
        broken = model.BrokenAnswerError(str(error))
        if not self._resumable() or not self._note(self._attempt, str(error)):
            raise broken from error
        try:
            reply = self._open()
        except model.RefusedError as refused:
            raise broken from refused
        if reply.status != 200:
            raise broken


def refuse_not_run(error: attempt_module.NotRunError) -> model.RefusedError:
    """Returns the answer to a request that no upstream ran."""
    return model.RefusedError(
        model.Refusal(
            status=503,
            code="upstream_busy" if error.busy else "upstream_unavailable",
            not_run=True,
            retry_after=RETRY_SOON,
        )
    )


def fail(
    request: model.Request, status: int, reason: str
) -> model.RefusedError:
    """Returns the answer to a request that may have run."""
    eliot.log_message(
        "flow:failed",
        request_id=request.request_id,
        status=status,
        reason=reason,
    )
    return model.RefusedError(
        model.Refusal(status=status, code="attempt_lost", not_run=False)
    )


def log_repeat(request: model.Request, made: int, reason: str) -> None:
    """Logs that a request is sent once more."""
    eliot.log_message(
        "flow:repeat",
        request_id=request.request_id,
        attempts=made,
        reason=reason,
    )


def _build_whole(reply: attempt_module.Reply, body: bytes) -> model.Answer:
    return model.Answer(
        status=reply.status,
        fields=reply.fields,
        body=(body,),
        length=len(body),
    )


def _pass_long(
    attempt: attempt_module.Attempt, reply: attempt_module.Reply, body: bytes
) -> model.Answer:
    """Returns an answer that is too long to be held, as it arrives."""

    def pass_on() -> abc.Generator[bytes, None, None]:
        try:
            yield body
            while data := attempt.read_more(at_stall=False):
                yield data
            attempt.finish()
        except attempt_module.AttemptLostError as error:
            raise model.BrokenAnswerError(str(error)) from error
        finally:
            attempt.close()

    pieces = pass_on()
    # Begun, so that its end gives the place back in any case.
    first = next(pieces)
    return model.Answer(
        status=reply.status,
        fields=reply.fields,
        body=_lead_with(first, pieces),
        length=attempt.stated_length(),
    )


def _lead_with(
    first: bytes, events: abc.Generator[bytes, None, None]
) -> abc.Iterator[bytes]:
    """Yields what is at hand, then the rest; closes the rest in any case."""
    try:
        yield first
        yield from events
    finally:
        events.close()
