"""Lease decisions as pure functions of the row, the observation and the time.

The protocol follows Gray and Cheriton (1989). Clocks of different machines are
never compared. A candidate acquires a lease only after it has observed the row
unchanged for a whole term on its own monotonic clock, unless the holder is
known to be lost. A holder counts its term from the time before it sent the
renewal, and stops acting a guard interval before the term ends.
"""

import dataclasses
import datetime
import typing

import msgspec

from arbutuscove.kernel import decoding

TERM = datetime.timedelta(seconds=6)
RENEW_INTERVAL = datetime.timedelta(seconds=2)
# Covers the delay between a check of the lease and the effect.
GUARD = datetime.timedelta(seconds=1)
# Orders sent by the previous holder may be in flight for this long.
ORDER_TIMEOUT = datetime.timedelta(seconds=2)
# Leaves 20 bits of a signed integer of 64 bits to numbers below an epoch.
MAX_EPOCH = 2**43 - 1

_Epoch = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_EPOCH)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Terms:
    """Timing parameters of a lease.

    `order_timeout` is how long an order of the previous holder may take effect
    after a change of holder; it is zero where upstreams check fencing tokens.
    A holder that could not renew its lease for `resign_after` resigns.
    """

    term: datetime.timedelta = TERM
    renew_interval: datetime.timedelta = RENEW_INTERVAL
    guard: datetime.timedelta = GUARD
    order_timeout: datetime.timedelta = ORDER_TIMEOUT
    resign_after: datetime.timedelta = TERM


DEFAULT_TERMS = Terms()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRow:
    """A lease row; the epoch increases with each change of holder."""

    holder: decoding.Text
    epoch: _Epoch
    renewals: decoding.Count


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """A version of the row, and when this daemon first read it."""

    row_version: int
    row: LeaseRow | None
    first_seen: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldLease:
    """A lease that this process holds until `expires`.

    The holder may start effects from `effective_from` on. Both are monotonic
    times.
    """

    epoch: int
    effective_from: datetime.timedelta
    expires: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Renew:
    """Renew the lease by writing this row."""

    row: LeaseRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TakeOver:
    """Acquire the lease by writing this row."""

    row: LeaseRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Wait:
    """Write nothing, since another process may hold the lease."""


Action = Renew | TakeOver | Wait


def observe(
    previous: Observation | None,
    row_version: int,
    row: LeaseRow | None,
    now: datetime.timedelta,
) -> Observation:
    """Updates an observation after a read of the row.

    Args:
        previous: the observation before, if any.
        row_version: version of the row that was read.
        row: the row that was read, or None if it does not exist.
        now: monotonic time of the read.

    Returns:
        The previous observation if the version is unchanged, else a new one.
    """
    if previous is not None and previous.row_version == row_version:
        return previous
    return Observation(row_version=row_version, row=row, first_seen=now)


def decide(
    observation: Observation,
    held: HeldLease | None,
    candidate: str,
    now: datetime.timedelta,
    terms: Terms = DEFAULT_TERMS,
    is_holder_lost: bool = False,
) -> Action:
    """Decides whether to renew, acquire or wait for a lease.

    Args:
        observation: the row as last read.
        held: the lease that this process holds, or None. A row that names this
            candidate while `held` is None does not count as its own, since an
            earlier process may have written it.
        candidate: the identity of this process.
        now: monotonic time.
        terms: timing parameters of the lease.
        is_holder_lost: whether the holder is known to act under its epoch no
            longer, or to be unresponsive while upstreams check fencing tokens,
            so that its term need not pass first.

    Returns:
        The action, with the row to write.
    """
    row = observation.row
    if row is None:
        return TakeOver(row=LeaseRow(holder=candidate, epoch=1, renewals=0))
    if held is not None and _is_own(row, held, candidate):
        renewed = dataclasses.replace(row, renewals=row.renewals + 1)
        return Renew(row=renewed)
    if now - observation.first_seen < terms.term and not is_holder_lost:
        return Wait()
    return TakeOver(
        row=LeaseRow(holder=candidate, epoch=row.epoch + 1, renewals=0)
    )


def compute_held_lease(
    action: Renew | TakeOver,
    sent: datetime.timedelta,
    held: HeldLease | None,
    terms: Terms = DEFAULT_TERMS,
) -> HeldLease:
    """Computes the lease that is held once the write was confirmed.

    Args:
        action: the write.
        sent: monotonic time before the write was sent.
        held: the lease held before, or None.
        terms: timing parameters of the lease.

    Returns:
        The lease. A renewal keeps the time from which effects may start.
    """
    match action:
        case Renew(row=row) if held is not None:
            return dataclasses.replace(
                held, epoch=row.epoch, expires=sent + terms.term
            )
        case Renew(row=row) | TakeOver(row=row):
            return HeldLease(
                epoch=row.epoch,
                effective_from=sent + terms.order_timeout,
                expires=sent + terms.term,
            )


def may_act(
    held: HeldLease | None,
    now: datetime.timedelta,
    terms: Terms = DEFAULT_TERMS,
) -> bool:
    """Returns whether this process may start an effect at `now`.

    Args:
        held: the lease that this process holds, or None.
        now: monotonic time.
        terms: timing parameters of the lease.
    """
    if held is None:
        return False
    return held.effective_from <= now < held.expires - terms.guard


def _is_own(row: LeaseRow, held: HeldLease, candidate: str) -> bool:
    return row.holder == candidate and row.epoch == held.epoch
