"""Guards against dispatch without a claim, foreign resumes and silent cuts."""

import gevent
import pytest
from gevent import event

from arbutuscove.admission import work as work_module
from arbutuscove.entry import app
from arbutuscove.entry import connections
from arbutuscove.entry.tests import serving
from arbutuscove.requests import claims
from arbutuscove.requests import failures
from arbutuscove.requests import resume
from arbutuscove.requests.tests import fleet as fleet_module

NEVER = "Arbutuscove-Repeat: never\r\nIdempotency-Key: k\r\n"


class _Once:
    """Rejects every claim, as when the table service is down."""

    def begin(self, account, key, attempt_id, digest):
        refusal = work_module.Refusal(
            status=503, code="claims_unavailable", message="down"
        )
        raise failures.RequestFailedError(refusal, failures.RunStatus.NOT_RUN)


@pytest.fixture
def server():
    running = serving.Server(connections.Bounds(), _Once())
    yield running
    running.entry.stop()


def test_chat_nothing_is_dispatched_without_a_claim(server):
    """A request whose claim was not written must not run."""
    response = server.exchange(serving.build_request(extra=NEVER))
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Arbutuscove-Run: not_run" in response
    assert server.flow.run_count == 0


def test_chat_cut_stream_lacks_the_final_chunk(server):
    """A client that ignores error events must still detect the truncation."""
    server.flow.cut = True
    body = serving.build_body(stream=True)
    response = server.exchange(serving.build_request(body))
    assert b"answer_incomplete" in response
    assert not response.endswith(b"0\r\n\r\n")


@pytest.mark.parametrize("field", ["account", "digest"])
def test_chat_resume_token_of_another_is_refused(server, field):
    """A token must not give access to another account's or request's answer."""
    point = {
        "service": "assistant",
        "replica": "r",
        "generation": 1,
        "address": "127.0.0.1:1",
        "stream": serving.STREAM,
        "account": claims.qualify_account("assistant", "helpdesk"),
        "digest": server.compute_digest(serving.build_body()),
    }
    valid = resume.ResumePoint(**point)
    foreign = resume.ResumePoint(**{**point, field: "another"})
    for issued_point, status in ((valid, b"200"), (foreign, b"400")):
        extra = f"Arbutuscove-Resume: {server.tokens.issue(issued_point)}\r\n"
        response = server.exchange(serving.build_request(extra=extra))
        assert response.split(b" ")[1] == status


def test_chat_drain_waits_for_the_last_answer(server):
    """A planned stop must not interrupt an answer in progress."""
    server.flow.release = event.Event()
    body = serving.build_body(stream=True)
    answer = gevent.spawn(server.exchange, serving.build_request(body))
    while not server.entry.count_active():
        gevent.sleep(0.001)
    drain = gevent.spawn(server.entry.drain)
    gevent.sleep(app.LEAVE_PROPAGATION_TIME.total_seconds() + 0.2)
    assert not drain.ready()
    server.flow.release.set()
    drain.join()
    assert answer.get().endswith(b"0\r\n\r\n")


class _Queue:
    """Admits nothing and counts the waiting requests."""

    def __init__(self):
        self.waiting = 0

    def admit(self, work):
        self.waiting += 1
        try:
            event.Event().wait()
        finally:
            self.waiting -= 1


@pytest.fixture
def queue():
    return _Queue()


@pytest.fixture
def queued(queue, monkeypatch):
    """A client whose request waits in the queue, and its daemon."""
    daemon = fleet_module.build_daemon(fleet_module.Fleet())
    monkeypatch.setattr(daemon.admission, "admit", queue.admit)
    running = serving.Server(connections.Bounds(), flow=daemon.flow)
    client = running.connect()
    client.sendall(serving.build_request())
    _wait_until(lambda: queue.waiting == 1)
    yield client, daemon, running
    client.close()
    running.entry.stop()


def _wait_until(condition):
    with gevent.Timeout(5):
        while not condition():
            gevent.sleep(0.001)


def test_chat_caller_that_leaves_the_queue_frees_its_place(queue, queued):
    """A request whose caller disconnected must leave the queue and not run."""
    client, daemon, running = queued
    client.close()
    _wait_until(lambda: queue.waiting == 0)
    _wait_until(lambda: running.entry.count_active() == 0)
    assert daemon.limits.open == 0
    assert daemon.fleet.dispatches == 0
    assert running.count("caller_left") == 1


def test_chat_pipelined_request_is_no_departure(queue, queued):
    """Data of a pipelined request must not count as a disconnect."""
    client, _, _ = queued
    client.sendall(serving.build_request())
    gevent.sleep(0.05)
    assert queue.waiting == 1


@pytest.mark.parametrize("run", failures.RunStatus)
def test_chat_refusal_within_a_stream_ends_the_connection(server, run):
    """Guards against a refusal's head or text in the middle of a stream.

    It also guards against a stream that ends as if it were complete.
    """
    refusal = work_module.Refusal(status=503, code="refused_late", message="")

    def send_part():
        yield serving.build_event(0, "one ")
        raise failures.RequestFailedError(refusal, run)

    server.flow._yield_events = send_part
    body = serving.build_body(stream=True)
    response = server.exchange(serving.build_request(body))
    assert response.count(b"HTTP/1.1") == 1
    assert b"one " in response
    assert b"refused_late" not in response
    assert not response.endswith(b"0\r\n\r\n")


class _HeldClaims:
    """Grants every claim and records the answers that are stored."""

    def __init__(self):
        self.stored = []

    def begin(self, account, key, attempt_id, digest):
        return object()

    def finish(self, held_claim, answer):
        self.stored.append(answer)


ODD_EVENTS = [b'{"choices":[1]}', b"[]", b"no json"]


@pytest.fixture
def claiming():
    once = _HeldClaims()
    running = serving.Server(connections.Bounds(), once)
    yield running, once
    running.entry.stop()


@pytest.mark.parametrize("data", ODD_EVENTS)
def test_chat_whole_stream_of_odd_events_ends_whole(claiming, data):
    """Guards against a whole answer cut as its copy cannot be stored.

    The claim must be finished, so that the key's outcome is known.
    """
    server, once = claiming
    name = serving.STREAM.encode()
    odd = b"id: " + name + b"-0\ndata: " + data + b"\n\n"
    server.flow.events = [odd, *server.flow.events]
    body = serving.build_body(stream=True)
    response = server.exchange(serving.build_request(body, extra=NEVER))
    assert response.endswith(b"0\r\n\r\n")
    assert once.stored == [None]


@pytest.mark.parametrize("data", ODD_EVENTS)
def test_chat_answer_of_odd_events_is_refused_as_run(claiming, data):
    """Guards against a request that ran and whose outcome stays unknown."""
    server, once = claiming
    server.flow.events = [b"id: x-0\ndata: " + data + b"\n\n"]
    response = server.exchange(serving.build_request(extra=NEVER))
    assert response.startswith(b"HTTP/1.1 502")
    assert b"Arbutuscove-Run: ran" in response
    assert once.stored == [None]


def test_completions_accept_an_event_without_choices(claiming):
    """Guards against an answer refused for a last event that counts tokens."""
    server, once = claiming
    name = serving.STREAM.encode()
    odd = b"id: " + name + b'-2\ndata: {"choices":null}\n\n'
    server.flow.events = [*server.flow.events[:-1], odd]
    response = server.exchange(serving.build_request(extra=NEVER))
    assert response.startswith(b"HTTP/1.1 200")
    assert len(once.stored) == 1
