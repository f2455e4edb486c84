"""Client of the platform's table store.

A row is identified by table, part and key; its value is base64 on the wire. One
counter assigns the versions of all rows. `Store` is the client of these calls;
`StoreTable` implements on it the table service that leases use, with one row of
JSON under each key.
"""

import base64
import dataclasses
import datetime
import typing
import urllib.parse
from collections import abc

import eliot
import expression
import msgspec

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.storage import http
from arbutuscove.storage import table as table_module
from arbutuscove.transport import connection
from arbutuscove.transport import pool

CALL_TIMEOUT = datetime.timedelta(seconds=1)
FEED_TIMEOUT_MARGIN = datetime.timedelta(seconds=1)  # beyond the requested wait
MAX_PAGE_ROWS = 500  # rows that the store returns in one answer
# A page contains at most 1 MB of rows, with their values as base64 in JSON.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
OWN_TABLE = "arbutuscove"
UNKNOWN_VERSION = -1  # a conflict does not report the version of the row


class StoreError(Exception):
    """The store did not carry out a call; nothing was written."""


class StoreBusyError(StoreError):
    """The store rejects calls: the rate limit is exceeded, or it is down."""


class OutcomeUnknownError(StoreError):
    """A write may have taken effect, or may still take effect."""


class HistoryLostError(StoreError):
    """The store no longer has these changes; the table must be read."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WireRow:
    key: str
    schema_version: decoding.Count  # version of the row
    value: typing.Any = ""  # base64, unless another writer's
    deleted: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _WirePage:
    schema_version: decoding.Count  # newest version of the store
    # Decoded one by one, so that an odd row does not cost the others.
    rows: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _TableContent:
    """Content of a row in the product's own table."""

    write_id: decoding.Text = ""
    value: typing.Any = None


