"""Opens connections to upstreams through peers."""

import datetime
from collections import abc

import eliot

from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths import carriers as carriers_module
from arbutuscove.paths import errors
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import tunnel

# A peer that could not carry a connection is asked last for this time.
AVOID_TIME = datetime.timedelta(seconds=1)
# For one peer. More than it may take itself to find that the target is silent
# (`tunnel.CONNECT_TIMEOUT`).
PEER_TIMEOUT = datetime.timedelta(milliseconds=300)

OpenTunnel = abc.Callable[
    [http.Address, http.Address, datetime.timedelta], connection.Connection
]


class PeerPaths:
    """Asks peers for connections, in the order of `paths.carriers`."""

    def __init__(
        self,
        clock: clock_module.Clock,
        own_name: str,
        list_carriers: abc.Callable[[], abc.Iterable[carriers_module.Carrier]],
        open_tunnel: OpenTunnel = tunnel.open_tunnel,
        own_domain: str = "",
    ) -> None:
        """Creates the paths.

        Args:
            clock: the clock.
            own_name: name of this daemon.
            list_carriers: returns the live peers.
            open_tunnel: opens a tunnel through a carrier to a target, within a
                timeout.
            own_domain: the failure domain of this daemon.
        """
        self._clock = clock
        self._own_name = own_name
        self._own_domain = own_domain
        self._list_carriers = list_carriers
        self._open_tunnel = open_tunnel
        self._avoided: dict[str, datetime.timedelta] = {}
        self.opened_count = 0

    def open(
        self,
        service: str,
        target: http.Address,
        timeout: datetime.timedelta,
        domain: str = "",
    ) -> connection.Connection:
        """Returns a connection to an upstream through a peer.

        Args:
            service: the service of the upstream.
            target: the address of the upstream.
            timeout: longest time for all peers together.
            domain: the failure domain of the upstream, if this daemon reaches
                others of the service.

        Raises:
            RefusedError: no process listens on the target's port.
            NotSentError: the target did not accept the peer's connection.
            NoPathError: no peer carries connections to the service.
        """
        deadline = self._clock.monotonic() + timeout
        failure: http.NotSentError | None = None
        for carrier in self._rank(service, target, domain):
            left = deadline - self._clock.monotonic()
            if left <= datetime.timedelta():
                break
            try:
                opened = self._open_tunnel(
                    http.Address(carrier.host, carrier.port),
                    target,
                    min(left, PEER_TIMEOUT),
                )
            except tunnel.CarrierError as error:
                self._avoid(carrier, service, str(error))
            except http.RefusedError:
                raise
            except http.NotSentError as error:
                # This peer may have lost its own path to the target.
                self._avoid(carrier, service, str(error))
                failure = error
            else:
                self.opened_count += 1
                return opened
        if failure is not None:
            raise failure
        raise errors.NoPathError(f"{target}: no peer reaches it")

    def avoid(self, service: str, address: http.Address) -> None:
        """Has a peer asked last for a while, as it lost a connection.

        Args:
            service: the service of the upstream.
            address: the address on which the peer accepts tunnels.
        """
        for carrier in self._list_carriers():
            if (carrier.host, carrier.port) == (address.host, address.port):
                self._avoid(
                    carrier, service, "a connection was lost unanswered"
                )

    def _rank(
        self, service: str, target: http.Address, domain: str
    ) -> list[carriers_module.Carrier]:
        now = self._clock.monotonic()
        self._avoided = {
            name: until for name, until in self._avoided.items() if now < until
        }
        return carriers_module.rank_carriers(
            self._list_carriers(),
            self._own_name,
            service,
            str(target),
            self._avoided,
            domain,
            self._own_domain,
        )

    def _avoid(
        self,
        carrier: carriers_module.Carrier,
        service: str,
        reason: str,
    ) -> None:
        self._avoided[carrier.name] = self._clock.monotonic() + AVOID_TIME
        eliot.log_message(
            "paths:peer_failed",
            peer=carrier.name,
            service=service,
            reason=reason,
        )
