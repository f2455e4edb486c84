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

READERS_PER_REGION = 2  # in each region, so that one may fail
ISOLATED_AFTER = datetime.timedelta(seconds=7)  # leaves 3 s before staleness
MIN_FALLBACK_INTERVAL = datetime.timedelta(
    seconds=10
)  # at most, for a small fleet
FALLBACK_INTERVAL_PER_DAEMON = datetime.timedelta(
    milliseconds=100
)  # 10 reads/s for the fleet


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReaderInputs:
    """What the choice rests on; ages are None for what never happened."""

    own_name: str
    region: str
    regional_peers: abc.Sequence[str]
    daemon_count: int
    majority_contact_age: datetime.timedelta | None
    read_age: datetime.timedelta | None
    has_config: bool


def select_readers(region: str, names: abc.Iterable[str]) -> list[str]:
    """Returns the head readers among the live daemons of a region.

    Example:
        >>> select_readers("north", ["a", "b", "c"]) == select_readers(
        ...     "north", ["c", "b", "a"]
        ... )
        True
    """

    def rank(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{region}\0{name}".encode())

    return sorted(names, key=rank)[:READERS_PER_REGION]


def should_read(inputs: ReaderInputs) -> bool:
    """Returns whether this daemon reads the head row in this second."""
    if not inputs.has_config or inputs.read_age is None:
        return True
    if (
        inputs.majority_contact_age is None
        or inputs.majority_contact_age > ISOLATED_AFTER
    ):
        return True
    if inputs.read_age > max(
        MIN_FALLBACK_INTERVAL,
        inputs.daemon_count * FALLBACK_INTERVAL_PER_DAEMON,
    ):
        return True
    names = (inputs.own_name, *inputs.regional_peers)
    return inputs.own_name in select_readers(inputs.region, names)
