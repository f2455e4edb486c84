"""Upstream connections of a daemon without peers, for tests."""

import random

from arbutuscove.paths import connections
from arbutuscove.paths import monitor
from arbutuscove.paths import peers
from arbutuscove.transport import pool as pool_module


def build_connections(clock, pool, list_upstreams=lambda service: []):
    """Returns connections that take the direct path only."""
    peer_paths = peers.PeerPaths(clock, "own", lambda: [])
    reach_monitor = monitor.ReachMonitor(
        clock, list_upstreams, peer_paths.open, random.Random(1)
    )
    return connections.UpstreamConnections(
        clock,
        pool,
        pool_module.ConnectionPool(clock),
        reach_monitor,
        peer_paths,
    )


class SoundPath:
    """Stands for connections of a daemon whose path is known to be sound."""

    def confirm_reach(self, service, since):
        return True

    def confirm_contact(self, service, since):
        return True
