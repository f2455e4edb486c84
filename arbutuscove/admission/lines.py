"""Lines of waiting work: by rank, then by client account, then by deadline.

Work that can no longer be on time stands behind all work that can, in its
account and in its rank.
"""

import dataclasses
import datetime

import sortedcontainers

from arbutuscove.admission import rates
from arbutuscove.admission import work as work_module

SECOND = datetime.timedelta(seconds=1)
# Whether the work is late, its deadline, its number.
Key = tuple[bool, datetime.timedelta, int]
# Whether an account has only late work, its counter, its name.
Position = tuple[bool, float, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """One waiting request; `key` orders it inside its account."""

    work: work_module.Work
    key: Key
    latest_start: datetime.timedelta


class AccountLine:
    """Waiting work of one account in one rank."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.counter = 0.0
        self.entries: sortedcontainers.SortedDict = (
            sortedcontainers.SortedDict()
        )
        self.tokens = 0
        self.position: Position | None = None  # among the accounts that wait
        self.delay = datetime.timedelta()  # of the last work sent off
        self.drain = rates.BusyRate(SECOND, datetime.timedelta())

    def predict_wait(
        self,
        key: Key,
        now: datetime.timedelta,
        evidence: datetime.timedelta,
    ) -> datetime.timedelta:
        """Returns the wait of an entry, zero while there is no evidence."""
        count = len(self.entries)
        elapsed = self.drain.elapsed(now)
        if count == 0 or elapsed < evidence:
            return datetime.timedelta()
        ahead = self.entries.bisect_left(key)
        size = self.tokens / count
        # One more request than was sent bounds the rate from above, so that a
        # period without any dispatch predicts a long but finite wait.
        rate = max(self.drain.read(now), size / elapsed.total_seconds())
        return datetime.timedelta(seconds=ahead * size / rate)


class RankLine:
    """Waiting work of one rank."""

    def __init__(self, floor_window: datetime.timedelta) -> None:
        self.length = 0
        self.running = 0
        self.floor = 0.0
        self.ceiling = 1.0
        self.accounts: dict[str, AccountLine] = {}
        self.active: sortedcontainers.SortedList = sortedcontainers.SortedList()
        self.sent = rates.DecayedSum(floor_window)
        self.pace = 0.0  # seconds of running time per token
        self.level = 0.0  # virtual counter of the last work sent off

    def place(self, account: AccountLine) -> None:
        """Gives an account its position by what it has waiting now."""
        if account.position is not None:
            self.active.remove(account.position)
        account.position = None
        if account.entries:
            late = account.entries.peekitem(0)[0][0]
            account.position = (late, account.counter, account.name)
            self.active.add(account.position)
