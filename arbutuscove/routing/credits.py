"""Division of replica capacity among daemons without messages between them.

Each daemon computes the same division from the same published demands: the
live daemons and the number of requests of each rank at each daemon. A *credit*
permits one daemon to run one request on one replica. Credits need not be
revoked: a daemon with less work gets a smaller part in the next division.

The division has three steps:

1. The floor of each rank is set aside as far as the rank has work. The rest is
   allocated to ranks in order of priority.
2. Max-min fairness divides the allocation of a rank among daemons, so that a
   daemon with little work gets all it needs regardless of the demand of others.
3. Systematic sampling converts the parts into whole credits on each replica.
   The credits for one replica add up exactly to its slots, and the remainders
   of the rounding go to different daemons on different replicas.

Daemons that temporarily have different demands may disagree by a few credits;
the load reports of replicas bound the effect.
"""

import dataclasses
import math
import typing
from collections import abc

import xxhash

HASH_SPACE = 2**64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demands:
    """Running and waiting requests of each live daemon by priority.

    `own` is the name of this daemon. `loads` includes its own load as
    published. A load with a single number is the total of a daemon whose ranks
    are unknown.
    """

    own: str
    loads: abc.Mapping[str, tuple[int, ...]]


SINGLE_DAEMON = Demands(own="", loads={"": (0,)})


class Interval(typing.NamedTuple):
    """One daemon's interval of the capacity, as fractions from 0 to 1."""

    start: float
    end: float


FULL_INTERVAL = Interval(0.0, 1.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Division:
    """A daemon's intervals of the common slots and of the urgent reserve.

    `floors` are the shares of its capacity that this daemon guarantees to each
    rank; empty if ranks are unknown.
    """

    common: Interval = FULL_INTERVAL
    reserve: Interval = FULL_INTERVAL
    floors: tuple[float, ...] = ()


def allocate_max_min(
    demands: abc.Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Divides capacity by max-min fairness.

    Args:
        demands: demand of each participant.
        capacity: amount to divide, in the unit of the demands.

    Returns:
        The amount of each participant, at most its demand.

    Example:
        >>> allocate_max_min({"a": 2.0, "b": 90.0, "c": 90.0}, 10.0)
        {'a': 2.0, 'b': 4.0, 'c': 4.0}
    """
    amounts = {}
    remaining = capacity
    ordered = sorted(demands, key=lambda name: (demands[name], name))
    for position, name in enumerate(ordered):
        amounts[name] = min(
            demands[name], remaining / (len(ordered) - position)
        )
        remaining -= amounts[name]
    return amounts


def estimate_demand(load: int) -> float:
    """Returns the slots to plan for a number of urgent requests.

    The result exceeds the load, because loads are published with a delay and
    the number of arrivals varies by about its square root. Rounding up to
    powers of the square root of two lets most daemons compute the same value
    although their copies of the loads differ in age.

    Example:
        >>> estimate_demand(0), estimate_demand(7), estimate_demand(9)
        (1.0, 11.313708498984761, 16.0)
    """
    padded_load = load + math.sqrt(load) + 1.0
    return 2.0 ** (math.ceil(2.0 * math.log2(padded_load)) / 2.0)


def divide(
    demands: Demands,
    floors: abc.Sequence[float],
    common: float,
    reserve: float,
) -> Division:
    """Returns this daemon's part of the slots.

    Args:
        demands: loads of all live daemons.
        floors: floor shares by priority.
        common: slots that any rank may use.
        reserve: slots that only the most urgent rank may use.
    """
    if len(demands.loads) < 2 or demands.own not in demands.loads:
        return Division()
    ranks = max(len(load) for load in demands.loads.values())
    rank_demands = [
        _collect_demand(demands, priority) for priority in range(ranks)
    ]
    reserved = _distribute_rest(
        allocate_max_min(rank_demands[0], reserve), reserve
    )
    rank_demands[0] = {
        n: max(0.0, w - reserved[n]) for n, w in rank_demands[0].items()
    }
    floor_amounts = [
        allocate_max_min(rank_demands[priority], floor * (common + reserve))
        for priority, floor in zip(range(1, ranks), floors[1:], strict=False)
    ]
    remaining = common - sum(sum(amounts.values()) for amounts in floor_amounts)
    amounts = {
        name: sum(floor[name] for floor in floor_amounts)
        for name in demands.loads
    }
    for priority, rank_demand in enumerate(rank_demands):
        floor_amount = (
            floor_amounts[priority - 1]
            if 0 < priority <= len(floor_amounts)
            else {}
        )
        unmet = {
            n: w - floor_amount.get(n, 0.0) for n, w in rank_demand.items()
        }
        allocated = allocate_max_min(unmet, max(0.0, remaining))
        remaining -= sum(allocated.values())
        for name, amount in allocated.items():
            amounts[name] += amount
    own = demands.own
    amounts = _distribute_rest(amounts, common)
    total = amounts[own] + reserved[own]
    has_ranks = ranks > 1 and total > 0.0
    return Division(
        common=_build_intervals(amounts, common)[own],
        reserve=_build_intervals(reserved, reserve)[own],
        floors=(0.0, *(floor[own] / total for floor in floor_amounts))
        if has_ranks
        else (),
    )


def _collect_demand(demands: Demands, priority: int) -> dict[str, float]:
    loads = {
        name: load[priority] if priority < len(load) else 0
        for name, load in demands.loads.items()
    }
    # Only the demand of the most urgent rank is increased. For other ranks the
    # increase would allocate a part of a scarce floor to daemons that have no
    # work of the rank.
    if priority == 0:
        return {name: estimate_demand(load) for name, load in loads.items()}
    return {name: float(load) for name, load in loads.items()}


def _distribute_rest(
    amounts: dict[str, float], capacity: float
) -> dict[str, float]:
    """Adds equal parts of the unallocated capacity to all amounts."""
    rest = max(0.0, capacity - sum(amounts.values())) / len(amounts)
    return {name: amount + rest for name, amount in amounts.items()}


def _build_intervals(
    amounts: dict[str, float], capacity: float
) -> dict[str, Interval]:
    if capacity <= 0.0:
        return dict.fromkeys(amounts, Interval(0.0, 0.0))
    intervals = {}
    start = 0.0
    for name in sorted(amounts):
        end = start + amounts[name] / capacity
        intervals[name] = Interval(start, end)
        start = end
    return intervals


def count_credits(interval: Interval, slots: int, replica: str) -> int:
    """Returns the number of a daemon's credits for a replica.

    The interval is shifted by an offset that depends on the replica. A daemon
    with a small interval therefore has a credit on some replicas instead of on
    none.

    Args:
        interval: the daemon's interval of the capacity.
        slots: slots of the replica.
        replica: name of the replica.

    Returns:
        The number of credits.

    Example:
        >>> parts = Interval(0.0, 0.3), Interval(0.3, 1.0)
        >>> sum(count_credits(part, 8, "r1") for part in parts)
        8
    """
    offset = xxhash.xxh3_64_intdigest(replica.encode()) / HASH_SPACE
    return _round_down(interval.end * slots + offset) - _round_down(
        interval.start * slots + offset
    )


def _round_down(value: float) -> int:
    # Rounding gives adjacent intervals the same boundary and prevents the last
    # boundary from falling just below the total.
    return math.floor(round(value, 9))
