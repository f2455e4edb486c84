"""Guards against spend over the approved limit and stranded budget."""

import dataclasses
import datetime
import random

import gevent
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from arbutuscove.admission import work as work_module
from arbutuscove.config import keys
from arbutuscove.config import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.limits import service as service_module
from arbutuscove.limits import slices
from arbutuscove.standins import faulty
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module

LIMIT = 100_000
DAY = datetime.timedelta(days=1)
SECOND = datetime.timedelta(seconds=1)


def _rank(name, priority, ceiling=1.0):
    return model.Rank(
        name=name,
        priority=priority,
        worth=1.0,
        first_token_target=SECOND,
        floor_share=0.1,
        ceiling_share=ceiling,
    )


URGENT = _rank("bid", 0)
BULK = _rank("catalogue", 1, 0.3)


def _service(limit=LIMIT, period=DAY):
    return model.Service(
        name="desk",
        team="t",
        ranks=(URGENT, BULK),
        accounts=(model.Account(name="a", key_digests=()),),
        limits=model.Limits(
            accelerators=4, tokens_per_period=limit, period=period
        ),
    )


class _Config:
    """Stub of the configuration follower with one service."""

    def __init__(self, service):
        self.service = service

    def get_snapshot(self):
        version = model.ServiceVersion(
            sequence=1, version=1, service=self.service
        )
        return model.Snapshot(sequence=1, services={"desk": version})


def _approve(table, service):
    key = keys.service_key(service.name)
    row = table.read(key)
    version = 0 if row is None else row.version
    body = model.ServiceVersion(sequence=1, version=1, service=service)
    table.transact(
        table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(table_module.Write(key=key, value=body),),
        )
    )


def _work(clock, tokens, rank=BULK, service=None):
    service = service or _service()
    return work_module.Work(
        request_id="r",
        service=service,
        account=service.accounts[0],
        rank=rank,
        tokens=tokens,
        arrived=clock.monotonic(),
        deadline=clock.monotonic() + 60 * SECOND,
    )


def _limits(table, clock, service=None):
    config = _Config(service or _service())
    return service_module.Limits(table, clock, config, random.Random(1))


def _sum_drawn(table, rank=slices.TOTAL_KEY_PART):
    rows = table_module.read_all(table, slices.KEY_PREFIX)
    return sum(r.value["drawn"] for r in rows if r.key.endswith("/" + rank))


@pytest.fixture(name="clock")
def fixture_clock():
    return clock_module.ManualClock()


@pytest.fixture(name="table")
def fixture_table():
    table = table_standin.MemoryTable()
    _approve(table, _service())
    return table


def test_limits_without_limit_draw_nothing(table, clock):
    """Zero means no limit: nothing is rejected and no row is written."""
    service = _service(limit=0)
    limits = _limits(table, clock, service)
    reserved = limits.reserve(_work(clock, 10**9, service=service))
    limits.settle(reserved.ok, 5)
    assert _sum_drawn(table) == 0


def test_limits_rank_stops_at_its_ceiling(table, clock):
    """Bulk work must not use up the budget of urgent work."""
    limits = _limits(table, clock)
    reserved = [limits.reserve(_work(clock, 1000)) for _ in range(200)]
    assert sum(item.is_ok() for item in reserved) == 30
    refusal = reserved[-1].error
    assert refusal.code == "limit_reached"
    assert refusal.retry_after == DAY
    assert limits.reserve(_work(clock, 1000, URGENT)).is_ok()


def test_limits_lost_draws_are_counted_again(table, clock):
    """Guards against draws that a restored table forgot (P9).

    One daemon knows of all draws before the loss; the other draws after it.
    """
    table.save()
    first, second = (
        service_module.Limits(
            table, clock, _Config(_service()), random.Random(1), table.get_era
        )
        for _ in range(2)
    )
    spent = 0
    for limits in (second, first):
        for _ in range(10):
            spent += limits.reserve(_work(clock, 1000)).is_ok()
    table.restore()
    first.restore_draws()
    for _ in range(200):
        spent += second.reserve(_work(clock, 1000)).is_ok()
    assert spent <= 30
    assert _sum_drawn(table, BULK.name) <= 30_000


