"""What a replica is worth, to order repairs and loads.

The worth of a service is that of its ranks, each weighted by the share of
capacity that it keeps. A further replica of a service is worth less than the
first one. A repair is valued by worth per time, and its time is dominated by
the VMs that must load weights from the rate-limited weight store.
"""

from collections import abc

from arbutuscove.config import model as config_model
from arbutuscove.replicas import model

LEAST_SHARE = 0.01  # a rank without a floor still counts for something
# Time to regroup VMs that hold the weights, in units of one VM's load: keeps
# the value finite. A regroup takes seconds and a load minutes.
REGROUP_TIME = 0.1


def weigh_service(service: config_model.Service) -> float:
    """Returns the rank-weighted worth of one replica of a service."""
    return sum(
        rank.worth * max(rank.floor_share, LEAST_SHARE)
        for rank in service.ranks
    )


def weigh_repair(
    service: config_model.Service, serving: int, loads: int
) -> float:
    """Returns worth restored per time.

    Args:
        service: the service that gets a replica back.
        serving: replicas of the service that serve without the repair.
        loads: VMs that must load weights for the repair.
    """
    return weigh_service(service) / (serving + 1) / (loads + REGROUP_TIME)


def choose_loads(
    values: abc.Mapping[str, float],
    loads: abc.Mapping[str, int],
    loading: int,
    permits: int,
) -> frozenset[str]:
    """Returns the replicas that may start loading now.

    A replica loads as a whole, since it serves only as a whole. None
    overtakes one of a higher value that does not fit yet, or small replicas
    would starve large ones.

    Args:
        values: the value of each replica.
        loads: how many VMs of each replica still need weights.
        loading: VMs that are loading now.
        permits: VMs that may load at once.

    Example:
        >>> sorted(choose_loads({"a": 2.0, "b": 1.0}, {"a": 4, "b": 4}, 0, 6))
        ['a']
    """
    chosen = set()
    for name in sorted(loads, key=lambda item: (-values[item], item)):
        if loads[name] and loading and loading + loads[name] > permits:
            break
        loading += loads[name]
        chosen.add(name)
    regroups = {name for name, count in loads.items() if not count}
    return frozenset(chosen | regroups)


def count_loads(
    members: abc.Iterable[str],
    wanted: str,
    seen: abc.Mapping[str, model.StatusReport],
) -> int:
    """Returns how many VMs do not report the wanted model."""
    return sum(
        1
        for name in members
        if name not in seen or seen[name].status.model != wanted
    )
