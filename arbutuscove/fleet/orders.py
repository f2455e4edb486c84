"""Orders to VMs, and how each ended."""

import dataclasses
import enum
import typing

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
    """Lets the head of a complete group take requests."""

    vm: model.Vm
    group: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Close:
    """Lets a head finish its requests and take no more."""

    vm: model.Vm
    group: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """Ends a VM's membership at once; a head breaks off its requests."""

    vm: model.Vm
    group: str
    epoch: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stage:
    """Copies a model to the VM's host beside other work."""

    vm: model.Vm
    model: str


Order = Join | Open | Close | Leave | Stage


class Outcome(enum.Enum):
    """What is known of an order that was sent."""

    ACCEPTED = "accepted"
    IN_EFFECT = "holds"  # the state that the order asks for is there
    STATE_MISMATCH = "unfit"  # the VM's state or count of orders is another one
    FENCED = "fenced"  # the VM saw a newer fencing token or epoch
    ANOTHER_VM = "another_vm"  # the address belongs to another VM now
    NOT_LISTENING = "absent"  # no process listens at the address
    REFUSED = "refused"  # any other refusal
    UNKNOWN = "unknown"  # no answer; it may still be carried out


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """What a VM answers when it is asked itself.

    `accepted` counts the orders that it accepted since its start. `pace` is
    above 1 if it is slow.
    """

    accepted: int
    membership: model.Membership | None
    pace: float


class GroupOrders(typing.Protocol):
    """Sends orders to VMs and asks them for their status."""

    def send(self, order: Order, fence: int, accepted: int) -> Outcome:
        """Sends one order.

        Args:
            order: the order.
            fence: the sender's fencing token.
            accepted: how many orders the VM must have accepted before; with
                another count it refuses, so that a copy of an order or one
                that comes late has no effect.
        """

    def read_status(self, vm: model.Vm) -> Status | None:
        """Returns what the VM says of itself, None without an answer."""
