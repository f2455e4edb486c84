"""Connections to upstreams, directly or through a peer.

While this daemon is cut off from a service, its new connections go through a
peer that reaches it. A failed connection counts against the upstream only if
another upstream of the service accepted one meanwhile.
"""

import datetime
from collections import abc

import gevent

from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths import errors
from arbutuscove.paths import monitor as monitor_module
from arbutuscove.paths import peers
from arbutuscove.paths import reach
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool as pool_module

# A direct connection that takes longer begins a round of trial connections.
SUSPECT_TIME = datetime.timedelta(milliseconds=100)


class UpstreamConnections:
    """Opens connections to upstreams and keeps idle ones for reuse."""

    def __init__(
        self,
        clock: clock_module.Clock,
        direct: pool_module.ConnectionPool,
        tunnels: pool_module.ConnectionPool,
        monitor: monitor_module.ReachMonitor,
        peer_paths: peers.PeerPaths,
    ) -> None:
        """Creates the connections.

        Args:
            clock: the clock.
            direct: opens direct connections and holds idle ones.
            tunnels: holds idle connections through peers.
            monitor: determines which services this daemon reaches.
            peer_paths: opens connections through peers.
        """
        self._clock = clock
        self._direct = direct
        self._tunnels = tunnels
        self._monitor = monitor
        self._peer_paths = peer_paths

    def check_out(
        self,
        service: str,
        address: http.Address,
        timeout: datetime.timedelta = pool_module.CONNECT_TIMEOUT,
        max_idle_time: datetime.timedelta = pool_module.MAX_IDLE_TIME,
        deadline: datetime.timedelta | None = None,
    ) -> connection.Connection:
        """Returns an idle connection or a new one, on the path that works.

        Args:
            service: the service of the upstream.
            address: the address of the upstream.
            timeout: timeout for a new connection on one path.
            max_idle_time: longest idle time of a reused connection; zero forces
                a new one.
            deadline: monotonic time after which no other path is tried.

        Raises:
            RefusedError: no process listens on the port.
            UnreachedError: no path leads to any upstream of the service.
            NoPathError: no path to the upstream was found, which says nothing
                of the upstream.
            NotSentError: the upstream accepted no connection.
        """
        if not self._monitor.is_cut_off(service):
            started = self._clock.monotonic()
            try:
                return self._check_out_direct(
                    service, address, timeout, max_idle_time
                )
            except http.NotSentError as error:
                is_reached = self._monitor.confirm_reach(
                    service, started, deadline
                )
                if (
                    is_reached
                    and not self._monitor.is_cut_off(service)
                    and not self._monitor.has_accepted(
                        service, address, started
                    )
                ):
                    raise
                if not is_reached:
                    self._monitor.wait_for_path(service, deadline)
                match self._monitor.get_verdict(service):
                    case reach.Verdict.CUT_OFF:
                        pass
                    case reach.Verdict.UNREACHED:
                        raise errors.UnreachedError(str(error)) from error
                    case reach.Verdict.REACHED:
                        if not self._monitor.was_opened(service, started):
                            raise errors.NoPathError(str(error)) from error
                        return self._open_again(
                            service, address, timeout, deadline
                        )
        idle = self._tunnels.find_idle(address, max_idle_time)
        if idle is not None:
            return idle
        return self._open_through_peer(service, address, timeout, deadline)

    def check_out_through_peer(
        self,
        service: str,
        address: http.Address,
        domain: str,
        timeout: datetime.timedelta,
        max_idle_time: datetime.timedelta,
    ) -> connection.Connection:
        """Returns a connection through a peer to a domain that is not reached.

        Args:
            service: the service of the upstream, others of which are reached.
            address: the address of the upstream.
            domain: the failure domain of the upstream.
            timeout: timeout for all peers together.
            max_idle_time: longest idle time of a reused connection; zero forces
                a new one.

        Raises:
            RefusedError: no process listens on the port.
            NotSentError: no peer reached the upstream.
        """
        idle = self._tunnels.find_idle(address, max_idle_time)
        if idle is not None:
            return idle
        return self._peer_paths.open(service, address, timeout, domain)

    def connect_for_peer(
        self,
        service: str,
        address: http.Address,
        timeout: datetime.timedelta,
    ) -> connection.Connection:
        """Opens a direct connection that a peer will use.

        The peer waits for a short time only, so that a failure is not examined
        before it is reported.

        Raises:
            RefusedError: no process listens on the port.
            NotSentError: no connection was accepted, or this daemon does not
                know whether its own path has failed.
        """
        started = self._clock.monotonic()
        if self._monitor.get_verdict(service) is not reach.Verdict.REACHED:
            raise errors.NoPathError(f"{address}: the service is not reached")
        try:
            return self._direct.open(address, timeout)
        except http.NotSentError as error:
            if self._monitor.was_opened(service, started):
                raise
            self._monitor.suspect(service, started)
            raise errors.NoPathError(str(error)) from error

    def record_answer(self, service: str, used: connection.Connection) -> None:
        """Records that an upstream answered on a connection.

        Only the first answer on a direct connection shows that the path accepts
        new ones: something between may accept connections and lose them.
        """
        if used.carrier is None and used.exchange_count <= 1:
            self._monitor.record_open(service)

    def suspect(
        self,
        service: str,
        used: connection.Connection,
        since: datetime.timedelta,
    ) -> None:
        """Has the path examined, as a connection fails or is silent.

        A peer that carried a connection without any answer is asked last for a
        while: it may have lost its own path.

        Args:
            service: the service of the upstream.
            used: the connection.
            since: monotonic time at which the request was sent on it.
        """
        if used.carrier is None:
            self._monitor.suspect(service, since)
        elif used.exchange_count <= 1:
            self._peer_paths.avoid(service, used.carrier)

    def suspect_for_peer(self, service: str) -> None:
        """Has the path examined, as a connection for a peer was unanswered.

        Own requests may not show the loss: a path may refuse new connections
        and keep those from before.
        """
        self._monitor.suspect(service, self._clock.monotonic())

    def confirm_reach(self, service: str, since: datetime.timedelta) -> bool:
        """Returns whether a direct connection was opened since a time.

        Runs trial connections if that is not known.

        Args:
            service: the service.
            since: monotonic time, when an upstream began to fail.
        """
        return self._monitor.confirm_reach(service, since)

    def confirm_contact(self, service: str, since: datetime.timedelta) -> bool:
        """Returns whether a connection was opened since, on any path."""
        return self._monitor.confirm_contact(service, since)

    def close_idle(self, addresses: abc.Iterable[http.Address]) -> None:
        """Closes the idle direct connections to some upstreams."""
        for address in addresses:
            self._direct.close_idle(address)

    def close_idle_through(self, host: str) -> None:
        """Closes the idle connections through a peer that leaves."""
        self._tunnels.close_idle_through(host)

    def check_in(
        self,
        used: connection.Connection,
        keep_alive_timeout: datetime.timedelta | None,
    ) -> None:
        """Returns a connection after an exchange, for reuse.

        Args:
            used: the connection.
            keep_alive_timeout: the peer's `Keep-Alive` timeout, if it sent one.
        """
        pool = self._direct if used.carrier is None else self._tunnels
        pool.check_in(used, keep_alive_timeout)

    def has_lost_path(self, service: str, used: connection.Connection) -> bool:
        """Returns whether a connection takes a path known to have failed.

        It may still work: a path may refuse new connections only.
        """
        return used.carrier is None and self._monitor.is_cut_off(service)

    def _open_through_peer(
        self,
        service: str,
        address: http.Address,
        timeout: datetime.timedelta,
        deadline: datetime.timedelta | None,
    ) -> connection.Connection:
        now = self._clock.monotonic()
        timeout = self._limit(address, timeout, deadline)
        try:
            opened = self._peer_paths.open(service, address, timeout)
        except http.RefusedError:
            raise
        except http.NotSentError as error:
            # The peers may have lost their own paths and not know it yet.
            if self._monitor.was_contacted(service, now):
                raise
            raise errors.NoPathError(str(error)) from error
        self._monitor.record_contact(service)
        return opened

    def _open_again(
        self,
        service: str,
        address: http.Address,
        timeout: datetime.timedelta,
        deadline: datetime.timedelta | None,
    ) -> connection.Connection:
        """Opens a direct connection after a failure of the path.

        Raises:
            NoPathError: it could not be opened; the path may have failed again.
        """
        timeout = self._limit(address, timeout, deadline)
        try:
            return self._check_out_direct(
                service, address, timeout, pool_module.NEVER_IDLE
            )
        except http.NotSentError as error:
            raise errors.NoPathError(str(error)) from error

    def _limit(
        self,
        address: http.Address,
        timeout: datetime.timedelta,
        deadline: datetime.timedelta | None,
    ) -> datetime.timedelta:
        """Returns the timeout of a further connection within a deadline."""
        if deadline is not None:
            timeout = min(timeout, deadline - self._clock.monotonic())
        if timeout <= datetime.timedelta():
            raise errors.NoPathError(f"{address}: no time is left")
        return timeout

    def _check_out_direct(
        self,
        service: str,
        address: http.Address,
        timeout: datetime.timedelta,
        max_idle_time: datetime.timedelta,
    ) -> connection.Connection:
        idle = self._direct.find_idle(address, max_idle_time)
        if idle is not None:
            return idle
        timer = gevent.spawn_later(
            SUSPECT_TIME.total_seconds(),
            self._monitor.suspect,
            service,
            self._clock.monotonic(),
        )
        try:
            return self._direct.open(address, timeout)
        finally:
            timer.kill(block=False)
