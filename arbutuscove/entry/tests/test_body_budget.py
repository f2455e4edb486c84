"""Guards against memory that a refused or finished request keeps."""

import datetime
import types

import gevent
import msgspec
import pytest
from gevent import event

from arbutuscove.entry import bodies
from arbutuscove.entry import connections
from arbutuscove.entry import memory
from arbutuscove.entry import places
from arbutuscove.entry import refusals
from arbutuscove.entry.tests import serving
from arbutuscove.kernel import clock as clock_module

LIMIT = 512 * 1024
LARGE = 200 * 1024
MAX_READ_BYTES = 1 << 18
BOUNDS = connections.Bounds(max_connections=4, max_connections_per_address=4)


@pytest.fixture
def budget():
    return memory.ByteBudget(LIMIT, clock_module.SystemClock())


@pytest.fixture
def server(budget):
    running = serving.Server(BOUNDS, budget=budget)
    yield running
    running.entry.stop()


def _build_large():
    return serving.build_request(serving.build_body(padding="x" * LARGE))


def _read_refusal(response):
    head, _, body = response.partition(b"\r\n\r\n")
    status = int(head.split(b" ")[1])
    return status, head, msgspec.json.decode(body)["error"]


def test_body_that_stopped_short_gives_way(server, budget):
    """Guards against an unfinished body that keeps others out.

    Its client is told truthfully that the request has not run.
    """
    with server.connect() as stopped, server.connect() as other:
        stopped.sendall(_build_large()[:-100])
        other.sendall(_build_large()[:-100])
        gevent.sleep(0.2)
        assert budget.used > LARGE
        assert b" 200 " in server.exchange(_build_large())
        status, head, error = _read_refusal(serving.read_all(stopped))
        assert (status, error["code"]) == (503, "memory_full")
        assert error["run"] == "not_run"
        assert b"\r\nConnection: close" in head
        assert b"\r\nRetry-After: " in head
    assert server.flow.run_count == 1


def test_finished_request_gives_its_memory_back(server, budget):
    """Guards against a budget that each request makes smaller."""
    for _ in range(4):
        assert b" 200 " in server.exchange(_build_large())
    gevent.sleep(0.05)
    assert budget.used == 0


def test_body_of_an_unknown_key_is_not_held(server, budget):
    """Guards against callers without a key that take memory."""
    request = _build_large().replace(b"Bearer ", b"Bearer not-")
    with server.connect() as client:
        client.sendall(request[:-100])
        gevent.sleep(0.1)
        assert budget.used == 0
        assert _read_refusal(serving.read_all(client))[0] == 401


def test_announced_length_over_the_limit_is_not_read(server, budget):
    """Guards against a body that is held although it will be refused."""
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"
        f"Authorization: Bearer {serving.KEY}\r\n"
        f"Content-Length: {4 << 30}\r\n\r\n"
    ).encode()
    with server.connect() as client:
        client.sendall(head + bytes(1000))
        status, answer_head, error = _read_refusal(serving.read_all(client))
    assert (status, error["code"]) == (413, "body_too_large")
    assert b"\r\nConnection: close" in answer_head
    assert budget.used == 0


def test_connection_without_a_head_makes_room(server):
    """Guards against idle connections that keep callers out."""
    clients = [server.connect() for _ in range(BOUNDS.max_connections)]
    gevent.sleep(2 * places.MIN_TIME / datetime.timedelta(seconds=1))
    assert b" 200 " in server.exchange(serving.build_request())
    assert serving.read_all(clients[0]) == b""
    clients[1].sendall(serving.build_request())
    assert b" 200 " in serving.read_all(clients[1])
    assert server.count("connection_evicted") == 1
    for client in clients:
        client.close()


def test_body_that_trickles_makes_room(server):
    """Guards against bodies of a byte a second that keep callers out.

    Their clients are told truthfully that the requests have not run.
    """
    clients = [server.connect() for _ in range(BOUNDS.max_connections)]
    for client in clients:
        client.sendall(serving.build_request()[:-10])
    gevent.sleep(2 * places.MIN_TIME / datetime.timedelta(seconds=1))
    for client in clients:
        client.sendall(b" ")
    assert b" 200 " in server.exchange(serving.build_request())
    status, head, error = _read_refusal(serving.read_all(clients[0]))
    assert (status, error["code"]) == (503, "too_many_connections")
    assert error["run"] == "not_run"
    assert b"\r\nConnection: close" in head
    assert server.flow.run_count == 1
    for client in clients:
        client.close()


def test_connection_within_a_request_does_not_make_room(server):
    """Guards against a request that is cut to let another one in."""
    server.flow.release = event.Event()
    clients = [server.connect() for _ in range(BOUNDS.max_connections)]
    for client in clients:
        client.sendall(serving.build_request(serving.build_body(stream=True)))
    gevent.sleep(2 * places.MIN_TIME / datetime.timedelta(seconds=1))
    response = server.exchange(serving.build_request())
    assert _read_refusal(response)[2]["code"] == "too_many_connections"
    server.flow.release.set()
    for client in clients:
        assert b" 200 " in serving.read_all(client)


class EndlessStream:
    """Bytes that are all ready, without an end."""

    def __init__(self, begin, repeated):
        self._content = begin + repeated * (MAX_READ_BYTES // len(repeated))
        self.count = 0

    def read(self, size):
        start, self.count = self.count, self.count + size
        assert self.count < len(self._content), "it is read on and on"
        return self._content[start : self.count]


@pytest.mark.parametrize(
    ("begin", "repeated"),
    [(b"0\r\n", b"A: b\r\n"), (b"", b"1;" + b"x" * 8000 + b"\r\nx\r\n")],
    ids=["trailers", "extensions"],
)
def test_framing_without_end_is_refused(begin, repeated):
    """Guards against ready bytes that are read without a turn for others."""
    stream = EndlessStream(begin, repeated)
    handler = types.SimpleNamespace(
        content_length=None,
        socket=None,
        headers={},
        server=types.SimpleNamespace(bounds=BOUNDS),
        close_connection=False,
    )
    body = bodies.RequestBody(handler, stream, chunked=True)
    with pytest.raises(refusals.BadRequestError) as caught:
        body.read_whole(LIMIT)
    assert caught.value.refusal.status == 400
    assert handler.close_connection
    assert stream.count < 4 * bodies.MAX_FRAMING_BYTES
