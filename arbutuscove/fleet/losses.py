"""What reports of VMs tell of groups that no longer serve.

A group that has lost a member moves nothing, and its engine stops serving after
the stall timeout, wherever its head is and whoever reaches it. That a member
reports to be in the group no longer is therefore enough to know when the head
serves no longer, without an answer of the head.

Each daemon records this from the list, so that a new lease holder knows it,
too.
"""

import collections
import dataclasses
import datetime

from arbutuscove.fleet import model
from arbutuscove.fleet import notices
from arbutuscove.kernel import clock as clock_module

# Groups of which a loss is kept; the one recorded first is dropped.
MAX_GROUPS = 4096

GroupKey = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Loss:
    """The first loss of a member of a group.

    `since` is the monotonic time from which the member is known to be in the
    group no longer. `has_head_ended` is true once the head itself is known to
    serve the group no longer.
    """

    since: datetime.timedelta
    has_head_ended: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Freedom:
    """Since when a VM is known to be in no group, and its former group.

    `former` is None if the VM was in no group when it was first seen: it may
    have left one just before.
    """

    since: datetime.timedelta
    former: GroupKey | None = None


class GroupLosses:
    """Losses of groups, and the VMs that are in no group.

    Plain VMs, which have no fabric domain, are in no group at any time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._losses: collections.OrderedDict[GroupKey, Loss] = (
            collections.OrderedDict()
        )
        self._free: dict[notices.VmIdentity, Freedom] = {}

    def record_report(self, before: model.Vm | None, vm: model.Vm) -> None:
        """Records what a report of a VM tells of its former group.

        Args:
            before: the report before it, None if there is none.
            vm: the report.
        """
        if before is not None and vm.precedes(before):
            return
        former = None if before is None else before.membership
        current = vm.membership
        key = None if current is None else current.key
        if before is not None and former is not None and former.key != key:
            is_head = former.rank == 0 and _is_later(vm, before)
            self.record_loss(former.key, is_head)
        if current is not None and (former is None or former.key != key):
            # The report without this membership was an old one.
            self._losses.pop(current.key, None)
        if current is not None and current.state == model.MemberState.BROKEN:
            self.record_end(current.key)
        if before is not None and before.identity != vm.identity:
            # A new start of the VM has been in no group yet.
            self._free.pop(before.identity, None)
            former = None
        if key is not None or not vm.fabric_domain:
            self._free.pop(vm.identity, None)
        elif vm.identity not in self._free:
            self._free[vm.identity] = Freedom(
                since=self._clock.monotonic(),
                former=None if former is None else former.key,
            )

    def record_loss(self, key: GroupKey, is_head: bool) -> None:
        """Records that a VM is now known to be in a group no longer.

        Args:
            key: name and epoch of the group.
            is_head: whether the VM was the head of the group.
        """
        known = self._losses.get(key)
        if known is None:
            known = Loss(since=self._clock.monotonic())
        if is_head:
            known = dataclasses.replace(known, has_head_ended=True)
        self._losses[key] = known
        while len(self._losses) > MAX_GROUPS:
            self._losses.popitem(last=False)

    def record_end(self, key: GroupKey) -> None:
        """Records that the head of a group serves it no longer."""
        self.record_loss(key, is_head=True)

    def record_unused(self, identity: notices.VmIdentity) -> None:
        """Records that a VM has been in no group since its start."""
        self._free.pop(identity, None)

    def forget_vm(self, identity: notices.VmIdentity) -> None:
        """Forgets a VM that is no longer listed."""
        self._free.pop(identity, None)

    def find_loss(self, key: GroupKey) -> Loss | None:
        """Returns the loss of a group, None if it is not known to have one."""
        return self._losses.get(key)

    def find_freedom(self, identity: notices.VmIdentity) -> Freedom | None:
        """Returns since when a VM is in no group.

        The result is None if the VM is in a group or has never been in one.
        """
        return self._free.get(identity)

    def may_be_needed(
        self, identity: notices.VmIdentity, timeout: datetime.timedelta
    ) -> bool:
        """Returns whether a VM's former group may still serve without it.

        Args:
            identity: a VM that is in no group.
            timeout: time from the loss of a member until the head of the group
                serves no longer.
        """
        freedom = self._free.get(identity)
        if freedom is None:
            return False
        since = freedom.since
        loss = None
        if freedom.former is not None:
            loss = self._losses.get(freedom.former)
        if loss is not None:
            if loss.has_head_ended:
                return False
            since = min(since, loss.since)
        return self._clock.monotonic() - since < timeout


def _is_later(vm: model.Vm, before: model.Vm) -> bool:
    """Returns whether a report is certainly later than another one."""
    return (
        vm.started_at_ms > before.started_at_ms or vm.sequence > before.sequence
    )
