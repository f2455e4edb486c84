"""Slices of a budget, as pure functions.

A budget is what a service may spend in one period. Each rank has a row with
the tokens drawn from its ceiling, and a total row bounds all ranks together.
A daemon draws a slice by adding to both rows in one transaction, and reserves
tokens for requests from the slice in memory (escrow, O'Neil 1986). Drawn
tokens count as spent until a graceful stop returns them, so a dead or paused
holder, or a draw whose confirmation was lost, can only strand tokens.

Bounds: the tokens drawn never exceed the limit, since each draw is a
transaction against both rows; what a daemon holds, free or reserved, never
exceeds the slice size (or one request that is larger), so the tokens stranded
are at most daemons times slice size.
"""

import dataclasses
import datetime
import math

PREFIX = "budget/"
TOTAL = "*"  # last part of the key of the total row; no rank has this name
COVER = datetime.timedelta(seconds=120)  # keeps draws of a rank this far apart
URGENT_COVER = datetime.timedelta(minutes=10)  # table outage to be survived
REFILL_LEVEL = 0.5  # fraction of a slice at which more is drawn
URGENT_REFILL_LEVEL = 0.8  # higher, because the reserve must stay whole
SLICE_FRACTION = 20  # a slice is at most 1/20 of what the rank has left
SMALLEST_SLICE = 4096  # tokens; a few requests, so that each is not a draw
USE_WINDOW = datetime.timedelta(minutes=2)  # over which use is averaged


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BudgetRow:
    """Limit at the last draw and tokens drawn so far."""

    limit: int
    drawn: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slice:
    """Tokens of one period and rank that this daemon holds.

    `free` may still be reserved; `reserved` belongs to requests in progress.
    """

    period: str
    free: int = 0
    reserved: int = 0

    def held(self) -> int:
        """Returns the tokens that the death of this daemon would strand."""
        return self.free + self.reserved


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Use:
    """Decaying sum of reserved tokens, as of a monotonic time."""

    tokens: float = 0.0
    at: datetime.timedelta = datetime.timedelta()

    def add(self, tokens: int, now: datetime.timedelta) -> "Use":
        """Returns the use after `tokens` were reserved."""
        return Use(tokens=self._decay(now) + tokens, at=now)

    def rate(self, now: datetime.timedelta) -> float:
        """Returns recent use in tokens per second."""
        # A steady rate r decays to a sum of r * window / ln 2.
        return self._decay(now) * math.log(2) / USE_WINDOW.total_seconds()

    def _decay(self, now: datetime.timedelta) -> float:
        return self.tokens * 0.5 ** ((now - self.at) / USE_WINDOW)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draw:
    """Tokens to draw and the rows after it."""

    tokens: int
    total: BudgetRow
    rank: BudgetRow


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exhausted:
    """Fewer tokens are left than are needed."""


def find_period(now: datetime.datetime, length: datetime.timedelta) -> str:
    """Returns the name of the budget period at a wall-clock time.

    Daemons with different clocks may name different periods for a moment.
    Each period has rows of its own, so none is exceeded.

    Example:
        >>> noon = datetime.datetime(2026, 1, 2, 12, tzinfo=datetime.UTC)
        >>> find_period(noon, datetime.timedelta(days=1))
        '20260102T000000Z.86400'
    """
    epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
    start = epoch + (now - epoch) // length * length
    return f"{start:%Y%m%dT%H%M%SZ}.{int(length.total_seconds())}"


def find_rest(
    now: datetime.datetime, length: datetime.timedelta
) -> datetime.timedelta:
    """Returns the time until the next budget period.

    Example:
        >>> noon = datetime.datetime(2026, 1, 2, 12, tzinfo=datetime.UTC)
        >>> find_rest(noon, datetime.timedelta(days=1))
        datetime.timedelta(seconds=43200)
    """
    epoch = datetime.datetime(1970, 1, 1, tzinfo=datetime.UTC)
    return length - (now - epoch) % length


def find_ceiling(limit: int, share: float) -> int:
    """Returns the tokens that a rank may draw of a limit.

    Example:
        >>> find_ceiling(1000, 0.3)
        300
    """
    # The share is a decimal from the configuration; rounding to parts per
    # million keeps 0.3 from becoming 0.29999.
    return limit * round(share * 1_000_000) // 1_000_000


def size_slice(rate: float, urgent: bool) -> int:
    """Returns the tokens that a daemon should hold at a rate of use.

    The urgent rank's slice is so large that what is left when it is refilled
    still covers an outage.

    Example:
        >>> size_slice(100.0, urgent=False), size_slice(100.0, urgent=True)
        (24000, 75000)
    """
    cover = URGENT_COVER if urgent else COVER
    wanted = rate * cover.total_seconds() / find_refill_level(urgent)
    return max(SMALLEST_SLICE, round(wanted))


def find_refill_level(urgent: bool) -> float:
    """Returns the fraction of a slice at which more is drawn."""
    return URGENT_REFILL_LEVEL if urgent else REFILL_LEVEL


def bound_slice(left: int) -> int:
    """Returns the largest slice when `left` tokens may still be drawn.

    Slices shrink with what is left, so that the last tokens of a period are
    not stranded in daemons that do not need them.

    Example:
        >>> bound_slice(1_000_000)
        50000
    """
    return left // SLICE_FRACTION


def plan_draw(
    total: BudgetRow | None,
    rank: BudgetRow | None,
    limit: int,
    share: float,
    size: int,
    held: int,
    needed: int,
) -> Draw | Exhausted:
    """Returns the draw, which may be of no tokens.

    Args:
        total: the total row; None if nothing was drawn in the period.
        rank: the row of the rank, likewise.
        limit: approved tokens of the period.
        share: the rank's ceiling as a fraction of the limit.
        size: tokens that the daemon would like to hold.
        held: tokens that it holds.
        needed: tokens without which the draw is useless.
    """
    ceiling = find_ceiling(limit, share)
    total = total or BudgetRow(limit=limit)
    rank = rank or BudgetRow(limit=ceiling)
    left = min(limit - total.drawn, ceiling - rank.drawn)
    missing = min(size, bound_slice(left)) - held
    tokens = max(needed, missing, 0)
    if tokens > left or left <= 0:
        return Exhausted()
    return Draw(
        tokens=tokens,
        total=BudgetRow(limit=limit, drawn=total.drawn + tokens),
        rank=BudgetRow(limit=ceiling, drawn=rank.drawn + tokens),
    )


def reserve(held: Slice, tokens: int) -> Slice | None:
    """Returns the slice with `tokens` reserved, or None if it has too few.

    Example:
        >>> reserve(Slice(period="p", free=5), 6) is None
        True
    """
    if tokens > held.free:
        return None
    return dataclasses.replace(
        held, free=held.free - tokens, reserved=held.reserved + tokens
    )


def settle(held: Slice, period: str, reserved: int, used: int | None) -> Slice:
    """Returns the slice after a reservation ended.

    Unused tokens of the slice's own period become free. Unknown use counts as
    full use. Use beyond the reservation is charged, so that it delays later
    requests of the period.

    Example:
        >>> settle(Slice(period="p", free=5, reserved=10), "p", 10, 4)
        Slice(period='p', free=11, reserved=0)
    """
    if period != held.period:
        return held
    unused = 0 if used is None else reserved - used
    return dataclasses.replace(
        held, free=held.free + unused, reserved=held.reserved - reserved
    )
