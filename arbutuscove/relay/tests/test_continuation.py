"""Guards against bytes of an unfit answer within a stream that has begun."""

import dataclasses

import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.relay import continuation
from arbutuscove.relay import model
from arbutuscove.relay import replies
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http

EVENTS = faulty_upstream.EVENTS
KIND = b"Content-Type: text/event-stream"
RESUMABLE = catalog_model.Repeat.STREAM_RESUMABLE

build = test_troubled.build_fixture


def send_stream(request_id, events, *fields):
    """Sends a complete stream of some events."""
    yield faulty_upstream.build_head(
        request_id, faulty_upstream.CHUNKED, *(fields or (KIND,))
    )
    for event in events:
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK


def break_off(request_id):
    """Sends two events and ends the connection."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED, KIND)
    for event in EVENTS[:2]:
        yield faulty_upstream.build_chunk(event)
    yield 0.05
    yield faulty_upstream.Ending.CLOSE


def fall_silent(request_id):
    """Sends two events and then nothing."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED, KIND)
    for event in EVENTS[:2]:
        yield faulty_upstream.build_chunk(event)
    yield 60.0


def answer_error(status, body=b"error\n\n"):
    """Returns a behaviour that answers with a status."""

    def send_error(request_id):
        yield b"HTTP/1.1 %d Error\r\nContent-Length: %d\r\n" % (
            status,
            len(body),
        )
        yield faulty_upstream.STAMP + KIND + b"\r\n"
        yield b"X-Request-Id: " + request_id + b"\r\n\r\n" + body

    return send_error


def answer_events(*events, fields=()):
    """Returns a behaviour that answers with a complete stream of events."""
    return lambda request_id: send_stream(request_id, events, *fields)


HTML = b"<html>\n\n</html>\n\n"
ERROR = b'data: {"error": "gone"}\n\n'
UNFIT_HEADS = {
    "status 500": answer_error(500),
    "status 404": answer_error(404),
    "status 201": answer_error(201, EVENTS[2]),
    "page": answer_events(HTML, fields=(b"Content-Type: text/html",)),
    "other kind": answer_events(
        *EVENTS[2:], fields=(b"Content-Type: application/json",)
    ),
    "no kind": answer_events(*EVENTS[2:], fields=(b"X-Other: 1",)),
    "encoded": answer_events(
        *EVENTS[2:], fields=(KIND, b"Content-Encoding: gzip")
    ),
}
UNFIT_EVENTS = {
    "page as events": answer_events(HTML),
    "starts again": answer_events(*EVENTS),
    "last event again": answer_events(*EVENTS[1:]),
    "goes back": answer_events(EVENTS[2], EVENTS[0]),
    "error": answer_events(ERROR),
    "error before events": answer_events(ERROR, *EVENTS[2:]),
    "error with an id": answer_events(b"event: error\n" + EVENTS[2]),
    "nothing": answer_events(),
    "only comments": answer_events(b": wait\n\n"),
}


def collect(scene):
    """Returns what a caller receives, and whether its stream broke off."""
    answer = scene.flow.serve(scene.create_request(RESUMABLE))
    body = b""
    try:
        for part in answer.body:
            body += part
    except model.BrokenAnswerError:
        return body, True
    return body, False


@pytest.mark.parametrize("name", [*UNFIT_HEADS, *UNFIT_EVENTS])
def test_unfit_answer_is_not_joined_to_a_stream(build, name):
    """Guards against an error's text within a stream, or a false end.

    It also guards against events of a server that ignores Last-Event-Id.
    """
    scene = build(break_off, {**UNFIT_HEADS, **UNFIT_EVENTS}[name])
    body, is_broken = collect(scene)
    expected = b"".join(EVENTS[:2])
    if name == "goes back":
        assert body in (expected, expected + EVENTS[2])
    else:
        assert body == expected
    assert is_broken
    assert scene.good.requests == 1


def test_unfit_answer_does_not_replace_a_silent_one(build):
    """Guards against a page that replaces a stream which is only silent."""
    scene = build(fall_silent, UNFIT_HEADS["page"])
    body, is_broken = collect(scene)
    assert (body, is_broken) == (b"".join(EVENTS[:2]), True)


@pytest.mark.parametrize(
    "following",
    [
        answer_events(*EVENTS[2:]),
        answer_events(b": wait\n\n", *EVENTS[2:]),
        answer_events(
            *EVENTS[2:], fields=(b"content-type: Text/Event-Stream; a=b",)
        ),
    ],
    ids=["events", "comment", "parameter"],
)
def test_fit_answer_goes_on_with_a_stream(build, following):
    """Guards against sound answers that are rejected as another kind."""
    scene = build(break_off, following)
    body, is_broken = collect(scene)
    assert body.replace(b": wait\n\n", b"") == b"".join(EVENTS)
    assert not is_broken


