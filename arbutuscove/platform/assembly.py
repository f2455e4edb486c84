"""Builds the services of a daemon on the users' platform."""

import collections
import datetime
import random
import time

import eliot
import msgspec

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import controller as controller_module
from arbutuscove.fleet import health
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.gossip import digest
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.leases import holder as lease_holder
from arbutuscove.leases import lease
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.platform import engine
from arbutuscove.platform import followers
from arbutuscove.platform import listener as listener_module
from arbutuscove.platform import settings as settings_module
from arbutuscove.platform import store as store_module
from arbutuscove.platform import upstreams
from arbutuscove.relay import attempt
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import budget
from arbutuscove.relay import flow as flow_module
from arbutuscove.relay import model as relay_model
from arbutuscove.relay import placement
from arbutuscove.relay import waiting
from arbutuscove.transport import pool

REGISTRY_SERVICE = "registry"
LEAVING_SERVICE = "leaving"
# Daemons in a failure domain from which its callers need no others.
NEAR_DAEMONS = 4
LOADS_AGE = datetime.timedelta(milliseconds=100)
DAEMON_PREFIX = "daemon/"
# Upstreams check fencing tokens, so an earlier holder's orders need not be
# waited out; the guard covers the time between check and send.
LEASE_TERMS = lease.Terms(
    term=datetime.timedelta(seconds=4),
    renew_interval=datetime.timedelta(seconds=1),
    guard=datetime.timedelta(milliseconds=500),
    order_timeout=datetime.timedelta(),
    resign_after=datetime.timedelta(seconds=2),
)


class Registry(services.LoopService):
    """Writes this daemon's address to the store and reads the others'."""

    RETRY = datetime.timedelta(milliseconds=300)

    def __init__(
        self,
        settings: settings_module.Settings,
        store: store_module.Store,
        clock: clock_module.Clock,
        gossip: gossip_service.Gossip,
    ) -> None:
        self._key = DAEMON_PREFIX + settings.name
        self._ip = settings.ip
        self._store = store
        self._clock = clock
        self._gossip = gossip

    def start(self, kernel: services.Kernel) -> None:
        """Begins to register."""
        self.run_loop(self._register)

    def _register(self) -> None:
        table = store_module.OWN_TABLE
        content = msgspec.json.encode({"ip": self._ip})
        while True:
            try:
                # Written first: of two daemons that start together, the one
                # that reads last finds the other and addresses it.
                self._store.transact(table, {}, {self._key: content})
                rows = self._store.read_rows(table).rows
                break
            except store_module.StoreError as error:
                eliot.log_message("registry:failed", reason=str(error))
                self._clock.sleep(self.RETRY)
        self._gossip.add_peers(
            msgspec.json.decode(row.content or b"{}").get("ip", self._ip)
            for row in rows
            if row.key.startswith(DAEMON_PREFIX)
        )


