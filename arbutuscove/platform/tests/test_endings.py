"""Guards against requests that end uncounted, or counted as another kind."""

import datetime

import gevent
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import configuration
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import status
from arbutuscove.relay import model
from arbutuscove.standins import cluster
from arbutuscove.storage import http
from arbutuscove.transport import connection

SECOND = datetime.timedelta(seconds=1)
CONFIGURATION = b"""{"version": 1, "services": [{"name": "desk"}], "routes":
    [{"host": "h", "prefix": "/", "kind": "safe", "timeout_ms": 900,
      "service": "desk", "public": true}]}"""


def refuse(not_run):
    """Raises a refusal."""
    refusal = model.Refusal(status=503, code="c", not_run=not_run)
    raise model.RefusedError(refusal)


def break_off():
    """Yields a part of a body and fails."""
    yield b"part"
    raise model.BrokenAnswerError("lost")


def build_answer(body):
    """Returns an answer of unknown length."""
    return model.Answer(status=200, fields=(), body=body, length=None)


def leave(request):
    """Waits for longer than the caller."""
    gevent.sleep(10)


FLOWS = {
    "answered": lambda request: build_answer((b"whole",)),
    "refused": lambda request: refuse(True),
    "failed": lambda request: refuse(False),
    "broken": lambda request: build_answer(break_off()),
    "fault": lambda request: 1 // 0,
    "caller_left": leave,
}


class _Flow:
    def __init__(self, serve):
        self.serve = serve


@pytest.mark.parametrize("ending", FLOWS)
def test_request_ends_once_and_is_counted(ending):
    """Guards against a request without a recorded end."""
    clock = clock_module.SystemClock()
    catalog = catalog_holder.CatalogHolder()
    catalog.apply_if_newer(configuration.decode(CONFIGURATION), "test")
    metrics = metrics_module.Metrics()
    address = http.Address("127.0.0.1", cluster.find_port())
    listener = listener_module.Listener(
        clock,
        status.Addresses(callers=address),
        catalog,
        _Flow(FLOWS[ending]),
        metrics,
        lambda domain: [],
        lambda: True,
        lambda: None,
        SECOND,
    )
    listener.start(None)
    try:
        caller = connection.connect(address, SECOND)
        caller.send("GET", b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        if ending == "caller_left":
            gevent.sleep(0.05)
        else:
            try:
                while not caller.receive(SECOND).is_complete():
                    pass
                assert ending != "broken"
            except http.NoResponseError:
                assert ending == "broken"
        caller.close()
        gevent.sleep(0.1)
    finally:
        listener.stop()
    assert metrics.request_endings.get({"ending": ending}) == 1
    assert len(metrics.request_endings.get_all()) == 1