_ROW_DECODER = decoding.JsonDecoder[_WireRow](_WireRow, MAX_ANSWER_BYTES)
_PAGE_DECODER = decoding.JsonDecoder[_WirePage](_WirePage, MAX_ANSWER_BYTES)
_CONTENT_DECODER = decoding.JsonDecoder[_TableContent](
    _TableContent, MAX_ANSWER_BYTES
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row of a table; `content` is None if the row was removed."""

    key: str
    version: int
    content: bytes | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Rows as of `version`, the newest version of the store at the read."""

    version: int
    rows: tuple[Row, ...]


class Store:
    """Client of the store.

    `call_count` counts calls; `is_available` says whether the last one
    that ended was answered with a status other than 429 and 503.
    """

    def __init__(
        self,
        address: http.Address,
        connections: pool.ConnectionPool,
        clock: clock_module.Clock,
    ) -> None:
        self._address = address
        self._connections = connections
        self._clock = clock
        self.call_count = 0
        self.is_available = True

    def read_rows(self, table: str, key: str | None = None) -> Page:
        """Returns all rows of a table, or the row of one key.

        Args:
            table: the table.
            key: key of the only row to read; None reads all rows.

        Raises:
            StoreError: the rows could not be read.
        """
        rows: list[Row] = []
        start = key
        end = None if key is None else key + "\x00"
        while True:
            fields = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            fields |= {"from": start} if start is not None else {}
            fields |= {"to": end} if end is not None else {}
            page = self._read("/rows-get", fields, CALL_TIMEOUT)
            page_rows = _convert_rows(page)
            rows.extend(page_rows)
            if not page.has_more or not page.rows:
                return Page(version=page.schema_version, rows=tuple(rows))
            if not page_rows:
                raise StoreError("the store's page has no readable row")
            start = page_rows[-1].key + "\x00"

    def wait_for_changes(
        self, table: str, version: int, wait: datetime.timedelta
    ) -> Page:
        """Waits for changes of a table and returns the rows that changed.

        Args:
            table: the table.
            version: the version after which changes are returned.
            wait: longest time to wait for a change.

        Raises:
            HistoryLostError: the store no longer has the changes.
            StoreError: the changes could not be read.
        """
        milliseconds = int(wait.total_seconds() * 1000)
        fields = {
            "table": table,
            "since_revision": str(version),
            "wait_ms": str(milliseconds),
        }
        page = self._read("/rows-feed", fields, wait + FEED_TIMEOUT_MARGIN)
        return Page(version=page.schema_version, rows=_convert_rows(page))

    def transact(
        self,
        table: str,
        conditions: abc.Mapping[str, int],
        writes: abc.Mapping[str, bytes | None],
    ) -> int | None:
        """Writes rows in one transaction.

        Args:
            table: the table of all the rows.
            conditions: versions that rows must have by key, 0 for no row.
            writes: new contents by key; None removes the row.

        Returns:
            The version of the rows that were written; None if a condition does
            not hold.

        Raises:
            OutcomeUnknownError: the write may have taken effect.
            StoreError: nothing was written.
        """
        body = {
            "expected_revision": [
                {**_encode_row_name(table, key), "schema_version": version}
                for key, version in conditions.items()
            ],
            "upserts": [
                {
                    **_encode_row_name(table, key),
                    "value": base64.b64encode(content).decode(),
                }
                for key, content in writes.items()
                if content is not None
            ],
            "remove": [
                _encode_row_name(table, key)
                for key, content in writes.items()
                if content is None
            ],
        }
        data = msgspec.json.encode(body)
        status, answer = self._call("POST", "/rows-tx", data, CALL_TIMEOUT)
        match status:
            case 200:
                try:
                    return _decode_page(answer).schema_version
                except StoreError as error:
                    raise OutcomeUnknownError(str(error)) from error
            case 412:
                return None
            case 429 | 503:
                raise StoreBusyError(f"the store answered {status}")
            case 400 | 403 | 404 | 413 | 507:
                raise StoreError(f"the store rejected a write with {status}")
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
        self.call_count += 1
        deadline = self._clock.monotonic() + timeout
        fields = [("Host", str(self._address))]
        if body:
            fields.append(("Content-Type", "application/json"))
        data = connection.encode_request(method, target, fields, body)
        self.is_available, was_available = False, self.is_available
        try:
            client_connection = self._connections.check_out(self._address)
        except http.NotSentError as error:
            raise StoreError(str(error)) from error
        self.is_available = was_available
        try:
            client_connection.send(method, data, MAX_ANSWER_BYTES)
            parser = client_connection.receive(
                deadline - self._clock.monotonic()
            )
            while not parser.is_complete():
                parser = client_connection.receive(
                    deadline - self._clock.monotonic()
                )
            answer = parser.get_code(), parser.pop_body()
        except http.NoResponseError as error:
            client_connection.close()
            self.is_available = False
            raise OutcomeUnknownError(str(error)) from error
        except BaseException:
            client_connection.close()
            raise
        self._connections.check_in(
            client_connection, pool.parse_keep_alive_timeout(parser)
        )
        self.is_available = answer[0] not in (429, 503)
        return answer


class StoreTable:
    """The table service of the product, stored in one table of the store.

    All rows have the same part, since a transaction cannot span several parts.
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
        return decode_table_row(rows[0]) if rows else None

    def scan(
        self, prefix: str, after: str = "", limit: int = MAX_PAGE_ROWS
    ) -> list[table_module.Row]:
        """Returns rows by prefix in key order, after a key, at most `limit`.

        Raises:
            TableUnavailableError: no answer was received.
        """
        try:
            rows = self._store.read_rows(OWN_TABLE).rows
        except StoreError as error:
            raise table_module.TableUnavailableError(str(error)) from error
        matching = [
            decode_table_row(row)
            for row in rows
            if row.key.startswith(prefix) and row.key > after
        ]
        return matching[:limit]

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction once.

        Raises:
            TableUnavailableError: nothing was written.
            OutcomeUnknownError: the confirmation was lost.
        """
        writes = {
            write.key: _encode_table_value(write, transaction.write_id)
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
            conflict = table_module.Conflict(key=key, found=UNKNOWN_VERSION)
            return expression.Error(conflict)
        committed = table_module.Committed(
            versions=dict.fromkeys(writes, version)
        )
        return expression.Ok(committed)


def _encode_row_name(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _encode_table_value(
    write: table_module.Write, write_id: str
) -> bytes | None:
    if write.value is None:
        return None
    return msgspec.json.encode({"write_id": write_id, "value": write.value})


def decode_table_row(row: Row) -> table_module.Row:
    """Returns a row of the product's table from one of the store.

    The value of a row that cannot be decoded is None.
    """
    try:
        content = _CONTENT_DECODER.decode(row.content or b"{}")
    except decoding.DecodingError as error:
        eliot.log_message(
            "store:row_unreadable", key=row.key, reason=str(error)
        )
        content = _TableContent()
    return table_module.Row(
        key=row.key,
        version=row.version,
        write_id=content.write_id,
        value=content.value,
    )


def _convert_rows(page: _WirePage) -> tuple[Row, ...]:
    """Returns the rows of a page that can be decoded."""
    rows: list[Row] = []
    for raw in page.rows:
        try:
            rows.append(_convert_row(_ROW_DECODER.decode(bytes(raw))))
        except decoding.DecodingError as error:
            eliot.log_message("store:row_skipped", reason=str(error))
    return tuple(rows)


def _convert_row(row: _WireRow) -> Row:
    content: bytes | None = None
    if not row.deleted:
        try:
            content = base64.b64decode(row.value, validate=True)
        except (TypeError, ValueError):
            # Not base64, from another writer; readers reject empty content.
            content = b""
    return Row(key=row.key, version=row.schema_version, content=content)


def _decode_page(answer: bytes) -> _WirePage:
    try:
        return _PAGE_DECODER.decode(answer)
    except decoding.DecodingError as error:
        raise StoreError(
            f"cannot decode the store's answer: {error}"
        ) from error
