"""Guards against plain calls that run twice or exceed their deadline."""

import datetime
import random

import gevent
import pytest
from gevent import server

from arbutuscove.config import model
from arbutuscove.entry import bodies
from arbutuscove.entry import memory
from arbutuscove.entry import plain
from arbutuscove.kernel import clock as clock_module
from arbutuscove.requests import attempts
from arbutuscove.requests import failures
from arbutuscove.requests.tests import fleet as fleet_module
from arbutuscove.standins import faulty_upstream
from arbutuscove.upstreams import plain as plain_upstream

CALL = plain_upstream.PlainCall(
    attempt_id="a", method="POST", path="/", content_type="", body=b""
)
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class _Server:
    """Counts calls, answers with fixed pieces and closes the connection."""

    def __init__(self, *pieces, pause=0.0):
        self.calls = 0
        self._pieces = pieces
        self._pause = pause
        self._server = server.StreamServer(("127.0.0.1", 0), self._handle)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def _handle(self, connection, peer):
        connection.recv(65536)
        self.calls += 1
        for piece in self._pieces:
            connection.sendall(piece)
            gevent.sleep(self._pause)
        connection.close()

    def stop(self):
        self._server.stop()


def _send(addresses, repeatable, handler=None, seconds=5, domains=()):
    handler = handler or _build_handler()
    fleet = fleet_module.Fleet()
    work = fleet_module.build_request(fleet, seconds=seconds).work
    backend = model.PlainBackend(
        addresses=tuple(addresses), failure_domains=tuple(domains)
    )
    return handler._send(backend, CALL, work, repeatable)


def _build_handler(**options):
    return plain.PlainHandler(
        None,
        random.Random(1),
        clock_module.ManualClock(),
        fleet_module.Limits(),
        attempts.RetryBudget(),
        **options,
    )


class _Evacuations:
    """Evacuated failure domains, some of them from the nth look on."""

    def __init__(self, *domains, after=0):
        self._domains = domains
        self._looks = -after

    def is_evacuated(self, address, domain):
        self._looks += 1
        return self._looks > 0 and domain in self._domains


def test_plain_call_is_not_sent_to_an_evacuated_domain():
    """Guards against calls that an operator has asked to keep away."""
    evacuated, good = _Server(WHOLE), _Server(WHOLE)
    handler = _build_handler(is_evacuated=_Evacuations("a").is_evacuated)
    addresses = [evacuated.address, good.address]
    for _ in range(20):
        _send(addresses, False, handler, domains=("a", "b"))
    assert (evacuated.calls, good.calls) == (0, 20)
    for domains in ((), ("",), ("b",)):
        _send([evacuated.address], False, handler, domains=domains)
    assert evacuated.calls == 3
    evacuated.stop()
    good.stop()


def test_plain_call_is_refused_if_all_its_domains_are_evacuated():
    """Guards against callers that wait until their deadline."""
    server = _Server(WHOLE)
    handler = _build_handler(is_evacuated=_Evacuations("a").is_evacuated)
    with pytest.raises(failures.RequestFailedError) as caught:
        _send([server.address], True, handler, domains=("a",))
    server.stop()
    refusal = caught.value.refusal
    assert (refusal.status, refusal.code) == (503, "evacuated")
    assert caught.value.run == failures.RunStatus.NOT_RUN
    assert refusal.retry_after == plain.RETRY_AFTER
    assert not server.calls


def test_plain_call_is_not_sent_if_the_evacuation_begins_meanwhile():
    """Guards against a call that is sent once its connection is open."""
    server = _Server(WHOLE)
    after_choice = _Evacuations("a", after=1)
    handler = _build_handler(is_evacuated=after_choice.is_evacuated)
    with pytest.raises(failures.RequestFailedError) as caught:
        _send([server.address], False, handler, domains=("a",))
    server.stop()
    assert caught.value.run == failures.RunStatus.NOT_RUN
    assert not server.calls


@pytest.mark.parametrize(("repeatable", "calls"), [(False, 1), (True, 3)])
def test_plain_lost_call_is_sent_again_only_if_repeatable(repeatable, calls):
    """A non-repeatable call whose answer was lost must not run again."""
    broken = _Server(b"")
    with pytest.raises(failures.RequestFailedError) as caught:
        _send([broken.address], repeatable)
    broken.stop()
    assert caught.value.run == failures.RunStatus.UNKNOWN
    assert broken.calls == calls


def test_plain_refused_connection_goes_elsewhere():
    """A server that refuses connections ran nothing, so any call is retried."""
    unavailable = _Server()
    unavailable.stop()
    good = _Server(WHOLE)
    for _ in range(5):
        answer = _send([unavailable.address, good.address], repeatable=False)
        assert answer.body == b"ok"
    good.stop()


def test_plain_failed_address_spends_little_of_the_budget():
    """One unavailable server of two must not exhaust the retry budget."""
    unavailable = _Server()
    unavailable.stop()
    good = _Server(WHOLE)
    handler = _build_handler()
    for _ in range(60):
        _send([unavailable.address, good.address], False, handler)
    good.stop()
    assert good.calls == 60


def test_plain_truncated_answer_is_not_whole():
    """A truncated answer must not reach the caller as complete."""
    cut = _Server(WHOLE[:-1])
    with pytest.raises(failures.RequestFailedError) as caught:
        _send([cut.address], repeatable=False)
    cut.stop()
    assert caught.value.run == failures.RunStatus.UNKNOWN


@pytest.mark.parametrize("status", faulty_upstream.INVALID_STATUSES)
def test_plain_answer_without_a_final_status_is_no_answer(status):
    """A status of 000 or 600 must not reach the caller."""
    faulty = _Server(WHOLE.replace(b"200", status))
    with pytest.raises(failures.RequestFailedError) as caught:
        _send([faulty.address], repeatable=False)
    faulty.stop()
    assert caught.value.run == failures.RunStatus.UNKNOWN


def test_plain_trickling_answer_ends_with_the_deadline():
    """An answer that trickles in must not outlast the caller's deadline."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
    slow = _Server(head, *([b"x"] * 1000), pause=0.02)
    result = plain_upstream.send_call(
        slow.address, CALL, datetime.timedelta(seconds=0.2)
    )
    slow.stop()
    assert result.is_error()


def test_plain_answer_without_memory_is_not_sent_again():
    """Guards against calls that run again for want of memory, and its leak."""
    budget = memory.ByteBudget(memory.ANSWER_COPIES, clock_module.SystemClock())
    reservation = budget.open(lambda: None)
    server = _Server(WHOLE)
    handler = _build_handler()
    fleet = fleet_module.Fleet()
    work = fleet_module.build_request(fleet, seconds=5).work
    backend = model.PlainBackend(addresses=(server.address,))
    held = bodies.AnswerMemory(reservation)
    with pytest.raises(failures.RequestFailedError) as caught:
        handler._send(backend, CALL, work, True, held)
    refusal = caught.value.refusal
    assert (refusal.status, refusal.code) == (502, "answer_memory_full")
    assert caught.value.run == failures.RunStatus.UNKNOWN
    assert server.calls == 1
    assert not budget.used
    server.stop()
