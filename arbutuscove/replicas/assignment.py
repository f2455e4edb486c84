"""Transactions that move VMs between replicas.

Each one changes the VM rows, the replica row and the capacity row of the
service together, conditioned on the versions that the controller saw. This is
what keeps a VM in one replica and accelerators within what was approved,
whoever believes to hold the lease.
"""

import dataclasses
import uuid
from collections import abc

import msgspec

from arbutuscove.platform import inventory
from arbutuscove.platform import table
from arbutuscove.replicas import formation
from arbutuscove.replicas import model
from arbutuscove.upstreams import protocol


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rows:
    """The rows that a controller read, by key."""

    by_key: abc.Mapping[str, table.Row]

    def version(self, key: str) -> int:
        """Returns the version of a row, or `ABSENT`."""
        row = self.by_key.get(key)
        return table.ABSENT if row is None else row.version

    def capacity(self, service: str) -> model.CapacityRow:
        """Returns what is assigned to a service."""
        row = self.by_key.get(model.CAPACITY_PREFIX + service)
        if row is None:
            return model.CapacityRow()
        return row.decode(model.CapacityRow)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assignment:
    """A transaction, and the replica row after it (None: dissolved)."""

    transaction: table.Transaction
    row: model.ReplicaRow | None


def build(
    decision: formation.Decision,
    vms: abc.Mapping[str, inventory.Vm],
    rows: Rows,
) -> Assignment:
    """Returns the transaction of a decision."""
    match decision:
        case formation.Form():
            return _build_form(decision, rows)
        case formation.Replace():
            return _build_replace(decision, vms, rows)
        case formation.Dissolve():
            return _build_dissolve(decision, rows)


def _build_form(decision: formation.Form, rows: Rows) -> Assignment:
    service = decision.service
    assert service.model is not None
    every = decision.members + decision.spares
    row = model.ReplicaRow(
        replica=f"{service.name}-{uuid.uuid4().hex[:12]}",
        service=service.name,
        fabric_domain=decision.members[0].fabric_domain,
        generation=1,
        model=service.model.model,
        members=tuple(_to_member(vm) for vm in decision.members),
        spares=tuple(_to_member(vm) for vm in decision.spares),
        accelerators=sum(vm.accelerators for vm in every),
    )
    capacity = rows.capacity(service.name)
    writes = {model.replica_key(row): msgspec.to_builtins(row)}
    writes.update(_assign(row, row.members, spare=False))
    writes.update(_assign(row, row.spares, spare=True))
    writes[model.CAPACITY_PREFIX + service.name] = msgspec.to_builtins(
        model.CapacityRow(
            replicas=capacity.replicas + 1,
            accelerators=capacity.accelerators + row.accelerators,
        )
    )
    return Assignment(transaction=_condition(writes, rows), row=row)


def _build_replace(
    decision: formation.Replace,
    vms: abc.Mapping[str, inventory.Vm],
    rows: Rows,
) -> Assignment:
    old = decision.row
    new = dataclasses.replace(
        old,
        generation=old.generation + 1,
        members=decision.members,
        spares=decision.spares,
    )
    kept = {member.name for member in new.members + new.spares}
    writes: dict[str, object] = {}
    for member in old.members + old.spares:
        if member.name not in kept:
            writes[_member_key(old, member)] = None
    writes.update(_assign(new, new.members, spare=False))
    writes.update(_assign(new, new.spares, spare=True))
    freed = sum(
        vms[member.name].accelerators if member.name in vms else 0
        for member in old.members + old.spares
        if member.name not in kept
    )
    new = dataclasses.replace(new, accelerators=old.accelerators - freed)
    writes[model.replica_key(new)] = msgspec.to_builtins(new)
    capacity = rows.capacity(old.service)
    writes[model.CAPACITY_PREFIX + old.service] = msgspec.to_builtins(
        dataclasses.replace(
            capacity, accelerators=capacity.accelerators - freed
        )
    )
    return Assignment(transaction=_condition(writes, rows), row=new)


def _build_dissolve(decision: formation.Dissolve, rows: Rows) -> Assignment:
    old = decision.row
    writes: dict[str, object] = {model.replica_key(old): None}
    for member in old.members + old.spares:
        writes[_member_key(old, member)] = None
    capacity = rows.capacity(old.service)
    writes[model.CAPACITY_PREFIX + old.service] = msgspec.to_builtins(
        model.CapacityRow(
            replicas=capacity.replicas - 1,
            accelerators=capacity.accelerators - old.accelerators,
        )
    )
    return Assignment(transaction=_condition(writes, rows), row=None)


def _assign(
    row: model.ReplicaRow, members: tuple[protocol.Member, ...], spare: bool
) -> dict[str, object]:
    value = model.VmRow(
        replica=row.replica, generation=row.generation, spare=spare
    )
    return {
        _member_key(row, member): msgspec.to_builtins(value)
        for member in members
    }


def _condition(
    writes: abc.Mapping[str, object], rows: Rows
) -> table.Transaction:
    return table.Transaction(
        conditions=tuple(
            table.Condition(key=key, version=rows.version(key))
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
