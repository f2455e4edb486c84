"""Rows and observations about replicas and their VMs."""

import dataclasses
import datetime

from arbutuscove.platform import inventory
from arbutuscove.upstreams import protocol

VM_PREFIX = "vm/"
REPLICA_PREFIX = "replica/"
CAPACITY_PREFIX = "capacity/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VmRow:
    """Exclusive assignment of a VM to one replica, as member or spare."""

    replica: str
    generation: int
    spare: bool = False


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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CapacityRow:
    """What is assigned to a service over all fabric domains."""

    replicas: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Seen:
    """A status and the monotonic time at which its request was sent."""

    status: protocol.Status
    at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Serving:
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
