"""A fleet of VMs in memory, on a manual clock, with an independent record.

Runs the product's real decision and control code without real time, for state
machine tests and benchmarks. Each daemon has its own view: it can be cut off
from VMs and from the table, and its writes can lose their confirmation.
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

REGROUP_TIME = datetime.timedelta(seconds=5)  # VMs that hold the weights
LOAD_TIME = datetime.timedelta(seconds=60)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """What a VM began to run at a time, as the VM itself recorded it."""

    at: datetime.timedelta
    vm: str
    replica: str
    generation: int
    epoch: int
    members: tuple[str, ...]


class FleetVm:
    """One VM with its engine."""

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
        # What it reports in any replica instead of its progress, if set.
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
        """Comes back without any memory."""
        self.up = True
        self.leaving = False
        self.running = 0
        self.order = None
        self._highest_epoch = 0
        self._model = ""
        self._preload = ""

    def read_status(self) -> protocol.Status:
        """Returns what the VM says of itself."""
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
        """Carries out an order unless it carries an old fencing token."""
        if self._check_fencing and order.epoch < self._highest_epoch:
            refused = errors.OrderRefused(code=protocol.STALE_EPOCH)
            return expression.Error(refused)
        self._highest_epoch = max(order.epoch, self._highest_epoch)
        known = self.order
        if known is None or dataclasses.replace(known, epoch=order.epoch) != (
            order
        ):
            self._adopt(order)
        return expression.Ok(self.read_status())

    def _adopt(self, order: protocol.Order) -> None:
        self.order = order if order.replica else None
        self.running = 0
        now = self._clock.monotonic()
        if order.model == self._model:
            self._ready_at = now + REGROUP_TIME
        elif order.model and order.model == self._preload:
            # A load of these weights that has begun goes on.
            self._ready_at = max(self._ready_at, now + REGROUP_TIME)
        else:
            self._ready_at = now + LOAD_TIME
        # Weights of an order without a replica count when they are loaded.
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
    """All VMs, and the VM list."""

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
        """Returns the VM list; it names dead VMs too, because it lags."""
        return [
            item.vm
            for name, item in self.vms.items()
            if name not in self.unlisted
        ]


class Engines:
    """One daemon's connections to the VMs."""

    def __init__(self, fleet: Fleet) -> None:
        self._by_address = {vm.vm.address: vm for vm in fleet.vms.values()}
        self.unreachable: set[str] = set()
        # VMs whose statuses arrive although nothing reaches them: a one-way
        # partition.
        self.unreachable_for_orders: set[str] = set()
        self.is_delaying_orders = False
        self.delayed_orders: list[tuple[FleetVm, protocol.Order]] = []

    def get(self, address: str) -> "Connection":
        """Returns the connection to an address."""
        return Connection(self, self._by_address[address])

    def deliver_delayed(self) -> None:
        """Delivers orders that were in flight for a long time."""
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
        """Returns the status.

        Raises:
            UnreachableError: the VM is down or cut off.
        """
        self._check()
        return self._vm.read_status()

    def send_order(
        self, order: protocol.Order
    ) -> expression.Result[protocol.Status, errors.OrderRefused]:
        """Sends an order.

        Raises:
            UnreachableError: the order may or may not have been taken.
        """
        self._check()
        if self._vm.vm.name in self._engines.unreachable_for_orders:
            raise errors.UnreachableError(self._vm.vm.name)
        if self._engines.is_delaying_orders:
            self._engines.delayed_orders.append((self._vm, order))
            raise errors.UnreachableError("no answer in time")
        return self._vm.handle_order(order)

    def _check(self) -> None:
        if not self._vm.up or self._vm.vm.name in self._engines.unreachable:
            raise errors.UnreachableError(self._vm.vm.name)


class _Alone:
    """A membership without peers: each daemon reads all statuses itself."""

    def __init__(self, name: str) -> None:
        self._own = swim.Member(name=name, peer_address="")

    def get_own(self) -> swim.Member:
        """Returns this daemon."""
        return self._own

    def get_alive(self) -> list[swim.Member]:
        """Returns no peers."""
        return []


class DaemonTable:
    """One daemon's connection to the table, with faults."""

    def __init__(self, table: table_standin.MemoryTable) -> None:
        self._table = table
        self.down = False
        self.confirmations_to_lose = 0
        # Called before a transaction is applied, to interleave others.
        self.before_transact: abc.Callable[[], None] | None = None
        # Called after the next scan, to let the daemon sleep there.
        self.after_scan: dict[str, abc.Callable[[], None]] = {}

    def read(self, key: str) -> table_module.Row | None:
        """Returns a row."""
        self._check()
        return self._table.read(key)

    def scan(
        self, prefix: str, after: str = "", limit: int = table_module.SCAN_LIMIT
    ) -> list[table_module.Row]:
        """Returns rows by prefix."""
        self._check()
        rows = self._table.scan(prefix, after, limit)
        sleep = self.after_scan.pop(prefix, None)
        if sleep is not None:
            sleep()
        return rows

    def transact(
        self, transaction: table_module.Transaction
    ) -> table_module.Outcome:
        """Applies a transaction, perhaps without confirming it."""
        self._check()
        interleaved, self.before_transact = self.before_transact, None
        if interleaved is not None:
            interleaved()
        outcome = self._table.transact(transaction)
        if self.confirmations_to_lose > 0:
            self.confirmations_to_lose -= 1
            raise table_module.OutcomeUnknownError("confirmation lost")
        return outcome

    def _check(self) -> None:
        if self.down:
            raise table_module.TableUnavailableError("down")


class Daemon:
    """The control half of one daemon: leases, statuses and controller."""

    def __init__(
        self,
        name: str,
        clock: clock_module.ManualClock,
        table: table_standin.MemoryTable,
        fleet: Fleet,
    ) -> None:
        self.name = name
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
            _Alone(name),  # type: ignore[arg-type]
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
        )

    def observe(self) -> None:
        """Reads configuration, VM list, statuses and replica rows."""
        self.board.read_once()
        self.board.join()
        self.controller.update_trust()
        try:
            self.config.poll_once()
            self.directory.read_once()
        except table_module.TableError:
            return

    def renew(self) -> None:
        """Takes or renews the leases."""
        for domain in self.controller.list_domains():
            try:
                self.leases.step(controller.DUTY_PREFIX + domain)
            except table_module.TableError:
                continue

    def control(self) -> None:
        """Runs one round of the controller."""
        for domain in self.controller.list_domains():
            self.controller.run_domain(domain)


def accept(
    table: table_standin.MemoryTable,
    clock: clock_module.Clock,
    service: config_model.Service,
    base_version: int = 0,
) -> None:
    """Puts a service in force."""
    proposal = acceptance.Proposal(
        service=service, base_version=base_version, author="test", reason=""
    )
    assert acceptance.accept(table, clock, proposal).is_ok()
