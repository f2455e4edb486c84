"""A table whose calls a test interleaves, loses, delays or never answers.

An operation runs in a greenlet of its own and stops before each call of the
table. The test then says what becomes of the call, so that several daemons
can be interleaved at every step, paused, or ended where they stand.
"""

import enum
import typing
from collections import abc

import greenlet

from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module


class CallOutcome(enum.StrEnum):
    """What becomes of a call; `LATE` writes take effect at `deliver_late`."""

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    LATE = "late"
    UNCONFIRMED = "unconfirmed"


class FaultyTable:
    """Yields to the test before each call, when inside an `Operation`."""

    def __init__(self, inner: table_standin.MemoryTable) -> None:
        self.inner = inner
        self.late: list[table_module.Transaction] = []

    def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None if there is none."""
        if await_call_outcome() != CallOutcome.ANSWERED:
            raise table_module.TableUnavailableError("lost")
        return self.inner.read(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = table_module.SCAN_LIMIT
    ) -> list[table_module.Row]:
        """Returns rows by prefix in key order, after a key."""
        if await_call_outcome() != CallOutcome.ANSWERED:
            raise table_module.TableUnavailableError("lost")
        return self.inner.scan(prefix, after, limit)

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction as the test decides."""
        match await_call_outcome():
            case CallOutcome.ANSWERED:
                return self.inner.transact(transaction)
            case CallOutcome.REFUSED:
                raise table_module.TableUnavailableError("refused")
            case CallOutcome.UNCONFIRMED:
                self.inner.transact(transaction)
            case CallOutcome.LATE:
                self.late.append(transaction)
        raise table_module.OutcomeUnknownError("lost")

    def deliver_late(self) -> None:
        """Applies the oldest delayed write."""
        if self.late:
            self.inner.transact(self.late.pop(0))


class Operation:
    """A function that stops before each call of a `FaultyTable`."""

    def __init__(self, function: abc.Callable[[], typing.Any]) -> None:
        self._greenlet = greenlet.greenlet(function)
        self._greenlet.switch()

    def is_running(self) -> bool:
        """Returns whether the operation waits for the fate of a call."""
        return not self._greenlet.dead

    def step(self, fate: CallOutcome) -> None:
        """Lets the call that the operation waits for end as told."""
        if self.is_running():
            _parent_to_current(self._greenlet)
            self._greenlet.switch(fate)

    def kill(self) -> None:
        """Ends the operation where it stands; nothing of it runs later."""
        if self.is_running():
            _parent_to_current(self._greenlet)
            self._greenlet.throw(greenlet.GreenletExit)


def _parent_to_current(operation: greenlet.greenlet) -> None:
    operation.parent = greenlet.getcurrent()


def await_call_outcome() -> CallOutcome:
    """Stops the running `Operation` until the test decides; else answers."""
    current = greenlet.getcurrent()
    if type(current) is not greenlet.greenlet or current.parent is None:
        return CallOutcome.ANSWERED
    return current.parent.switch()


class SwitchedTable:
    """A table that a test can take down; counts calls."""

    def __init__(self, inner: table_module.Table) -> None:
        self._inner = inner
        self.down = False
        self.calls = 0

    def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None if there is none."""
        self._count()
        return self._inner.read(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = table_module.SCAN_LIMIT
    ) -> list[table_module.Row]:
        """Returns rows by prefix in key order, after a key."""
        self._count()
        return self._inner.scan(prefix, after, limit)

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction."""
        self._count()
        return self._inner.transact(transaction)

    def _count(self) -> None:
        self.calls += 1
        if self.down:
            raise table_module.TableUnavailableError("down")