class _Assembly:
    """The services of one daemon and what they ask of one another."""

    def __init__(self, settings: settings_module.Settings) -> None:
        self._settings = settings
        self._clock = clock_module.SystemClock()
        # Names the process: a restarted daemon must not pass for its former
        # self as the holder of a lease.
        self._life = time.time_ns() // 1000
        self._identity = f"{settings.name}.{self._life}"
        self._loads = placement.Loads(running={}, daemons=0)
        self._loads_read: datetime.timedelta | None = None
        self._generator = random.Random(self._identity)
        self._metrics = metrics_module.Metrics()
        self._lag = loop.LagMonitor(self._clock)
        self._connections = pool.ConnectionPool(self._clock)
        self._store = store_module.Store(
            settings.store, self._connections, self._clock
        )
        self._catalog = catalog_holder.CatalogHolder()
        self._inventory = inventory_module.Inventory(self._clock)
        self._states = backends_module.BackendStates(self._clock)
        self._callers = "" if not settings.callers else str(settings.callers)
        self._orders = engine.EngineOrders(self._connections, self._clock)
        self._gossip = self._build_gossip()
        self._leases = lease_holder.LeaseHolder(
            self._identity,
            store_module.StoreTable(self._store),
            self._clock,
            self._lag,
            LEASE_TERMS,
            self._gossip,
        )
        self._controller = controller_module.GroupController(
            self._clock,
            self._catalog,
            self._inventory,
            self._leases,
            self._orders,
            self._read_stalled,
        )
        if not settings.first_start:
            # Callers may have begun before this process.
            self._controller.note_traffic()
        self._waiting = waiting.WaitingRoom(
            self._clock,
            self._catalog,
            self._inventory,
            self._states,
            self._read_loads,
            self._generator,
        )
        self._flow = self._build_flow()
        self._listener = self._build_listener()

    def build(self) -> services.Kernel:
        """Returns a kernel with the services in the order they depend."""
        configuration = followers.ConfigurationFollower(
            self._store, self._clock, self._generator, self._catalog
        )
        self._gossip.set_config_version_handler(configuration.note_peer_version)
        servers = followers.ServersFollower(
            self._store,
            self._clock,
            self._generator,
            self._inventory,
            self._gossip,
            self._holds_duty,
        )
        registry = Registry(
            self._settings, self._store, self._clock, self._gossip
        )
        kernel = services.Kernel()
        for name, service in (
            (loop.SERVICE_NAME, self._lag),
            (metrics_module.SERVICE_NAME, self._metrics),
            (pool.SERVICE_NAME, self._connections),
            (followers.CONFIGURATION_SERVICE, configuration),
            (followers.SERVERS_SERVICE, servers),
            (gossip_service.SERVICE_NAME, self._gossip),
            (REGISTRY_SERVICE, registry),
            (lease_holder.SERVICE_NAME, self._leases),
            (controller_module.SERVICE_NAME, self._controller),
            (waiting.SERVICE_NAME, self._waiting),
            (flow_module.SERVICE_NAME, self._flow),
            (listener_module.SERVICE_NAME, self._listener),
            (LEAVING_SERVICE, _Leaving(self._gossip, self._listener)),
        ):
            kernel.register(name, service)
        return kernel

    def _build_gossip(self) -> gossip_service.Gossip:
        settings = self._settings
        own = digest.Heartbeat(
            name=settings.name,
            ip=settings.ip,
            callers=self._callers,
            failure_domain=settings.failure_domain,
            life=self._life,
            counter=0,
            ready=False,
            leaving=False,
            capacity=settings.capacity,
        )
        return gossip_service.Gossip(
            own,
            settings.gossip_port,
            self._clock,
            self._generator,
            self._read_own,
            self._note_stalled,
            self._note_slow,
        )

    def _build_flow(self) -> flow_module.Flow:
        bounds = self._settings.bounds
        shared = attempt.Upstreams(
            self._clock,
            self._catalog,
            self._waiting,
            self._states,
            self._connections,
            upstreams.HttpCodec(),
            self._gossip.broadcast,
            self._find_silent_members,
            self._generator,
        )
        return flow_module.Flow(
            shared,
            budget.Allowance(
                ratio=bounds.retry_ratio,
                slack=bounds.retry_slack,
                window=bounds.retry_window,
            ),
            lambda: len(self._gossip.get_live()) + 1,
            self._generator,
        )

    def _build_listener(self) -> listener_module.Listener:
        settings = self._settings
        addresses = (settings.callers, settings.ready, settings.directory)
        return listener_module.Listener(
            self._clock,
            [address for address in addresses if address is not None],
            self._catalog,
            self._flow,
            self._metrics,
            self._list_addresses,
            self._is_ready,
            self._controller.note_traffic,
            settings.bounds.grace,
        )

    def _read_own(self, beat: digest.Heartbeat) -> digest.Heartbeat:
        loads = {
            key[1]: state.running
            for key, state in self._states.items()
            if state.running
        }
        return msgspec.structs.replace(
            beat,
            ready=self._is_ready(),
            config_version=self._catalog.version(),
            store_ok=self._store.answers,
            holding=self._leases.epoch(controller_module.DUTY) or 0,
            resigned=self._leases.resigned(controller_module.DUTY),
            loads=loads,
            stalled=tuple(self._states.list_stalled()[: digest.GROUPS_LIMIT]),
            slow=tuple(self._states.list_slow()[: digest.GROUPS_LIMIT]),
        )

    def _is_ready(self) -> bool:
        return (
            self._catalog.current() is not None
            and self._inventory.age() is not None
            and not self._listener.is_leaving()
        )

    def _holds_duty(self) -> bool:
        return self._leases.epoch(controller_module.DUTY) is not None

    def _note_stalled(self, peer: str, key: relay_model.BackendKey) -> None:
        self._states.mark_stalled(key, peer, here=False)

    def _note_slow(self, peer: str, key: relay_model.BackendKey) -> None:
        self._states.mark_slow(key, peer, here=False)

    def _find_silent_members(self, backend: relay_model.Backend) -> list[str]:
        return health.find_silent_members(
            self._inventory, self._orders, backend.key
        )

    def _read_loads(self) -> placement.Loads:
        """Returns what the other daemons run.

        Beats come each half second, and each request asks several times.
        """
        now = self._clock.monotonic()
        read = self._loads_read
        if read is not None and now - read < LOADS_AGE:
            return self._loads
        running: collections.Counter[int] = collections.Counter()
        live = self._gossip.get_live()
        for beat in live:
            running.update(beat.loads)
        self._loads_read = now
        self._loads = placement.Loads(running=running, daemons=len(live))
        return self._loads

    def _read_stalled(self) -> frozenset[tuple[str, int]]:
        """Returns the groups that any live daemon found stalled."""
        found = set(self._states.list_stalled())
        for beat in self._gossip.get_live():
            found.update(beat.stalled)
        return frozenset(found)

    def _list_addresses(self, domain: str) -> list[str]:
        """Returns where callers of a failure domain may connect.

        Callers stay in their domain while it has enough daemons that the loss
        of some leaves each caller with others to turn to.
        """
        beats = [beat for beat in self._gossip.get_live() if _takes(beat)]
        if self._is_ready() and self._callers:
            beats.append(self._gossip.get_own())
        near = [beat for beat in beats if beat.failure_domain == domain]
        if len(near) >= NEAR_DAEMONS:
            beats = near
        found = sorted(beat.callers for beat in beats)
        limit = listener_module.ADDRESS_LIMIT
        # Each caller gets others, so that all daemons get callers.
        return self._generator.sample(found, min(limit, len(found)))


def build_kernel(settings: settings_module.Settings) -> services.Kernel:
    """Returns a kernel with all services of a daemon, not yet started."""
    return _Assembly(settings).build()


class _Leaving(services.BaseService):
    """Tells the peers first, and then lets the listener drain."""

    def __init__(
        self,
        gossip: gossip_service.Gossip,
        listener: listener_module.Listener,
    ) -> None:
        self._gossip = gossip
        self._listener = listener

    def drain(self) -> None:
        """Leaves the answers to callers."""
        self._listener.begin_leaving()
        self._gossip.announce_leave()


def _takes(beat: digest.Heartbeat) -> bool:
    return bool(beat.callers) and beat.ready and not beat.leaving
