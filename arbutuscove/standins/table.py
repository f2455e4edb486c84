"""Stand-in for the platform's transactional table service.

`POST /faults` injects faults: `down` rejects all calls, `lose_confirmation`
applies a write and drops its answer, `lose_request` drops a write unapplied,
and `slow` delays each answer. `POST /restore` loses all writes since
`POST /save`, gives their versions out again and begins a new era, which the
header `Store-Era` then names in all answers. Tests use the log of applied
writes as a record that does not depend on the daemons.
"""

import dataclasses
import datetime
import enum
import time
import typing

import gevent
import msgspec
import sortedcontainers
from werkzeug import wrappers

from arbutuscove.standins import server
from arbutuscove.storage import table

WRITES_PER_SECOND = 300
READS_PER_SECOND = 2000
MAX_LOG_ENTRIES = 200_000  # applied writes retained for tests


class Mode(enum.StrEnum):
    """Fault mode of the stand-in."""

    OK = "ok"
    DOWN = "down"
    SLOW = "slow"
    LOSE_CONFIRMATION = "lose_confirmation"
    LOSE_REQUEST = "lose_request"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Faults to inject, as set by `POST /faults`.

    Attributes:
        mode: Kind of fault.
        delay: Delay of each answer in mode `SLOW`.
        count: Number of messages still to lose; negative means no limit.
        key_prefix: Only writes to keys with this prefix are lost.
    """

    mode: Mode = Mode.OK
    delay: datetime.timedelta = datetime.timedelta(seconds=1)
    count: int = -1
    key_prefix: str = ""


class RateLimit:
    """Limits operations to `rate` in each second of the monotonic clock."""

    def __init__(self, rate: int) -> None:
        self._rate = rate
        self._second = 0
        self._used = 0

    def try_acquire(self) -> bool:
        """Counts one operation and returns whether it is within the rate."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._used = 0
        self._used += 1
        return self._used <= self._rate


class MemoryTable:
    """In-memory table, also used directly by tests.

    Attributes:
        rows: Current rows by key, in key order.
        log: Applied writes in order, up to `MAX_LOG_ENTRIES`.
        era: Number of restores.
    """

    def __init__(self) -> None:
        self.rows: sortedcontainers.SortedDict = sortedcontainers.SortedDict()
        self.log: list[dict[str, typing.Any]] = []
        self._versions: dict[str, int] = {}
        self.era = 0
        self.save()

    def save(self) -> None:
        """Takes the copy that the next `restore` returns to."""
        self._copy = self.rows.copy(), dict(self._versions)

    def restore(self) -> None:
        """Loses all writes since the copy and begins a new era."""
        rows, versions = self._copy
        self.rows, self._versions = rows.copy(), dict(versions)
        self.era += 1

    def get_era(self) -> int:
        """Returns the era."""
        return self.era

    def read(self, key: str) -> table.Row | None:
        """Returns the row, or None if it does not exist."""
        return self.rows.get(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = table.SCAN_LIMIT
    ) -> list[table.Row]:
        """Returns at most `limit` rows with a key prefix, in key order.

        Args:
            prefix: Prefix of the keys.
            after: Only rows with greater keys are returned; empty for all.
            limit: Greatest number of rows.
        """
        matches: list[table.Row] = []
        start = max(prefix, after)
        for key in self.rows.irange(start, inclusive=(start != after, True)):
            if not key.startswith(prefix) or len(matches) >= limit:
                break
            matches.append(self.rows[key])
        return matches

    def transact(self, transaction: table.Transaction) -> table.Outcome:
        """Applies the transaction if all its conditions hold.

        Returns:
            The new versions by key, or the first conflict.
        """
        for condition in transaction.conditions:
            row = self.rows.get(condition.key)
            current = table.ABSENT if row is None else row.version
            if current != condition.version:
                conflict = table.Conflict(key=condition.key, found=current)
                return table.expression.Error(conflict)
        versions = {}
        for write in transaction.writes:
            versions[write.key] = self._apply(write, transaction.write_id)
        return table.expression.Ok(table.Committed(versions=versions))

    def _apply(self, write: table.Write, write_id: str) -> int:
        # The version of a key keeps increasing after a deletion, so that a
        # delayed write conditioned on an old version can never apply to a
        # later row of the same key.
        version = self._versions.get(write.key, 0) + 1
        self._versions[write.key] = version
        value = msgspec.to_builtins(write.value)
        if value is None:
            self.rows.pop(write.key, None)
        else:
            self.rows[write.key] = table.Row(
                key=write.key, version=version, write_id=write_id, value=value
            )
        if len(self.log) < MAX_LOG_ENTRIES:
            self.log.append(
                {
                    "key": write.key,
                    "version": version,
                    "value": value,
                    "write_id": write_id,
                    "at": time.monotonic(),
                }
            )
        return version


