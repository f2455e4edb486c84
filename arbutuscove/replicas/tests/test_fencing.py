"""Guards exclusive assignment under races, pauses and lost confirmations.

A state machine drives two daemons with the real decisions, leases,
transactions and orders. The invariants are checked against records that the
product does not write: every transaction that the table applied, and the
orders that each VM has executed.
"""

import datetime

import gevent
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies

from arbutuscove.audit import trail
from arbutuscove.config import keys
from arbutuscove.config import model as config_model
from arbutuscove.replicas import assignment
from arbutuscove.replicas import controller
from arbutuscove.replicas import formation
from arbutuscove.replicas import model
from arbutuscove.replicas import serving
from arbutuscove.replicas.tests import world as world_module
from arbutuscove.standins import fleet as fleet_module
from arbutuscove.standins import table as table_standin

SECOND = datetime.timedelta(seconds=1)
SIZES = {"a": 5, "b": 4}
VM_NAMES = [vm.name for vm in world_module.build_vms(SIZES)]
# Shrinking would take minutes; the failing steps are printed as found.
SETTINGS = hypothesis.settings(
    max_examples=10,
    stateful_step_count=30,
    phases=[hypothesis.Phase.explicit, hypothesis.Phase.generate],
)
RECOVERY_SECONDS = 240  # for leases, drains and two loads in sequence
names = strategies.sampled_from(VM_NAMES)
indexes = strategies.sampled_from([0, 1])
counts = strategies.integers(1, 12)


class CheckedTable(table_standin.MemoryTable):
    """Checks the invariants of the rows after each applied transaction."""

    def transact(self, transaction):
        before = self._sum_capacity()
        generations = {r.replica: r.generation for r in self._replicas()}
        outcome = super().transact(transaction)
        for row in self._replicas():
            assert row.generation >= generations.get(row.replica, 0)
        self._check_assignment()
        self._check_approval(before)
        return outcome

    def _replicas(self):
        rows = self.scan(model.REPLICA_PREFIX)
        return [row.decode(model.ReplicaRow) for row in rows]

    def _sum_capacity(self):
        rows = self.scan(model.CAPACITY_PREFIX)
        return {
            row.key.removeprefix(model.CAPACITY_PREFIX): row.decode(
                model.CapacityRow
            )
            for row in rows
        }

    def _check_assignment(self):
        expected = {}
        for row in self._replicas():
            for member in row.members + row.spares:
                key = f"{model.VM_PREFIX}{row.fabric_domain}/{member.name}"
                assert key not in expected, "a VM is in two replicas"
                spare = member in row.spares
                expected[key] = (row.replica, row.generation, spare)
        actual = {}
        for row in self.scan(model.VM_PREFIX):
            vm = row.decode(model.VmRow)
            actual[row.key] = (vm.replica, vm.generation, vm.spare)
        assert actual == expected

    def _check_approval(self, before):
        assigned = len(self.scan(model.VM_PREFIX))
        for name, capacity in self._sum_capacity().items():
            used = assigned * world_module.ACCELERATORS
            assert capacity.accelerators == used
            rows = self._replicas()
            assert capacity.replicas == len(rows)
            draining = [r for r in rows if r.phase == model.Phase.DRAINING]
            assert capacity.draining == len(draining)
            old = before.get(name, model.CapacityRow())
            if capacity.accelerators > old.accelerators:
                body = self.read(keys.service_key(name))
                service = body.decode(config_model.ServiceVersion).service
                assert capacity.accelerators <= service.limits.accelerators