def test_limits_draws_are_not_counted_twice(table, clock):
    """Guards against tokens that nobody can use after a loss."""
    limits = service_module.Limits(
        table, clock, _Config(_service()), random.Random(1), table.get_era
    )
    limits.reserve(_work(clock, 1000))
    table.save()
    before = _sum_drawn(table)
    table.restore()
    for _ in range(2):
        limits.restore_draws()
    assert _sum_drawn(table) == before


def test_limits_lowered_limit_binds_late_follower(table, clock):
    """A daemon with a stale configuration must not draw under the old limit."""
    limits = _limits(table, clock)
    _approve(table, _service(limit=5000))
    reserved = [limits.reserve(_work(clock, 500, URGENT)) for _ in range(20)]
    assert sum(item.is_ok() for item in reserved) == 10


def test_limits_request_over_ceiling_is_refused_for_good(table, clock):
    """A request over the ceiling can never fit, so no retry time is given."""
    refusal = _limits(table, clock).reserve(_work(clock, LIMIT)).error
    assert (refusal.code, refusal.retry_after) == ("over_limit", None)


def test_limits_settle_returns_unused_once(table, clock):
    """A second settlement must not add tokens that were never drawn."""
    limits = _limits(table, clock)
    reserved = limits.reserve(_work(clock, 1000)).ok
    free = limits.count_free("desk", "catalogue")
    limits.settle(reserved, 400)
    limits.settle(reserved, 0)
    assert limits.count_free("desk", "catalogue") == free + 600


def test_limits_unknown_use_counts_as_spent(table, clock):
    """An answer of unknown length may have used all of its estimate."""
    limits = _limits(table, clock)
    reserved = limits.reserve(_work(clock, 1000)).ok
    free = limits.count_free("desk", "catalogue")
    limits.settle(reserved, None)
    assert limits.count_free("desk", "catalogue") == free


def test_limits_drain_returns_free_tokens(table, clock):
    """A graceful stop must not strand budget."""
    limits = _limits(table, clock)
    reserved = limits.reserve(_work(clock, 1000)).ok
    limits.settle(reserved, 400)
    limits.drain()
    assert _sum_drawn(table) == _sum_drawn(table, "catalogue") == 400


def test_limits_tokens_of_old_period_are_not_used_in_new(table, clock):
    """Tokens of an ended period must not be spent or returned later."""
    limits = _limits(table, clock)
    reserved = limits.reserve(_work(clock, 1000)).ok
    clock.advance(DAY)
    limits.settle(reserved, 0)
    assert limits.count_free("desk", "catalogue") > 0
    assert limits.reserve(_work(clock, 20_000)).is_ok()
    assert _sum_drawn(table) >= 21_000


def test_limits_urgent_reserve_outlives_table_outage(table, clock):
    """Urgent work must continue at its recent rate for 10 minutes."""
    service = _service(limit=10_000_000)
    _approve(table, service)
    faulty_table = faulty.SwitchedTable(table)
    limits = _limits(faulty_table, clock, service)
    for second in range(1200):
        faulty_table.down = second >= 600
        reserved = limits.reserve(_work(clock, 100, URGENT, service))
        assert reserved.is_ok()
        limits.settle(reserved.ok, 100)
        gevent.sleep(0)  # lets a draw in the background run
        clock.advance(SECOND)


def test_limits_outage_refuses_at_once(table, clock):
    """Without budget a request is rejected with a retry time, not queued."""
    faulty_table = faulty.SwitchedTable(table)
    faulty_table.down = True
    limits = _limits(faulty_table, clock)
    refusal = limits.reserve(_work(clock, 100)).error
    assert refusal.code == "limits_unavailable"
    assert refusal.retry_after == service_module.RETRY_AFTER
    calls = faulty_table.calls
    for _ in range(50):
        assert limits.reserve(_work(clock, 100)).is_error()
    assert faulty_table.calls == calls


def test_limits_slice_follows_use(table, clock):
    """Slices of a fixed size would draw too often or strand too much."""
    service = _service(limit=10**9)
    _approve(table, service)
    limits = _limits(table, clock, service)
    largest = {}
    for tokens in (10, 1000):
        for _ in range(900):
            reserved = limits.reserve(_work(clock, tokens, BULK, service)).ok
            limits.settle(reserved, tokens)
            gevent.sleep(0)  # lets a draw in the background run
            clock.advance(SECOND)
            held = limits.count_held("desk", "catalogue")
            largest[tokens] = max(held, largest.get(tokens, 0))
    assert largest[10] <= slices.MIN_SLICE_TOKENS
    assert largest[1000] > 10 * largest[10]


