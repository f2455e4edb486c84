"""Which VMs copy which model to their hosts, ahead of the groups that need it.

A load from the weight store takes many times as long as a join of a VM that
holds the model. Loads beyond those that run side by side only slow one another,
so they go first where they complete a group soonest.
"""

import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import exchange
from arbutuscove.fleet import model
from arbutuscove.fleet import orders
from arbutuscove.fleet import state

# Of the loads that may run side by side, those for models that a VM may need
# later. The others are left for VMs that can serve nothing before.
AHEAD_SHARE = 0.25
# A copy that has not come after so many times its load is asked for again.
PATIENCE = 4

ReadSupply = abc.Callable[[catalog_model.ModelSpec], float]


class Copies:
    """The copies under way, and the orders for new ones, of one plan.

    `room` is how many loads may still begin.
    """

    def __init__(
        self,
        situation: state.Situation,
        running: abc.Mapping[state.Copy, datetime.timedelta],
        by_name: abc.Mapping[str, model.Vm],
    ) -> None:
        self._situation = situation
        self._engine = situation.engine
        self.running = self._keep_running(running, by_name)
        self._copying = {name for name, _, _ in self.running}
        self.room = self._count_room()
        self.orders: list[orders.Order] = []

    def _keep_running(
        self,
        running: abc.Mapping[state.Copy, datetime.timedelta],
        by_name: abc.Mapping[str, model.Vm],
    ) -> dict[state.Copy, datetime.timedelta]:
        """Returns the copies that may still be under way."""
        found: dict[state.Copy, datetime.timedelta] = {}
        for copy, since in running.items():
            name, started_at_ms, wanted = copy
            vm = by_name.get(name)
            spec = self._engine.find_model(wanted)
            if vm is None or spec is None or vm.started_at_ms != started_at_ms:
                continue
            late = self._situation.now - since >= spec.load_time * PATIENCE
            if wanted not in vm.staged and not late:
                found[copy] = since
        return found

    def _count_room(self) -> int:
        """Returns how many loads may begin now."""
        if not self._situation.started:
            return self._situation.loads
        running = len(self.running) + sum(
            vm.membership is not None
            and vm.membership.state == model.MemberState.JOINING
            and model.parse_model_name(vm.membership.group) not in vm.staged
            for vm in self._situation.vms
        )
        room = self._engine.loads_at_once - running
        return max(0, min(self._situation.loads, room))

    def may_load(
        self,
        vm: model.Vm,
        spec: catalog_model.ModelSpec,
        read_supply: ReadSupply,
    ) -> bool:
        """Returns whether a VM may load a model over what its host holds."""
        if exchange.is_warm(vm, spec.name) or vm.name in self._copying:
            return False
        held = [
            self._engine.find_model(name)
            for name in vm.staged
            if name != vm.last_model
        ]
        return all(other is None or read_supply(other) >= 1.0 for other in held)

    def load_for_a_group(
        self, by_domain: dict[str, list[model.Vm]], read_supply: ReadSupply
    ) -> catalog_model.ModelSpec | None:
        """Has VMs copy the model that one more group lacks.

        The group that needs the fewest loads goes first. Its VMs are taken out
        of `by_domain`.

        Args:
            by_domain: free VMs of each fabric domain.
            read_supply: groups of a model by those that it needs.

        Returns:
            The model of the group, None if there was no such group.
        """
        if self.room < 1:
            return None
        found: list[tuple[int, float, str, catalog_model.ModelSpec]] = []
        for spec in self._engine.models:
            supply = read_supply(spec)
            for domain, vms in by_domain.items():
                missing = spec.size - len(self._list_coming(vms, spec))
                able = [
                    vm for vm in vms if self.may_load(vm, spec, read_supply)
                ]
                if supply < 1.0 and missing <= len(able):
                    found.append((max(0, missing), supply, domain, spec))
        if not found:
            return None
        missing, _, domain, spec = min(found, key=lambda one: one[:3])
        vms = by_domain[domain]
        coming = self._list_coming(vms, spec)[: spec.size]
        able = [vm for vm in vms if self.may_load(vm, spec, read_supply)]
        able = sorted(able, key=lambda vm: len(vm.staged))[:missing]
        used = {vm.name for vm in (*coming, *able)}
        self._order(able, spec)
        by_domain[domain] = [vm for vm in vms if vm.name not in used]
        return spec

    def copy_to_spares(
        self,
        by_domain: abc.Mapping[str, list[model.Vm]],
        homes: abc.Mapping[str, str],
    ) -> None:
        """Copies the model of a domain to its empty VMs ahead of a loss."""
        for domain, vms in by_domain.items():
            spec = self._engine.find_model(homes.get(domain, ""))
            if spec is not None:
                self._order([vm for vm in vms if not vm.staged], spec)

    def copy_ahead(
        self, vms: abc.Iterable[model.Vm], read_supply: ReadSupply
    ) -> None:
        """Has VMs copy a model beside the one that they hold in memory.

        A host keeps few copies; that of the model in memory is not needed
        while the VM lives. Loads that are needed now go first.
        """
        room = self.room
        if self._situation.started:
            share = int(self._engine.loads_at_once * AHEAD_SHARE)
            room = min(room, share - len(self.running))
        for vm in vms:
            if room < 1:
                return
            spec = self._pick_other(vm, read_supply)
            if spec is not None and vm.name not in self._copying:
                self._order([vm], spec)
                room -= 1

    def _pick_other(
        self, vm: model.Vm, read_supply: ReadSupply
    ) -> catalog_model.ModelSpec | None:
        """Returns the model that a VM should copy ahead, None for none."""
        held = vm.membership
        joining = held is not None and held.state == model.MemberState.JOINING
        if not vm.last_model or joining:
            return None
        if any(name != vm.last_model for name in vm.staged):
            return None
        others = [
            spec for spec in self._engine.models if spec.name != vm.last_model
        ]
        return min(others, key=read_supply, default=None)

    def _list_coming(
        self, vms: abc.Iterable[model.Vm], spec: catalog_model.ModelSpec
    ) -> list[model.Vm]:
        """Returns the VMs that hold a model or are copying it."""
        return [
            vm
            for vm in vms
            if exchange.is_warm(vm, spec.name)
            or (vm.name, vm.started_at_ms, spec.name) in self.running
        ]

    def _order(
        self, vms: abc.Iterable[model.Vm], spec: catalog_model.ModelSpec
    ) -> None:
        for vm in vms:
            if vm.name not in self._copying and self.room >= 1:
                self.room -= 1
                self._copying.add(vm.name)
                copy = (vm.name, vm.started_at_ms, spec.name)
                self.running[copy] = self._situation.now
                self.orders.append(orders.Stage(vm=vm, model=spec.name))
