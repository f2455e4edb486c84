"""Guards against truncated or repeated answers and foreign events."""

import datetime
import random

import gevent
import pytest
from gevent import event

from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import answers
from arbutuscove.requests import flow
from arbutuscove.upstreams import errors

SECOND = datetime.timedelta(seconds=1)


def _event(number, stream="s", data=b"{}"):
    return f"id: {stream}-{number}\ndata: ".encode() + data + b"\n\n"


WHOLE = [_event(0), _event(1), _event(2), _event(3, data=b"[DONE]")]


class _Reader:
    """Returns given events, then fails or ends the stream."""

    def __init__(self, events, broken=False):
        self._events = list(events)
        self._broken = broken

    def read(self):
        if self._events:
            return self._events.pop(0)
        if self._broken:
            raise errors.StreamBrokenError("broken")
        return b""

    def close(self):
        self._events.clear()


class _Engine:
    """Resumes the stream after an event number, unless it is lost."""

    def __init__(self, lost=False):
        self.resumed = []
        self._lost = lost

    def resume_stream(self, stream_id, after):
        self.resumed.append(after)
        if self._lost:
            raise errors.StreamLostError("unknown stream")
        return _Reader(WHOLE[after + 1 :])


@pytest.mark.parametrize(
    "arrived",
    [
        WHOLE,
        [WHOLE[0], WHOLE[0], *WHOLE[1:]],
        [WHOLE[0], WHOLE[2], WHOLE[1], WHOLE[3]],
        WHOLE[:2],
        [],
    ],
    ids=["whole", "repeated", "reordered", "truncated", "empty"],
)
@pytest.mark.parametrize("broken", [False, True])
def test_answer_delivers_each_event_once_in_order(arrived, broken):
    """The caller must get no repeated, reordered or missing events."""
    reader = _Reader(arrived, broken)
    delivered = list(answers.read_answer(_Engine(), "s", reader))
    assert delivered == WHOLE


@pytest.mark.parametrize("other", ["other", "t"])
def test_answer_of_another_stream_is_refused(other):
    """An event of another stream must never reach the caller."""
    reader = _Reader([WHOLE[0], _event(1, stream=other)])
    events = answers.read_answer(_Engine(), "s", reader)
    assert next(events) == WHOLE[0]
    with pytest.raises(answers.AnswerIncompleteError):
        next(events)


def test_answer_without_terminal_event_fails():
    """A truncated answer must not look complete."""
    reader = _Reader(WHOLE[:3])
    events = answers.read_answer(_Engine(lost=True), "s", reader)
    with pytest.raises(answers.AnswerIncompleteError) as caught:
        list(events)
    assert caught.value.delivered == 3


def test_answer_resumes_after_last_delivered_event():
    """Resuming from the start would repeat the events already delivered."""
    engine = _Engine()
    list(answers.read_answer(engine, "s", None, start=2))
    assert engine.resumed == [1]


class _UnresponsiveReader:
    """Returns one event, and then blocks with its connection open."""

    def __init__(self):
        self._events = [WHOLE[0]]
        self.closed = False

    def read(self):
        if self._events:
            return self._events.pop()
        return event.Event().wait()

    def close(self):
        self.closed = True


def test_answer_of_a_silent_engine_ends_at_the_deadline():
    """A read that blocks must not keep the answer open past the deadline."""
    clock = clock_module.SystemClock()
    policy = answers.ReadPolicy(
        clock=clock,
        deadline=clock.monotonic() + datetime.timedelta(milliseconds=50),
        generator=random.Random(1),
    )
    reader = _UnresponsiveReader()
    events = answers.read_answer(_Engine(), "s", reader, policy=policy)
    assert next(events) == WHOLE[0]
    with gevent.Timeout(2), pytest.raises(answers.DeadlinePassedError):
        next(events)
    assert reader.closed


class _UnreachableEngine(_Engine):
    """Cannot be connected to until some time, and then goes on."""

    def __init__(self, clock, until):
        super().__init__()
        self._clock = clock
        self._until = until

    def resume_stream(self, stream_id, after):
        if self._clock.monotonic() < self._until:
            raise errors.StreamBrokenError("connection refused")
        return super().resume_stream(stream_id, after)


def read_while_unreachable(reader, outage, deadline):
    """Returns the delivered events and the time at which they ended."""
    clock = clock_module.ManualClock()
    started_at = clock.monotonic()
    policy = answers.ReadPolicy(
        clock=clock,
        deadline=started_at + deadline,
        generator=random.Random(1),
    )
    engine = _UnreachableEngine(clock, started_at + outage)
    delivered = []
    try:
        for data in answers.read_answer(engine, "s", reader, policy=policy):
            delivered.append(data)
    except answers.AnswerIncompleteError:
        pass
    return delivered, clock.monotonic() - started_at


def test_answer_goes_on_after_a_second_without_connections():
    """Guards against a stream cut as its engine cannot be reached briefly."""
    reader = _Reader(WHOLE[:2], broken=True)
    delivered, _ = read_while_unreachable(reader, SECOND, 60 * SECOND)
    assert delivered == WHOLE


def test_answer_of_a_dead_engine_ends_soon():
    """Guards against callers that wait until the deadline for a dead engine."""
    reader = _Reader(WHOLE[:2], broken=True)
    delivered, passed = read_while_unreachable(reader, 60 * SECOND, 60 * SECOND)
    assert delivered == WHOLE[:2]
    assert passed <= 2 * answers.MIN_RESUME_DURATION


def test_answer_without_an_event_is_given_up_at_once():
    """Guards against a request kept from another replica that is free."""
    delivered, passed = read_while_unreachable(None, 60 * SECOND, 60 * SECOND)
    assert delivered == []
    assert passed <= SECOND


@pytest.mark.parametrize("number", [b"9" * 20, b"9" * 5000, b"\xb2", b"-1"])
def test_event_of_an_odd_number_is_foreign(number):
    """Guards against an answer without an end for the number of an event."""
    action = answers.classify_event(b"id: a-" + number + b"\n\n", b"a", 1)
    assert action == answers.Foreign()


@pytest.mark.parametrize(
    "usage",
    [
        b"[" * 20_000,
        b'{"completion_tokens":-5}',
        b'{"completion_tokens":' + b"9" * 30 + b"}",
        b'{"completion_tokens":"many"}',
        b"7",
    ],
)
def test_odd_usage_of_an_answer_is_not_counted(usage):
    """Guards against a limit that an engine's report uses up or raises."""
    event_with_usage = b'id: a-1\ndata: {"usage":' + usage + b"}\n\n"
    assert flow._read_token_count(event_with_usage, 12) == 12
