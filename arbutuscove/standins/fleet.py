"""In-memory fleet of VMs on a manual clock, with the VMs' own record of orders.

State machine tests and benchmarks run the product's real decision and control
code on it, without waiting in real time. Each daemon has its own view: it can
be partitioned from VMs and from the table, and the confirmations of its writes
can be lost.
"""

import dataclasses
import datetime
from collections import abc

import expression

from arbutuscove.config import acceptance
from arbutuscove.config import follower
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.leases import holder
from arbutuscove.membership import swim
from arbutuscove.peers import client
from arbutuscove.replicas import board
from arbutuscove.replicas import controller
from arbutuscove.replicas import directory
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import inventory
from arbutuscove.storage import table as table_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

REGROUP_TIME = datetime.timedelta(
    seconds=5
)  # of VMs that have loaded the weights
LOAD_TIME = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Start of an assignment on a VM, as recorded by the VM itself.

    Attributes:
        at: Time on the clock of the fleet.
        vm: Name of the VM.
        replica: Replica that the VM joined; empty if the order released it.
        generation: Generation of the replica.
        epoch: Fencing token of the order.
        members: Names of the replica's members.
    """

    at: datetime.timedelta
    vm: str
    replica: str
    generation: int
    epoch: int
    members: tuple[str, ...]


class FleetVm:
    """One VM with its engine.

    Attributes:
        up: Whether the VM answers.
        leaving: Whether the VM reports that it leaves the platform.
        running: Number of running requests that the VM reports.
        stuck_state: If set, the state that the VM reports in any replica
            instead of its progress.
        order: Order in force, or None without a replica.
    """

    def __init__(
        self,
        vm: inventory.Vm,
        clock: clock_module.Clock,
        check_fencing: bool,
        record: list[Run],
    ) -> None:
        self.vm = vm
        self.up = True
        self.leaving = False
        self.running = 0
        self.stuck_state: protocol.State | None = None
        self.order: protocol.Order | None = None
        self._clock = clock
        self._check_fencing = check_fencing
        self._record = record
        self._highest_epoch = 0
        self._model = ""
        self._preload = ""
        self._ready_at = datetime.timedelta()

    def restart(self) -> None:
        """Restarts the VM, which loses its order, weights and fencing token."""
        self.up = True
        self.leaving = False
        self.running = 0
        self.order = None
        self._highest_epoch = 0
        self._model = ""
        self._preload = ""

    def read_status(self) -> protocol.Status:
        """Returns the status that the VM reports."""
        order = self.order
        if order is None:
            ready = self._clock.monotonic() >= self._ready_at
            if self._preload and ready:
                self._model = self._preload
            return protocol.Status(
                vm=self.vm.name,
                state=protocol.State.IDLE,
                model=self._model,
                leaving=self.leaving,
            )
        ready = self._clock.monotonic() >= self._ready_at
        state = protocol.State.READY if ready else protocol.State.LOADING
        return protocol.Status(
            vm=self.vm.name,
            state=self.stuck_state or state,
            replica=order.replica,
            generation=order.generation,
            model=self._model,
            members=tuple(member.name for member in order.members),
            slots=8,
            running=self.running,
            leaving=self.leaving,
        )

    def handle_order(
        self, order: protocol.Order
    ) -> expression.Result[protocol.Status, errors.OrderRefused]:
        """Executes an order unless its fencing token is stale.

        With fencing checks disabled, stale orders are executed, too.

        Returns:
            The new status, or a refusal with code `STALE_EPOCH`.
        """
        if self._check_fencing and order.epoch < self._highest_epoch:
            refused = errors.OrderRefused(code=protocol.STALE_EPOCH)
            return expression.Error(refused)
        self._highest_epoch = max(order.epoch, self._highest_epoch)
        current = self.order
        if current is None or dataclasses.replace(
            current, epoch=order.epoch
        ) != (order):
            self._apply_order(order)
        return expression.Ok(self.read_status())

    def _apply_order(self, order: protocol.Order) -> None:
        self.order = order if order.replica else None
        self.running = 0
        now = self._clock.monotonic()
        if order.model == self._model:
            self._ready_at = now + REGROUP_TIME
        elif order.model and order.model == self._preload:
            # A load of these weights that is already in progress continues.
            self._ready_at = max(self._ready_at, now + REGROUP_TIME)
        else:
            self._ready_at = now + LOAD_TIME
        # An order without a replica preloads weights: the VM reports the model
        # only after the load.
        self._preload = "" if order.replica else order.model
        if order.replica:
            self._model = order.model
        self._record.append(
            Run(
                at=self._clock.monotonic(),
                vm=self.vm.name,
                replica=order.replica,
                generation=order.generation,
                epoch=order.epoch,
                members=tuple(member.name for member in order.members),
            )
        )


class Fleet:
    """All VMs and the platform's VM list.

    Attributes:
        record: Assignments of all VMs in order of their start.
        vms: VMs by name.
        unlisted: Names of VMs that the VM list leaves out.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        vms: abc.Iterable[inventory.Vm],
        check_fencing: bool = True,
    ) -> None:
        self.record: list[Run] = []
        self.vms = {
            vm.name: FleetVm(vm, clock, check_fencing, self.record)
            for vm in vms
        }
        self.unlisted: set[str] = set()

    def list_vms(self) -> list[inventory.Vm]:
        """Returns the VM list, which includes dead VMs because it lags."""
        return [
            item.vm
            for name, item in self.vms.items()
            if name not in self.unlisted
        ]


