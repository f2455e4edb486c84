"""Requests that may be running at a VM, also after their attempts have ended.

Load pattern: callers leave before their request crashes its VM. The connection
is closed by then, so that no attempt sees the crash.

An *exposure* lasts from the send until the VM has survived the request, or is
known not to have run it. An attempt may end before: as its caller leaves, its
deadline passes, or another attempt replaces it. Most VMs drop a request when
its connection closes, not all do, and none at once. The exposure then stays
*open* until the VM shows life later than `RUN_GRACE` after the end. While it is
open and the VM shows no life, the VM has to be examined.
"""

import collections
import dataclasses
import datetime
import itertools
import typing

from arbutuscove.crashes import traits

# For how long a VM may go on with a request after its connection has closed.
RUN_GRACE = datetime.timedelta(seconds=3)
# From the end of an attempt, or a later sign of life, to the examination of a
# VM, and between two of them.
EXAMINE_DELAY = datetime.timedelta(milliseconds=300)
EXAMINE_INTERVAL = datetime.timedelta(seconds=1)
# A VM that has crashed is listed with its new start within this time, or stays
# away.
MAX_WATCH = datetime.timedelta(seconds=15)
MAX_ENDED = 1024  # exposures whose attempt has ended; the oldest is dropped

VmIdentity = str


class Vm(typing.Protocol):
    """The part of a VM's listed state that tells whether it has crashed."""

    @property
    def name(self) -> str:
        """The name, the same after a restart."""

    @property
    def started_at_ms(self) -> int:
        """The start in Unix milliseconds, compared only with its own."""

    @property
    def leaving(self) -> bool:
        """Whether the VM drains."""


VmT = typing.TypeVar("VmT", bound=Vm)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exposure(typing.Generic[VmT]):
    """One request at one start of a VM.

    Attributes:
        number: tells it from all others of this daemon.
        identity: the start of the VM.
        vm: the VM that the request was sent to.
        request: the request.
        sent_at: monotonic time of the send.
        has_begun: whether the VM is known to have begun to run it.
    """

    number: int
    identity: VmIdentity
    vm: VmT
    request: traits.Request
    sent_at: datetime.timedelta
    has_begun: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Ended(typing.Generic[VmT]):
    """An exposure whose attempt has ended without an answer.

    It keeps the traits only: the request may hold a large body.

    Attributes:
        identity: the start of the VM.
        vm: the VM that the request was sent to.
        suspects: depth by key of its traits.
        sent_at: monotonic time of the send.
        ended_at: monotonic time of the end of the attempt.
        has_begun: whether the VM is known to have begun to run it.
    """

    identity: VmIdentity
    vm: VmT
    suspects: traits.Suspects
    sent_at: datetime.timedelta
    ended_at: datetime.timedelta
    has_begun: bool


