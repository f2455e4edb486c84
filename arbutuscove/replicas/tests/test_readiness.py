"""Guards against replicas that stay down beside members that answer."""

import datetime

from arbutuscove.replicas import readiness
from arbutuscove.replicas.tests import world as world_module
from arbutuscove.upstreams import protocol

SECOND = datetime.timedelta(seconds=1)
READY_LIMIT = int(readiness.READY_LIMIT / SECOND)
BROKEN_LIMIT = int(readiness.BROKEN_LIMIT / SECOND)


def _build(size):
    service = world_module.build_service(replicas=1)
    return world_module.World({"a": size}, [service])


def test_readiness_member_that_stays_loading_is_replaced():
    """A VM whose load hangs answers, so it never counts as lost."""
    world = _build(3)
    world.fleet.vms["a1"].stuck_in = protocol.State.LOADING
    world.advance(READY_LIMIT - 10)
    (row,) = world.rows()
    assert "a1" in {member.name for member in row.members}
    world.advance(30)
    (row,) = world.rows()
    assert "a1" not in {member.name for member in row.members}
    assert len(world.serving()) == 1


def test_readiness_member_that_takes_no_order_is_replaced():
    """A VM that orders do not reach is read back but never in its replica."""
    world = _build(3)
    world.daemons[0].engines.deaf.add("a1")
    world.advance(READY_LIMIT + 30)
    (row,) = world.rows()
    assert "a1" not in {member.name for member in row.members}
    assert len(world.serving()) == 1


def test_readiness_leader_that_stays_broken_is_replaced():
    """A leader that finds no way to its members keeps its replica down."""
    world = _build(3)
    world.advance(90)
    (row,) = world.rows()
    leader = row.members[0]
    world.fleet.vms[leader.name].stuck_in = protocol.State.BROKEN
    world.advance(BROKEN_LIMIT - 5)
    assert world.rows() == [row]
    world.advance(20)
    (repaired,) = world.rows()
    assert leader not in repaired.members
    assert len(world.serving()) == 1


def test_readiness_broken_leader_stays_while_a_member_loads():
    """A leader says broken for as long as a member is not back."""
    world = _build(3)
    world.advance(90)
    (row,) = world.rows()
    leader, member = row.members
    world.fleet.vms[leader.name].stuck_in = protocol.State.BROKEN
    world.fleet.vms[member.name].stuck_in = protocol.State.LOADING
    world.advance(2 * BROKEN_LIMIT)
    assert world.rows() == [row]
