"""Lists the replicas that can accept requests now.

A replica serves only if each member has a recent status that reports it ready
in the current generation with the same member list. Replica rows are cached,
so that serving continues while the table is unavailable.

A daemon that has not read the table since its start fetches the rows of a
peer. They are hints for routing only: `get_rows` never returns them, so that
no repair is based on them, and they are discarded once the table was read.
"""

import dataclasses
import datetime
from collections import abc

import eliot
import msgspec

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.kernel import services
from arbutuscove.peers import client as peer_client
from arbutuscove.peers import peer_pb2
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import model
from arbutuscove.replicas import serving as serving_module
from arbutuscove.storage import table as table_module

SERVICE_NAME = "replicas"
ROWS_INTERVAL = datetime.timedelta(seconds=1)
FETCH_TIMEOUT = datetime.timedelta(seconds=1)
MILLISECOND = datetime.timedelta(milliseconds=1)
MAX_AGE_MS = 10**10  # an older read of a peer counts as this old
MAX_ROWS_BYTES = 4 * 1024 * 1024  # gRPC's limit of one message

_DECODER = decoding.JsonDecoder[tuple[model.ReplicaRow, ...]](
    tuple[model.ReplicaRow, ...], MAX_ROWS_BYTES
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _PeerRows:
    """The rows of a peer and the time at which it read them from the table."""

    rows: tuple[model.ReplicaRow, ...]
    read_at: datetime.timedelta


class ReplicaDirectory(services.LoopService):
    """Caches the replica rows and lists the replicas that serve."""

    def __init__(
        self,
        table: table_module.Table,
        board: board_module.StatusBoard,
        clock: clock_module.Clock,
        list_peers: abc.Callable[[], list[str]] = list,
        peers: peer_client.PeerClient | None = None,
    ) -> None:
        self._table = table
        self._board = board
        self._clock = clock
        self._rows: dict[str, model.ReplicaRow] = {}
        self._read_at: datetime.timedelta | None = None
        self._list_peers = list_peers
        self._peers = peers
        self._fetch_count = 0
        self._hints: _PeerRows | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Starts to read replica rows periodically."""
        self.run_loop(self._run)

    def get_rows(self) -> dict[str, model.ReplicaRow]:
        """Returns the replica rows as last read from the table."""
        return self._rows

    def get_read_time(self) -> datetime.timedelta | None:
        """Returns the monotonic start time of the last successful read.

        None means that the table was not read yet.
        """
        return self._read_at

    def list_serving(self, service: str) -> list[model.ServingReplica]:
        """Returns the replicas of a service that can accept requests."""
        now = self._clock.monotonic()
        vms = self._board.get_vms()
        reports = self._board.get_reports()
        serving_replicas = []
        for row in self._list_routable_rows():
            if row.service != service or self._is_evacuated(row):
                continue
            serving = serving_module.resolve_serving(row, vms, reports, now)
            if serving is not None:
                serving_replicas.append(serving)
        return serving_replicas

    def _is_evacuated(self, row: model.ReplicaRow) -> bool:
        return any(
            self._board.is_evacuated(member.name) for member in row.members
        )

    def get_member_names(self, row: model.ReplicaRow) -> set[str]:
        """Returns the names of a replica's members.

        Includes a repair that the VMs report and the row does not have yet.
        """
        current = serving_module.resolve_effective_row(
            row, self._board.get_reports()
        )
        return {member.name for member in current.members}

    def read_once(self) -> None:
        """Reads all replica rows.

        Raises:
            TableUnavailableError: the table could not be read.
        """
        started_at = self._clock.monotonic()
        rows = table_module.read_all(self._table, model.REPLICA_PREFIX)
        decoded = [row.decode(model.ReplicaRow) for row in rows]
        self._rows = {row.replica: row for row in decoded}
        self._read_at = started_at
        self._hints = None

    def answer_rows(self) -> peer_pb2.RowsReply:
        """Returns the reply with the rows as last read from the table."""
        if self._read_at is None:
            return peer_pb2.RowsReply(loaded=False)
        age = self._clock.monotonic() - self._read_at
        return peer_pb2.RowsReply(
            loaded=True,
            age_ms=age // MILLISECOND,
            rows=msgspec.json.encode(list(self._rows.values())),
        )

    def fetch_once(self) -> None:
        """Fetches the rows of the next peer, unless the table was read.

        Raises:
            PeerUnreachableError: the peer did not reply within the timeout, or
                its reply cannot be decoded.
        """
        addresses = self._list_peers()
        if self._read_at is not None or self._peers is None or not addresses:
            return
        self._fetch_count += 1
        address = addresses[self._fetch_count % len(addresses)]
        reply = self._peers.fetch_rows(address, FETCH_TIMEOUT)
        if not reply.loaded or self._read_at is not None:
            return
        # This is the latest possible time of the peer's read. The error is at
        # most the duration of the call; its only effect is that a hint may
        # wrongly count as newer than another.
        age_ms = min(reply.age_ms, MAX_AGE_MS)
        read_at = self._clock.monotonic() - age_ms * MILLISECOND
        if self._hints is not None and self._hints.read_at >= read_at:
            return
        try:
            rows = _DECODER.decode(reply.rows)
        except decoding.DecodingError as error:
            raise peer_client.PeerUnreachableError(
                f"{address}: {error}"
            ) from error
        self._hints = _PeerRows(rows=rows, read_at=read_at)

    def _list_routable_rows(self) -> abc.Iterable[model.ReplicaRow]:
        if self._hints is not None:
            return self._hints.rows
        return self._rows.values()

    def _run(self) -> None:
        while True:
            try:
                self.read_once()
            except table_module.TableUnavailableError as error:
                eliot.log_message("replicas:read_failed", reason=str(error))
                self._try_fetch()
            self._clock.sleep(ROWS_INTERVAL)

    def _try_fetch(self) -> None:
        try:
            self.fetch_once()
        except peer_client.PeerUnreachableError as error:
            eliot.log_message("replicas:fetch_failed", peer=str(error))
