"""Scheduling order of waiting requests, as a deterministic state machine.

The requests (*work*) of one service wait by *rank* (a priority class), then by
*client account*, then by deadline. Four rules choose the next request:

* Ranks are served in order of priority. Exceptions: a rank whose share of the
  recently dispatched tokens is below its floor is served first, and a rank
  whose running requests have reached its ceiling waits.
* Inside a rank the account with the smallest virtual token counter is served
  next. The counter is the number of dispatched tokens divided by the account's
  weight (Sheng et al., Fairness in Serving Large Language Models, 2024).
* Inside an account the earliest deadline that can still be met is served next.
* Inside a rank, late work (its first token can no longer arrive within the
  target) is served after all work that is not late. In order of arrival, a
  backlog of one second would make every request late until the backlog has
  drained, although most of them could be on time.

Work that is marked as most urgent but exceeds its account's entitlement is
served with the next rank. It waits there in a separate queue without a floor,
which alternates with the rank's own queue by dispatched tokens. A flood of such
work therefore cannot use up the floor of that rank.

Work is refused on arrival, or removed while it waits, as soon as its deadline
cannot be met or its caller gives up before the first token. Arriving work is
also refused if its account is overloaded in its rank. Overload is judged from
queueing delay (Zhou et al., Overload Control for Scaling WeChat Microservices,
2018) and never from queue length; the length limits only bound memory. Each
operation costs at most logarithmic time in the queue length.
"""

import collections
import copy
import dataclasses
import datetime
import math
from collections import abc

from arbutuscove.admission import backlog
from arbutuscove.admission import outlook
from arbutuscove.admission import rates
from arbutuscove.admission import subqueues
from arbutuscove.admission import work as work_module
from arbutuscove.balancing import returns

SECOND = datetime.timedelta(seconds=1)
ZERO = datetime.timedelta()
MIN_RETRY_AFTER = SECOND


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueueSettings:
    """Bounds and time constants of the queue of one service.

    Attributes:
        service_limit: waiting requests of the service in one daemon.
        rank_limit: waiting requests of one rank in one daemon.
        account_limit: waiting requests of one account in one rank and daemon.
        urgent_burst: unused entitlement to the urgent rank that an account
            may accumulate, as a time at its entitled rate.
        floor_window: time constant over which floors are maintained.
        drain_window: time constant of the measured drain rates.
        min_busy_period: shortest busy period from which a wait is predicted.
        max_delay_share: share of a rank's first-token target that may pass in
            the queue before arriving work of the waiting account is refused.
        overrun_tolerance: factor by which a predicted wait must exceed the
            time left before waiting work is rejected. New work is refused
            without this tolerance.
        demand_floor: share of its part of the arriving tokens that each rank
            gets of the dispatched ones, whatever its priority.
        min_retry_after: shortest time after which a refused caller is told to
            come back.
        max_return_share: share of the time left to the deadline after which a
            caller comes back on its own, whatever it was told.
    """

    service_limit: int = 16_000
    rank_limit: int = 12_000
    account_limit: int = 4_000
    urgent_burst: datetime.timedelta = 10 * SECOND
    floor_window: datetime.timedelta = 5 * SECOND
    drain_window: datetime.timedelta = 5 * SECOND
    min_busy_period: datetime.timedelta = SECOND / 2
    max_delay_share: float = 0.5
    overrun_tolerance: float = 2.0
    demand_floor: float = 0.0
    min_retry_after: datetime.timedelta = MIN_RETRY_AFTER
    max_return_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RefusedWork:
    """Work that the queue removed without running it, and the reason."""

    work: work_module.Work
    refusal: work_module.Refusal
    certain_at: datetime.timedelta  # when the refusal became certain


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Removal:
    """An entry that was removed, before its refusal is planned.

    The caller comes back no earlier than `earliest` from now.
    """

    entry: subqueues.Entry
    earliest: datetime.timedelta
    certain_at: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Selection:
    """The next work to dispatch.

    `is_below_floor` tells whether the work was selected because its rank has
    received less than its floor share of the dispatched tokens.
    """

    work: work_module.Work
    is_below_floor: bool


