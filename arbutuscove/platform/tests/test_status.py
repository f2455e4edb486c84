"""Guards against a daemon's own pages sent to callers, and the reverse."""

import contextlib
import http.client

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
from arbutuscove.storage import http as storage_http

SECOND = test_endings.SECOND
HOST = "h"  # has a route for all paths in the configuration
PAGES = ("/ready", "/resolve", "/metrics")
OWN = b"upstream's"


class Daemon:
    """A listener, and the requests that reached the upstreams."""

    def __init__(self, addresses):
        self.upstream_targets = []
        catalog = catalog_holder.CatalogHolder()
        catalog.apply_if_newer(
            configuration.decode(test_endings.CONFIGURATION), "test"
        )
        self._listener = listener_module.Listener(
            clock_module.SystemClock(),
            addresses,
            catalog,
            test_endings._Flow(self._serve),
            metrics_module.Metrics(),
            lambda domain: [f"address-for-{domain}"],
            lambda: True,
            lambda: None,
            SECOND,
        )
        self._listener.start(None)

    def _serve(self, request):
        self.upstream_targets.append(request.target)
        return model.Answer(status=200, fields=(), body=(OWN,), length=len(OWN))

    def ask(self, address, target, host=HOST, method="GET", body=None):
        caller = http.client.HTTPConnection(
            *address, timeout=10 * SECOND.total_seconds()
        )
        with contextlib.closing(caller):
            caller.request(method, target, body, {"Host": host})
            response = caller.getresponse()
            return response.status, response.read()

    def stop(self):
        self._listener.stop()


def _find_address():
    return storage_http.Address("127.0.0.1", cluster.find_port())


@pytest.fixture(name="start")
def build_start():
    with contextlib.ExitStack() as cleanup:

        def start(**addresses):
            daemon = Daemon(status.Addresses(**addresses))
            cleanup.callback(daemon.stop)
            return daemon

        yield start


@pytest.mark.parametrize("method", ["GET", "HEAD", "POST"])
@pytest.mark.parametrize("page", PAGES)
def test_callers_get_the_answers_of_their_route(start, page, method):
    """Guards against a daemon's own page as the answer of an application.

    A route for all paths of a host was in force, and callers got the addresses
    of daemons and metrics without a key (review/7: MIXED).
    """
    callers, readiness, directory = (_find_address() for _ in range(3))
    daemon = start(callers=callers, readiness=readiness, directory=directory)
    code, body = daemon.ask(callers, page, method=method)
    assert (code, body) == (200, b"" if method == "HEAD" else OWN)
    assert daemon.upstream_targets == [page]


@pytest.mark.parametrize("page", PAGES)
def test_callers_of_no_route_get_no_page(start, page):
    """Guards against metrics and addresses shown to anybody."""
    callers = _find_address()
    daemon = start(callers=callers, readiness=_find_address())
    assert daemon.ask(callers, page, host="other")[0] == 404


def test_pages_are_served_at_their_own_addresses(start):
    """Guards against a daemon that the platform cannot ask any more."""
    readiness, directory = _find_address(), _find_address()
    daemon = start(
        callers=_find_address(), readiness=readiness, directory=directory
    )
    target = "/resolve?name=h&region=r&zone=z1"
    expected = b'{"addresses":["address-for-z1"],"ttl_s":2.0}'
    assert daemon.ask(readiness, "/ready") == (200, b"{}")
    assert daemon.ask(directory, target) == (200, expected)
    for address in (readiness, directory):
        assert b"arbutuscove_" in daemon.ask(address, "/metrics")[1]
        assert daemon.ask(address, "/metrics", method="HEAD") == (200, b"")
        code, _ = daemon.ask(address, "/metrics", method="POST", body=b"x")
        assert code == 405
    assert daemon.ask(readiness, "/resolve")[0] == 404
    assert daemon.ask(directory, "/ready")[0] == 404


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_other_addresses_pass_nothing_on(start, method):
    """Guards against requests of callers at an address that is not theirs."""
    readiness = _find_address()
    daemon = start(callers=_find_address(), readiness=readiness)
    assert daemon.ask(readiness, "/x", method=method, body=b"y")[0] == 404
    assert daemon.upstream_targets == []


def test_daemon_without_callers_serves_no_routes(start):
    """Guards against the first address taken for that of callers."""
    readiness = _find_address()
    daemon = start(readiness=readiness)
    assert daemon.ask(readiness, "/x")[0] == 404
    assert daemon.ask(readiness, "/ready")[0] == 200


@pytest.mark.parametrize("page", PAGES)
def test_shared_address_tells_callers_by_their_host(start, page):
    """Guards against settings that name one address twice."""
    shared = _find_address()
    daemon = start(callers=shared, readiness=shared, directory=shared)
    assert daemon.ask(shared, page) == (200, OWN)
    code, body = daemon.ask(shared, page, host=str(shared))
    assert code == 200 and body != OWN
    assert daemon.upstream_targets == [page]
