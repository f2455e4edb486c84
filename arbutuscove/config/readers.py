"""Selection of the daemons that read the head row, and of the time.

In each region two daemons, selected by rendezvous hash among the live members,
read the head row each second; all others receive changes by gossip. A daemon
that has no configuration yet, or is isolated from most of its peers, also
reads the head row each second. The others read it rarely, as a fallback for
an undetected failure of gossip.
"""

import dataclasses
import datetime
from collections import abc

import xxhash

READERS_PER_REGION = 2  # so that one may fail
ISOLATED_AFTER = datetime.timedelta(seconds=7)  # leaves 3 s before staleness
# A small fleet reads no more often than this, a larger one at an interval that
# grows with its size and so limits all its fallback reads to 10 per second.
MIN_FALLBACK_INTERVAL = datetime.timedelta(seconds=10)
FALLBACK_INTERVAL_PER_DAEMON = datetime.timedelta(milliseconds=100)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReaderInputs:
    """Inputs of the decision whether this daemon reads the head row.

    `regional_peers` are the other live daemons of its region; `daemon_count`
    is the number of live daemons in all regions. `majority_contact_age` is
    the time since contact with most of the fleet, `read_age` the time since
    the last read of the head row; both are None if it never happened.
    """

    own_name: str
    region: str
    regional_peers: abc.Sequence[str]
    daemon_count: int
    majority_contact_age: datetime.timedelta | None
    read_age: datetime.timedelta | None
    has_config: bool


def select_readers(region: str, names: abc.Iterable[str]) -> list[str]:
    """Returns the daemons that read the head row for a region.

    Args:
        region: name of the region.
        names: names of its live daemons, in any order.

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