class Engines:
    """One daemon's connections to the VMs, with faults.

    Attributes:
        unreachable: Names of VMs that this daemon cannot reach.
        unreachable_for_orders: Names of VMs whose statuses arrive while orders
            to them are lost, as in a one-way partition.
        is_delaying_orders: Whether orders time out and are queued instead of
            delivered.
        delayed_orders: Queued orders with their VMs, oldest first.
    """

    def __init__(self, fleet: Fleet) -> None:
        self._by_address = {vm.vm.address: vm for vm in fleet.vms.values()}
        self.unreachable: set[str] = set()
        self.unreachable_for_orders: set[str] = set()
        self.is_delaying_orders = False
        self.delayed_orders: list[tuple[FleetVm, protocol.Order]] = []

    def get(self, address: str) -> "Connection":
        """Returns the connection to an address."""
        return Connection(self, self._by_address[address])

    def deliver_delayed(self) -> None:
        """Delivers the delayed orders to those of their VMs that are up."""
        for vm, order in self.delayed_orders:
            if vm.up:
                vm.handle_order(order)
        self.delayed_orders.clear()


class Connection:
    """One daemon's connection to one VM."""

    def __init__(self, engines: Engines, vm: FleetVm) -> None:
        self._engines = engines
        self._vm = vm

    def read_status(self) -> protocol.Status:
        """Returns the status of the VM.

        Raises:
            UnreachableError: The VM is down or unreachable.
        """
        self._check_reachable()
        return self._vm.read_status()

    def send_order(
        self, order: protocol.Order
    ) -> expression.Result[protocol.Status, errors.OrderRefused]:
        """Sends an order.

        Raises:
            UnreachableError: No answer arrived; the VM may still execute the
                order.
        """
        self._check_reachable()
        if self._vm.vm.name in self._engines.unreachable_for_orders:
            raise errors.UnreachableError(self._vm.vm.name)
        if self._engines.is_delaying_orders:
            self._engines.delayed_orders.append((self._vm, order))
            raise errors.UnreachableError(
                "no answer to order within the timeout"
            )
        return self._vm.handle_order(order)

    def _check_reachable(self) -> None:
        if not self._vm.up or self._vm.vm.name in self._engines.unreachable:
            raise errors.UnreachableError(self._vm.vm.name)


class _SingleMembership:
    """Membership without peers: the daemon reads all statuses itself."""

    def __init__(self, name: str) -> None:
        self._own = swim.Member(name=name, peer_address="")

    def get_own(self) -> swim.Member:
        """Returns the record of this daemon."""
        return self._own

    def get_alive(self) -> list[swim.Member]:
        """Returns an empty list of peers."""
        return []


