"""Guards against replicas that stay down, and VMs that stay stranded."""

import dataclasses
import datetime

from arbutuscove.audit import trail
from arbutuscove.replicas import controller
from arbutuscove.replicas import model
from arbutuscove.replicas import trust
from arbutuscove.replicas import worth
from arbutuscove.replicas.tests import world as world_module
from arbutuscove.standins import fleet as fleet_module

SECOND = datetime.timedelta(seconds=1)


def _build(sizes, daemons=1, **backend):
    service = world_module.build_service(**backend)
    world = world_module.World(sizes, [service], daemons)
    world.advance(100)
    return world


def _names(members):
    return {member.name for member in members}


def test_formation_forms_what_is_promised():
    """Promised replicas must all serve, with a spare from what is left."""
    world = _build({"a": 5}, spares_per_fabric_domain=1)
    assert len(world.serving()) == 2
    assert sum(len(row.spares) for row in world.rows()) == 1
    assert world.capacity() == model.CapacityRow(replicas=2, accelerators=20)


def test_formation_replaces_lost_member_by_spare_first():
    """A rebuild instead of a repair by the reserved spare costs a load."""
    world = _build({"a": 5}, spares_per_fabric_domain=1)
    row = next(row for row in world.rows() if row.spares)
    world.fleet.vms[row.members[1].name].up = False
    world.advance(8)
    repaired = next(r for r in world.rows() if r.replica == row.replica)
    assert _names(repaired.members) == _names((row.members[0], *row.spares))
    assert repaired.generation == row.generation + 1
    world.advance(70)
    assert len(world.serving()) == 2


def test_formation_takes_spare_of_sibling_before_dissolving():
    """A spare must not stay idle while a replica of its service is broken."""
    world = _build({"a": 5}, spares_per_fabric_domain=1)
    row = next(row for row in world.rows() if not row.spares)
    world.fleet.vms[row.members[0].name].up = False
    world.advance(80)
    assert len(world.serving()) == 2
    assert row.replica in {item.replica for item in world.rows()}


def test_formation_merges_remains_into_larger_replica():
    """Two replicas that each lost a member strand the VMs of both."""
    world = _build({"a": 8}, vms_per_replica=4)
    first, second = world.rows()
    for member in (first.members[0], second.members[0], second.members[1]):
        world.fleet.vms[member.name].up = False
    world.advance(80)
    (row,) = world.rows()
    assert row.replica == first.replica
    assert len(world.serving()) == 1


def test_formation_rebuilds_dark_domain_within_approval():
    """Rows of an unresponsive domain must not block approved capacity."""
    world = _build({"a": 4, "b": 4}, approved=16)
    domains = {row.fabric_domain for row in world.rows()}
    assert domains == {"a"}
    for name, vm in world.fleet.vms.items():
        vm.up = not name.startswith("a")
    world.advance(100)
    assert {row.fabric_domain for row in world.rows()} == {"b"}
    assert len(world.serving()) == 2
    assert world.capacity().accelerators == 16


def test_formation_frees_rows_of_domain_that_left_the_vm_list():
    """A domain without listed VMs has no controller to free its rows."""
    world = _build({"a": 4, "b": 4}, approved=16)
    for name, vm in world.fleet.vms.items():
        if name.startswith("a"):
            vm.up = False
            world.fleet.unlisted.add(name)
    world.advance(100)
    assert {row.fabric_domain for row in world.rows()} == {"b"}
    assert world.capacity() == model.CapacityRow(replicas=2, accelerators=16)


def test_formation_decides_nothing_without_any_status():
    """A partitioned controller must not dissolve all replicas."""
    world = _build({"a": 4, "b": 4})
    before = world.rows()
    world.daemons[0].engines.unreachable.update(world.fleet.vms)
    world.advance(60)
    assert world.rows() == before


