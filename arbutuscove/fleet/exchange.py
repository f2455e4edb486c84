"""Selection of groups of one model to close in favor of another model.

After many losses, the model with the smaller groups is formed again from the
VMs left over from both models, because it needs fewer VMs in one domain. The
other model may be left without any group, and all its requests fail even while
groups of the first model are idle. If enough VMs of one domain have the scarce
model in memory or on their hosts, some groups of the other model in that domain
are closed, finish their requests, and their VMs form a group of the scarce
model.

All functions of this module are pure.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import model

# A model may take groups from another model if its supply is below this
# fraction of the supply that the other model has left afterwards. At one half,
# the next reallocation cannot reverse this one.
SCARCE_SUPPLY_RATIO = 0.5
# A reallocation is abandoned after this time. A head finishes its requests
# within ten seconds, and VMs lost in the meantime may leave too few for the new
# group.
MAX_REALLOCATION_DURATION = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reallocation:
    """Groups of a domain to close, and the model to form from their VMs.

    `since` is the monotonic time at which the reallocation was decided.
    """

    domain: str
    model: str
    groups: frozenset[tuple[str, int]]
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainState:
    """Free VMs of a fabric domain, and its complete groups that serve."""

    name: str
    free: tuple[model.Vm, ...]
    groups: tuple[model.Group, ...]


def is_warm(vm: model.Vm, model_name: str) -> bool:
    """Returns whether a VM has a model in memory or on its host.

    A VM keeps the model of its last group in memory.
    """
    return model_name in vm.staged or vm.last_model == model_name


def find_reallocation(
    engine: catalog_model.Engine,
    targets: abc.Mapping[str, int],
    counts: abc.Mapping[str, int],
    domains: abc.Iterable[DomainState],
    now: datetime.timedelta,
) -> Reallocation | None:
    """Finds the reallocation that closes the fewest groups.

    Args:
        engine: the models.
        targets: target number of groups by model.
        counts: number of groups by model, including those being formed.
        domains: free VMs and groups of each fabric domain.
        now: monotonic time.

    Returns:
        The reallocation in favor of the model with the lowest supply, or None
        if no domain permits one.
    """
    supplies = {
        spec.name: counts.get(spec.name, 0) / targets[spec.name]
        for spec in engine.models
    }
    scarcest = min(engine.models, key=lambda spec: supplies[spec.name])
    best: tuple[int, Reallocation] | None = None
    for domain in domains:
        donors = _select_donors(scarcest, domain)
        if not donors or not _is_justified(scarcest, donors, supplies, targets):
            continue
        if best is None or len(donors) < best[0]:
            candidate = Reallocation(
                domain=domain.name,
                model=scarcest.name,
                groups=frozenset(group.key for group in donors),
                since=now,
            )
            best = len(donors), candidate
    return None if best is None else best[1]


def _select_donors(
    spec: catalog_model.ModelSpec, domain: DomainState
) -> list[model.Group]:
    """Returns the fewest groups whose VMs complete a group of a model.

    Groups with the most warm VMs are selected first. The result is empty if
    the domain has too few warm VMs.
    """
    missing = spec.size - _count_warm(domain.free, spec)
    others = [group for group in domain.groups if group.model != spec.name]
    others.sort(key=lambda group: -_count_warm(group.members, spec))
    donors: list[model.Group] = []
    for group in others:
        if missing <= 0:
            break
        donors.append(group)
        missing -= _count_warm(group.members, spec)
    return donors if missing <= 0 else []


def _is_justified(
    spec: catalog_model.ModelSpec,
    donors: abc.Sequence[model.Group],
    supplies: abc.Mapping[str, float],
    targets: abc.Mapping[str, int],
) -> bool:
    """Returns whether the donor models keep a far higher supply than `spec`."""
    remaining = dict(supplies)
    for group in donors:
        if group.model not in remaining:
            return False
        remaining[group.model] -= 1 / targets[group.model]
    supply = supplies[spec.name]
    return all(
        supply < SCARCE_SUPPLY_RATIO * remaining[name]
        for name in {group.model for group in donors}
    )


def _count_warm(
    vms: abc.Iterable[model.Vm], spec: catalog_model.ModelSpec
) -> int:
    return sum(is_warm(vm, spec.name) and not vm.leaving for vm in vms)
