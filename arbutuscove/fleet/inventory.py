"""The list of VMs, as this daemon last read it.

A VM's entry expires without a heartbeat. If it is removed while the list could
not be read, or soon afterwards, the VM may be alive and only have been unable
to write its heartbeat. The entry is then kept until the VM has had time to
write it again.

The list may also come back as it was some seconds ago. It then *settles* for as
long: an entry that is older than the one known here does not replace it.

A VM may say in its answers that it leaves before the list does. It then counts
as leaving until it starts again.
"""

import dataclasses
import datetime
from collections import abc

import eliot
from gevent import event

from arbutuscove.fleet import losses as losses_module
from arbutuscove.fleet import model
from arbutuscove.fleet import notices
from arbutuscove.fleet import warming as warming_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "inventory"
# A live VM writes its entry again within two seconds of the list's recovery.
LAPSE_GRACE = datetime.timedelta(milliseconds=2200)
# A pause between reads longer than this counts as an outage of the list.
OUTAGE_THRESHOLD = datetime.timedelta(seconds=2)
# Number of VMs recorded after they have left the list.
MAX_DEPARTED_VMS = 512
# Starts of VMs that said themselves that they leave; the oldest is dropped.
MAX_NOTIFIED_VMS = 4096
# A VM that is still there says it again with its next answer.
NOTICE_TTL = datetime.timedelta(minutes=10)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departed:
    """A VM that is no longer listed, in its last reported state.

    `since` is the monotonic time at which it left the list. If it left while
    the list could not be read, `left_during_outage` is true: the VM may have
    begun to drain without its last entry showing this.
    """

    vm: model.Vm
    since: datetime.timedelta
    left_during_outage: bool = False

    def may_be_serving(self) -> bool:
        """Returns whether the VM may still run requests that it accepted."""
        return self.vm.leaving or self.left_during_outage


