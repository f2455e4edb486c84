"""Audit entries with consecutive numbers, written with their changes.

An entry is written in the same transaction as the change that it describes, so
neither exists without the other. Each scope numbers its own entries: the head
row of the scope is incremented with each entry, and a missing number reveals a
lost entry. Separate scopes keep unrelated writers from conflicting on one head
row.
"""

import dataclasses
import datetime

import msgspec

from arbutuscove.storage import table as table_module

ENTRY_PREFIX = "audit/"
HEAD_PREFIX = "audit-head/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Entry:
    """Who changed what, from which version to which, and why."""

    actor: str
    action: str
    subject: str
    before: str
    after: str
    reason: str
    time: datetime.datetime


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NumberedEntry:
    """An entry with its number within the scope, from 1."""

    scope: str
    number: int
    entry: Entry


def entry_key(scope: str, number: int) -> str:
    """Returns the key of an entry, zero-padded so that keys sort by number."""
    return f"{ENTRY_PREFIX}{scope}/{number:012d}"


def append_entry(
    table: table_module.Table,
    transaction: table_module.Transaction,
    scope: str,
    entry: Entry,
) -> table_module.Transaction:
    """Returns the transaction extended by the next audit entry of a scope.

    Args:
        table: the table service that stores the audit trail.
        transaction: the transaction that makes the change.
        scope: the scope that numbers the entry.
        entry: the description of the change.

    Raises:
        TableUnavailableError: the head row could not be read.
    """
    head_key = HEAD_PREFIX + scope
    row = table.read(head_key)
    version = table_module.ABSENT if row is None else row.version
    number = 1 if row is None else int(row.value["number"]) + 1
    numbered = NumberedEntry(scope=scope, number=number, entry=entry)
    return dataclasses.replace(
        transaction,
        conditions=(
            *transaction.conditions,
            table_module.Condition(key=head_key, version=version),
        ),
        writes=(
            *transaction.writes,
            table_module.Write(key=head_key, value={"number": number}),
            table_module.Write(
                key=entry_key(scope, number),
                value=msgspec.to_builtins(numbered),
            ),
        ),
    )


def read_scope(
    table: table_module.Table, scope: str, after: int = 0, limit: int = 100
) -> list[NumberedEntry]:
    """Returns the entries of a scope in order of their numbers.

    Args:
        table: the table service that stores the audit trail.
        scope: the scope to read.
        after: only entries with higher numbers are returned.
        limit: the maximum number of entries.

    Raises:
        TableUnavailableError: the table could not be read.
    """
    prefix = f"{ENTRY_PREFIX}{scope}/"
    rows = table.scan(prefix, entry_key(scope, after), limit)
    return [row.decode(NumberedEntry) for row in rows]


def find_gaps(entries: list[NumberedEntry]) -> list[int]:
    """Returns the numbers missing between the entries of one scope.

    Numbers before the first and after the last of `entries` are not checked.

    Example:
        >>> find_gaps([])
        []
    """
    numbers = {item.number for item in entries}
    if not numbers:
        return []
    expected = range(min(numbers), max(numbers) + 1)
    return [number for number in expected if number not in numbers]
