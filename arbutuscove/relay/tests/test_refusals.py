"""Guards against refusals that tell more than the daemon knows."""

import dataclasses

import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.relay import attempt
from arbutuscove.relay import model
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream

NOT_RUN = b"X-Not-Run: 1\r\n"
EVERY_REPEAT = [catalog_model.Repeat.SAFE, catalog_model.Repeat.ONCE]
STREAMS = [
    catalog_model.Repeat.STREAM_RESUMABLE,
    catalog_model.Repeat.STREAM_ONCE,
]


@pytest.fixture(name="build")
def build_fixture():
    scenes = []

    def build(bad, good):
        scenes.append(test_troubled.Scene(bad, good))
        return scenes[-1]

    yield build
    for scene in scenes:
        scene.stop()


def build_refusal(status, request_id=None, fields=NOT_RUN):
    """Returns a refusal without a body; without an id it names no request."""
    named = b"" if request_id is None else b"X-Request-Id: %b\r\n" % request_id
    return b"HTTP/1.1 %d Refused\r\nContent-Length: 0\r\n%b%b\r\n" % (
        status,
        named,
        fields,
    )


def answer_first_and_then(later):
    """Returns a behaviour that answers one request and then does `later`."""
    requests = []

    def behave(request_id):
        requests.append(request_id)
        if len(requests) == 1:
            return faulty_upstream.answer_completely(request_id)
        return later(request_id)

    return behave


def catch_refusal(scene, repeat, attempts=1):
    """Serves a request with a number of attempts, and returns its refusal."""
    request = scene.create_request(repeat)
    route = dataclasses.replace(request.route, attempts=attempts)
    with pytest.raises(model.RefusedError) as caught:
        scene.flow.serve(dataclasses.replace(request, route=route))
    return caught.value.refusal


@pytest.mark.parametrize("status", [421, 429, 503])
def test_unnamed_refusal_on_a_used_connection_is_not_believed(build, status):
    """Guards against `not run` for a request that its server runs.

    A server writes an earlier refusal once more, while it runs the request.
    """

    def copy_refusal(request_id):
        yield build_refusal(status)
        yield 0.05
        yield from faulty_upstream.answer_completely(request_id)

    scene = build(
        answer_first_and_then(copy_refusal), faulty_upstream.answer_completely
    )
    scene.list(scene.bad)
    scene.serve(catalog_model.Repeat.SAFE, "r0")
    refusal = catch_refusal(scene, catalog_model.Repeat.SAFE)
    assert scene.bad.requests == 2
    assert not refusal.not_run
    assert refusal.status == 502


def test_unnamed_failure_on_a_used_connection_is_not_passed_on(build):
    """Guards against an answer to another request sent to this caller."""

    def copy_failure(request_id):
        yield build_refusal(404, fields=b"")

    scene = build(
        answer_first_and_then(copy_failure), faulty_upstream.answer_completely
    )
    scene.list(scene.bad)
    scene.serve(catalog_model.Repeat.SAFE, "r0")
    scene.list(scene.bad, scene.good)
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert (answer.status, body) == (200, test_troubled.WHOLE)
    assert (scene.bad.requests, scene.good.requests) == (2, 1)


def test_unnamed_refusal_on_a_new_connection_is_believed(build):
    """Guards against failures where a server refuses without an id."""

    def refuse(request_id):
        yield build_refusal(503)

    scene = build(refuse, faulty_upstream.answer_completely)
    answer, body = scene.serve(catalog_model.Repeat.ONCE)
    assert (answer.status, body) == (200, test_troubled.WHOLE)


def test_refusal_that_names_an_earlier_request_is_skipped(build):
    """Guards against a refusal of an earlier request used for this one."""

    def copy_refusal(request_id):
        yield build_refusal(503, b"r0")
        yield 0.05
        yield from faulty_upstream.answer_completely(request_id)

    scene = build(
        answer_first_and_then(copy_refusal), faulty_upstream.answer_completely
    )
    scene.list(scene.bad)
    scene.serve(catalog_model.Repeat.SAFE, "r0")
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert (answer.status, body) == (200, test_troubled.WHOLE)
    assert dict(answer.fields)["X-Request-Id"] == "r1"