class FencingMachine(stateful.RuleBasedStateMachine):
    """Two daemons, nine VMs in two domains, and all injected faults."""

    check_fencing = True

    def __init__(self):
        super().__init__()
        self.version = 1
        self.backend = {"replicas": 3, "spares_per_fabric_domain": 1}
        self.approved = 28
        service = world_module.build_service(approved=28, **self.backend)
        self.world = world_module.World(
            SIZES, [service], 2, self.check_fencing, CheckedTable()
        )
        self.failed_at = {}
        # Each daemon starts with one domain, so that they race on the
        # capacity row.
        for daemon, domain in zip(self.world.daemons, SIZES, strict=True):
            daemon.leases.step(controller.DUTY_PREFIX + domain)
        self.world.advance(90)

    def _daemon(self, index):
        return self.world.daemons[index]

    def _advance(self, seconds, paused):
        for _ in range(seconds):
            self.world.advance(1, paused)
            self.check_serving()

    @stateful.rule(seconds=counts)
    def run_both(self, seconds):
        self._advance(seconds, ())

    @stateful.rule(index=indexes, seconds=counts)
    def run_while_other_sleeps(self, index, seconds):
        self._advance(seconds, [self._daemon(index)])

    @stateful.rule(index=indexes)
    def wake_without_observing(self, index):
        self._daemon(index).control()

    @stateful.rule(index=indexes, seconds=counts)
    def sleep_inside_next_transaction(self, index, seconds):
        sleeper = self._daemon(index)
        sleeper.table.before_transact = lambda: self.world.advance(
            seconds, [sleeper]
        )

    @stateful.rule(index=indexes, seconds=counts)
    def sleep_before_next_order(self, index, seconds):
        sleeper = self._daemon(index)
        sleeper.table.after_scan[model.CAPACITY_PREFIX] = lambda: (
            self.world.advance(seconds, [sleeper])
        )

    @stateful.rule(index=indexes, seconds=counts)
    def decide_at_once(self, index, seconds):
        self._advance(seconds, self.world.daemons)
        first, second = self._daemon(index), self._daemon(1 - index)
        for daemon in (first, second):
            daemon.observe()
            daemon.renew()
        first.table.before_transact = second.control
        first.control()
        first.table.before_transact = None

    @stateful.rule(index=indexes, count=strategies.sampled_from([1, 2, 40]))
    def lose_confirmations(self, index, count):
        # 40 is more than `commit` tries in its time: the outcome stays unknown.
        self._daemon(index).table.confirmations_to_lose = count

    @stateful.rule(index=indexes)
    def confirm_again(self, index):
        self._daemon(index).table.confirmations_to_lose = 0

    @stateful.rule(down=strategies.booleans())
    def set_table(self, down):
        for daemon in self.world.daemons:
            daemon.table.down = down

    @stateful.rule(index=indexes, down=strategies.booleans())
    def cut_daemon_from_table(self, index, down):
        self._daemon(index).table.down = down

    @stateful.rule(index=indexes, holds=strategies.booleans())
    def hold_orders(self, index, holds):
        self._daemon(index).engines.is_delaying_orders = holds

    @stateful.rule(index=indexes)
    def deliver_old_orders(self, index):
        self._daemon(index).engines.deliver_delayed()

    @stateful.rule(index=indexes, name=names)
    def cut_daemon_from_vm(self, index, name):
        self._daemon(index).engines.unreachable.add(name)

    @stateful.rule(name=names)
    def cut_orders_to_vm(self, name):
        for daemon in self.world.daemons:
            daemon.engines.unreachable_for_orders.add(name)

    @stateful.rule(index=indexes)
    def reconnect_daemon(self, index):
        self._daemon(index).engines.unreachable.clear()
        self._daemon(index).engines.unreachable_for_orders.clear()

    def _lose(self, name):
        vm = self.world.fleet.vms[name]
        if vm.up:
            self.failed_at[name] = self.world.clock.monotonic()
        vm.up = False

    @stateful.rule(name=names)
    def lose_vm(self, name):
        self._lose(name)

    @stateful.rule(domain=strategies.sampled_from(sorted(SIZES)))
    def lose_domain(self, domain):
        for name in VM_NAMES:
            if name.startswith(domain):
                self._lose(name)

    @stateful.rule(name=names)
    def return_as_if_nothing_happened(self, name):
        self.world.fleet.vms[name].up = True

    @stateful.rule(name=names)
    def restart_vm(self, name):
        self.world.fleet.vms[name].restart()

    @stateful.rule(name=names)
    def announce_leaving(self, name):
        self.world.fleet.vms[name].leaving = True

    @stateful.rule(
        approved=strategies.sampled_from([8, 20, 28, 36]),
        wanted=strategies.sampled_from(["m1", "m2"]),
    )
    def accept_version(self, approved, wanted):
        self.approved = approved
        service = world_module.build_service(
            approved=approved, model=wanted, **self.backend
        )
        fleet_module.accept(
            self.world.table, self.world.clock, service, self.version
        )
        self.version += 1

    @stateful.invariant()
    def check_leases(self):
        for domain in SIZES:
            duty = controller.DUTY_PREFIX + domain
            epochs = [
                d.leases.get_active_epoch(duty) for d in self.world.daemons
            ]
            assert epochs.count(None) >= 1

    @stateful.invariant()
    def check_serving(self):
        for index, daemon in enumerate(self.world.daemons):
            serving_names = []
            for serving_replica in self.world.serving(daemon=index):
                size = len(
                    daemon.directory.get_rows()[serving_replica.replica].members
                )
                members = self._find_members(serving_replica)
                assert len(set(members)) == size
                serving_names.extend(members)
            assert len(serving_names) == len(set(serving_names)), (
                "a VM serves in two replicas"
            )

    def _find_members(self, serving_replica):
        """Returns the members by the VMs' own records; all must have run."""
        run = self._find_run(serving_replica.leader.name, serving_replica)
        for name in run.members:
            assert self._find_run(name, serving_replica).members == run.members
            failed_at = self.failed_at.get(name)
            if not self.world.fleet.vms[name].up:
                now = self.world.clock.monotonic()
                assert now - failed_at <= serving.MAX_STATUS_AGE
        return run.members

    def _find_run(self, name, serving_replica):
        now = self.world.clock.monotonic()
        until = now + SECOND
        for run in reversed(self.world.fleet.record):
            if run.vm != name:
                continue
            wanted = (serving_replica.replica, serving_replica.generation)
            if (run.replica, run.generation) == wanted:
                # The VM ran this until its next order, which may be recent.
                assert until >= now - serving.MAX_STATUS_AGE
                return run
            until = run.at
        raise AssertionError(f"{name} never ran {serving_replica}")

    def teardown(self):
        """After all faults end, replicas recover and the audit has no gap."""
        for daemon in self.world.daemons:
            daemon.table.down = False
            daemon.table.confirmations_to_lose = 0
            daemon.table.before_transact = None
            daemon.table.after_scan.clear()
            daemon.engines.unreachable.clear()
            daemon.engines.unreachable_for_orders.clear()
            daemon.engines.is_delaying_orders = False
            daemon.engines.delayed_orders.clear()
        for vm in self.world.fleet.vms.values():
            vm.up = True
            vm.leaving = False
        self.world.advance(2)
        self.world.clock.advance(datetime.timedelta(hours=2))
        self._advance(RECOVERY_SECONDS, ())
        size = 2 * world_module.ACCELERATORS
        expected = min(3, self.approved // size)
        rows = self.world.rows()
        assert len(self.world.serving()) == expected, rows
        for domain in SIZES:
            scope = controller.DUTY_PREFIX + domain
            entries = trail.read_scope(self.world.table, scope, limit=9999)
            assert trail.find_gaps(entries) == []


def _race(sizes, approved, **backend):
    """Returns a world in which two daemons decide inside one transaction."""
    world = world_module.World(sizes, [], 2, table=CheckedTable())
    for daemon, domain in zip(world.daemons, "ab", strict=True):
        daemon.observe()
        daemon.leases.step(controller.DUTY_PREFIX + domain)
    world.advance(4)
    service = world_module.build_service(approved=approved, **backend)
    fleet_module.accept(world.table, world.clock, service)
    first, second = world.daemons
    for daemon in world.daemons:
        daemon.observe()
    first.table.before_transact = second.control
    first.control()
    return world


def test_controllers_of_two_domains_stay_within_approval():
    """Each decision alone is within the approval, both together are not."""
    world = _race({"a": 2, "b": 2}, approved=8)
    assert len(world.rows()) == 1
    world.advance(90)
    assert len(world.rows()) == 1


def test_controllers_of_two_domains_end_only_one_surplus_replica():
    """Each controller sees one surplus replica and would drain its own."""
    world = _race({"a": 2, "b": 2}, approved=16, replicas=2)
    world.advance(90)
    assert len(world.serving()) == 2
    service = world_module.build_service(replicas=1)
    fleet_module.accept(world.table, world.clock, service, base_version=1)
    for daemon in world.daemons:
        daemon.observe()
    first, second = world.daemons
    first.table.before_transact = second.control
    first.control()
    world.advance(30)
    assert len(world.rows()) == 1


@pytest.mark.parametrize("check_fencing", [True, False])
def test_stale_controller_cannot_claim_a_vm_twice(check_fencing):
    """A controller that misses the expiry of its lease uses stale rows."""
    service = world_module.build_service(replicas=1)
    world = world_module.World(
        {"a": 4}, [service], 2, check_fencing, CheckedTable()
    )
    for daemon in world.daemons:
        daemon.observe()
        daemon.leases.get_active_epoch = lambda duty: 1
    stale, other = world.daemons
    stale.engines.is_delaying_orders = True
    stale.table.before_transact = other.control
    stale.control()
    world.advance(20, paused=[stale])
    (row,) = world.rows()
    world.fleet.vms[row.members[1].name].up = False
    world.advance(20, paused=[stale])
    world.fleet.vms[row.members[1].name].up = True
    stale.engines.deliver_delayed()
    world.advance(100, paused=[stale])
    (repaired,) = world.rows()
    assert repaired.generation == row.generation + 1
    assert len(world.serving(daemon=1)) == 1


def test_round_within_a_round_is_not_run():
    """Guards against a world in which a daemon has two control loops.

    The other daemon sleeps inside a transaction, within a transaction of this
    one that writes an audit entry of an outage.
    """
    service = world_module.build_service(replicas=1, spares_per_fabric_domain=1)
    world = world_module.World({"a": 4}, [service])
    world.advance(90)
    (daemon,) = world.daemons
    daemon.table.down = True
    world.advance(10)
    world.fleet.vms[world.rows()[0].members[1].name].up = False
    world.advance(40)
    daemon.table.down = False
    daemon.observe()
    daemon.table.before_transact = daemon.control
    daemon.control()
    scope = controller.DUTY_PREFIX + "a"
    actions = [
        item.entry.action
        for item in trail.read_scope(world.table, scope, limit=99)
    ]
    assert actions.count("replica.repaired_from_plan") == 1


def test_rounds_of_the_control_loop_follow_each_other():
    """Guards against rounds that share a transaction of the journal."""
    world = world_module.World({"a": 2, "b": 2}, [])
    (daemon,) = world.daemons
    daemon.observe()
    running, seen = set(), []

    def run_domain(domain):
        seen.append((domain, frozenset(running)))
        running.add(domain)
        gevent.sleep(0)
        running.remove(domain)
        if len(seen) % 3 == 0:
            raise ValueError("a round that fails")

    daemon.controller.run_domain = run_domain
    daemon.controller.start(None)
    with gevent.Timeout(30):
        while len(seen) < 8:
            gevent.sleep(0.01)
    daemon.controller.stop()
    assert {before for _, before in seen} == {frozenset()}


def test_order_in_flight_of_a_former_holder_is_refused():
    """A late order without its epoch would undo one of the next holder."""
    service = world_module.build_service(replicas=1)
    world = world_module.World({"a": 4}, [service], 2, table=CheckedTable())
    former = world.daemons[0]
    former.engines.is_delaying_orders = True
    world.advance(6)
    (row,) = world.rows()
    assert former.engines.delayed_orders
    world.advance(20, paused=[former])
    world.fleet.vms[row.members[1].name].up = False
    world.advance(20, paused=[former])
    (repaired,) = world.rows()
    assert repaired.generation == row.generation + 1
    count = len(world.fleet.record)
    former.engines.deliver_delayed()
    assert len(world.fleet.record) == count


def test_holder_that_slept_before_its_orders_sends_none():
    """Engines that ignore fencing would execute orders of an expired lease."""
    service = world_module.build_service(replicas=1)
    world = world_module.World(
        {"a": 4}, [service], 2, check_fencing=False, table=CheckedTable()
    )
    sleeper = world.daemons[0]
    sleeper.engines.unreachable_for_orders.update(world.fleet.vms)
    world.advance(4)
    (row,) = world.rows()
    sleeper.engines.unreachable_for_orders.clear()

    def sleep():
        world.fleet.vms[row.members[1].name].up = False
        world.advance(30, paused=[sleeper])
        world.fleet.vms[row.members[1].name].up = True

    sleeper.table.after_scan[model.CAPACITY_PREFIX] = sleep
    sleeper.control()
    world.advance(1)
    (repaired,) = world.rows()
    assert repaired.generation == row.generation + 1
    old = [r for r in world.fleet.record if r.generation == row.generation]
    assert old == []


def test_replica_does_not_serve_while_a_member_is_in_the_old_generation():
    """A member that no order reaches would respond for the old group."""
    service = world_module.build_service(
        vms_per_replica=3, replicas=1, spares_per_fabric_domain=1
    )
    world = world_module.World({"a": 4}, [service])
    world.advance(90)
    (row,) = world.rows()
    (daemon,) = world.daemons
    daemon.engines.unreachable_for_orders.add(row.members[0].name)
    world.fleet.vms[row.members[2].name].up = False
    world.advance(90)
    assert world.rows()[0].generation == row.generation + 1
    assert world.serving() == []
    daemon.engines.unreachable_for_orders.clear()
    world.advance(20)
    assert len(world.serving()) == 1


def test_transaction_is_conditioned_on_every_row_that_it_writes():
    """An unconditioned row may be overwritten by a stale controller."""
    (vm, *rest) = world_module.build_vms({"a": 2})
    decision = formation.Form(
        service=world_module.build_service(),
        members=(vm, *rest),
        reason="",
    )
    rows = assignment.Rows(by_key={})
    transaction = assignment.build_assignment(decision, {}, rows).transaction
    written = {write.key for write in transaction.writes}
    assert {item.key for item in transaction.conditions} == written


def test_vms_go_to_only_one_of_two_services():
    """Replicas of two services have only the rows of their VMs in common."""
    vms = tuple(world_module.build_vms({"a": 2}))
    table = table_standin.MemoryTable()
    rows = assignment.Rows(by_key={})
    outcomes = [
        table.transact(
            assignment.build_assignment(decision, {}, rows).transaction
        )
        for decision in (
            formation.Form(
                service=world_module.build_service(name), members=vms, reason=""
            )
            for name in ("bulk", "urgent")
        )
    ]
    assert [outcome.is_ok() for outcome in outcomes] == [True, False]


class IgnoringMachine(FencingMachine):
    """The same machine with engines that ignore fencing tokens."""

    check_fencing = False


TestFencing = FencingMachine.TestCase
TestFencing.settings = SETTINGS
TestIgnoring = IgnoringMachine.TestCase
TestIgnoring.settings = SETTINGS
