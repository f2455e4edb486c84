"""Guards against one token under two holders after the table lost writes."""

import copy
import dataclasses
import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.leases import holder
from arbutuscove.leases import lease
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module

DUTY = "groups"
MAX_ERA = (1 << 16) - 1
GROUP_BITS = 20  # low bits of a group's epoch; the token is in those above
TERMS = dataclasses.replace(
    lease.DEFAULT_TERMS, order_timeout=datetime.timedelta()
)


class _RestoredTable(table_standin.MemoryTable):
    """A table that comes back from a copy, in the next era."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.save()

    def save(self):
        """Takes the copy that the next `restore` returns to."""
        self._copy = copy.deepcopy((self.rows, self._versions))

    def restore(self):
        """Loses what was written since the copy."""
        self.rows, self._versions = copy.deepcopy(self._copy)
        self.era += 1


class _Client:
    """The table as one process sees it; it learns the era from answers."""

    def __init__(self, table):
        self._table = table
        self.era = 0
        self.is_cut = False
        self.before_write = None

    def get_era(self):
        return self.era

    def read(self, key):
        self._check()
        row = self._table.read(key)
        self.era = self._table.era
        return row

    def scan(self, prefix, after="", limit=500):
        self._check()
        rows = self._table.scan(prefix, after, limit)
        self.era = self._table.era
        return rows

    def transact(self, transaction):
        self._check()
        if self.before_write is not None:
            self.before_write()
        outcome = self._table.transact(transaction)
        self.era = self._table.era
        return outcome

    def _check(self):
        if self.is_cut:
            raise table_module.TableUnavailableError("cut off")


class _Peers:
    """Peer hints that name the lost holders."""

    def __init__(self):
        self.lost = set()

    def must_defer(self, duty):
        return False

    def is_holder_lost(self, identity, epoch):
        return identity in self.lost


class _Setup:
    """Three processes that apply for one duty."""

    def __init__(self):
        self.table = _RestoredTable()
        self.clock = clock_module.ManualClock()
        self.peers = _Peers()
        lag = loop.LagMonitor(self.clock)
        self.clients = {name: _Client(self.table) for name in "abc"}
        self.holders = {
            name: holder.LeaseHolder(
                name, client, self.clock, lag, TERMS, self.peers, client.get_era
            )
            for name, client in self.clients.items()
        }

    def step(self, name):
        """Steps a process and returns the token under which it may act."""
        self.holders[name].step(DUTY)
        return self.get_epoch(name)

    def get_epoch(self, name):
        return self.holders[name].get_active_epoch(DUTY)


@pytest.fixture
def setup():
    return _Setup()


def test_lease_token_of_a_lost_holder_is_not_given_out_again(setup):
    """Guards against two holders under one token after a lost change of holder.

    `b` took the duty over in the part that the table lost, and still acts when
    `c` takes it over from the row of `a`.
    """
    first = setup.step("a")
    setup.table.save()
    setup.peers.lost = {"a"}
    lost = setup.step("b")
    assert lost > first
    setup.table.restore()
    tokens = {setup.step("c"), setup.get_epoch("b")}
    setup.clock.advance(lease.TERM)
    tokens.add(setup.step("c"))
    assert lost in tokens
    assert max(tokens - {None}) > lost
    assert max(tokens - {None}) == setup.get_epoch("c")


def test_lease_of_an_earlier_era_is_not_held(setup):
    """Guards against effects under a lease whose row may be gone."""
    assert setup.step("a") is not None
    setup.clients["a"].era += 1
    assert setup.get_epoch("a") is None


def test_lease_former_holder_goes_on_at_once(setup):
    """Guards against a duty that nobody performs for a term after a loss."""
    before = setup.step("a")
    setup.table.restore()
    after = setup.step("a")
    assert after is not None
    assert after >> lease.ERA_SHIFT == 2
    assert after > before


def test_lease_others_wait_a_term_in_a_new_era(setup):
    """Guards against a missing row that is taken for a duty never held."""
    setup.step("a")
    setup.step("b")
    setup.table.restore()
    assert setup.step("b") is None
    setup.clock.advance(lease.TERM - datetime.timedelta(seconds=0.1))
    assert setup.step("b") is None
    setup.clock.advance(datetime.timedelta(seconds=0.1))
    assert setup.step("b") is not None


def test_lease_others_need_not_wait_for_a_lost_holder(setup):
    """Guards against a term without a holder when the last one is dead."""
    setup.step("a")
    setup.step("b")
    setup.peers.lost = {"a"}
    setup.table.restore()
    assert setup.step("b") is not None


def test_lease_new_process_waits_for_the_holder_of_an_earlier_era(setup):
    """Guards against a process that starts after the loss and asks nobody.

    It has never known another era, but a row of that era is left.
    """
    setup.step("a")
    setup.table.save()
    setup.table.restore()
    assert setup.step("c") is None
    setup.clock.advance(lease.TERM)
    assert setup.step("c") is not None


def test_lease_of_a_duty_never_held_is_taken_at_once(setup):
    """Guards against a start of the fleet that is delayed by a term."""
    assert setup.step("a") == (1 << lease.ERA_SHIFT) + 1


def test_lease_confirmed_by_another_era_is_not_held(setup):
    """Guards against a condition that holds by accident in a new era."""
    setup.step("a")
    setup.table.save()
    setup.clients["a"].before_write = setup.table.restore
    assert setup.step("a") is None


def test_lease_late_renewal_does_not_replace_the_row_of_a_new_era(setup):
    """Guards against a renewal read before the loss and applied after it.

    The version that it was read at has been given out again, to the row of the
    new holder. If that row were replaced, its token would be given out again.
    """
    setup.step("a")
    tokens = []

    def lose():
        setup.clients["a"].before_write = None
        setup.table.restore()
        setup.peers.lost = {"a"}
        tokens.append(setup.step("b"))

    setup.clients["a"].before_write = lose
    assert setup.step("a") is None
    assert setup.step("a") is None
    setup.peers.lost = {"a", "b"}
    tokens.append(setup.step("c"))
    assert None not in tokens
    assert tokens[1] > tokens[0]


def test_lease_audit_entries_are_written_again(setup):
    """Guards against changes of holder that the audit trail lacks."""
    setup.step("a")
    setup.table.save()
    setup.peers.lost = {"a"}
    setup.step("b")
    before = trail.read_scope(setup.table, DUTY)
    setup.table.restore()
    setup.step("c")
    for _ in range(2):
        for name in "abc":
            setup.step(name)
            setup.holders[name].restore_entries()
    after = trail.read_scope(setup.table, DUTY)
    entries = [numbered.entry for numbered in after]
    assert all(entries.count(numbered.entry) == 1 for numbered in before)
    assert not trail.find_gaps(after)


def test_lease_audit_entries_wait_for_the_table(setup):
    """Guards against entries that are given up while the table is away."""
    setup.step("a")
    setup.table.restore()
    setup.clients["a"].era = 2
    setup.clients["a"].is_cut = True
    with pytest.raises(table_module.TableError):
        setup.holders["a"].restore_entries()
    setup.clients["a"].is_cut = False
    setup.holders["a"].restore_entries()
    assert len(trail.read_scope(setup.table, DUTY)) == 1


def test_lease_epochs_fit_into_numbers_that_travel():
    """Guards against tokens and group epochs that decoders round."""
    row = lease.LeaseRow(holder="a", epoch=5, renewals=0)
    epoch = lease.compute_next_epoch(row, MAX_ERA)
    assert ((epoch + 1) << GROUP_BITS) < 1 << 53
    assert lease.compute_next_epoch(row, 0) == 6
    assert lease.compute_next_epoch(None, 0) == 1


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["a", "b", "c", "save", "restore"]),
            strategies.floats(0.1, 4.0),
        ),
        max_size=60,
    )
)
def test_lease_no_token_has_two_holders(steps):
    """Guards against any order of losses that gives a token out twice.

    A process that knows of the newest era never acts beside another one that
    knows of it, too.
    """
    setup = _Setup()
    owners = {}
    for name, seconds in steps:
        match name:
            case "save":
                setup.table.save()
            case "restore":
                setup.table.restore()
            case _:
                setup.step(name)
        setup.clock.advance(datetime.timedelta(seconds=seconds))
        acting = [n for n in "abc" if setup.get_epoch(n) is not None]
        for n in acting:
            assert owners.setdefault(setup.get_epoch(n), n) == n
        newest = max(client.era for client in setup.clients.values())
        assert len([n for n in acting if setup.clients[n].era == newest]) <= 1
