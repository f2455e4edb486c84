"""Guards against a keeper of audit entries that holds its caller up."""

import datetime

import expression
import pytest

from arbutuscove.audit import keeper
from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module


class ContendedTable:
    """An empty table in which each transaction conflicts."""

    def __init__(self):
        self.transactions = 0

    def read(self, key):
        return None

    def scan(self, prefix, after="", limit=100):
        return []

    def transact(self, transaction):
        self.transactions += 1
        assert self.transactions < 100
        conflict = table_module.Conflict(key="audit", found=1)
        return expression.Error(conflict)


def test_keeper_gives_up_after_some_conflicts():
    """Guards against a lease that is not renewed while entries are written."""
    table = ContendedTable()
    eras = [1]
    entries = keeper.EntryKeeper(
        table, clock_module.ManualClock(), lambda: eras[0]
    )
    entry = trail.Entry(
        actor="d",
        action="lease.taken",
        subject="groups",
        before="1",
        after="2",
        reason="r",
        time=datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC),
    )
    entries.remember("groups", entry, 1)
    eras[0] = 2
    with pytest.raises(table_module.TableUnavailableError):
        entries.write_again()
    assert table.transactions == keeper.MAX_WRITE_ATTEMPTS
