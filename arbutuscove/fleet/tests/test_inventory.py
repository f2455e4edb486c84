"""Guards against VMs evicted because an outage lost their heartbeat."""

import datetime

from arbutuscove.fleet import inventory
from arbutuscove.fleet import model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module

SECOND = datetime.timedelta(seconds=1)


def create_inventory():
    clock = clock_module.ManualClock()
    vm_list = inventory.Inventory(clock)
    vm_list.replace([test_planner.create_vm("a"), test_planner.create_vm("b")])
    # The first read counts as the end of an outage; let its grace pass.
    step(clock, vm_list, 6)
    return clock, vm_list


def step(clock, vm_list, count=4):
    for _ in range(count):
        clock.advance(SECOND / 2)
        vm_list.update([], [])


def test_inventory_drops_an_entry_that_goes_away():
    """Guards against requests to a VM that has left the list."""
    clock, vm_list = create_inventory()
    step(clock, vm_list)
    vm_list.update([], ["a"])
    assert {vm.name for vm in vm_list.list_vms()} == {"b"}
    assert [departed.vm.name for departed in vm_list.list_departed()] == ["a"]


def test_inventory_keeps_entries_that_lapsed_in_an_outage():
    """Guards against an outage of the list that evicts all VMs."""
    clock, vm_list = create_inventory()
    step(clock, vm_list)
    clock.advance(5 * SECOND)
    vm_list.update([], ["a"])
    assert {vm.name for vm in vm_list.list_vms()} == {"a", "b"}
    clock.advance(inventory.LAPSE_GRACE)
    assert {vm.name for vm in vm_list.list_vms()} == {"b"}


def test_inventory_keeps_an_entry_that_is_written_again():
    """Guards against a live VM evicted after it wrote its entry again."""
    clock, vm_list = create_inventory()
    clock.advance(5 * SECOND)
    vm_list.update([], ["a"])
    vm_list.update([test_planner.create_vm("a")], [])
    clock.advance(5 * SECOND)
    assert {vm.name for vm in vm_list.list_vms()} == {"a", "b"}


def test_inventory_remembers_what_a_vm_served_since_its_start():
    """Guards against a VM that counts as cold once it has left its group."""
    vm_list = inventory.Inventory(clock_module.ManualClock())
    reported = model.Membership(
        group="chat~5", epoch=5, rank=0, state=model.MemberState.READY
    )
    vm_list.update(
        [test_planner.create_vm("a", started_at_ms=1, membership=reported)],
        [],
    )
    vm_list.update([test_planner.create_vm("a", started_at_ms=1)], [])
    assert vm_list.find("a").last_model == "chat"
    assert not vm_list.has_changed(test_planner.create_vm("a", started_at_ms=1))
    vm_list.update([test_planner.create_vm("a", started_at_ms=2)], [])
    assert vm_list.find("a").last_model == ""


def test_inventory_takes_no_model_as_served_while_it_loads():
    """Guards against a VM that counts as warm before its load of 16 s."""
    vm_list = inventory.Inventory(clock_module.ManualClock())
    reported = model.Membership(
        group="chat~5", epoch=5, rank=0, state=model.MemberState.JOINING
    )
    vm_list.update(
        [test_planner.create_vm("a", started_at_ms=1, membership=reported)],
        [],
    )
    assert vm_list.find("a").last_model == ""


def test_older_copy_does_not_make_a_leaving_vm_ready():
    """Guards against new requests to a VM that drains.

    The list comes back as it was before the VM wrote that it leaves.
    """
    clock, vm_list = create_inventory()
    leaving = test_planner.create_vm("a", sequence=7, leaving=True)
    vm_list.update([leaving], [])
    vm_list.begin_settling()
    older = test_planner.create_vm("a", sequence=5)
    assert not vm_list.has_changed(older)
    vm_list.replace([older, test_planner.create_vm("b")])
    assert vm_list.find("a").leaving
    vm_list.update([test_planner.create_vm("a")], [])
    assert vm_list.find("a").leaving
    restarted = test_planner.create_vm("a", started_at_ms=9, sequence=1)
    vm_list.update([restarted], [])
    assert not vm_list.find("a").leaving
    vm_list.update([leaving], [])
    assert not vm_list.find("a").leaving
    clock.advance(inventory.LAPSE_GRACE)
    assert not vm_list.is_settling()


