"""What the VMs say of themselves, read back regularly.

The board holds the VM list and the newest status of each VM. Both are hints;
a status is dated from before its request was sent, so its age is never
understated. The daemons of a cell split the reading and share what they read
(see `sharing`); a VM whose report grows old all the same is read directly, so
freshness never rests on a peer.
"""

import dataclasses
import datetime
from collections import abc

import eliot
from gevent import pool as greenlet_pool

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.membership import service as membership_service
from arbutuscove.peers import client as peer_client
from arbutuscove.peers import peer_pb2
from arbutuscove.replicas import model
from arbutuscove.replicas import sharing
from arbutuscove.storage import inventory as inventory_module
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import pool

SERVICE_NAME = "board"
INTERVAL = datetime.timedelta(milliseconds=500)
READ_INTERVAL = datetime.timedelta(seconds=1)  # of own share, and of pulls
LIST_INTERVAL = datetime.timedelta(seconds=2)  # leaves 1 s of the 3 s to react
# Reading and pulling each add up to a second. Past this age a peer has failed,
# and a direct read still comes before routing gives up at 3 s.
DIRECT_AFTER = datetime.timedelta(milliseconds=2200)
NEVER = datetime.timedelta(days=-1)
PULL_TIMEOUT = datetime.timedelta(milliseconds=500)
# A VM that does not answer keeps a reader for the status timeout of 1 s; a
# dark domain must not delay the statuses of the others beyond their 3 s.
CONCURRENT_READS = 64


class StatusBoard(services.LoopService):
    """Reads the VM list and the statuses of its VMs."""

    def __init__(
        self,
        inventory: inventory_module.Inventory,
        engines: pool.EnginePool,
        clock: clock_module.Clock,
        membership: membership_service.Membership,
        peers: peer_client.PeerClient,
        process: str,
        list_drained: abc.Callable[[], abc.Set[str]] = frozenset,
    ) -> None:
        self._list_drained = list_drained
        self._inventory_vms: list[inventory_module.Vm] = []
        self._membership = membership
        self._peers = peers
        self._outbox = sharing.Outbox(process)
        self._inboxes: dict[str, sharing.Inbox] = {}
        self._pulled: dict[str, datetime.timedelta] = {}
        self._asked: dict[str, datetime.timedelta] = {}
        self._listed: datetime.timedelta | None = None
        self._inventory = inventory
        self._engines = engines
        self._clock = clock
        self._vms: dict[str, inventory_module.Vm] = {}
        self._seen: dict[str, model.Seen] = {}
        self._reading: set[str] = set()
        self._readers = greenlet_pool.Pool(CONCURRENT_READS)
        self._pullers = greenlet_pool.Pool(sharing.CELL_LIMIT)

    def start(self, kernel: services.Kernel) -> None:
        """Begins to read."""
        self.run_loop(self._run)

    def stop(self) -> None:
        """Ends reading."""
        super().stop()
        self._readers.kill()
        self._pullers.kill()

    def vms(self) -> dict[str, inventory_module.Vm]:
        """Returns the VM list by name, as last read."""
        return self._vms

    def seen(self) -> dict[str, model.Seen]:
        """Returns the newest status of each VM by name."""
        return self._seen

    def answer_reports(
        self, request: peer_pb2.ReportsRequest
    ) -> peer_pb2.ReportsReply:
        """Returns the statuses that this daemon has read itself."""
        now = self._clock.monotonic()
        return self._outbox.answer(request, now, DIRECT_AFTER)

    def read_once(self) -> None:
        """Starts the reads and pulls that are due."""
        now = self._clock.monotonic()
        if _is_due(self._listed, now, LIST_INTERVAL):
            self._listed = now
            self._read_list()
        own = self._membership.get_own()
        near = {
            member.name: member
            for member in self._membership.get_alive()
            if member.region == own.region
        }
        size = sharing.choose_cell_size(len(self._vms))
        cell = sharing.pick_cell(own.name, near, size)
        for name in cell:
            if _is_due(self._pulled.get(name), now, READ_INTERVAL):
                self._pulled[name] = now
                address = near[name].peer_address
                self._pullers.spawn(self._pull, name, address)
        # Longest waiting first, so that a full pool starves no VM.
        waiting = sorted(self._vms, key=lambda vm: self._asked.get(vm, NEVER))
        for name in waiting:
            if self._readers.full():
                break
            if self._is_read_due(name, own.name, cell, now):
                self._asked[name] = now
                self._reading.add(name)
                self._readers.spawn(self._read_status, self._vms[name])
        for name in set(self._inboxes) - set(cell):
            del self._inboxes[name]
            self._pulled.pop(name, None)

    def _is_read_due(
        self, vm: str, own: str, cell: list[str], now: datetime.timedelta
    ) -> bool:
        if vm in self._reading:
            return False
        if not _is_due(self._asked.get(vm), now, READ_INTERVAL):
            return False
        if sharing.pick_reader(vm, [own, *cell]) == own:
            return True
        seen = self._seen.get(vm)
        return seen is None or now - seen.at > DIRECT_AFTER

    def _read_list(self) -> None:
        try:
            self._inventory_vms = self._inventory.list_vms()
        except inventory_module.InventoryUnavailableError as error:
            eliot.log_message("board:inventory_failed", reason=str(error))
        drained = self._list_drained()
        self._vms = {
            vm.name: _mark_leaving(vm) if vm.name in drained else vm
            for vm in self._inventory_vms
        }
        self._outbox.keep(self._vms)
        for known in (self._seen, self._asked):
            for name in set(known) - set(self._vms):
                del known[name]

    def join(self) -> None:
        """Waits until the reads and pulls that were started have ended."""
        self._pullers.join()
        self._readers.join()

    def _pull(self, name: str, address: str) -> None:
        inbox = self._inboxes.setdefault(name, sharing.Inbox())
        sent = self._clock.monotonic()
        try:
            reply = self._peers.fetch_reports(
                address, inbox.request(), PULL_TIMEOUT
            )
        except peer_client.PeerUnreachableError:
            return
        for seen in inbox.take(reply, sent):
            self._store(seen)

    def _store(self, seen: model.Seen) -> None:
        name = seen.status.vm
        known = self._seen.get(name)
        if name in self._vms and (known is None or known.at < seen.at):
            self._seen[name] = seen

    def _read_status(self, vm: inventory_module.Vm) -> None:
        sent = self._clock.monotonic()
        try:
            status = self._engines.get(vm.address).read_status()
        except errors.UnreachableError:
            return
        finally:
            self._reading.discard(vm.name)
        if status.vm != vm.name:
            return
        seen = model.Seen(status=status, at=sent)
        self._outbox.put(seen)
        self._store(seen)

    def _run(self) -> None:
        while True:
            self.read_once()
            self._clock.sleep(INTERVAL)


def _is_due(
    started: datetime.timedelta | None,
    now: datetime.timedelta,
    interval: datetime.timedelta,
) -> bool:
    # Half a turn of tolerance: a timer that fires a little early must not
    # put the work off by a whole turn.
    return started is None or now - started >= interval - INTERVAL / 2


def _mark_leaving(vm: inventory_module.Vm) -> inventory_module.Vm:
    return dataclasses.replace(vm, state=inventory_module.VmState.LEAVING)
