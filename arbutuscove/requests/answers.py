"""Integrity of a streamed answer.

Engine events carry `id: <stream>-<n>`, numbered from 0 without gaps. An
answer is whole when each number arrived once, in order, from its own stream,
and the terminal event came last. An answer that outlives the caller's deadline
ends there as an error, even while the engine is silent.
"""

import dataclasses
import datetime
import random
import typing
from collections import abc

import gevent

from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import attempts
from arbutuscove.storage import http
from arbutuscove.upstreams import engine
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

# Longest read of one event: a connection, its response head and the event.
READ_LIMIT = http.CONNECT_TIMEOUT + 2 * engine.STALL_TIMEOUT
RESUME_LIMIT = 5  # resumptions in a row without a new event


class AnswerIncompleteError(Exception):
    """The rest of the answer cannot be had.

    `delivered` is the number of events already passed on.
    """

    def __init__(self, reason: str, delivered: int) -> None:
        super().__init__(reason)
        self.delivered = delivered


class DeadlinePassedError(AnswerIncompleteError):
    """The caller's deadline passed before the terminal event came."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Until when an answer is read, and how its resumptions are spaced."""

    clock: clock_module.Clock
    deadline: datetime.timedelta
    generator: random.Random

    def has_passed(self) -> bool:
        """Returns whether the deadline has passed."""
        return self.clock.monotonic() >= self.deadline

    def pause(self, failures: int) -> None:
        """Waits before a resumption; the first one is made at once."""
        if failures > 1:
            pause = attempts.draw_backoff(failures - 1, self.generator)
            left = self.deadline - self.clock.monotonic()
            self.clock.sleep(max(datetime.timedelta(), min(pause, left)))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deliver:
    """The event is the next one."""

    terminal: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drop:
    """The event was delivered before."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refetch:
    """Events before this one are missing; resume after the last good one."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Foreign:
    """The event belongs to another stream or has no number."""


NEXT = Deliver(terminal=False)
LAST = Deliver(terminal=True)

Verdict = Deliver | Drop | Refetch | Foreign


def check_event(event: bytes, stream_id: bytes, expected: int) -> Verdict:
    r"""Returns what to do with an event.

    Example:
        >>> check_event(b"id: a-0\ndata: {}\n\n", b"a", 0)
        Deliver(terminal=False)
        >>> check_event(b"id: a-2\ndata: {}\n\n", b"a", 1)
        Refetch()
        >>> check_event(b"id: b-1\ndata: {}\n\n", b"a", 1)
        Foreign()
    """
    # Nearly all events are the next one; this is on the path of each token.
    head = b"id: %b-%d\n" % (stream_id, expected)
    if event.startswith(head):
        return LAST if event.startswith(protocol.DONE, len(head)) else NEXT
    if not event:
        return Refetch()
    line = event.partition(b"\n")[0]
    prefix = b"id: " + stream_id + b"-"
    number = line[len(prefix) :]
    if not line.startswith(prefix) or not number.isdigit():
        return Foreign()
    return Drop() if int(number) < expected else Refetch()


class Upstream(typing.Protocol):
    """The part of the engine client that an answer needs."""

    def resume_stream(self, stream_id: str, after: int) -> engine.EventReader:
        """Continues a stream after an event number."""


def read_answer(
    client: Upstream,
    stream_id: str,
    reader: engine.EventReader | None,
    start: int = 0,
    bounds: Bounds | None = None,
) -> abc.Iterator[bytes]:
    """Yields the events of one answer, each once and in order.

    A broken or gappy connection is resumed at the engine.

    Args:
        client: where to resume.
        stream_id: identity of the engine stream.
        reader: the open connection, or None to resume first.
        start: number of the first event to deliver.
        bounds: deadline of the caller; None only where there is no caller.

    Raises:
        DeadlinePassedError: the deadline passed first.
        AnswerIncompleteError: the terminal event did not come.
    """
    source = _Source(client, stream_id, reader)
    expected = start
    failures = 0
    encoded = stream_id.encode()
    try:
        while True:
            event = _read_in_time(source, expected, bounds)
            if event is None:
                raise DeadlinePassedError("deadline passed", expected)
            match check_event(event, encoded, expected):
                case Deliver(terminal=terminal):
                    yield event
                    expected += 1
                    failures = 0
                    if terminal:
                        return
                case Drop():
                    continue
                case Foreign():
                    raise AnswerIncompleteError(
                        "event of another stream", expected
                    )
                case Refetch():
                    failures += 1
                    if failures > RESUME_LIMIT:
                        raise AnswerIncompleteError("stream broken", expected)
                    source.disconnect()
                    if bounds is not None:
                        bounds.pause(failures)
    finally:
        source.disconnect()


def _read_in_time(
    source: "_Source", expected: int, bounds: Bounds | None
) -> bytes | None:
    """Returns the next event, or None when the deadline has passed."""
    if bounds is None:
        return source.read(expected)
    left = bounds.deadline - bounds.clock.monotonic()
    if left > READ_LIMIT:
        # The read gives up before the deadline, and a timer for each
        # token would add to the cost of relaying.
        event = source.read(expected)
    else:
        event = None
        with gevent.Timeout(max(0.0, left.total_seconds()), False):
            event = source.read(expected)
    return None if bounds.has_passed() else event


class _Source:
    """A connection to an engine stream that is reopened where it broke."""

    def __init__(
        self,
        client: Upstream,
        stream_id: str,
        reader: engine.EventReader | None,
    ) -> None:
        self._client = client
        self._stream_id = stream_id
        self._reader = reader

    def read(self, expected: int) -> bytes:
        """Returns an event, or b"" when the connection broke or ended."""
        try:
            if self._reader is None:
                self._reader = self._client.resume_stream(
                    self._stream_id, expected - 1
                )
            return self._reader.read()
        except errors.StreamLostError as error:
            raise AnswerIncompleteError(str(error), expected) from error
        except errors.StreamBrokenError:
            return b""

    def disconnect(self) -> None:
        """Closes the connection; the next read resumes."""
        if self._reader is not None:
            self._reader.close()
        self._reader = None
