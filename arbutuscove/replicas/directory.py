"""Which replicas may take requests now.

A replica serves only when each of its VMs was read back, recently, as ready in
the present generation with the same list of members. Rows are cached, so that
serving goes on while the table service is down.
"""

import datetime
from collections import abc

import eliot
import gevent

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import inventory as inventory_module
from arbutuscove.platform import table as table_module
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import model
from arbutuscove.upstreams import protocol

SERVICE_NAME = "replicas"
ROWS_INTERVAL = datetime.timedelta(seconds=1)
FRESH_FOR = datetime.timedelta(seconds=3)  # bound on work to a leaving VM


def find_serving(
    row: model.ReplicaRow,
    vms: abc.Mapping[str, inventory_module.Vm],
    seen: abc.Mapping[str, model.Seen],
    now: datetime.timedelta,
) -> model.Serving | None:
    """Returns the replica as serving, or None if any VM is in doubt."""
    names = tuple(member.name for member in row.members)
    for name in names:
        vm = vms.get(name)
        report = seen.get(name)
        if vm is None or vm.state == inventory_module.VmState.LEAVING:
            return None
        if report is None or now - report.at > FRESH_FOR:
            return None
        if not _is_in_generation(row, names, report.status):
            return None
    report = seen[names[0]]
    return model.Serving(
        replica=row.replica,
        service=row.service,
        fabric_domain=row.fabric_domain,
        generation=row.generation,
        leader=row.members[0],
        slots=report.status.slots,
        running=report.status.running,
        queued=report.status.queued,
        reported_at=report.at,
        kv_used=report.status.kv_used,
    )


def _is_in_generation(
    row: model.ReplicaRow, names: tuple[str, ...], status: protocol.Status
) -> bool:
    return (
        status.state == protocol.State.READY
        and not status.leaving
        and status.replica == row.replica
        and status.generation == row.generation
        and status.members == names
    )


class ReplicaDirectory(services.BaseService):
    """Keeps replica rows and answers which replicas serve."""

    def __init__(
        self,
        table: table_module.Table,
        board: board_module.StatusBoard,
        clock: clock_module.Clock,
    ) -> None:
        self._table = table
        self._board = board
        self._clock = clock
        self._rows: dict[str, model.ReplicaRow] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Begins to read replica rows."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends reading."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def rows(self) -> dict[str, model.ReplicaRow]:
        """Returns the replica rows as last read, by replica."""
        return self._rows

    def serving(self, service: str) -> list[model.Serving]:
        """Returns the replicas of a service that may take requests."""
        now = self._clock.monotonic()
        vms = self._board.vms()
        seen = self._board.seen()
        found = []
        for row in self._rows.values():
            if row.service != service:
                continue
            serving = find_serving(row, vms, seen, now)
            if serving is not None:
                found.append(serving)
        return found

    def read_once(self) -> None:
        """Reads all replica rows.

        Raises:
            TableUnavailableError: the table could not be read.
        """
        rows = table_module.read_all(self._table, model.REPLICA_PREFIX)
        decoded = [row.decode(model.ReplicaRow) for row in rows]
        self._rows = {row.replica: row for row in decoded}

    def _run(self) -> None:
        while True:
            try:
                self.read_once()
            except table_module.TableUnavailableError as error:
                eliot.log_message("replicas:read_failed", reason=str(error))
            self._clock.sleep(ROWS_INTERVAL)