class Exposures(typing.Generic[VmT]):
    """The exposures of one daemon."""

    def __init__(self) -> None:
        self._numbers = itertools.count()
        # Bounded by the attempts in progress.
        self._active: dict[VmIdentity, dict[int, Exposure[VmT]]] = {}
        # By number; the oldest end first.
        self._ended: collections.OrderedDict[int, _Ended[VmT]] = (
            collections.OrderedDict()
        )
        # Monotonic times of the last sign of life and of the last examination;
        # bounded by the VMs with exposures.
        self._alive_at: dict[VmIdentity, datetime.timedelta] = {}
        self._examined_at: dict[VmIdentity, datetime.timedelta] = {}

    def begin(
        self,
        request: traits.Request,
        vm: VmT,
        now: datetime.timedelta,
        has_begun: bool,
    ) -> Exposure[VmT]:
        """Adds a request that is being sent to a VM."""
        exposure = Exposure(
            number=next(self._numbers),
            identity=identify(vm),
            vm=vm,
            request=request,
            sent_at=now,
            has_begun=has_begun,
        )
        active = self._active.setdefault(exposure.identity, {})
        active[exposure.number] = exposure
        return exposure

    def record_begin(self, exposure: Exposure[VmT]) -> None:
        """Records that the VM has begun to run the request."""
        active = self._active.get(exposure.identity, {})
        if exposure.number in active:
            active[exposure.number] = dataclasses.replace(
                exposure, has_begun=True
            )

    def finish(self, exposure: Exposure[VmT]) -> None:
        """Removes a request that the VM has survived or did not run."""
        self._pop_active(exposure)

    def end(self, exposure: Exposure[VmT], now: datetime.timedelta) -> None:
        """Ends the attempt at a request that the VM may still run.

        Has no effect after the death of the VM was recorded.
        """
        active = self._pop_active(exposure)
        if active is None:
            return
        self._ended[active.number] = _Ended(
            identity=active.identity,
            vm=active.vm,
            suspects=traits.limit_suspects(traits.list_traits(active.request)),
            sent_at=active.sent_at,
            ended_at=now,
            has_begun=active.has_begun,
        )
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    def record_life(self, vm: Vm, now: datetime.timedelta) -> None:
        """Records that this start of a VM has answered."""
        self._alive_at[identify(vm)] = now

    def has_ended(self) -> bool:
        """Returns whether any attempt has ended whose request may still run."""
        return bool(self._ended)

    def list_open(self) -> list[VmT]:
        """Returns the VMs whose crash only ended attempts may show."""
        return list(
            {item.identity: item.vm for item in self._ended.values()}.values()
        )

    def list_due(self, now: datetime.timedelta, limit: int) -> list[VmT]:
        """Returns the VMs to examine, and takes them as examined.

        Args:
            now: the monotonic time.
            limit: how many at most.
        """
        newest: dict[VmIdentity, _Ended[VmT]] = {
            item.identity: item for item in self._ended.values()
        }
        due: list[VmT] = []
        for identity, item in newest.items():
            alive_at = self._alive_at.get(identity, item.ended_at)
            due_at = max(item.ended_at, alive_at) + EXAMINE_DELAY
            if identity in self._examined_at:
                next_at = self._examined_at[identity] + EXAMINE_INTERVAL
                due_at = max(due_at, next_at)
            if now >= due_at and len(due) < limit:
                self._examined_at[identity] = now
                due.append(item.vm)
        return due

    def expire(self, now: datetime.timedelta) -> None:
        """Drops what the VMs have survived, and what is too old."""
        for number, item in list(self._ended.items()):
            if self._is_survived(item, now):
                del self._ended[number]
        kept = self._active.keys() | {
            item.identity for item in self._ended.values()
        }
        for times in (self._alive_at, self._examined_at):
            for identity in times.keys() - kept:
                del times[identity]

    def forget(self, vm: Vm) -> None:
        """Drops the ended attempts at a VM, whose end is planned."""
        self._pop_ended(identify(vm))

    def take(
        self, identity: VmIdentity, crashed_at: datetime.timedelta
    ) -> tuple[traits.Suspects, traits.Suspects]:
        """Removes all exposures at a start of a VM that has crashed.

        Args:
            identity: the start of the VM.
            crashed_at: monotonic time of the crash at the latest; what was sent
                later has not run there.

        Returns:
            The traits of the requests that were running there, and of those
            that may have waited to run.
        """
        running: dict[traits.TraitKey, int] = {}
        waiting: dict[traits.TraitKey, int] = {}
        for item in self._pop_ended(identity):
            if not self._is_survived(item, crashed_at):
                target = running if item.has_begun else waiting
                target |= item.suspects
        for exposure in self._active.pop(identity, {}).values():
            if exposure.sent_at <= crashed_at:
                target = running if exposure.has_begun else waiting
                target |= traits.list_traits(exposure.request)
        return running, waiting

    def has_any(self, identity: VmIdentity) -> bool:
        """Returns whether any request may be running at a start of a VM."""
        return identity in self._active or any(
            item.identity == identity for item in self._ended.values()
        )

    def _is_survived(self, item: _Ended[VmT], now: datetime.timedelta) -> bool:
        alive_at = self._alive_at.get(item.identity)
        return now - item.ended_at > MAX_WATCH or (
            alive_at is not None and alive_at - item.ended_at > RUN_GRACE
        )

    def _pop_active(self, exposure: Exposure[VmT]) -> Exposure[VmT] | None:
        active = self._active.get(exposure.identity, {})
        found = active.pop(exposure.number, None)
        if not active:
            self._active.pop(exposure.identity, None)
        return found

    def _pop_ended(self, identity: VmIdentity) -> list[_Ended[VmT]]:
        numbers = [
            number
            for number, item in self._ended.items()
            if item.identity == identity
        ]
        return [self._ended.pop(number) for number in numbers]


def identify(vm: Vm) -> VmIdentity:
    """Returns what tells one start of a VM from all others."""
    return f"{vm.name}@{vm.started_at_ms}"
