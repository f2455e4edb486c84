"""Which entry addresses a caller should use, and for how long.

Rendezvous hashing by account spreads accounts over daemons and keeps each on
the same few, whose engines then hold its prompt prefixes.
"""

import dataclasses
import datetime
from collections import abc

import xxhash

KEEP = datetime.timedelta(seconds=30)
ADDRESSES = 4  # enough to outlive a failure domain and a restart


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A daemon that takes requests; `load` counts its requests."""

    url: str
    failure_domain: str
    load: int = 0


def rank_entries(
    entries: abc.Sequence[Entry], account: str, limit: int = ADDRESSES
) -> list[Entry]:
    """Returns the best entries of an account, from several failure domains.

    Example:
        >>> one = Entry(url="http://127.0.0.1:1", failure_domain="a")
        >>> rank_entries([one], "desk") == [one]
        True
    """
    ordered = sorted(entries, key=lambda item: _score(item, account))
    first: dict[str, Entry] = {}
    for entry in ordered:
        first.setdefault(entry.failure_domain, entry)
    leaders = list(first.values())
    rest = [entry for entry in ordered if entry not in leaders]
    return (leaders + rest)[:limit]


def _score(entry: Entry, account: str) -> float:
    hashed = xxhash.xxh3_64_intdigest(f"{account}\0{entry.url}".encode())
    return (hashed / 2**64) * (1 + entry.load)
