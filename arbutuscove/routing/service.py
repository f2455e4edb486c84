"""Routing: the choice of replicas with the daemon's hints wired in."""

import datetime
import random
from collections import abc

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.replicas import directory as directory_module
from arbutuscove.routing import choice
from arbutuscove.routing import credits

SERVICE_NAME = "routing"
# Age of the view that choices use. Building it reads every member of every
# replica; it adds this much to the 3 s bound on work to a leaving VM.
VIEW_AGE = datetime.timedelta(milliseconds=100)
SERVICE_LIMIT = 1024  # services with a view; the oldest is dropped beyond it


class Routing(services.BaseService):
    """Chooses replicas and counts the work sent to each."""

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: directory_module.ReplicaDirectory,
        read_demands: abc.Callable[[], credits.Demands] | None = None,
        generator: random.Random | None = None,
        settings: choice.ChoiceSettings | None = None,
    ) -> None:
        # Settings that are given replace what the configuration says.
        self._clock = clock
        self._directory = directory
        self._read_demands = read_demands or (lambda: credits.SINGLE)
        self._random = generator or random.Random()
        self._settings = settings
        self._choosers: dict[str, choice.Chooser] = {}
        self._refreshed: dict[str, datetime.timedelta] = {}

    def choose(
        self, work: work_module.Work, below_floor: bool = False
    ) -> work_module.Ticket | None:
        """Returns a ticket on the best replica, or None if none is free.

        Args:
            work: what is to run.
            below_floor: the work's rank is owed capacity, so that it may use
                the slots kept free for urgent work.
        """
        now = self._clock.monotonic()
        chooser = self._open(work.service, now)
        chosen = chooser.choose(_build_request(work, below_floor), now)
        if chosen is None:
            return None
        return work_module.Ticket(work=work, replica=chosen, admitted=now)

    def release(self, ticket: work_module.Ticket, tokens: int = 0) -> None:
        """Counts the end of a ticket's work and of `tokens` generated."""
        chooser = self._choosers.get(ticket.work.service.name)
        if chooser is None:
            return
        now = self._clock.monotonic()
        chooser.end(
            ticket.replica.replica,
            _build_request(ticket.work),
            tokens,
            now - ticket.admitted,
            now,
        )

    def capacity(self, service: config_model.Service) -> work_module.Capacity:
        """Returns what this daemon may use of a service now."""
        chooser = self._open(service, self._clock.monotonic())
        return work_module.Capacity(
            slots=chooser.slots(), floors=chooser.floors()
        )

    def in_progress(self) -> int:
        """Returns the number of tickets in use."""
        return sum(c.in_progress() for c in self._choosers.values())

    def _open(
        self, service: config_model.Service, now: datetime.timedelta
    ) -> choice.Chooser:
        name = service.name
        chooser = self._choosers.get(name)
        if chooser is None:
            chooser = choice.Chooser(self._random, self._settings)
            self._choosers[name] = chooser
            if len(self._choosers) > SERVICE_LIMIT:
                self._drop_idle()
        refreshed = self._refreshed.get(name)
        if refreshed is None or now - refreshed >= VIEW_AGE:
            ranks = sorted(service.ranks, key=lambda rank: rank.priority)
            floors = [rank.floor_share for rank in ranks]
            servings = self._directory.list_serving(name)
            backend = service.model
            if backend is not None and self._settings is None:
                chooser.set_shares(backend.urgent_share, backend.headroom)
            chooser.refresh(servings, self._read_demands(), floors, now)
            self._refreshed[name] = now
        return chooser

    def _drop_idle(self) -> None:
        for name, chooser in list(self._choosers.items()):
            if chooser.in_progress() == 0:
                del self._choosers[name]
                self._refreshed.pop(name, None)
                return


def _build_request(
    work: work_module.Work, below_floor: bool = False
) -> choice.Request:
    return choice.Request(
        priority=work.rank.priority,
        prefix=work.prefix,
        excluded=work.excluded,
        suspect=work.suspect,
        below_floor=below_floor,
    )
