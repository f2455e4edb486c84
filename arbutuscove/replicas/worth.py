"""Computes the worth of replicas, by which repairs and loads are ordered.

The worth of a service is the sum of the worths of its ranks, each weighted by
the share of capacity that is guaranteed to the rank. The worth of one more
replica decreases with the number of replicas that serve already. The value of
a repair is worth per repair time. The number of VMs that must load weights
from the rate-limited weight store dominates that time.
"""

from collections import abc

from arbutuscove.config import model as config_model
from arbutuscove.replicas import model

MIN_SHARE = 0.01  # so that a rank without a floor share has a weight
# Time to regroup VMs that have loaded the weights, in units of the load time
# of one VM. A regroup takes seconds and a load takes minutes. The value also
# keeps the divisor above zero.
REGROUP_TIME_LOADS = 0.1


def compute_service_worth(service: config_model.Service) -> float:
    """Returns the rank-weighted worth of one replica of a service."""
    return sum(
        rank.worth * max(rank.floor_share, MIN_SHARE) for rank in service.ranks
    )


def compute_repair_value(
    service: config_model.Service, serving: int, loads: int
) -> float:
    """Returns the value of a repair, as worth restored per load time.

    Args:
        service: the service of the repaired replica.
        serving: number of replicas of the service that serve without it.
        loads: number of VMs that must load weights for the repair.
    """
    return (
        compute_service_worth(service)
        / (serving + 1)
        / (loads + REGROUP_TIME_LOADS)
    )


def choose_loads(
    values: abc.Mapping[str, float],
    loads: abc.Mapping[str, int],
    loading: int,
    max_loading: int,
) -> frozenset[str]:
    """Returns the replicas that may load or regroup now.

    Permits are granted to all VMs of a replica together, since a replica
    serves only when it is complete. A replica waits while one of higher value
    does not fit within the limit; otherwise small replicas would starve large
    ones. Replicas that need no load may always regroup.

    Args:
        values: the repair value of each replica, by name.
        loads: number of VMs that still need weights, by replica.
        loading: number of VMs that are loading now.
        max_loading: number of VMs that may load concurrently.

    Returns:
        The names of the permitted replicas.

    Example:
        >>> sorted(choose_loads({"a": 2.0, "b": 1.0}, {"a": 4, "b": 4}, 0, 6))
        ['a']
    """
    chosen = set()
    for name in sorted(loads, key=lambda item: (-values[item], item)):
        if loads[name] and loading and loading + loads[name] > max_loading:
            break
        loading += loads[name]
        chosen.add(name)
    regroups = {name for name, count in loads.items() if not count}
    return frozenset(chosen | regroups)


def count_loads(
    members: abc.Iterable[str],
    model_name: str,
    reports: abc.Mapping[str, model.StatusReport],
) -> int:
    """Returns how many VMs must still load a model.

    Args:
        members: names of VMs.
        model_name: the model to load.
        reports: the newest status of each VM, by name.
    """
    return sum(
        1
        for name in members
        if name not in reports or reports[name].status.model != model_name
    )
