"""Rows by which operators mark VMs and failure domains.

Each change of a mark is written in one transaction with its audit entry.
"""

import dataclasses
import typing

import msgspec

from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module

MAX_ATTEMPTS = 5  # conflicts with concurrent changes of the same audit scope


class Mark(typing.Protocol):
    """A mark; two marks of one kind are compared by their content."""

    @property
    def reason(self) -> str:
        """Why the operator set it."""


MarkT = typing.TypeVar("MarkT", bound=Mark)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Kind(typing.Generic[MarkT]):
    """A kind of marks.

    Attributes:
        type: class of the marks.
        prefix: prefix of the keys of their rows.
        scope: scope of their audit entries.
        set_action: action in the audit entry of a mark that is set.
        remove_action: the same of one that is removed.
    """

    type: type[MarkT]
    prefix: str
    scope: str
    set_action: str
    remove_action: str


class MarkUndecidedError(Exception):
    """The change conflicted with others too often; nothing was written."""


def read_marks(table: table_module.Table, kind: Kind[MarkT]) -> list[MarkT]:
    """Returns all marks of a kind.

    Raises:
        TableUnavailableError: the table could not be read.
    """
    rows = table_module.read_all(table, kind.prefix)
    return [row.decode(kind.type) for row in rows]


def set_mark(
    table: table_module.Table,
    clock: clock_module.Clock,
    actor: str,
    kind: Kind[MarkT],
    subject: str,
    mark: MarkT | None,
) -> None:
    """Sets or removes a mark; a repeated call changes nothing.

    Args:
        table: the table that stores the mark and its audit entry.
        clock: the clock of the audit entry and of retries.
        actor: the operator, for the audit entry.
        kind: the kind of the mark.
        subject: what is marked.
        mark: the mark, or None to remove it.

    Raises:
        TableError: the table could not be read or written.
        MarkUndecidedError: every attempt conflicted with another change.
    """
    key = kind.prefix + subject
    for _ in range(MAX_ATTEMPTS):
        row = table.read(key)
        current = None if row is None else row.decode(kind.type)
        if current == mark:
            return
        version = table_module.ABSENT if row is None else row.version
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(
                table_module.Write(key=key, value=msgspec.to_builtins(mark)),
            ),
        )
        entry = trail.Entry(
            actor=actor,
            action=kind.remove_action if mark is None else kind.set_action,
            subject=subject,
            before="" if current is None else current.reason,
            after="" if mark is None else mark.reason,
            reason="administration call",
            time=clock.now(),
        )
        transaction = trail.append_entry(table, transaction, kind.scope, entry)
        if table_module.commit(table, transaction, clock).is_ok():
            return
    raise MarkUndecidedError(subject)
