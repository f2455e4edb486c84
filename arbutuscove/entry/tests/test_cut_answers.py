"""Guards against answers that broke off and reach callers as whole ones.

Each case passes through the whole path: a caller, the entry server, a handler,
a client of upstreams, and an upstream on loopback that breaks off.
"""

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
from arbutuscove.upstreams import plain as plain_upstream

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
