"""Lease decisions as pure functions of the row, the observation and the time.

The protocol follows Gray and Cheriton (1989). Clocks of different machines are
never compared. A candidate acquires a lease only after it has observed the row
unchanged for a whole term on its own monotonic clock, unless the holder is
known to be lost. A holder counts its term from the time before it sent the
renewal, and stops acting a guard interval before the term ends.

The table may come back from an older copy and lose what it acknowledged; its
era then rises. The era is in the high bits of an epoch, so that no epoch is
given out again, and each era has a row of its own, so that a late write of an
earlier era does not replace it.
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
# Low bits of an epoch, which count the changes of holder in one era. An epoch
# has 33 bits: 20 more number the groups of a holder, and some decoders of JSON
# round numbers of more than 53 bits.
ERA_SHIFT = 17
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
    era: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class HeldLease:
    """A lease that this process holds until `expires`.

    The holder may start effects from `effective_from` on. Both are monotonic
    times. It holds the lease only while the table is in `era`.
    """

    epoch: int
    effective_from: datetime.timedelta
    expires: datetime.timedelta
    era: int = 0


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
    era: int = 0,
) -> Observation:
    """Updates an observation after a read of the row.

    Args:
        previous: the observation before, if any.
        row_version: version of the row that was read.
        row: the row that was read, or None if it does not exist.
        now: monotonic time of the read.
        era: era of the table at the read.

    Returns:
        The previous observation if the version is unchanged in the same era,
        else a new one.
    """
    if (
        previous is not None
        and previous.row_version == row_version
        and previous.era == era
    ):
        return previous
    return Observation(
        row_version=row_version, row=row, first_seen=now, era=era
    )


def decide(
    observation: Observation,
    held: HeldLease | None,
    candidate: str,
    now: datetime.timedelta,
    terms: Terms = DEFAULT_TERMS,
    is_holder_lost: bool = False,
    may_be_held: bool = False,
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
        may_be_held: whether another process may hold the lease although there
            is no row, since it took the lease in an earlier era of the table.

    Returns:
        The action, with the row to write.
    """
    row = observation.row
    if held is not None and row is not None and _is_own(row, held, candidate):
        renewed = dataclasses.replace(row, renewals=row.renewals + 1)
        return Renew(row=renewed)
    must_wait = may_be_held if row is None else not is_holder_lost
    if must_wait and now - observation.first_seen < terms.term:
        return Wait()
    epoch = compute_next_epoch(row, observation.era)
    return TakeOver(row=LeaseRow(holder=candidate, epoch=epoch, renewals=0))


def compute_next_epoch(row: LeaseRow | None, era: int) -> int:
    """Returns the epoch of the next holder, which no holder has had.

    Args:
        row: the row of this era, or None if there is none.
        era: era of the table; 0 if it reports none.

    Example:
        >>> compute_next_epoch(None, 0)
        1
        >>> compute_next_epoch(None, 2) >> ERA_SHIFT
        2
    """
    return max(era << ERA_SHIFT, 0 if row is None else row.epoch) + 1


def is_first_of_era(epoch: int) -> bool:
    """Returns whether an epoch is that of the first holder in its era.

    Example:
        >>> is_first_of_era(compute_next_epoch(None, 2))
        True
    """
    return epoch & ((1 << ERA_SHIFT) - 1) == 1


def compute_held_lease(
    action: Renew | TakeOver,
    sent: datetime.timedelta,
    held: HeldLease | None,
    terms: Terms = DEFAULT_TERMS,
    era: int = 0,
) -> HeldLease:
    """Computes the lease that is held once the write was confirmed.

    Args:
        action: the write.
        sent: monotonic time before the write was sent.
        held: the lease held before, or None.
        terms: timing parameters of the lease.
        era: era of the table at the write.

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
                era=era,
            )


def may_act(
    held: HeldLease | None,
    now: datetime.timedelta,
    terms: Terms = DEFAULT_TERMS,
    era: int = 0,
) -> bool:
    """Returns whether this process may start an effect at `now`.

    Args:
        held: the lease that this process holds, or None.
        now: monotonic time.
        terms: timing parameters of the lease.
        era: newest known era of the table.
    """
    if held is None or held.era != era:
        return False
    return held.effective_from <= now < held.expires - terms.guard


def _is_own(row: LeaseRow, held: HeldLease, candidate: str) -> bool:
    return row.holder == candidate and row.epoch == held.epoch
