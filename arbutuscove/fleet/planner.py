"""Computation of the next orders from the reported state of the VMs.

The plan is a pure function of its input and keeps two invariants:

- A VM is reused for another group only if the head of its former group no
  longer serves that group: the head has reported so, has left, has restarted,
  or was found to have ended, or the group lost a member long enough before.
- A head is opened only after each member itself has reported to be ready under
  the same group name and epoch.

`fleet.layout` decides where groups are placed. The VMs left over stage a model
of their domain, so that a lost group can be formed again in two seconds; a
load from the weight store takes sixteen. A VM keeps the model of its last
group in memory, so that its host can store a copy of another model. The VMs
left over from two lost groups can then form a group of either model.
"""

import collections
import dataclasses
import datetime

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import copies
from arbutuscove.fleet import exchange
from arbutuscove.fleet import layout
from arbutuscove.fleet import model
from arbutuscove.fleet import orders
from arbutuscove.fleet import pause
from arbutuscove.fleet import state

# An order without visible effect is sent again after this time.
RESEND_AFTER = datetime.timedelta(milliseconds=1500)
# A group that is not complete after the longest load time plus this time is
# abandoned, and its members are planned again.
FORMATION_SLACK = datetime.timedelta(seconds=20)
UNOPENED_STATES = frozenset(
    (model.MemberState.JOINING, model.MemberState.READY)
)


def plan(
    plan_input: state.PlanInput, planner_state: state.PlannerState
) -> state.Plan:
    """Computes the orders to send now.

    Args:
        plan_input: snapshot of the service.
        planner_state: the state after the previous plan.

    Returns:
        The orders and the planner's next state.
    """
    paused = pause.find_paused(plan_input, planner_state)
    if not paused.vms:
        return _Planner(plan_input, planner_state).run()
    result = _Planner(
        pause.leave_out(plan_input, paused),
        pause.leave_out_state(planner_state, paused),
    ).run()
    next_state = pause.add_back(
        result.next_state, planner_state, paused, plan_input.now
    )
    return dataclasses.replace(result, next_state=next_state)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Candidate:
    """A group that could be formed; the least `sort_key` goes first.

    `cold_count` is how many members must load the model from the weight store.
    """

    domain: str
    members: list[model.Vm]
    cold_count: int
    sort_key: tuple[int, int, int, int, int]


