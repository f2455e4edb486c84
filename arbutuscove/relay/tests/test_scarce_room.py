"""Guards against daemons that overfill some groups while others have room.

The replay extends the one of `test_burst` by several groups and the choice of a
group; the decisions are those of `balancing.scarcity`, `relay.placement` and
`relay.occupancy`.
"""

import collections
import dataclasses
import datetime

import pytest

from arbutuscove.balancing import loans
from arbutuscove.balancing import scarcity
from arbutuscove.fleet.tests import test_planner
from arbutuscove.relay import model
from arbutuscove.relay import placement
from arbutuscove.relay.tests import test_burst

DAEMONS = 88
GROUPS = 24
DOMAINS = ("a", "b", "c")
KNEE = 0.8  # share of the slots at which few requests wait
SLOTS = GROUPS * test_burst.SLOTS


def create_backend(number):
    """Returns a group; the groups are spread over the failure domains."""
    vm = test_planner.create_vm(f"v{number}")
    domain = DOMAINS[number % len(DOMAINS)]
    return model.Backend(
        key=(f"g{number}", number),
        vm=dataclasses.replace(vm, failure_domain=domain),
        model="m",
        slots=test_burst.SLOTS,
    )


class Replay(test_burst.Simulation):
    """A burst before many groups, with or without dispatchers."""

    def __init__(self, times, has_dispatchers):
        rate = KNEE * SLOTS / test_burst.RUN_SECONDS
        fleet = test_burst.Fleet(
            daemons=DAEMONS,
            engines=GROUPS,
            usual_rate=rate,
            burst_rate=times * rate,
        )
        rules = test_burst.Rules(
            is_load_from_answers=True, is_late_work_last=True
        )
        super().__init__(fleet, rules)
        self.backends = [create_backend(number) for number in range(GROUPS)]
        self.overfilled = 0
        self.arrivals = []
        self.names = [f"d{number}" for number in range(DAEMONS)]
        self.dispatchers = ()
        self.callees = range(DAEMONS)
        self.places = [{}] * DAEMONS
        self.histories = [loans.DemandHistory() for _ in range(DAEMONS)]
        self.reports = collections.deque()
        self.late = [scarcity.LateAllowance() for _ in range(DAEMONS)]
        if has_dispatchers:
            self.appoint()

    def appoint(self):
        """Names dispatchers to the callers and assigns their places."""
        daemons = [
            scarcity.Daemon(
                failure_domain=DOMAINS[number % len(DOMAINS)],
                name=name,
                millicores=500,
            )
            for number, name in enumerate(self.names)
        ]
        chosen = scarcity.choose_dispatchers(daemons, SLOTS)
        self.dispatchers = tuple(daemon.name for daemon in chosen)
        self.callees = [self.names.index(name) for name in self.dispatchers]
        sites = [
            scarcity.Site(
                failure_domain=backend.vm.failure_domain,
                number=backend.key[1],
                slots=backend.slots,
            )
            for backend in self.backends
        ]
        self.places = [
            scarcity.assign_places(sites, self.dispatchers, name)
            for name in self.names
        ]

    def choose_daemon(self):
        return self.generator.choice(self.callees)

    def read_usage(self, time, daemon):
        usage = super().read_usage(time, daemon)
        return dataclasses.replace(
            usage,
            daemons=len(self.callees) - 1,
            places=sum(self.places[daemon].values()),
            loan=self.compute_loan(time, daemon),
        )

    def count_demand(self, daemon):
        return self.own[daemon].total() + len(self.waiting[daemon])

    def read_reports(self, time):
        """Returns the demand of each daemon as heartbeats tell it."""
        age = loans.REPORT_AGE.total_seconds()
        interval = loans.SAMPLE_INTERVAL.total_seconds()
        reports = self.reports
        if not reports or time - reports[-1][0] >= interval:
            demands = [self.count_demand(each) for each in range(DAEMONS)]
            reports.append((time, demands))
        while len(reports) > 1 and time - reports[1][0] >= age:
            reports.popleft()
        return reports[0][1]

    def compute_loan(self, time, daemon):
        if not self.dispatchers:
            return loans.NO_LOAN
        reports = self.read_reports(time)
        places = SLOTS / len(self.dispatchers)
        lasting = self.histories[daemon].record(
            self.count_demand(daemon), datetime.timedelta(seconds=time)
        )
        return loans.compute_loan(
            loans.Demand(requests=lasting, places=places),
            [
                loans.Demand(requests=reports[each], places=places)
                for each in self.callees
                if each != daemon
            ],
        )

    def choose_engine(self, time, daemon):
        own = self.own[daemon]
        usage = self.read_usage(time, daemon)
        others = placement.bound_peer_usage(usage) / GROUPS
        chosen = placement.choose_candidate(
            [
                placement.Candidate(
                    backend=backend,
                    running=own[number] + others,
                    slowness=1.0,
                    is_avoided=False,
                    free_places=self.places[daemon].get(number, 0)
                    - own[number],
                )
                for number, backend in enumerate(self.backends)
            ],
            frozenset(),
            6.07,
            0.24,
            usage.own + usage.others,
            self.generator,
        )
        engine = (
            self.generator.randrange(GROUPS)
            if chosen is None
            else chosen.backend.key[1]
        )
        self.overfilled += self.running[engine] >= test_burst.SLOTS
        return engine

    def arrive(self, time):
        self.arrivals.append(time)
        super().arrive(time)

    def reserve(self, time, daemon, usage):
        reserve = super().reserve(time, daemon, usage)
        if not self.dispatchers:
            return reserve
        is_allowed = self.late[daemon].refresh(
            usage.total_slots,
            usage.total_slots - usage.own - usage.others,
            placement.count_late_sharers(usage),
            datetime.timedelta(seconds=time),
        )
        return reserve if is_allowed else usage.total_slots

    def send(self, time, daemon, arrived):
        if time - arrived > test_burst.MAX_WAIT_SECONDS:
            self.late[daemon].spend()
        super().send(time, daemon, arrived)

    def list_shares_in_time(self):
        """Returns what starts in time of what could, in windows of 2 s.

        The windows follow the begin of the burst. What could start in time is
        what arrives, or what the engines bear at the knee if that is less.
        """
        shares = []
        for begin in (2.0, 3.0, 4.0, 5.0, 6.0, 7.0):
            end = begin + 2.0
            in_time = sum(
                begin <= arrived < end
                and start - arrived <= test_burst.MAX_WAIT_SECONDS
                for arrived, start in self.started
            )
            arrived = sum(begin <= time < end for time in self.arrivals)
            most = 2.0 * KNEE * SLOTS / test_burst.RUN_SECONDS
            shares.append(in_time / min(arrived, most))
        return shares


def replay(times, has_dispatchers):
    """Returns a finished replay."""
    run = Replay(times, has_dispatchers)
    run.run()
    return run


def test_steady_load_overfills_few_groups():
    """Guards against requests that wait in full groups beside empty slots.

    The load is steady at four fifths of the slots of 24 groups.
    """
    blind = replay(1.0, has_dispatchers=False)
    divided = replay(1.0, has_dispatchers=True)
    assert divided.overfilled < blind.overfilled / 4


@pytest.mark.parametrize("times", [1.5, 1.8, 3.0])
def test_burst_leaves_as_many_in_time_as_the_engines_bear(times):
    """Guards against overloads in which less is in time than in calm.

    The load rises from the knee by the given factor for two seconds and then
    returns to it, while late requests are left over.
    """
    shares = replay(times, has_dispatchers=True).list_shares_in_time()
    assert min(shares) > 0.95


def test_burst_before_blind_daemons_makes_half_of_the_requests_late():
    """Guards against a replay that would not show the fault."""
    shares = replay(1.8, has_dispatchers=False).list_shares_in_time()
    assert min(shares) < 0.6
