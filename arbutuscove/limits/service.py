"""Reservation of tokens from slices of the budget that are drawn in advance.

`reserve` reserves tokens from a slice in memory. Slices are refilled in the
background. A request waits for a draw only if the draw may succeed; during the
backoff after a failed draw it is rejected at once with the time after which to
retry.
"""

import dataclasses
import datetime
import enum
import random
import uuid
from collections import abc

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
URGENT_REFILL_INTERVAL = datetime.timedelta(seconds=2)
# Longest wait of a request for a draw. A draw makes three calls to the table
# and more after a conflict; with 250 ms, a service with a small budget rejected
# about 1 in 8 requests while budget was left.
DRAW_TIMEOUT = datetime.timedelta(seconds=1)
# Retry time sent to callers; maximum backoff after a draw without tokens.
RETRY_AFTER = datetime.timedelta(seconds=5)
# A failed attempt means that another daemon has changed one of the rows.
MAX_TRANSACTION_ATTEMPTS = 8
CONFLICT_BACKOFF = datetime.timedelta(milliseconds=20)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reservation:
    """Tokens reserved for one request.

    `period` is empty if the service has no limit.
    """

    service: str
    rank: str
    account: str
    tokens: int
    period: str = ""
    reservation_id: str = ""


class _Outcome(enum.Enum):
    """Result of a draw; `FULL` means that the slice needs no more tokens."""

    DRAWN = enum.auto()
    FULL = enum.auto()
    EXHAUSTED = enum.auto()
    UNAVAILABLE = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _DrawBackoff:
    """Result of a draw that added no tokens, and the end of the backoff."""

    outcome: _Outcome
    until: datetime.timedelta
    needed: int

    def applies_to(self, needed: int) -> bool:
        """Returns whether a draw of `needed` tokens would fail as well."""
        match self.outcome:
            case _Outcome.UNAVAILABLE:
                return True
            case _Outcome.EXHAUSTED:
                return needed >= self.needed
            case _:
                return False


@dataclasses.dataclass(slots=True, kw_only=True)
class _SliceState:
    """Slice, usage and draw of one service and rank in this daemon.

    `draw_done` is set when the draw in progress ends; None if there is none.
    """

    current_slice: slices.Slice = slices.Slice(period="")
    usage: slices.DecayingUsage = slices.DecayingUsage()
    backoff: _DrawBackoff | None = None
    draw_done: event.Event | None = None
    draw_started_at: datetime.timedelta = datetime.timedelta()


