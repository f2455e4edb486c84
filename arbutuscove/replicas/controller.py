"""Carries out formation decisions for the fabric domains under lease.

The lease is checked immediately before each write or order. It only avoids
duplicate work; the transactions in `assignment` guarantee that a VM is in at
most one replica.

While the table is unavailable, no lease can be renewed. A repair is then
permitted by the row of the replica as last read, not by the lease. The spares
in the row are reserved for this replica, so daemons that repair it
concurrently can only use VMs that are assigned to it.
"""

import dataclasses
import datetime
from collections import abc

import eliot
import gevent
import msgspec

from arbutuscove.audit import trail
from arbutuscove.config import follower
from arbutuscove.config import keys
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.leases import holder
from arbutuscove.replicas import assignment
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import directory as directory_module
from arbutuscove.replicas import formation
from arbutuscove.replicas import model
from arbutuscove.replicas import readiness
from arbutuscove.replicas import serving
from arbutuscove.replicas import silence
from arbutuscove.replicas import trust
from arbutuscove.replicas import worth
from arbutuscove.storage import table as table_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import pool
from arbutuscove.upstreams import protocol

SERVICE_NAME = "controller"
DUTY_PREFIX = "fabric/"
INTERVAL = datetime.timedelta(milliseconds=500)
MAX_DECISIONS_PER_STEP = 8  # bounds the delay until statuses are read again
# VMs of one domain that may load weights concurrently: two replicas of the
# target size.
MAX_CONCURRENT_LOADS = 64
# The table counts as unavailable after this time without a successful read.
OUTAGE_AFTER = datetime.timedelta(seconds=5)
# During a table outage, daemons other than the last lease holder wait for
# this time before they repair a replica, so that the holder repairs it first.
FALLBACK_DELAY = datetime.timedelta(seconds=20)
# Replica rows permit repairs for this time after they were last read.
ROW_VALIDITY = datetime.timedelta(minutes=15)
# An engine may not report weights that it has loaded outside a replica, so
# preload orders are repeated no sooner than this.
PRELOAD_INTERVAL = datetime.timedelta(minutes=2)
# Audit entries buffered during a table outage; no more repairs when full.
MAX_JOURNAL_ENTRIES = 1000


