"""Guards against requests that were read and whose connection just ends."""

import datetime

import gevent
import msgspec
import pytest
from gevent import socket

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import configuration
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import status
from arbutuscove.platform.tests import test_endings
from arbutuscove.relay import outcomes
from arbutuscove.standins import cluster
from arbutuscove.storage import http

SECOND = datetime.timedelta(seconds=1)
BEFORE = msgspec.json.decode(test_endings.CONFIGURATION)
KEY = {"tenants": [{"name": "t", "api_keys": ["k"]}]}
ROUTE = {**BEFORE["routes"][0], "public": False}
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n"


class Scene:
    """A listener with one route, which needs the key `k`."""

    def __init__(self, serve):
        self.catalog = catalog_holder.CatalogHolder()
        self.put_in_force(1, **KEY, routes=[ROUTE])
        self.metrics = metrics_module.Metrics()
        self.address = http.Address("127.0.0.1", cluster.find_port())
        self._listener = listener_module.Listener(
            clock_module.SystemClock(),
            status.Addresses(callers=self.address),
            self.catalog,
            test_endings._Flow(serve),
            self.metrics,
            lambda domain: [],
            lambda: True,
            lambda: None,
            SECOND,
        )
        self._listener.start(None)

    def put_in_force(self, version, **changes):
        content = {**BEFORE, "version": version, **changes}
        catalog = configuration.decode(msgspec.json.encode(content))
        assert self.catalog.apply_if_newer(catalog, "test")

    def exchange(self, *parts):
        """Sends parts, calling those that are functions; returns the answer."""
        received = b""
        with (
            gevent.Timeout(2 * SECOND.total_seconds(), False),
            socket.create_connection(tuple(self.address)) as caller,
        ):
            for part in parts:
                if callable(part):
                    gevent.sleep(0.02)
                    part()
                else:
                    caller.sendall(part)
            while data := caller.recv(65536):
                received += data
                head, found, body = received.partition(b"\r\n\r\n")
                length = b"\r\nContent-Length: %d\r\n" % len(body)
                if found and length in head + b"\r\n":
                    break
                if body.endswith(b"0\r\n\r\n"):
                    break
        return received

    def stop(self):
        self._listener.stop()


@pytest.fixture
def build():
    scenes = []

    def build_scene(serve):
        scenes.append(Scene(serve))
        return scenes[-1]

    yield build_scene
    for scene in scenes:
        scene.stop()


@pytest.mark.parametrize(
    "fault",
    [
        ConnectionResetError(104, "reset"),
        BrokenPipeError(32, "pipe"),
        TimeoutError("timed out"),
        OSError(24, "no descriptor left"),
        outcomes.AttemptLostError("lost"),
        KeyError("service"),
        gevent.Timeout(),
    ],
    ids=lambda fault: type(fault).__name__,
)
def test_fault_before_the_head_is_answered(build, fault):
    """Guards against an own fault taken for the loss of the caller."""

    def fail(request):
        raise fault

    scene = build(fail)
    received = scene.exchange(HEAD + b"Content-Length: 0\r\n\r\n")
    assert received.startswith(b"HTTP/1.1 502")
    assert b"Retry-After" not in received
    assert scene.metrics.request_endings.get({"ending": "fault"}) == 1


CHANGES = {
    "no_route": {"routes": []},
    "no_service": {"routes": [], "services": []},
    "no_key": {"tenants": [], "routes": [ROUTE]},
    "shorter": {**KEY, "routes": [{**ROUTE, "timeout_ms": 1}]},
    "limits": {
        **KEY,
        "routes": [ROUTE],
        "limits": {
            "max_header_bytes": 1,
            "max_body_bytes": 1,
            "header_timeout_ms": 1,
            "idle_timeout_ms": 1,
        },
    },
}


@pytest.mark.parametrize("change", CHANGES)
def test_running_request_is_answered_whatever_a_version_changes(build, change):
    """Guards against a request cut by a version that comes into force."""

    def answer(request):
        scene.put_in_force(2, **CHANGES[change])
        gevent.sleep(0.05)

        def stream():
            yield b"one "
            gevent.sleep(0.05)
            yield b"two"

        return test_endings.build_answer(stream())

    scene = build(answer)
    received = scene.exchange(HEAD + b"Content-Length: 4\r\n\r\nbody")
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"0\r\n\r\n")
    assert b"one " in received
    assert b"two" in received


@pytest.mark.parametrize("change", CHANGES)
def test_request_read_during_a_change_is_answered_or_refused(build, change):
    """Guards against a request cut as a version arrives within its body."""
    scene = build(lambda request: test_endings.build_answer((b"whole",)))
    received = scene.exchange(
        HEAD + b"Content-Length: 4\r\n\r\nbo",
        lambda: scene.put_in_force(2, **CHANGES[change]),
        b"dy",
    )
    assert received.startswith(b"HTTP/1.1 ")
    assert received.endswith((b"}", b"0\r\n\r\n"))
