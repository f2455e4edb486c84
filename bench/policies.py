"""Policies under comparison: the real decision code and the baselines.

A policy object represents one daemon. The simulation calls `admit`,
`dispatch_pending` and `finish`; the policy reports dispatches and refusals to
its `SimulationHost`.
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
from arbutuscove.routing import credits
from arbutuscove.routing import model as routing_model
from arbutuscove.routing import service as routing_service
from bench import events
from bench import fakes

QUEUE_LIMIT = 16_000  # waiting requests in one daemon of a baseline policy


class SimulationHost(typing.Protocol):
    """The calls that a policy makes to the simulation."""

    def send(
        self, policy: "Policy", ticket: work_module.Ticket, priority: int
    ) -> None:
        """Sends a dispatched request to its replica.

        Args:
            policy: the daemon that sends the request.
            ticket: the request and its replica.
            priority: the priority that the engine sees; 0 is the most urgent.
        """

    def refuse(self, refused: queue.RefusedWork) -> None:
        """Records the refusal of a waiting request."""

    def expire(self, work: work_module.Work) -> None:
        """Records that a request passed its deadline while it waited."""


class Policy(typing.Protocol):
    """The admission and routing decisions of one daemon."""

    name: str

    def admit(self, work: work_module.Work) -> work_module.Refusal | None:
        """Enqueues a request; returns the refusal if it is rejected."""

    def dispatch_pending(self) -> None:
        """Dispatches waiting requests for which a replica is available."""

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Releases the resources of a request that ended."""

    def list_loads(self) -> tuple[int, ...]:
        """Returns the number of running and waiting requests by priority."""


class CurrentPolicy:
    """The admission and routing code of this version."""

    def __init__(
        self,
        name: str,
        loop: events.EventLoop,
        host: SimulationHost,
        directory: fakes.Directory,
        read_demands: abc.Callable[[], credits.Demands],
        generator: random.Random,
        settings: routing_model.ChoiceSettings | None = None,
    ) -> None:
        self.name = name
        self._clock = loop.clock
        self._host = host
        self._queue = queue.WorkQueue()
        self._routing = routing_service.Routing(
            loop.clock, directory, read_demands, generator, settings
        )

    def admit(self, work: work_module.Work) -> work_module.Refusal | None:
        """Enqueues a request; returns the refusal if it is rejected."""
        refusal = self._queue.push(work, self._clock.monotonic())
        if refusal is None:
            self.dispatch_pending()
        return refusal

    def dispatch_pending(self) -> None:
        """Dispatches requests; refuses those that would miss their deadline."""
        now = self._clock.monotonic()
        for refused in self._queue.reject_unservable(now):
            self._host.refuse(refused)
        for ticket in dispatch_module.dispatch(self._queue, self._routing, now):
            self._host.send(self, ticket, ticket.work.rank.priority)

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Releases the resources of a request that ended."""
        self._routing.release(ticket, tokens)
        duration = self._clock.monotonic() - ticket.admitted
        self._queue.finish(ticket.work, tokens, duration)
        self.dispatch_pending()

    def list_loads(self) -> tuple[int, ...]:
        """Returns the number of running and waiting requests by priority."""
        return self._queue.count_requests()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BaselineRules:
    """The rules of a baseline policy.

    `is_ordered_by_rank` orders the queue by rank before arrival.
    `is_priority_forwarded` passes the priority of the rank on to engines.
    `choose_replica` returns None if no replica can be used now.
    """

    is_ordered_by_rank: bool
    is_priority_forwarded: bool
    choose_replica: abc.Callable[
        ["BaselinePolicy"], fakes.model.ServingReplica | None
    ]


class BaselinePolicy:
    """A daemon with one bounded queue and a simple choice of replica."""

    def __init__(
        self,
        name: str,
        loop: events.EventLoop,
        host: SimulationHost,
        directory: fakes.Directory,
        generator: random.Random,
        rules: BaselineRules,
        daemon_count: int,
    ) -> None:
        self.name = name
        self.directory = directory
        self.generator = generator
        self.running_by_replica: collections.Counter[str] = (
            collections.Counter()
        )
        self.daemon_count = daemon_count
        self._loop = loop
        self._host = host
        self._rules = rules
        self._queue: sortedcontainers.SortedDict = sortedcontainers.SortedDict()

    def admit(self, work: work_module.Work) -> work_module.Refusal | None:
        """Enqueues a request; returns a refusal if the queue is full."""
        if len(self._queue) >= QUEUE_LIMIT:
            return work_module.Refusal(
                status=429, code="queue_full", message=""
            )
        rank = work.rank.priority if self._rules.is_ordered_by_rank else 0
        self._queue[(rank, work.arrived, work.request_id)] = work
        self.dispatch_pending()
        return None

    def dispatch_pending(self) -> None:
        """Dispatches waiting requests for which a replica is available."""
        now = self._loop.clock.monotonic()
        while self._queue:
            key, work = self._queue.peekitem(0)
            if work.deadline <= now:
                del self._queue[key]
                self._host.expire(work)
                continue
            chosen = self._rules.choose_replica(self)
            if chosen is None:
                return
            del self._queue[key]
            self.running_by_replica[chosen.replica] += 1
            ticket = work_module.Ticket(work=work, replica=chosen, admitted=now)
            priority = (
                work.rank.priority if self._rules.is_priority_forwarded else 0
            )
            self._host.send(self, ticket, priority)

    def finish(self, ticket: work_module.Ticket, tokens: int) -> None:
        """Releases the resources of a request that ended."""
        self.running_by_replica[ticket.replica.replica] -= 1
        self.dispatch_pending()

    def list_loads(self) -> tuple[int, ...]:
        """Returns the number of running and waiting requests, not by rank."""
        return (self.running_by_replica.total() + len(self._queue),)


def _choose_random(daemon: BaselinePolicy) -> fakes.model.ServingReplica | None:
    candidates = daemon.directory.list_serving("")
    limit = sum(item.slots for item in candidates) / daemon.daemon_count
    if not candidates or daemon.running_by_replica.total() >= limit:
        return None
    return daemon.generator.choice(candidates)


def _choose_least_reported(
    daemon: BaselinePolicy,
) -> fakes.model.ServingReplica | None:
    candidates = daemon.directory.list_serving("")
    return min(
        candidates,
        key=lambda item: (
            item.running + item.queued,
            daemon.generator.random(),
        ),
        default=None,
    )


def _choose_least_own(
    daemon: BaselinePolicy,
) -> fakes.model.ServingReplica | None:
    available = [
        item
        for item in daemon.directory.list_serving("")
        if daemon.running_by_replica[item.replica] < item.slots
    ]
    return min(
        available,
        key=lambda item: (
            daemon.running_by_replica[item.replica],
            item.replica,
        ),
        default=None,
    )


FIRST_COME = BaselineRules(
    is_ordered_by_rank=False,
    is_priority_forwarded=False,
    choose_replica=_choose_random,
)
LEAST_REPORTED = BaselineRules(
    is_ordered_by_rank=False,
    is_priority_forwarded=False,
    choose_replica=_choose_least_reported,
)
# The rules of commit 9f1d632: the queue is ordered by rank, then by arrival;
# the replica with the fewest requests of this daemon is chosen.
PREVIOUS = BaselineRules(
    is_ordered_by_rank=True,
    is_priority_forwarded=True,
    choose_replica=_choose_least_own,
)
BASELINES = {
    "first-come": FIRST_COME,
    "least-reported": LEAST_REPORTED,
    "previous": PREVIOUS,
}
