"""A simulated fleet that records which requests ran and which replicas died."""

import dataclasses
import datetime
import random

import expression
import msgspec

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.limits import service as limits_module
from arbutuscove.replicas import model as replica_model
from arbutuscove.requests import attempts
from arbutuscove.requests import flow
from arbutuscove.requests import resume
from arbutuscove.requests import suspects
from arbutuscove.standins import table as table_standin
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

SECOND = datetime.timedelta(seconds=1)
CRASH = "crash"
TOKENS = 4

SERVICE = config_model.Service(
    name="chat",
    team="t",
    ranks=(
        config_model.Rank(
            name="form",
            priority=0,
            worth=1.0,
            first_token_target=SECOND,
            floor_share=0.5,
        ),
    ),
    accounts=(config_model.Account(name="desk", key_digests=()),),
    limits=config_model.Limits(accelerators=4),
)


class Reader:
    """Yields the events of a stream, and fails once its replica has died."""

    def __init__(self, engine, stream, start):
        self._engine = engine
        self._stream = stream
        self._next = start

    def read(self):
        fleet = self._engine.fleet
        if self._stream not in self._engine.streams:
            raise errors.StreamBrokenError("broken")
        fleet.clock.advance(fleet.token_interval)
        number = self._next
        self._next += 1
        data = b"{}" if number < TOKENS else b"[DONE]"
        if number == TOKENS - 1:
            usage = {"completion_tokens": TOKENS}
            data = msgspec.json.encode({"usage": usage})
        return f"id: {self._stream}-{number}\ndata: ".encode() + data + b"\n\n"

    def close(self):
        pass


class Engine:
    """The leader of one replica."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.generation = 1
        self.serving = True
        self.reachable = True
        self.status = 200
        self.streams = set()

    def open_stream(self, dispatch):
        fleet = self.fleet
        fleet.dispatches += 1
        if not self.reachable:
            raise errors.NotDispatchedError("unreachable")
        if self.status != 200:
            refused = errors.DispatchRefused(status=self.status)
            return expression.Error(refused)
        if not self.serving or dispatch.generation != self.generation:
            return expression.Error(errors.DispatchRefused(status=409))
        text = str(dispatch.body["messages"])
        fleet.runs.append((text, self.name))
        self.streams.add(dispatch.attempt_id)
        if text == CRASH or CRASH in dispatch.body["parts"]:
            self.die()
            raise errors.DispatchUnknownError("connection reset")
        return expression.Ok(Reader(self, dispatch.attempt_id, 0))

    def resume_stream(self, stream_id, after):
        if not self.reachable:
            raise errors.StreamBrokenError("unreachable")
        if stream_id not in self.streams:
            raise errors.StreamLostError("unknown stream")
        return Reader(self, stream_id, after + 1)

    def cancel_stream(self, stream_id):
        self.streams.discard(stream_id)

    def read_status(self):
        if not self.reachable:
            raise errors.UnreachableError("unreachable")
        if not self.serving:
            return protocol.Status(vm=self.name, state=protocol.State.IDLE)
        return protocol.Status(
            vm=self.name,
            state=protocol.State.READY,
            replica=self.name,
            generation=self.generation,
        )

    def die(self):
        self.serving = False
        self.streams.clear()
        self.fleet.deaths.append(self.name)

    def rebuild(self):
        self.serving = True
        self.generation += 1


class Fleet:
    """Replicas of one service, shared by all daemons of a test."""

    def __init__(self, replicas=4):
        self.clock = clock_module.ManualClock()
        self.token_interval = datetime.timedelta()
        self.engines = {f"r{n}": Engine(self, f"r{n}") for n in range(replicas)}
        self.runs = []
        self.deaths = []
        self.dispatches = 0

    def get(self, address):
        return self.engines[address]

    def list_serving(self, service):
        return [
            replica_model.ServingReplica(
                replica=name,
                service=service,
                fabric_domain="f",
                generation=engine.generation,
                leader=protocol.Member(name=name, address=name),
                slots=8,
                running=len(engine.streams),
                queued=0,
                reported_at=self.clock.monotonic(),
            )
            for name, engine in self.engines.items()
            if engine.serving
        ]

    def rebuild(self):
        for engine in self.engines.values():
            if not engine.serving:
                engine.rebuild()


class Admission:
    """Grants tickets on the least loaded replica and counts open ones."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.refusal = None
        self.open = 0

    def admit(self, work):
        if self.refusal is not None:
            return expression.Error(self.refusal)
        free = [
            replica
            for replica in self._fleet.list_serving(work.service.name)
            if replica.replica not in work.excluded
        ]
        if not free:
            refusal = work_module.Refusal(status=503, code="d", message="d")
            return expression.Error(refusal)
        self.open += 1
        return expression.Ok(
            work_module.Ticket(
                work=work,
                replica=min(free, key=lambda item: item.running),
                admitted=self._fleet.clock.monotonic(),
            )
        )

    def finish(self, ticket, tokens):
        self.open -= 1


class Limits:
    """Grants every reservation and records how each was settled."""

    def __init__(self):
        self.open = 0
        self.settled = []

    def reserve(self, work):
        self.open += 1
        return expression.Ok(
            limits_module.Reservation(
                service=work.service.name,
                rank=work.rank.name,
                account=work.account.name,
                tokens=work.tokens,
            )
        )

    def settle(self, reservation, used):
        self.open -= 1
        self.settled.append(used)


@dataclasses.dataclass
class Daemon:
    """A request flow with simulated admission and limits."""

    fleet: Fleet
    admission: Admission
    limits: Limits
    flow: flow.RequestFlow
    suspects: suspects.SuspectTracker


def build_daemon(
    fleet, table=None, name="d", send_gossip=lambda: None, admission=None
):
    """Returns a daemon that dispatches to a fleet."""
    admission = admission or Admission(fleet)
    limits = Limits()
    tracker = suspects.SuspectTracker(
        table or table_standin.MemoryTable(),
        fleet.clock,
        name,
        fleet,
        fleet.list_serving,
        send_gossip,
    )
    request_flow = flow.RequestFlow(
        fleet.clock,
        admission,
        limits,
        fleet,
        resume.ResumeTokens("secret"),
        random.Random(1),
        attempts.RetryBudget(),
        tracker,
    )
    return Daemon(fleet, admission, limits, request_flow, tracker)


def build_request(
    fleet, text="hello", repeatable=True, seconds=60, service=SERVICE, parts=()
):
    """Returns a request whose digest is its text.

    `parts` are the parts of its prompt that other requests may have, too.
    """
    now = fleet.clock.monotonic()
    return flow.ModelRequest(
        work=work_module.Work(
            request_id="q",
            service=service,
            account=service.accounts[0],
            rank=service.ranks[0],
            tokens=100,
            arrived=now,
            deadline=now + seconds * SECOND,
            digest=text,
            prompt_parts=parts,
        ),
        body={"messages": text, "parts": parts},
        repeatable=repeatable,
    )
