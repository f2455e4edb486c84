"""Guards against answers that broke off and reach callers as whole ones.

Each case passes through the whole path: a caller, the entry server, a handler,
a client of upstreams, and an upstream on loopback that breaks off.
"""

import dataclasses
import random

import pytest

from arbutuscove.config import model as config_model
from arbutuscove.entry import callers
from arbutuscove.entry import connections
from arbutuscove.entry import plain
from arbutuscove.entry.tests import serving
from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import attempts
from arbutuscove.requests.tests import fleet as fleet_module
from arbutuscove.standins import cut_answers
from arbutuscove.standins import faulty_upstream
from arbutuscove.transport import connection
from arbutuscove.upstreams import engine
from arbutuscove.upstreams import plain as plain_upstream
from arbutuscove.upstreams import protocol

KEY = "plain-key"


class PlainServer(serving.Server):
    """An entry server with one plain service."""

    def __init__(self, upstream):
        super().__init__(connections.Bounds())
        handler = plain.PlainHandler(
            None,
            random.Random(1),
            clock_module.ManualClock(),
            fleet_module.Limits(),
            attempts.RetryBudget(),
        )
        service = config_model.Service(
            name="desk",
            team="t",
            ranks=fleet_module.SERVICE.ranks,
            accounts=(
                config_model.Account(
                    name="a", key_digests=(callers.digest_key(KEY),)
                ),
            ),
            limits=config_model.Limits(accelerators=0),
            plain=config_model.PlainBackend(
                addresses=(f"127.0.0.1:{upstream.port}",)
            ),
        )
        version = config_model.ServiceVersion(
            sequence=1, version=1, service=service
        )
        self.entry._plain = handler
        self.entry._config.snapshot = config_model.Snapshot(
            sequence=1, services={"desk": version}
        )


class LoopbackFleet(fleet_module.Fleet):
    """One replica, whose leader is an upstream on loopback."""

    def __init__(self, upstream):
        super().__init__(replicas=1)
        self._address = f"127.0.0.1:{upstream.port}"
        self._client = engine.EngineClient(self._address)

    def get(self, address):
        return self._client

    def list_serving(self, service):
        leader = protocol.Member(name="r0", address=self._address)
        return [
            dataclasses.replace(replica, leader=leader)
            for replica in super().list_serving(service)
        ]


class ChatServer(serving.Server):
    """An entry server with one model service."""

    def __init__(self, upstream):
        fleet = LoopbackFleet(upstream)
        daemon = fleet_module.build_daemon(fleet)
        super().__init__(connections.Bounds(), flow=daemon.flow)


@pytest.fixture(name="start")
def start_fixture():
    started = []

    def start(server_class, behaviour):
        upstream = faulty_upstream.Upstream(behaviour)
        server = server_class(upstream)
        started.extend([server.entry, upstream])
        return server, upstream

    yield start
    for service in started:
        service.stop()


def parse(received, method="POST"):
    """Returns a response, as far as it was received."""
    parser = connection.ResponseParser(method)
    parser.feed(received)
    return parser


def exchange_plain(server, method):
    """Returns the response to a call of the plain service."""
    request = serving.build_request(b"", path="/plain/desk/x", key=KEY)
    received = server.exchange(request.replace(b"POST", method.encode(), 1))
    return parse(received, method)


def name_ending(value):
    return getattr(value, "value", value)


@pytest.mark.parametrize(("method", "calls"), [("GET", 3), ("POST", 1)])
@pytest.mark.parametrize(("name", "ending"), cut_answers.CASES, ids=name_ending)
def test_plain_answer_that_broke_off_is_no_success(
    start, name, ending, method, calls
):
    """Guards against a 200 with an empty or short body that looks whole.

    It also guards against a second run of a call that may run only once.
    """
    server, upstream = start(
        PlainServer, cut_answers.break_off(cut_answers.SENT[name], ending)
    )
    received = exchange_plain(server, method)
    assert received.is_complete()
    assert received.get_code() == 503
    assert received.get_header("Arbutuscove-Run") == "unknown"
    assert upstream.requests == calls


SOUND_ANSWERS = {
    "with_length": (200, b"Content-Length: 2\r\n\r\nok", b"ok"),
    "chunked": (
        200,
        b"Transfer-Encoding: chunked\r\n\r\n02\r\nok\r\n0\r\nX-T: a\r\n\r\n",
        b"ok",
    ),
    "without_length": (200, b"\r\nok", b"ok"),
    "empty_without_length": (200, b"\r\n", b""),
    "without_content": (204, b"\r\n", b""),
    "error": (404, b"Content-Length: 2\r\n\r\nno", b"no"),
}


@pytest.mark.parametrize("interim", [b"", cut_answers.INTERIM])
@pytest.mark.parametrize("name", SOUND_ANSWERS)
def test_plain_sound_answer_is_passed_on(start, name, interim):
    """Guards against sound answers that are rejected with the cut ones."""
    status, rest, body = SOUND_ANSWERS[name]
    sent = b"%bHTTP/1.1 %d Status\r\n%b" % (interim, status, rest)
    server, upstream = start(
        PlainServer,
        cut_answers.break_off(sent, faulty_upstream.Ending.CLOSE),
    )
    received = exchange_plain(server, "POST")
    assert received.is_complete()
    assert (received.get_code(), received.pop_body()) == (status, body)
    assert upstream.requests == 1


