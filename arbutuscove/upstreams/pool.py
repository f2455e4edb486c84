"""One engine client for each address, shared by all services."""

from arbutuscove.kernel import services
from arbutuscove.upstreams import engine

SERVICE_NAME = "engines"
CLIENT_LIMIT = 4096  # addresses; the oldest client is closed beyond it


class EnginePool(services.BaseService):
    """Creates clients on first use and closes them at the end."""

    def __init__(self) -> None:
        self._clients: dict[str, engine.EngineClient] = {}

    def get(self, address: str) -> engine.EngineClient:
        """Returns the client of an address."""
        client = self._clients.get(address)
        if client is None:
            client = engine.EngineClient(address)
            self._clients[address] = client
            if len(self._clients) > CLIENT_LIMIT:
                oldest = next(iter(self._clients))
                self._clients.pop(oldest).close()
        return client

    def stop(self) -> None:
        """Closes all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
