"""Division of replica capacity among daemons without an exchange of messages.

Each daemon computes the same division from the same hints: the live daemons
and how much work each has. A *credit* is the right of one daemon to have one
request on one replica. Credits lapse by themselves, because a daemon with less
work gets a smaller part at the next division.

Two steps: max-min fairness turns demands into parts of the whole, so that a
daemon with little work gets all it needs however much another asks for; then
systematic sampling turns parts into whole credits on each replica, so that the
credits of one replica add up to its slots exactly and different daemons get
the odd slot on different replicas. Daemons that hold different hints for a
moment may disagree by a few credits; the load reports of replicas bound that.
"""

import dataclasses
import math
import typing
from collections import abc

import xxhash

HASH_SPACE = 2**64


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Demands:
    """Work of each live daemon, running and waiting, with this daemon's."""

    own: str
    loads: abc.Mapping[str, int]


class Part(typing.NamedTuple):
    """One daemon's interval of the capacity, in fractions of the whole."""

    start: float
    end: float


WHOLE = Part(0.0, 1.0)


def divide(
    demands: abc.Mapping[str, float], capacity: float
) -> dict[str, Part]:
    """Returns each daemon's part of the capacity by max-min fairness.

    Capacity that nobody asks for is divided equally.

    Example:
        >>> parts = divide({"a": 2.0, "b": 90.0, "c": 90.0}, 10.0)
        >>> [round(part.end, 2) for part in parts.values()]
        [0.2, 0.6, 1.0]
    """
    if not demands or capacity <= 0.0:
        return {}
    amounts: dict[str, float] = {}
    left = capacity
    ordered = sorted(demands, key=lambda name: (demands[name], name))
    for position, name in enumerate(ordered):
        amounts[name] = min(demands[name], left / (len(ordered) - position))
        left -= amounts[name]
    spare = left / len(ordered)
    parts = {}
    start = 0.0
    for name in sorted(amounts):
        end = start + (amounts[name] + spare) / capacity
        parts[name] = Part(start, end)
        start = end
    return parts


def divide_equally(names: abc.Iterable[str]) -> dict[str, Part]:
    """Returns equal parts.

    Example:
        >>> divide_equally(["b", "a"])["b"]
        Part(start=0.5, end=1.0)
    """
    ordered = sorted(names)
    return {
        name: Part(index / len(ordered), (index + 1) / len(ordered))
        for index, name in enumerate(ordered)
    }


def count(part: Part, slots: int, replica: str) -> int:
    """Returns a daemon's credits for a replica.

    The offset differs between replicas, so that a small part gives a credit
    on some of them instead of none on all.

    Example:
        >>> parts = divide_equally("abcdefg")
        >>> sum(count(part, 8, "r1") for part in parts.values())
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
