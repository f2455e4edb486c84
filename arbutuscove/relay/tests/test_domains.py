"""Guards against requests that leave their failure domain in vain, or wait."""

import collections
import dataclasses
import datetime
import random

import gevent
import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.relay import backends
from arbutuscove.relay import domains as domains_module
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.relay import placement
from arbutuscove.relay import selection
from arbutuscove.relay import waiting
from arbutuscove.relay.tests import test_waiting

POOL = ("models", "")
SECOND = datetime.timedelta(seconds=1)
SLOTS = 6
# One upstream in each of three failure domains, by number in its key.
NUMBERS = {"a": 1, "b": 2, "c": 3}


class Scene(test_waiting.Scene):
    """A dispatcher in domain a before one plain upstream in each domain."""

    def __init__(self, domains="abc", by_domain=None):
        self.clock = clock_module.ManualClock()
        self.loads = placement.PeerLoads(
            running={}, daemons=8, by_domain=by_domain
        )
        self.inventory = inventory_module.Inventory(self.clock)
        self.states = backends.BackendStates(self.clock)
        self.catalog = catalog_holder.CatalogHolder()
        self.metrics = metrics_module.Metrics()
        self.dispatcher = waiting.RequestDispatcher(
            self.clock,
            self.catalog,
            self.inventory,
            self.states,
            lambda: self.loads,
            random.Random(1),
            failure_domain="a",
            metrics=self.metrics,
        )
        self.inventory.replace(
            [
                test_planner.create_vm(
                    f"vm-{domain}",
                    fabric_domain="",
                    slots=SLOTS,
                    started_at_ms=NUMBERS[domain],
                    failure_domain=domain,
                )
                for domain in domains
            ]
        )

    def send(self, count, **fields):
        """Returns the failure domains that requests were sent to, counted."""
        domains = collections.Counter()
        for number in range(count):
            request = self.create_request(f"r{number}")
            backend = self.dispatcher.acquire(request, "models", **fields)
            domains[backend.vm.failure_domain] += 1
        return domains


def test_request_stays_near():
    """Guards against a way across for each of three in four requests."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    assert scene.send(3) == {"a": 3}
    key = {"service": "models", "model": "", "reason": "near"}
    assert scene.metrics.domain_choices.get(key) == 3


def test_request_does_not_wait_near_while_others_have_room():
    """Guards against a queue before the one near upstream of a service."""
    scene = Scene()
    scene.loads = placement.PeerLoads(
        running={1: 5}, daemons=8, by_domain={"a": {1: 5}, "b": {}, "c": {}}
    )
    domains = scene.send(4)
    assert domains["a"] <= 1
    assert domains["b"] + domains["c"] >= 3


def test_request_is_sent_again_elsewhere():
    """Guards against a retry that finds no upstream, as its near one failed."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    domains = scene.send(4, excluded=frozenset({("vm-a", 1)}))
    assert domains.keys() <= {"b", "c"}
    key = {"service": "models", "model": "", "reason": "no_slot"}
    assert scene.metrics.domain_choices.get(key) == 4


def test_length_of_a_prompt_reaches_the_draw_of_a_domain(monkeypatch):
    """Guards against long prompts that leave like short ones."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    lengths = []

    def draw(flows, pool, prompt_tokens, generator):
        del flows, pool, generator
        lengths.append(prompt_tokens)
        return "a"

    monkeypatch.setattr(domains_module.DomainFlows, "draw", draw)
    request = dataclasses.replace(scene.create_request("r"), prompt_tokens=4321)
    scene.dispatcher.acquire(request, "models")
    assert lengths == [4321]


def test_request_that_waits_is_drawn_no_domain(monkeypatch):
    """Guards against a part of long prompts that counts waiting ones often."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    sending = gevent.spawn(scene.send, 3 * SLOTS + 1)
    gevent.sleep(0)
    assert scene.dispatcher.list_waiting() == [(POOL, 1)]
    draws = []

    def draw(flows, pool, prompt_tokens, generator):
        del flows, pool, prompt_tokens, generator
        draws.append(1)

    monkeypatch.setattr(domains_module.DomainFlows, "draw", draw)
    scene.dispatcher._dispatch(POOL)
    assert not draws
    sending.kill()


def test_request_leaves_a_domain_without_upstreams():
    """Guards against requests that wait for a domain that serves nothing."""
    scene = Scene("bc", by_domain={"a": {}, "b": {}, "c": {}})
    assert scene.send(6).keys() == {"b", "c"}


