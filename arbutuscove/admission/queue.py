"""Order of waiting work, as a pure deterministic state machine.

Work of one service waits by *rank*, then by *client account*, then by
deadline. Three rules choose what goes next:

* Ranks go in order of priority, but a rank whose share of the tokens served
  lately is below its floor goes first, and one whose running work fills its
  ceiling waits.
* Inside a rank the account with the smallest virtual token counter goes next:
  tokens sent off, divided by the account's weight (Sheng et al., Fairness in
  Serving Large Language Models, 2024).
* Inside an account the earliest deadline that can still be met goes next.
* Inside a rank, work whose first token can no longer be on time goes after all
  work that can be. Served in order of arrival, a backlog of one second makes
  each request late until it is gone, though most of them could be on time.

Work marked as most urgent beyond its account's entitlement is served with the
next rank: it waits in a line of its own there, which takes turns with the
rank's own line by tokens and has no floor, so that a flood of it cannot take
the floor of that rank.

Work is refused when it arrives, or taken back out, as soon as its deadline
cannot be met or its own account is overloaded in its rank. Overload is judged
from queueing delay (Zhou et al., Overload Control for Scaling WeChat
Microservices, 2018) and never from queue length; the length limits only bound
memory. Each operation costs at most logarithmic time in the queue length.
"""

import dataclasses
import datetime
import math
from collections import abc

import sortedcontainers

from arbutuscove.admission import lines
from arbutuscove.admission import rates
from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model

