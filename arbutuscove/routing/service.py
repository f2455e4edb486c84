"""Routing service: chooses replicas with the daemon's current data."""

import datetime
import random
from collections import abc

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.replicas import directory as directory_module
from arbutuscove.replicas import model
from arbutuscove.routing import choice
from arbutuscove.routing import credits
from arbutuscove.routing import model as routing_model
from arbutuscove.routing import rejections

SERVICE_NAME = "routing"
# Maximum age of the view of replicas that choices use. Building a view reads
# every member of every replica. The age adds to the 3 s bound on the time for
# which work is still sent to a leaving VM.
MAX_VIEW_AGE = datetime.timedelta(milliseconds=100)
# Services with a view; beyond this the oldest one without work is dropped.
MAX_SERVICES = 1024


class Routing(services.BaseService):
    """Chooses replicas and counts the requests in progress on each."""

    def __init__(
        self,
        clock: clock_module.Clock,
        directory: directory_module.ReplicaDirectory,
        read_demands: abc.Callable[[], credits.Demands] | None = None,
        generator: random.Random | None = None,
        settings: routing_model.ChoiceSettings | None = None,
    ) -> None:
        # Explicit settings override the service configuration.
        self._clock = clock
        self._directory = directory
        self._read_demands = read_demands or (lambda: credits.SINGLE_DAEMON)
        self._random = generator or random.Random()
        self._settings = settings
        self._choosers: dict[str, choice.Chooser] = {}
        self._refreshed_at: dict[str, datetime.timedelta] = {}
        self._rejections: dict[str, rejections.Rejections] = {}
        # Replicas to avoid and all that serve, as last read, by service.
        self._avoided: dict[str, tuple[frozenset[str], frozenset[str]]] = {}

    def choose(
        self, work: work_module.Work, is_below_floor: bool = False
    ) -> work_module.Ticket | None:
        """Returns a ticket on a replica, or None if none is available.

        Args:
            work: the work to run.
            is_below_floor: whether the work's rank is below its floor; the
                work may then use the headroom kept free for urgent work.
        """
        now = self._clock.monotonic()
        chooser = self._get_refreshed_chooser(work.service, now)
        serving = chooser.choose(self._build_request(work, is_below_floor), now)
        if serving is None:
            return None
        return work_module.Ticket(work=work, replica=serving, admitted=now)

    def preview(
        self, work: work_module.Work, generator: random.Random
    ) -> tuple[model.ServingReplica | None, list[work_module.ReplicaUse]]:
        """Returns what `choose` would, and the use of all serving replicas.

        Args:
            work: the work, which does not run.
            generator: random source.
        """
        now = self._clock.monotonic()
        chooser = self._get_refreshed_chooser(work.service, now)
        chosen = chooser.preview(self._build_request(work), now, generator)
        return chosen, chooser.list_uses()

    def release(self, ticket: work_module.Ticket, tokens: int = 0) -> None:
        """Records the end of a ticket's work.

        Args:
            ticket: the ticket.
            tokens: generated tokens; 0 if the work failed.
        """
        chooser = self._choosers.get(ticket.work.service.name)
        if chooser is None:
            return
        now = self._clock.monotonic()
        chooser.record_end(
            ticket.replica.replica,
            self._build_request(ticket.work),
            tokens,
            now - ticket.admitted,
            now,
        )

    def record_rejection(self, ticket: work_module.Ticket) -> None:
        """Records that a ticket's replica rejected the work, not for its load.

        The replica is avoided until a later status of it is known.
        """
        name = ticket.work.service.name
        known = self._rejections.setdefault(name, rejections.Rejections())
        known.record(ticket.replica.replica, self._clock.monotonic())
        self._refreshed_at.pop(name, None)

    def compute_capacity(
        self, service: config_model.Service
    ) -> work_module.Capacity:
        """Returns the capacity of a service that this daemon may use now."""
        chooser = self._get_refreshed_chooser(service, self._clock.monotonic())
        return work_module.Capacity(
            slots=chooser.count_credits(), floors=chooser.get_floors()
        )

    def count_in_progress(self) -> int:
        """Returns the number of tickets in use."""
        return sum(
            chooser.count_in_progress() for chooser in self._choosers.values()
        )

    def _get_refreshed_chooser(
        self, service: config_model.Service, now: datetime.timedelta
    ) -> choice.Chooser:
        name = service.name
        chooser = self._choosers.get(name)
        if chooser is None:
            chooser = choice.Chooser(self._random, self._settings)
            self._choosers[name] = chooser
            if len(self._choosers) > MAX_SERVICES:
                self._drop_idle_chooser()
        refreshed_at = self._refreshed_at.get(name)
        if refreshed_at is None or now - refreshed_at >= MAX_VIEW_AGE:
            ranks = sorted(service.ranks, key=lambda rank: rank.priority)
            floors = [rank.floor_share for rank in ranks]
            servings = self._directory.list_serving(name)
            backend = service.model
            if backend is not None and self._settings is None:
                chooser.set_shares(backend.urgent_share, backend.headroom)
            chooser.refresh(servings, self._read_demands(), floors, now)
            self._refreshed_at[name] = now
            known = self._rejections.get(name)
            if known is not None:
                self._avoided[name] = (
                    known.list_avoided(servings),
                    frozenset(item.replica for item in servings),
                )
        return chooser

    def _drop_idle_chooser(self) -> None:
        for name, chooser in list(self._choosers.items()):
            if chooser.count_in_progress() == 0:
                del self._choosers[name]
                for by_service in (
                    self._refreshed_at,
                    self._rejections,
                    self._avoided,
                ):
                    by_service.pop(name, None)
                return

    def _build_request(
        self, work: work_module.Work, is_below_floor: bool = False
    ) -> routing_model.Request:
        excluded = work.excluded
        avoided, names = self._avoided.get(
            work.service.name, (frozenset[str](), frozenset[str]())
        )
        if avoided and not names <= excluded | avoided:
            excluded |= avoided
        return routing_model.Request(
            priority=work.rank.priority,
            prefix=work.prefix,
            excluded=excluded,
            is_suspect=work.is_suspect,
            is_below_floor=is_below_floor,
        )
