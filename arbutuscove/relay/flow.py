"""One request from its arrival to its whole answer.

An attempt ends in one of three ways: the upstream certainly did not run it
(`NotRunError`), it may have run it (`AttemptLostError`), or it answered. What
may be sent again follows from the route. An answer that may be resumed goes on
at another backend inside the same response, after the last whole event that
the caller has.
"""

import dataclasses
import datetime
import random
import re
import typing
from collections import abc

import eliot
import gevent

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import budget as budget_module
from arbutuscove.relay import model
from arbutuscove.relay import waiting
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool as pool_module

SERVICE_NAME = "flow"
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# A connection for a request that may not be repeated is new or was used just
# now: an idle one may be closed by the upstream as the request is sent.
ONCE_IDLE_LONGEST = datetime.timedelta(0)
# Pause of one stream after which it goes on elsewhere, though others at the
# same backend still move.
OWN_PAUSE_LONGEST = datetime.timedelta(milliseconds=1200)
FIRST_PAUSE_LONGEST = datetime.timedelta(milliseconds=1500)
# Time left below which another attempt cannot bring an answer.
LEAST_TIME_LEFT = datetime.timedelta(milliseconds=30)
# How often a waiting request looks whether its backend is stalled.
RECEIVE_TICK = datetime.timedelta(milliseconds=150)
EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\n]*)")
RETRY_SOON = datetime.timedelta(milliseconds=200)


class NotRunError(Exception):
    """The upstream did not run the request and never will."""

    def __init__(self, reason: str, busy: bool = False) -> None:
        super().__init__(reason)
        self.busy = busy


class AttemptLostError(Exception):
    """The attempt broke off; the upstream may have run the request."""


class StalledError(AttemptLostError):
    """The backend moves nothing; the connection still stands."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The head of an upstream's response.

    `own` says that it answers the request that was sent, `signed` that it
    carries an upstream's signature, `not_run` that the upstream did not run
    the request, `busy` that it had no place for it.
    """

    status: int
    fields: model.Fields
    own: bool
    signed: bool
    not_run: bool
    busy: bool


class Codec(typing.Protocol):
    """Writes requests to upstreams and reads what they answer."""

    def encode(
        self,
        request: model.Request,
        backend: model.Backend,
        left: datetime.timedelta,
        last_event: str,
    ) -> bytes:
        """Returns the bytes of a request."""

    def read_reply(
        self, request: model.Request, parser: connection.ResponseParser
    ) -> Reply:
        """Returns the head of a response."""


