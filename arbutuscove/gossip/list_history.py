"""What has changed in the list of VMs, for daemons that lack a part of it.

Load pattern: thousands of VMs that write at each heartbeat. A daemon that has
missed one update, or starts, needs little of what the store would send it.

An entry is recorded with a version that is not below that of its last change,
and removals are recorded, too. A daemon that knows all changes up to a version
therefore lacks nothing besides the rows above that version.
"""

import collections
import dataclasses
from collections import abc

from arbutuscove.gossip import digest

# Removals that are remembered; those before the oldest one are not known.
MAX_REMOVALS = 4096
# Chains of updates in progress, from different senders or reads.
MAX_CHAINS = 8
MAX_CHAIN_UPDATES = 1024  # updates in one chain


class ListHistory:
    """The last change of each entry, in one era of the store."""

    def __init__(self) -> None:
        self._rows: dict[str, digest.ListRow] = {}
        self._removals: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        # Removals up to this version may be missing.
        self._floor = digest.WHOLE_LIST

    def replace(self, rows: abc.Iterable[digest.ListRow], version: int) -> None:
        """Begins anew with the whole list of one version."""
        self._rows = {row.name: row for row in rows if row.content is not None}
        self._removals.clear()
        self._floor = version

    def record(self, rows: abc.Iterable[digest.ListRow]) -> None:
        """Records entries that have changed or were removed."""
        for row in rows:
            self._rows[row.name] = row
            self._removals.pop(row.name, None)
            if row.content is None:
                self._removals[row.name] = row.version
        while len(self._removals) > MAX_REMOVALS:
            name, version = self._removals.popitem(last=False)
            del self._rows[name]
            self._floor = max(self._floor, version)

    def list_since(self, version: int) -> list[digest.ListRow] | None:
        """Returns what has changed after a version, None if it is not known.

        Args:
            version: the version; `digest.WHOLE_LIST` for the whole list.
        """
        if version == digest.WHOLE_LIST:
            return [
                row for row in self._rows.values() if row.content is not None
            ]
        if version < self._floor:
            return None
        return [row for row in self._rows.values() if row.version > version]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CompleteChain:
    """Updates that lead from one version to another, in their order."""

    version: int
    updates: tuple[digest.ListUpdate, ...]

    def list_rows(self) -> dict[str, bytes | None]:
        """Returns the last content of each row."""
        return {
            name: content
            for update in self.updates
            for name, content in update.rows
        }


class UpdateChains:
    """Updates that were sent together and arrive one by one, in any order.

    What a part of them tells says nothing of the versions in between, as an
    entry may be recorded with a later version than that of its change.
    """

    def __init__(self) -> None:
        self._chains: dict[
            tuple[str, int, int, int], dict[int, digest.ListUpdate]
        ] = {}  # by sender, era, start and target

    def add(self, update: digest.ListUpdate) -> None:
        """Adds an update; it replaces an earlier copy."""
        key = (update.sender, update.era, get_start(update), get_target(update))
        chain = self._chains.pop(key, {})
        if len(chain) < MAX_CHAIN_UPDATES:
            chain[update.before] = update
        self._chains[key] = chain
        while len(self._chains) > MAX_CHAINS:
            del self._chains[next(iter(self._chains))]

    def take_complete(self, version: int, era: int) -> CompleteChain | None:
        """Removes and returns a complete chain that leads beyond a version.

        Args:
            version: the version up to which this daemon knows all changes.
            era: the era of that version; chains of earlier ones are dropped.
        """
        for key, chain in list(self._chains.items()):
            _, chain_era, _, target = key
            if chain_era < era or (chain_era == era and target <= version):
                del self._chains[key]
                continue
            updates = tuple(chain[before] for before in sorted(chain))
            if chain_era == era and _is_complete(updates, version, target):
                del self._chains[key]
                return CompleteChain(version=target, updates=updates)
        return None

    def get_sender(self) -> str:
        """Returns who sent the last update that waits for others."""
        return next(reversed(self._chains))[0] if self._chains else ""

    def is_empty(self) -> bool:
        """Returns whether no update waits for others."""
        return not self._chains

    def clear(self) -> None:
        """Forgets the updates that wait for others."""
        self._chains.clear()


def get_target(update: digest.ListUpdate) -> int:
    """Returns the version to which the updates of a chain lead.

    A daemon of an earlier version names none: each update is a chain.
    """
    return update.version if update.target < 0 else update.target


def get_start(update: digest.ListUpdate) -> int:
    """Returns the version from which the updates of a chain lead."""
    return update.before if update.target < 0 else update.start


def _is_complete(
    updates: tuple[digest.ListUpdate, ...], version: int, target: int
) -> bool:
    reached = get_start(updates[0])
    if reached > version:
        return False
    for update in updates:
        if update.before != reached:
            return False
        reached = update.version
    return reached == target


def split_answer(
    sender: str,
    since: int,
    version: int,
    rows: abc.Sequence[digest.ListRow],
    era: int,
) -> list[digest.ListUpdate]:
    """Returns the updates that answer a daemon, of a bounded size.

    The versions in between say only in which order they follow each other.

    Args:
        sender: the name of this daemon.
        since: the version that the other daemon has.
        version: the version that this one has.
        rows: what has changed in between.
        era: the era of both versions.
    """
    parts: list[list[digest.ListRow]] = [[]]
    size = 0
    for row in rows:
        if size >= digest.TARGET_UPDATE_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(row)
        size += len(row.name) + len(row.content or b"")
    if since + len(parts) > version:
        parts = [list(rows)]  # as in one transaction
    return [
        digest.ListUpdate(
            sender=sender,
            before=since + number,
            version=version if number == len(parts) - 1 else since + number + 1,
            rows=tuple((row.name, row.content) for row in part),
            era=era,
            target=version,
            start=since,
            answer=True,
        )
        for number, part in enumerate(parts)
    ]
