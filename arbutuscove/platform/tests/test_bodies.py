"""Guards against bytes of another answer within an answer that has begun."""

import datetime

import gevent
import pytest
from gevent import socket

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import configuration
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import status
from arbutuscove.platform.tests import test_endings
from arbutuscove.relay import model
from arbutuscove.requests import presence
from arbutuscove.standins import cluster
from arbutuscove.storage import http

SECOND = datetime.timedelta(seconds=1)
# The connection has to end by itself long before.
EXCHANGE_TIMEOUT = datetime.timedelta(seconds=20)
REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
FAULTS = [
    model.RefusedError(model.Refusal(status=503, code="full", not_run=True)),
    listener_module._Refused(404, "no_route"),
    model.BrokenAnswerError("lost"),
    ValueError("a fault"),
]


def exchange(answer):
    """Returns what a caller receives, and the counted endings."""
    catalog = catalog_holder.CatalogHolder()
    catalog.apply_if_newer(
        configuration.decode(test_endings.CONFIGURATION), "test"
    )
    metrics = metrics_module.Metrics()
    address = http.Address("127.0.0.1", cluster.find_port())
    listener = listener_module.Listener(
        clock_module.SystemClock(),
        status.Addresses(callers=address),
        catalog,
        test_endings._Flow(lambda request: answer),
        metrics,
        lambda domain: [],
        lambda: True,
        lambda: None,
        SECOND,
    )
    listener.start(None)
    received = b""
    try:
        with (
            gevent.Timeout(EXCHANGE_TIMEOUT.total_seconds()),
            socket.create_connection(tuple(address)) as caller,
        ):
            caller.sendall(REQUEST)
            while data := caller.recv(65536):
                received += data
    except ConnectionResetError:
        pass
    finally:
        listener.stop()
    counts = metrics.request_endings.get_all()
    return received, [labels["ending"] for labels, _ in counts]


@pytest.mark.parametrize("length", [None, 400], ids=["chunked", "length"])
@pytest.mark.parametrize(
    "fault", FAULTS, ids=lambda fault: type(fault).__name__
)
def test_error_within_a_body_ends_the_connection(fault, length):
    """Guards against an error's head or text in the middle of a stream.

    It also guards against a stream that ends as if it were complete, and
    against a refusal counted for a request whose answer had begun.
    """

    def send_part():
        yield b"id: 1\ndata: x\n\n"
        raise fault

    answer = model.Answer(
        status=200, fields=(), body=send_part(), length=length
    )
    received, endings = exchange(answer)
    head, _, body = received.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200")
    assert b"id: 1\ndata: x\n\n" in body
    assert b"HTTP/1.1" not in body
    assert b"error" not in body.lower()
    assert not body.endswith(b"0\r\n\r\n")
    assert endings in (["broken"], ["fault"])


def test_body_of_a_caller_that_left_is_ended():
    """Guards against another kind of end for a caller that closes midway."""

    def send_part():
        yield b"id: 1\ndata: x\n\n"
        raise presence.CallerLeftError

    answer = model.Answer(status=200, fields=(), body=send_part(), length=None)
    received, endings = exchange(answer)
    assert not received.endswith(b"0\r\n\r\n")
    assert endings == ["caller_left"]