class _Attempt:
    """One send of a request to one backend."""

    def __init__(self, flow: "Flow", request: model.Request, service: str):
        self._flow = flow
        self._request = request
        self._service = service
        self._begun = flow.clock.monotonic()
        self._used: connection.Connection | None = None
        self._released = False
        self.backend: model.Backend | None = None
        self.reply: Reply | None = None
        self.parser: connection.ResponseParser | None = None

    def open(
        self,
        excluded: frozenset[model.BackendKey],
        last_event: str,
        at_stall: bool,
    ) -> Reply:
        """Sends the request and returns the head of the response.

        Raises:
            RefusedError: no place can be had in time.
            NotRunError: the request did not run.
            AttemptLostError: the request may have run.
        """
        flow = self._flow
        request = self._request
        self.backend = flow.waiting.acquire(request, self._service, excluded)
        asked, self._begun = self._begun, flow.clock.monotonic()
        eliot.log_message(
            "flow:placed",
            request_id=request.request_id,
            service=self._service,
            backend=self.backend.key[0],
            vm=self.backend.vm.name,
            running=flow.states[self.backend.key].running,
            waited=round((self._begun - asked).total_seconds(), 4),
            excluded=len(excluded),
            last_event=last_event,
        )
        left = request.deadline - self._begun
        if left <= LEAST_TIME_LEFT:
            raise NotRunError("no time is left")
        repeat = request.route.repeat
        idle = pool_module.IDLE_LONGEST
        if not repeat.idempotent:
            idle = ONCE_IDLE_LONGEST
        try:
            used = flow.connections.take(
                self.backend.vm.address, min(CONNECT_TIMEOUT, left), idle
            )
        except http.NotSentError as error:
            flow.states.note_failure(self.backend.key)
            raise NotRunError(str(error)) from error
        self._used = used
        try:
            used.send(
                request.method,
                flow.codec.encode(request, self.backend, left, last_event),
            )
            self.reply = self._read_head(used, at_stall)
        except http.NoResponseError as error:
            raise self._lose(error) from error
        return self._judge(self.reply)

    def read_whole(self) -> bytes:
        """Returns the whole body.

        Raises:
            AttemptLostError: the body was cut short.
        """
        assert self.parser is not None
        body = bytearray(self.parser.take_body())
        try:
            while not self.parser.ended():
                self._receive(at_stall=False)
                body += self.parser.take_body()
        except http.NoResponseError as error:
            raise self._lose(error) from error
        return bytes(body)

    def read_more(self, at_stall: bool) -> bytes:
        """Returns body bytes as they arrive; b"" at the end.

        Raises:
            AttemptLostError: the body was cut short.
        """
        assert self.parser is not None
        data = self.parser.take_body()
        try:
            while not data and not self.parser.ended():
                self._receive(at_stall)
                data = self.parser.take_body()
        except http.NoResponseError as error:
            raise self._lose(error) from error
        return data

    def finish(self) -> None:
        """Gives connection and place back after a whole answer."""
        used, self._used = self._used, None
        if used is not None and self.parser is not None:
            self._flow.connections.give(
                used, pool_module.read_stated_idle(self.parser)
            )
        self._release(tokens=1)

    def close(self) -> None:
        """Ends the attempt, whatever its state."""
        used, self._used = self._used, None
        if used is not None:
            used.close()
        self._release(tokens=0)

    def _release(self, tokens: int) -> None:
        if self.backend is None or self._released:
            return
        self._released = True
        flow = self._flow
        flow.waiting.release(
            self._request,
            self._service,
            self.backend,
            tokens,
            flow.clock.monotonic() - self._begun,
        )

    def _read_head(self, used: connection.Connection, at_stall: bool) -> Reply:
        while True:
            self._receive(at_stall)
            assert self.parser is not None
            if not self.parser.begun():
                continue
            reply = self._flow.codec.read_reply(self._request, self.parser)
            if reply.own:
                return reply
            # An answer to an earlier request that came late; ours follows.
            while not self.parser.ended():
                self._receive(at_stall)
            used.expect_another()

    def _receive(self, at_stall: bool) -> None:
        """Waits for bytes until the deadline or, if asked, until a stall."""
        flow = self._flow
        assert self._used is not None and self.backend is not None
        key = self.backend.key
        waited_from = flow.clock.monotonic()
        longest = OWN_PAUSE_LONGEST
        if self.parser is None or not self.parser.begun():
            longest = FIRST_PAUSE_LONGEST
        while True:
            now = flow.clock.monotonic()
            left = self._request.deadline - now
            if left <= datetime.timedelta():
                raise AttemptLostError("the deadline has passed")
            try:
                self.parser = self._used.receive(min(left, RECEIVE_TICK))
            except connection.ResponseTimeoutError:
                flow.examine(self.backend)
                own = flow.clock.monotonic() - waited_from
                stalled = flow.states.is_stalled(key) or own >= longest
                if at_stall and stalled:
                    raise StalledError(f"{key[0]} moves nothing") from None
                continue
            pause = flow.clock.monotonic() - waited_from
            flow.states.note_bytes(key, self._compare(pause))
            return

    def _compare(self, pause: datetime.timedelta) -> float | None:
        """Returns a pause between two events by the expected one."""
        assert self.backend is not None
        if self.reply is None or not self.backend.model:
            return None
        expected = self._flow.expect_pause(self._service, self.backend.model)
        return None if expected is None else pause / expected

    def _lose(self, error: Exception) -> AttemptLostError:
        assert self.backend is not None
        self._flow.states.note_failure(self.backend.key)
        return AttemptLostError(str(error))

    def _judge(self, reply: Reply) -> Reply:
        assert self.backend is not None
        if reply.not_run:
            if not reply.busy:
                self._flow.states.note_failure(self.backend.key)
            raise NotRunError(f"upstream answered {reply.status}", reply.busy)
        if not reply.signed and reply.status < 300:
            raise self._lose(ValueError("the answer is not signed"))
        if reply.status >= 500:
            self._flow.states.note_failure(self.backend.key)
        return reply