def test_formation_distrusts_returning_vm_while_another_suffices():
    """A flapping VM would interrupt its replica at each failure."""
    world = _build({"a": 4}, replicas=1)
    (row,) = world.rows()
    flapping = row.members[1].name
    world.fleet.vms[flapping].up = False
    world.advance(10)
    (repaired,) = world.rows()
    assert flapping not in _names(repaired.members)
    world.fleet.vms[flapping].up = True
    world.advance(2)
    failed_name = repaired.members[0].name
    world.fleet.vms[failed_name].up = False
    world.advance(20)
    (repaired,) = world.rows()
    assert not {flapping, failed_name} & _names(repaired.members)


def test_formation_reserves_no_distrusted_spare_until_it_is_trusted():
    """A repair from a spare that fails again costs a second repair."""
    world = _build({"a": 3}, replicas=1, spares_per_fabric_domain=1)
    (row,) = world.rows()
    flapping = row.members[1].name
    world.fleet.vms[flapping].up = False
    world.advance(10)
    world.fleet.vms[flapping].up = True
    world.advance(20)
    assert world.rows()[0].spares == ()
    world.advance(20)
    assert _names(world.rows()[0].spares) == {flapping}


def test_formation_repairs_with_distrusted_vm_when_nothing_else_does():
    """Without the distrusted VM, the rest of its replica is stranded too."""
    world = _build({"a": 3}, replicas=1)
    (row,) = world.rows()
    flapping = row.members[1].name
    world.fleet.vms[flapping].up = False
    world.advance(10)
    world.fleet.vms[flapping].up = True
    world.advance(2)
    (repaired,) = world.rows()
    world.fleet.vms[repaired.members[0].name].up = False
    world.advance(20)
    assert flapping in _names(world.rows()[0].members)
    assert len(world.serving()) == 1


def test_formation_forms_with_distrusted_vm_when_nothing_else_does():
    """Free VMs would wait up to an hour for the VM that completes them."""
    world = _build({"a": 2}, replicas=1)
    (row,) = world.rows()
    flapping = row.members[1].name
    world.fleet.vms[flapping].up = False
    world.advance(10)
    assert world.rows() == []
    world.fleet.vms[flapping].up = True
    world.advance(12)
    assert len(world.serving()) == 1


def test_formation_keeps_replicas_of_dark_domain_without_substitute():
    """Dissolving them delays their return and restores nothing meanwhile."""
    world = _build({"a": 4, "b": 1})
    before = world.rows()
    for name, vm in world.fleet.vms.items():
        vm.up = not name.startswith("a")
    world.advance(60)
    assert world.rows() == before
    for vm in world.fleet.vms.values():
        vm.up = True
    world.advance(2)
    assert len(world.serving()) == 2


def test_trust_ignores_outage_of_whole_domain():
    """Distrust after a switch failure would keep a whole domain idle."""
    world = _build({"a": 4, "b": 5})
    for name, vm in world.fleet.vms.items():
        vm.up = not name.startswith("a")
    world.advance(100)
    assert {row.fabric_domain for row in world.rows()} == {"b"}
    for name, vm in world.fleet.vms.items():
        vm.up = name.startswith("a")
    world.advance(100)
    assert {row.fabric_domain for row in world.rows()} == {"a"}
    assert len(world.serving()) == 2


def test_trust_doubles_to_an_hour_and_decays():
    """A fixed time suits neither one restart nor endless flapping."""
    now = 0 * SECOND
    record = trust.observe(None, True, now)
    waits = []
    for _ in range(9):
        record = trust.observe(record, False, now)
        now += 10 * SECOND
        record = trust.observe(record, True, now)
        waits.append((record.distrusted_until - now) / SECOND)
        now += 10 * SECOND
    assert waits[:4] == [30, 60, 120, 240]
    assert waits[-1] == 3600
    now += 10 * trust.DECAY_INTERVAL
    record = trust.observe(record, False, now)
    record = trust.observe(record, True, now + SECOND)
    assert record.distrusted_until - now - SECOND == trust.INITIAL_DISTRUST


