"""Guards against faulty upstreams that harm requests or their daemon."""

import dataclasses
import datetime
import random

import gevent
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.crashes import holder
from arbutuscove.crashes import liveness
from arbutuscove.crashes import tracker
from arbutuscove.crashes import verdicts
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths.tests import doubles
from arbutuscove.platform import upstreams
from arbutuscove.relay import attempt
from arbutuscove.relay import backends
from arbutuscove.relay import budget
from arbutuscove.relay import context
from arbutuscove.relay import flow
from arbutuscove.relay import model
from arbutuscove.relay import placement
from arbutuscove.relay import stalls
from arbutuscove.relay import waiting
from arbutuscove.relay.tests import test_waiting
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool

SECOND = datetime.timedelta(seconds=1)
DEADLINE = 4 * SECOND
# Limits of a head, of an event and of the bodies of unmatched answers, plus the
# size of the sockets' buffers on loopback.
MAX_SENT_BYTES = 8 * 1024 * 1024
WHOLE = b"whole"
KEY = ("chat~5", 5)


def create_tracker(clock):
    return tracker.CrashTracker(
        clock,
        lambda name: None,
        lambda vm: liveness.Liveness.ALIVE,
        lambda data: None,
        lambda key: False,
        holder.EvidenceHolder(
            clock, verdicts.VerdictKeeper(None, clock, lambda key: False)
        ),
    )


class Scene:
    """A flow with a faulty upstream and a healthy one."""

    def __init__(self, faulty, healthy):
        self.evacuated = set()
        clock = clock_module.SystemClock()
        inventory = inventory_module.Inventory(clock)
        self.states = backends.BackendStates(clock)
        catalog = self.catalog = catalog_holder.CatalogHolder()
        loads = placement.PeerLoads(running={}, daemons=0)
        self.dispatcher = waiting.RequestDispatcher(
            clock,
            catalog,
            inventory,
            self.states,
            lambda: loads,
            random.Random(1),
            is_evacuated=self._is_evacuated,
        )
        self.dispatcher.start(None)
        self.pool = pool.ConnectionPool(clock)
        shared = context.AttemptContext(
            clock,
            catalog,
            self.dispatcher,
            self.states,
            doubles.build_connections(
                clock, self.pool, lambda service: list(inventory.list_vms())
            ),
            upstreams.HttpCodec(),
            lambda: None,
            lambda backend: [],
            random.Random(1),
            create_tracker(clock),
        )
        self._shared = shared
        self.set_allowance(
            budget.RetryAllowance(ratio=1.0, slack=99.0, window=SECOND)
        )
        self.clock = clock
        self.bad = faulty_upstream.Upstream(faulty)
        self.good = faulty_upstream.Upstream(healthy)
        self.inventory = inventory
        self.list(self.bad, self.good)
        # The healthy upstream is in cooldown, so the faulty one is tried first.
        self.states.record_failure(("good", 1))

    def _is_evacuated(self, domain):
        return domain in self.evacuated

    def set_allowance(self, allowance):
        self.flow = flow.Flow(
            self._shared, allowance, lambda: 1, random.Random(1)
        )

    def list(self, *listed):
        names = {self.bad: "bad", self.good: "good"}
        self.inventory.replace(
            test_planner.create_vm(
                names[upstream],
                fabric_domain="",
                address=http.Address("127.0.0.1", upstream.port),
            )
            for upstream in listed
        )

    def create_request(self, repeat, name="r1"):
        route = dataclasses.replace(
            test_waiting.ROUTE, repeat=repeat, first_byte_target=SECOND
        )
        now = self.clock.monotonic()
        return model.Request(
            request_id=name,
            method="GET",
            target="/",
            fields=(("X-Request-Id", name),),
            body=b"",
            route=route,
            account=None,
            arrived=now,
            deadline=now + DEADLINE,
        )

    def serve(self, repeat, name="r1"):
        request = self.create_request(repeat, name)
        with gevent.Timeout(2 * DEADLINE.total_seconds()):
            answer = self.flow.serve(request)
            return answer, b"".join(answer.body)

    def stop(self):
        self.dispatcher.stop()
        self.pool.stop()
        self.bad.stop()
        self.good.stop()


@pytest.fixture(name="build")
def build_fixture():
    scenes = []

    def build(bad, good):
        scenes.append(Scene(bad, good))
        return scenes[-1]

    yield build
    for scene in scenes:
        scene.stop()


def name_behaviour(behaviour):
    return behaviour.__name__