class _Planner:
    """Computes one plan."""

    def __init__(
        self, plan_input: state.PlanInput, planner_state: state.PlannerState
    ) -> None:
        self._input = plan_input
        self._state = planner_state
        self._engine = plan_input.engine
        self._by_name = {vm.name: vm for vm in plan_input.vms}
        self._groups = model.collect_groups(plan_input.vms)
        self._orders: list[orders.Order] = []
        self._unverified: list[model.Group] = []
        self._free: dict[str, model.Vm] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._epoch = plan_input.next_epoch
        self._forming: list[state.FormingGroup] = []
        self._reserved_vms: set[str] = set()
        self._targets = layout.compute_target_counts(
            self._engine, len(plan_input.vms)
        )
        self._uses: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        # The same by failure domain.
        self._spread: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._stager = copies.StagingPlanner(
            plan_input, planner_state.staging, self._by_name
        )
        self._reallocations = [
            current
            for current in planner_state.reallocations
            if plan_input.now - current.since
            < exchange.MAX_REALLOCATION_DURATION
        ]
        self._donor_keys = {
            key for current in self._reallocations for key in current.groups
        }
        # The only model that the free VMs of a domain may be used for.
        self._reserved_models = {
            current.domain: current.model for current in self._reallocations
        }
        self._serving: list[model.Group] = []
        domains = {vm.fabric_domain for vm in plan_input.vms}
        self._has_dedicated_domains = (
            len(domains) >= layout.MIN_DOMAINS_FOR_DEDICATION
        )

    def run(self) -> state.Plan:
        """Computes the plan."""
        self._continue_forming()
        for group in self._groups.values():
            self._plan_group(group)
        for vm in self._input.vms:
            if vm.membership is None:
                self._mark_free(vm)
        self._count_uses()
        if self._input.is_list_stable:
            self._form_groups()
            busy = {order.vm.name for order in self._orders}
            usable = [
                vm
                for vm in self._input.vms
                if vm.name not in busy and self._is_usable(vm)
            ]
            self._stager.prefetch(usable, self._compute_supply)
            self._orders += self._stager.orders
        now = self._input.now
        last_orders = {
            name: last
            for name, last in self._state.last_orders.items()
            if name in self._by_name
        }
        for order in self._orders:
            vm = order.vm
            last_orders[vm.name] = state.SentOrder(
                time=now,
                membership=vm.membership,
                started_at_ms=vm.started_at_ms,
            )
        listed = frozenset(self._groups)
        next_state = state.PlannerState(
            staging=self._stager.running,
            forming=tuple(self._forming),
            last_orders=last_orders,
            released=self._state.released & listed,
            confirmed=self._state.confirmed & listed,
            reallocations=tuple(self._reallocations),
        )
        return state.Plan(
            orders=tuple(self._orders),
            next_state=next_state,
            next_epoch=self._epoch,
            unverified=tuple(self._unverified),
        )

    def _continue_forming(self) -> None:
        """Continues the groups being formed and abandons those overdue.

        A group is abandoned, too, if a member is no longer usable.
        """
        for forming in self._state.forming:
            spec = self._engine.find_model(forming.model)
            members = [self._by_name.get(name) for name in forming.members]
            present = [vm for vm in members if vm and self._is_usable(vm)]
            if spec is None or len(present) < len(forming.members):
                continue
            longest = spec.load_time * self._compute_load_slowdown()
            if self._input.now > forming.since + longest + FORMATION_SLACK:
                continue
            key = (forming.group, forming.epoch)
            states = [self._get_member_state(vm, key) for vm in present]
            if all(member_state is not None for member_state in states):
                # All members report the membership; `_plan_group` does the
                # rest, as for any other group.
                if set(states) <= UNOPENED_STATES:
                    self._forming.append(forming)
                continue
            self._forming.append(forming)
            self._reserved_vms.update(forming.members)
            self._counts[forming.model] += 1
            for vm, member_state in zip(present, states, strict=True):
                if member_state is None and self._may_send(vm):
                    self._join(vm, forming)

    def _compute_load_slowdown(self) -> float:
        """Returns the factor by which a load is slower while all VMs load."""
        if self._input.has_traffic:
            return 1.0
        concurrent = max(1, self._engine.loads_at_once)
        return max(1.0, len(self._input.vms) / concurrent)

    def _plan_group(self, group: model.Group) -> None:
        if any(vm.name in self._reserved_vms for vm in group.members):
            return
        spec = self._engine.find_model(group.model)
        head = group.head
        if head is None or head.membership is None:
            self._plan_headless_group(group)
            return
        if spec is None or group.key in self._donor_keys:
            self._vacate(group, head)
            return
        is_complete = len(group.members) == spec.size
        is_leaving = any(vm.leaving for vm in group.members)
        match head.membership.state:
            case model.MemberState.BROKEN:
                self._mark_all_free(group)
            case model.MemberState.CLOSING:
                return
            case model.MemberState.OPEN:
                self._plan_open_group(group, head, is_complete, is_leaving)
            case _ if is_complete and not is_leaving:
                self._counts[group.model] += 1
                is_ready = group.collect_states() == {model.MemberState.READY}
                if is_ready and self._may_send(head):
                    self._orders.append(
                        orders.Open(
                            vm=head, group=group.name, epoch=group.epoch
                        )
                    )
            case model.MemberState.READY:
                self._dissolve(group, head)
            case _:
                self._mark_all_free(group)

    def _vacate(self, group: model.Group, head: model.Vm) -> None:
        """Closes a group and frees its members once its requests are done."""
        assert head.membership is not None
        match head.membership.state:
            case model.MemberState.OPEN:
                if self._may_send(head):
                    self._orders.append(
                        orders.Close(
                            vm=head, group=group.name, epoch=group.epoch
                        )
                    )
            case model.MemberState.CLOSING:
                return
            case model.MemberState.READY:
                self._dissolve(group, head)
            case _:
                self._mark_all_free(group)

    def _dissolve(self, group: model.Group, head: model.Vm) -> None:
        """Makes a ready head leave before its members are reused.

        An order to open the head may be in flight, or may have taken effect
        without being visible in the list yet.
        """
        if group.key in self._state.released:
            self._mark_all_free(group)
        elif self._may_send(head):
            self._orders.append(
                orders.Leave(vm=head, group=group.name, epoch=group.epoch)
            )

    def _plan_open_group(
        self,
        group: model.Group,
        head: model.Vm,
        is_complete: bool,
        is_leaving: bool,
    ) -> None:
        if is_leaving:
            if self._may_send(head):
                self._orders.append(
                    orders.Close(vm=head, group=group.name, epoch=group.epoch)
                )
            return
        self._counts[group.model] += 1
        if is_complete or group.key in self._state.confirmed:
            self._serving.append(group)
            if group.key in self._input.stalled:
                self._unverified.append(group)
            return
        self._unverified.append(group)

    def _plan_headless_group(self, group: model.Group) -> None:
        if group.key in self._state.released:
            self._mark_all_free(group)
        else:
            self._unverified.append(group)

    def _mark_all_free(self, group: model.Group) -> None:
        # Members are sorted by rank, so that the head comes first: its order
        # count must have changed, so that an open order still in flight is
        # refused, before the members join another group.
        for vm in group.members:
            self._mark_free(vm)

    def _mark_free(self, vm: model.Vm) -> None:
        if vm.name in self._reserved_vms or not self._is_usable(vm):
            return
        if vm.name in self._input.withheld:
            return
        if self._may_send(vm):
            self._free[vm.name] = vm

    def _is_usable(self, vm: model.Vm) -> bool:
        return not vm.leaving and vm.name not in self._input.unresponsive

    def _may_send(self, vm: model.Vm) -> bool:
        """Returns whether the last order took effect or is due for a retry."""
        if vm.name in self._input.pending:
            return False
        last = self._state.last_orders.get(vm.name)
        if last is None:
            return True
        if (vm.membership, vm.started_at_ms) != (
            last.membership,
            last.started_at_ms,
        ):
            return True
        sent = max(last.time, self._input.finished.get(vm.name, last.time))
        return self._input.now >= sent + RESEND_AFTER

    def _form_groups(self) -> None:
        by_domain: dict[str, list[model.Vm]] = {}
        for vm in self._free.values():
            by_domain.setdefault(vm.fabric_domain, []).append(vm)
        while True:
            choice = self._choose_next_group(by_domain)
            if choice is None:
                break
            spec, domain, members = choice
            for vm in members:
                by_domain[domain].remove(vm)
            self._uses[domain][spec.name] += spec.size
            near = members[0].failure_domain
            self._spread[near][spec.name] += spec.size
            self._form(spec, members)
            self._end_reallocation(domain, spec.name)
        if self._input.has_traffic and not self._reallocations:
            self._begin_reallocation(by_domain)
        while staged_spec := self._stager.stage_next_group(
            by_domain, self._compute_supply
        ):
            self._counts[staged_spec.name] += 1
        main_models = {
            domain: uses.most_common(1)[0][0]
            for domain, uses in self._uses.items()
            if uses
        }
        self._stager.stage_spares(by_domain, main_models)
        for vms in by_domain.values():
            self._order_leave(vms)

    def _begin_reallocation(self, by_domain: dict[str, list[model.Vm]]) -> None:
        """Selects groups to close in favor of a model with far too few."""
        groups: dict[str, list[model.Group]] = {}
        for group in self._serving:
            if group.key not in self._input.stalled:
                domain = group.members[0].fabric_domain
                groups.setdefault(domain, []).append(group)
        selected = exchange.find_reallocation(
            self._engine,
            self._targets,
            self._counts,
            [
                exchange.DomainState(
                    name=name,
                    free=tuple(by_domain.get(name, ())),
                    groups=tuple(serving),
                )
                for name, serving in groups.items()
            ],
            self._input.now,
        )
        if selected is not None:
            self._reallocations.append(selected)

    def _end_reallocation(self, domain: str, formed: str) -> None:
        self._reallocations = [
            current
            for current in self._reallocations
            if (current.domain, current.model) != (domain, formed)
        ]

    def _order_leave(self, vms: list[model.Vm]) -> None:
        """Orders free VMs that no group needs to leave their former group.

        The list then shows that they are free. Otherwise, another lease holder
        would first have to find out whether the head of that group has ended.
        """
        for vm in vms:
            reported = vm.membership
            if reported is not None:
                self._orders.append(
                    orders.Leave(
                        vm=vm, group=reported.group, epoch=reported.epoch
                    )
                )

    def _count_uses(self) -> None:
        """Counts the VMs of each domain by the model that they serve."""
        forming = {
            name: pending.model
            for pending in self._forming
            for name in pending.members
        }
        for vm in self._input.vms:
            used = forming.get(vm.name)
            if used is None and vm.membership is not None:
                used = model.parse_model_name(vm.membership.group)
            if used is not None and vm.name not in self._free:
                self._uses[vm.fabric_domain][used] += 1
                self._spread[vm.failure_domain][used] += 1

    def _choose_next_group(
        self, by_domain: dict[str, list[model.Vm]]
    ) -> tuple[catalog_model.ModelSpec, str, list[model.Vm]] | None:
        """Returns the group to form next: model, domain and members."""
        for spec in sorted(self._engine.models, key=self._compute_supply):
            results = [
                self._build_candidate(spec, domain, vms)
                for domain, vms in by_domain.items()
            ]
            candidates = [result for result in results if result is not None]
            if candidates:
                best = min(candidates, key=lambda candidate: candidate.sort_key)
                self._stager.load_budget -= best.cold_count
                return spec, best.domain, best.members
        return None

    def _build_candidate(
        self,
        spec: catalog_model.ModelSpec,
        domain: str,
        vms: list[model.Vm],
    ) -> _Candidate | None:
        """Returns the best group of a model in a domain, or None."""
        if self._reserved_models.get(domain, spec.name) != spec.name:
            return None
        warm = [vm for vm in vms if exchange.is_warm(vm, spec.name)]
        if self._compute_supply(spec) >= 1.0:
            # Beyond its target, a model gets only VMs that no scarce model
            # could use.
            warm = [vm for vm in warm if not self._is_needed_by_scarce(vm)]
        members = sorted(warm, key=lambda vm: _get_sort_key(vm, spec.name))
        members = members[: spec.size]
        cold_count = spec.size - len(members)
        if cold_count:
            if (
                self._compute_supply(spec) >= 1.0
                or cold_count > self._stager.load_budget
            ):
                return None
            if self._count_soon_free(domain, spec.name) >= cold_count:
                # Warm VMs of this domain will soon be released, and a load
                # takes longer than their release.
                return None
            if self._input.has_traffic or members:
                # Warm VMs are not reserved for the duration of a load, because
                # another loss may complete a group of warm VMs earlier.
                return None
            members = [
                vm
                for vm in vms
                if self._stager.may_load(vm, spec, self._compute_supply)
            ][:cold_count]
            if len(members) < cold_count:
                return None
        score = layout.score_domain(
            spec,
            self._uses[domain],
            self._targets[spec.name],
            self._has_dedicated_domains,
        )
        # Each failure domain should serve each model: others may be evacuated.
        near = self._spread[vms[0].failure_domain][spec.name]
        sort_key = (cold_count, *score, near, -len(vms))
        return _Candidate(
            domain=domain,
            members=members,
            cold_count=cold_count,
            sort_key=sort_key,
        )

    def _is_needed_by_scarce(self, vm: model.Vm) -> bool:
        """Returns whether a model below its target could use a warm VM."""
        return any(
            exchange.is_warm(vm, spec.name) and self._compute_supply(spec) < 1.0
            for spec in self._engine.models
        )

    def _count_soon_free(self, domain: str, model_name: str) -> int:
        """Counts the warm VMs of a domain in groups to be verified."""
        return sum(
            exchange.is_warm(vm, model_name) and self._is_usable(vm)
            for group in self._unverified
            for vm in group.members
            if vm.fabric_domain == domain
        )

    def _compute_supply(self, spec: catalog_model.ModelSpec) -> float:
        """Returns the groups of a model, as a fraction of its target."""
        return self._counts[spec.name] / self._targets[spec.name]

    def _form(
        self, spec: catalog_model.ModelSpec, members: list[model.Vm]
    ) -> None:
        forming = state.FormingGroup(
            group=model.create_group_name(spec.name, self._epoch),
            epoch=self._epoch,
            model=spec.name,
            members=tuple(vm.name for vm in members),
            since=self._input.now,
        )
        self._epoch += 1
        self._counts[spec.name] += 1
        self._forming.append(forming)
        for vm in members:
            self._join(vm, forming)

    def _join(self, vm: model.Vm, forming: state.FormingGroup) -> None:
        self._orders.append(
            orders.Join(
                vm=vm,
                group=forming.group,
                epoch=forming.epoch,
                model=forming.model,
                members=forming.members,
            )
        )

    def _get_member_state(
        self, vm: model.Vm, key: tuple[str, int]
    ) -> model.MemberState | None:
        if vm.membership is None or vm.membership.key != key:
            return None
        return vm.membership.state


def _get_sort_key(vm: model.Vm, model_name: str) -> tuple[bool, str]:
    """Sorts VMs whose last model is `model_name` first; names break ties."""
    return (vm.last_model != model_name, vm.name)