class Limits(services.LoopService):
    """Reserves tokens before a request runs and settles them after it."""

    def __init__(
        self,
        table: table_module.Table,
        clock: clock_module.Clock,
        config: follower.ConfigFollower,
        generator: random.Random,
        get_era: abc.Callable[[], int] = lambda: 0,
    ) -> None:
        self._table = table
        self._clock = clock
        self._config = config
        self._random = generator
        # The newest known era of the table; 0 if it has none.
        self._get_era = get_era
        # By service and rank or total, the last row that this daemon wrote for
        # a draw, with its key and the era in which it was last confirmed.
        self._written_rows: dict[
            tuple[str, str], tuple[str, slices.BudgetRow, int]
        ] = {}
        # Bounded by the ranks of configured services; see `refill_urgent`.
        self._slice_states: dict[tuple[str, str], _SliceState] = {}
        # Identities; bounded by the requests in progress.
        self._open_reservations: set[str] = set()
        self._draining = False

    def start(self, kernel: services.Kernel) -> None:
        """Starts to draw the slices of urgent ranks in advance."""
        self.run_loop(self._run)

    def drain(self) -> None:
        """Stops drawing and returns the free tokens of all slices."""
        self._draining = True
        for service, rank in list(self._slice_states):
            self._return_free(service, rank)

    def count_free(self, service: str, rank: str) -> int:
        """Returns the tokens of a rank's slice that are not reserved."""
        state = self._slice_states.get((service, rank))
        return 0 if state is None else state.current_slice.free

    def count_held(self, service: str, rank: str) -> int:
        """Returns the tokens that are stranded if this daemon dies."""
        state = self._slice_states.get((service, rank))
        return 0 if state is None else state.current_slice.count_held()

    def reserve(
        self, work: work_module.Work
    ) -> expression.Result[Reservation, work_module.Refusal]:
        """Reserves the estimated tokens of the work, or rejects it.

        May wait for a draw, at most `DRAW_TIMEOUT` and until the deadline.
        """
        limits = work.service.limits
        if not limits.tokens_per_period:
            return expression.Ok(_build_reservation(work, ""))
        ceiling = slices.compute_ceiling(
            limits.tokens_per_period, work.rank.ceiling_share
        )
        if work.tokens > ceiling:
            return expression.Error(_build_oversize_refusal(work, ceiling))
        key = (work.service.name, work.rank.name)
        state = self._slice_states.setdefault(key, _SliceState())
        now = self._clock.monotonic()
        state.usage = state.usage.add(work.tokens, now)
        period = self._switch_period(state, work.service)
        updated = slices.reserve(state.current_slice, work.tokens)
        draw_deadline = min(work.deadline, now + DRAW_TIMEOUT)
        while updated is None and self._await_draw(state, work, draw_deadline):
            period = self._switch_period(state, work.service)
            updated = slices.reserve(state.current_slice, work.tokens)
        if updated is None:
            return expression.Error(self._build_refusal(state, work.service))
        state.current_slice = updated
        self._refill_if_low(state, work.service, work.rank)
        reservation = _build_reservation(work, period)
        self._open_reservations.add(reservation.reservation_id)
        return expression.Ok(reservation)

    def settle(self, reservation: Reservation, used: int | None) -> None:
        """Ends a reservation; a second call for it has no effect.

        Args:
            reservation: the reservation.
            used: tokens that the request used; None means unknown, in which
                case all reserved tokens count as spent.
        """
        if reservation.reservation_id not in self._open_reservations:
            return
        self._open_reservations.discard(reservation.reservation_id)
        state = self._slice_states.get((reservation.service, reservation.rank))
        if state is None:
            return
        state.current_slice = slices.settle(
            state.current_slice, reservation.period, reservation.tokens, used
        )

    def refill_urgent(self) -> None:
        """Refills the slice of the most urgent rank of each limited service.

        Also removes services and ranks that are no longer configured and
        returns their free tokens.
        """
        configured = set()
        for version in self._config.get_snapshot().services.values():
            service = version.service
            if not service.limits.tokens_per_period:
                continue
            configured |= {(service.name, rank.name) for rank in service.ranks}
            rank = min(service.ranks, key=lambda item: item.priority)
            key = (service.name, rank.name)
            state = self._slice_states.setdefault(key, _SliceState())
            self._switch_period(state, service)
            self._refill_if_low(state, service, rank)
        for key in set(self._slice_states) - configured:
            self._return_free(*key)
            self._slice_states.pop(key, None)

    def draw(
        self,
        service: config_model.Service,
        rank: config_model.Rank,
        needed: int = 0,
    ) -> None:
        """Draws tokens for the slice of a rank; backs off if that fails.

        Args:
            service: the service.
            rank: the rank.
            needed: free tokens that the slice must have after the draw.
        """
        state = self._slice_states.setdefault(
            (service.name, rank.name), _SliceState()
        )
        if state.draw_done is not None or self._draining:
            return
        state.draw_done = event.Event()
        state.draw_started_at = self._clock.monotonic()
        outcome = _Outcome.UNAVAILABLE
        try:
            outcome = self._draw(state, service, rank, needed)
        except table_module.TableError as error:
            # The tokens of a draw whose outcome is unknown are not used; if the
            # draw took effect, they count as spent.
            eliot.log_message(
                "limits:draw_failed", service=service.name, reason=str(error)
            )
        finally:
            state.backoff = None
            if outcome != _Outcome.DRAWN:
                duration = RETRY_AFTER * self._random.uniform(0.5, 1)
                state.backoff = _DrawBackoff(
                    outcome=outcome,
                    until=self._clock.monotonic() + duration,
                    needed=needed,
                )
            state.draw_done.set()
            state.draw_done = None

    def _draw(
        self,
        state: _SliceState,
        service: config_model.Service,
        rank: config_model.Rank,
        needed: int,
    ) -> "_Outcome":
        for attempt in range(MAX_TRANSACTION_ATTEMPTS):
            period = self._switch_period(state, service)
            plan = self._plan_draw(state, service, rank, needed)
            if isinstance(plan, _Outcome):
                return plan
            transaction, tokens = plan
            era = self._get_era()
            result = table_module.commit(self._table, transaction, self._clock)
            if result.is_ok():
                self._note_written(service.name, transaction, era)
                self._add_tokens(state, service, period, tokens)
                return _Outcome.DRAWN
            backoff = CONFLICT_BACKOFF * self._random.uniform(0, 2**attempt)
            self._clock.sleep(backoff)
        return _Outcome.UNAVAILABLE

    def _note_written(
        self, service: str, transaction: table_module.Transaction, era: int
    ) -> None:
        for write in transaction.writes:
            rank = write.key.rpartition("/")[2]
            row = msgspec.convert(write.value, slices.BudgetRow)
            self._written_rows[service, rank] = write.key, row, era

    def restore_draws(self) -> None:
        """Counts draws again that the table lost by a change of its era.

        Each daemon raises the rows to what it wrote last; together they know of
        all draws of daemons that live.

        Raises:
            TableError: a row may not have been written; the next call goes on.
        """
        era = self._get_era()
        for name, (key, known, seen_era) in list(self._written_rows.items()):
            if seen_era < era and self._raise_drawn(key, known):
                self._written_rows[name] = key, known, era

    def _raise_drawn(self, key: str, known: slices.BudgetRow) -> bool:
        """Returns whether a row counts at least the known draws."""
        row = self._table.read(key)
        current = _decode(row) or slices.BudgetRow(limit=known.limit)
        if current.drawn >= known.drawn:
            return True
        raised = dataclasses.replace(current, drawn=known.drawn)
        version = table_module.ABSENT if row is None else row.version
        transaction = table_module.Transaction(
            conditions=(table_module.Condition(key=key, version=version),),
            writes=(
                table_module.Write(key=key, value=msgspec.to_builtins(raised)),
            ),
        )
        result = table_module.commit(self._table, transaction, self._clock)
        eliot.log_message(
            "limits:draws_lost",
            key=key,
            found=current.drawn,
            known=known.drawn,
            is_counted=result.is_ok(),
        )
        return result.is_ok()

    def _plan_draw(
        self,
        state: _SliceState,
        service: config_model.Service,
        rank: config_model.Rank,
        needed: int,
    ) -> "tuple[table_module.Transaction, int] | _Outcome":
        # Uses the limit of the newest accepted configuration; the transaction
        # has the condition that this version is still the newest. Otherwise a
        # daemon with a stale configuration could draw under a limit that has
        # been lowered.
        config_key = keys.service_key(service.name)
        approved_row = self._table.read(config_key)
        if approved_row is None:
            return _Outcome.UNAVAILABLE
        approved_service = approved_row.decode(
            config_model.ServiceVersion
        ).service
        approved_rank = approved_service.find_rank(rank.name)
        limits = approved_service.limits
        if approved_rank is None or limits.period != service.limits.period:
            return _Outcome.UNAVAILABLE
        period = state.current_slice.period
        period_rows = self._table.scan(_row_key(service.name, period, ""))
        rows = {row.key: row for row in period_rows}
        total_row = rows.get(
            _row_key(service.name, period, slices.TOTAL_KEY_PART)
        )
        rank_row = rows.get(_row_key(service.name, period, rank.name))
        rate = state.usage.compute_rate(self._clock.monotonic())
        plan = slices.plan_draw(
            _decode(total_row),
            _decode(rank_row),
            limits.tokens_per_period,
            approved_rank.ceiling_share,
            slices.compute_slice_size(rate, _is_urgent(service, rank)),
            state.current_slice.count_held(),
            max(0, needed - state.current_slice.free),
        )
        if isinstance(plan, slices.Exhausted):
            return _Outcome.EXHAUSTED
        if plan.tokens == 0:
            return _Outcome.FULL
        transaction = _build_transaction(
            service.name,
            period,
            rank.name,
            (total_row, rank_row),
            (plan.total, plan.rank),
        )
        condition = table_module.Condition(
            key=config_key, version=approved_row.version
        )
        conditions = (*transaction.conditions, condition)
        return (
            dataclasses.replace(transaction, conditions=conditions),
            plan.tokens,
        )

    def _add_tokens(
        self,
        state: _SliceState,
        service: config_model.Service,
        period: str,
        tokens: int,
    ) -> None:
        # If the period has ended while the draw was in flight, the tokens
        # belong to the old period and must not be spent in the new one.
        if self._switch_period(state, service) != period:
            return
        state.current_slice = dataclasses.replace(
            state.current_slice, free=state.current_slice.free + tokens
        )
        eliot.log_message("limits:drawn", service=service.name, tokens=tokens)

    def _switch_period(
        self, state: _SliceState, service: config_model.Service
    ) -> str:
        period = slices.get_period_name(
            self._clock.now(), service.limits.period
        )
        if state.current_slice.period != period:
            state.current_slice = slices.Slice(period=period)
            state.backoff = None
        return period

    def _refill_if_low(
        self,
        state: _SliceState,
        service: config_model.Service,
        rank: config_model.Rank,
    ) -> None:
        urgent = _is_urgent(service, rank)
        now = self._clock.monotonic()
        size = slices.compute_slice_size(state.usage.compute_rate(now), urgent)
        is_low = state.current_slice.free < size * slices.get_refill_fraction(
            urgent
        )
        backoff = state.backoff
        is_backing_off = backoff is not None and now < backoff.until
        if is_low and not is_backing_off and state.draw_done is None:
            gevent.spawn(self.draw, service, rank)

    def _await_draw(
        self,
        state: _SliceState,
        work: work_module.Work,
        draw_deadline: datetime.timedelta,
    ) -> bool:
        """Waits for one draw; returns whether to try the reservation again."""
        now = self._clock.monotonic()
        backoff = state.backoff
        if backoff is not None and now >= backoff.until:
            backoff = None
        if now >= draw_deadline or (
            backoff and backoff.applies_to(work.tokens)
        ):
            return False
        draw_done = state.draw_done
        if draw_done is None:
            gevent.spawn(self.draw, work.service, work.rank, work.tokens)
            gevent.sleep(0)  # yields, so that the draw starts
            draw_done = state.draw_done
        if draw_done is None:
            return True
        # The timeout counts from the start of the draw, so that later requests
        # do not wait the whole time for a draw that hangs.
        remaining = (
            min(draw_deadline, state.draw_started_at + DRAW_TIMEOUT) - now
        )
        return draw_done.wait(max(0.0, remaining.total_seconds()))

    def _build_refusal(
        self, state: _SliceState, service: config_model.Service
    ) -> work_module.Refusal:
        backoff = state.backoff
        if backoff is None or backoff.outcome != _Outcome.EXHAUSTED:
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
            retry_after=slices.compute_time_left_in_period(
                self._clock.now(), service.limits.period
            ),
        )

    def _return_free(self, service: str, rank: str) -> None:
        state = self._slice_states[service, rank]
        returned = state.current_slice
        state.current_slice = dataclasses.replace(returned, free=0)
        if returned.free <= 0:
            return
        try:
            for _ in range(MAX_TRANSACTION_ATTEMPTS):
                if self._try_return(service, rank, returned):
                    return
        except table_module.TableError as error:
            eliot.log_message("limits:return_failed", reason=str(error))

    def _try_return(
        self, service: str, rank: str, returned: slices.Slice
    ) -> bool:
        total_key = _row_key(service, returned.period, slices.TOTAL_KEY_PART)
        total_row = self._table.read(total_key)
        rank_row = self._table.read(_row_key(service, returned.period, rank))
        if total_row is None or rank_row is None:
            return True
        rows = tuple(
            _subtract_drawn(row, returned.free) for row in (total_row, rank_row)
        )
        transaction = _build_transaction(
            service, returned.period, rank, (total_row, rank_row), rows
        )
        # Sent once and not through `commit`: if the confirmation is lost and
        # another daemon has drawn since, the row no longer shows whether the
        # return took effect. A second return would let the daemons exceed the
        # limit.
        return self._table.transact(transaction).is_ok()

    def _run(self) -> None:
        while not self._draining:
            try:
                self.restore_draws()
            except table_module.TableError as error:
                eliot.log_message("limits:not_counted", reason=str(error))
            self.refill_urgent()
            self._clock.sleep(URGENT_REFILL_INTERVAL)


