"""Idle connections by address.

The most recently used connection goes out first, so that surplus ones age and
are closed before the peer closes them.
"""

import datetime

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.storage import http
from arbutuscove.transport import connection

SERVICE_NAME = "connections"
MAX_IDLE_PER_ADDRESS = 16  # kept for each address
CONNECT_TIMEOUT = datetime.timedelta(milliseconds=500)
# Without a stated time, a peer may close an idle connection at any moment.
MAX_IDLE_TIME = datetime.timedelta(seconds=4)
# Of the stated time, so that the peer's end does not cross a request.
KEEP_ALIVE_SHARE = 0.7
SWEEP_INTERVAL = datetime.timedelta(seconds=2)


class ConnectionPool(services.LoopService):
    """Keeps idle connections for later exchanges."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._idle: dict[http.Address, list[connection.Connection]] = {}
        self.opened = 0

    def start(self, kernel: services.Kernel) -> None:
        """Begins to close connections that were idle for too long."""
        self.run_loop(self._sweep)

    def check_out(
        self,
        address: http.Address,
        timeout: datetime.timedelta = CONNECT_TIMEOUT,
        max_idle_time: datetime.timedelta = MAX_IDLE_TIME,
    ) -> connection.Connection:
        """Returns an idle connection or a new one.

        Args:
            address: the peer.
            timeout: longest time for a new connection.
            max_idle_time: how long a connection may have been idle; zero asks
                for a new one.

        Raises:
            NotSentError: no connection could be made.
        """
        now = self._clock.monotonic()
        idle = self._idle.get(address, [])
        while idle and max_idle_time > connection.ZERO:
            found = idle.pop()
            age = now - found.idle_since
            limit = min(max_idle_time, found.max_idle_time or MAX_IDLE_TIME)
            if age <= limit and found.is_still_idle():
                return found
            found.close()
        self.opened += 1
        return connection.connect(address, timeout)

    def check_in(
        self, used: connection.Connection, stated: datetime.timedelta | None
    ) -> None:
        """Takes a connection back after an exchange.

        Args:
            used: the connection; closed if it cannot be used again.
            stated: how long the peer said that it keeps it idle, if it did.
        """
        idle = self._idle.setdefault(used.address, [])
        if not used.is_reusable() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            used.close()
            return
        used.idle_since = self._clock.monotonic()
        used.max_idle_time = (
            None if stated is None else stated * KEEP_ALIVE_SHARE
        )
        idle.append(used)

    def close_idle(self, address: http.Address) -> None:
        """Closes the idle connections to an address that is not used."""
        for found in self._idle.pop(address, []):
            found.close()

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
                for found in idle:
                    limit = found.max_idle_time or MAX_IDLE_TIME
                    if now - found.idle_since <= limit:
                        kept.append(found)
                    else:
                        found.close()
                self._idle[address] = kept
                if not kept:
                    del self._idle[address]


def parse_keep_alive_timeout(
    parser: connection.ResponseParser,
) -> datetime.timedelta | None:
    """Returns the idle time of a `Keep-Alive` header, None without one."""
    for part in (parser.get_header("keep-alive") or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return datetime.timedelta(seconds=int(value))
    return None
