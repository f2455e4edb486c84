"""Builds the transactions that assign VMs to replicas.

Each transaction writes the VM rows, the replica row and the capacity row of
the service together, on condition that none has changed since the controller
read it. These conditions, not the lease, guarantee that a VM is in at most one
replica and that the assigned accelerators stay within the approved number,
even if several controllers act at once.
"""

import dataclasses
import uuid
from collections import abc

import msgspec

from arbutuscove.replicas import formation
from arbutuscove.replicas import model
from arbutuscove.storage import inventory
from arbutuscove.storage import table
from arbutuscove.upstreams import protocol


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """The table rows that a controller has read.

    Attributes:
        by_key: the rows by their table key.
    """

    by_key: abc.Mapping[str, table.Row]

    def get_version(self, key: str) -> int:
        """Returns the version of a row, or `ABSENT` if it does not exist."""
        row = self.by_key.get(key)
        return table.ABSENT if row is None else row.version

    def get_vm(
        self, row: model.ReplicaRow, member: protocol.Member
    ) -> model.VmRow | None:
        """Returns the assignment row of a VM, or None.

        Args:
            row: a replica of the fabric domain of the VM.
            member: the VM.
        """
        vm_row = self.by_key.get(_member_key(row, member))
        return None if vm_row is None else vm_row.decode(model.VmRow)

    def get_capacity(self, service: str) -> model.CapacityRow:
        """Returns the capacity row of a service; zeros if it has none."""
        row = self.by_key.get(model.CAPACITY_PREFIX + service)
        if row is None:
            return model.CapacityRow()
        return row.decode(model.CapacityRow)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """A transaction for a decision.

    Attributes:
        transaction: the transaction to commit.
        row: the replica row after the commit; None if it is deleted.
    """

    transaction: table.Transaction
    row: model.ReplicaRow | None


def build_assignment(
    decision: formation.Decision,
    vms: abc.Mapping[str, inventory.Vm],
    rows: Rows,
) -> Assignment:
    """Returns the transaction that carries out a decision.

    Args:
        decision: the decision to carry out.
        vms: the listed VMs of the fabric domain, by name.
        rows: the rows on which the decision is based.
    """
    match decision:
        case formation.Form():
            return _build_form(decision, rows)
        case formation.Replace():
            return _build_replace(decision, vms, rows)
        case formation.Drain():
            return _build_drain(decision, rows)
        case formation.Dissolve():
            return _build_dissolve(decision, rows)


def count_added_accelerators(
    decision: formation.Decision, built: Assignment
) -> int:
    """Returns the number of accelerators that a decision newly assigns.

    The number is negative if a replacement assigns fewer accelerators, and
    zero for a drain or a dissolution.
    """
    match decision:
        case formation.Form():
            assert built.row is not None
            return built.row.accelerators
        case formation.Replace(row=old):
            assert built.row is not None
            return built.row.accelerators - old.accelerators
        case _:
            return 0


def _build_form(decision: formation.Form, rows: Rows) -> Assignment:
    service = decision.service
    assert service.model is not None
    row = model.ReplicaRow(
        replica=f"{service.name}-{uuid.uuid4().hex[:12]}",
        service=service.name,
        fabric_domain=decision.members[0].fabric_domain,
        generation=1,
        model=service.model.model,
        members=tuple(_to_member(vm) for vm in decision.members),
        accelerators=sum(vm.accelerators for vm in decision.members),
    )
    accelerators_by_vm = {vm.name: vm.accelerators for vm in decision.members}
    capacity = rows.get_capacity(service.name)
    after = dataclasses.replace(
        capacity,
        replicas=capacity.replicas + 1,
        accelerators=capacity.accelerators + row.accelerators,
    )
    writes = {model.replica_key(row): msgspec.to_builtins(row)}
    writes.update(_build_vm_writes(row, accelerators_by_vm))
    writes[model.CAPACITY_PREFIX + service.name] = msgspec.to_builtins(after)
    return Assignment(
        transaction=_build_conditional_transaction(writes, rows), row=row
    )


