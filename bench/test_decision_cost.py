"""Measures one admission and routing decision; run by bin/bench."""

import datetime
import itertools
import random

from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module
from arbutuscove.replicas import model
from arbutuscove.routing import service as routing_service
from arbutuscove.upstreams import protocol
from bench import events
from bench import users

REPLICA_COUNT = 50
QUEUED_REQUESTS = 1000
DECISION_TIME_LIMIT_SECONDS = 200e-6  # from design section 1.2


class _Directory:
    """Lists 50 replicas with far more slots than the benchmark uses."""

    def __init__(self) -> None:
        self._replicas = [
            model.ServingReplica(
                replica=f"r{number}",
                service="s",
                fabric_domain="f",
                generation=1,
                leader=protocol.Member(name="m", address=""),
                slots=100_000,
                running=0,
                queued=0,
                reported_at=datetime.timedelta(),
            )
            for number in range(REPLICA_COUNT)
        ]

    def list_serving(self, service: str) -> list[model.ServingReplica]:
        return self._replicas


def test_decision_cost(benchmark) -> None:
    """Enqueues, selects and routes one request while 1,000 others wait."""
    clock = events.EventLoop().clock
    service = users.NILAVU.build_service()
    routing = routing_service.Routing(
        clock, _Directory(), generator=random.Random(1)
    )
    work_queue = queue.WorkQueue()
    numbers = itertools.count()

    def push() -> None:
        number = next(numbers)
        work = work_module.Work(
            request_id=str(number),
            service=service,
            account=service.accounts[number % 10],
            rank=service.ranks[number % 3],
            tokens=100,
            arrived=datetime.timedelta(),
            deadline=datetime.timedelta(seconds=600),
            prefix=str(number % 40),
        )
        work_queue.push(work, datetime.timedelta())

    def decide() -> None:
        push()
        now = clock.monotonic()
        work_queue.reject_unservable(now)
        chosen = work_queue.select(now, routing.compute_capacity(service))
        assert routing.choose(chosen.work, chosen.is_below_floor) is not None
        work_queue.dequeue(chosen.work.request_id, now)

    for _ in range(QUEUED_REQUESTS):
        push()
    benchmark.pedantic(decide, rounds=2000, iterations=1, warmup_rounds=50)
    assert len(work_queue) == QUEUED_REQUESTS
    assert benchmark.stats.stats.median <= DECISION_TIME_LIMIT_SECONDS
    assert benchmark.stats.stats.mean <= DECISION_TIME_LIMIT_SECONDS
