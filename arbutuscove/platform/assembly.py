"""Construction of the services of a daemon on the platform."""

import dataclasses
import datetime
import random
import time

import msgspec

from arbutuscove.balancing import scarcity
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.crashes import holder as crash_holder
from arbutuscove.crashes import tracker as crash_tracker
from arbutuscove.crashes import verdicts
from arbutuscove.entry import connections
from arbutuscove.entry import memory
from arbutuscove.fleet import controller as controller_module
from arbutuscove.fleet import health
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model as fleet_model
from arbutuscove.fleet import notices
from arbutuscove.gossip import digest
from arbutuscove.gossip import list_exchange
from arbutuscove.gossip import order_exchange
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.kernel import shutdown
from arbutuscove.leases import holder as lease_holder
from arbutuscove.leases import lease
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import coverage
from arbutuscove.platform import dispatchers
from arbutuscove.platform import engine
from arbutuscove.platform import evacuations as evacuations_module
from arbutuscove.platform import explaining
from arbutuscove.platform import followers
from arbutuscove.platform import leaving
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import paths as paths_module
from arbutuscove.platform import peer_loads
from arbutuscove.platform import registry as registry_module
from arbutuscove.platform import servers as servers_module
from arbutuscove.platform import settings as settings_module
from arbutuscove.platform import status
from arbutuscove.platform import store as store_module
from arbutuscove.platform import table as platform_table
from arbutuscove.platform import upstreams
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import budget
from arbutuscove.relay import context as context_module
from arbutuscove.relay import fleet_view
from arbutuscove.relay import flow as flow_module
from arbutuscove.relay import model as relay_model
from arbutuscove.relay import placement
from arbutuscove.relay import waiting
from arbutuscove.relay import warming
from arbutuscove.storage import http
from arbutuscove.transport import pool

# Of a request's body: the body and its encoded form for an upstream.
BODY_COPIES = 2
MAX_LOADS_AGE = datetime.timedelta(milliseconds=100)
# Upstreams check fencing tokens, so a new holder need not wait until the orders
# of an earlier holder have timed out. The guard covers the time between the
# check of the lease and the send of an order.
LEASE_TERMS = lease.Terms(
    term=datetime.timedelta(seconds=4),
    renew_interval=datetime.timedelta(seconds=1),
    guard=datetime.timedelta(milliseconds=500),
    order_timeout=datetime.timedelta(),
    resign_after=datetime.timedelta(seconds=2),
)


