"""Which daemons read the head row, and when.

Two daemons in each region, picked by rendezvous hash over the live members,
read it each second; all others learn of changes by gossip. A daemon that is
alone, or has no configuration yet, reads for itself. The rest read rarely, in
case gossip fails in a way that nobody sees.
"""

import dataclasses
import datetime
from collections import abc

import xxhash

READERS = 2  # in each region, so that one may fail
ALONE_AFTER = datetime.timedelta(seconds=7)  # leaves 3 s before staleness
SAFETY_INTERVAL = datetime.timedelta(seconds=10)  # at most, for a small fleet
SAFETY_SHARE = datetime.timedelta(milliseconds=100)  # 10 reads/s for the fleet


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Standing:
    """What the choice rests on; ages are None for what never happened."""

    own: str
    region: str
    neighbours: abc.Sequence[str]
    fleet: int
    peers_age: datetime.timedelta | None
    read_age: datetime.timedelta | None
    loaded: bool


def pick_readers(region: str, names: abc.Iterable[str]) -> list[str]:
    """Returns the head readers among the live daemons of a region.

    Example:
        >>> pick_readers("north", ["a", "b", "c"]) == pick_readers(
        ...     "north", ["c", "b", "a"]
        ... )
        True
    """

    def rank(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{region}\0{name}".encode())

    return sorted(names, key=rank)[:READERS]


def should_read(standing: Standing) -> bool:
    """Returns whether this daemon reads the head row in this second."""
    if not standing.loaded or standing.read_age is None:
        return True
    if standing.peers_age is None or standing.peers_age > ALONE_AFTER:
        return True
    if standing.read_age > max(SAFETY_INTERVAL, standing.fleet * SAFETY_SHARE):
        return True
    names = (standing.own, *standing.neighbours)
    return standing.own in pick_readers(standing.region, names)