SECOND = datetime.timedelta(seconds=1)
RETRY_SHORTEST = SECOND
RETRY_LONGEST = 60 * SECOND
RETRY_SPREAD = 0.25  # callers refused together must not return together
GOLDEN = 0.6180339887498949  # spreads successive numbers evenly over [0, 1)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Bounds and time constants of the queue of one service.

    `service_limit`, `rank_limit` and `account_limit` are waiting requests in
    one daemon. `urgent_burst` is how much unused entitlement to the urgent
    rank an account may save up. `floor_window` is the time over which floors
    are kept. `drain_window` is the memory of the measured drain rates, and
    `evidence` the shortest busy period from which a wait is predicted.
    `delay_share` is the part of a rank's first-token target that may pass in
    the queue before the rank refuses the account that waits. `patience` is
    how far a predicted wait must pass the time left before waiting work is
    given up; new work is refused without it.
    """

    service_limit: int = 16_000
    rank_limit: int = 12_000
    account_limit: int = 4_000
    urgent_burst: datetime.timedelta = 10 * SECOND
    floor_window: datetime.timedelta = 5 * SECOND
    drain_window: datetime.timedelta = 5 * SECOND
    evidence: datetime.timedelta = SECOND / 2
    delay_share: float = 0.5
    patience: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefusedWork:
    """Work that was taken out of the queue, and why."""

    work: work_module.Work
    refusal: work_module.Refusal
    certain_at: datetime.timedelta  # when it became certain


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Next:
    """Work that goes next; `is_below_floor` if its rank is owed capacity."""

    work: work_module.Work
    is_below_floor: bool


class WorkQueue:
    """Waiting work of one service; time is passed in.

    Example:
        >>> WorkQueue().select(datetime.timedelta()) is None
        True
    """

    def __init__(self, settings: QueueSettings | None = None) -> None:
        self._settings = settings or QueueSettings()
        self._entries: dict[str, lines.Entry] = {}
        self._ranks: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self._latest: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )
        # When waiting work becomes late.
        self._punctual: sortedcontainers.SortedList = (
            sortedcontainers.SortedList()
        )
        self._entitlements: dict[str, rates.TokenBucket] = {}
        self._evicted: list[RefusedWork] = []
        self._sent = rates.DecayedSum(self._settings.floor_window)
        self._number = 0
        self._rank_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    def push(
        self, work: work_module.Work, now: datetime.timedelta
    ) -> work_module.Refusal | None:
        """Adds work, or returns at once why it is refused."""
        if work.request_id in self._entries:
            return _refuse(409, "duplicate", "request id is in use", SECOND)
        self._number += 1
        self._rank_count = len(work.service.ranks)
        work = self._apply_entitlement(work, now)
        rank = self._open_rank(work)
        account = self._open_account(rank, work.account)
        late = (
            work.latest_on_time_start is not None
            and work.latest_on_time_start <= now
        )
        key = (late, work.deadline, self._number)
        entry = lines.Entry(
            work=work,
            key=key,
            latest_start=_find_latest_start(rank, work),
        )
        refusal = self._check_delay(account, entry, now)
        if refusal is None:
            refusal = self._make_room(rank, account, work, now)
        if refusal is None:
            self._insert(rank, account, entry, now)
        return refusal

    def select(
        self,
        now: datetime.timedelta,
        capacity: work_module.Capacity | None = None,
        blocked: abc.Set[int] = frozenset(),
        blocked_accounts: abc.Set[tuple[int, str]] = frozenset(),
    ) -> Next | None:
        """Returns the work that goes next, without taking it out.

        Args:
            now: monotonic time.
            capacity: slots for ceilings and floors in force here; None if
                unknown, when there is no ceiling.
            blocked: priorities that cannot be sent off now.
            blocked_accounts: priorities and accounts whose first work cannot.
        """
        self._demote(now)
        total = self._sent.read(now)
        first: work_module.Work | None = None
        best: tuple[int, float] | None = None
        floors = capacity.floors if capacity else ()
        for (priority, demoted), rank in self._ranks.items():
            if priority in blocked or not rank.active:
                continue
            if not self._has_room(priority, capacity):
                continue
            work = self._find_first(priority, rank, blocked_accounts)
            if work is None:
                continue
            sent = rank.sent.read(now)
            floor = rank.floor
            if not demoted and 0 < priority < len(floors):
                floor = max(floor, floors[priority])
            if sent < floor * total:
                return Next(work=work, is_below_floor=True)
            if best is None or (priority, sent) < best:
                first, best = work, (priority, sent)
        return None if first is None else Next(work=first, is_below_floor=False)

    def dequeue(self, request_id: str, now: datetime.timedelta) -> bool:
        """Takes work out to run it; returns whether it was waiting.

        Each work taken must be given back with `finish`.
        """
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        work = entry.work
        rank = self._ranks[_line(work)]
        account = rank.accounts[work.account.name]
        self._remove(entry)
        rank.level = max(rank.level, account.counter)
        self._charge(rank, account, work.tokens / work.account.weight)
        account.delay = now - work.arrived
        account.drain.add(work.tokens, now)
        rank.sent.add(work.tokens, now)
        self._sent.add(work.tokens, now)
        rank.running += 1
        return True

    def finish(
        self,
        work: work_module.Work,
        tokens: int,
        duration: datetime.timedelta,
    ) -> None:
        """Counts the end of work that was taken.

        Args:
            work: the work as it was selected.
            tokens: tokens generated; 0 gives the account its charge back.
            duration: time from dispatch to the end.
        """
        rank = self._ranks[_line(work)]
        rank.running = max(0, rank.running - 1)
        if tokens == 0:
            account = rank.accounts.get(work.account.name)
            if account is not None:
                self._charge(rank, account, -work.tokens / work.account.weight)
            return
        pace = duration.total_seconds() / work.tokens
        # A tenth of each new value follows a change of pace within some tens
        # of answers and forgets a single outlier.
        rank.pace += 0.1 * (pace - rank.pace) if rank.pace else pace

    def count_requests(self) -> tuple[int, ...]:
        """Returns requests running and waiting, by priority.

        One more number at the end counts work beyond its urgent entitlement:
        it must not draw the capacity that keeps another rank's floor.
        """
        counts = [0] * (self._rank_count + 1)
        for (priority, demoted), line in self._ranks.items():
            if priority < self._rank_count:
                position = self._rank_count if demoted else priority
                counts[position] += line.running + line.length
        return tuple(counts)

    def withdraw(self, request_id: str) -> bool:
        """Takes out work whose caller has gone; returns whether it waited."""
        entry = self._entries.get(request_id)
        if entry is None:
            return False
        self._remove(entry)
        return True

    def reject_unservable(self, now: datetime.timedelta) -> list[RefusedWork]:
        """Takes out and returns the work that cannot be served in time.

        That is work past its latest start, work that had to make room for
        more urgent work, and the last work of an account whose predicted wait
        is far beyond the time it has left.
        """
        given_up = self._evicted
        self._evicted = []
        while self._latest and self._latest[0][0] <= now:
            entry = self._entries[self._latest[0][1]]
            given_up.append(
                self._give_up_entry(entry, RETRY_SHORTEST, entry.latest_start)
            )
        for rank in self._ranks.values():
            for _, _, name in list(rank.active):
                given_up.extend(self._trim(rank.accounts[name], now))
        return given_up

    def _apply_entitlement(
        self, work: work_module.Work, now: datetime.timedelta
    ) -> work_module.Work:
        ranks = sorted(work.service.ranks, key=lambda rank: rank.priority)
        if len(ranks) < 2 or work.rank.priority != ranks[0].priority:
            return work
        name = work.account.name
        bucket = self._entitlements.get(name)
        if bucket is None:
            if len(self._entitlements) >= self._settings.service_limit:
                self._entitlements.pop(next(iter(self._entitlements)))
            bucket = rates.TokenBucket(self._settings.urgent_burst)
            self._entitlements[name] = bucket
        rate = work.account.urgent_tokens_per_second
        if bucket.try_acquire(work.tokens, rate, now):
            return work
        return dataclasses.replace(work, rank=ranks[1], is_entitled=False)

    def _open_rank(self, work: work_module.Work) -> lines.RankLine:
        queue = self._ranks.get(_line(work))
        if queue is None:
            queue = lines.RankLine(self._settings.floor_window)
            self._ranks[_line(work)] = queue
        queue.floor = work.rank.floor_share if work.is_entitled else 0.0
        queue.ceiling = work.rank.ceiling_share
        return queue

    def _has_room(
        self, priority: int, capacity: work_module.Capacity | None
    ) -> bool:
        """Returns whether the rank's running work is below its ceiling."""
        both = self._find_lines(priority)
        ceiling = min(line.ceiling for line in both)
        if capacity is None or ceiling >= 1.0:
            return True
        running = sum(line.running for line in both)
        return running < max(1, math.ceil(ceiling * capacity.slots))

    def _find_lines(self, priority: int) -> list[lines.RankLine]:
        keys = ((priority, False), (priority, True))
        return [self._ranks[key] for key in keys if key in self._ranks]

    def _open_account(
        self, rank: lines.RankLine, account: config_model.Account
    ) -> lines.AccountLine:
        queue = rank.accounts.get(account.name)
        if queue is not None:
            return queue
        if len(rank.accounts) >= self._settings.rank_limit:
            idle = [n for n, a in rank.accounts.items() if not a.entries]
            if idle:
                rank.accounts.pop(idle[0])
        queue = lines.AccountLine(account.name)
        rank.accounts[account.name] = queue
        return queue

    def _check_delay(
        self,
        account: lines.AccountLine,
        entry: lines.Entry,
        now: datetime.timedelta,
    ) -> work_module.Refusal | None:
        wait = account.predict_wait(entry.key, now, self._settings.evidence)
        left = entry.latest_start - now
        if left <= datetime.timedelta() or wait > left:
            return _refuse(
                503,
                "deadline",
                "the deadline cannot be met",
                self._spread(wait - left),
            )
        target = entry.work.rank.first_token_target * self._settings.delay_share
        if min(account.delay, wait) > target:
            return _refuse(
                429,
                "overloaded",
                "this account's work of this rank waits too long",
                self._spread(wait - target),
            )
        return None

    def _make_room(
        self,
        rank: lines.RankLine,
        account: lines.AccountLine,
        work: work_module.Work,
        now: datetime.timedelta,
    ) -> work_module.Refusal | None:
        settings = self._settings
        if len(account.entries) >= settings.account_limit:
            return self._refuse_full("account")
        if rank.length >= settings.rank_limit:
            largest = max(rank.accounts.values(), key=lambda a: len(a.entries))
            if len(largest.entries) <= len(account.entries) + 1:
                return self._refuse_full("rank")
            self._evict(largest, now)
        if len(self._entries) >= settings.service_limit:
            lower = [
                other
                for (priority, _), other in self._ranks.items()
                if priority > work.rank.priority and other.length
            ]
            if not lower:
                return self._refuse_full("service")
            accounts = lower[-1].accounts.values()
            self._evict(max(accounts, key=lambda a: len(a.entries)), now)
        return None

    def _refuse_full(self, scope: str) -> work_module.Refusal:
        return _refuse(
            429,
            "queue_full",
            f"too many requests of this {scope} are waiting",
            self._spread(RETRY_SHORTEST),
        )

    def _evict(
        self, account: lines.AccountLine, now: datetime.timedelta
    ) -> None:
        entry = account.entries.peekitem(-1)[1]
        self._evicted.append(self._give_up_entry(entry, RETRY_SHORTEST, now))

    def _trim(
        self, account: lines.AccountLine, now: datetime.timedelta
    ) -> list[RefusedWork]:
        given_up = []
        while account.entries:
            entry = account.entries.peekitem(-1)[1]
            wait = account.predict_wait(entry.key, now, self._settings.evidence)
            left = entry.latest_start - now
            if wait <= left * self._settings.patience:
                break
            given_up.append(self._give_up_entry(entry, wait - left, now))
        return given_up

    def _give_up_entry(
        self,
        entry: lines.Entry,
        retry_after: datetime.timedelta,
        certain_at: datetime.timedelta,
    ) -> RefusedWork:
        self._remove(entry)
        refusal = _refuse(
            503,
            "deadline",
            "the deadline cannot be met any more",
            self._spread(retry_after),
        )
        return RefusedWork(
            work=entry.work, refusal=refusal, certain_at=certain_at
        )

    def _insert(
        self,
        rank: lines.RankLine,
        account: lines.AccountLine,
        entry: lines.Entry,
        now: datetime.timedelta,
    ) -> None:
        work = entry.work
        if not account.entries:
            # An account that was idle must not claim the past: it starts
            # level with the accounts that wait.
            level = rank.active[0][1] if rank.active else rank.level
            account.counter = max(account.counter, level)
            account.drain = rates.BusyRate(self._settings.drain_window, now)
            account.delay = datetime.timedelta()
        account.entries[entry.key] = entry
        account.tokens += work.tokens
        rank.place(account)
        rank.length += 1
        self._entries[work.request_id] = entry
        self._latest.add((entry.latest_start, work.request_id))
        if work.latest_on_time_start is not None and not entry.key[0]:
            self._punctual.add((work.latest_on_time_start, work.request_id))

    def _remove(self, entry: lines.Entry) -> None:
        work = entry.work
        rank = self._ranks[_line(work)]
        account = rank.accounts[work.account.name]
        del account.entries[entry.key]
        account.tokens -= work.tokens
        rank.length -= 1
        del self._entries[work.request_id]
        self._latest.remove((entry.latest_start, work.request_id))
        if work.latest_on_time_start is not None and not entry.key[0]:
            self._punctual.remove((work.latest_on_time_start, work.request_id))
        rank.place(account)

    def _demote(self, now: datetime.timedelta) -> None:
        """Moves work that has become late behind the work that has not."""
        while self._punctual and self._punctual[0][0] <= now:
            _, request_id = self._punctual.pop(0)
            entry = self._entries[request_id]
            rank = self._ranks[_line(entry.work)]
            account = rank.accounts[entry.work.account.name]
            del account.entries[entry.key]
            late = dataclasses.replace(entry, key=(True, *entry.key[1:]))
            account.entries[late.key] = late
            self._entries[request_id] = late
            rank.place(account)

    def _charge(
        self, rank: lines.RankLine, account: lines.AccountLine, amount: float
    ) -> None:
        account.counter += amount
        rank.place(account)

    def _find_first(
        self,
        priority: int,
        rank: lines.RankLine,
        blocked_accounts: abc.Set[tuple[int, str]],
    ) -> work_module.Work | None:
        for _, _, name in rank.active:
            if (priority, name) not in blocked_accounts:
                return rank.accounts[name].entries.peekitem(0)[1].work
        return None

    def _spread(self, duration: datetime.timedelta) -> datetime.timedelta:
        bounded = min(max(duration, RETRY_SHORTEST), RETRY_LONGEST)
        return bounded * (1.0 + RETRY_SPREAD * (self._number * GOLDEN % 1.0))


def _line(work: work_module.Work) -> tuple[int, bool]:
    """Returns the key of the line in which the work waits."""
    return (work.rank.priority, not work.is_entitled)


def _find_latest_start(
    rank: lines.RankLine, work: work_module.Work
) -> datetime.timedelta:
    """Returns the last time at which the work can begin and still finish.

    At most half of the time allowed is kept for running, because the pace is
    an average: a work that is quicker than it must not be refused for it.
    """
    running = datetime.timedelta(seconds=rank.pace * work.tokens)
    return work.deadline - min(running, (work.deadline - work.arrived) / 2)


def _refuse(
    status: int, code: str, message: str, retry_after: datetime.timedelta
) -> work_module.Refusal:
    return work_module.Refusal(
        status=status, code=code, message=message, retry_after=retry_after
    )
