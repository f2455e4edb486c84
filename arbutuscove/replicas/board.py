"""What the VMs say of themselves, read back regularly.

The board holds the VM list and the newest status of each VM. Both are hints;
a status is dated from before its request was sent, so its age is never
understated.
"""

import datetime

import eliot
import gevent
from gevent import pool as greenlet_pool

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import inventory as inventory_module
from arbutuscove.replicas import model
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import pool

SERVICE_NAME = "board"
READ_INTERVAL = datetime.timedelta(milliseconds=500)
# A VM that does not answer keeps a reader for the status timeout of 1 s; a
# dark domain must not delay the statuses of the others beyond their 3 s.
CONCURRENT_READS = 64


class StatusBoard(services.BaseService):
    """Reads the VM list and the statuses of its VMs."""

    def __init__(
        self,
        inventory: inventory_module.Inventory,
        engines: pool.EnginePool,
        clock: clock_module.Clock,
    ) -> None:
        self._inventory = inventory
        self._engines = engines
        self._clock = clock
        self._vms: dict[str, inventory_module.Vm] = {}
        self._seen: dict[str, model.Seen] = {}
        self._asked: dict[str, datetime.timedelta] = {}
        self._reading: set[str] = set()
        self._greenlet: gevent.Greenlet | None = None
        self._readers = greenlet_pool.Pool(CONCURRENT_READS)

    def start(self, kernel: services.Kernel) -> None:
        """Begins to read."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends reading."""
        if self._greenlet is not None:
            self._greenlet.kill()
        self._readers.kill()

    def vms(self) -> dict[str, inventory_module.Vm]:
        """Returns the VM list by name, as last read."""
        return self._vms

    def seen(self) -> dict[str, model.Seen]:
        """Returns the newest status of each VM by name."""
        return self._seen

    def read_once(self) -> None:
        """Reads the VM list and starts a status read of each VM."""
        try:
            vms = self._inventory.list_vms()
            self._vms = {vm.name: vm for vm in vms}
        except inventory_module.InventoryUnavailableError as error:
            eliot.log_message("board:inventory_failed", reason=str(error))
        for known in (self._seen, self._asked):
            for name in set(known) - set(self._vms):
                known.pop(name, None)
        # A VM that does not answer keeps its reader for a second, so those
        # that were asked longest ago come first and none is left out.
        waiting = sorted(
            (vm for vm in self._vms.values() if vm.name not in self._reading),
            key=lambda vm: self._asked.get(vm.name, datetime.timedelta(-1)),
        )
        for vm in waiting:
            if self._readers.full():
                break
            self._reading.add(vm.name)
            self._asked[vm.name] = self._clock.monotonic()
            self._readers.spawn(self._read_status, vm)

    def join(self) -> None:
        """Waits until the status reads that were started have ended."""
        self._readers.join()

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
        known = self._seen.get(vm.name)
        if known is None or known.at < sent:
            self._seen[vm.name] = model.Seen(status=status, at=sent)

    def _run(self) -> None:
        while True:
            self.read_once()
            self._clock.sleep(READ_INTERVAL)
