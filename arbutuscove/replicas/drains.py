"""Stores the VMs that operators drain.

A drained VM is handled like one that the platform lists as leaving: it
receives no new requests, and its replica is repaired without it.
"""

import dataclasses

import eliot

from arbutuscove.kernel import clock as clock_module
from arbutuscove.replicas import marks
from arbutuscove.storage import table as table_module

PREFIX = "drain/"
AUDIT_SCOPE = "drains"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """A VM that an operator takes out of service."""

    vm: str
    reason: str = ""


KIND = marks.Kind(
    type=Drain,
    prefix=PREFIX,
    scope=AUDIT_SCOPE,
    set_action="vm.drain",
    remove_action="vm.undrain",
)


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
    return marks.read_marks(table, KIND)


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
        MarkUndecidedError: every attempt conflicted with another change.
    """
    marks.set_mark(table, clock, actor, KIND, vm, drain)
