"""Measures the downtime of replicas and the time of stranded VMs.

The number of replicas of a service that are down is the number that its
configuration promises less the number that serve, and at least zero. A
promised replica thus counts as down whether or not it has a row. A VM is
*stranded* while it is listed, hence paid for, and not a member of a serving
replica; spares and loading VMs count as stranded.
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
# Each measurement visits every VM of the fleet. At the target size, a shorter
# interval would take more time from control, and give operators no more
# information.
INTERVAL = datetime.timedelta(seconds=5)
# A daemon that was paused cannot know the state of replicas during its pause,
# so it counts at most this time.
MAX_COUNTED_TIME = 2 * INTERVAL


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
        self._last_measured_at: datetime.timedelta | None = None
        self._known_services: set[str] = set()
        self._known_domains: set[str] = set()

    def start(self, kernel: services.Kernel) -> None:
        """Starts the periodic measurement."""
        self.run_loop(self._run)

    def measure_once(self) -> None:
        """Adds the time since the last call to the metrics.

        The present state of replicas and VMs is counted for all of that time.
        Nothing is measured before the configuration and the replica rows have
        been read.
        """
        # Without rows, replicas that serve would be counted as down.
        if (
            not self._config.is_loaded()
            or self._directory.get_read_time() is None
        ):
            return
        now = self._clock.monotonic()
        last = now if self._last_measured_at is None else self._last_measured_at
        seconds = min(now - last, MAX_COUNTED_TIME).total_seconds()
        self._last_measured_at = now
        down, stranded = self._count_down_and_stranded()
        # The gauges of services and domains that are no longer configured or
        # listed are set to zero; their counters keep their values.
        for service in self._known_services | set(down):
            label = {"service": service}
            self._metrics.replicas_down.set(label, down[service])
            self._metrics.group_downtime.add(label, down[service] * seconds)
        for domain in self._known_domains | set(stranded):
            label = {"fabric_domain": domain}
            self._metrics.stranded_vms.set(label, stranded[domain])
            self._metrics.stranded_time.add(label, stranded[domain] * seconds)
        self._known_services = set(down)
        self._known_domains = set(stranded)

    def _count_down_and_stranded(
        self,
    ) -> tuple[collections.Counter[str], collections.Counter[str]]:
        rows = self._directory.get_rows()
        down: collections.Counter[str] = collections.Counter()
        serving_vms: set[str] = set()
        for version in self._config.get_snapshot().services.values():
            service = version.service
            if service.model is None:
                continue
            serving = self._directory.list_serving(service.name)
            promised = service.model.replicas
            down[service.name] = max(0, promised - len(serving))
            for serving_replica in serving:
                serving_vms.update(
                    self._directory.get_member_names(
                        rows[serving_replica.replica]
                    )
                )
        stranded: collections.Counter[str] = collections.Counter()
        for name, vm in self._board.get_vms().items():
            stranded[vm.fabric_domain] += name not in serving_vms
        return down, stranded

    def _run(self) -> None:
        while True:
            self.measure_once()
            self._clock.sleep(INTERVAL)
