"""The requests per second that each daemon may send to a warming VM.

A VM that has just started bears a limited rate of requests. The daemons divide
it without messages: they are ordered by rendezvous hashing (Thaler and
Ravishankar, Using Name-Based Mappings to Increase Hit Rates, 1998), a new order
for each start of each VM, and the whole requests per second of the rate are
dealt in that order, one to each daemon and round again. Daemons with callers
precede those without, whose turns would remain unused. A daemon spaces its
requests evenly by its own monotonic clock, so that in any second it sends no
more than it was dealt, whatever the clocks of the others say.

If all daemons know the same daemons, the sum in any second is at most the rate.
A daemon that knows a share s of the fleet, or of the daemons with callers,
counts only that share of the daemons that precede it; if all daemons are so
mistaken, the expected sum is rate / s.

A VM may become cold as it runs, and a daemon hears of it later. What it sent
there meanwhile counts as a turn: its next one comes a space after the last
send. So a daemon whose turn was used before the news adds none to the sum.

A VM that becomes cold again within a second of its end has got the rate in that
second already. So for a second after the end the whole bound is dealt in the
same way, instead of no limit at all: more than a warm VM serves as a rule.
Daemons that have ended, but are still counted, leave their part unused. A
fleet of which each part knows only itself sends the rate once for each part, so
callers keep daemons in `FleetView.others` long after they fell silent.
"""

import collections
import dataclasses
import datetime
import math
from collections import abc

import xxhash

# Requests are spaced for slightly more than a second, as their times of arrival
# vary a little.
WINDOW = datetime.timedelta(milliseconds=1020)
# After a VM has ceased to warm, the whole bound is dealt for this time, as the
# requests of the last second count if the VM becomes cold again.
TAIL = WINDOW
# VMs whose next turn is known; the one that was used first is dropped.
MAX_VMS = 4096

# Least rate that is dealt, in requests a second, whatever the bound.
MIN_RATE = 0.01