def test_a_borrowed_slot_is_sought_in_all_domains():
    """Guards against borrowers that fill the places of their neighbors.

    The daemon owns all places near but two, and all of them are in use.
    """
    scene = Scene()
    scene.loads = placement.PeerLoads(
        running={2: 1},
        daemons=0,
        dispatchers=("own", "x", "y", "z"),
        own="own",
        by_domain={"a": {}, "b": {2: 1}, "c": {}},
    )
    assert scene.send(4) == {"a": 4}
    selector = scene.dispatcher._selector
    selector._flows._flows[POOL]._shares = {"a": 1.0}
    usage = selector.read_usage(POOL, selector.list_usable(POOL))
    assert usage.places == 4
    assert placement.count_available(usage) > 0
    assert scene.send(1).keys() <= {"b", "c"}
    key = {"service": "models", "model": "", "reason": "borrowed"}
    assert scene.metrics.domain_choices.get(key) == 1


@pytest.mark.parametrize(
    ("slow", "expected"), [("", False), ("a", True), ("aa", False)]
)
def test_places_at_slow_upstreams_do_not_keep_a_request_near(slow, expected):
    """Guards against few good upstreams near that others' daemons fill.

    The daemon owns a place at the first of two upstreams near, and none far.
    If both near are slow, the domain keeps nothing, and the draw decides.
    """
    listed = [
        placement.Candidate(
            backend=model.Backend(
                key=(f"g{number}", number),
                vm=test_planner.create_vm(f"v{number}", failure_domain=name),
                model="",
                slots=SLOTS,
            ),
            running=0.0,
            slowness=1.0,
            is_avoided=name == "a" and number < len(slow),
            free_places=number == 0,
        )
        for number, name in enumerate("aab")
    ]
    usage = placement.Usage(
        total_slots=3 * SLOTS, own=0, others=0.0, daemons=8, places=1
    )
    assert placement.must_borrow(listed, usage, "a") == expected


def test_requests_are_even_while_the_others_are_unknown():
    """Guards against a full near domain that a cut off daemon does not see."""
    scene = Scene()
    assert scene.send(9) == {"a": 3, "b": 3, "c": 3}


def test_a_service_in_one_domain_has_no_shares():
    """Guards against a change for deployments with a single domain."""
    scene = Scene("b", by_domain={"a": {}, "b": {}})
    assert scene.send(3) == {"b": 3}
    assert not scene.dispatcher._selector._flows._flows


def test_others_are_counted_in_the_domain_that_they_use():
    """Guards against a near upstream that seems as empty as the far ones."""
    scene = Scene()
    scene.loads = placement.PeerLoads(
        running={1: 4, 2: 1}, daemons=8, by_domain={"a": {1: 4}, "c": {2: 1}}
    )
    selector = scene.dispatcher._selector
    listed = selector.list_usable(POOL)
    selector.update_flow(POOL, listed, 0)
    usage = selector.read_usage(POOL, listed)
    running = {
        candidate.backend.vm.failure_domain: candidate.running
        for candidate in selector.list_candidates(POOL, listed, usage)
    }
    assert running == pytest.approx({"a": 4.0, "b": 1.0, "c": 0.0})


def test_answers_tell_the_load_of_their_own_domain():
    """Guards against far engines that count as full as the near ones are."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    load = occupancy.EngineLoad(running=SLOTS, waiting=0, slots=SLOTS)
    scene.dispatcher.record_load("models", "", load, "a")
    selector = scene.dispatcher._selector
    listed = selector.list_usable(POOL)
    selector.update_flow(POOL, listed, 0)
    assert selector.read_usage(POOL, listed).others == SLOTS


def install_engine(scene, **fields):
    """Puts an engine and a route with a gap target in force."""
    engine = catalog_model.Engine(
        models=(),
        slots=SLOTS,
        step_ms=10.0,
        per_request_ms=10.0,
        per_context_ms=0.0,
        prefill_tokens_per_ms=1.0,
        stride=2,
        loads_per_second=1.0,
        loads_at_once=1,
        formation_time=SECOND,
        typical_prompt_tokens=1,
        typical_answer_tokens=1,
    )
    engine = dataclasses.replace(engine, **fields)
    scene.catalog.apply_if_newer(
        catalog_model.Catalog(
            version=1,
            routes={"h": (create_route(SECOND / 10),)},
            services={
                "models": catalog_model.Service(
                    name="models", connections=9, engine=engine
                )
            },
            accounts=None,
            bounds=None,
        ),
        "test",
    )


def test_slots_count_only_while_steps_fit_the_gap():
    """Guards against a near domain whose streams all pause for too long."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    install_engine(scene)
    flows = scene.dispatcher._selector._flows
    (backend, *_) = scene.dispatcher.list_backends(POOL)
    # Two steps of 50 ms fit: 10 ms and four requests.
    assert flows._count_slots(POOL, backend, 1.0) == 4
    assert flows._count_slots(POOL, backend, 2.0) == 1


