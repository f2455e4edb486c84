"""Status of the system as one daemon observes it, for operators."""

import dataclasses
import typing
from collections import abc

from arbutuscove.admin import resources
from arbutuscove.config import model as config_model
from arbutuscove.replicas import model as replica_model
from arbutuscove.storage import inventory
from arbutuscove.upstreams import protocol


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """State of a daemon from which it builds the status.

    Attributes:
        daemon: Name of this daemon.
        snapshot: Configuration in force.
        waiting: Number of waiting requests.
        rows: Replica rows as last read, by replica.
        serving: Replicas that can accept requests, by replica.
        vms: VM list, by name.
        reports: Newest status of each VM, by name.
        daemons: States of this daemon and of the peers believed alive.
    """

    daemon: str
    snapshot: config_model.Snapshot
    waiting: int
    rows: abc.Mapping[str, replica_model.ReplicaRow]
    serving: abc.Mapping[str, replica_model.ServingReplica]
    vms: abc.Mapping[str, inventory.Vm]
    reports: abc.Mapping[str, replica_model.StatusReport]
    daemons: tuple[resources.DaemonState, ...]


class Visibility(typing.Protocol):
    """Access check of a caller for the services of a team."""

    def may_see(self, team: str) -> bool:
        """Returns whether the services of a team are visible."""


def build_status(
    observed: Observation, caller: Visibility
) -> resources.SystemStatus:
    """Returns the status, with replicas of services the caller may see."""
    names = {
        name
        for name, version in observed.snapshot.services.items()
        if caller.may_see(version.service.team)
    }
    rows = [row for row in observed.rows.values() if row.service in names]
    serving = dict.fromkeys(sorted(names), 0)
    for replica in observed.serving.values():
        if replica.service in serving:
            serving[replica.service] += 1
    return resources.SystemStatus(
        daemon=observed.daemon,
        sequence=observed.snapshot.sequence,
        waiting=observed.waiting,
        replicas=tuple(_build_replica_state(observed, row) for row in rows),
        stranded=tuple(list_stranded_vms(observed)),
        daemons=observed.daemons,
        serving=serving,
    )


def list_stranded_vms(observed: Observation) -> list[resources.StrandedVm]:
    """Returns the VMs that are paid for but cannot serve, with the reasons.

    The VMs are sorted by name.
    """
    rows = observed.rows.values()
    members = {member.name: row for row in rows for member in row.members}
    spares = {member.name: row for row in rows for member in row.spares}
    stranded = []
    for name, vm in sorted(observed.vms.items()):
        row = members.get(name)
        if row is not None and row.replica in observed.serving:
            continue
        reason = _determine_reason(observed, vm, row, spares.get(name))
        stranded.append(
            resources.StrandedVm(
                vm=name, fabric_domain=vm.fabric_domain, reason=reason
            )
        )
    return stranded


def _determine_reason(
    observed: Observation,
    vm: inventory.Vm,
    row: replica_model.ReplicaRow | None,
    spare_row: replica_model.ReplicaRow | None,
) -> str:
    report = observed.reports.get(vm.name)
    if vm.state == inventory.VmState.LEAVING:
        return "leaving"
    if report is None:
        return "no status received"
    if row is None and spare_row is not None:
        return f"spare of {spare_row.replica}"
    if row is None:
        return "in no replica"
    if report.status.state == protocol.State.LOADING:
        return f"loading for {row.replica}"
    if (report.status.replica, report.status.generation) != (
        row.replica,
        row.generation,
    ):
        return f"order of {row.replica} not yet taken"
    return f"{row.replica} is incomplete"


def _build_replica_state(
    observed: Observation, row: replica_model.ReplicaRow
) -> resources.ReplicaState:
    serving = observed.serving.get(row.replica)
    if serving is None:
        return resources.ReplicaState(row=row, serving=False)
    return resources.ReplicaState(
        row=row, serving=True, running=serving.running, slots=serving.slots
    )
