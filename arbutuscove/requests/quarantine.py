"""Records of requests that crash the replicas running them.

A request is identified by a digest of its account and content, so a new
idempotency key does not change its identity. When a replica dies, each request
that was running on it becomes a suspect. A suspect runs again only in a trial:
one suspect at a time, on a replica apart from other requests. A suspect that
finishes its trial is cleared. A second death quarantines the request, unless
another request that ran in a trial accounts for all of its deaths.

A death is identified by replica and generation, so that a death observed by
several daemons is counted once.
"""

import dataclasses
import datetime
import enum
import typing
from collections import abc

import msgspec

from arbutuscove.kernel import decoding

DEATHS_TO_QUARANTINE = 2  # bound on replicas lost to one request
MAX_DEATHS = 1_000_000  # of one request; sent to peers in 32 bits
MAX_RECORDS = 10_000  # records in the memory of one daemon
MAX_HINTS = 100  # hints in one gossip message, newest first
HINT_TTL = datetime.timedelta(minutes=5)  # a change is gossiped for this long
# Longer than HINT_TTL, so that hints sent before the clearing are ignored.
CLEARED_TTL = datetime.timedelta(minutes=10)

_DeathCount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_DEATHS)]


class QuarantineState(enum.StrEnum):
    """Whether a request may run freely, only in a trial, or not at all."""

    FREE = "free"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """The deaths attributed to one request; also the value of its table row.

    Attributes:
        deaths: identifiers of the known deaths.
        count: number of deaths; may exceed `len(deaths)`, since peers gossip
            only the number.
        tried: whether the request ran in a trial during one of the deaths.
    """

    deaths: tuple[decoding.Text, ...] = ()
    count: _DeathCount = 0
    tried: bool = False

    def add(self, death: str, is_later: bool = False) -> "Record":
        """Returns the record with one more death; a known death is ignored.

        Args:
            death: identifier of the death: replica and generation.
            is_later: whether the attempt began after all deaths counted so
                far. If not, a count received from a peer may already include
                this death.

        Example:
            >>> Record().add("r@1").add("r@1").add("s@4").count
            2
            >>> Record(count=1).add("r@1").count
            1
            >>> Record(count=1).add("r@1", is_later=True).count
            2
        """
        if death in self.deaths:
            return self
        deaths = (*self.deaths, death)
        count = max(len(deaths), self.count + int(is_later))
        return Record(deaths=deaths, count=count, tried=self.tried or is_later)

    def merge(self, other: "Record") -> "Record":
        """Returns a record with the deaths of both records."""
        deaths = tuple(dict.fromkeys((*self.deaths, *other.deaths)))
        count = max(len(deaths), self.count, other.count)
        tried = self.tried or other.tried
        return Record(deaths=deaths, count=count, tried=tried)

    def get_state(self) -> QuarantineState:
        """Returns the state that follows from the number of deaths."""
        if self.count >= DEATHS_TO_QUARANTINE:
            return QuarantineState.QUARANTINED
        return QuarantineState.SUSPECT if self.count else QuarantineState.FREE


def is_explained(record: Record, others: abc.Iterable[Record]) -> bool:
    """Returns whether other requests account for all deaths of a record.

    A request that ran beside a crashing request at both deaths has the same
    deaths as the crashing one, but only the crashing one ran in a trial.

    Args:
        record: the record of the request in question.
        others: records of all requests.

    Example:
        >>> crash = Record(deaths=("r@1", "s@1"), count=2, tried=True)
        >>> beside = Record(deaths=("r@1", "s@1"), count=2)
        >>> is_explained(beside, [crash]), is_explained(crash, [beside])
        (True, False)
    """
    if record.tried or record.count > len(record.deaths):
        return False
    explained_deaths = {
        death
        for other in others
        if other.tried and other.get_state() == QuarantineState.QUARANTINED
        for death in other.deaths
    }
    return explained_deaths.issuperset(record.deaths)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Hint:
    """The summary of one request's record that daemons gossip to peers.

    Attributes:
        digest: identity of the request.
        deaths: number of deaths.
        cleared: whether the request was cleared.
    """

    digest: str
    deaths: int
    cleared: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Entry:
    record: Record
    changed_at: datetime.timedelta


class RecordCache:
    """Records in the memory of one daemon.

    Beyond `MAX_RECORDS` records, the least recently changed one is evicted.
    """

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def get_record(self, digest: str) -> Record:
        """Returns the record of a request, or an empty record."""
        entry = self._entries.get(digest)
        return Record() if entry is None else entry.record

    def put(self, digest: str, record: Record, now: datetime.timedelta) -> None:
        """Replaces a record; an empty record marks the request as cleared."""
        self._entries.pop(digest, None)
        self._entries[digest] = _Entry(record=record, changed_at=now)
        if len(self._entries) > MAX_RECORDS:
            self._entries.pop(next(iter(self._entries)))

    def merge_hint(self, hint: Hint, now: datetime.timedelta) -> None:
        """Merges a hint received from a peer.

        A hint clears a suspect, but never a quarantined request. For
        `CLEARED_TTL` after a request was cleared, hints of a single death are
        ignored, since they may be older than the clearing.
        """
        entry = self._entries.get(hint.digest)
        record = Record() if entry is None else entry.record
        if hint.cleared:
            if record.get_state() == QuarantineState.SUSPECT:
                self.put(hint.digest, Record(), now)
            return
        if entry is not None and not record.count and hint.deaths == 1:
            was_cleared_recently = now - entry.changed_at < CLEARED_TTL
            if was_cleared_recently:
                return
        if hint.deaths > record.count:
            reported = Record(count=hint.deaths)
            self.put(hint.digest, record.merge(reported), now)

    def list_hints(self, now: datetime.timedelta) -> list[Hint]:
        """Returns hints of the recently changed records, newest first."""
        recent = [
            Hint(
                digest=digest,
                deaths=entry.record.count,
                cleared=not entry.record.count,
            )
            for digest, entry in self._entries.items()
            if now - entry.changed_at < HINT_TTL
        ]
        return recent[: -MAX_HINTS - 1 : -1]
