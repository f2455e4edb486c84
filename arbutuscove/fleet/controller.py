"""Forms replica groups while this daemon holds the lease on that duty.

Each cycle reads the listed VMs, computes a plan and sends its orders in
parallel. Each order carries the fencing token of the lease, so that VMs refuse
orders from a daemon that has lost the lease without noticing.
"""

import collections
import datetime
import enum
import functools
from collections import abc

import eliot
import gevent

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.crashes import liveness
from arbutuscove.fleet import fencing
from arbutuscove.fleet import growth
from arbutuscove.fleet import headless
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model
from arbutuscove.fleet import orders as orders_module
from arbutuscove.fleet import planner
from arbutuscove.fleet import sending
from arbutuscove.fleet import state
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.leases import holder as lease_holder
from arbutuscove.leases import lease

SERVICE_NAME = "group-controller"
DUTY = "groups"
# Pause between two verifications of the same group.
VERIFY_INTERVAL = datetime.timedelta(milliseconds=400)
PLAN_INTERVAL = datetime.timedelta(milliseconds=250)
# No orders are sent from a list older than this.
MAX_LIST_AGE = datetime.timedelta(seconds=2)
# Low bits of an epoch, numbered by one lease holder; the bits above are the
# fencing token.
EPOCH_BITS = 20
# After the loss of a member, the engine of a group gives it up after this time
# unless the platform says otherwise.
STALL_TIMEOUT = datetime.timedelta(seconds=6)
# Probes of free VMs by a new lease holder must not delay its first orders.
PROBE_WAIT = datetime.timedelta(milliseconds=100)
# An unresponsive VM is excluded from plans for this time. A dead VM leaves the
# list within it.
UNRESPONSIVE_VM_EXCLUSION = datetime.timedelta(seconds=4)
# A listed VM that does not answer may only be silent for a moment. Its group is
# ended by a check without answer that begins this long after the first one.
SILENT_MEMBER_TIMEOUT = datetime.timedelta(milliseconds=600)
UNKNOWN_MEMBER = ""  # name of a member that is neither listed nor departed


class _Answer(enum.Enum):
    """What a VM says of its membership in a group."""

    CONFIRMED = "confirmed"
    DENIED = "denied"
    DEAD = "dead"  # it has ended, or refuses connections
    SILENT = "silent"


_UNANSWERED = frozenset((_Answer.DEAD, _Answer.SILENT))


