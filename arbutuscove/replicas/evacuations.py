"""Stores the failure domains that operators evacuate.

Nothing is sent to the engines of an evacuated failure domain, and its replicas
are neither formed nor repaired. Unlike drained VMs, they keep their replicas,
which serve again once the domain is restored.
"""

import dataclasses
from collections import abc

import eliot

from arbutuscove.kernel import decoding
from arbutuscove.replicas import marks
from arbutuscove.storage import table as table_module

MAX_DOMAINS = 64  # domains that are evacuated at the same time
TOO_MANY = "too_many"  # reason for which a row is skipped


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evacuation:
    """A failure domain to which nothing is to be sent."""

    domain: decoding.Text
    reason: str = ""


KIND = marks.Kind(
    type=Evacuation,
    prefix="evacuated/",
    scope="evacuations",
    set_action="domain.evacuate",
    remove_action="domain.restore",
)


class EvacuatedDomains:
    """Caches the names of the evacuated failure domains."""

    def __init__(
        self,
        table: table_module.Table,
        count_skipped: abc.Callable[[dict[str, str]], None] = lambda _: None,
    ) -> None:
        """Creates a cache without evacuated domains.

        Args:
            table: the table.
            count_skipped: counts a row that is skipped, by its reason.
        """
        self._table = table
        self._count_skipped = count_skipped
        self._names: frozenset[str] = frozenset()
        # Names of skipped rows, so that each is reported once; bounded, too.
        self._skipped: frozenset[str] = frozenset()

    def read(self) -> frozenset[str]:
        """Reads the names of the evacuated failure domains.

        Returns:
            The names, at most `MAX_DOMAINS`; those of the last read while the
            table is unavailable.
        """
        try:
            rows = table_module.read_all(self._table, KIND.prefix)
        except table_module.TableUnavailableError as error:
            eliot.log_message("evacuation:read_failed", reason=str(error))
            return self._names
        # The key alone says which domain it is, whatever the row holds.
        names = sorted(
            (row.key.removeprefix(KIND.prefix) for row in rows),
            # A later row does not end the evacuation of another domain.
            key=lambda name: (name not in self._names, name),
        )
        current = frozenset(names[:MAX_DOMAINS])
        self._report_skipped(names[MAX_DOMAINS:])
        for name in sorted(current - self._names):
            eliot.log_message("evacuation:begun", domain=name, source="table")
        for name in sorted(self._names - current):
            eliot.log_message("evacuation:ended", domain=name, source="table")
        self._names = current
        return self._names

    def _report_skipped(self, names: list[str]) -> None:
        """Logs and counts names beyond the bound, each once while it is."""
        for name in names[:MAX_DOMAINS]:
            if name not in self._skipped:
                self._count_skipped({"reason": TOO_MANY})
                eliot.log_message(
                    "evacuation:row_skipped", domain=name, reason=TOO_MANY
                )
        self._skipped = frozenset(names[:MAX_DOMAINS])


def has_room(table: table_module.Table, domain: str) -> bool:
    """Returns whether a domain may be evacuated besides the others.

    Raises:
        TableUnavailableError: the table could not be read.
    """
    rows = table_module.read_all(table, KIND.prefix)
    others = {row.key for row in rows} - {KIND.prefix + domain}
    return len(others) < MAX_DOMAINS
