"""Writes the audit entries of one process again that the table lost.

A table that came back from an older copy lacks the last entries and gives their
numbers out again. An entry that is written again keeps its time and gets the
next number of its scope.
"""

import collections
from collections import abc

import eliot

from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module

MAX_REMEMBERED = 64  # entries; the oldest is dropped
MAX_WRITE_ATTEMPTS = 8  # of one entry in one call, each after a conflict


class EntryKeeper:
    """Remembers the last entries that this process wrote."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        get_era: abc.Callable[[], int],
    ) -> None:
        """Creates a keeper without entries.

        Args:
            table: the table service that stores the audit trail.
            clock: the clock for retries of a write.
            get_era: returns the newest known era of the table, 0 for none.
        """
        self._table = table
        self._clock = clock
        self._get_era = get_era
        # Scope and entry, with the era in which it was last seen in the table.
        self._remembered: collections.deque[tuple[str, trail.Entry, int]] = (
            collections.deque(maxlen=MAX_REMEMBERED)
        )

    def remember(self, scope: str, entry: trail.Entry, era: int) -> None:
        """Remembers an entry that was written in an era."""
        self._remembered.append((scope, entry, era))

    def write_again(self) -> None:
        """Writes the entries again that the table lost by a change of its era.

        Raises:
            TableError: an entry may not have been written; the next call goes
                on with it.
        """
        era = self._get_era()
        for index, (scope, entry, seen_era) in enumerate(self._remembered):
            if seen_era < era:
                self._write_if_lost(scope, entry)
                self._remembered[index] = scope, entry, era

    def _write_if_lost(self, scope: str, entry: trail.Entry) -> None:
        for _ in range(MAX_WRITE_ATTEMPTS):
            empty = table_module.Transaction(conditions=(), writes=())
            transaction = trail.append_entry(self._table, empty, scope, entry)
            # Read after the head row, so that the transaction conflicts with
            # an entry that is written meanwhile.
            prefix = f"{trail.ENTRY_PREFIX}{scope}/"
            rows = table_module.read_all(self._table, prefix)
            if any(
                row.decode(trail.NumberedEntry).entry == entry for row in rows
            ):
                return
            outcome = table_module.commit(self._table, transaction, self._clock)
            if outcome.is_ok():
                eliot.log_message(
                    "audit:written_again", scope=scope, action=entry.action
                )
                return
        raise table_module.TableUnavailableError(
            f"other entries of {scope} are written all the time"
        )
