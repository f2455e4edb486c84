"""Guards against requests that end because of connections and not upstreams."""

import socket
import struct

import gevent
import pytest
from gevent import server
from gevent import socket as gevent_socket

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.relay import attempt
from arbutuscove.relay import budget
from arbutuscove.relay import model
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.transport import connection

EVENTS = faulty_upstream.EVENTS
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of zero seconds
NO_RETRY = budget.RetryAllowance(
    ratio=0.0, slack=0.0, window=test_troubled.SECOND
)

build = test_troubled.build_fixture


def break_stream(request_id):
    """Sends two events and ends the connection within the stream."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[:2]:
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.Ending.CLOSE


def reset(sock, _):
    """Resets the connection once a request has arrived."""
    sock.recv(65536)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


def stay_silent(sock, _):
    """Answers nothing, as after a silent loss of the connection."""
    sock.recv(65536)
    gevent.sleep(60)


@pytest.fixture(name="add_idle")
def add_idle_fixture():
    """Adds an idle connection to a scene that is lost at its next use."""
    servers = []

    def add_idle(scene, upstream, behaviour):
        lost = server.StreamServer(("127.0.0.1", 0), behaviour)
        lost.start()
        servers.append(lost)
        sock = gevent_socket.create_connection(("127.0.0.1", lost.server_port))
        address = http.Address("127.0.0.1", upstream.port)
        idle = connection.Connection(sock, address)
        idle.idle_since = scene.clock.monotonic()
        scene.pool._idle.setdefault(address, []).append(idle)

    yield add_idle
    for lost in servers:
        lost.stop(timeout=0.1)


@pytest.mark.parametrize("behaviour", [reset, stay_silent])
def test_resumed_stream_does_not_break_with_an_idle_connection(
    build, add_idle, behaviour
):
    """Guards against a stream cut by two connections lost to one cause."""
    scene = build(break_stream, faulty_upstream.answer_stream)
    add_idle(scene, scene.good, behaviour)
    answer, body = scene.serve(catalog_model.Repeat.STREAM_RESUMABLE)
    assert (answer.status, body) == (200, b"".join(EVENTS))


def test_repeated_request_does_not_fail_with_an_idle_connection(
    build, add_idle
):
    """Guards against a failure by two connections lost to one cause."""
    scene = build(
        lambda request_id: iter([faulty_upstream.Ending.CLOSE]),
        faulty_upstream.answer_completely,
    )
    add_idle(scene, scene.good, reset)
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert (answer.status, body) == (200, test_troubled.WHOLE)


def list_unreachable(scene, count):
    """Lists upstreams on ports where nothing listens, and the good one."""
    vms = [
        test_planner.create_vm(
            "bad" if port == 1 else f"closed{port}",
            fabric_domain="",
            address=http.Address("127.0.0.1", port),
        )
        for port in range(1, count + 1)
    ]
    good = test_planner.create_vm(
        "good",
        fabric_domain="",
        address=http.Address("127.0.0.1", scene.good.port),
    )
    scene.inventory.replace([*vms, good])


@pytest.mark.parametrize(
    ("repeat", "expected"),
    [
        (catalog_model.Repeat.ONCE, test_troubled.WHOLE),
        (catalog_model.Repeat.SAFE, test_troubled.WHOLE),
        (catalog_model.Repeat.STREAM_RESUMABLE, b"".join(EVENTS)),
        (catalog_model.Repeat.STREAM_ONCE, b"".join(EVENTS)),
    ],
)
def test_connection_that_is_not_opened_is_no_attempt(build, repeat, expected):
    """Guards against a refusal although one upstream accepts connections.

    The route allows two attempts, and no upstream received the request.
    """
    answer_whole = expected == test_troubled.WHOLE
    scene = build(
        faulty_upstream.answer_completely,
        faulty_upstream.answer_completely
        if answer_whole
        else faulty_upstream.answer_stream,
    )
    list_unreachable(scene, attempt.MAX_UNSENT_ATTEMPTS)
    scene.set_allowance(NO_RETRY)
    answer, body = scene.serve(repeat)
    assert (answer.status, body) == (200, expected)
    assert scene.good.requests == 1


def test_upstreams_that_accept_no_connection_are_not_tried_for_ever(build):
    """Guards against a request that is held until its deadline."""
    scene = build(
        faulty_upstream.answer_completely, faulty_upstream.answer_completely
    )
    list_unreachable(scene, attempt.MAX_UNSENT_ATTEMPTS + 1)
    with pytest.raises(model.RefusedError) as caught:
        scene.serve(catalog_model.Repeat.ONCE)
    assert caught.value.refusal.not_run
    assert scene.good.requests == 0