class WorkQueue:
    """Waiting work of one service; callers pass in the current time.

    Example:
        >>> WorkQueue().select(datetime.timedelta()) is None
        True
    """

    def __init__(self, settings: QueueSettings | None = None) -> None:
        self._settings = settings or QueueSettings()
        self._backlog = backlog.Backlog(
            self._settings.floor_window,
            self._settings.drain_window,
            self._settings.rank_limit,
        )
        self._entitlements: dict[str, rates.TokenBucket] = {}
        self._evicted: list[_Removal] = []
        self._arrived_tokens = rates.DecayedSum(self._settings.floor_window)
        self._dispatched_tokens = rates.DecayedSum(self._settings.floor_window)
        self._returns = outlook.ReturnPlanner()
        self._arrival_count = 0
        self._rank_count = 0

    def __len__(self) -> int:
        return len(self._backlog.entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._backlog.entries

    def push(
        self, work: work_module.Work, now: datetime.timedelta
    ) -> work_module.Refusal | None:
        """Enqueues work, or returns the reason why it is refused."""
        if work.request_id in self._backlog.entries:
            return work_module.Refusal(
                status=409,
                code="duplicate",
                message="request id is in use",
                retry_after=SECOND,
            )
        self._arrival_count += 1
        self._rank_count = len(work.service.ranks)
        work = self._reassign_beyond_entitlement(work, now)
        self._returns.record_arrival(work.rank.priority, now)
        rank_queue = self._backlog.get_or_create_rank(work)
        rank_queue.arrived_tokens.add(work.tokens, now)
        self._arrived_tokens.add(work.tokens, now)
        account_queue = self._backlog.get_or_create_account(
            rank_queue, work.account
        )
        is_late = (
            work.latest_on_time_start is not None
            and work.latest_on_time_start <= now
        )
        key = (is_late, work.deadline, self._arrival_count)
        entry = subqueues.Entry(
            work=work,
            key=key,
            latest_start=_compute_latest_start(rank_queue, work),
        )
        refusal = self._check_delay(account_queue, entry, now)
        if refusal is None:
            refusal = self._make_room(rank_queue, account_queue, entry, now)
        if refusal is None:
            self._backlog.insert(rank_queue, account_queue, entry, now)
        return refusal

    def predict_refusal(
        self, work: work_module.Work, now: datetime.timedelta
    ) -> work_module.Refusal | None:
        """Returns why `push` would refuse work for its wait; changes nothing.

        Args:
            work: work that is not in the queue.
            now: monotonic time.
        """
        work = self._predict_rank(work, now)
        rank_queue = self._backlog.find_rank(work)
        account_queue = rank_queue.accounts.get(
            work.account.name
        ) or subqueues.AccountQueue(work.account.name)
        entry = subqueues.Entry(
            work=work,
            key=(False, work.deadline, self._arrival_count + 1),
            latest_start=_compute_latest_start(rank_queue, work),
        )
        return self._check_delay(account_queue, entry, now)

    def count_ahead(
        self, work: work_module.Work, now: datetime.timedelta
    ) -> int:
        """Returns how much waiting work may go before work that is on time.

        This is work of its rank and of more urgent ones that can be on time.

        Args:
            work: work that is not in the queue.
            now: monotonic time.
        """
        work = self._predict_rank(work, now)
        return sum(
            entry.work.rank.priority <= work.rank.priority
            and (
                entry.work.latest_on_time_start is None
                or entry.work.latest_on_time_start > now
            )
            for entry in self._backlog.entries.values()
        )

    def select(
        self,
        now: datetime.timedelta,
        capacity: work_module.Capacity | None = None,
        blocked: abc.Set[int] = frozenset(),
        blocked_accounts: abc.Set[tuple[int, str]] = frozenset(),
    ) -> Selection | None:
        """Returns the next work to dispatch, without removing it.

        Args:
            now: monotonic time.
            capacity: this daemon's slots, which ceilings apply to, and its
                floors. None if unknown: no ceiling is then enforced.
            blocked: priorities that cannot be dispatched now.
            blocked_accounts: pairs of priority and account name whose first
                work cannot be dispatched now.

        Returns:
            The work, or None if none can be dispatched.
        """
        self._backlog.demote_late(now)
        total = self._dispatched_tokens.read(now)
        first: work_module.Work | None = None
        best: tuple[int, float] | None = None
        floors = capacity.floors if capacity else ()
        for (priority, is_excess), rank_queue in self._backlog.ranks.items():
            if priority in blocked or not rank_queue.active:
                continue
            if not self._is_below_ceiling(priority, capacity):
                continue
            work = self._select_first(priority, rank_queue, blocked_accounts)
            if work is None:
                continue
            sent = rank_queue.dispatched_tokens.read(now)
            floor = rank_queue.floor
            if not is_excess:
                if 0 < priority < len(floors):
                    floor = max(floor, floors[priority])
                floor = max(floor, self._compute_demand_floor(rank_queue, now))
            if sent < floor * total:
                return Selection(work=work, is_below_floor=True)
            if best is None or (priority, sent) < best:
                first, best = work, (priority, sent)
        return (
            None
            if first is None
            else Selection(work=first, is_below_floor=False)
        )

    def dequeue(self, request_id: str, now: datetime.timedelta) -> bool:
        """Removes work that is about to run; returns whether it was waiting.

        The end of each dequeued work must be reported with `finish`.
        """
        entry = self._backlog.entries.get(request_id)
        if entry is None:
            return False
        work = entry.work
        rank_queue = self._backlog.get_rank(work)
        account_queue = rank_queue.accounts[work.account.name]
        self._backlog.remove(entry)
        rank_queue.virtual_time = max(
            rank_queue.virtual_time, account_queue.virtual_counter
        )
        rank_queue.add_to_counter(
            account_queue, work.tokens / work.account.weight
        )
        account_queue.last_delay = now - work.arrived
        account_queue.drain_rate.add(work.tokens, now)
        rank_queue.dispatched_tokens.add(work.tokens, now)
        self._dispatched_tokens.add(work.tokens, now)
        rank_queue.running += 1
        return True

    def finish(
        self,
        work: work_module.Work,
        tokens: int,
        duration: datetime.timedelta,
    ) -> None:
        """Records the end of dequeued work.

        Args:
            work: the work as it was selected.
            tokens: generated tokens; if 0, the tokens that were added to the
                account's virtual counter at dispatch are subtracted again.
            duration: time from dispatch to the end.
        """
        rank_queue = self._backlog.get_rank(work)
        rank_queue.running = max(0, rank_queue.running - 1)
        if tokens:
            self._returns.record_end(duration)
        if tokens == 0:
            account_queue = rank_queue.accounts.get(work.account.name)
            if account_queue is not None:
                rank_queue.add_to_counter(
                    account_queue,
                    -work.tokens / work.account.weight,
                )
            return
        sample = duration.total_seconds() / work.tokens
        # A weight of 0.1 follows a change of speed within some tens of answers
        # and limits the effect of a single outlier.
        rank_queue.seconds_per_token += (
            0.1 * (sample - rank_queue.seconds_per_token)
            if rank_queue.seconds_per_token
            else sample
        )

    def count_requests(self) -> tuple[int, ...]:
        """Returns the number of running and waiting requests by priority.

        An additional last element counts the work beyond urgent entitlements,
        which must not claim the capacity that is reserved for a rank's floor.
        """
        counts = [0] * (self._rank_count + 1)
        for (priority, is_excess), rank_queue in self._backlog.ranks.items():
            if priority < self._rank_count:
                position = self._rank_count if is_excess else priority
                counts[position] += rank_queue.running + rank_queue.length
        return tuple(counts)

    def withdraw(self, request_id: str) -> bool:
        """Removes work whose caller left; returns whether it was waiting."""
        entry = self._backlog.entries.get(request_id)
        if entry is None:
            return False
        self._backlog.remove(entry)
        return True

    def reject_unservable(self, now: datetime.timedelta) -> list[RefusedWork]:
        """Removes and returns the work that is refused after waiting.

        This is the work that is past its latest start, the work that was
        evicted from a full queue, and the work at the end of an account's
        queue whose predicted wait far exceeds its remaining time.
        """
        removals = self._evicted
        self._evicted = []
        removals.extend(
            _Removal(entry=entry, earliest=ZERO, certain_at=entry.latest_start)
            for entry in self._backlog.pop_past_start(now)
        )
        for rank_queue in self._backlog.ranks.values():
            for _, _, name in list(rank_queue.active):
                removals.extend(
                    self._remove_predicted_misses(
                        rank_queue.accounts[name], now
                    )
                )
        # The first one planned is told the earliest time.
        removals.sort(
            key=lambda removal: (
                removal.entry.work.rank.priority,
                removal.entry.work.deadline,
            )
        )
        return [
            RefusedWork(
                work=removal.entry.work,
                refusal=_refuse(
                    503,
                    "deadline",
                    "the deadline cannot be met any more",
                    self._plan_return(removal.entry, removal.earliest, now),
                ),
                certain_at=removal.certain_at,
            )
            for removal in removals
        ]

    def _reassign_beyond_entitlement(
        self, work: work_module.Work, now: datetime.timedelta
    ) -> work_module.Work:
        """Returns the work, moved to the next rank if beyond entitlement."""
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

    def _predict_rank(
        self, work: work_module.Work, now: datetime.timedelta
    ) -> work_module.Work:
        """Returns the work with the rank that `push` gives it."""
        copied = copy.copy(self)
        known = self._entitlements.get(work.account.name)
        copied._entitlements = (
            {} if known is None else {work.account.name: copy.copy(known)}
        )
        return copied._reassign_beyond_entitlement(work, now)

    def _is_below_ceiling(
        self, priority: int, capacity: work_module.Capacity | None
    ) -> bool:
        """Returns whether the rank's running requests are below its ceiling."""
        rank_queues = self._backlog.list_ranks(priority)
        ceiling = min(queue.ceiling for queue in rank_queues)
        if capacity is None or ceiling >= 1.0:
            return True
        running = sum(queue.running for queue in rank_queues)
        return running < max(1, math.ceil(ceiling * capacity.slots))

    def _compute_demand_floor(
        self, rank_queue: subqueues.RankQueue, now: datetime.timedelta
    ) -> float:
        """Returns the share of the dispatched tokens that a rank may claim."""
        arrived = self._arrived_tokens.read(now)
        if not self._settings.demand_floor or arrived <= 0.0:
            return 0.0
        share = rank_queue.arrived_tokens.read(now) / arrived
        return self._settings.demand_floor * share

    def _check_delay(
        self,
        account_queue: subqueues.AccountQueue,
        entry: subqueues.Entry,
        now: datetime.timedelta,
    ) -> work_module.Refusal | None:
        """Returns a refusal if the deadline or the account's delay requires."""
        wait = account_queue.predict_wait(
            entry.key, now, self._settings.min_busy_period
        )
        left = entry.latest_start - now
        if left <= datetime.timedelta() or wait > left:
            return _refuse(
                503,
                "deadline",
                "the deadline cannot be met",
                self._plan_return(entry, wait - left, now),
            )
        target = (
            entry.work.rank.first_token_target * self._settings.max_delay_share
        )
        if min(account_queue.last_delay, wait) > target:
            return _refuse(
                429,
                "overloaded",
                "this account's work of this rank waits too long",
                self._plan_return(entry, wait - target, now),
            )
        return None

    def _make_room(
        self,
        rank_queue: subqueues.RankQueue,
        account_queue: subqueues.AccountQueue,
        entry: subqueues.Entry,
        now: datetime.timedelta,
    ) -> work_module.Refusal | None:
        """Evicts work if a limit is reached, or returns a refusal.

        A full rank evicts from its largest account, unless that account is at
        most one request longer than the arriving work's own. A full service
        evicts from the lowest rank below the arriving work's.
        """
        settings = self._settings
        if len(account_queue.entries) >= settings.account_limit:
            return self._refuse_queue_full(entry, "account", now)
        if rank_queue.length >= settings.rank_limit:
            largest = max(
                rank_queue.accounts.values(), key=lambda a: len(a.entries)
            )
            if len(largest.entries) <= len(account_queue.entries) + 1:
                return self._refuse_queue_full(entry, "rank", now)
            self._evict_last(largest, now)
        if len(self._backlog.entries) >= settings.service_limit:
            lower_queues = [
                lower_queue
                for (priority, _), lower_queue in self._backlog.ranks.items()
                if priority > entry.work.rank.priority and lower_queue.length
            ]
            if not lower_queues:
                return self._refuse_queue_full(entry, "service", now)
            accounts = lower_queues[-1].accounts.values()
            self._evict_last(max(accounts, key=lambda a: len(a.entries)), now)
        return None

    def _refuse_queue_full(
        self, entry: subqueues.Entry, scope: str, now: datetime.timedelta
    ) -> work_module.Refusal:
        return _refuse(
            429,
            "queue_full",
            f"too many requests of this {scope} are waiting",
            self._plan_return(entry, ZERO, now),
        )

    def _evict_last(
        self, account_queue: subqueues.AccountQueue, now: datetime.timedelta
    ) -> None:
        entry = account_queue.entries.peekitem(-1)[1]
        self._backlog.remove(entry)
        self._evicted.append(
            _Removal(entry=entry, earliest=ZERO, certain_at=now)
        )

    def _remove_predicted_misses(
        self, account_queue: subqueues.AccountQueue, now: datetime.timedelta
    ) -> list[_Removal]:
        """Removes work from the end while its predicted wait is too long."""
        removals = []
        while account_queue.entries:
            entry = account_queue.entries.peekitem(-1)[1]
            wait = account_queue.predict_wait(
                entry.key, now, self._settings.min_busy_period
            )
            left = entry.latest_start - now
            if wait <= left * self._settings.overrun_tolerance:
                break
            self._backlog.remove(entry)
            removals.append(
                _Removal(entry=entry, earliest=wait - left, certain_at=now)
            )
        return removals

    def _select_first(
        self,
        priority: int,
        rank_queue: subqueues.RankQueue,
        blocked_accounts: abc.Set[tuple[int, str]],
    ) -> work_module.Work | None:
        for _, _, name in rank_queue.active:
            if (priority, name) not in blocked_accounts:
                return rank_queue.accounts[name].entries.peekitem(0)[1].work
        return None

    def _plan_return(
        self,
        entry: subqueues.Entry,
        earliest: datetime.timedelta,
        now: datetime.timedelta,
    ) -> returns.Return:
        """Returns when the caller of refused work is to come back."""
        waiting: collections.Counter[int] = collections.Counter()
        for (priority, _), rank_queue in self._backlog.ranks.items():
            waiting[priority] += rank_queue.length
        work = entry.work
        left = work.deadline - now
        # A caller that comes back is as patient as before.
        latest_start = _compute_deadline_start(
            self._backlog.find_rank(work), work
        )
        return self._returns.plan(
            work.rank.priority,
            waiting,
            sum(
                rank_queue.running
                for rank_queue in self._backlog.ranks.values()
            ),
            now,
            max(earliest, self._settings.min_retry_after),
            # A caller that comes back may have to wait as long as others.
            min(
                latest_start - work.rank.first_token_target - now,
                left * self._settings.max_return_share,
            ),
        )


def _compute_latest_start(
    rank_queue: subqueues.RankQueue, work: work_module.Work
) -> datetime.timedelta:
    """Returns the last time at which a start is of use to the caller."""
    latest = _compute_deadline_start(rank_queue, work)
    if work.latest_start is None:
        return latest
    return min(latest, work.latest_start)


def _compute_deadline_start(
    rank_queue: subqueues.RankQueue, work: work_module.Work
) -> datetime.timedelta:
    """Returns the last time at which the work can start and meet its deadline.

    At most half of the time between arrival and deadline is reserved for
    running. The time per token is an average, so work that runs faster than
    the average must not be refused because of it.
    """
    running = datetime.timedelta(
        seconds=rank_queue.seconds_per_token * work.tokens
    )
    return work.deadline - min(running, (work.deadline - work.arrived) / 2)


def _refuse(
    status: int, code: str, message: str, planned: returns.Return
) -> work_module.Refusal:
    return work_module.Refusal(
        status=status,
        code=code,
        message=message,
        retry_after=planned.delay,
        is_hopeless=planned.is_hopeless,
    )
