"""Guards against requests cut off by a planned stop of their daemon."""

import datetime

import gevent
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import configuration
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import status
from arbutuscove.platform.tests import test_endings
from arbutuscove.relay import model
from arbutuscove.standins import cluster
from arbutuscove.storage import http
from arbutuscove.transport import connection

SECOND = datetime.timedelta(seconds=1)
GRACE = 2 * SECOND
ACCEPT_DURATION = SECOND / 5
HEAD = b"GET / HTTP/1.1\r\nHost: h\r\n"


class Flow:
    """Answers each request after a time, and counts them."""

    def __init__(self):
        self.duration = 0.0
        self.served = 0

    def serve(self, request):
        self.served += 1
        gevent.sleep(self.duration)
        return model.Answer(status=200, fields=(), body=(b"ok",), length=2)


class Sender:
    """Sends requests on one connection."""

    def __init__(self, address):
        self._address = address
        self.caller = self.connect()

    def __call__(self, deadline_ms):
        deadline = f"X-Deadline-Ms: {deadline_ms}\r\n\r\n"
        self.caller.send("GET", HEAD + deadline.encode())
        return self.read(self.caller)

    def connect(self):
        return connection.connect(self._address, SECOND)

    def read(self, caller):
        while not (parser := caller.receive(3 * SECOND)).is_complete():
            pass
        return parser.get_code(), parser.pop_body()


@pytest.fixture(name="scene")
def scene_fixture(monkeypatch):
    """A flow, its listener, and a caller with one connection."""
    monkeypatch.setattr(
        listener_module, "DRAIN_ACCEPT_DURATION", ACCEPT_DURATION
    )
    catalog = catalog_holder.CatalogHolder()
    content = test_endings.CONFIGURATION.replace(b"900", b"9000")
    catalog.apply_if_newer(configuration.decode(content), "test")
    flow = Flow()
    address = http.Address("127.0.0.1", cluster.find_port())
    listener = listener_module.Listener(
        clock_module.SystemClock(),
        status.Addresses(callers=address),
        catalog,
        flow,
        metrics_module.Metrics(),
        lambda domain: [],
        lambda: True,
        lambda: None,
        GRACE,
    )
    listener.start(None)
    send = Sender(address)
    assert send(100) == (200, b"ok")
    yield flow, listener, send
    send.caller.close()
    listener.stop()


def test_request_that_may_outlive_a_draining_daemon_is_refused(scene):
    """Guards against a request on a kept connection cut by the grace period."""
    flow, listener, send = scene
    listener.mark_draining()
    gevent.sleep(1.2 * ACCEPT_DURATION.total_seconds())
    status, body = send(9000)
    assert status == 503
    assert b'"not_run":true' in body
    assert flow.served == 1


def test_request_that_ends_before_a_draining_daemon_is_served(scene):
    """Guards against refusing requests that a draining daemon can serve."""
    _, listener, send = scene
    listener.mark_draining()
    gevent.sleep(1.2 * ACCEPT_DURATION.total_seconds())
    assert send(500) == (200, b"ok")


def test_request_after_the_drain_is_refused(scene):
    """Guards against a request accepted just before the process exits.

    Its first bytes arrive before the drain ends, so that the connection is not
    idle and stays open.
    """
    flow, listener, send = scene
    caller = send.connect()
    caller.send("GET", HEAD)
    gevent.sleep(0.05)
    listener.mark_draining()
    listener.drain()
    caller.send("GET", b"\r\n")
    status, body = send.read(caller)
    assert status == 503
    assert b'"not_run":true' in body
    assert flow.served == 1


def test_idle_connection_is_closed_by_the_drain(scene):
    """Guards against a request that is read just before the process exits."""
    flow, listener, send = scene
    listener.mark_draining()
    listener.drain()
    gevent.sleep(0.05)
    assert not send.caller.is_still_idle()
    assert flow.served == 1


def test_request_whose_body_ends_after_the_drain_is_refused(scene):
    """Guards against a request that is sent on just before the process exits.

    Its head arrived before the drain; its body is read only afterwards.
    """
    flow, listener, _ = scene
    address = listener._addresses.callers
    caller = connection.connect(address, SECOND)
    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
    caller.send("POST", head + b"a")
    gevent.sleep(0.05)
    listener.mark_draining()
    listener.drain()
    caller._socket.sendall(b"b")
    while not (parser := caller.receive(3 * SECOND)).is_complete():
        pass
    caller.close()
    assert (parser.get_code(), flow.served) == (503, 1)
