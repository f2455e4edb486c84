"""Decides which VMs of a fabric domain form which replica.

A pure function of what one controller sees. Its decisions become effective
only through the transaction that moves the VM rows and the replica row
together, so a decision made on an outdated view changes nothing.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.config import model as config_model
from arbutuscove.platform import inventory
from arbutuscove.replicas import model
from arbutuscove.upstreams import protocol

LOST_AFTER = datetime.timedelta(seconds=5)  # without a status from a member


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """What a controller knows of its fabric domain."""

    now: datetime.timedelta
    fabric_domain: str
    services: tuple[config_model.Service, ...]
    vms: abc.Mapping[str, inventory.Vm]
    assigned: abc.Mapping[str, model.VmRow]
    replicas: abc.Mapping[str, model.ReplicaRow]
    capacity: abc.Mapping[str, model.CapacityRow]
    seen: abc.Mapping[str, model.Seen]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Form:
    """Create a replica of a service from free VMs."""

    service: config_model.Service
    members: tuple[inventory.Vm, ...]
    spares: tuple[inventory.Vm, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replace:
    """Give a replica these members and spares in its next generation."""

    row: model.ReplicaRow
    members: tuple[protocol.Member, ...]
    spares: tuple[protocol.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dissolve:
    """Free all VMs of a replica."""

    row: model.ReplicaRow


Decision = Form | Replace | Dissolve


def plan(view: View) -> list[Decision]:
    """Returns what the controller should do now, most urgent first."""
    decisions: list[Decision] = []
    wanted = {service.name for service in view.services}
    free = [vm for vm in view.vms.values() if _is_free(view, vm)]
    for row in view.replicas.values():
        if row.service not in wanted:
            decisions.append(Dissolve(row=row))
            continue
        decision = _repair(view, row)
        if decision is not None:
            decisions.append(decision)
    for service in view.services:
        decision = _form(view, service, free)
        if decision is not None:
            free = [vm for vm in free if vm not in decision.members]
            free = [vm for vm in free if vm not in decision.spares]
            decisions.append(decision)
    return decisions


def _form(
    view: View, service: config_model.Service, free: list[inventory.Vm]
) -> Form | None:
    backend = service.model
    if backend is None or len(free) < backend.vms_per_replica:
        return None
    members = tuple(free[: backend.vms_per_replica])
    last = backend.vms_per_replica + backend.spares_per_fabric_domain
    spares = tuple(free[backend.vms_per_replica : last])
    used = sum(vm.accelerators for vm in members + spares)
    capacity = view.capacity.get(service.name, model.CapacityRow())
    if capacity.replicas >= backend.replicas:
        return None
    if capacity.accelerators + used > service.limits.accelerators:
        return None
    return Form(service=service, members=members, spares=spares)


def _repair(view: View, row: model.ReplicaRow) -> Decision | None:
    kept = [m for m in row.members if not _is_lost(view, m.name)]
    if len(kept) == len(row.members):
        return None
    missing = len(row.members) - len(kept)
    usable = [m for m in row.spares if not _is_lost(view, m.name)]
    if len(usable) < missing:
        return Dissolve(row=row)
    spares = tuple(m for m in row.spares if m not in usable[:missing])
    return Replace(
        row=row, members=tuple(kept + usable[:missing]), spares=spares
    )


def _is_free(view: View, vm: inventory.Vm) -> bool:
    if vm.name in view.assigned or vm.state == inventory.VmState.LEAVING:
        return False
    return not _is_lost(view, vm.name)


def _is_lost(view: View, name: str) -> bool:
    vm = view.vms.get(name)
    if vm is None or vm.state == inventory.VmState.LEAVING:
        return True
    report = view.seen.get(name)
    if report is None or report.status.leaving:
        return True
    return view.now - report.at > LOST_AFTER
