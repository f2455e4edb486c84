"""Reads streamed answers and checks their integrity.

Engine events carry `id: <stream>-<n>`, numbered from 0 without gaps. An answer
is complete when each number was received once, in order, from its own stream,
and the terminal event was last. At the caller's deadline an incomplete answer
ends with an error, even if the engine sends nothing.
"""

import dataclasses
import datetime
import random
import typing
from collections import abc

import gevent

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.requests import attempts
from arbutuscove.storage import http
from arbutuscove.upstreams import engine
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

# Upper bound of one read: connecting, the response head and the event.
EVENT_READ_TIMEOUT = http.CONNECT_TIMEOUT + 2 * engine.STALL_TIMEOUT
MAX_NUMBER_DIGITS = 18  # of an event
MAX_RESUMPTIONS = 5  # consecutive resumptions without a new event
# Only its own engine can go on with an answer that the caller has begun to
# receive. It is resumed for this long after the connection broke, also beyond
# `MAX_RESUMPTIONS`: new connections may fail for a moment at a sound engine.
MIN_RESUME_DURATION = datetime.timedelta(seconds=2)


class AnswerIncompleteError(Exception):
    """The rest of the answer is not available.

    `delivered` is the number of events already delivered.
    """

    def __init__(self, reason: str, delivered: int) -> None:
        super().__init__(reason)
        self.delivered = delivered


class DeadlinePassedError(AnswerIncompleteError):
    """The caller's deadline passed before the terminal event."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadPolicy:
    """Deadline of an answer, and the backoff between its resumptions."""

    clock: clock_module.Clock
    deadline: datetime.timedelta
    generator: random.Random

    def has_passed(self) -> bool:
        """Returns whether the deadline has passed."""
        return self.clock.monotonic() >= self.deadline

    def back_off(self, failures: int) -> None:
        """Sleeps before a resumption, except before the first one."""
        if failures > 1:
            step = min(failures, MAX_RESUMPTIONS) - 1
            backoff = attempts.draw_backoff(step, self.generator)
            remaining = self.deadline - self.clock.monotonic()
            self.clock.sleep(max(datetime.timedelta(), min(backoff, remaining)))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deliver:
    """The event is the expected one and is delivered."""

    terminal: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drop:
    """The event was delivered before and is dropped."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refetch:
    """Events are missing; the stream is resumed where they begin."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Foreign:
    """The event has no number or another stream's; the answer fails."""


NEXT = Deliver(terminal=False)
LAST = Deliver(terminal=True)

EventAction = Deliver | Drop | Refetch | Foreign


def classify_event(
    event: bytes, stream_id: bytes, expected: int
) -> EventAction:
    r"""Returns how to handle an event; an empty one marks a broken stream.

    Example:
        >>> classify_event(b"id: a-0\ndata: {}\n\n", b"a", 0)
        Deliver(terminal=False)
        >>> classify_event(b"id: a-2\ndata: {}\n\n", b"a", 1)
        Refetch()
        >>> classify_event(b"id: b-1\ndata: {}\n\n", b"a", 1)
        Foreign()
    """
    # Fast path: nearly every event is the expected one, and this runs for
    # each token.
    head = b"id: %b-%d\n" % (stream_id, expected)
    if event.startswith(head):
        return LAST if event.startswith(protocol.DONE, len(head)) else NEXT
    if not event:
        return Refetch()
    line = event.partition(b"\n")[0]
    prefix = b"id: " + stream_id + b"-"
    text = line[len(prefix) :].decode("latin-1")
    number = decoding.parse_digits(text, MAX_NUMBER_DIGITS)
    if not line.startswith(prefix) or number is None:
        return Foreign()
    return Drop() if number < expected else Refetch()


class Upstream(typing.Protocol):
    """The part of the engine client that is needed to resume a stream."""

    def resume_stream(self, stream_id: str, after: int) -> engine.EventReader:
        """Resumes a stream after the event with a number."""


def read_answer(
    client: Upstream,
    stream_id: str,
    reader: engine.EventReader | None,
    start: int = 0,
    policy: ReadPolicy | None = None,
) -> abc.Iterator[bytes]:
    """Yields the events of one answer, each once and in order.

    If the connection breaks or events are missing, the stream is resumed at
    the engine.

    Args:
        client: client of the engine that runs the stream.
        stream_id: identifier of the engine stream.
        reader: the open connection, or None to resume first.
        start: number of the first event to deliver.
        policy: deadline and backoff; None only if there is no caller.

    Raises:
        DeadlinePassedError: the deadline passed before the terminal event.
        AnswerIncompleteError: the terminal event cannot be received.
    """
    stream = _ResumableStream(client, stream_id, reader, policy)
    expected = start
    failures = 0
    encoded = stream_id.encode()
    try:
        while True:
            event = _read_before_deadline(stream, expected, policy)
            if event is None:
                raise DeadlinePassedError("deadline passed", expected)
            match classify_event(event, encoded, expected):
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
                    stream.disconnect()
                    if not stream.prepare_resumption(
                        failures, has_begun=expected > start
                    ):
                        raise AnswerIncompleteError("stream broken", expected)
    finally:
        stream.disconnect()


def _read_before_deadline(
    stream: "_ResumableStream", expected: int, policy: ReadPolicy | None
) -> bytes | None:
    """Returns the next event, or None when the deadline has passed."""
    if policy is None:
        return stream.read(expected)
    remaining = policy.deadline - policy.clock.monotonic()
    if remaining > EVENT_READ_TIMEOUT:
        # The read times out before the deadline by itself, and a timer for
        # each token would add to the cost of relaying.
        event = stream.read(expected)
    else:
        event = None
        with gevent.Timeout(max(0.0, remaining.total_seconds()), False):
            event = stream.read(expected)
    return None if policy.has_passed() else event


class _ResumableStream:
    """An engine stream whose connection is reopened where it broke."""

    def __init__(
        self,
        client: Upstream,
        stream_id: str,
        reader: engine.EventReader | None,
        policy: ReadPolicy | None,
    ) -> None:
        self._client = client
        self._stream_id = stream_id
        self._reader = reader
        self._policy = policy
        self._broken_at = datetime.timedelta()

    def read(self, expected: int) -> bytes:
        """Returns the next event, or b"" if the connection broke or ended."""
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

    def prepare_resumption(self, failures: int, has_begun: bool) -> bool:
        """Backs off before a resumption.

        Args:
            failures: number of this resumption since the last event.
            has_begun: whether the caller has received an event.

        Returns:
            Whether the stream is to be resumed.
        """
        policy = self._policy
        if policy is None:
            return failures <= MAX_RESUMPTIONS
        now = policy.clock.monotonic()
        if failures == 1:
            self._broken_at = now
        may_come_back = (
            has_begun and now - self._broken_at < MIN_RESUME_DURATION
        )
        if failures > MAX_RESUMPTIONS and not may_come_back:
            return False
        policy.back_off(failures)
        return True

    def disconnect(self) -> None:
        """Closes the connection; the next read resumes the stream."""
        if self._reader is not None:
            self._reader.close()
        self._reader = None
