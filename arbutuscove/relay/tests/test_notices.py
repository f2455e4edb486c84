"""Guards against requests sent to upstreams that want none.

Upstreams say so themselves, in the heads of their answers.
"""

import dataclasses

import gevent
import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import notices
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import backends
from arbutuscove.relay import model
from arbutuscove.relay.tests import test_refusals
from arbutuscove.relay.tests import test_troubled
from arbutuscove.relay.tests import test_waiting
from arbutuscove.standins import faulty_upstream

LEAVING = b"Server-Leaving: 1"
BUSY = b"X-Not-Run: 1\r\nRetry-After: 3\r\n"
SECOND = test_troubled.SECOND


@pytest.fixture(name="build")
def build_fixture():
    scenes = []

    def build(bad, good=faulty_upstream.answer_completely):
        scenes.append(test_troubled.Scene(bad, good))
        return scenes[-1]

    yield build
    for scene in scenes:
        scene.stop()


def answer_leaving(request_id):
    """Sends a complete answer of an upstream that leaves."""
    length = b"Content-Length: 5"
    yield faulty_upstream.build_head(request_id, length, LEAVING) + b"whole"


def fail_leaving(request_id):
    """Sends a failure of an upstream that leaves."""
    yield test_refusals.build_refusal(404, request_id, LEAVING + b"\r\n")


def refuse_with_pause(request_id):
    """Refuses a request and asks for three seconds without requests."""
    yield test_refusals.build_refusal(503, request_id, BUSY)


def refuse_with_pause_unnamed(request_id):
    """Does the same without naming the request."""
    yield test_refusals.build_refusal(503, None, BUSY)


@pytest.mark.parametrize("behaviour", [answer_leaving, fail_leaving])
@pytest.mark.parametrize(
    "repeat", [catalog_model.Repeat.SAFE, catalog_model.Repeat.ONCE]
)
def test_upstream_that_says_that_it_leaves_gets_nothing_more(
    build, behaviour, repeat
):
    """Guards against requests lost at an upstream that leaves unlisted."""
    scene = build(behaviour)
    for number in range(11):
        scene.serve(repeat, f"r{number}")
    assert (scene.bad.requests, scene.good.requests) == (1, 10)


@pytest.mark.parametrize(
    "behaviour", [refuse_with_pause, refuse_with_pause_unnamed]
)
@pytest.mark.parametrize(
    "repeat", [catalog_model.Repeat.SAFE, catalog_model.Repeat.ONCE]
)
def test_upstream_that_asks_for_a_pause_gets_nothing_meanwhile(
    build, behaviour, repeat
):
    """Guards against a busy upstream that is asked again at once."""
    scene = build(behaviour)
    for number in range(20):
        scene.serve(repeat, f"r{number}")
    assert (scene.bad.requests, scene.good.requests) == (1, 20)


def test_callers_are_told_when_all_upstreams_pause(build):
    """Guards against callers held, or sent back too soon, for nothing."""
    scene = build(refuse_with_pause, refuse_with_pause)
    scene.list(scene.bad, scene.good)
    first = test_refusals.catch_refusal(scene, catalog_model.Repeat.SAFE, 2)
    assert (first.status, first.not_run) == (503, True)
    assert 2 * SECOND < first.retry_after <= 3 * SECOND
    began = scene.clock.monotonic()
    second = test_refusals.catch_refusal(scene, catalog_model.Repeat.ONCE)
    assert scene.clock.monotonic() - began < SECOND
    assert (second.status, second.not_run) == (503, True)
    assert 1 * SECOND < second.retry_after <= 3 * SECOND
    assert scene.bad.requests + scene.good.requests == 2


def test_waiting_requests_are_refused_as_the_last_upstream_pauses():
    """Guards against requests that wait for an upstream which wants none."""
    scene = test_waiting.Scene()
    scene.add_vm()
    try:
        for number in range(2):
            scene.dispatcher.acquire(
                scene.create_request(f"r{number}"), "models"
            )
        waiter = gevent.spawn(
            scene.dispatcher.acquire,
            scene.create_request("waits"),
            "models",
        )
        gevent.sleep(0.01)
        (vm,) = scene.inventory.list_vms()
        scene.dispatcher.record_notice(vm, notices.Notice(pause=9 * SECOND))
        with pytest.raises(model.RefusedError) as caught:
            waiter.get()
        assert caught.value.refusal.code == "upstream_paused"
        assert caught.value.refusal.retry_after > 8 * SECOND
    finally:
        scene.dispatcher.stop()


def test_notice_of_another_vm_at_the_address_is_ignored():
    """Guards against a sound VM left out for what another one says."""
    scene = test_waiting.Scene()
    scene.add_vm()
    try:
        (vm,) = scene.inventory.list_vms()
        notice = notices.Notice(leaving=True, pause=SECOND, sender="other")
        scene.dispatcher.record_notice(vm, notice)
        assert scene.dispatcher.acquire(scene.create_request(), "models")
    finally:
        scene.dispatcher.stop()


def test_pause_is_over_after_its_time_and_with_a_new_start():
    """Guards against an upstream that stays out after its pause."""
    clock = clock_module.ManualClock()
    states = backends.BackendStates(clock)
    vm = test_planner.create_vm("a")
    states.pause(vm, 3 * SECOND)
    states.pause(vm, SECOND)
    restarted = dataclasses.replace(vm, started_at_ms=2)
    assert states.is_paused(vm) and not states.is_paused(restarted)
    clock.advance(2.9 * SECOND)
    assert states.is_paused(vm)
    clock.advance(0.2 * SECOND)
    assert not states.is_paused(vm)


def test_pauses_are_bounded():
    """Guards against memory that grows with each start of a VM."""
    states = backends.BackendStates(clock_module.ManualClock())
    vms = [
        test_planner.create_vm("a", started_at_ms=number)
        for number in range(backends.MAX_PAUSED_VMS + 5)
    ]
    for vm in vms:
        states.pause(vm, SECOND)
    assert sum(map(states.is_paused, vms)) == backends.MAX_PAUSED_VMS
    assert states.is_paused(vms[-1]) and not states.is_paused(vms[0])


def test_group_leaves_with_the_notice_of_any_member():
    """Guards against streams begun at a group that is about to break."""
    for leaver in ("m0", "m1"):
        scene = test_waiting.Scene()
        scene.inventory.replace(
            test_planner.create_member(f"m{rank}", rank, state)
            for rank, state in enumerate(("open", "ready"))
        )
        try:
            pool = ("models", "chat")
            assert scene.dispatcher.list_backends(pool)
            scene.inventory.record_leaving((leaver, 1), is_local=True)
            assert not scene.dispatcher.list_backends(pool)
        finally:
            scene.dispatcher.stop()