def test_vms_missing_from_an_older_copy_are_kept():
    """Guards against live VMs that are unlisted until they write again."""
    clock, vm_list = create_inventory()
    vm_list.begin_settling()
    vm_list.replace([test_planner.create_vm("b")])
    assert {vm.name for vm in vm_list.list_vms()} == {"a", "b"}
    clock.advance(inventory.LAPSE_GRACE)
    assert {vm.name for vm in vm_list.list_vms()} == {"b"}
    departed = {vm.vm.name: vm for vm in vm_list.list_departed()}
    assert departed["a"].may_be_serving()


def test_older_copy_does_not_list_a_departed_vm():
    """Guards against requests to a VM that left in the part that was lost."""
    clock, vm_list = create_inventory()
    vm_list.update([test_planner.create_vm("a", sequence=7)], [])
    step(clock, vm_list)
    vm_list.update([], ["a"])
    vm_list.begin_settling()
    vm_list.update([test_planner.create_vm("a", sequence=6)], [])
    assert vm_list.find("a") is None
    vm_list.update([test_planner.create_vm("a", sequence=8)], [])
    assert vm_list.find("a") is not None


def test_list_settles_only_after_a_restore():
    """Guards against repairs that wait at a start or after an outage."""
    clock, vm_list = create_inventory()
    assert not vm_list.is_settling()
    clock.advance(5 * SECOND)
    vm_list.update([], [])
    assert not vm_list.is_settling()
    vm_list.begin_settling()
    assert vm_list.is_settling()


def test_inventory_keeps_a_vm_leaving_that_says_so_itself():
    """Guards against requests to a VM whose entry still says ready."""
    clock, vm_list = create_inventory()
    revision = vm_list.revision
    vm_list.record_leaving(("a", 1), is_local=True)
    assert vm_list.find("a").leaving
    assert vm_list.revision > revision
    assert vm_list.list_notified(4) == [("a", 1)]
    ready = test_planner.create_vm("a", sequence=9)
    assert not vm_list.has_changed(ready)
    vm_list.update([ready], [])
    vm_list.replace([ready, test_planner.create_vm("b")])
    assert vm_list.find("a").leaving and not vm_list.find("b").leaving


def test_inventory_uses_a_new_start_of_a_vm_that_left():
    """Guards against an old notice that takes out the VM's next start."""
    _, vm_list = create_inventory()
    restarted = test_planner.create_vm("a", started_at_ms=2)
    vm_list.record_leaving(("a", 1), is_local=True)
    vm_list.update([restarted], [])
    assert not vm_list.find("a").leaving
    vm_list.record_leaving(("a", 1), is_local=False)
    assert not vm_list.find("a").leaving
    assert not vm_list.list_notified(4)


def test_inventory_learns_a_notice_before_the_entry_and_forgets_it():
    """Guards against notices of peers lost, passed on or kept for ever."""
    clock, vm_list = create_inventory()
    vm_list.record_leaving(("c", 5), is_local=False)
    vm_list.update([test_planner.create_vm("c", started_at_ms=5)], [])
    assert vm_list.find("c").leaving
    assert not vm_list.list_notified(4)
    clock.advance(inventory.NOTICE_TTL)
    vm_list.update([test_planner.create_vm("c", started_at_ms=5)], [])
    assert not vm_list.find("c").leaving
    for number in range(inventory.MAX_NOTIFIED_VMS + 1):
        vm_list.record_leaving(("d", number), is_local=True)
    vm_list.update([test_planner.create_vm("d", started_at_ms=0)], [])
    assert not vm_list.find("d").leaving