def test_limits_repeated_return_after_lost_confirmation(table, clock):
    """A return applied twice would let other daemons exceed the limit."""
    faulty_table = faulty.FaultyTable(table)
    stopping = _limits(faulty_table, clock)
    stopping.draw(_service(), BULK)
    free = stopping.count_free("desk", "catalogue")
    stop = faulty.Operation(stopping.drain)
    stop.step(faulty.CallOutcome.ANSWERED)
    stop.step(faulty.CallOutcome.ANSWERED)
    stop.step(faulty.CallOutcome.UNCONFIRMED)
    other = _limits(table, clock)
    other.draw(_service(), BULK)
    while stop.is_running():
        stop.step(faulty.CallOutcome.ANSWERED)
    assert free > 0
    assert _sum_drawn(table) == other.count_free("desk", "catalogue")


def _race(table, clock, ranks, between=lambda instances: None):
    """Interleaves draws of 60% of a ceiling: all read before any writes.

    `between` runs after the reads.
    """
    faulty_table = faulty.FaultyTable(table)
    instances = [_limits(faulty_table, clock) for _ in ranks]
    operations = []
    for limits, rank in zip(instances, ranks, strict=True):
        needed = int(0.6 * slices.compute_ceiling(LIMIT, rank.ceiling_share))
        operations.append(
            faulty.Operation(
                lambda instance=limits, rank=rank, needed=needed: instance.draw(
                    _service(), rank, needed
                )
            )
        )
    for operation in operations:
        for _ in range(2):  # configuration and rows of the period
            operation.step(faulty.CallOutcome.ANSWERED)
    between(instances)
    for operation in operations:
        while operation.is_running():
            operation.step(faulty.CallOutcome.ANSWERED)
    return instances


@pytest.mark.parametrize("rank", [URGENT, BULK], ids=["urgent", "bulk"])
def test_limits_concurrent_draws_of_one_rank(table, clock, rank):
    """Two daemons that read the same rows must not both draw the remainder."""
    instances = _race(table, clock, [rank, rank])
    held = [limits.count_held("desk", rank.name) for limits in instances]
    ceiling = slices.compute_ceiling(LIMIT, rank.ceiling_share)
    assert 0 < sum(held) <= ceiling
    assert _sum_drawn(table, rank.name) == sum(held)


def test_limits_concurrent_draws_of_two_ranks(table, clock):
    """Ranks whose ceilings exceed the limit in sum share the total row."""
    full = _rank("auction", 1, 0.9)
    service = _service()
    ranks = (URGENT, full)
    _approve(table, dataclasses.replace(service, ranks=ranks))
    instances = _race(table, clock, ranks)
    held = [
        limits.count_held("desk", rank.name)
        for limits, rank in zip(instances, ranks, strict=True)
    ]
    assert 0 < sum(held) <= LIMIT
    assert _sum_drawn(table) == sum(held)


def test_limits_draw_while_limit_is_lowered(table, clock):
    """A draw planned under the old limit must not commit after the change."""
    lowered = _service(limit=5000)
    _race(table, clock, [URGENT], lambda instances: _approve(table, lowered))
    assert _sum_drawn(table) <= 5000


def test_limits_draw_while_period_ends(table, clock):
    """Tokens of the old period must not be spent in the new one."""

    def end_period(instances):
        clock.advance(DAY)
        # The new period begins while the draw is in flight.
        assert instances[0].reserve(_work(clock, 1, URGENT)).is_error()

    (limits,) = _race(table, clock, [URGENT], end_period)
    assert limits.reserve(_work(clock, 1, URGENT)).is_ok()
    rows = table_module.read_all(table, slices.KEY_PREFIX)
    new = [r for r in rows if r.key.endswith("20260102T000000Z.86400/bid")]
    assert new[0].value["drawn"] == limits.count_held("desk", "bid")


