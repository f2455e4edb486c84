"""Reservations of spend from slices of the budget that are drawn ahead.

`reserve` takes tokens from a slice in memory. Slices are refilled in the
background; a request waits for a draw only while draws succeed, and is
otherwise refused at once with the time to come back.
"""

import dataclasses
import datetime
import enum
import random
import uuid

import eliot
import expression
import gevent
import msgspec
from gevent import event

from arbutuscove.admission import work as work_module
from arbutuscove.config import follower
from arbutuscove.config import keys
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.limits import slices
from arbutuscove.storage import table as table_module

SERVICE_NAME = "limits"
WARM_INTERVAL = datetime.timedelta(seconds=2)
# Longest wait for a draw. A draw is three calls of the table and more after a
# conflict; with 250 ms a service with a small budget refused about 1 in 8
# requests while budget was left.
DRAW_WAIT = datetime.timedelta(seconds=1)
RETRY_AFTER = datetime.timedelta(seconds=5)  # and pause after a failed draw
CONFLICT_ATTEMPTS = 8  # each means that another daemon drew
CONFLICT_PAUSE = datetime.timedelta(milliseconds=20)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Tokens set aside for one request; no period: without a limit."""

    service: str
    rank: str
    account: str
    tokens: int
    period: str = ""
    reservation_id: str = ""


class _Outcome(enum.Enum):
    """How a draw ended."""

    DRAWN = enum.auto()
    FULL = enum.auto()
    EXHAUSTED = enum.auto()
    UNAVAILABLE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Pause:
    """Why the last draw brought nothing, and until when none is tried."""

    outcome: _Outcome
    until: datetime.timedelta
    needed: int

    def refuses(self, needed: int) -> bool:
        """Returns whether a draw for a request would fail as well."""
        match self.outcome:
            case _Outcome.UNAVAILABLE:
                return True
            case _Outcome.EXHAUSTED:
                return needed >= self.needed
            case _:
                return False


@dataclasses.dataclass(slots=True, kw_only=True)
class _Account:
    """State of one service and rank in this daemon."""

    held: slices.Slice = slices.Slice(period="")
    use: slices.Use = slices.Use()
    pause: _Pause | None = None
    drawing: event.Event | None = None
    drawing_since: datetime.timedelta = datetime.timedelta()


class Limits(services.LoopService):
    """Reserves tokens before a request runs and settles them after it."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        config: follower.ConfigFollower,
        generator: random.Random,
    ) -> None:
        self._table = table
        self._clock = clock
        self._config = config
        self._random = generator
        # Bounded by the ranks of configured services; see `warm`.
        self._accounts: dict[tuple[str, str], _Account] = {}
        self._open: set[str] = set()  # reservations; bounded by requests
        self._draining = False

    def start(self, kernel: services.Kernel) -> None:
        """Begins to draw ahead."""
        self.run_loop(self._run)

    def drain(self) -> None:
        """Returns what is free in all slices."""
        self._draining = True
        for service, rank in list(self._accounts):
            self._give_back(service, rank)

    def free(self, service: str, rank: str) -> int:
        """Returns the tokens that this daemon holds and has not reserved."""
        account = self._accounts.get((service, rank))
        return 0 if account is None else account.held.free

    def held(self, service: str, rank: str) -> int:
        """Returns the tokens that this daemon's death would strand."""
        account = self._accounts.get((service, rank))
        return 0 if account is None else account.held.held()

    def reserve(
        self, work: work_module.Work
    ) -> expression.Result[Reservation, work_module.Refusal]:
        """Sets the estimated tokens aside, or refuses the work."""
        limits = work.service.limits
        if not limits.tokens_per_period:
            return expression.Ok(_build_reservation(work, ""))
        ceiling = slices.find_ceiling(
            limits.tokens_per_period, work.rank.ceiling_share
        )
        if work.tokens > ceiling:
            return expression.Error(_refuse_size(work, ceiling))
        key = (work.service.name, work.rank.name)
        account = self._accounts.setdefault(key, _Account())
        now = self._clock.monotonic()
        account.use = account.use.add(work.tokens, now)
        period = self._open_period(account, work.service)
        taken = slices.reserve(account.held, work.tokens)
        latest = min(work.deadline, now + DRAW_WAIT)
        while taken is None and self._await_draw(account, work, latest):
            period = self._open_period(account, work.service)
            taken = slices.reserve(account.held, work.tokens)
        if taken is None:
            return expression.Error(self._refuse(account, work.service))
        account.held = taken
        self._refill(account, work.service, work.rank)
        reservation = _build_reservation(work, period)
        self._open.add(reservation.reservation_id)
        return expression.Ok(reservation)

    def settle(self, reservation: Reservation, tokens: int | None) -> None:
        """Ends a reservation; None means unknown and counts as spent.

        Settling twice has no further effect.
        """
        if reservation.reservation_id not in self._open:
            return
        self._open.discard(reservation.reservation_id)
        account = self._accounts.get((reservation.service, reservation.rank))
        if account is None:
            return
        account.held = slices.settle(
            account.held, reservation.period, reservation.tokens, tokens
        )

    def warm(self) -> None:
        """Draws the urgent reserve of each limited service.

        Also forgets services and ranks that are no longer configured.
        """
        configured = set()
        for version in self._config.get_snapshot().services.values():
            service = version.service
            if not service.limits.tokens_per_period:
                continue
            configured |= {(service.name, rank.name) for rank in service.ranks}
            rank = min(service.ranks, key=lambda item: item.priority)
            key = (service.name, rank.name)
            account = self._accounts.setdefault(key, _Account())
            self._open_period(account, service)
            self._refill(account, service, rank)
        for key in set(self._accounts) - configured:
            self._give_back(*key)
            self._accounts.pop(key, None)

    def draw(
        self,
        service: config_model.Service,
        rank: config_model.Rank,
        needed: int = 0,
    ) -> None:
        """Adds to the slice of a rank; records why if it cannot."""
        account = self._accounts.setdefault(
            (service.name, rank.name), _Account()
        )
        if account.drawing is not None or self._draining:
            return
        account.drawing = event.Event()
        account.drawing_since = self._clock.monotonic()
        outcome = _Outcome.UNAVAILABLE
        try:
            outcome = self._draw(account, service, rank, needed)
        except table_module.TableError as error:
            # A draw of unknown outcome is not used; if it took effect, its
            # tokens count as spent.
            eliot.log_message(
                "limits:draw_failed", service=service.name, reason=str(error)
            )
        finally:
            account.pause = None
            if outcome != _Outcome.DRAWN:
                until = RETRY_AFTER * self._random.uniform(0.5, 1)
                account.pause = _Pause(
                    outcome=outcome,
                    until=self._clock.monotonic() + until,
                    needed=needed,
                )
            account.drawing.set()
            account.drawing = None

    def _draw(
        self,
        account: _Account,
        service: config_model.Service,
        rank: config_model.Rank,
        needed: int,
    ) -> "_Outcome":
        for attempt in range(CONFLICT_ATTEMPTS):
            period = self._open_period(account, service)
            planned = self._plan(account, service, rank, needed)
            if isinstance(planned, _Outcome):
                return planned
            transaction, tokens = planned
            result = table_module.commit(self._table, transaction, self._clock)
            if result.is_ok():
                self._take(account, service, period, tokens)
                return _Outcome.DRAWN
            pause = CONFLICT_PAUSE * self._random.uniform(0, 2**attempt)
            self._clock.sleep(pause)
        return _Outcome.UNAVAILABLE

    def _plan(
        self,
        account: _Account,
        service: config_model.Service,
        rank: config_model.Rank,
        needed: int,
    ) -> "tuple[table_module.Transaction, int] | _Outcome":
        # The limit is that of the newest accepted configuration, and the
        # transaction requires that it still is: a daemon that follows late
        # must not draw under a limit that was lowered.
        config_key = keys.service_key(service.name)
        approved = self._table.read(config_key)
        if approved is None:
            return _Outcome.UNAVAILABLE
        body = approved.decode(config_model.ServiceVersion).service
        newest = body.find_rank(rank.name)
        limits = body.limits
        if newest is None or limits.period != service.limits.period:
            return _Outcome.UNAVAILABLE
        period = account.held.period
        found = self._table.scan(_row_key(service.name, period, ""))
        rows = {row.key: row for row in found}
        total = rows.get(_row_key(service.name, period, slices.TOTAL))
        own = rows.get(_row_key(service.name, period, rank.name))
        rate = account.use.rate(self._clock.monotonic())
        planned = slices.plan_draw(
            _decode(total),
            _decode(own),
            limits.tokens_per_period,
            newest.ceiling_share,
            slices.size_slice(rate, _is_urgent(service, rank)),
            account.held.held(),
            max(0, needed - account.held.free),
        )
        if isinstance(planned, slices.Exhausted):
            return _Outcome.EXHAUSTED
        if planned.tokens == 0:
            return _Outcome.FULL
        transaction = _build_transaction(
            service.name,
            period,
            rank.name,
            (total, own),
            (planned.total, planned.rank),
        )
        condition = table_module.Condition(
            key=config_key, version=approved.version
        )
        conditions = (*transaction.conditions, condition)
        return (
            dataclasses.replace(transaction, conditions=conditions),
            planned.tokens,
        )

    def _take(
        self,
        account: _Account,
        service: config_model.Service,
        period: str,
        tokens: int,
    ) -> None:
        # The period may have ended while the draw was in flight; its tokens
        # belong to the old period and must not be spent in the new one.
        if self._open_period(account, service) != period:
            return
        account.held = dataclasses.replace(
            account.held, free=account.held.free + tokens
        )
        eliot.log_message("limits:drawn", service=service.name, tokens=tokens)

    def _open_period(
        self, account: _Account, service: config_model.Service
    ) -> str:
        period = slices.find_period(self._clock.now(), service.limits.period)
        if account.held.period != period:
            account.held = slices.Slice(period=period)
            account.pause = None
        return period

    def _refill(
        self,
        account: _Account,
        service: config_model.Service,
        rank: config_model.Rank,
    ) -> None:
        urgent = _is_urgent(service, rank)
        now = self._clock.monotonic()
        size = slices.size_slice(account.use.rate(now), urgent)
        low = account.held.free < size * slices.find_refill_level(urgent)
        pause = account.pause
        pausing = pause is not None and now < pause.until
        if low and not pausing and account.drawing is None:
            gevent.spawn(self.draw, service, rank)

    def _await_draw(
        self,
        account: _Account,
        work: work_module.Work,
        latest: datetime.timedelta,
    ) -> bool:
        """Waits for one draw; returns whether a reservation may now fit."""
        now = self._clock.monotonic()
        pause = account.pause
        if pause is not None and now >= pause.until:
            pause = None
        if now >= latest or (pause and pause.refuses(work.tokens)):
            return False
        drawing = account.drawing
        if drawing is None:
            gevent.spawn(self.draw, work.service, work.rank, work.tokens)
            gevent.sleep(0)  # lets the draw begin
            drawing = account.drawing
        if drawing is None:
            return True
        # A draw that hangs is waited for once and not by every request.
        left = min(latest, account.drawing_since + DRAW_WAIT) - now
        return drawing.wait(max(0.0, left.total_seconds()))

    def _refuse(
        self, account: _Account, service: config_model.Service
    ) -> work_module.Refusal:
        pause = account.pause
        if pause is None or pause.outcome != _Outcome.EXHAUSTED:
            return work_module.Refusal(
                status=503,
                code="limits_unavailable",
                message="no budget could be drawn now",
                retry_after=RETRY_AFTER,
            )
        return work_module.Refusal(
            status=429,
            code="limit_reached",
            message="the approved budget of this period is used up",
            retry_after=slices.find_rest(
                self._clock.now(), service.limits.period
            ),
        )

    def _give_back(self, service: str, rank: str) -> None:
        account = self._accounts[service, rank]
        held = account.held
        account.held = dataclasses.replace(held, free=0)
        if held.free <= 0:
            return
        try:
            for _ in range(CONFLICT_ATTEMPTS):
                if self._return(service, rank, held):
                    return
        except table_module.TableError as error:
            eliot.log_message("limits:return_failed", reason=str(error))

    def _return(self, service: str, rank: str, held: slices.Slice) -> bool:
        total_key = _row_key(service, held.period, slices.TOTAL)
        total = self._table.read(total_key)
        own = self._table.read(_row_key(service, held.period, rank))
        if total is None or own is None:
            return True
        rows = tuple(_return_to(row, held.free) for row in (total, own))
        transaction = _build_transaction(
            service, held.period, rank, (total, own), rows
        )
        # Sent once and not through `commit`: when the confirmation is lost
        # and another daemon has drawn since, the row no longer shows whether
        # the return took effect, and a second one would exceed the limit.
        return self._table.transact(transaction).is_ok()

    def _run(self) -> None:
        while not self._draining:
            self.warm()
            self._clock.sleep(WARM_INTERVAL)


