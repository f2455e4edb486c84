"""In-memory store of the users' platform: transactions and a change feed.

It may be restored to its state of some seconds ago, with a new era: a number
that every answer shows in the header `Store-Era`.
"""

import base64
import collections
import dataclasses
import errno
import time
import typing
import urllib.parse
from collections import abc

import gevent
import msgspec
from gevent import event

StartResponse = abc.Callable[..., typing.Any]
Environ = dict[str, typing.Any]
Reply = tuple[int, typing.Any]
MAX_ROWS = 500  # in one answer


def send_json(
    start_response: StartResponse,
    reply: Reply,
    era: int | None = None,
    more_fields: abc.Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Starts a response with a JSON body and returns the body.

    Args:
        start_response: Callable of the WSGI server.
        reply: Status and body.
        era: Value of the header `Store-Era`; None omits the header.
        more_fields: Further headers.
    """
    data = msgspec.json.encode(reply[1])
    fields = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
        *more_fields,
    ]
    if era is not None:
        fields.append(("Store-Era", str(era)))
    start_response(f"{reply[0]} -", fields)
    return [data]


@dataclasses.dataclass(slots=True)
class StoreFaults:
    """Faults to inject into the store.

    Attributes:
        error_status: Status of every answer; 0 for no fault.
        is_unresponsive: Whether calls get no answer while this is set.
        lost_answer_period: If n > 0, the answer to each n-th transaction is
            lost after its commit.
        delay: Seconds before each call is carried out.
        answer_delay: Seconds between each call and its answer.
        is_swallowing: Whether calls that arrive or wait while this is set never
            get an answer.
    """

    error_status: int = 0
    is_unresponsive: bool = False
    lost_answer_period: int = 0
    delay: float = 0.0
    answer_delay: float = 0.0
    is_swallowing: bool = False


class Store:
    """Versioned rows with conditional writes and a change feed.

    Attributes:
        faults: Faults in force.
        calls: Number of calls received.
        feed_calls: Number of feed calls received, by table.
        era: Number of restores, counted from one.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls = 0
        self.feed_calls: collections.Counter[str] = collections.Counter()
        self.era = 1
        # Each change with the monotonic time of its commit, in seconds.
        self._journal: list[tuple[float, int, str, str, str | None]] = []
        self._rows: dict[tuple[str, str], tuple[int, str]] = {}
        self._log: list[tuple[int, str, str, str | None]] = []
        self._version = 0
        self._oldest = 0
        self._changed = event.Event()
        self._writes = 0

    def put(self, table: str, key: str, content: typing.Any) -> None:
        """Writes a row without conditions, as the operator or a server does."""
        value = base64.b64encode(msgspec.json.encode(content)).decode()
        self._apply([(table, key, value)])

    def drop(self, table: str, key: str) -> None:
        """Deletes a row, if it exists."""
        if (table, key) in self._rows:
            self._apply([(table, key, None)])

    def truncate_history(self) -> None:
        """Drops the feed's history.

        Feed calls from an older version are answered with status 410.
        """
        self._oldest = self._version
        self._log.clear()

    def restore(self, seconds: float) -> None:
        """Restores the state as of some seconds ago and begins a new era.

        Args:
            seconds: age of the restored copy.
        """
        limit = time.monotonic() - seconds
        self._journal = [row for row in self._journal if row[0] <= limit]
        self._rows.clear()
        for _, version, table, key, value in self._journal:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (version, value)
        self._version = self._journal[-1][1] if self._journal else 0
        self._oldest = min(self._oldest, self._version)
        self._log = [row for row in self._log if row[0] <= self._version]
        self.era += 1
        self._changed.set()
        self._changed.clear()

    def read(self, table: str, key: str) -> typing.Any:
        """Returns a row's decoded content, or None if it does not exist."""
        row = self._rows.get((table, key))
        if row is None:
            return None
        return msgspec.json.decode(base64.b64decode(row[1]))

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> abc.Iterable[bytes]:
        """Handles one HTTP call."""
        self.calls += 1
        self._swallow()
        gevent.sleep(self.faults.delay)
        while self.faults.is_unresponsive:
            gevent.sleep(0.05)
        if self.faults.error_status:
            refusal: Reply = (self.faults.error_status, {})
            return send_json(start_response, refusal, self.era)
        query = dict(urllib.parse.parse_qsl(environ["QUERY_STRING"]))
        body = environ["wsgi.input"].read()
        match environ["PATH_INFO"]:
            case "/rows-get":
                reply = self._get(query)
            case "/rows-feed":
                reply = self._feed(query)
            case "/rows-tx":
                reply = self._transact(msgspec.json.decode(body))
                self._writes += 1
                period = self.faults.lost_answer_period
                if period and self._writes % period == 0:
                    raise ConnectionResetError(
                        errno.ECONNRESET,
                        "answer to write lost by an injected fault",
                    )
            case _:
                reply = (404, {})
        era = self.era
        gevent.sleep(self.faults.answer_delay)
        return send_json(start_response, reply, era)

    def _swallow(self) -> None:
        """Blocks without end if calls are to get no answer."""
        if self.faults.is_swallowing:
            event.Event().wait()

    def _apply(self, changes: list[tuple[str, str, str | None]]) -> None:
        self._version += 1
        for table, key, value in changes:
            if value is None:
                self._rows.pop((table, key), None)
            else:
                self._rows[table, key] = (self._version, value)
            self._log.append((self._version, table, key, value))
            self._journal.append(
                (time.monotonic(), self._version, table, key, value)
            )
        self._changed.set()
        self._changed.clear()

    def _get(self, query: dict[str, str]) -> Reply:
        start, end = query.get("from", ""), query.get("to")
        rows = [
            {"key": key, "schema_version": version, "value": value}
            for (table, key), (version, value) in sorted(self._rows.items())
            if table == query["table"]
            and key >= start
            and (end is None or key < end)
        ]
        limit = int(query.get("limit", MAX_ROWS))
        return 200, {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "schema_version": self._version,
        }

    def _feed(self, query: dict[str, str]) -> Reply:
        self.feed_calls[query["table"]] += 1
        since = int(query["since_revision"])
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._swallow()
            if since < self._oldest or since > self._version:
                return 410, {}
            newest = {
                key: (version, value)
                for version, table, key, value in self._log
                if version > since and table == query["table"]
            }
            remaining = end - time.monotonic()
            if newest or remaining <= 0:
                break
            self._changed.wait(min(remaining, 0.1))
        rows = [
            {"key": key, "schema_version": version, "deleted": True}
            if value is None
            else {"key": key, "schema_version": version, "value": value}
            for key, (version, value) in newest.items()
        ]
        return 200, {"rows": rows, "schema_version": self._version}

    def _transact(self, body: dict[str, typing.Any]) -> Reply:
        for row in body["expected_revision"]:
            current = self._rows.get((row["table"], row["key"]), (0, ""))
            if current[0] != row["schema_version"]:
                return 412, {"rows": [], "schema_version": self._version}
        changes = [
            (row["table"], row["key"], row["value"]) for row in body["upserts"]
        ]
        changes += [(row["table"], row["key"], None) for row in body["remove"]]
        self._apply(changes)
        return 200, {"schema_version": self._version}
