"""Tracks running attempts, records deaths of replicas and gossips suspicions.

When a stream breaks, the daemon probes the leader of its replica. The replica
counts as dead if the leader reports that it is not ready in that generation,
if its VM refuses connections, or if the replica serves in a newer generation.
If the leader is still ready, only the connection was cut. If neither can be
established, the death counts as the first one of a request (which costs a
trial) but never as the second.

Requests that differ may share a part of their prompt that crashes replicas.
A death therefore blames the parts of the requests that were not complete, too;
`crashes.evidence` decides which part is at fault.
"""

import dataclasses
import datetime
import typing
from collections import abc

import eliot
import expression
import msgspec
from gevent import event

from arbutuscove.admission import work as work_module
from arbutuscove.crashes import holder as holder_module
from arbutuscove.crashes import judgement
from arbutuscove.crashes import liveness as liveness_module
from arbutuscove.crashes import traits
from arbutuscove.crashes import verdicts
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.peers import peer_pb2
from arbutuscove.replicas import model as replica_model
from arbutuscove.requests import quarantine
from arbutuscove.storage import table as table_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

SERVICE_NAME = "quarantine"
KEY_PREFIX = "quarantine/"
TRIAL_PREFIX = KEY_PREFIX + "trial."
WATCH_INTERVAL = datetime.timedelta(seconds=1)
LOAD_INTERVAL = datetime.timedelta(minutes=10)  # between reads of all rows
LOAD_RETRY_INTERVAL = datetime.timedelta(seconds=30)  # after a failed read
SUSPECT_ROW_TTL = datetime.timedelta(days=1)  # for unchanged rows
PROBE_TIMEOUT = datetime.timedelta(seconds=3)  # for all probes of a replica
PROBE_INTERVAL = datetime.timedelta(milliseconds=250)
# Engines end a stream that nobody reads sooner than this.
DETACHED_WATCH_DURATION = datetime.timedelta(seconds=30)
TRIAL_TTL = datetime.timedelta(seconds=660)  # longest deadline plus a minute
RETRY_AFTER = datetime.timedelta(seconds=2)
ZERO = datetime.timedelta()
MAX_WRITE_ATTEMPTS = 5  # a write fails only if another daemon wrote first

ListServing = abc.Callable[[str], list[replica_model.ServingReplica]]


class Engine(typing.Protocol):
    """The part of the engine client that a probe uses."""

    def read_status(self) -> protocol.Status:
        """Returns the status that the VM reports."""


