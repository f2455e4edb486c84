"""Stand-in for the model engine on one upstream VM.

The leader of a replica streams answers while all members report the same
replica and generation. Each token is a word derived from the request, so that
tests can attribute an answer to its request. A stream continues for
`DETACH_TIMEOUT` after its connection broke and can be resumed. The record file
lists each accepted order and each request that began or finished.
"""

import dataclasses
import datetime
import hashlib
import os
import pathlib
import time
import typing
from collections import abc

import gevent
import msgspec
from gevent import event
from werkzeug import wrappers

from arbutuscove.standins import server
from arbutuscove.storage import http
from arbutuscove.upstreams import protocol

DETACH_TIMEOUT = 10.0  # seconds that a stream runs without a reader
MEMBER_CHECK_INTERVAL = 0.25  # seconds
MEMBER_FAILURES = 3  # consecutive failed checks that break the group
DEFAULT_TOKENS = 16
CRASH_MARKER = "crash-upstream"
MAX_FINISHED_STREAMS = 200  # retained for resumption


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one engine.

    Attributes:
        vm: Name of its VM.
        check_fencing: Whether orders with a stale fencing token are refused.
        slots: Number of requests that run at once.
        token_interval: Seconds per token.
        load_seconds: Seconds to load a model, before the weight store is
            asked.
        weights: Address of the weight store; empty for none.
        record: File that the record is appended to; None for no record.
    """

    vm: str
    check_fencing: bool = True
    slots: int = 8
    token_interval: float = 0.005
    load_seconds: float = 0.2
    weights: str = ""
    record: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Faults to inject, as set by `POST /faults`; -1 disables a fault.

    Event numbers count from 0.

    Attributes:
        close_at: The connection is closed once, before this event.
        truncate_at: Neither this event nor any later one is sent.
        repeat_at: This event is sent twice.
        swap_at: This event is sent after its successor, once per stream.
        foreign_at: This event carries the identifier of another stream.
        token_interval: Seconds per token instead of those of the settings.
        refuse_orders: Orders are refused with status 503.
        leaving: The status reports that the VM leaves.
    """

    close_at: int = -1
    truncate_at: int = -1
    repeat_at: int = -1
    swap_at: int = -1
    foreign_at: int = -1
    token_interval: float = -1.0
    refuse_orders: bool = False
    leaving: bool = False


class Stream:
    """Events of one answer, retained so that a reader can resume.

    Attributes:
        stream_id: Identifier, which is that of the request.
        events: Encoded events in order.
        is_finished: Whether the last event was added.
        is_cancelled: Whether no more events will be added or sent.
        was_swapped: Whether the fault `swap_at` was applied.
        detached_at: Monotonic time at which the reader left, if it did.
        changed: Notifies readers of new events, completion or cancellation.
    """

    def __init__(self, stream_id: str) -> None:
        self.stream_id = stream_id
        self.events: list[bytes] = []
        self.is_finished = False
        self.is_cancelled = False
        self.was_swapped = False
        self.detached_at: float | None = None
        self.changed = event.Event()

    def append(self, data: bytes) -> None:
        """Appends an event with the next number as its identifier."""
        number = len(self.events)
        prefix = f"id: {self.stream_id}-{number}\ndata: ".encode()
        self.events.append(prefix + data + protocol.EVENT_END)
        self.changed.set()

    def finish(self) -> None:
        """Marks the stream as complete."""
        self.is_finished = True
        self.changed.set()


def build_words(body: dict[str, typing.Any]) -> list[str]:
    """Returns the tokens of the answer to a request body.

    Each token contains a digest of the messages and its own index.
    """
    canonical = msgspec.json.encode(body.get("messages"), order="sorted")
    digest = hashlib.sha256(canonical).hexdigest()[:8]
    count = int(body.get("max_tokens") or DEFAULT_TOKENS)
    return [f"{digest}.{index} " for index in range(count)]


