"""The configuration in force in this daemon.

Changes arrive from the table service or from peers and apply in sequence
order only; a lower sequence number is ignored, so the configuration in force
never reverts. A daemon that has seen neither the table nor most of its peers
for `STALE_AFTER` reports itself stale, since a newer version may be in force
elsewhere. So does one that has not seen them since its start, or that heard
of a newer change which it cannot obtain.
"""

import datetime
from collections import abc

import eliot

from arbutuscove.config import acceptance
from arbutuscove.config import keys
from arbutuscove.config import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.storage import table as table_module

SERVICE_NAME = "config"
POLL_INTERVAL = datetime.timedelta(seconds=1)
STALE_AFTER = datetime.timedelta(seconds=10)
RECENT_CHANGES = 1000  # kept for peers; a daemon further behind reloads all


class ConfigFollower(services.LoopService):
    """Follows accepted changes and holds the snapshot in force."""

    def __init__(
        self, table: table_module.Table, clock: clock_module.Clock
    ) -> None:
        self._table = table
        self._clock = clock
        self._snapshot = model.Snapshot()
        self._recent: dict[int, model.Change] = {}
        self._loaded = False
        self._heard = 0
        self._confirmed_at: datetime.timedelta | None = None
        self._read_at: datetime.timedelta | None = None
        self._should_read: abc.Callable[[], bool] = lambda: True
        self._announce: abc.Callable[[], object] = lambda: None

    def start(self, kernel: services.Kernel) -> None:
        """Polls once, so that a daemon is not listed without configuration.

        Then polls the head row regularly.
        """
        self.poll_if_due()
        self.run_loop(self._poll)

    def configure_polling(
        self,
        should_read: abc.Callable[[], bool],
        announce: abc.Callable[[], object],
    ) -> None:
        """Sets when to read the head and what to call when it has moved."""
        self._should_read = should_read
        self._announce = announce

    def get_snapshot(self) -> model.Snapshot:
        """Returns the configuration in force."""
        return self._snapshot

    def is_loaded(self) -> bool:
        """Returns whether any configuration was obtained since the start."""
        return self._loaded

    def is_stale(self) -> bool:
        """Returns whether a newer version may be in force elsewhere."""
        if self._confirmed_at is None:
            return True
        age = self._clock.monotonic() - self._confirmed_at
        return age > STALE_AFTER

    def is_behind(self) -> bool:
        """Returns whether a newer change is known to be accepted."""
        return self._heard > self._snapshot.sequence

    def get_read_age(self) -> datetime.timedelta | None:
        """Returns the time since the head was last read, None if never."""
        if self._read_at is None:
            return None
        return self._clock.monotonic() - self._read_at

    def record_accepted(self, sequence: int) -> None:
        """Records that a change of this number has been accepted."""
        self._heard = max(self._heard, sequence)

    def record_contact(self, seen_at: datetime.timedelta) -> None:
        """Records contact with the table or with most peers at a time.

        Contact proves nothing to a daemon that has no configuration or lacks
        a change that it heard of.
        """
        if not self._loaded or self.is_behind():
            return
        if self._confirmed_at is None or seen_at > self._confirmed_at:
            self._confirmed_at = seen_at

    def apply_changes(self, changes: list[model.Change]) -> None:
        """Applies the changes that are next in sequence; ignores others."""
        for change in sorted(changes, key=lambda item: item.sequence):
            applied = self._snapshot.apply(change)
            if applied is self._snapshot:
                continue
            self._snapshot = applied
            self._loaded = True  # sequence 1 is the first change of all
            self._remember(change)
            eliot.log_message(
                "config:applied",
                sequence=change.sequence,
                service=change.service.name,
                version=change.version,
            )

    def merge_snapshot(self, snapshot: model.Snapshot) -> None:
        """Takes what is newer in a whole snapshot; never reverts.

        Only a snapshot of a daemon that is itself loaded, or of the table,
        may be passed; an empty one then means that nothing was accepted yet.
        """
        self._snapshot = self._snapshot.merge(snapshot)
        self._loaded = True

    def get_changes_after(self, sequence: int) -> list[model.Change] | None:
        """Returns kept changes after a sequence number.

        Returns None when they are no longer all kept; the caller then needs
        the whole snapshot.
        """
        wanted = range(sequence + 1, self._snapshot.sequence + 1)
        if any(number not in self._recent for number in wanted):
            return None
        return [self._recent[number] for number in wanted]

    def poll_once(self) -> bool:
        """Reads the head, fetches what is newer, returns if there was any.

        Raises:
            TableUnavailableError: the table could not be read.
        """
        sent = self._clock.monotonic()
        before = self._snapshot.sequence
        head = acceptance.read_head(self._table)
        self.record_accepted(head.sequence)
        behind = head.sequence - self._snapshot.sequence
        if not self._loaded or behind > RECENT_CHANGES:
            self.merge_snapshot(self._read_snapshot(head))
        elif behind > 0:
            after = keys.change_key(self._snapshot.sequence)
            rows = self._table.scan(keys.CHANGE_PREFIX, after, RECENT_CHANGES)
            self.apply_changes([row.decode(model.Change) for row in rows])
        self._read_at = sent
        self.record_contact(sent)
        return self._snapshot.sequence > before

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

    def poll_if_due(self) -> None:
        """Reads the head if this daemon is to do so in this interval."""
        try:
            if self._should_read() and self.poll_once():
                self._announce()
        except table_module.TableUnavailableError as error:
            eliot.log_message("config:poll_failed", reason=str(error))

    def _poll(self) -> None:
        while True:
            self._clock.sleep(POLL_INTERVAL)
            self.poll_if_due()
