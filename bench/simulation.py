"""One run: arrivals, daemons, engines and the record of outcomes."""

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
from arbutuscove.routing import choice
from arbutuscove.routing import credits
from bench import events
from bench import fakes
from bench import policies
from bench import users

TICK = 0.025  # seconds, as admission.service.DISPATCH_INTERVAL
GOSSIP_INTERVAL = 1.0  # seconds between probes of one daemon
FIRST_DAEMON_SHARE = 0.7  # of an account's requests; the rest use its second
ATTEMPT_LIMIT = 3
BACKOFF = 0.05  # seconds before a request is sent again
CURRENT_POLICY = "arbutuscove"


class Outcome(enum.StrEnum):
    """What became of a request."""

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
    delay: float = 0.0  # from arrival to first token or refusal
    refusal_delay: float = 0.0  # from certainty to refusal
    retry_after: float = 0.0
    attempts: int = 0


class Flow(typing.NamedTuple):
    """Poisson arrivals of one account and rank over an interval."""

    account: int
    rank: int
    rate: float
    start: float
    end: float


class Fault(typing.NamedTuple):
    """Something that happens to a replica (by position) at a time."""

    at: float
    replica: int
    action: abc.Callable[[fakes.Engine], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """What happens in a run; times in seconds.

    Requests that arrive in `[measure_from, measure_to)` count.
    """

    name: str
    flows: tuple[Flow, ...]
    measure_from: float
    measure_to: float
    faults: tuple[Fault, ...] = ()
    report_lag: float = 0.2


class Simulation:
    """Drives the daemons of one policy through one scenario."""

    def __init__(
        self,
        user: users.User,
        scenario: Scenario,
        policy: str,
        seed: int,
        settings: choice.ChoiceSettings | None = None,
    ) -> None:
        self.user = user
        self.scenario = scenario
        self.records: list[Record] = []
        self._loop = events.EventLoop()
        self._service = user.build_service()
        self._seed = seed
        self._by_request: dict[str, Record] = {}
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
        self._heard = {
            name: dict.fromkeys(users.DAEMONS, (0,)) for name in users.DAEMONS
        }
        self._turn = 0

    def run(self) -> None:
        """Runs the scenario and until its last request has an outcome."""
        for number, flow in enumerate(self.scenario.flows):
            # One generator for each flow: the usual requests are the same in
            # a calm and a disturbed run with the same seed.
            generator = random.Random(f"{self._seed}/flow/{number}")
            self._schedule(flow, flow.start, generator)
        for fault in self.scenario.faults:
            engine = list(self.engines.values())[fault.replica]
            self._loop.call_at(fault.at, lambda f=fault, e=engine: f.action(e))
        for number, policy in enumerate(self._policies):
            first = TICK * number / len(self._policies)
            self._loop.call_every(TICK, policy.tick, first)
        self._loop.call_every(GOSSIP_INTERVAL, self._gossip, 0.5)
        longest = max(rank.deadline for rank in self.user.ranks)
        end = self.scenario.measure_to
        # Every answer has begun or been refused by its deadline; the rest of
        # the time is for retries that are under way.
        while end < self.scenario.measure_to + longest + 30.0:
            self._loop.run(end)
            if all(r.outcome != Outcome.PENDING for r in self.records):
                return
            end += 5.0

    def list_measured_records(self) -> list[Record]:
        """Returns the requests that count."""
        return [
            record
            for record in self.records
            if self.scenario.measure_from
            <= record.arrived
            < self.scenario.measure_to
        ]

    def compute_slot_shares(self) -> dict[str, float]:
        """Returns each rank's share of all slot time while measured."""
        start, end = self.scenario.measure_from, self.scenario.measure_to
        used: dict[str, float] = {rank.name: 0.0 for rank in self.user.ranks}
        for engine in self.engines.values():
            for began, request, duration in engine.ran:
                rank = self._by_request[request].rank
                shared = min(end, began + duration) - max(start, began)
                used[rank] += max(0.0, shared)
        total = (end - start) * self.user.total_slots()
        return {rank: amount / total for rank, amount in used.items()}

    def most_waiting_in_engine(self) -> int:
        """Returns the longest queue inside any engine."""
        return max(engine.most_waiting for engine in self.engines.values())

    def send(
        self,
        policy: policies.Policy,
        ticket: work_module.Ticket,
        priority: int,
    ) -> None:
        """Sends admitted work to its replica."""
        work = ticket.work
        record = self._by_request[work.request_id]
        record.attempts += 1
        rank = next(r for r in self.user.ranks if r.name == record.rank)
        run_time = rank.prefill + work.tokens * self.user.token_interval
        job = fakes.Job(
            work=work,
            prefill=rank.prefill,
            run_time=run_time,
            priority=priority,
            first_token=lambda: self._answer(record),
            ended=lambda whole: self._end(policy, ticket, job, whole),
            drop_after=work.deadline.total_seconds(),
        )
        if not self.engines[ticket.replica.replica].send(job):
            # Not inside the policy's own dispatch loop.
            self._loop.call_at(
                self._loop.now(),
                lambda: self._end(policy, ticket, job, False),
            )

    def refuse(self, refused: queue.RefusedWork) -> None:
        """Refuses waiting work."""
        record = self._by_request[refused.work.request_id]
        record.outcome = Outcome.REFUSED_AFTER_WAIT
        record.delay = self._loop.now() - record.arrived
        record.refusal_delay = (
            self._loop.clock.monotonic() - refused.certain_at
        ).total_seconds()
        self._note_retry(record, refused.refusal)

    def expire(self, work: work_module.Work) -> None:
        """Records that the caller of waiting work is gone."""
        record = self._by_request[work.request_id]
        record.outcome = Outcome.LOST
        record.delay = self._loop.now() - record.arrived

    def _build_policy(
        self,
        policy: str,
        name: str,
        seed: int,
        settings: choice.ChoiceSettings | None,
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
            return policies.Current(
                name,
                self._loop,
                self,
                directory,
                lambda: self._read_demands(name),
                generator,
                settings,
            )
        return policies.Baseline(
            name,
            self._loop,
            self,
            directory,
            generator,
            policies.BASELINES[policy],
            len(users.DAEMONS),
        )

    def _read_demands(self, name: str) -> credits.Demands:
        return credits.Demands(own=name, loads=self._heard[name])

    def _gossip(self) -> None:
        """Each daemon probes one peer in turn; both learn from it."""
        self._turn += 1
        count = len(self._policies)
        for number, policy in enumerate(self._policies):
            step = 1 + self._turn % (count - 1)
            peer = self._policies[(number + step) % count]
            for one, other in ((policy, peer), (peer, policy)):
                self._heard[one.name][other.name] = other.loads()
                self._heard[one.name][one.name] = one.loads()

    def _schedule(
        self, flow: Flow, after: float, generator: random.Random
    ) -> None:
        if flow.rate <= 0.0:
            return
        when = after + generator.expovariate(flow.rate)
        if when < flow.end:
            self._loop.call_at(
                when, lambda: self._arrive(flow, when, generator)
            )

    def _arrive(
        self, flow: Flow, when: float, generator: random.Random
    ) -> None:
        self._schedule(flow, when, generator)
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
        self._by_request[request_id] = record
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
        self._admit(self._find_policy(account, generator), work)

    def _admit(self, policy: policies.Policy, work: work_module.Work) -> None:
        refusal = policy.arrive(work)
        if refusal is None:
            return
        record = self._by_request[work.request_id]
        record.outcome = (
            Outcome.REFUSED_AFTER_WAIT
            if record.attempts
            else Outcome.REFUSED_ON_ARRIVAL
        )
        record.delay = self._loop.now() - record.arrived
        self._note_retry(record, refusal)

    def _find_policy(
        self, account: config_model.Account, generator: random.Random
    ) -> policies.Policy:
        ordered = sorted(
            self._policies,
            key=lambda p: xxhash.xxh3_64_intdigest(
                f"{account.name}/{p.name}".encode()
            ),
        )
        first = generator.random() < FIRST_DAEMON_SHARE
        return ordered[0] if first else ordered[1]

    def _answer(self, record: Record) -> None:
        record.delay = self._loop.now() - record.arrived
        in_time = record.delay <= record.target
        record.outcome = Outcome.IN_TIME if in_time else Outcome.LATE

    def _end(
        self,
        policy: policies.Policy,
        ticket: work_module.Ticket,
        job: fakes.Job,
        whole: bool,
    ) -> None:
        work = ticket.work
        policy.finish(ticket, work.tokens if whole else 0)
        record = self._by_request[work.request_id]
        if whole:
            return
        now = self._loop.clock.monotonic()
        again = not job.answering and record.attempts < ATTEMPT_LIMIT
        if not again or work.deadline <= now:
            record.outcome = Outcome.LOST
            return
        excluded = work.excluded | {ticket.replica.replica}
        retried = dataclasses.replace(work, excluded=excluded)
        self._loop.call_at(
            self._loop.now() + BACKOFF, lambda: self._admit(policy, retried)
        )

    def _note_retry(self, record: Record, refusal: work_module.Refusal) -> None:
        if refusal.retry_after is not None:
            record.retry_after = refusal.retry_after.total_seconds()


def compute_share_in_time(
    records: abc.Iterable[Record],
    rank: str | None = None,
    account: str | None = None,
) -> float:
    """Returns the share answered within target of what matches, or 1."""
    matching = [
        record
        for record in records
        if rank in (None, record.rank) and account in (None, record.account)
    ]
    if not matching:
        return 1.0
    in_time = sum(r.outcome == Outcome.IN_TIME for r in matching)
    return in_time / len(matching)
