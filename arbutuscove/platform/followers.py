"""Followers of tables of the store, and that of the configuration."""

import datetime
import random

import eliot
import gevent
import msgspec

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.gossip import digest
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import configuration
from arbutuscove.platform import coverage as coverage_module
from arbutuscove.platform import evacuations as evacuations_module
from arbutuscove.platform import store as store_module

CONFIGURATION_SERVICE = "configuration-follower"
CONFIGURATION_TABLE = "op"
CONFIGURATION_KEY = "config"
# A change ends the wait at once; the limit only bounds the use of a connection
# on which nothing arrives.
CONFIGURATION_FEED_WAIT = datetime.timedelta(seconds=20)
# While the store may lose calls; with the margin of a feed call this is below
# the two seconds within which a change must be in force.
DOUBTFUL_FEED_WAIT = datetime.timedelta(milliseconds=500)
# A working feed delivers a change within some milliseconds.
BEHIND_TOLERANCE = datetime.timedelta(milliseconds=500)
# How often a daemon checks whether peers still follow the operator's table.
COVERAGE_CHECK_INTERVAL = datetime.timedelta(milliseconds=200)
# How often a daemon calls a store that turns it away, while peers read for it.
FAILING_PROBE_INTERVAL = datetime.timedelta(milliseconds=1500)
MIN_RETRY_DELAY = datetime.timedelta(milliseconds=100)
MAX_RETRY_DELAY = datetime.timedelta(milliseconds=800)


class BehindError(Exception):
    """A peer has a newer version or era; the read in progress may hang."""


class DoubtfulFeedError(Exception):
    """The feed call in progress may have been lost by the store."""


class Follower(services.LoopService):
    """Reads a snapshot of a table and then its changes.

    Reads a new snapshot when changes may have been lost.
    """

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
        # Why the next read is made.
        self._reason = store_module.Reason.START
        self._restart_reason = store_module.Reason.BEHIND
        store.add_era_listener(self.begin_era)

    def begin_era(self) -> None:
        """Ends the read in progress and reads a snapshot of the new era."""
        # A read that learned the era itself does not use its old position.
        if self._greenlet not in (None, gevent.getcurrent()):
            self._restart_reason = store_module.Reason.ERA
            self._greenlet.kill(BehindError, block=False)

    def start(self, kernel: services.Kernel) -> None:
        """Starts to follow the table."""
        self.run_loop(self._run)

    def read_snapshot(self) -> store_module.Position:
        """Reads a snapshot of the table and returns its position."""
        raise NotImplementedError

    def read_changes(
        self, position: store_module.Position
    ) -> store_module.Position:
        """Waits for changes after a position and returns the one reached."""
        raise NotImplementedError

    def _run(self) -> None:
        position: store_module.Position | None = None
        delay = MIN_RETRY_DELAY
        while True:
            try:
                position, failed = self._read_once(position)
                if not failed:
                    delay = MIN_RETRY_DELAY
                    self._reason = store_module.Reason.FOLLOW
                    continue
                # Jitter, so that daemons do not retry at the same time.
                self._clock.sleep(delay * self._generator.uniform(0.5, 1.0))
                delay = min(delay * 2, MAX_RETRY_DELAY)
            except BehindError:
                # May be raised in the middle of a call or of a delay.
                position = None
                self._reason = self._restart_reason
                self._restart_reason = store_module.Reason.BEHIND
            except DoubtfulFeedError:
                # Sends the call again, from the same position.
                self._reason = store_module.Reason.DOUBT

    def _read_once(
        self, position: store_module.Position | None
    ) -> tuple[store_module.Position | None, bool]:
        """Reads once; returns the new position and whether the read failed."""
        try:
            if position is None:
                return self.read_snapshot(), False
            return self.read_changes(position), False
        except store_module.HistoryLostError:
            self._reason = store_module.Reason.HISTORY_LOST
            return None, True
        except store_module.StoreError as error:
            eliot.log_message(
                "store:read_failed", table=self.table, reason=str(error)
            )
            self._reason = store_module.Reason.RETRY
            return position, True