def _is_urgent(service: config_model.Service, rank: config_model.Rank) -> bool:
    return rank.priority == min(item.priority for item in service.ranks)


def _row_key(service: str, period: str, rank: str) -> str:
    return f"{slices.PREFIX}{service}/{period}/{rank}"


def _decode(row: table_module.Row | None) -> slices.BudgetRow | None:
    return None if row is None else row.decode(slices.BudgetRow)


def _return_to(row: table_module.Row, tokens: int) -> slices.BudgetRow:
    value = row.decode(slices.BudgetRow)
    return dataclasses.replace(value, drawn=value.drawn - tokens)


def _build_reservation(work: work_module.Work, period: str) -> Reservation:
    return Reservation(
        service=work.service.name,
        rank=work.rank.name,
        account=work.account.name,
        tokens=work.tokens,
        period=period,
        reservation_id=uuid.uuid4().hex if period else "",
    )


def _build_transaction(
    service: str,
    period: str,
    rank: str,
    found: tuple[table_module.Row | None, ...],
    rows: tuple[slices.BudgetRow, ...],
) -> table_module.Transaction:
    names = (
        _row_key(service, period, slices.TOTAL),
        _row_key(service, period, rank),
    )
    conditions = []
    writes = []
    for key, row, value in zip(names, found, rows, strict=True):
        version = table_module.ABSENT if row is None else row.version
        conditions.append(table_module.Condition(key=key, version=version))
        writes.append(
            table_module.Write(key=key, value=msgspec.to_builtins(value))
        )
    return table_module.Transaction(
        conditions=tuple(conditions), writes=tuple(writes)
    )


def _refuse_size(work: work_module.Work, ceiling: int) -> work_module.Refusal:
    return work_module.Refusal(
        status=413,
        code="over_limit",
        message=f"{work.tokens} tokens are more than the rank's whole budget"
        f" of {ceiling}",
    )
