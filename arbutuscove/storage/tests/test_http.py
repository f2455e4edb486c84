"""Guards against connection faults that raise unexpected exceptions."""

import socket

import gevent
import hypothesis
import pytest
from gevent import server
from hypothesis import strategies

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


@pytest.mark.parametrize("status", [b"000", b"600", b"999"])
def test_http_answer_without_a_final_status_is_no_response(status):
    """A peer in trouble must not answer with a status that nobody knows."""

    def handle(connection, peer):
        connection.recv(65536)
        head = b"HTTP/1.1 " + status + b" -\r\nContent-Length: 2\r\n\r\n"
        connection.sendall(head + b"{}")
        connection.close()

    listener = server.StreamServer(("127.0.0.1", 0), handle)
    listener.start()
    client = http.JsonClient(http.Address("127.0.0.1", listener.server_port))
    with pytest.raises(http.NoResponseError):
        client.send("GET", "/")
    client.close()
    listener.stop()


def test_http_refused_connection_means_no_process():
    """A stopped engine must not be mistaken for a network partition."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]
    client = engine.EngineClient(f"127.0.0.1:{port}")
    with pytest.raises(errors.NotListeningError):
        client.read_status()
    client.close()


@pytest.mark.parametrize(
    "text",
    [
        "",
        "10.0.0.1",
        ":80",
        "10.0.0.1:",
        "10.0.0.1:65536",
        "10.0.0.1:-1",
        "10.0.0.1:+80",
        "10.0.0.1:8_0",
        "10.0.0.1: 80",
        "10.0.0.1:80\n",
        "10.0.0.1:\u0668\u0660",
        "10.0.0.1:\u00b2",
        "10.0.0.1:" + "9" * 5000,
        "10.0.0.1\r\nX: y:80",
        "10.0.0.1 :80",
        "10.0.0.1\x00:80",
        "10.0.0.256:80",
        "10.0.1:80",
        "a..b:80",
        "-a:80",
        "h\u00e9:80",
        "a" * 64 + ":80",
        "a." * 130 + "a:80",
    ],
)
def test_address_of_another_form_is_an_error(text):
    """Guards against an address that fails only at the connection."""
    with pytest.raises(ValueError):
        http.Address.parse(text)
    with pytest.raises(ValueError):
        http.Address.parse_listen(text)


@pytest.mark.parametrize(
    ("text", "host", "port"),
    [
        ("127.0.0.1:1", "127.0.0.1", 1),
        ("localhost:65535", "localhost", 65535),
        ("entry-1.example_net.org:080", "entry-1.example_net.org", 80),
    ],
)
def test_sound_address_is_parsed(text, host, port):
    """Guards against a server that is left out for its sound address."""
    assert http.Address.parse(text) == (host, port)


def test_only_a_listener_has_port_zero():
    """Guards against requests sent to port 0."""
    assert http.Address.parse_listen("127.0.0.1:0") == ("127.0.0.1", 0)
    with pytest.raises(ValueError):
        http.Address.parse("127.0.0.1:0")


@hypothesis.given(strategies.text(max_size=40))
def test_address_of_any_text_is_parsed_or_an_error(text):
    """Guards against a parser that fails in an unexpected way."""
    try:
        address = http.Address.parse(text)
    except ValueError:
        return
    assert 0 < address.port <= http.MAX_PORT
    assert address.host.isascii()
