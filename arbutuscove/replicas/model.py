"""Rows and observations about replicas and their VMs."""

import dataclasses
import datetime
import enum

from arbutuscove.storage import inventory
from arbutuscove.upstreams import protocol

VM_PREFIX = "vm/"
REPLICA_PREFIX = "replica/"
CAPACITY_PREFIX = "capacity/"


class Phase(enum.StrEnum):
    """Whether a replica takes new work.

    `REPLACING` finishes its work before a leaving member is replaced,
    `DRAINING` before the replica is dissolved.
    """

    SERVING = "serving"
    REPLACING = "replacing"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmRow:
    """Exclusive assignment of a VM to one replica, as member or spare.

    `accelerators` is what the capacity row counts for this VM. It is kept
    here because a VM that left the VM list must still be subtracted.
    """

    replica: str
    generation: int
    spare: bool = False
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaRow:
    """One replica; the first member is its leader.

    `generation` grows with every change of members. `spares` are VMs that only
    this replica's repair may use.
    """

    replica: str
    service: str
    fabric_domain: str
    generation: int
    model: str
    members: tuple[protocol.Member, ...]
    spares: tuple[protocol.Member, ...] = ()
    accelerators: int = 0
    phase: Phase = Phase.SERVING


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapacityRow:
    """What is assigned to a service over all fabric domains.

    `draining` counts those of `replicas` that will be dissolved. Controllers
    of several domains that want to end a replica conflict on it, so that they
    never end more than one for the same reason.
    """

    replicas: int = 0
    accelerators: int = 0
    draining: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusReport:
    """A status and the monotonic time at which its request was sent."""

    status: protocol.Status
    requested_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServingReplica:
    """A replica that may take requests, with its leader's load report."""

    replica: str
    service: str
    fabric_domain: str
    generation: int
    leader: protocol.Member
    slots: int
    running: int
    queued: int
    reported_at: datetime.timedelta
    kv_used: float = 0.0


def vm_key(vm: inventory.Vm) -> str:
    """Returns the key of the assignment row of a VM."""
    return f"{VM_PREFIX}{vm.fabric_domain}/{vm.name}"


def replica_key(row: ReplicaRow) -> str:
    """Returns the key of the row of a replica."""
    return f"{REPLICA_PREFIX}{row.fabric_domain}/{row.replica}"
