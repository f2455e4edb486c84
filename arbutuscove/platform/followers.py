"""Follows the operator's configuration and the list of servers in the store."""

import datetime
import random

import eliot

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model as fleet_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import configuration
from arbutuscove.platform import entries
from arbutuscove.platform import store as store_module

CONFIGURATION_SERVICE = "configuration-follower"
SERVERS_SERVICE = "servers-follower"
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
SERVERS_TABLE = "servers"
# A change ends the wait at once; the wait only bounds a silent connection.
CONFIGURATION_WAIT = datetime.timedelta(seconds=20)
# Servers write at each heartbeat, so that a feed would answer without pause.
SERVERS_INTERVAL = datetime.timedelta(milliseconds=600)
SERVERS_WAIT = datetime.timedelta(milliseconds=200)
RETRY_SHORTEST = datetime.timedelta(milliseconds=100)
RETRY_LONGEST = datetime.timedelta(milliseconds=800)


class _Follower(services.LoopService):
    """Reads a table whole, then its changes, and again after a loss."""

    table = ""

    def __init__(
        self,
        store: store_module.Store,
        clock: clock_module.Clock,
        generator: random.Random,
    ) -> None:
        self._store = store
        self._clock = clock
        self._generator = generator

    def start(self, kernel: services.Kernel) -> None:
        """Begins to follow."""
        self.run_loop(self._run)

    def read_whole(self) -> int:
        """Reads the table and returns its version."""
        raise NotImplementedError

    def read_changes(self, version: int) -> int:
        """Reads what changed after a version and returns the next one."""
        raise NotImplementedError

    def _run(self) -> None:
        version: int | None = None
        pause = RETRY_SHORTEST
        while True:
            try:
                if version is None:
                    version = self.read_whole()
                else:
                    version = self.read_changes(version)
                pause = RETRY_SHORTEST
                continue
            except store_module.HistoryLostError:
                version = None
            except store_module.StoreError as error:
                eliot.log_message(
                    "store:read_failed", table=self.table, reason=str(error)
                )
            # Spread, so that daemons do not return to the store in step.
            self._clock.sleep(pause * self._generator.uniform(0.5, 1.0))
            pause = min(pause * 2, RETRY_LONGEST)


class ConfigurationFollower(_Follower):
    """Puts the operator's newest configuration in force."""

    table = CONFIGURATION_TABLE

    def __init__(
        self,
        store: store_module.Store,
        clock: clock_module.Clock,
        generator: random.Random,
        catalog: catalog_holder.CatalogHolder,
    ) -> None:
        super().__init__(store, clock, generator)
        self._catalog = catalog

    def read_whole(self) -> int:
        """Reads the table and returns its version."""
        page = self._store.read_rows(self.table, CONFIGURATION_KEY)
        self._take(page)
        return page.version

    def read_changes(self, version: int) -> int:
        """Reads what changed after a version and returns the next one."""
        page = self._store.follow(self.table, version, CONFIGURATION_WAIT)
        self._take(page)
        return page.version

    def _take(self, page: store_module.Page) -> None:
        for row in page.rows:
            if row.key != CONFIGURATION_KEY or not row.content:
                continue
            try:
                found = configuration.decode(row.content)
            except configuration.ConfigurationError as error:
                eliot.log_message(
                    "catalog:unreadable", version=row.version, reason=str(error)
                )
                continue
            self._catalog.offer(found, "store")


class ServersFollower(_Follower):
    """Keeps the inventory in step with the list of servers."""

    table = SERVERS_TABLE

    def __init__(
        self,
        store: store_module.Store,
        clock: clock_module.Clock,
        generator: random.Random,
        inventory: inventory_module.Inventory,
    ) -> None:
        super().__init__(store, clock, generator)
        self._inventory = inventory

    def read_whole(self) -> int:
        """Reads the table and returns its version."""
        page = self._store.read_rows(self.table)
        found, _ = _decode(page)
        self._inventory.replace(found)
        return page.version

    def read_changes(self, version: int) -> int:
        """Reads what changed after a version and returns the next one."""
        self._clock.sleep(SERVERS_INTERVAL)
        page = self._store.follow(self.table, version, SERVERS_WAIT)
        self._inventory.update(*_decode(page))
        return page.version


def _decode(
    page: store_module.Page,
) -> tuple[list[fleet_model.Vm], list[str]]:
    """Returns the VMs of a page, and the names of those that went away."""
    found: dict[str, fleet_model.Vm] = {}
    removed: dict[str, None] = {}
    for row in page.rows:
        found.pop(row.key, None)
        removed.pop(row.key, None)
        if row.content is None:
            removed[row.key] = None
            continue
        try:
            found[row.key] = entries.decode(row.key, row.content)
        except entries.EntryError as error:
            eliot.log_message(
                "fleet:entry_skipped", vm=row.key, reason=str(error)
            )
            removed[row.key] = None
    return list(found.values()), list(removed)
