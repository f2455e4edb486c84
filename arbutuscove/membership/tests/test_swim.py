"""Guards against false failure detection and against cost that grows."""

import dataclasses
import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.membership import swim
from arbutuscove.membership import wire
from arbutuscove.membership.tests import fleet as fleet_module

HEAL_SECONDS = 60  # suspicion, reconnection and refutation with 7 members


def test_swim_paused_member_returns_everywhere():
    """A member that resumes after it was declared dead must be alive again."""
    fleet = fleet_module.Fleet(7, seed=1)
    fleet.run(5)
    fleet.pause("entry-3")
    fleet.run(60)
    assert fleet.states("entry-3") == {swim.State.DEAD}
    fleet.resume("entry-3")
    fleet.run(HEAL_SECONDS)
    assert fleet.all_alive()


def test_swim_paused_member_declares_nobody_dead():
    """Suspicions from before a pause must not expire on resuming."""
    fleet = fleet_module.Fleet(7, seed=2)
    fleet.run(5)
    fleet.cut(["entry-0"], ["entry-1"])
    fleet.cut(["entry-0"], [f"entry-{n}" for n in range(2, 7)])
    fleet.run(3)
    fleet.pause("entry-0")
    fleet.cuts.clear()
    fleet.run(30)
    fleet.resume("entry-0")
    fleet.run(0.02)
    dead = [
        member
        for member in fleet.views["entry-0"].members.values()
        if member.state == swim.State.DEAD
    ]
    assert not dead


def test_swim_one_way_cut_keeps_member_alive():
    """A member that others still reach must not be declared dead."""
    fleet = fleet_module.Fleet(7, seed=3)
    fleet.cut(["entry-0"], ["entry-1"])
    for _ in range(40):
        fleet.run(3)
        assert swim.State.DEAD not in fleet.states("entry-1")


def test_swim_region_cut_heals_after_an_hour():
    """Both sides of a long partition must reconnect."""
    fleet = fleet_module.Fleet(14, seed=4)
    names = list(fleet.views)
    fleet.cut(names[:4], names[4:])
    fleet.cut(names[4:], names[:4])
    fleet.run(3600)
    assert fleet.states("entry-0") == {swim.State.ALIVE, swim.State.DEAD}
    fleet.cuts.clear()
    fleet.run(2 * HEAL_SECONDS)
    assert fleet.all_alive()


def test_swim_dead_member_is_found_and_forgotten():
    """Records of dead daemons that are never removed would leak memory."""
    fleet = fleet_module.Fleet(7, seed=5)
    fleet.down.add("entry-6")
    fleet.run(40)
    assert fleet.states("entry-6") == {swim.State.DEAD}
    fleet.run(swim.FORGET_AFTER.total_seconds() + 60)
    assert fleet.states("entry-6") == {None}


def test_swim_leave_is_known_at_once():
    """Callers must not be sent to a daemon that has announced its leave."""
    fleet = fleet_module.Fleet(7, seed=6)
    fleet.run(3)
    fleet.step("entry-2", swim.Leave())
    fleet.run(0.1)
    assert fleet.states("entry-2") == {swim.State.LEFT}


def test_swim_restarted_member_replaces_its_former_self():
    """A new process starts at incarnation 0 and must overcome old records."""
    fleet = fleet_module.Fleet(7, seed=7)
    fleet.step("entry-2", swim.Leave())
    fleet.run(2)
    fleet.down.add("entry-2")
    fleet.run(5)
    fleet.restart("entry-2")
    fleet.run(HEAL_SECONDS)
    assert fleet.all_alive()


def test_swim_cold_start_finds_everybody():
    """Daemons that start together know only the seeds."""
    fleet = fleet_module.Fleet(50, seed=8, known=False)
    fleet.run(60)
    assert fleet.all_alive()


@pytest.mark.parametrize("size", [7, 50, 200, 1900])
def test_swim_messages_do_not_grow_with_size(size):
    """Cost that grows with the fleet would break the target size."""
    fleet = fleet_module.Fleet(size, seed=9)
    seconds = 3 if size > 1000 else 10
    fleet.run(seconds)
    assert fleet.messages <= 2 * size * (seconds + 1)
    assert fleet.largest <= swim.MAX_UPDATES


def test_swim_lag_and_failures_lengthen_timeouts():
    """A slow daemon must extend its timeouts before it suspects others."""
    fleet = fleet_module.Fleet(3)
    now = datetime.timedelta(seconds=9)
    view, (probe,) = swim.step(fleet.views["entry-0"], swim.Tick(), now)
    assert probe.timeout == swim.PROBE_TIMEOUT
    late = swim.Tick(lag=datetime.timedelta(seconds=1))
    _, (probe,) = swim.step(view, late, now)
    assert probe.timeout == swim.PROBE_TIMEOUT + 2 * late.lag
    ended = swim.IndirectProbesEnded(
        name="entry-1", is_reached=False, answer_count=0
    )
    view, _ = swim.step(view, ended, now)
    _, (probe,) = swim.step(view, swim.Tick(), now)
    assert probe.timeout == 2 * swim.PROBE_TIMEOUT


