"""Guards against answers that end because a sound upstream is silent."""

import random

import gevent
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths.tests import doubles
from arbutuscove.relay import attempt
from arbutuscove.relay import backends
from arbutuscove.relay import budget
from arbutuscove.relay import context as context_module
from arbutuscove.relay import model
from arbutuscove.relay import stalls
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream

EVENTS = faulty_upstream.EVENTS
SILENCE_SECONDS = 1.2 * attempt.STREAM_STALL_TIMEOUT.total_seconds()
RESUMABLE = catalog_model.Repeat.STREAM_RESUMABLE

build = test_troubled.build_fixture


def pause_between_events(request_id):
    """Sends two events, is silent, and goes on to the end."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[:2]:
        yield faulty_upstream.build_chunk(event)
    yield SILENCE_SECONDS
    for event in EVENTS[2:]:
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK


def pause_before_head(request_id):
    """Is silent before the head, and then answers."""
    yield 1.2 * attempt.FIRST_BYTE_STALL_TIMEOUT.total_seconds()
    yield from faulty_upstream.answer_stream(request_id)


def refuse(request_id):
    """Refuses the request without running it."""
    yield (
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
        b"X-Request-Id: " + request_id + b"\r\n\r\n"
    )


def fail(request_id):
    """Runs the request and answers with an error."""
    yield (
        b"HTTP/1.1 500 Error\r\nContent-Length: 5\r\nX-Server-Stamp: s\r\n"
        b"X-Request-Id: " + request_id + b"\r\n\r\nerror"
    )


def garble(request_id):
    """Sends bytes that are no answer."""
    yield b"\x00\x01 no answer\r\n\r\n"


def stay_silent(request_id):
    """Sends nothing."""
    yield 60.0


@pytest.mark.parametrize(
    "silent",
    [pause_between_events, pause_before_head],
    ids=lambda b: b.__name__,
)
@pytest.mark.parametrize(
    "other", [refuse, fail, garble, stay_silent], ids=lambda b: b.__name__
)
def test_silent_stream_goes_on_if_no_other_upstream_answers(
    build, silent, other
):
    """Guards against a sound stream cut before another one has begun."""
    scene = build(silent, other)
    answer, body = scene.serve(RESUMABLE)
    assert (answer.status, body) == (200, b"".join(EVENTS))


@pytest.mark.parametrize(
    "silent",
    [pause_between_events, pause_before_head],
    ids=lambda b: b.__name__,
)
def test_silent_stream_goes_on_without_another_upstream(build, silent):
    """Guards against a sound stream cut although no other upstream exists."""
    scene = build(silent, refuse)
    scene.list(scene.bad)
    answer, body = scene.serve(RESUMABLE)
    assert (answer.status, body) == (200, b"".join(EVENTS))


@pytest.mark.parametrize(
    "silent",
    [pause_between_events, pause_before_head],
    ids=lambda b: b.__name__,
)
def test_silent_stream_goes_on_without_a_retry(build, silent):
    """Guards against a sound stream cut when the retry budget is empty."""
    scene = build(silent, faulty_upstream.answer_stream)
    scene.set_allowance(
        budget.RetryAllowance(ratio=0.0, slack=0.0, window=test_troubled.SECOND)
    )
    answer, body = scene.serve(RESUMABLE)
    assert (answer.status, body) == (200, b"".join(EVENTS))
    assert scene.good.requests == 0


class Dispatcher:
    """Lists one backend."""

    def __init__(self, backend):
        self.backend = backend

    def list_backends(self, pool):
        return [self.backend]


@pytest.mark.parametrize("listed_members", [2, 1])
def test_group_is_used_again_once_its_silent_member_responds(listed_members):
    """Guards against a sound group refused for seconds after a short silence.

    A group of which a member is no longer listed stays marked.
    """
    key = test_troubled.KEY
    clock = clock_module.SystemClock()
    states = backends.BackendStates(clock)
    answers = [["m"], ["m"], []]
    notified = []

    def probe_members(_):
        return answers.pop(0) if answers else []

    def create_backend(members):
        vm = test_planner.create_vm("head")
        return model.Backend(
            key=key, vm=vm, model="chat", slots=9, members=members
        )

    context = context_module.AttemptContext(
        clock,
        catalog_holder.CatalogHolder(),
        Dispatcher(create_backend(listed_members)),
        states,
        doubles.SoundPath(),
        None,
        lambda: notified.append(states.is_stalled(key)),
        probe_members,
        random.Random(1),
        test_troubled.create_tracker(clock),
    )
    states.begin_request(key)
    states[key].last_progress = clock.monotonic() - test_troubled.SECOND
    context.probe("models", create_backend(2))
    gevent.sleep(3 * stalls.STALL_RECHECK_INTERVAL.total_seconds())
    is_sound = listed_members == 2
    assert states.is_stalled(key) != is_sound
    assert notified == ([True, False] if is_sound else [True])
    states.retain(set())
    states.end_request(key)
    states.retain(set())


def test_mark_of_one_source_is_not_cleared_by_another():
    """Guards against requests to a stalled group after news of another one."""
    states = backends.BackendStates(clock_module.ManualClock())
    states.mark_stalled(test_troubled.KEY, "peer", is_local=False)
    assert not states.clear_stalled(test_troubled.KEY, "other")
    assert states.is_stalled(test_troubled.KEY)
    assert states.clear_stalled(test_troubled.KEY, "peer")
