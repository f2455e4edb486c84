"""Guards against streams that end although another server could go on."""

import dataclasses

import gevent
import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.relay import budget
from arbutuscove.relay import model
from arbutuscove.relay import replacement
from arbutuscove.relay.tests import test_silence
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream

EVENTS = faulty_upstream.EVENTS
RESUMABLE = catalog_model.Repeat.STREAM_RESUMABLE
# Longer than the time after which a request without a backend is refused.
ABSENCE_SECONDS = 0.5

build = test_troubled.build_fixture


def break_off(request_id):
    """Sends two events of a stream and ends the connection."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[:2]:
        yield faulty_upstream.build_chunk(event)
    yield 0.1
    yield None


def create_urgent_request(scene):
    """Returns a request that is refused after 0.1 s without a backend."""
    request = scene.create_request(RESUMABLE)
    route = dataclasses.replace(
        request.route, first_byte_target=test_troubled.SECOND / 10
    )
    return dataclasses.replace(request, route=route)


def mark_all_stalled(scene):
    for name in ("bad", "good"):
        scene.states.mark_stalled((name, 1), "peer", is_local=False)


def test_stream_is_resumed_once_a_server_is_usable(build):
    """Guards against a begun stream cut since no server is usable right now.

    All servers are marked as stalled when the first one breaks off; soon after,
    the mark of the other one is cleared.
    """
    scene = build(break_off, faulty_upstream.answer_stream)
    answer = scene.flow.serve(create_urgent_request(scene))
    mark_all_stalled(scene)
    gevent.spawn_later(
        ABSENCE_SECONDS, scene.states.clear_stalled, ("good", 1), "peer"
    )
    with gevent.Timeout(2 * test_troubled.DEADLINE.total_seconds()):
        assert b"".join(answer.body) == b"".join(EVENTS)
    assert (scene.bad.requests, scene.good.requests) == (1, 1)


def test_stream_without_any_server_ends_before_its_deadline(build):
    """Guards against a caller kept waiting who could resume elsewhere."""
    scene = build(break_off, faulty_upstream.answer_stream)
    request = create_urgent_request(scene)
    answer = scene.flow.serve(request)
    mark_all_stalled(scene)
    with pytest.raises(model.BrokenAnswerError):
        b"".join(answer.body)
    assert scene.clock.monotonic() < request.deadline
    assert scene.states["bad", 1].running == 0


def test_waiting_for_a_server_uses_no_attempt(build):
    """Guards against attempts and retries used up by a stream that waits.

    The route allows two attempts, and the budget has one retry.
    """
    scene = build(break_off, faulty_upstream.answer_stream)
    scene.set_allowance(
        budget.RetryAllowance(
            ratio=0.0, slack=2.0, window=9 * test_troubled.SECOND
        )
    )
    answer = scene.flow.serve(create_urgent_request(scene))
    mark_all_stalled(scene)
    gevent.spawn_later(
        3 * ABSENCE_SECONDS, scene.states.clear_stalled, ("good", 1), "peer"
    )
    with gevent.Timeout(2 * test_troubled.DEADLINE.total_seconds()):
        assert b"".join(answer.body) == b"".join(EVENTS)


class EveryoneSuspects:
    """Crash evidence against every request, from some moment on."""

    def __init__(self, tracker):
        self._tracker = tracker
        self.is_suspected = False

    def __getattr__(self, name):
        return getattr(self._tracker, name)

    def may_repeat(self, request):
        return not self.is_suspected


def test_answer_of_a_replacement_is_used_despite_new_crash_evidence(build):
    """Guards against a silent stream and its answered replacement both ended.

    The replacement has sent an event, so its server has survived the request.
    Evidence against a part of the prompt arrives in the same moment.
    """
    scene = build(test_silence.pause_between_events, answer_at_once)
    crashes = scene._shared.crashes = EveryoneSuspects(scene._shared.crashes)
    read_event = replacement.Replacement._read_event

    def read_and_suspect(self):
        data = read_event(self)
        crashes.is_suspected = True
        return data

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(replacement.Replacement, "_read_event", read_and_suspect)
        answer, body = scene.serve(RESUMABLE)
    assert (answer.status, body) == (200, b"".join(EVENTS))


def answer_at_once(request_id):
    """Goes on after the second event."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[2:]:
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK
