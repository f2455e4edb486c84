"""Guards against requests sent on although a part of them crashes upstreams."""

import collections
import dataclasses
import random

import gevent
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.crashes import exposures
from arbutuscove.crashes import holder
from arbutuscove.crashes import liveness
from arbutuscove.crashes import tracker
from arbutuscove.crashes import traits
from arbutuscove.crashes import verdicts
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths.tests import doubles
from arbutuscove.platform import upstreams
from arbutuscove.relay import attempt
from arbutuscove.relay import backends
from arbutuscove.relay import budget
from arbutuscove.relay import context as context_module
from arbutuscove.relay import flow
from arbutuscove.relay import model
from arbutuscove.relay import placement
from arbutuscove.relay import waiting
from arbutuscove.relay.tests import test_troubled
from arbutuscove.relay.tests import test_waiting
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.transport import pool

CRASHING = ("first", "crash")
SOUND = ("first",)
UPSTREAMS = 4


def crash(request_id):
    """Sends the head of a stream and ends the connection."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    yield faulty_upstream.PAUSE_SECONDS
    yield faulty_upstream.Ending.CLOSE


def build_midway_crash():
    """Returns a behaviour that ends each connection after one more event."""
    attempts = collections.Counter()

    def crash_midway(request_id):
        event = faulty_upstream.EVENTS[attempts[request_id]]
        attempts[request_id] += 1
        yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
        yield faulty_upstream.build_chunk(event)
        yield faulty_upstream.PAUSE_SECONDS
        yield faulty_upstream.Ending.CLOSE

    return crash_midway


class Scene:
    """A flow before several upstreams of one plain service."""

    def __init__(self, behaviour, count=UPSTREAMS):
        clock = clock_module.SystemClock()
        inventory = inventory_module.Inventory(clock)
        states = backends.BackendStates(clock)
        catalog = catalog_holder.CatalogHolder()
        self.clock = clock
        self.liveness = liveness.Liveness.DEAD
        self.evidence = holder.EvidenceHolder(
            clock, verdicts.VerdictKeeper(None, clock, lambda key: False)
        )
        self.tracker = tracker.CrashTracker(
            clock,
            inventory.find,
            lambda vm: self.liveness,
            lambda data: None,
            lambda key: False,
            self.evidence,
        )
        self.dispatcher = waiting.RequestDispatcher(
            clock,
            catalog,
            inventory,
            states,
            lambda: placement.PeerLoads(running={}, daemons=0),
            random.Random(1),
        )
        self.dispatcher.start(None)
        self.pool = pool.ConnectionPool(clock)
        context = context_module.AttemptContext(
            clock,
            catalog,
            self.dispatcher,
            states,
            doubles.build_connections(
                clock, self.pool, lambda service: list(inventory.list_vms())
            ),
            upstreams.HttpCodec(),
            lambda: None,
            lambda backend: [],
            random.Random(1),
            self.tracker,
        )
        allowance = budget.RetryAllowance(
            ratio=1.0, slack=99.0, window=test_troubled.SECOND
        )
        self.flow = flow.Flow(context, allowance, lambda: 1, random.Random(1))
        self.upstreams = [
            faulty_upstream.Upstream(behaviour) for _ in range(count)
        ]
        inventory.replace(
            test_planner.create_vm(
                f"vm{number}",
                fabric_domain="",
                address=http.Address("127.0.0.1", upstream.port),
            )
            for number, upstream in enumerate(self.upstreams)
        )
        self.number = 0

    def create_request(
        self, parts, repeat=catalog_model.Repeat.STREAM_RESUMABLE
    ):
        """Returns a new request."""
        self.number += 1
        name = f"r{self.number}"
        now = self.clock.monotonic()
        return model.Request(
            request_id=name,
            method="POST",
            target="/",
            fields=(("X-Request-Id", name),),
            body=name.encode(),
            route=dataclasses.replace(
                test_waiting.ROUTE,
                repeat=repeat,
                first_byte_target=test_troubled.SECOND,
            ),
            account=None,
            arrived=now,
            deadline=now + test_troubled.DEADLINE,
            prompt_parts=parts,
        )

    def send(self, parts, repeat=catalog_model.Repeat.STREAM_RESUMABLE):
        """Returns the answer to a new request, or its refusal."""
        return self.serve(self.create_request(parts, repeat))

    def serve(self, request):
        """Returns the answer to a request, or its refusal."""
        try:
            answer = self.flow.serve(request)
            list(answer.body)
        except model.RefusedError as error:
            return error.refusal
        return answer

    def count_requests(self):
        return sum(upstream.requests for upstream in self.upstreams)

    def stop(self):
        self.dispatcher.stop()
        self.pool.stop()
        for upstream in self.upstreams:
            upstream.stop()


@pytest.fixture(name="scene")
def fixture_scene():
    scene = Scene(crash)
    yield scene
    scene.stop()


def test_crashing_part_is_refused_without_a_send(scene):
    """Guards against a part that crashes one upstream after the other."""
    first = scene.send(CRASHING)
    assert (first.status, first.not_run) == (502, False)
    assert scene.count_requests() == 1
    scene.send(CRASHING)
    assert scene.count_requests() == 2
    for _ in range(5):
        refusal = scene.send(CRASHING)
        assert (refusal.status, refusal.not_run) == (503, True)
        assert refusal.code == "request_quarantined"
        assert refusal.retry_after > test_troubled.SECOND
    assert scene.count_requests() == 2
    # Nor does it wait for a slot: the dispatcher is not asked.
    scene.dispatcher.acquire = None
    assert scene.send(CRASHING).code == "request_quarantined"


def test_part_that_crashes_after_an_event_is_refused_without_a_send():
    """Guards against a part that crashes upstreams after the first event.

    The first stream goes on at one other upstream, and no more.
    """
    scene = Scene(build_midway_crash())
    try:
        with pytest.raises(model.BrokenAnswerError):
            scene.send(CRASHING)
        assert scene.count_requests() == 2
        for _ in range(3):
            assert scene.send(CRASHING).code == "request_quarantined"
        assert scene.count_requests() == 2
    finally:
        scene.stop()


def test_cut_stream_of_a_living_upstream_is_sent_again(scene):
    """Guards against requests given up since a connection broke."""
    scene.liveness = liveness.Liveness.ALIVE
    for _ in range(3):
        scene.send(CRASHING)
    assert scene.count_requests() >= 6
    assert scene.evidence.get_fingerprint() == 0


def test_sound_answers_clear_the_part_that_they_share():
    """Guards against refusals of sound requests beside the crashing ones."""

    def answer(request_id):
        if request_id in (b"r1", b"r2"):
            yield from crash(request_id)
        yield from faulty_upstream.answer_stream(request_id)

    scene = Scene(answer)
    try:
        for parts in (CRASHING, CRASHING):
            assert scene.send(parts).status == 502
        for _ in range(4):
            assert scene.send(SOUND).status == 200
        assert scene.send(CRASHING).status == 503
    finally:
        scene.stop()


@pytest.mark.parametrize(
    "repeat",
    [catalog_model.Repeat.STREAM_RESUMABLE, catalog_model.Repeat.SAFE],
)
def test_refusal_after_a_lost_attempt_does_not_claim_that_nothing_ran(repeat):
    """Guards against a false promise, if the verdict comes between attempts."""
    scene = Scene(lambda request_id: iter([None]))
    scene.liveness = liveness.Liveness.ALIVE
    scene.tracker.check = lambda request: (
        test_troubled.SECOND if scene.count_requests() else None
    )
    try:
        refusal = scene.send(CRASHING, repeat)
    finally:
        scene.stop()
    assert scene.count_requests() == 1
    assert (refusal.status, refusal.not_run) == (502, False)


def test_request_that_did_not_run_is_sent_again():
    """Guards against refusals by busy upstreams that end a request."""
    sent = []

    def answer(request_id):
        sent.append(request_id)
        if request_id == b"r1":
            yield from crash(request_id)
        elif sent.count(request_id) == 1:
            yield b"HTTP/1.1 503 -\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        else:
            yield from faulty_upstream.answer_stream(request_id)

    scene = Scene(answer)
    try:
        assert scene.send(CRASHING).status == 502
        assert scene.send(CRASHING).status == 200
    finally:
        scene.stop()
    assert sent == [b"r1", b"r2", b"r2"]


def test_request_that_waits_in_an_engine_ends_with_the_verdict(monkeypatch):
    """Guards against a crash by a request that was sent before the verdict."""
    # Otherwise the wait would end as a stall; at the deadline it ends with 504.
    monkeypatch.setattr(
        attempt, "FIRST_BYTE_STALL_TIMEOUT", 2 * test_troubled.DEADLINE
    )

    def answer(request_id):
        if request_id == b"r1":
            yield test_troubled.DEADLINE.total_seconds()
        yield from crash(request_id)

    scene = Scene(answer)
    try:
        waiting_request = gevent.spawn(scene.send, CRASHING)
        while not scene.count_requests():
            gevent.sleep(0.01)
        for _ in range(2):
            assert scene.send(CRASHING).status == 502
        refusal = waiting_request.get()
        assert (refusal.status, refusal.not_run) == (502, False)
        assert scene.count_requests() == 3
    finally:
        scene.stop()


def lose_at(scene, vm_number, has_head):
    """Loses a request at a crashed engine; returns the request."""
    lost = attempt.Attempt(
        scene.flow.context, scene.create_request(CRASHING), "models"
    )
    lost.backend = model.Backend(
        key=(f"chat~{vm_number}", 1),
        vm=test_planner.create_vm(f"engine{vm_number}"),
        model="chat",
        slots=4,
    )
    lost._exposure = scene.tracker.begin(
        lost._request, lost.backend.vm, has_begun=False
    )
    if has_head:
        lost._head_at = scene.clock.monotonic()
        scene.tracker.record_begin(lost._exposure)
    lost.record_loss("cut", is_cut=True)
    return lost._request


def test_request_queued_in_an_engine_is_not_blamed_like_a_running_one(scene):
    """Guards against refusals of requests that waited where a VM crashed.

    Two deaths convict a part that was running, but none that may have waited.
    """
    queued = lose_at(scene, 1, has_head=False)
    assert scene.tracker.may_repeat(queued)
    lose_at(scene, 2, has_head=False)
    assert not scene.evidence.culprits
    lose_at(scene, 3, has_head=False)
    assert scene.tracker.check(queued) is not None


def test_running_request_is_blamed_from_its_head_on(scene):
    """Guards against blame of requests whose answer had not begun."""
    running = lose_at(scene, 1, has_head=True)
    assert not scene.tracker.may_repeat(running)
    lose_at(scene, 2, has_head=True)
    assert scene.tracker.check(running) is not None


@pytest.mark.parametrize("end", ["caller", "deadline"])
def test_upstream_that_crashes_after_the_end_of_an_attempt_is_noticed(end):
    """Guards against a request that crashes upstreams unseen.

    Its caller leaves, or its deadline passes, and it goes on at the upstream.
    """

    def wait(request_id):
        yield test_troubled.DEADLINE.total_seconds() * 2

    scene = Scene(wait)
    request = scene.create_request((), catalog_model.Repeat.ONCE)
    if end == "deadline":
        left = test_troubled.SECOND / 10
        request = dataclasses.replace(
            request, deadline=scene.clock.monotonic() + left
        )
    try:
        caller = gevent.spawn(scene.serve, request)
        while not scene.count_requests():
            gevent.sleep(0.01)
        if end == "caller":
            caller.kill()
        caller.join()
        gevent.sleep(exposures.EXAMINE_DELAY.total_seconds())
        scene.tracker.examine_silent()
        gevent.sleep(0.01)
        whole = traits.hash_request(request.encode_identity())
        assert scene.evidence.is_blamed(whole)
    finally:
        scene.stop()


def test_events_of_a_stream_are_signs_of_life():
    """Guards against examinations of a VM that sends events all the time."""

    def answer(request_id):
        if request_id == b"r1":
            yield test_troubled.DEADLINE.total_seconds()
        yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
        for number in range(1, 20):
            event = b"id: %d\ndata: x\n\n" % number
            yield faulty_upstream.build_chunk(event)
            yield faulty_upstream.PAUSE_SECONDS
        yield faulty_upstream.LAST_CHUNK

    scene = Scene(answer, count=1)
    examined = []
    scene.tracker._examine = examined.append
    try:
        left = gevent.spawn(scene.send, ())
        while not scene.count_requests():
            gevent.sleep(0.01)
        stream = gevent.spawn(scene.send, ())
        while scene.count_requests() < 2:
            gevent.sleep(0.01)
        left.kill()
        while not stream.ready():
            gevent.sleep(faulty_upstream.PAUSE_SECONDS)
            scene.tracker.examine_silent()
        assert stream.get().status == 200
        assert not examined
    finally:
        scene.stop()
