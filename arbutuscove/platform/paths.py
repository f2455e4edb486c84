"""The paths of a daemon on the platform to upstreams, and those of its peers.

It connects `arbutuscove.paths` and `transport.tunnel` with the list of VMs and
the heartbeats.
"""

import datetime
import functools
import random
from collections import abc

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model as fleet_model
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.kernel import shutdown
from arbutuscove.paths import carriers
from arbutuscove.paths import connections as connections_module
from arbutuscove.paths import monitor as monitor_module
from arbutuscove.paths import peers
from arbutuscove.platform import engine
from arbutuscove.platform import settings as settings_module
from arbutuscove.storage import http
from arbutuscove.transport import carriage
from arbutuscove.transport import connection
from arbutuscove.transport import pool
from arbutuscove.transport import tunnel

CARRIER_DRAIN_SERVICE = "carried-connections"
TUNNEL_POOL_SERVICE = "tunnel-connections"
DRAIN_POLL_INTERVAL = datetime.timedelta(milliseconds=50)
# A daemon whose loop is later than this carries no further connections.
MAX_CARRIER_LAG = datetime.timedelta(milliseconds=100)


class Paths:
    """Builds the services of the paths and holds the callbacks between them.

    Attributes:
        connections: opens all connections to upstreams.
        monitor: determines which services this daemon reaches.
    """

    def __init__(
        self,
        settings: settings_module.Settings,
        clock: clock_module.Clock,
        generator: random.Random,
        direct: pool.ConnectionPool,
        catalog: catalog_holder.CatalogHolder,
        inventory: inventory_module.Inventory,
        gossip: gossip_service.Gossip,
        lag: loop.LagMonitor,
        stop: shutdown.Shutdown,
        record_notice: engine.RecordNotice = lambda vm, notice: None,
    ) -> None:
        """Builds the services.

        Args:
            settings: the settings of this daemon.
            clock: the clock.
            generator: source of random choices.
            direct: opens direct connections and holds idle ones.
            catalog: the configuration in force.
            inventory: the listed VMs.
            gossip: the heartbeats of the peers.
            lag: how late the loop is.
            stop: the planned stop of this daemon.
            record_notice: called with what VMs say about themselves.
        """
        self._clock = clock
        self._inventory = inventory
        self._gossip = gossip
        self._lag = lag
        self._stop = stop
        # The service of each listed VM by its address, at one revision.
        self._services: dict[http.Address, str] = {}
        self._service_revision = -1
        self._tunnels = pool.ConnectionPool(clock)
        peer_paths = peers.PeerPaths(
            clock,
            settings.name,
            self._list_carriers,
            functools.partial(tunnel.open_tunnel, source_host=settings.ip),
            settings.failure_domain,
        )
        self.monitor = monitor_module.ReachMonitor(
            clock,
            self._list_service_vms,
            peer_paths.open,
            generator,
            is_answered=engine.TrialClient(
                catalog, clock, inventory.find, record_notice
            ).is_answered,
        )
        self.monitor.add_change_handler(self._apply_verdict)
        self.connections = connections_module.UpstreamConnections(
            clock, direct, self._tunnels, self.monitor, peer_paths
        )
        self._tunnel_server = tunnel.TunnelServer(
            http.Address(settings.ip, settings.tunnel_port),
            gossip.is_known,
            lambda address: self._find_service(address) is not None,
            self._may_carry,
            carriage.compute_capacity(
                settings.memory_bytes, settings.max_descriptors
            ),
            self._connect_for_peer,
            self._suspect_for_peer,
        )

    def list_services(self) -> list[tuple[str, services.Service]]:
        """Returns the services by name, in the order of dependencies."""
        return [
            (TUNNEL_POOL_SERVICE, self._tunnels),
            (monitor_module.SERVICE_NAME, self.monitor),
            (tunnel.SERVICE_NAME, self._tunnel_server),
            (
                CARRIER_DRAIN_SERVICE,
                CarrierDrain(self._clock, self._tunnel_server, self._stop),
            ),
        ]

    def _may_carry(self) -> bool:
        lag = self._lag.get_sustained_lag()
        return lag < MAX_CARRIER_LAG and self._stop.get_schedule() is None

    def _connect_for_peer(
        self, address: http.Address, timeout: datetime.timedelta
    ) -> connection.Connection:
        service = self._find_service(address)
        if service is None:
            raise http.NotSentError(f"{address}: not listed")
        return self.connections.connect_for_peer(service, address, timeout)

    def _suspect_for_peer(self, address: http.Address) -> None:
        service = self._find_service(address)
        if service is not None:
            self.connections.suspect_for_peer(service)

    def _find_service(self, address: http.Address) -> str | None:
        """Returns the service of a listed VM by its address."""
        if self._service_revision != self._inventory.revision:
            self._service_revision = self._inventory.revision
            self._services = {
                vm.address: vm.service for vm in self._inventory.list_vms()
            }
        return self._services.get(address)

    def _list_service_vms(self, service: str) -> abc.Sequence[fleet_model.Vm]:
        return [
            vm
            for vm in self._inventory.list_vms()
            if vm.service == service and not vm.leaving
        ]

    def _list_carriers(self) -> list[carriers.Carrier]:
        return [
            carriers.Carrier(
                name=heartbeat.name,
                host=heartbeat.ip,
                port=heartbeat.tunnel_port,
                capacity=heartbeat.capacity,
                unreached=frozenset(heartbeat.unreached),
                is_leaving=heartbeat.leaving,
                failure_domain=heartbeat.failure_domain,
            )
            for heartbeat in self._gossip.get_live()
        ]

    def _apply_verdict(self, service: str) -> None:
        """Tells the peers, and drops connections that may have been lost."""
        self.connections.close_idle(
            vm.address for vm in self._list_service_vms(service)
        )
        self._gossip.broadcast()


class CarrierDrain(services.BaseService):
    """Waits in a planned stop for connections carried for other daemons.

    These open no further ones through a daemon that leaves, and close their
    idle ones.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        server: tunnel.TunnelServer,
        stop: shutdown.Shutdown,
    ) -> None:
        self._clock = clock
        self._server = server
        self._stop = stop

    def drain(self) -> None:
        """Returns once no connection is carried, or the process has to end."""
        schedule = self._stop.get_schedule()
        if schedule is None:
            return
        while (
            self._server.open_count
            and self._clock.monotonic() < schedule.exit_at
        ):
            self._clock.sleep(DRAIN_POLL_INTERVAL)
