"""Carries out formation decisions for the fabric domains under lease.

The lease is checked immediately before each effect. It only saves double work;
the transactions in `assignment` are what keeps a VM in one replica.
"""

import datetime

import eliot
import gevent

from arbutuscove.audit import trail
from arbutuscove.config import follower
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.leases import holder
from arbutuscove.platform import table as table_module
from arbutuscove.replicas import assignment
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import formation
from arbutuscove.replicas import model
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import pool
from arbutuscove.upstreams import protocol

SERVICE_NAME = "controller"
DUTY_PREFIX = "fabric/"
INTERVAL = datetime.timedelta(milliseconds=500)


class ReplicaController(services.BaseService):
    """Forms, repairs and dissolves replicas, and sends orders to VMs."""

    def __init__(
        self,
        identity: str,
        table: table_module.Table,
        clock: clock_module.Clock,
        config: follower.ConfigFollower,
        leases: holder.LeaseHolder,
        board: board_module.StatusBoard,
        engines: pool.EnginePool,
    ) -> None:
        self._identity = identity
        self._table = table
        self._clock = clock
        self._config = config
        self._leases = leases
        self._board = board
        self._engines = engines
        self._greenlet: gevent.Greenlet | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Begins to control."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends control."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def step(self, fabric_domain: str) -> None:
        """Plans and acts once for one fabric domain.

        Raises:
            TableError: a row could not be read or written.
        """
        duty = DUTY_PREFIX + fabric_domain
        if self._leases.epoch(duty) is None:
            return
        rows = self._read_rows(fabric_domain)
        view = self._build_view(fabric_domain, rows)
        replicas = dict(view.replicas)
        for decision in formation.plan(view):
            built = assignment.build(decision, view.vms, rows)
            if self._leases.epoch(duty) is None:
                return
            if self._commit(duty, decision, built):
                _apply(replicas, decision, built)
                break  # the rows have changed; the next step reads them anew
        self._send_orders(duty, view, replicas)

    def _read_rows(self, fabric_domain: str) -> assignment.Rows:
        found: list[table_module.Row] = []
        for prefix in (
            f"{model.VM_PREFIX}{fabric_domain}/",
            f"{model.REPLICA_PREFIX}{fabric_domain}/",
            model.CAPACITY_PREFIX,
        ):
            found.extend(table_module.read_all(self._table, prefix))
        return assignment.Rows(by_key={row.key: row for row in found})

    def _build_view(
        self, fabric_domain: str, rows: assignment.Rows
    ) -> formation.View:
        assigned: dict[str, model.VmRow] = {}
        replicas: dict[str, model.ReplicaRow] = {}
        capacity: dict[str, model.CapacityRow] = {}
        for key, row in rows.by_key.items():
            name = key.rpartition("/")[2]
            if key.startswith(model.VM_PREFIX):
                assigned[name] = row.decode(model.VmRow)
            elif key.startswith(model.REPLICA_PREFIX):
                replicas[name] = row.decode(model.ReplicaRow)
            else:
                capacity[name] = row.decode(model.CapacityRow)
        versions = self._config.current().services.values()
        return formation.View(
            now=self._clock.monotonic(),
            fabric_domain=fabric_domain,
            services=tuple(
                item.service for item in versions if item.service.model
            ),
            vms={
                name: vm
                for name, vm in self._board.vms().items()
                if vm.fabric_domain == fabric_domain
            },
            assigned=assigned,
            replicas=replicas,
            capacity=capacity,
            seen=self._board.seen(),
        )

    def _commit(
        self,
        duty: str,
        decision: formation.Decision,
        built: assignment.Assignment,
    ) -> bool:
        action, subject = _describe(decision, built)
        entry = trail.Entry(
            actor=self._identity,
            action=action,
            subject=subject,
            before="",
            after="" if built.row is None else str(built.row.generation),
            reason=_explain(decision),
            time=self._clock.now(),
        )
        transaction = trail.append_to(
            self._table, built.transaction, duty, entry
        )
        done = table_module.commit(self._table, transaction, self._clock)
        eliot.log_message(action, subject=subject, committed=done.is_ok())
        return done.is_ok()

    def _send_orders(
        self,
        duty: str,
        view: formation.View,
        replicas: dict[str, model.ReplicaRow],
    ) -> None:
        wanted: dict[str, model.ReplicaRow] = {}
        for row in replicas.values():
            wanted.update({member.name: row for member in row.members})
        jobs = []
        for name, vm in view.vms.items():
            report = view.seen.get(name)
            order = _build_order(wanted.get(name), report)
            if order is None:
                continue
            jobs.append(gevent.spawn(self._order, duty, vm.address, order))
        gevent.joinall(jobs)

    def _order(self, duty: str, address: str, order: protocol.Order) -> None:
        epoch = self._leases.epoch(duty)
        if epoch is None:
            return
        fenced = protocol.Order(
            replica=order.replica,
            generation=order.generation,
            epoch=epoch,
            model=order.model,
            members=order.members,
        )
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

    def _run(self) -> None:
        while True:
            domains = {vm.fabric_domain for vm in self._board.vms().values()}
            for domain in sorted(domains):
                self._leases.stand_for(DUTY_PREFIX + domain)
                try:
                    self.step(domain)
                except table_module.TableError as error:
                    eliot.log_message(
                        "controller:step_failed",
                        fabric_domain=domain,
                        reason=str(error),
                    )
            self._clock.sleep(INTERVAL)


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


def _apply(
    replicas: dict[str, model.ReplicaRow],
    decision: formation.Decision,
    built: assignment.Assignment,
) -> None:
    if built.row is not None:
        replicas[built.row.replica] = built.row
    elif isinstance(decision, formation.Dissolve):
        replicas.pop(decision.row.replica, None)


def _describe(
    decision: formation.Decision, built: assignment.Assignment
) -> tuple[str, str]:
    match decision:
        case formation.Form():
            assert built.row is not None
            return "replica.formed", built.row.replica
        case formation.Replace(row=row):
            return "replica.repaired", row.replica
        case formation.Dissolve(row=row):
            return "replica.dissolved", row.replica


def _explain(decision: formation.Decision) -> str:
    match decision:
        case formation.Form():
            return "the service has fewer replicas than promised"
        case formation.Replace():
            return "a member is lost and a spare takes its place"
        case formation.Dissolve():
            return "members are lost and no spare is left, or no service"