class Engines(typing.Protocol):
    """Provides engine clients by address."""

    def get(self, address: str) -> Engine:
        """Returns the client of an address."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrialRow:
    """The table row of the trial in progress in one service."""

    digest: str
    daemon: str


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class TrackedAttempt:
    """One attempt of a request, tracked while it may crash its replica.

    Attributes:
        digest: identity of the request.
        service: name of the service.
        excluded: replicas that the attempt may not use.
        trial: version of the trial row that the attempt owns, if any.
        replica: where the attempt was dispatched, if it was.
        detached_until: when the watch ends, if the stream is no longer read.
        prompt_parts: parts of the prompt that other requests may have, too.
        answered_at: when the first event arrived, if it did.
    """

    digest: str
    service: str
    excluded: frozenset[str] = frozenset()
    trial: int | None = None
    replica: replica_model.ServingReplica | None = None
    detached_until: datetime.timedelta | None = None
    prompt_parts: tuple[str, ...] = ()
    answered_at: datetime.timedelta | None = None


class SuspectTracker(services.LoopService):
    """Decides how each request may run, and records deaths of replicas."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        daemon: str,
        engines: Engines,
        list_serving: ListServing,
        send_gossip: abc.Callable[[], None],
        get_era: abc.Callable[[], int] = lambda: 0,
        has_path: abc.Callable[[str], bool] = lambda _: True,
    ) -> None:
        # Whether any path leads to the upstreams near an address.
        self._has_path = has_path
        self._table = table
        # The newest known era of the table; 0 if it has none.
        self._get_era = get_era
        self._era = 0
        self._clock = clock
        self._daemon = daemon
        self._engines = engines
        self._list_serving = list_serving
        self._send_gossip = send_gossip
        self._records = quarantine.RecordCache()
        self._has_verdicts = False
        self._verdicts = verdicts.VerdictKeeper(table, clock, None)
        self.evidence = holder_module.EvidenceHolder(clock, self._verdicts)
        # Bounded by the requests in progress and by the detached attempts,
        # which are removed after DETACHED_WATCH_DURATION or TRIAL_TTL.
        self._attempts: set[TrackedAttempt] = set()
        self._probes_in_flight: dict[str, event.AsyncResult] = {}
        self._observed_trials: dict[str, tuple[int, datetime.timedelta]] = {}
        # The version of each row, and since when the row has that version.
        self._observed_rows: dict[str, tuple[int, datetime.timedelta]] = {}
        # Deaths not yet written to the table; the oldest is dropped when full.
        self._unwritten_deaths: dict[str, str] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Starts the loop that checks detached attempts and loads the rows."""
        self.run_loop(self._run_watch)
        self._verdicts.start(kernel)

    def stop(self) -> None:
        """Stops both loops."""
        super().stop()
        self._verdicts.stop()

    def list_suspicions(self) -> list[peer_pb2.Suspicion]:
        """Returns the suspicions to gossip to peers."""
        return [
            peer_pb2.Suspicion(
                digest=hint.digest, deaths=hint.deaths, cleared=hint.cleared
            )
            for hint in self._records.list_hints(self._clock.monotonic())
        ]

    def merge_suspicions(
        self, suspicions: abc.Iterable[peer_pb2.Suspicion]
    ) -> None:
        """Merges the suspicions received from a peer."""
        for item in suspicions:
            hint = quarantine.Hint(
                digest=item.digest, deaths=item.deaths, cleared=item.cleared
            )
            self._records.merge_hint(hint, self._clock.monotonic())

    def may_repeat(self, work: work_module.Work) -> bool:
        """Returns whether a lost request may be sent again.

        It may not if a death blames a part of its prompt and no answer to a
        request with that part is known: the request may have caused the death.
        """
        keys = list(map(traits.hash_part, work.prompt_parts))
        return not any(
            self.evidence.is_suspect(key) or key in self.evidence.culprits
            for key in keys
        )

    def record_event(self, attempt: TrackedAttempt) -> None:
        """Records that an event of the answer arrived."""
        if attempt.answered_at is None:
            attempt.answered_at = self._clock.monotonic()

    def _record_survival(self, attempt: TrackedAttempt) -> None:
        if attempt.answered_at is None:
            return
        keys = map(traits.hash_part, attempt.prompt_parts)
        self.evidence.record_answer(keys, attempt.answered_at)

    def exclude_replica(self, service: str, replica: str) -> frozenset[str]:
        """Returns the replicas that a retry of a request must avoid.

        Args:
            service: name of the service.
            replica: the replica of the lost attempt, which the retry avoids
                only if another replica serves.
        """
        others = {item.replica for item in self._list_serving(service)} - {
            replica
        }
        return frozenset({replica} if others else ())

    def begin(
        self, work: work_module.Work
    ) -> expression.Result[TrackedAttempt, work_module.Refusal]:
        """Creates an attempt, or returns the refusal of the request.

        A suspect acquires the trial of its service, and its attempt excludes
        all replicas but one.
        """
        attempt = TrackedAttempt(
            digest=work.digest,
            service=work.service.name,
            prompt_parts=work.prompt_parts,
        )
        culprit = self._find_culprit(work)
        if culprit is not None and (
            self._clock.monotonic() < culprit.trial_due
        ):
            return expression.Error(_build_quarantine_refusal())
        state = self._records.get_record(work.digest).get_state()
        if state == quarantine.QuarantineState.FREE and culprit is None:
            return expression.Ok(attempt)
        try:
            refusal = self._check_quarantine(work.digest)
            if refusal is None:
                refusal = self._begin_trial(attempt, work)
        except table_module.TableError as error:
            eliot.log_message("quarantine:unavailable", reason=str(error))
            refusal = _build_retry_refusal("trials need the table service")
            if state == quarantine.QuarantineState.QUARANTINED:
                refusal = _build_quarantine_refusal()
        if refusal is not None:
            return expression.Error(refusal)
        return expression.Ok(attempt)

    def _find_culprit(self, work: work_module.Work) -> judgement.Culprit | None:
        """Returns the part of the prompt that crashes replicas, if any."""
        for key in map(traits.hash_part, work.prompt_parts):
            culprit = self.evidence.culprits.get(key)
            if culprit is not None:
                return culprit
        return None

    def record_dispatch(
        self, attempt: TrackedAttempt, replica: replica_model.ServingReplica
    ) -> None:
        """Records the replica of an attempt, just before it is sent."""
        attempt.replica = replica
        self._attempts.add(attempt)

    def end(self, attempt: TrackedAttempt, is_complete: bool) -> None:
        """Ends an attempt; a completed trial clears its request.

        An attempt that was sent but not completed becomes detached: its
        replica is watched, because the engine may still run it and die.

        Args:
            attempt: the attempt.
            is_complete: whether its answer was delivered to the end.
        """
        if is_complete:
            self._record_survival(attempt)
        if is_complete or attempt.replica is None:
            self._attempts.discard(attempt)
            if attempt.trial is not None:
                self._end_trial(attempt, is_cleared=is_complete)
        elif attempt in self._attempts:
            until = self._clock.monotonic() + DETACHED_WATCH_DURATION
            attempt.detached_until = max(until, attempt.detached_until or until)

    def cancel(self, attempt: TrackedAttempt) -> None:
        """Ends an attempt that the engine did not run."""
        attempt.replica = None
        self.end(attempt, is_complete=False)

    def report_loss(
        self, attempt: TrackedAttempt, deadline: datetime.timedelta
    ) -> None:
        """Probes the replica of a lost attempt and records its death, if any.

        Returns after the suspicion has been gossiped, so that the request is
        not sent again before the next daemon can have received it. Calls for
        the same death share one probe.

        Args:
            attempt: the attempt whose stream broke.
            deadline: when to stop probing, on the monotonic clock.
        """
        replica = attempt.replica
        if replica is None or attempt not in self._attempts:
            return
        death = build_death_id(replica)
        result = self._probes_in_flight.get(death)
        if result is not None:
            result.get()
            return
        result = event.AsyncResult()
        self._probes_in_flight[death] = result
        try:
            remaining = max(ZERO, deadline - self._clock.monotonic())
            liveness = self._probe_until_known(
                replica, min(PROBE_TIMEOUT, remaining)
            )
            if liveness != liveness_module.Liveness.ALIVE:
                self._record_death(death, liveness)
        finally:
            # Allows a new probe: a replica of unknown liveness may die later in
            # the same generation.
            self._probes_in_flight.pop(death)
            result.set(None)

    def check_detached(self) -> None:
        """Probes the replicas of detached attempts once.

        Also retries the write of one death that the table does not have yet.
        """
        for digest, death in list(self._unwritten_deaths.items())[:1]:
            self._write_death(digest, death)
        now = self._clock.monotonic()
        detached = [
            attempt
            for attempt in self._attempts
            if attempt.detached_until is not None
        ]
        replicas = {
            build_death_id(attempt.replica): attempt.replica
            for attempt in detached
            if attempt.replica is not None
        }
        for death, replica in replicas.items():
            match self._probe_until_known(replica, ZERO):
                case liveness_module.Liveness.DEAD:
                    self._record_death(death, liveness_module.Liveness.DEAD)
                case liveness_module.Liveness.ALIVE:
                    self._shorten_watch(death, now + DETACHED_WATCH_DURATION)
        for attempt in detached:
            until = attempt.detached_until
            if attempt in self._attempts and until is not None and now >= until:
                self._attempts.discard(attempt)
                self._end_trial(attempt, is_cleared=False)

    def check_era(self) -> None:
        """Writes verdicts again in a new era of the table, which lost some."""
        era = self._get_era()
        if era != self._era:
            self._era = era
            self.evidence.record_again()

    def load(self) -> None:
        """Merges the rows of the table and deletes expired ones.

        At its start the daemon also learns which prompt parts crash replicas.

        Raises:
            TableError: the rows could not be read, or the deletion of an
                expired row failed.
        """
        if not self._has_verdicts:
            self.evidence.restore(
                table_module.read_all(self._table, verdicts.KEY_PREFIX)
            )
            self._has_verdicts = True
        rows: dict[str, table_module.Row] = {}
        for digest, row in self._read_rows().items():
            try:
                record = row.decode(quarantine.Record)
            except table_module.UnreadableRowError as error:
                eliot.log_message("quarantine:unreadable", reason=str(error))
                continue
            rows[digest] = row
            known = self._records.get_record(digest)
            merged = known.merge(record)
            if merged != known:
                self._records.put(digest, merged, self._clock.monotonic())
        self._delete_expired(rows)

    def _delete_expired(self, rows: dict[str, table_module.Row]) -> None:
        """Deletes rows of suspects unchanged for `SUSPECT_ROW_TTL`.

        Most suspects are never sent again.
        """
        now = self._clock.monotonic()
        observed: dict[str, tuple[int, datetime.timedelta]] = {}
        for digest, row in rows.items():
            version, since = self._observed_rows.get(digest, (row.version, now))
            if version != row.version:
                since = now
            observed[digest] = (row.version, since)
            state = row.decode(quarantine.Record).get_state()
            is_expired = now - since >= SUSPECT_ROW_TTL
            if is_expired and state == quarantine.QuarantineState.SUSPECT:
                self._write(KEY_PREFIX + digest, row, None)
        self._observed_rows = observed

    def _probe_until_known(
        self, replica: replica_model.ServingReplica, timeout: datetime.timedelta
    ) -> liveness_module.Liveness:
        deadline = self._clock.monotonic() + timeout
        while True:
            liveness = self._probe(replica)
            if liveness != liveness_module.Liveness.UNKNOWN:
                return liveness
            if self._clock.monotonic() >= deadline:
                return liveness
            self._clock.sleep(PROBE_INTERVAL)

    def _probe(
        self, replica: replica_model.ServingReplica
    ) -> liveness_module.Liveness:
        client = self._engines.get(replica.leader.address)
        try:
            status = client.read_status()
        except errors.NotListeningError:
            return liveness_module.Liveness.DEAD
        except errors.UnreachableError:
            serving = self._list_serving(replica.service)
            has_newer_generation = any(
                item.replica == replica.replica
                and item.generation > replica.generation
                for item in serving
            )
            return (
                liveness_module.Liveness.DEAD
                if has_newer_generation
                else liveness_module.Liveness.UNKNOWN
            )
        is_same = (status.replica, status.generation) == (
            replica.replica,
            replica.generation,
        )
        is_ready = status.state == protocol.State.READY
        return (
            liveness_module.Liveness.ALIVE
            if is_same and is_ready
            else liveness_module.Liveness.DEAD
        )

    def _record_death(
        self, death: str, liveness: liveness_module.Liveness
    ) -> None:
        attempts = [
            attempt
            for attempt in self._attempts
            if attempt.replica is not None
            and build_death_id(attempt.replica) == death
        ]
        if liveness == liveness_module.Liveness.DEAD:
            self._blame_parts(death, attempts)
        counted = []
        for attempt in attempts:
            known = self._records.get_record(attempt.digest)
            if liveness == liveness_module.Liveness.UNKNOWN and (
                known.count or not self._may_have_died(attempt)
            ):
                # Detached: keeps its trial until check_detached determines the
                # liveness of the replica.
                attempt.detached_until = self._clock.monotonic() + TRIAL_TTL
                continue
            counted.append(attempt)
            now = self._clock.monotonic()
            is_later = attempt.trial is not None
            self._records.put(attempt.digest, known.add(death, is_later), now)
            eliot.log_message(
                "quarantine:death", digest=attempt.digest, death=death
            )
        for digest in {attempt.digest for attempt in counted}:
            self._write_death(digest, death)
        if counted:
            self._send_gossip()
        for attempt in counted:
            self._attempts.discard(attempt)
            if attempt.trial is not None:
                self._end_trial(attempt, is_cleared=False)

    def _may_have_died(self, attempt: TrackedAttempt) -> bool:
        # Without any path, the silence says nothing of the replica.
        replica = attempt.replica
        return replica is not None and self._has_path(replica.leader.address)

    def _blame_parts(self, death: str, attempts: list[TrackedAttempt]) -> None:
        """Blames the prompt parts of the attempts that are not complete."""
        suspects = {
            traits.hash_part(part): depth
            for attempt in attempts
            for depth, part in enumerate(attempt.prompt_parts)
        }
        self.evidence.record_death(
            judgement.Death(
                identity=death,
                at=self._clock.monotonic(),
                suspects=suspects,
            )
        )

    def _shorten_watch(self, death: str, until: datetime.timedelta) -> None:
        """Shortens the watch of detached attempts whose replica is alive."""
        for attempt in self._attempts:
            if (
                attempt.replica is None
                or build_death_id(attempt.replica) != death
            ):
                continue
            if attempt.detached_until is not None:
                attempt.detached_until = min(attempt.detached_until, until)

    def _write_death(self, digest: str, death: str) -> None:
        key = KEY_PREFIX + digest
        try:
            for _ in range(MAX_WRITE_ATTEMPTS):
                row = self._table.read(key)
                record = self._records.get_record(digest)
                if row is not None:
                    record = record.merge(row.decode(quarantine.Record))
                record = record.add(death)
                now = self._clock.monotonic()
                self._records.put(digest, record, now)
                if self._write(key, row, msgspec.to_builtins(record)):
                    self._unwritten_deaths.pop(digest, None)
                    return
        except table_module.TableError as error:
            self._unwritten_deaths[digest] = death
            if len(self._unwritten_deaths) > quarantine.MAX_RECORDS:
                self._unwritten_deaths.pop(next(iter(self._unwritten_deaths)))
            eliot.log_message("quarantine:not_written", reason=str(error))

    def _check_quarantine(self, digest: str) -> work_module.Refusal | None:
        """Returns a refusal if the request may not run even in a trial."""
        record = self._records.get_record(digest)
        if record.get_state() != quarantine.QuarantineState.QUARANTINED:
            return None
        if record.tried:
            return _build_quarantine_refusal()
        rows = self._read_records()
        if digest not in rows and digest not in self._unwritten_deaths:
            return None  # cleared by another daemon; a trial may confirm it
        record = rows.get(digest, record).merge(record)
        if quarantine.is_explained(record, rows.values()):
            return None
        return _build_quarantine_refusal()

    def _read_records(self) -> dict[str, quarantine.Record]:
        rows = self._read_rows()
        return {
            digest: row.decode(quarantine.Record)
            for digest, row in rows.items()
        }

    def _read_rows(self) -> dict[str, table_module.Row]:
        return {
            row.key.removeprefix(KEY_PREFIX): row
            for row in table_module.read_all(self._table, KEY_PREFIX)
            if not row.key.startswith(TRIAL_PREFIX)
        }

    def _begin_trial(
        self, attempt: TrackedAttempt, work: work_module.Work
    ) -> work_module.Refusal | None:
        key = TRIAL_PREFIX + attempt.service
        row = self._table.read(key)
        if row is not None and not self._is_expired(attempt.service, row):
            return _build_retry_refusal("a request in doubt waits for another")
        value = TrialRow(digest=attempt.digest, daemon=self._daemon)
        version = self._write(key, row, msgspec.to_builtins(value))
        if version is None:
            return _build_retry_refusal("a request in doubt waits for another")
        attempt.trial = version
        # Read while the trial is owned, so that no death is added meanwhile.
        record_row = self._table.read(KEY_PREFIX + attempt.digest)
        if record_row is not None:
            known = self._records.get_record(attempt.digest)
            record = known.merge(record_row.decode(quarantine.Record))
            self._records.put(attempt.digest, record, self._clock.monotonic())
            refusal = self._check_quarantine(attempt.digest)
            if refusal is not None:
                self._end_trial(attempt, is_cleared=False)
                return refusal
        serving = [
            item
            for item in self._list_serving(attempt.service)
            if item.replica not in work.excluded
        ] or self._list_serving(attempt.service)
        if not serving:
            self._end_trial(attempt, is_cleared=False)
            return _build_retry_refusal("no replica serves")
        target = min(serving, key=lambda item: item.running + item.queued)
        attempt.excluded = frozenset(
            item.replica for item in self._list_serving(attempt.service)
        ) - {target.replica}
        return None

    def _is_expired(self, service: str, row: table_module.Row) -> bool:
        """Returns whether the trial of a service has expired.

        No trial lasts longer than the longest deadline, so a row unchanged
        for `TRIAL_TTL` was left by a daemon that died. This daemon measures
        that time from its own first observation of the row version, which the
        call records.
        """
        now = self._clock.monotonic()
        version, since = self._observed_trials.get(service, (None, now))
        if version != row.version:
            self._observed_trials[service] = (row.version, now)
            return False
        return now - since >= TRIAL_TTL

    def _end_trial(self, attempt: TrackedAttempt, is_cleared: bool) -> None:
        version = attempt.trial
        if version is None:
            return
        attempt.trial = None
        key = TRIAL_PREFIX + attempt.service
        try:
            if is_cleared:
                self._clear(attempt.digest)
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
        self._records.put(digest, quarantine.Record(), self._clock.monotonic())
        eliot.log_message("quarantine:cleared", digest=digest)
        row = self._table.read(KEY_PREFIX + digest)
        if row is not None:
            self._write(KEY_PREFIX + digest, row, None)

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

    def _run_watch(self) -> None:
        next_load = self._clock.monotonic()
        while True:
            self.check_detached()
            self.evidence.expire()
            self.check_era()
            if self._clock.monotonic() >= next_load:
                next_load = self._clock.monotonic() + LOAD_INTERVAL
                try:
                    self.load()
                except table_module.TableError as error:
                    next_load = self._clock.monotonic() + LOAD_RETRY_INTERVAL
                    eliot.log_message("quarantine:not_read", reason=str(error))
            self._clock.sleep(WATCH_INTERVAL)


def build_death_id(replica: replica_model.ServingReplica) -> str:
    """Returns the identifier of a death: replica and generation."""
    return f"{replica.replica}@{replica.generation}"


def _build_quarantine_refusal() -> work_module.Refusal:
    return work_module.Refusal(
        status=422,
        code="request_quarantined",
        message="upstreams died twice while they ran this request",
    )


def _build_retry_refusal(message: str) -> work_module.Refusal:
    return work_module.Refusal(
        status=503,
        code="request_suspected",
        message=message,
        retry_after=RETRY_AFTER,
    )
