"""Client of the platform's table store.

A row is named by table, part and key; its value is base64 on the wire. All
versions come from one counter. `Store` speaks these calls; `StoreTable` offers
them as the table service that leases use, one row of JSON under each key.
"""

import base64
import binascii
import dataclasses
import datetime
import urllib.parse
from collections import abc

import expression
import msgspec

from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import http
from arbutuscove.storage import table as table_module
from arbutuscove.transport import connection
from arbutuscove.transport import pool

CALL_TIMEOUT = datetime.timedelta(seconds=1)
FEED_SLACK = datetime.timedelta(seconds=1)  # beyond the wait that was asked
PAGE_LIMIT = 500  # rows that the store returns at most
# A page holds 1 MB of rows at most, whose values are base64 in JSON.
ANSWER_LIMIT = 4 * 1024 * 1024  # bytes
OWN_TABLE = "arbutuscove"
UNREAD_VERSION = -1  # of a row whose version a conflict does not say


class StoreError(Exception):
    """The store did not carry out a call; nothing was written."""


class StoreBusyError(StoreError):
    """The store refuses calls for now: its rate is used up, or it is down."""


class OutcomeUnknownError(StoreError):
    """A write may have taken effect or may still do so."""


class HistoryLostError(StoreError):
    """The changes asked for are no longer kept; read the table instead."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WireRow:
    key: str
    schema_version: int
    value: str = ""
    deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WirePage:
    schema_version: int
    rows: tuple[_WireRow, ...] = ()
    has_more: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row; `content` is None if it was removed."""

    key: str
    version: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Rows as of `version`, the newest version of the store."""

    version: int
    rows: tuple[Row, ...]


class Store:
    """The calls of the store."""

    def __init__(
        self,
        address: http.Address,
        connections: pool.ConnectionPool,
        clock: clock_module.Clock,
    ) -> None:
        self._address = address
        self._connections = connections
        self._clock = clock
        self.calls = 0
        self.answers = True

    def read_rows(self, table: str, key: str | None = None) -> Page:
        """Returns all rows of a table, or the row of one key.

        Raises:
            StoreError: the rows could not be read.
        """
        rows: list[Row] = []
        start = key
        end = None if key is None else key + "\x00"
        while True:
            fields = {"table": table, "part": "", "limit": str(PAGE_LIMIT)}
            fields |= {"from": start} if start is not None else {}
            fields |= {"to": end} if end is not None else {}
            page = self._read("/rows-get", fields, CALL_TIMEOUT)
            rows.extend(map(_convert_row, page.rows))
            if not page.has_more or not page.rows:
                return Page(version=page.schema_version, rows=tuple(rows))
            start = page.rows[-1].key + "\x00"

    def follow(
        self, table: str, version: int, wait: datetime.timedelta
    ) -> Page:
        """Returns the rows changed after `version`, after `wait` at most.

        Raises:
            HistoryLostError: the changes are no longer kept.
            StoreError: the changes could not be read.
        """
        milliseconds = int(wait.total_seconds() * 1000)
        fields = {
            "table": table,
            "since_revision": str(version),
            "wait_ms": str(milliseconds),
        }
        page = self._read("/rows-feed", fields, wait + FEED_SLACK)
        rows = tuple(map(_convert_row, page.rows))
        return Page(version=page.schema_version, rows=rows)

    def transact(
        self,
        table: str,
        conditions: abc.Mapping[str, int],
        writes: abc.Mapping[str, bytes | None],
    ) -> int | None:
        """Writes rows together; None if a condition does not hold.

        Args:
            table: the table of all the rows.
            conditions: versions that rows must have, 0 for no row.
            writes: new contents by key; None removes the row.

        Raises:
            OutcomeUnknownError: no answer came.
            StoreError: nothing was written.
        """
        body = {
            "expected_revision": [
                {**_name_row(table, key), "schema_version": version}
                for key, version in conditions.items()
            ],
            "upserts": [
                {
                    **_name_row(table, key),
                    "value": base64.b64encode(content).decode(),
                }
                for key, content in writes.items()
                if content is not None
            ],
            "remove": [
                _name_row(table, key)
                for key, content in writes.items()
                if content is None
            ],
        }
        data = msgspec.json.encode(body)
        status, answer = self._call("POST", "/rows-tx", data, CALL_TIMEOUT)
        match status:
            case 200:
                return _decode_page(answer).schema_version
            case 412:
                return None
            case 429 | 503:
                raise StoreBusyError(f"the store answered {status}")
            case 400 | 403 | 404 | 413 | 507:
                raise StoreError(f"the store refused a write with {status}")
            case _:
                raise OutcomeUnknownError(f"the store answered {status}")

    def _read(
        self, path: str, fields: dict[str, str], timeout: datetime.timedelta
    ) -> _WirePage:
        target = path + "?" + urllib.parse.urlencode(fields)
        try:
            status, answer = self._call("GET", target, b"", timeout)
        except OutcomeUnknownError as error:
            raise StoreError(str(error)) from error
        match status:
            case 200:
                return _decode_page(answer)
            case 410:
                raise HistoryLostError("the store answered 410")
            case 429 | 503:
                raise StoreBusyError(f"the store answered {status}")
            case _:
                raise StoreError(f"the store answered {status}")

    def _call(
        self, method: str, target: str, body: bytes, timeout: datetime.timedelta
    ) -> tuple[int, bytes]:
        self.calls += 1
        deadline = self._clock.monotonic() + timeout
        fields = [("Host", str(self._address))]
        if body:
            fields.append(("Content-Type", "application/json"))
        data = connection.encode_request(method, target, fields, body)
        self.answers, answered = False, self.answers
        try:
            used = self._connections.check_out(self._address)
        except http.NotSentError as error:
            raise StoreError(str(error)) from error
        self.answers = answered
        try:
            used.send(method, data, ANSWER_LIMIT)
            parser = used.receive(deadline - self._clock.monotonic())
            while not parser.is_complete():
                parser = used.receive(deadline - self._clock.monotonic())
            answer = parser.get_code(), parser.pop_body()
        except http.NoResponseError as error:
            used.close()
            self.answers = False
            raise OutcomeUnknownError(str(error)) from error
        except BaseException:
            used.close()
            raise
        self._connections.check_in(used, pool.parse_keep_alive_timeout(parser))
        self.answers = answer[0] not in (429, 503)
        return answer


class StoreTable:
    """The table service of the product, kept in one table of the store.

    All rows share one part, as a transaction may not span several.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    def read(self, key: str) -> table_module.Row | None:
        """Returns the row, or None if there is none.

        Raises:
            TableUnavailableError: no answer was received.
        """
        try:
            rows = self._store.read_rows(OWN_TABLE, key).rows
        except StoreError as error:
            raise table_module.TableUnavailableError(str(error)) from error
        return _convert_own(rows[0]) if rows else None

    def scan(
        self, prefix: str, after: str = "", limit: int = PAGE_LIMIT
    ) -> list[table_module.Row]:
        """Returns rows by prefix in key order, after a key.

        Raises:
            TableUnavailableError: no answer was received.
        """
        try:
            rows = self._store.read_rows(OWN_TABLE).rows
        except StoreError as error:
            raise table_module.TableUnavailableError(str(error)) from error
        found = [
            _convert_own(row)
            for row in rows
            if row.key.startswith(prefix) and row.key > after
        ]
        return found[:limit]

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction once.

        Raises:
            TableUnavailableError: nothing was written.
            OutcomeUnknownError: the confirmation was lost.
        """
        writes = {
            write.key: _encode_own(write, transaction.write_id)
            for write in transaction.writes
        }
        conditions = {
            condition.key: condition.version
            for condition in transaction.conditions
        }
        try:
            version = self._store.transact(OWN_TABLE, conditions, writes)
        except OutcomeUnknownError as error:
            raise table_module.OutcomeUnknownError(str(error)) from error
        except StoreError as error:
            raise table_module.TableUnavailableError(str(error)) from error
        if version is None:
            key = transaction.conditions[0].key
            conflict = table_module.Conflict(key=key, found=UNREAD_VERSION)
            return expression.Error(conflict)
        committed = table_module.Committed(
            versions=dict.fromkeys(writes, version)
        )
        return expression.Ok(committed)


def _name_row(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _encode_own(write: table_module.Write, write_id: str) -> bytes | None:
    if write.value is None:
        return None
    return msgspec.json.encode({"write_id": write_id, "value": write.value})


def _convert_own(row: Row) -> table_module.Row:
    fields = msgspec.json.decode(row.content or b"{}")
    return table_module.Row(
        key=row.key,
        version=row.version,
        write_id=fields.get("write_id", ""),
        value=fields.get("value"),
    )


def _convert_row(row: _WireRow) -> Row:
    content: bytes | None = None
    if not row.deleted:
        try:
            content = base64.b64decode(row.value, validate=True)
        except binascii.Error:
            # Some writer left no base64; readers treat it as unreadable.
            content = b""
    return Row(key=row.key, version=row.schema_version, content=content)


def _decode_page(answer: bytes) -> _WirePage:
    try:
        return msgspec.json.decode(answer, type=_WirePage)
    except msgspec.MsgspecError as error:
        raise StoreError(f"no answer of the store: {error}") from error
