"""Pool of engine clients, one per address, shared by all services."""

from collections import abc

from arbutuscove.kernel import services
from arbutuscove.upstreams import engine
from arbutuscove.upstreams import paths as paths_module

SERVICE_NAME = "engines"
MAX_CLIENTS = 4096  # if exceeded, the client created first is closed


class EnginePool(services.BaseService):
    """Creates a client on first use and closes all clients at `stop`."""

    def __init__(
        self,
        paths: paths_module.Paths | None = None,
        is_evacuated: abc.Callable[[str], bool] = lambda address: False,
    ) -> None:
        """Creates a pool without clients.

        Args:
            paths: opens connections; None opens direct ones.
            is_evacuated: whether no request may be sent to an address.
        """
        self._paths = paths
        self._is_evacuated = is_evacuated
        self._clients: dict[str, engine.EngineClient] = {}

    def get(self, address: str) -> engine.EngineClient:
        """Returns the client of an address, creating it if necessary."""
        client = self._clients.get(address)
        if client is None:
            client = engine.EngineClient(
                address, self._paths, self._is_evacuated
            )
            self._clients[address] = client
            if len(self._clients) > MAX_CLIENTS:
                oldest = next(iter(self._clients))
                self._clients.pop(oldest).close()
        return client

    def close_idle(self, addresses: abc.Iterable[str]) -> None:
        """Closes the connections to some addresses that no call uses."""
        for address in addresses:
            client = self._clients.get(address)
            if client is not None:
                client.close_idle()

    def stop(self) -> None:
        """Closes all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
