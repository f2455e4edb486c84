"""The catalog in force in this daemon.

Versions increase monotonically: an older version that arrives late is
discarded, so a daemon never reverts to it.
"""

import eliot
from gevent import event

from arbutuscove.catalog import model
from arbutuscove.kernel import services

SERVICE_NAME = "catalog"


class CatalogHolder(services.BaseService):
    """Holds the newest catalog that this daemon has received."""

    def __init__(self) -> None:
        self._current: model.Catalog | None = None
        self.loaded = event.Event()  # set once the first catalog is in force

    def get_current(self) -> model.Catalog | None:
        """Returns the catalog in force; None if there is none yet."""
        return self._current

    def get_version(self) -> int:
        """Returns the version in force; -1 if there is none yet."""
        return -1 if self._current is None else self._current.version

    def apply_if_newer(self, catalog: model.Catalog, source: str) -> bool:
        """Puts a catalog in force if it is newer than the current one.

        Args:
            catalog: the received catalog.
            source: origin of the catalog, for the log.

        Returns:
            Whether the catalog is now in force.
        """
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
