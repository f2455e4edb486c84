"""Admits requests to replicas; work waits here and not in the engines."""

import datetime

import expression
import gevent
from gevent import event

from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.routing import service as routing_module

SERVICE_NAME = "admission"
DISPATCH_INTERVAL = datetime.timedelta(milliseconds=50)
RETRY_AFTER = datetime.timedelta(seconds=2)

Admitted = expression.Result[work_module.Ticket, work_module.Refusal]


class Admission(services.BaseService):
    """Queues of all services and the tickets in use."""

    def __init__(
        self,
        clock: clock_module.Clock,
        routing: routing_module.Routing,
        lag: loop.LagMonitor,
    ) -> None:
        self._clock = clock
        self._routing = routing
        self._lag = lag
        self._queues: dict[str, queue.WorkQueue] = {}
        self._waiting: dict[str, event.AsyncResult] = {}
        self._greenlet: gevent.Greenlet | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Begins to dispatch waiting work."""
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Ends dispatching."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def admit(self, work: work_module.Work) -> Admitted:
        """Waits until the work may run, or returns why it may not.

        The answer comes at the latest at the work's deadline. A ticket must be
        given back with `finish`.
        """
        if self._lag.lag() > loop.SHED_LAG:
            return expression.Error(_refuse("overloaded", "daemon overloaded"))
        waiting = self._queues.setdefault(work.service.name, queue.WorkQueue())
        refusal = waiting.push(work)
        if refusal is not None:
            return expression.Error(refusal)
        result: event.AsyncResult = event.AsyncResult()
        self._waiting[work.request_id] = result
        try:
            self._dispatch(work.service.name)
            left = work.deadline - self._clock.monotonic()
            seconds = max(0.0, left.total_seconds())
            return expression.Ok(result.get(timeout=seconds))
        except gevent.Timeout:
            return expression.Error(
                _refuse("deadline", "no capacity before the deadline")
            )
        finally:
            waiting.remove(work)
            self._waiting.pop(work.request_id, None)

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Gives a ticket back after `tokens` were generated."""
        self._routing.release(ticket)
        self._dispatch(ticket.work.service.name)

    def _dispatch(self, service: str) -> None:
        waiting = self._queues.get(service)
        while waiting is not None:
            work = waiting.peek()
            if work is None:
                return
            ticket = self._routing.choose(work)
            if ticket is None:
                return
            waiting.remove(work)
            self._waiting[work.request_id].set(ticket)

    def _run(self) -> None:
        while True:
            self._clock.sleep(DISPATCH_INTERVAL)
            for service in list(self._queues):
                self._dispatch(service)


def _refuse(code: str, message: str) -> work_module.Refusal:
    return work_module.Refusal(
        status=503, code=code, message=message, retry_after=RETRY_AFTER
    )
