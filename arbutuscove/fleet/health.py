"""Probe of the members of a group."""

import eliot
import gevent

from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import orders


def find_unconfirmed_members(
    inventory: inventory_module.Inventory,
    order_client: orders.OrderClient,
    key: tuple[str, int],
) -> list[str]:
    """Probes the listed members of a group in parallel.

    A member that is no longer listed is not probed and does not appear in the
    result.

    Args:
        inventory: the listed VMs.
        order_client: reads the status of a VM.
        key: name and epoch of the group.

    Returns:
        The names of the members that did not respond or that report another
        membership.
    """
    members = [
        vm
        for vm in inventory.list_vms()
        if vm.membership is not None and vm.membership.key == key
    ]
    jobs = [gevent.spawn(order_client.read_status, vm) for vm in members]
    gevent.joinall(jobs)
    unconfirmed = []
    for vm, job in zip(members, jobs, strict=True):
        reported = None if job.value is None else job.value.membership
        if reported is None or reported.key != key:
            unconfirmed.append(vm.name)
    eliot.log_message("fleet:asked", group=key[0], silent=unconfirmed)
    return unconfirmed