class GroupController(services.LoopService):
    """Plans and sends orders while this daemon holds the lease."""

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        inventory: inventory_module.Inventory,
        leases: lease_holder.LeaseHolder,
        order_client: orders_module.OrderClient,
        list_stalled_groups: abc.Callable[[], frozenset[tuple[str, int]]],
        confirm_contact: abc.Callable[
            [str, datetime.timedelta], bool
        ] = lambda service, since: True,
        list_evacuated: abc.Callable[[], frozenset[str]] = frozenset,
        stall_timeout: datetime.timedelta = STALL_TIMEOUT,
    ) -> None:
        """Creates a controller.

        Args:
            clock: the clock.
            catalog: the configuration in force.
            inventory: the listed VMs.
            leases: the leases of this daemon.
            order_client: sends orders and reads the status of VMs.
            list_stalled_groups: returns the groups reported as stalled.
            confirm_contact: returns whether this daemon has opened a connection
                to a VM of a service since a monotonic time. Without one, the
                silence of a VM shows nothing.
            list_evacuated: returns the failure domains whose VMs are to be sent
                nothing.
            stall_timeout: time after which an engine gives up work that depends
                on a lost member.
        """
        self._clock = clock
        self._catalog = catalog
        self._inventory = inventory
        self._leases = leases
        self._order_client = order_client
        self._queue = sending.OrderQueue(clock)
        self._list_stalled_groups = list_stalled_groups
        self._confirm_contact = confirm_contact
        self._list_evacuated = list_evacuated
        self._stall_timeout = stall_timeout
        self._headless = headless.HeadlessGroups(
            clock,
            inventory,
            order_client,
            self._send,
            stall_timeout,
        )
        self._planner_states: dict[str, state.PlannerState] = {}
        self._fence = -1
        self._next_epoch = 0
        self._recent_loads: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._has_traffic = False
        self._growth = growth.ListGrowth()
        self._unresponsive: dict[str, datetime.timedelta] = {}
        # When each silent member of a group did not answer first.
        self._silences: dict[
            tuple[str, int], dict[str, datetime.timedelta]
        ] = {}
        self._verifying: set[tuple[str, int]] = set()
        # An instance of a VM is its name and start time. The counts are the
        # orders that an instance has accepted, as far as known here.
        self._ordered_instances: set[tuple[str, int]] = set()
        self._accepted_counts: dict[tuple[str, int], int] = {}
        self.sent_counts: collections.Counter[str] = collections.Counter()

    def start(self, kernel: services.Kernel) -> None:
        """Registers as a candidate for the lease and starts the loop."""
        self._leases.register_candidate(DUTY)
        self.run_loop(self._run)

    def record_traffic(self) -> None:
        """Records that callers have begun to send requests."""
        self._has_traffic = True

    def run_cycle(self) -> None:
        """Plans each service once and sends the orders.

        Nothing is done without the lease, a catalog and a recent list of VMs,
        nor while the list may lack what VMs reported before the store came back
        from an older copy.
        """
        fence = self._leases.get_active_epoch(DUTY)
        catalog = self._catalog.get_current()
        age = self._inventory.get_age()
        if fence is None or catalog is None or self._inventory.is_settling():
            return
        if age is None or age > MAX_LIST_AGE:
            return
        if fence != self._fence:
            self._begin_term(fence)
        for service in catalog.services.values():
            if service.engine is not None:
                self._plan_service(service.name, service.engine, fence)
        self._evict_absent()

    def _evict_absent(self) -> None:
        """Evicts the records of groups and VM instances no longer known."""
        vms = list(self._inventory.list_vms())
        groups = model.collect_groups(vms)
        self._headless.forget(groups.keys())
        for key in self._silences.keys() - groups.keys():
            del self._silences[key]
        self._queue.forget({vm.name for vm in vms})
        vms += [departed.vm for departed in self._inventory.list_departed()]
        instances = {(vm.name, vm.started_at_ms) for vm in vms}
        self._ordered_instances &= instances
        for instance in self._accepted_counts.keys() - instances:
            del self._accepted_counts[instance]

    def _begin_term(self, fence: int) -> None:
        self._fence = fence
        self._next_epoch = fence << EPOCH_BITS
        self._planner_states.clear()
        self._headless.begin_term()
        self._silences.clear()
        self._accepted_counts.clear()
        self._ordered_instances.clear()
        eliot.log_message("groups:duty_taken", fence=fence)

    def _plan_service(
        self, service: str, engine: catalog_model.Engine, fence: int
    ) -> None:
        now = self._clock.monotonic()
        vms = tuple(
            vm for vm in self._inventory.list_vms() if vm.service == service
        )
        plan_input = state.PlanInput(
            engine=engine,
            vms=vms,
            now=now,
            next_epoch=self._next_epoch,
            load_limit=self._compute_load_limit(engine, len(vms)),
            stalled=self._list_stalled_groups(),
            unresponsive=self._list_unresponsive(now),
            withheld=self._list_withheld(vms),
            is_list_stable=self._has_traffic
            or self._growth.is_stable(service, len(vms), now),
            has_traffic=self._has_traffic,
            evacuated=self._list_evacuated(),
            pending=self._queue.list_pending(),
            finished=self._queue.finished,
        )
        planner_state = self._planner_states.get(service, state.PlannerState())
        plan = planner.plan(plan_input, planner_state)
        self._planner_states[service] = plan.next_state
        self._next_epoch = plan.next_epoch
        for forming in plan.next_state.forming:
            if forming.epoch >= plan_input.next_epoch:
                self._headless.record_formed((forming.group, forming.epoch))
        self._send_all(plan.orders, engine, fence)
        self._forget_silences(service, plan.unverified)
        for group in plan.unverified:
            if group.key not in self._verifying:
                self._verifying.add(group.key)
                gevent.spawn(self._verify_group, service, group, fence)

    def _forget_silences(
        self, service: str, unverified: abc.Iterable[model.Group]
    ) -> None:
        """Forgets silences of groups that have moved since the last check."""
        if not self._silences:
            return
        doubtful = {group.key for group in unverified}
        for vm in self._inventory.list_vms():
            if vm.service == service and vm.membership is not None:
                key = vm.membership.key
                if key not in doubtful:
                    self._silences.pop(key, None)

    def _send_all(
        self,
        orders: tuple[orders_module.Order, ...],
        engine: catalog_model.Engine,
        fence: int,
    ) -> None:
        now = self._clock.monotonic()
        for order in orders:
            match order:
                case (
                    orders_module.Join(vm=vm, model=model_name)
                    | orders_module.Stage(vm=vm, model=model_name)
                ):
                    if model_name not in vm.staged:
                        self._recent_loads.append(now)
                case orders_module.Open(group=name, epoch=epoch):
                    self._headless.record_opening((name, epoch))
        for order in orders:
            self._queue.submit(
                order, functools.partial(self._execute, order, fence)
            )
        # An unresponsive VM must not delay the orders to the others.
        self._queue.wait(PLAN_INTERVAL)

    def _execute(self, order: orders_module.Order, fence: int) -> None:
        """Sends an order and updates the planner's state by its outcome."""
        match order, self._send(order, fence):
            case (
                orders_module.Stage(vm=vm, model=model_name),
                orders_module.Outcome.STATE_MISMATCH
                | orders_module.Outcome.REFUSED
                | orders_module.Outcome.FENCED,
            ):
                planner_state = self._planner_states.get(
                    vm.service, state.PlannerState()
                )
                key = (vm.name, vm.started_at_ms, model_name)
                self._planner_states[vm.service] = state.remove_staging(
                    planner_state, key
                )
            case (
                orders_module.Leave(vm=vm, group=group, epoch=epoch),
                orders_module.Outcome.ACCEPTED
                | orders_module.Outcome.IN_EFFECT,
            ) if _is_head(vm):
                self._mark_released(vm.service, (group, epoch))

    def _send(
        self, order: orders_module.Order, fence: int
    ) -> orders_module.Outcome:
        vm = order.vm
        if not self._may_send(fence) or self._is_evacuated(vm):
            return orders_module.Outcome.FENCED
        accepted = self._count_accepted(vm)
        if accepted is None:
            return orders_module.Outcome.UNKNOWN
        # The lease may have expired during the probe, or the evacuation begun.
        if not self._may_send(fence) or self._is_evacuated(vm):
            return orders_module.Outcome.FENCED
        self._ordered_instances.add((vm.name, vm.started_at_ms))
        order_type = type(order).__name__.lower()
        self.sent_counts[order_type] += 1
        outcome = self._order_client.send(order, fence, accepted)
        self._record_outcome(vm, accepted, outcome)
        eliot.log_message(
            "groups:order",
            order=order_type,
            vm=vm.name,
            group=getattr(order, "group", None),
            accepted=accepted,
            fence=fence,
            list_age=self._get_list_age(),
            outcome=outcome.value,
        )
        return outcome

    def _may_send(self, fence: int) -> bool:
        return (
            self._leases.get_active_epoch(DUTY) == fence
            and not self._inventory.is_settling()
        )

    def _is_evacuated(self, vm: model.Vm) -> bool:
        return vm.failure_domain in self._list_evacuated()

    def _count_accepted(self, vm: model.Vm) -> int | None:
        """Returns how many orders a VM has accepted; probes it if unknown.

        The result is None if the VM does not respond.
        """
        instance = (vm.name, vm.started_at_ms)
        if instance not in self._accepted_counts:
            if self._has_no_orders(vm):
                self._accepted_counts[instance] = 0
            else:
                status = self._order_client.read_status(vm)
                if status is None:
                    return None
                self._accepted_counts[instance] = status.accepted
        return self._accepted_counts[instance]

    def _has_no_orders(self, vm: model.Vm) -> bool:
        """Returns whether a VM has accepted no order, as far as is known here.

        No other holder had the lease in this era. One of an earlier era would
        have left a group or staged weights on the VM, unless its order was
        undone at once; the VM then refuses the first order, which names a wrong
        count, and is probed before the next one.
        """
        return (
            lease.is_first_of_era(self._fence)
            and (vm.name, vm.started_at_ms) not in self._ordered_instances
            and vm.membership is None
            and not vm.staged
        )

    def _record_outcome(
        self, vm: model.Vm, accepted: int, outcome: orders_module.Outcome
    ) -> None:
        instance = (vm.name, vm.started_at_ms)
        match outcome:
            case orders_module.Outcome.ACCEPTED:
                self._accepted_counts[instance] = accepted + 1
            case _:
                # The count is unknown: an order that takes effect at once is
                # counted, too, but gets the same response as an order whose
                # state is already in effect. The VM is probed before its next
                # order.
                self._accepted_counts.pop(instance, None)
        if outcome == orders_module.Outcome.UNKNOWN:
            self._unresponsive[vm.name] = self._clock.monotonic()

    def _get_list_age(self) -> float | None:
        age = self._inventory.get_age()
        return None if age is None else round(age.total_seconds(), 3)

    def _compute_load_limit(
        self, engine: catalog_model.Engine, count: int
    ) -> int:
        """Returns how many loads may begin now."""
        if not self._has_traffic:
            return count
        now = self._clock.monotonic()
        window = datetime.timedelta(seconds=5)
        while self._recent_loads and self._recent_loads[0] < now - window:
            self._recent_loads.popleft()
        allowed = int(engine.loads_per_second * window.total_seconds())
        return min(engine.loads_at_once, allowed - len(self._recent_loads))

    def _list_unresponsive(self, now: datetime.timedelta) -> frozenset[str]:
        self._unresponsive = {
            name: since
            for name, since in self._unresponsive.items()
            if now - since < UNRESPONSIVE_VM_EXCLUSION
        }
        return frozenset(self._unresponsive)

    def _list_withheld(self, vms: abc.Iterable[model.Vm]) -> frozenset[str]:
        """Returns the VMs in no group whose former group may still serve.

        A VM that was in no group when this daemon first saw it may have left
        one just before, unless it has accepted no order since its start.
        """
        losses = self._inventory.losses
        timeout = fencing.compute_fence_time(self._stall_timeout)
        doubtful = []
        withheld = []
        for vm in vms:
            if vm.membership is not None or not losses.may_be_needed(
                vm.identity, timeout
            ):
                continue
            withheld.append(vm)
            freedom = losses.find_freedom(vm.identity)
            may_ask = (
                vm.name not in self._unresponsive and not self._is_evacuated(vm)
            )
            if may_ask and freedom is not None and freedom.former is None:
                doubtful.append(vm)
        jobs = [gevent.spawn(self._note_if_unused, vm) for vm in doubtful]
        gevent.joinall(jobs, timeout=PROBE_WAIT.total_seconds())
        return frozenset(
            vm.name
            for vm in withheld
            if losses.find_freedom(vm.identity) is not None
        )

    def _note_if_unused(self, vm: model.Vm) -> None:
        """Records a VM that has accepted no order since its start."""
        accepted = self._count_accepted(vm)
        if accepted is None:
            self._unresponsive[vm.name] = self._clock.monotonic()
        elif accepted == 0:
            self._inventory.losses.record_unused(vm.identity)

    def _verify_group(
        self, service: str, group: model.Group, fence: int
    ) -> None:
        try:
            self._check_group(service, group, fence)
            self._clock.sleep(VERIFY_INTERVAL)
        finally:
            self._verifying.discard(group.key)

    def _check_group(
        self, service: str, group: model.Group, fence: int
    ) -> None:
        """Verifies a group and confirms it or releases its members.

        An unlisted head must have ended before the members are released. A
        listed head is ordered to leave if a member denies the group or has been
        silent for `SILENT_MEMBER_TIMEOUT`. A stalled group that is too small
        for its model counts as one with a silent member: a member may be gone,
        or the model may have been changed while all members are sound.
        """
        now = self._clock.monotonic()
        head = group.head
        if head is None:
            self._check_headless_group(service, group, fence)
            return
        answers = self._ask_members(group)
        if not answers:
            if self._close_if_moving(group, head, fence):
                self._silences.pop(group.key, None)
                return
            answers = {UNKNOWN_MEMBER: _Answer.SILENT}
        if set(answers.values()) == {_Answer.CONFIRMED}:
            self._silences.pop(group.key, None)
            self._mark_confirmed(service, group.key)
            return
        if head.membership is None:
            return
        if not self._confirm_contact(service, now):
            for name in answers:
                self._unresponsive.pop(name, None)
            self._silences.pop(group.key, None)
            eliot.log_message("groups:no_contact", group=group.name)
            return
        is_silent = self._is_silent_for_long(group.key, answers, now)
        if is_silent or _has_lost_member(answers):
            self._end_group(service, group, head, answers, fence)

    def _check_headless_group(
        self, service: str, group: model.Group, fence: int
    ) -> None:
        """Releases or fences a group whose head is not listed.

        Nothing is done by a daemon that reaches no VM.
        """
        now = self._clock.monotonic()
        decision = self._headless.check(group, fence)
        if decision == fencing.Decision.WAIT:
            return
        if not self._confirm_contact(service, now):
            return
        if decision == fencing.Decision.RELEASE:
            self._mark_released(service, group.key)
        else:
            self._headless.fence_head(group, fence)

    def _end_group(
        self,
        service: str,
        group: model.Group,
        head: model.Vm,
        answers: abc.Mapping[str, "_Answer"],
        fence: int,
    ) -> None:
        """Orders a head to leave and releases the members once it has.

        A head that does not answer is fenced, before the order to it can time
        out if it was silent to the check already.

        Args:
            service: the service.
            group: the group.
            head: its head, which is listed.
            answers: what the members said in the check, as far as asked.
            fence: fencing token of the lease.
        """
        if answers.get(head.name) in _UNANSWERED:
            self._fence_listed_head(group, fence)
        leave = orders_module.Leave(
            vm=head, group=group.name, epoch=group.epoch
        )
        match self._send(leave, fence):
            case (
                orders_module.Outcome.ACCEPTED
                | orders_module.Outcome.IN_EFFECT
                | orders_module.Outcome.ANOTHER_VM
            ):
                self._mark_released(service, group.key)
            case (
                orders_module.Outcome.UNKNOWN
                | orders_module.Outcome.NOT_LISTENING
            ) if head.name not in answers:
                self._fence_listed_head(group, fence)
            case _:
                pass

    def _fence_listed_head(self, group: model.Group, fence: int) -> None:
        """Fences a head that does not answer while it is still listed.

        Its entry expires only seconds later. Until then nobody is served by a
        group that is stalled, and the members cannot be reused sooner.
        """
        if self._inventory.losses.find_loss(group.key) is None:
            self._headless.fence_head(group, fence)

    def _close_if_moving(
        self, group: model.Group, head: model.Vm, fence: int
    ) -> bool:
        """Closes a group that is too small but moves, so that requests end.

        Its model may have become larger since it was formed.

        Returns:
            Whether the group moves, as far as the daemons report.
        """
        if group.key in self._list_stalled_groups():
            return False
        reported = head.membership
        if reported is None or reported.state not in (
            model.MemberState.OPEN,
            model.MemberState.CLOSING,
        ):
            return False
        if reported.state == model.MemberState.OPEN:
            close = orders_module.Close(
                vm=head, group=group.name, epoch=group.epoch
            )
            self._send(close, fence)
        return True

    def _is_silent_for_long(
        self,
        key: tuple[str, int],
        answers: abc.Mapping[str, "_Answer"],
        now: datetime.timedelta,
    ) -> bool:
        """Records the members of a group that did not answer a check.

        Returns:
            Whether one of them has been silent for `SILENT_MEMBER_TIMEOUT`.
        """
        silent = {
            name for name, answer in answers.items() if answer == _Answer.SILENT
        }
        before = self._silences.get(key, {})
        since = {name: before.get(name, now) for name in silent}
        self._silences[key] = since
        return any(
            now - first >= SILENT_MEMBER_TIMEOUT for first in since.values()
        )

    def _ask_members(self, group: model.Group) -> dict[str, "_Answer"]:
        """Probes all members of a group and returns their answers by VM.

        The result is empty if the group has fewer members than its model needs.
        """
        missing = [
            departed.vm
            for departed in self._inventory.list_departed()
            if departed.vm.membership is not None
            and departed.vm.membership.key == group.key
        ]
        known_count = len(group.members) + len(missing)
        engine = self._find_engine(group.members[0].service)
        spec = None if engine is None else engine.find_model(group.model)
        if spec is None or known_count < spec.size:
            return {}
        vms = (*group.members, *missing)
        jobs = [gevent.spawn(self._ask_member, vm) for vm in vms]
        gevent.joinall(jobs)
        answers = {
            vm.name: job.value or _Answer.SILENT
            for vm, job in zip(vms, jobs, strict=True)
        }
        eliot.log_message(
            "groups:asked",
            group=group.name,
            missing=[vm.name for vm in missing],
            answers=[answer.value for answer in answers.values()],
        )
        for vm in missing:
            # It neither answers nor renews its entry, so it has ended.
            if answers[vm.name] == _Answer.SILENT:
                answers[vm.name] = _Answer.DENIED
        return answers

    def _ask_member(self, vm: model.Vm) -> "_Answer":
        """Probes a VM and returns what it says of its membership."""
        status = self._order_client.read_status(vm)
        if status is None:
            match self._order_client.probe_liveness(vm):
                case liveness.Liveness.ALIVE:
                    status = self._order_client.read_status(vm)
                case liveness.Liveness.DEAD:
                    self._unresponsive[vm.name] = self._clock.monotonic()
                    return _Answer.DEAD
        if status is None:
            self._unresponsive[vm.name] = self._clock.monotonic()
            return _Answer.SILENT
        reported = status.membership
        if reported is None or vm.membership is None:
            return _Answer.DENIED
        is_broken = reported.state == model.MemberState.BROKEN
        if reported.key != vm.membership.key or is_broken:
            return _Answer.DENIED
        return _Answer.CONFIRMED

    def _find_engine(self, service: str) -> catalog_model.Engine | None:
        catalog = self._catalog.get_current()
        entry = None if catalog is None else catalog.services.get(service)
        return None if entry is None else entry.engine

    def _mark_released(self, service: str, key: tuple[str, int]) -> None:
        eliot.log_message("groups:released", group=key[0], epoch=key[1])
        self._inventory.losses.record_end(key)
        planner_state = self._planner_states.get(service, state.PlannerState())
        self._planner_states[service] = state.mark_released(planner_state, key)

    def _mark_confirmed(self, service: str, key: tuple[str, int]) -> None:
        planner_state = self._planner_states.get(service, state.PlannerState())
        self._planner_states[service] = state.mark_confirmed(planner_state, key)

    def _run(self) -> None:
        while True:
            self._clock.sleep(PLAN_INTERVAL)
            try:
                self.run_cycle()
            except Exception:  # noqa: BLE001 - the loop must continue
                eliot.write_traceback()


def _has_lost_member(answers: abc.Mapping[str, _Answer]) -> bool:
    """Returns whether a member has ended or says that it is in no group."""
    return not {_Answer.DENIED, _Answer.DEAD}.isdisjoint(answers.values())


def _is_head(vm: model.Vm) -> bool:
    return vm.membership is not None and vm.membership.rank == 0
