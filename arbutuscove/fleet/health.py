"""Asks the members of a group whether they are there."""

import eliot
import gevent

from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import orders


def find_unconfirmed_members(
    inventory: inventory_module.Inventory,
    group_orders: orders.GroupOrders,
    key: tuple[str, int],
) -> list[str]:
    """Returns the members of a group that do not say that they are in it.

    Members are asked side by side. One that is listed no more counts as silent
    without being asked.
    """
    members = [
        vm
        for vm in inventory.list_vms()
        if vm.membership is not None and vm.membership.key == key
    ]
    jobs = [gevent.spawn(group_orders.read_status, vm) for vm in members]
    gevent.joinall(jobs)
    silent = []
    for vm, job in zip(members, jobs, strict=True):
        held = None if job.value is None else job.value.membership
        if held is None or held.key != key:
            silent.append(vm.name)
    eliot.log_message("fleet:asked", group=key[0], silent=silent)
    return silent
