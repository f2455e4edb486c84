"""Admits requests to replicas; work waits here and not in the engines."""

import datetime
import itertools
from collections import abc

import expression
import gevent
from gevent import event

from arbutuscove.admission import dispatch
from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services

SERVICE_NAME = "admission"
# Longest time until waiting work that cannot be served any more is refused;
# below the 50 ms in which a refusal must be answered.
DISPATCH_INTERVAL = datetime.timedelta(milliseconds=25)
RETRY_AFTER = datetime.timedelta(seconds=2)

Admitted = expression.Result[work_module.Ticket, work_module.Refusal]


class Admission(services.LoopService):
    """Queues of all services and the tickets in use."""

    def __init__(
        self,
        clock: clock_module.Clock,
        routing: dispatch.Router,
        lag: loop.LagMonitor,
        publish_loads: abc.Callable[[tuple[int, ...]], None] | None = None,
    ) -> None:
        self._clock = clock
        self._routing = routing
        self._lag = lag
        self._publish_loads = publish_loads
        self._queues: dict[str, queue.WorkQueue] = {}
        self._waiting: dict[str, event.AsyncResult] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Begins to dispatch waiting work."""
        self.run_loop(self._run)

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def sum_requests(self) -> tuple[int, ...]:
        """Returns requests running and waiting by priority, all services."""
        demands = [
            waiting.count_requests() for waiting in self._queues.values()
        ]
        columns = itertools.zip_longest(*demands, fillvalue=0)
        return tuple(sum(column) for column in columns)

    def admit(self, work: work_module.Work) -> Admitted:
        """Waits until the work may run, or returns why it may not.

        A refusal is returned as soon as it is certain, at the latest at the
        work's deadline. A ticket must be given back with `finish`.
        """
        if self._lag.sustained() > loop.SHED_LAG:
            return expression.Error(_refuse("overloaded", "daemon overloaded"))
        name = work.service.name
        waiting = self._queues.setdefault(name, queue.WorkQueue())
        refusal = waiting.push(work, self._clock.monotonic())
        if refusal is not None:
            return expression.Error(refusal)
        result: event.AsyncResult = event.AsyncResult()
        self._waiting[work.request_id] = result
        try:
            self._dispatch(name)
            left = work.deadline - self._clock.monotonic()
            return result.get(timeout=max(0.0, left.total_seconds()))
        except gevent.Timeout:
            if result.ready():  # granted just as the time ran out
                return result.get()
            return expression.Error(
                _refuse("deadline", "no capacity before the deadline")
            )
        except BaseException:
            # The caller was killed after a ticket was granted to it.
            if result.ready() and result.value.is_ok():
                self.finish(result.value.ok, 0)
            raise
        finally:
            waiting.withdraw(work.request_id)
            self._waiting.pop(work.request_id, None)

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Gives a ticket back after `tokens` were generated."""
        name = ticket.work.service.name
        self._routing.release(ticket, tokens)
        waiting = self._queues.get(name)
        if waiting is not None:
            duration = self._clock.monotonic() - ticket.admitted
            waiting.finish(ticket.work, tokens, duration)
        self._dispatch(name)

    def _dispatch(self, service: str) -> None:
        waiting = self._queues.get(service)
        if waiting is None:
            return
        now = self._clock.monotonic()
        for refused in waiting.reject_unservable(now):
            self._answer(
                refused.work.request_id, expression.Error(refused.refusal)
            )
        for ticket in dispatch.dispatch(waiting, self._routing, now):
            self._answer(ticket.work.request_id, expression.Ok(ticket))

    def _answer(self, request_id: str, answer: Admitted) -> None:
        result = self._waiting.get(request_id)
        if result is not None:
            result.set(answer)

    def _run(self) -> None:
        while True:
            self._clock.sleep(DISPATCH_INTERVAL)
            for service in list(self._queues):
                self._dispatch(service)
            if self._publish_loads is not None:
                self._publish_loads(self.sum_requests())


def _refuse(code: str, message: str) -> work_module.Refusal:
    return work_module.Refusal(
        status=503, code=code, message=message, retry_after=RETRY_AFTER
    )