class _Assembly:
    """The services of one daemon and the callbacks between them."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._clock = clock_module.SystemClock()
        # Start of the process in microseconds of the wall clock. It is part of
        # the identity, so that a restarted daemon is not taken for the earlier
        # process as the holder of a lease.
        self._process_start_us = time.time_ns() // 1000
        self._identity = f"{settings.name}.{self._process_start_us}"
        self._peer_loads = placement.PeerLoads(running={}, daemons=0)
        self._peer_loads_read_at: datetime.timedelta | None = None
        self._generator = random.Random(self._identity)
        self._metrics = metrics_module.Metrics()
        self._lag = loop.LagMonitor(self._clock)
        self._connections = pool.ConnectionPool(self._clock)
        self._store = store_module.Store(
            settings.store_address,
            self._connections,
            self._clock,
            self._metrics,
        )
        self._catalog = catalog_holder.CatalogHolder()
        self._inventory = inventory_module.Inventory(self._clock)
        self._caller_address = (
            "" if not settings.caller_address else str(settings.caller_address)
        )
        self._gossip = self._build_gossip()
        self._evacuations = evacuations_module.Evacuations(
            self._clock,
            settings.region_by_domain,
            self._store,
            self._metrics,
            self._announce_evacuation,
        )
        self._fleet_size = budget.FleetSize(
            self._clock, lambda: len(self._gossip.get_live()) + 1
        )
        self._fleet_view = fleet_view.FleetViewReader(
            self._clock,
            settings.name,
            self._gossip.list_heard,
            lambda: [beat.fleet for beat in self._gossip.get_live()],
            self._gossip.has_possible_peers,
            self._list_busy,
        )
        self._warming = warming.WarmingBackends(
            self._clock,
            self._catalog,
            self._inventory,
            settings.bounds.build_warming_bound(),
            self._fleet_view.read,
            self._metrics,
        )
        self._states = backends_module.BackendStates(
            self._clock, self._warming.is_warming
        )
        self._shutdown = shutdown.Shutdown()
        self._paths = paths_module.Paths(
            settings,
            self._clock,
            self._generator,
            self._connections,
            self._catalog,
            self._inventory,
            self._gossip,
            self._lag,
            self._shutdown,
            self._record_notice,
        )
        self._orders = engine.HttpOrderClient(
            self._paths.connections,
            self._clock,
            self._record_notice,
        )
        self._verdicts = verdicts.VerdictKeeper(
            platform_table.StoreTable(self._store),
            self._clock,
            self._gossip.owns,
        )
        self._evidence = crash_holder.EvidenceHolder(
            self._clock, self._verdicts
        )
        self._gossip.set_evidence_source(self._evidence)
        self._store.add_era_listener(self._evidence.record_again)
        self._crashes = crash_tracker.CrashTracker[fleet_model.Vm](
            self._clock,
            self._inventory.find,
            self._orders.probe_liveness,
            self._gossip.broadcast_evidence,
            self._gossip.owns,
            self._evidence,
        )
        self._leases = lease_holder.LeaseHolder(
            self._identity,
            platform_table.StoreTable(self._store),
            self._clock,
            self._lag,
            LEASE_TERMS,
            self._gossip,
            self._store.get_era,
        )
        self._controller = controller_module.GroupController(
            self._clock,
            self._catalog,
            self._inventory,
            self._leases,
            order_exchange.OrderExchange(
                self._clock,
                self._generator,
                self._gossip,
                self._orders,
                self._evacuations.is_evacuated,
                self._metrics,
            ),
            self._list_stalled_groups,
            self._paths.connections.confirm_contact,
            self._evacuations.list_evacuated,
            settings.bounds.stall_timeout,
        )
        if not settings.is_first_start:
            # Callers may have sent requests before this process started.
            self._controller.record_traffic()
        self._dispatcher = waiting.RequestDispatcher(
            self._clock,
            self._catalog,
            self._inventory,
            self._states,
            self._get_peer_loads,
            self._generator,
            self._shutdown,
            self._evacuations.is_evacuated,
            self._warming,
            settings.failure_domain,
            self._metrics,
        )
        self._dispatchers = dispatchers.Dispatchers(
            self._clock,
            self._gossip,
            self._generator,
            self._metrics,
            self._accepts_callers,
            self._dispatcher.count_slots,
        )
        self._flow = self._build_flow()
        self._listener = self._build_listener()

    def build(self) -> services.Kernel:
        """Returns a kernel with the services in the order of dependencies."""
        servers = servers_module.ServersFollower(
            self._store,
            self._clock,
            self._generator,
            self._inventory,
            self._gossip,
            self._is_lease_holder,
            list_exchange.ListExchange(
                self._clock, self._generator, self._gossip
            ),
        )
        configuration = self._build_configuration_follower(servers)
        registry = registry_module.Registry(
            self._settings,
            self._store,
            self._clock,
            self._gossip,
            self._evidence,
        )
        kernel = services.Kernel()
        for name, service in (
            (loop.SERVICE_NAME, self._lag),
            (metrics_module.SERVICE_NAME, self._metrics),
            (pool.SERVICE_NAME, self._connections),
            *self._paths.list_services(),
            (followers.CONFIGURATION_SERVICE, configuration),
            (servers_module.SERVICE_NAME, servers),
            (gossip_service.SERVICE_NAME, self._gossip),
            (verdicts.SERVICE_NAME, self._verdicts),
            (crash_tracker.SERVICE_NAME, self._crashes),
            (registry_module.SERVICE_NAME, registry),
            (lease_holder.SERVICE_NAME, self._leases),
            (controller_module.SERVICE_NAME, self._controller),
            (waiting.SERVICE_NAME, self._dispatcher),
            (flow_module.SERVICE_NAME, self._flow),
            (listener_module.SERVICE_NAME, self._listener),
            (explaining.SERVICE_NAME, self._build_explainer()),
            (
                leaving.SERVICE_NAME,
                leaving.DrainAnnouncer(self._gossip, self._listener),
            ),
        ):
            kernel.register(name, service)
        return kernel

    def _build_configuration_follower(
        self, servers: servers_module.ServersFollower
    ) -> followers.ConfigurationFollower:
        configuration = followers.ConfigurationFollower(
            self._store,
            self._clock,
            self._generator,
            self._catalog,
            self._evacuations,
            coverage.Coverage(
                self._clock,
                self._gossip,
                self._is_lease_holder,
                servers.hears_updates,
            ),
        )
        self._gossip.set_handler(
            digest.OperatorUpdate, configuration.receive_update
        )
        self._gossip.set_config_version_handler(
            configuration.record_peer_version
        )
        self._gossip.set_peer_observer(self._observe_peer)
        return configuration

    def _build_gossip(self) -> gossip_service.Gossip:
        settings = self._settings
        own = digest.Heartbeat(
            name=settings.name,
            ip=settings.ip,
            callers=self._caller_address,
            failure_domain=settings.failure_domain,
            life=self._process_start_us,
            counter=0,
            ready=False,
            leaving=False,
            capacity=settings.cpu_millicores,
            tunnel_port=settings.tunnel_port,
            passes_on=True,
            sends_orders=True,
        )
        return gossip_service.Gossip(
            own,
            settings.gossip_port,
            self._clock,
            self._generator,
            self._update_own_heartbeat,
            self._record_stalled,
            self._record_slow,
            self._record_not_stalled,
        )

    def _build_flow(self) -> flow_module.Flow:
        bounds = self._settings.bounds
        context = context_module.AttemptContext(
            self._clock,
            self._catalog,
            self._dispatcher,
            self._states,
            self._paths.connections,
            upstreams.HttpCodec(),
            self._gossip.broadcast,
            self._probe_members,
            self._generator,
            self._crashes,
        )
        # What an earlier process of this daemon has spent is not known.
        slack_from = self._clock.monotonic()
        if not self._settings.is_first_start:
            slack_from += bounds.retry_window
        return flow_module.Flow(
            context,
            budget.RetryAllowance(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window=bounds.retry_window,
            ),
            self._fleet_size.get,
            self._generator,
            slack_from,
        )

    def _build_listener(self) -> listener_module.Listener:
        settings = self._settings
        return listener_module.Listener(
            self._clock,
            status.Addresses(
                callers=settings.caller_address,
                readiness=settings.ready_address,
                directory=settings.directory_address,
            ),
            self._catalog,
            self._flow,
            self._metrics,
            lambda domain: self._dispatchers.list_addresses(
                domain, listener_module.MAX_ADDRESSES
            ),
            self._is_ready,
            self._controller.record_traffic,
            settings.bounds.shutdown_grace,
            self._shutdown,
            connections.compute_bounds(
                settings.memory_bytes, settings.max_descriptors
            ),
            memory.create_budget(
                settings.memory_bytes, self._clock, BODY_COPIES
            ),
        )

    def _build_explainer(self) -> explaining.Explainer:
        return explaining.Explainer(
            self._clock,
            http.Address(self._settings.ip, self._settings.metrics_port),
            self._catalog,
            self._dispatcher,
            self._crashes,
        )

    def _update_own_heartbeat(
        self, heartbeat: digest.Heartbeat
    ) -> digest.Heartbeat:
        self._fleet_view.read()
        # By the number in a backend's key, which is unique among backends.
        loads = {
            key[1]: state.running
            for key, state in self._states.items()
            if state.running
        }
        return msgspec.structs.replace(
            heartbeat,
            ready=self._is_ready(),
            fleet=self._fleet_size.get(),
            config_version=self._catalog.get_version(),
            store_ok=self._store.availability.is_available(),
            era=self._store.get_era(),
            holding=self._leases.get_active_epoch(controller_module.DUTY) or 0,
            resigned=self._leases.get_resigned_epoch(controller_module.DUTY),
            loads=loads,
            demand=self._list_waiting(),
            stalled=tuple(
                self._states.list_locally_stalled()[
                    : digest.MAX_REPORTED_GROUPS
                ]
            ),
            slow=tuple(
                self._states.list_locally_slow()[: digest.MAX_REPORTED_GROUPS]
            ),
            unreached=self._paths.monitor.list_unreached(),
            leaving_vms=tuple(
                self._inventory.list_notified(digest.MAX_REPORTED_VMS)
            ),
            **self._evacuations.build_heartbeat_fields(),
        )

    def _record_notice(
        self, vm: fleet_model.Vm, notice: notices.Notice
    ) -> None:
        self._dispatcher.record_notice(vm, notice)

    def _observe_peer(self, heartbeat: digest.Heartbeat) -> None:
        self._store.observe_era(heartbeat.era, heartbeat.name)
        self._store.availability.observe_peer(
            heartbeat.name, heartbeat.store_ok
        )
        self._evacuations.observe_peer(heartbeat.name, heartbeat)
        for identity in heartbeat.leaving_vms[: digest.MAX_REPORTED_VMS]:
            self._inventory.record_leaving(identity, is_local=False)
        if heartbeat.leaving:
            # It waits for the connections that it carries.
            self._paths.connections.close_idle_through(heartbeat.ip)

    def _announce_evacuation(self) -> None:
        # One daemon of each failure domain tells those without the store.
        if self._gossip.is_reader():
            self._gossip.broadcast()

    def _is_ready(self) -> bool:
        return (
            self._catalog.get_current() is not None
            and self._inventory.get_age() is not None
            and not self._listener.is_draining()
        )

    def _is_lease_holder(self) -> bool:
        return self._leases.get_active_epoch(controller_module.DUTY) is not None

    def _record_stalled(self, peer: str, key: relay_model.BackendKey) -> None:
        self._states.mark_stalled(key, peer, is_local=False)

    def _record_not_stalled(
        self, peer: str, key: relay_model.BackendKey
    ) -> None:
        self._states.clear_stalled(key, peer)

    def _record_slow(self, peer: str, key: relay_model.BackendKey) -> None:
        self._states.mark_slow(key, peer, is_local=False)

    def _probe_members(self, backend: relay_model.Backend) -> list[str]:
        return health.find_unconfirmed_members(
            self._inventory, self._orders, backend.key
        )

    def _get_peer_loads(self) -> placement.PeerLoads:
        """Returns the requests in flight at the other daemons.

        The sum is cached: heartbeats arrive each half second, and each request
        reads the sum several times.
        """
        now = self._clock.monotonic()
        read_at = self._peer_loads_read_at
        if read_at is not None and now - read_at < MAX_LOADS_AGE:
            return self._peer_loads
        live = self._gossip.get_live()
        own = self._gossip.get_own()
        names = self._dispatchers.get_names()
        sharers = scarcity.count_sharers(
            (sum(heartbeat.loads.values()) for heartbeat in (own, *live)),
            len(names),
        )
        self._metrics.sharers.set({}, sharers)
        self._peer_loads_read_at = now
        self._peer_loads = dataclasses.replace(
            peer_loads.sum_loads(live, self._fleet_size.get()),
            daemons=min(float(len(live)), sharers - 1.0),
            dispatchers=names,
            own=own.name,
        )
        return self._peer_loads

    def _list_busy(self) -> dict[str, bool]:
        """Returns whether each live daemon, also this one, has requests."""
        return {
            heartbeat.name: bool(heartbeat.loads or heartbeat.demand)
            for heartbeat in (self._gossip.get_own(), *self._gossip.get_live())
        }

    def _list_waiting(self) -> tuple[tuple[str, str, int], ...]:
        """Returns the requests that wait, by service and model."""
        return peer_loads.encode_waiting(self._dispatcher.list_waiting())

    def _list_stalled_groups(self) -> frozenset[tuple[str, int]]:
        """Returns the groups that any live daemon reports as stalled."""
        groups = set(self._states.list_locally_stalled())
        for heartbeat in self._gossip.get_live():
            groups.update(heartbeat.stalled)
        return frozenset(groups)

    def _accepts_callers(self) -> bool:
        return self._is_ready() and bool(self._caller_address)


def build_kernel(settings: settings_module.Settings) -> services.Kernel:
    """Returns a kernel with all services of a daemon, not yet started."""
    return _Assembly(settings).build()
