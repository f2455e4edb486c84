"""Division of replica capacity among daemons without an exchange of messages.

Each daemon computes the same division from the same hints: the live daemons
and how much work of each rank each has. A *credit* is the right of one daemon
to have one request on one replica. Credits lapse by themselves, because a
daemon with less work gets a smaller part at the next division.

Three steps. Each rank's floor is set aside as far as the rank has work, and
the rest goes to ranks in order of priority. Max-min fairness divides what a
rank gets among daemons, so that a daemon with little work gets all it needs
however much another asks for. Systematic sampling turns the parts into whole
credits on each replica: the credits of one replica add up to its slots
exactly, and different daemons get the odd slot on different replicas. Daemons
that hold different hints for a moment may disagree by a few credits; the load
reports of replicas bound that.
"""

import dataclasses
import math
import typing
from collections import abc

import xxhash

HASH_SPACE = 2**64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demands:
    """Requests of each live daemon, running and waiting, by priority.

    A load of one number is a daemon's total when ranks are not known. The
    loads include this daemon's own, as it has published them.
    """

    own: str
    loads: abc.Mapping[str, tuple[int, ...]]


SINGLE = Demands(own="", loads={"": (0,)})


class Part(typing.NamedTuple):
    """One daemon's interval of the capacity, in fractions of the whole."""

    start: float
    end: float


WHOLE = Part(0.0, 1.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Division:
    """A daemon's part of the common slots and of the urgent reserve.

    `floors` are the shares of its service that this daemon keeps for each
    rank; empty when ranks are not known.
    """

    common: Part = WHOLE
    reserve: Part = WHOLE
    floors: tuple[float, ...] = ()


def share(wanted: abc.Mapping[str, float], capacity: float) -> dict[str, float]:
    """Returns amounts by max-min fairness; none is more than wanted.

    Example:
        >>> share({"a": 2.0, "b": 90.0, "c": 90.0}, 10.0)
        {'a': 2.0, 'b': 4.0, 'c': 4.0}
    """
    amounts = {}
    left = capacity
    ordered = sorted(wanted, key=lambda name: (wanted[name], name))
    for position, name in enumerate(ordered):
        amounts[name] = min(wanted[name], left / (len(ordered) - position))
        left -= amounts[name]
    return amounts


def want(load: int) -> float:
    """Returns the slots that a daemon asks for, with room for urgent work.

    Demand is published with a lag and arrivals vary by about the square root
    of their number. Rounding up to powers of the square root of two lets most
    daemons agree although their hints are not equally old.

    Example:
        >>> want(0), want(7), want(9)
        (1.0, 11.313708498984761, 16.0)
    """
    ample = load + math.sqrt(load) + 1.0
    return 2.0 ** (math.ceil(2.0 * math.log2(ample)) / 2.0)


def divide(
    demands: Demands,
    floors: abc.Sequence[float],
    common: float,
    reserve: float,
) -> Division:
    """Returns the own daemon's division of slots.

    Args:
        demands: loads of all live daemons.
        floors: floor shares by priority.
        common: slots that any rank may use.
        reserve: slots that only the most urgent rank may use.
    """
    if len(demands.loads) < 2 or demands.own not in demands.loads:
        return Division()
    ranks = max(len(load) for load in demands.loads.values())
    wanted = [_collect(demands, priority) for priority in range(ranks)]
    reserved = _fill(share(wanted[0], reserve), reserve)
    wanted[0] = {n: max(0.0, w - reserved[n]) for n, w in wanted[0].items()}
    kept = [
        share(wanted[priority], floor * (common + reserve))
        for priority, floor in zip(range(1, ranks), floors[1:], strict=False)
    ]
    left = common - sum(sum(amounts.values()) for amounts in kept)
    amounts = {
        name: sum(floor[name] for floor in kept) for name in demands.loads
    }
    for priority, asked in enumerate(wanted):
        held = kept[priority - 1] if 0 < priority <= len(kept) else {}
        more = {n: w - held.get(n, 0.0) for n, w in asked.items()}
        given = share(more, max(0.0, left))
        left -= sum(given.values())
        for name, amount in given.items():
            amounts[name] += amount
    own = demands.own
    amounts = _fill(amounts, common)
    total = amounts[own] + reserved[own]
    known = ranks > 1 and total > 0.0
    return Division(
        common=_place(amounts, common)[own],
        reserve=_place(reserved, reserve)[own],
        floors=(0.0, *(floor[own] / total for floor in kept)) if known else (),
    )


def _collect(demands: Demands, priority: int) -> dict[str, float]:
    loads = {
        name: load[priority] if priority < len(load) else 0
        for name, load in demands.loads.items()
    }
    # Room for more is for the most urgent rank alone: of a floor that is
    # short, it would give slots to daemons that have no work of the rank.
    if priority == 0:
        return {name: want(load) for name, load in loads.items()}
    return {name: float(load) for name, load in loads.items()}


def _fill(amounts: dict[str, float], capacity: float) -> dict[str, float]:
    """Divides equally what nobody asks for."""
    spare = max(0.0, capacity - sum(amounts.values())) / len(amounts)
    return {name: amount + spare for name, amount in amounts.items()}


def _place(amounts: dict[str, float], capacity: float) -> dict[str, Part]:
    if capacity <= 0.0:
        return dict.fromkeys(amounts, Part(0.0, 0.0))
    parts = {}
    start = 0.0
    for name in sorted(amounts):
        end = start + amounts[name] / capacity
        parts[name] = Part(start, end)
        start = end
    return parts


def count(part: Part, slots: int, replica: str) -> int:
    """Returns a daemon's credits for a replica.

    The offset differs between replicas, so that a small part gives a credit
    on some of them instead of none on all.

    Example:
        >>> count(Part(0.0, 0.3), 8, "r1") + count(Part(0.3, 1.0), 8, "r1")
        8
    """
    offset = xxhash.xxh3_64_intdigest(replica.encode()) / HASH_SPACE
    return _floor(part.end * slots + offset) - _floor(
        part.start * slots + offset
    )


def _floor(value: float) -> int:
    # Rounding keeps neighbours' common boundary on one side for both, and the
    # last boundary from falling just short of the whole.
    return math.floor(round(value, 9))
