"""Which failure domain the requests of this daemon's callers go to.

For each service and model it feeds `balancing.locality` with the demand and the
room of the failure domains, as this daemon knows them.
"""

import collections
import copy
import dataclasses
import datetime
import random
import typing
from collections import abc

import eliot

from arbutuscove.balancing import locality
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import model
from arbutuscove.relay import placement

PoolKey = backends_module.PoolKey
Log = abc.Callable[..., None]
# Events of the others' answers that a request waits for on average: the rest of
# the current one, and the one after which its own first event is sent.
EVENTS_WAITED = 1.5
MIN_PREFILL_TOKENS_PER_MS = 0.001
MAX_DELAY_MS = 3_600_000.0  # that one request causes
MAX_FLOWS = 1024  # services and models


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fleet:
    """What this daemon knows of the backends of a service and model.

    Attributes:
        listed: all backends of the service and model.
        usable: those that requests may be sent to.
        slowness: factors by which these are slower than their load explains.
        running: requests of this daemon, by the number in a backend's key.
        waiting: requests that wait in this daemon.
        loads: requests of the other daemons.
    """

    listed: abc.Sequence[model.Backend]
    usable: abc.Sequence[model.Backend]
    slowness: abc.Mapping[model.BackendKey, float]
    running: abc.Mapping[int, int]
    waiting: int
    loads: placement.PeerLoads


def log_nothing(message_type: str, **fields: typing.Any) -> None:
    """Logs nothing, as no request depends on the decision."""
    del message_type, fields


