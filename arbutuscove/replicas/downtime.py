"""Measures replicas that do not serve and VMs that are stranded.

A promised replica is down while it does not serve, whether or not it has a
row. A VM is *stranded* while it is listed, hence paid for, and not a member
of a replica that serves; spares and loading VMs count.
"""

import collections
import datetime

from arbutuscove.config import follower
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import directory as directory_module

SERVICE_NAME = "downtime"
# Looks at every VM of the fleet; more often would cost control time at the
# target size without telling an operator more.
INTERVAL = datetime.timedelta(seconds=5)
# A daemon that was paused does not know what happened meanwhile.
LONGEST_COUNTED = 2 * INTERVAL


class DowntimeMeter(services.LoopService):
    """Feeds the metrics of group downtime and of stranded VMs."""

    def __init__(
        self,
        clock: clock_module.Clock,
        config: follower.ConfigFollower,
        board: board_module.StatusBoard,
        directory: directory_module.ReplicaDirectory,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._clock = clock
        self._config = config
        self._board = board
        self._directory = directory
        self._metrics = metrics
        self._measured: datetime.timedelta | None = None
        self._services: set[str] = set()
        self._domains: set[str] = set()

    def start(self, kernel: services.Kernel) -> None:
        """Begins to measure."""
        self.run_loop(self._run)

    def measure_once(self) -> None:
        """Counts the time since the last call in the present state."""
        # Without rows, replicas that serve would be counted as down.
        if not self._config.is_loaded() or self._directory.read_at() is None:
            return
        now = self._clock.monotonic()
        last = now if self._measured is None else self._measured
        seconds = min(now - last, LONGEST_COUNTED).total_seconds()
        self._measured = now
        down, stranded = self._count()
        # What is not configured or listed any more must not keep its value.
        for service in self._services | set(down):
            label = {"service": service}
            self._metrics.replicas_down.set(label, down[service])
            self._metrics.group_downtime.add(label, down[service] * seconds)
        for domain in self._domains | set(stranded):
            label = {"fabric_domain": domain}
            self._metrics.stranded_vms.set(label, stranded[domain])
            self._metrics.stranded_time.add(label, stranded[domain] * seconds)
        self._services = set(down)
        self._domains = set(stranded)

    def _count(
        self,
    ) -> tuple[collections.Counter[str], collections.Counter[str]]:
        rows = self._directory.rows()
        down: collections.Counter[str] = collections.Counter()
        working: set[str] = set()
        for version in self._config.get_snapshot().services.values():
            service = version.service
            if service.model is None:
                continue
            serving = self._directory.serving(service.name)
            promised = service.model.replicas
            down[service.name] = max(0, promised - len(serving))
            for found in serving:
                working.update(self._directory.members(rows[found.replica]))
        stranded: collections.Counter[str] = collections.Counter()
        for name, vm in self._board.vms().items():
            stranded[vm.fabric_domain] += name not in working
        return down, stranded

    def _run(self) -> None:
        while True:
            self.measure_once()
            self._clock.sleep(INTERVAL)
