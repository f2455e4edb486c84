"""Choice of a replica for a request, as a deterministic state machine.

A `Chooser` holds one daemon's state of the replicas of one service: their load
reports, the daemon's own requests since those reports, its credits and the
measured latencies. Among the replicas with a free credit it applies the power
of two choices (Mitzenmacher, 2001): it draws two at random and takes the less
loaded one. Without the random draws, daemons that see the same delayed reports
would all choose the same idle replica.
"""

import collections
import copy
import dataclasses
import datetime
import random
import statistics
from collections import abc

from arbutuscove.admission import work as work_module
from arbutuscove.replicas import model
from arbutuscove.routing import credits
from arbutuscove.routing import model as routing_model
from arbutuscove.routing import states

SECOND = datetime.timedelta(seconds=1)


# Time for which a replica is reserved for a waiting suspect request.
# Waiting work renews it every 25 ms, so the reservation outlasts a slow loop.
SUSPECT_RESERVATION = SECOND
DIVISION_INTERVAL = SECOND  # demands change no faster than daemons gossip


class Chooser:
    """Chooses among the replicas of one service; callers pass in the time."""

    def __init__(
        self,
        generator: random.Random,
        settings: routing_model.ChoiceSettings | None = None,
    ) -> None:
        self._random = generator
        self._settings = settings or routing_model.ChoiceSettings()
        self._replicas: dict[str, states.ReplicaState] = {}
        self._serving_states: list[states.ReplicaState] = []
        self._prefix_replicas: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )
        self._division = credits.Division()
        self._divided_at: datetime.timedelta | None = None
        # Priority and `is_below_floor` of the last request without a replica.
        self._last_unplaced: tuple[int, bool] | None = None

    def set_shares(self, urgent_share: float, headroom: float) -> None:
        """Sets the shares of slots that less urgent work may not use."""
        self._settings = dataclasses.replace(
            self._settings, urgent_share=urgent_share, headroom=headroom
        )

    def refresh(
        self,
        servings: abc.Iterable[model.ServingReplica],
        demands: credits.Demands,
        floors: abc.Sequence[float],
        now: datetime.timedelta,
    ) -> None:
        """Updates the serving replicas and divides their slots into credits.

        Args:
            servings: the serving replicas with their newest load reports.
            demands: running and waiting requests of each daemon.
            floors: floor shares of the ranks, by priority.
            now: monotonic time.
        """
        self._serving_states = []
        for serving in servings:
            state = self._replicas.get(serving.replica)
            if state is None:
                state = states.ReplicaState(serving)
                self._replicas[serving.replica] = state
            state.apply_report(serving)
            self._serving_states.append(state)
        names = {state.serving.replica for state in self._serving_states}
        for name in list(self._replicas):
            if name not in names and self._replicas[name].count_own() == 0:
                del self._replicas[name]
        self._last_unplaced = None
        self._detect_stragglers(now)
        self._divide(demands, floors, now)
        for state in self._serving_states:
            state.update_availability(self._settings)

    def choose(
        self, request: routing_model.Request, now: datetime.timedelta
    ) -> model.ServingReplica | None:
        """Returns the replica for a request, or None if none is available.

        The request counts as in progress on the replica until `record_end`.
        """
        excluded = request.excluded
        if excluded and all(
            state.serving.replica in excluded for state in self._serving_states
        ):
            # All replicas are excluded: work that waited for another one would
            # wait until its deadline.
            request = dataclasses.replace(request, excluded=frozenset())
        if request.is_suspect:
            chosen = self._pick_for_suspect(request, now)
        elif self._is_unplaceable(request):
            return None
        else:
            chosen = self._pick_ordinary(request, now)
        if chosen is None:
            return None
        if request.priority == routing_model.URGENT:
            chosen.own_urgent += 1
        else:
            chosen.own_bulk += 1
        chosen.has_suspect = request.is_suspect
        chosen.record_change(now, 1)
        chosen.update_availability(self._settings)
        self._remember_prefix(request.prefix, chosen.serving.replica)
        return chosen.serving

    def preview(
        self,
        request: routing_model.Request,
        now: datetime.timedelta,
        generator: random.Random,
    ) -> model.ServingReplica | None:
        """Returns what `choose` would for an ordinary request; takes nothing.

        Args:
            request: the request, without excluded replicas.
            now: monotonic time.
            generator: random source.
        """
        if self._is_unplaceable(request):
            return None
        copied = copy.copy(self)
        copied._random = generator
        chosen = copied._pick_ordinary(request, now)
        return None if chosen is None else chosen.serving

    def list_uses(self) -> list[work_module.ReplicaUse]:
        """Returns the use of the serving replicas."""
        return [
            work_module.ReplicaUse(
                serving=state.serving,
                load=state.load,
                own=state.count_own(),
                common_credits=state.common_credits,
                urgent_credits=state.urgent_credits,
                slowdown=state.slowdown,
            )
            for state in self._serving_states
        ]

    def record_end(
        self,
        replica: str,
        request: routing_model.Request,
        tokens: int,
        duration: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Records the end of a request.

        Args:
            replica: the replica that `choose` returned.
            request: the request as passed to `choose`.
            tokens: generated tokens; 0 if it failed.
            duration: time since the choice.
            now: monotonic time.
        """
        state = self._replicas.get(replica)
        if state is None:
            return
        if request.priority == routing_model.URGENT:
            state.own_urgent -= 1
        else:
            state.own_bulk -= 1
        if request.is_suspect:
            state.has_suspect = False
        state.record_change(now, -1)
        state.update_availability(self._settings)
        self._last_unplaced = None
        if tokens > 0:
            sample = duration.total_seconds() / tokens
            weight = 0.2 if state.sampled_at else 1.0
            state.seconds_per_token += weight * (
                sample - state.seconds_per_token
            )
            state.sampled_at = now

    def count_credits(self) -> int:
        """Returns the number of this daemon's credits on all replicas."""
        return sum(
            state.common_credits + state.urgent_credits
            for state in self._serving_states
        )

    def get_floors(self) -> tuple[float, ...]:
        """Returns this daemon's floors by priority, empty if unknown."""
        return self._division.floors

    def get_load(self, replica: str) -> int:
        """Returns the load of a replica, as reported plus own changes."""
        return self._replicas[replica].load

    def get_slowdown(self, replica: str) -> float:
        """Returns the factor by which a straggler is slower; 1 for others."""
        return self._replicas[replica].slowdown

    def count_in_progress(self) -> int:
        """Returns the number of this daemon's requests on all replicas."""
        return sum(state.count_own() for state in self._replicas.values())

    def _pick_for_suspect(
        self, request: routing_model.Request, now: datetime.timedelta
    ) -> states.ReplicaState | None:
        """Returns an empty replica for a suspect request, or reserves one.

        A suspect request needs no credit: it may be restricted to a single
        replica, and one request on an empty replica uses no slot that another
        daemon needs.
        """
        if any(state.has_suspect for state in self._replicas.values()):
            return None
        allowed = [
            state
            for state in self._serving_states
            if state.serving.replica not in request.excluded
        ]
        if not allowed:
            return None
        least_loaded = min(allowed, key=lambda state: state.load)
        if least_loaded.load == 0:
            least_loaded.reserved_until = now
            return least_loaded
        # A replica that is already reserved is preferred, because the least
        # loaded one changes between calls.
        reserved = min(
            allowed, key=lambda state: (state.reserved_until <= now, state.load)
        )
        reserved.reserved_until = now + SUSPECT_RESERVATION
        return None

    def _pick_ordinary(
        self, request: routing_model.Request, now: datetime.timedelta
    ) -> states.ReplicaState | None:
        """Returns a replica for an ordinary request, or None."""
        slot_class = states.classify(request)
        candidates = [
            state
            for state in self._serving_states
            if state.is_available[slot_class]
            and states.is_eligible(state, request, now)
        ]
        chosen = self._pick_candidate(
            candidates or self._list_beyond_credits(request, now), request
        )
        if chosen is None and not request.excluded:
            self._last_unplaced = (request.priority, request.is_below_floor)
        return chosen

    def _is_unplaceable(self, request: routing_model.Request) -> bool:
        """Returns whether the request cannot be placed until the next change.

        This is so if no replica was available for an earlier request that was
        allowed to use at least the same slots.
        """
        if self._last_unplaced is None:
            return False
        priority, is_below_floor = self._last_unplaced
        if (
            request.is_below_floor
            and not is_below_floor
            and priority != routing_model.URGENT
        ):
            return False
        return request.priority >= priority

    def _list_beyond_credits(
        self, request: routing_model.Request, now: datetime.timedelta
    ) -> list[states.ReplicaState]:
        """Returns candidates for one request beyond the credits.

        Without this, a daemon without a free credit could never start a
        request when replicas are few or the published demands are wrong. Less
        urgent work qualifies only if the daemon has nothing in progress.
        Urgent work qualifies while fewer than `guaranteed_urgent` urgent
        requests are in progress: a small part of the urgent reserve is credits
        on few replicas, which may be full, and at times on none, while own
        bulk work uses the common credits. The excess over the slots is at most
        `guaranteed_urgent` requests for each daemon.
        """
        if request.priority != routing_model.URGENT:
            if self.count_in_progress():
                return []
        elif (
            self._count_urgent_in_progress() >= self._settings.guaranteed_urgent
        ):
            return []
        slot_class = states.classify(request)
        return [
            state
            for state in self._serving_states
            if state.has_room[slot_class]
            and states.is_eligible(state, request, now)
        ]

    def _count_urgent_in_progress(self) -> int:
        return sum(state.own_urgent for state in self._replicas.values())

    def _pick_candidate(
        self,
        candidates: list[states.ReplicaState],
        request: routing_model.Request,
    ) -> states.ReplicaState | None:
        if not candidates:
            return None
        matching = self._list_prefix_replicas(candidates, request)
        if request.priority == routing_model.URGENT and not matching:
            # Random draws are not needed: credits already prevent daemons from
            # choosing the same replica. Urgent work misses its target on a full
            # engine that a delayed report shows as nearly free.
            self._random.shuffle(candidates)
            return min(candidates, key=states.compute_cost)
        pool = matching or candidates
        first = pool[self._random.randrange(len(pool))]
        second = pool[self._random.randrange(len(pool))]
        return min(first, second, key=states.compute_cost)

    def _list_prefix_replicas(
        self,
        candidates: list[states.ReplicaState],
        request: routing_model.Request,
    ) -> list[states.ReplicaState]:
        names = (
            self._prefix_replicas.get(request.prefix)
            if request.prefix
            else None
        )
        if not names:
            return []
        matching = [
            state for state in candidates if state.serving.replica in names
        ]
        if not matching:
            return []
        mean = sum(state.load for state in self._serving_states) / len(
            self._serving_states
        )
        bound = self._settings.affinity_bound * mean + 1
        return [
            state
            for state in matching
            if state.load < min(bound, state.bulk_load_limit)
            and state.slowdown == 1.0
        ]

    def _remember_prefix(self, prefix: str, replica: str) -> None:
        if not prefix:
            return
        names = self._prefix_replicas.pop(prefix, ())
        others = tuple(name for name in names if name != replica)
        self._prefix_replicas[prefix] = (replica, *others)[
            : self._settings.replicas_per_prefix
        ]
        if len(self._prefix_replicas) > self._settings.prefix_limit:
            self._prefix_replicas.popitem(last=False)

    def _detect_stragglers(self, now: datetime.timedelta) -> None:
        oldest = now - self._settings.sample_age
        sampled = [
            state
            for state in self._serving_states
            if state.sampled_at is not None and state.sampled_at >= oldest
        ]
        for state in self._serving_states:
            state.slowdown = 1.0
        # A median of fewer than three samples is no basis for comparison.
        if len(sampled) < 3:
            return
        median = statistics.median(state.seconds_per_token for state in sampled)
        for state in sampled:
            ratio = state.seconds_per_token / median if median > 0.0 else 1.0
            if ratio >= self._settings.straggler_ratio:
                state.slowdown = min(
                    ratio, self._settings.max_straggler_slowdown
                )

    def _divide(
        self,
        demands: credits.Demands,
        floors: abc.Sequence[float],
        now: datetime.timedelta,
    ) -> None:
        settings = self._settings
        for state in self._serving_states:
            state.usable_slots = max(
                1, int(state.serving.slots / state.slowdown)
            )
            state.common_slots = max(
                1, int(state.usable_slots * (1 - settings.urgent_share))
            )
            headroom_slots = round(state.serving.slots * settings.headroom)
            state.bulk_load_limit = max(1, state.serving.slots - headroom_slots)
        common = sum(state.common_slots for state in self._serving_states)
        reserve = (
            sum(state.usable_slots for state in self._serving_states) - common
        )
        divided_at = self._divided_at
        is_new_division = (
            divided_at is None or now - divided_at >= DIVISION_INTERVAL
        )
        if is_new_division:
            self._division = credits.divide(demands, floors, common, reserve)
            self._divided_at = now
        for state in self._serving_states:
            self._update_credits(state, is_new_division)

    def _update_credits(
        self, state: states.ReplicaState, is_new_division: bool
    ) -> None:
        division = self._division
        name = state.serving.replica
        state.common_credits = credits.count_credits(
            division.common, state.common_slots, name
        )
        state.urgent_credits = credits.count_credits(
            division.reserve,
            state.usable_slots - state.common_slots,
            name + "/urgent",
        )
        if not is_new_division and state.recent_common_credits:
            state.recent_common_credits.pop()
        state.recent_common_credits.append(state.common_credits)
        while (
            len(state.recent_common_credits) > self._settings.handover_divisions
        ):
            state.recent_common_credits.popleft()
        state.bulk_credits = min(state.recent_common_credits)
