"""Administration keys, their roles, and the identities of callers.

Keys are stored as SHA-256 digests in `admin-key/<digest>` rows. They are 256
random bits, so a slow password hash would not add security. The settings of
the daemon contain the digest of the first operator's key, which is accepted
without a read of the table.
"""

import collections
import dataclasses
import datetime
import enum

import msgspec

from arbutuscove.admin import errors
from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module

PREFIX = "admin-key/"
AUDIT_SCOPE = "admin-keys"
# A daemon accepts a deleted key until its cached identity expires.
CACHE_TTL = datetime.timedelta(seconds=10)
MAX_CACHED_IDENTITIES = 1000


class Role(enum.StrEnum):
    """What a key may do; a team sees and changes its own services only."""

    OPERATOR = "operator"
    TEAM = "team"
    READ_ONLY = "read-only"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Identity:
    """Who calls."""

    name: str
    role: Role
    team: str = ""

    def may_see(self, team: str) -> bool:
        """Returns whether the services of a team are visible."""
        return self.role != Role.TEAM or self.team == team

    def may_change(self, team: str) -> bool:
        """Returns whether the services of a team may be changed."""
        match self.role:
            case Role.OPERATOR:
                return True
            case Role.TEAM:
                return self.team == team
            case Role.READ_ONLY:
                return False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AdminKey:
    """A key by its digest, for lists; the key itself is never kept."""

    digest: str
    identity: Identity


class AdminKeys:
    """Identifies callers and changes keys, with an audit entry per change."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        first_operator_digest: str,
    ) -> None:
        self._table = table
        self._clock = clock
        self._first_operator_digest = first_operator_digest
        self._cache: collections.OrderedDict[
            str, tuple[datetime.timedelta, Identity]
        ] = collections.OrderedDict()

    def identify(self, digest: str) -> Identity:
        """Returns the identity of the caller whose key has this digest.

        Raises:
            AdminError: there is no such key.
            TableError: the table service cannot be read.
        """
        if digest == self._first_operator_digest:
            return Identity(name="first-operator", role=Role.OPERATOR)
        now = self._clock.monotonic()
        cached = self._cache.get(digest)
        if cached is not None and now - cached[0] < CACHE_TTL:
            return cached[1]
        row = self._table.read(PREFIX + digest)
        if row is None:
            self._cache.pop(digest, None)
            raise errors.AdminError(401, "wrong_key", "unknown key")
        identity = row.decode(Identity)
        self._cache[digest] = (now, identity)
        if len(self._cache) > MAX_CACHED_IDENTITIES:
            self._cache.popitem(last=False)
        return identity

    def list_keys(self, after: str, limit: int) -> list[AdminKey]:
        """Returns a page of keys in order of their digests.

        Args:
            after: The last digest of the previous page, empty for the first.
            limit: The maximum number of keys.
        """
        rows = self._table.scan(PREFIX, PREFIX + after if after else "", limit)
        return [
            AdminKey(
                digest=row.key.removeprefix(PREFIX),
                identity=row.decode(Identity),
            )
            for row in rows
        ]

    def put(self, actor: str, key: AdminKey) -> AdminKey:
        """Adds or changes a key; writes nothing if the identity is the same.

        Raises:
            AdminError: the key was changed concurrently.
        """
        row = self._table.read(PREFIX + key.digest)
        if row is not None and row.decode(Identity) == key.identity:
            return key
        # The audit entry holds the role before and after, not the name.
        before = "" if row is None else str(row.decode(Identity).role.value)
        after = key.identity.role.value
        self._write(actor, key.digest, row, key.identity, before, after)
        return key

    def delete(self, actor: str, digest: str) -> None:
        """Deletes a key; after `CACHE_TTL`, all daemons reject it.

        Raises:
            AdminError: the key was changed concurrently.
        """
        row = self._table.read(PREFIX + digest)
        if row is not None:
            role = row.decode(Identity).role.value
            self._write(actor, digest, row, None, role, "")
        self._cache.pop(digest, None)

    def _write(
        self,
        actor: str,
        digest: str,
        row: table_module.Row | None,
        value: Identity | None,
        before: str,
        after: str,
    ) -> None:
        """Writes a key's row and its audit entry; None deletes the row."""
        key = PREFIX + digest
        version = table_module.ABSENT if row is None else row.version
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(
                table_module.Write(key=key, value=msgspec.to_builtins(value)),
            ),
        )
        entry = trail.Entry(
            actor=actor,
            action="admin-key.changed",
            subject=digest[:16],
            before=before,
            after=after,
            reason="administration call",
            time=self._clock.now(),
        )
        transaction = trail.append_entry(
            self._table, transaction, AUDIT_SCOPE, entry
        )
        if table_module.commit(
            self._table, transaction, self._clock
        ).is_error():
            raise errors.AdminError(
                409, "changed_meanwhile", "the key changed meanwhile"
            )
