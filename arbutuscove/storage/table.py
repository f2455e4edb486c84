"""The platform's transactional table service.

Rows are JSON values under string keys. Every write assigns a new version to
the row and records the ID of the transaction. A `Transaction` consists of
conditions and writes that take effect together or not at all. All mutual
exclusion in the system relies on these transactions.

The confirmation of a write can be lost. `commit` determines the outcome of
such a write: it retries the same transaction, whose conditions allow it to
take effect at most once, and on a conflict reads the rows back to determine
whether they were written by this transaction.
"""

import dataclasses
import datetime
import typing
import urllib.parse
import uuid

import eliot
import expression

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.storage import eras
from arbutuscove.storage import http

SERVICE_NAME = "table"
ABSENT = 0  # version of a row that does not exist
UNKNOWN_VERSION = -1  # a conflict that does not report the version of the row
SCAN_LIMIT = 500  # rows per page of a scan
COMMIT_TIMEOUT = datetime.timedelta(seconds=3)
RETRY_DELAY = datetime.timedelta(milliseconds=100)

ValueT = typing.TypeVar("ValueT")


class TableError(Exception):
    """The table service did not carry out a request."""


class TableUnavailableError(TableError):
    """The service is unreachable or rejects requests; nothing was written."""


class UnreadableRowError(TableUnavailableError):
    """A row holds another value than expected; nothing was written."""


class OutcomeUnknownError(TableError):
    """A write may or may not have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row as read; `write_id` names the transaction that wrote it."""

    key: str
    version: decoding.Count
    write_id: str
    value: typing.Any

    def decode(self, value_type: type[ValueT]) -> ValueT:
        """Returns the value converted to a type.

        Raises:
            UnreadableRowError: the value is not of that type.
        """
        try:
            return decoding.convert(self.value, value_type)
        except decoding.DecodingError as error:
            raise UnreadableRowError(f"{self.key}: {error}") from error


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """The row must be at this version; `ABSENT` for no row."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Write:
    """Replaces the value of a row; None deletes the row."""

    key: str
    value: typing.Any


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Conditions and writes that take effect together or not at all."""

    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]
    write_id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """The transaction took effect; `versions` are those of the new rows."""

    versions: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """A condition did not hold; nothing was written."""

    key: str
    found: int


Outcome = expression.Result[Committed, Conflict]


