"""Pool of idle connections by address.

The most recently used connection is reused first. Surplus connections thus
reach their idle limit and are closed before the peer closes them.
"""

import datetime

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.kernel import services
from arbutuscove.storage import http
from arbutuscove.transport import connection

SERVICE_NAME = "connections"
MAX_IDLE_PER_ADDRESS = 16  # connections
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
# For peers that send no `Keep-Alive` timeout: they may close an idle connection
# at any time.
MAX_IDLE_TIME = datetime.timedelta(seconds=4)
NEVER_IDLE = datetime.timedelta()  # forces a new connection
# Used share of the `Keep-Alive` timeout, so that the peer does not close the
# connection while a request is in flight.
KEEP_ALIVE_SHARE = 0.7
MAX_TIMEOUT_DIGITS = 9  # of a `Keep-Alive` timeout in seconds
SWEEP_INTERVAL = datetime.timedelta(seconds=2)


class ConnectionPool(services.LoopService):
    """Stores idle connections for reuse."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._idle: dict[http.Address, list[connection.Connection]] = {}
        self.opened_count = 0

    def start(self, kernel: services.Kernel) -> None:
        """Starts to close connections that exceed their idle time."""
        self.run_loop(self._sweep)

    def check_out(
        self,
        address: http.Address,
        timeout: datetime.timedelta = CONNECT_TIMEOUT,
        max_idle_time: datetime.timedelta = MAX_IDLE_TIME,
    ) -> connection.Connection:
        """Returns an idle connection or a new one.

        Args:
            address: the address of the peer.
            timeout: timeout for opening a new connection.
            max_idle_time: longest idle time of a reused connection; zero forces
                a new one.

        Raises:
            NotSentError: a new connection could not be opened.
        """
        idle = self.find_idle(address, max_idle_time)
        return self.open(address, timeout) if idle is None else idle

    def find_idle(
        self, address: http.Address, max_idle_time: datetime.timedelta
    ) -> connection.Connection | None:
        """Returns an idle connection, None if there is none.

        Args:
            address: the address of the peer.
            max_idle_time: longest idle time; zero finds none.
        """
        now = self._clock.monotonic()
        idle = self._idle.get(address, [])
        while idle and max_idle_time > connection.ZERO:
            candidate = idle.pop()
            idle_time = now - candidate.idle_since
            limit = min(max_idle_time, candidate.max_idle_time or MAX_IDLE_TIME)
            if idle_time <= limit and candidate.is_still_idle():
                return candidate
            candidate.close()
        return None

    def open(
        self, address: http.Address, timeout: datetime.timedelta
    ) -> connection.Connection:
        """Opens a new connection.

        Raises:
            NotSentError: it could not be opened.
        """
        self.opened_count += 1
        return connection.connect(address, timeout)

    def check_in(
        self,
        used: connection.Connection,
        keep_alive_timeout: datetime.timedelta | None,
    ) -> None:
        """Returns a connection to the pool after an exchange.

        Args:
            used: the connection; closed if it is not reusable or the pool has
                enough idle connections to its address.
            keep_alive_timeout: the peer's `Keep-Alive` timeout, if it sent one.
        """
        idle = self._idle.setdefault(used.address, [])
        if not used.is_reusable() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            used.close()
            return
        used.idle_since = self._clock.monotonic()
        used.max_idle_time = (
            None
            if keep_alive_timeout is None
            else keep_alive_timeout * KEEP_ALIVE_SHARE
        )
        idle.append(used)

    def close_idle(self, address: http.Address) -> None:
        """Closes all idle connections to an address."""
        for idle_connection in self._idle.pop(address, []):
            idle_connection.close()

    def close_idle_through(self, carrier_host: str) -> None:
        """Closes all idle connections that a daemon carries."""
        for address, idle in list(self._idle.items()):
            kept = []
            for idle_connection in idle:
                carrier = idle_connection.carrier
                if carrier is not None and carrier.host == carrier_host:
                    idle_connection.close()
                else:
                    kept.append(idle_connection)
            self._idle[address] = kept

    def stop(self) -> None:
        """Closes all idle connections."""
        super().stop()
        for address in list(self._idle):
            self.close_idle(address)

    def _sweep(self) -> None:
        while True:
            self._clock.sleep(SWEEP_INTERVAL)
            now = self._clock.monotonic()
            for address, idle in list(self._idle.items()):
                kept = []
                for idle_connection in idle:
                    limit = idle_connection.max_idle_time or MAX_IDLE_TIME
                    if now - idle_connection.idle_since <= limit:
                        kept.append(idle_connection)
                    else:
                        idle_connection.close()
                self._idle[address] = kept
                if not kept:
                    del self._idle[address]


def parse_keep_alive_timeout(
    parser: connection.ResponseParser,
) -> datetime.timedelta | None:
    """Returns the timeout of a `Keep-Alive` header, None without one."""
    for part in (parser.get_header("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        seconds = decoding.parse_digits(value, MAX_TIMEOUT_DIGITS)
        if name.lower() == "timeout" and seconds is not None:
            return datetime.timedelta(seconds=seconds)
    return None
