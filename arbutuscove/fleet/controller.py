"""Forms replica groups while this daemon holds the duty to do so.

Each turn reads the listed VMs, plans, and sends the orders side by side. The
fencing token of the lease goes with each order, so that VMs refuse a daemon
which lost the duty without noticing.
"""

import collections
import datetime
from collections import abc

import eliot
import gevent

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model
from arbutuscove.fleet import orders as orders_module
from arbutuscove.fleet import planner
from arbutuscove.fleet import state
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.leases import holder as lease_holder

SERVICE_NAME = "group-controller"
DUTY = "groups"
# A list that did not grow for so long is taken as whole. 171 VMs entered it
# over 4.3 s.
SETTLE = datetime.timedelta(milliseconds=800)
SETTLE_LONGEST = datetime.timedelta(seconds=5)
# Pause between two examinations of one group.
ASK_INTERVAL = datetime.timedelta(milliseconds=400)
TURN = datetime.timedelta(milliseconds=250)
# Orders need a list that is not older than this.
LIST_AGE_LONGEST = datetime.timedelta(seconds=2)
# Epochs of one holder; the fencing token gives the bits above.
EPOCH_BITS = 20
# A head that drains leaves the list and refuses connections while it ends its
# work, for ten seconds at most.
DRAINED_HEAD_WAIT = datetime.timedelta(seconds=13)
# The same for a head that this holder never saw.
UNSEEN_HEAD_WAIT = DRAINED_HEAD_WAIT
# A head that left the list without draining is dead if it gives no answer for
# so long while its members do. One that is only cut off from the list answers.
SILENT_HEAD_WAIT = datetime.timedelta(seconds=1)
# A VM that gave no answer is not planned with for so long; a dead one leaves
# the list in that time.
SILENT_FOR = datetime.timedelta(seconds=4)
# Token of the first holder ever; no VM has accepted an order before it.
FIRST_FENCE = 1


