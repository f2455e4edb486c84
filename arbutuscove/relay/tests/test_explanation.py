"""Guards against explanations that are wrong or change what they explain."""

import copy
import datetime
import random

import eliot
import gevent
import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import shutdown as shutdown_module
from arbutuscove.relay import explanation
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.relay import placement
from arbutuscove.relay.tests import test_domains
from arbutuscove.relay.tests import test_warming

POOL = test_domains.POOL
SECOND = datetime.timedelta(seconds=1)

counts = strategies.dictionaries(
    strategies.sampled_from([1, 2, 3]), strategies.integers(0, 8)
)
situations = strategies.fixed_dictionaries(
    {
        "running": counts,
        "daemons": strategies.integers(0, 8),
        "is_known": strategies.booleans(),
        "sent": strategies.integers(0, 10),
        "paused": strategies.booleans(),
        "full": strategies.sets(strategies.sampled_from("abc")),
        "dispatchers": strategies.sampled_from(
            [(), ("own", "x"), ("x", "own")]
        ),
        "seed": strategies.integers(0, 100),
    }
)


def create_scene(situation):
    """Returns a dispatcher in domain a in a generated situation."""
    scene = test_domains.Scene()
    running = situation["running"]
    scene.loads = placement.PeerLoads(
        running=running,
        daemons=situation["daemons"],
        dispatchers=situation["dispatchers"],
        own="own",
        by_domain={"a": running, "b": {}, "c": {}}
        if situation["is_known"]
        else None,
    )
    for domain in sorted(situation["full"]):
        load = occupancy.EngineLoad(running=6, waiting=0, slots=6)
        scene.dispatcher.record_load("models", "", load, domain)
    if situation["paused"]:
        backend = scene.dispatcher.list_backends(POOL)[0]
        scene.states.pause(backend.vm, SECOND)
    return scene


def read_state(scene):
    """Returns all that requests change, in a form that compares by value."""
    selector = scene.dispatcher._selector
    flow = selector._flows._flows.get(POOL)
    return copy.deepcopy(
        (
            dict(scene.states),
            scene.states._paused,
            flow and (flow._demands, flow._shares, flow._long_part),
            {
                name: (allowance._allowed, allowance._updated_at)
                for name, allowance in selector._late_allowances.items()
            },
            selector.warming._turns._next,
            scene.dispatcher.list_waiting(),
            scene.dispatcher._waiters,
            scene.metrics.domain_choices.get_all(),
            scene.metrics.near_share.get_all(),
            selector._generator.getstate(),
        )
    )


def send(scene, number, situation):
    """Sends a request if it finds a slot at once; returns its backend."""
    request = scene.create_request(f"r{number}")
    generator = random.Random(situation["seed"])
    verdict = scene.dispatcher.explain(request, "models", generator).verdict
    if isinstance(verdict, explanation.Sent):
        return scene.dispatcher.acquire(request, "models")
    return None


@hypothesis.given(situations)
def test_an_explanation_changes_nothing(situation):
    """Guards against turns, slots and draws that an operator's look takes."""
    scene = create_scene(situation)
    for number in range(situation["sent"]):
        send(scene, number, situation)
    request = scene.create_request()
    before = read_state(scene)
    messages = []
    eliot.add_destinations(messages.append)
    messages.clear()  # of those that were kept for the first destination
    try:
        scene.dispatcher.explain(request, "models", random.Random(1))
    finally:
        eliot.remove_destination(messages.append)
    assert read_state(scene) == before
    assert not messages


@hypothesis.given(situations)
def test_the_explained_backend_is_the_chosen_one(situation):
    """Guards against an explanation of another decision than the daemon's.

    The explanation has the same random draws as the request after it.
    """
    scene = create_scene(situation)
    for number in range(situation["sent"]):
        send(scene, number, situation)
    request = scene.create_request()
    generator = copy.copy(scene.dispatcher._selector._generator)
    verdict = scene.dispatcher.explain(request, "models", generator).verdict
    match verdict:
        case explanation.Sent():
            backend = scene.dispatcher.acquire(request, "models")
            assert backend.key[0] == verdict.backend
            assert backend.vm.failure_domain == verdict.failure_domain
        case explanation.Waiting():
            sending = gevent.spawn(scene.dispatcher.acquire, request, "models")
            gevent.sleep(0)
            assert scene.dispatcher.list_waiting() == [(POOL, 1)]
            sending.kill()
        case explanation.Refused():
            with pytest.raises(model.RefusedError) as caught:
                scene.dispatcher.acquire(request, "models")
            assert caught.value.refusal.code == verdict.code


