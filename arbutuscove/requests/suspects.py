"""Follows running requests, counts deaths and shares suspicions.

A daemon concludes that a replica died with a request when the stream broke
and the replica's leader says that it is not ready in that generation, its VM
refuses connections, or the replica serves in a newer generation. A leader that
still is ready means that only the connection was cut. While neither can be
found out, the death counts as a first one (which costs a trial) but never as a
second.
"""

import dataclasses
import datetime
import enum
import typing
from collections import abc

import eliot
import expression
import msgspec
from gevent import event

from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.peers import peer_pb2
from arbutuscove.replicas import model as replica_model
from arbutuscove.requests import quarantine
from arbutuscove.storage import table as table_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

SERVICE_NAME = "quarantine"
PREFIX = "quarantine/"
TRIAL_PREFIX = PREFIX + "trial."
WATCH_INTERVAL = datetime.timedelta(seconds=1)
LOAD_INTERVAL = datetime.timedelta(minutes=10)  # reads of all rows
LOAD_RETRY = datetime.timedelta(seconds=30)  # after a failed read of them
SUSPECT_TERM = datetime.timedelta(days=1)  # rows of suspects never seen again
JUDGE_TIME = datetime.timedelta(seconds=3)  # bound on the doubt about a replica
JUDGE_INTERVAL = datetime.timedelta(milliseconds=250)
DETACHED_AGE = datetime.timedelta(seconds=30)  # engines end such streams sooner
TRIAL_TERM = datetime.timedelta(seconds=660)  # longest deadline and a minute
RETRY_AFTER = datetime.timedelta(seconds=2)
NO_TIME = datetime.timedelta()
WRITE_ATTEMPTS = 5  # each lost race means that another daemon wrote

Serving = abc.Callable[[str], list[replica_model.ServingReplica]]


class Verdict(enum.Enum):
    """What became of a replica whose stream broke."""

    ALIVE = enum.auto()
    DEAD = enum.auto()
    UNCLEAR = enum.auto()


class Engine(typing.Protocol):
    """The part of the engine client that a verdict needs."""

    def read_status(self) -> protocol.Status:
        """Returns what the VM says of itself."""


