"""Selects the entry addresses that a caller should use.

Rendezvous hashing by account distributes accounts over daemons and sends each
account to the same few daemons, whose engines then have its prompt prefixes
in their caches.
"""

import dataclasses
import datetime
from collections import abc

import xxhash

# How long callers may use a list of entry addresses.
ADDRESS_TTL = datetime.timedelta(seconds=30)
MAX_ADDRESSES = 4  # survives the loss of a failure domain and a restart


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """A daemon that accepts requests.

    Attributes:
        url: base URL of its entry address.
        failure_domain: failure domain of its VM.
        load: number of its requests.
    """

    url: str
    failure_domain: str
    load: int = 0


def select_entries(
    entries: abc.Sequence[Entry], account: str, limit: int = MAX_ADDRESSES
) -> list[Entry]:
    """Returns the preferred entries of an account, best first.

    The best entry of each failure domain precedes all others.

    Args:
        entries: all daemons that accept requests.
        account: name of the client account.
        limit: maximum number of entries.

    Example:
        >>> entry = Entry(url="http://127.0.0.1:1", failure_domain="a")
        >>> select_entries([entry], "desk") == [entry]
        True
    """
    ordered = sorted(entries, key=lambda item: _compute_score(item, account))
    best_by_domain: dict[str, Entry] = {}
    for entry in ordered:
        best_by_domain.setdefault(entry.failure_domain, entry)
    domain_best = list(best_by_domain.values())
    rest = [entry for entry in ordered if entry not in domain_best]
    return (domain_best + rest)[:limit]


def _compute_score(entry: Entry, account: str) -> float:
    """Returns the weighted hash; the lowest score is the best."""
    hashed = xxhash.xxh3_64_intdigest(f"{account}\0{entry.url}".encode())
    return (hashed / 2**64) * (1 + entry.load)
