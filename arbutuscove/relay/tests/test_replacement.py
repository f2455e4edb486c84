"""Guards against replacements of silent streams that harm the stream."""

import dataclasses

import gevent
import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import attempt
from arbutuscove.relay import backends
from arbutuscove.relay import budget
from arbutuscove.relay.tests import test_silence
from arbutuscove.relay.tests import test_troubled
from arbutuscove.requests import presence
from arbutuscove.standins import faulty_upstream
from arbutuscove.transport import connection

EVENTS = faulty_upstream.EVENTS
RESUMABLE = catalog_model.Repeat.STREAM_RESUMABLE
BAD = ("bad", 1)
GOOD = ("good", 1)

build = test_troubled.build_fixture


def pause_then_break_off(request_id):
    """Is silent within the stream, goes on, and later breaks off."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[:2]:
        yield faulty_upstream.build_chunk(event)
    yield test_silence.SILENCE_SECONDS
    yield faulty_upstream.build_chunk(EVENTS[2])
    yield 0.3
    yield faulty_upstream.Ending.CLOSE


class FullUpstream:
    """Keeps the healthy upstream of a scene full until an event has arrived.

    The slots are freed by the event and not by a timer: a replacement that gets
    one before the stream goes on asks the upstream, which uses an attempt.
    """

    def __init__(self, scene, patch):
        self._scene = scene
        self._count = -1 + sum(
            backend.slots
            for backend in scene.dispatcher.list_backends(("models", ""))
        )
        for _ in range(self._count):
            scene.states.begin_request(GOOD)
        self.opened = []
        open_attempt = attempt.Attempt.open

        def record(opened, *args, **fields):
            self.opened.append(opened)
            return open_attempt(opened, *args, **fields)

        patch.setattr(attempt.Attempt, "open", record)

    def relay(self, body, event):
        """Yields the parts of a body, and frees the slots at an event."""
        relayed = b""
        for part in body:
            is_new = event not in relayed and event in relayed + part
            relayed += part
            if is_new:
                for _ in range(self._count):
                    self._scene.states.end_request(GOOD)
            yield part


def test_replacement_that_asked_no_upstream_uses_no_attempt(build, monkeypatch):
    """Guards against a stream that breaks off though an attempt is left.

    While the stream is silent, the other upstream is full, so that the
    replacement waits for a slot until the stream goes on.
    """
    scene = build(pause_then_break_off, faulty_upstream.answer_stream)
    full = FullUpstream(scene, monkeypatch)
    answer = scene.flow.serve(scene.create_request(RESUMABLE))
    body = b"".join(full.relay(answer.body, EVENTS[2]))
    assert (answer.status, body) == (200, b"".join(EVENTS))
    assert (scene.bad.requests, scene.good.requests) == (1, 1)
    # The first attempt, the replacement that waited, and the last attempt.
    assert len(full.opened) == 3


def send_event_without_id_late(request_id):
    """Is silent, sends an event without an id, and is silent again."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[:2]:
        yield faulty_upstream.build_chunk(event)
    yield attempt.STREAM_STALL_TIMEOUT.total_seconds() + 0.3
    yield faulty_upstream.build_chunk(b"data: x\n\n")
    yield 0.8
    for event in EVENTS[3:]:
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK


def answer_stream_late(request_id):
    """Goes on after the second event, later than the silent upstream does."""
    yield 0.6
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[2:]:
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK


def test_replacement_is_left_once_its_position_is_passed(build):
    """Guards against an event that comes twice.

    The replacement was asked to go on after the last event with an id; the
    silent upstream then sends one without an id.
    """
    scene = build(send_event_without_id_late, answer_stream_late)
    _, body = scene.serve(RESUMABLE)
    assert body.count(b"data: x\n\n") == len(EVENTS)


def send_head_only(request_id):
    """Sends the head of a stream and then nothing."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    yield 60.0


def garble_after_head(request_id):
    """Sends the head of a stream and then bytes that are none of its events."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    yield faulty_upstream.build_chunk(b"\x00 no event\n\n")
    yield 60.0


