"""Choice of a replica, as a pure deterministic state machine.

One `Chooser` holds what a daemon knows of the replicas of one service: their
load reports, its own work since those reports, its credits, its latencies. The
choice among the replicas with a free credit is made by the power of two
choices (Mitzenmacher, 2001): of two drawn at random the less loaded one is
taken. Random draws keep daemons that see the same lagging reports from all
choosing the same idle replica.
"""

import collections
import dataclasses
import datetime
import enum
import random
import statistics
from collections import abc

from arbutuscove.replicas import model
from arbutuscove.routing import credits

SECOND = datetime.timedelta(seconds=1)
URGENT = 0  # priority of the most urgent rank


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceSettings:
    """Limits of the choice of a replica.

    A service's configuration sets `urgent_share` and `headroom`.
    `urgent_share` is the share of a replica's slots that only the most urgent
    rank holds credits for. `headroom` is the share that less urgent work
    leaves free by the load report, unless its rank is below its floor: credits
    alone cannot keep slots free while work sent under an earlier division
    still runs. `handover` is how many divisions (one a second) less urgent
    work must have held a credit for, so that the daemon that loses it has
    stopped using it. `urgent_least` is how many urgent requests each daemon
    may have in progress whatever its part. `bulk_kv` and `urgent_kv` are the
    fractions of KV memory beyond which less urgent and urgent work are not
    sent. `affinity_bound` is
    how far the load of a replica that holds the prefix may pass the mean (a
    factor, as in consistent hashing with bounded loads, Mirrokni et al.,
    2018). `straggler_ratio` is the time per token relative to the group's
    median from which a replica counts as a straggler, and `straggler_most`
    bounds how far its slots are reduced. `sample_age` is how long a latency
    counts. `prefix_limit` and `homes` bound the prefixes remembered and the
    replicas of each.
    """

    urgent_share: float = 0.25
    headroom: float = 0.2
    handover: int = 3
    urgent_least: int = 1
    bulk_kv: float = 0.85
    urgent_kv: float = 0.97
    affinity_bound: float = 1.25
    straggler_ratio: float = 1.5
    straggler_most: float = 4.0
    sample_age: datetime.timedelta = 30 * SECOND
    prefix_limit: int = 10_000
    homes: int = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """What the choice needs to know of a request."""

    priority: int
    prefix: str = ""
    excluded: frozenset[str] = frozenset()
    suspect: bool = False
    below_floor: bool = False  # its rank is owed capacity


EVENT_LIMIT = 4096  # own starts and ends since a report, for each replica
# Waiting work asks again every 25 ms, so that this outlasts a slow loop.
KEEP_FREE = SECOND  # time that a replica is kept free for a waiting suspect
DIVISION_INTERVAL = SECOND  # hints change no faster than daemons gossip


class _Right(enum.IntEnum):
    """Which slots a request may use."""

    URGENT = 0
    BULK = 1
    OWED = 2  # less urgent, but its rank is below its floor


def _find_right(request: Request) -> _Right:
    if request.priority == URGENT:
        return _Right.URGENT
    return _Right.OWED if request.below_floor else _Right.BULK


