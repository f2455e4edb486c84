"""Pool of engine clients, one per address, shared by all services."""

from arbutuscove.kernel import services
from arbutuscove.upstreams import engine

SERVICE_NAME = "engines"
MAX_CLIENTS = 4096  # if exceeded, the client created first is closed


class EnginePool(services.BaseService):
    """Creates a client on first use and closes all clients at `stop`."""

    def __init__(self) -> None:
        self._clients: dict[str, engine.EngineClient] = {}

    def get(self, address: str) -> engine.EngineClient:
        """Returns the client of an address, creating it if necessary."""
        client = self._clients.get(address)
        if client is None:
            client = engine.EngineClient(address)
            self._clients[address] = client
            if len(self._clients) > MAX_CLIENTS:
                oldest = next(iter(self._clients))
                self._clients.pop(oldest).close()
        return client

    def stop(self) -> None:
        """Closes all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