def test_swim_helpers_come_from_other_domains():
    """Helpers in the failure domain of the prober would share its fault."""
    fleet = fleet_module.Fleet(50, domains=6)
    ended = swim.ProbeEnded(name="entry-1", is_answered=False)
    _, (request,) = swim.step(
        fleet.views["entry-0"], ended, datetime.timedelta()
    )
    domains = {helper.failure_domain for helper in request.helpers}
    assert len(domains) == swim.INDIRECT_PROBES
    assert not domains & {"zone-0", "zone-1"}


def test_swim_minority_loses_contact_and_majority_keeps_it():
    """The minority of a partition must not confirm its configuration."""
    fleet = fleet_module.Fleet(7, seed=10)
    fleet.run(12)
    cut_at = fleet.now
    names = list(fleet.views)
    fleet.cut(names[:3], names[3:])
    fleet.cut(names[3:], names[:3])
    for _ in range(60):
        fleet.run(1)
        for name in names[:3]:
            contact_at = swim.estimate_majority_contact(
                fleet.views[name], fleet.now
            )
            assert contact_at is None or contact_at <= cut_at
        for name in names[3:]:
            contact_at = swim.estimate_majority_contact(
                fleet.views[name], fleet.now
            )
            assert contact_at is not None
            assert fleet.now - contact_at < swim.CONTACT_WINDOW


ACTIONS = strategies.one_of(
    strategies.tuples(strategies.just("pause"), strategies.integers(0, 6)),
    strategies.tuples(strategies.just("resume"), strategies.integers(0, 6)),
    strategies.tuples(
        strategies.just("cut"),
        strategies.tuples(strategies.integers(0, 6), strategies.integers(0, 6)),
    ),
    strategies.tuples(strategies.just("loss"), strategies.floats(0, 0.4)),
    strategies.tuples(strategies.just("twice"), strategies.floats(0, 0.5)),
    strategies.tuples(strategies.just("delay"), strategies.integers(1, 400)),
    strategies.tuples(strategies.just("run"), strategies.integers(1, 20)),
)


def _act(fleet, action, value):
    match action:
        case "pause":
            fleet.pause(f"entry-{value}")
        case "resume":
            fleet.resume(f"entry-{value}")
        case "cut":
            fleet.cut([f"entry-{value[0]}"], [f"entry-{value[1]}"])
        case "loss":
            fleet.loss = value
        case "twice":
            fleet.duplicates = value
        case "delay":
            fleet.delay = datetime.timedelta(milliseconds=value)
        case "run":
            fleet.run(value)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.lists(ACTIONS, max_size=25), strategies.integers(0, 1000)
)
def test_swim_no_reachable_member_stays_dead(actions, seed):
    """Whatever was lost, late, doubled, paused or cut, the fleet heals."""
    fleet = fleet_module.Fleet(7, seed=seed)
    for action, value in actions:
        _act(fleet, action, value)
    fleet.loss = fleet.duplicates = 0.0
    fleet.delay = datetime.timedelta(milliseconds=5)
    fleet.cuts.clear()
    for name in list(fleet.paused):
        fleet.resume(name)
    fleet.run(2 * HEAL_SECONDS)
    assert fleet.all_alive()


def test_swim_loads_by_rank_are_bounded():
    """A service with many ranks must not make every message grow."""
    loads = (7,) * 100
    record = swim.Member(
        name="a", peer_address="p", rank_loads=swim.bound_loads(loads)
    )
    assert len(record.rank_loads) == swim.MAX_RANK_LOADS
    assert sum(record.rank_loads) == sum(loads)
    sent = wire.encode_member(dataclasses.replace(record, rank_loads=loads))
    received = wire.decode_member(sent)
    assert received == record


def test_swim_indirect_record_keeps_loads_together():
    """A total and loads by rank of different ages would be inconsistent."""
    own = swim.Member(name="a", peer_address="1")
    known = swim.Member(name="b", peer_address="2", load=3, rank_loads=(1, 2))
    older = dataclasses.replace(known, load=9, rank_loads=(9, 0))
    third = swim.Member(name="c", peer_address="3")
    view = swim.View(own=own, members={"b": known, "c": third}, is_synced=True)
    message = swim.Message(sender=third, updates=(older,))
    event = swim.Received(message=message)
    view, _ = swim.step(view, event, datetime.timedelta())
    assert view.members["b"] == known
    event = swim.Received(message=swim.Message(sender=older))
    view, _ = swim.step(view, event, datetime.timedelta())
    assert view.members["b"] == older