class Inventory(services.BaseService):
    """The listed VMs, and those that left the list recently.

    Only the service that reads the list calls `replace` and `update`.
    `revision` changes whenever the VMs change in a way that affects routing.

    Attributes:
        warming: which VMs warm, as far as they say so.
        losses: which groups have lost members, and which VMs are in none.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self.warming = warming_module.WarmingReports(clock)
        self.losses = losses_module.GroupLosses(clock)
        self._clock = clock
        self._vms: dict[str, model.Vm] = {}
        self._grace_deadlines: dict[str, datetime.timedelta] = {}
        self._departed: dict[str, Departed] = {}
        # When each start of a VM last said that it leaves, and whether to this
        # daemon.
        self._notified: dict[
            notices.VmIdentity, tuple[datetime.timedelta, bool]
        ] = {}
        self._read_at: datetime.timedelta | None = None
        self._recovered_at: datetime.timedelta | None = None
        self._settled_at: datetime.timedelta | None = None
        self._changed = event.Event()
        self.revision = 0

    def begin_settling(self) -> None:
        """Records that the list came back as it was some time ago."""
        now = self._clock.monotonic()
        self._recovered_at = now
        self._settled_at = now + LAPSE_GRACE

    def is_settling(self) -> bool:
        """Returns whether the list may lack what VMs have reported."""
        settled = self._settled_at
        return settled is not None and self._clock.monotonic() < settled

    def list_vms(self) -> abc.Collection[model.Vm]:
        """Returns the listed VMs and those kept during a grace period."""
        self._evict_expired()
        return self._vms.values()

    def find(self, name: str) -> model.Vm | None:
        """Returns a listed VM by name, or None."""
        return self._vms.get(name)

    def has_changed(self, vm: model.Vm) -> bool:
        """Returns whether a VM reports another state than before.

        A VM whose entry was removed has changed, even if it is still listed
        here: peers were told of the removal and may have delisted it.
        """
        if self._is_outdated(vm):
            return False
        vm = self._apply_notice(vm)
        before = self._vms.get(vm.name)
        if before is None or vm.name in self._grace_deadlines:
            return True
        if self.warming.is_later(vm):
            return True
        return dataclasses.replace(before, last_model=vm.last_model) != vm

    def list_departed(self) -> abc.Collection[Departed]:
        """Returns the VMs that left the list most recently."""
        return self._departed.values()

    def get_age(self) -> datetime.timedelta | None:
        """Returns the time since the last read, or None before the first."""
        if self._read_at is None:
            return None
        return self._clock.monotonic() - self._read_at

    def wait(self, timeout: datetime.timedelta) -> None:
        """Blocks until the list is read again or `timeout` has passed."""
        self._changed.clear()
        self._changed.wait(timeout.total_seconds())

    def replace(self, vms: abc.Iterable[model.Vm]) -> None:
        """Replaces the list by a complete new one.

        Args:
            vms: all listed VMs.
        """
        self._record_read()
        listed = {vm.name: vm for vm in vms}
        for name in list(self._vms):
            if name not in listed:
                self._remove(name)
        for vm in listed.values():
            self._put(vm)
        self._finish()

    def update(
        self, changed: abc.Iterable[model.Vm], removed: abc.Iterable[str]
    ) -> None:
        """Applies changes of the list.

        Args:
            changed: VMs whose entries were written.
            removed: names of VMs whose entries were removed or have expired.
        """
        self._record_read()
        for vm in changed:
            self._put(vm)
        for name in removed:
            self._remove(name)
        self._finish()

    def record_leaving(
        self, identity: notices.VmIdentity, is_local: bool
    ) -> None:
        """Records that a VM says that it leaves.

        Args:
            identity: the name and start of the VM; a later start of it does
                not leave.
            is_local: whether this daemon received the notice, not a peer.
        """
        now = self._clock.monotonic()
        known = self._notified.get(identity)
        if not is_local and known is not None and now - known[0] < NOTICE_TTL:
            return
        self._notified.pop(identity, None)
        self._notified[identity] = (now, is_local)
        if len(self._notified) > MAX_NOTIFIED_VMS:
            del self._notified[next(iter(self._notified))]
        vm = self._vms.get(identity[0])
        if vm is None or vm.identity != identity or vm.leaving:
            return
        self._vms[vm.name] = dataclasses.replace(vm, leaving=True)
        self.revision += 1
        self._changed.set()
        eliot.log_message(
            "fleet:vm_leaving",
            vm=vm.name,
            born=vm.started_at_ms,
            source="own answer" if is_local else "peer",
        )

    def list_notified(self, limit: int) -> list[notices.VmIdentity]:
        """Returns the VMs whose notice of leaving this daemon received last."""
        now = self._clock.monotonic()
        recent = [
            identity
            for identity, (at, is_local) in self._notified.items()
            if is_local and now - at < NOTICE_TTL and self._is_listed(identity)
        ]
        return recent[-limit:]

    def _is_listed(self, identity: notices.VmIdentity) -> bool:
        vm = self._vms.get(identity[0])
        return vm is not None and vm.identity == identity

    def _apply_notice(self, vm: model.Vm) -> model.Vm:
        """Returns a VM as leaving if it said so since its start."""
        at, _ = self._notified.get(vm.identity, (None, False))
        if at is None or vm.leaving:
            return vm
        if self._clock.monotonic() - at >= NOTICE_TTL:
            return vm
        return dataclasses.replace(vm, leaving=True)

    def _record_read(self) -> None:
        now = self._clock.monotonic()
        if self._read_at is None or now - self._read_at > OUTAGE_THRESHOLD:
            self._recovered_at = now
        self._read_at = now

    def _put(self, vm: model.Vm) -> None:
        if self._is_outdated(vm):
            return
        before = self._vms.get(vm.name)
        departed = self._departed.get(vm.name)
        vm = self._apply_notice(vm)
        is_new = before is None or before.identity != vm.identity
        self.warming.record(vm, is_new)
        former = before
        if former is None and departed is not None:
            former = departed.vm
        self.losses.record_report(former, vm)
        vm = _carry_last_model(former, vm)
        self._grace_deadlines.pop(vm.name, None)
        if before is None or not _has_same_routing(before, vm):
            self.revision += 1
        self._departed.pop(vm.name, None)
        self._vms[vm.name] = vm
        if before is None or before.membership != vm.membership:
            reported = vm.membership
            eliot.log_message(
                "fleet:vm",
                vm=vm.name,
                service=vm.service,
                domain=vm.fabric_domain,
                group=None if reported is None else reported.group,
                rank=None if reported is None else reported.rank,
                state=None if reported is None else reported.state,
                born=vm.started_at_ms,
            )
        elif before.leaving != vm.leaving:
            eliot.log_message("fleet:vm_leaving", vm=vm.name)

    def _is_outdated(self, vm: model.Vm) -> bool:
        """Returns whether an entry is older than what is known of its VM."""
        if not self.is_settling():
            return False
        known = self._vms.get(vm.name)
        if known is not None:
            return vm.precedes(known)
        departed = self._departed.get(vm.name)
        # Not even the same report, as the VM's removal came after it.
        return departed is not None and not departed.vm.precedes(vm)

    def _remove(self, name: str) -> None:
        if name not in self._vms:
            return
        now = self._clock.monotonic()
        recovered = self._recovered_at
        if recovered is not None and now - recovered < LAPSE_GRACE:
            self._grace_deadlines.setdefault(name, recovered + LAPSE_GRACE)
            return
        self._evict(name, now, left_during_outage=False)

    def _evict_expired(self) -> None:
        now = self._clock.monotonic()
        due = [
            name
            for name, deadline in self._grace_deadlines.items()
            if deadline <= now
        ]
        for name in due:
            del self._grace_deadlines[name]
            self._evict(name, now, left_during_outage=True)

    def _evict(
        self, name: str, now: datetime.timedelta, left_during_outage: bool
    ) -> None:
        """Moves a VM from the list to the departed VMs."""
        vm = self._vms.pop(name, None)
        if vm is None:
            return
        self.losses.forget_vm(vm.identity)
        eliot.log_message(
            "fleet:vm_gone",
            vm=name,
            service=vm.service,
            leaving=vm.leaving,
            hidden=left_during_outage,
        )
        self._departed[name] = Departed(
            vm=vm, since=now, left_during_outage=left_during_outage
        )
        while len(self._departed) > MAX_DEPARTED_VMS:
            del self._departed[next(iter(self._departed))]
        self.revision += 1

    def _finish(self) -> None:
        self._evict_expired()
        self._changed.set()


def _has_same_routing(before: model.Vm, vm: model.Vm) -> bool:
    """Returns whether two states of a VM are equal for request routing."""
    same = dataclasses.replace(
        vm,
        staged=before.staged,
        loaded=before.loaded,
        last_model=before.last_model,
    )
    return same == before


def _carry_last_model(before: model.Vm | None, vm: model.Vm) -> model.Vm:
    """Sets the model of a VM's last group since its start.

    While a VM joins a group of another model, no last model is set.

    Args:
        before: the VM's state before, listed or departed, if any.
        vm: the VM's new state.

    Returns:
        The new state with `last_model` set.
    """
    model_name = ""
    if before is not None and before.started_at_ms == vm.started_at_ms:
        model_name = before.last_model
    if vm.membership is not None:
        current = model.parse_model_name(vm.membership.group)
        is_loaded = vm.membership.state != model.MemberState.JOINING
        model_name = current if is_loaded or model_name == current else ""
    return dataclasses.replace(vm, last_model=model_name) if model_name else vm