def test_stream_without_ids_is_not_resumed(build):
    """Guards against events that come twice, as no id says where to go on."""

    def send_without_ids(request_id):
        yield faulty_upstream.build_head(
            request_id, faulty_upstream.CHUNKED, KIND
        )
        yield faulty_upstream.build_chunk(b"data: x\n\n")
        yield 0.05
        yield faulty_upstream.Ending.CLOSE

    scene = build(send_without_ids, answer_events(b"data: x\n\n"))
    body, is_broken = collect(scene)
    assert (body, is_broken) == (b"data: x\n\n", True)
    assert scene.good.requests == 0


def test_stream_is_not_resumed_after_an_event_without_id(build):
    """Guards against an event that comes twice after the last id."""

    def send_mixed(request_id):
        yield faulty_upstream.build_head(
            request_id, faulty_upstream.CHUNKED, KIND
        )
        yield faulty_upstream.build_chunk(EVENTS[0] + b"data: y\n\n")
        yield 0.05
        yield faulty_upstream.Ending.CLOSE

    scene = build(send_mixed, answer_events(b"data: y\n\n", *EVENTS[1:]))
    body, is_broken = collect(scene)
    assert (body, is_broken) == (EVENTS[0] + b"data: y\n\n", True)


EARLY = b"id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n"
WIDE = b"id: 2\ndata: x\n\nid: 4\ndata: x\n\nid: 5\ndata: x\n\n"


@pytest.mark.parametrize(
    ("begun", "events", "is_joined"),
    [
        (EARLY, (b"id: 4\ndata: x\n\n", b"id: 6\ndata: x\n\n"), True),
        (EARLY, (b"id: 5\ndata: x\n\n",), False),
        (WIDE, (b"id: 8\ndata: x\n\n",), True),
        (EVENTS[0] + EVENTS[1], (EVENTS[3],), True),
    ],
    ids=["next", "skipped", "wider steps", "steps unknown"],
)
def test_answer_that_skips_events_is_not_joined(
    build, begun, events, is_joined
):
    """Guards against a gap in a stream whose ids have risen by one so far.

    Ids that rise by more, as counts of tokens do, show no gap.
    """

    def send_begun(request_id):
        yield faulty_upstream.build_head(
            request_id, faulty_upstream.CHUNKED, KIND
        )
        yield faulty_upstream.build_chunk(begun)
        yield 0.05
        yield faulty_upstream.Ending.CLOSE

    scene = build(send_begun, answer_events(*events))
    body, is_broken = collect(scene)
    assert body == begun + (b"".join(events) if is_joined else b"")
    assert is_broken != is_joined


@pytest.mark.parametrize(
    ("last", "event", "is_fit"),
    [
        ("9", b"id: 10\ndata: x\n\n", True),
        ("9", b"id: 09\ndata: x\n\n", False),
        ("9", b"id:8\ndata: x\n\n", False),
        ("a-9", b"id: a-10\ndata: x\n\n", True),
        ("a-9", b"id: a-9\ndata: x\n\n", False),
        ("9", b"id: " + b"9" * 5000 + b"\ndata: x\n\n", True),
        ("\u00b2", b"id: 3\ndata: x\n\n", True),
    ],
)
def test_ids_go_on_increasing_where_they_are_numbers(last, event, is_fit):
    """Guards against a repeated event, and against ids that are no numbers."""
    position = continuation.Position(event_id=last)
    fault = continuation.find_fault(event, position, has_joined=False)
    assert (fault == "") == is_fit


def test_head_of_a_continuation_is_of_the_kind_of_the_first():
    """Guards against a second page joined to a page that broke off."""

    def build_reply(**fields):
        return replies.Reply(
            status=200,
            fields=tuple(fields.items()),
            is_matching=True,
            is_named=True,
            is_signed=True,
            not_run=False,
            is_busy=False,
        )

    page = build_reply(**{"Content-Type": "text/html"})
    bare = build_reply()
    assert not continuation.is_continuation(page, page)
    assert continuation.is_continuation(bare, bare)


def test_stream_goes_on_after_an_unfit_answer(build):
    """Guards against a stream given up though a third upstream goes on."""
    behaviours = [UNFIT_HEADS["status 500"], answer_events(*EVENTS[2:])]

    def take_turns(request_id):
        return behaviours.pop(0)(request_id)

    scene = build(break_off, take_turns)
    other = faulty_upstream.Upstream(take_turns)
    names = {"bad": scene.bad, "good": scene.good, "other": other}
    scene.inventory.replace(
        test_planner.create_vm(
            name,
            fabric_domain="",
            address=http.Address("127.0.0.1", upstream.port),
        )
        for name, upstream in names.items()
    )
    scene.states.record_failure(("other", 1))
    request = scene.create_request(RESUMABLE)
    route = dataclasses.replace(request.route, attempts=3)
    answer = scene.flow.serve(dataclasses.replace(request, route=route))
    assert b"".join(answer.body) == b"".join(EVENTS)
    assert [upstream.requests for upstream in names.values()] == [1, 1, 1]
    other.stop()
