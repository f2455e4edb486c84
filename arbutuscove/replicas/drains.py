"""Stores the VMs that operators drain.

A drained VM is handled like one that the platform lists as leaving: it
receives no new requests, and its replica is repaired without it.
"""

import dataclasses

import eliot
import msgspec

from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module

PREFIX = "drain/"
AUDIT_SCOPE = "drains"
MAX_ATTEMPTS = 5  # conflicts with concurrent changes of the same audit scope


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """A VM that an operator takes out of service."""

    vm: str
    reason: str = ""


class DrainUndecidedError(Exception):
    """The change conflicted with others too often; nothing was written."""


class DrainedVms:
    """Caches the names of the drained VMs."""

    def __init__(self, table: table_module.Table) -> None:
        self._table = table
        self._names: frozenset[str] = frozenset()

    def read(self) -> frozenset[str]:
        """Reads the names of the drained VMs.

        Returns:
            The names; those of the last read while the table is unavailable.
        """
        try:
            drains = read_drains(self._table)
        except table_module.TableUnavailableError as error:
            eliot.log_message("drains:read_failed", reason=str(error))
        else:
            self._names = frozenset(drain.vm for drain in drains)
        return self._names


def read_drains(table: table_module.Table) -> list[Drain]:
    """Returns the VMs being drained.

    Raises:
        TableUnavailableError: the table could not be read.
    """
    rows = table_module.read_all(table, PREFIX)
    return [row.decode(Drain) for row in rows]


def set_drain(
    table: table_module.Table,
    clock: clock_module.Clock,
    actor: str,
    vm: str,
    drain: Drain | None,
) -> None:
    """Sets or removes the drain of a VM; a repeated call changes nothing.

    Args:
        table: the table that stores the drain and its audit entry.
        clock: the clock of the audit entry and of retries.
        actor: the operator, for the audit entry.
        vm: the name of the VM.
        drain: the drain, or None to remove it.

    Raises:
        TableError: the table could not be read or written.
        DrainUndecidedError: every attempt conflicted with another change.
    """
    key = PREFIX + vm
    for _ in range(MAX_ATTEMPTS):
        row = table.read(key)
        current = None if row is None else row.decode(Drain)
        if current == drain:
            return
        version = table_module.ABSENT if row is None else row.version
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(
                table_module.Write(key=key, value=msgspec.to_builtins(drain)),
            ),
        )
        entry = trail.Entry(
            actor=actor,
            action="vm.drain" if drain is not None else "vm.undrain",
            subject=vm,
            before="" if current is None else current.reason,
            after="" if drain is None else drain.reason,
            reason="administration call",
            time=clock.now(),
        )
        transaction = trail.append_entry(table, transaction, AUDIT_SCOPE, entry)
        if table_module.commit(table, transaction, clock).is_ok():
            return
    raise DrainUndecidedError(vm)
