"""One send of a request to one backend.

An attempt ends in one of three ways: the upstream certainly did not run the
request (`NotRunError`), it may have run it (`AttemptLostError`), or it
answered. While an attempt waits, it looks whether its backend stands still.
"""

import dataclasses
import datetime
import random
import typing
from collections import abc

import eliot
import gevent

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.relay import waiting
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool as pool_module

CONNECT_TIMEOUT = datetime.timedelta(milliseconds=400)
# A connection for a request that may not be repeated is new or was used just
# now: an idle one may be closed by the upstream as the request is sent.
ONCE_IDLE_LONGEST = datetime.timedelta(0)
# Pause of one stream after which it goes on elsewhere, though others at the
# same backend still move.
OWN_PAUSE_LONGEST = datetime.timedelta(milliseconds=1200)
FIRST_PAUSE_LONGEST = datetime.timedelta(milliseconds=1500)
# Time left below which another attempt cannot bring an answer.
ZERO = datetime.timedelta()
LENGTH = "content-length"
# A longer body is passed on as it arrives: one without an end would otherwise
# fill the memory of a small VM.
WHOLE_LIMIT = 65536  # bytes
LEAST_TIME_LEFT = datetime.timedelta(milliseconds=30)
# Of the pause that a half full engine makes between two events. A slow engine
# makes five times as long ones and is still sound.
SOUND_PAUSES = 8
# Most bytes of the answers to earlier requests that are read on a connection
# before the awaited one.
STRANGERS_SIZE = 1024 * 1024  # bytes
# Time over which the daemons spread their questions about a silent group.
EXAMINE_SPREAD = datetime.timedelta(milliseconds=200)
# How often a waiting request looks whether its backend is stalled.
RECEIVE_TICK = datetime.timedelta(milliseconds=150)


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

    `is_matching` says that it answers the request that was sent, `is_signed`
    that it carries an upstream's signature, `not_run` that the upstream did not
    run the request, `is_busy` that it had no place for it. `load` is what the
    engine says of itself, None if it says nothing.
    """

    status: int
    fields: model.Fields
    is_matching: bool
    is_signed: bool
    not_run: bool
    is_busy: bool
    load: occupancy.EngineLoad | None = None


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


class AttemptContext:
    """What attempts share: places, connections and knowledge of backends."""

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        waiting_room: waiting.RequestDispatcher,
        states: backends_module.BackendStates,
        connections: pool_module.ConnectionPool,
        codec: Codec,
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
        self._tell_peers = tell_peers
        self._find_silent_members = find_silent_members
        self._generator = generator

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

    def find_longest_pause(
        self, service: str, model_name: str
    ) -> datetime.timedelta:
        """Returns the longest pause that a slow but sound engine makes."""
        expected = self.expect_pause(service, model_name)
        return ZERO if expected is None else SOUND_PAUSES * expected

    def examine(self, service: str, backend: model.Backend) -> None:
        """Finds out whether a backend that is silent here is stalled."""
        if backend.model and self.states.begin_examination(backend.key):
            gevent.spawn(self._examine, service, backend)

    def _examine(self, service: str, backend: model.Backend) -> None:
        key = backend.key
        # Many daemons find the same group silent at once. The first to ask
        # tells the others.
        self.clock.sleep(EXAMINE_SPREAD * self._generator.random())
        if self.states.is_stalled(key) or not self.states.is_silent(key):
            return
        missing = self._find_silent_members(backend)
        if not self.states.is_silent(key):
            return
        if missing:
            reason = f"no answer of {missing[0]}"
        elif self.states.stands_still(
            key, self.find_longest_pause(service, backend.model)
        ):
            reason = "silence"
        else:
            return
        if self.states.mark_stalled(key, reason):
            self._tell_peers()


class Attempt:
    """One send of a request to one backend."""

    def __init__(
        self, upstreams: AttemptContext, request: model.Request, service: str
    ):
        self._upstreams = upstreams
        self._request = request
        self._service = service
        self._begun = upstreams.clock.monotonic()
        self._used: connection.Connection | None = None
        self._released = False
        self._answering = False
        # Time waited for bytes since the answer moved on. Neither a caller that
        # reads slowly nor a pause of this process is the upstream's silence.
        self._waited = ZERO
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
        upstreams = self._upstreams
        request = self._request
        self.backend = upstreams.waiting.acquire(
            request, self._service, excluded, resumed=bool(last_event)
        )
        asked, self._begun = self._begun, upstreams.clock.monotonic()
        eliot.log_message(
            "flow:placed",
            request_id=request.request_id,
            service=self._service,
            backend=self.backend.key[0],
            vm=self.backend.vm.name,
            running=upstreams.states[self.backend.key].running,
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
            used = upstreams.connections.take(
                self.backend.vm.address, min(CONNECT_TIMEOUT, left), idle
            )
        except http.NotSentError as error:
            upstreams.states.note_failure(self.backend.key)
            raise NotRunError(str(error)) from error
        self._used = used
        try:
            used.send(
                request.method,
                upstreams.codec.encode(request, self.backend, left, last_event),
            )
            self.reply = self._read_head(used, at_stall)
        except http.NoResponseError as error:
            raise self._lose(error) from error
        return self._judge(self.reply)

    def read_whole(self) -> bytes:
        """Returns the whole body, or its beginning if it is a long one.

        Raises:
            AttemptLostError: the body was cut short.
        """
        assert self.parser is not None
        body = bytearray(self.parser.take_body())
        try:
            while not self.parser.ended() and len(body) < WHOLE_LIMIT:
                self._receive(at_stall=False)
                body += self.parser.take_body()
        except http.NoResponseError as error:
            raise self._lose(error) from error
        self._note_first_byte()
        return bytes(body)

    def ended(self) -> bool:
        """Returns whether the whole answer has been read."""
        return self.parser is not None and self.parser.ended()

    def stated_length(self) -> int | None:
        """Returns the length of the body that the upstream stated, if any."""
        text = None if self.parser is None else self.parser.header(LENGTH)
        return int(text) if text is not None and text.isdigit() else None

    def note_progress(self) -> None:
        """Notes that the answer moved on; bytes alone are no progress."""
        assert self.backend is not None
        pause, self._waited = self._waited, ZERO
        self._upstreams.states.note_progress(
            self.backend.key, self._compare(pause)
        )

    def lose(self, reason: str) -> AttemptLostError:
        """Returns the error of an answer that cannot go on; counts it."""
        return self._lose(ValueError(reason))

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
        self._note_first_byte()
        return data

    def finish(self) -> None:
        """Gives connection and place back after a whole answer."""
        used, self._used = self._used, None
        if used is not None and self.parser is not None:
            self._upstreams.connections.give(
                used, pool_module.read_stated_idle(self.parser)
            )
        self._release(tokens=1)

    def close(self) -> None:
        """Ends the attempt, whatever its state."""
        used, self._used = self._used, None
        if used is not None:
            used.close()
        self._release(tokens=0)

    def _note_first_byte(self) -> None:
        if self._answering:
            return
        assert self.backend is not None
        self._answering = True
        upstreams = self._upstreams
        upstreams.states.begin_answer(self.backend.key)
        upstreams.waiting.note_first_byte(
            self._request,
            self._service,
            upstreams.clock.monotonic() - self._begun,
        )

    def _release(self, tokens: int) -> None:
        if self.backend is None or self._released:
            return
        self._released = True
        upstreams = self._upstreams
        if self._answering:
            upstreams.states.end_answer(self.backend.key)
        upstreams.waiting.release(
            self._request,
            self._service,
            self.backend,
            tokens,
            upstreams.clock.monotonic() - self._begun,
        )

    def _read_head(self, used: connection.Connection, at_stall: bool) -> Reply:
        strangers, size = 0, 0
        while True:
            self._receive(at_stall)
            assert self.parser is not None
            if not self.parser.begun():
                continue
            reply = self._upstreams.codec.read_reply(self._request, self.parser)
            if reply.is_matching:
                self.note_progress()
                return reply
            # An answer to an earlier request that came late; ours follows.
            strangers += 1
            size += len(self.parser.take_body())
            while not self.parser.ended() and size <= STRANGERS_SIZE:
                self._receive(at_stall)
                size += len(self.parser.take_body())
            # Each request before this one leaves one late answer at most.
            if strangers >= used.exchanges or size > STRANGERS_SIZE:
                raise http.NoResponseError("another request's answer came")
            used.expect_another()

    def _receive(self, at_stall: bool) -> None:
        """Waits for bytes until the deadline or, if asked, until a stall."""
        upstreams = self._upstreams
        assert self._used is not None and self.backend is not None
        key = self.backend.key
        longest = OWN_PAUSE_LONGEST
        if self.reply is None:
            longest = FIRST_PAUSE_LONGEST
        sound = upstreams.find_longest_pause(self._service, self.backend.model)
        longest = max(longest, sound)
        while True:
            now = upstreams.clock.monotonic()
            left = self._request.deadline - now
            if left <= datetime.timedelta():
                raise AttemptLostError("the deadline has passed")
            # Looked at though bytes arrive: they may belong to no event.
            waited = self._waited
            stalled = upstreams.states.is_stalled(key) or waited >= longest
            if at_stall and stalled and waited >= RECEIVE_TICK:
                raise StalledError(f"{key[0]} moves nothing")
            try:
                self.parser = self._used.receive(min(left, RECEIVE_TICK))
                return
            except connection.ResponseTimeoutError:
                upstreams.examine(self._service, self.backend)
            finally:
                passed = upstreams.clock.monotonic() - now
                self._waited += min(passed, 2 * RECEIVE_TICK)

    def _compare(self, pause: datetime.timedelta) -> float | None:
        """Returns a pause between two events by the expected one."""
        assert self.backend is not None
        if self.reply is None or not self.backend.model:
            return None
        expected = self._upstreams.expect_pause(
            self._service, self.backend.model
        )
        return None if expected is None else pause / expected

    def _lose(self, error: Exception) -> AttemptLostError:
        assert self.backend is not None
        self._upstreams.states.note_failure(self.backend.key)
        return AttemptLostError(str(error))

    def _judge(self, reply: Reply) -> Reply:
        assert self.backend is not None
        if reply.load is not None:
            self._upstreams.waiting.note_load(
                self._service, self.backend.model, reply.load
            )
        if reply.not_run:
            if not reply.is_busy:
                self._upstreams.states.note_failure(self.backend.key)
            raise NotRunError(
                f"upstream answered {reply.status}", reply.is_busy
            )
        if not reply.is_signed and reply.status < 300:
            raise self._lose(ValueError("the answer is not signed"))
        if reply.status >= 500:
            self._upstreams.states.note_failure(self.backend.key)
        return reply
