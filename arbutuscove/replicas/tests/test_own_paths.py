"""Guards against repairs for the failure of the holder's own paths."""

from arbutuscove.replicas.tests import world as world_module

SILENT_SECONDS = 60  # longer than a domain may be silent
CUT_SECONDS = 12  # longer than a VM may be silent


def _build_silent_world():
    """Returns a world whose holder does not reach one domain, with its rows.

    The other domain has room for the replica.
    """
    service = world_module.build_service(replicas=1)
    world = world_module.World({"a": 2, "b": 2}, [service])
    world.advance(60)
    rows = world.rows()
    assert len(rows) == 1
    domain = rows[0].fabric_domain
    world.daemons[0].engines.unreachable = {
        name
        for name, vm in world.fleet.vms.items()
        if vm.vm.fabric_domain == domain
    }
    return world, rows


def test_own_paths_that_fail_dissolve_no_replica():
    """Guards against the loss of replicas that other daemons reach."""
    world, rows = _build_silent_world()
    world.daemons[0].unjudged = {rows[0].fabric_domain}
    world.advance(SILENT_SECONDS)
    assert world.rows() == rows


def test_own_paths_that_work_move_the_replica_of_a_silent_domain():
    """Guards against replicas that are left in a domain that failed."""
    world, rows = _build_silent_world()
    world.advance(SILENT_SECONDS)
    assert {row.fabric_domain for row in world.rows()} != {
        rows[0].fabric_domain
    }


def _play_return(seconds):
    """Returns the rows before and after all paths to a domain fail and return.

    Two of three VMs answer at once then, a member only after some seconds.

    Args:
        seconds: time after which the member answers.
    """
    service = world_module.build_service(replicas=1)
    world = world_module.World({"a": 3}, [service])
    world.advance(60)
    rows = world.rows()
    (daemon,) = world.daemons
    daemon.engines.unreachable = set(world.fleet.vms)
    daemon.unjudged = {"a"}
    world.advance(CUT_SECONDS)
    daemon.unjudged = set()
    daemon.engines.unreachable = {rows[0].members[1].name}
    world.advance(seconds)
    daemon.engines.unreachable = set()
    world.advance(60)
    return rows, world.rows()


def test_member_that_is_read_last_after_a_cut_keeps_its_place():
    """Guards against replicas formed anew as not all members are read yet."""
    before, after = _play_return(seconds=2)
    assert len(before) == 1
    assert after == before


def test_member_that_stays_silent_after_a_cut_is_replaced():
    """Guards against a cut that hides a lost member for good."""
    before, after = _play_return(seconds=15)
    assert after[0].generation == before[0].generation + 1
    assert before[0].members[1] not in after[0].members
