"""Table rows and status reports of replicas and their VMs."""

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
    """The exclusive assignment of a VM to one replica.

    Attributes:
        replica: the name of the replica.
        generation: the generation of the replica.
        spare: whether the VM is a spare instead of a member.
        accelerators: the number that the capacity row counts for this VM. It
            is stored here so that it can still be subtracted after the VM
            has left the VM list.
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
    """The capacity assigned to a service in all fabric domains.

    Attributes:
        replicas: the number of replicas, including draining ones.
        accelerators: the number of assigned accelerators.
        draining: the number of replicas in phase `DRAINING`. Every drain
            updates it, so controllers of different domains that each decide
            to drain a replica for the same reason conflict on this row and
            only one of them succeeds.
    """

    replicas: int = 0
    accelerators: int = 0
    draining: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusReport:
    """A status of a VM, read by this daemon or a peer.

    Attributes:
        status: the status.
        requested_at: the monotonic time at which the request was sent.
    """

    status: protocol.Status
    requested_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServingReplica:
    """A replica that can accept requests, with the load of its leader.

    Attributes:
        replica: the name of the replica.
        service: the name of its service.
        fabric_domain: its fabric domain.
        generation: the generation that all members report.
        leader: the member that receives the requests.
        slots: `slots` of the leader's status.
        running: `running` of the leader's status.
        queued: `queued` of the leader's status.
        reported_at: the monotonic time of the leader's status.
        kv_used: `kv_used` of the leader's status.
    """

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