class ConfigurationFollower(Follower):
    """Applies the operator's newest configuration and its evacuations."""

    table = CONFIGURATION_TABLE

    def __init__(
        self,
        store: store_module.Store,
        clock: clock_module.Clock,
        generator: random.Random,
        catalog: catalog_holder.CatalogHolder,
        evacuations: evacuations_module.Evacuations | None = None,
        coverage: coverage_module.Coverage | None = None,
    ) -> None:
        super().__init__(store, clock, generator)
        self._catalog = catalog
        self._evacuations = evacuations
        self._coverage = coverage
        self._has_snapshot = False
        self._is_feed_pending = False
        store.availability.add_recovery_listener(self.end_feed)
        # The version here when a peer was first seen with a newer one, and the
        # time of that.
        self._behind_version = -1
        self._behind_since: datetime.timedelta | None = None

    def record_peer_version(self, version: int) -> None:
        """Restarts the read if peers have had a newer version for some time.

        Args:
            version: the configuration version of a peer.
        """
        now = self._clock.monotonic()
        current_version = self._catalog.get_version()
        if version <= current_version:
            # Does not show that this daemon is up to date: the peer may be
            # behind, too.
            return
        if (
            self._behind_version != current_version
            or self._behind_since is None
        ):
            self._behind_version, self._behind_since = current_version, now
        elif now - self._behind_since > BEHIND_TOLERANCE:
            self._behind_since = now
            if self._store.availability.is_failing():
                # The follower tries again soon anyway.
                return
            eliot.log_message("catalog:behind", peer_version=version)
            if self._greenlet is not None:
                self._greenlet.kill(BehindError, block=False)

    def end_feed(self) -> bool:
        """Ends the pending feed call and returns whether there was one.

        Without an answer, the call does not show that nothing has changed.
        """
        if not self._is_feed_pending or self._greenlet is None:
            return False
        self._is_feed_pending = False
        self._greenlet.kill(DoubtfulFeedError, block=False)
        return True

    def read_snapshot(self) -> store_module.Position:
        """Reads a snapshot of the table and returns its position."""
        page = self._store.read_rows(self.table, reason=self._reason)
        before = self._get_content()
        if self._evacuations is not None:
            # Before the configuration, with which requests begin.
            self._evacuations.replace(page)
        self._apply_page(page)
        if self._has_snapshot and self._get_content() != before:
            self._tell_peers(page)
        self._has_snapshot = True
        return page.position

    def _get_content(self) -> tuple[int, frozenset[str]]:
        """Returns what this daemon knows of the table."""
        evacuated: frozenset[str] = frozenset()
        if self._evacuations is not None:
            evacuated = self._evacuations.list_evacuated()
        return (self._catalog.get_version(), evacuated)

    def read_changes(
        self, position: store_module.Position
    ) -> store_module.Position:
        """Waits for changes after a position and returns the one reached.

        While peers follow the table for this daemon, it only waits for their
        updates. A daemon that peers rely on sends them what has changed.
        """
        self._wait_while_covered()
        if self._store.availability.is_in_doubt():
            page = self._store.wait_for_changes(
                self.table,
                position,
                DOUBTFUL_FEED_WAIT,
                store_module.Reason.DOUBT,
            )
        else:
            self._is_feed_pending = True
            try:
                page = self._store.wait_for_changes(
                    self.table,
                    position,
                    CONFIGURATION_FEED_WAIT,
                    self._reason,
                )
            finally:
                self._is_feed_pending = False
        if self._evacuations is not None:
            self._evacuations.update(page)
        self._apply_page(page)
        if page.rows:
            self._tell_peers(page)
        return page.position

    def _tell_peers(self, page: store_module.Page) -> None:
        """Sends what this daemon has read to those that it reads for."""
        if self._coverage is None:
            return
        contents = [
            row.content for row in page.rows if row.key == CONFIGURATION_KEY
        ]
        update = digest.OperatorUpdate(
            sender="",
            version=page.version,
            configuration=(contents[-1] or b"") if contents else b"",
            era=page.era,
        )
        if self._evacuations is not None:
            update = msgspec.structs.replace(
                update, **self._evacuations.build_heartbeat_fields()
            )
        self._coverage.send(update)

    def _wait_while_covered(self) -> None:
        """Waits until this daemon has to call the store itself.

        It also tries now and then while the store turns it away, as it would
        not notice otherwise that the store serves it again.
        """
        until = self._clock.monotonic() + FAILING_PROBE_INTERVAL
        while self._coverage is not None and self._coverage.is_covered():
            if (
                self._store.availability.is_failing()
                and self._clock.monotonic() >= until
            ):
                return
            self._clock.sleep(COVERAGE_CHECK_INTERVAL)

    def receive_update(self, update: digest.OperatorUpdate) -> None:
        """Applies what a peer has read, in the era that this daemon knows.

        The position of this daemon's own reads stays: the next one includes
        what the update told.
        """
        self._store.observe_era(update.era, "update")
        if update.relay and self._coverage is not None:
            self._coverage.forward(update)
        if not self._has_snapshot or update.era != self._store.get_era():
            return
        if self._evacuations is not None:
            # Before the configuration, as in a page.
            self._evacuations.observe_peer(update.sender, update)
        if update.configuration:
            self._apply_configuration(
                update.configuration, update.version, update.sender
            )

    def _apply_page(self, page: store_module.Page) -> None:
        for row in page.rows:
            if row.key == CONFIGURATION_KEY and row.content:
                self._apply_configuration(
                    row.content, row.version, store_module.OWN_SOURCE
                )

    def _apply_configuration(
        self, content: bytes, version: int, source: str
    ) -> None:
        try:
            catalog = configuration.decode(content)
        except configuration.ConfigurationError as error:
            eliot.log_message(
                "catalog:unreadable", version=version, reason=str(error)
            )
            return
        self._catalog.apply_if_newer(catalog, source)
