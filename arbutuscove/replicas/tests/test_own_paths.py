"""Guards against repairs for the failure of the holder's own paths."""

from arbutuscove.replicas.tests import world as world_module

SILENT_SECONDS = 60  # longer than a domain may be silent


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
