"""The platform's transactional table service.

Rows are JSON values under string keys; every write gives the row a new
version and records the identity of the write. A `Transaction` holds
conditions and writes that take effect together or not at all. All exclusive
facts of the system rest on these transactions.

The confirmation of a write can be lost. `commit` settles such a write: it
sends the same transaction again, whose conditions allow it to take effect at
most once, and on a conflict reads the row back to see whose write it was.
"""

import dataclasses
import datetime
import typing
import urllib.parse
import uuid

import expression
import msgspec

from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import http

SERVICE_NAME = "table"
ABSENT = 0  # version of a row that does not exist
SCAN_LIMIT = 500  # rows per page of a scan
COMMIT_TIMEOUT = datetime.timedelta(seconds=3)
RETRY_PAUSE = datetime.timedelta(milliseconds=100)

ValueT = typing.TypeVar("ValueT")


class TableError(Exception):
    """The table service did not carry out a request."""


class TableUnavailableError(TableError):
    """The table service cannot be reached or refuses; nothing was written."""


class OutcomeUnknownError(TableError):
    """A write may or may not have taken effect."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row as read; `write_id` names the transaction that wrote it."""

    key: str
    version: int
    write_id: str
    value: typing.Any

    def decode(self, kind: type[ValueT]) -> ValueT:
        """Returns the value as a `kind`."""
        return msgspec.convert(self.value, kind)


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
    """What the rest of the system asks of the table service."""

    def read(self, key: str) -> Row | None:
        """Returns the row, or None if there is none."""

    def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns rows by prefix in key order, after a key, at most `limit`."""

    def transact(self, transaction: Transaction) -> Outcome:
        """Applies a transaction once.

        Raises:
            TableUnavailableError: nothing was written.
            OutcomeUnknownError: the confirmation was lost.
        """


class HttpTable:
    """The table service over its HTTP protocol."""

    def __init__(self, address: http.Address) -> None:
        self._client = http.JsonClient(address)

    def read(self, key: str) -> Row | None:
        """Returns the row, or None if there is none.

        Raises:
            TableUnavailableError: no answer was received.
        """
        reply = self._read("/rows/" + urllib.parse.quote(key, safe="/"))
        if reply.status == 404:
            return None
        return msgspec.convert(reply.json(), Row)

    def scan(
        self, prefix: str, after: str = "", limit: int = SCAN_LIMIT
    ) -> list[Row]:
        """Returns rows by prefix in key order, after a key, at most `limit`.

        Raises:
            TableUnavailableError: no answer was received.
        """
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        return msgspec.convert(self._read("/scan?" + query).json(), list[Row])

    def transact(self, transaction: Transaction) -> Outcome:
        """Applies a transaction once.

        Raises:
            TableUnavailableError: nothing was written.
            OutcomeUnknownError: the confirmation was lost.
        """
        try:
            reply = self._client.send("POST", "/transact", transaction)
        except http.NotSentError as error:
            raise TableUnavailableError(str(error)) from error
        except http.HttpError as error:
            raise OutcomeUnknownError(str(error)) from error
        match reply.status:
            case 200:
                return expression.Ok(msgspec.convert(reply.json(), Committed))
            case 409:
                return expression.Error(msgspec.convert(reply.json(), Conflict))
            case 429 | 503:
                raise TableUnavailableError(f"table answered {reply.status}")
            case _:
                raise OutcomeUnknownError(f"table answered {reply.status}")

    def _read(self, path: str) -> http.Reply:
        try:
            reply = self._client.send("GET", path)
        except http.HttpError as error:
            raise TableUnavailableError(str(error)) from error
        if reply.status not in (200, 404):
            raise TableUnavailableError(f"table answered {reply.status}")
        return reply


def read_all(table: Table, prefix: str) -> list[Row]:
    """Returns all rows of a prefix, page by page.

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
    """Applies a transaction and settles a lost confirmation.

    Each condition names a version, so a transaction that took effect fails
    when it is sent again; the read-back then finds its own write identity.
    The transaction needs a write that a condition covers.

    Raises:
        TableUnavailableError: nothing was written and nothing will be.
        OutcomeUnknownError: the outcome could not be settled within `timeout`.
    """
    deadline = clock.monotonic() + timeout
    doubtful = False
    while True:
        try:
            outcome = table.transact(transaction)
        except TableUnavailableError as error:
            if not doubtful:
                raise
            _pause(clock, deadline, error)
            continue
        except OutcomeUnknownError as error:
            doubtful = True
            _pause(clock, deadline, error)
            continue
        if outcome.is_ok() or not doubtful:
            return outcome
        return _read_back(table, transaction, outcome)


def _pause(
    clock: clock_module.Clock, deadline: datetime.timedelta, error: TableError
) -> None:
    if clock.monotonic() + RETRY_PAUSE > deadline:
        raise OutcomeUnknownError(str(error)) from error
    clock.sleep(RETRY_PAUSE)


def _read_back(
    table: Table, transaction: Transaction, conflict: Outcome
) -> Outcome:
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
