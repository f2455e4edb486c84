"""Guards against replicas that stay down although their members respond."""

import datetime

from arbutuscove.replicas import readiness
from arbutuscove.replicas.tests import world as world_module
from arbutuscove.upstreams import protocol

SECOND = datetime.timedelta(seconds=1)
READY_TIMEOUT = int(readiness.READY_TIMEOUT / SECOND)
BROKEN_TIMEOUT = int(readiness.BROKEN_TIMEOUT / SECOND)


def _build(size):
    service = world_module.build_service(replicas=1)
    return world_module.World({"a": size}, [service])


def test_readiness_member_that_stays_loading_is_replaced():
    """A VM with a hung load responds, so it never counts as unresponsive."""
    world = _build(3)
    world.fleet.vms["a1"].stuck_state = protocol.State.LOADING
    world.advance(READY_TIMEOUT - 10)
    (row,) = world.rows()
    assert "a1" in {member.name for member in row.members}
    world.advance(30)
    (row,) = world.rows()
    assert "a1" not in {member.name for member in row.members}
    assert len(world.serving()) == 1


def test_readiness_member_that_takes_no_order_is_replaced():
    """A VM may respond to status reads although no order reaches it."""
    world = _build(3)
    world.daemons[0].engines.unreachable_for_orders.add("a1")
    world.advance(READY_TIMEOUT + 30)
    (row,) = world.rows()
    assert "a1" not in {member.name for member in row.members}
    assert len(world.serving()) == 1


def test_readiness_leader_that_stays_broken_is_replaced():
    """A leader that cannot reach its members keeps its replica down."""
    world = _build(3)
    world.advance(90)
    (row,) = world.rows()
    leader = row.members[0]
    world.fleet.vms[leader.name].stuck_state = protocol.State.BROKEN
    world.advance(BROKEN_TIMEOUT - 5)
    assert world.rows() == [row]
    world.advance(20)
    (repaired,) = world.rows()
    assert leader not in repaired.members
    assert len(world.serving()) == 1


def test_readiness_broken_leader_stays_while_a_member_loads():
    """A leader reports `broken` until all members have returned."""
    world = _build(3)
    world.advance(90)
    (row,) = world.rows()
    leader, member = row.members
    world.fleet.vms[leader.name].stuck_state = protocol.State.BROKEN
    world.fleet.vms[member.name].stuck_state = protocol.State.LOADING
    world.advance(2 * BROKEN_TIMEOUT)
    assert world.rows() == [row]
