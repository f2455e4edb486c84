"""Sends waiting work to replicas in the order of the queue.

The loop does no I/O, so that tests and benchmarks drive the same code as the
daemon.
"""

import datetime
import typing

from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model


class Router(typing.Protocol):
    """What admission needs of routing."""

    def choose(
        self, work: work_module.Work, is_below_floor: bool = False
    ) -> work_module.Ticket | None:
        """Returns a ticket on a replica, or None if none may take the work."""

    def release(self, ticket: work_module.Ticket, tokens: int = 0) -> None:
        """Counts the end of a ticket's work."""

    def compute_capacity(
        self, service: config_model.Service
    ) -> work_module.Capacity:
        """Returns what this daemon may use of a service now."""


def dispatch(
    waiting: queue.WorkQueue,
    router: Router,
    now: datetime.timedelta,
) -> list[work_module.Ticket]:
    """Returns tickets for all work that can be sent off now.

    Ordinary work that finds no replica blocks its rank, since no other work of
    the rank would find one. Work with excluded replicas, and a suspect, blocks
    only its account: it may fail for reasons of its own.
    """
    tickets: list[work_module.Ticket] = []
    blocked: set[int] = set()
    blocked_accounts: set[tuple[int, str]] = set()
    first = waiting.select(now)
    if first is None:
        return tickets
    capacity = router.compute_capacity(first.work.service)
    while True:
        chosen = waiting.select(now, capacity, blocked, blocked_accounts)
        if chosen is None:
            return tickets
        work = chosen.work
        ticket = router.choose(work, chosen.is_below_floor)
        if ticket is not None:
            waiting.dequeue(work.request_id, now)
            tickets.append(ticket)
        elif work.excluded or work.is_suspect:
            blocked_accounts.add((work.rank.priority, work.account.name))
        else:
            blocked.add(work.rank.priority)
