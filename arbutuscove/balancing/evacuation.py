"""Failure domains that an operator has evacuated.

Nothing is sent to the VMs of an evacuated failure domain. The set of these
domains is read from a table whose content is one for each *revision*, so that
of two sets the one of the higher revision holds, whoever read it.

The table may come back from an older copy, in a higher era. A row that it then
lacks may have been lost: its domain stays evacuated for `RESTORE_GRACE`, in
which the operator can write it again.
"""

import dataclasses
import datetime
from collections import abc

MAX_DOMAINS = 64  # domains that are evacuated at the same time
# Longer than it takes to write lost rows again after a restore.
RESTORE_GRACE = datetime.timedelta(seconds=10)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Revision:
    """A state of the table; those of a later era are greater."""

    era: int
    version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """The domains whose evacuation began or ended."""

    begun: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.begun or self.ended)


class Evacuation:
    """The evacuated failure domains, as far as one daemon knows.

    Times are monotonic. All methods that learn of a set return what changed.
    """

    def __init__(self, listed: abc.Collection[str] = ()) -> None:
        """Creates a state without evacuated domains.

        Args:
            listed: the domains of the deployment. If there are too many names,
                these are kept first.
        """
        self._listed = frozenset(listed)
        # As of the reads of this daemon, on which further changes build.
        self._read: frozenset[str] = frozenset()
        self._dropped: frozenset[str] = frozenset()
        self._known: frozenset[str] = frozenset()
        self._revision: Revision | None = None
        # Until when a domain stays evacuated whose row a restore lost.
        self._held: dict[str, datetime.timedelta] = {}
        self._current: frozenset[str] = frozenset()
        self._begun_at: dict[str, datetime.timedelta] = {}
        self._ended_at: dict[str, datetime.timedelta] = {}

    @property
    def revision(self) -> Revision | None:
        """The revision of `list_known`; None before the first one."""
        return self._revision

    def list_known(self) -> tuple[str, ...]:
        """Returns the domains with a row in the current revision."""
        return tuple(sorted(self._known))

    def list_dropped(self) -> frozenset[str]:
        """Returns names beyond the bound in the last read of this daemon.

        Nothing is known of them later; the next read of all rows finds them.
        """
        return self._dropped

    def list_evacuated(self) -> frozenset[str]:
        """Returns the domains to whose VMs nothing may be sent."""
        return self._current

    def is_evacuated(self, domain: str) -> bool:
        """Returns whether nothing may be sent to the VMs of a domain."""
        return domain in self._current

    def get_begin(self, domain: str) -> datetime.timedelta | None:
        """Returns when the evacuation of a domain began, None if none holds."""
        return self._begun_at.get(domain)

    def get_end(self, domain: str) -> datetime.timedelta | None:
        """Returns when the last evacuation of a domain ended, None if unknown.

        Also None while the domain is evacuated again.
        """
        return self._ended_at.get(domain)

    def replace(
        self,
        domains: abc.Iterable[str],
        revision: Revision,
        now: datetime.timedelta,
    ) -> Change:
        """Learns all rows of the table, as this daemon read them.

        Args:
            domains: the domains that have a row.
            revision: the revision that was read.
            now: the current time.
        """
        self._read_all(frozenset(domains))
        return self._learn(self._read, revision, now)

    def update(
        self,
        changes: abc.Mapping[str, bool],
        revision: Revision,
        now: datetime.timedelta,
    ) -> Change:
        """Learns the changes since the last read of this daemon.

        Args:
            changes: for each changed domain, whether it has a row.
            revision: the revision that was reached.
            now: the current time.
        """
        removed = {name for name, is_there in changes.items() if not is_there}
        added = changes.keys() - removed
        self._read_all((self._read | added) - removed)
        if self._revision is not None and revision.era >= self._revision.era:
            # Removed in this era, so that the row was not lost.
            for name in removed:
                self._held.pop(name, None)
        return self._learn(self._read, revision, now)

    def merge(
        self,
        domains: abc.Iterable[str],
        revision: Revision,
        now: datetime.timedelta,
    ) -> Change:
        """Learns the set that a peer knows.

        Args:
            domains: the domains that have a row.
            revision: the revision in which they had one.
            now: the current time.
        """
        if self._revision is not None and revision <= self._revision:
            return Change()
        return self._learn(self._bound(domains), revision, now)

    def expire(self, now: datetime.timedelta) -> Change:
        """Ends evacuations whose rows were lost and not written again."""
        if self._held:
            self._held = {
                name: until for name, until in self._held.items() if now < until
            }
        return self._refresh(now)

    def _read_all(self, domains: frozenset[str]) -> None:
        self._read = self._bound(domains)
        self._dropped = domains - self._read

    def _learn(
        self,
        domains: frozenset[str],
        revision: Revision,
        now: datetime.timedelta,
    ) -> Change:
        before = self._revision
        if before is None or revision > before:
            if before is not None and revision.era > before.era:
                for name in self._known - domains:
                    self._held[name] = now + RESTORE_GRACE
            self._known, self._revision = domains, revision
        for name in self._known:
            self._held.pop(name, None)
        return self._refresh(now)

    def _refresh(self, now: datetime.timedelta) -> Change:
        before = self._current
        self._current = self._known | self._held.keys()
        begun = tuple(sorted(self._current - before))
        ended = tuple(sorted(before - self._current))
        for name in begun:
            self._begun_at[name] = now
            self._ended_at.pop(name, None)
        for name in ended:
            self._begun_at.pop(name, None)
            self._ended_at[name] = now
        while len(self._ended_at) > MAX_DOMAINS:
            del self._ended_at[next(iter(self._ended_at))]
        return Change(begun=begun, ended=ended)

    def _bound(self, domains: abc.Iterable[str]) -> frozenset[str]:
        """Returns at most `MAX_DOMAINS` of the domains, listed ones first."""
        names = frozenset(domains)
        if len(names) <= MAX_DOMAINS:
            return names
        ranked = sorted(
            names, key=lambda name: (name not in self._listed, name)
        )
        return frozenset(ranked[:MAX_DOMAINS])
