"""Guards against two processes that act under the same lease at a time."""

import dataclasses
import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.leases import holder
from arbutuscove.leases import lease
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module

DUTY = "fabric/a"


def _build(identity, table, clock):
    return holder.LeaseHolder(identity, table, clock, loop.LagMonitor(clock))


def test_lease_new_holder_waits_out_term_and_orders():
    """Guards against a takeover within the previous holder's term."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    first, second = (_build(name, table, clock) for name in "ab")
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    assert first.get_active_epoch(DUTY) == 1
    second.step(DUTY)
    clock.advance(lease.TERM - datetime.timedelta(seconds=0.1))
    second.step(DUTY)
    assert second.get_active_epoch(DUTY) is None
    clock.advance(datetime.timedelta(seconds=0.1))
    second.step(DUTY)
    assert second.get_active_epoch(DUTY) is None
    clock.advance(lease.ORDER_TIMEOUT)
    assert second.get_active_epoch(DUTY) == 2
    assert first.get_active_epoch(DUTY) is None


def test_lease_paused_holder_wakes_without_lease():
    """Guards against a holder that acts after a pause longer than its term."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    first = _build("a", table, clock)
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    assert first.get_active_epoch(DUTY) == 1
    clock.advance(lease.TERM)
    assert first.get_active_epoch(DUTY) is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["a", "b", "c", "pass"]),
            strategies.floats(0.1, 4.0),
        ),
        max_size=60,
    )
)
def test_lease_at_most_one_may_act(steps):
    """Guards against two active holders after any delays of their renewals."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    holders = {name: _build(name, table, clock) for name in "abc"}
    for name, seconds in steps:
        if name in holders:
            holders[name].step(DUTY)
        clock.advance(datetime.timedelta(seconds=seconds))
        acting = [
            h for h in holders.values() if h.get_active_epoch(DUTY) is not None
        ]
        assert len(acting) <= 1


def test_lease_drain_releases():
    """Guards against a draining daemon that still acts under its lease."""
    clock = clock_module.ManualClock()
    first = _build("a", table_standin.MemoryTable(), clock)
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    first.drain()
    assert first.get_active_epoch(DUTY) is None


@pytest.mark.parametrize("renewals", [1, 5])
def test_lease_renewal_keeps_epoch(renewals):
    """Guards against a renewal that fences off the holder's own orders."""
    clock = clock_module.ManualClock()
    first = _build("a", table_standin.MemoryTable(), clock)
    for _ in range(renewals + 1):
        first.step(DUTY)
        clock.advance(lease.RENEW_INTERVAL)
    assert first.get_active_epoch(DUTY) == 1


class _DrainingTable(table_standin.MemoryTable):
    """Drains a holder while its second write is in progress."""

    draining: holder.LeaseHolder | None = None

    def transact(self, transaction):
        outcome = super().transact(transaction)
        if self.draining is not None:
            self.draining.drain()
        return outcome


def test_lease_renewal_confirmed_after_drain_does_not_restore_it():
    """Guards against an in-flight renewal that undoes a drain."""
    table = _DrainingTable()
    clock = clock_module.ManualClock()
    first = _build("a", table, clock)
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    table.draining = first
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    assert first.get_active_epoch(DUTY) is None


class _CutTable:
    """A table that one holder cannot reach while `cut` is true."""

    def __init__(self, table):
        self._table = table
        self.cut = False

    def read(self, key):
        if self.cut:
            raise table_module.TableUnavailableError("cut off")
        return self._table.read(key)

    def scan(self, prefix, after="", limit=500):
        return self._table.scan(prefix, after, limit)

    def transact(self, transaction):
        return self._table.transact(transaction)


class _Peers:
    """Peer hints that repeat the state of one holder."""

    def __init__(self, other):
        self._other = other

    def must_defer(self, duty):
        return self._other.get_active_epoch(duty) is not None

    def is_holder_lost(self, identity, epoch):
        return identity == "a" and epoch <= self._other.get_resigned_epoch(DUTY)


def _build_pair(clock):
    table = table_standin.MemoryTable()
    cut = _CutTable(table)
    terms = dataclasses.replace(
        lease.DEFAULT_TERMS,
        order_timeout=datetime.timedelta(),
        resign_after=2 * lease.RENEW_INTERVAL,
    )
    lag = loop.LagMonitor(clock)
    first = holder.LeaseHolder("a", cut, clock, lag, terms)
    second = holder.LeaseHolder("b", table, clock, lag, terms, _Peers(first))
    return cut, first, second


def test_lease_holder_that_is_cut_off_gives_its_epoch_up():
    """Guards against a duty that nobody performs for a whole term.

    The holder stops acting under its epoch before the other one acquires the
    lease.
    """
    clock = clock_module.ManualClock()
    cut, first, second = _build_pair(clock)
    first.step(DUTY)
    cut.cut = True
    for _ in range(2):
        second.step(DUTY)
        assert second.get_active_epoch(DUTY) is None
        clock.advance(lease.RENEW_INTERVAL)
        with pytest.raises(table_module.TableUnavailableError):
            first.step(DUTY)
        first.resign_if_overdue(DUTY)
    assert first.get_active_epoch(DUTY) is None
    second.step(DUTY)
    assert second.get_active_epoch(DUTY) == 2
    cut.cut = False
    first.step(DUTY)
    assert first.get_active_epoch(DUTY) is None


@pytest.mark.parametrize(
    "value",
    [
        None,
        7,
        {"holder": "a", "epoch": 2**70, "renewals": 0},
        {"holder": "a", "epoch": -1, "renewals": 0},
        {"holder": "a" * 300, "epoch": 1, "renewals": 0},
        {"holder": "a", "epoch": 2**43, "renewals": 0},
    ],
)
def test_lease_odd_row_does_not_cost_the_other_leases(value):
    """Guards against leases that expire beside the row of another duty."""
    table = table_standin.MemoryTable()
    write = table_module.Write(key=holder.ROW_PREFIX + "a", value=value or [])
    table.transact(table_module.Transaction(conditions=(), writes=(write,)))
    clock = StoppingClock()
    leases = holder.LeaseHolder("own", table, clock, loop.LagMonitor(clock))
    leases.register_candidate("a")
    leases.register_candidate("b")
    with pytest.raises(StopIteration):
        leases._run()
    assert table.read(holder.ROW_PREFIX + "b") is not None
    with pytest.raises(table_module.UnreadableRowError):
        leases.step("a")
    assert table.read(holder.ROW_PREFIX + "a").version == 1


class StoppingClock(clock_module.ManualClock):
    """A clock whose second sleep ends the loop that sleeps."""

    def __init__(self):
        super().__init__()
        self.sleeps = 0

    def sleep(self, duration):
        self.sleeps += 1
        if self.sleeps > 1:
            raise StopIteration
