"""VMs and replica groups as immutable values.

A *replica group* is the set of VMs that joined the same group name and epoch;
the member of rank 0 is its *head* and takes all requests. Group membership is
what the VMs say of themselves, never what a daemon intended.
"""

import dataclasses
import enum
from collections import abc

from arbutuscove.storage import http


class MemberState(enum.StrEnum):
    """What a member says of its group; the last three only a head says."""

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


SERVING_STATES = frozenset((MemberState.OPEN, MemberState.CLOSING))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """The place of a VM in a group."""

    group: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self) -> tuple[str, int]:
        """The group and epoch that all members share."""
        return (self.group, self.epoch)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One VM of a service as it last described itself.

    `started_at_ms` is its start in Unix milliseconds. `staged` are models on
    its host, `loaded` the models in its memory. `slots` is how many requests
    it runs at once. `last_model` is the model of its last group since its
    start, as far as this daemon saw; the VM itself does not say it. It joins a
    group of that model soonest of all.
    """

    name: str
    service: str
    address: http.Address
    failure_domain: str
    slots: int
    leaving: bool = False
    started_at_ms: int = 0
    fabric_domain: str = ""
    staged: tuple[str, ...] = ()
    loaded: tuple[str, ...] = ()
    membership: Membership | None = None
    last_model: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """The members of one group name and epoch that are listed now."""

    name: str
    epoch: int
    members: tuple[Vm, ...]

    @property
    def key(self) -> tuple[str, int]:
        """The name and epoch."""
        return (self.name, self.epoch)

    @property
    def head(self) -> Vm | None:
        """The member of rank 0, None if it is not listed.

        Of several that say so, one that serves, since its members are not
        free.
        """
        found: Vm | None = None
        for vm in self.members:
            if vm.membership is None or vm.membership.rank != 0:
                continue
            if vm.membership.state in SERVING_STATES:
                return vm
            found = found or vm
        return found

    @property
    def model(self) -> str:
        """The model, which the group's name begins with."""
        return parse_model_name(self.name)

    def states(self) -> frozenset[MemberState]:
        """Returns the states of the listed members."""
        return frozenset(
            vm.membership.state
            for vm in self.members
            if vm.membership is not None
        )

    def is_open(self) -> bool:
        """Returns whether the head says that it takes requests."""
        head = self.head
        return (
            head is not None
            and head.membership is not None
            and head.membership.state == MemberState.OPEN
        )


def create_group_name(model: str, epoch: int) -> str:
    """Returns the name of a new group.

    Example:
        >>> create_group_name("chat", 255)
        'chat~ff'
    """
    return f"{model}~{epoch:x}"


def parse_model_name(group: str) -> str:
    """Returns the model in a group's name.

    Example:
        >>> parse_model_name("chat~ff")
        'chat'
    """
    return group.rpartition("~")[0]


def collect_groups(vms: abc.Iterable[Vm]) -> dict[tuple[str, int], Group]:
    """Returns the groups of the listed VMs by name and epoch."""
    members: dict[tuple[str, int], list[Vm]] = {}
    for vm in vms:
        if vm.membership is not None:
            members.setdefault(vm.membership.key, []).append(vm)
    return {
        key: Group(
            name=key[0],
            epoch=key[1],
            members=tuple(sorted(found, key=_read_rank)),
        )
        for key, found in members.items()
    }


def _read_rank(vm: Vm) -> int:
    return 0 if vm.membership is None else vm.membership.rank