# Name and start of a VM, in Unix milliseconds.
VmIdentity = tuple[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """The daemons that share the rate, as one of them knows them.

    Attributes:
        own: name of this daemon.
        others: names of the other daemons, also of those heard lately only.
        size: number of daemons, with this one, by the largest count heard.
            Unknown daemons are assumed to be ordered evenly among the known.
        busy: names of the daemons that have callers, also of this one.
        is_settled: whether this daemon had time to hear of the others, and its
            former process sends nothing more. It takes no turns before.
    """

    own: str
    others: frozenset[str]
    size: int = 1
    busy: frozenset[str] = frozenset()
    is_settled: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bound:
    """Most requests that all daemons may send to a warming VM in a second.

    It is `overshoot` times the VM's rate plus `slack`.
    """

    overshoot: float
    slack: float

    def limit(self, rate: float) -> float:
        """Returns the rate to aim at, which is the VM's own unless above."""
        return max(MIN_RATE, min(rate, self.allow(rate)))

    def allow(self, rate: float) -> float:
        """Returns the rate that must not be passed, by the VM's own."""
        return max(MIN_RATE, rate * self.overshoot + self.slack)


def create_lone_view() -> FleetView:
    """Returns the view of a daemon that is the only one."""
    return FleetView(own="", others=frozenset())


def compute_quota(rate: float, view: FleetView, vm: VmIdentity) -> int:
    """Returns how many turns this daemon has in each `get_window(rate)`.

    Args:
        rate: requests a second that the VM bears, above 0.
        view: the daemons as known.
        vm: the VM.
    """
    if not view.is_settled:
        return 0
    turns = max(1, math.floor(rate))
    others = view.others - {view.own}
    known = len(others) + 1
    size = max(known, view.size)
    rank = _compute_rank(view.own, others, view.busy, vm)
    # Mean number of unknown daemons that precede this one.
    rank += math.ceil((size - known) * (rank + 1) / (known + 1))
    return turns // size + (1 if rank < turns % size else 0)


def get_window(rate: float) -> datetime.timedelta:
    """Returns the time to which a quota refers: longer for less than 1/s."""
    return WINDOW * max(1.0, 1.0 / rate)


def _compute_rank(
    own: str, others: abc.Set[str], busy: abc.Set[str], vm: VmIdentity
) -> int:
    """Returns how many of the other daemons precede this one for a VM.

    Busy daemons precede the others; their order among themselves is not needed
    for a rank behind all of them.
    """
    equals = [name for name in others if (name in busy) == (own in busy)]
    preceding = 0 if own in busy else len(busy & others)
    seed = xxhash.xxh3_64_intdigest(f"{vm[1]} {vm[0]}".encode())
    weight = (xxhash.xxh3_64_intdigest(own.encode(), seed=seed), own)
    return preceding + sum(
        (xxhash.xxh3_64_intdigest(name.encode(), seed=seed), name) > weight
        for name in equals
    )


class Turns:
    """The turns of one daemon at all warming VMs.

    Unused turns are not saved: the next one is at least a space after the last.
    """

    def __init__(self) -> None:
        self._next: collections.OrderedDict[VmIdentity, datetime.timedelta] = (
            collections.OrderedDict()
        )
        # When this daemon last sent to VMs that did not warm, as known then.
        self._sent: collections.OrderedDict[VmIdentity, datetime.timedelta] = (
            collections.OrderedDict()
        )
        self._view: FleetView | None = None
        self._quotas: dict[tuple[VmIdentity, float], int] = {}

    def copy(self) -> "Turns":
        """Returns turns that are taken apart from these."""
        copied = Turns()
        copied._next = self._next.copy()
        return copied

    def is_due(
        self,
        vm: VmIdentity,
        rate: float,
        view: FleetView,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether this daemon may send a request to a VM now.

        Args:
            vm: the VM.
            rate: requests a second that it bears.
            view: the daemons as known.
            now: monotonic time.
        """
        quota = self._get_quota(vm, rate, view)
        return quota > 0 and now >= self._get_due(vm, rate, quota, now)

    def record_send(self, vm: VmIdentity, now: datetime.timedelta) -> None:
        """Records a request sent to a VM that does not warm, as known now."""
        self._sent.pop(vm, None)
        self._sent[vm] = now
        if len(self._sent) > MAX_VMS:
            self._sent.popitem(last=False)

    def take(
        self,
        vm: VmIdentity,
        rate: float,
        view: FleetView,
        now: datetime.timedelta,
    ) -> None:
        """Records that a request is sent to a VM; see `is_due`."""
        quota = max(1, self._get_quota(vm, rate, view))
        self._next.pop(vm, None)
        self._next[vm] = now + get_window(rate) / quota
        if len(self._next) > MAX_VMS:
            self._next.popitem(last=False)

    def get_wait(
        self,
        vm: VmIdentity,
        rate: float,
        view: FleetView,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        """Returns the time until the next turn, None if there will be none."""
        quota = self._get_quota(vm, rate, view)
        if quota <= 0:
            return None
        due = self._get_due(vm, rate, quota, now)
        return max(due - now, datetime.timedelta())

    def _get_due(
        self,
        vm: VmIdentity,
        rate: float,
        quota: int,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns when the next turn comes, `now` if it may be used."""
        due = self._next.get(vm, now)
        sent_at = self._sent.get(vm)
        if sent_at is not None:
            due = max(due, sent_at + get_window(rate) / quota)
        return due

    def _get_quota(self, vm: VmIdentity, rate: float, view: FleetView) -> int:
        if self._view is not view:
            if self._view != view:
                self._quotas.clear()
            # Kept also if equal, so that the next comparison is short.
            self._view = view
        quota = self._quotas.get((vm, rate))
        if quota is None:
            if len(self._quotas) >= MAX_VMS:
                self._quotas.clear()
            quota = self._quotas[(vm, rate)] = compute_quota(rate, view, vm)
        return quota
