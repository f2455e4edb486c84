"""The configuration in force in this daemon.

Changes arrive from the table service or from peers and apply in sequence
order only; a lower sequence number is ignored, so the configuration in force
never reverts. A daemon that has seen neither the table nor most of its peers
for `STALE_AFTER` reports itself stale, since a newer version may be in force
elsewhere.
"""

import datetime

import eliot
import gevent

from arbutuscove.config import acceptance
from arbutuscove.config import keys
from arbutuscove.config import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.platform import table as table_module

SERVICE_NAME = "config"
POLL_INTERVAL = datetime.timedelta(seconds=1)
STALE_AFTER = datetime.timedelta(seconds=10)
RECENT_CHANGES = 1000  # kept for peers; a daemon further behind reloads all


class ConfigFollower(services.BaseService):
    """Follows accepted changes and holds the snapshot in force."""

    def __init__(
        self, table: table_module.Table, clock: clock_module.Clock
    ) -> None:
        self._table = table
        self._clock = clock
        self._snapshot = model.Snapshot()
        self._recent: dict[int, model.Change] = {}
        self._loaded = False
        self._confirmed_at = clock.monotonic()
        self._greenlet: gevent.Greenlet | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Polls once, so that a daemon is not listed without configuration.

        Then polls the head row regularly.
        """
        self._try_poll()
        self._greenlet = gevent.spawn(self._poll)

    def stop(self) -> None:
        """Ends polling."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def current(self) -> model.Snapshot:
        """Returns the configuration in force."""
        return self._snapshot

    def is_loaded(self) -> bool:
        """Returns whether any configuration was obtained since the start."""
        return self._loaded

    def is_stale(self) -> bool:
        """Returns whether a newer version may be in force elsewhere."""
        age = self._clock.monotonic() - self._confirmed_at
        return age > STALE_AFTER

    def confirm(self) -> None:
        """Records contact with the table or with most peers."""
        self._confirmed_at = self._clock.monotonic()

    def offer(self, changes: list[model.Change]) -> None:
        """Applies the changes that are next in sequence; ignores others."""
        for change in sorted(changes, key=lambda item: item.sequence):
            applied = self._snapshot.apply(change)
            if applied is self._snapshot:
                continue
            self._snapshot = applied
            # Changes apply from the first on without gaps, so they make a
            # whole configuration even when no snapshot was ever read.
            self._loaded = True
            self._remember(change)
            eliot.log_message(
                "config:applied",
                sequence=change.sequence,
                service=change.service.name,
                version=change.version,
            )

    def adopt(self, snapshot: model.Snapshot) -> None:
        """Takes a whole snapshot if it is newer than the one in force."""
        if not self._loaded or snapshot.sequence > self._snapshot.sequence:
            self._snapshot = snapshot
            self._loaded = True

    def changes_after(self, sequence: int) -> list[model.Change] | None:
        """Returns kept changes after a sequence number.

        Returns None when they are no longer all kept; the caller then needs
        the whole snapshot.
        """
        wanted = range(sequence + 1, self._snapshot.sequence + 1)
        if any(number not in self._recent for number in wanted):
            return None
        return [self._recent[number] for number in wanted]

    def poll_once(self) -> None:
        """Reads the head and fetches what is newer.

        Raises:
            TableUnavailableError: the table could not be read.
        """
        head = acceptance.read_head(self._table)
        behind = head.sequence - self._snapshot.sequence
        if not self._loaded or behind > RECENT_CHANGES:
            self.adopt(self._read_snapshot(head))
        elif behind > 0:
            after = keys.change_key(self._snapshot.sequence)
            rows = self._table.scan(keys.CHANGE_PREFIX, after)
            self.offer([row.decode(model.Change) for row in rows])
        self.confirm()

    def _read_snapshot(self, head: model.Head) -> model.Snapshot:
        # The head is read before the services. A service row may be newer
        # than the head then; its own sequence keeps later changes in order.
        rows = table_module.read_all(self._table, keys.SERVICE_PREFIX)
        found = [row.decode(model.ServiceVersion) for row in rows]
        return model.Snapshot(
            sequence=head.sequence,
            services={item.service.name: item for item in found},
        )

    def _remember(self, change: model.Change) -> None:
        self._recent[change.sequence] = change
        self._recent.pop(change.sequence - RECENT_CHANGES, None)

    def _poll(self) -> None:
        while True:
            self._clock.sleep(POLL_INTERVAL)
            self._try_poll()

    def _try_poll(self) -> None:
        try:
            self.poll_once()
        except table_module.TableUnavailableError as error:
            eliot.log_message("config:poll_failed", reason=str(error))
