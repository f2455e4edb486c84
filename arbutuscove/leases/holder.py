"""Takes and renews the leases on this daemon's candidate duties."""

import datetime
import typing

import eliot
import msgspec

from arbutuscove.audit import trail
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.leases import lease
from arbutuscove.storage import table as table_module

SERVICE_NAME = "leases"
ROW_PREFIX = "lease/"


class Peers(typing.Protocol):
    """What other daemons say about duties; hints that save calls and time."""

    def holds(self, duty: str) -> bool:
        """Returns whether a live daemon says that it holds the duty."""

    def is_lost(self, identity: str, epoch: int) -> bool:
        """Returns whether a holder fell silent, ended or gave its epoch up."""


class _SilentPeers:
    """Peers that say nothing."""

    def holds(self, duty: str) -> bool:
        return False

    def is_lost(self, identity: str, epoch: int) -> bool:
        return False


class LeaseHolder(services.LoopService):
    """Holds leases for one process; `identity` is unique to the process."""

    def __init__(
        self,
        identity: str,
        table: table_module.Table,
        clock: clock_module.Clock,
        lag: loop.LagMonitor,
        terms: lease.Terms = lease.DEFAULT_TERMS,
        peers: Peers | None = None,
    ) -> None:
        self._identity = identity
        self._table = table
        self._clock = clock
        self._lag = lag
        self._terms = terms
        self._peers = peers or _SilentPeers()
        self._duties: set[str] = set()
        self._observed: dict[str, lease.Observation] = {}
        self._held: dict[str, lease.Held] = {}
        self._draining = False
        # The highest epoch that this process gave up before its end.
        self._resigned: dict[str, int] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Begins to take and renew leases."""
        self.run_loop(self._run)

    def drain(self) -> None:
        """Stops renewing; others take over when the term has passed."""
        self._draining = True
        self._held.clear()

    def register_candidate(self, duty: str) -> None:
        """Makes this process a candidate for a duty."""
        self._duties.add(duty)

    def get_active_epoch(self, duty: str) -> int | None:
        """Returns the fencing epoch if effects may start now, else None.

        Callers ask immediately before each effect, because the process may
        have been paused since it last asked.
        """
        # A renewal in progress may be confirmed after `drain`.
        if self._draining:
            return None
        held = self._held.get(duty)
        if not lease.may_act(held, self._clock.monotonic(), self._terms):
            return None
        return None if held is None else held.epoch

    def get_resigned_epoch(self, duty: str) -> int:
        """Returns the highest epoch that this process gave up; 0 for none.

        It starts no effect under it any more, so that others need not wait
        until the term has passed.
        """
        return self._resigned.get(duty, 0)

    def resign_if_overdue(self, duty: str) -> None:
        """Gives a lease up that could not be renewed for some time.

        A holder that alone is cut off from the table would keep everybody else
        from the duty until its term has passed.
        """
        held = self._held.get(duty)
        if held is None:
            return
        renewed = held.expires - self._terms.term
        if self._clock.monotonic() - renewed < self._terms.resign_after:
            return
        del self._held[duty]
        self._resigned[duty] = held.epoch
        eliot.log_message("lease:resigned", duty=duty, epoch=held.epoch)

    def get_last_row(self, duty: str) -> lease.LeaseRow | None:
        """Returns the lease row as last read or written; it may be outdated."""
        observation = self._observed.get(duty)
        held = self._held.get(duty)
        row = None if observation is None else observation.row
        if held is not None and (row is None or row.epoch <= held.epoch):
            return lease.LeaseRow(
                holder=self._identity, epoch=held.epoch, renewals=0
            )
        return row

    def step(self, duty: str) -> None:
        """Reads one lease row and writes it if this process should.

        Raises:
            TableError: the row could not be read or written.
        """
        row = self._table.read(ROW_PREFIX + duty)
        version = table_module.ABSENT if row is None else row.version
        value = None if row is None else row.decode(lease.LeaseRow)
        now = self._clock.monotonic()
        observation = lease.observe(
            self._observed.get(duty), version, value, now
        )
        self._observed[duty] = observation
        held = self._held.get(duty)
        lost = value is not None and self._is_given_up(duty, value)
        match lease.decide(
            observation, held, self._identity, now, self._terms, lost
        ):
            case lease.Wait():
                self._held.pop(duty, None)
            case lease.Renew() | lease.TakeOver() as action:
                self._write(duty, version, action)

    def _is_given_up(self, duty: str, row: lease.LeaseRow) -> bool:
        """Returns whether the holder in a row acts under its epoch no more."""
        if row.holder == self._identity:
            return row.epoch <= self.get_resigned_epoch(duty)
        return self._peers.is_lost(row.holder, row.epoch)

    def _write(
        self, duty: str, version: int, action: lease.Renew | lease.TakeOver
    ) -> None:
        key = ROW_PREFIX + duty
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(
                table_module.Write(
                    key=key, value=msgspec.to_builtins(action.row)
                ),
            ),
        )
        if isinstance(action, lease.TakeOver):
            transaction = self._audit(duty, action, transaction)
        sent = self._clock.monotonic()
        if table_module.commit(self._table, transaction, self._clock).is_ok():
            granted = lease.grant(
                action, sent, self._held.get(duty), self._terms
            )
            self._held[duty] = granted
        else:
            self._held.pop(duty, None)

    def _audit(
        self,
        duty: str,
        action: lease.TakeOver,
        transaction: table_module.Transaction,
    ) -> table_module.Transaction:
        epoch = action.row.epoch
        eliot.log_message("lease:take_over", duty=duty, epoch=epoch)
        entry = trail.Entry(
            actor=self._identity,
            action="lease.taken",
            subject=duty,
            before=str(epoch - 1),
            after=str(epoch),
            reason="the row was absent or unchanged for a whole term",
            time=self._clock.now(),
        )
        return trail.append_to(self._table, transaction, duty, entry)

    def _run(self) -> None:
        pause = datetime.timedelta(0)
        while not self._draining:
            self._clock.sleep(pause)
            pause = self._terms.renew_interval
            if self._lag.lag() > loop.RELEASE_LAG:
                continue
            for duty in sorted(self._duties):
                if duty not in self._held and self._peers.holds(duty):
                    continue
                try:
                    self.step(duty)
                except table_module.TableError as error:
                    eliot.log_message(
                        "lease:step_failed", duty=duty, reason=str(error)
                    )
                    self.resign_if_overdue(duty)
