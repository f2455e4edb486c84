"""Waiting work of one service, by request, rank, client account and deadline.

The structure decides nothing: `queue` chooses, admits and refuses.
"""

import dataclasses
import datetime

import sortedcontainers

from arbutuscove.admission import rates
from arbutuscove.admission import subqueues
from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model


class Backlog:
    """Waiting work of one service, and the counters of its ranks.

    Attributes:
        entries: waiting work by request id.
        ranks: queues of ranks by priority and whether their work is beyond an
            entitlement.
    """

    def __init__(
        self,
        floor_window: datetime.timedelta,
        drain_window: datetime.timedelta,
        max_accounts: int,
    ) -> None:
        """Initializes an empty backlog.

        Args:
            floor_window: time constant over which floors are maintained.
            drain_window: time constant of the measured drain rates.
            max_accounts: accounts of one rank, beyond which idle ones are
                forgotten.
        """
        self.entries: dict[str, subqueues.Entry] = {}
        self.ranks: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._floor_window = floor_window
        self._drain_window = drain_window
        self._max_accounts = max_accounts
        self._latest_starts: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )
        # Waiting work by the time after which it is late.
        self._on_time_starts: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )

    def get_rank(self, work: work_module.Work) -> subqueues.RankQueue:
        """Returns the rank queue of work that has been added to it."""
        return self.ranks[_make_rank_key(work)]

    def find_rank(self, work: work_module.Work) -> subqueues.RankQueue:
        """Returns the rank queue of work, an empty one if there is none."""
        return self.ranks.get(_make_rank_key(work)) or subqueues.RankQueue(
            self._floor_window
        )

    def get_or_create_rank(self, work: work_module.Work) -> subqueues.RankQueue:
        """Returns the rank queue of work, with its floor and ceiling."""
        queue = self.ranks.get(_make_rank_key(work))
        if queue is None:
            queue = subqueues.RankQueue(self._floor_window)
            self.ranks[_make_rank_key(work)] = queue
        queue.floor = work.rank.floor_share if work.is_entitled else 0.0
        queue.ceiling = work.rank.ceiling_share
        return queue

    def list_ranks(self, priority: int) -> list[subqueues.RankQueue]:
        """Returns the queues of a priority, with that of excess work."""
        keys = ((priority, False), (priority, True))
        return [self.ranks[key] for key in keys if key in self.ranks]

    def get_or_create_account(
        self,
        rank_queue: subqueues.RankQueue,
        account: config_model.Account,
    ) -> subqueues.AccountQueue:
        """Returns the queue of an account in a rank."""
        queue = rank_queue.accounts.get(account.name)
        if queue is not None:
            return queue
        if len(rank_queue.accounts) >= self._max_accounts:
            idle = [n for n, a in rank_queue.accounts.items() if not a.entries]
            if idle:
                rank_queue.accounts.pop(idle[0])
        queue = subqueues.AccountQueue(account.name)
        rank_queue.accounts[account.name] = queue
        return queue

    def pop_past_start(self, now: datetime.timedelta) -> list[subqueues.Entry]:
        """Removes and returns the work whose latest start has passed."""
        entries = []
        while self._latest_starts and self._latest_starts[0][0] <= now:
            entry = self.entries[self._latest_starts[0][1]]
            self.remove(entry)
            entries.append(entry)
        return entries

    def insert(
        self,
        rank_queue: subqueues.RankQueue,
        account_queue: subqueues.AccountQueue,
        entry: subqueues.Entry,
        now: datetime.timedelta,
    ) -> None:
        """Adds work to the queue of its account."""
        work = entry.work
        if not account_queue.entries:
            # An idle account accumulates no credit: its counter is raised to
            # that of the account served next, or to the rank's virtual time.
            virtual_time = (
                rank_queue.active[0][1]
                if rank_queue.active
                else rank_queue.virtual_time
            )
            account_queue.virtual_counter = max(
                account_queue.virtual_counter, virtual_time
            )
            account_queue.drain_rate = rates.BusyRate(self._drain_window, now)
            account_queue.last_delay = datetime.timedelta()
        account_queue.entries[entry.key] = entry
        account_queue.waiting_tokens += work.tokens
        rank_queue.reposition(account_queue)
        rank_queue.length += 1
        self.entries[work.request_id] = entry
        self._latest_starts.add((entry.latest_start, work.request_id))
        if work.latest_on_time_start is not None and not entry.key[0]:
            self._on_time_starts.add(
                (work.latest_on_time_start, work.request_id)
            )

    def remove(self, entry: subqueues.Entry) -> None:
        """Removes waiting work."""
        work = entry.work
        rank_queue = self.ranks[_make_rank_key(work)]
        account_queue = rank_queue.accounts[work.account.name]
        del account_queue.entries[entry.key]
        account_queue.waiting_tokens -= work.tokens
        rank_queue.length -= 1
        del self.entries[work.request_id]
        self._latest_starts.remove((entry.latest_start, work.request_id))
        if work.latest_on_time_start is not None and not entry.key[0]:
            self._on_time_starts.remove(
                (work.latest_on_time_start, work.request_id)
            )
        rank_queue.reposition(account_queue)

    def demote_late(self, now: datetime.timedelta) -> None:
        """Moves work that has become late behind the work that is not late."""
        while self._on_time_starts and self._on_time_starts[0][0] <= now:
            _, request_id = self._on_time_starts.pop(0)
            entry = self.entries[request_id]
            rank_queue = self.ranks[_make_rank_key(entry.work)]
            account_queue = rank_queue.accounts[entry.work.account.name]
            del account_queue.entries[entry.key]
            late_entry = dataclasses.replace(entry, key=(True, *entry.key[1:]))
            account_queue.entries[late_entry.key] = late_entry
            self.entries[request_id] = late_entry
            rank_queue.reposition(account_queue)


def _make_rank_key(work: work_module.Work) -> tuple[int, bool]:
    """Returns the key of the rank queue in which the work waits."""
    return (work.rank.priority, not work.is_entitled)
