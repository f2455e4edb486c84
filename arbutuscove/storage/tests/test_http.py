"""Guards against connection faults that raise unexpected exceptions."""

import socket

import gevent
import pytest
from gevent import server

from arbutuscove.storage import http
from arbutuscove.upstreams import engine
from arbutuscove.upstreams import errors

INCOMPLETE_REPLIES = {
    "nothing": b"",
    "half a status line": b"HTTP/1.1 2",
    "half the headers": b"HTTP/1.1 200 OK\r\nContent-Le",
    "no protocol": b"\x00\x01\x02\r\n\r\n",
}


@pytest.fixture(
    name="address",
    params=INCOMPLETE_REPLIES.values(),
    ids=INCOMPLETE_REPLIES.keys(),
)
def fixture_address(request):
    """A server that reads a request, sends a partial response and closes."""

    def handle(connection, peer):
        connection.recv(65536)
        connection.sendall(request.param)
        connection.close()

    listener = server.StreamServer(("127.0.0.1", 0), handle)
    listener.start()
    yield f"127.0.0.1:{listener.server_port}"
    listener.stop()


def test_http_closed_connection_is_no_response(address):
    """A server crash during a request must not kill the caller's greenlet."""
    client = http.JsonClient(http.Address.parse(address))
    with pytest.raises(http.NoResponseError):
        client.send("POST", "/", {})
    client.close()


def test_http_engine_crash_during_dispatch(address):
    """If an engine crashes during a request, its outcome is unknown."""
    client = engine.EngineClient(address)
    dispatch = engine.Dispatch(
        attempt_id="a", replica="r", generation=1, priority=0, body={}
    )
    with pytest.raises(errors.DispatchUnknownError):
        client.open_stream(dispatch)
    with pytest.raises(errors.StreamBrokenError):
        client.resume_stream("a", -1)
    with pytest.raises(errors.UnreachableError):
        client.read_status()
    client.close()
    gevent.sleep(0)


def test_http_refused_connection_means_no_process():
    """A stopped engine must not be mistaken for a network partition."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    client = engine.EngineClient(f"127.0.0.1:{port}")
    with pytest.raises(errors.NotListeningError):
        client.read_status()
    client.close()
