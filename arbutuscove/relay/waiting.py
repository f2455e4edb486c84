"""Requests that wait in this daemon for a place at a backend.

Work waits here and not in the engines, so that urgent requests never stand
behind admitted ones and engines keep the pace that makes streams on time.
Each service and model has a queue of its own; its order, and what is refused
at once because it cannot be served in time, is `admission.queue`'s to decide.
"""

import dataclasses
import datetime
import functools
import random
from collections import abc

import eliot
from gevent import event

from arbutuscove.admission import queue as queue_module
from arbutuscove.admission import work as work_module
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.config import model as config_model
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.relay import placement

SERVICE_NAME = "waiting"
PRIORITIES = 10  # priorities that a request may have
TURN = datetime.timedelta(milliseconds=20)
# A request that finds no backend at all is refused after this share of its
# first-byte target; groups form again within seconds, not milliseconds.
NO_BACKEND_SHARE = 1.0
# When to come back to a service without any backend.
NO_BACKEND_RETRY = datetime.timedelta(seconds=1)
# Of the time that a caller has left, to come back in; callers wait no longer
# than a third of it.
RETRY_SHARE = 0.3
RETRY_LEAST = datetime.timedelta(milliseconds=50)
# Work of an answer against a prompt token: decoding is a step for each token.
ANSWER_WEIGHT = 10
# Of the target, the time from a place to the first byte until it is measured,
# and the longest that is believed. Engines that are slow now recover as soon as
# less is sent to them; until then not all that waits may count as late.
FIRST_BYTE_SHARE = 0.5
FIRST_BYTE_SHARE_LONGEST = 0.8
FIRST_BYTE_WEIGHT = 0.1  # of a new time in the moving mean
NAME_SHOWN = 64  # characters of a caller's name in a log line
# Entitlements to the urgent rank are not part of this configuration.
UNLIMITED = 1e12

PoolKey = backends_module.PoolKey
ReadLoads = abc.Callable[[], placement.Loads]


@dataclasses.dataclass(slots=True)
class _Waiter:
    request: model.Request
    work: work_module.Work
    excluded: frozenset[model.BackendKey]
    pool: PoolKey
    since: datetime.timedelta
    place: event.AsyncResult


