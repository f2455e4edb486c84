"""Fakes at the interfaces of the decision code: engines and directory."""

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

FRESH_FOR = 3.0  # seconds after which a silent replica gets no work
KV_PER_SLOT = 0.8  # fraction of KV memory in use when all slots are


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class Job:
    """One dispatch at an engine."""

    work: work_module.Work
    prefill: float
    run_time: float
    priority: int
    first_token: abc.Callable[[], None]
    ended: abc.Callable[[bool], None]  # with whether the answer is whole
    drop_after: float = float("inf")  # caller gone: not begun after this
    gone: bool = False
    answering: bool = False


class Engine:
    """A replica with slots; what does not fit waits inside, by priority."""

    def __init__(self, loop: events.EventLoop, name: str, slots: int) -> None:
        self._loop = loop
        self.name = name
        self.slots = slots
        self.alive = True
        self.slowness = 1.0
        self.running: set[Job] = set()
        self.waiting: list[tuple[int, int, Job]] = []
        self.most_waiting = 0
        self.ran: list[tuple[float, str, float]] = []
        self._numbers = itertools.count()

    def send(self, job: Job) -> bool:
        """Takes a job; returns False if the connection is refused."""
        if not self.alive:
            return False
        if len(self.running) < self.slots:
            self._begin(job)
        else:
            item = (job.priority, next(self._numbers), job)
            heapq.heappush(self.waiting, item)
            self.most_waiting = max(self.most_waiting, len(self.waiting))
        return True

    def die(self) -> None:
        """Loses everything that runs or waits here."""
        self.alive = False
        lost = [*self.running, *(job for _, _, job in self.waiting)]
        self.running.clear()
        self.waiting.clear()
        for job in sorted(lost, key=lambda item: item.work.request_id):
            job.gone = True
            job.ended(False)

    def _begin(self, job: Job) -> None:
        self.running.add(job)
        now = self._loop.now()
        duration = job.run_time * self.slowness
        self.ran.append((now, job.work.request_id, duration))
        self._loop.call_at(
            now + job.prefill * self.slowness, lambda: self._answer(job)
        )
        self._loop.call_at(now + duration, lambda: self._end(job))

    def _answer(self, job: Job) -> None:
        if not job.gone:
            job.answering = True
            job.first_token()

    def _end(self, job: Job) -> None:
        if job.gone:
            return
        self.running.discard(job)
        while self.waiting and len(self.running) < self.slots:
            _, _, following = heapq.heappop(self.waiting)
            if following.drop_after < self._loop.now():
                following.ended(False)
            else:
                self._begin(following)
        job.ended(True)


class Report(typing.NamedTuple):
    """A load report and the time at which it was asked for."""

    at: float
    running: int
    queued: int


class Directory:
    """Replicas with lagging load reports, as the real directory gives them."""

    def __init__(
        self,
        loop: events.EventLoop,
        engines: dict[str, Engine],
        lag: float,
        interval: float,
        generator: random.Random,
    ) -> None:
        self._loop = loop
        self._engines = engines
        self._lag = lag
        self._reports: dict[str, Report] = {}
        for name in engines:
            loop.call_every(
                interval,
                lambda name=name: self._ask(name),
                generator.uniform(0.0, interval),
            )
            self._reports[name] = Report(0.0, 0, 0)

    def list_serving(self, service: str) -> list[model.ServingReplica]:
        """Returns the replicas with a fresh report."""
        now = self._loop.now()
        return [
            _build_serving(service, self._engines[name], report)
            for name, report in self._reports.items()
            if now - report.at - self._lag <= FRESH_FOR
        ]

    def _ask(self, name: str) -> None:
        engine = self._engines[name]
        if not engine.alive:
            return
        report = Report(
            self._loop.now(), len(engine.running), len(engine.waiting)
        )
        self._loop.call_at(
            report.at + self._lag,
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
        reported_at=datetime.timedelta(seconds=report.at),
        kv_used=KV_PER_SLOT * report.running / engine.slots,
    )
