"""Client of the platform's table store.

A row is identified by table, part and key; its value is base64 on the wire. One
counter assigns the versions of all rows.

The store may come back from an older copy: its counter then goes back and
assigns the same versions again. Each answer names the *era* of the store, a
number that increases with each such restore, so versions are compared only
within one era.
"""

import base64
import dataclasses
import datetime
import enum
import typing
import urllib.parse
from collections import abc

import eliot
import msgspec

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import availability
from arbutuscove.storage import eras
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool

CALL_TIMEOUT = datetime.timedelta(seconds=1)
FEED_TIMEOUT_MARGIN = datetime.timedelta(seconds=1)  # beyond the requested wait
MAX_PAGE_ROWS = 500  # rows that the store returns in one answer
# A page contains at most 1 MB of rows, or a single larger one, a configuration.
# Values are base64 in JSON, which makes them a third larger.
MAX_ANSWER_BYTES = 12 * 1024 * 1024
OWN_SOURCE = availability.OWN_SOURCE
FIRST_ERA = 1  # of a store that was never restored
# Restores between two heartbeats of a peer. A higher era is not believed: all
# answers of the store would count as stale for ever.
MAX_PEER_ERA_STEP = 64


class Reason(enum.StrEnum):
    """Why the store is called, for the count of calls."""

    ROW = "row"  # a row of the product's own table
    START = "start"  # the first read of a table
    FOLLOW = "follow"  # the feed, after a page
    DOUBT = "doubt"  # the feed, while the store may lose calls
    RETRY = "retry"  # after a read that failed
    ERA = "era"  # a peer or an answer named another era
    BEHIND = "behind"  # peers know a newer version
    HISTORY_LOST = "history_lost"
    HOLDER = "holder"  # the holder of the duty reads for all
    DOMAIN_READER = "domain_reader"  # for a failure domain, without updates
    NO_UPDATE = "no_update"  # for this daemon, without updates
    MISSED_UPDATE = "missed_update"


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


