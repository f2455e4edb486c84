"""Acceptance of a configuration change by compare-and-set.

The transaction requires that the service is still at the version which the
operator reviewed. The head row moves with it; when only the head has moved,
because another service changed, the transaction is rebuilt and tried again.
"""

import dataclasses

import expression
import msgspec

from arbutuscove.audit import trail
from arbutuscove.config import keys
from arbutuscove.config import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module

HEAD_ATTEMPTS = 20  # each lost race means that another change was accepted


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A service body and the version it was reviewed against (0: new)."""

    service: model.Service
    base_version: int
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionConflict:
    """The service is at another version than the reviewed one."""

    service: str
    reviewed: int
    found: int


class AcceptanceUnavailableError(Exception):
    """The change was not accepted because the platform is unavailable."""


class AcceptanceUnknownError(Exception):
    """The change may or may not have been accepted."""


def read_head(table: table_module.Table) -> model.Head:
    """Returns the newest sequence number.

    Raises:
        TableUnavailableError: no answer was received.
    """
    row = table.read(keys.HEAD)
    if row is None:
        return model.Head(0, table_module.ABSENT)
    return model.Head(int(row.value["sequence"]), row.version)


def accept(
    table: table_module.Table,
    clock: clock_module.Clock,
    proposal: Proposal,
) -> expression.Result[model.Change, VersionConflict]:
    """Puts a proposal in force if the reviewed version still is.

    Raises:
        AcceptanceUnavailableError: nothing was accepted.
        AcceptanceUnknownError: the outcome could not be settled in time.
    """
    try:
        for _ in range(HEAD_ATTEMPTS):
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
    name = proposal.service.name
    head = read_head(table)
    row = table.read(keys.service_key(name))
    found = 0 if row is None else row.decode(model.ServiceVersion).version
    if found != proposal.base_version:
        return expression.Error(
            VersionConflict(
                service=name, reviewed=proposal.base_version, found=found
            )
        )
    change = model.Change(
        sequence=head.sequence + 1,
        version=found + 1,
        base_version=found,
        service=proposal.service,
        author=proposal.author,
        reason=proposal.reason,
    )
    transaction = _build_transaction(head, row, change)
    entry = trail.Entry(
        actor=proposal.author,
        action="configuration.accepted",
        subject=name,
        before=str(found),
        after=str(change.version),
        reason=proposal.reason,
        time=clock.now(),
    )
    transaction = trail.append_entry(table, transaction, "config", entry)
    if table_module.commit(table, transaction, clock).is_ok():
        return expression.Ok(change)
    return None


def _build_transaction(
    head: model.Head, row: table_module.Row | None, change: model.Change
) -> table_module.Transaction:
    service_key = keys.service_key(change.service.name)
    service_version = table_module.ABSENT if row is None else row.version
    body = model.ServiceVersion(
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
                key=service_key, value=msgspec.to_builtins(body)
            ),
        ),
    )
