"""What one daemon knows of each replica of a service."""

import collections
import datetime
import enum

from arbutuscove.replicas import model
from arbutuscove.routing import model as routing_model

MAX_OWN_EVENTS = 4096  # starts and ends of own requests, for each replica


class SlotClass(enum.IntEnum):
    """Class of a request by the slots that it may use."""

    URGENT = 0
    BULK = 1
    BELOW_FLOOR = 2  # less urgent, but its rank is below its floor


def classify(request: routing_model.Request) -> SlotClass:
    """Returns the class of a request."""
    if request.priority == routing_model.URGENT:
        return SlotClass.URGENT
    return SlotClass.BELOW_FLOOR if request.is_below_floor else SlotClass.BULK


class ReplicaState:
    """This daemon's state of one replica.

    `bulk_credits` is the smallest number of common credits in the last
    `handover_divisions` divisions.

    `load`, `has_room` and `is_available` are derived from the other
    attributes. A choice reads them for every replica, so they are cached by
    `update_availability`, which is called after each change: a report, a
    division, or a start or end of an own request. `has_room` and
    `is_available` are indexed by slot class; `is_available` also requires a
    free credit.
    """

    def __init__(self, serving: model.ServingReplica) -> None:
        self.serving = serving
        self.bulk_credits = 0  # for less urgent work
        self.common_credits = 0  # by the newest division
        self.urgent_credits = 0
        self.own_bulk = 0
        self.own_urgent = 0
        self.has_suspect = False  # a suspect request runs here
        self.reserved_until = datetime.timedelta()  # for a suspect request
        self.own_events: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque(maxlen=MAX_OWN_EVENTS)
        )
        self.load_change = 0  # sum of `own_events`
        self.seconds_per_token = 0.0  # moving average
        self.sampled_at: datetime.timedelta | None = None
        self.slowdown = 1.0
        self.usable_slots = serving.slots  # reduced for a straggler
        self.common_slots = serving.slots  # usable slots for any rank
        self.bulk_load_limit = serving.slots  # no bulk work from this load on
        self.recent_common_credits: collections.deque[int] = collections.deque()
        self.load = 0  # as reported, plus own changes since then
        self.has_room = (False, False, False)
        self.is_available = (False, False, False)

    def count_own(self) -> int:
        """Returns the number of this daemon's requests on the replica."""
        return self.own_bulk + self.own_urgent

    def update_availability(
        self, settings: routing_model.ChoiceSettings
    ) -> None:
        """Recomputes `load`, `has_room` and `is_available`."""
        reported = self.serving.running + self.serving.queued
        self.load = max(self.count_own(), reported + self.load_change)
        slots = self.serving.slots
        has_bulk_memory = self.has_memory(settings.max_bulk_kv)
        room = (
            self.load < slots and self.has_memory(settings.max_urgent_kv),
            self.load < self.bulk_load_limit and has_bulk_memory,
            self.load < slots and has_bulk_memory,
        )
        has_bulk_credit = self.has_credit(routing_model.URGENT + 1)
        self.has_room = room
        self.is_available = (
            room[SlotClass.URGENT] and self.has_credit(routing_model.URGENT),
            room[SlotClass.BULK] and has_bulk_credit,
            room[SlotClass.BELOW_FLOOR] and has_bulk_credit,
        )

    def record_change(self, now: datetime.timedelta, change: int) -> None:
        """Records a start (+1) or an end (-1) of an own request."""
        if len(self.own_events) == MAX_OWN_EVENTS:
            self.load_change -= self.own_events[0][1]
        self.own_events.append((now, change))
        self.load_change += change

    def apply_report(self, serving: model.ServingReplica) -> None:
        """Stores a load report and drops the own events that it includes."""
        self.serving = serving
        while self.own_events and self.own_events[0][0] <= serving.reported_at:
            self.load_change -= self.own_events.popleft()[1]

    def has_credit(self, priority: int) -> bool:
        """Returns whether a credit is free; urgent work may use any credit."""
        urgent_on_common = max(0, self.own_urgent - self.urgent_credits)
        if priority != routing_model.URGENT:
            return self.own_bulk + urgent_on_common < self.bulk_credits
        return (
            self.own_urgent < self.urgent_credits
            or self.own_bulk + urgent_on_common < self.common_credits
        )

    def has_memory(self, limit: float) -> bool:
        """Returns whether the used share of KV memory is below `limit`.

        Own requests since the report count with the mean use per request.
        """
        used = self.serving.kv_used
        used_per_request = used / max(1, self.serving.running)
        return used + max(0, self.load_change) * used_per_request < limit


def is_eligible(
    state: ReplicaState, request: routing_model.Request, now: datetime.timedelta
) -> bool:
    """Returns whether a replica may be sent a request at a time."""
    return (
        not state.has_suspect
        and state.reserved_until <= now
        and state.serving.replica not in request.excluded
    )


def compute_cost(state: ReplicaState) -> float:
    """Returns the load by which replicas are compared; lower is better."""
    return (state.load + 1) * state.slowdown / max(1, state.serving.slots)