@pytest.mark.parametrize("second_id", [None, b"r0", b"r1"])
@pytest.mark.parametrize("repeat", EVERY_REPEAT)
def test_two_refusals_in_one_segment_promise_nothing(build, second_id, repeat):
    """Guards against `not run` where the first refusal is of another request.

    The second may belong to this request, but its bytes came with the first.
    """

    def refuse_twice(request_id):
        yield build_refusal(503, b"r0") + build_refusal(503, second_id)

    scene = build(
        answer_first_and_then(refuse_twice), faulty_upstream.answer_completely
    )
    scene.list(scene.bad)
    scene.serve(catalog_model.Repeat.SAFE, "r0")
    refusal = catch_refusal(scene, repeat)
    assert (refusal.status, refusal.not_run) == (502, False)


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("repeat", [*EVERY_REPEAT, *STREAMS])
def test_status_without_the_promise_is_no_promise(build, repeat, status):
    """Guards against 429 or 503, read as `not run`, for a request that ran.

    Only X-Not-Run says that the upstream did not run the request.
    """

    def fail(request_id):
        yield build_refusal(status, request_id, fields=b"")

    scene = build(fail, faulty_upstream.answer_completely)
    scene.list(scene.bad)
    refusal = catch_refusal(scene, repeat)
    assert (refusal.status, refusal.not_run) == (502, False)


@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_without_the_promise_is_sent_once(build, status):
    """Guards against a second run of what may not be repeated."""

    def fail(request_id):
        yield build_refusal(status, request_id, fields=b"")

    scene = build(fail, faulty_upstream.answer_completely)
    refusal = catch_refusal(scene, catalog_model.Repeat.ONCE, attempts=2)
    assert refusal.status == 502
    assert (scene.bad.requests, scene.good.requests) == (1, 0)


def fail_without_answer(request_id):
    """Ends the connection once the request has arrived."""
    yield faulty_upstream.Ending.CLOSE


def fail_with_status(request_id):
    """Answers that the request failed, after it ran."""
    yield build_refusal(500, request_id, fields=b"")


def refuse_busy(request_id):
    """Answers that there is no capacity."""
    yield build_refusal(503, request_id)


@pytest.mark.parametrize(
    ("repeat", "first"),
    [
        (catalog_model.Repeat.SAFE, fail_without_answer),
        (catalog_model.Repeat.SAFE, fail_with_status),
        (catalog_model.Repeat.STREAM_RESUMABLE, fail_without_answer),
    ],
)
def test_refusal_after_a_lost_attempt_does_not_say_not_run(
    build, repeat, first
):
    """Guards against `not run` from the second of two upstreams.

    The first may have run the request.
    """
    scene = build(first, refuse_busy)
    refusal = catch_refusal(scene, repeat, attempts=2)
    assert (scene.bad.requests, scene.good.requests) == (1, 1)
    assert (refusal.status, refusal.not_run) == (502, False)


@pytest.mark.parametrize(
    "repeat",
    [catalog_model.Repeat.SAFE, catalog_model.Repeat.STREAM_RESUMABLE],
)
def test_refused_wait_after_a_lost_attempt_does_not_say_not_run(
    build, monkeypatch, repeat
):
    """Guards against `not run` from the queue after an upstream was lost."""
    scene = build(fail_without_answer, faulty_upstream.answer_completely)
    acquire = scene.dispatcher.acquire

    def acquire_once(request, service, excluded, **fields):
        if not excluded:
            return acquire(request, service, excluded, **fields)
        raise model.RefusedError(
            model.Refusal(status=503, code="queue_full", not_run=True)
        )

    monkeypatch.setattr(scene.dispatcher, "acquire", acquire_once)
    refusal = catch_refusal(scene, repeat, attempts=2)
    assert (scene.bad.requests, scene.good.requests) == (1, 0)
    assert (refusal.status, refusal.not_run) == (502, False)


def test_refusal_after_a_replaced_attempt_does_not_say_not_run(build):
    """Guards against `not run` from a silent upstream that refuses late.

    Another one has run the request meanwhile.
    """

    def refuse_late(request_id):
        yield 1.4 * attempt.FIRST_BYTE_STALL_TIMEOUT.total_seconds()
        yield build_refusal(503, request_id)

    scene = build(refuse_late, fail_with_status)
    refusal = catch_refusal(
        scene, catalog_model.Repeat.STREAM_RESUMABLE, attempts=2
    )
    assert (scene.bad.requests, scene.good.requests) == (1, 1)
    assert (refusal.status, refusal.not_run) == (502, False)
