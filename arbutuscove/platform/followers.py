"""Follows the operator's configuration and the list of servers in the store."""

import datetime
import random
from collections import abc

import eliot
from gevent import event

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model as fleet_model
from arbutuscove.gossip import digest
from arbutuscove.gossip import service as gossip_service
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
# A feed that works brings a change within some milliseconds.
BEHIND_LONGEST = datetime.timedelta(milliseconds=500)
# Servers write at each heartbeat, so that a feed would answer without pause.
# The holder of the duty waits for the effect of each step of a repair.
DUTY_INTERVAL = datetime.timedelta(milliseconds=250)
# Without a word from the holder for so long, one daemon of a failure domain
# reads.
READER_PATIENCE = datetime.timedelta(milliseconds=500)
# Without a word from that one either for so long, a daemon reads for itself.
# It stays below the two seconds in which a leaving VM has to be known.
UPDATE_PATIENCE = datetime.timedelta(milliseconds=1000)
SERVERS_WAIT = datetime.timedelta(milliseconds=200)
RETRY_SHORTEST = datetime.timedelta(milliseconds=100)
RETRY_LONGEST = datetime.timedelta(milliseconds=800)


class BehindError(Exception):
    """A peer knows more; the read in progress may hang."""


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
                version, failed = self._step(version)
                if not failed:
                    pause = RETRY_SHORTEST
                    continue
                # Spread, so that daemons do not return to the store in step.
                self._clock.sleep(pause * self._generator.uniform(0.5, 1.0))
                pause = min(pause * 2, RETRY_LONGEST)
            except BehindError:
                # May come in the middle of a call or of a pause.
                version = None

    def _step(self, version: int | None) -> tuple[int | None, bool]:
        """Reads once; returns the version then, and whether it failed."""
        try:
            if version is None:
                return self.read_whole(), False
            return self.read_changes(version), False
        except store_module.HistoryLostError:
            return None, True
        except store_module.StoreError as error:
            eliot.log_message(
                "store:read_failed", table=self.table, reason=str(error)
            )
            return version, True


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
        # The version that a peer was first found ahead of, and when.
        self._behind_at = -1
        self._behind_since: datetime.timedelta | None = None

    def note_peer_version(self, version: int) -> None:
        """Reads anew if a peer has had a newer version for some time."""
        now = self._clock.monotonic()
        known = self._catalog.version()
        if version <= known:
            # Says nothing, as this peer may be behind, too.
            return
        if self._behind_at != known or self._behind_since is None:
            self._behind_at, self._behind_since = known, now
        elif now - self._behind_since > BEHIND_LONGEST:
            self._behind_since = now
            eliot.log_message("catalog:behind", peer_version=version)
            if self._greenlet is not None:
                self._greenlet.kill(BehindError, block=False)

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
        gossip: gossip_service.Gossip,
        holds_duty: abc.Callable[[], bool],
    ) -> None:
        super().__init__(store, clock, generator)
        self._inventory = inventory
        self._gossip = gossip
        self._holds_duty = holds_duty
        self._version = -1
        self._heard = event.Event()
        self._behind = False
        gossip.set_update_handler(self.take_update)

    def read_whole(self) -> int:
        """Reads the table and returns its version."""
        page = self._store.read_rows(self.table)
        found, _ = _decode({row.key: row.content for row in page.rows})
        self._inventory.replace(found)
        self._version = page.version
        return page.version

    def read_changes(self, version: int) -> int:
        """Waits for the next changes and returns the version after them.

        The holder of the duty reads the store and tells the others. When it
        falls silent, one daemon of each failure domain reads for its domain,
        and when that falls silent, too, each reads for itself. So does one that
        lost an update.
        """
        self._version = version = max(version, self._version)
        if self._holds_duty():
            self._clock.sleep(DUTY_INTERVAL)
        else:
            while self._heard.wait(self._find_patience().total_seconds()):
                self._heard.clear()
                if self._behind or self._holds_duty():
                    break
        self._behind = False
        if self._version > version:
            version = self._version
        page = self._store.follow(self.table, version, SERVERS_WAIT)
        if page.version < self._version:
            return self._version
        rows = self._take(page)
        holds = self._holds_duty()
        if holds or self._gossip.is_reader():
            self._gossip.send_update(version, page.version, rows, to_all=holds)
        return page.version

    def take_update(self, update: digest.ListUpdate) -> None:
        """Takes what a peer read, if it follows on what is known here."""
        known = self._version
        if known < 0 or update.version <= known:
            self._heard.set()
            return
        if update.before > known:
            self._behind = True
        else:
            self._version = update.version
            self._apply(dict(update.rows))
            if update.relay:
                self._gossip.forward_update(update)
        self._heard.set()

    def _find_patience(self) -> datetime.timedelta:
        """Returns how long nothing may be heard of the list."""
        if self._gossip.is_reader():
            return READER_PATIENCE
        return UPDATE_PATIENCE

    def _take(self, page: store_module.Page) -> list[digest.ListRow]:
        """Applies a page; returns the entries of VMs that changed by it."""
        last = {row.key: row for row in page.rows}
        changed = self._apply({row.key: row.content for row in page.rows})
        return [
            digest.ListRow(
                version=last[name].version, name=name, content=content
            )
            for name, content in changed.items()
        ]

    def _apply(self, rows: dict[str, bytes | None]) -> dict[str, bytes | None]:
        found, removed = _decode(rows)
        changed = {
            vm.name: rows[vm.name]
            for vm in found
            if self._inventory.is_news(vm)
        }
        gone = {
            name: None
            for name in removed
            if self._inventory.find(name) is not None
        }
        self._inventory.update(found, removed)
        return {**changed, **gone}


def _decode(
    rows: dict[str, bytes | None],
) -> tuple[list[fleet_model.Vm], list[str]]:
    """Returns the VMs in some entries, and the names of those that went."""
    found: list[fleet_model.Vm] = []
    removed: list[str] = []
    for name, content in rows.items():
        if content is None:
            removed.append(name)
            continue
        try:
            found.append(entries.decode(name, content))
        except entries.EntryError as error:
            eliot.log_message("fleet:entry_skipped", vm=name, reason=str(error))
            removed.append(name)
    return found, removed
