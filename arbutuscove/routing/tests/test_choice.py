"""Tests of the choice of a replica and of the division of credits."""

import collections
import datetime
import random

import hypothesis
from hypothesis import strategies

from arbutuscove.replicas import model
from arbutuscove.routing import choice
from arbutuscove.routing import credits
from arbutuscove.routing import model as routing_model
from arbutuscove.upstreams import protocol

SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()
BULK = routing_model.Request(priority=1)
URGENT = routing_model.Request(priority=0)
FLOORS = (0.4, 0.2, 0.1)


def _serve(name, slots=8, running=0, at=0.0, kv_used=0.0):
    return model.ServingReplica(
        replica=name,
        service="s",
        fabric_domain="f",
        generation=1,
        leader=protocol.Member(name=name, address=""),
        slots=slots,
        running=running,
        queued=0,
        reported_at=at * SECOND,
        kv_used=kv_used,
    )


def _build(servings, demands=credits.SINGLE_DAEMON, settings=None):
    chooser = choice.Chooser(random.Random(1), settings)
    chooser.refresh(servings, demands, FLOORS, ZERO)
    return chooser


def _fill(chooser, request, now=ZERO):
    replicas = []
    while (serving := chooser.choose(request, now)) is not None:
        replicas.append(serving.replica)
    return replicas


def test_choice_own_work_corrects_late_report():
    """Work sent since the last report counts until a newer report."""
    chooser = _build([_serve("r", at=0.0)])
    for _ in range(3):
        chooser.choose(BULK, SECOND)
    assert chooser.get_load("r") == 3
    servings = [_serve("r", running=5, at=0.5)]
    chooser.refresh(servings, credits.SINGLE_DAEMON, FLOORS, 2 * SECOND)
    assert chooser.get_load("r") == 8
    servings = [_serve("r", running=5, at=2.0)]
    chooser.refresh(servings, credits.SINGLE_DAEMON, FLOORS, 3 * SECOND)
    assert chooser.get_load("r") == 5


def test_choice_leaves_slots_for_urgent_work():
    """Bulk work that fills a replica blocks urgent work in the engine."""
    chooser = _build([_serve("r")])
    assert len(_fill(chooser, BULK)) == 6
    assert len(_fill(chooser, URGENT)) == 2


def test_choice_excluded_replicas_are_not_used():
    """A retry must not be sent to the replica on which it failed."""
    chooser = _build([_serve("a"), _serve("b", running=5)])
    request = routing_model.Request(priority=0, excluded=frozenset({"a"}))
    assert set(_fill(chooser, request)) == {"b"}


def test_choice_suspect_runs_alone():
    """A request that may crash its replica must run there alone."""
    chooser = _build([_serve("a"), _serve("b", running=1)])
    suspect = routing_model.Request(priority=0, is_suspect=True)
    assert chooser.choose(suspect, ZERO).replica == "a"
    assert chooser.choose(suspect, ZERO) is None
    assert set(_fill(chooser, URGENT)) == {"b"}
    chooser.record_end("a", suspect, 10, SECOND, SECOND)
    assert chooser.choose(URGENT, SECOND).replica == "a"


def test_choice_suspect_needs_no_credit():
    """A suspect request limited to one replica must not wait for credits."""
    names = [f"r{number}" for number in range(20)]
    loads = {"own": (0, 4, 0), "other": (400, 400, 400)}
    demands = credits.Demands(own="own", loads=loads)
    chooser = _build([_serve(name, slots=1) for name in names], demands)
    assert len(_fill(chooser, URGENT)) < len(names)
    used = {name for name in names if chooser.get_load(name)}
    free = next(name for name in names if name not in used)
    suspect = routing_model.Request(
        priority=1, excluded=frozenset(names) - {free}, is_suspect=True
    )
    assert chooser.choose(suspect, ZERO).replica == free


def test_choice_waiting_suspect_keeps_its_replica_free():
    """A continuous flow of own work must not starve a suspect request."""
    chooser = _build([_serve("a"), _serve("b")])
    work = routing_model.Request(priority=0, excluded=frozenset({"b"}))
    chooser.choose(work, ZERO)
    suspect = routing_model.Request(
        priority=0, excluded=frozenset({"b"}), is_suspect=True
    )
    assert chooser.choose(suspect, ZERO) is None
    assert set(_fill(chooser, URGENT)) == {"b"}
    chooser.record_end("a", work, 10, SECOND, ZERO)
    assert chooser.choose(suspect, ZERO).replica == "a"


def test_choice_replica_kept_for_suspect_is_used_again():
    """A reservation must expire if the caller of the suspect request left."""
    chooser = _build([_serve("a", running=1), _serve("b")])
    suspect = routing_model.Request(
        priority=0, excluded=frozenset({"b"}), is_suspect=True
    )
    assert chooser.choose(suspect, ZERO) is None
    later = ZERO + choice.SUSPECT_RESERVATION
    chooser.refresh(
        [_serve("a"), _serve("b")], credits.SINGLE_DAEMON, FLOORS, later
    )
    assert set(_fill(chooser, URGENT, later)) == {"a", "b"}


