"""Guards against answers that broke off and reach callers as whole ones.

Each case passes through the whole path: a caller, the listener, the relay, a
connection, and an upstream on loopback that breaks off.
"""

import datetime
import json

import gevent
import pytest
from gevent import socket

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import configuration
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import status
from arbutuscove.relay import attempt
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import cluster
from arbutuscove.standins import cut_answers
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.transport import connection

SECOND = datetime.timedelta(seconds=1)
MAX_WAIT = 10 * SECOND
EVENTS = b"".join(faulty_upstream.EVENTS)
KINDS = ("safe", "unsafe", "stream", "resumable")
# Prefix of each kind and number of attempts.
PREFIXES = [f"{kind}-{attempts}" for kind in KINDS for attempts in (1, 2)]


def build_route(prefix):
    """Returns the route of a kind and a number of attempts."""
    kind, _, attempts = prefix.partition("-")
    return {
        "host": "h",
        "prefix": f"/{prefix}/",
        "kind": "stream" if kind == "resumable" else kind,
        "resumable": kind == "resumable",
        "max_attempts": int(attempts),
        "timeout_ms": 4000,
        "service": "models",
        "public": True,
    }


CONFIGURATION = json.dumps(
    {
        "version": 1,
        "services": [{"name": "models"}],
        "routes": [build_route(prefix) for prefix in PREFIXES],
    }
).encode()


class Daemon:
    """A listener before a flow with a faulty upstream and a healthy one."""

    def __init__(self, faulty, healthy):
        self.scene = test_troubled.Scene(faulty, healthy)
        catalog = catalog_holder.CatalogHolder()
        catalog.apply_if_newer(configuration.decode(CONFIGURATION), "test")
        self.address = http.Address("127.0.0.1", cluster.find_port())
        self._listener = listener_module.Listener(
            self.scene.clock,
            status.Addresses(callers=self.address),
            catalog,
            self.scene.flow,
            metrics_module.Metrics(),
            lambda domain: [],
            lambda: True,
            lambda: None,
            SECOND,
        )
        self._listener.start(None)

    def exchange(self, prefix):
        """Returns the response to a request, as far as it was received."""
        received = connection.ResponseParser("GET")
        with (
            gevent.Timeout(MAX_WAIT.total_seconds()),
            socket.create_connection(tuple(self.address)) as caller,
        ):
            caller.sendall(
                b"GET /%b/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
                b"Connection: close\r\n\r\n" % prefix.encode()
            )
            while not received.is_complete():
                data = caller.recv(65536)
                if not data:
                    break
                received.feed(data)
        return received

    def stop(self):
        """Stops the listener and the upstreams."""
        self._listener.stop()
        self.scene.stop()


@pytest.fixture(name="start")
def start_fixture():
    daemons = []

    def start(faulty, healthy):
        daemons.append(Daemon(faulty, healthy))
        return daemons[-1]

    yield start
    for daemon in daemons:
        daemon.stop()


def name_ending(value):
    return getattr(value, "value", value)


@pytest.mark.parametrize("prefix", PREFIXES)
@pytest.mark.parametrize(("name", "ending"), cut_answers.CASES, ids=name_ending)
def test_answer_that_broke_off_is_no_success(start, name, ending, prefix):
    """Guards against a 200 with an empty or short body that looks whole.

    It also guards against a refusal which says that the request has not run,
    and against a second run of a request that may run only once.
    """
    kind, _, attempts = prefix.partition("-")
    is_streamed = kind in ("stream", "resumable")
    daemon = start(
        cut_answers.break_off(cut_answers.SENT[name], ending),
        faulty_upstream.answer_stream
        if is_streamed
        else faulty_upstream.answer_completely,
    )
    received = daemon.exchange(prefix)
    body = received.pop_body()
    may_repeat = kind in ("safe", "resumable") and attempts == "2"
    assert daemon.scene.bad.requests == 1
    assert daemon.scene.good.requests == int(may_repeat)
    if may_repeat:
        assert received.is_complete()
        assert received.get_code() == 200
        assert body == (EVENTS if is_streamed else test_troubled.WHOLE)
    elif is_streamed and faulty_upstream.EVENTS[0] in cut_answers.SENT[name]:
        # The first event was passed on, so that only the end of the connection
        # can tell the caller.
        assert not received.is_complete()
        assert body == faulty_upstream.EVENTS[0]
    else:
        assert received.is_complete()
        assert received.get_code() == 502
        assert b'"not_run":false' in body


@pytest.mark.parametrize("prefix", ["safe-2", "unsafe-1"])
def test_long_body_without_length_that_is_reset_is_not_whole(start, prefix):
    """Guards against the beginning of a long body that looks whole."""
    sent = b"a" * 2 * attempt.BUFFERED_BODY_BYTES
    daemon = start(
        cut_answers.break_off(
            cut_answers.UNFRAMED_HEAD + sent, faulty_upstream.Ending.RESET
        ),
        faulty_upstream.answer_completely,
    )
    received = daemon.exchange(prefix)
    assert received.get_code() == 200
    assert not received.is_complete()
    assert sent.startswith(received.pop_body())
    assert daemon.scene.good.requests == 0
