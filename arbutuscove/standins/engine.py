"""Stand-in for the model engine on one upstream VM.

The leader of a replica streams answers while all members report the same
replica and generation. Each token is a word derived from the request, so that
tests can tell whose answer it is. Streams outlive a broken connection for
`DETACH_TIMEOUT` and can be resumed. The record file lists each request that
really began to run.
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

DETACH_TIMEOUT = 10.0  # seconds a stream runs on without a reader
MEMBER_CHECK_INTERVAL = 0.25  # seconds
MEMBER_FAILURES = 3  # failed checks in a row that break the group
DEFAULT_TOKENS = 16
CRASH_MARKER = "crash-upstream"
FINISHED_LIMIT = 200  # finished streams kept for resumption


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """How this engine behaves."""

    vm: str
    check_fencing: bool = True
    slots: int = 8
    token_interval: float = 0.005
    load_seconds: float = 0.2
    weights: str = ""
    record: pathlib.Path | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """What to do wrong with streams; event numbers count from 0."""

    close_at: int = -1
    truncate_at: int = -1
    repeat_at: int = -1
    swap_at: int = -1
    foreign_at: int = -1
    token_interval: float = -1.0
    refuse_orders: bool = False
    leaving: bool = False


class Stream:
    """Events of one answer, kept so that a reader can resume."""

    def __init__(self, stream_id: str) -> None:
        self.stream_id = stream_id
        self.events: list[bytes] = []
        self.finished = False
        self.cancelled = False
        self.swapped = False  # whether the fault was applied once
        self.detached_at: float | None = None
        self.changed = event.Event()

    def append(self, data: bytes) -> None:
        """Adds one event under the next number."""
        number = len(self.events)
        prefix = f"id: {self.stream_id}-{number}\ndata: ".encode()
        self.events.append(prefix + data + protocol.EVENT_END)
        self.changed.set()

    def finish(self) -> None:
        """Marks the last event as added."""
        self.finished = True
        self.changed.set()


def build_words(body: dict[str, typing.Any]) -> list[str]:
    """Returns the tokens of the answer to a request body."""
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
        self._watcher = gevent.spawn(self._watch_members)

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App(
            [
                ("GET", "/status", self._get_status),
                ("POST", "/orders", self._take_order),
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
        leader = order.members[0].name == self._settings.vm
        return dataclasses.replace(
            status,
            replica=order.replica,
            generation=order.generation,
            role=protocol.Role.LEADER if leader else protocol.Role.MEMBER,
            model=order.model,
            members=tuple(member.name for member in order.members),
        )

    def _take_order(self, request: wrappers.Request) -> wrappers.Response:
        order = msgspec.json.decode(request.get_data(), type=protocol.Order)
        if self._faults.refuse_orders:
            return server.respond({"code": "refused"}, 503)
        checked = self._settings.check_fencing
        if checked and order.epoch < self._highest_epoch:
            return server.respond({"code": protocol.STALE_EPOCH}, 409)
        self._highest_epoch = max(order.epoch, self._highest_epoch)
        self._record({"order": msgspec.to_builtins(order)})
        if self._order is None or not _is_same(order, self._order):
            self._adopt(order if order.replica else None)
        return server.respond(self._build_status())

    def _adopt(self, order: protocol.Order | None) -> None:
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

    def _watch_members(self) -> None:
        while True:
            gevent.sleep(MEMBER_CHECK_INTERVAL)
            order = self._order
            if order is None or order.members[0].name != self._settings.vm:
                continue
            others = order.members[1:]
            jobs = [gevent.spawn(_is_in_group, m, order) for m in others]
            gevent.joinall(jobs)
            if order is self._order:
                self._take_check(all(job.value for job in jobs))

    def _take_check(self, whole: bool) -> None:
        if whole:
            self._failed_checks = 0
            if self._state == protocol.State.BROKEN:
                self._state = protocol.State.READY
            return
        self._failed_checks += 1
        ready = self._state == protocol.State.READY
        if ready and self._failed_checks >= MEMBER_FAILURES:
            self._state = protocol.State.BROKEN
            self._end_streams()

    def _end_streams(self) -> None:
        for stream in self._streams.values():
            stream.cancelled = True
            stream.changed.set()
        self._streams.clear()

    def _dispatch(self, request: wrappers.Request) -> wrappers.Response:
        order = self._order
        wanted = (
            request.headers.get(protocol.REPLICA, ""),
            int(request.headers.get(protocol.GENERATION, 0)),
        )
        if order is None or wanted != (order.replica, order.generation):
            return server.respond({"code": protocol.STALE_GENERATION}, 409)
        if self._state != protocol.State.READY:
            return server.respond({"code": "not_ready"}, 503)
        body = server.read_json(request)
        stream_id = request.headers[protocol.REQUEST_ID]
        if stream_id in self._streams:
            return server.respond({"code": "duplicate"}, 409)
        stream = Stream(stream_id)
        self._keep(stream)
        priority = int(request.headers.get(protocol.PRIORITY, 0))
        gevent.spawn(self._generate, stream, body, order, priority)
        return self._respond_events(stream, 0)

    def _keep(self, stream: Stream) -> None:
        finished = [s for s in self._streams.values() if s.finished]
        for old in finished[: max(0, len(finished) - FINISHED_LIMIT)]:
            self._streams.pop(old.stream_id, None)
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
            if not stream.cancelled:
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
            if stream.cancelled or self._is_abandoned(stream):
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

    def _is_abandoned(self, stream: Stream) -> bool:
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
            stream.cancelled = True
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
                if stream.finished:
                    return
                if stream.cancelled:
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
            raise ConnectionResetError("closed on request of a test")
        if 0 <= faults.truncate_at <= number:
            return []
        if number == faults.repeat_at:
            return [data, data]
        if number == faults.foreign_at:
            return [data.replace(stream.stream_id.encode(), b"another", 1)]
        if faults.swap_at >= 0 and not stream.swapped:
            if number == faults.swap_at:
                return []
            if number == faults.swap_at + 1:
                stream.swapped = True
                return [data, stream.events[number - 1]]
        return [data]

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        self._faults = msgspec.json.decode(request.get_data(), type=Faults)
        return server.respond({})

    def _record(self, entry: dict[str, typing.Any]) -> None:
        # The monotonic clock is the same for all processes of one machine.
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


def _is_same(order: protocol.Order, other: protocol.Order) -> bool:
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
