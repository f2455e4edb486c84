"""Guards against bytes of one response being read as part of another."""

import datetime
import errno

import gevent
import pytest
from gevent import server

from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool

LATE_SECONDS = 0.05
SECOND = datetime.timedelta(seconds=1)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
CHUNKED = (
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n02\r\nab\r\n00\r\nX-T: a\r\n\r\n"
)


class Peer:
    """Server that answers each request with the next of `answers`.

    `late` bytes are sent some time after each answer.
    """

    def __init__(self, *answers, close=False, late=b""):
        self._late = late
        self._answers = list(answers)
        self._close = close
        self.connections = 0
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = http.Address("127.0.0.1", self._server.server_port)

    def stop(self):
        self._server.stop(timeout=0.1)

    def _serve(self, sock, _):
        self.connections += 1
        while sock.recv(65536):
            if self._answers:
                sock.sendall(self._answers.pop(0))
            if self._late:
                gevent.sleep(LATE_SECONDS)
                sock.sendall(self._late)
            if self._close:
                sock.close()
                return


@pytest.fixture(name="start")
def start_fixture():
    peers = []

    def start(*answers, **options):
        peers.append(Peer(*answers, **options))
        return peers[-1]

    yield start
    for peer in peers:
        peer.stop()


def exchange(used):
    used.send("GET", connection.encode_request("GET", "/", [], b""))
    parser = used.receive(SECOND)
    while not parser.is_complete():
        parser = used.receive(SECOND)
    return parser


def test_connection_with_a_second_answer_is_not_used_again(start):
    """Guards against an extra response that answers the next request."""
    peer = start(OK + b"ab" + OK + b"cd")
    used = connection.connect(peer.address, SECOND)
    assert exchange(used).pop_body() == b"ab"
    assert not used.is_reusable()


def test_connection_with_bytes_behind_the_answer_is_not_used_again(start):
    """Guards against garbage after a response."""
    peer = start(OK + b"ab" + b"\x00garbage")
    used = connection.connect(peer.address, SECOND)
    assert exchange(used).pop_body() == b"ab"
    assert not used.is_reusable()


def test_connection_with_late_bytes_is_not_used_again(start):
    """Guards against a late second response on an idle connection."""
    peer = start(OK + b"ab", late=OK + b"cd")
    connections = pool.ConnectionPool(clock_module.ManualClock())
    used = connections.check_out(peer.address)
    exchange(used)
    connections.check_in(used, None)
    assert connections.check_out(peer.address) is used
    connections.check_in(used, None)
    gevent.sleep(2 * LATE_SECONDS)
    assert connections.check_out(peer.address) is not used


def test_connection_idle_for_too_long_is_not_used_again(start):
    """Guards against a request on a connection that the peer is closing."""
    peer = start(OK + b"ab")
    clock = clock_module.ManualClock()
    connections = pool.ConnectionPool(clock)
    used = connections.check_out(peer.address)
    exchange(used)
    connections.check_in(used, None)
    clock.advance(pool.MAX_IDLE_TIME + SECOND)
    assert connections.check_out(peer.address) is not used


def test_connection_reads_on_after_an_answer_to_another_request(start):
    """Guards against loss of an answer that follows a late one."""
    peer = start(OK + b"ab", OK + b"cd")
    used = connection.connect(peer.address, SECOND)
    exchange(used)
    used.discard_response()
    used._socket.sendall(b"GET / HTTP/1.1\r\n\r\n")
    parser = used.receive(SECOND)
    assert parser.pop_body() == b"cd"


@pytest.mark.parametrize("status", faulty_upstream.INVALID_STATUSES)
def test_connection_without_a_final_status_is_an_error(start, status):
    """Guards against a status of 000 or 600 that passes for an answer."""
    peer = start(OK.replace(b"200", status) + b"ab")
    used = connection.connect(peer.address, SECOND)
    with pytest.raises(http.NoResponseError) as caught:
        exchange(used)
    assert caught.type is http.NoResponseError  # and no time-out


@pytest.mark.parametrize("interim", [b"", b"100", b"103"])
@pytest.mark.parametrize("status", [200, 299, 304, 421, 599])
def test_connection_reads_each_final_status(start, interim, status):
    """Guards against sound answers that are given up for their status."""
    head = b"HTTP/1.1 " + interim + b" -\r\n\r\n" if interim else b""
    answer = b"HTTP/1.1 %d -\r\nContent-Length: 0\r\n\r\n" % status
    peer = start(head + answer)
    used = connection.connect(peer.address, SECOND)
    assert exchange(used).get_code() == status


