"""Guards against engines whose bytes without end fill a daemon's memory."""

import datetime

import pytest

from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.upstreams import engine
from arbutuscove.upstreams import errors

# What a daemon may keep, and what lies in the buffers of both sockets.
MAX_SENT_BYTES = engine.MAX_ANSWER_BYTES + 16 * 1024 * 1024
DISPATCH = engine.Dispatch(
    attempt_id="a", replica="r", generation=1, priority=0, body={}
)


def send_endless_body(request_id):
    """Sends a body without end."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    while True:
        yield faulty_upstream.build_chunk(b"a" * faulty_upstream.PIECE_BYTES)


def refuse_without_end(request_id):
    """Sends an error whose body has no end."""
    yield b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n"
    while True:
        yield faulty_upstream.build_chunk(b"a" * faulty_upstream.PIECE_BYTES)


def send_many_events(request_id):
    """Sends more than the limit of one event in many events."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    event = b"id: a-0\ndata: " + b"x" * 4096 + b"\n\n"
    for _ in range(2 * engine.MAX_ANSWER_BYTES // len(event)):
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK


@pytest.fixture(name="serve")
def serve_fixture():
    started = []

    def serve(behaviour):
        upstream = faulty_upstream.Upstream(behaviour)
        client = engine.EngineClient(f"127.0.0.1:{upstream.port}")
        started.append((upstream, client))
        return upstream, client

    yield serve
    for upstream, client in started:
        client.close()
        upstream.stop()


ENDLESS = [
    send_endless_body,
    refuse_without_end,
    faulty_upstream.send_endless_line,
    faulty_upstream.send_endless_head,
    faulty_upstream.send_endless_information,
]


@pytest.mark.parametrize("behaviour", ENDLESS)
def test_endless_status_is_not_kept(serve, behaviour):
    """Guards against a status that fills the memory."""
    upstream, client = serve(behaviour)
    with pytest.raises(errors.UnreachableError):
        client.read_status()
    assert upstream.sent <= MAX_SENT_BYTES


@pytest.mark.parametrize("behaviour", ENDLESS)
def test_endless_answer_to_a_dispatch_is_not_kept(serve, behaviour):
    """Guards against an answer, or an error, that fills the memory."""
    upstream, client = serve(behaviour)
    try:
        opened = client.open_stream(DISPATCH)
        if opened.is_ok():
            with pytest.raises(errors.StreamBrokenError):
                opened.ok.read()
    except errors.DispatchUnknownError:
        pass
    assert upstream.sent <= MAX_SENT_BYTES


def test_long_stream_is_read_to_its_end(serve):
    """Guards against a limit of an event that cuts a sound stream."""
    _, client = serve(send_many_events)
    reader = client.open_stream(DISPATCH).ok
    count = 0
    while reader.read():
        count += 1
    assert count == 2 * engine.MAX_ANSWER_BYTES // 4112


def test_endless_response_of_the_table_is_not_kept():
    """Guards against a platform service that fills the memory."""
    upstream = faulty_upstream.Upstream(send_endless_body)
    client = http.JsonClient(
        http.Address("127.0.0.1", upstream.port),
        datetime.timedelta(seconds=5),
        max_bytes=engine.MAX_ANSWER_BYTES,
    )
    try:
        with pytest.raises(http.NoResponseError):
            client.send("GET", "/")
        assert upstream.sent <= MAX_SENT_BYTES
    finally:
        client.close()
        upstream.stop()
