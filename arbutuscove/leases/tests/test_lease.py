"""Guards against two holders that both believe they may act."""

import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.leases import holder
from arbutuscove.leases import lease
from arbutuscove.standins import table as table_standin

DUTY = "fabric/a"


def _build(identity, table, clock):
    return holder.LeaseHolder(identity, table, clock, loop.LagMonitor(clock))


def test_lease_new_holder_waits_out_term_and_orders():
    """A takeover before the old term has passed would allow two holders."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    first, second = (_build(name, table, clock) for name in "ab")
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    assert first.epoch(DUTY) == 1
    second.step(DUTY)
    clock.advance(lease.TERM - datetime.timedelta(seconds=0.1))
    second.step(DUTY)
    assert second.epoch(DUTY) is None
    clock.advance(datetime.timedelta(seconds=0.1))
    second.step(DUTY)
    assert second.epoch(DUTY) is None
    clock.advance(lease.ORDER_TIMEOUT)
    assert second.epoch(DUTY) == 2
    assert first.epoch(DUTY) is None


def test_lease_paused_holder_wakes_without_lease():
    """A holder that slept past its term must not act on waking."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    first = _build("a", table, clock)
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    assert first.epoch(DUTY) == 1
    clock.advance(lease.TERM)
    assert first.epoch(DUTY) is None


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
    """Interleaved, paused and late renewals never give two acting holders."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    holders = {name: _build(name, table, clock) for name in "abc"}
    for name, seconds in steps:
        if name in holders:
            holders[name].step(DUTY)
        clock.advance(datetime.timedelta(seconds=seconds))
        acting = [h for h in holders.values() if h.epoch(DUTY) is not None]
        assert len(acting) <= 1


def test_lease_drain_releases():
    """A leaving daemon must not go on acting under its lease."""
    clock = clock_module.ManualClock()
    first = _build("a", table_standin.MemoryTable(), clock)
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    first.drain()
    assert first.epoch(DUTY) is None


@pytest.mark.parametrize("renewals", [1, 5])
def test_lease_renewal_keeps_epoch(renewals):
    """An epoch that moves on renewal would fence the holder's own orders."""
    clock = clock_module.ManualClock()
    first = _build("a", table_standin.MemoryTable(), clock)
    for _ in range(renewals + 1):
        first.step(DUTY)
        clock.advance(lease.RENEW_INTERVAL)
    assert first.epoch(DUTY) == 1


class _DrainingTable(table_standin.MemoryTable):
    """Drains a holder while its second write is in progress."""

    draining: holder.LeaseHolder | None = None

    def transact(self, transaction):
        outcome = super().transact(transaction)
        if self.draining is not None:
            self.draining.drain()
        return outcome


def test_lease_renewal_confirmed_after_drain_does_not_restore_it():
    """A renewal in flight at the drain would let a leaving daemon act."""
    table = _DrainingTable()
    clock = clock_module.ManualClock()
    first = _build("a", table, clock)
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    table.draining = first
    first.step(DUTY)
    clock.advance(lease.ORDER_TIMEOUT)
    assert first.epoch(DUTY) is None
