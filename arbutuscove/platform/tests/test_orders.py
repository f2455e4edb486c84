"""Guards against orders whose outcome is read from another answer."""

import gevent
import pytest
from gevent import server

from arbutuscove.fleet import orders
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths.tests import doubles
from arbutuscove.platform import engine
from arbutuscove.storage import http
from arbutuscove.transport import pool

COPY_SECONDS = 0.02
REPORT = b'{"sequence": 3}'


def build_answer(status, body=b""):
    """Returns an answer that names no request."""
    return b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\n\r\n%b" % (
        status,
        len(body),
        body,
    )


class CopyingVm:
    """Writes its last answer on a connection once more before the next one.

    The copy comes after the next request and not while the connection is idle.
    """

    def __init__(self, order_status):
        self._order_answer = build_answer(order_status)
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = http.Address("127.0.0.1", self._server.server_port)

    def stop(self):
        """Stops listening."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _):
        copy = b""
        while data := sock.recv(65536):
            sock.sendall(copy)
            gevent.sleep(COPY_SECONDS)
            copy = self._order_answer
            if data.startswith(b"GET /report"):
                copy = build_answer(200, REPORT)
            sock.sendall(copy)


@pytest.mark.parametrize(
    ("status", "expected"),
    [
        (202, orders.Outcome.ACCEPTED),
        (409, orders.Outcome.STATE_MISMATCH),
        (412, orders.Outcome.FENCED),
    ],
)
def test_copy_of_a_report_is_not_the_answer_to_an_order(status, expected):
    """Guards against an order that counts as in effect though it was rejected.

    Answers to orders and reports name no request.
    """
    upstream = CopyingVm(status)
    clock = clock_module.SystemClock()
    connections = pool.ConnectionPool(clock)
    client = engine.HttpOrderClient(
        doubles.build_connections(clock, connections), clock
    )
    vm = test_planner.create_vm("vm", address=upstream.address)
    try:
        assert client.read_status(vm).accepted == 3
        leave = orders.Leave(vm=vm, group="g", epoch=1)
        assert client.send(leave, fence=1, accepted=3) == expected
    finally:
        connections.stop()
        upstream.stop()


def test_copy_of_an_order_is_not_the_answer_to_the_next():
    """Guards against an order that counts as accepted though it was lost."""
    upstream = CopyingVm(202)
    clock = clock_module.SystemClock()
    connections = pool.ConnectionPool(clock)
    client = engine.HttpOrderClient(
        doubles.build_connections(clock, connections), clock
    )
    vm = test_planner.create_vm("vm", address=upstream.address)
    try:
        leave = orders.Leave(vm=vm, group="g", epoch=1)
        assert client.send(leave, fence=1, accepted=3) == (
            orders.Outcome.ACCEPTED
        )
        upstream._order_answer = build_answer(412)
        assert client.send(leave, fence=1, accepted=4) == (
            orders.Outcome.FENCED
        )
    finally:
        connections.stop()
        upstream.stop()
