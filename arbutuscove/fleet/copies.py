"""Selection of the VMs that copy a model to their hosts before they need it.

A load from the weight store takes many times as long as the join of a VM that
already has the model. Loads beyond the number that can run concurrently only
slow one another down, so the loads that complete a group soonest go first.
"""

import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import exchange
from arbutuscove.fleet import model
from arbutuscove.fleet import orders
from arbutuscove.fleet import state

# Fraction of the concurrent loads that may be used for models that a VM may
# need later. The rest is reserved for VMs that cannot serve without a load.
PREFETCH_LOAD_SHARE = 0.25
# A copy is ordered again after this multiple of the model's load time.
STAGING_TIMEOUT_LOAD_TIMES = 4

ComputeSupply = abc.Callable[[catalog_model.ModelSpec], float]


class StagingPlanner:
    """Tracks the copies in progress and collects orders for new ones.

    One instance serves one plan. `running` maps the copies in progress to the
    time at which they were ordered. `load_budget` is how many loads may still
    begin.
    """

    def __init__(
        self,
        plan_input: state.PlanInput,
        running: abc.Mapping[state.StagingKey, datetime.timedelta],
        by_name: abc.Mapping[str, model.Vm],
    ) -> None:
        self._input = plan_input
        self._engine = plan_input.engine
        self.running = self._filter_running(running, by_name)
        self._staging_vms = {name for name, _, _ in self.running}
        self.load_budget = self._compute_load_budget()
        self.orders: list[orders.Order] = []

    def _filter_running(
        self,
        running: abc.Mapping[state.StagingKey, datetime.timedelta],
        by_name: abc.Mapping[str, model.Vm],
    ) -> dict[state.StagingKey, datetime.timedelta]:
        """Returns the copies that may still be in progress."""
        remaining: dict[state.StagingKey, datetime.timedelta] = {}
        for key, since in running.items():
            name, started_at_ms, model_name = key
            vm = by_name.get(name)
            spec = self._engine.find_model(model_name)
            if vm is None or spec is None or vm.started_at_ms != started_at_ms:
                continue
            is_overdue = (
                self._input.now - since
                >= spec.load_time * STAGING_TIMEOUT_LOAD_TIMES
            )
            if model_name not in vm.staged and not is_overdue:
                remaining[key] = since
        return remaining

    def _compute_load_budget(self) -> int:
        """Returns how many loads may begin now."""
        if not self._input.has_traffic:
            return self._input.load_limit
        running = len(self.running) + sum(
            vm.membership is not None
            and vm.membership.state == model.MemberState.JOINING
            and model.parse_model_name(vm.membership.group) not in vm.staged
            for vm in self._input.vms
        )
        available = self._engine.loads_at_once - running
        return max(0, min(self._input.load_limit, available))

    def may_load(
        self,
        vm: model.Vm,
        spec: catalog_model.ModelSpec,
        compute_supply: ComputeSupply,
    ) -> bool:
        """Returns whether a VM may load a model in place of its host's copies.

        It may not if it has the model already, if it is copying any model, or
        if the load would replace a copy of a model below its target. The copy
        of the model in its memory may be replaced.

        Args:
            vm: the VM.
            spec: the model to load.
            compute_supply: returns the number of groups of a model as a
                fraction of its target.
        """
        if exchange.is_warm(vm, spec.name) or vm.name in self._staging_vms:
            return False
        replaced = [
            self._engine.find_model(name)
            for name in vm.staged
            if name != vm.last_model
        ]
        return all(
            other is None or compute_supply(other) >= 1.0 for other in replaced
        )

    def stage_next_group(
        self,
        by_domain: dict[str, list[model.Vm]],
        compute_supply: ComputeSupply,
    ) -> catalog_model.ModelSpec | None:
        """Orders the copies that one more group of a scarce model needs.

        The group that needs the fewest loads goes first. Its VMs are removed
        from `by_domain`.

        Args:
            by_domain: free VMs of each fabric domain.
            compute_supply: returns the number of groups of a model as a
                fraction of its target.

        Returns:
            The model of the group, or None if no such group is possible.
        """
        if self.load_budget < 1:
            return None
        candidates: list[tuple[int, float, str, catalog_model.ModelSpec]] = []
        for spec in self._engine.models:
            supply = compute_supply(spec)
            for domain, vms in by_domain.items():
                missing = spec.size - len(self._list_warm_or_staging(vms, spec))
                loadable = [
                    vm for vm in vms if self.may_load(vm, spec, compute_supply)
                ]
                if supply < 1.0 and missing <= len(loadable):
                    candidates.append((max(0, missing), supply, domain, spec))
        if not candidates:
            return None
        missing, _, domain, spec = min(
            candidates, key=lambda candidate: candidate[:3]
        )
        vms = by_domain[domain]
        ready_soon = self._list_warm_or_staging(vms, spec)[: spec.size]
        loadable = [vm for vm in vms if self.may_load(vm, spec, compute_supply)]
        loadable = sorted(loadable, key=lambda vm: len(vm.staged))[:missing]
        used = {vm.name for vm in (*ready_soon, *loadable)}
        self._stage(loadable, spec)
        by_domain[domain] = [vm for vm in vms if vm.name not in used]
        return spec

    def stage_spares(
        self,
        by_domain: abc.Mapping[str, list[model.Vm]],
        main_models: abc.Mapping[str, str],
    ) -> None:
        """Copies the main model of each domain to its free, empty VMs.

        The copy is then available when a group of the domain is lost.

        Args:
            by_domain: free VMs of each fabric domain.
            main_models: the model that most VMs of a domain serve.
        """
        for domain, vms in by_domain.items():
            spec = self._engine.find_model(main_models.get(domain, ""))
            if spec is not None:
                self._stage([vm for vm in vms if not vm.staged], spec)

    def prefetch(
        self, vms: abc.Iterable[model.Vm], compute_supply: ComputeSupply
    ) -> None:
        """Orders copies of a model other than the one in a VM's memory.

        A host stores few copies, and a copy of the model in memory is not
        needed while the VM runs. Loads that are needed now go first.

        Args:
            vms: the VMs that may be sent an order.
            compute_supply: returns the number of groups of a model as a
                fraction of its target.
        """
        budget = self.load_budget
        if self._input.has_traffic:
            share = int(self._engine.loads_at_once * PREFETCH_LOAD_SHARE)
            budget = min(budget, share - len(self.running))
        for vm in vms:
            if budget < 1:
                return
            spec = self._choose_prefetch_model(vm, compute_supply)
            if spec is not None and vm.name not in self._staging_vms:
                self._stage([vm], spec)
                budget -= 1

    def _choose_prefetch_model(
        self, vm: model.Vm, compute_supply: ComputeSupply
    ) -> catalog_model.ModelSpec | None:
        """Returns the scarcest other model, or None if none is to be copied."""
        reported = vm.membership
        is_joining = (
            reported is not None and reported.state == model.MemberState.JOINING
        )
        if not vm.last_model or is_joining:
            return None
        if any(name != vm.last_model for name in vm.staged):
            return None
        others = [
            spec for spec in self._engine.models if spec.name != vm.last_model
        ]
        return min(others, key=compute_supply, default=None)

    def _list_warm_or_staging(
        self, vms: abc.Iterable[model.Vm], spec: catalog_model.ModelSpec
    ) -> list[model.Vm]:
        """Returns the VMs that have a model or are copying it."""
        return [
            vm
            for vm in vms
            if exchange.is_warm(vm, spec.name)
            or (vm.name, vm.started_at_ms, spec.name) in self.running
        ]

    def _stage(
        self, vms: abc.Iterable[model.Vm], spec: catalog_model.ModelSpec
    ) -> None:
        """Orders copies of a model, up to the load budget."""
        for vm in vms:
            if vm.name not in self._staging_vms and self.load_budget >= 1:
                self.load_budget -= 1
                self._staging_vms.add(vm.name)
                key = (vm.name, vm.started_at_ms, spec.name)
                self.running[key] = self._input.now
                self.orders.append(orders.Stage(vm=vm, model=spec.name))
