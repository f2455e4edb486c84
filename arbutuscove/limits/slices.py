"""Allocation of a token budget to daemons in slices, as pure functions.

A budget is the number of tokens that a service may spend in one period. Each
rank has a row with the tokens drawn against its ceiling, and a total row
bounds the sum over all ranks. A daemon draws a slice by adding to both rows in
one transaction, and reserves tokens for requests from its slice in memory
(escrow, O'Neil 1986). Drawn tokens count as spent until a graceful stop returns
them. A daemon that dies or pauses, or a draw whose confirmation is lost, can
therefore only strand tokens and never cause spend over the limit.

Bounds: the tokens drawn never exceed the limit, since each draw is a
transaction on both rows. The tokens of one daemon, free or reserved, never
exceed the slice size (or the size of a single larger request), so at most the
number of daemons times the slice size is stranded.
"""

import dataclasses
import datetime
import math

KEY_PREFIX = "budget/"
# Last part of the key of the total row; no rank has this name.
TOTAL_KEY_PART = "*"
# Interval between two draws of a rank at its current usage rate.
DRAW_INTERVAL = datetime.timedelta(seconds=120)
# Table outage that the slice of the urgent rank must cover.
URGENT_OUTAGE_COVERAGE = datetime.timedelta(minutes=10)
REFILL_FRACTION = 0.5  # a slice is refilled below this fraction of its size
# Higher, because the urgent slice must stay nearly full to cover an outage.
URGENT_REFILL_FRACTION = 0.8
SLICE_DIVISOR = 20  # a slice is at most 1/20 of the tokens left to the rank
MIN_SLICE_TOKENS = 4096  # some requests, so that not every request draws
USAGE_HALF_LIFE = datetime.timedelta(minutes=2)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetRow:
    """Stored row: the limit at the last draw and the tokens drawn so far."""

    limit: int
    drawn: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slice:
    """Tokens of one period and rank that are allocated to this daemon.

    `free` tokens are available to new reservations; `reserved` tokens belong
    to requests in progress.
    """

    period: str
    free: int = 0
    reserved: int = 0

    def count_held(self) -> int:
        """Returns the tokens that are stranded if this daemon dies."""
        return self.free + self.reserved


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DecayingUsage:
    """Exponentially decaying sum of reserved tokens at a monotonic time."""

    tokens: float = 0.0
    at: datetime.timedelta = datetime.timedelta()

    def add(self, tokens: int, now: datetime.timedelta) -> "DecayingUsage":
        """Returns the usage after a reservation of `tokens`."""
        return DecayingUsage(tokens=self._compute_decayed(now) + tokens, at=now)

    def compute_rate(self, now: datetime.timedelta) -> float:
        """Returns the recent usage rate in tokens per second."""
        # A steady rate r converges to a sum of r * half-life / ln 2.
        return (
            self._compute_decayed(now)
            * math.log(2)
            / USAGE_HALF_LIFE.total_seconds()
        )

    def _compute_decayed(self, now: datetime.timedelta) -> float:
        return self.tokens * 0.5 ** ((now - self.at) / USAGE_HALF_LIFE)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draw:
    """Tokens to draw and the two rows after the draw."""

    tokens: int
    total: BudgetRow
    rank: BudgetRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exhausted:
    """The budget has fewer tokens left than the draw needs."""


def get_period_name(now: datetime.datetime, length: datetime.timedelta) -> str:
    """Returns the name of the budget period at a wall-clock time.

    Daemons whose clocks differ may be in different periods around a boundary.
    Each period has rows of its own, so the limit of none is exceeded.

    Example:
        >>> noon = datetime.datetime(2026, 1, 2, 12, tzinfo=datetime.UTC)
        >>> get_period_name(noon, datetime.timedelta(days=1))
        '20260102T000000Z.86400'
    """
    epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
    start = epoch + (now - epoch) // length * length
    return f"{start:%Y%m%dT%H%M%SZ}.{int(length.total_seconds())}"


def compute_time_left_in_period(
    now: datetime.datetime, length: datetime.timedelta
) -> datetime.timedelta:
    """Returns the time until the next budget period.

    Example:
        >>> noon = datetime.datetime(2026, 1, 2, 12, tzinfo=datetime.UTC)
        >>> compute_time_left_in_period(noon, datetime.timedelta(days=1))
        datetime.timedelta(seconds=43200)
    """
    epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
    return length - (now - epoch) % length