def test_formation_finishes_work_before_leaving_member_is_replaced():
    """Orders end streams: a planned leave must not cut off requests."""
    world = _build({"a": 3}, replicas=1, spares_per_fabric_domain=1)
    (row,) = world.rows()
    world.fleet.vms[row.members[0].name].running = 1
    world.set_leaving(row.members[1].name)
    world.advance(30)
    (waiting,) = world.rows()
    assert waiting.phase == model.Phase.REPLACING
    assert waiting.generation == row.generation
    assert world.serving() == []
    world.fleet.vms[row.members[0].name].running = 0
    world.advance(5)
    (replaced,) = world.rows()
    assert row.members[1].name not in _names(replaced.members)
    world.advance(70)
    assert len(world.serving()) == 1


def test_formation_rolls_version_without_dropping_below_promise():
    """A rolling update must not drain old replicas before new ones serve."""
    world = _build({"a": 6}, approved=24)
    service = world_module.build_service(approved=24, model="m2")
    fleet_module.accept(world.table, world.clock, service, base_version=1)
    for _ in range(400):
        world.advance(1)
        assert len(world.serving()) >= 2
        assert world.capacity().accelerators <= 24
    assert {row.model for row in world.rows()} == {"m2"}
    assert len(world.rows()) == 2


def test_formation_rolls_size_of_replicas():
    """A new number of VMs per replica must reach running replicas."""
    world = _build({"a": 8})
    service = world_module.build_service(vms_per_replica=3)
    fleet_module.accept(world.table, world.clock, service, base_version=1)
    world.advance(400)
    assert [len(row.members) for row in world.rows()] == [3, 3]


def test_formation_ends_replicas_beyond_lowered_approval():
    """A lowered approval limit applies to running replicas too."""
    world = _build({"a": 4})
    service = world_module.build_service(approved=8)
    fleet_module.accept(world.table, world.clock, service, base_version=1)
    world.advance(30)
    assert world.capacity() == model.CapacityRow(replicas=1, accelerators=8)


def test_formation_binds_to_newest_approval_not_the_one_in_force():
    """A daemon with an older configuration would assign too much."""
    world = world_module.World(
        {"a": 4}, [world_module.build_service(approved=16)]
    )
    (daemon,) = world.daemons
    daemon.observe()
    lowered = world_module.build_service(approved=8)
    fleet_module.accept(world.table, world.clock, lowered, base_version=1)
    daemon.config.poll_once = lambda: None
    world.advance(60)
    assert world.capacity().accelerators == 8


def test_formation_repairs_most_valuable_replica_first():
    """One free VM must go where it restores most worth."""
    services = [
        world_module.build_service("bulk", worth=1.0, replicas=1),
        world_module.build_service("urgent", worth=100.0, replicas=1),
    ]
    world = world_module.World({"a": 5}, services)
    world.advance(100)
    for row in world.rows():
        world.fleet.vms[row.members[0].name].up = False
    world.advance(80)
    assert len(world.serving("urgent")) == 1
    assert world.serving("bulk") == []


def test_worth_loads_most_valuable_replica_first():
    """Loads in the order of names would delay the urgent service."""
    chosen = worth.choose_loads(
        {"a": 1.0, "b": 9.0, "c": 2.0}, {"a": 4, "b": 4, "c": 0}, 0, 4
    )
    assert chosen == {"b", "c"}


def test_board_reads_every_vm_of_a_large_fleet():
    """Reads that always begin with the same VMs never reach the last ones."""
    world = world_module.World({"a": 200}, [])
    for _ in range(5):
        world.daemons[0].observe()
        world.clock.advance(SECOND / 2)
    assert len(world.daemons[0].board.get_reports()) == 200


def _start_outage(world):
    for daemon in world.daemons:
        daemon.table.down = True
    world.advance(7)