class GroupController(services.LoopService):
    """Plans and sends orders while it holds the duty."""

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        inventory: inventory_module.Inventory,
        leases: lease_holder.LeaseHolder,
        group_orders: orders_module.GroupOrders,
        read_stalled: abc.Callable[[], frozenset[tuple[str, int]]],
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._inventory = inventory
        self._leases = leases
        self._group_orders = group_orders
        self._read_stalled = read_stalled
        self._memories: dict[str, state.Memory] = {}
        self._fence = -1
        self._next_epoch = 0
        self._first_seen: dict[tuple[str, int], datetime.timedelta] = {}
        self._load_times: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._traffic = False
        # When each service was first seen, and the most VMs since when.
        self._grown: dict[
            str, tuple[datetime.timedelta, int, datetime.timedelta]
        ] = {}
        self._silent: dict[str, datetime.timedelta] = {}
        # When a head that left the list first gave no answer, by its group.
        self._unanswered: dict[tuple[str, int], datetime.timedelta] = {}
        self._asking: set[tuple[str, int]] = set()
        # Orders accepted by each life of a VM, as far as this holder knows.
        self._ordered: set[tuple[str, int]] = set()
        self._accepted: dict[tuple[str, int], int] = {}
        self.sent: collections.Counter[str] = collections.Counter()

    def start(self, kernel: services.Kernel) -> None:
        """Begins to stand for the duty."""
        self._leases.stand_for(DUTY)
        self.run_loop(self._run)

    def note_traffic(self) -> None:
        """Says that callers have begun to send requests."""
        self._traffic = True

    def turn(self) -> None:
        """Plans once and sends the orders."""
        fence = self._leases.epoch(DUTY)
        catalog = self._catalog.get_current()
        age = self._inventory.age()
        if fence is None or catalog is None:
            return
        if age is None or age > LIST_AGE_LONGEST:
            return
        if fence != self._fence:
            self._begin(fence)
        for service in catalog.services.values():
            if service.engine is not None:
                self._plan(service.name, service.engine, fence)
        self._forget_absent()

    def _forget_absent(self) -> None:
        """Forgets groups and lives of VMs that are known no more."""
        vms = list(self._inventory.vms())
        groups = model.list_groups(vms)
        for seen in (self._first_seen, self._unanswered):
            for key in seen.keys() - groups.keys():
                del seen[key]
        vms += [departed.vm for departed in self._inventory.departed()]
        lives = {(vm.name, vm.born) for vm in vms}
        self._ordered &= lives
        for life in self._accepted.keys() - lives:
            del self._accepted[life]

    def _begin(self, fence: int) -> None:
        self._fence = fence
        self._next_epoch = fence << EPOCH_BITS
        self._memories.clear()
        self._first_seen.clear()
        self._unanswered.clear()
        self._accepted.clear()
        self._ordered.clear()
        eliot.log_message("groups:duty_taken", fence=fence)

    def _plan(
        self, service: str, engine: catalog_model.Engine, fence: int
    ) -> None:
        now = self._clock.monotonic()
        vms = tuple(vm for vm in self._inventory.vms() if vm.service == service)
        situation = state.Situation(
            engine=engine,
            vms=vms,
            now=now,
            next_epoch=self._next_epoch,
            loads=self._count_loads(engine, len(vms)),
            stalled=self._read_stalled(),
            silent=self._list_silent(now),
            settled=self._is_settled(service, len(vms), now),
            started=self._traffic,
        )
        memory = self._memories.get(service, state.Memory())
        plan = planner.plan(situation, memory)
        self._memories[service] = plan.memory
        self._next_epoch = plan.next_epoch
        self._send_all(plan.orders, engine, fence)
        for group in plan.unclear:
            if group.key not in self._asking:
                self._asking.add(group.key)
                gevent.spawn(self._clear_up, service, group, fence)

    def _send_all(
        self,
        found: tuple[orders_module.Order, ...],
        engine: catalog_model.Engine,
        fence: int,
    ) -> None:
        now = self._clock.monotonic()
        for order in found:
            match order:
                case (
                    orders_module.Join(vm=vm, model=wanted)
                    | orders_module.Stage(vm=vm, model=wanted)
                ):
                    if wanted not in vm.staged:
                        self._load_times.append(now)
        jobs = [gevent.spawn(self._carry_out, order, fence) for order in found]
        # One VM that does not answer must not hold up the orders to others.
        gevent.joinall(jobs, timeout=TURN.total_seconds())

    def _carry_out(self, order: orders_module.Order, fence: int) -> None:
        """Sends an order and takes note of what follows from its outcome."""
        match order, self._send(order, fence):
            case (
                orders_module.Stage(vm=vm, model=wanted),
                orders_module.Outcome.UNFIT
                | orders_module.Outcome.REFUSED
                | orders_module.Outcome.FENCED,
            ):
                memory = self._memories.get(vm.service, state.Memory())
                copy = (vm.name, vm.born, wanted)
                self._memories[vm.service] = state.forget_copy(memory, copy)
            case (
                orders_module.Leave(vm=vm, group=group, epoch=epoch),
                orders_module.Outcome.ACCEPTED | orders_module.Outcome.HOLDS,
            ) if _is_head(vm):
                self._release(vm.service, (group, epoch))

    def _send(
        self, order: orders_module.Order, fence: int
    ) -> orders_module.Outcome:
        if self._leases.epoch(DUTY) != fence:
            return orders_module.Outcome.FENCED
        vm = order.vm
        accepted = self._count_accepted(vm)
        if accepted is None:
            return orders_module.Outcome.UNKNOWN
        # The lease may have run out while the VM was asked.
        if self._leases.epoch(DUTY) != fence:
            return orders_module.Outcome.FENCED
        self._ordered.add((vm.name, vm.born))
        kind = type(order).__name__.lower()
        self.sent[kind] += 1
        outcome = self._group_orders.send(order, fence, accepted)
        self._note_outcome(vm, accepted, outcome)
        eliot.log_message(
            "groups:order",
            order=kind,
            vm=vm.name,
            group=getattr(order, "group", None),
            accepted=accepted,
            fence=fence,
            list_age=self._read_list_age(),
            outcome=outcome.value,
        )
        return outcome

    def _count_accepted(self, vm: model.Vm) -> int | None:
        """Returns how many orders a VM accepted; asks it if need be."""
        life = (vm.name, vm.born)
        if life not in self._accepted:
            if self._fence == FIRST_FENCE and life not in self._ordered:
                self._accepted[life] = 0
            else:
                status = self._group_orders.read_status(vm)
                if status is None:
                    return None
                self._accepted[life] = status.accepted
        return self._accepted[life]

    def _note_outcome(
        self, vm: model.Vm, accepted: int, outcome: orders_module.Outcome
    ) -> None:
        life = (vm.name, vm.born)
        match outcome:
            case orders_module.Outcome.ACCEPTED:
                self._accepted[life] = accepted + 1
            case _:
                # An order that takes effect at once counts, too, and is
                # answered like one whose state already holds.
                # The next order asks the VM for its count first.
                self._accepted.pop(life, None)
        if outcome == orders_module.Outcome.UNKNOWN:
            self._silent[vm.name] = self._clock.monotonic()

    def _read_list_age(self) -> float | None:
        age = self._inventory.age()
        return None if age is None else round(age.total_seconds(), 3)

    def _count_loads(self, engine: catalog_model.Engine, count: int) -> int:
        """Returns how many loads may begin now."""
        if not self._traffic:
            return count
        now = self._clock.monotonic()
        window = datetime.timedelta(seconds=5)
        while self._load_times and self._load_times[0] < now - window:
            self._load_times.popleft()
        allowed = int(engine.loads_per_second * window.total_seconds())
        return min(engine.loads_at_once, allowed - len(self._load_times))

    def _is_settled(
        self, service: str, count: int, now: datetime.timedelta
    ) -> bool:
        """Returns whether the list has stopped growing since the start.

        Small groups would take the VMs that come first, domain by domain.
        """
        first, largest, since = self._grown.get(service, (now, 0, now))
        if count > largest:
            largest, since = count, now
        self._grown[service] = (first, largest, since)
        whole = now - since >= SETTLE or now - first >= SETTLE_LONGEST
        return self._traffic or whole

    def _list_silent(self, now: datetime.timedelta) -> frozenset[str]:
        self._silent = {
            name: since
            for name, since in self._silent.items()
            if now - since < SILENT_FOR
        }
        return frozenset(self._silent)

    def _clear_up(self, service: str, group: model.Group, fence: int) -> None:
        try:
            self._examine(service, group, fence)
            self._clock.sleep(ASK_INTERVAL)
        finally:
            self._asking.discard(group.key)

    def _examine(self, service: str, group: model.Group, fence: int) -> None:
        """Finds out whether a group with a missing part still works."""
        now = self._clock.monotonic()
        since = self._first_seen.setdefault(group.key, now)
        head = group.head
        if head is None:
            if self._is_released(group, since, now, fence):
                self._release(service, group.key)
            return
        if self._answers_whole(group):
            self._keep(service, group.key)
            return
        if head.membership is None:
            return
        leave = orders_module.Leave(
            vm=head, group=group.name, epoch=group.epoch
        )
        outcome = self._send(leave, fence)
        match outcome:
            case orders_module.Outcome.ACCEPTED | orders_module.Outcome.HOLDS:
                self._release(service, group.key)
            case _:
                pass

    def _answers_whole(self, group: model.Group) -> bool:
        """Returns whether every member says itself that it is in the group."""
        missing = [
            departed.vm
            for departed in self._inventory.departed()
            if departed.vm.membership is not None
            and departed.vm.membership.key == group.key
        ]
        spec_size = len(group.members) + len(missing)
        engine = self._find_engine(group.members[0].service)
        spec = None if engine is None else engine.find_model(group.model)
        if spec is None or spec_size < spec.size:
            return False
        jobs = [
            gevent.spawn(self._confirm_member, vm)
            for vm in (*group.members, *missing)
        ]
        gevent.joinall(jobs)
        answers = [job.value for job in jobs]
        eliot.log_message(
            "groups:asked",
            group=group.name,
            missing=[vm.name for vm in missing],
            answers=answers,
        )
        return all(answers)

    def _confirm_member(self, vm: model.Vm) -> bool:
        """Returns whether a VM says itself that it is in its group."""
        status = self._group_orders.read_status(vm)
        if status is None:
            self._silent[vm.name] = self._clock.monotonic()
            return False
        held = status.membership
        if held is None or vm.membership is None:
            return False
        broken = held.state == model.MemberState.BROKEN
        return held.key == vm.membership.key and not broken

    def _find_engine(self, service: str) -> catalog_model.Engine | None:
        catalog = self._catalog.get_current()
        found = None if catalog is None else catalog.services.get(service)
        return None if found is None else found.engine

    def _is_released(
        self,
        group: model.Group,
        since: datetime.timedelta,
        now: datetime.timedelta,
        fence: int,
    ) -> bool:
        for departed in self._inventory.departed():
            held = departed.vm.membership
            if held is None or held.key != group.key or held.rank != 0:
                continue
            leave = orders_module.Leave(
                vm=departed.vm, group=group.name, epoch=group.epoch
            )
            match self._send(leave, fence):
                case (
                    orders_module.Outcome.ACCEPTED
                    | orders_module.Outcome.HOLDS
                    | orders_module.Outcome.ANOTHER_VM
                ):
                    return True
                case orders_module.Outcome.FENCED:
                    return False
                case _:
                    return self._has_ended(departed, group, now)
        return now - since >= UNSEEN_HEAD_WAIT

    def _has_ended(
        self,
        departed: inventory_module.Departed,
        group: model.Group,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether a head that did not take the order to leave ended."""
        status = self._group_orders.read_status(departed.vm)
        if status is not None:
            # It is only cut off from the list. The order may be carried out
            # later.
            self._unanswered.pop(group.key, None)
            held = status.membership
            return held is None or held.key != group.key
        if departed.drains():
            return now - departed.since >= DRAINED_HEAD_WAIT
        if not any(self._confirm_member(vm) for vm in group.members):
            # This daemon may itself be cut off from these VMs.
            self._unanswered.pop(group.key, None)
            return now - departed.since >= DRAINED_HEAD_WAIT
        first = self._unanswered.setdefault(group.key, now)
        return now - first >= SILENT_HEAD_WAIT

    def _release(self, service: str, key: tuple[str, int]) -> None:
        eliot.log_message("groups:released", group=key[0], epoch=key[1])
        memory = self._memories.get(service, state.Memory())
        self._memories[service] = state.release(memory, key)

    def _keep(self, service: str, key: tuple[str, int]) -> None:
        memory = self._memories.get(service, state.Memory())
        self._memories[service] = state.keep(memory, key)

    def _run(self) -> None:
        while True:
            self._clock.sleep(TURN)
            try:
                self.turn()
            except Exception:  # noqa: BLE001 - the duty must go on
                eliot.write_traceback()


def _is_head(vm: model.Vm) -> bool:
    return vm.membership is not None and vm.membership.rank == 0
