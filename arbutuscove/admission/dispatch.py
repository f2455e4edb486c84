"""Sends waiting work to replicas in the order of the queue.

The loop does no I/O, so that tests and benchmarks drive the same code as the
daemon.
"""

import datetime
import typing

from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module


class Router(typing.Protocol):
    """What admission needs of routing."""

    def choose(self, work: work_module.Work) -> work_module.Ticket | None:
        """Returns a ticket on a replica, or None if none may take the work."""

    def release(self, ticket: work_module.Ticket, tokens: int = 0) -> None:
        """Counts the end of a ticket's work."""

    def slots(self, service: str) -> int:
        """Returns how many requests this daemon may run at once."""


def dispatch(
    waiting: queue.WorkQueue,
    router: Router,
    service: str,
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
    if not len(waiting):
        return tickets
    slots = router.slots(service)
    while True:
        work = waiting.select(now, slots, blocked, blocked_accounts)
        if work is None:
            return tickets
        ticket = router.choose(work)
        if ticket is not None:
            waiting.take(work.request_id, now)
            tickets.append(ticket)
        elif work.excluded or work.suspect:
            blocked_accounts.add((work.rank.priority, work.account.name))
        else:
            blocked.add(work.rank.priority)
