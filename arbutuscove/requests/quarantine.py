"""Requests that crash the upstreams which run them.

The identity of a request is a digest of account and content, so a new
idempotency key does not change it. A replica's death makes each request that
ran there a suspect. A suspect runs again only in a trial: one at a time and
away from others. Finishing a trial clears it; a second death quarantines it,
unless another request was on trial beside it and accounts for its deaths.

A death is named by replica and generation, so that several daemons that saw
the same death count it once.
"""

import dataclasses
import datetime
import enum
from collections import abc

DEATHS_TO_QUARANTINE = 2  # bound on replicas lost to one request
RECORD_LIMIT = 10_000  # digests remembered by one daemon
HINT_LIMIT = 100  # suspicions on one gossip message, newest first
HINT_AGE = datetime.timedelta(minutes=5)  # gossiped for so long
CLEARED_AGE = datetime.timedelta(minutes=10)  # outlives hints of before


class Standing(enum.StrEnum):
    """How a request may run."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """The deaths laid to one request; also the row in the table.

    `count` may exceed the named deaths, since peers tell only the number.
    `tried` says that the request ran in a trial when one of the deaths came.
    """

    deaths: tuple[str, ...] = ()
    count: int = 0
    tried: bool = False

    def add(self, death: str, later: bool = False) -> "Record":
        """Returns the record with a death, counted once.

        Args:
            death: replica and generation.
            later: whether the run began after all deaths counted so far. If
                not, a count heard from a peer may include this death.

        Example:
            >>> Record().add("r@1").add("r@1").add("s@4").count
            2
            >>> Record(count=1).add("r@1").count
            1
            >>> Record(count=1).add("r@1", later=True).count
            2
        """
        if death in self.deaths:
            return self
        deaths = (*self.deaths, death)
        count = max(len(deaths), self.count + int(later))
        return Record(deaths=deaths, count=count, tried=self.tried or later)

    def merge(self, other: "Record") -> "Record":
        """Returns the record with the deaths of both."""
        deaths = tuple(dict.fromkeys((*self.deaths, *other.deaths)))
        count = max(len(deaths), self.count, other.count)
        tried = self.tried or other.tried
        return Record(deaths=deaths, count=count, tried=tried)

    def standing(self) -> Standing:
        """Returns how the request may run."""
        if self.count >= DEATHS_TO_QUARANTINE:
            return Standing.QUARANTINED
        return Standing.SUSPECT if self.count else Standing.FREE


def is_explained(record: Record, others: abc.Iterable[Record]) -> bool:
    """Returns whether other requests account for all deaths of one.

    A request that was in progress twice beside a crashing one has the same
    deaths as that one. Only the crashing one ran in a trial.

    Example:
        >>> crash = Record(deaths=("r@1", "s@1"), count=2, tried=True)
        >>> beside = Record(deaths=("r@1", "s@1"), count=2)
        >>> is_explained(beside, [crash]), is_explained(crash, [beside])
        (True, False)
    """
    if record.tried or record.count > len(record.deaths):
        return False
    blamed = {
        death
        for other in others
        if other.tried and other.standing() == Standing.QUARANTINED
        for death in other.deaths
    }
    return blamed.issuperset(record.deaths)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hint:
    """What a daemon tells its peers of one request."""

    digest: str
    deaths: int
    cleared: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Entry:
    record: Record
    changed: datetime.timedelta


class Ledger:
    """The records that one daemon knows of; the oldest is forgotten first."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def find(self, digest: str) -> Record:
        """Returns the record of a request; an empty one if none is known."""
        entry = self._entries.get(digest)
        return Record() if entry is None else entry.record

    def put(self, digest: str, record: Record, now: datetime.timedelta) -> None:
        """Replaces a record; an empty one means that it was cleared."""
        self._entries.pop(digest, None)
        self._entries[digest] = _Entry(record=record, changed=now)
        if len(self._entries) > RECORD_LIMIT:
            self._entries.pop(next(iter(self._entries)))

    def learn(self, hint: Hint, now: datetime.timedelta) -> None:
        """Takes a hint of a peer.

        Only a first death is cleared by hint, and for a while after it is
        cleared, older hints of that death are ignored.
        """
        entry = self._entries.get(hint.digest)
        record = Record() if entry is None else entry.record
        if hint.cleared:
            if record.standing() == Standing.SUSPECT:
                self.put(hint.digest, Record(), now)
            return
        if entry is not None and not record.count and hint.deaths == 1:
            still = now - entry.changed < CLEARED_AGE
            if still:
                return
        if hint.deaths > record.count:
            heard = Record(count=hint.deaths)
            self.put(hint.digest, record.merge(heard), now)

    def list_hints(self, now: datetime.timedelta) -> list[Hint]:
        """Returns what to tell peers, newest first."""
        recent = [
            Hint(
                digest=digest,
                deaths=entry.record.count,
                cleared=not entry.record.count,
            )
            for digest, entry in self._entries.items()
            if now - entry.changed < HINT_AGE
        ]
        return recent[: -HINT_LIMIT - 1 : -1]