def compute_ceiling(limit: int, share: float) -> int:
    """Returns the tokens of a limit that a rank may draw.

    Example:
        >>> compute_ceiling(1000, 0.3)
        300
    """
    # The share is a decimal from the configuration; rounding to parts per
    # million keeps 0.3 from becoming 0.29999.
    return limit * round(share * 1_000_000) // 1_000_000


def compute_slice_size(rate: float, urgent: bool) -> int:
    """Returns the target size of a slice, in tokens, at a usage rate.

    The urgent rank's slice still covers an outage when it has fallen to the
    level at which it is refilled.

    Args:
        rate: recent usage in tokens per second.
        urgent: whether the slice belongs to the most urgent rank.

    Example:
        >>> compute_slice_size(100.0, urgent=False)
        24000
        >>> compute_slice_size(100.0, urgent=True)
        75000
    """
    duration = URGENT_OUTAGE_COVERAGE if urgent else DRAW_INTERVAL
    wanted = rate * duration.total_seconds() / get_refill_fraction(urgent)
    return max(MIN_SLICE_TOKENS, round(wanted))


def get_refill_fraction(urgent: bool) -> float:
    """Returns the fraction of its size below which a slice is refilled."""
    return URGENT_REFILL_FRACTION if urgent else REFILL_FRACTION


def compute_max_slice(left: int) -> int:
    """Returns the maximum slice size when `left` tokens may still be drawn.

    Slices shrink with the remaining budget, so that the last tokens of a
    period are not stranded in daemons that do not need them.

    Example:
        >>> compute_max_slice(1_000_000)
        50000
    """
    return left // SLICE_DIVISOR


def plan_draw(
    total: BudgetRow | None,
    rank: BudgetRow | None,
    limit: int,
    ceiling_share: float,
    target_size: int,
    held: int,
    needed: int,
) -> Draw | Exhausted:
    """Computes the next draw of a daemon, which may be of zero tokens.

    Args:
        total: the total row; None if nothing was drawn in the period.
        rank: the row of the rank; None if it has drawn nothing in the period.
        limit: approved tokens of the period.
        ceiling_share: the rank's ceiling as a fraction of the limit.
        target_size: tokens that the slice should have after the draw.
        held: tokens that the slice has now, free or reserved.
        needed: smallest useful number of tokens.

    Returns:
        The draw, or `Exhausted` if fewer than `needed` tokens are left, or
        none at all.
    """
    ceiling = compute_ceiling(limit, ceiling_share)
    total = total or BudgetRow(limit=limit)
    rank = rank or BudgetRow(limit=ceiling)
    left = min(limit - total.drawn, ceiling - rank.drawn)
    missing = min(target_size, compute_max_slice(left)) - held
    tokens = max(needed, missing, 0)
    if tokens > left or left <= 0:
        return Exhausted()
    return Draw(
        tokens=tokens,
        total=BudgetRow(limit=limit, drawn=total.drawn + tokens),
        rank=BudgetRow(limit=ceiling, drawn=rank.drawn + tokens),
    )


def reserve(current: Slice, tokens: int) -> Slice | None:
    """Returns the slice with `tokens` reserved, or None if too few are free.

    Example:
        >>> reserve(Slice(period="p", free=5), 6) is None
        True
    """
    if tokens > current.free:
        return None
    return dataclasses.replace(
        current, free=current.free - tokens, reserved=current.reserved + tokens
    )


def settle(
    current: Slice, period: str, reserved: int, used: int | None
) -> Slice:
    """Returns the slice after a reservation has ended.

    Unused tokens become free if the reservation belongs to the slice's period.
    If the usage is unknown, all reserved tokens count as used. Usage beyond the
    reservation is charged to the slice, so that it delays later requests of
    the period.

    Args:
        current: the slice.
        period: the period of the reservation.
        reserved: the tokens of the reservation.
        used: tokens that the request used; None if unknown.

    Example:
        >>> settle(Slice(period="p", free=5, reserved=10), "p", 10, 4)
        Slice(period='p', free=11, reserved=0)
    """
    if period != current.period:
        return current
    unused = 0 if used is None else reserved - used
    return dataclasses.replace(
        current,
        free=current.free + unused,
        reserved=current.reserved - reserved,
    )
