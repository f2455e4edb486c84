"""Guards against VMs dropped for a heartbeat that an outage swallowed."""

import datetime

from arbutuscove.fleet import inventory
from arbutuscove.fleet import model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module

SECOND = datetime.timedelta(seconds=1)


def create_inventory():
    clock = clock_module.ManualClock()
    found = inventory.Inventory(clock)
    found.replace([test_planner.create_vm("a"), test_planner.create_vm("b")])
    # The first list follows a time without any.
    step(clock, found, 6)
    return clock, found


def step(clock, found, count=4):
    for _ in range(count):
        clock.advance(SECOND / 2)
        found.update([], [])


def test_inventory_drops_an_entry_that_goes_away():
    """Guards against requests to a VM that left the list."""
    clock, found = create_inventory()
    step(clock, found)
    found.update([], ["a"])
    assert {vm.name for vm in found.list_vms()} == {"b"}
    assert [departed.vm.name for departed in found.list_departed()] == ["a"]


def test_inventory_keeps_entries_that_lapsed_in_an_outage():
    """Guards against an outage of the list that empties the fleet."""
    clock, found = create_inventory()
    step(clock, found)
    clock.advance(5 * SECOND)
    found.update([], ["a"])
    assert {vm.name for vm in found.list_vms()} == {"a", "b"}
    clock.advance(inventory.LAPSE_GRACE)
    assert {vm.name for vm in found.list_vms()} == {"b"}


def test_inventory_keeps_an_entry_that_is_written_again():
    """Guards against a live VM dropped after it wrote its entry again."""
    clock, found = create_inventory()
    clock.advance(5 * SECOND)
    found.update([], ["a"])
    found.update([test_planner.create_vm("a")], [])
    clock.advance(5 * SECOND)
    assert {vm.name for vm in found.list_vms()} == {"a", "b"}


def test_inventory_remembers_what_a_vm_served_since_its_start():
    """Guards against a VM that is taken as cold once it left its group."""
    found = inventory.Inventory(clock_module.ManualClock())
    held = model.Membership(
        group="chat~5", epoch=5, rank=0, state=model.MemberState.READY
    )
    found.update(
        [test_planner.create_vm("a", started_at_ms=1, membership=held)], []
    )
    found.update([test_planner.create_vm("a", started_at_ms=1)], [])
    assert found.find("a").last_model == "chat"
    assert not found.has_changed(test_planner.create_vm("a", started_at_ms=1))
    found.update([test_planner.create_vm("a", started_at_ms=2)], [])
    assert found.find("a").last_model == ""


def test_inventory_takes_no_model_as_served_while_it_loads():
    """Guards against a group of VMs that still have to load for 16 s."""
    found = inventory.Inventory(clock_module.ManualClock())
    held = model.Membership(
        group="chat~5", epoch=5, rank=0, state=model.MemberState.JOINING
    )
    found.update(
        [test_planner.create_vm("a", started_at_ms=1, membership=held)], []
    )
    assert found.find("a").last_model == ""