@pytest.mark.parametrize(
    "behaviour", faulty_upstream.FAULTY_ANSWERS, ids=name_behaviour
)
def test_troubled_upstream_of_a_whole_answer_costs_one_attempt(
    build, behaviour
):
    """Guards against endless bytes that fill a daemon's memory.

    It also guards against an answer to another request that is used as the
    answer to this one.
    """
    scene = build(behaviour, faulty_upstream.answer_completely)
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert (answer.status, body) == (200, WHOLE)
    assert (scene.bad.requests, scene.good.requests) == (1, 1)
    assert scene.bad.sent <= MAX_SENT_BYTES
    assert scene.states["bad", 1].failures > 0


@pytest.mark.parametrize(
    "behaviour", faulty_upstream.FAULTY_STREAMS, ids=name_behaviour
)
def test_troubled_upstream_of_a_stream_is_left_for_another(build, behaviour):
    """Guards against streams that stall forever, or look complete too early.

    Single bytes at intervals, or comments, are no progress.
    """
    scene = build(behaviour, faulty_upstream.answer_stream)
    answer, body = scene.serve(catalog_model.Repeat.STREAM_RESUMABLE)
    assert answer.status == 200
    assert body.replace(b":\n\n", b"") == b"".join(faulty_upstream.EVENTS)
    assert scene.good.requests == 1
    assert scene.bad.sent <= MAX_SENT_BYTES


def test_troubled_upstream_of_a_stream_that_may_not_resume(build):
    """Guards against a broken stream that looks complete to its caller."""
    scene = build(
        faulty_upstream.end_stream_within_event, faulty_upstream.answer_stream
    )
    with pytest.raises(model.BrokenAnswerError):
        scene.serve(catalog_model.Repeat.STREAM_ONCE)
    assert scene.good.requests == 0


@pytest.mark.parametrize("status", faulty_upstream.INVALID_STATUSES)
@pytest.mark.parametrize(
    "repeat", [catalog_model.Repeat.ONCE, catalog_model.Repeat.STREAM_ONCE]
)
def test_answer_without_a_final_status_is_not_passed_on(build, repeat, status):
    """Guards against a status of 000 or 600 that callers take as an answer.

    They do not wait until their deadline for another status, either.
    """
    scene = build(
        faulty_upstream.build_status_answer(status),
        faulty_upstream.answer_completely,
    )
    with pytest.raises(model.RefusedError) as caught:
        scene.serve(repeat)
    refusal = caught.value.refusal
    assert (refusal.status, refusal.not_run) == (502, False)
    assert scene.bad.requests == 1
    assert scene.states["bad", 1].failures > 0


@pytest.mark.parametrize("status", faulty_upstream.INVALID_STATUSES)
def test_request_without_a_final_status_is_sent_elsewhere(build, status):
    """Guards against a faulty answer to a request that may be repeated."""
    scene = build(
        faulty_upstream.build_status_answer(status),
        faulty_upstream.answer_completely,
    )
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert (answer.status, body) == (200, WHOLE)


def test_answers_without_framing_are_whole(build):
    """Guards against sound answers rejected as they state no length."""
    scene = build(
        faulty_upstream.answer_unframed, faulty_upstream.answer_completely
    )
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert (answer.status, body) == (200, WHOLE)
    scene = build(
        faulty_upstream.answer_stream_unframed, faulty_upstream.answer_stream
    )
    answer, body = scene.serve(catalog_model.Repeat.STREAM_RESUMABLE)
    assert (answer.status, body) == (200, b"".join(faulty_upstream.EVENTS))
    assert scene.good.requests == 0


def test_stream_without_framing_or_events_is_no_success(build):
    """Guards against an empty stream that looks complete to its caller."""
    scene = build(
        faulty_upstream.end_unframed_stream_before_events,
        faulty_upstream.answer_stream,
    )
    with pytest.raises(model.RefusedError) as caught:
        scene.serve(catalog_model.Repeat.STREAM_ONCE)
    assert caught.value.refusal.status == 502
    assert scene.good.requests == 0


def send_long(request_id):
    """Sends a body of 40 chunks with a Content-Length."""
    length = 40 * faulty_upstream.PIECE_BYTES
    yield faulty_upstream.build_head(request_id, b"Content-Length: %d" % length)
    for _ in range(40):
        yield b"a" * faulty_upstream.PIECE_BYTES


def test_long_answer_is_passed_on_whole(build):
    """Guards against a healthy answer that is rejected for its length."""
    scene = build(send_long, faulty_upstream.answer_completely)
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert answer.length == len(body) == 40 * faulty_upstream.PIECE_BYTES