class ReplicaController(services.LoopService):
    """Forms, repairs and dissolves replicas, and sends orders to VMs."""

    def __init__(
        self,
        identity: str,
        table: table_module.Table,
        clock: clock_module.Clock,
        config: follower.ConfigFollower,
        leases: holder.LeaseHolder,
        board: board_module.StatusBoard,
        directory: directory_module.ReplicaDirectory,
        engines: pool.EnginePool,
        may_judge: abc.Callable[[str], bool] = lambda _: True,
    ) -> None:
        """Creates a controller.

        Args:
            identity: identity of this process as a holder of leases.
            table: the table service.
            clock: the clock.
            config: the configuration in force.
            leases: the leases of this daemon.
            board: VM list and statuses.
            directory: the replica rows.
            engines: clients of the engines.
            may_judge: returns whether the silence of the VMs of a fabric
                domain says something of them, not of this daemon's paths.
        """
        self._judge = silence.Judge(may_judge)
        self._identity = identity
        self._table = table
        self._clock = clock
        self._config = config
        self._leases = leases
        self._board = board
        self._directory = directory
        self._engines = engines
        self._observing_since = clock.monotonic()
        self._trust_records: dict[str, trust.Record] = {}
        self._preloaded_at: dict[str, datetime.timedelta] = {}
        # Since when each fabric domain has had at least one responsive VM.
        self._responsive_since: dict[str, datetime.timedelta] = {}
        self._phase_starts: dict[
            str, tuple[model.Phase, datetime.timedelta]
        ] = {}
        self._unready: dict[str, readiness.UnreadyMember] = {}
        self._stuck: dict[str, frozenset[str]] = {}  # by fabric domain
        self._broken_since: dict[str, datetime.timedelta] = {}
        self._outage_repairs: dict[str, model.ReplicaRow] = {}
        self._pending_transaction: table_module.Transaction | None = None
        self._journal: list[tuple[str, trail.Entry]] = []

    def start(self, kernel: services.Kernel) -> None:
        """Starts the control loop."""
        self.run_loop(self._run)

    def list_domains(self) -> list[str]:
        """Returns the fabric domains that need a controller."""
        domains = {vm.fabric_domain for vm in self._board.get_vms().values()}
        # A domain may still have rows after its VMs have left the VM list.
        rows = self._directory.get_rows().values()
        domains.update(row.fabric_domain for row in rows)
        return sorted(domains)

    def run_domain(self, domain: str) -> None:
        """Runs one control round for a fabric domain.

        Repairs from reserved spares only while the table is unavailable.
        Errors of the table are logged. Does nothing while the silence of the
        VMs says nothing of them: their replicas may serve at other daemons.
        """
        if not self._judge.may_judge(domain, self._clock.monotonic()):
            return
        if self._is_evacuated(domain):
            # Its replicas come back as they are.
            self.update_trust()
            return
        try:
            if self._is_table_down():
                self.repair_during_outage(domain)
                return
            self.flush_journal()
            self.step(domain)
        except table_module.TableError as error:
            eliot.log_message(
                "controller:step_failed",
                fabric_domain=domain,
                reason=str(error),
            )

    def _is_evacuated(self, domain: str) -> bool:
        """Returns whether a VM of a fabric domain is in an evacuated one."""
        return any(
            self._board.is_evacuated(name)
            for name, vm in self._board.get_vms().items()
            if vm.fabric_domain == domain
        )

    def step(self, fabric_domain: str) -> None:
        """Plans for one fabric domain, commits decisions and sends orders.

        Does nothing without the lease of the domain or a configuration.

        Raises:
            TableError: a row could not be read or written.
        """
        self.update_trust()
        duty = DUTY_PREFIX + fabric_domain
        if (
            self._leases.get_active_epoch(duty) is None
            or not self._config.is_loaded()
        ):
            return
        for _ in range(MAX_DECISIONS_PER_STEP):
            rows = self._read_rows(fabric_domain)
            view = self._build_view(fabric_domain, rows)
            if not self._execute_one_decision(duty, view, rows):
                break
        else:
            return  # the rows have changed; the next step reads them again
        self._send_orders(duty, view)

    def repair_during_outage(self, fabric_domain: str) -> None:
        """Repairs replicas from their spares while the table is unavailable.

        Does nothing unless the replica rows were last read longer ago than
        `OUTAGE_AFTER` and less than `ROW_VALIDITY` ago.
        """
        self.update_trust()
        now = self._clock.monotonic()
        read_at = self._directory.get_read_time()
        if read_at is None or not self._config.is_loaded():
            return
        if not OUTAGE_AFTER <= now - read_at < ROW_VALIDITY:
            return
        duty = DUTY_PREFIX + fabric_domain
        view = self._build_view(fabric_domain, self._build_cached_rows())
        repairs = formation.plan_outage_repairs(view)
        broken_replicas = {repair.row.replica for repair in repairs}
        for name in set(self._broken_since) - broken_replicas:
            if name in view.replicas:
                del self._broken_since[name]
        for repair in repairs:
            since = self._broken_since.setdefault(repair.row.replica, now)
            if not self._was_last_holder(duty) and now - since < FALLBACK_DELAY:
                continue
            self._record_outage_repair(duty, repair)
        self._send_outage_repairs(duty, view)

    def flush_journal(self) -> None:
        """Writes the buffered audit entries of repairs during an outage.

        Raises:
            TableError: an entry could not be written; it stays buffered.
        """
        while self._journal:
            duty, entry = self._journal[0]
            if self._pending_transaction is None:
                empty = table_module.Transaction(conditions=(), writes=())
                self._pending_transaction = trail.append_entry(
                    self._table, empty, duty, entry
                )
            if self._commit_or_confirm(self._pending_transaction):
                self._journal.pop(0)
            self._pending_transaction = None
        self._outage_repairs.clear()

    def _commit_or_confirm(self, pending: table_module.Transaction) -> bool:
        # After an unknown outcome, the same transaction is retried, because a
        # new one could write the entry twice.
        result = table_module.commit(self._table, pending, self._clock)
        if result.is_ok():
            return True
        row = self._table.read(pending.writes[-1].key)
        return row is not None and row.write_id == pending.write_id

    def update_trust(self) -> None:
        """Updates the trust records from the VM list and the statuses."""
        now = self._clock.monotonic()
        reports = self._board.get_reports()
        vms = self._board.get_vms()
        present = {
            name
            for name in vms
            if name in reports
            and now - reports[name].requested_at <= formation.UNRESPONSIVE_AFTER
        }
        responsive_domains = {vms[name].fabric_domain for name in present}
        for domain in set(self._responsive_since) - responsive_domains:
            del self._responsive_since[domain]
        for domain in responsive_domains:
            self._responsive_since.setdefault(domain, now)
        for name, vm in vms.items():
            if name in reports or name in self._trust_records:
                previous = self._trust_records.get(name)
                since = self._responsive_since.get(vm.fabric_domain)
                self._trust_records[name] = _update_trust_record(
                    previous, name in present, since, now
                )
        for name in set(self._trust_records) - set(vms):
            record = trust.observe(self._trust_records[name], False, now)
            self._trust_records[name] = record
            if now - record.changed_at > trust.MAX_DISTRUST:
                del self._trust_records[name]

    def _read_rows(self, fabric_domain: str) -> assignment.Rows:
        table_rows: list[table_module.Row] = []
        for prefix in (
            f"{model.VM_PREFIX}{fabric_domain}/",
            model.REPLICA_PREFIX,
            model.CAPACITY_PREFIX,
        ):
            table_rows.extend(table_module.read_all(self._table, prefix))
        return assignment.Rows(by_key={row.key: row for row in table_rows})

    def _build_cached_rows(self) -> assignment.Rows:
        rows = self._directory.get_rows().values()
        return assignment.Rows(
            by_key={
                model.replica_key(row): table_module.Row(
                    key=model.replica_key(row),
                    version=table_module.ABSENT,
                    write_id="",
                    value=msgspec.to_builtins(row),
                )
                for row in rows
            }
        )

    def _build_view(
        self, fabric_domain: str, rows: assignment.Rows
    ) -> formation.View:
        assigned: dict[str, model.VmRow] = {}
        replicas: dict[str, model.ReplicaRow] = {}
        other_domain_replicas: dict[str, model.ReplicaRow] = {}
        capacity: dict[str, model.CapacityRow] = {}
        for key, row in rows.by_key.items():
            name = key.rpartition("/")[2]
            if key.startswith(model.VM_PREFIX):
                assigned[name] = row.decode(model.VmRow)
            elif key.startswith(model.REPLICA_PREFIX):
                replica = row.decode(model.ReplicaRow)
                is_local = replica.fabric_domain == fabric_domain
                (replicas if is_local else other_domain_replicas)[name] = (
                    replica
                )
            else:
                capacity[name] = row.decode(model.CapacityRow)
        now = self._clock.monotonic()
        versions = self._config.get_snapshot().services.values()
        fleet = self._board.get_vms()
        return formation.View(
            now=now,
            fabric_domain=fabric_domain,
            services=tuple(
                item.service for item in versions if item.service.model
            ),
            vms={
                name: vm
                for name, vm in fleet.items()
                if vm.fabric_domain == fabric_domain
            },
            assigned=assigned,
            replicas=replicas,
            capacity=capacity,
            reports=self._board.get_reports(),
            other_domain_replicas=other_domain_replicas,
            fleet=fleet,
            distrusted=frozenset(
                name
                for name, record in self._trust_records.items()
                if trust.is_distrusted(record, now)
            ),
            stuck=self._find_stuck(fabric_domain, replicas, now),
            phase_since=self._track_phases(fabric_domain, replicas, now),
            observing_since=self._observing_since,
        )

    def _find_stuck(
        self,
        fabric_domain: str,
        replicas: dict[str, model.ReplicaRow],
        now: datetime.timedelta,
    ) -> frozenset[str]:
        reports = self._board.get_reports()
        stuck = readiness.find_stuck(replicas, reports, self._unready, now)
        for name in stuck - self._stuck.get(fabric_domain, frozenset()):
            # Recorded as a failure and a return, so that it is distrusted.
            failed_record = trust.observe(
                self._trust_records.get(name), False, now
            )
            self._trust_records[name] = trust.observe(failed_record, True, now)
            eliot.log_message("controller:member_stuck", vm=name)
        self._stuck[fabric_domain] = stuck
        return stuck

    def _track_phases(
        self,
        fabric_domain: str,
        replicas: dict[str, model.ReplicaRow],
        now: datetime.timedelta,
    ) -> dict[str, datetime.timedelta]:
        starts: dict[str, datetime.timedelta] = {}
        for name, row in replicas.items():
            phase_start = self._phase_starts.get(f"{fabric_domain}/{name}")
            if phase_start is None or phase_start[0] != row.phase:
                phase_start = (row.phase, now)
            starts[name] = phase_start[1]
        prefix = f"{fabric_domain}/"
        for key in [
            key for key in self._phase_starts if key.startswith(prefix)
        ]:
            del self._phase_starts[key]
        for name, since in starts.items():
            self._phase_starts[prefix + name] = (replicas[name].phase, since)
        return starts

    def _execute_one_decision(
        self, duty: str, view: formation.View, rows: assignment.Rows
    ) -> bool:
        """Commits the first decision that the table accepts.

        Returns:
            Whether a decision was committed.
        """
        for decision in formation.plan(view):
            built = self._condition_on_approval(
                decision,
                assignment.build_assignment(decision, view.vms, rows),
                rows,
            )
            if built is None:
                continue
            if self._leases.get_active_epoch(duty) is None:
                return False
            if self._commit(duty, decision, built):
                return True
        return False

    def _condition_on_approval(
        self,
        decision: formation.Decision,
        built: assignment.Assignment,
        rows: assignment.Rows,
    ) -> assignment.Assignment | None:
        """Makes a transaction conditional on the newest approval if needed.

        The configuration that this daemon has in force may be older than the
        newest accepted one, which may approve fewer accelerators. A decision
        that assigns more accelerators is therefore checked against the newest
        one and conditioned on it. Likewise, replicas of a service that the
        configuration in force lacks are drained or dissolved only if the
        newest one lacks it too.

        Returns:
            The assignment to commit, or None if the newest accepted
            configuration does not permit the decision.
        """
        added = assignment.count_added_accelerators(decision, built)
        name = _get_service_name(decision)
        is_release = isinstance(decision, formation.Drain | formation.Dissolve)
        if added <= 0 and not (is_release and self._is_unconfigured(name)):
            return built
        row = self._table.read(keys.service_key(name))
        if is_release:
            return built if row is None else None
        if row is None:
            return None
        approved = row.decode(config_model.ServiceVersion).service
        total = rows.get_capacity(name).accelerators + added
        if total > approved.limits.accelerators:
            return None
        if isinstance(decision, formation.Form) and (
            approved.model != decision.service.model
        ):
            return None
        condition = table_module.Condition(key=row.key, version=row.version)
        conditions = (*built.transaction.conditions, condition)
        transaction = dataclasses.replace(
            built.transaction, conditions=conditions
        )
        return dataclasses.replace(built, transaction=transaction)

    def _is_unconfigured(self, service: str) -> bool:
        return self._config.get_snapshot().find(service) is None

    def _commit(
        self,
        duty: str,
        decision: formation.Decision,
        built: assignment.Assignment,
    ) -> bool:
        action, subject, before = _describe(decision, built)
        entry = trail.Entry(
            actor=self._identity,
            action=action,
            subject=subject,
            before=before,
            after="" if built.row is None else str(built.row.generation),
            reason=decision.reason,
            time=self._clock.now(),
        )
        transaction = trail.append_entry(
            self._table, built.transaction, duty, entry
        )
        result = table_module.commit(self._table, transaction, self._clock)
        eliot.log_message(action, subject=subject, committed=result.is_ok())
        return result.is_ok()

    def _send_orders(self, duty: str, view: formation.View) -> None:
        targets: dict[str, model.ReplicaRow] = {}
        for row in self._choose_replicas_to_load(view):
            targets.update({member.name: row for member in row.members})
        readiness.update_unready(self._unready, view, targets)
        waiting_members = {
            member.name
            for row in view.replicas.values()
            for member in row.members
        } - set(targets)
        orders = {
            name: _build_order(targets.get(name), view.reports.get(name))
            for name in view.vms
            if name not in waiting_members
        }
        if not waiting_members:
            orders.update(self._build_preload_orders(view, orders))
        self._send_all(duty, view, orders, is_outage_repair=False)

    def _build_preload_orders(
        self,
        view: formation.View,
        orders: dict[str, protocol.Order | None],
    ) -> dict[str, protocol.Order | None]:
        """Returns preload orders for VMs that are not replica members."""
        now = self._clock.monotonic()
        models = formation.choose_preloads(view)
        for name in set(self._preloaded_at) - set(view.fleet):
            del self._preloaded_at[name]
        preload_orders: dict[str, protocol.Order | None] = {}
        for name, model_name in models.items():
            last = self._preloaded_at.get(name)
            is_recent = last is not None and now - last < PRELOAD_INTERVAL
            if orders.get(name) is None and not is_recent:
                self._preloaded_at[name] = now
                preload_orders[name] = protocol.Order(
                    replica="", generation=0, epoch=0, model=model_name
                )
        return preload_orders

    def _choose_replicas_to_load(
        self, view: formation.View
    ) -> list[model.ReplicaRow]:
        loads: dict[str, int] = {}
        values: dict[str, float] = {}
        for name, row in view.replicas.items():
            names = [
                member.name
                for member in row.members
                if _build_order(row, view.reports.get(member.name)) is not None
            ]
            loads[name] = worth.count_loads(names, row.model, view.reports)
            values[name] = formation.compute_replica_repair_value(view, row)
        loading = sum(
            view.reports[name].status.state == protocol.State.LOADING
            for name in view.vms
            if name in view.reports
        )
        chosen = worth.choose_loads(
            values, loads, loading, MAX_CONCURRENT_LOADS
        )
        return [view.replicas[name] for name in chosen]

    def _send_all(
        self,
        duty: str,
        view: formation.View,
        orders: dict[str, protocol.Order | None],
        is_outage_repair: bool,
    ) -> None:
        greenlets = [
            gevent.spawn(
                self._send_order,
                duty,
                view.vms[name].address,
                order,
                is_outage_repair,
            )
            for name, order in orders.items()
            if order is not None
        ]
        gevent.joinall(greenlets)

    def _send_order(
        self,
        duty: str,
        address: str,
        order: protocol.Order,
        is_outage_repair: bool,
    ) -> None:
        epoch = self._leases.get_active_epoch(duty)
        if is_outage_repair:
            row = self._leases.get_last_row(duty)
            epoch = None if row is None else row.epoch
        if epoch is None:
            return
        fenced = dataclasses.replace(order, epoch=epoch)
        try:
            result = self._engines.get(address).send_order(fenced)
        except errors.UnreachableError as error:
            eliot.log_message("order:failed", to=address, reason=str(error))
            return
        eliot.log_message(
            "order:sent",
            to=address,
            replica=order.replica,
            generation=order.generation,
            accepted=result.is_ok(),
        )

    def _was_last_holder(self, duty: str) -> bool:
        row = self._leases.get_last_row(duty)
        return row is not None and row.holder == self._identity

    def _record_outage_repair(
        self, duty: str, repair: formation.Replace
    ) -> None:
        previous = self._outage_repairs.get(repair.row.replica)
        if previous is not None and previous.members == repair.members:
            return  # recorded already; its orders are repeated until applied
        if len(self._journal) >= MAX_JOURNAL_ENTRIES:
            eliot.log_message("controller:journal_full", duty=duty)
            return
        generation = repair.generation
        if previous is not None:
            generation = max(generation, previous.generation + 1)
        entry = trail.Entry(
            actor=self._identity,
            action="replica.repaired_from_plan",
            subject=repair.row.replica,
            before=str(repair.row.generation),
            after=str(generation),
            reason=repair.reason,
            time=self._clock.now(),
        )
        self._journal.append((duty, entry))
        self._outage_repairs[repair.row.replica] = dataclasses.replace(
            repair.row,
            generation=generation,
            members=repair.members,
            spares=repair.spares,
        )

    def _send_outage_repairs(self, duty: str, view: formation.View) -> None:
        orders: dict[str, protocol.Order | None] = {}
        for name, row in self._outage_repairs.items():
            if name not in view.replicas:
                continue
            current = serving.resolve_effective_row(
                view.replicas[name], view.reports
            )
            if current.generation >= row.generation:
                # A repair by another daemon may have superseded this one.
                row = current
            for member in row.members:
                report = view.reports.get(member.name)
                if member.name in view.vms and not _is_ahead(report, row):
                    orders[member.name] = _build_order(row, report)
        self._send_all(duty, view, orders, is_outage_repair=True)

    def _run(self) -> None:
        while True:
            for domain in self.list_domains():
                self._leases.register_candidate(DUTY_PREFIX + domain)
                self.run_domain(domain)
            self._clock.sleep(INTERVAL)

    def _is_table_down(self) -> bool:
        read_at = self._directory.get_read_time()
        if read_at is None:
            return False
        return self._clock.monotonic() - read_at >= OUTAGE_AFTER