class DomainFlows:
    """The shares of each service and model that stay or leave.

    Attributes:
        domain: the failure domain of this daemon, empty if it has none.
    """

    def __init__(
        self,
        domain: str,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        metrics: metrics_module.Metrics | None = None,
        log: Log = eliot.log_message,
    ) -> None:
        """Creates flows that know no loads.

        Args:
            domain: the failure domain of this daemon, empty if it has none.
            clock: source of monotonic times.
            catalog: holder of the configuration.
            metrics: where choices are counted.
            log: logs changes of the shares.
        """
        self.domain = domain
        self._log = log
        self._clock = clock
        self._catalog = catalog
        self._metrics = metrics
        self._flows: dict[PoolKey, locality.DomainFlow] = {}
        self._gaps: dict[str, datetime.timedelta] = {}
        self._version: int | None = None

    def copy(self) -> "DomainFlows":
        """Returns flows that change apart from these, uncounted and silent."""
        copied = DomainFlows(
            self.domain, self._clock, self._catalog, log=log_nothing
        )
        copied._flows = {
            pool: copy.copy(flow) for pool, flow in self._flows.items()
        }
        return copied

    def get_shares(self, pool: PoolKey) -> locality.Shares | None:
        """Returns the shares of the domains, None if all are equal."""
        flow = self._flows.get(pool)
        return None if flow is None else flow.shares

    def draw(
        self, pool: PoolKey, prompt_tokens: int, generator: random.Random
    ) -> str | None:
        """Returns the domain for a request, None if all are equal.

        Args:
            pool: service and model of the request.
            prompt_tokens: length of its prompt.
            generator: random source.
        """
        flow = self._flows.get(pool)
        if flow is None:
            return None
        engine = self._get_engine(pool[0])
        is_long = (
            engine is not None and prompt_tokens > engine.typical_prompt_tokens
        )
        return flow.draw(is_long, generator.random())

    def is_due(
        self, pool: PoolKey, backends: abc.Sequence[model.Backend]
    ) -> bool:
        """Returns whether the shares are to be updated."""
        flow = self._flows.get(pool)
        if flow is None:
            if not self.domain or len(self._flows) >= MAX_FLOWS:
                return False
            domains = {backend.vm.failure_domain for backend in backends}
            return len(domains) > 1
        return flow.is_due(self._clock.monotonic())

    def update(self, pool: PoolKey, fleet: Fleet) -> None:
        """Updates the shares of a service and model."""
        flow = self._flows.get(pool)
        if flow is None:
            flow = self._flows[pool] = locality.DomainFlow(self.domain)
        loads = self._read_loads(pool, fleet)
        now = self._clock.monotonic()
        if not flow.update(now, loads, self._get_delays(pool)):
            return
        shares = flow.shares
        near = None if shares is None else shares.get(self.domain, 0.0)
        self._log(
            "locality:shares",
            service=pool[0],
            model=pool[1],
            domain=self.domain,
            shares=None
            if shares is None
            else {name: round(share, 3) for name, share in shares.items()},
            loads=None
            if loads is None
            else {
                name: [round(load.demand, 1), round(load.slots, 1)]
                for name, load in loads.items()
            },
        )
        if self._metrics is not None and near is not None:
            self._metrics.near_share.set(
                {"service": pool[0], "model": pool[1]}, near
            )

    def record_choice(
        self,
        pool: PoolKey,
        drawn: str | None,
        domain: str,
        is_borrowed: bool = False,
    ) -> None:
        """Counts a request that is sent to a failure domain.

        Args:
            pool: service and model of the request.
            drawn: the domain that was drawn, None if all were equal.
            domain: the domain that it is sent to.
            is_borrowed: whether all places that this daemon owns were in use.
        """
        if self._metrics is None or not self.domain:
            return
        if domain == self.domain:
            reason = "near"
        elif is_borrowed:
            reason = "borrowed"
        elif drawn is None:
            reason = "even"
        elif drawn == domain:
            reason = "overflow"
        else:
            reason = "no_slot"
        self._metrics.domain_choices.inc(
            {"service": pool[0], "model": pool[1], "reason": reason}
        )

    def _read_loads(
        self, pool: PoolKey, fleet: Fleet
    ) -> dict[str, locality.DomainLoad] | None:
        """Returns demand and room by domain, None if they are unknown."""
        by_domain = fleet.loads.by_domain
        if by_domain is None:
            return None
        domains = {backend.vm.failure_domain for backend in fleet.listed}
        if len(domains) < 2:
            return None
        slots: collections.Counter[str] = collections.Counter()
        counts: collections.Counter[str] = collections.Counter()
        for backend in fleet.usable:
            domain = backend.vm.failure_domain
            counts[domain] += 1
            slots[domain] += self._count_slots(
                pool, backend, fleet.slowness.get(backend.key, 1.0)
            )
        numbers = [backend.key[1] for backend in fleet.listed]
        demands: dict[str, float] = dict.fromkeys(
            sorted(domains | {self.domain} | by_domain.keys()), 0.0
        )
        for domain, running in by_domain.items():
            demands[domain] += sum(running.get(number, 0) for number in numbers)
            waiting = fleet.loads.waiting.get(domain, {})
            demands[domain] += waiting.get(pool, 0.0)
        demands[self.domain] += fleet.waiting + sum(
            fleet.running.get(number, 0) for number in numbers
        )
        return {
            domain: locality.DomainLoad(
                demand=demand, slots=slots[domain], backends=counts[domain]
            )
            for domain, demand in demands.items()
        }

    def _count_slots(
        self, pool: PoolKey, backend: model.Backend, slowness: float
    ) -> int:
        """Returns the slots at which a step still fits the requests' gap."""
        engine = self._get_engine(pool[0])
        gap = self._get_gap(pool[0])
        if engine is None or gap is None:
            return backend.slots
        spec = engine.find_model(pool[1])
        factor = max(1.0, slowness) * (1 if spec is None else spec.time_factor)
        return locality.count_fitting(
            backend.slots,
            engine.step_ms * factor,
            engine.per_request_ms * factor,
            gap / datetime.timedelta(milliseconds=1) / max(1, engine.stride),
        )

    def _get_delays(self, pool: PoolKey) -> locality.Delays:
        catalog = self._catalog.get_current()
        engine = self._get_engine(pool[0])
        if catalog is None or engine is None:
            return locality.Delays()
        spec = engine.find_model(pool[1])
        factor = 1.0 if spec is None else spec.time_factor
        read_ms = engine.typical_prompt_tokens / max(
            MIN_PREFILL_TOKENS_PER_MS, engine.prefill_tokens_per_ms
        )
        # A running request lengthens each step, and its prompt is read in one
        # of the steps of its answer.
        step_ms = engine.per_request_ms + read_ms / max(
            1, engine.typical_answer_tokens
        )
        delay_ms = EVENTS_WAITED * engine.stride * step_ms * factor
        return locality.Delays(
            one_way=catalog.one_way,
            per_request=datetime.timedelta(
                milliseconds=min(delay_ms, MAX_DELAY_MS)
            ),
        )

    def _get_engine(self, service: str) -> catalog_model.Engine | None:
        catalog = self._catalog.get_current()
        spec = None if catalog is None else catalog.services.get(service)
        return None if spec is None else spec.engine

    def _get_gap(self, service: str) -> datetime.timedelta | None:
        """Returns the shortest gap target of the routes to a service."""
        catalog = self._catalog.get_current()
        if catalog is None:
            return None
        if catalog.version != self._version:
            self._version = catalog.version
            self._gaps = {}
            for routes in catalog.routes.values():
                for route in routes:
                    self._add_gap(route)
        return self._gaps.get(service)

    def _add_gap(self, route: catalog_model.Route) -> None:
        if route.gap_target is None:
            return
        for target in route.targets:
            known = self._gaps.get(target.service, route.gap_target)
            self._gaps[target.service] = min(known, route.gap_target)
