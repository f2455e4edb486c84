"""Culprits in the table service, where they outlive all daemons.

Daemons exchange evidence among each other and read these rows only at their
start, so the table may be slow or away. A row that is missing costs two more
deaths; one that is left over is refuted by the next trial.
"""

import datetime
import re
from collections import abc

import eliot
import msgspec
from gevent import event

from arbutuscove.crashes import evidence as evidence_module
from arbutuscove.crashes import judgement
from arbutuscove.crashes import moments
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.kernel import services
from arbutuscove.storage import table as table_module

SERVICE_NAME = "verdicts"
KEY_PREFIX = "crash/"
RETRY_INTERVAL = datetime.timedelta(seconds=1)
_KEY = re.compile("[0-9a-f]{1,16}")  # 64 bits
MAX_PENDING = 64  # rows not yet written; the oldest is dropped


class Verdict(msgspec.Struct, frozen=True):
    """A culprit as a row of the table.

    Attributes:
        depth: position of the part in the prompt, or `WHOLE_DEPTH`.
        deaths: identities of the deaths that it explains.
    """

    depth: decoding.Integer
    deaths: tuple[decoding.Text, ...]


class VerdictKeeper(services.LoopService):
    """Writes changed verdicts to the table, again until it confirms them."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        owns: abc.Callable[[int], bool] | None,
    ) -> None:
        """Creates a keeper without pending rows.

        Args:
            table: the table service.
            clock: the clock for the delay between attempts.
            owns: whether this daemon writes the row of a trait; all daemons
                learn of a verdict, and one row is enough. None: a daemon
                writes the row if a death that it observed decided.
        """
        self._table = table
        self._clock = clock
        self._owns = owns
        # Bounded by the culprits, which are bounded by the deaths.
        self._written: set[int] = set()
        self._pending: dict[int, Verdict | None] = {}
        self._has_pending = event.Event()

    def start(self, kernel: services.Kernel) -> None:
        """Starts the loop that writes."""
        self.run_loop(self._run)

    def record(
        self,
        before: abc.Collection[int],
        evidence: evidence_module.Evidence,
        is_own: bool,
    ) -> None:
        """Writes the rows of new culprits and removes those of cleared ones.

        Args:
            before: the keys of the culprits before a change.
            evidence: the evidence after it.
            is_own: whether this daemon observed what changed it.
        """
        after = evidence.culprits.keys()
        for key in after - set(before):
            if is_own if self._owns is None else self._owns(key):
                self._written.add(key)
                self._put(key, _describe(evidence, key))
        for key in set(before) - after:
            is_writer = key in self._written
            self._written.discard(key)
            if is_writer if self._owns is None else self._owns(key):
                self._put(key, None)

    def record_again(self, evidence: evidence_module.Evidence) -> None:
        """Writes the rows of all culprits that this daemon owns again.

        The table may have lost them when it came back from an older copy.

        Args:
            evidence: the evidence with the culprits.
        """
        keys = [
            key
            for key in evidence.culprits
            if key in self._written or (self._owns and self._owns(key))
        ]
        for key in keys:
            self._written.add(key)
            self._put(key, _describe(evidence, key))
        if keys:
            eliot.log_message(
                "crash:written_again", keys=[_format_key(key) for key in keys]
            )

    def write_pending(self) -> None:
        """Writes all pending rows.

        Raises:
            TableError: a row was not written, or may not have been.
        """
        for key, verdict in list(self._pending.items()):
            value = None if verdict is None else msgspec.to_builtins(verdict)
            write = table_module.Write(key=_format_key(key), value=value)
            self._table.transact(
                table_module.Transaction(conditions=(), writes=(write,))
            )
            if self._pending.get(key) is verdict:
                del self._pending[key]

    def _put(self, key: int, verdict: Verdict | None) -> None:
        self._pending.pop(key, None)
        self._pending[key] = verdict
        if len(self._pending) > MAX_PENDING:
            self._pending.pop(next(iter(self._pending)))
        self._has_pending.set()

    def _run(self) -> None:
        while True:
            self._has_pending.wait()
            try:
                self.write_pending()
            except table_module.TableError as error:
                eliot.log_message("crash:not_written", reason=str(error))
                self._clock.sleep(RETRY_INTERVAL)
            if not self._pending:
                self._has_pending.clear()


def restore(
    rows: abc.Iterable[table_module.Row],
    evidence: evidence_module.Evidence,
    now: datetime.timedelta,
) -> None:
    """Adds the verdicts of table rows to the evidence.

    The time since the deaths is not known: the last one of a row counts as of
    now, and each other one as of a moment of its own.

    Args:
        rows: rows of the table; those of other kinds are left out.
        evidence: the evidence to which they are added.
        now: the monotonic time.
    """
    for row in rows:
        if not row.key.startswith(KEY_PREFIX):
            continue
        name = row.key.removeprefix(KEY_PREFIX)
        try:
            verdict = row.decode(Verdict)
        except table_module.UnreadableRowError as error:
            eliot.log_message("crash:unreadable", reason=str(error))
            continue
        if not _KEY.fullmatch(name):
            eliot.log_message("crash:unreadable", reason=f"key {row.key!r}")
            continue
        key = int(name, 16)
        identities = verdict.deaths[: evidence_module.MAX_DEATHS]
        for number, identity in enumerate(identities):
            evidence.record_death(
                judgement.Death(
                    identity=identity,
                    at=now - number * moments.MOMENT,
                    suspects={key: verdict.depth},
                )
            )


def _describe(evidence: evidence_module.Evidence, key: int) -> Verdict:
    deaths = [death for death in evidence.list_deaths() if key in death.blame]
    return Verdict(
        depth=deaths[0].blame[key],
        deaths=tuple(death.identity for death in deaths),
    )


def _format_key(key: int) -> str:
    return f"{KEY_PREFIX}{key:016x}"
