"""The configuration in force in this daemon.

Changes are received from the table service or from peers and are applied in
sequence order only; a change with a lower sequence number is ignored, so the
configuration in force never reverts. If the table came back from an older copy
without changes that are in force here, this daemon writes them again.

The daemon reports its configuration as stale, since a newer version may be in
force elsewhere, if it has had contact neither with the table service nor with
most of its peers for `STALE_AFTER`, or not at all since its start. Contact
does not count while the daemon cannot obtain a change that it knows to be
accepted.
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
RECENT_CHANGES = 1000  # kept for peers; a daemon further behind reloads fully


class ConfigFollower(services.LoopService):
    """Applies accepted changes and provides the snapshot in force."""

    def __init__(
        self, table: table_module.Table, clock: clock_module.Clock
    ) -> None:
        self._table = table
        self._clock = clock
        self._snapshot = model.Snapshot()
        self._recent_changes: dict[int, model.Change] = {}
        self._has_config = False
        self._newest_accepted = 0
        self._confirmed_at: datetime.timedelta | None = None
        self._read_at: datetime.timedelta | None = None
        self._should_read: abc.Callable[[], bool] = lambda: True
        self._announce: abc.Callable[[], object] = lambda: None

    def start(self, kernel: services.Kernel) -> None:
        """Polls the head row once and then periodically in a loop.

        The first poll is synchronous, so that the daemon is not listed
        before it has tried to load the configuration.
        """
        self.poll_if_due()
        self.run_loop(self._run_poll_loop)

    def configure_polling(
        self,
        should_read: abc.Callable[[], bool],
        announce: abc.Callable[[], object],
    ) -> None:
        """Sets the callbacks of the periodic poll.

        Args:
            should_read: returns whether this daemon reads the head row in the
                current interval.
            announce: called when a poll has advanced the configuration.
        """
        self._should_read = should_read
        self._announce = announce

    def get_snapshot(self) -> model.Snapshot:
        """Returns the configuration in force."""
        return self._snapshot

    def is_loaded(self) -> bool:
        """Returns whether a configuration was obtained since the start."""
        return self._has_config

    def is_stale(self) -> bool:
        """Returns whether a newer version may be in force elsewhere."""
        if self._confirmed_at is None:
            return True
        age = self._clock.monotonic() - self._confirmed_at
        return age > STALE_AFTER

    def is_behind(self) -> bool:
        """Returns whether a newer change is known to be accepted."""
        return self._newest_accepted > self._snapshot.sequence

    def get_read_age(self) -> datetime.timedelta | None:
        """Returns the time since the last read of the head, None if never."""
        if self._read_at is None:
            return None
        return self._clock.monotonic() - self._read_at

    def record_accepted(self, sequence: int) -> None:
        """Records that the change with this sequence number was accepted."""
        self._newest_accepted = max(self._newest_accepted, sequence)

    def record_contact(self, seen_at: datetime.timedelta) -> None:
        """Records contact with the table service or with most peers.

        The contact is ignored while this daemon has no configuration or lacks
        a change that it knows to be accepted: it does not confirm that the
        configuration in force is the newest.

        Args:
            seen_at: monotonic time of the contact.
        """
        if not self._has_config or self.is_behind():
            return
        if self._confirmed_at is None or seen_at > self._confirmed_at:
            self._confirmed_at = seen_at

    def apply_changes(self, changes: list[model.Change]) -> None:
        """Applies the changes that are next in sequence; ignores all others."""
        for change in sorted(changes, key=lambda item: item.sequence):
            applied = self._snapshot.apply(change)
            if applied is self._snapshot:
                continue
            self._snapshot = applied
            self._has_config = True  # sequence 1 is the first change of all
            self._keep_recent(change)
            eliot.log_message(
                "config:applied",
                sequence=change.sequence,
                service=change.service.name,
                version=change.version,
            )

    def merge_snapshot(self, snapshot: model.Snapshot) -> None:
        """Merges a snapshot, service by service; never reverts a service.

        Args:
            snapshot: a snapshot read from the table service or received from
                a daemon that has loaded its configuration. Hence an empty
                snapshot means that no change has been accepted yet.
        """
        self._snapshot = self._snapshot.merge(snapshot)
        self._has_config = True

    def get_changes_after(self, sequence: int) -> list[model.Change] | None:
        """Returns the changes after a sequence number, in order.

        Returns None if some of them are no longer kept; the caller then needs
        the whole snapshot.
        """
        sequences = range(sequence + 1, self._snapshot.sequence + 1)
        if any(number not in self._recent_changes for number in sequences):
            return None
        return [self._recent_changes[number] for number in sequences]

    def poll_once(self) -> bool:
        """Reads the head row and loads all newer changes.

        Returns:
            Whether the configuration advanced.

        Raises:
            TableError: the table could not be read, or changes that it lost
                could not be written again.
        """
        started_at = self._clock.monotonic()
        sequence_before = self._snapshot.sequence
        head = acceptance.read_head(self._table)
        if head.sequence < sequence_before:
            self._restore_lost(head.sequence, sequence_before)
        self.record_accepted(head.sequence)
        behind = head.sequence - self._snapshot.sequence
        if not self._has_config or behind > RECENT_CHANGES:
            self.merge_snapshot(self._read_snapshot(head))
        elif behind > 0:
            after = keys.change_key(self._snapshot.sequence)
            rows = self._table.scan(keys.CHANGE_PREFIX, after, RECENT_CHANGES)
            try:
                changes = [row.decode(model.Change) for row in rows]
            except table_module.UnreadableRowError as error:
                # The rows of the services have the result of all changes.
                eliot.log_message("config:change_skipped", reason=str(error))
                self.merge_snapshot(self._read_snapshot(head))
            else:
                self.apply_changes(changes)
        self._read_at = started_at
        self.record_contact(started_at)
        return self._snapshot.sequence > sequence_before

    def _restore_lost(self, head: int, before: int) -> None:
        """Writes changes again that were in force before the head was read."""
        changes = self.get_changes_after(head) or []
        known = [change for change in changes if change.sequence <= before]
        is_restored = bool(known) and acceptance.restore(
            self._table, self._clock, known
        )
        eliot.log_message(
            "config:changes_lost",
            head=head,
            in_force=before,
            is_restored=is_restored,
        )

    def _read_snapshot(self, head: model.Head) -> model.Snapshot:
        # The head row is read before the service rows, so a service row may
        # be newer than the head. Its own sequence number then prevents the
        # changes up to that number from replacing it by an older version.
        rows = table_module.read_all(self._table, keys.SERVICE_PREFIX)
        versions = [row.decode(model.ServiceVersion) for row in rows]
        return model.Snapshot(
            sequence=head.sequence,
            services={item.service.name: item for item in versions},
        )

    def _keep_recent(self, change: model.Change) -> None:
        self._recent_changes[change.sequence] = change
        self._recent_changes.pop(change.sequence - RECENT_CHANGES, None)

    def poll_if_due(self) -> None:
        """Polls if this daemon is to read the head row in this interval."""
        try:
            if self._should_read() and self.poll_once():
                self._announce()
        except table_module.TableError as error:
            eliot.log_message("config:poll_failed", reason=str(error))

    def _run_poll_loop(self) -> None:
        while True:
            self._clock.sleep(POLL_INTERVAL)
            self.poll_if_due()
