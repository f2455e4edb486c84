"""The VMs listed now, as this daemon last read them.

An entry that goes away while the list could not be read, or soon after, may
only have lapsed for want of a heartbeat. It is kept until the VM had time to
write it again.
"""

import dataclasses
import datetime
from collections import abc

import eliot
from gevent import event

from arbutuscove.fleet import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "inventory"
# A live VM writes its entry again within two seconds of the list's return.
LAPSE_GRACE = datetime.timedelta(milliseconds=2200)
# A longer pause between reads may hide an outage of the list.
OUTAGE = datetime.timedelta(seconds=2)
DEPARTED_LIMIT = 512  # VMs remembered after they left the list


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departed:
    """A VM that is listed no more, as it was, and since when.

    `hidden` says that the list could not be read while it went away, so that
    it may have drained without its last entry saying so.
    """

    vm: model.Vm
    since: datetime.timedelta
    hidden: bool = False

    def may_be_serving(self) -> bool:
        """Returns whether it may still be at work that it had accepted."""
        return self.vm.leaving or self.hidden


class Inventory(services.BaseService):
    """The list of VMs; the reader of the list is its only writer."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._vms: dict[str, model.Vm] = {}
        self._lapsed: dict[str, datetime.timedelta] = {}
        self._departed: dict[str, Departed] = {}
        self._read_at: datetime.timedelta | None = None
        self._returned_at: datetime.timedelta | None = None
        self._changed = event.Event()
        self.revision = 0

    def list_vms(self) -> abc.Collection[model.Vm]:
        """Returns the VMs that may be used or waited for."""
        self._drop_lapsed()
        return self._vms.values()

    def find(self, name: str) -> model.Vm | None:
        """Returns a listed VM by name."""
        return self._vms.get(name)

    def has_changed(self, vm: model.Vm) -> bool:
        """Returns whether a VM says something else of itself than before."""
        before = self._vms.get(vm.name)
        if before is None:
            return True
        return dataclasses.replace(before, last_model=vm.last_model) != vm

    def list_departed(self) -> abc.Collection[Departed]:
        """Returns VMs that left the list lately."""
        return self._departed.values()

    def get_age(self) -> datetime.timedelta | None:
        """Returns the time since the list was read, None before that."""
        if self._read_at is None:
            return None
        return self._clock.monotonic() - self._read_at

    def wait(self, timeout: datetime.timedelta) -> None:
        """Returns when the list has changed, or after `timeout`."""
        self._changed.clear()
        self._changed.wait(timeout.total_seconds())

    def replace(self, vms: abc.Iterable[model.Vm]) -> None:
        """Takes a whole list."""
        self._note_read()
        found = {vm.name: vm for vm in vms}
        for name in list(self._vms):
            if name not in found:
                self._remove(name)
        for vm in found.values():
            self._put(vm)
        self._finish()

    def update(
        self, changed: abc.Iterable[model.Vm], removed: abc.Iterable[str]
    ) -> None:
        """Takes changes of the list."""
        self._note_read()
        for vm in changed:
            self._put(vm)
        for name in removed:
            self._remove(name)
        self._finish()

    def _note_read(self) -> None:
        now = self._clock.monotonic()
        if self._read_at is None or now - self._read_at > OUTAGE:
            self._returned_at = now
        self._read_at = now

    def _put(self, vm: model.Vm) -> None:
        before = self._vms.get(vm.name)
        vm = _carry_served(before, self._departed.get(vm.name), vm)
        self._lapsed.pop(vm.name, None)
        if before is None or not _serves_alike(before, vm):
            self.revision += 1
        self._departed.pop(vm.name, None)
        self._vms[vm.name] = vm
        if before is None or before.membership != vm.membership:
            held = vm.membership
            eliot.log_message(
                "fleet:vm",
                vm=vm.name,
                service=vm.service,
                domain=vm.fabric_domain,
                group=None if held is None else held.group,
                rank=None if held is None else held.rank,
                state=None if held is None else held.state,
                born=vm.started_at_ms,
            )
        elif before.leaving != vm.leaving:
            eliot.log_message("fleet:vm_leaving", vm=vm.name)

    def _remove(self, name: str) -> None:
        if name not in self._vms:
            return
        now = self._clock.monotonic()
        returned = self._returned_at
        if returned is not None and now - returned < LAPSE_GRACE:
            self._lapsed.setdefault(name, returned + LAPSE_GRACE)
            return
        self._forget(name, now, hidden=False)

    def _drop_lapsed(self) -> None:
        now = self._clock.monotonic()
        due = [name for name, until in self._lapsed.items() if until <= now]
        for name in due:
            del self._lapsed[name]
            self._forget(name, now, hidden=True)

    def _forget(self, name: str, now: datetime.timedelta, hidden: bool) -> None:
        vm = self._vms.pop(name, None)
        if vm is None:
            return
        eliot.log_message(
            "fleet:vm_gone",
            vm=name,
            service=vm.service,
            leaving=vm.leaving,
            hidden=hidden,
        )
        self._departed[name] = Departed(vm=vm, since=now, hidden=hidden)
        while len(self._departed) > DEPARTED_LIMIT:
            del self._departed[next(iter(self._departed))]
        self.revision += 1

    def _finish(self) -> None:
        self._drop_lapsed()
        self._changed.set()


def _serves_alike(before: model.Vm, vm: model.Vm) -> bool:
    """Returns whether nothing changed that decides where requests go."""
    same = dataclasses.replace(
        vm,
        staged=before.staged,
        loaded=before.loaded,
        last_model=before.last_model,
    )
    return same == before


def _carry_served(
    before: model.Vm | None, departed: Departed | None, vm: model.Vm
) -> model.Vm:
    """Returns a VM with the model of its last group since its start."""
    if before is None and departed is not None:
        before = departed.vm
    known = ""
    if before is not None and before.started_at_ms == vm.started_at_ms:
        known = before.last_model
    if vm.membership is not None:
        served = model.parse_model_name(vm.membership.group)
        loaded = vm.membership.state != model.MemberState.JOINING
        known = served if loaded or known == served else ""
    return dataclasses.replace(vm, last_model=known) if known else vm