def create_route(gap):
    return catalog_model.Route(
        name="r",
        host="h",
        prefix="/",
        repeat=catalog_model.Repeat.STREAM_RESUMABLE,
        timeout=SECOND,
        first_byte_target=SECOND,
        gap_target=gap,
        attempts=2,
        priority=1,
        public=True,
        targets=(catalog_model.Target(service="models", weight=1.0),),
    )


def test_prompts_of_others_count_as_delay():
    """Guards against a near domain that reads prompts while others idle."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    install_engine(scene)
    flows = scene.dispatcher._selector._flows
    # Each of 1.5 events of 2 steps takes 10 ms longer, and reads 1 ms.
    delay = flows._get_delays(POOL).per_request
    assert delay == datetime.timedelta(milliseconds=1.5 * 2 * (10.0 + 1.0))


def test_huge_prompts_of_a_configuration_are_bounded():
    """Guards against a daemon that an absurd figure stops."""
    scene = Scene(by_domain={"a": {}, "b": {}, "c": {}})
    install_engine(scene, typical_prompt_tokens=2**63, step_ms=60_000.0)
    flows = scene.dispatcher._selector._flows
    assert flows._get_delays(POOL).per_request == datetime.timedelta(hours=1)


def test_loads_of_made_up_domains_are_bounded():
    """Guards against entries whose names of domains fill the memory."""
    scene = Scene()
    load = occupancy.EngineLoad(running=1, waiting=0, slots=SLOTS)
    for number in range(selection.MAX_DOMAIN_OCCUPANCIES + 10):
        scene.dispatcher.record_load("models", "", load, str(number))
    kept = scene.dispatcher._selector._domain_occupancies
    assert 0 < len(kept) <= selection.MAX_DOMAIN_OCCUPANCIES


candidates = strategies.lists(
    strategies.builds(
        lambda domain, running, **fields: (domain, running, fields),
        strategies.sampled_from("abc"),
        strategies.floats(0, 2 * SLOTS),
        is_avoided=strategies.booleans(),
        free_places=strategies.integers(-SLOTS, SLOTS),
    ),
    max_size=12,
)


@hypothesis.given(
    candidates,
    strategies.sets(strategies.integers(0, 11)),
    strategies.sampled_from(["a", "b", "c", "d", None]),
    strategies.floats(0, 200),
)
def test_no_request_waits_while_a_slot_is_free_in_any_domain(
    options, excluded, domain, running
):
    """Guards against a rule for near domains that lets requests wait.

    The domains are uneven, without upstreams, full or evacuated, which leaves
    out their upstreams.
    """
    listed = [
        placement.Candidate(
            backend=model.Backend(
                key=(f"g{number}", number),
                vm=test_planner.create_vm(f"v{number}", failure_domain=name),
                model="",
                slots=SLOTS,
            ),
            running=used,
            slowness=1.0,
            **fields,
        )
        for number, (name, used, fields) in enumerate(options)
    ]
    free = [
        option
        for option in listed
        if (option.running < SLOTS or option.free_places > 0)
        and option.backend.key[1] not in excluded
    ]
    keys = frozenset((f"g{number}", number) for number in excluded)
    chosen = placement.choose_candidate(
        listed, keys, 1.0, 1.0, running, random.Random(1), domain
    )
    if any(not option.is_avoided for option in free):
        assert chosen in free
    if chosen is not None:
        assert chosen in free


@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from("abc"), strategies.integers(0, 60)
    ),
    strategies.integers(0, 60),
)
@hypothesis.settings(max_examples=50)
def test_shares_take_no_slot_away(waiting_elsewhere, queued):
    """Guards against slots that stay empty as the shares lead elsewhere.

    Whatever the demand of the domains, a daemon without others at the upstreams
    uses all their slots before a request waits.
    """
    scene = Scene()
    scene.loads = placement.PeerLoads(
        running={},
        daemons=0,
        by_domain={"a": {}, "b": {}, "c": {}},
        waiting={
            name: {POOL: float(count)}
            for name, count in waiting_elsewhere.items()
        },
    )
    selector = scene.dispatcher._selector
    selector.update_flow(POOL, selector.list_usable(POOL), queued)
    assert sum(scene.send(3 * SLOTS).values()) == 3 * SLOTS
