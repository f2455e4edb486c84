"""Carries out formation decisions for the fabric domains under lease.

The lease is checked immediately before each effect. It only saves double work;
the transactions in `assignment` are what keeps a VM in one replica.

While the table is down, no lease can be renewed. Then the plan written in a
replica's row, not the lease, permits its repair: its spares are reserved for
it, so daemons that repair it at once can only mix VMs that are its own.
"""

import dataclasses
import datetime

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
from arbutuscove.replicas import trust
from arbutuscove.replicas import worth
from arbutuscove.storage import table as table_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import pool
from arbutuscove.upstreams import protocol

SERVICE_NAME = "controller"
DUTY_PREFIX = "fabric/"
INTERVAL = datetime.timedelta(milliseconds=500)
DECISIONS_PER_STEP = 8  # bounds the time between two checks of statuses
# VMs of one domain that load weights at once: two replicas of the target size.
LOAD_PERMITS = 64
# The table counts as down after this long without a successful read.
OUTAGE_AFTER = datetime.timedelta(seconds=5)
# Daemons other than the last holder repair only what it left unrepaired.
FALLBACK_AFTER = datetime.timedelta(seconds=20)
# Written plans permit repairs for this long after they were last read.
PLAN_VALID_FOR = datetime.timedelta(minutes=15)
# An engine may not report weights that it holds outside a replica, so an order
# to load them is not repeated sooner.
PRELOAD_INTERVAL = datetime.timedelta(minutes=2)
JOURNAL_LIMIT = 1000  # audit entries kept in an outage; then repairs stop


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
    ) -> None:
        self._identity = identity
        self._table = table
        self._clock = clock
        self._config = config
        self._leases = leases
        self._board = board
        self._directory = directory
        self._engines = engines
        self._watching_since = clock.monotonic()
        self._trust: dict[str, trust.Record] = {}
        self._preloaded: dict[str, datetime.timedelta] = {}
        # Since when each fabric domain has had any VM present.
        self._sighted: dict[str, datetime.timedelta] = {}
        self._phases: dict[str, tuple[model.Phase, datetime.timedelta]] = {}
        self._unready: dict[str, readiness.Unready] = {}
        self._stuck: dict[str, frozenset[str]] = {}  # by fabric domain
        self._broken: dict[str, datetime.timedelta] = {}
        self._repaired: dict[str, model.ReplicaRow] = {}
        self._pending: table_module.Transaction | None = None
        self._journal: list[tuple[str, trail.Entry]] = []

    def start(self, kernel: services.Kernel) -> None:
        """Begins to control."""
        self.run_loop(self._run)

    def domains(self) -> list[str]:
        """Returns the fabric domains that need a controller."""
        domains = {vm.fabric_domain for vm in self._board.vms().values()}
        # The rows of a domain outlast its VMs in the VM list.
        rows = self._directory.rows().values()
        domains.update(row.fabric_domain for row in rows)
        return sorted(domains)

    def run_domain(self, domain: str) -> None:
        """Does one round for a fabric domain, with or without the table."""
        try:
            if self._is_table_down():
                self.repair_from_plan(domain)
                return
            self.flush_journal()
            self.step(domain)
        except table_module.TableError as error:
            eliot.log_message(
                "controller:step_failed",
                fabric_domain=domain,
                reason=str(error),
            )

    def step(self, fabric_domain: str) -> None:
        """Plans and acts once for one fabric domain.

        Raises:
            TableError: a row could not be read or written.
        """
        self.watch()
        duty = DUTY_PREFIX + fabric_domain
        if (
            self._leases.get_active_epoch(duty) is None
            or not self._config.is_loaded()
        ):
            return
        self.flush_journal()
        for _ in range(DECISIONS_PER_STEP):
            rows = self._read_rows(fabric_domain)
            view = self._build_view(fabric_domain, rows)
            if not self._decide(duty, view, rows):
                break
        else:
            return  # the rows have changed; the next step reads them anew
        self._send_orders(duty, view)

    def repair_from_plan(self, fabric_domain: str) -> None:
        """Repairs replicas from their reserved spares without the table."""
        self.watch()
        now = self._clock.monotonic()
        read_at = self._directory.read_at()
        if read_at is None or not self._config.is_loaded():
            return
        if not OUTAGE_AFTER <= now - read_at < PLAN_VALID_FOR:
            return
        duty = DUTY_PREFIX + fabric_domain
        view = self._build_view(fabric_domain, self._cached_rows())
        repairs = formation.plan_outage(view)
        broken = {repair.row.replica for repair in repairs}
        for name in set(self._broken) - broken:
            if name in view.replicas:
                del self._broken[name]
        for repair in repairs:
            since = self._broken.setdefault(repair.row.replica, now)
            if not self._was_holder(duty) and now - since < FALLBACK_AFTER:
                continue
            self._repair_now(duty, repair)
        self._send_repairs(duty, view)

    def flush_journal(self) -> None:
        """Writes the audit entries of repairs made during an outage.

        Raises:
            TableError: an entry could not be written; it is kept.
        """
        while self._journal:
            duty, entry = self._journal[0]
            if self._pending is None:
                empty = table_module.Transaction(conditions=(), writes=())
                self._pending = trail.append_entry(
                    self._table, empty, duty, entry
                )
            if self._settle(self._pending):
                self._journal.pop(0)
            self._pending = None
        self._repaired.clear()

    def _settle(self, pending: table_module.Transaction) -> bool:
        # The same transaction is sent again after an unknown outcome, since a
        # new one would write the entry twice.
        done = table_module.commit(self._table, pending, self._clock)
        if done.is_ok():
            return True
        row = self._table.read(pending.writes[-1].key)
        return row is not None and row.write_id == pending.write_id

    def watch(self) -> None:
        """Records which VMs are present, lost or back."""
        now = self._clock.monotonic()
        seen = self._board.seen()
        vms = self._board.vms()
        present = {
            name
            for name in vms
            if name in seen and now - seen[name].at <= formation.LOST_AFTER
        }
        sighted = {vms[name].fabric_domain for name in present}
        for domain in set(self._sighted) - sighted:
            del self._sighted[domain]
        for domain in sighted:
            self._sighted.setdefault(domain, now)
        for name, vm in vms.items():
            if name in seen or name in self._trust:
                known = self._trust.get(name)
                since = self._sighted.get(vm.fabric_domain)
                self._trust[name] = _judge(known, name in present, since, now)
        for name in set(self._trust) - set(vms):
            record = trust.observe(self._trust[name], False, now)
            self._trust[name] = record
            if now - record.since > trust.LONGEST:
                del self._trust[name]

    def _read_rows(self, fabric_domain: str) -> assignment.Rows:
        found: list[table_module.Row] = []
        for prefix in (
            f"{model.VM_PREFIX}{fabric_domain}/",
            model.REPLICA_PREFIX,
            model.CAPACITY_PREFIX,
        ):
            found.extend(table_module.read_all(self._table, prefix))
        return assignment.Rows(by_key={row.key: row for row in found})

    def _cached_rows(self) -> assignment.Rows:
        rows = self._directory.rows().values()
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
        others: dict[str, model.ReplicaRow] = {}
        capacity: dict[str, model.CapacityRow] = {}
        for key, row in rows.by_key.items():
            name = key.rpartition("/")[2]
            if key.startswith(model.VM_PREFIX):
                assigned[name] = row.decode(model.VmRow)
            elif key.startswith(model.REPLICA_PREFIX):
                replica = row.decode(model.ReplicaRow)
                inside = replica.fabric_domain == fabric_domain
                (replicas if inside else others)[name] = replica
            else:
                capacity[name] = row.decode(model.CapacityRow)
        now = self._clock.monotonic()
        versions = self._config.get_snapshot().services.values()
        fleet = self._board.vms()
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
            seen=self._board.seen(),
            others=others,
            fleet=fleet,
            distrusted=frozenset(
                name
                for name, record in self._trust.items()
                if trust.is_distrusted(record, now)
            ),
            stuck=self._find_stuck(fabric_domain, replicas, now),
            draining_since=self._note_phases(fabric_domain, replicas, now),
            watching_since=self._watching_since,
        )

    def _find_stuck(
        self,
        fabric_domain: str,
        replicas: dict[str, model.ReplicaRow],
        now: datetime.timedelta,
    ) -> frozenset[str]:
        seen = self._board.seen()
        found = readiness.find_stuck(replicas, seen, self._unready, now)
        for name in found - self._stuck.get(fabric_domain, frozenset()):
            # It counts as lost and back, so that it is chosen last from now.
            lost = trust.observe(self._trust.get(name), False, now)
            self._trust[name] = trust.observe(lost, True, now)
            eliot.log_message("controller:member_stuck", vm=name)
        self._stuck[fabric_domain] = found
        return found

    def _note_phases(
        self,
        fabric_domain: str,
        replicas: dict[str, model.ReplicaRow],
        now: datetime.timedelta,
    ) -> dict[str, datetime.timedelta]:
        found: dict[str, datetime.timedelta] = {}
        for name, row in replicas.items():
            known = self._phases.get(f"{fabric_domain}/{name}")
            if known is None or known[0] != row.phase:
                known = (row.phase, now)
            found[name] = known[1]
        inside = f"{fabric_domain}/"
        for key in [key for key in self._phases if key.startswith(inside)]:
            del self._phases[key]
        for name, since in found.items():
            self._phases[inside + name] = (replicas[name].phase, since)
        return found

    def _decide(
        self, duty: str, view: formation.View, rows: assignment.Rows
    ) -> bool:
        """Carries out the first decision that commits; returns if one did."""
        for decision in formation.plan(view):
            built = self._condition_on_approval(
                decision, assignment.build(decision, view.vms, rows), rows
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
        """Binds a decision that assigns more to what is approved now.

        The configuration in force here may be older than an accepted one that
        approves less. Returns None if the newest one does not permit the
        decision.
        """
        added = assignment.count_added(decision, built)
        name = _read_service_name(decision)
        drops = isinstance(decision, formation.Drain | formation.Dissolve)
        if added <= 0 and not (drops and self._is_unknown(name)):
            return built
        row = self._table.read(keys.service_key(name))
        if drops:
            return built if row is None else None
        if row is None:
            return None
        approved = row.decode(config_model.ServiceVersion).service
        total = rows.capacity(name).accelerators + added
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

    def _is_unknown(self, service: str) -> bool:
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
        done = table_module.commit(self._table, transaction, self._clock)
        eliot.log_message(action, subject=subject, committed=done.is_ok())
        return done.is_ok()

    def _send_orders(self, duty: str, view: formation.View) -> None:
        wanted: dict[str, model.ReplicaRow] = {}
        for row in self._choose_loads(view):
            wanted.update({member.name: row for member in row.members})
        readiness.note(self._unready, view, wanted)
        waiting = {
            member.name
            for row in view.replicas.values()
            for member in row.members
        } - set(wanted)
        orders = {
            name: _build_order(wanted.get(name), view.seen.get(name))
            for name in view.vms
            if name not in waiting
        }
        if not waiting:
            orders.update(self._preload(view, orders))
        self._send_all(duty, view, orders, from_plan=False)

    def _preload(
        self,
        view: formation.View,
        orders: dict[str, protocol.Order | None],
    ) -> dict[str, protocol.Order | None]:
        """Returns orders by which VMs outside replicas load weights."""
        now = self._clock.monotonic()
        wanted = formation.choose_preloads(view)
        for name in set(self._preloaded) - set(view.fleet):
            del self._preloaded[name]
        found: dict[str, protocol.Order | None] = {}
        for name, kind in wanted.items():
            last = self._preloaded.get(name)
            recent = last is not None and now - last < PRELOAD_INTERVAL
            if orders.get(name) is None and not recent:
                self._preloaded[name] = now
                found[name] = protocol.Order(
                    replica="", generation=0, epoch=0, model=kind
                )
        return found

    def _choose_loads(self, view: formation.View) -> list[model.ReplicaRow]:
        loads: dict[str, int] = {}
        values: dict[str, float] = {}
        for name, row in view.replicas.items():
            names = [
                member.name
                for member in row.members
                if _build_order(row, view.seen.get(member.name)) is not None
            ]
            loads[name] = worth.count_loads(names, row.model, view.seen)
            values[name] = formation.weigh_replica(view, row)
        loading = sum(
            view.seen[name].status.state == protocol.State.LOADING
            for name in view.vms
            if name in view.seen
        )
        chosen = worth.choose_loads(values, loads, loading, LOAD_PERMITS)
        return [view.replicas[name] for name in chosen]

    def _send_all(
        self,
        duty: str,
        view: formation.View,
        orders: dict[str, protocol.Order | None],
        from_plan: bool,
    ) -> None:
        jobs = [
            gevent.spawn(
                self._order, duty, view.vms[name].address, order, from_plan
            )
            for name, order in orders.items()
            if order is not None
        ]
        gevent.joinall(jobs)

    def _order(
        self, duty: str, address: str, order: protocol.Order, from_plan: bool
    ) -> None:
        epoch = self._leases.get_active_epoch(duty)
        if from_plan:
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

    def _was_holder(self, duty: str) -> bool:
        row = self._leases.get_last_row(duty)
        return row is not None and row.holder == self._identity

    def _repair_now(self, duty: str, repair: formation.Replace) -> None:
        known = self._repaired.get(repair.row.replica)
        if known is not None and known.members == repair.members:
            return  # its orders are still on their way
        if len(self._journal) >= JOURNAL_LIMIT:
            eliot.log_message("controller:journal_full", duty=duty)
            return
        generation = repair.generation
        if known is not None:
            generation = max(generation, known.generation + 1)
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
        self._repaired[repair.row.replica] = dataclasses.replace(
            repair.row,
            generation=generation,
            members=repair.members,
            spares=repair.spares,
        )

    def _send_repairs(self, duty: str, view: formation.View) -> None:
        orders: dict[str, protocol.Order | None] = {}
        for name, row in self._repaired.items():
            if name not in view.replicas:
                continue
            current = serving.find_effective(view.replicas[name], view.seen)
            if current.generation >= row.generation:
                # Another daemon's repair may be the one that prevails.
                row = current
            for member in row.members:
                report = view.seen.get(member.name)
                if member.name in view.vms and not _is_ahead(report, row):
                    orders[member.name] = _build_order(row, report)
        self._send_all(duty, view, orders, from_plan=True)

    def _run(self) -> None:
        while True:
            for domain in self.domains():
                self._leases.register_candidate(DUTY_PREFIX + domain)
                self.run_domain(domain)
            self._clock.sleep(INTERVAL)

    def _is_table_down(self) -> bool:
        read_at = self._directory.read_at()
        if read_at is None:
            return False
        return self._clock.monotonic() - read_at >= OUTAGE_AFTER


def _judge(
    known: trust.Record | None,
    present: bool,
    sighted: datetime.timedelta | None,
    now: datetime.timedelta,
) -> trust.Record:
    """Returns the record of a VM; a dark domain is no fault of its VMs."""
    if present or known is None:
        return trust.observe(known, present, now)
    if sighted is None:
        # Statuses are not all of one age: some VMs counted as lost first.
        if not known.present and now - known.since <= formation.LOST_AFTER:
            return dataclasses.replace(known, present=True)
        return known
    if now - sighted < formation.LOST_AFTER:
        return known
    return trust.observe(known, False, now)


def _is_ahead(report: model.Seen | None, row: model.ReplicaRow) -> bool:
    """Returns whether a VM follows a newer plan than this repair."""
    if report is None:
        return False
    status = report.status
    if status.replica not in ("", row.replica):
        return True
    return status.replica == row.replica and status.generation > row.generation


def _build_order(
    row: model.ReplicaRow | None, report: model.Seen | None
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


def _read_service_name(decision: formation.Decision) -> str:
    match decision:
        case formation.Form(service=service):
            return service.name
        case _:
            return decision.row.service


def _describe(
    decision: formation.Decision, built: assignment.Assignment
) -> tuple[str, str, str]:
    match decision:
        case formation.Form():
            assert built.row is not None
            return "replica.formed", built.row.replica, ""
        case formation.Replace(row=row):
            moved = decision.members != row.members
            action = "replica.repaired" if moved else "replica.spares_changed"
            return action, row.replica, str(row.generation)
        case formation.Drain(row=row):
            return "replica.drained", row.replica, str(row.generation)
        case formation.Dissolve(row=row):
            return "replica.dissolved", row.replica, str(row.generation)
