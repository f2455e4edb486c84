"""Guards against warming backends that are flooded, left idle or blamed."""

import datetime
import random
import types

import gevent
import pytest

from arbutuscove.balancing import cold
from arbutuscove.balancing.tests import test_cold
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import notices
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import backends
from arbutuscove.relay import model
from arbutuscove.relay import placement
from arbutuscove.relay import waiting
from arbutuscove.relay import warming
from arbutuscove.relay.tests import test_waiting

SECOND = datetime.timedelta(seconds=1)
RATE = 10.0
SPACE = cold.WINDOW / RATE
BOUND = cold.Bound(overshoot=1.5, slack=5.0)


class Scene(test_waiting.Scene):
    """A dispatcher before warming VMs, alone or with few of the turns."""

    def __init__(self, rate=RATE, bound=BOUND, view=None):
        super().__init__()
        self.dispatcher.stop()
        self.warming = warming.WarmingBackends(
            self.clock,
            self.catalog,
            self.inventory,
            bound,
            lambda: view or cold.create_lone_view(),
        )
        self.dispatcher = waiting.RequestDispatcher(
            self.clock,
            self.catalog,
            self.inventory,
            self.states,
            lambda: self.loads,
            random.Random(1),
            warming=self.warming,
        )
        self.dispatcher.start(None)
        self.catalog.apply_if_newer(create_catalog(rate), "test")

    def list(self, **lefts):
        """Lists plain VMs of 20 slots with their time left to warm."""
        self.inventory.replace(
            test_planner.create_vm(
                name, fabric_domain="", slots=20, warming_left=left
            )
            for name, left in lefts.items()
        )

    def acquire(self, name="x", **fields):
        request = self.create_request(name, **fields)
        return self.dispatcher.acquire(request, "models").key[0]

    def count_sent(self, requests):
        """Returns how many of some requests are assigned at once."""

        def try_to_acquire(name):
            try:
                return self.acquire(name)
            except model.RefusedError:
                return None

        jobs = [
            gevent.spawn(try_to_acquire, f"s{number}")
            for number in range(requests)
        ]
        gevent.sleep(0.01)
        sent = sum(job.value is not None for job in jobs)
        gevent.killall(jobs)
        return sent


def create_catalog(rate):
    return catalog_model.Catalog(
        version=1,
        routes=types.MappingProxyType({}),
        services=types.MappingProxyType(
            {
                "models": catalog_model.Service(
                    name="models",
                    connections=100,
                    warming_time=SECOND,
                    warming_rate=rate,
                )
            }
        ),
        accounts=None,
        bounds=catalog_model.CallerBounds(
            header_bytes_limit=1,
            body_bytes_limit=1,
            head_timeout=SECOND,
            idle_timeout=SECOND,
        ),
    )


@pytest.fixture(name="build")
def build_fixture():
    scenes = []

    def build(**fields):
        scenes.append(Scene(**fields))
        return scenes[-1]

    yield build
    for scene in scenes:
        scene.dispatcher.stop()


def test_warming_backend_gets_one_request_a_turn(build):
    """Guards against a returned VM that gets all waiting requests at once."""
    scene = build()
    scene.list(cold=3 * SECOND)
    assert scene.count_sent(9) == 1
    assert scene.count_sent(9) == 0
    gevent.sleep(SPACE.total_seconds())
    assert scene.count_sent(9) == 1


def test_requests_go_to_others_while_there_is_no_turn(build):
    """Guards against requests that wait for a warming VM beside a free one."""
    scene = build()
    scene.list(cold=3 * SECOND, steady=0 * SECOND)
    names = [scene.acquire(str(number)) for number in range(12)]
    assert names.count("cold") == 1
    assert names.count("steady") == 11


def test_turn_is_used_while_the_others_are_full(build):
    """Guards against returned VMs that stay idle beside overfull ones."""
    scene = build()
    scene.list(cold=3 * SECOND, steady=0 * SECOND)
    names = [scene.acquire(str(number)) for number in range(21)]
    assert names.count("steady") == 20
    assert names.count("cold") == 1


def test_second_attempt_takes_a_turn_too(build):
    """Guards against retries that are not counted."""
    scene = build()
    scene.list(cold=3 * SECOND, steady=0 * SECOND)
    excluded = frozenset({("steady", 1)})
    request = scene.create_request(deadline=scene.clock.monotonic() + SECOND)
    first = scene.dispatcher.acquire(
        request, "models", excluded, may_have_run=True
    )
    assert first.key[0] == "cold"
    started = scene.clock.monotonic()
    scene.dispatcher.acquire(request, "models", excluded, may_have_run=True)
    assert scene.clock.monotonic() - started >= 0.7 * SPACE


def test_group_warms_while_a_member_warms(build):
    """Guards against a flood at the head of a group with a cold member."""
    scene = build()
    scene.inventory.replace(
        [
            test_planner.create_member("h", 0, "open", warming_left=0 * SECOND),
            test_planner.create_member("m", 1, "ready", warming_left=SECOND),
        ]
    )
    pools = backends.build_backend_pools(scene.inventory.list_vms())
    (backend,) = pools[("models", "chat")]
    assert scene.warming.is_warming(backend.key)
    gevent.sleep(1.01)
    assert not scene.warming.is_warming(backend.key)


