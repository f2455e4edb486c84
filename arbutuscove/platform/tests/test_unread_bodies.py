"""Guards against bodies that are read although nobody needs them."""

import datetime

import pytest
from gevent import socket

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.entry import connections
from arbutuscove.entry import memory
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import configuration
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import status
from arbutuscove.platform.tests import test_endings
from arbutuscove.relay import model
from arbutuscove.standins import cluster
from arbutuscove.storage import http

SECOND = datetime.timedelta(seconds=1)
FAR_OVER = 4 << 30


@pytest.fixture
def budget():
    return memory.ByteBudget(memory.MEGABYTE, clock_module.SystemClock())


@pytest.fixture
def address(budget):
    """Address of a listener whose flow answers with the body."""
    catalog = catalog_holder.CatalogHolder()
    catalog.apply_if_newer(
        configuration.decode(test_endings.CONFIGURATION), "test"
    )

    def serve(request):
        return model.Answer(
            status=200,
            fields=(),
            body=(request.body,),
            length=len(request.body),
        )

    own = http.Address("127.0.0.1", cluster.find_port())
    listener = listener_module.Listener(
        clock_module.SystemClock(),
        status.Addresses(callers=own),
        catalog,
        test_endings._Flow(serve),
        metrics_module.Metrics(),
        lambda domain: [],
        lambda: True,
        lambda: None,
        SECOND,
        bounds=connections.Bounds(body_timeout=SECOND / 5),
        budget=budget,
    )
    listener.start(None)
    yield own
    listener.stop()


def _build_head(length, host="h"):
    return (
        f"POST / HTTP/1.1\r\nHost: {host}\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def _read_all(caller):
    received = b""
    while data := caller.recv(65536):
        received += data
    return received


@pytest.mark.parametrize(
    ("host", "status"), [("nobody.example", b" 404 "), ("h", b" 413 ")]
)
def test_announced_length_over_the_limit_is_refused_unread(
    address, budget, host, status
):
    """Guards against a refusal that waits for the body, and holds it."""
    with socket.create_connection(tuple(address), timeout=10) as caller:
        caller.sendall(_build_head(FAR_OVER, host) + bytes(1000))
        received = _read_all(caller)
    assert status in received.partition(b"\r\n")[0] + b" "
    assert b"\r\nConnection: close" in received
    assert b'"not_run":true' in received
    assert budget.used == 0


def test_refusal_with_a_small_body_keeps_the_connection(address):
    """Guards against a connection that each refusal costs its caller."""
    with socket.create_connection(tuple(address), timeout=10) as caller:
        caller.sendall(_build_head(5, "nobody.example") + b"first")
        assert b" 404 " in caller.recv(65536)
        caller.sendall(_build_head(6) + b"second")
        received = caller.recv(65536)
    assert b" 200 " in received
    assert received.endswith(b"second")


def test_body_that_stops_short_is_refused_as_not_run(address, budget):
    """Guards against a failure that promises nothing for such a body."""
    with socket.create_connection(tuple(address), timeout=10) as caller:
        caller.sendall(_build_head(100) + b"x" * 99)
        received = _read_all(caller)
    assert b" 408 " in received.partition(b"\r\n")[0]
    assert b'"not_run":true' in received
    assert budget.used == 0


@pytest.mark.parametrize(
    "chunks",
    [
        b"\r\n\r\n",
        b"zz\r\n",
        b"5;" + b"x" * 70_000,
        b"0\r\n" + b"A: b\r\n" * 20_000,
        b"1;x=" + b"y" * 4000 + b"\r\nx\r\n",
    ],
    ids=["empty", "no number", "extension", "trailers", "cut"],
)
def test_malformed_chunks_are_refused_as_not_run(address, budget, chunks):
    """Guards against a fault of the daemon, or a body that never ends."""
    head = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    with socket.create_connection(tuple(address), timeout=10) as caller:
        caller.sendall(head + chunks)
        caller.shutdown(socket.SHUT_WR)
        received = _read_all(caller)
    assert b" 400 " in received.partition(b"\r\n")[0]
    assert b'"not_run":true' in received
    assert b"\r\nConnection: close" in received
    assert budget.used == 0


def test_body_without_memory_is_refused_as_not_run(address, budget):
    """Guards against a caller that does not come back, or twice."""
    held = budget.open(lambda: None)
    held.add(memory.SMALL_BODY_BYTES)
    held.add(memory.MEGABYTE // 2)
    held.complete()
    size = memory.MEGABYTE // 2
    with socket.create_connection(tuple(address), timeout=10) as caller:
        caller.sendall(_build_head(size) + bytes(size))
        received = _read_all(caller)
    assert b" 503 " in received.partition(b"\r\n")[0]
    assert b"memory_full" in received
    assert b'"not_run":true' in received
    assert b"Retry-After" in received
