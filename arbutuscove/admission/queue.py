"""Order of waiting work, as a pure deterministic state machine."""

import dataclasses
import datetime

import sortedcontainers

from arbutuscove.admission import work as work_module

QUEUE_LIMIT = 10_000  # waiting requests of one service in one daemon


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Expired:
    """Work whose deadline has passed while it waited."""

    work: work_module.Work


class WorkQueue:
    """Waiting work of one service: rank first, then arrival."""

    def __init__(self) -> None:
        self._items: sortedcontainers.SortedDict = sortedcontainers.SortedDict()

    def __len__(self) -> int:
        return len(self._items)

    def push(self, work: work_module.Work) -> work_module.Refusal | None:
        """Adds work, or refuses it when the queue is full."""
        if len(self._items) >= QUEUE_LIMIT:
            return work_module.Refusal(
                status=429,
                code="queue_full",
                message="too many requests are waiting",
                retry_after=datetime.timedelta(seconds=5),
            )
        self._items[_order(work)] = work
        return None

    def peek(self) -> work_module.Work | None:
        """Returns the work that goes next."""
        return self._items.peekitem(0)[1] if self._items else None

    def remove(self, work: work_module.Work) -> bool:
        """Takes work out; returns whether it was still waiting."""
        return self._items.pop(_order(work), None) is not None


def _order(
    work: work_module.Work,
) -> tuple[int, datetime.timedelta, str]:
    return (work.rank.priority, work.arrived, work.request_id)
