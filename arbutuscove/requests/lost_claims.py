"""Claims that the table may have lost when it came back from an older copy.

An absent claim then no longer proves that a request has not run. Each process
remembers the claims that it wrote in the last minutes and writes the lost ones
again in the new era. Until all processes had the time for that, an absent or
abandoned claim counts as one that may have been lost, so the outcome of its
request is unknown. A row names the last era for which that time has passed, for
processes that start later.
"""

import collections
import datetime
from collections import abc

import eliot
import expression

from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module

SETTLED_KEY = "claims/settled"
CHECK_INTERVAL = datetime.timedelta(seconds=2)
# Covers that a process learns of the era at its next check and then writes its
# claims again.
SETTLE_TIME = datetime.timedelta(seconds=10)
# Copies of the table are some seconds old.
REMEMBER_TIME = datetime.timedelta(minutes=2)
MAX_REMEMBERED = 20_000  # claims; the oldest is dropped


class LostClaims:
    """Remembers the claims of one process and knows whether others may lack."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        get_era: abc.Callable[[], int],
    ) -> None:
        """Creates an instance that remembers no claims.

        Args:
            table: the table service that stores the claims.
            clock: the clock for the settle time and the age of claims.
            get_era: returns the newest known era of the table, 0 for none.
        """
        self._table = table
        self._clock = clock
        self._get_era = get_era
        self._era: int | None = None
        self._unsettled_since: datetime.timedelta | None = None
        # Values of claim rows by key, and when they were written; oldest first.
        self._remembered: collections.OrderedDict[
            str, tuple[datetime.timedelta, dict[str, str]]
        ] = collections.OrderedDict()
        self._to_restore: list[str] = []

    def remember(self, key: str, value: dict[str, str]) -> None:
        """Remembers a claim that this process wrote."""
        now = self._clock.monotonic()
        self._remembered.pop(key, None)
        self._remembered[key] = now, value
        while self._remembered and (
            len(self._remembered) > MAX_REMEMBERED
            or now - next(iter(self._remembered.values()))[0] > REMEMBER_TIME
        ):
            self._remembered.popitem(last=False)

    def may_be_lost(self) -> bool:
        """Returns whether a claim that is absent may have been lost.

        It is called after a read of the claim, whose answer names the era.

        Raises:
            TableError: the table could not be read.
        """
        self._observe_era()
        since = self._unsettled_since
        return (
            since is not None and self._clock.monotonic() - since < SETTLE_TIME
        )

    def check(self) -> None:
        """Learns of a new era, writes lost claims again, notes the end of it.

        Raises:
            TableError: the table could not be read or written; the next call
                goes on.
        """
        if not self._remembered and self._unsettled_since is None:
            return
        self._table.read(SETTLED_KEY)
        self._observe_era()
        while self._to_restore:
            self._restore(self._to_restore[-1])
            self._to_restore.pop()
        if self._unsettled_since is not None and not self.may_be_lost():
            self._write(SETTLED_KEY, None, {"era": self._era})
            self._unsettled_since = None

    def _observe_era(self) -> None:
        era = self._get_era()
        if era == self._era:
            return
        must_read = self._era is None and era != 0
        row = self._table.read(SETTLED_KEY) if must_read else None
        is_settled = era == 0 or (row is not None and row.value["era"] == era)
        self._era = era
        if is_settled:
            return
        self._unsettled_since = self._clock.monotonic()
        self._to_restore = list(self._remembered)
        eliot.log_message(
            "claims:era_changed", era=era, remembered=len(self._to_restore)
        )

    def _restore(self, key: str) -> None:
        """Writes a claim unless its row has been kept or is another's."""
        if key not in self._remembered:
            return
        value = self._remembered[key][1]
        row = self._table.read(key)
        if row is not None and (
            row.value == value or row.value["state"] != "abandoned"
        ):
            return
        if self._write(key, row, value).is_ok():
            eliot.log_message("claims:written_again", key=key)

    def _write(
        self, key: str, row: table_module.Row | None, value: object
    ) -> expression.Result[table_module.Committed, table_module.Conflict]:
        version = table_module.ABSENT if row is None else row.version
        conditions = (table_module.Condition(key=key, version=version),)
        transaction = table_module.Transaction(
            conditions=conditions if key != SETTLED_KEY else (),
            writes=(table_module.Write(key=key, value=value),),
        )
        return table_module.commit(self._table, transaction, self._clock)
