"""Guards against shares of failure domains that make requests late.

The replay extends the one of `test_scarce_room` by failure domains: callers use
the dispatchers of their own domain, and the daemons of a domain know the demand
of the others as late as heartbeats tell it. The decisions are those of
`balancing.locality`, `balancing.scarcity`, `relay.placement` and
`relay.occupancy`.
"""

import bisect
import collections
import dataclasses
import datetime
import math

import pytest

from arbutuscove.balancing import locality
from arbutuscove.relay import occupancy
from arbutuscove.relay import placement
from arbutuscove.relay.tests import test_burst
from arbutuscove.relay.tests import test_scarce_room

DOMAINS = test_scarce_room.DOMAINS
SWING = 0.55
PERIOD_SECONDS = 15.0
BEAT_SECONDS = 1.2  # age of the demand of another domain
MILLISECOND = datetime.timedelta(milliseconds=1)
DELAYS = locality.Delays(
    one_way={pair: 3.9 * MILLISECOND for pair in (("a", "b"), ("a", "c"))},
    per_request=2.41 * MILLISECOND,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """Demand of the callers of each domain over time.

    Attributes:
        fill: mean part of all slots that is in use.
        swing: part of the mean by which the demand of a domain swings, with a
            third of a period between two domains.
        parts: part of the demand of each domain.
        missing: domain whose groups may not be used, empty if there is none.
        slow: numbers of the groups that get requests only as far as the others
            lack slots.
    """

    fill: float
    swing: float = 0.0
    parts: tuple[float, float, float] = (1 / 3, 1 / 3, 1 / 3)
    missing: str = ""
    slow: tuple[int, ...] = ()


class Replay(test_scarce_room.Replay):
    """Three domains before many groups, with the shares or without."""

    def __init__(self, load, has_shares):
        self.load = load
        self.domain_counts = {name: [(0.0, 0)] for name in DOMAINS}
        self.domain_demand = collections.Counter()
        self.domain_occupancies = collections.defaultdict(occupancy.Occupancy)
        self.flows = {}
        super().__init__(1.0, has_dispatchers=True)
        self.open = [
            backend
            for backend in self.backends
            if backend.vm.failure_domain != load.missing
        ]
        if has_shares:
            self.flows = {name: locality.DomainFlow(name) for name in DOMAINS}
        self.crossed = 0
        self.full_beside_free = 0

    def get_domain(self, daemon):
        return DOMAINS[daemon % len(DOMAINS)]

    def arrive(self, time):
        slots = test_burst.SLOTS * len(self.open)
        rate = self.load.fill * slots / test_burst.RUN_SECONDS
        self.schedule(time + self.generator.expovariate(rate), "arrival", None)
        parts = [
            part * (1 + self.load.swing * self.get_wave(time, turn))
            for turn, part in enumerate(self.load.parts)
        ]
        (domain,) = self.generator.choices(DOMAINS, parts)
        daemon = self.generator.choice(
            [each for each in self.callees if self.get_domain(each) == domain]
        )
        self.arrivals.append(time)
        self.waiting[daemon].append(time)
        self.change_demand(time, daemon, 1)
        self.dispatch(time, daemon)

    def get_wave(self, time, turn):
        return math.sin(
            2 * math.pi * (time / PERIOD_SECONDS + turn / len(DOMAINS))
        )

    def change_demand(self, time, daemon, change):
        domain = self.get_domain(daemon)
        self.domain_demand[domain] += change
        self.domain_counts[domain].append((time, self.domain_demand[domain]))

    def finish(self, time, daemon, engine):
        self.change_demand(time, daemon, -1)
        super().finish(time, daemon, engine)

    def read_demand(self, time, domain):
        """Returns a domain's demand as a daemon of another one knows it."""
        counts = self.domain_counts[domain]
        position = bisect.bisect_right(counts, (time - BEAT_SECONDS, math.inf))
        return float(counts[max(0, position - 1)][1])

    def update(self, time, domain):
        """Updates the shares of a domain."""
        flow = self.flows[domain]
        now = datetime.timedelta(seconds=time)
        if not flow.is_due(now):
            return
        loads = {}
        for name in DOMAINS:
            groups = [
                backend
                for backend in self.open
                if backend.vm.failure_domain == name
                and backend.key[1] not in self.load.slow
            ]
            demand = (
                float(self.domain_demand[name])
                if name == domain
                else self.read_demand(time, name)
            )
            loads[name] = locality.DomainLoad(
                demand=demand,
                slots=float(sum(group.slots for group in groups)),
                backends=len(groups),
            )
        flow.update(now, loads, DELAYS)

    def record_answer(self, time, daemon, engine):
        load = occupancy.EngineLoad(
            running=self.running[engine],
            waiting=len(self.queues[engine]),
            slots=test_burst.SLOTS,
        )
        name = self.backends[engine].vm.failure_domain
        self.domain_occupancies[daemon, name].record(
            load, datetime.timedelta(seconds=time)
        )
        super().record_answer(time, daemon, engine)

    def read_usage(self, time, daemon):
        usage = super().read_usage(time, daemon)
        usage = dataclasses.replace(
            usage, total_slots=test_burst.SLOTS * len(self.open)
        )
        if not self.flows:
            return usage
        now = datetime.timedelta(seconds=time)
        by_domain = {}
        for name in DOMAINS:
            numbers = [
                backend.key[1]
                for backend in self.open
                if backend.vm.failure_domain == name
            ]
            own = sum(self.own[daemon][number] for number in numbers)
            slots = test_burst.SLOTS * len(numbers)
            mean = self.domain_occupancies[daemon, name].get_mean(now)
            if mean is None:
                # Counts of peers, which are spread as the demand is served.
                others = usage.others * len(numbers) / len(self.open)
            else:
                others = max(0.0, mean * slots - own)
            by_domain[name] = others
        return dataclasses.replace(
            usage,
            others=sum(by_domain.values()),
            others_by_domain=by_domain,
        )

    def choose_engine(self, time, daemon):
        own = self.own[daemon]
        usage = self.read_usage(time, daemon)
        domain = self.get_domain(daemon)
        drawn = None
        if self.flows:
            self.update(time, domain)
            drawn = self.flows[domain].draw(False, self.generator.random())
        counts = collections.Counter(
            backend.vm.failure_domain for backend in self.open
        )
        bound = placement.bound_peer_usage(usage)
        total = sum(usage.others_by_domain.values())
        others = {
            name: bound * usage.others_by_domain[name] / total / count
            if total > 0
            else bound / len(self.open)
            for name, count in counts.items()
        }
        candidates = [
            placement.Candidate(
                backend=backend,
                running=own[backend.key[1]] + others[backend.vm.failure_domain],
                slowness=1.0,
                is_avoided=backend.key[1] in self.load.slow,
                free_places=self.places[daemon].get(backend.key[1], 0)
                - own[backend.key[1]],
            )
            for backend in self.open
        ]
        if placement.must_borrow(candidates, usage, domain):
            drawn = None
        chosen = placement.choose_candidate(
            candidates,
            frozenset(),
            6.07,
            0.24,
            usage.own + usage.others,
            self.generator,
            drawn,
        )
        backend = (
            self.generator.choice(self.open)
            if chosen is None
            else chosen.backend
        )
        engine = backend.key[1]
        self.crossed += backend.vm.failure_domain != domain
        is_full = self.running[engine] >= test_burst.SLOTS
        self.overfilled += is_full
        self.full_beside_free += is_full and any(
            self.running[other.key[1]] < test_burst.SLOTS
            for other in self.open
            if other.vm.failure_domain != backend.vm.failure_domain
        )
        return engine


PATTERNS = {
    "equal": Load(fill=0.8),
    "waves": Load(fill=0.7, swing=SWING),
    "two full": Load(fill=0.6, parts=(0.5, 0.4, 0.1)),
    "a domain without groups": Load(fill=0.8, missing="a"),
    "a domain and half of one slow": Load(
        fill=0.4, slow=(*range(0, 24, 3), 1, 4, 7, 10)
    ),
    "half of a domain slow": Load(fill=0.6, slow=(0, 3, 6, 9)),
    "waves, a third slow": Load(
        fill=0.5, swing=SWING, slow=(0, 3, 6, 9, 1, 4, 7, 10)
    ),
}


def replay(load, has_shares):
    """Returns a finished replay."""
    run = Replay(load, has_shares)
    run.run()
    return run


@pytest.mark.parametrize("name", PATTERNS)
def test_shares_let_no_more_requests_wait_beside_free_slots(name):
    """Guards against requests that wait near while others have free slots.

    The measure is the same load with daemons that treat all domains alike.
    """
    even = replay(PATTERNS[name], has_shares=False)
    shared = replay(PATTERNS[name], has_shares=True)
    assert shared.full_beside_free <= even.full_beside_free


def test_replay_has_waves_that_overfill_groups():
    """Guards against a replay in which nothing would be seen."""
    even = replay(PATTERNS["waves"], has_shares=False)
    assert even.full_beside_free > 0