def _is_urgent(service: config_model.Service, rank: config_model.Rank) -> bool:
    return rank.priority == min(item.priority for item in service.ranks)


def _row_key(service: str, period: str, rank: str) -> str:
    return f"{slices.KEY_PREFIX}{service}/{period}/{rank}"


def _decode(row: table_module.Row | None) -> slices.BudgetRow | None:
    return None if row is None else row.decode(slices.BudgetRow)


def _subtract_drawn(row: table_module.Row, tokens: int) -> slices.BudgetRow:
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
    current_rows: tuple[table_module.Row | None, ...],
    new_rows: tuple[slices.BudgetRow, ...],
) -> table_module.Transaction:
    row_keys = (
        _row_key(service, period, slices.TOTAL_KEY_PART),
        _row_key(service, period, rank),
    )
    conditions = []
    writes = []
    for key, row, value in zip(row_keys, current_rows, new_rows, strict=True):
        version = table_module.ABSENT if row is None else row.version
        conditions.append(table_module.Condition(key=key, version=version))
        writes.append(
            table_module.Write(key=key, value=msgspec.to_builtins(value))
        )
    return table_module.Transaction(
        conditions=tuple(conditions), writes=tuple(writes)
    )


def _build_oversize_refusal(
    work: work_module.Work, ceiling: int
) -> work_module.Refusal:
    return work_module.Refusal(
        status=413,
        code="over_limit",
        message=f"{work.tokens} tokens are more than the rank's whole budget"
        f" of {ceiling}",
    )