class DaemonTable:
    """One daemon's connection to the table, with faults.

    Attributes:
        down: Whether all calls fail.
        confirmations_to_lose: Number of next transactions that are applied
            without a confirmation.
        before_transact: If set, called once before the next transaction is
            applied, to interleave other daemons.
        after_scan: Functions by key prefix; each is called once after the
            next scan of its prefix, to pause the daemon there.
    """

    def __init__(self, table: table_standin.MemoryTable) -> None:
        self._table = table
        self.down = False
        self.confirmations_to_lose = 0
        self.before_transact: abc.Callable[[], None] | None = None
        self.after_scan: dict[str, abc.Callable[[], None]] = {}

    def read(self, key: str) -> table_module.Row | None:
        """Returns a row, or None if it does not exist.

        Raises:
            TableUnavailableError: The table is down.
        """
        self._check_up()
        return self._table.read(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = table_module.SCAN_LIMIT
    ) -> list[table_module.Row]:
        """Returns rows with a key prefix, in key order after a key.

        Raises:
            TableUnavailableError: The table is down.
        """
        self._check_up()
        rows = self._table.scan(prefix, after, limit)
        pause = self.after_scan.pop(prefix, None)
        if pause is not None:
            pause()
        return rows

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction.

        Raises:
            TableUnavailableError: The table is down.
            OutcomeUnknownError: The transaction was applied, but its
                confirmation was lost.
        """
        self._check_up()
        callback, self.before_transact = self.before_transact, None
        if callback is not None:
            callback()
        outcome = self._table.transact(transaction)
        if self.confirmations_to_lose > 0:
            self.confirmations_to_lose -= 1
            raise table_module.OutcomeUnknownError("confirmation of write lost")
        return outcome

    def _check_up(self) -> None:
        if self.down:
            raise table_module.TableUnavailableError(
                "table is down by the test"
            )


class Daemon:
    """Control plane of one daemon: leases, statuses and replica controller.

    Attributes:
        unjudged: Fabric domains whose silence says nothing of their VMs here.
    """

    def __init__(
        self,
        name: str,
        clock: clock_module.ManualClock,
        table: table_standin.MemoryTable,
        fleet: Fleet,
    ) -> None:
        self.name = name
        self._is_controlling = False
        self.unjudged: set[str] = set()
        self.table = DaemonTable(table)
        self.engines = Engines(fleet)
        self.config = follower.ConfigFollower(self.table, clock)
        self.leases = holder.LeaseHolder(
            name, self.table, clock, loop.LagMonitor(clock)
        )
        self.board = board.StatusBoard(
            fleet,
            self.engines,  # type: ignore[arg-type]
            clock,
            _SingleMembership(name),  # type: ignore[arg-type]
            client.PeerClient(),
            name,
        )
        self.directory = directory.ReplicaDirectory(
            self.table, self.board, clock
        )
        self.controller = controller.ReplicaController(
            name,
            self.table,
            clock,
            self.config,
            self.leases,
            self.board,
            self.directory,
            self.engines,  # type: ignore[arg-type]
            lambda domain: domain not in self.unjudged,
        )

    def observe(self) -> None:
        """Reads VM list, statuses, configuration and replica rows.

        Configuration and rows stay as they are if the table is unavailable.
        """
        self.board.read_once()
        self.board.join()
        self.controller.update_trust()
        try:
            self.config.poll_once()
            self.directory.read_once()
        except table_module.TableError:
            return

    def renew(self) -> None:
        """Acquires or renews the leases of all fabric domains.

        A lease whose step fails because of the table is skipped.
        """
        for domain in self.controller.list_domains():
            try:
                self.leases.step(controller.DUTY_PREFIX + domain)
            except table_module.TableError:
                continue

    def control(self) -> None:
        """Runs the controller once for each fabric domain.

        Does nothing within such a round: a daemon has one control loop, whose
        rounds follow each other (see `ReplicaController.start`).
        """
        if self._is_controlling:
            return
        self._is_controlling = True
        try:
            for domain in self.controller.list_domains():
                self.controller.run_domain(domain)
        finally:
            self._is_controlling = False


def accept(
    table: table_standin.MemoryTable,
    clock: clock_module.Clock,
    service: config_model.Service,
    base_version: int = 0,
) -> None:
    """Accepts a service as the configuration in force."""
    proposal = acceptance.Proposal(
        service=service, base_version=base_version, author="test", reason=""
    )
    assert acceptance.accept(table, clock, proposal).is_ok()