def test_connection_that_ends_early_is_an_error(start):
    """Guards against a truncated response that looks complete."""
    peer = start(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", close=True)
    used = connection.connect(peer.address, SECOND)
    with pytest.raises(http.NoResponseError):
        exchange(used)


def test_connection_without_length_is_complete_at_its_end(start):
    """Guards against rejection of a complete response without a length."""
    peer = start(b"HTTP/1.1 200 OK\r\n\r\nab", close=True)
    used = connection.connect(peer.address, SECOND)
    assert exchange(used).pop_body() == b"ab"
    assert not used.is_reusable()


@pytest.mark.parametrize("size", [1, connection.READ_SIZE_BYTES])
@pytest.mark.parametrize(
    "whole", [OK + b"ab", CHUNKED], ids=["length", "chunks"]
)
def test_response_cut_after_any_byte_is_an_error(whole, size):
    """Guards against a head or a body that ends early and looks whole.

    The response is parsed in pieces of `size` bytes.
    """
    for end in range(1, len(whole)):
        parser = connection.ResponseParser("GET")
        for start in range(0, end, size):
            parser.feed(whole[start : min(start + size, end)])
        assert not parser.is_complete()
        with pytest.raises(connection.READ_ERRORS):
            parser.feed(b"")
        assert not parser.is_complete()


class LostSocket:
    """Socket whose peer is gone after a part of a response.

    As with the kernel's, the error is raised once, and the end follows.
    """

    def __init__(self, data, error):
        self._results = [data, error, b""]

    def settimeout(self, seconds):
        pass

    def sendall(self, data):
        pass

    def recv(self, size):
        result = self._results.pop(0)
        if isinstance(result, bytes):
            return result
        raise result


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.ECONNRESET])
def test_connection_lost_in_a_body_without_length_is_an_error(code):
    """Guards against a cut body that looks whole, as its peer is gone.

    Probes that are not acknowledged end a connection with ETIMEDOUT, which is
    a `TimeoutError` like a wait that has ended.
    """
    head = b"HTTP/1.1 200 OK\r\n\r\n"
    used = connection.Connection(
        LostSocket(head + b"a", OSError(code, "lost")),
        http.Address("127.0.0.1", 1),
    )
    used.send("GET", b"")
    assert used.receive(SECOND).pop_body() == b"a"
    with pytest.raises(http.NoResponseError) as caught:
        used.receive(SECOND)
    assert not isinstance(caught.value, connection.ResponseTimeoutError)


@pytest.mark.parametrize(
    "encoding", [b"chunk", b"gzip", b"chunked, gzip", b"gzip, chunked"]
)
def test_connection_with_another_transfer_encoding_is_an_error(start, encoding):
    """Guards against an encoded or cut body that is passed on as a whole one.

    Its head takes the bytes up to the end of the connection for its body.
    """
    fields = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + encoding
    peer = start(fields + b"\r\n\r\n2\r\nab\r\n0\r\n\r\n", close=True)
    used = connection.connect(peer.address, SECOND)
    with pytest.raises(http.NoResponseError):
        exchange(used)


def test_connection_that_stays_silent_times_out(start):
    """Guards against an endless wait."""
    peer = start()
    used = connection.connect(peer.address, SECOND)
    used.send("GET", connection.encode_request("GET", "/", [], b""))
    with pytest.raises(connection.ResponseTimeoutError):
        used.receive(datetime.timedelta(milliseconds=20))


def test_connection_refused_was_not_sent(start):
    """Guards against an unsent request that counts as possibly run."""
    peer = start()
    peer.stop()
    with pytest.raises(http.RefusedError):
        connection.connect(peer.address, SECOND)


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("timeout=5, max=9", 5),
        ("max=9,Timeout=15", 15),
        ("timeout=" + "9" * 20, None),
        ("timeout=" + "9" * 5000, None),
        ("timeout=\u00b2", None),
        ("timeout=-5", None),
        ("", None),
    ],
)
def test_keep_alive_timeout_is_read_or_ignored(text, expected):
    """Guards against an answer that is lost for its Keep-Alive header."""
    parser = connection.ResponseParser("GET")
    head = f"HTTP/1.1 200 OK\r\nKeep-Alive: {text}\r\nContent-Length: 0\r\n\r\n"
    parser.feed(head.encode("latin-1"))
    seconds = None if expected is None else datetime.timedelta(seconds=expected)
    assert pool.parse_keep_alive_timeout(parser) == seconds


def test_connection_without_a_file_descriptor_was_not_sent(monkeypatch):
    """Guards against callers without an answer while descriptors run out."""

    def fail(*_):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr(connection.gevent_socket, "socket", fail)
    with pytest.raises(http.NotSentError):
        connection.connect(http.Address("127.0.0.1", 9), SECOND)
