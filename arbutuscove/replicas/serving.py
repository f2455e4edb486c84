"""Decides whether a replica can serve, from its row and VM statuses.

A replica serves only if each member has a recent status that reports it ready
in the same generation with the same member list. The generation is that of
the row, or a higher one whose members are all members or spares in the row,
since a repair during a table outage cannot update the row.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.replicas import model
from arbutuscove.storage import inventory
from arbutuscove.upstreams import protocol

# An older status is ignored. This bounds for how long requests are still
# dispatched to a VM that is leaving.
MAX_STATUS_AGE = datetime.timedelta(seconds=3)


def resolve_serving(
    row: model.ReplicaRow,
    vms: abc.Mapping[str, inventory.Vm],
    reports: abc.Mapping[str, model.StatusReport],
    now: datetime.timedelta,
) -> model.ServingReplica | None:
    """Returns the replica if it can serve, or None.

    Args:
        row: the row of the replica.
        vms: the VM list, by name.
        reports: the newest status of each VM, by name.
        now: the monotonic time.

    Returns:
        The serving replica; None if the replica is not in the serving phase,
        or if any member is unlisted or leaving, lacks a recent status, or is
        not ready in the generation of the replica.
    """
    if row.phase != model.Phase.SERVING:
        return None
    row = resolve_effective_row(row, reports)
    names = tuple(member.name for member in row.members)
    for name in names:
        vm = vms.get(name)
        report = reports.get(name)
        if vm is None or vm.state == inventory.VmState.LEAVING:
            return None
        if report is None or now - report.requested_at > MAX_STATUS_AGE:
            return None
        if not _is_in_generation(row, names, report.status):
            return None
    report = reports[names[0]]
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


def resolve_effective_row(
    row: model.ReplicaRow, reports: abc.Mapping[str, model.StatusReport]
) -> model.ReplicaRow:
    """Returns the row updated by the newest repair that its VMs report.

    Two daemons that repair concurrently can create different member lists of
    one generation. The list that most VMs report wins. The tie-break is the
    lexicographically smallest list, so that every daemon selects the same.

    Args:
        row: the row as stored in the table.
        reports: the newest status of each VM, by name.

    Returns:
        The row with the generation, members and spares of the repair, or the
        unchanged row if no VM reports a newer generation.
    """
    planned = {member.name: member for member in row.members + row.spares}
    counts: dict[tuple[int, tuple[str, ...]], int] = {}
    for name in planned:
        report = reports.get(name)
        if report is None or not _is_planned(row, planned, name, report.status):
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
        members=tuple(planned[name] for name in names),
        spares=tuple(
            member for name, member in planned.items() if name not in names
        ),
    )


def _is_planned(
    row: model.ReplicaRow,
    planned: abc.Mapping[str, protocol.Member],
    name: str,
    status: protocol.Status,
) -> bool:
    names = status.members
    return (
        status.replica == row.replica
        and status.generation > row.generation
        and name in names
        and len(names) == len(row.members)
        and all(other in planned for other in names)
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
