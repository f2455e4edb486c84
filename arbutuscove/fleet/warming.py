"""Until when VMs warm, by what they report of themselves.

A report tells how long a VM still warms as of the time at which it was made. It
arrives later, so that the time is counted from the arrival: the end that
results is never too early.
"""

import collections
import datetime

import eliot

from arbutuscove.fleet import model
from arbutuscove.fleet import notices
from arbutuscove.kernel import clock as clock_module

# VMs of which a report is kept; the one that was reported first is dropped.
MAX_VMS = 4096
# No start takes longer; a longer time would keep a VM limited for ever.
MAX_WARMING_TIME = datetime.timedelta(minutes=10)
# Reports of one start arrive after different times.
LATENESS = datetime.timedelta(milliseconds=500)
# An entry that arrives sooner after an answer may be older than the answer.
MAX_ENTRY_AGE = datetime.timedelta(seconds=2)
ZERO = datetime.timedelta()


class WarmingReports:
    """The VMs that warm now, or that may warm as nothing is known of them.

    All times are monotonic.

    Attributes:
        revision: changes with each report that changes a time.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self.revision = 0
        self._clock = clock
        self._ends: collections.OrderedDict[
            notices.VmIdentity, datetime.timedelta
        ] = collections.OrderedDict()
        # When each VM last said in an answer that it warms.
        self._answered: collections.OrderedDict[
            notices.VmIdentity, datetime.timedelta
        ] = collections.OrderedDict()
        # When each start that said nothing of it was first listed.
        self._silent: collections.OrderedDict[
            notices.VmIdentity, datetime.timedelta
        ] = collections.OrderedDict()

    def record(self, vm: model.Vm, is_new: bool) -> None:
        """Records an entry of a VM.

        Args:
            vm: the VM.
            is_new: whether this start of the VM was not listed before.
        """
        left = vm.warming_left
        if left is None:
            if is_new:
                self.revision += 1
                self._silent[vm.identity] = self._clock.monotonic()
                _bound(self._silent)
            return
        if self._silent.pop(vm.identity, None) is not None:
            self.revision += 1
        if left > ZERO:
            self._put(vm.identity, left, "entry")
        elif (
            not self._has_just_answered(vm.identity)
            and self._ends.pop(vm.identity, None) is not None
        ):
            self.revision += 1
            _log_end(vm.identity)

    def record_notice(
        self, identity: notices.VmIdentity, left: datetime.timedelta
    ) -> None:
        """Records what a VM says in an answer; entries may be older."""
        if left > ZERO:
            self._put(identity, left, "answer")
            self._answered.pop(identity, None)
            self._answered[identity] = self._clock.monotonic()
            _bound(self._answered)

    def _has_just_answered(self, identity: notices.VmIdentity) -> bool:
        answered_at = self._answered.get(identity)
        if answered_at is None:
            return False
        return self._clock.monotonic() - answered_at < MAX_ENTRY_AGE

    def is_later(self, vm: model.Vm) -> bool:
        """Returns whether an entry says that a VM warms longer than known."""
        if not vm.warming_left:
            return False
        left = min(vm.warming_left, MAX_WARMING_TIME)
        end = self._ends.get(vm.identity)
        now = self._clock.monotonic()
        return end is None or now + left > end + LATENESS

    def list_ends(self) -> dict[notices.VmIdentity, datetime.timedelta]:
        """Returns until when VMs warm that said so."""
        now = self._clock.monotonic()
        for identity, end in list(self._ends.items()):
            if end <= now:
                self.revision += 1
                del self._ends[identity]
                _log_end(identity)
        return dict(self._ends)

    def list_silent(self) -> dict[notices.VmIdentity, datetime.timedelta]:
        """Returns when VMs that say nothing were first listed, if lately."""
        oldest = self._clock.monotonic() - MAX_WARMING_TIME
        for identity, since in list(self._silent.items()):
            if since < oldest:
                self.revision += 1
                del self._silent[identity]
        return dict(self._silent)

    def is_empty(self) -> bool:
        """Returns whether no VM may be warming."""
        return not self._ends and not self._silent

    def _put(
        self,
        identity: notices.VmIdentity,
        left: datetime.timedelta,
        source: str,
    ) -> None:
        if identity not in self._ends:
            eliot.log_message(
                "warming:began",
                vm=identity[0],
                born=identity[1],
                left=round(left.total_seconds(), 3),
                source=source,
            )
        end = self._clock.monotonic() + min(left, MAX_WARMING_TIME)
        self._ends[identity] = end
        self.revision += 1
        _bound(self._ends)


def _bound(
    times: collections.OrderedDict[notices.VmIdentity, datetime.timedelta],
) -> None:
    if len(times) > MAX_VMS:
        times.popitem(last=False)


def _log_end(identity: notices.VmIdentity) -> None:
    eliot.log_message("warming:ended", vm=identity[0], born=identity[1])