class Table(typing.Protocol):
    """Interface of the table service as used by the rest of the system."""

    def read(self, key: str) -> Row | None:
        """Returns the row, or None if there is none."""

    def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns rows in key order, one page at a time.

        Args:
            prefix: prefix of the keys.
            after: only rows with greater keys are returned.
            limit: the maximum number of rows.
        """

    def transact(self, transaction: Transaction) -> Outcome:
        """Applies a transaction once.

        Raises:
            TableUnavailableError: nothing was written.
            OutcomeUnknownError: the confirmation was lost.
        """


class HttpTable:
    """Client of the table service over HTTP.

    The era of the service is learned from its answers and only increases. An
    answer of an earlier era is not used.
    """

    def __init__(self, address: http.Address) -> None:
        self._client = http.JsonClient(address)
        self._era = 0

    def get_era(self) -> int:
        """Returns the highest era learned so far; 0 if none was named."""
        return self._era

    def read(self, key: str) -> Row | None:
        """Returns the row, or None if there is none.

        Raises:
            TableUnavailableError: the table could not be read.
        """
        path = "/rows/" + urllib.parse.quote(key, safe="/")
        reply, era = self._read(path)
        if reply.status == 404:
            return None
        return _join_era(_decode_reply(reply, Row), era)

    def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns rows in key order, one page at a time.

        Args:
            prefix: prefix of the keys.
            after: only rows with greater keys are returned.
            limit: the maximum number of rows.

        Raises:
            TableUnavailableError: the table could not be read.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        reply, era = self._read("/scan?" + query)
        return [_join_era(row, era) for row in _decode_reply(reply, list[Row])]

    def transact(self, transaction: Transaction) -> Outcome:
        """Applies a transaction once.

        Raises:
            TableUnavailableError: nothing was written.
            OutcomeUnknownError: the confirmation was lost.
        """
        sent_era = self._era
        conditions = []
        for condition in transaction.conditions:
            era, number = eras.split_version(condition.version)
            if condition.version != ABSENT and era != sent_era:
                conflict = Conflict(key=condition.key, found=UNKNOWN_VERSION)
                return expression.Error(conflict)
            conditions.append(dataclasses.replace(condition, version=number))
        request = dataclasses.replace(transaction, conditions=tuple(conditions))
        try:
            reply = self._client.send("POST", "/transact", request)
        except http.NotSentError as error:
            raise TableUnavailableError(str(error)) from error
        except http.HttpError as error:
            raise OutcomeUnknownError(str(error)) from error
        era = self._learn_era(reply)
        match reply.status:
            case 200 if not era == sent_era == self._era:
                # Written before a restore and lost by it, or written after it
                # under conditions that were read before it.
                raise OutcomeUnknownError("the table's era changed")
            case 409 if era < self._era:
                raise TableUnavailableError("rejected in an earlier era")
            case 200 | 409:
                return _decode_outcome(reply, era)
            case 429 | 503:
                raise TableUnavailableError(f"table answered {reply.status}")
            case _:
                raise OutcomeUnknownError(f"table answered {reply.status}")

    def _read(self, path: str) -> tuple[http.Reply, int]:
        """Returns the answer and its era."""
        try:
            reply = self._client.send("GET", path)
        except http.HttpError as error:
            raise TableUnavailableError(str(error)) from error
        era = self._learn_era(reply)
        if reply.status not in (200, 404):
            raise TableUnavailableError(f"table answered {reply.status}")
        if era < self._era:
            raise TableUnavailableError("the answer is of an earlier era")
        return reply, era

    def _learn_era(self, reply: http.Reply) -> int:
        """Learns the era of an answer and returns it."""
        named = [
            value
            for name, value in reply.headers.items()
            if name.lower() == eras.HEADER
        ]
        era = eras.parse(named[0]) if named else self._era
        if era > self._era:
            eliot.log_message("table:era", before=self._era, after=era)
            self._era = era
        return era


def _join_era(row: Row, era: int) -> Row:
    version = eras.join_version(era, row.version)
    return dataclasses.replace(row, version=version)


def _decode_reply(reply: http.Reply, value_type: type[ValueT]) -> ValueT:
    try:
        return reply.decode(value_type)
    except http.HttpError as error:
        raise TableUnavailableError(str(error)) from error


def _decode_outcome(reply: http.Reply, era: int) -> Outcome:
    try:
        if reply.status == 200:
            committed = reply.decode(Committed)
            return expression.Ok(
                Committed(
                    versions={
                        key: eras.join_version(era, number)
                        for key, number in committed.versions.items()
                    }
                )
            )
        return expression.Error(reply.decode(Conflict))
    except http.HttpError as error:
        raise OutcomeUnknownError(str(error)) from error


def read_all(table: Table, prefix: str) -> list[Row]:
    """Returns all rows whose keys have a prefix; reads them page by page.

    Args:
        table: the table service.
        prefix: prefix of the keys.

    Raises:
        TableUnavailableError: a page could not be read.
    """
    rows: list[Row] = []
    after = ""
    while True:
        page = table.scan(prefix, after)
        rows.extend(page)
        if len(page) < SCAN_LIMIT:
            return rows
        after = page[-1].key


def commit(
    table: Table,
    transaction: Transaction,
    clock: clock_module.Clock,
    timeout: datetime.timedelta = COMMIT_TIMEOUT,
) -> Outcome:
    """Applies a transaction and determines the outcome of a lost confirmation.

    Each condition requires a row version, so a transaction that took effect
    conflicts with itself when it is retried; the rows that are then read back
    carry its own `write_id`. Hence at least one of the written rows must also
    have a condition.

    Args:
        table: the table service.
        transaction: the transaction to apply.
        clock: the clock for the timeout and the delay between retries.
        timeout: time limit for retries after a lost confirmation.

    Returns:
        The new row versions, or the conflict with another write.

    Raises:
        TableUnavailableError: nothing was written and nothing will be.
        OutcomeUnknownError: the outcome could not be determined within
            `timeout`.
    """
    deadline = clock.monotonic() + timeout
    is_in_doubt = False
    while True:
        try:
            outcome = table.transact(transaction)
        except TableUnavailableError as error:
            if not is_in_doubt:
                raise
            _wait_for_retry(clock, deadline, error)
            continue
        except OutcomeUnknownError as error:
            is_in_doubt = True
            _wait_for_retry(clock, deadline, error)
            continue
        if outcome.is_ok() or not is_in_doubt:
            return outcome
        return _read_back(table, transaction, outcome)


def _wait_for_retry(
    clock: clock_module.Clock, deadline: datetime.timedelta, error: TableError
) -> None:
    """Raises `OutcomeUnknownError` if the deadline is before the next retry."""
    if clock.monotonic() + RETRY_DELAY > deadline:
        raise OutcomeUnknownError(str(error)) from error
    clock.sleep(RETRY_DELAY)


def _read_back(
    table: Table, transaction: Transaction, conflict: Outcome
) -> Outcome:
    """Returns success if a row was written by the transaction itself."""
    versions: dict[str, int] = {}
    for write in transaction.writes:
        if write.value is None:
            continue
        try:
            row = table.read(write.key)
        except TableUnavailableError as error:
            raise OutcomeUnknownError(str(error)) from error
        if row is not None and row.write_id == transaction.write_id:
            versions[write.key] = row.version
    if versions:
        return expression.Ok(Committed(versions=versions))
    return conflict
