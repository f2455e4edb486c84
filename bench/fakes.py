"""Fakes of the engines and the replica directory for the simulation."""

import dataclasses
import datetime
import heapq
import itertools
import random
import typing
from collections import abc

from arbutuscove.admission import work as work_module
from arbutuscove.replicas import model
from arbutuscove.upstreams import protocol
from bench import events

# A replica whose last load report is older receives no requests.
REPORT_MAX_AGE_SECONDS = 3.0
KV_USED_AT_FULL_LOAD = 0.8  # fraction of KV memory when all slots are in use


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One request dispatched to an engine; times in seconds.

    `prefill` is the time to the first token and `run_time` that to the last
    one. A queued job is not started after `start_deadline`, when its caller has
    disconnected. `on_end` is called with whether the answer is complete.
    """

    work: work_module.Work
    prefill: float
    run_time: float
    priority: int
    on_first_token: abc.Callable[[], None]
    on_end: abc.Callable[[bool], None]
    start_deadline: float = float("inf")
    is_lost: bool = False
    has_first_token: bool = False


class Engine:
    """A replica with slots and a queue by priority for jobs beyond them."""

    def __init__(self, loop: events.EventLoop, name: str, slots: int) -> None:
        self._loop = loop
        self.name = name
        self.slots = slots
        self.is_alive = True
        self.slowdown_factor = 1.0
        self.running: set[Job] = set()
        self.waiting: list[tuple[int, int, Job]] = []
        self.max_queue_length = 0
        self.executions: list[tuple[float, str, float]] = []
        self._sequence_numbers = itertools.count()

    def send(self, job: Job) -> bool:
        """Starts or enqueues a job.

        Returns:
            False if the engine is down and refuses the connection.
        """
        if not self.is_alive:
            return False
        if len(self.running) < self.slots:
            self._start(job)
        else:
            item = (job.priority, next(self._sequence_numbers), job)
            heapq.heappush(self.waiting, item)
            self.max_queue_length = max(
                self.max_queue_length, len(self.waiting)
            )
        return True

    def crash(self) -> None:
        """Stops the engine; all running and queued jobs fail."""
        self.is_alive = False
        lost = [*self.running, *(job for _, _, job in self.waiting)]
        self.running.clear()
        self.waiting.clear()
        for job in sorted(lost, key=lambda item: item.work.request_id):
            job.is_lost = True
            job.on_end(False)

    def _start(self, job: Job) -> None:
        self.running.add(job)
        now = self._loop.now()
        duration = job.run_time * self.slowdown_factor
        self.executions.append((now, job.work.request_id, duration))
        self._loop.call_at(
            now + job.prefill * self.slowdown_factor,
            lambda: self._emit_first_token(job),
        )
        self._loop.call_at(now + duration, lambda: self._finish(job))

    def _emit_first_token(self, job: Job) -> None:
        if not job.is_lost:
            job.has_first_token = True
            job.on_first_token()

    def _finish(self, job: Job) -> None:
        if job.is_lost:
            return
        self.running.discard(job)
        while self.waiting and len(self.running) < self.slots:
            _, _, next_job = heapq.heappop(self.waiting)
            if next_job.start_deadline < self._loop.now():
                next_job.on_end(False)
            else:
                self._start(next_job)
        job.on_end(True)


class Report(typing.NamedTuple):
    """A load report and the time at which it was sampled, in seconds."""

    sampled_at: float
    running: int
    queued: int


class Directory:
    """Lists replicas with delayed load reports, like the real directory.

    Each engine is polled every `interval` seconds; its report arrives
    `report_lag` seconds later.
    """

    def __init__(
        self,
        loop: events.EventLoop,
        engines: dict[str, Engine],
        report_lag: float,
        interval: float,
        generator: random.Random,
    ) -> None:
        self._loop = loop
        self._engines = engines
        self._report_lag = report_lag
        self._reports: dict[str, Report] = {}
        for name in engines:
            loop.call_every(
                interval,
                lambda name=name: self._request_report(name),
                generator.uniform(0.0, interval),
            )
            self._reports[name] = Report(0.0, 0, 0)

    def list_serving(self, service: str) -> list[model.ServingReplica]:
        """Returns the replicas whose load report is not stale."""
        now = self._loop.now()
        return [
            _build_serving(service, self._engines[name], report)
            for name, report in self._reports.items()
            if now - report.sampled_at - self._report_lag
            <= REPORT_MAX_AGE_SECONDS
        ]

    def _request_report(self, name: str) -> None:
        engine = self._engines[name]
        if not engine.is_alive:
            return
        report = Report(
            self._loop.now(), len(engine.running), len(engine.waiting)
        )
        self._loop.call_at(
            report.sampled_at + self._report_lag,
            lambda: self._reports.__setitem__(name, report),
        )


def _build_serving(
    service: str, engine: Engine, report: Report
) -> model.ServingReplica:
    return model.ServingReplica(
        replica=engine.name,
        service=service,
        fabric_domain="",
        generation=1,
        leader=protocol.Member(name=engine.name, address=""),
        slots=engine.slots,
        running=report.running,
        queued=report.queued,
        reported_at=datetime.timedelta(seconds=report.sampled_at),
        kv_used=KV_USED_AT_FULL_LOAD * report.running / engine.slots,
    )
