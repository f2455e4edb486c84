"""The daemons that share the turns at warming VMs, as this daemon knows them.

Daemons that fell silent count on, as they may only be cut off; without that,
each part of a split fleet would send the whole rate. For the same reason others
count as busy at once and for long, and this daemon only once the others know.
"""

import datetime
from collections import abc

from arbutuscove.balancing import cold
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import budget

MAX_AGE = datetime.timedelta(milliseconds=500)
# Until a daemon has heard most of the others after its start. An earlier
# process of it may have used its turns shortly before.
DISCOVERY_TIME = datetime.timedelta(seconds=3)
MAX_DAEMONS = 4096  # a larger number that a daemon tells is not believed
# How long a live daemon counts as busy after its last request. This daemon
# counts itself for a shorter time than the others do.
BUSY_MEMORY = datetime.timedelta(seconds=30)
OWN_BUSY_MEMORY = datetime.timedelta(seconds=15)
# Until the others have heard that this daemon has callers.
BUSY_DELAY = DISCOVERY_TIME
# Part of the fleet that has to be heard to know which daemons are busy.
MIN_HEARD_SHARE = 0.5


class FleetViewReader:
    """Reads the view and keeps it for `MAX_AGE`.

    `list_heard` returns the names of the other daemons that were heard within a
    time, `list_sizes` how many daemons each live one has counted,
    `has_possible_peers` whether the store lists other daemons, and `list_busy`
    whether each live daemon, also this one, has requests now.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        own: str,
        list_heard: abc.Callable[[datetime.timedelta], frozenset[str]],
        list_sizes: abc.Callable[[], abc.Iterable[int]],
        has_possible_peers: abc.Callable[[], bool],
        list_busy: abc.Callable[[], abc.Mapping[str, bool]] = dict,
    ) -> None:
        self._clock = clock
        self._own = own
        self._list_heard = list_heard
        self._list_sizes = list_sizes
        self._has_possible_peers = has_possible_peers
        self._list_busy = list_busy
        # When each of the others that count as busy last had requests; of this
        # daemon, also since when.
        self._busy_at: dict[str, datetime.timedelta] = {}
        self._own_busy_at: datetime.timedelta | None = None
        self._busy_since: datetime.timedelta | None = None
        self._started_at = clock.monotonic()
        self._largest_size = budget.FleetSize(clock, self._get_told_size)
        self._view: cold.FleetView | None = None
        self._read_at = self._started_at

    def read(self) -> cold.FleetView:
        """Returns the view; to be called regularly, also without requests."""
        now = self._clock.monotonic()
        if self._view is not None and now - self._read_at < MAX_AGE:
            return self._view
        others = self._list_heard(budget.UNHEARD_TTL)
        # Without any peer, nothing tells a lone daemon from one that is cut
        # off but what the store lists.
        is_cut_off = not others and self._has_possible_peers()
        has_listened = now - self._started_at >= DISCOVERY_TIME
        self._read_at = now
        size = self._largest_size.get()
        self._view = cold.FleetView(
            own=self._own,
            others=others,
            size=size,
            busy=self._update_busy(others, size, now),
            is_settled=has_listened and not is_cut_off,
        )
        return self._view

    def _update_busy(
        self, others: frozenset[str], size: int, now: datetime.timedelta
    ) -> frozenset[str]:
        """Returns the names of the busy daemons, none if they are unknown."""
        live = self._list_busy()
        for name, is_busy in live.items():
            if is_busy and name != self._own:
                self._busy_at[name] = now
        for name, busy_at in list(self._busy_at.items()):
            is_old = name in live and now - busy_at > BUSY_MEMORY
            # Of a silent one, the last word holds.
            if is_old or name not in others:
                del self._busy_at[name]
        is_own_busy = self._is_own_busy(live.get(self._own, False), now)
        heard = len(live.keys() | {self._own})
        if heard < MIN_HEARD_SHARE * max(size, len(others) + 1):
            return frozenset()
        return frozenset(self._busy_at) | (
            {self._own} if is_own_busy else frozenset()
        )

    def _is_own_busy(self, is_busy: bool, now: datetime.timedelta) -> bool:
        """Returns whether this daemon is busy and the others know it."""
        if is_busy:
            self._own_busy_at = now
            if self._busy_since is None:
                self._busy_since = now
        elif (
            self._own_busy_at is None
            or now - self._own_busy_at > OWN_BUSY_MEMORY
        ):
            self._busy_since = None
        since = self._busy_since
        return since is not None and now - since >= BUSY_DELAY

    def _get_told_size(self) -> int:
        sizes = (size for size in self._list_sizes() if size <= MAX_DAEMONS)
        return max(sizes, default=0)