def test_new_start_that_says_nothing_warms_for_the_services_time(build):
    """Guards against a flood at a VM whose entry lacks the time left."""
    scene = build()
    scene.list(silent=None)
    assert scene.count_sent(5) == 1
    gevent.sleep((SECOND + cold.TAIL).total_seconds())
    assert scene.count_sent(5) == 5


class ManualScene:
    """Turns of some daemons at one VM, on a manual clock, without requests."""

    def __init__(self, daemons, rate, bound):
        self.clock = clock_module.ManualClock()
        self.inventory = inventory_module.Inventory(self.clock)
        catalog = catalog_holder.CatalogHolder()
        catalog.apply_if_newer(create_catalog(rate), "test")
        names = frozenset(f"d{number}" for number in range(daemons))
        self.daemons = [
            warming.WarmingBackends(
                self.clock,
                catalog,
                self.inventory,
                bound,
                lambda own=own: cold.FleetView(
                    own=own, others=names - {own}, size=daemons
                ),
            )
            for own in sorted(names)
        ]
        self.sent = []

    def list(self, left):
        vm = test_planner.create_vm(
            "vm", fabric_domain="", slots=20, warming_left=left
        )
        self.inventory.replace([vm])
        ((self.backend,),) = backends.build_backend_pools([vm]).values()

    def send_all(self, most):
        """Sends from all daemons as long as they may, at most so many."""
        for daemon in self.daemons:
            for _ in range(most):
                if self.backend.key not in daemon.list_keys():
                    daemon.record_send(self.backend)
                elif daemon.has_turn(self.backend):
                    daemon.take_turn(self.backend)
                else:
                    break
                self.sent.append(self.clock.monotonic())

    def run(self, duration, most):
        end = self.clock.monotonic() + duration
        while self.clock.monotonic() < end:
            self.send_all(most)
            self.clock.advance(SECOND / 100)


@pytest.mark.parametrize("since_end", [0.0, 0.005, 0.1, 0.4, 0.7])
def test_vm_that_becomes_cold_soon_after_its_end_gets_the_bound(since_end):
    """Guards against a flood between the end and the news of the next time.

    Load pattern: four daemons have requests for one VM at every moment. It is
    cold again some time after it was warm, which they learn 0.25 s later.
    """
    bound = cold.Bound(overshoot=1.5, slack=2.0)
    scene = ManualScene(4, 2.0, bound)
    scene.list(3 * SECOND)
    scene.run((3 + since_end) * SECOND, most=2)
    cold_at = scene.clock.monotonic()
    scene.run(SECOND / 4, most=2)
    scene.list(3 * SECOND)
    scene.run(2 * SECOND, most=2)
    # What was sent while the VM was warm does not count.
    counted = [at for at in scene.sent if at < 3 * SECOND or at >= cold_at]
    assert test_cold.find_most(counted) <= bound.allow(2.0)


def test_vm_is_free_a_second_after_its_end():
    """Guards against a limit that stays on a warm VM."""
    scene = ManualScene(4, 2.0, cold.Bound(overshoot=1.5, slack=2.0))
    scene.list(SECOND)
    scene.run(SECOND + cold.TAIL, most=2)
    scene.sent.clear()
    scene.send_all(5)
    assert len(scene.sent) == 20


def test_request_without_a_turn_in_time_is_told_when_one_comes(build):
    """Guards against requests that wait beyond their time for a turn."""
    scene = build(rate=0.5)
    scene.list(cold=3 * SECOND)
    scene.acquire()
    with pytest.raises(model.RefusedError) as caught:
        scene.acquire(deadline=scene.clock.monotonic() + 30 * SECOND)
    refusal = caught.value.refusal
    assert refusal.code == "upstream_warming"
    assert refusal.not_run
    # The next turn comes after 2.04 s.
    assert 1.9 * SECOND < refusal.retry_after < 2.1 * SECOND


def test_daemon_without_turns_refuses_until_the_end_of_the_warming(build):
    """Guards against a daemon that sends although it does not know the rest."""
    view = cold.FleetView(own="d", others=frozenset(), is_settled=False)
    scene = build(view=view)
    scene.list(cold=2 * SECOND)
    with pytest.raises(model.RefusedError) as caught:
        scene.acquire(deadline=scene.clock.monotonic() + 30 * SECOND)
    assert 1.9 * SECOND < caught.value.refusal.retry_after <= 2 * SECOND


def test_resumed_request_waits_for_its_turn(build):
    """Guards against streams that break while only warming VMs are left."""
    scene = build(rate=2.0)
    scene.list(cold=3 * SECOND)
    scene.acquire()
    request = scene.create_request("resumed")
    backend = scene.dispatcher.acquire(request, "models", is_resumed=True)
    assert backend.key[0] == "cold"