class TableStandin:
    """HTTP interface of the table stand-in."""

    def __init__(self) -> None:
        self._table = MemoryTable()
        self._faults = Faults()
        self._writes = RateLimit(WRITES_PER_SECOND)
        self._reads = RateLimit(READS_PER_SECOND)
        self._counts = {"reads": 0, "writes": 0}

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App(
            [
                ("GET", "/rows/<path:key>", self._name_era(self._read)),
                ("GET", "/scan", self._name_era(self._scan)),
                ("POST", "/transact", self._name_era(self._transact)),
                ("POST", "/save", self._save),
                ("POST", "/restore", self._restore),
                ("POST", "/faults", self._set_faults),
                ("GET", "/log", self._get_log),
                ("GET", "/counts", self._get_counts),
            ]
        )

    def _name_era(self, handler: server.Handler) -> server.Handler:
        def handle(
            request: wrappers.Request, **values: typing.Any
        ) -> wrappers.Response:
            response = handler(request, **values)
            if self._table.era:
                response.headers["Store-Era"] = str(self._table.era)
            return response

        return handle

    def _save(self, request: wrappers.Request) -> wrappers.Response:
        self._table.save()
        return server.respond({})

    def _restore(self, request: wrappers.Request) -> wrappers.Response:
        self._table.restore()
        return server.respond({})

    def _check_available(self, limit: RateLimit) -> wrappers.Response | None:
        if self._faults.mode == Mode.SLOW:
            gevent.sleep(self._faults.delay.total_seconds())
        if self._faults.mode == Mode.DOWN:
            return server.respond({"error": "down"}, 503)
        if not limit.try_acquire():
            return server.respond({"error": "rate"}, 429)
        return None

    def _read(self, request: wrappers.Request, key: str) -> wrappers.Response:
        self._counts["reads"] += 1
        refusal = self._check_available(self._reads)
        if refusal is not None:
            return refusal
        row = self._table.read(key)
        if row is None:
            return server.respond({"error": "absent"}, 404)
        return server.respond(row)

    def _scan(self, request: wrappers.Request) -> wrappers.Response:
        self._counts["reads"] += 1
        refusal = self._check_available(self._reads)
        if refusal is not None:
            return refusal
        args = request.args
        rows = self._table.scan(
            args["prefix"], args.get("after", ""), int(args["limit"])
        )
        return server.respond(rows)

    def _transact(self, request: wrappers.Request) -> wrappers.Response:
        self._counts["writes"] += 1
        refusal = self._check_available(self._writes)
        if refusal is not None:
            return refusal
        transaction = msgspec.json.decode(
            request.get_data(), type=table.Transaction
        )
        loss = self._consume_loss(transaction)
        if loss == Mode.LOSE_REQUEST:
            return server.respond({"error": "lost"}, 504)
        outcome = self._table.transact(transaction)
        if loss == Mode.LOSE_CONFIRMATION:
            return server.respond({"error": "lost"}, 504)
        if outcome.is_ok():
            return server.respond(outcome.ok)
        return server.respond(outcome.error, 409)

    def _consume_loss(self, transaction: table.Transaction) -> Mode | None:
        faults = self._faults
        loss_modes = (Mode.LOSE_CONFIRMATION, Mode.LOSE_REQUEST)
        if faults.mode not in loss_modes or faults.count == 0:
            return None
        prefix = faults.key_prefix
        if not any(w.key.startswith(prefix) for w in transaction.writes):
            return None
        if faults.count > 0:
            count = faults.count - 1
            self._faults = dataclasses.replace(faults, count=count)
        return faults.mode

    def _set_faults(self, request: wrappers.Request) -> wrappers.Response:
        self._faults = msgspec.json.decode(request.get_data(), type=Faults)
        return server.respond({})

    def _get_log(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond(self._table.log)

    def _get_counts(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond(self._counts)
