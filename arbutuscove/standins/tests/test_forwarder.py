"""Guards against a forwarder that does not inject the requested faults."""

import datetime
import errno
import socket

import gevent
import pytest
from gevent import server as gevent_server

from arbutuscove.standins import cluster
from arbutuscove.standins import forwarder
from arbutuscove.storage import http


@pytest.fixture
def proxy():
    received = []

    def echo(client, address):
        while data := client.recv(100):
            received.append(data)
            client.sendall(data)

    target = gevent_server.StreamServer(("127.0.0.1", 0), echo)
    target.start()
    listen = http.Address("127.0.0.1", cluster.find_port())
    upstream = http.Address("127.0.0.1", target.server_port)
    running = forwarder.Forwarder(listen, upstream)
    running.start()
    running.listen = listen
    running.heard = received
    yield running
    running.stop()
    target.stop(timeout=1)


def _connect(proxy):
    client = socket.create_connection(proxy.listen)
    client.settimeout(0.2)
    return client


def _echo(client, data):
    client.sendall(data)
    try:
        return client.recv(100)
    except TimeoutError:
        return None


def test_forwarder_passes_and_delays(proxy):
    """Data must pass unchanged, at once or after the requested delay."""
    client = _connect(proxy)
    assert _echo(client, b"a") == b"a"
    delay = datetime.timedelta(seconds=0.3)
    proxy.set_faults(forwarder.Faults(delay=delay))
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
def test_forwarder_drops_in_the_direction_asked(proxy, mode, arrives):
    """A one-way loss must drop data in that direction only."""
    client = _connect(proxy)
    assert _echo(client, b"a") == b"a"
    proxy.set_faults(forwarder.Faults(mode=mode))
    assert _echo(client, b"b") is None
    assert (b"b" in proxy.heard) == arrives
    fresh = _connect(proxy)
    assert _echo(fresh, b"c") is None
    proxy.set_faults(forwarder.Faults())
    assert client.recv(100) == b""
    assert _echo(_connect(proxy), b"d") == b"d"


def test_forwarder_cuts_open_and_new_connections(proxy):
    """A cut must close open connections and each new one."""
    client = _connect(proxy)
    assert _echo(client, b"a") == b"a"
    proxy.set_faults(forwarder.Faults(mode=forwarder.Mode.CUT))
    assert client.recv(100) == b""
    assert _connect(proxy).recv(100) == b""
    gevent.sleep(0.01)
    assert proxy.connections() == 0


def _cut(proxy, mode, *peers):
    ports = {peer.getsockname()[1] for peer in peers}
    proxy.cut_peers(
        mode, lambda ends: {pair for pair in ends if pair[0][1] in ports}
    )


def _cut_new(proxy, mode):
    proxy.cut_peers(mode, lambda ends: set(ends))
    return _connect(proxy)


@pytest.mark.parametrize("mode", list(forwarder.CutMode))
def test_forwarder_cuts_open_connections_of_some_peers_only(proxy, mode):
    """A cut of one peer must not affect the connections of another."""
    cut, other = _connect(proxy), _connect(proxy)
    assert _echo(cut, b"a") == _echo(other, b"a") == b"a"
    _cut(proxy, mode, cut)
    assert _echo(other, b"b") == b"b"
    match mode:
        case forwarder.CutMode.SILENT:
            assert _echo(cut, b"c") is None
            assert b"c" not in proxy.heard
        case forwarder.CutMode.RESET:
            with pytest.raises(ConnectionResetError):
                _echo(cut, b"c")
        case forwarder.CutMode.REFUSED:
            assert _echo(cut, b"c") == b"c"
    proxy.end_cut()
    assert _echo(other, b"d") == b"d"


@pytest.mark.parametrize("mode", list(forwarder.CutMode))
def test_forwarder_cuts_new_connections_of_peers(proxy, mode):
    """A cut peer must get no answer on a new connection until the end."""
    client = _cut_new(proxy, mode)
    if mode == forwarder.CutMode.SILENT:
        assert _echo(client, b"a") is None
    else:
        with pytest.raises(ConnectionResetError):
            client.recv(100)
    proxy.end_cut()
    with pytest.raises((ConnectionResetError, BrokenPipeError)):
        _echo(client, b"b")
    assert _echo(_connect(proxy), b"c") == b"c"
    assert proxy.heard == [b"c"]


def test_forwarder_closes_only_connections_that_lost_data_in_a_cut(proxy):
    """A silent cut must spare idle connections, and never deliver late."""
    idle, busy = _connect(proxy), _connect(proxy)
    assert _echo(idle, b"a") == _echo(busy, b"a") == b"a"
    _cut(proxy, forwarder.CutMode.SILENT, idle, busy)
    assert _echo(busy, b"b") is None
    proxy.end_cut()
    with pytest.raises(ConnectionResetError):
        busy.recv(100)
    assert _echo(idle, b"c") == b"c"
    assert b"b" not in proxy.heard


@pytest.mark.parametrize("is_new", [False, True])
def test_forwarder_acknowledges_nothing_in_a_silent_cut(proxy, is_new):
    """A peer that is cut silently must see its TCP time out."""
    if is_new:
        client = _cut_new(proxy, forwarder.CutMode.SILENT)
        gevent.sleep(0.01)  # for the accept, which the kernel does not await
    else:
        client = _connect(proxy)
        assert _echo(client, b"a") == b"a"
        _cut(proxy, forwarder.CutMode.SILENT, client)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 300)
    client.settimeout(10)
    with pytest.raises(OSError) as caught:
        _ = client.sendall(b"b"), client.recv(100)
    assert caught.value.errno == errno.ETIMEDOUT