def _update_trust_record(
    record: trust.Record | None,
    is_present: bool,
    responsive_since: datetime.timedelta | None,
    now: datetime.timedelta,
) -> trust.Record:
    """Returns the updated trust record of a VM.

    An outage of the whole fabric domain does not count as a failure of its
    VMs.

    Args:
        record: the record so far, or None.
        is_present: whether the VM is listed and has a recent status.
        responsive_since: since when the fabric domain has had a responsive
            VM; None if it has none.
        now: the monotonic time.
    """
    if is_present or record is None:
        return trust.observe(record, is_present, now)
    if responsive_since is None:
        # Statuses differ in age, so at the start of a domain outage some VMs
        # were recorded as absent before the others. This is reverted.
        if (
            not record.is_present
            and now - record.changed_at <= formation.UNRESPONSIVE_AFTER
        ):
            return dataclasses.replace(record, is_present=True)
        return record
    if now - responsive_since < formation.UNRESPONSIVE_AFTER:
        return record
    return trust.observe(record, False, now)


def _is_ahead(report: model.StatusReport | None, row: model.ReplicaRow) -> bool:
    """Returns whether a VM reports another replica or a newer generation."""
    if report is None:
        return False
    status = report.status
    if status.replica not in ("", row.replica):
        return True
    return status.replica == row.replica and status.generation > row.generation


