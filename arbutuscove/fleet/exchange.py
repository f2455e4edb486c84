"""Groups of one model that are given up for a group of another, pure.

After many losses the model with the smaller groups is formed again from what
is left of both, since it needs fewer VMs of one domain; the other may have no
group at all. Its requests then all fail, however idle the groups of the first
are. Where enough VMs of one domain hold the model that lacks groups, some
groups of the other one there are closed, end their work and are used for it.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import model

# Below this part of the other model's supply, after the exchange, a model gets
# a group of it. At one half, no exchange is turned back by the next one.
SCARCE = 0.5
# A head ends its work within ten seconds; VMs lost meanwhile may leave too few.
LONGEST = datetime.timedelta(seconds=15)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exchange:
    """Groups of a domain that are given up, and the model formed from them."""

    domain: str
    model: str
    groups: frozenset[tuple[str, int]]
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Domain:
    """Free VMs of a fabric domain, and its whole groups that serve."""

    name: str
    free: tuple[model.Vm, ...]
    groups: tuple[model.Group, ...]


def is_warm(vm: model.Vm, wanted: str) -> bool:
    """Returns whether a VM holds a model in memory or on its host."""
    return wanted in vm.staged or vm.last_model == wanted


def find(
    engine: catalog_model.Engine,
    targets: abc.Mapping[str, int],
    counts: abc.Mapping[str, int],
    domains: abc.Iterable[Domain],
    now: datetime.timedelta,
) -> Exchange | None:
    """Returns the exchange for the model that lacks most, None for none.

    Args:
        engine: the models.
        targets: groups that each model needs.
        counts: groups that each model has or gets.
        domains: what each fabric domain has.
        now: monotonic time.
    """
    supplies = {
        spec.name: counts.get(spec.name, 0) / targets[spec.name]
        for spec in engine.models
    }
    lacking = min(engine.models, key=lambda spec: supplies[spec.name])
    best: tuple[int, Exchange] | None = None
    for domain in domains:
        given = _pick_groups(lacking, domain)
        if not given or not _is_worth_it(lacking, given, supplies, targets):
            continue
        if best is None or len(given) < best[0]:
            found = Exchange(
                domain=domain.name,
                model=lacking.name,
                groups=frozenset(group.key for group in given),
                since=now,
            )
            best = len(given), found
    return None if best is None else best[1]


def _pick_groups(
    spec: catalog_model.ModelSpec, domain: Domain
) -> list[model.Group]:
    """Returns the fewest groups whose VMs complete one of a model."""
    missing = spec.size - _count_warm(domain.free, spec)
    others = [group for group in domain.groups if group.model != spec.name]
    others.sort(key=lambda group: -_count_warm(group.members, spec))
    given: list[model.Group] = []
    for group in others:
        if missing <= 0:
            break
        given.append(group)
        missing -= _count_warm(group.members, spec)
    return given if missing <= 0 else []


def _is_worth_it(
    spec: catalog_model.ModelSpec,
    given: abc.Sequence[model.Group],
    supplies: abc.Mapping[str, float],
    targets: abc.Mapping[str, int],
) -> bool:
    """Returns whether the others have far more left after the exchange."""
    left = dict(supplies)
    for group in given:
        if group.model not in left:
            return False
        left[group.model] -= 1 / targets[group.model]
    here = supplies[spec.name]
    return all(
        here < SCARCE * left[name] for name in {group.model for group in given}
    )


def _count_warm(
    vms: abc.Iterable[model.Vm], spec: catalog_model.ModelSpec
) -> int:
    return sum(is_warm(vm, spec.name) and not vm.leaving for vm in vms)