def send_endless_body(request_id):
    """Sends an endless body."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    while True:
        yield faulty_upstream.build_chunk(b"a" * faulty_upstream.PIECE_BYTES)


def test_endless_body_is_never_held_whole(build):
    """Guards against an endless body that a daemon buffers in memory."""
    scene = build(send_endless_body, faulty_upstream.answer_completely)
    answer, _ = None, None
    now = scene.clock.monotonic()
    route = dataclasses.replace(test_waiting.ROUTE, first_byte_target=SECOND)
    request = model.Request(
        request_id="r1",
        method="GET",
        target="/",
        fields=(("X-Request-Id", "r1"),),
        body=b"",
        route=route,
        account=None,
        arrived=now,
        deadline=now + SECOND,
    )
    answer = scene.flow.serve(request)
    longest_chunk = 0
    with pytest.raises(model.BrokenAnswerError):
        for chunk in answer.body:
            longest_chunk = max(longest_chunk, len(chunk))
            gevent.sleep(0.001)
    assert longest_chunk <= 2 * attempt.BUFFERED_BODY_BYTES
    assert scene.clock.monotonic() - now <= 2 * SECOND


def send_slowly(request_id):
    """Sends complete events with longer pauses than a full engine."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in faulty_upstream.EVENTS:
        yield attempt.STREAM_STALL_TIMEOUT.total_seconds() * 0.5
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK


def test_slow_but_sound_stream_is_not_cut(build):
    """Guards against a healthy stream that is aborted as it is slow."""
    scene = build(send_slowly, faulty_upstream.answer_stream)
    answer, body = scene.serve(catalog_model.Repeat.STREAM_RESUMABLE)
    assert (answer.status, body) == (200, b"".join(faulty_upstream.EVENTS))
    assert scene.good.requests == 0


def test_stream_of_a_caller_that_reads_slowly_is_not_cut(build):
    """Guards against a healthy stream aborted as its caller reads slowly."""
    scene = build(faulty_upstream.answer_stream, faulty_upstream.answer_stream)
    request = scene.create_request(catalog_model.Repeat.STREAM_RESUMABLE)
    chunks = []
    for chunk in scene.flow.serve(request).body:
        chunks.append(chunk)
        if len(chunks) < 3:
            gevent.sleep(1.2 * attempt.STREAM_STALL_TIMEOUT.total_seconds())
    assert b"".join(chunks) == b"".join(faulty_upstream.EVENTS)
    assert scene.good.requests == 0


def send_late_copy(request_id):
    """Answers, and sends a second copy of the answer 10 ms later."""
    yield from faulty_upstream.answer_completely(request_id)
    yield 0.01
    yield from faulty_upstream.answer_completely(request_id)


def test_late_copy_is_not_the_next_answer(build):
    """Guards against a second copy of an answer sent to the next caller."""
    scene = build(send_late_copy, faulty_upstream.answer_completely)
    scene.list(scene.bad)
    for number in range(4):
        answer, body = scene.serve(catalog_model.Repeat.SAFE, f"r{number}")
        assert body == WHOLE
        assert dict(answer.fields)["X-Request-Id"] == f"r{number}"


def test_deadline_ends_a_call_whose_bytes_never_pause():
    """Guards against a call to the store that continues after its deadline."""
    upstream = faulty_upstream.Upstream(
        faulty_upstream.send_endless_information
    )
    address = http.Address("127.0.0.1", upstream.port)
    used = connection.connect(address, SECOND)
    used.send("GET", b"GET / HTTP/1.1\r\n\r\n")
    with pytest.raises(connection.ResponseTimeoutError):
        used.receive(datetime.timedelta())
    used.close()
    upstream.stop()


def test_daemons_do_not_all_ask_the_members_of_a_silent_group():
    """Guards against probes by all daemons where one daemon's result suffices.

    On nilavu-diary-large trouble-2, 195 daemons sent 53,443 probes to members
    of groups; how many of them a peer's result would have avoided was not
    measured.
    """
    clock = clock_module.SystemClock()
    daemons = [backends.BackendStates(clock) for _ in range(40)]
    probed = []

    def notify_peers():
        for states in daemons:
            states.mark_stalled(KEY, "peer", is_local=False)

    def probe_members(backend):
        probed.append(backend)
        gevent.sleep(0.005)
        return ["gone"]

    vm = test_planner.create_vm("head")
    backend = model.Backend(key=KEY, vm=vm, model="chat", slots=9)
    jobs = []
    for number, states in enumerate(daemons):
        shared = context.AttemptContext(
            clock,
            catalog_holder.CatalogHolder(),
            None,
            states,
            doubles.SoundPath(),
            None,
            notify_peers,
            probe_members,
            random.Random(number),
            create_tracker(clock),
        )
        states.begin_request(KEY)
        states[KEY].last_progress = clock.monotonic() - 2 * SECOND
        jobs.append(gevent.spawn(shared.probe, "models", backend))
    gevent.joinall(jobs)
    gevent.sleep(2 * stalls.PROBE_JITTER.total_seconds())
    assert 1 <= len(probed) <= len(daemons) / 4
    assert all(states.is_stalled(KEY) for states in daemons)
