"""Guards against drained VMs that get requests, and drains that are lost."""

from arbutuscove.kernel import clock as clock_module
from arbutuscove.replicas import drains
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module


class _Table(table_standin.MemoryTable):
    """A table that can be down."""

    down = False

    def scan(self, prefix, after="", limit=table_module.SCAN_LIMIT):
        if self.down:
            raise table_module.TableUnavailableError("down")
        return super().scan(prefix, after, limit)


def test_drains_are_kept_in_an_outage():
    """A table outage must not return a drained VM to service."""
    table = _Table()
    drained = drains.DrainedVms(table)
    drain = drains.Drain(vm="vm-1", reason="disk")
    clock = clock_module.ManualClock()
    drains.set_drain(table, clock, "ann", "vm-1", drain)
    assert drained.read() == {"vm-1"}
    table.down = True
    assert drained.read() == {"vm-1"}
    table.down = False
    drains.set_drain(table, clock, "ann", "vm-1", None)
    assert drained.read() == frozenset()


def test_drains_repeated_call_writes_one_audit_entry():
    """A repeated call must not be recorded as a second change."""
    table = _Table()
    clock = clock_module.ManualClock()
    drain = drains.Drain(vm="vm-1")
    for _ in range(3):
        drains.set_drain(table, clock, "ann", "vm-1", drain)
    assert len(table.scan("audit/drains/")) == 1
