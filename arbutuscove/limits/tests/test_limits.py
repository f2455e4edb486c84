"""Guards against spend over the approved limit and against lost budget."""

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
    """The follower's part that limits need."""

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


def _drawn(table, rank=slices.TOTAL):
    rows = table_module.read_all(table, slices.PREFIX)
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
    """Zero means no limit; it must not refuse or touch the table."""
    service = _service(limit=0)
    limits = _limits(table, clock, service)
    taken = limits.reserve(_work(clock, 10**9, service=service))
    limits.settle(taken.ok, 5)
    assert _drawn(table) == 0


def test_limits_rank_stops_at_its_ceiling(table, clock):
    """Bulk work must not use up the budget of urgent work."""
    limits = _limits(table, clock)
    taken = [limits.reserve(_work(clock, 1000)) for _ in range(200)]
    assert sum(item.is_ok() for item in taken) == 30
    refusal = taken[-1].error
    assert refusal.code == "limit_reached"
    assert refusal.retry_after == DAY
    assert limits.reserve(_work(clock, 1000, URGENT)).is_ok()


def test_limits_lowered_limit_binds_late_follower(table, clock):
    """A daemon that follows late must not draw under the old limit."""
    limits = _limits(table, clock)
    _approve(table, _service(limit=5000))
    taken = [limits.reserve(_work(clock, 500, URGENT)) for _ in range(20)]
    assert sum(item.is_ok() for item in taken) == 10


def test_limits_request_over_ceiling_is_refused_for_good(table, clock):
    """A request that can never fit must not be told to come back."""
    refusal = _limits(table, clock).reserve(_work(clock, LIMIT)).error
    assert (refusal.code, refusal.retry_after) == ("over_limit", None)


def test_limits_settle_returns_unused_once(table, clock):
    """A second settlement must not add tokens that were never drawn."""
    limits = _limits(table, clock)
    taken = limits.reserve(_work(clock, 1000)).ok
    free = limits.free("desk", "catalogue")
    limits.settle(taken, 400)
    limits.settle(taken, 0)
    assert limits.free("desk", "catalogue") == free + 600


def test_limits_unknown_use_counts_as_spent(table, clock):
    """An answer of unknown length may have used its whole estimate."""
    limits = _limits(table, clock)
    taken = limits.reserve(_work(clock, 1000)).ok
    free = limits.free("desk", "catalogue")
    limits.settle(taken, None)
    assert limits.free("desk", "catalogue") == free


def test_limits_drain_returns_free_tokens(table, clock):
    """A planned stop must not strand budget."""
    limits = _limits(table, clock)
    taken = limits.reserve(_work(clock, 1000)).ok
    limits.settle(taken, 400)
    limits.drain()
    assert _drawn(table) == _drawn(table, "catalogue") == 400


def test_limits_old_period_never_pays_for_new(table, clock):
    """Tokens of an ended period must not be spent or returned later."""
    limits = _limits(table, clock)
    taken = limits.reserve(_work(clock, 1000)).ok
    clock.advance(DAY)
    limits.settle(taken, 0)
    assert limits.free("desk", "catalogue") > 0
    assert limits.reserve(_work(clock, 20_000)).is_ok()
    assert _drawn(table) >= 21_000


def test_limits_urgent_reserve_outlives_table_outage(table, clock):
    """Urgent work at its recent rate must go on for 10 minutes."""
    service = _service(limit=10_000_000)
    _approve(table, service)
    shaky = faulty.SwitchedTable(table)
    limits = _limits(shaky, clock, service)
    for second in range(1200):
        shaky.down = second >= 600
        taken = limits.reserve(_work(clock, 100, URGENT, service))
        assert taken.is_ok()
        limits.settle(taken.ok, 100)
        gevent.sleep(0)  # lets a draw in the background run
        clock.advance(SECOND)


def test_limits_outage_refuses_at_once(table, clock):
    """Without budget a request is told when to come back, not held."""
    shaky = faulty.SwitchedTable(table)
    shaky.down = True
    limits = _limits(shaky, clock)
    refusal = limits.reserve(_work(clock, 100)).error
    assert refusal.code == "limits_unavailable"
    assert refusal.retry_after == service_module.RETRY_AFTER
    calls = shaky.calls
    for _ in range(50):
        assert limits.reserve(_work(clock, 100)).is_error()
    assert shaky.calls == calls