@pytest.mark.parametrize(
    "other", [send_head_only, garble_after_head], ids=lambda b: b.__name__
)
def test_silent_stream_goes_on_if_its_replacement_sends_no_event(build, other):
    """Guards against a sound stream that is given up for a head alone."""
    scene = build(test_silence.pause_between_events, other)
    answer, body = scene.serve(RESUMABLE)
    assert (answer.status, body) == (200, b"".join(EVENTS))


def answer_head_late(request_id):
    """Sends the head and the events after the second one, each a bit late."""
    yield 0.1
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    yield 0.1
    for event in EVENTS[2:]:
        yield faulty_upstream.build_chunk(event)
        yield 0.05
    yield faulty_upstream.LAST_CHUNK


@pytest.mark.parametrize("is_full", [False, True], ids=["free", "full"])
def test_callers_that_leave_at_any_time_free_all_slots(build, is_full):
    """Guards against slots and connections of replacements that are lost.

    The callers leave before, while and after replacements wait for a slot, for
    a head and for events, some in the same turn of the loop.
    """
    scene = build(test_silence.pause_between_events, answer_head_late)
    opened = []
    connect = connection.connect

    def record(address, timeout):
        opened.append(connect(address, timeout))
        return opened[-1]

    count = 12
    slots = sum(
        backend.slots
        for backend in scene.dispatcher.list_backends(("models", ""))
    )
    held = slots - count if is_full else 0
    for _ in range(held):
        scene.states.begin_request(GOOD)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection, "connect", record)
        for first in (1.15, 1.25, 1.35, 1.45, 1.55):
            callers = [
                gevent.spawn(scene.serve, RESUMABLE, f"r{first}-{number}")
                for number in range(count)
            ]
            gevent.sleep(first)
            for caller in callers:
                caller.kill(presence.CallerLeftError(), block=False)
                gevent.sleep(0.01)
            gevent.joinall(callers)
            gevent.sleep(0.05)
            assert scene.states[BAD].running == 0
            assert scene.states[GOOD].running == held
            assert scene.states[BAD].answering == 0
            assert scene.states[GOOD].answering == 0
            assert not scene.dispatcher._waiters
            assert not any(map(len, scene.dispatcher._queues.values()))
    scene.pool.stop()
    assert opened
    assert all(used._socket.closed for used in opened)
    for _ in range(held):
        scene.states.end_request(GOOD)


def test_replacement_that_asked_no_upstream_uses_no_retry(build, monkeypatch):
    """Guards against a retry budget that waiting replacements use up.

    Attempts are left; the budget has one retry, which the stream needs when it
    breaks off.
    """
    scene = build(pause_then_break_off, faulty_upstream.answer_stream)
    scene.set_allowance(
        budget.RetryAllowance(
            ratio=0.0, slack=2.0, window=9 * test_troubled.SECOND
        )
    )
    full = FullUpstream(scene, monkeypatch)
    request = scene.create_request(RESUMABLE)
    route = dataclasses.replace(request.route, attempts=9)
    answer = scene.flow.serve(dataclasses.replace(request, route=route))
    body = b"".join(full.relay(answer.body, EVENTS[2]))
    assert body == b"".join(EVENTS)
    assert (scene.bad.requests, scene.good.requests) == (1, 1)
    assert len(full.opened) == 3


def test_mark_of_two_peers_stays_until_both_clear_it():
    """Guards against requests to a group that one daemon still finds stalled.

    A peer reports a group once, when it marks it, and not again.
    """
    states = backends.BackendStates(clock_module.ManualClock())
    for peer in ("first", "second"):
        states.mark_stalled(test_troubled.KEY, peer, is_local=False)
    states.clear_stalled(test_troubled.KEY, "first")
    assert states.is_stalled(test_troubled.KEY)
    states.clear_stalled(test_troubled.KEY, "second")
    assert not states.is_stalled(test_troubled.KEY)