class _Replica:
    """What this daemon knows of one replica.

    `load`, `room` and `free` follow from the rest. They are kept by `settle`,
    because a choice reads them for every replica, and only a report, a
    division or own work there changes them. `room` and `free` are by right;
    `free` also needs a credit.
    """

    def __init__(self, serving: model.ServingReplica) -> None:
        self.serving = serving
        self.bulk_credits = 0  # for less urgent work, held long enough
        self.common_credits = 0  # for urgent work, by the newest division
        self.urgent_credits = 0
        self.own_bulk = 0
        self.own_urgent = 0
        self.alone = False  # a suspect runs here
        self.free_until = datetime.timedelta()  # kept free for a suspect
        self.events: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque(maxlen=EVENT_LIMIT)
        )
        self.change = 0  # sum of `events`
        self.token_time = 0.0  # seconds for a token, averaged
        self.sampled_at: datetime.timedelta | None = None
        self.slowdown = 1.0
        self.usable = serving.slots  # slots, fewer on a straggler
        self.bulk = serving.slots  # of these, slots that any rank may use
        self.bulk_limit = serving.slots  # load from which bulk stays away
        self.held: collections.deque[int] = collections.deque()
        self.load = 0  # as reported, corrected by own work since then
        self.room = (False, False, False)
        self.free = (False, False, False)

    def own(self) -> int:
        """Returns this daemon's requests here."""
        return self.own_bulk + self.own_urgent

    def settle(self, settings: ChoiceSettings) -> None:
        """Works out the load and which rights find room here."""
        reported = self.serving.running + self.serving.queued
        self.load = max(self.own(), reported + self.change)
        slots = self.serving.slots
        memory = self.has_memory(settings.bulk_kv)
        room = (
            self.load < slots and self.has_memory(settings.urgent_kv),
            self.load < self.bulk_limit and memory,
            self.load < slots and memory,
        )
        bulk = self.has_credit(URGENT + 1)
        self.room = room
        self.free = (
            room[_Right.URGENT] and self.has_credit(URGENT),
            room[_Right.BULK] and bulk,
            room[_Right.OWED] and bulk,
        )

    def count(self, now: datetime.timedelta, change: int) -> None:
        """Counts a start or an end of own work."""
        if len(self.events) == EVENT_LIMIT:
            self.change -= self.events[0][1]
        self.events.append((now, change))
        self.change += change

    def report(self, serving: model.ServingReplica) -> None:
        """Takes a load report; work that it includes is not counted twice."""
        self.serving = serving
        while self.events and self.events[0][0] <= serving.reported_at:
            self.change -= self.events.popleft()[1]

    def has_credit(self, priority: int) -> bool:
        """Returns whether a credit is free; urgent work may use any."""
        spilled = max(0, self.own_urgent - self.urgent_credits)
        if priority != URGENT:
            return self.own_bulk + spilled < self.bulk_credits
        return (
            self.own_urgent < self.urgent_credits
            or self.own_bulk + spilled < self.common_credits
        )

    def has_memory(self, limit: float) -> bool:
        """Returns whether KV memory is below a limit, own work included."""
        used = self.serving.kv_used
        each = used / max(1, self.serving.running)
        return used + max(0, self.change) * each < limit


