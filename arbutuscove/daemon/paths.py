"""Wires the paths to upstreams to membership and the loop of a daemon.

Peers publish their tunnel address and the services that they do not reach in
their membership records.
"""

import datetime
import random
import resource
from collections import abc

import gevent

from arbutuscove.daemon import listing as listing_module
from arbutuscove.daemon import settings as settings_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.membership import service as membership_service
from arbutuscove.membership import swim
from arbutuscove.paths import carriers
from arbutuscove.paths import connections as path_connections
from arbutuscove.paths import judgement
from arbutuscove.paths import monitor as path_monitor
from arbutuscove.paths import peers as path_peers
from arbutuscove.storage import http
from arbutuscove.transport import carriage
from arbutuscove.transport import pool as transport_pool
from arbutuscove.transport import tunnel
from arbutuscove.upstreams import paths as upstream_paths

MAX_TUNNELS = 1024  # carried at once
MEGABYTE = 1024 * 1024
# A daemon whose loop is later than this carries no further connections.
MAX_CARRIER_LAG = datetime.timedelta(milliseconds=100)


class DaemonPaths:
    """The paths to the upstreams, and the peers that carry connections."""

    def __init__(
        self,
        settings: settings_module.Settings,
        clock: clock_module.Clock,
        membership: membership_service.Membership,
        lag: loop.LagMonitor,
        listing: listing_module.UpstreamListing,
        generator: random.Random,
    ) -> None:
        self._settings = settings
        self._membership = membership
        self._lag = lag
        self._listing = listing
        self._idle = transport_pool.ConnectionPool(clock)
        peer_paths = path_peers.PeerPaths(
            clock, settings.name, self._list_carriers
        )
        self.monitor = path_monitor.ReachMonitor(
            clock, listing.list_upstreams, peer_paths.open, generator
        )
        self.upstreams = upstream_paths.UpstreamPaths(
            clock,
            # Engine clients keep their own idle connections.
            path_connections.UpstreamConnections(
                clock, self._idle, self._idle, self.monitor, peer_paths
            ),
            self.monitor,
            listing.find_service,
        )
        membership.set_unreached_source(self.monitor.list_unreached)
        self.monitor.add_change_handler(
            lambda _: gevent.spawn(membership.probe_peers)
        )

    def list_services(self) -> list[tuple[str, services.Service]]:
        """Returns the services to register, with their names."""
        listed: list[tuple[str, services.Service]] = [
            (path_monitor.SERVICE_NAME, self.monitor)
        ]
        if self._settings.tunnel_listen:
            server = tunnel.TunnelServer(
                http.Address.parse_listen(self._settings.tunnel_listen),
                self._is_daemon,
                lambda address: self._listing.find_service(address) is not None,
                self._may_carry,
                _compute_capacity(self._settings.memory_mb),
                self.upstreams.open_for_peer,
                self.upstreams.suspect,
            )
            listed.append((tunnel.SERVICE_NAME, server))
        return listed

    def add_idle_closer(
        self, close_idle: abc.Callable[[abc.Iterable[str]], None]
    ) -> None:
        """Adds a function that closes idle connections to some addresses.

        It is called when the path changes: they may have been lost.
        """
        self.monitor.add_change_handler(
            lambda service: close_idle(
                str(upstream.address)
                for upstream in self._listing.list_upstreams(service)
            )
        )

    def may_judge(self, fabric_domain: str) -> bool:
        """Returns whether silent VMs of a fabric domain are to be replaced.

        The silence may be that of this daemon's paths.
        """
        return judgement.may_judge(
            listing_module.name_engine_service(fabric_domain),
            {
                service: self.monitor.get_verdict(service)
                for service in self._listing.list_engine_services()
            },
            [member.unreached for member in self._membership.get_alive()],
        )

    def _list_carriers(self) -> list[carriers.Carrier]:
        members = self._membership.get_alive()
        region = self._membership.get_own().region
        near = [m for m in members if m.region == region and m.tunnel_address]
        return [
            carriers.Carrier(
                name=member.name,
                host=host,
                port=int(port),
                capacity=1,
                unreached=frozenset(member.unreached),
            )
            for member in near or members
            for host, _, port in [member.tunnel_address.rpartition(":")]
            if port.isdecimal()
        ]

    def _is_daemon(self, host: str) -> bool:
        return any(
            host == address.rpartition(":")[0]
            for member in self._membership.get_alive()
            for address in (member.peer_address, member.tunnel_address)
        )

    def _may_carry(self) -> bool:
        is_alive = self._membership.get_own().state == swim.State.ALIVE
        return is_alive and self._lag.get_sustained_lag() < MAX_CARRIER_LAG


def _compute_capacity(memory_mb: int) -> carriage.Capacity:
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        descriptors = MAX_TUNNELS * carriage.DESCRIPTORS_PER_TUNNEL
    return carriage.compute_capacity(
        memory_mb * MEGABYTE, descriptors, MAX_TUNNELS
    )
