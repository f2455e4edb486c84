"""Which replica rows are served, as a pure function of rows and statuses.

A replica serves only when each of its VMs was read back, recently, as ready in
one generation with the same list of members. The generation is that of the
row, or a higher one whose members all come from the plan in the row (its
members and spares): a repair during a table outage cannot change the row.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.replicas import model
from arbutuscove.storage import inventory
from arbutuscove.upstreams import protocol

FRESH_FOR = datetime.timedelta(seconds=3)  # bound on work to a leaving VM


def find_serving(
    row: model.ReplicaRow,
    vms: abc.Mapping[str, inventory.Vm],
    seen: abc.Mapping[str, model.StatusReport],
    now: datetime.timedelta,
) -> model.ServingReplica | None:
    """Returns the replica as serving, or None if any VM is in doubt."""
    if row.phase != model.Phase.SERVING:
        return None
    row = find_effective(row, seen)
    names = tuple(member.name for member in row.members)
    for name in names:
        vm = vms.get(name)
        report = seen.get(name)
        if vm is None or vm.state == inventory.VmState.LEAVING:
            return None
        if report is None or now - report.requested_at > FRESH_FOR:
            return None
        if not _is_in_generation(row, names, report.status):
            return None
    report = seen[names[0]]
    return model.ServingReplica(
        replica=row.replica,
        service=row.service,
        fabric_domain=row.fabric_domain,
        generation=row.generation,
        leader=row.members[0],
        slots=report.status.slots,
        running=report.status.running,
        queued=report.status.queued,
        reported_at=report.requested_at,
        kv_used=report.status.kv_used,
    )


def find_effective(
    row: model.ReplicaRow, seen: abc.Mapping[str, model.StatusReport]
) -> model.ReplicaRow:
    """Returns the row with the newest repair that its own VMs report.

    Two daemons that repaired at once leave different member lists under one
    generation; the list that most VMs report is taken, then the smaller one,
    so that every daemon takes the same.
    """
    plan = {member.name: member for member in row.members + row.spares}
    counts: dict[tuple[int, tuple[str, ...]], int] = {}
    for name in plan:
        report = seen.get(name)
        if report is None or not _is_planned(row, plan, name, report.status):
            continue
        key = (report.status.generation, report.status.members)
        counts[key] = counts.get(key, 0) + 1
    if not counts:
        return row
    generation, names = min(
        counts, key=lambda key: (-key[0], -counts[key], key[1])
    )
    return dataclasses.replace(
        row,
        generation=generation,
        members=tuple(plan[name] for name in names),
        spares=tuple(
            member for name, member in plan.items() if name not in names
        ),
    )


def _is_planned(
    row: model.ReplicaRow,
    plan: abc.Mapping[str, protocol.Member],
    name: str,
    status: protocol.Status,
) -> bool:
    names = status.members
    return (
        status.replica == row.replica
        and status.generation > row.generation
        and name in names
        and len(names) == len(row.members)
        and all(other in plan for other in names)
    )


def _is_in_generation(
    row: model.ReplicaRow, names: tuple[str, ...], status: protocol.Status
) -> bool:
    return (
        status.state == protocol.State.READY
        and not status.leaving
        and status.replica == row.replica
        and status.generation == row.generation
        and status.members == names
    )
