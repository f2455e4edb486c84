"""Acceptance of a configuration change by compare-and-set.

The transaction requires that the service is still at the version that the
operator reviewed, and it increments the sequence number in the head row. If
only the head row has changed, because a change of another service was
accepted, the transaction is rebuilt and retried.

If the table came back from an older copy and lost accepted changes, daemons
that still have them write them again.
"""

import dataclasses
from collections import abc

import expression
import msgspec

from arbutuscove.audit import trail
from arbutuscove.config import keys
from arbutuscove.config import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.storage import table as table_module

MAX_ATTEMPTS = 20  # a failed attempt means that another change was accepted


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A service body and the version it was reviewed against (0: new)."""

    service: model.Service
    base_version: int
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """The version of the service differs from the one that was reviewed."""

    service: str
    reviewed: int
    found: int


class AcceptanceUnavailableError(Exception):
    """The change was not accepted because the platform is unavailable."""


class AcceptanceUnknownError(Exception):
    """The change may or may not have been accepted."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _HeadRow:
    sequence: decoding.Count


def read_head(table: table_module.Table) -> model.Head:
    """Reads the newest sequence number and the version of the head row.

    Returns:
        The head; sequence number 0 if no change has been accepted yet.

    Raises:
        TableUnavailableError: the head row could not be read.
    """
    row = table.read(keys.HEAD)
    if row is None:
        return model.Head(0, table_module.ABSENT)
    return model.Head(row.decode(_HeadRow).sequence, row.version)


def accept(
    table: table_module.Table,
    clock: clock_module.Clock,
    proposal: Proposal,
) -> expression.Result[model.Change, VersionConflict]:
    """Accepts a proposal if the reviewed version is still in force.

    Args:
        table: the table service that stores the configuration.
        clock: the clock for the audit entry and for retries.
        proposal: the service, its reviewed version, the author and the reason.

    Returns:
        The accepted change, or the conflict if the service is at another
        version.

    Raises:
        AcceptanceUnavailableError: nothing was accepted.
        AcceptanceUnknownError: the outcome could not be determined in time.
    """
    try:
        for _ in range(MAX_ATTEMPTS):
            result = _try_accept(table, clock, proposal)
            if result is not None:
                return result
    except table_module.TableUnavailableError as error:
        raise AcceptanceUnavailableError(str(error)) from error
    except table_module.OutcomeUnknownError as error:
        raise AcceptanceUnknownError(str(error)) from error
    raise AcceptanceUnavailableError("too many changes were accepted meanwhile")


def _try_accept(
    table: table_module.Table,
    clock: clock_module.Clock,
    proposal: Proposal,
) -> expression.Result[model.Change, VersionConflict] | None:
    """Returns None if another change was accepted at the same time."""
    name = proposal.service.name
    head = read_head(table)
    row = table.read(keys.service_key(name))
    current_version = (
        0 if row is None else row.decode(model.ServiceVersion).version
    )
    if current_version != proposal.base_version:
        return expression.Error(
            VersionConflict(
                service=name,
                reviewed=proposal.base_version,
                found=current_version,
            )
        )
    change = model.Change(
        sequence=head.sequence + 1,
        version=current_version + 1,
        base_version=current_version,
        service=proposal.service,
        author=proposal.author,
        reason=proposal.reason,
    )
    if _write_change(table, clock, head, row, change, "configuration.accepted"):
        return expression.Ok(change)
    return None


def restore(
    table: table_module.Table,
    clock: clock_module.Clock,
    changes: abc.Iterable[model.Change],
) -> bool:
    """Writes accepted changes again that the table lost.

    A change is written only as the next one after the head, on the version that
    it was accepted on. Otherwise another change has been accepted since, or
    another daemon writes these changes.

    Args:
        table: the table service that stores the configuration.
        clock: the clock for the audit entries and for retries.
        changes: the changes after those in the table, in order.

    Returns:
        Whether all changes were written.

    Raises:
        TableError: a change was not written, or may not have been.
    """
    for change in changes:
        head = read_head(table)
        row = table.read(keys.service_key(change.service.name))
        version = 0 if row is None else row.decode(model.ServiceVersion).version
        is_next = head.sequence + 1 == change.sequence
        if not is_next or version != change.base_version:
            return False
        action = "configuration.restored"
        if not _write_change(table, clock, head, row, change, action):
            return False
    return True


def _write_change(
    table: table_module.Table,
    clock: clock_module.Clock,
    head: model.Head,
    row: table_module.Row | None,
    change: model.Change,
    action: str,
) -> bool:
    """Returns whether the change was written, with an audit entry."""
    transaction = _build_transaction(head, row, change)
    entry = trail.Entry(
        actor=change.author,
        action=action,
        subject=change.service.name,
        before=str(change.base_version),
        after=str(change.version),
        reason=change.reason,
        time=clock.now(),
    )
    transaction = trail.append_entry(table, transaction, "config", entry)
    return table_module.commit(table, transaction, clock).is_ok()


def _build_transaction(
    head: model.Head, row: table_module.Row | None, change: model.Change
) -> table_module.Transaction:
    service_key = keys.service_key(change.service.name)
    service_version = table_module.ABSENT if row is None else row.version
    accepted = model.ServiceVersion(
        sequence=change.sequence,
        version=change.version,
        service=change.service,
    )
    return table_module.Transaction(
        conditions=(
            table_module.Condition(key=keys.HEAD, version=head.row_version),
            table_module.Condition(key=service_key, version=service_version),
        ),
        writes=(
            table_module.Write(
                key=keys.HEAD, value={"sequence": change.sequence}
            ),
            table_module.Write(
                key=keys.change_key(change.sequence),
                value=msgspec.to_builtins(change),
            ),
            table_module.Write(
                key=service_key, value=msgspec.to_builtins(accepted)
            ),
        ),
    )