class EngineStandin:
    """HTTP interface and state of one engine."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._order: protocol.Order | None = None
        self._state = protocol.State.IDLE
        self._highest_epoch = 0
        self._streams: dict[str, Stream] = {}
        self._running = 0
        self._waiting: list[tuple[int, float, event.Event]] = []
        self._faults = Faults()
        self._loader: gevent.Greenlet | None = None
        self._failed_checks = 0
        self._member_checks = gevent.spawn(self._check_members)

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App(
            [
                ("GET", "/status", self._get_status),
                ("POST", "/orders", self._handle_order),
                ("POST", "/v1/chat/completions", self._dispatch),
                ("GET", "/v1/streams/<stream_id>", self._resume),
                ("DELETE", "/v1/streams/<stream_id>", self._cancel),
                ("POST", "/faults", self._set_faults),
            ]
        )

    def _get_status(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond(self._build_status())

    def _build_status(self) -> protocol.Status:
        order = self._order
        status = protocol.Status(
            vm=self._settings.vm,
            state=self._state,
            slots=self._settings.slots,
            running=self._running,
            queued=len(self._waiting),
            leaving=self._faults.leaving,
            kv_used=min(1.0, self._running / self._settings.slots),
            token_interval=datetime.timedelta(seconds=self._get_interval()),
        )
        if order is None:
            return status
        is_leader = order.members[0].name == self._settings.vm
        return dataclasses.replace(
            status,
            replica=order.replica,
            generation=order.generation,
            role=protocol.Role.LEADER if is_leader else protocol.Role.MEMBER,
            model=order.model,
            members=tuple(member.name for member in order.members),
        )

    def _handle_order(self, request: wrappers.Request) -> wrappers.Response:
        order = msgspec.json.decode(request.get_data(), type=protocol.Order)
        if self._faults.refuse_orders:
            return server.respond({"code": "refused"}, 503)
        is_checking = self._settings.check_fencing
        if is_checking and order.epoch < self._highest_epoch:
            return server.respond({"code": protocol.STALE_EPOCH}, 409)
        self._highest_epoch = max(order.epoch, self._highest_epoch)
        self._record({"order": msgspec.to_builtins(order)})
        if self._order is None or not _is_same_assignment(order, self._order):
            self._apply_order(order if order.replica else None)
        return server.respond(self._build_status())

    def _apply_order(self, order: protocol.Order | None) -> None:
        self._end_streams()
        if self._loader is not None:
            self._loader.kill()
        self._order = order
        self._failed_checks = 0
        if order is None:
            self._state = protocol.State.IDLE
            return
        self._state = protocol.State.LOADING
        self._loader = gevent.spawn(self._load, order.model)

    def _load(self, model: str) -> None:
        gevent.sleep(self._settings.load_seconds)
        if self._settings.weights:
            address = http.Address.parse(self._settings.weights)
            client = http.JsonClient(address, datetime.timedelta(seconds=30))
            client.send("GET", "/weights/" + model)
        self._state = protocol.State.READY

    def _check_members(self) -> None:
        while True:
            gevent.sleep(MEMBER_CHECK_INTERVAL)
            order = self._order
            if order is None or order.members[0].name != self._settings.vm:
                continue
            others = order.members[1:]
            jobs = [gevent.spawn(_is_in_group, m, order) for m in others]
            gevent.joinall(jobs)
            if order is self._order:
                self._apply_member_check(all(job.value for job in jobs))

    def _apply_member_check(self, is_complete: bool) -> None:
        if is_complete:
            self._failed_checks = 0
            if self._state == protocol.State.BROKEN:
                self._state = protocol.State.READY
            return
        self._failed_checks += 1
        is_ready = self._state == protocol.State.READY
        if is_ready and self._failed_checks >= MEMBER_FAILURES:
            self._state = protocol.State.BROKEN
            self._end_streams()

    def _end_streams(self) -> None:
        for stream in self._streams.values():
            stream.is_cancelled = True
            stream.changed.set()
        self._streams.clear()

    def _dispatch(self, request: wrappers.Request) -> wrappers.Response:
        order = self._order
        requested = (
            request.headers.get(protocol.REPLICA, ""),
            int(request.headers.get(protocol.GENERATION, 0)),
        )
        if order is None or requested != (order.replica, order.generation):
            return server.respond({"code": protocol.STALE_GENERATION}, 409)
        if self._state != protocol.State.READY:
            return server.respond({"code": "not_ready"}, 503)
        body = server.read_json(request)
        stream_id = request.headers[protocol.REQUEST_ID]
        if stream_id in self._streams:
            return server.respond({"code": "duplicate"}, 409)
        stream = Stream(stream_id)
        self._retain_stream(stream)
        priority = int(request.headers.get(protocol.PRIORITY, 0))
        gevent.spawn(self._generate, stream, body, order, priority)
        return self._respond_events(stream, 0)

    def _retain_stream(self, stream: Stream) -> None:
        finished = [s for s in self._streams.values() if s.is_finished]
        for expired in finished[: max(0, len(finished) - MAX_FINISHED_STREAMS)]:
            self._streams.pop(expired.stream_id, None)
        self._streams[stream.stream_id] = stream

    def _generate(
        self,
        stream: Stream,
        body: dict[str, typing.Any],
        order: protocol.Order,
        priority: int,
    ) -> None:
        self._wait_for_slot(priority)
        try:
            if not stream.is_cancelled:
                self._run(stream, body, order)
        finally:
            self._running -= 1
            self._wake_next()

    def _wait_for_slot(self, priority: int) -> None:
        if self._running >= self._settings.slots:
            granted = event.Event()
            self._waiting.append((priority, time.monotonic(), granted))
            granted.wait()
        self._running += 1

    def _wake_next(self) -> None:
        if self._waiting and self._running < self._settings.slots:
            first = min(self._waiting, key=lambda item: item[:2])
            self._waiting.remove(first)
            first[2].set()

    def _run(
        self,
        stream: Stream,
        body: dict[str, typing.Any],
        order: protocol.Order,
    ) -> None:
        self._record(
            {
                "ran": stream.stream_id,
                "replica": order.replica,
                "generation": order.generation,
                "epoch": order.epoch,
                "messages": body.get("messages"),
            }
        )
        if CRASH_MARKER in str(body.get("messages")):
            os._exit(1)
        words = build_words(body)
        for word in words:
            gevent.sleep(self._get_interval())
            if stream.is_cancelled or self._drop_if_abandoned(stream):
                return
            stream.append(_build_chunk(stream, order.model, word, None, 0))
        last = _build_chunk(stream, order.model, "", "stop", len(words))
        stream.append(last)
        stream.append(b"[DONE]")
        stream.finish()
        self._record({"finished": stream.stream_id})

    def _get_interval(self) -> float:
        if self._faults.token_interval >= 0:
            return self._faults.token_interval
        return self._settings.token_interval

    def _drop_if_abandoned(self, stream: Stream) -> bool:
        detached = stream.detached_at
        if detached is None or time.monotonic() - detached < DETACH_TIMEOUT:
            return False
        self._streams.pop(stream.stream_id, None)
        return True

    def _resume(
        self, request: wrappers.Request, stream_id: str
    ) -> wrappers.Response:
        stream = self._streams.get(stream_id)
        if stream is None:
            return server.respond({"code": "unknown_stream"}, 404)
        return self._respond_events(stream, int(request.args["after"]) + 1)

    def _cancel(
        self, request: wrappers.Request, stream_id: str
    ) -> wrappers.Response:
        stream = self._streams.pop(stream_id, None)
        if stream is not None:
            stream.is_cancelled = True
            stream.changed.set()
        return server.respond({"cancelled": stream is not None})

    def _respond_events(self, stream: Stream, start: int) -> wrappers.Response:
        stream.detached_at = None
        return wrappers.Response(
            self._send_events(stream, start), content_type="text/event-stream"
        )

    def _send_events(self, stream: Stream, start: int) -> abc.Iterator[bytes]:
        position = start
        try:
            while True:
                while position < len(stream.events):
                    yield from self._apply_faults(stream, position)
                    position += 1
                if stream.is_finished:
                    return
                if stream.is_cancelled:
                    raise ConnectionResetError("stream was cancelled")
                stream.changed.clear()
                stream.changed.wait()
        finally:
            stream.detached_at = time.monotonic()

    def _apply_faults(self, stream: Stream, number: int) -> list[bytes]:
        faults = self._faults
        data = stream.events[number]
        if number == faults.close_at:
            self._faults = dataclasses.replace(faults, close_at=-1)
            raise ConnectionResetError("closed by an injected fault")
        if 0 <= faults.truncate_at <= number:
            return []
        if number == faults.repeat_at:
            return [data, data]
        if number == faults.foreign_at:
            return [data.replace(stream.stream_id.encode(), b"another", 1)]
        if faults.swap_at >= 0 and not stream.was_swapped:
            if number == faults.swap_at:
                return []
            if number == faults.swap_at + 1:
                stream.was_swapped = True
                return [data, stream.events[number - 1]]
        return [data]

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        self._faults = msgspec.json.decode(request.get_data(), type=Faults)
        return server.respond({})

    def _record(self, entry: dict[str, typing.Any]) -> None:
        # All processes of one machine share the monotonic clock, so that their
        # entries can be compared.
        entry = {**entry, "vm": self._settings.vm, "at": time.monotonic()}
        if self._settings.record is not None:
            with self._settings.record.open("ab") as stream:
                stream.write(msgspec.json.encode(entry) + b"\n")


def _build_chunk(
    stream: Stream, model: str, word: str, finish: str | None, tokens: int
) -> bytes:
    body: dict[str, typing.Any] = {
        "id": "chatcmpl-" + stream.stream_id,
        "object": "chat.completion.chunk",
        "created": int(time.time()),
        "model": model,
        "choices": [
            {
                "index": 0,
                "delta": {"content": word} if word else {},
                "finish_reason": finish,
            }
        ],
    }
    if finish is not None:
        body["usage"] = {
            "prompt_tokens": 1,
            "completion_tokens": tokens,
            "total_tokens": tokens + 1,
        }
    return msgspec.json.encode(body)


def _is_same_assignment(order: protocol.Order, other: protocol.Order) -> bool:
    return dataclasses.replace(order, epoch=0) == dataclasses.replace(
        other, epoch=0
    )


def _is_in_group(member: protocol.Member, order: protocol.Order) -> bool:
    address = http.Address.parse(member.address)
    timeout = datetime.timedelta(seconds=MEMBER_CHECK_INTERVAL)
    client = http.JsonClient(address, timeout, 1, timeout)
    try:
        reply = client.send("GET", "/status")
        status = msgspec.convert(reply.json(), protocol.Status)
    except http.HttpError:
        return False
    finally:
        client.close()
    in_group = (status.replica, status.generation) == (
        order.replica,
        order.generation,
    )
    return in_group and status.state == protocol.State.READY
