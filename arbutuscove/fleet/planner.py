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
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import layout
from arbutuscove.fleet import model
from arbutuscove.fleet import orders

# Time after which an order that shows no effect is sent again.
RESEND_AFTER = datetime.timedelta(milliseconds=1500)
# Of the loads that may run side by side, those for models that a VM may need
# later. The others are left for VMs that can serve nothing before.
AHEAD_SHARE = 0.25
# A copy that has not come after so many times its load is asked for again.
COPY_PATIENCE = 4
# A group that is still not complete after the longest load and this time is
# given up, and its members are planned anew.
FORM_SLACK = datetime.timedelta(seconds=20)
NOT_YET_OPEN = frozenset((model.MemberState.JOINING, model.MemberState.READY))


# A VM's name and start, and the model that it copies to its host.
Copy = tuple[str, int, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forming:
    """A group that this holder is forming."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """When a VM was last sent an order, and what it said of itself then."""

    time: datetime.timedelta
    membership: model.Membership | None
    born: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Memory:
    """What a holder remembers between plans.

    `sent` is when each VM was last sent an order; `staging` names the VMs that
    were told to copy a model, their starts and the model, and says when they
    were told. `released` are groups
    whose absent head no longer serves, `kept` those whose absent member answers
    for itself.
    """

    forming: tuple[Forming, ...] = ()
    sent: abc.Mapping[str, Sent] = dataclasses.field(default_factory=dict)
    staging: abc.Mapping[Copy, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    released: frozenset[tuple[str, int]] = frozenset()
    kept: frozenset[tuple[str, int]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Situation:
    """What a plan is made from.

    `vms` are all listed VMs of the service, leaving ones too. `stalled` are
    groups that move nothing, seen by the daemons that use them; `silent` are
    VMs that gave no answer a moment ago. `next_epoch` is above all epochs given
    before. `loads` is how many loads from the weight store may begin now. While
    not `settled`, VMs are still being listed, and no group is formed. Once
    callers have `started`, loads take their full time.
    """

    engine: catalog_model.Engine
    vms: tuple[model.Vm, ...]
    now: datetime.timedelta
    next_epoch: int
    loads: int
    stalled: frozenset[tuple[str, int]] = frozenset()
    silent: frozenset[str] = frozenset()
    settled: bool = True
    started: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Orders to send now, and what to remember.

    `unclear` are groups with a missing member or head, whose VMs have to be
    asked before they are used again.
    """

    orders: tuple[orders.Order, ...]
    memory: Memory
    next_epoch: int
    unclear: tuple[model.Group, ...]


def plan(situation: Situation, memory: Memory) -> Plan:
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

    def __init__(self, situation: Situation, memory: Memory) -> None:
        self._situation = situation
        self._memory = memory
        self._engine = situation.engine
        self._by_name = {vm.name: vm for vm in situation.vms}
        self._groups = model.list_groups(situation.vms)
        self._orders: list[orders.Order] = []
        self._unclear: list[model.Group] = []
        self._free: dict[str, model.Vm] = {}
        self._counts: collections.Counter[str] = collections.Counter()
        self._epoch = situation.next_epoch
        self._forming: list[Forming] = []
        self._claimed: set[str] = set()
        self._targets = layout.find_targets(self._engine, len(situation.vms))
        self._uses: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._staging = self._list_copies()
        self._loads = self._count_loads()
        domains = {vm.fabric_domain for vm in situation.vms}
        self._many_domains = len(domains) >= layout.MANY_DOMAINS

    def run(self) -> Plan:
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
            self._copy_ahead()
        now = self._situation.now
        sent = {
            name: last
            for name, last in self._memory.sent.items()
            if name in self._by_name
        }
        for order in self._orders:
            vm = order.vm
            sent[vm.name] = Sent(
                time=now, membership=vm.membership, born=vm.born
            )
        listed = frozenset(self._groups)
        memory = Memory(
            staging=self._staging,
            forming=tuple(self._forming),
            sent=sent,
            released=self._memory.released & listed,
            kept=self._memory.kept & listed,
        )
        return Plan(
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
            states = [self._read_state(vm, key) for vm in present]
            if all(state is not None for state in states):
                # Complete in the VMs' own words; reviewed like any group.
                if set(states) <= NOT_YET_OPEN:
                    self._forming.append(forming)
                continue
            self._forming.append(forming)
            self._claimed.update(forming.members)
            self._counts[forming.model] += 1
            for vm, state in zip(present, states, strict=True):
                if state is None and self._may_send(vm):
                    self._join(vm, forming)

    def _count_rounds(self) -> float:
        """Returns how many times longer a load takes if all VMs load."""
        if self._situation.started:
            return 1.0
        together = max(1, self._engine.loads_at_once)
        return max(1.0, len(self._situation.vms) / together)

    def _count_loads(self) -> int:
        """Returns how many loads may begin now.

        Beyond those that run side by side, loads only slow one another.
        """
        if not self._situation.started:
            return self._situation.loads
        running = len(self._staging) + sum(
            vm.membership is not None
            and vm.membership.state == model.MemberState.JOINING
            and model.read_model(vm.membership.group) not in vm.staged
            for vm in self._situation.vms
        )
        room = self._engine.loads_at_once - running
        return max(0, min(self._situation.loads, room))

    def _list_copies(self) -> dict[Copy, datetime.timedelta]:
        """Returns the copies that may still be under way."""
        found: dict[Copy, datetime.timedelta] = {}
        for copy, since in self._memory.staging.items():
            name, born, wanted = copy
            vm = self._by_name.get(name)
            spec = self._engine.find_model(wanted)
            if vm is None or spec is None or vm.born != born:
                continue
            patience = spec.load_time * COPY_PATIENCE
            if (
                wanted not in vm.staged
                and self._situation.now - since < patience
            ):
                found[copy] = since
        return found

    def _review(self, group: model.Group) -> None:
        if any(vm.name in self._claimed for vm in group.members):
            return
        spec = self._engine.find_model(group.model)
        head = group.head
        if spec is None or head is None or head.membership is None:
            self._review_headless(group)
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
        if (vm.membership, vm.born) != (sent.membership, sent.born):
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
        while self._load_for_a_group(by_domain):
            pass
        self._stage_spares(by_domain)
        for vms in by_domain.values():
            self._let_leave(vms)

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
                used = model.read_model(vm.membership.group)
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
                self._loads -= best.cold
                return spec, best.domain, best.members
        return None

    def _rate(
        self,
        spec: catalog_model.ModelSpec,
        domain: str,
        vms: list[model.Vm],
    ) -> _Choice | None:
        """Returns the best group of a model in a domain, None without one."""
        warm = [vm for vm in vms if _is_warm(vm, spec.name)]
        members = sorted(warm, key=lambda vm: _rank_vm(vm, spec.name))
        members = members[: spec.size]
        cold = spec.size - len(members)
        if cold:
            if self._read_supply(spec) >= 1.0 or cold > self._loads:
                return None
            if self._count_coming(domain, spec.name) >= cold:
                # VMs that hold the model are about to be released here, and a
                # load takes longer than their release.
                return None
            if self._situation.started or members:
                # Warm VMs are not bound for the time of a load: another loss
                # may complete a group of them first.
                return None
            members = [vm for vm in vms if self._may_load(vm, spec)][:cold]
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

    def _load_for_a_group(self, by_domain: dict[str, list[model.Vm]]) -> bool:
        """Has the VMs copy a model that one more group lacks.

        The group that needs the fewest loads goes first. Its VMs are set aside
        in this plan; returns whether there was such a group.
        """
        if self._loads < 1:
            return False
        found: list[tuple[int, float, str, catalog_model.ModelSpec]] = []
        for spec in self._engine.models:
            supply = self._read_supply(spec)
            for domain, vms in by_domain.items():
                missing = spec.size - len(self._list_coming(vms, spec))
                able = [vm for vm in vms if self._may_load(vm, spec)]
                if supply < 1.0 and missing <= len(able):
                    found.append((max(0, missing), supply, domain, spec))
        if not found:
            return False
        missing, _, domain, spec = min(found, key=lambda one: one[:3])
        vms = by_domain[domain]
        coming = self._list_coming(vms, spec)[: spec.size]
        able = [vm for vm in vms if self._may_load(vm, spec)]
        able = sorted(able, key=lambda vm: len(vm.staged))[:missing]
        self._note_stages(able, spec)
        self._counts[spec.name] += 1
        used = {vm.name for vm in (*coming, *able)}
        by_domain[domain] = [vm for vm in vms if vm.name not in used]
        return True

    def _list_coming(
        self, vms: list[model.Vm], spec: catalog_model.ModelSpec
    ) -> list[model.Vm]:
        """Returns the VMs that hold a model or are copying it."""
        return [
            vm
            for vm in vms
            if _is_warm(vm, spec.name)
            or (vm.name, vm.born, spec.name) in self._staging
        ]

    def _note_stages(
        self, vms: list[model.Vm], spec: catalog_model.ModelSpec
    ) -> None:
        """Has VMs copy a model, so that they can complete a group later."""
        copying = {copy[0] for copy in self._staging}
        for vm in vms:
            if vm.name not in copying and self._loads >= 1:
                self._loads -= 1
                copy = (vm.name, vm.born, spec.name)
                self._staging[copy] = self._situation.now
                self._orders.append(orders.Stage(vm=vm, model=spec.name))

    def _may_load(self, vm: model.Vm, spec: catalog_model.ModelSpec) -> bool:
        """Returns whether a VM may load a model over what its host holds."""
        if _is_warm(vm, spec.name):
            return False
        if any(copy[:2] == (vm.name, vm.born) for copy in self._staging):
            return False
        held = [
            self._engine.find_model(name)
            for name in vm.staged
            if name != vm.served
        ]
        return all(
            other is None or self._read_supply(other) >= 1.0 for other in held
        )

    def _stage_spares(self, by_domain: dict[str, list[model.Vm]]) -> None:
        """Copies the model of a domain to its spare VMs ahead of a loss."""
        for domain, vms in by_domain.items():
            home = self._uses[domain].most_common(1)
            if not home:
                continue
            spec = self._engine.find_model(home[0][0])
            copying = {name for name, _, _ in self._staging}
            empty = [
                vm for vm in vms if not vm.staged and vm.name not in copying
            ]
            if spec is not None:
                self._note_stages(empty, spec)

    def _copy_ahead(self) -> None:
        """Has VMs copy a model beside the one that they hold in memory.

        A host keeps few copies; that of the model in memory is not needed
        while the VM lives. Loads that are needed now go first.
        """
        room = len(self._situation.vms)
        if self._situation.started:
            room = int(self._engine.loads_at_once * AHEAD_SHARE)
            room -= len(self._staging)
        ordered = {order.vm.name for order in self._orders}
        for vm in self._situation.vms:
            if room < 1 or self._loads < 1:
                return
            spec = self._pick_other(vm)
            if spec is not None and vm.name not in ordered:
                self._note_stages([vm], spec)
                room -= 1

    def _pick_other(self, vm: model.Vm) -> catalog_model.ModelSpec | None:
        """Returns the model that a VM should copy ahead, None for none."""
        held = vm.membership
        joining = held is not None and held.state == model.MemberState.JOINING
        if not vm.served or joining or not self._is_usable(vm):
            return None
        if any(name != vm.served for name in vm.staged):
            return None
        others = [
            spec for spec in self._engine.models if spec.name != vm.served
        ]
        return min(others, key=self._read_supply, default=None)

    def _count_coming(self, domain: str, wanted: str) -> int:
        """Returns how many VMs with a model a domain will soon have free."""
        return sum(
            _is_warm(vm, wanted) and self._is_usable(vm)
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
        forming = Forming(
            group=model.create_name(spec.name, self._epoch),
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

    def _join(self, vm: model.Vm, forming: Forming) -> None:
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
    return (vm.served != wanted, vm.name)


def _is_warm(vm: model.Vm, wanted: str) -> bool:
    """Returns whether a VM holds a model in memory or on its host."""
    return wanted in vm.staged or vm.served == wanted


def release(memory: Memory, key: tuple[str, int]) -> Memory:
    """Returns the memory after a group's absent head was found gone."""
    return dataclasses.replace(memory, released=memory.released | {key})


def keep(memory: Memory, key: tuple[str, int]) -> Memory:
    """Returns the memory after each member answered for itself."""
    return dataclasses.replace(memory, kept=memory.kept | {key})


def forget_copy(memory: Memory, copy: Copy) -> Memory:
    """Returns the memory after a VM refused to copy a model."""
    staging = {
        found: since for found, since in memory.staging.items() if found != copy
    }
    return dataclasses.replace(memory, staging=staging)