def test_limits_slice_follows_use(table, clock):
    """Fixed slices would draw too often or strand too much."""
    service = _service(limit=10**9)
    _approve(table, service)
    limits = _limits(table, clock, service)
    largest = {}
    for tokens in (10, 1000):
        for _ in range(900):
            taken = limits.reserve(_work(clock, tokens, BULK, service)).ok
            limits.settle(taken, tokens)
            gevent.sleep(0)  # lets a draw in the background run
            clock.advance(SECOND)
            held = limits.held("desk", "catalogue")
            largest[tokens] = max(held, largest.get(tokens, 0))
    assert largest[10] <= slices.SMALLEST_SLICE
    assert largest[1000] > 10 * largest[10]


def test_limits_repeated_return_after_lost_confirmation(table, clock):
    """A return applied twice would let others exceed the limit."""
    shaky = faulty.FaultyTable(table)
    first = _limits(shaky, clock)
    first.draw(_service(), BULK)
    held = first.free("desk", "catalogue")
    stop = faulty.Operation(first.drain)
    stop.step(faulty.CallOutcome.ANSWERED)
    stop.step(faulty.CallOutcome.ANSWERED)
    stop.step(faulty.CallOutcome.UNCONFIRMED)
    second = _limits(table, clock)
    second.draw(_service(), BULK)
    while stop.is_running():
        stop.step(faulty.CallOutcome.ANSWERED)
    assert held > 0
    assert _drawn(table) == second.free("desk", "catalogue")


def _race(table, clock, ranks, between=lambda both: None):
    """Lets two draws of 60% of a ceiling each read before either writes."""
    shaky = faulty.FaultyTable(table)
    both = [_limits(shaky, clock) for _ in ranks]
    operations = []
    for limits, rank in zip(both, ranks, strict=True):
        needed = int(0.6 * slices.find_ceiling(LIMIT, rank.ceiling_share))
        operations.append(
            faulty.Operation(
                lambda one=limits, rank=rank, needed=needed: one.draw(
                    _service(), rank, needed
                )
            )
        )
    for operation in operations:
        for _ in range(2):  # configuration and rows of the period
            operation.step(faulty.CallOutcome.ANSWERED)
    between(both)
    for operation in operations:
        while operation.is_running():
            operation.step(faulty.CallOutcome.ANSWERED)
    return both


@pytest.mark.parametrize("rank", [URGENT, BULK], ids=["urgent", "bulk"])
def test_limits_concurrent_draws_of_one_rank(table, clock, rank):
    """Two daemons that read the same rows must not both draw the rest."""
    both = _race(table, clock, [rank, rank])
    held = [limits.held("desk", rank.name) for limits in both]
    ceiling = slices.find_ceiling(LIMIT, rank.ceiling_share)
    assert 0 < sum(held) <= ceiling
    assert _drawn(table, rank.name) == sum(held)


def test_limits_concurrent_draws_of_two_ranks(table, clock):
    """Ranks whose ceilings add up to more than the limit share the total."""
    full = _rank("auction", 1, 0.9)
    service = _service()
    ranks = (URGENT, full)
    _approve(table, dataclasses.replace(service, ranks=ranks))
    both = _race(table, clock, ranks)
    held = [
        limits.held("desk", rank.name)
        for limits, rank in zip(both, ranks, strict=True)
    ]
    assert 0 < sum(held) <= LIMIT
    assert _drawn(table) == sum(held)


def test_limits_draw_while_limit_is_lowered(table, clock):
    """A draw planned under the old limit must not commit after the change."""
    lowered = _service(limit=5000)
    _race(table, clock, [URGENT], lambda both: _approve(table, lowered))
    assert _drawn(table) <= 5000


def test_limits_draw_while_period_ends(table, clock):
    """Tokens of the old period must not be spent in the new one."""

    def end_period(both):
        clock.advance(DAY)
        # The new period begins while the draw is in flight.
        assert both[0].reserve(_work(clock, 1, URGENT)).is_error()

    (limits,) = _race(table, clock, [URGENT], end_period)
    assert limits.reserve(_work(clock, 1, URGENT)).is_ok()
    rows = table_module.read_all(table, slices.PREFIX)
    new = [r for r in rows if r.key.endswith("20260102T000000Z.86400/bid")]
    assert new[0].value["drawn"] == limits.held("desk", "bid")