class Flow(services.BaseService):
    """Serves requests through backends."""

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        waiting_room: waiting.WaitingRoom,
        states: backends_module.BackendStates,
        connections: pool_module.ConnectionPool,
        codec: Codec,
        allowance: budget_module.Allowance,
        count_daemons: abc.Callable[[], int],
        tell_peers: abc.Callable[[], None],
        find_silent_members: abc.Callable[[model.Backend], list[str]],
        generator: random.Random,
    ) -> None:
        self.clock = clock
        self.waiting = waiting_room
        self.states = states
        self.connections = connections
        self.codec = codec
        self._catalog = catalog
        self._allowance = allowance
        self._count_daemons = count_daemons
        self._tell_peers = tell_peers
        self._find_silent_members = find_silent_members
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

    def expect_pause(
        self, service: str, model_name: str
    ) -> datetime.timedelta | None:
        """Returns the pause between events of a half full, sound engine."""
        catalog = self._catalog.current()
        found = None if catalog is None else catalog.services.get(service)
        engine = None if found is None else found.engine
        spec = None if engine is None else engine.find_model(model_name)
        if engine is None or spec is None:
            return None
        step = engine.step_ms + engine.per_request_ms * engine.slots / 2
        milliseconds = max(engine.stride * step * spec.pace, 1.0)
        return datetime.timedelta(milliseconds=milliseconds)

    def examine(self, backend: model.Backend) -> None:
        """Finds out whether a backend that is silent here is stalled."""
        if backend.model and self.states.begin_examination(backend.key):
            gevent.spawn(self._examine, backend)

    def _examine(self, backend: model.Backend) -> None:
        key = backend.key
        missing = self._find_silent_members(backend)
        silent = self.states.silent_for(key)
        if silent < backends_module.SILENCE_DOUBTFUL:
            return
        if missing:
            reason = f"no answer of {missing[0]}"
        elif silent >= backends_module.SILENCE_CERTAIN:
            reason = "silence"
        else:
            return
        if self.states.mark_stalled(key, reason):
            self._tell_peers()

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
            attempt = _Attempt(self, request, service)
            try:
                reply = attempt.open(excluded, "", at_stall=False)
                body = attempt.read_whole()
                attempt.finish()
                made += 1
                last = made >= request.route.attempts
                if reply.status < 500 or not repeat.idempotent or last:
                    return _build_whole(reply, body)
                if not self._may_go_on(request, service):
                    return _build_whole(reply, body)
                reason = f"status {reply.status}"
            except NotRunError as error:
                reason = str(error)
                made += 1
                if not self._may_follow(request, service, made, reason):
                    raise refuse_not_run(error) from error
            except AttemptLostError as error:
                reason = str(error)
                made += 1
                if not repeat.idempotent or not self._may_follow(
                    request, service, made, reason
                ):
                    raise fail(
                        request, self._pick_status(request), reason
                    ) from error
            finally:
                attempt.close()
            if attempt.backend is not None:
                excluded |= {attempt.backend.key}
            log_repeat(request, made, reason)

    def _may_follow(
        self, request: model.Request, service: str, made: int, reason: str
    ) -> bool:
        if made >= request.route.attempts:
            return False
        return self._may_go_on(request, service)

    def _may_go_on(self, request: model.Request, service: str) -> bool:
        left = request.deadline - self.clock.monotonic()
        return left > LEAST_TIME_LEFT and self.may_repeat(service)

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
        self._attempt: _Attempt | None = None

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
                self._attempt.finish()
            except AttemptLostError as error:
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

    def _open(self) -> Reply:
        """Opens attempts until one has begun to answer."""
        while True:
            attempt = _Attempt(self._flow, self._request, self._service)
            self._attempt = attempt
            try:
                return attempt.open(
                    self._excluded, self._last_event, self._may_switch()
                )
            except NotRunError as error:
                attempt.close()
                if not self._note(attempt, str(error)):
                    raise refuse_not_run(error) from error
            except AttemptLostError as error:
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

    def _note(self, attempt: _Attempt, reason: str) -> bool:
        """Counts an attempt that failed; returns whether one may follow."""
        self._made += 1
        if attempt.backend is not None:
            self._excluded |= {attempt.backend.key}
        left = self._request.deadline - self._flow.clock.monotonic()
        if self._made >= self._request.route.attempts:
            return False
        if left <= LEAST_TIME_LEFT:
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
                except AttemptLostError as error:
                    self._resume(error)
        finally:
            if self._attempt is not None:
                self._attempt.close()

    def _pass_attempt(self) -> abc.Iterator[bytes]:
        attempt = self._attempt
        assert attempt is not None
        pending = b""
        while True:
            data = attempt.read_more(self._may_switch())
            if not data:
                break
            pending += data
            end = pending.rfind(EVENT_END)
            if end < 0:
                continue
            events = pending[: end + len(EVENT_END)]
            pending = pending[end + len(EVENT_END) :]
            for found in EVENT_ID.finditer(events):
                self._last_event = found.group(1).decode("latin-1").strip()
            yield events
        if pending:
            yield pending
        attempt.finish()

    def _resume(self, error: AttemptLostError) -> None:
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


def refuse_not_run(error: NotRunError) -> model.RefusedError:
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


def _build_whole(reply: Reply, body: bytes) -> model.Answer:
    return model.Answer(
        status=reply.status,
        fields=reply.fields,
        body=(body,),
        length=len(body),
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