def test_vm_that_becomes_cold_again_takes_turns_again(build):
    """Guards against a flood at a running VM that becomes cold."""
    scene = build()
    scene.list(vm=0 * SECOND)
    assert scene.count_sent(5) == 5
    vm = scene.inventory.find("vm")
    notice = notices.Notice(warming_left=3 * SECOND)
    scene.dispatcher.record_notice(vm, notice)
    # What was sent before the notice used the turn.
    assert scene.count_sent(5) == 0
    gevent.sleep(SPACE.total_seconds())
    assert scene.count_sent(5) == 1
    assert scene.count_sent(5) == 0


@pytest.mark.parametrize("fields", [{"bound": None}, {"rate": 0.0}])
def test_deployment_without_a_bound_has_no_warming_backends(build, fields):
    """Guards against limits where a deployment asks for none."""
    scene = build(**fields)
    scene.list(cold=3 * SECOND)
    assert scene.count_sent(9) == 9


@pytest.mark.parametrize(
    ("overshoot", "slack"), [(0.0, 0.0), (1e300, 1e300), (0.0, 1e-9)]
)
def test_odd_bounds_stop_nothing(build, overshoot, slack):
    """Guards against a daemon that fails on odd settings."""
    scene = build(bound=cold.Bound(overshoot=overshoot, slack=slack))
    scene.list(cold=3 * SECOND, steady=0 * SECOND)
    names = [scene.acquire(str(number)) for number in range(9)]
    assert names.count("cold") == 1


def test_sends_and_passes_are_counted(build):
    """Guards against an operator who cannot see the turns at work."""
    scene = build()
    scene.list(cold=3 * SECOND, steady=0 * SECOND)
    for number in range(4):
        scene.acquire(str(number))
    metrics = scene.warming.metrics
    assert metrics.warming_backends.get({}) == 1
    assert metrics.warming_sends.get({"service": "models"}) == 1
    assert metrics.warming_passes.get({"service": "models"}) >= 1


def test_warming_candidate_is_compared_with_each_sample():
    """Guards against turns that are lost as the sample left them out."""

    def create(number, running, **fields):
        vm = test_planner.create_vm(f"v{number}", started_at_ms=number)
        backend = model.Backend(key=vm.identity, vm=vm, model="", slots=9)
        return placement.Candidate(
            backend=backend,
            running=running,
            slowness=1.0,
            is_avoided=False,
            **fields,
        )

    candidates = [create(number, 3) for number in range(40)]
    candidates.append(create(99, 0, is_warming=True))
    for seed in range(20):
        chosen = placement.choose_candidate(
            candidates, frozenset(), 6.0, 0.3, 120, random.Random(seed)
        )
        assert chosen.is_warming


@pytest.mark.parametrize("is_warming", [True, False])
def test_pauses_after_a_start_are_no_reason_to_blame(is_warming):
    """Guards against returned groups that count as slow or stalled."""
    clock = clock_module.ManualClock()
    key = ("chat~5", 5)
    states = backends.BackendStates(clock, lambda _: is_warming)
    states.begin_request(key)
    states.begin_answer(key)
    for _ in range(30):
        states.record_progress(key, 9.0)
    assert states.is_slow(key) != is_warming
    clock.advance(5 * SECOND)
    assert states.is_past_stall_timeout(key, SECOND) != is_warming


def test_request_that_waits_is_refused_once_no_turn_comes_in_time(build):
    """Guards against requests that wait while others take the turns."""
    scene = build(rate=20.0)
    scene.list(cold=3 * SECOND)
    scene.acquire()
    # Both can be on time with the next turn, which one of them takes.
    requests = [scene.create_request(f"w{number}") for number in range(2)]

    def try_to_acquire(request):
        try:
            return scene.dispatcher.acquire(request, "models").key[0]
        except model.RefusedError as error:
            return error.refusal.code

    scene.dispatcher.record_first_byte(requests[0], "models", 0 * SECOND)
    jobs = [gevent.spawn(try_to_acquire, request) for request in requests]
    gevent.joinall(jobs, timeout=1)
    assert sorted(job.value for job in jobs) == ["cold", "upstream_warming"]


def test_a_round_reads_the_reports_of_warming_vms_once():
    """Guards against a cost of each request that grows with its square."""
    scene = Scene()
    scene.list(**{f"vm{number}": 5 * SECOND for number in range(40)})
    scene.warming.list_keys()
    reports = scene.inventory.warming
    reads = []
    list_ends = reports.list_ends

    def count():
        reads.append(1)
        return list_ends()

    reports.list_ends = count
    scene.acquire()
    assert len(reads) <= 1


def test_ended_reports_are_dropped():
    """Guards against reports that are read for each request for ever."""
    scene = Scene()
    scene.list(a=SECOND / 20)
    assert scene.warming.list_keys()
    gevent.sleep(0.06)
    assert not scene.warming.is_warming(("a", 1))
    gevent.sleep(0.1)
    assert scene.warming.list_keys()
    assert scene.inventory.warming.is_empty()
    gevent.sleep(cold.TAIL.total_seconds())
    assert not scene.warming.list_keys()
    assert not scene.warming._ends
