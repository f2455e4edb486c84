"""Admission service: requests wait here for a replica, not in the engines."""

import dataclasses
import datetime
import itertools
import random
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
from arbutuscove.replicas import model as replica_model

SERVICE_NAME = "admission"
# Longest time until waiting work that can no longer be served is refused. A
# refusal must be answered within 50 ms.
DISPATCH_INTERVAL = datetime.timedelta(milliseconds=25)
RETRY_AFTER = datetime.timedelta(seconds=2)

AdmissionResult = expression.Result[work_module.Ticket, work_module.Refusal]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Preview:
    """What would happen to a request.

    Attributes:
        refusal: why it would be refused, None if it would not be.
        replica: where it would run at once, None if it would wait.
        behind: waiting requests that may go before it.
        uses: the serving replicas of its service.
    """

    refusal: work_module.Refusal | None
    replica: replica_model.ServingReplica | None
    behind: int
    uses: tuple[work_module.ReplicaUse, ...]


class Admission(services.LoopService):
    """Admits requests of all services; has one queue for each service."""

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
        self._pending: dict[str, event.AsyncResult] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Starts the loop that dispatches waiting work."""
        self.run_loop(self._run)

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._pending)

    def sum_requests(self) -> tuple[int, ...]:
        """Returns running and waiting requests of all services by priority."""
        counts = [
            work_queue.count_requests() for work_queue in self._queues.values()
        ]
        columns = itertools.zip_longest(*counts, fillvalue=0)
        return tuple(sum(column) for column in columns)

    def admit(self, work: work_module.Work) -> AdmissionResult:
        """Waits until the work may run or is refused.

        A refusal is returned as soon as it is certain, at the latest at the
        work's deadline. A ticket must be released with `finish`.

        Args:
            work: the request.

        Returns:
            A ticket, or the refusal.
        """
        if self._lag.get_sustained_lag() > loop.SHED_LAG:
            return expression.Error(_refuse("overloaded", "daemon overloaded"))
        name = work.service.name
        work_queue = self._queues.setdefault(name, queue.WorkQueue())
        refusal = work_queue.push(work, self._clock.monotonic())
        if refusal is not None:
            return expression.Error(refusal)
        result: event.AsyncResult = event.AsyncResult()
        self._pending[work.request_id] = result
        try:
            self._dispatch(name)
            left = work.deadline - self._clock.monotonic()
            return result.get(timeout=max(0.0, left.total_seconds()))
        except gevent.Timeout:
            if result.ready():  # set at the moment of the timeout
                return result.get()
            return expression.Error(
                _refuse("deadline", "no capacity before the deadline")
            )
        except BaseException:
            # The caller was killed after it had been granted a ticket.
            if result.ready() and result.value.is_ok():
                self.finish(result.value.ok, 0)
            raise
        finally:
            work_queue.withdraw(work.request_id)
            self._pending.pop(work.request_id, None)

    def preview(
        self, work: work_module.Work, generator: random.Random
    ) -> Preview:
        """Returns what `admit` would do now; the work takes nothing.

        Args:
            work: the request.
            generator: random source of the preview.
        """
        now = self._clock.monotonic()
        chosen, uses = self._routing.preview(work, generator)
        work_queue = self._queues.get(work.service.name, queue.WorkQueue())
        refusal = None
        if self._lag.get_sustained_lag() > loop.SHED_LAG:
            refusal = _refuse("overloaded", "daemon overloaded")
        return Preview(
            refusal=refusal or work_queue.predict_refusal(work, now),
            replica=chosen,
            behind=work_queue.count_ahead(work, now),
            uses=tuple(uses),
        )

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Releases a ticket and dispatches waiting work.

        Args:
            ticket: the ticket.
            tokens: number of generated tokens.
        """
        name = ticket.work.service.name
        self._routing.release(ticket, tokens)
        work_queue = self._queues.get(name)
        if work_queue is not None:
            duration = self._clock.monotonic() - ticket.admitted
            work_queue.finish(ticket.work, tokens, duration)
        self._dispatch(name)

    def _dispatch(self, service: str) -> None:
        work_queue = self._queues.get(service)
        if work_queue is None:
            return
        now = self._clock.monotonic()
        for rejected_work in work_queue.reject_unservable(now):
            self._resolve(
                rejected_work.work.request_id,
                expression.Error(rejected_work.refusal),
            )
        for ticket in dispatch.dispatch(work_queue, self._routing, now):
            self._resolve(ticket.work.request_id, expression.Ok(ticket))

    def _resolve(self, request_id: str, outcome: AdmissionResult) -> None:
        result = self._pending.get(request_id)
        if result is not None:
            result.set(outcome)

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
