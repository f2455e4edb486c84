"""Simulates arrivals, daemons and engines and records the outcomes."""

import dataclasses
import datetime
import enum
import random
import typing
from collections import abc

import xxhash

from arbutuscove.admission import queue
from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.routing import credits
from arbutuscove.routing import model as routing_model
from bench import events
from bench import fakes
from bench import policies
from bench import users

DISPATCH_INTERVAL_SECONDS = 0.025  # as admission.service.DISPATCH_INTERVAL
GOSSIP_INTERVAL_SECONDS = 1.0  # between two probes by one daemon
# Share of an account's requests that enter at its primary daemon; the others
# enter at its secondary one.
PRIMARY_DAEMON_SHARE = 0.7
MAX_ATTEMPTS = 3
RETRY_DELAY_SECONDS = 0.05
CURRENT_POLICY = "arbutuscove"


class Outcome(enum.StrEnum):
    """The outcome of a request; `PENDING` until there is one."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED_ON_ARRIVAL = "refused at once"
    REFUSED_AFTER_WAIT = "refused after waiting"
    LOST = "lost"
    PENDING = "open"


@dataclasses.dataclass(slots=True, kw_only=True)
class Record:
    """One request and its outcome; times in seconds."""

    rank: str
    account: str
    arrived: float
    target: float
    outcome: Outcome = Outcome.PENDING
    delay: float = 0.0  # from arrival to the first token or the refusal
    # From the time at which the refusal became certain to the refusal.
    refusal_delay: float = 0.0
    retry_after: float = 0.0
    attempts: int = 0


class Flow(typing.NamedTuple):
    """Poisson arrivals of one account and rank over an interval.

    `account` and `rank` are positions in the service, `rate` is in requests
    per second, `start` and `end` are in seconds.
    """

    account: int
    rank: int
    rate: float
    start: float
    end: float


class Fault(typing.NamedTuple):
    """A fault injected into one replica.

    `at` is the time in seconds and `replica` the position of the replica.
    """

    at: float
    replica: int
    action: abc.Callable[[fakes.Engine], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """The load and the faults of a run; times in seconds.

    Only requests that arrive in `[measure_from, measure_to)` are measured.
    """

    name: str
    flows: tuple[Flow, ...]
    measure_from: float
    measure_to: float
    faults: tuple[Fault, ...] = ()
    report_lag: float = 0.2


class Simulation:
    """Runs the daemons of one policy through one scenario."""

    def __init__(
        self,
        user: users.User,
        scenario: Scenario,
        policy: str,
        seed: int,
        settings: routing_model.ChoiceSettings | None = None,
    ) -> None:
        self.user = user
        self.scenario = scenario
        self.records: list[Record] = []
        self._loop = events.EventLoop()
        self._service = user.build_service()
        self._seed = seed
        self._records_by_request: dict[str, Record] = {}
        self.engines = {
            f"replica-{number:02}": fakes.Engine(
                self._loop, f"replica-{number:02}", user.slots
            )
            for number in range(user.replicas)
        }
        self._policies = [
            self._build_policy(policy, name, seed, settings)
            for name in users.DAEMONS
        ]
        self._gossiped_loads = {
            name: dict.fromkeys(users.DAEMONS, (0,)) for name in users.DAEMONS
        }
        self._gossip_round = 0

    def run(self) -> None:
        """Runs the scenario until all requests have an outcome."""
        for number, flow in enumerate(self.scenario.flows):
            # Each flow has its own generator, so that runs with the same seed
            # have the same usual requests with and without a disturbance.
            generator = random.Random(f"{self._seed}/flow/{number}")
            self._schedule_arrival(flow, flow.start, generator)
        for fault in self.scenario.faults:
            engine = list(self.engines.values())[fault.replica]
            self._loop.call_at(fault.at, lambda f=fault, e=engine: f.action(e))
        for number, policy in enumerate(self._policies):
            first = DISPATCH_INTERVAL_SECONDS * number / len(self._policies)
            self._loop.call_every(
                DISPATCH_INTERVAL_SECONDS, policy.dispatch_pending, first
            )
        self._loop.call_every(GOSSIP_INTERVAL_SECONDS, self._gossip, 0.5)
        longest = max(rank.deadline for rank in self.user.ranks)
        end = self.scenario.measure_to
        # By its deadline each request is refused or its answer has begun. The
        # additional time is for retries that are in flight.
        while end < self.scenario.measure_to + longest + 30.0:
            self._loop.run(end)
            if all(r.outcome != Outcome.PENDING for r in self.records):
                return
            end += 5.0

    def list_measured_records(self) -> list[Record]:
        """Returns the requests that arrived in the measured interval."""
        return [
            record
            for record in self.records
            if self.scenario.measure_from
            <= record.arrived
            < self.scenario.measure_to
        ]

    def compute_slot_shares(self) -> dict[str, float]:
        """Returns the share of slot time by rank in the measured interval."""
        start, end = self.scenario.measure_from, self.scenario.measure_to
        slot_seconds: dict[str, float] = {
            rank.name: 0.0 for rank in self.user.ranks
        }
        for engine in self.engines.values():
            for began, request, duration in engine.executions:
                rank = self._records_by_request[request].rank
                overlap = min(end, began + duration) - max(start, began)
                slot_seconds[rank] += max(0.0, overlap)
        total = (end - start) * self.user.count_slots()
        return {rank: seconds / total for rank, seconds in slot_seconds.items()}

    def compute_max_engine_queue_length(self) -> int:
        """Returns the maximum length of the queue of any engine."""
        return max(engine.max_queue_length for engine in self.engines.values())

    def send(
        self,
        policy: policies.Policy,
        ticket: work_module.Ticket,
        priority: int,
    ) -> None:
        """Sends a dispatched request to its replica."""
        work = ticket.work
        record = self._records_by_request[work.request_id]
        record.attempts += 1
        rank = next(r for r in self.user.ranks if r.name == record.rank)
        run_time = rank.prefill + work.tokens * self.user.token_interval
        job = fakes.Job(
            work=work,
            prefill=rank.prefill,
            run_time=run_time,
            priority=priority,
            on_first_token=lambda: self._record_first_token(record),
            on_end=lambda is_complete: self._handle_end(
                policy, ticket, job, is_complete
            ),
            start_deadline=work.deadline.total_seconds(),
        )
        if not self.engines[ticket.replica.replica].send(job):
            # Scheduled as an event, because the policy that calls this is still
            # in its dispatch loop.
            self._loop.call_at(
                self._loop.now(),
                lambda: self._handle_end(policy, ticket, job, False),
            )

    def refuse(self, refused: queue.RefusedWork) -> None:
        """Records the refusal of a waiting request."""
        record = self._records_by_request[refused.work.request_id]
        record.outcome = Outcome.REFUSED_AFTER_WAIT
        record.delay = self._loop.now() - record.arrived
        record.refusal_delay = (
            self._loop.clock.monotonic() - refused.certain_at
        ).total_seconds()
        self._record_retry_after(record, refused.refusal)

    def expire(self, work: work_module.Work) -> None:
        """Records that a request passed its deadline while it waited."""
        record = self._records_by_request[work.request_id]
        record.outcome = Outcome.LOST
        record.delay = self._loop.now() - record.arrived

    def _build_policy(
        self,
        policy: str,
        name: str,
        seed: int,
        settings: routing_model.ChoiceSettings | None,
    ) -> policies.Policy:
        generator = random.Random(f"{seed}/{name}")
        directory = fakes.Directory(
            self._loop,
            self.engines,
            self.scenario.report_lag,
            1.0,
            generator,
        )
        if policy == CURRENT_POLICY:
            return policies.CurrentPolicy(
                name,
                self._loop,
                self,
                directory,
                lambda: self._read_demands(name),
                generator,
                settings,
            )
        return policies.BaselinePolicy(
            name,
            self._loop,
            self,
            directory,
            generator,
            policies.BASELINES[policy],
            len(users.DAEMONS),
        )

    def _read_demands(self, name: str) -> credits.Demands:
        return credits.Demands(own=name, loads=self._gossiped_loads[name])

    def _gossip(self) -> None:
        """Exchanges loads between each daemon and one peer, in rotation."""
        self._gossip_round += 1
        count = len(self._policies)
        for number, policy in enumerate(self._policies):
            step = 1 + self._gossip_round % (count - 1)
            peer = self._policies[(number + step) % count]
            for observer, observed in ((policy, peer), (peer, policy)):
                self._gossiped_loads[observer.name][observed.name] = (
                    observed.list_loads()
                )
                self._gossiped_loads[observer.name][observer.name] = (
                    observer.list_loads()
                )

    def _schedule_arrival(
        self, flow: Flow, after: float, generator: random.Random
    ) -> None:
        if flow.rate <= 0.0:
            return
        when = after + generator.expovariate(flow.rate)
        if when < flow.end:
            self._loop.call_at(
                when, lambda: self._create_request(flow, when, generator)
            )

    def _create_request(
        self, flow: Flow, when: float, generator: random.Random
    ) -> None:
        self._schedule_arrival(flow, when, generator)
        rank = self.user.ranks[flow.rank]
        account = self._service.accounts[flow.account]
        record = Record(
            rank=rank.name,
            account=account.name,
            arrived=when,
            target=rank.target,
        )
        request_id = f"r{len(self.records):07}"
        self.records.append(record)
        self._records_by_request[request_id] = record
        size = generator.uniform(0.5, 1.5)
        arrived = self._loop.clock.monotonic()
        work = work_module.Work(
            request_id=request_id,
            service=self._service,
            account=account,
            rank=self._service.ranks[flow.rank],
            tokens=max(1, round(rank.answer_tokens * size)),
            arrived=arrived,
            deadline=arrived + datetime.timedelta(seconds=rank.deadline),
            prefix=f"{account.name}/{generator.randrange(4)}",
        )
        self._admit(self._choose_policy(account, generator), work)

    def _admit(self, policy: policies.Policy, work: work_module.Work) -> None:
        refusal = policy.admit(work)
        if refusal is None:
            return
        record = self._records_by_request[work.request_id]
        record.outcome = (
            Outcome.REFUSED_AFTER_WAIT
            if record.attempts
            else Outcome.REFUSED_ON_ARRIVAL
        )
        record.delay = self._loop.now() - record.arrived
        self._record_retry_after(record, refusal)

    def _choose_policy(
        self, account: config_model.Account, generator: random.Random
    ) -> policies.Policy:
        ordered = sorted(
            self._policies,
            key=lambda p: xxhash.xxh3_64_intdigest(
                f"{account.name}/{p.name}".encode()
            ),
        )
        first = generator.random() < PRIMARY_DAEMON_SHARE
        return ordered[0] if first else ordered[1]

    def _record_first_token(self, record: Record) -> None:
        record.delay = self._loop.now() - record.arrived
        in_time = record.delay <= record.target
        record.outcome = Outcome.IN_TIME if in_time else Outcome.LATE

    def _handle_end(
        self,
        policy: policies.Policy,
        ticket: work_module.Ticket,
        job: fakes.Job,
        is_complete: bool,
    ) -> None:
        work = ticket.work
        policy.finish(ticket, work.tokens if is_complete else 0)
        record = self._records_by_request[work.request_id]
        if is_complete:
            return
        now = self._loop.clock.monotonic()
        is_retryable = (
            not job.has_first_token and record.attempts < MAX_ATTEMPTS
        )
        if not is_retryable or work.deadline <= now:
            record.outcome = Outcome.LOST
            return
        excluded = work.excluded | {ticket.replica.replica}
        retried = dataclasses.replace(work, excluded=excluded)
        self._loop.call_at(
            self._loop.now() + RETRY_DELAY_SECONDS,
            lambda: self._admit(policy, retried),
        )

    def _record_retry_after(
        self, record: Record, refusal: work_module.Refusal
    ) -> None:
        if refusal.retry_after is not None:
            record.retry_after = refusal.retry_after.total_seconds()


def compute_share_in_time(
    records: abc.Iterable[Record],
    rank: str | None = None,
    account: str | None = None,
) -> float:
    """Returns the share of requests that were answered within their target.

    Args:
        records: the requests.
        rank: only requests of this rank; None: of all ranks.
        account: only requests of this account; None: of all accounts.

    Returns:
        The share from 0 to 1; 1 if no request matches.
    """
    matching = [
        record
        for record in records
        if rank in (None, record.rank) and account in (None, record.account)
    ]
    if not matching:
        return 1.0
    in_time = sum(r.outcome == Outcome.IN_TIME for r in matching)
    return in_time / len(matching)
