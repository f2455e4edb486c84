"""Acquisition and renewal of the leases on this daemon's candidate duties.

A duty is a control task that the holder of the lease on it performs.
"""

import datetime
import typing
from collections import abc

import eliot
import msgspec

from arbutuscove.audit import keeper
from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.leases import lease
from arbutuscove.storage import table as table_module

SERVICE_NAME = "leases"
ROW_PREFIX = "lease/"
ERA_SEPARATOR = "@"


class Peers(typing.Protocol):
    """Reports of other daemons about duties.

    They are hints that save reads of the table and shorten a change of holder.
    """

    def must_defer(self, duty: str) -> bool:
        """Returns whether this process must not apply for the duty yet.

        That is so while a live daemon reports that it holds the duty, and may
        be so while other candidates precede this one.
        """

    def is_holder_lost(self, identity: str, epoch: int) -> bool:
        """Returns whether a lease holder is unresponsive, ended or resigned.

        Args:
            identity: identity of the process that holds the lease.
            epoch: epoch of the lease, which is its fencing token.
        """


class _NoPeers:
    """Peers without any report."""

    def must_defer(self, duty: str) -> bool:
        return False

    def is_holder_lost(self, identity: str, epoch: int) -> bool:
        return False


class LeaseHolder(services.LoopService):
    """Acquires and renews leases for one process.

    `identity` is unique to the process.
    """

    def __init__(
        self,
        identity: str,
        table: table_module.Table,
        clock: clock_module.Clock,
        lag: loop.LagMonitor,
        terms: lease.Terms = lease.DEFAULT_TERMS,
        peers: Peers | None = None,
        get_era: abc.Callable[[], int] = lambda: 0,
    ) -> None:
        self._identity = identity
        self._table = table
        self._clock = clock
        self._lag = lag
        self._terms = terms
        self._peers = peers or _NoPeers()
        # The newest known era of the table; 0 while unknown, or if it has none.
        self._get_era = get_era
        self._entries = keeper.EntryKeeper(table, clock, get_era)
        self._candidate_duties: set[str] = set()
        self._observed: dict[str, lease.Observation] = {}
        self._held: dict[str, lease.HeldLease] = {}
        # By duty, the newest rows that are known of earlier eras.
        self._former_rows: dict[str, lease.LeaseRow] = {}
        self._is_draining = False
        # By duty, the highest epoch from which this process resigned before its
        # term ended.
        self._resigned_epochs: dict[str, int] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Starts the loop that acquires and renews leases."""
        self.run_loop(self._run)

    def drain(self) -> None:
        """Stops acting and renewing.

        Other candidates acquire the leases after the term has passed.
        """
        self._is_draining = True
        self._held.clear()

    def register_candidate(self, duty: str) -> None:
        """Makes this process a candidate for a duty."""
        self._candidate_duties.add(duty)

    def get_active_epoch(self, duty: str) -> int | None:
        """Returns the fencing epoch if effects may start now, else None.

        Callers must check it immediately before each effect, because the
        process may have been paused since the previous check.
        """
        # A renewal in flight may be confirmed after `drain`.
        if self._is_draining:
            return None
        held = self._held.get(duty)
        if not lease.may_act(
            held, self._clock.monotonic(), self._terms, self._get_era()
        ):
            return None
        return None if held is None else held.epoch

    def get_resigned_epoch(self, duty: str) -> int:
        """Returns the highest epoch from which this process resigned, or 0.

        The process starts no more effects under that epoch, so that other
        candidates need not wait until the term has passed.
        """
        return self._resigned_epochs.get(duty, 0)

    def resign_if_overdue(self, duty: str) -> None:
        """Resigns from a lease that could not be renewed for `resign_after`.

        Otherwise, if only the holder is disconnected from the table, nobody
        could perform the duty until its term has passed.
        """
        held = self._held.get(duty)
        if held is None:
            return
        renewed = held.expires - self._terms.term
        if self._clock.monotonic() - renewed < self._terms.resign_after:
            return
        del self._held[duty]
        self._resigned_epochs[duty] = held.epoch
        eliot.log_message("lease:resigned", duty=duty, epoch=held.epoch)

    def get_last_row(self, duty: str) -> lease.LeaseRow | None:
        """Returns the lease row as last read or written; it may be stale."""
        observation = self._observed.get(duty)
        held = self._held.get(duty)
        row = None if observation is None else observation.row
        if held is not None and (row is None or row.epoch <= held.epoch):
            return lease.LeaseRow(
                holder=self._identity, epoch=held.epoch, renewals=0
            )
        return row

    def step(self, duty: str) -> None:
        """Reads a lease row, and renews or acquires the lease if due.

        Args:
            duty: the duty that the lease is on.

        Raises:
            TableError: the row could not be read or written.
        """
        era = self._get_era()
        row = self._table.read(build_key(duty, era))
        if era != self._get_era():
            # The first answer names the era, or the table came back older.
            era = self._get_era()
            row = self._table.read(build_key(duty, era))
        version = table_module.ABSENT if row is None else row.version
        value = None if row is None else row.decode(lease.LeaseRow)
        self._note_former(duty, era)
        now = self._clock.monotonic()
        observation = lease.observe(
            self._observed.get(duty), version, value, now, era
        )
        self._observed[duty] = observation
        held = self._held.get(duty)
        is_holder_lost = value is not None and self._is_holder_lost(duty, value)
        may_be_held = value is None and self._may_be_held(duty, era, held, now)
        match lease.decide(
            observation,
            held if held is not None and held.era == era else None,
            self._identity,
            now,
            self._terms,
            is_holder_lost,
            may_be_held,
        ):
            case lease.Wait():
                self._held.pop(duty, None)
            case lease.Renew() | lease.TakeOver() as action:
                self._write(duty, version, action, era)

    def _note_former(self, duty: str, era: int) -> None:
        """Remembers the last known row of the eras before this one."""
        observation = self._observed.get(duty)
        row = self.get_last_row(duty)
        if observation is None or observation.era >= era or row is None:
            return
        former = self._former_rows.get(duty)
        if former is None or row.epoch > former.epoch:
            self._former_rows[duty] = row

    def _may_be_held(
        self,
        duty: str,
        era: int,
        held: lease.HeldLease | None,
        now: datetime.timedelta,
    ) -> bool:
        """Returns whether another process may hold a lease without a row.

        The row of an earlier era may be gone while its holder still acts; that
        holder itself goes on at once.

        Raises:
            TableError: the rows of earlier eras could not be read.
        """
        if held is not None and held.era < era and now < held.expires:
            return False
        rows = [
            row.decode(lease.LeaseRow)
            for row in self._table.scan(ROW_PREFIX + duty)
            if _is_key_of(row.key, duty) and row.key != build_key(duty, era)
        ]
        if duty in self._former_rows:
            rows.append(self._former_rows[duty])
        if not rows:
            return False
        newest = max(rows, key=lambda row: row.epoch)
        return not self._is_holder_lost(duty, newest)

    def _is_holder_lost(self, duty: str, row: lease.LeaseRow) -> bool:
        """Returns whether the holder in a row need not be waited for.

        This process resigned from that epoch itself, or its peers report that
        the holder is unresponsive, ended or resigned.
        """
        if row.holder == self._identity:
            return row.epoch <= self.get_resigned_epoch(duty)
        return self._peers.is_holder_lost(row.holder, row.epoch)

    def _write(
        self,
        duty: str,
        version: int,
        action: lease.Renew | lease.TakeOver,
        era: int,
    ) -> None:
        key = build_key(duty, era)
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(
                table_module.Write(
                    key=key, value=msgspec.to_builtins(action.row)
                ),
            ),
        )
        entry = None
        if isinstance(action, lease.TakeOver):
            entry = self._build_audit_entry(duty, action)
            transaction = trail.append_entry(
                self._table, transaction, duty, entry
            )
        sent = self._clock.monotonic()
        outcome = table_module.commit(self._table, transaction, self._clock)
        # A row that was written before or after a change of era counts for
        # nothing: it is gone, or nobody reads its key.
        if outcome.is_ok() and entry is not None:
            self._entries.remember(duty, entry, era)
        if outcome.is_ok() and self._get_era() == era:
            new_lease = lease.compute_held_lease(
                action, sent, self._held.get(duty), self._terms, era
            )
            self._held[duty] = new_lease
        else:
            self._held.pop(duty, None)

    def _build_audit_entry(
        self, duty: str, action: lease.TakeOver
    ) -> trail.Entry:
        epoch = action.row.epoch
        eliot.log_message("lease:take_over", duty=duty, epoch=epoch)
        former = self.get_last_row(duty) or self._former_rows.get(duty)
        return trail.Entry(
            actor=self._identity,
            action="lease.taken",
            subject=duty,
            before=str(0 if former is None else former.epoch),
            after=str(epoch),
            reason="the row was absent or unchanged for a whole term",
            time=self._clock.now(),
        )

    def restore_entries(self) -> None:
        """Writes audit entries again that the table lost.

        Raises:
            TableError: an entry may not have been written.
        """
        self._entries.write_again()

    def _run(self) -> None:
        pause = datetime.timedelta(0)
        while not self._is_draining:
            self._clock.sleep(pause)
            pause = self._terms.renew_interval
            if self._lag.get_lag() > loop.RELEASE_LAG:
                continue
            for duty in sorted(self._candidate_duties):
                if duty not in self._held and self._peers.must_defer(duty):
                    continue
                try:
                    self.step(duty)
                except table_module.TableError as error:
                    eliot.log_message(
                        "lease:step_failed", duty=duty, reason=str(error)
                    )
                    self.resign_if_overdue(duty)
            try:
                self.restore_entries()
            except table_module.TableError as error:
                eliot.log_message("lease:not_audited", reason=str(error))


def build_key(duty: str, era: int) -> str:
    """Returns the key of a lease row, which is another one in each era.

    Example:
        >>> build_key("groups", 0), build_key("groups", 2)
        ('lease/groups', 'lease/groups@2')
    """
    return ROW_PREFIX + duty + (f"{ERA_SEPARATOR}{era}" if era else "")


def _is_key_of(key: str, duty: str) -> bool:
    name, _, era = key.removeprefix(ROW_PREFIX).partition(ERA_SEPARATOR)
    return name == duty and (not era or era.isdecimal())
