"""Reads the VM list and the status of each VM periodically.

The board keeps the VM list and the newest status of each VM. Both are hints.
A status is dated by the time before its request was sent, so its age is never
understated. The daemons of a cell divide the VMs among themselves and share
the statuses (see `sharing`). A VM whose status becomes stale nevertheless is
read directly, so freshness never depends on a peer.
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
READ_INTERVAL = datetime.timedelta(seconds=1)  # per VM read or peer pulled
# Requests to a leaving VM must stop within 3 s; this leaves 1 s to react.
LIST_INTERVAL = datetime.timedelta(seconds=2)
# A read and a pull each add up to 1 s of age. A report older than this means
# that a peer has failed. A direct read then still completes before routing
# excludes the replica at 3 s.
DIRECT_READ_AFTER = datetime.timedelta(milliseconds=2200)
NEVER = datetime.timedelta(days=-1)
PULL_TIMEOUT = datetime.timedelta(milliseconds=500)
# An unresponsive VM occupies a reader for the status timeout of 1 s. An outage
# of a domain must not delay the statuses of other domains beyond the 3 s after
# which they are stale.
MAX_CONCURRENT_READS = 64


class StatusBoard(services.LoopService):
    """Keeps the VM list and the newest status of each VM."""

    def __init__(
        self,
        inventory: inventory_module.Inventory,
        engines: pool.EnginePool,
        clock: clock_module.Clock,
        membership: membership_service.Membership,
        peers: peer_client.PeerClient,
        process: str,
        list_drained: abc.Callable[[], abc.Set[str]] = frozenset,
        list_evacuated: abc.Callable[[], abc.Set[str]] = frozenset,
    ) -> None:
        self._list_drained = list_drained
        self._list_evacuated = list_evacuated
        self._evacuated: abc.Set[str] = frozenset()
        self._inventory_vms: list[inventory_module.Vm] = []
        self._membership = membership
        self._peers = peers
        self._outbox = sharing.Outbox(process)
        self._inboxes: dict[str, sharing.Inbox] = {}
        self._pulled_at: dict[str, datetime.timedelta] = {}
        self._read_started_at: dict[str, datetime.timedelta] = {}
        self._listed_at: datetime.timedelta | None = None
        self._inventory = inventory
        self._engines = engines
        self._clock = clock
        self._vms: dict[str, inventory_module.Vm] = {}
        self._reports: dict[str, model.StatusReport] = {}
        self._reading: set[str] = set()
        self._readers = greenlet_pool.Pool(MAX_CONCURRENT_READS)
        self._pullers = greenlet_pool.Pool(sharing.MAX_CELL_SIZE)

    def start(self, kernel: services.Kernel) -> None:
        """Starts reading."""
        self.run_loop(self._run)

    def stop(self) -> None:
        """Stops reading; reads and pulls in flight are aborted."""
        super().stop()
        self._readers.kill()
        self._pullers.kill()

    def get_vms(self) -> dict[str, inventory_module.Vm]:
        """Returns the VM list by name, as last read."""
        return self._vms

    def is_evacuated(self, vm: str) -> bool:
        """Returns whether nothing may be sent to a VM's failure domain."""
        listed = self._vms.get(vm)
        return listed is not None and listed.failure_domain in self._evacuated

    def is_domain_evacuated(self, domain: str) -> bool:
        """Returns whether nothing may be sent to a failure domain."""
        return domain in self._evacuated

    def is_address_evacuated(self, address: str) -> bool:
        """Returns whether no request may be sent to the VM at an address."""
        return bool(self._evacuated) and any(
            vm.failure_domain in self._evacuated
            for vm in self._vms.values()
            if vm.address == address
        )

    def get_reports(self) -> dict[str, model.StatusReport]:
        """Returns the newest status of each VM by name."""
        return self._reports

    def answer_reports(
        self, request: peer_pb2.ReportsRequest
    ) -> peer_pb2.ReportsReply:
        """Returns the statuses that this daemon has read itself."""
        now = self._clock.monotonic()
        return self._outbox.build_reply(request, now, DIRECT_READ_AFTER)

    def read_once(self) -> None:
        """Starts the reads and pulls that are due."""
        now = self._clock.monotonic()
        if _is_due(self._listed_at, now, LIST_INTERVAL):
            self._listed_at = now
            self._read_list()
        own = self._membership.get_own()
        region_members = {
            member.name: member
            for member in self._membership.get_alive()
            if member.region == own.region
        }
        size = sharing.choose_cell_size(len(self._vms))
        cell = sharing.pick_cell(own.name, region_members, size)
        for name in cell:
            if _is_due(self._pulled_at.get(name), now, READ_INTERVAL):
                self._pulled_at[name] = now
                address = region_members[name].peer_address
                self._pullers.spawn(self._pull, name, address)
        # Ordered by the last read, oldest first, so that a full pool starves
        # no VM.
        ordered_vms = sorted(
            self._vms, key=lambda vm: self._read_started_at.get(vm, NEVER)
        )
        for name in ordered_vms:
            if self._readers.full():
                break
            if self._is_read_due(name, own.name, cell, now):
                self._read_started_at[name] = now
                self._reading.add(name)
                self._readers.spawn(self._read_status, self._vms[name])
        for name in set(self._inboxes) - set(cell):
            del self._inboxes[name]
            self._pulled_at.pop(name, None)

    def _is_read_due(
        self, vm: str, own: str, cell: list[str], now: datetime.timedelta
    ) -> bool:
        if vm in self._reading:
            return False
        if not _is_due(self._read_started_at.get(vm), now, READ_INTERVAL):
            return False
        if sharing.pick_reader(vm, [own, *cell]) == own:
            return True
        report = self._reports.get(vm)
        return report is None or now - report.requested_at > DIRECT_READ_AFTER

    def _read_list(self) -> None:
        try:
            self._inventory_vms = self._inventory.list_vms()
        except inventory_module.InventoryUnavailableError as error:
            eliot.log_message("board:inventory_failed", reason=str(error))
        drained = self._list_drained()
        self._evacuated = self._list_evacuated()
        self._vms = {
            vm.name: _mark_leaving(vm) if vm.name in drained else vm
            for vm in self._inventory_vms
        }
        self._outbox.retain(self._vms)
        for by_vm in (self._reports, self._read_started_at):
            for name in set(by_vm) - set(self._vms):
                del by_vm[name]

    def join(self) -> None:
        """Waits until all reads and pulls in flight have ended."""
        self._pullers.join()
        self._readers.join()

    def _pull(self, name: str, address: str) -> None:
        inbox = self._inboxes.setdefault(name, sharing.Inbox())
        sent_at = self._clock.monotonic()
        try:
            reply = self._peers.fetch_reports(
                address, inbox.build_request(), PULL_TIMEOUT
            )
        except peer_client.PeerUnreachableError:
            return
        for report in inbox.read_reply(reply, sent_at):
            self._store(report)

    def _store(self, report: model.StatusReport) -> None:
        name = report.status.vm
        previous = self._reports.get(name)
        if name in self._vms and (
            previous is None or previous.requested_at < report.requested_at
        ):
            self._reports[name] = report

    def _read_status(self, vm: inventory_module.Vm) -> None:
        sent_at = self._clock.monotonic()
        try:
            status = self._engines.get(vm.address).read_status()
        except errors.UnreachableError:
            return
        finally:
            self._reading.discard(vm.name)
        if status.vm != vm.name:
            return
        report = model.StatusReport(status=status, requested_at=sent_at)
        self._outbox.add(report)
        self._store(report)

    def _run(self) -> None:
        while True:
            self.read_once()
            self._clock.sleep(INTERVAL)


def _is_due(
    started_at: datetime.timedelta | None,
    now: datetime.timedelta,
    interval: datetime.timedelta,
) -> bool:
    # The tolerance is half an interval of the loop: a timer that fires
    # slightly early must not delay the work by a whole interval.
    return started_at is None or now - started_at >= interval - INTERVAL / 2


def _mark_leaving(vm: inventory_module.Vm) -> inventory_module.Vm:
    return dataclasses.replace(vm, state=inventory_module.VmState.LEAVING)