class _Daemon:
    """A daemon with at most one table operation in progress."""

    def __init__(self, table, clock):
        self.limits = _limits(table, clock)
        self.operation = None
        self.reserved = []

    def is_idle(self):
        return self.operation is None or not self.operation.is_running()


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Daemons draw, spend, pause, die and stop; `spent` counts their spend."""

    def __init__(self):
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.table = table_standin.MemoryTable()
        self.limit = 20_000
        _approve(self.table, _service(self.limit, 60 * SECOND))
        self.faulty = faulty.FaultyTable(self.table)
        self.daemons = [self._build() for _ in range(3)]
        self.spent = {}
        self.daemon_count = 3

    def _build(self):
        service = _service(20_000, 60 * SECOND)
        daemon = _Daemon(self.faulty, self.clock)
        daemon.limits = _limits(self.faulty, self.clock, service)
        return daemon

    def _service(self):
        return _service(20_000, 60 * SECOND)

    @stateful.rule(
        index=strategies.integers(0, 2),
        rank=strategies.sampled_from([URGENT, BULK]),
        needed=strategies.sampled_from([0, 100, 4000, 11_000]),
    )
    def draw(self, index, rank, needed):
        daemon = self.daemons[index]
        if daemon.is_idle():
            daemon.operation = faulty.Operation(
                lambda: daemon.limits.draw(self._service(), rank, needed)
            )

    @stateful.rule(
        index=strategies.integers(0, 2),
        outcome=strategies.sampled_from(
            [faulty.CallOutcome.ANSWERED] * 6 + list(faulty.CallOutcome)
        ),
        count=strategies.integers(1, 6),
    )
    def step(self, index, outcome, count):
        operation = self.daemons[index].operation
        if operation is not None:
            for _ in range(count):
                operation.step(outcome)

    @stateful.rule(
        index=strategies.integers(0, 2),
        rank=strategies.sampled_from([URGENT, BULK]),
        tokens=strategies.integers(1, 11_000),
    )
    def reserve(self, index, rank, tokens):
        daemon = self.daemons[index]
        work = _work(self.clock, tokens, rank, self._service())
        free = daemon.limits.count_free("desk", rank.name)
        if tokens <= free:
            result = daemon.limits.reserve(work)
            if result.is_ok():
                daemon.reserved.append(result.ok)
                key = (result.ok.period, rank.name)
                self.spent[key] = self.spent.get(key, 0) + tokens

    @stateful.rule(
        index=strategies.integers(0, 2),
        share=strategies.sampled_from([0.0, 0.5, 1.0, None]),
    )
    def settle(self, index, share):
        daemon = self.daemons[index]
        if not daemon.reserved:
            return
        reservation = daemon.reserved.pop()
        used = None if share is None else int(reservation.tokens * share)
        daemon.limits.settle(reservation, used)
        if used is not None:
            self.spent[reservation.period, reservation.rank] -= (
                reservation.tokens - used
            )

    @stateful.rule(seconds=strategies.sampled_from([1, 1, 1, 5, 40]))
    def pass_time(self, seconds):
        self.clock.advance(seconds * SECOND)

    @stateful.rule(index=strategies.integers(0, 2))
    def die(self, index):
        daemon = self.daemons[index]
        if daemon.operation is not None:
            daemon.operation.kill()
        self.daemons[index] = self._build()
        self.daemon_count += 1

    @stateful.rule(index=strategies.integers(0, 2))
    def leave(self, index):
        daemon = self.daemons[index]
        if daemon.is_idle():
            daemon.operation = faulty.Operation(daemon.limits.drain)

    @stateful.rule()
    def deliver_late(self):
        self.faulty.deliver_late()

    @stateful.invariant()
    def spend_is_within_limit(self):
        totals = {}
        for (period, rank), spent in self.spent.items():
            ceiling = self.limit if rank == "bid" else 0.3 * self.limit
            assert spent <= ceiling
            totals[period] = totals.get(period, 0) + spent
        assert all(total <= self.limit for total in totals.values())

    @stateful.invariant()
    def rows_are_within_limit(self):
        for row in table_module.read_all(self.table, slices.KEY_PREFIX):
            assert 0 <= row.value["drawn"] <= row.value["limit"] <= self.limit

    @stateful.invariant()
    def slices_are_bounded(self):
        largest = max(slices.compute_max_slice(self.limit), 11_000)
        for daemon in self.daemons:
            for rank in ("bid", "catalogue"):
                assert daemon.limits.count_held("desk", rank) <= largest


TestLimitsMachine = LimitsMachine.TestCase
TestLimitsMachine.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
