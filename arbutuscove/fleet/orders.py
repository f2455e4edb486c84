"""Orders to VMs, and their outcomes."""

import dataclasses
import enum
import typing

from arbutuscove.crashes import liveness
from arbutuscove.fleet import model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """Makes a VM a member of a group; the first member is the head."""

    vm: model.Vm
    group: str
    epoch: int
    model: str
    members: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Open:
    """Makes the head of a complete group accept requests."""

    vm: model.Vm
    group: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Close:
    """Makes a head finish its requests and accept no new ones."""

    vm: model.Vm
    group: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """Ends a VM's membership at once; a head aborts its requests."""

    vm: model.Vm
    group: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stage:
    """Copies a model to the VM's host without interrupting other work."""

    vm: model.Vm
    model: str


Order = Join | Open | Close | Leave | Stage


class Outcome(enum.Enum):
    """What the sender knows of the effect of an order."""

    ACCEPTED = "accepted"
    IN_EFFECT = "holds"  # the requested state is already in effect
    STATE_MISMATCH = "unfit"  # the VM's state or order count differs
    FENCED = "fenced"  # the VM has seen a newer fencing token or epoch
    ANOTHER_VM = "another_vm"  # the address now belongs to another VM
    NOT_LISTENING = "absent"  # no process listens at the address
    REFUSED = "refused"  # any other refusal
    UNKNOWN = "unknown"  # no response; the order may still take effect


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """Status that a VM reports when it is probed.

    `accepted` counts the orders that the VM has accepted since its start.
    `pace` is above 1 if the VM is slow.
    """

    accepted: int
    membership: model.Membership | None
    pace: float


class OrderClient(typing.Protocol):
    """Sends orders to VMs and reads their status."""

    def send(self, order: Order, fence: int, accepted: int) -> Outcome:
        """Sends one order.

        Args:
            order: the order.
            fence: the sender's fencing token.
            accepted: how many orders the VM must have accepted so far. The VM
                refuses the order if its count differs, so that a duplicate or
                late order has no effect.

        Returns:
            The outcome as far as it is known.
        """

    def read_status(self, vm: model.Vm) -> Status | None:
        """Returns the status that a VM reports, or None without a response."""

    def probe_liveness(self, vm: model.Vm) -> liveness.Liveness:
        """Determines whether a VM still runs since the start that is known."""