class Chooser:
    """Chooses among the replicas of one service; time is passed in."""

    def __init__(
        self,
        generator: random.Random,
        settings: ChoiceSettings | None = None,
    ) -> None:
        self._random = generator
        self._settings = settings or ChoiceSettings()
        self._replicas: dict[str, _Replica] = {}
        self._serving: list[_Replica] = []
        self._homes: collections.OrderedDict[str, tuple[str, ...]] = (
            collections.OrderedDict()
        )
        self._division = credits.Division()
        self._divided_at: datetime.timedelta | None = None
        # Priority and floor claim of the last work that found no replica.
        self._nothing_for: tuple[int, bool] | None = None

    def set_shares(self, urgent_share: float, headroom: float) -> None:
        """Sets the shares of the slots kept from less urgent work."""
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
        """Takes the replicas that serve now and divides their credits.

        Args:
            servings: replicas with their newest load reports.
            demands: what each daemon asks for.
            floors: floor shares of the ranks, by priority.
            now: monotonic time.
        """
        self._serving = []
        for serving in servings:
            held = self._replicas.get(serving.replica)
            if held is None:
                held = _Replica(serving)
                self._replicas[serving.replica] = held
            held.report(serving)
            self._serving.append(held)
        names = {held.serving.replica for held in self._serving}
        for name in list(self._replicas):
            if name not in names and self._replicas[name].own() == 0:
                del self._replicas[name]
        self._nothing_for = None
        self._judge_latency(now)
        self._divide(demands, floors, now)
        for held in self._serving:
            held.settle(self._settings)

    def choose(
        self, request: Request, now: datetime.timedelta
    ) -> model.ServingReplica | None:
        """Returns the replica that takes the request, or None.

        The request then counts as this daemon's until `end`.
        """
        excluded = request.excluded
        if excluded and all(
            held.serving.replica in excluded for held in self._serving
        ):
            # Waiting for another replica would last until the deadline.
            request = dataclasses.replace(request, excluded=frozenset())
        if request.suspect:
            chosen = self._pick_alone(request, now)
        elif self._is_hopeless(request):
            return None
        else:
            chosen = self._pick_shared(request, now)
        if chosen is None:
            return None
        if request.priority == URGENT:
            chosen.own_urgent += 1
        else:
            chosen.own_bulk += 1
        chosen.alone = request.suspect
        chosen.count(now, 1)
        chosen.settle(self._settings)
        self._remember(request.prefix, chosen.serving.replica)
        return chosen.serving

    def end(
        self,
        replica: str,
        request: Request,
        tokens: int,
        duration: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Counts the end of a request that was chosen for a replica.

        Args:
            replica: the replica that took it.
            request: the request as it was chosen.
            tokens: tokens generated; 0 if it failed.
            duration: time since the choice.
            now: monotonic time.
        """
        held = self._replicas.get(replica)
        if held is None:
            return
        if request.priority == URGENT:
            held.own_urgent -= 1
        else:
            held.own_bulk -= 1
        if request.suspect:
            held.alone = False
        held.count(now, -1)
        held.settle(self._settings)
        self._nothing_for = None
        if tokens > 0:
            sample = duration.total_seconds() / tokens
            weight = 0.2 if held.sampled_at else 1.0
            held.token_time += weight * (sample - held.token_time)
            held.sampled_at = now

    def slots(self) -> int:
        """Returns this daemon's credits over all replicas."""
        return sum(h.common_credits + h.urgent_credits for h in self._serving)

    def floors(self) -> tuple[float, ...]:
        """Returns this daemon's floors by priority, empty if unknown."""
        return self._division.floors

    def load(self, replica: str) -> int:
        """Returns the corrected load of a replica."""
        return self._replicas[replica].load

    def slowdown(self, replica: str) -> float:
        """Returns latency relative to the group, 1 unless a straggler."""
        return self._replicas[replica].slowdown

    def in_progress(self) -> int:
        """Returns this daemon's requests on all replicas."""
        return sum(held.own() for held in self._replicas.values())

    def _pick_alone(
        self, request: Request, now: datetime.timedelta
    ) -> _Replica | None:
        """Returns an empty replica for a suspect, or keeps one free for it.

        A suspect needs no credit: it may be allowed a single replica, and one
        request on an empty replica takes a slot from nobody.
        """
        if any(held.alone for held in self._replicas.values()):
            return None
        allowed = [
            held
            for held in self._serving
            if held.serving.replica not in request.excluded
        ]
        if not allowed:
            return None
        least = min(allowed, key=lambda held: held.load)
        if least.load == 0:
            least.free_until = now
            return least
        # The same one each time, since the least loaded one changes.
        kept = min(
            allowed, key=lambda held: (held.free_until <= now, held.load)
        )
        kept.free_until = now + KEEP_FREE
        return None

    def _pick_shared(
        self, request: Request, now: datetime.timedelta
    ) -> _Replica | None:
        """Returns a replica with a free credit for ordinary work."""
        right = _find_right(request)
        able = [
            held
            for held in self._serving
            if held.free[right] and _is_open(held, request, now)
        ]
        chosen = self._pick(able or self._borrow(request, now), request)
        if chosen is None and not request.excluded:
            self._nothing_for = (request.priority, request.below_floor)
        return chosen

    def _is_hopeless(self, request: Request) -> bool:
        """Returns whether work with at least the same rights found nothing."""
        if self._nothing_for is None:
            return False
        priority, below_floor = self._nothing_for
        if request.below_floor and not below_floor and priority != URGENT:
            return False
        return request.priority >= priority

    def _borrow(
        self, request: Request, now: datetime.timedelta
    ) -> list[_Replica]:
        """Returns replicas for one request beyond the credits.

        A daemon whose part gives it no free credit could otherwise never
        begin, when replicas are few or its hints are wrong. Only a daemon
        with nothing in progress borrows. For urgent work it is enough to have
        hardly any urgent work in progress: a small part of the reserve has
        credits on few replicas, which may be full, and at times on none, while
        own bulk holds the common credits. The overfill is at most
        `urgent_least` requests for each daemon.
        """
        if request.priority != URGENT:
            if self.in_progress():
                return []
        elif self._urgent_in_progress() >= self._settings.urgent_least:
            return []
        right = _find_right(request)
        return [
            held
            for held in self._serving
            if held.room[right] and _is_open(held, request, now)
        ]

    def _urgent_in_progress(self) -> int:
        return sum(held.own_urgent for held in self._replicas.values())

    def _pick(self, able: list[_Replica], request: Request) -> _Replica | None:
        if not able:
            return None
        homes = self._find_homes(able, request)
        if request.priority == URGENT and not homes:
            # Credits already keep daemons apart here, and a full engine that
            # a late report shows as nearly free costs urgent work its target.
            self._random.shuffle(able)
            return min(able, key=_cost)
        pool = homes or able
        first = pool[self._random.randrange(len(pool))]
        second = pool[self._random.randrange(len(pool))]
        return min(first, second, key=_cost)

    def _find_homes(
        self, able: list[_Replica], request: Request
    ) -> list[_Replica]:
        names = self._homes.get(request.prefix) if request.prefix else None
        if not names:
            return []
        homes = [held for held in able if held.serving.replica in names]
        if not homes:
            return []
        mean = sum(held.load for held in self._serving) / len(self._serving)
        bound = self._settings.affinity_bound * mean + 1
        return [
            held
            for held in homes
            if held.load < min(bound, held.bulk_limit) and held.slowdown == 1.0
        ]

    def _remember(self, prefix: str, replica: str) -> None:
        if not prefix:
            return
        names = self._homes.pop(prefix, ())
        others = tuple(name for name in names if name != replica)
        self._homes[prefix] = (replica, *others)[: self._settings.homes]
        if len(self._homes) > self._settings.prefix_limit:
            self._homes.popitem(last=False)

    def _judge_latency(self, now: datetime.timedelta) -> None:
        oldest = now - self._settings.sample_age
        sampled = [
            held
            for held in self._serving
            if held.sampled_at is not None and held.sampled_at >= oldest
        ]
        for held in self._serving:
            held.slowdown = 1.0
        # With fewer than three there is no group to be compared with.
        if len(sampled) < 3:
            return
        median = statistics.median(held.token_time for held in sampled)
        for held in sampled:
            ratio = held.token_time / median if median > 0.0 else 1.0
            if ratio >= self._settings.straggler_ratio:
                held.slowdown = min(ratio, self._settings.straggler_most)

    def _divide(
        self,
        demands: credits.Demands,
        floors: abc.Sequence[float],
        now: datetime.timedelta,
    ) -> None:
        settings = self._settings
        for held in self._serving:
            held.usable = max(1, int(held.serving.slots / held.slowdown))
            held.bulk = max(1, int(held.usable * (1 - settings.urgent_share)))
            free = round(held.serving.slots * settings.headroom)
            held.bulk_limit = max(1, held.serving.slots - free)
        common = sum(held.bulk for held in self._serving)
        reserve = sum(held.usable for held in self._serving) - common
        last = self._divided_at
        again = last is None or now - last >= DIVISION_INTERVAL
        if again:
            self._division = credits.divide(demands, floors, common, reserve)
            self._divided_at = now
        for held in self._serving:
            self._grant(held, again)

    def _grant(self, held: _Replica, again: bool) -> None:
        part = self._division
        name = held.serving.replica
        held.common_credits = credits.count(part.common, held.bulk, name)
        held.urgent_credits = credits.count(
            part.reserve, held.usable - held.bulk, name + "/urgent"
        )
        if not again and held.held:
            held.held.pop()
        held.held.append(held.common_credits)
        while len(held.held) > self._settings.handover:
            held.held.popleft()
        held.bulk_credits = min(held.held)


def _is_open(held: _Replica, request: Request, now: datetime.timedelta) -> bool:
    return (
        not held.alone
        and held.free_until <= now
        and held.serving.replica not in request.excluded
    )


def _cost(held: _Replica) -> float:
    return (held.load + 1) * held.slowdown / max(1, held.serving.slots)
