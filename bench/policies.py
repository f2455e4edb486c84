"""Policies under comparison: the real decision code and the baselines.

A policy object stands for one daemon. The simulation calls `arrive`, `tick`
and `finish`; the policy answers with dispatches and refusals.
"""

import collections
import dataclasses
import random
import typing
from collections import abc

import sortedcontainers

from arbutuscove.admission import dispatch as dispatch_module
from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module
from arbutuscove.routing import choice
from arbutuscove.routing import credits
from arbutuscove.routing import service as routing_service
from bench import events
from bench import fakes

QUEUE_LIMIT = 16_000  # waiting requests of a baseline's daemon


class Host(typing.Protocol):
    """What a policy may ask of the simulation."""

    def send(
        self, policy: "Policy", ticket: work_module.Ticket, priority: int
    ) -> None:
        """Sends admitted work to its replica."""

    def refuse(self, refused: queue.RefusedWork) -> None:
        """Refuses waiting work."""

    def expire(self, work: work_module.Work) -> None:
        """Records that the caller of waiting work is gone."""


class Policy(typing.Protocol):
    """One daemon's decisions."""

    name: str

    def arrive(self, work: work_module.Work) -> work_module.Refusal | None:
        """Takes a request or refuses it at once."""

    def tick(self) -> None:
        """Sends what can be sent."""

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Ends a request."""

    def loads(self) -> tuple[int, ...]:
        """Returns requests running and waiting by priority."""


class Current:
    """The admission and routing code of this version."""

    def __init__(
        self,
        name: str,
        loop: events.EventLoop,
        host: Host,
        directory: fakes.Directory,
        read_demands: abc.Callable[[], credits.Demands],
        generator: random.Random,
        settings: choice.ChoiceSettings | None = None,
    ) -> None:
        self.name = name
        self._clock = loop.clock
        self._host = host
        self._queue = queue.WorkQueue()
        self._routing = routing_service.Routing(
            loop.clock, directory, read_demands, generator, settings
        )

    def arrive(self, work: work_module.Work) -> work_module.Refusal | None:
        """Takes a request or refuses it at once."""
        refusal = self._queue.push(work, self._clock.monotonic())
        if refusal is None:
            self.tick()
        return refusal

    def tick(self) -> None:
        """Sends what can be sent, and refuses what has become hopeless."""
        now = self._clock.monotonic()
        for refused in self._queue.reject_unservable(now):
            self._host.refuse(refused)
        for ticket in dispatch_module.dispatch(self._queue, self._routing, now):
            self._host.send(self, ticket, ticket.work.rank.priority)

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Ends a request."""
        self._routing.release(ticket, tokens)
        duration = self._clock.monotonic() - ticket.admitted
        self._queue.finish(ticket.work, tokens, duration)
        self.tick()

    def loads(self) -> tuple[int, ...]:
        """Returns requests running and waiting by priority."""
        return self._queue.count_requests()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BaselineRules:
    """How a baseline orders, chooses and hands priorities to engines."""

    by_rank: bool
    by_priority: bool
    choose: abc.Callable[["Baseline"], fakes.model.ServingReplica | None]


class Baseline:
    """A daemon with one bounded queue and a simple choice."""

    def __init__(
        self,
        name: str,
        loop: events.EventLoop,
        host: Host,
        directory: fakes.Directory,
        generator: random.Random,
        rules: BaselineRules,
        daemons: int,
    ) -> None:
        self.name = name
        self.directory = directory
        self.generator = generator
        self.own: collections.Counter[str] = collections.Counter()
        self.daemons = daemons
        self._loop = loop
        self._host = host
        self._rules = rules
        self._queue: sortedcontainers.SortedDict = sortedcontainers.SortedDict()

    def arrive(self, work: work_module.Work) -> work_module.Refusal | None:
        """Takes a request unless the queue is full."""
        if len(self._queue) >= QUEUE_LIMIT:
            return work_module.Refusal(
                status=429, code="queue_full", message=""
            )
        rank = work.rank.priority if self._rules.by_rank else 0
        self._queue[(rank, work.arrived, work.request_id)] = work
        self.tick()
        return None

    def tick(self) -> None:
        """Sends what can be sent."""
        now = self._loop.clock.monotonic()
        while self._queue:
            key, work = self._queue.peekitem(0)
            if work.deadline <= now:
                del self._queue[key]
                self._host.expire(work)
                continue
            serving = self._rules.choose(self)
            if serving is None:
                return
            del self._queue[key]
            self.own[serving.replica] += 1
            ticket = work_module.Ticket(
                work=work, replica=serving, admitted=now
            )
            priority = work.rank.priority if self._rules.by_priority else 0
            self._host.send(self, ticket, priority)

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Ends a request."""
        self.own[ticket.replica.replica] -= 1
        self.tick()

    def loads(self) -> tuple[int, ...]:
        """Returns requests running and waiting by priority."""
        return (self.own.total() + len(self._queue),)


def _choose_random(daemon: Baseline) -> fakes.model.ServingReplica | None:
    servings = daemon.directory.list_serving("")
    limit = sum(item.slots for item in servings) / daemon.daemons
    if not servings or daemon.own.total() >= limit:
        return None
    return daemon.generator.choice(servings)


def _choose_least_reported(
    daemon: Baseline,
) -> fakes.model.ServingReplica | None:
    servings = daemon.directory.list_serving("")
    return min(
        servings,
        key=lambda item: (
            item.running + item.queued,
            daemon.generator.random(),
        ),
        default=None,
    )


def _choose_least_own(daemon: Baseline) -> fakes.model.ServingReplica | None:
    free = [
        item
        for item in daemon.directory.list_serving("")
        if daemon.own[item.replica] < item.slots
    ]
    return min(
        free,
        key=lambda item: (daemon.own[item.replica], item.replica),
        default=None,
    )


FIRST_COME = BaselineRules(
    by_rank=False, by_priority=False, choose=_choose_random
)
LEAST_REPORTED = BaselineRules(
    by_rank=False, by_priority=False, choose=_choose_least_reported
)
# The rules of commit 9f1d632: rank, then arrival; fewest own requests.
PREVIOUS = BaselineRules(
    by_rank=True, by_priority=True, choose=_choose_least_own
)
BASELINES = {
    "first-come": FIRST_COME,
    "least-reported": LEAST_REPORTED,
    "previous": PREVIOUS,
}
