"""Guards against descriptors that the addresses of a daemon take together."""

import contextlib
import datetime

import gevent
import pytest
from gevent import event
from gevent import socket

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.entry import connections
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import configuration
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import status as status_module
from arbutuscove.platform.tests import test_endings
from arbutuscove.relay import model
from arbutuscove.standins import cluster
from arbutuscove.storage import http

SECOND = datetime.timedelta(seconds=1)
LIMIT = 8
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
READY = b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
POLL_SECONDS = 0.01
GIVE_UP_SECONDS = 10


@pytest.fixture
def served():
    """A listener at two addresses, and the requests that wait in its flow."""
    catalog = catalog_holder.CatalogHolder()
    catalog.apply_if_newer(
        configuration.decode(test_endings.CONFIGURATION), "test"
    )
    released, waiting = event.Event(), []

    def serve(request):
        waiting.append(request)
        released.wait()
        return model.Answer(status=200, fields=(), body=(b"",), length=0)

    addresses = [
        http.Address("127.0.0.1", cluster.find_port()),
        http.Address("127.0.0.2", cluster.find_port()),
    ]
    listener = listener_module.Listener(
        clock_module.SystemClock(),
        status_module.Addresses(callers=addresses[0], readiness=addresses[1]),
        catalog,
        test_endings._Flow(serve),
        metrics_module.Metrics(),
        lambda domain: [],
        lambda: True,
        lambda: None,
        SECOND,
        bounds=connections.Bounds(
            max_connections=LIMIT, max_connections_per_address=LIMIT
        ),
    )
    listener.start(None)
    yield addresses, waiting
    released.set()
    listener.stop()


def _ask(address, request):
    caller = socket.create_connection(address, timeout=GIVE_UP_SECONDS)
    caller.sendall(request)
    return caller


def test_addresses_share_the_places_of_connections(served):
    """Guards against places that each address has once more.

    The platform still learns that the daemon is ready, as another address has a
    spare place; that one does not add up either.
    """
    (callers, status), waiting = served
    with contextlib.ExitStack() as cleanup:
        for _ in range(LIMIT):
            cleanup.enter_context(_ask(callers, REQUEST))
        with gevent.Timeout(GIVE_UP_SECONDS):
            while len(waiting) < LIMIT:
                gevent.sleep(POLL_SECONDS)
        for _ in range(2):
            ready = cleanup.enter_context(_ask(status, READY))
            assert ready.recv(4096).startswith(b"HTTP/1.1 200 ")
            ready.recv(4096)
        refused = cleanup.enter_context(_ask(callers, READY))
        assert refused.recv(4096).startswith(b"HTTP/1.1 503 ")
        # Takes the spare place until its head is whole.
        cleanup.enter_context(_ask(status, READY[:-2]))
        gevent.sleep(POLL_SECONDS)
        refused = cleanup.enter_context(_ask(status, READY))
        assert refused.recv(4096).startswith(b"HTTP/1.1 503 ")
