"""Which orders to send next, as a pure function of what the VMs say.

The plan keeps two promises. A VM is used for another group only when the head
of its former group no longer serves it: the head says so, has left, has
started anew, or is gone. A head is opened only after each member itself has
been read as ready under the same name and epoch.

Where groups go is decided by `fleet.layout`. The VMs that are left over hold a
model of their domain: with them the next lost group is formed again in two
seconds, where a load from the weight store takes sixteen. A VM keeps the model
of its last group in memory, so its host's copy can be of another model: what
is left of two lost groups then makes a group of either.
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
from arbutuscove.fleet import state

# Time after which an order that shows no effect is sent again.
RESEND_AFTER = datetime.timedelta(milliseconds=1500)
# A group that is still not complete after the longest load and this time is
# given up, and its members are planned anew.
FORM_SLACK = datetime.timedelta(seconds=20)
NOT_YET_OPEN = frozenset((model.MemberState.JOINING, model.MemberState.READY))


def plan(situation: state.Situation, memory: state.Memory) -> state.Plan:
    """Returns the orders to send now."""
    return _Planner(situation, memory).run()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Choice:
    """A group that could be formed; the least `order` goes first."""

    domain: str
    members: list[model.Vm]
    cold: int
    order: tuple[int, int, int, int]


class _Planner:
    """Collects one plan."""

    def __init__(
        self, situation: state.Situation, memory: state.Memory
    ) -> None:
        self._situation = situation
        self._memory = memory
        self._engine = situation.engine
        self._by_name = {vm.name: vm for vm in situation.vms}
        self._groups = model.collect_groups(situation.vms)
        self._orders: list[orders.Order] = []
        self._unclear: list[model.Group] = []
        self._free: dict[str, model.Vm] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._epoch = situation.next_epoch
        self._forming: list[state.Forming] = []
        self._claimed: set[str] = set()
        self._targets = layout.find_targets(self._engine, len(situation.vms))
        self._uses: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._copies = copies.Copies(situation, memory.staging, self._by_name)
        self._exchanges = [
            found
            for found in memory.exchanges
            if situation.now - found.since < exchange.LONGEST
        ]
        self._given_up = {
            key for found in self._exchanges for key in found.groups
        }
        # Models that the free VMs of a domain are kept for.
        self._kept_for = {
            found.domain: found.model for found in self._exchanges
        }
        self._serving: list[model.Group] = []
        domains = {vm.fabric_domain for vm in situation.vms}
        self._many_domains = len(domains) >= layout.MANY_DOMAINS

    def run(self) -> state.Plan:
        """Returns the plan."""
        self._continue_forming()
        for group in self._groups.values():
            self._review(group)
        for vm in self._situation.vms:
            if vm.membership is None:
                self._offer(vm)
        self._count_uses()
        if self._situation.settled:
            self._form_groups()
            busy = {order.vm.name for order in self._orders}
            usable = [
                vm
                for vm in self._situation.vms
                if vm.name not in busy and self._is_usable(vm)
            ]
            self._copies.copy_ahead(usable, self._read_supply)
            self._orders += self._copies.orders
        now = self._situation.now
        sent = {
            name: last
            for name, last in self._memory.sent.items()
            if name in self._by_name
        }
        for order in self._orders:
            vm = order.vm
            sent[vm.name] = state.Sent(
                time=now,
                membership=vm.membership,
                started_at_ms=vm.started_at_ms,
            )
        listed = frozenset(self._groups)
        memory = state.Memory(
            staging=self._copies.running,
            forming=tuple(self._forming),
            sent=sent,
            released=self._memory.released & listed,
            kept=self._memory.kept & listed,
            exchanges=tuple(self._exchanges),
        )
        return state.Plan(
            orders=tuple(self._orders),
            memory=memory,
            next_epoch=self._epoch,
            unclear=tuple(self._unclear),
        )

    def _continue_forming(self) -> None:
        for forming in self._memory.forming:
            spec = self._engine.find_model(forming.model)
            members = [self._by_name.get(name) for name in forming.members]
            present = [vm for vm in members if vm and self._is_usable(vm)]
            if spec is None or len(present) < len(forming.members):
                continue
            longest = spec.load_time * self._count_rounds()
            if self._situation.now > forming.since + longest + FORM_SLACK:
                continue
            key = (forming.group, forming.epoch)
            found = [self._read_state(vm, key) for vm in present]
            if all(held is not None for held in found):
                # Complete in the VMs' own words; reviewed like any group.
                if set(found) <= NOT_YET_OPEN:
                    self._forming.append(forming)
                continue
            self._forming.append(forming)
            self._claimed.update(forming.members)
            self._counts[forming.model] += 1
            for vm, held in zip(present, found, strict=True):
                if held is None and self._may_send(vm):
                    self._join(vm, forming)

    def _count_rounds(self) -> float:
        """Returns how many times longer a load takes if all VMs load."""
        if self._situation.started:
            return 1.0
        together = max(1, self._engine.loads_at_once)
        return max(1.0, len(self._situation.vms) / together)

    def _review(self, group: model.Group) -> None:
        if any(vm.name in self._claimed for vm in group.members):
            return
        spec = self._engine.find_model(group.model)
        head = group.head
        if spec is None or head is None or head.membership is None:
            self._review_headless(group)
            return
        if group.key in self._given_up:
            self._give_up(group, head)
            return
        complete = len(group.members) == spec.size
        leaving = any(vm.leaving for vm in group.members)
        match head.membership.state:
            case model.MemberState.BROKEN:
                self._offer_all(group)
            case model.MemberState.CLOSING:
                return
            case model.MemberState.OPEN:
                self._review_open(group, head, complete, leaving)
            case _ if complete and not leaving:
                self._counts[group.model] += 1
                ready = group.states() == {model.MemberState.READY}
                if ready and self._may_send(head):
                    self._orders.append(
                        orders.Open(
                            vm=head, group=group.name, epoch=group.epoch
                        )
                    )
            case model.MemberState.READY:
                self._dissolve(group, head)
            case _:
                self._offer_all(group)

    def _give_up(self, group: model.Group, head: model.Vm) -> None:
        """Lets a group end its work, and its members go."""
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
                self._offer_all(group)

    def _dissolve(self, group: model.Group, head: model.Vm) -> None:
        """Lets a ready head leave before its members are used again.

        An order to open it may be on its way, or have been carried out without
        the list saying so yet.
        """
        if group.key in self._memory.released:
            self._offer_all(group)
        elif self._may_send(head):
            self._orders.append(
                orders.Leave(vm=head, group=group.name, epoch=group.epoch)
            )

    def _review_open(
        self, group: model.Group, head: model.Vm, complete: bool, leaving: bool
    ) -> None:
        if leaving:
            if self._may_send(head):
                self._orders.append(
                    orders.Close(vm=head, group=group.name, epoch=group.epoch)
                )
            return
        self._counts[group.model] += 1
        if complete or group.key in self._memory.kept:
            self._serving.append(group)
            if group.key in self._situation.stalled:
                self._unclear.append(group)
            return
        self._unclear.append(group)

    def _review_headless(self, group: model.Group) -> None:
        if group.key in self._memory.released:
            self._offer_all(group)
        else:
            self._unclear.append(group)

    def _offer_all(self, group: model.Group) -> None:
        # The head first: an open order to it that is still on its way must
        # find another count of orders before the members go elsewhere.
        for vm in group.members:
            self._offer(vm)

    def _offer(self, vm: model.Vm) -> None:
        if vm.name in self._claimed or not self._is_usable(vm):
            return
        if self._may_send(vm):
            self._free[vm.name] = vm

    def _is_usable(self, vm: model.Vm) -> bool:
        return not vm.leaving and vm.name not in self._situation.silent

    def _may_send(self, vm: model.Vm) -> bool:
        sent = self._memory.sent.get(vm.name)
        if sent is None:
            return True
        if (vm.membership, vm.started_at_ms) != (
            sent.membership,
            sent.started_at_ms,
        ):
            return True
        return self._situation.now >= sent.time + RESEND_AFTER

    def _form_groups(self) -> None:
        by_domain: dict[str, list[model.Vm]] = {}
        for vm in self._free.values():
            by_domain.setdefault(vm.fabric_domain, []).append(vm)
        while True:
            best = self._choose(by_domain)
            if best is None:
                break
            spec, domain, members = best
            for vm in members:
                by_domain[domain].remove(vm)
            self._uses[domain][spec.name] += spec.size
            self._form(spec, members)
            self._end_exchange(domain, spec.name)
        if self._situation.started and not self._exchanges:
            self._begin_exchange(by_domain)
        while spec_loaded := self._copies.load_for_a_group(
            by_domain, self._read_supply
        ):
            self._counts[spec_loaded.name] += 1
        homes = {
            domain: uses.most_common(1)[0][0]
            for domain, uses in self._uses.items()
            if uses
        }
        self._copies.copy_to_spares(by_domain, homes)
        for vms in by_domain.values():
            self._let_leave(vms)

    def _begin_exchange(self, by_domain: dict[str, list[model.Vm]]) -> None:
        """Gives groups up for a model that has far too few."""
        groups: dict[str, list[model.Group]] = {}
        for group in self._serving:
            if group.key not in self._situation.stalled:
                domain = group.members[0].fabric_domain
                groups.setdefault(domain, []).append(group)
        found = exchange.find(
            self._engine,
            self._targets,
            self._counts,
            [
                exchange.Domain(
                    name=name,
                    free=tuple(by_domain.get(name, ())),
                    groups=tuple(serving),
                )
                for name, serving in groups.items()
            ],
            self._situation.now,
        )
        if found is not None:
            self._exchanges.append(found)

    def _end_exchange(self, domain: str, formed: str) -> None:
        self._exchanges = [
            found
            for found in self._exchanges
            if (found.domain, found.model) != (domain, formed)
        ]

    def _let_leave(self, vms: list[model.Vm]) -> None:
        """Lets free VMs that no group needs leave their former group.

        The list then says that they are free. Another holder would first have
        to find out whether the head of that group has ended.
        """
        for vm in vms:
            held = vm.membership
            if held is not None:
                self._orders.append(
                    orders.Leave(vm=vm, group=held.group, epoch=held.epoch)
                )

    def _count_uses(self) -> None:
        """Counts the VMs of each domain by the model that they serve."""
        forming = {
            name: found.model
            for found in self._forming
            for name in found.members
        }
        for vm in self._situation.vms:
            used = forming.get(vm.name)
            if used is None and vm.membership is not None:
                used = model.parse_model_name(vm.membership.group)
            if used is not None and vm.name not in self._free:
                self._uses[vm.fabric_domain][used] += 1

    def _choose(
        self, by_domain: dict[str, list[model.Vm]]
    ) -> tuple[catalog_model.ModelSpec, str, list[model.Vm]] | None:
        """Returns the group to form next: model, domain and members."""
        for spec in sorted(self._engine.models, key=self._read_supply):
            choices = [
                self._rate(spec, domain, vms)
                for domain, vms in by_domain.items()
            ]
            found = [choice for choice in choices if choice is not None]
            if found:
                best = min(found, key=lambda choice: choice.order)
                self._copies.room -= best.cold
                return spec, best.domain, best.members
        return None

    def _rate(
        self,
        spec: catalog_model.ModelSpec,
        domain: str,
        vms: list[model.Vm],
    ) -> _Choice | None:
        """Returns the best group of a model in a domain, None without one."""
        if self._kept_for.get(domain, spec.name) != spec.name:
            return None
        warm = [vm for vm in vms if exchange.is_warm(vm, spec.name)]
        if self._read_supply(spec) >= 1.0:
            # Beyond its needs a model gets only what no other one lacks.
            warm = [vm for vm in warm if not self._is_wanted(vm)]
        members = sorted(warm, key=lambda vm: _rank_vm(vm, spec.name))
        members = members[: spec.size]
        cold = spec.size - len(members)
        if cold:
            if self._read_supply(spec) >= 1.0 or cold > self._copies.room:
                return None
            if self._count_coming(domain, spec.name) >= cold:
                # VMs that hold the model are about to be released here, and a
                # load takes longer than their release.
                return None
            if self._situation.started or members:
                # Warm VMs are not bound for the time of a load: another loss
                # may complete a group of them first.
                return None
            members = [
                vm
                for vm in vms
                if self._copies.may_load(vm, spec, self._read_supply)
            ][:cold]
            if len(members) < cold:
                return None
        rating = layout.rate_domain(
            spec,
            self._uses[domain],
            self._targets[spec.name],
            self._many_domains,
        )
        order = (cold, *rating, -len(vms))
        return _Choice(domain=domain, members=members, cold=cold, order=order)

    def _is_wanted(self, vm: model.Vm) -> bool:
        """Returns whether a model that lacks groups could use a VM."""
        return any(
            exchange.is_warm(vm, spec.name) and self._read_supply(spec) < 1.0
            for spec in self._engine.models
        )

    def _count_coming(self, domain: str, wanted: str) -> int:
        """Returns how many VMs with a model a domain will soon have free."""
        return sum(
            exchange.is_warm(vm, wanted) and self._is_usable(vm)
            for group in self._unclear
            for vm in group.members
            if vm.fabric_domain == domain
        )

    def _read_supply(self, spec: catalog_model.ModelSpec) -> float:
        """Returns the groups of a model as a part of those that it needs."""
        return self._counts[spec.name] / self._targets[spec.name]

    def _form(
        self, spec: catalog_model.ModelSpec, members: list[model.Vm]
    ) -> None:
        forming = state.Forming(
            group=model.create_group_name(spec.name, self._epoch),
            epoch=self._epoch,
            model=spec.name,
            members=tuple(vm.name for vm in members),
            since=self._situation.now,
        )
        self._epoch += 1
        self._counts[spec.name] += 1
        self._forming.append(forming)
        for vm in members:
            self._join(vm, forming)

    def _join(self, vm: model.Vm, forming: state.Forming) -> None:
        self._orders.append(
            orders.Join(
                vm=vm,
                group=forming.group,
                epoch=forming.epoch,
                model=forming.model,
                members=forming.members,
            )
        )

    def _read_state(
        self, vm: model.Vm, key: tuple[str, int]
    ) -> model.MemberState | None:
        if vm.membership is None or vm.membership.key != key:
            return None
        return vm.membership.state


def _rank_vm(vm: model.Vm, wanted: str) -> tuple[bool, str]:
    """Orders VMs that hold a model: first those that served it last."""
    return (vm.last_model != wanted, vm.name)