def _build_order(
    row: model.ReplicaRow | None, report: model.StatusReport | None
) -> protocol.Order | None:
    if report is None:
        return None
    status = report.status
    if row is None:
        if not status.replica:
            return None
        return protocol.Order(replica="", generation=0, epoch=0)
    names = tuple(member.name for member in row.members)
    current = (status.replica, status.generation, status.members)
    if current == (row.replica, row.generation, names):
        return None
    return protocol.Order(
        replica=row.replica,
        generation=row.generation,
        epoch=0,
        model=row.model,
        members=row.members,
    )


def _get_service_name(decision: formation.Decision) -> str:
    match decision:
        case formation.Form(service=service):
            return service.name
        case _:
            return decision.row.service


def _describe(
    decision: formation.Decision, built: assignment.Assignment
) -> tuple[str, str, str]:
    """Returns the action, subject and former generation for the audit."""
    match decision:
        case formation.Form():
            assert built.row is not None
            return "replica.formed", built.row.replica, ""
        case formation.Replace(row=row):
            has_new_members = decision.members != row.members
            action = (
                "replica.repaired"
                if has_new_members
                else "replica.spares_changed"
            )
            return action, row.replica, str(row.generation)
        case formation.Drain(row=row):
            return "replica.drained", row.replica, str(row.generation)
        case formation.Dissolve(row=row):
            return "replica.dissolved", row.replica, str(row.generation)
