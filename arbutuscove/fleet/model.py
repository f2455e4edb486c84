"""VMs and replica groups as immutable values.

A *replica group* is the set of VMs that joined the same group name and epoch.
The member of rank 0 is its *head* and receives all requests. Membership is
always what the VMs report, never what a daemon intended.
"""

import dataclasses
import datetime
import enum
from collections import abc

from arbutuscove.fleet import notices
from arbutuscove.storage import http


class MemberState(enum.StrEnum):
    """State that a member reports.

    Only a head reports `OPEN`, `CLOSING` or `BROKEN`.
    """

    JOINING = "joining"
    READY = "ready"
    OPEN = "open"
    CLOSING = "closing"
    BROKEN = "broken"


SERVING_STATES = frozenset((MemberState.OPEN, MemberState.CLOSING))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """Group, epoch, rank and state of a VM."""

    group: str
    epoch: int
    rank: int
    state: MemberState

    @property
    def key(self) -> tuple[str, int]:
        """Group name and epoch, which are the same for all members."""
        return (self.group, self.epoch)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One VM of a service, as it last reported.

    `started_at_ms` is its start time in Unix milliseconds. `staged` are the
    models on its host, `loaded` the models in its memory. `slots` is how many
    requests it runs concurrently. `last_model` is the model of its last group
    since its start, as observed by this daemon; the VM does not report it. The
    VM joins a group of that model faster than a group of any other. `sequence`
    counts the VM's heartbeats since its start, 0 if unknown; it orders reports.
    `warming_left` is for how long the VM still bears only a limited rate of
    requests, as of the report; None if unknown. Neither counts in comparisons,
    since both change with each report.
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
    sequence: int = dataclasses.field(default=0, compare=False)
    warming_left: datetime.timedelta | None = dataclasses.field(
        default=None, compare=False
    )

    @property
    def identity(self) -> notices.VmIdentity:
        """Name and start, which tell this start of the VM from others."""
        return (self.name, self.started_at_ms)

    def precedes(self, other: "Vm") -> bool:
        """Returns whether this report of a VM was made before another one.

        Without both heartbeat counts, a VM that leaves does not become ready
        again without a start.
        """
        if self.started_at_ms != other.started_at_ms:
            return 0 < self.started_at_ms < other.started_at_ms
        if self.sequence > 0 and other.sequence > 0:
            return self.sequence < other.sequence
        return other.leaving and not self.leaving


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Group:
    """The listed members of one group name and epoch."""

    name: str
    epoch: int
    members: tuple[Vm, ...]

    @property
    def key(self) -> tuple[str, int]:
        """Name and epoch."""
        return (self.name, self.epoch)

    @property
    def head(self) -> Vm | None:
        """The member of rank 0, or None if it is not listed.

        If several members report rank 0, a serving one is preferred, because
        its members must not be reused.
        """
        first: Vm | None = None
        for vm in self.members:
            if vm.membership is None or vm.membership.rank != 0:
                continue
            if vm.membership.state in SERVING_STATES:
                return vm
            first = first or vm
        return first

    @property
    def model(self) -> str:
        """The model, parsed from the group's name."""
        return parse_model_name(self.name)

    def collect_states(self) -> frozenset[MemberState]:
        """Returns the states of the listed members."""
        return frozenset(
            vm.membership.state
            for vm in self.members
            if vm.membership is not None
        )

    def is_open(self) -> bool:
        """Returns whether the head reports that it accepts requests."""
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
    """Returns the model that a group's name begins with.

    Example:
        >>> parse_model_name("chat~ff")
        'chat'
    """
    return group.rpartition("~")[0]


def collect_groups(vms: abc.Iterable[Vm]) -> dict[tuple[str, int], Group]:
    """Groups the listed VMs by group name and epoch.

    The members of each group are sorted by rank. VMs without a membership are
    ignored.
    """
    members: dict[tuple[str, int], list[Vm]] = {}
    for vm in vms:
        if vm.membership is not None:
            members.setdefault(vm.membership.key, []).append(vm)
    return {
        key: Group(
            name=key[0],
            epoch=key[1],
            members=tuple(sorted(vms_of_group, key=_get_rank)),
        )
        for key, vms_of_group in members.items()
    }


def _get_rank(vm: Vm) -> int:
    return 0 if vm.membership is None else vm.membership.rank