def test_outage_repairs_from_reserved_spare_and_audits_first():
    """A long table outage must not leave a replica down beside its spare."""
    world = _build({"a": 4}, replicas=1, spares_per_fabric_domain=1)
    (row,) = world.rows()
    _start_outage(world)
    world.fleet.vms[row.members[0].name].up = False
    world.advance(80)
    (serving,) = world.serving()
    assert serving.generation > row.generation
    assert world.rows() == [row]
    count = len(world.table.log)
    world.daemons[0].table.down = False
    world.advance(12)
    written = [entry["key"] for entry in world.table.log[count:]]
    written = [key for key in written if not key.startswith("lease/")]
    assert written[0] == "audit-head/fabric/a"
    (adopted,) = world.rows()
    assert adopted.generation == serving.generation
    assert len(world.serving()) == 1
    entries = trail.read_scope(world.table, "fabric/a")
    assert trail.find_gaps(entries) == []
    actions = [item.entry.action for item in entries]
    assert actions.count("replica.repaired_from_plan") == 1


def test_outage_leaves_free_vms_alone():
    """A VM without a reservation may be assigned to another replica."""
    world = _build({"a": 4}, replicas=1)
    (row,) = world.rows()
    _start_outage(world)
    count = len(world.fleet.record)
    world.fleet.vms[row.members[0].name].up = False
    world.advance(80)
    assert len(world.fleet.record) == count
    assert world.serving() == []


def test_outage_repair_by_other_daemon_when_holder_is_dead():
    """The last lease holder may die in the same outage."""
    world = _build({"a": 3}, daemons=2, replicas=1, spares_per_fabric_domain=1)
    (row,) = world.rows()
    holder = world.daemons[0]
    _start_outage(world)
    world.fleet.vms[row.members[0].name].up = False
    world.advance(110, paused=[holder])
    assert len(world.serving(daemon=1)) == 1


def test_outage_plan_expires():
    """An old row may reserve VMs that have since been reassigned."""
    world = _build({"a": 3}, replicas=1, spares_per_fabric_domain=1)
    (row,) = world.rows()
    _start_outage(world)
    world.advance(int(controller.ROW_VALIDITY / SECOND))
    count = len(world.fleet.record)
    world.fleet.vms[row.members[0].name].up = False
    world.advance(60)
    assert len(world.fleet.record) == count


def test_outage_audit_entry_with_lost_confirmation_is_written_once():
    """A second entry for one repair would report one that never happened."""
    world = _build({"a": 3}, replicas=1, spares_per_fabric_domain=1)
    (row,) = world.rows()
    _start_outage(world)
    world.fleet.vms[row.members[0].name].up = False
    world.advance(80)
    table = world.daemons[0].table
    table.down = False

    def fail_after_write():
        table.confirmations_to_lose = 1000

    table.before_transact = fail_after_write
    world.daemons[0].control()
    table.confirmations_to_lose = 0
    world.advance(20)
    entries = trail.read_scope(world.table, "fabric/a")
    actions = [item.entry.action for item in entries]
    assert actions.count("replica.repaired_from_plan") == 1


def test_assignment_counts_vm_that_left_the_list():
    """Capacity of a replaced VM must be released after it is unlisted."""
    world = _build({"a": 5}, approved=20, spares_per_fabric_domain=1)
    (row, *_) = world.rows()
    name = row.members[0].name
    world.fleet.vms[name].up = False
    world.fleet.unlisted.add(name)
    world.advance(30)
    assigned = world.table.scan(model.VM_PREFIX)
    expected = world_module.ACCELERATORS * len(assigned)
    assert world.capacity().accelerators == expected
    assert dataclasses.asdict(world.capacity())["replicas"] == 2


def test_formation_preloads_spares():
    """A spare without weights makes a repair as slow as a rebuild."""
    world = _build({"a": 5}, replicas=2, spares_per_fabric_domain=1)
    world.advance(70)
    row = next(row for row in world.rows() if row.spares)
    world.fleet.vms[row.members[1].name].up = False
    world.advance(20)
    assert len(world.serving()) == 2
