"""Dispatch of waiting requests to backends with free slots.

Requests wait in this daemon and not in the engines, so that urgent requests are
never queued behind admitted ones and engines stay fast enough for streams to be
on time. Each service and model has a queue of its own; `admission.queue`
decides its order and which requests are rejected at once because they cannot be
served in time.
"""

import dataclasses
import datetime
import random
from collections import abc

import eliot
from gevent import event

from arbutuscove.admission import queue as queue_module
from arbutuscove.admission import work as work_module
from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model as fleet_model
from arbutuscove.fleet import notices
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.kernel import shutdown as shutdown_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import blocking
from arbutuscove.relay import domains as domains_module
from arbutuscove.relay import explanation
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.relay import placement
from arbutuscove.relay import rounds
from arbutuscove.relay import selection as selection_module
from arbutuscove.relay import warming as warming_module
from arbutuscove.relay import works as works_module

SERVICE_NAME = "waiting"
DISPATCH_INTERVAL = datetime.timedelta(milliseconds=20)

PoolKey = backends_module.PoolKey


class RequestDispatcher(services.LoopService):
    """Queues requests and assigns them to slots of backends, in order.

    Attributes:
        shutdown: the planned stop of this daemon.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        inventory: inventory_module.Inventory,
        states: backends_module.BackendStates,
        read_loads: selection_module.ReadLoads,
        generator: random.Random,
        shutdown: shutdown_module.Shutdown | None = None,
        is_evacuated: abc.Callable[[str], bool] = lambda domain: False,
        warming: warming_module.WarmingBackends | None = None,
        failure_domain: str = "",
        metrics: metrics_module.Metrics | None = None,
    ) -> None:
        """Creates a dispatcher without waiting requests.

        Args:
            clock: source of monotonic times.
            catalog: holder of the configuration.
            inventory: the listed VMs.
            states: observed states of the backends.
            read_loads: returns the requests in flight at other daemons.
            generator: source of random choices.
            shutdown: the planned stop of this daemon.
            is_evacuated: whether a failure domain may be sent nothing.
            warming: this daemon's turns at warming backends.
            failure_domain: the daemon's, empty if it has none.
            metrics: the daemon's metrics.
        """
        self.shutdown = shutdown or shutdown_module.Shutdown()
        self._clock = clock
        self._catalog = catalog
        self._inventory = inventory
        self._states = states
        self._selector = selection_module.BackendSelector(
            clock,
            catalog,
            inventory,
            states,
            read_loads,
            generator,
            domains_module.DomainFlows(failure_domain, clock, catalog, metrics),
            is_evacuated,
            warming,
        )
        self._blocking = blocking.Blocking(clock, self._selector, self.shutdown)
        self._queues: dict[PoolKey, queue_module.WorkQueue] = {}
        self._waiters: dict[str, blocking.Waiter] = {}
        self._works = works_module.Works(catalog, self._queues.__contains__)
        self._sequence = 0
        self._has_waiters = event.Event()

    def start(self, kernel: services.Kernel) -> None:
        """Starts the loop that dispatches and rejects waiting requests."""
        self.run_loop(self._run)

    def acquire(
        self,
        request: model.Request,
        service: str,
        excluded: frozenset[model.BackendKey] = frozenset(),
        is_resumed: bool = False,
        may_have_run: bool = False,
    ) -> model.Backend:
        """Waits for a free slot for the request and returns its backend.

        The caller must free the slot with `release`.

        Args:
            request: the request.
            service: the service that serves the request.
            excluded: backends that the request was sent to before.
            is_resumed: whether the caller has a part of the answer. Such a
                request never counts as late, as its caller waits in the middle
                of the answer.
            may_have_run: whether an earlier attempt may have run the request.
                Only another attempt can then serve its caller, even late in a
                planned stop.

        Returns:
            The backend whose slot the request occupies.

        Raises:
            RefusedError: the request cannot be served in time.
        """
        pool = self._works.get_pool(service, request)
        queue = self._queues.get(pool)
        if queue is None:
            if not self._works.is_configured(pool):
                # Queues are never removed: a queue for each name that callers
                # invent would fill the memory.
                raise model.RefusedError(
                    blocking.build_unknown_refusal(request)
                )
            queue = self._queues[pool] = queue_module.WorkQueue(
                blocking.QUEUE_SETTINGS
            )
        waiter = self._create_waiter(
            request, excluded, pool, is_resumed, may_have_run
        )
        self._check_shutdown(waiter)
        blocked = self._blocking.find_wait_refusal(waiter)
        if blocked is not None:
            raise model.RefusedError(blocked)
        now = self._clock.monotonic()
        refusal = queue.push(waiter.work, now)
        if refusal is not None:
            raise model.RefusedError(self._build_refusal(waiter, refusal))
        self._waiters[waiter.work.request_id] = waiter
        try:
            self._dispatch(pool)
            self._has_waiters.set()
            backend: model.Backend = waiter.assignment.get()
            self._check_shutdown(waiter)
            return backend
        except BaseException:
            self._withdraw(waiter)
            raise
        finally:
            self._waiters.pop(waiter.work.request_id, None)

    def explain(
        self,
        request: model.Request,
        service: str,
        generator: random.Random,
    ) -> explanation.Explanation:
        """Returns what `acquire` would do now; nothing is taken or kept.

        Args:
            request: the request.
            service: the service that serves the request.
            generator: random source of the explanation.
        """
        sources = explanation.Sources(
            clock=self._clock,
            selector=self._selector.copy(generator),
            works=self._works,
            queues=self._queues,
            shutdown=self.shutdown,
        )
        return explanation.explain(request, service, sources)

    def release(
        self,
        request: model.Request,
        service: str,
        backend: model.Backend,
        tokens: int,
        duration: datetime.timedelta,
    ) -> None:
        """Frees the slot of a request.

        Args:
            request: the request that occupied the slot.
            service: the service that the slot was acquired for.
            backend: the backend of the slot.
            tokens: 0 if the request did not run to its end, else positive.
            duration: time since the slot was acquired.
        """
        self._states.end_request(backend.key)
        pool = (service, backend.model)
        queue = self._queues[pool]
        work = works_module.create_work(request, "")
        queue.finish(work, work.tokens if tokens else 0, duration)
        if tokens:
            self._selector.record_end(pool, duration)
        self._dispatch(pool)

    def record_load(
        self,
        service: str,
        model_name: str,
        load: occupancy.EngineLoad,
        domain: str = "",
    ) -> None:
        """Records the engine load that an answer from a domain reports."""
        self._selector.record_load((service, model_name), load, domain)

    def list_waiting(self) -> list[tuple[PoolKey, int]]:
        """Returns how many requests wait, without empty queues."""
        return [
            (pool, len(queue))
            for pool, queue in self._queues.items()
            if len(queue)
        ]

    def list_backends(self, pool: PoolKey) -> list[model.Backend]:
        """Returns the backends of a service and model that accept requests."""
        return self._selector.list_backends(pool)

    def is_evacuated(self, backend: model.Backend) -> bool:
        """Returns whether the failure domain of a backend is evacuated."""
        return self._selector.is_evacuated(backend)

    def count_slots(self) -> int:
        """Returns the number of slots of all backends."""
        return self._selector.count_slots()

    def record_notice(self, vm: fleet_model.Vm, notice: notices.Notice) -> None:
        """Records what a VM says about itself in an answer.

        Args:
            vm: the VM that the request was sent to, as it was listed then.
            notice: the notice; it is ignored if another VM sent it.
        """
        if notice.is_empty() or not notice.is_from(vm.name):
            return
        if notice.leaving:
            self._inventory.record_leaving(vm.identity, is_local=True)
        if notice.pause is not None:
            self._states.pause(vm, notice.pause)
        if notice.warming_left is not None:
            self._inventory.warming.record_notice(
                vm.identity, notice.warming_left
            )

    def get_pause(
        self, service: str, request: model.Request
    ) -> datetime.timedelta | None:
        """Returns when the first backend of a request ends its pause.

        Returns None if a backend is usable now, or if none has paused.
        """
        return self._selector.get_pause(self._works.get_pool(service, request))

    def record_first_byte(
        self, request: model.Request, service: str, duration: datetime.timedelta
    ) -> None:
        """Records the time from the dispatch of a request to the first byte."""
        pool = self._works.get_pool(service, request)
        self._works.record_first_byte(pool, duration)

    def _create_waiter(
        self,
        request: model.Request,
        excluded: frozenset[model.BackendKey],
        pool: PoolKey,
        is_resumed: bool,
        may_have_run: bool,
    ) -> blocking.Waiter:
        self._sequence += 1
        name = f"{request.request_id}#{self._sequence}"
        work = (
            works_module.create_work(request, name)
            if is_resumed
            else self._works.create_first(request, name, pool)
        )
        names = frozenset(name for name, _ in excluded)
        work = dataclasses.replace(work, excluded=names)
        return blocking.Waiter(
            request=request,
            work=work,
            excluded=excluded,
            pool=pool,
            may_have_run=may_have_run,
            enqueued_at=self._clock.monotonic(),
            assignment=event.AsyncResult(),
        )

    def _dispatch(self, pool: PoolKey) -> None:
        """Assigns free slots of one service and model to waiting requests."""
        queue = self._queues[pool]
        if not len(queue):
            return
        now = self._clock.monotonic()
        current = rounds.Round(self._selector, pool, len(queue))
        blocked_ranks: set[int] = set()
        blocked_accounts: set[tuple[int, str]] = set()
        while True:
            chosen = queue.select(now, None, blocked_ranks, blocked_accounts)
            if chosen is None:
                return
            work = chosen.work
            waiter = self._waiters[work.request_id]
            is_late = _is_late(work, now)
            candidate = current.choose(
                waiter.excluded, is_late, waiter.request.prompt_tokens
            )
            if candidate is not None:
                queue.dequeue(work.request_id, now)
                current.take(candidate, is_late)
                self._states.begin_request(candidate.backend.key)
                waiter.assignment.set(candidate.backend)
            elif waiter.excluded:
                blocked_accounts.add((work.rank.priority, work.account.name))
            else:
                blocked_ranks.add(work.rank.priority)

    def _withdraw(self, waiter: blocking.Waiter) -> None:
        if self._queues[waiter.pool].withdraw(waiter.work.request_id):
            return
        if waiter.assignment.ready() and waiter.assignment.successful():
            # The slot was assigned at the same time as the error occurred.
            backend = waiter.assignment.get()
            self.release(
                waiter.request,
                waiter.pool[0],
                backend,
                0,
                datetime.timedelta(),
            )

    def _run(self) -> None:
        while True:
            self._has_waiters.wait()
            self._clock.sleep(DISPATCH_INTERVAL)
            for pool, queue in self._queues.items():
                if len(queue):
                    self._dispatch(pool)
                    self._reject_expired(pool, queue)
                    self._reject_stopped(pool, queue)
            if not self._waiters:
                self._has_waiters.clear()

    def _reject_expired(
        self, pool: PoolKey, queue: queue_module.WorkQueue
    ) -> None:
        now = self._clock.monotonic()
        for refused in queue.reject_unservable(now):
            waiter = self._waiters.get(refused.work.request_id)
            if waiter is not None:
                waiter.assignment.set_exception(
                    model.RefusedError(
                        self._build_refusal(waiter, refused.refusal)
                    )
                )
        self._reject_blocked(pool, queue)
        if self._selector.list_usable(pool):
            return
        for waiter in list(self._waiters.values()):
            target = (
                waiter.request.route.first_byte_target
                * blocking.NO_BACKEND_TIMEOUT_SHARE
            )
            if waiter.pool != pool or now - waiter.enqueued_at < target:
                continue
            if queue.withdraw(waiter.work.request_id):
                refusal = blocking.build_refusal(
                    "no_backend",
                    self._blocking.bound_retry_after(
                        waiter, blocking.NO_BACKEND_RETRY_AFTER
                    ),
                )
                waiter.assignment.set_exception(model.RefusedError(refusal))

    def _reject_blocked(
        self, pool: PoolKey, queue: queue_module.WorkQueue
    ) -> None:
        """Refuses what waits while no backend may be sent it for long."""
        usable = self._selector.list_usable(pool)
        if self._selector.list_steady(usable):
            return
        wait = self._selector.get_warming_wait(pool)
        if usable and not wait:
            return  # a turn is due
        for waiter in list(self._waiters.values()):
            if waiter.pool != pool:
                continue
            if usable:
                refusal = self._blocking.find_warming_refusal(waiter, wait)
            else:
                refusal = self._blocking.find_closed_refusal(waiter)
            if refusal is not None and queue.withdraw(waiter.work.request_id):
                waiter.assignment.set_exception(model.RefusedError(refusal))

    def _reject_stopped(
        self, pool: PoolKey, queue: queue_module.WorkQueue
    ) -> None:
        """Refuses waiting requests that a planned stop may cut."""
        if self.shutdown.get_schedule() is None:
            return
        for waiter in list(self._waiters.values()):
            if waiter.pool != pool:
                continue
            refusal = self._blocking.find_stop_refusal(waiter)
            if refusal is not None and queue.withdraw(waiter.work.request_id):
                waiter.assignment.set_exception(model.RefusedError(refusal))

    def _check_shutdown(self, waiter: blocking.Waiter) -> None:
        refusal = self._blocking.find_stop_refusal(waiter)
        if refusal is not None:
            raise model.RefusedError(refusal)

    def _build_refusal(
        self, waiter: blocking.Waiter, refusal: work_module.Refusal
    ) -> model.Refusal:
        """Returns the response of a refusal and logs the state behind it."""
        backends = self._selector.list_usable(waiter.pool)
        usage = self._selector.read_usage(waiter.pool, backends)
        age = self._inventory.get_age()
        eliot.log_message(
            "waiting:refused",
            request_id=waiter.request.request_id,
            code=refusal.code,
            model=waiter.pool[1],
            priority=waiter.request.priority,
            waiting=len(self._queues[waiter.pool]),
            backends=len(backends),
            running=round(usage.own + placement.bound_peer_usage(usage)),
            own=usage.own,
            places=usage.places,
            lent=round(usage.loan.slots, 1),
            is_hopeless=refusal.is_hopeless,
            list_age=None if age is None else round(age.total_seconds(), 3),
        )
        return model.Refusal(
            status=refusal.status,
            code=refusal.code,
            not_run=True,
            retry_after=self._blocking.bound_retry_after(
                waiter, refusal.retry_after
            ),
        )


def _is_late(work: work_module.Work, now: datetime.timedelta) -> bool:
    return (
        work.latest_on_time_start is not None
        and work.latest_on_time_start <= now
    )
