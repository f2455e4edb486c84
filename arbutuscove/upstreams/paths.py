"""Opens connections to upstreams, directly or through a peer.

`paths` decides which path is taken. An address that is not registered, such as
that of a VM that has left the list, is only connected to directly.
"""

import datetime
import typing
from collections import abc

from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths import connections as connections_module
from arbutuscove.paths import monitor as monitor_module
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool

ZERO = datetime.timedelta()


class Paths(typing.Protocol):
    """Opens connections to upstreams."""

    def open(
        self, address: http.Address, timeout: datetime.timedelta
    ) -> typing.Any:
        """Returns a new connected socket to an upstream."""

    def suspect(self, address: http.Address) -> None:
        """Notes that a connection to an upstream was lost."""


class DirectPaths:
    """Opens direct connections only."""

    def open(
        self, address: http.Address, timeout: datetime.timedelta
    ) -> typing.Any:
        """Returns a new connected socket to an upstream.

        Raises:
            RefusedError: no process listens on the port.
            NotSentError: the connection was not established within `timeout`.
        """
        return connection.connect(address, timeout).detach()

    def suspect(self, address: http.Address) -> None:
        """Does nothing, since there is no other path."""


class UpstreamPaths:
    """Opens connections on the path that works."""

    def __init__(
        self,
        clock: clock_module.Clock,
        connections: connections_module.UpstreamConnections,
        monitor: monitor_module.ReachMonitor,
        find_service: abc.Callable[[http.Address], str | None],
    ) -> None:
        """Creates the paths.

        Args:
            clock: the clock.
            connections: opens connections on the path that works.
            monitor: determines which services this daemon reaches.
            find_service: returns the service of a registered address.
        """
        self._clock = clock
        self._connections = connections
        self._monitor = monitor
        self._find_service = find_service

    def open(
        self, address: http.Address, timeout: datetime.timedelta
    ) -> typing.Any:
        """Returns a new connected socket, or what is used like one.

        Args:
            address: the address of the upstream.
            timeout: longest time for all paths together.

        Raises:
            RefusedError: no process listens on the port, and this daemon or
                the peer that was asked reaches other upstreams of the service.
            NotSentError: no path led to the upstream.
        """
        service = self._find_service(address)
        if service is None:
            return connection.connect(address, timeout).detach()
        return self._connections.check_out(
            service,
            address,
            min(timeout, pool.CONNECT_TIMEOUT),
            ZERO,
            self._clock.monotonic() + timeout,
        ).detach()

    def open_for_peer(
        self, address: http.Address, timeout: datetime.timedelta
    ) -> connection.Connection:
        """Opens a direct connection that a peer will use.

        Raises:
            RefusedError: no process listens on the port.
            NotSentError: no connection was accepted, or the address is not
                registered.
        """
        service = self._find_service(address)
        if service is None:
            raise http.NotSentError(f"{address}: not registered")
        return self._connections.connect_for_peer(service, address, timeout)

    def has_path(self, address: str) -> bool:
        """Returns whether a path leads to the service of an address.

        So it is assumed for an address that is not registered.
        """
        service = self._find_service(http.Address.parse(address))
        return service is None or (
            self._monitor.get_verdict(service) is not monitor_module.UNREACHED
        )

    def suspect(self, address: http.Address) -> None:
        """Examines the own paths after a connection was lost."""
        service = self._find_service(address)
        if service is not None:
            self._monitor.suspect(service, self._clock.monotonic())
