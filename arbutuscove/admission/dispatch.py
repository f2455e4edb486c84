"""Assignment of waiting work to replicas in the order of the queue.

The loop does no I/O, so that tests and benchmarks run the same code as the
daemon.
"""

import datetime
import random
import typing

from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.replicas import model as replica_model


class Router(typing.Protocol):
    """The part of routing that admission uses."""

    def choose(
        self, work: work_module.Work, is_below_floor: bool = False
    ) -> work_module.Ticket | None:
        """Returns a ticket on a replica, or None if no replica is available."""

    def preview(
        self, work: work_module.Work, generator: random.Random
    ) -> tuple[
        replica_model.ServingReplica | None, list[work_module.ReplicaUse]
    ]:
        """Returns what `choose` would, and the use of all serving replicas."""

    def release(self, ticket: work_module.Ticket, tokens: int = 0) -> None:
        """Records the end of a ticket's work."""

    def compute_capacity(
        self, service: config_model.Service
    ) -> work_module.Capacity:
        """Returns the capacity of a service that this daemon may use now."""


def dispatch(
    work_queue: queue.WorkQueue,
    router: Router,
    now: datetime.timedelta,
) -> list[work_module.Ticket]:
    """Dequeues all work that can be dispatched now.

    If no replica is available for ordinary work, its rank is blocked for this
    call, since none would be available for other work of the rank either. Work
    with excluded replicas and suspect work block only their account, because
    the reason may lie in their own restrictions.

    Args:
        work_queue: the queue of one service.
        router: chooses the replicas.
        now: monotonic time.

    Returns:
        A ticket for each dequeued work.
    """
    tickets: list[work_module.Ticket] = []
    blocked: set[int] = set()
    blocked_accounts: set[tuple[int, str]] = set()
    first = work_queue.select(now)
    if first is None:
        return tickets
    capacity = router.compute_capacity(first.work.service)
    while True:
        selection = work_queue.select(now, capacity, blocked, blocked_accounts)
        if selection is None:
            return tickets
        work = selection.work
        ticket = router.choose(work, selection.is_below_floor)
        if ticket is not None:
            work_queue.dequeue(work.request_id, now)
            tickets.append(ticket)
        elif work.excluded or work.is_suspect:
            blocked_accounts.add((work.rank.priority, work.account.name))
        else:
            blocked.add(work.rank.priority)