class Engines(typing.Protocol):
    """Finds engine clients by address."""

    def get(self, address: str) -> Engine:
        """Returns the client of an address."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrialRow:
    """Who runs a suspect of a service now."""

    digest: str
    daemon: str


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Run:
    """One attempt of a request; `excluded` are replicas it may not use."""

    digest: str
    service: str
    excluded: frozenset[str] = frozenset()
    trial: int | None = None  # version of the trial row that it holds
    replica: replica_model.ServingReplica | None = None
    detached_until: datetime.timedelta | None = None


class Suspects(services.LoopService):
    """Decides how each request may run, and learns from deaths."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        daemon: str,
        engines: Engines,
        serving: Serving,
        spread: abc.Callable[[], None],
    ) -> None:
        self._table = table
        self._clock = clock
        self._daemon = daemon
        self._engines = engines
        self._serving = serving
        self._spread = spread
        self._ledger = quarantine.Ledger()
        # Bounded by requests in progress and those left for DETACHED_AGE.
        self._runs: set[Run] = set()
        self._judged: dict[str, event.AsyncResult] = {}
        self._trials: dict[str, tuple[int, datetime.timedelta]] = {}
        # Versions of the rows and since when each is unchanged.
        self._seen: dict[str, tuple[int, datetime.timedelta]] = {}
        # Deaths that the table does not hold yet; the oldest is dropped.
        self._unwritten: dict[str, str] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Begins to watch replicas of callers who left."""
        self.run_loop(self._watch)

    def list_suspicions(self) -> list[peer_pb2.Suspicion]:
        """Returns what to tell peers."""
        return [
            peer_pb2.Suspicion(
                digest=hint.digest, deaths=hint.deaths, cleared=hint.cleared
            )
            for hint in self._ledger.list_hints(self._clock.monotonic())
        ]

    def learn_suspicions(self, found: abc.Iterable[peer_pb2.Suspicion]) -> None:
        """Takes what a peer tells."""
        for item in found:
            hint = quarantine.Hint(
                digest=item.digest, deaths=item.deaths, cleared=item.cleared
            )
            self._ledger.learn(hint, self._clock.monotonic())

    def find_excluded(self, service: str, replica: str) -> frozenset[str]:
        """Returns the replica to avoid, unless no other one serves."""
        others = {item.replica for item in self._serving(service)} - {replica}
        return frozenset({replica} if others else ())

    def begin(
        self, work: work_module.Work
    ) -> expression.Result[Run, work_module.Refusal]:
        """Returns how the request may run, or why it may not."""
        run = Run(digest=work.digest, service=work.service.name)
        standing = self._ledger.find(work.digest).standing()
        if standing == quarantine.Standing.FREE:
            return expression.Ok(run)
        try:
            refusal = self._refuse(work.digest)
            if refusal is None:
                refusal = self._begin_trial(run, work)
        except table_module.TableError as error:
            eliot.log_message("quarantine:unavailable", reason=str(error))
            refusal = _refuse_wait("trials need the table service")
            if standing == quarantine.Standing.QUARANTINED:
                refusal = _refuse_quarantined()
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(run)

    def dispatch(self, run: Run, replica: replica_model.ServingReplica) -> None:
        """Records where a run goes, just before it is sent."""
        run.replica = replica
        self._runs.add(run)

    def end(self, run: Run, whole: bool) -> None:
        """Ends a run; a trial that finished clears its request.

        A run that was sent and did not finish is watched on, because the
        engine may go on with it and die.
        """
        if whole or run.replica is None:
            self._runs.discard(run)
            if run.trial is not None:
                self._end_trial(run, cleared=whole)
        elif run in self._runs:
            until = self._clock.monotonic() + DETACHED_AGE
            run.detached_until = max(until, run.detached_until or until)

    def cancel(self, run: Run) -> None:
        """Ends a run that an engine refused before it began."""
        run.replica = None
        self.end(run, whole=False)

    def report_loss(self, run: Run, deadline: datetime.timedelta) -> None:
        """Finds out by a deadline whether a replica died, and shares it.

        Returns after the suspicion has been shared, so that the request is
        not sent again before its next daemon can know of it.
        """
        replica = run.replica
        if replica is None or run not in self._runs:
            return
        death = name_death(replica)
        result = self._judged.get(death)
        if result is not None:
            result.get()
            return
        result = event.AsyncResult()
        self._judged[death] = result
        try:
            left = max(NO_TIME, deadline - self._clock.monotonic())
            verdict = self._judge(replica, min(JUDGE_TIME, left))
            if verdict != Verdict.ALIVE:
                self._count(death, verdict)
        finally:
            # A replica in doubt may die later in the same generation.
            self._judged.pop(death)
            result.set(None)

    def watch_once(self) -> None:
        """Judges the replicas of runs that nobody waits for.

        Also writes one death that could not be written before.
        """
        for digest, death in list(self._unwritten.items())[:1]:
            self._write_death(digest, death)
        now = self._clock.monotonic()
        left = [run for run in self._runs if run.detached_until is not None]
        replicas = {
            name_death(run.replica): run.replica
            for run in left
            if run.replica is not None
        }
        for death, replica in replicas.items():
            match self._judge(replica, NO_TIME):
                case Verdict.DEAD:
                    self._count(death, Verdict.DEAD)
                case Verdict.ALIVE:
                    self._resolve(death, now + DETACHED_AGE)
        for run in left:
            until = run.detached_until
            if run in self._runs and until is not None and now >= until:
                self._runs.discard(run)
                self._end_trial(run, cleared=False)

    def load(self) -> None:
        """Learns what the table holds.

        Raises:
            TableUnavailableError: the rows could not be read.
        """
        rows = self._read_rows()
        for digest, row in rows.items():
            known = self._ledger.find(digest)
            found = known.merge(row.decode(quarantine.Record))
            if found != known:
                self._ledger.put(digest, found, self._clock.monotonic())
        self._drop_old(rows)

    def _drop_old(self, rows: dict[str, table_module.Row]) -> None:
        """Deletes suspects that did not come back; most never do."""
        now = self._clock.monotonic()
        seen: dict[str, tuple[int, datetime.timedelta]] = {}
        for digest, row in rows.items():
            version, since = self._seen.get(digest, (row.version, now))
            if version != row.version:
                since = now
            seen[digest] = (row.version, since)
            standing = row.decode(quarantine.Record).standing()
            old = now - since >= SUSPECT_TERM
            if old and standing == quarantine.Standing.SUSPECT:
                self._write(PREFIX + digest, row, None)
        self._seen = seen

    def _judge(
        self, replica: replica_model.ServingReplica, time: datetime.timedelta
    ) -> Verdict:
        latest = self._clock.monotonic() + time
        while True:
            verdict = self._ask(replica)
            if verdict != Verdict.UNCLEAR:
                return verdict
            if self._clock.monotonic() >= latest:
                return verdict
            self._clock.sleep(JUDGE_INTERVAL)

    def _ask(self, replica: replica_model.ServingReplica) -> Verdict:
        client = self._engines.get(replica.leader.address)
        try:
            status = client.read_status()
        except errors.NotListeningError:
            return Verdict.DEAD
        except errors.UnreachableError:
            serving = self._serving(replica.service)
            moved = any(
                item.replica == replica.replica
                and item.generation > replica.generation
                for item in serving
            )
            return Verdict.DEAD if moved else Verdict.UNCLEAR
        same = (status.replica, status.generation) == (
            replica.replica,
            replica.generation,
        )
        ready = status.state == protocol.State.READY
        return Verdict.ALIVE if same and ready else Verdict.DEAD

    def _count(self, death: str, verdict: Verdict) -> None:
        runs = [
            run
            for run in self._runs
            if run.replica is not None and name_death(run.replica) == death
        ]
        counted = []
        for run in runs:
            known = self._ledger.find(run.digest)
            if verdict == Verdict.UNCLEAR and known.count:
                # Held back with its trial until the watch finds out.
                run.detached_until = self._clock.monotonic() + TRIAL_TERM
                continue
            counted.append(run)
            now = self._clock.monotonic()
            later = run.trial is not None
            self._ledger.put(run.digest, known.add(death, later), now)
            eliot.log_message(
                "quarantine:death", digest=run.digest, death=death
            )
        for digest in {run.digest for run in counted}:
            self._write_death(digest, death)
        if counted:
            self._spread()
        for run in counted:
            self._runs.discard(run)
            if run.trial is not None:
                self._end_trial(run, cleared=False)

    def _resolve(self, death: str, until: datetime.timedelta) -> None:
        """Shortens the watch of runs whose replica turned out to serve."""
        for run in self._runs:
            if run.replica is None or name_death(run.replica) != death:
                continue
            if run.detached_until is not None:
                run.detached_until = min(run.detached_until, until)

    def _write_death(self, digest: str, death: str) -> None:
        key = PREFIX + digest
        try:
            for _ in range(WRITE_ATTEMPTS):
                row = self._table.read(key)
                record = self._ledger.find(digest)
                if row is not None:
                    record = record.merge(row.decode(quarantine.Record))
                record = record.add(death)
                now = self._clock.monotonic()
                self._ledger.put(digest, record, now)
                if self._write(key, row, msgspec.to_builtins(record)):
                    self._unwritten.pop(digest, None)
                    return
        except table_module.TableError as error:
            self._unwritten[digest] = death
            if len(self._unwritten) > quarantine.RECORD_LIMIT:
                self._unwritten.pop(next(iter(self._unwritten)))
            eliot.log_message("quarantine:not_written", reason=str(error))

    def _refuse(self, digest: str) -> work_module.Refusal | None:
        """Returns a refusal if the request must not even be tried."""
        record = self._ledger.find(digest)
        if record.standing() != quarantine.Standing.QUARANTINED:
            return None
        if record.tried:
            return _refuse_quarantined()
        rows = self._read_records()
        if digest not in rows and digest not in self._unwritten:
            return None  # cleared elsewhere; a trial may confirm it
        record = rows.get(digest, record).merge(record)
        if quarantine.is_explained(record, rows.values()):
            return None
        return _refuse_quarantined()

    def _read_records(self) -> dict[str, quarantine.Record]:
        rows = self._read_rows()
        return {
            digest: row.decode(quarantine.Record)
            for digest, row in rows.items()
        }

    def _read_rows(self) -> dict[str, table_module.Row]:
        return {
            row.key.removeprefix(PREFIX): row
            for row in table_module.read_all(self._table, PREFIX)
            if not row.key.startswith(TRIAL_PREFIX)
        }

    def _begin_trial(
        self, run: Run, work: work_module.Work
    ) -> work_module.Refusal | None:
        key = TRIAL_PREFIX + run.service
        row = self._table.read(key)
        if row is not None and not self._is_expired(run.service, row):
            return _refuse_wait("a request in doubt waits for another")
        value = TrialRow(digest=run.digest, daemon=self._daemon)
        version = self._write(key, row, msgspec.to_builtins(value))
        if version is None:
            return _refuse_wait("a request in doubt waits for another")
        run.trial = version
        # Read under the trial, so that no death can be added meanwhile.
        found = self._table.read(PREFIX + run.digest)
        if found is not None:
            known = self._ledger.find(run.digest)
            record = known.merge(found.decode(quarantine.Record))
            self._ledger.put(run.digest, record, self._clock.monotonic())
            refusal = self._refuse(run.digest)
            if refusal is not None:
                self._end_trial(run, cleared=False)
                return refusal
        serving = [
            item
            for item in self._serving(run.service)
            if item.replica not in work.excluded
        ] or self._serving(run.service)
        if not serving:
            self._end_trial(run, cleared=False)
            return _refuse_wait("no replica serves")
        target = min(serving, key=lambda item: item.running + item.queued)
        run.excluded = frozenset(
            item.replica for item in self._serving(run.service)
        ) - {target.replica}
        return None

    def _is_expired(self, service: str, row: table_module.Row) -> bool:
        """Returns whether the holder of a trial must have gone.

        No trial lasts longer than the longest deadline, so an unchanged row
        is left over from a daemon that died.
        """
        now = self._clock.monotonic()
        version, seen = self._trials.get(service, (None, now))
        if version != row.version:
            self._trials[service] = (row.version, now)
            return False
        return now - seen >= TRIAL_TERM

    def _end_trial(self, run: Run, cleared: bool) -> None:
        version = run.trial
        if version is None:
            return
        run.trial = None
        key = TRIAL_PREFIX + run.service
        try:
            if cleared:
                self._clear(run.digest)
            self._table.transact(
                table_module.Transaction(
                    conditions=(
                        table_module.Condition(key=key, version=version),
                    ),
                    writes=(table_module.Write(key=key, value=None),),
                )
            )
        except table_module.TableError as error:
            eliot.log_message("quarantine:trial_kept", reason=str(error))

    def _clear(self, digest: str) -> None:
        self._ledger.put(digest, quarantine.Record(), self._clock.monotonic())
        eliot.log_message("quarantine:cleared", digest=digest)
        row = self._table.read(PREFIX + digest)
        if row is not None:
            self._write(PREFIX + digest, row, None)

    def _write(
        self, key: str, row: table_module.Row | None, value: typing.Any
    ) -> int | None:
        version = table_module.ABSENT if row is None else row.version
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(table_module.Write(key=key, value=value),),
        )
        result = table_module.commit(self._table, transaction, self._clock)
        return result.ok.versions[key] if result.is_ok() else None

    def _watch(self) -> None:
        due = self._clock.monotonic()
        while True:
            self.watch_once()
            if self._clock.monotonic() >= due:
                due = self._clock.monotonic() + LOAD_INTERVAL
                try:
                    self.load()
                except table_module.TableError as error:
                    due = self._clock.monotonic() + LOAD_RETRY
                    eliot.log_message("quarantine:not_read", reason=str(error))
            self._clock.sleep(WATCH_INTERVAL)


def name_death(replica: replica_model.ServingReplica) -> str:
    """Returns the name of a death: replica and generation."""
    return f"{replica.replica}@{replica.generation}"


def _refuse_quarantined() -> work_module.Refusal:
    return work_module.Refusal(
        status=422,
        code="request_quarantined",
        message="upstreams died twice while they ran this request",
    )


def _refuse_wait(message: str) -> work_module.Refusal:
    return work_module.Refusal(
        status=503,
        code="request_suspected",
        message=message,
        retry_after=RETRY_AFTER,
    )