class WaitingRoom(services.LoopService):
    """Gives requests a place at a backend, in order."""

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        inventory: inventory_module.Inventory,
        states: backends_module.BackendStates,
        read_loads: ReadLoads,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._inventory = inventory
        self._states = states
        self._read_loads = read_loads
        self._generator = generator
        self._queues: dict[PoolKey, queue_module.WorkQueue] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._backends: dict[PoolKey, list[model.Backend]] = {}
        self._occupancies: dict[PoolKey, occupancy.Occupancy] = {}
        self._first_bytes: dict[PoolKey, datetime.timedelta] = {}
        self._revision = -1
        self._number = 0
        self._busy = event.Event()

    def start(self, kernel: services.Kernel) -> None:
        """Begins to look after waiting requests."""
        self.run_loop(self._run)

    def acquire(
        self,
        request: model.Request,
        service: str,
        excluded: frozenset[model.BackendKey] = frozenset(),
        resumed: bool = False,
    ) -> model.Backend:
        """Returns a backend with a place for the request.

        The place must be given back with `release`.

        Args:
            request: the request.
            service: the service that serves it.
            excluded: backends that it was sent to before.
            resumed: whether the caller has a part of the answer. Such work
                never counts as late, as its caller waits in mid-answer.

        Raises:
            RefusedError: the request cannot be served in time.
        """
        pool = self._find_pool(service, request)
        queue = self._queues.get(pool)
        if queue is None:
            if not self._is_known(pool):
                # Callers make names up; a queue for each would stay for good.
                raise model.RefusedError(_refuse_unknown(request))
            queue = self._queues[pool] = queue_module.WorkQueue()
        waiter = self._create_waiter(request, excluded, pool, resumed)
        now = self._clock.monotonic()
        refusal = queue.push(waiter.work, now)
        if refusal is not None:
            raise model.RefusedError(self._refuse(waiter, refusal))
        self._waiters[waiter.work.request_id] = waiter
        try:
            self._dispatch(pool)
            self._busy.set()
            return waiter.place.get()
        except BaseException:
            self._withdraw(waiter)
            raise
        finally:
            self._waiters.pop(waiter.work.request_id, None)

    def release(
        self,
        request: model.Request,
        service: str,
        backend: model.Backend,
        tokens: int,
        duration: datetime.timedelta,
    ) -> None:
        """Gives a place back.

        Args:
            request: the request that had it.
            service: the service it was acquired for.
            backend: where it ran.
            tokens: tokens answered; 0 if the request did not run to its end.
            duration: time since the place was given.
        """
        self._states.end(backend.key)
        pool = (service, backend.model)
        queue = self._queues[pool]
        work = self._create_work(request, "")
        queue.finish(work, work.tokens if tokens else 0, duration)
        self._dispatch(pool)

    def note_load(
        self, service: str, model_name: str, load: occupancy.EngineLoad
    ) -> None:
        """Notes what an answer says of the engine that it came from."""
        pool = (service, model_name)
        known = self._occupancies.setdefault(pool, occupancy.Occupancy())
        known.note(load, self._clock.monotonic())

    def note_first_byte(
        self, request: model.Request, service: str, duration: datetime.timedelta
    ) -> None:
        """Notes how long a backend took from its place to the first byte."""
        pool = self._find_pool(service, request)
        mean = self._first_bytes.get(pool, duration)
        mean += FIRST_BYTE_WEIGHT * (duration - mean)
        self._first_bytes[pool] = mean

    def list_backends(self, pool: PoolKey) -> list[model.Backend]:
        """Returns the backends of a service and model that take requests."""
        vms = self._inventory.list_vms()
        if self._revision != self._inventory.revision:
            self._revision = self._inventory.revision
            self._backends = backends_module.find_backends(vms)
            found = {b.key for some in self._backends.values() for b in some}
            self._states.retain(found)
        return self._backends.get(pool, [])

    def _find_pool(self, service: str, request: model.Request) -> PoolKey:
        """Returns the places that may serve a request."""
        engine = self._find_engine(service)
        plain = engine is None and self._catalog.current() is not None
        return (service, "" if plain else request.model)

    def _is_known(self, pool: PoolKey) -> bool:
        """Returns whether the configuration names a service and model."""
        catalog = self._catalog.current()
        if catalog is None:
            return True
        engine = self._find_engine(pool[0])
        if engine is None:
            return pool[0] in catalog.services
        return engine.find_model(pool[1]) is not None

    def _find_engine(self, service: str) -> catalog_model.Engine | None:
        catalog = self._catalog.current()
        found = None if catalog is None else catalog.services.get(service)
        return None if found is None else found.engine

    def _create_waiter(
        self,
        request: model.Request,
        excluded: frozenset[model.BackendKey],
        pool: PoolKey,
        resumed: bool,
    ) -> _Waiter:
        self._number += 1
        work = self._create_work(
            request, f"{request.request_id}#{self._number}"
        )
        names = frozenset(name for name, _ in excluded)
        work = dataclasses.replace(work, excluded=names)
        if not resumed:
            until = request.arrived + self._find_patience(request, pool)
            work = dataclasses.replace(work, punctual_until=until)
        return _Waiter(
            request=request,
            work=work,
            excluded=excluded,
            pool=pool,
            since=self._clock.monotonic(),
            place=event.AsyncResult(),
        )

    def _find_patience(
        self, request: model.Request, pool: PoolKey
    ) -> datetime.timedelta:
        """Returns how long a request may wait and still be on time."""
        target = request.route.first_byte_target
        needed = self._first_bytes.get(pool, target * FIRST_BYTE_SHARE)
        return target - min(needed, target * FIRST_BYTE_SHARE_LONGEST)

    def _create_work(
        self, request: model.Request, request_id: str
    ) -> work_module.Work:
        target = request.route.first_byte_target
        service = _create_service(target)
        account = "" if request.account is None else request.account.name
        answer = request.answer_tokens * ANSWER_WEIGHT
        priority = min(max(request.priority, 0), PRIORITIES - 1)
        return work_module.Work(
            request_id=request_id,
            service=service,
            account=_create_account(account),
            rank=service.ranks[priority],
            tokens=max(1, request.prompt_tokens + answer),
            arrived=request.arrived,
            deadline=request.deadline,
        )

    def _dispatch(self, pool: PoolKey) -> None:
        """Gives free places of one service and model to waiting requests."""
        queue = self._queues[pool]
        if not len(queue):
            return
        now = self._clock.monotonic()
        backends = self._list_moving(pool)
        usage = self._read_usage(pool, backends)
        # Made once there is room: with nothing free, each turn looks in vain.
        candidates: list[placement.Candidate] | None = None
        blocked: set[int] = set()
        blocked_accounts: set[tuple[int, str]] = set()
        while True:
            chosen = queue.select(now, None, blocked, blocked_accounts)
            if chosen is None:
                return
            work = chosen.work
            waiter = self._waiters[work.request_id]
            found = None
            late = _is_late(work, now)
            reserve = placement.count_reserve(usage) if late else 0.0
            if placement.count_free(usage) > reserve:
                if candidates is None:
                    candidates = self._list_candidates(pool, backends, usage)
                found = self._choose(candidates, waiter, usage)
            if found is not None and candidates is not None:
                usage = dataclasses.replace(usage, own=usage.own + 1)
                queue.take(work.request_id, now)
                self._states.begin(found.backend.key)
                position = candidates.index(found)
                candidates[position] = dataclasses.replace(
                    found, running=found.running + 1
                )
                waiter.place.set(found.backend)
            elif waiter.excluded:
                blocked_accounts.add((work.rank.priority, work.account.name))
            else:
                blocked.add(work.rank.priority)

    def _choose(
        self,
        candidates: list[placement.Candidate],
        waiter: _Waiter,
        usage: placement.Usage,
    ) -> placement.Candidate | None:
        engine = self._find_engine(waiter.pool[0])
        return placement.choose(
            candidates,
            waiter.excluded,
            1.0 if engine is None else engine.step_ms,
            1.0 if engine is None else engine.per_request_ms,
            usage.own + usage.others,
            self._generator,
        )

    def _list_candidates(
        self,
        pool: PoolKey,
        backends: list[model.Backend],
        usage: placement.Usage,
    ) -> list[placement.Candidate]:
        size = self._find_size(pool)
        others = placement.bound_others(usage)
        return [
            placement.Candidate(
                backend=backend,
                running=self._states[backend.key].running
                + others / len(backends),
                slowness=max(1.0, self._states[backend.key].ratio),
                avoided=self._states.rests(backend.key)
                or self._states.is_slow(backend.key)
                # A member that left the list may only be cut off from it.
                or backend.members < size,
            )
            for backend in backends
        ]

    def _list_moving(self, pool: PoolKey) -> list[model.Backend]:
        """Returns the backends that do not stand still."""
        return [
            backend
            for backend in self.list_backends(pool)
            if not self._states.is_stalled(backend.key)
        ]

    def _read_usage(
        self, pool: PoolKey, backends: list[model.Backend]
    ) -> placement.Usage:
        """Returns who uses the places of a service and model.

        Groups that stand still have none; what runs there goes elsewhere.
        """
        loads = self._read_loads()
        own = sum(self._states[found.key].running for found in backends)
        places = sum(found.slots for found in backends)
        others: float = sum(
            loads.running.get(found.key[1], 0) for found in backends
        )
        known = self._occupancies.get(pool)
        full = None if known is None else known.read(self._clock.monotonic())
        if full is not None:
            others = max(0.0, full * places - own)
        return placement.Usage(
            places=places, own=own, others=others, daemons=loads.daemons
        )

    def _find_size(self, pool: PoolKey) -> int:
        """Returns how many VMs a whole group of the pool's model has."""
        engine = self._find_engine(pool[0])
        spec = None if engine is None else engine.find_model(pool[1])
        return 1 if spec is None else spec.size

    def _withdraw(self, waiter: _Waiter) -> None:
        if self._queues[waiter.pool].withdraw(waiter.work.request_id):
            return
        if waiter.place.ready() and waiter.place.successful():
            # The place came in the same moment as the error.
            backend = waiter.place.get()
            self.release(
                waiter.request,
                waiter.pool[0],
                backend,
                0,
                datetime.timedelta(),
            )

    def _run(self) -> None:
        while True:
            self._busy.wait()
            self._clock.sleep(TURN)
            for pool, queue in self._queues.items():
                if len(queue):
                    self._dispatch(pool)
                    self._give_up(pool, queue)
            if not self._waiters:
                self._busy.clear()

    def _give_up(self, pool: PoolKey, queue: queue_module.WorkQueue) -> None:
        now = self._clock.monotonic()
        for refused in queue.give_up(now):
            waiter = self._waiters.get(refused.work.request_id)
            if waiter is not None:
                waiter.place.set_exception(
                    model.RefusedError(self._refuse(waiter, refused.refusal))
                )
        if self._list_moving(pool):
            return
        for waiter in list(self._waiters.values()):
            target = waiter.request.route.first_byte_target * NO_BACKEND_SHARE
            if waiter.pool != pool or now - waiter.since < target:
                continue
            if queue.withdraw(waiter.work.request_id):
                refusal = model.Refusal(
                    status=503,
                    code="no_backend",
                    not_run=True,
                    retry_after=self._bound_retry(waiter, NO_BACKEND_RETRY),
                )
                waiter.place.set_exception(model.RefusedError(refusal))

    def _refuse(
        self, waiter: _Waiter, refusal: work_module.Refusal
    ) -> model.Refusal:
        """Returns a refusal and logs what decided it."""
        backends = self._list_moving(waiter.pool)
        usage = self._read_usage(waiter.pool, backends)
        age = self._inventory.get_age()
        eliot.log_message(
            "waiting:refused",
            request_id=waiter.request.request_id,
            code=refusal.code,
            model=waiter.pool[1],
            priority=waiter.request.priority,
            waiting=len(self._queues[waiter.pool]),
            backends=len(backends),
            running=round(usage.own + placement.bound_others(usage)),
            list_age=None if age is None else round(age.total_seconds(), 3),
        )
        return model.Refusal(
            status=refusal.status,
            code=refusal.code,
            not_run=True,
            retry_after=self._bound_retry(waiter, refusal.retry_after),
        )

    def _bound_retry(
        self, waiter: _Waiter, retry_after: datetime.timedelta | None
    ) -> datetime.timedelta | None:
        """Returns when to come back, early enough for an answer in time."""
        if retry_after is None:
            return None
        left = waiter.request.deadline - self._clock.monotonic()
        return max(min(retry_after, left * RETRY_SHARE), RETRY_LEAST)


def _refuse_unknown(request: model.Request) -> model.Refusal:
    eliot.log_message(
        "waiting:unknown_model",
        request_id=request.request_id,
        model=request.model[:NAME_SHOWN],
    )
    return model.Refusal(
        status=503,
        code="no_backend",
        not_run=True,
        retry_after=NO_BACKEND_RETRY,
    )


def _is_late(work: work_module.Work, now: datetime.timedelta) -> bool:
    return work.punctual_until is not None and work.punctual_until <= now


@functools.lru_cache(maxsize=64)
def _create_service(target: datetime.timedelta) -> config_model.Service:
    ranks = tuple(
        config_model.Rank(
            name=str(priority),
            priority=priority,
            worth=1.0,
            first_token_target=target,
            floor_share=0.0,
        )
        for priority in range(PRIORITIES)
    )
    return config_model.Service(
        name="",
        team="",
        ranks=ranks,
        accounts=(),
        limits=config_model.Limits(accelerators=0),
    )


@functools.lru_cache(maxsize=1024)
def _create_account(name: str) -> config_model.Account:
    return config_model.Account(
        name=name, key_digests=(), urgent_tokens_per_second=UNLIMITED
    )