class _Daemon:
    """One daemon with at most one table operation in progress."""

    def __init__(self, table, clock):
        self.limits = _limits(table, clock)
        self.operation = None
        self.reserved = []

    def is_idle(self):
        return self.operation is None or not self.operation.is_running()


class LimitsMachine(stateful.RuleBasedStateMachine):
    """Daemons draw, spend, pause, die and leave; the record counts spend."""

    def __init__(self):
        super().__init__()
        self.clock = clock_module.ManualClock()
        self.table = table_standin.MemoryTable()
        self.limit = 20_000
        _approve(self.table, _service(self.limit, 60 * SECOND))
        self.faulty = faulty.FaultyTable(self.table)
        self.daemons = [self._build() for _ in range(3)]
        self.spent = {}
        self.holders = 3

    def _build(self):
        service = _service(20_000, 60 * SECOND)
        daemon = _Daemon(self.faulty, self.clock)
        daemon.limits = _limits(self.faulty, self.clock, service)
        return daemon

    def _service(self):
        return _service(20_000, 60 * SECOND)

    @stateful.rule(
        daemon=strategies.integers(0, 2),
        rank=strategies.sampled_from([URGENT, BULK]),
        needed=strategies.sampled_from([0, 100, 4000, 11_000]),
    )
    def draw(self, daemon, rank, needed):
        one = self.daemons[daemon]
        if one.is_idle():
            one.operation = faulty.Operation(
                lambda: one.limits.draw(self._service(), rank, needed)
            )

    @stateful.rule(
        daemon=strategies.integers(0, 2),
        fate=strategies.sampled_from(
            [faulty.CallOutcome.ANSWERED] * 6 + list(faulty.CallOutcome)
        ),
        count=strategies.integers(1, 6),
    )
    def step(self, daemon, fate, count):
        operation = self.daemons[daemon].operation
        if operation is not None:
            for _ in range(count):
                operation.step(fate)

    @stateful.rule(
        daemon=strategies.integers(0, 2),
        rank=strategies.sampled_from([URGENT, BULK]),
        tokens=strategies.integers(1, 11_000),
    )
    def reserve(self, daemon, rank, tokens):
        one = self.daemons[daemon]
        work = _work(self.clock, tokens, rank, self._service())
        account = one.limits.free("desk", rank.name)
        if tokens <= account:
            taken = one.limits.reserve(work)
            if taken.is_ok():
                one.reserved.append(taken.ok)
                key = (taken.ok.period, rank.name)
                self.spent[key] = self.spent.get(key, 0) + tokens

    @stateful.rule(
        daemon=strategies.integers(0, 2),
        share=strategies.sampled_from([0.0, 0.5, 1.0, None]),
    )
    def settle(self, daemon, share):
        one = self.daemons[daemon]
        if not one.reserved:
            return
        taken = one.reserved.pop()
        used = None if share is None else int(taken.tokens * share)
        one.limits.settle(taken, used)
        if used is not None:
            self.spent[taken.period, taken.rank] -= taken.tokens - used

    @stateful.rule(seconds=strategies.sampled_from([1, 1, 1, 5, 40]))
    def pass_time(self, seconds):
        self.clock.advance(seconds * SECOND)

    @stateful.rule(daemon=strategies.integers(0, 2))
    def die(self, daemon):
        one = self.daemons[daemon]
        if one.operation is not None:
            one.operation.kill()
        self.daemons[daemon] = self._build()
        self.holders += 1

    @stateful.rule(daemon=strategies.integers(0, 2))
    def leave(self, daemon):
        one = self.daemons[daemon]
        if one.is_idle():
            one.operation = faulty.Operation(one.limits.drain)

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
        for row in table_module.read_all(self.table, slices.PREFIX):
            assert 0 <= row.value["drawn"] <= row.value["limit"] <= self.limit

    @stateful.invariant()
    def slices_are_bounded(self):
        largest = max(slices.bound_slice(self.limit), 11_000)
        for one in self.daemons:
            for rank in ("bid", "catalogue"):
                assert one.limits.held("desk", rank) <= largest


TestLimitsMachine = LimitsMachine.TestCase
TestLimitsMachine.settings = hypothesis.settings(
    max_examples=200, stateful_step_count=50
)
