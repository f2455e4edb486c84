"""Which replicas may take requests now.

A replica serves only when each of its VMs was read back, recently, as ready in
the present generation with the same list of members. Rows are cached, so that
serving goes on while the table service is down.
"""

import datetime

import eliot
import gevent

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import table as table_module
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import model
from arbutuscove.replicas import serving as serving_module

SERVICE_NAME = "replicas"
ROWS_INTERVAL = datetime.timedelta(seconds=1)


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
        self._read_at: datetime.timedelta | None = None
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

    def read_at(self) -> datetime.timedelta | None:
        """Returns the monotonic time before the last read that succeeded."""
        return self._read_at

    def serving(self, service: str) -> list[model.Serving]:
        """Returns the replicas of a service that may take requests."""
        now = self._clock.monotonic()
        vms = self._board.vms()
        seen = self._board.seen()
        found = []
        for row in self._rows.values():
            if row.service != service:
                continue
            serving = serving_module.find_serving(row, vms, seen, now)
            if serving is not None:
                found.append(serving)
        return found

    def members(self, row: model.ReplicaRow) -> set[str]:
        """Returns the names of a replica's members, as its VMs report them."""
        current = serving_module.find_effective(row, self._board.seen())
        return {member.name for member in current.members}

    def read_once(self) -> None:
        """Reads all replica rows.

        Raises:
            TableUnavailableError: the table could not be read.
        """
        sent = self._clock.monotonic()
        rows = table_module.read_all(self._table, model.REPLICA_PREFIX)
        decoded = [row.decode(model.ReplicaRow) for row in rows]
        self._rows = {row.replica: row for row in decoded}
        self._read_at = sent

    def _run(self) -> None:
        while True:
            try:
                self.read_once()
            except table_module.TableUnavailableError as error:
                eliot.log_message("replicas:read_failed", reason=str(error))
            self._clock.sleep(ROWS_INTERVAL)