def explain(scene, **fields):
    request = scene.create_request(**fields)
    return scene.dispatcher.explain(request, "models", random.Random(1))


def test_a_wait_names_how_many_come_before():
    """Guards against a queue that an explanation does not see."""
    scene = test_domains.Scene()
    scene.loads = placement.PeerLoads(running={}, daemons=0)
    scene.send(3 * test_domains.SLOTS)
    waiting = []
    for number in range(8):
        request = scene.create_request(f"w{number}", priority=number % 2 + 1)
        waiting.append(
            gevent.spawn(scene.dispatcher.acquire, request, "models")
        )
    gevent.sleep(0)
    assert scene.dispatcher.list_waiting() == [(POOL, 8)]
    urgent = explain(scene, priority=0).verdict
    middle = explain(scene, priority=1).verdict
    last = explain(scene, priority=3).verdict
    assert urgent == explanation.Waiting(behind=0)
    assert last == explanation.Waiting(behind=8)
    assert middle == explanation.Waiting(behind=4)
    for greenlet in waiting:
        greenlet.kill()


def test_evacuated_domains_are_named():
    """Guards against a refusal without the domains that cause it."""
    scene = test_domains.Scene(by_domain={"a": {}, "b": {}, "c": {}})
    scene.dispatcher._selector._is_evacuated = lambda domain: domain == "a"
    found = explain(scene)
    assert found.evacuated == ("a",)
    assert found.verdict.failure_domain in "bc"
    states = {option.failure_domain: option.state for option in found.options}
    assert states == {"a": "evacuated", "b": "usable", "c": "usable"}
    scene.dispatcher._selector._is_evacuated = lambda domain: True
    verdict = explain(scene).verdict
    assert (verdict.status, verdict.code) == (503, "evacuated")
    assert verdict.retry_after > 0


def test_a_daemon_that_stops_refuses():
    """Guards against a backend that is named although the daemon stops."""
    scene = test_domains.Scene(by_domain={"a": {}, "b": {}, "c": {}})
    now = scene.clock.monotonic()
    scene.dispatcher.shutdown.begin(
        shutdown_module.plan_stop(now, SECOND, datetime.timedelta())
    )
    assert explain(scene).verdict.code == "draining"


def test_an_unknown_model_is_refused_and_no_queue_is_kept():
    """Guards against memory for each name that an operator asks for."""
    scene = test_domains.Scene()
    test_domains.install_engine(scene)
    verdict = explain(scene, model="none").verdict
    assert (verdict.status, verdict.code) == (503, "no_backend")
    assert not scene.dispatcher._queues


def test_a_turn_is_named_and_not_taken(monkeypatch):
    """Guards against a look that costs a warming backend its request."""
    scene = test_warming.Scene()
    scene.list(warm=2 * SECOND)
    for number in range(3):
        found = explain(scene)
        assert found.verdict.backend == "warm", number
    (option,) = found.options
    assert (option.state, option.turn_in) == ("warming", 0.0)
    assert scene.acquire() == "warm"
    # The next turn comes later than the request may wait for it.
    with monkeypatch.context() as patch:
        # The time to the turn is read twice.
        now = scene.clock.monotonic()
        patch.setattr(scene.clock, "monotonic", lambda: now)
        found = explain(scene)
    assert found.verdict == explanation.Refused(
        status=503,
        code="upstream_warming",
        retry_after=found.options[0].turn_in,
    )
    assert found.options[0].turn_in > 0
    scene.dispatcher.stop()


def test_many_backends_are_cut():
    """Guards against an answer that grows with the fleet."""
    scene = test_domains.Scene("")
    count = explanation.MAX_OPTIONS + 7
    scene.inventory.replace(
        [
            test_planner.create_vm(
                f"v{number}", fabric_domain="", slots=2, started_at_ms=number
            )
            for number in range(1, count + 1)
        ]
    )
    found = explain(scene)
    assert len(found.options) == explanation.MAX_OPTIONS
    assert found.unlisted == 7