def _build_replace(
    decision: formation.Replace,
    vms: abc.Mapping[str, inventory.Vm],
    rows: Rows,
) -> Assignment:
    old = decision.row
    new = dataclasses.replace(
        old,
        generation=decision.generation,
        members=decision.members,
        spares=decision.spares,
        phase=model.Phase.SERVING,
    )
    accelerators_by_vm = {}
    for member in new.members + new.spares:
        assigned_row = rows.get_vm(old, member)
        if assigned_row is not None:
            accelerators_by_vm[member.name] = assigned_row.accelerators
        else:
            accelerators_by_vm[member.name] = vms[member.name].accelerators
    new = dataclasses.replace(
        new, accelerators=sum(accelerators_by_vm.values())
    )
    writes: dict[str, object] = {}
    for member in old.members + old.spares:
        if member.name not in accelerators_by_vm:
            writes[_member_key(old, member)] = None
    writes.update(_build_vm_writes(new, accelerators_by_vm))
    writes[model.replica_key(new)] = msgspec.to_builtins(new)
    capacity = rows.get_capacity(old.service)
    after = dataclasses.replace(
        capacity,
        accelerators=capacity.accelerators
        + new.accelerators
        - old.accelerators,
        draining=capacity.draining - _count_draining(old),
    )
    writes[model.CAPACITY_PREFIX + old.service] = msgspec.to_builtins(after)
    return Assignment(
        transaction=_build_conditional_transaction(writes, rows), row=new
    )


def _build_drain(decision: formation.Drain, rows: Rows) -> Assignment:
    old = decision.row
    new = dataclasses.replace(old, phase=decision.phase)
    capacity = rows.get_capacity(old.service)
    draining_change = _count_draining(new) - _count_draining(old)
    after = dataclasses.replace(
        capacity, draining=capacity.draining + draining_change
    )
    writes: dict[str, object] = {
        model.replica_key(new): msgspec.to_builtins(new),
        model.CAPACITY_PREFIX + old.service: msgspec.to_builtins(after),
    }
    return Assignment(
        transaction=_build_conditional_transaction(writes, rows), row=new
    )


def _build_dissolve(decision: formation.Dissolve, rows: Rows) -> Assignment:
    old = decision.row
    writes: dict[str, object] = {model.replica_key(old): None}
    for member in old.members + old.spares:
        writes[_member_key(old, member)] = None
    capacity = rows.get_capacity(old.service)
    writes[model.CAPACITY_PREFIX + old.service] = msgspec.to_builtins(
        model.CapacityRow(
            replicas=capacity.replicas - 1,
            accelerators=capacity.accelerators - old.accelerators,
            draining=capacity.draining - _count_draining(old),
        )
    )
    return Assignment(
        transaction=_build_conditional_transaction(writes, rows), row=None
    )


def _count_draining(row: model.ReplicaRow) -> int:
    return int(row.phase == model.Phase.DRAINING)


def _build_vm_writes(
    row: model.ReplicaRow, accelerators: abc.Mapping[str, int]
) -> dict[str, object]:
    spares = {member.name for member in row.spares}
    return {
        _member_key(row, member): msgspec.to_builtins(
            model.VmRow(
                replica=row.replica,
                generation=row.generation,
                spare=member.name in spares,
                accelerators=accelerators[member.name],
            )
        )
        for member in row.members + row.spares
    }


def _build_conditional_transaction(
    writes: abc.Mapping[str, object], rows: Rows
) -> table.Transaction:
    return table.Transaction(
        conditions=tuple(
            table.Condition(key=key, version=rows.get_version(key))
            for key in writes
        ),
        writes=tuple(
            table.Write(key=key, value=value) for key, value in writes.items()
        ),
    )


def _member_key(row: model.ReplicaRow, member: protocol.Member) -> str:
    return f"{model.VM_PREFIX}{row.fabric_domain}/{member.name}"


def _to_member(vm: inventory.Vm) -> protocol.Member:
    return protocol.Member(name=vm.name, address=vm.address)
