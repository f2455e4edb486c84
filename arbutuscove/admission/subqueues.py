"""Queues of waiting work by rank, client account and deadline.

Late work (its first token can no longer arrive within the target) is ordered
after all work that is not late, in its account and in its rank.
"""

import dataclasses
import datetime

import sortedcontainers

from arbutuscove.admission import rates
from arbutuscove.admission import work as work_module

SECOND = datetime.timedelta(seconds=1)
# Whether the work is late, its deadline, its arrival number.
Key = tuple[bool, datetime.timedelta, int]
# Whether an account has only late work, its virtual counter, its name.
Position = tuple[bool, float, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One waiting request; `key` defines its order inside its account."""

    work: work_module.Work
    key: Key
    latest_start: datetime.timedelta


class AccountQueue:
    """Waiting work of one account in one rank."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.virtual_counter = 0.0
        self.entries: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.waiting_tokens = 0
        self.position: Position | None = None  # in `RankQueue.active`
        self.last_delay = datetime.timedelta()  # of the last dispatch
        self.drain_rate = rates.BusyRate(SECOND, datetime.timedelta())

    def predict_wait(
        self,
        key: Key,
        now: datetime.timedelta,
        min_busy_period: datetime.timedelta,
    ) -> datetime.timedelta:
        """Predicts the wait of an entry from the measured drain rate.

        Args:
            key: the entry's key; it need not be in the queue yet.
            now: monotonic time.
            min_busy_period: shortest busy period to predict from.

        Returns:
            The wait; zero if the queue is empty or the busy period is
            shorter than `min_busy_period`.
        """
        count = len(self.entries)
        elapsed = self.drain_rate.compute_elapsed(now)
        if count == 0 or elapsed < min_busy_period:
            return datetime.timedelta()
        ahead = self.entries.bisect_left(key)
        size = self.waiting_tokens / count
        # The rate is at least one request per busy period, so that a period
        # without any dispatch predicts a long but finite wait.
        rate = max(self.drain_rate.read(now), size / elapsed.total_seconds())
        return datetime.timedelta(seconds=ahead * size / rate)


class RankQueue:
    """Waiting work of one rank."""

    def __init__(self, floor_window: datetime.timedelta) -> None:
        self.length = 0
        self.running = 0
        self.floor = 0.0
        self.ceiling = 1.0
        self.accounts: dict[str, AccountQueue] = {}
        self.active: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.arrived_tokens = rates.DecayedSum(floor_window)
        self.dispatched_tokens = rates.DecayedSum(floor_window)
        self.seconds_per_token = 0.0  # running time, averaged
        self.virtual_time = 0.0  # highest virtual counter at a dispatch

    def reposition(self, account: AccountQueue) -> None:
        """Updates an account's position in `active` after any change to it."""
        if account.position is not None:
            self.active.remove(account.position)
        account.position = None
        if account.entries:
            is_late = account.entries.peekitem(0)[0][0]
            account.position = (is_late, account.virtual_counter, account.name)
            self.active.add(account.position)

    def add_to_counter(self, account: AccountQueue, amount: float) -> None:
        """Adds to the virtual token counter of an account."""
        account.virtual_counter += amount
        self.reposition(account)