def test_plain_answer_to_head_has_no_body(start):
    """Guards against a wait for the body that a head's length announces."""
    sent = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
    server, _ = start(
        PlainServer, cut_answers.break_off(sent, faulty_upstream.Ending.CLOSE)
    )
    assert exchange_plain(server, "HEAD").get_code() == 200


def test_plain_answer_that_is_too_large_is_no_success(start, monkeypatch):
    """Guards against an endless body that fills the memory."""
    monkeypatch.setattr(plain_upstream, "MAX_ANSWER_BYTES", 4)
    sent = cut_answers.UNFRAMED_HEAD + b"whole"
    server, upstream = start(
        PlainServer, cut_answers.break_off(sent, faulty_upstream.Ending.CLOSE)
    )
    received = exchange_plain(server, "POST")
    assert received.get_code() == 503
    assert received.get_header("Arbutuscove-Run") == "unknown"
    assert upstream.requests == 1


def exchange_chat(server, is_streamed):
    """Returns the response to a chat request, as far as it was received."""
    body = serving.build_body(stream=is_streamed)
    return parse(server.exchange(serving.build_request(body)))


@pytest.mark.parametrize("is_streamed", [False, True], ids=["whole", "stream"])
@pytest.mark.parametrize(("name", "ending"), cut_answers.CASES, ids=name_ending)
def test_chat_answer_that_broke_off_is_no_success(
    start, name, ending, is_streamed
):
    """Guards against an empty or short completion that looks whole."""
    server, _ = start(
        ChatServer, cut_answers.break_off(cut_answers.SENT[name], ending)
    )
    received = exchange_chat(server, is_streamed)
    assert received.is_complete()
    assert received.get_code() == 503
    assert received.get_header("Arbutuscove-Run") == "unknown"


class Engine:
    """Breaks off each stream after an event.

    Attributes:
        dispatches: number of requests that were dispatched to it.
    """

    def __init__(self, head, rest, ending, is_resumable):
        self.dispatches = 0
        self._sent = head, rest, ending
        self._is_resumable = is_resumable
        self._events = ()

    def answer(self, request_id):
        """Sends what a dispatch or, without a request id, a resumption gets."""
        if request_id:
            self.dispatches += 1
            self._events = [
                event.replace(serving.STREAM.encode(), request_id)
                for event in serving.build_answer(["one ", "two "])
            ]
        elif self._is_resumable:
            yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (
                len(b"".join(self._events)),
                b"".join(self._events),
            )
            return
        head, rest, ending = self._sent
        event = self._events[0]
        is_chunked = faulty_upstream.CHUNKED in head
        yield head
        yield faulty_upstream.build_chunk(event) if is_chunked else event
        yield rest
        yield ending


CHUNKED_HEAD = cut_answers.CHUNKED_HEAD
LONG_HEAD = faulty_upstream.build_head(b"r1", b"Content-Length: 9999")
# Head of a stream, and what follows its first event.
CUT_STREAMS = {
    "with_length": (LONG_HEAD, b""),
    "with_length_in_event": (LONG_HEAD, b"id: "),
    "after_chunk": (CHUNKED_HEAD, b""),
    "in_chunk_size": (CHUNKED_HEAD, b"1"),
    "in_chunk_size_with_zeros": (CHUNKED_HEAD, b"0"),
    "before_trailer": (CHUNKED_HEAD, b"0\r\n"),
    "in_trailer": (CHUNKED_HEAD, b"0\r\nX-T"),
    "after_last_chunk": (CHUNKED_HEAD, faulty_upstream.LAST_CHUNK),
    "unframed": (cut_answers.UNFRAMED_HEAD, b""),
    "unframed_in_event": (cut_answers.UNFRAMED_HEAD, b"id: "),
}


@pytest.mark.parametrize("is_streamed", [False, True], ids=["whole", "stream"])
@pytest.mark.parametrize(
    "ending", faulty_upstream.Ending, ids=lambda ending: ending.value
)
@pytest.mark.parametrize("name", CUT_STREAMS)
def test_chat_stream_that_broke_off_is_no_success(
    start, name, ending, is_streamed
):
    """Guards against a stream without its last event that looks whole.

    It also guards against a second run of a request whose answer has begun.
    """
    cut = Engine(*CUT_STREAMS[name], ending, is_resumable=False)
    server, _ = start(ChatServer, cut.answer)
    received = exchange_chat(server, is_streamed)
    body = received.pop_body()
    if is_streamed:
        assert received.get_code() == 200
        assert not received.is_complete()
    else:
        assert received.is_complete()
        assert received.get_code() == 502
    assert b"answer_incomplete" in body
    assert b"[DONE]" not in body
    assert cut.dispatches == 1


@pytest.mark.parametrize("is_streamed", [False, True], ids=["whole", "stream"])
@pytest.mark.parametrize("name", CUT_STREAMS)
def test_chat_stream_that_broke_off_is_resumed(start, name, is_streamed):
    """Guards against a broken stream that is given up or sent twice."""
    cut = Engine(
        *CUT_STREAMS[name], faulty_upstream.Ending.CLOSE, is_resumable=True
    )
    server, _ = start(ChatServer, cut.answer)
    received = exchange_chat(server, is_streamed)
    assert received.is_complete()
    assert received.get_code() == 200
    body = received.pop_body()
    assert body.count(b"one ") == body.count(b"two ") == 1
    assert cut.dispatches == 1
