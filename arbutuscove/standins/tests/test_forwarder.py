"""Guards against a fault injector that injects no fault."""

import datetime
import socket

import gevent
import pytest
from gevent import server as gevent_server

from arbutuscove.standins import cluster
from arbutuscove.standins import forwarder
from arbutuscove.storage import http


@pytest.fixture
def middle():
    heard = []

    def echo(client, address):
        while data := client.recv(100):
            heard.append(data)
            client.sendall(data)

    target = gevent_server.StreamServer(("127.0.0.1", 0), echo)
    target.start()
    listen = http.Address("127.0.0.1", cluster.find_port())
    end = http.Address("127.0.0.1", target.server_port)
    running = forwarder.Forwarder(listen, end)
    running.start()
    running.listen = listen
    running.heard = heard
    yield running
    running.stop()
    target.stop(timeout=1)


def _connect(middle):
    client = socket.create_connection(middle.listen)
    client.settimeout(0.2)
    return client


def _echo(client, data):
    client.sendall(data)
    try:
        return client.recv(100)
    except TimeoutError:
        return None


def test_forwarder_passes_and_delays(middle):
    """Without faults it must not change anything."""
    client = _connect(middle)
    assert _echo(client, b"a") == b"a"
    delay = datetime.timedelta(seconds=0.3)
    middle.set_faults(forwarder.Faults(delay=delay))
    assert _echo(client, b"b") is None
    client.settimeout(2)
    assert client.recv(100) == b"b"


@pytest.mark.parametrize(
    ("mode", "arrives"),
    [
        (forwarder.Mode.DROP_TO_TARGET, False),
        (forwarder.Mode.DROP_TO_CLIENT, True),
        (forwarder.Mode.HALF_OPEN, False),
    ],
)
def test_forwarder_drops_in_the_direction_asked(middle, mode, arrives):
    """A one-way loss must lose bytes in that direction only."""
    client = _connect(middle)
    assert _echo(client, b"a") == b"a"
    middle.set_faults(forwarder.Faults(mode=mode))
    assert _echo(client, b"b") is None
    assert (b"b" in middle.heard) == arrives
    fresh = _connect(middle)
    assert _echo(fresh, b"c") is None
    middle.set_faults(forwarder.Faults())
    assert client.recv(100) == b""
    assert _echo(_connect(middle), b"d") == b"d"


def test_forwarder_cuts_open_and_new_connections(middle):
    """A cut must end what is open and what comes."""
    client = _connect(middle)
    assert _echo(client, b"a") == b"a"
    middle.set_faults(forwarder.Faults(mode=forwarder.Mode.CUT))
    assert client.recv(100) == b""
    assert _connect(middle).recv(100) == b""
    gevent.sleep(0.01)
    assert middle.connections() == 0
