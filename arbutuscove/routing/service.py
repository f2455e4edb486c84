"""Routing with this daemon's own work in progress."""

from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.replicas import directory as directory_module
from arbutuscove.routing import choice

SERVICE_NAME = "routing"


class Routing(services.BaseService):
    """Chooses replicas and counts the work sent to each."""

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: directory_module.ReplicaDirectory,
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._own: dict[str, int] = {}

    def choose(self, work: work_module.Work) -> work_module.Ticket | None:
        """Returns a ticket on the best replica, or None if none is free."""
        candidates = self._directory.serving(work.service.name)
        chosen = choice.choose(candidates, self._own, work.excluded)
        if chosen is None:
            return None
        self._own[chosen.replica] = self._own.get(chosen.replica, 0) + 1
        return work_module.Ticket(
            work=work, replica=chosen, admitted=self._clock.monotonic()
        )

    def release(self, ticket: work_module.Ticket) -> None:
        """Counts the end of a ticket's work."""
        name = ticket.replica.replica
        left = self._own.get(name, 0) - 1
        if left > 0:
            self._own[name] = left
        else:
            self._own.pop(name, None)

    def in_progress(self) -> int:
        """Returns the number of tickets in use."""
        return sum(self._own.values())
