"""The catalog in force in this daemon.

Versions only grow: an older one that arrives late is dropped, so a daemon
never goes back.
"""

import eliot
from gevent import event

from arbutuscove.catalog import model
from arbutuscove.kernel import services

SERVICE_NAME = "catalog"


class CatalogHolder(services.BaseService):
    """Holds the newest catalog that reached this daemon."""

    def __init__(self) -> None:
        self._current: model.Catalog | None = None
        self.loaded = event.Event()  # set once there is a catalog

    def get_current(self) -> model.Catalog | None:
        """Returns the catalog in force, None before the first."""
        return self._current

    def get_version(self) -> int:
        """Returns the version in force, -1 before the first."""
        return -1 if self._current is None else self._current.version

    def apply_if_newer(self, catalog: model.Catalog, source: str) -> bool:
        """Puts a catalog in force unless an equal or newer one is."""
        before = self.get_version()
        if catalog.version <= before:
            return False
        self._current = catalog
        self.loaded.set()
        eliot.log_message(
            "catalog:in_force",
            version=catalog.version,
            before=before,
            source=source,
        )
        return True