_ROW_DECODER = decoding.JsonDecoder[_WireRow](_WireRow, MAX_ANSWER_BYTES)
_PAGE_DECODER = decoding.JsonDecoder[_WirePage](_WirePage, MAX_ANSWER_BYTES)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Position:
    """A point in the history of the store.

    Positions of a later era are greater, whatever their version.
    """

    era: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row of a table; `content` is None if the row was removed."""

    key: str
    version: int
    content: bytes | None
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Rows as of `version`, the newest version of the store at the read.

    If they were read in several answers, rows may be newer than `version`, but
    not older. `era` is the era of the store at the read, 0 if the store names
    none.
    """

    version: int
    rows: tuple[Row, ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """The position after these rows."""
        return Position(era=self.era, version=self.version)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    """An answer of the store; `is_stale` if its era has ended since."""

    status: int
    body: bytes
    era: int
    is_stale: bool


class Store:
    """Client of the store.

    `call_count` counts calls. `availability` says whether the last one was
    answered with a status other than 429 and 503.

    The era is learned from every answer and from the peers, and only increases.
    An answer of an older era is not used.
    """

    def __init__(
        self,
        address: http.Address,
        connections: pool.ConnectionPool,
        clock: clock_module.Clock,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        self._metrics = metrics
        self._address = address
        self._connections = connections
        self._clock = clock
        self.call_count = 0
        self.availability = availability.Availability(clock)
        self._era: int | None = None  # None until it is first learned
        # Whether an answer came that named no era, before any was known.
        self._has_unnamed_era = False
        self._era_listeners: list[abc.Callable[[], None]] = []

    def get_era(self) -> int:
        """Returns the highest era learned so far; 0 while unknown."""
        return self._era or 0

    def add_era_listener(self, callback: abc.Callable[[], None]) -> None:
        """Adds a function that is called once after each change of the era.

        The first era that is learned is one, unless it is the store's first: a
        daemon that starts after a restore may read an older copy.
        """
        self._era_listeners.append(callback)

    def observe_era(self, era: int, source: str) -> None:
        """Learns an era; one that is not higher than the known one is ignored.

        Args:
            era: the era of an answer or of a peer; 0 if unknown.
            source: where it was learned, for the log.
        """
        before = self._era
        if not 0 < era <= eras.MAX_ERA or era <= (before or 0):
            return
        if (
            source != OWN_SOURCE
            and before is not None
            and era > before + MAX_PEER_ERA_STEP
        ):
            eliot.log_message(
                "store:era_rejected", before=before, era=era, source=source
            )
            return
        self._era = era
        if before is None and era == FIRST_ERA and not self._has_unnamed_era:
            return
        eliot.log_message(
            "store:era_changed", before=before or 0, after=era, source=source
        )
        for callback in self._era_listeners:
            callback()

    def read_rows(
        self, table: str, key: str | None = None, reason: Reason = Reason.ROW
    ) -> Page:
        """Returns all rows of a table, or the row of one key.

        Args:
            table: the table.
            key: key of the only row to read; None reads all rows.
            reason: why, for the count of calls.

        Raises:
            StoreError: the rows could not be read.
        """
        rows: list[Row] = []
        era: int | None = None
        version: int | None = None
        start = key
        end = None if key is None else key + "\x00"
        while True:
            fields = {"table": table, "part": "", "limit": str(MAX_PAGE_ROWS)}
            fields |= {"from": start} if start is not None else {}
            fields |= {"to": end} if end is not None else {}
            self._count(table, "read", reason)
            page, page_era = self._read("/rows-get", fields, CALL_TIMEOUT)
            if era is not None and page_era != era:
                raise StoreError("the store's era changed between two pages")
            era = page_era
            if version is None:
                # Rows of this page may change before the next one is read.
                version = page.schema_version
            page_rows = _convert_rows(page, era)
            rows.extend(page_rows)
            if not page.has_more or not page.rows:
                return Page(version=version, rows=tuple(rows), era=era)
            if not page_rows:
                raise StoreError("the store's page has no readable row")
            start = page_rows[-1].key + "\x00"

    def wait_for_changes(
        self,
        table: str,
        position: Position,
        wait: datetime.timedelta,
        reason: Reason = Reason.FOLLOW,
    ) -> Page:
        """Waits for changes of a table and returns the rows that changed.

        Args:
            table: the table.
            position: the position after which changes are returned.
            wait: longest time to wait for a change.
            reason: why, for the count of calls.

        Raises:
            HistoryLostError: the store no longer has the changes, or the
                position is one of an earlier era.
            StoreError: the changes could not be read.
        """
        if self.get_era() != position.era:
            raise HistoryLostError("the position is one of an earlier era")
        milliseconds = int(wait.total_seconds() * 1000)
        fields = {
            "table": table,
            "since_revision": str(position.version),
            "wait_ms": str(milliseconds),
        }
        self._count(table, "feed", reason)
        page, era = self._read("/rows-feed", fields, wait + FEED_TIMEOUT_MARGIN)
        if era != position.era:
            raise HistoryLostError("the store's era changed during the call")
        return Page(
            version=page.schema_version, rows=_convert_rows(page, era), era=era
        )

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
        sent_era = self._era
        self._count(table, "write", Reason.ROW)
        answer = self._call("POST", "/rows-tx", data, CALL_TIMEOUT)
        status = answer.status
        match status:
            case 200 if answer.is_stale or sent_era not in (None, answer.era):
                # Written before the restore and lost by it, or written after it
                # under a condition on the version of another row.
                raise OutcomeUnknownError("the store's era changed")
            case 200:
                try:
                    return _decode_page(answer.body).schema_version
                except StoreError as error:
                    raise OutcomeUnknownError(str(error)) from error
            case 412 if answer.is_stale:
                raise StoreError("a write was rejected in an earlier era")
            case 412:
                return None
            case 429 | 503:
                raise StoreBusyError(f"the store answered {status}")
            case 400 | 403 | 404 | 413 | 507:
                raise StoreError(f"the store rejected a write with {status}")
            case _:
                raise OutcomeUnknownError(f"the store answered {status}")

    def _count(self, table: str, operation: str, reason: Reason) -> None:
        if self._metrics is not None:
            self._metrics.store_calls.inc(
                {"table": table, "operation": operation, "reason": reason.value}
            )

    def _read(
        self, path: str, fields: dict[str, str], timeout: datetime.timedelta
    ) -> tuple[_WirePage, int]:
        """Returns the decoded answer and its era."""
        target = path + "?" + urllib.parse.urlencode(fields)
        try:
            answer = self._call("GET", target, b"", timeout)
        except OutcomeUnknownError as error:
            raise StoreError(str(error)) from error
        if answer.is_stale:
            raise StoreError("the answer is one of an earlier era")
        status = answer.status
        match status:
            case 200:
                return _decode_page(answer.body), answer.era
            case 410:
                raise HistoryLostError("the store answered 410")
            case 429 | 503:
                raise StoreBusyError(f"the store answered {status}")
            case _:
                raise StoreError(f"the store answered {status}")

    def _call(
        self, method: str, target: str, body: bytes, timeout: datetime.timedelta
    ) -> _Answer:
        self.call_count += 1
        deadline = self._clock.monotonic() + timeout
        fields = [("Host", str(self._address))]
        if body:
            fields.append(("Content-Type", "application/json"))
        data = connection.encode_request(method, target, fields, body)
        call = self.call_count
        self.availability.begin_connecting(call)
        try:
            client_connection = self._connections.check_out(self._address)
        except http.NotSentError as error:
            self.availability.record_failure()
            raise StoreError(str(error)) from error
        finally:
            self.availability.end_connecting(call)
        try:
            client_connection.send(method, data, MAX_ANSWER_BYTES)
            parser = client_connection.receive(
                deadline - self._clock.monotonic()
            )
            while not parser.is_complete():
                parser = client_connection.receive(
                    deadline - self._clock.monotonic()
                )
            status, body = parser.get_code(), parser.pop_body()
        except http.NoResponseError as error:
            client_connection.close()
            self.availability.record_failure()
            raise OutcomeUnknownError(str(error)) from error
        except BaseException:
            client_connection.close()
            raise
        self._connections.check_in(
            client_connection, pool.parse_keep_alive_timeout(parser)
        )
        if status in (429, 503):
            self.availability.record_failure()
        else:
            self.availability.record_answer()
        era = _parse_era(parser.get_header(eras.HEADER))
        if era is None:
            self._has_unnamed_era = self._era is None
            era = self.get_era()
        self.observe_era(era, OWN_SOURCE)
        is_stale = era < self.get_era()
        if is_stale:
            eliot.log_message(
                "store:stale_answer",
                target=target,
                status=status,
                era=era,
                known=self.get_era(),
            )
        return _Answer(status=status, body=body, era=era, is_stale=is_stale)


def _parse_era(value: str | None) -> int | None:
    """Returns the era in a header, None without a valid one."""
    return eras.parse(value) or None


def _encode_row_name(table: str, key: str) -> dict[str, str]:
    return {"table": table, "part": "", "key": key}


def _convert_rows(page: _WirePage, era: int) -> tuple[Row, ...]:
    """Returns the rows of a page that can be decoded."""
    rows: list[Row] = []
    for raw in page.rows:
        try:
            rows.append(_convert_row(_ROW_DECODER.decode(bytes(raw)), era))
        except decoding.DecodingError as error:
            eliot.log_message("store:row_skipped", reason=str(error))
    return tuple(rows)


def _convert_row(row: _WireRow, era: int) -> Row:
    content: bytes | None = None
    if not row.deleted:
        try:
            content = base64.b64decode(row.value, validate=True)
        except (TypeError, ValueError):
            # Not base64, from another writer; readers reject empty content.
            content = b""
    return Row(
        key=row.key, version=row.schema_version, content=content, era=era
    )


def _decode_page(answer: bytes) -> _WirePage:
    try:
        return _PAGE_DECODER.decode(answer)
    except decoding.DecodingError as error:
        raise StoreError(
            f"cannot decode the store's answer: {error}"
        ) from error
