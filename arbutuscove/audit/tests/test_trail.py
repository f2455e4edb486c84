"""Guards against lost, duplicated or unnumbered audit entries."""

from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module


def _build_transaction(table, subject):
    entry = trail.Entry(
        actor="ann",
        action="test.changed",
        subject=subject,
        before="",
        after="1",
        reason="test",
        time=clock_module.ManualClock().now(),
    )
    transaction = table_module.Transaction(
        conditions=(),
        writes=(table_module.Write(key="row/" + subject, value=1),),
    )
    return trail.append_entry(table, transaction, "test", entry)


def test_trail_entries_at_once_do_not_overwrite_each_other():
    """If two writers used the same number, one entry would be lost."""
    table = table_standin.MemoryTable()
    first, second = (
        _build_transaction(table, "a"),
        _build_transaction(table, "b"),
    )
    assert table.transact(first).is_ok()
    assert table.transact(second).is_error()
    assert table.read("row/b") is None
    assert table.transact(_build_transaction(table, "b")).is_ok()
    entries = trail.read_scope(table, "test")
    assert [item.entry.subject for item in entries] == ["a", "b"]


def test_trail_gap_is_found():
    """A removed entry must be reported as a missing number."""
    table = table_standin.MemoryTable()
    for subject in "abc":
        table.transact(_build_transaction(table, subject))
    entries = trail.read_scope(table, "test")
    assert trail.find_gaps(entries) == []
    assert trail.find_gaps([entries[0], entries[2]]) == [2]
