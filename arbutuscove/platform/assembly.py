"""Builds the services of a daemon on the users' platform."""

import datetime
import random
import time
import uuid

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
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import budget
from arbutuscove.relay import flow as flow_module
from arbutuscove.relay import model as relay_model
from arbutuscove.relay import waiting
from arbutuscove.transport import pool

REGISTRY_SERVICE = "registry"
LEAVING_SERVICE = "leaving"
DAEMON_PREFIX = "daemon/"
# Upstreams check fencing tokens, so an earlier holder's orders need not be
# waited out; the guard covers the time between check and send.
LEASE_TERMS = lease.Terms(
    term=datetime.timedelta(seconds=4),
    renew_interval=datetime.timedelta(seconds=1),
    guard=datetime.timedelta(milliseconds=500),
    order_timeout=datetime.timedelta(),
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
        self._gossip.name_peers(
            msgspec.json.decode(row.content or b"{}").get("ip", self._ip)
            for row in rows
            if row.key.startswith(DAEMON_PREFIX)
        )


def build_kernel(settings: settings_module.Settings) -> services.Kernel:
    """Returns a kernel with all services of a daemon, not yet started."""
    clock = clock_module.SystemClock()
    identity = f"{settings.name}.{uuid.uuid4().hex[:12]}"
    generator = random.Random(identity)
    metrics = metrics_module.Metrics()
    lag = loop.LagMonitor(clock)
    connections = pool.ConnectionPool(clock)
    store = store_module.Store(settings.store, connections, clock)
    catalog = catalog_holder.CatalogHolder()
    inventory = inventory_module.Inventory(clock)
    states = backends_module.BackendStates(clock)
    callers = "" if settings.callers is None else str(settings.callers)

    def read_own(beat: digest.Beat) -> digest.Beat:
        return msgspec.structs.replace(
            beat,
            ready=is_ready(),
            config_version=catalog.version(),
            store_ok=store.answers,
            holding=leases.epoch(controller_module.DUTY) or 0,
            loads={
                f"{key[0]}|{key[1]}": state.running
                for key, state in states.items()
                if state.running
            },
            stalled=tuple(states.list_stalled()[: digest.STALLED_LIMIT]),
        )

    def is_ready() -> bool:
        return (
            catalog.current() is not None
            and inventory.age() is not None
            and not listener.is_leaving()
        )

    def note_stalled(peer: str, key: relay_model.BackendKey) -> None:
        states.mark_stalled(key, peer, here=False)

    gossip = gossip_service.Gossip(
        digest.Beat(
            name=settings.name,
            ip=settings.ip,
            callers=callers,
            failure_domain=settings.failure_domain,
            identity=identity,
            life=time.time_ns() // 1000,
            counter=0,
            ready=False,
            leaving=False,
        ),
        settings.gossip_port,
        clock,
        generator,
        read_own,
        note_stalled,
    )
    leases = lease_holder.LeaseHolder(
        identity,
        store_module.StoreTable(store),
        clock,
        lag,
        LEASE_TERMS,
        gossip,
    )

    def read_loads() -> dict[relay_model.BackendKey, int]:
        loads: dict[relay_model.BackendKey, int] = {}
        for beat in gossip.live():
            for text, running in beat.loads.items():
                name, _, epoch = text.rpartition("|")
                key = (name, int(epoch))
                loads[key] = loads.get(key, 0) + running
        return loads

    def read_stalled() -> frozenset[tuple[str, int]]:
        found = set(states.list_stalled())
        for beat in gossip.live():
            found.update(beat.stalled)
        return frozenset(found)

    def list_addresses(domain: str) -> list[str]:
        found = [beat.callers for beat in gossip.live() if _takes(beat)]
        if is_ready() and callers:
            found.append(callers)
        return sorted(found)

    group_orders = engine.EngineOrders(connections, clock)
    configuration = followers.ConfigurationFollower(
        store, clock, generator, catalog
    )
    gossip.on_config_version(configuration.note_peer_version)
    waiting_room = waiting.WaitingRoom(
        clock, catalog, inventory, states, read_loads, generator
    )
    flow = flow_module.Flow(
        clock,
        catalog,
        waiting_room,
        states,
        connections,
        upstreams.HttpCodec(),
        budget.Allowance(
            ratio=settings.bounds.retry_ratio,
            slack=settings.bounds.retry_slack,
            window=settings.bounds.retry_window,
        ),
        lambda: len(gossip.live()) + 1,
        gossip.tell,
        lambda backend: health.find_silent_members(
            inventory, group_orders, backend.key
        ),
        generator,
    )
    controller = controller_module.GroupController(
        clock,
        catalog,
        inventory,
        leases,
        group_orders,
        read_stalled,
    )
    listener = listener_module.Listener(
        clock,
        [
            address
            for address in (
                settings.callers,
                settings.ready,
                settings.directory,
            )
            if address is not None
        ],
        catalog,
        flow,
        metrics,
        list_addresses,
        is_ready,
        controller.note_traffic,
        settings.bounds.grace,
    )
    kernel = services.Kernel()
    for name, service in (
        (loop.SERVICE_NAME, lag),
        (metrics_module.SERVICE_NAME, metrics),
        (pool.SERVICE_NAME, connections),
        (
            followers.CONFIGURATION_SERVICE,
            configuration,
        ),
        (
            followers.SERVERS_SERVICE,
            followers.ServersFollower(
                store,
                clock,
                generator,
                inventory,
                gossip,
                lambda: leases.epoch(controller_module.DUTY) is not None,
            ),
        ),
        (gossip_service.SERVICE_NAME, gossip),
        (REGISTRY_SERVICE, Registry(settings, store, clock, gossip)),
        (lease_holder.SERVICE_NAME, leases),
        (controller_module.SERVICE_NAME, controller),
        (waiting.SERVICE_NAME, waiting_room),
        (flow_module.SERVICE_NAME, flow),
        (listener_module.SERVICE_NAME, listener),
        (LEAVING_SERVICE, _Leaving(gossip, listener)),
    ):
        kernel.register(name, service)
    return kernel


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


def _takes(beat: digest.Beat) -> bool:
    return bool(beat.callers) and beat.ready and not beat.leaving
