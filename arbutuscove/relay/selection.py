"""The backends of a service and model, and the one that a request is sent to.

A *pool* is the backends of one service and model. `BackendSelector` knows which
backends of a pool are usable now and how full they seem; `placement` and the
package `balancing` decide among them.
"""

import collections
import copy
import datetime
import random
from collections import abc

from arbutuscove.balancing import locality
from arbutuscove.balancing import scarcity
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import domains as domains_module
from arbutuscove.relay import lending
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.relay import placement
from arbutuscove.relay import warming as warming_module

PoolKey = backends_module.PoolKey
ReadLoads = abc.Callable[[], placement.PeerLoads]
# Services and models in failure domains of which the load is kept; names of
# domains come from entries. A full map is emptied.
MAX_DOMAIN_OCCUPANCIES = 1024


class BackendSelector:
    """Lists and chooses the backends of each service and model.

    Attributes:
        warming: this daemon's turns at warming backends.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        inventory: inventory_module.Inventory,
        states: backends_module.BackendStates,
        read_loads: ReadLoads,
        generator: random.Random,
        flows: domains_module.DomainFlows,
        is_evacuated: abc.Callable[[str], bool] = lambda domain: False,
        warming: warming_module.WarmingBackends | None = None,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._inventory = inventory
        self._states = states
        self._read_loads = read_loads
        self._generator = generator
        self._flows = flows
        self._is_evacuated = is_evacuated
        self.warming = warming or warming_module.WarmingBackends(
            clock, catalog, inventory
        )
        self._backends: dict[PoolKey, list[model.Backend]] = {}
        self._occupancies: dict[PoolKey, occupancy.Occupancy] = {}
        self._domain_occupancies: dict[
            tuple[PoolKey, str], occupancy.Occupancy
        ] = {}
        self._places = scarcity.PlaceCache()
        self._lending = lending.Lending(clock)
        self._late_allowances: dict[PoolKey, scarcity.LateAllowance] = (
            collections.defaultdict(scarcity.LateAllowance)
        )
        self._revision = -1

    def copy(self, generator: random.Random) -> "BackendSelector":
        """Returns a selector that knows the same and changes apart.

        Args:
            generator: random source of the copy.
        """
        copied = BackendSelector(
            self._clock,
            self._catalog,
            self._inventory,
            self._states.copy(),
            self._read_loads,
            generator,
            self._flows.copy(),
            self._is_evacuated,
            self.warming.copy(),
        )
        copied._occupancies = self._occupancies.copy()
        copied._domain_occupancies = self._domain_occupancies.copy()
        copied._lending = self._lending.copy()
        copied._late_allowances = copy.deepcopy(self._late_allowances)
        return copied

    def get_shares(self, pool: PoolKey) -> locality.Shares | None:
        """Returns the shares of the domains, None if all are equal."""
        return self._flows.get_shares(pool)

    def get_load_age(
        self, pool: PoolKey, domain: str
    ) -> datetime.timedelta | None:
        """Returns the age of the last load that a domain reported, or None."""
        known = self._domain_occupancies.get((pool, domain))
        return None if known is None else known.get_age(self._clock.monotonic())

    def get_list_age(self) -> datetime.timedelta | None:
        """Returns the time since the VMs were listed, None if never."""
        return self._inventory.get_age()

    def describe_state(self, backend: model.Backend) -> str:
        """Returns why a backend gets no request or is avoided, "usable" if not.

        Args:
            backend: the backend.
        """
        key = backend.key
        pool = (backend.vm.service, backend.model)
        states = {
            "evacuated": self.is_evacuated(backend),
            "stalled": self._states.is_stalled(key),
            "paused": self._states.is_paused(backend.vm),
            "warming": key in self.warming.list_keys(),
            "cooling_down": self._states.is_cooling_down(key),
            "slow": self._states.is_slow(key),
            "members_missing": backend.members < self._get_group_size(pool),
        }
        return next((name for name, holds in states.items() if holds), "usable")

    def list_backends(self, pool: PoolKey) -> list[model.Backend]:
        """Returns the backends of a service and model that accept requests."""
        vms = self._inventory.list_vms()
        if self._revision != self._inventory.revision:
            self._revision = self._inventory.revision
            self._backends = backends_module.build_backend_pools(vms)
            keys = {
                backend.key
                for backends in self._backends.values()
                for backend in backends
            }
            self._states.retain(keys)
        return self._backends.get(pool, [])

    def choose(
        self,
        candidates: abc.Sequence[placement.Candidate],
        excluded: abc.Set[model.BackendKey],
        pool: PoolKey,
        usage: placement.Usage,
        prompt_tokens: int = 0,
    ) -> placement.Candidate | None:
        """Returns the candidate to send a request to, None without a slot.

        Args:
            candidates: the usable backends of the pool.
            excluded: backends that this request was already sent to.
            pool: service and model of the request.
            usage: slots of the pool and their use.
            prompt_tokens: length of the prompt.
        """
        engine = self.get_engine(pool[0])
        domain = self._flows.draw(pool, prompt_tokens, self._generator)
        is_borrowed = placement.must_borrow(
            candidates, usage, self._flows.domain
        )
        if is_borrowed:
            domain = None
        chosen = placement.choose_candidate(
            candidates,
            excluded,
            1.0 if engine is None else engine.step_ms,
            1.0 if engine is None else engine.per_request_ms,
            usage.own + usage.others,
            self._generator,
            domain,
        )
        if chosen is not None:
            self._flows.record_choice(
                pool, domain, chosen.backend.vm.failure_domain, is_borrowed
            )
        return chosen

    def update_flow(
        self, pool: PoolKey, backends: list[model.Backend], waiting: int
    ) -> None:
        """Updates what is lent, and which part leaves the failure domain.

        Args:
            pool: service and model.
            backends: the usable backends of the pool.
            waiting: requests of the pool that wait in this daemon.
        """
        requests = waiting + sum(
            self._states[backend.key].running for backend in backends
        )
        self._lending.update(pool, backends, requests, self._read_loads())
        if not self._flows.is_due(pool, backends):
            return
        size = self._get_group_size(pool)
        usable = [
            backend
            for backend in backends
            if not self._is_avoided(backend, size)
        ]
        own: collections.Counter[int] = collections.Counter()
        listed = self.list_backends(pool)
        for backend in listed:
            own[backend.key[1]] = self._states[backend.key].running
        slowness = {
            backend.key: self._states[backend.key].pause_ratio
            for backend in usable
        }
        self._flows.update(
            pool,
            domains_module.Fleet(
                listed=listed,
                usable=usable,
                slowness=slowness,
                running=own,
                waiting=waiting,
                loads=self._read_loads(),
            ),
        )

    def list_candidates(
        self,
        pool: PoolKey,
        backends: list[model.Backend],
        usage: placement.Usage,
    ) -> list[placement.Candidate]:
        """Returns usable backends with their estimated loads."""
        size = self._get_group_size(pool)
        others = _spread_others(backends, usage)
        places = self._get_places(backends, self._read_loads())
        return [
            placement.Candidate(
                backend=backend,
                running=self._states[backend.key].running
                + others[backend.vm.failure_domain],
                slowness=max(1.0, self._states[backend.key].pause_ratio),
                is_avoided=self._is_avoided(backend, size),
                free_places=places.get(backend.key[1], 0)
                - self._states[backend.key].running,
            )
            for backend in backends
        ]

    def _is_avoided(self, backend: model.Backend, size: int) -> bool:
        """Returns whether others go first; `size` is that of a whole group."""
        return (
            self._states.is_cooling_down(backend.key)
            or self._states.is_slow(backend.key)
            # A member that is missing in the list may still run, but be cut off
            # from the list.
            or backend.members < size
        )

    def _estimate_others(
        self, pool: PoolKey, backends: list[model.Backend]
    ) -> dict[str, float]:
        """Returns the other daemons' use of each domain's slots.

        The engines of a domain report it in their answers. Counts of the other
        daemons stand in for answers that are too old.
        """
        loads = self._read_loads().running
        own: collections.Counter[str] = collections.Counter()
        slots: collections.Counter[str] = collections.Counter()
        others: dict[str, float] = collections.defaultdict(float)
        for backend in backends:
            domain = backend.vm.failure_domain
            own[domain] += self._states[backend.key].running
            slots[domain] += backend.slots
            others[domain] += loads.get(backend.key[1], 0)
        now = self._clock.monotonic()
        for domain in others:
            domain_occupancy = self._domain_occupancies.get((pool, domain))
            if domain_occupancy is None:
                continue
            mean = domain_occupancy.get_mean(now)
            if mean is not None:
                others[domain] = max(0.0, mean * slots[domain] - own[domain])
        return others

    def list_usable(self, pool: PoolKey) -> list[model.Backend]:
        """Returns the backends that may be sent a request now.

        They are neither stalled nor paused, nor in an evacuated failure domain.
        """
        return [
            backend
            for backend in self.list_backends(pool)
            if not self._states.is_stalled(backend.key)
            and not self._states.is_paused(backend.vm)
            and not self.is_evacuated(backend)
        ]

    def is_evacuated(self, backend: model.Backend) -> bool:
        """Returns whether the failure domain of a backend is evacuated."""
        return self._is_evacuated(backend.vm.failure_domain)

    def has_only_evacuated(self, pool: PoolKey) -> bool:
        """Returns whether all backends of a pool are in evacuated domains."""
        backends = self.list_backends(pool)
        return bool(backends) and all(map(self.is_evacuated, backends))

    def list_steady(
        self, backends: abc.Sequence[model.Backend]
    ) -> list[model.Backend]:
        """Returns the backends that do not warm.

        Only their slots are room for any request: a warming one accepts no
        more than its turns.
        """
        keys = self.warming.list_keys()
        return [backend for backend in backends if backend.key not in keys]

    def list_turns(
        self, backends: abc.Sequence[model.Backend]
    ) -> list[placement.Candidate]:
        """Returns the warming backends at which this daemon has a turn now.

        Args:
            backends: the usable backends of a pool.
        """
        keys = self.warming.list_keys()
        warming = [backend for backend in backends if backend.key in keys]
        if not warming:
            return []
        due = [backend for backend in warming if self.warming.has_turn(backend)]
        self.warming.record_pass(len(warming) - len(due), warming[0].vm.service)
        loads = self._read_loads()
        return [
            placement.Candidate(
                backend=backend,
                # The turns limit what others add until the next report.
                running=self._states[backend.key].running
                + loads.running.get(backend.key[1], 0),
                slowness=1.0,
                is_avoided=self._states.is_cooling_down(backend.key),
                is_warming=True,
            )
            for backend in due
        ]

    def get_warming_wait(self, pool: PoolKey) -> datetime.timedelta | None:
        """Returns the time until a request may be sent if all backends warm.

        Returns None if a usable backend does not warm, or if none is usable.
        """
        if not self.warming.list_keys():
            return None
        usable = self.list_usable(pool)
        if self.list_steady(usable):
            return None
        waits = [self.warming.get_wait(backend) for backend in usable]
        return min(waits, default=None)

    def read_usage(
        self, pool: PoolKey, backends: list[model.Backend]
    ) -> placement.Usage:
        """Returns the slots of a service and model, and their use.

        `backends` leaves out stalled and paused groups, so their slots do not
        count; the requests there go to other backends.
        """
        loads = self._read_loads()
        own = sum(self._states[backend.key].running for backend in backends)
        total_slots = sum(backend.slots for backend in backends)
        others: float = sum(
            loads.running.get(backend.key[1], 0) for backend in backends
        )
        pool_occupancy = self._occupancies.get(pool)
        occupancy_mean = (
            None
            if pool_occupancy is None
            else pool_occupancy.get_mean(self._clock.monotonic())
        )
        others_by_domain: dict[str, float] = {}
        if self._flows.get_shares(pool) is not None:
            # Answers come from the near domain for the most part.
            others_by_domain = self._estimate_others(pool, backends)
            others = sum(others_by_domain.values())
        elif occupancy_mean is not None:
            others = max(0.0, occupancy_mean * total_slots - own)
        return placement.Usage(
            total_slots=total_slots,
            own=own,
            others=others,
            daemons=loads.daemons,
            places=sum(self._get_places(backends, loads).values()),
            others_by_domain=others_by_domain,
            loan=self._lending.get(pool),
        )

    def _get_places(
        self, backends: list[model.Backend], loads: placement.PeerLoads
    ) -> abc.Mapping[int, int]:
        """Returns this daemon's places by the number in a backend's key."""
        return self._places.assign(
            tuple(backend.key[1] for backend in backends),
            (
                scarcity.Site(
                    failure_domain=backend.vm.failure_domain,
                    number=backend.key[1],
                    slots=backend.slots,
                )
                for backend in backends
            ),
            loads.dispatchers,
            loads.own,
        )

    def _get_group_size(self, pool: PoolKey) -> int:
        """Returns the number of VMs of a complete group of the pool's model."""
        engine = self.get_engine(pool[0])
        spec = None if engine is None else engine.find_model(pool[1])
        return 1 if spec is None else spec.size

    def may_start_late(self, pool: PoolKey, usage: placement.Usage) -> bool:
        """Returns whether a request that is late already may start now."""
        allowance = self._late_allowances[pool]
        is_allowed = allowance.refresh(
            usage.total_slots,
            usage.total_slots - usage.own - usage.others,
            placement.count_late_sharers(usage),
            self._clock.monotonic(),
        )
        return is_allowed or not usage.own

    def record_late_start(self, pool: PoolKey) -> None:
        """Records the start of a request that is late already."""
        self._late_allowances[pool].spend()

    def record_end(self, pool: PoolKey, duration: datetime.timedelta) -> None:
        """Records how long a request occupied its slot."""
        self._late_allowances[pool].record_end(duration)

    def count_slots(self) -> int:
        """Returns the number of slots of all backends."""
        self.list_backends(("", ""))
        return sum(
            backend.slots
            for backends in self._backends.values()
            for backend in backends
        )

    def record_load(
        self, pool: PoolKey, load: occupancy.EngineLoad, domain: str
    ) -> None:
        """Records the engine load that an answer from a domain reports."""
        pool_occupancy = self._occupancies.setdefault(
            pool, occupancy.Occupancy()
        )
        pool_occupancy.record(load, self._clock.monotonic())
        if len(self._domain_occupancies) >= MAX_DOMAIN_OCCUPANCIES:
            self._domain_occupancies.clear()
        domain_occupancy = self._domain_occupancies.setdefault(
            (pool, domain), occupancy.Occupancy()
        )
        domain_occupancy.record(load, self._clock.monotonic())

    def get_pause(self, pool: PoolKey) -> datetime.timedelta | None:
        """Returns when the first backend of a pool ends its pause.

        Returns None if a backend is usable now, or if none has paused.
        """
        pauses = [
            self._states.get_pause(backend.vm)
            for backend in self.list_backends(pool)
            if not self._states.is_stalled(backend.key)
            and not self.is_evacuated(backend)
        ]
        return min(pauses, default=None) or None

    def get_engine(self, service: str) -> catalog_model.Engine | None:
        """Returns the engine parameters of a service, None without any."""
        catalog = self._catalog.get_current()
        spec = None if catalog is None else catalog.services.get(service)
        return None if spec is None else spec.engine


def _spread_others(
    backends: list[model.Backend], usage: placement.Usage
) -> abc.Mapping[str, float]:
    """Returns the other daemons' requests at a backend of each domain."""
    counts = collections.Counter(
        backend.vm.failure_domain for backend in backends
    )
    others = placement.bound_peer_usage(usage)
    used = usage.others_by_domain
    total = sum(used.values())
    if total > 0:
        return {
            domain: others * used[domain] / total / count
            for domain, count in counts.items()
        }
    return dict.fromkeys(counts, others / max(1, len(backends)))
