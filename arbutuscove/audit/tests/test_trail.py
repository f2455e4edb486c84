"""Guards against audit entries that are lost, doubled or unnumbered."""

from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module


def _build(table, subject):
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
    """Two writers with the same number would lose one of the entries."""
    table = table_standin.MemoryTable()
    first, second = _build(table, "a"), _build(table, "b")
    assert table.transact(first).is_ok()
    assert table.transact(second).is_error()
    assert table.read("row/b") is None
    assert table.transact(_build(table, "b")).is_ok()
    entries = trail.read_scope(table, "test")
    assert [item.entry.subject for item in entries] == ["a", "b"]


def test_trail_gap_is_found():
    """A removed entry must show."""
    table = table_standin.MemoryTable()
    for subject in "abc":
        table.transact(_build(table, subject))
    entries = trail.read_scope(table, "test")
    assert trail.find_gaps(entries) == []
    assert trail.find_gaps([entries[0], entries[2]]) == [2]
