"""This daemon's turns at warming backends.

A backend warms while a VM of it does. Each request that is assigned to it takes
one of this daemon's turns at the VM that receives the requests;
`balancing.cold` deals the turns. For a second after its end the backend has
more of them, as its VM may become cold again. Services without a warming rate,
and deployments without a bound on requests to warming VMs, have no warming
backends.
"""

import copy
import datetime
from collections import abc

import eliot

from arbutuscove.balancing import cold
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model as fleet_model
from arbutuscove.fleet import warming as warming_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.relay import model

# Reports whose time has passed are dropped this often.
PRUNE_INTERVAL = datetime.timedelta(milliseconds=100)
NOTHING: frozenset[model.BackendKey] = frozenset()

ReadView = abc.Callable[[], cold.FleetView]


class WarmingBackends:
    """Tells which backends warm and when this daemon may send to them.

    Attributes:
        metrics: counts sends to warming backends and passes.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        inventory: inventory_module.Inventory,
        bound: cold.Bound | None = None,
        read_view: ReadView = cold.create_lone_view,
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        """Creates the turns of a daemon.

        Args:
            clock: source of time.
            catalog: services with their warming rates.
            inventory: the listed VMs.
            bound: most requests that a warming VM may get in a second; None if
                there is no such bound, so that no backend counts as warming.
            read_view: returns the daemons that share the turns.
            metrics: the daemon's metrics.
        """
        self.metrics = metrics or metrics_module.Metrics()
        self._clock = clock
        self._catalog = catalog
        self._inventory = inventory
        self._bound = bound
        self._read_view = read_view
        self._turns = cold.Turns()
        # Until when backends warm; kept for `cold.TAIL` longer.
        self._ends: dict[model.BackendKey, datetime.timedelta] = {}
        self._cached_for: tuple[int, int, int] = (-1, -1, -1)
        self._pruned_at: datetime.timedelta | None = None

    def copy(self) -> "WarmingBackends":
        """Returns turns that are taken and counted apart from these."""
        copied = copy.copy(self)
        copied.metrics = metrics_module.Metrics()
        copied._turns = self._turns.copy()
        return copied

    def is_warming(self, key: model.BackendKey) -> bool:
        """Returns whether a VM of the backend warms."""
        return self.get_left(key) > datetime.timedelta()

    def list_keys(self) -> abc.Set[model.BackendKey]:
        """Returns the keys of the backends that get requests by turns only."""
        if self._is_idle():
            return NOTHING
        self._refresh()
        now = self._clock.monotonic()
        return {key for key, end in self._ends.items() if end + cold.TAIL > now}

    def get_left(self, key: model.BackendKey) -> datetime.timedelta:
        """Returns for how long the backend warms, 0 if it does not."""
        return max(self._get_left(key), datetime.timedelta())

    def _get_left(self, key: model.BackendKey) -> datetime.timedelta:
        """Returns the same, below 0 after the end; `-cold.TAIL` without one."""
        if self._is_idle():
            return -cold.TAIL
        self._refresh()
        end = self._ends.get(key)
        if end is None:
            return -cold.TAIL
        return max(end - self._clock.monotonic(), -cold.TAIL)

    def _is_idle(self) -> bool:
        return self._bound is None or (
            not self._ends and self._inventory.warming.is_empty()
        )

    def has_turn(self, backend: model.Backend) -> bool:
        """Returns whether this daemon may send to such a backend now."""
        return self._turns.is_due(
            backend.vm.identity,
            self._get_turn_rate(backend),
            self._read_view(),
            self._clock.monotonic(),
        )

    def take_turn(self, backend: model.Backend) -> None:
        """Records that a request is assigned to a backend if it has turns."""
        if self._get_left(backend.key) <= -cold.TAIL:
            return
        self._turns.take(
            backend.vm.identity,
            self._get_turn_rate(backend),
            self._read_view(),
            self._clock.monotonic(),
        )
        self.metrics.warming_sends.inc({"service": backend.vm.service})
        eliot.log_message(
            "warming:sent", backend=backend.key[0], vm=backend.vm.name
        )

    def record_send(self, backend: model.Backend) -> None:
        """Records that a request is assigned to a backend that does not warm.

        The VM may have become cold, which is known later.
        """
        if self._bound is not None and self._get_rate(backend.vm) > 0:
            self._turns.record_send(
                backend.vm.identity, self._clock.monotonic()
            )

    def record_pass(self, count: int, service: str) -> None:
        """Counts warming backends that are passed over for lack of a turn."""
        if count:
            self.metrics.warming_passes.add({"service": service}, count)

    def get_wait(self, backend: model.Backend) -> datetime.timedelta:
        """Returns the time until this daemon may send to a backend."""
        left = self._get_left(backend.key)
        if left <= -cold.TAIL:
            return datetime.timedelta()
        if left <= datetime.timedelta():
            left += cold.TAIL
        wait = self._turns.get_wait(
            backend.vm.identity,
            self._get_turn_rate(backend),
            self._read_view(),
            self._clock.monotonic(),
        )
        return left if wait is None else min(wait, left)

    def _refresh(self) -> None:
        """Computes until when backends warm if reports or VMs have changed."""
        reports = self._inventory.warming
        now = self._clock.monotonic()
        is_pruned = (
            self._pruned_at is not None
            and now - self._pruned_at < PRUNE_INTERVAL
        )
        if is_pruned and self._read_revisions() == self._cached_for:
            return
        self._pruned_at = now
        self._ends = {
            key: end for key, end in self._ends.items() if end + cold.TAIL > now
        }
        ends = reports.list_ends()
        silent = reports.list_silent()
        revisions = self._read_revisions()
        if revisions == self._cached_for:
            return
        self._cached_for = revisions
        past = {key: min(end, now) for key, end in self._ends.items()}
        self._ends = {}
        for (name, started_at_ms), since in silent.items():
            vm = self._inventory.find(name)
            catalog = self._catalog.get_current()
            spec = None
            if vm is not None and catalog is not None:
                spec = catalog.services.get(vm.service)
            if spec is not None:
                time = min(spec.warming_time, warming_module.MAX_WARMING_TIME)
                ends.setdefault((name, started_at_ms), since + time)
        for (name, started_at_ms), end in ends.items():
            vm = self._inventory.find(name)
            if vm is None or vm.started_at_ms != started_at_ms:
                continue
            if self._get_rate(vm) <= 0:
                continue
            member = vm.membership
            key = vm.identity if member is None else member.key
            self._ends[key] = max(end, self._ends.get(key, end))
        self.metrics.warming_backends.set({}, len(self._ends))
        self._ends = {**past, **self._ends}

    def _read_revisions(self) -> tuple[int, int, int]:
        return (
            self._inventory.warming.revision,
            self._inventory.revision,
            self._catalog.get_version(),
        )

    def _get_turn_rate(self, backend: model.Backend) -> float:
        """Returns the requests a second of all daemons' turns at a backend."""
        if self.is_warming(backend.key):
            return self._get_rate(backend.vm)
        return self._get_rate(backend.vm, is_past=True)

    def _get_rate(self, vm: fleet_model.Vm, is_past: bool = False) -> float:
        """Returns the requests a second that a VM bears, 0 for any number.

        Args:
            vm: the VM.
            is_past: whether it has just ceased to warm.
        """
        catalog = self._catalog.get_current()
        spec = None if catalog is None else catalog.services.get(vm.service)
        if spec is None or self._bound is None or spec.warming_rate <= 0:
            return 0.0
        if is_past:
            return self._bound.allow(spec.warming_rate)
        return self._bound.limit(spec.warming_rate)
