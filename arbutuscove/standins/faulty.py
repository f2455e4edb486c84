"""Table test doubles with faults that a test injects call by call.

An operation runs in its own greenlet and yields before each table call. The
test then determines the outcome of that call, so that it can interleave
several daemons at every table call, pause them, or kill them at that point.
"""

import enum
import typing
from collections import abc

import greenlet

from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module


class CallOutcome(enum.StrEnum):
    """Outcome of a table call, chosen by the test.

    A call without an answer (`LOST`, `LATE` or `UNCONFIRMED`) raises an error.
    `LOST` writes are never applied, `LATE` writes are applied by
    `deliver_late`, and `UNCONFIRMED` writes are applied at once.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    LOST = "lost"
    LATE = "late"
    UNCONFIRMED = "unconfirmed"


class FaultyTable:
    """Table that yields to the test before each call inside an `Operation`.

    Outside an `Operation`, calls are passed on without faults.

    Attributes:
        inner: Table that the calls are passed on to.
        late: Delayed transactions, oldest first.
    """

    def __init__(self, inner: table_standin.MemoryTable) -> None:
        self.inner = inner
        self.late: list[table_module.Transaction] = []

    def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None if it does not exist.

        Raises:
            TableUnavailableError: The test let the call fail.
        """
        if await_call_outcome() != CallOutcome.ANSWERED:
            raise table_module.TableUnavailableError("read lost by the test")
        return self.inner.read(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = table_module.SCAN_LIMIT
    ) -> list[table_module.Row]:
        """Returns rows with a key prefix in key order, after a key.

        Raises:
            TableUnavailableError: The test let the call fail.
        """
        if await_call_outcome() != CallOutcome.ANSWERED:
            raise table_module.TableUnavailableError("scan lost by the test")
        return self.inner.scan(prefix, after, limit)

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction with the outcome that the test chose.

        Raises:
            TableUnavailableError: The table rejected the transaction.
            OutcomeUnknownError: The answer is missing; the transaction may
                have been applied.
        """
        match await_call_outcome():
            case CallOutcome.ANSWERED:
                return self.inner.transact(transaction)
            case CallOutcome.REFUSED:
                raise table_module.TableUnavailableError(
                    "write rejected by the test"
                )
            case CallOutcome.UNCONFIRMED:
                self.inner.transact(transaction)
            case CallOutcome.LATE:
                self.late.append(transaction)
        raise table_module.OutcomeUnknownError(
            "answer to write lost by the test"
        )

    def deliver_late(self) -> None:
        """Applies the oldest delayed transaction, if there is one."""
        if self.late:
            self.inner.transact(self.late.pop(0))


class Operation:
    """Function run in a greenlet that yields before each `FaultyTable` call."""

    def __init__(self, function: abc.Callable[[], typing.Any]) -> None:
        self._greenlet = greenlet.greenlet(function)
        self._greenlet.switch()

    def is_running(self) -> bool:
        """Returns whether the operation is suspended before a table call."""
        return not self._greenlet.dead

    def step(self, outcome: CallOutcome) -> None:
        """Resumes the operation; its pending table call gets this outcome."""
        if self.is_running():
            _parent_to_current(self._greenlet)
            self._greenlet.switch(outcome)

    def kill(self) -> None:
        """Kills the operation at its pending call; no later code of it runs."""
        if self.is_running():
            _parent_to_current(self._greenlet)
            self._greenlet.throw(greenlet.GreenletExit)


def _parent_to_current(operation: greenlet.greenlet) -> None:
    operation.parent = greenlet.getcurrent()


def await_call_outcome() -> CallOutcome:
    """Suspends the running `Operation` until the test chooses an outcome.

    Returns:
        The chosen outcome; `ANSWERED` outside an `Operation`.
    """
    current = greenlet.getcurrent()
    if type(current) is not greenlet.greenlet or current.parent is None:
        return CallOutcome.ANSWERED
    return current.parent.switch()


class SwitchedTable:
    """Table with a switch for outages and a counter of calls.

    Attributes:
        down: Whether all calls fail.
        calls: Number of calls so far, failed ones included.
    """

    def __init__(self, inner: table_module.Table) -> None:
        self._inner = inner
        self.down = False
        self.calls = 0

    def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None if it does not exist.

        Raises:
            TableUnavailableError: The test let the call fail.
        """
        self._count_call()
        return self._inner.read(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = table_module.SCAN_LIMIT
    ) -> list[table_module.Row]:
        """Returns rows with a key prefix in key order, after a key.

        Raises:
            TableUnavailableError: The test let the call fail.
        """
        self._count_call()
        return self._inner.scan(prefix, after, limit)

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction.

        Raises:
            TableUnavailableError: The table is down.
        """
        self._count_call()
        return self._inner.transact(transaction)

    def _count_call(self) -> None:
        self.calls += 1
        if self.down:
            raise table_module.TableUnavailableError(
                "table is down by the test"
            )