def test_choice_affinity_is_bounded_by_load():
    """A popular prefix must not overload its replica."""
    names = [f"r{number}" for number in range(10)]
    chooser = _build([_serve(name, slots=64) for name in names])
    request = routing_model.Request(priority=1, prefix="p")
    counts = collections.Counter(
        chooser.choose(request, ZERO).replica for _ in range(200)
    )
    assert max(counts.values()) <= 1.25 * 200 / 10 + 2
    assert len(counts) > 3


def test_choice_prefix_returns_to_its_replica():
    """Without affinity every replica would compute every prefix."""
    chooser = _build([_serve(f"r{number}") for number in range(10)])
    request = routing_model.Request(priority=1, prefix="p")
    replicas = set()
    for _ in range(50):
        replica = chooser.choose(request, ZERO).replica
        replicas.add(replica)
        chooser.record_end(replica, request, 10, SECOND, ZERO)
    assert len(replicas) == 1


def test_choice_straggler_gets_less_but_some_work():
    """A slow replica must receive less work than others, but some."""
    names = [f"r{number}" for number in range(5)]
    chooser = _build([_serve(name) for name in names])
    for name in _fill(chooser, BULK):
        slowdown = 4 if name == "r0" else 1
        chooser.record_end(name, BULK, 100, slowdown * SECOND, SECOND)
    servings = [_serve(name, at=2.0) for name in names]
    chooser.refresh(servings, credits.SINGLE_DAEMON, FLOORS, 2 * SECOND)
    assert chooser.get_slowdown("r0") == 4.0
    counts = collections.Counter(_fill(chooser, BULK, 2 * SECOND))
    assert 1 <= counts["r0"] <= counts["r1"] / 4


def test_choice_full_memory_stops_bulk_first():
    """With long prompts, KV memory is used up before the slots are."""
    chooser = _build([_serve("r", running=2, kv_used=0.9)])
    assert chooser.choose(BULK, ZERO) is None
    assert chooser.choose(URGENT, ZERO) is not None


def test_choice_idle_replica_draws_no_herd():
    """Seven daemons with the same stale report must not overfill a replica."""
    names = [f"d{number}" for number in range(7)]
    loads = {name: (20, 100, 100, 0) for name in names}
    sent = 0
    for name in names:
        demands = credits.Demands(own=name, loads=loads)
        servings = [_serve("idle")]
        servings += [_serve(f"r{n}", running=8) for n in range(23)]
        chooser = _build(servings, demands)
        sent += len(_fill(chooser, BULK)) + len(_fill(chooser, URGENT))
    # Each daemon without a credit may use one slot at a time beyond them.
    assert sent <= 8 + 7


def test_choice_daemon_without_credit_can_begin():
    """With one slot for seven daemons, each of them can send a request."""
    loads = {f"d{number}": (0, 0, 0, 0) for number in range(7)}
    for name in loads:
        demands = credits.Demands(own=name, loads=loads)
        chooser = _build([_serve("r", slots=1)], demands)
        assert len(_fill(chooser, URGENT)) == 1


def test_choice_small_part_of_reserve_serves_urgent_work():
    """Own bulk work must not block urgent work by using all credits.

    Urgent work of a daemon with a small part of the reserve was late when own
    bulk work used all its credits.
    """
    names = [f"r{number}" for number in range(24)]
    loads = {"own": (0, 2, 2, 0), "large": (900, 900, 900, 900)}
    demands = credits.Demands(own="own", loads=loads)
    settings = routing_model.ChoiceSettings(handover_divisions=1)
    chooser = _build([_serve(name) for name in names], demands, settings)
    assert _fill(chooser, BULK)
    full = [_serve(name, running=8) for name in names[1:]]
    servings = [_serve(names[0]), *full]
    chooser.refresh(servings, demands, FLOORS, ZERO)
    assert chooser.choose(URGENT, ZERO).replica == names[0]
    assert len(_fill(chooser, URGENT)) <= 7


@hypothesis.given(
    strategies.dictionaries(
        strategies.text("abcdefgh", min_size=1, max_size=3),
        strategies.tuples(*[strategies.integers(0, 500)] * 4),
        min_size=1,
        max_size=9,
    ),
    strategies.lists(strategies.integers(1, 64), min_size=1, max_size=30),
)
def test_credits_add_up_to_slots(loads, slots):
    """More credits than slots overload a replica; fewer leave slots unused."""
    common = sum(slots)
    reserve = common / 3
    parts = [
        credits.divide(
            credits.Demands(own=name, loads=loads), FLOORS, common, reserve
        ).common
        for name in loads
    ]
    for number, count in enumerate(slots):
        counts = [
            credits.count_credits(part, count, f"r{number}") for part in parts
        ]
        assert min(counts) >= 0
        assert sum(counts) == count


@hypothesis.given(
    strategies.lists(strategies.integers(0, 2000), min_size=2, max_size=9)
)
def test_credits_small_demand_is_met(loads):
    """A daemon with little bulk work must not starve during a flood."""
    demands = {
        f"d{number}": (0, load, 0, 0) for number, load in enumerate(loads)
    }
    capacity = 200.0
    for name, load in demands.items():
        division = credits.divide(
            credits.Demands(own=name, loads=demands), FLOORS, capacity, 0.0
        )
        amount = (division.common.end - division.common.start) * capacity
        # Urgent work's room to grow is two slots for each daemon.
        fair = (capacity - 3.0 * len(loads)) / len(loads)
        assert amount >= min(load[1], fair) - 1e-6
