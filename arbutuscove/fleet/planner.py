"""Which orders to send next, as a pure function of what the VMs say.

The plan keeps two promises. A VM is used for another group only when the head
of its former group no longer serves it: the head says so, has left, has
started anew, or is gone. A head is opened only after each member itself has
been read as ready under the same name and epoch.

Groups never span fabric domains, since that slows every step. Among models,
the one whose groups carry the most work each gets the next group; among VMs,
those that hold the model already go first, as a load takes ten times as long.
"""

import collections
import dataclasses
import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import model
from arbutuscove.fleet import orders

# Time after which an order that shows no effect is sent again.
RESEND_AFTER = datetime.timedelta(milliseconds=1500)
# A group that is still not complete after the longest load and this time is
# given up, and its members are planned anew.
FORM_SLACK = datetime.timedelta(seconds=20)
NOT_YET_OPEN = frozenset((model.MemberState.JOINING, model.MemberState.READY))


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

    `sent` is when each VM was last sent an order.
    `released` are groups whose absent head no longer serves, `kept` those
    whose absent member answers for itself.
    """

    forming: tuple[Forming, ...] = ()
    sent: abc.Mapping[str, Sent] = dataclasses.field(default_factory=dict)
    released: frozenset[tuple[str, int]] = frozenset()
    kept: frozenset[tuple[str, int]] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Situation:
    """What a plan is made from.

    `vms` are all listed VMs of the service, leaving ones too. `stalled` are
    groups that move nothing, seen by the daemons that use them; `silent` are
    VMs that gave no answer a moment ago. `next_epoch`
    is above all epochs given before. `loads` is how many loads from the weight
    store may begin now.
    """

    engine: catalog_model.Engine
    vms: tuple[model.Vm, ...]
    now: datetime.timedelta
    next_epoch: int
    loads: int
    stalled: frozenset[tuple[str, int]] = frozenset()
    silent: frozenset[str] = frozenset()


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
        self._loads = situation.loads
        self._forming: list[Forming] = []
        self._claimed: set[str] = set()

    def run(self) -> Plan:
        """Returns the plan."""
        self._continue_forming()
        for group in self._groups.values():
            self._review(group)
        for vm in self._situation.vms:
            if vm.membership is None:
                self._offer(vm)
        self._form_groups()
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
            longest = spec.load_time * max(1, len(self._situation.vms) // 8)
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
            case _:
                self._offer_all(group)

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
        targets = find_targets(self._engine, len(self._situation.vms))
        while True:
            best = self._choose(by_domain, targets)
            if best is None:
                return
            spec, domain, members = best
            for vm in members:
                by_domain[domain].remove(vm)
            self._form(spec, members)

    def _choose(
        self,
        by_domain: dict[str, list[model.Vm]],
        targets: abc.Mapping[str, int],
    ) -> tuple[catalog_model.ModelSpec, str, list[model.Vm]] | None:
        specs = sorted(self._engine.models, key=self._weigh, reverse=True)
        for spec in specs:
            choices = []
            for domain, vms in by_domain.items():
                if len(vms) < spec.size:
                    continue
                ordered = sorted(vms, key=lambda vm: _rank_vm(vm, spec.name))
                members = ordered[: spec.size]
                cold = sum(spec.name not in vm.staged for vm in members)
                choices.append((cold, len(vms), domain, members))
            if not choices:
                continue
            cold, _, domain, members = min(choices, key=lambda c: c[:3])
            below = self._counts[spec.name] < targets.get(spec.name, 0)
            if cold and (not below or cold > self._loads):
                continue
            if cold and self._count_coming(domain, spec.name) >= cold:
                # VMs that hold the model are about to be released here, and a
                # load takes longer than their release.
                continue
            self._loads -= cold
            return spec, domain, members
        return None

    def _count_coming(self, domain: str, wanted: str) -> int:
        """Returns how many VMs with a model a domain will soon have free."""
        return sum(
            wanted in vm.staged and self._is_usable(vm)
            for group in self._unclear
            for vm in group.members
            if vm.fabric_domain == domain
        )

    def _weigh(self, spec: catalog_model.ModelSpec) -> float:
        """Returns the work that falls on each VM of a model's groups."""
        return spec.share / (spec.size * self._counts[spec.name] or 0.01)

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


def find_targets(
    engine: catalog_model.Engine, count: int
) -> abc.Mapping[str, int]:
    """Returns how many groups of each model `count` VMs are divided into.

    A model's share of the work is its share of the VMs, as work is counted in
    the time of VMs; each model gets one group at least.
    """
    return {
        spec.name: max(1, round(count * spec.share / spec.size))
        for spec in engine.models
    }


def _rank_vm(vm: model.Vm, wanted: str) -> tuple[int, str]:
    last = vm.membership
    if last is not None and model.read_model(last.group) == wanted:
        return (0, vm.name)
    if wanted in vm.staged:
        return (1, vm.name)
    return (2 if not vm.staged else 3, vm.name)


def release(memory: Memory, key: tuple[str, int]) -> Memory:
    """Returns the memory after a group's absent head was found gone."""
    return dataclasses.replace(memory, released=memory.released | {key})


def keep(memory: Memory, key: tuple[str, int]) -> Memory:
    """Returns the memory after each member answered for itself."""
    return dataclasses.replace(memory, kept=memory.kept | {key})
