"""Lease decisions as pure functions of (row, observation, time).

After Gray and Cheriton (1989). No clock of another machine is compared: a
candidate takes a lease over only after it has seen the row unchanged for a
whole term on its own monotonic clock, and a holder counts its term from
before it sent the renewal and stops a guard interval earlier.
"""

import dataclasses
import datetime

TERM = datetime.timedelta(seconds=6)
RENEW_INTERVAL = datetime.timedelta(seconds=2)
GUARD = datetime.timedelta(seconds=1)  # covers a check-to-effect delay
# Orders sent by the former holder may still be in flight for this long.
ORDER_TIMEOUT = datetime.timedelta(seconds=2)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Times of a lease.

    `order_timeout` is how long an order of the former holder may still take
    effect after a change of holder; zero where upstreams check fencing tokens.
    A holder that could not renew for `resign_after` gives the lease up.
    """

    term: datetime.timedelta = TERM
    renew_interval: datetime.timedelta = RENEW_INTERVAL
    guard: datetime.timedelta = GUARD
    order_timeout: datetime.timedelta = ORDER_TIMEOUT
    resign_after: datetime.timedelta = TERM


DEFAULT_TERMS = Terms()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRow:
    """A lease row: the epoch grows with each change of holder."""

    holder: str
    epoch: int
    renewals: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """A row version and when this daemon first saw it."""

    row_version: int
    row: LeaseRow | None
    first_seen: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Held:
    """A lease held until `expires`; effects may start at `effective_from`."""

    epoch: int
    effective_from: datetime.timedelta
    expires: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renew:
    """Write this row to keep the lease."""

    row: LeaseRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TakeOver:
    """Write this row to become the holder."""

    row: LeaseRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Leave the lease to its holder."""


Action = Renew | TakeOver | Wait


def observe(
    previous: Observation | None,
    row_version: int,
    row: LeaseRow | None,
    now: datetime.timedelta,
) -> Observation:
    """Returns the observation after reading the row at `now`."""
    if previous is not None and previous.row_version == row_version:
        return previous
    return Observation(row_version=row_version, row=row, first_seen=now)


def decide(
    observation: Observation,
    held: Held | None,
    candidate: str,
    now: datetime.timedelta,
    terms: Terms = DEFAULT_TERMS,
    holder_lost: bool = False,
) -> Action:
    """Returns what a daemon does about a lease.

    Args:
        observation: the row as last seen.
        held: what this process holds, or None. A row that names this
            candidate without `held` was written by an earlier process.
        candidate: the identity of this process.
        now: monotonic time.
        terms: times of the lease.
        holder_lost: the holder is known to be silent and upstreams check
            fencing tokens, so that its term need not be waited out.
    """
    row = observation.row
    if row is None:
        return TakeOver(row=LeaseRow(holder=candidate, epoch=1, renewals=0))
    if held is not None and _is_own(row, held, candidate):
        renewed = dataclasses.replace(row, renewals=row.renewals + 1)
        return Renew(row=renewed)
    if now - observation.first_seen < terms.term and not holder_lost:
        return Wait()
    return TakeOver(
        row=LeaseRow(holder=candidate, epoch=row.epoch + 1, renewals=0)
    )


def grant(
    action: Renew | TakeOver,
    sent: datetime.timedelta,
    held: Held | None,
    terms: Terms = DEFAULT_TERMS,
) -> Held:
    """Returns the lease held after the write was confirmed.

    Args:
        action: the write.
        sent: monotonic time before the write was sent.
        held: the lease held before.
        terms: times of the lease.
    """
    match action:
        case Renew(row=row) if held is not None:
            return dataclasses.replace(
                held, epoch=row.epoch, expires=sent + terms.term
            )
        case Renew(row=row) | TakeOver(row=row):
            return Held(
                epoch=row.epoch,
                effective_from=sent + terms.order_timeout,
                expires=sent + terms.term,
            )


def may_act(
    held: Held | None,
    now: datetime.timedelta,
    terms: Terms = DEFAULT_TERMS,
) -> bool:
    """Returns whether the holder may start an effect at `now`."""
    if held is None:
        return False
    return held.effective_from <= now < held.expires - terms.guard


def _is_own(row: LeaseRow, held: Held, candidate: str) -> bool:
    return row.holder == candidate and row.epoch == held.epoch
