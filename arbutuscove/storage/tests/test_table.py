"""Guards against lost confirmations that duplicate or lose a write."""

import pytest

from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table


class _LossyTable:
    """Loses requests before, or confirmations after, the write takes effect."""

    def __init__(self, losses):
        self.inner = table_standin.MemoryTable()
        self._losses = list(losses)

    def read(self, key):
        return self.inner.read(key)

    def transact(self, transaction):
        loss = self._losses.pop(0) if self._losses else None
        if loss == "request":
            raise table.OutcomeUnknownError("lost")
        outcome = self.inner.transact(transaction)
        if loss == "confirmation":
            raise table.OutcomeUnknownError("lost")
        return outcome


def _write(value, version=table.ABSENT):
    return table.Transaction(
        conditions=(table.Condition(key="k", version=version),),
        writes=(table.Write(key="k", value=value),),
    )


@pytest.mark.parametrize(
    "losses",
    [["confirmation"], ["request"], ["confirmation"] * 2, ["request"] * 3],
)
def test_table_commit_settles_lost_confirmation(losses):
    """A write must take effect exactly once despite lost messages."""
    lossy = _LossyTable(losses)
    result = table.commit(lossy, _write(1), clock_module.ManualClock())
    assert result.is_ok()
    assert lossy.read("k").version == 1


def test_table_commit_reports_conflict_after_loss():
    """A conflicting write must not be mistaken for the transaction's own."""
    lossy = _LossyTable(["request"])
    lossy.inner.transact(_write("other"))
    result = table.commit(lossy, _write("own"), clock_module.ManualClock())
    assert result.is_error()
    assert lossy.read("k").value == "other"


def test_table_commit_timeout_is_reported_as_unknown():
    """A write without a known outcome must not be reported as failed."""
    lossy = _LossyTable(["request"] * 1000)
    with pytest.raises(table.OutcomeUnknownError):
        table.commit(lossy, _write(1), clock_module.ManualClock())


def test_table_versions_survive_deletion():
    """A reused version would let a delayed write replace a newer row."""
    memory = table_standin.MemoryTable()
    memory.transact(_write(1))
    memory.transact(_write(None, version=1))
    memory.transact(_write(2))
    assert memory.read("k").version == 3
