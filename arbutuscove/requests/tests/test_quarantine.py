"""Guards against one request that crashes replica after replica."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.admission import service as admission_service
from arbutuscove.crashes import judgement
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.peers import peer_pb2
from arbutuscove.requests import answers
from arbutuscove.requests import claims
from arbutuscove.requests import failures
from arbutuscove.requests import once
from arbutuscove.requests import quarantine
from arbutuscove.requests import suspects
from arbutuscove.requests.tests import fleet as fleet_module
from arbutuscove.routing import service as routing_service
from arbutuscove.standins import faulty
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module

DAEMONS = 3
CRASH = fleet_module.CRASH


class _System:
    """Daemons that share a fleet and a table, and gossip suspicions."""

    def __init__(self, replicas=4):
        self.fleet = fleet_module.Fleet(replicas)
        self.table = faulty.SwitchedTable(table_standin.MemoryTable())
        self.daemons = [
            fleet_module.build_daemon(
                self.fleet, self.table, f"d{number}", self.gossip
            )
            for number in range(DAEMONS)
        ]
        self.attempts = 0

    def gossip(self):
        for sender in self.daemons:
            suspicions = sender.suspects.list_suspicions()
            for receiver in self.daemons:
                receiver.suspects.merge_suspicions(suspicions)
                evidence_of_sender = sender.suspects.evidence.encode_evidence()
                if evidence_of_sender:
                    receiver.suspects.evidence.merge_evidence(
                        evidence_of_sender
                    )

    def send(self, daemon, text, key=None, parts=()):
        """Returns the events of a request; with a key it is non-repeatable."""
        target = self.daemons[daemon]
        request = fleet_module.build_request(
            self.fleet, text, repeatable=key is None, parts=parts
        )
        if key is None:
            return target.flow.run(request).events
        service = once.AtMostOnce(
            claims.Claims(self.table, clock_module.ManualClock(), str(daemon)),
            None,
        )
        self.attempts += 1
        held_claim = service.begin("desk", key, f"a{self.attempts}", text)
        try:
            return target.flow.run(request).events
        except failures.RequestFailedError as error:
            if error.run == failures.RunStatus.NOT_RUN:
                service.cancel(held_claim)
            raise

    def try_send(self, daemon, text, key=None, parts=()):
        """Reads a whole answer; returns None, or the code of the failure."""
        try:
            list(self.send(daemon, text, key, parts))
        except failures.RequestFailedError as error:
            return error.refusal.code
        except answers.AnswerIncompleteError:
            return "answer_incomplete"
        return None

    def open(self, daemon, text):
        """Reads the first event of an answer and leaves the rest unread."""
        events = self.send(daemon, text)
        next(events)
        return events

    def settle(self):
        """Rebuilds dead replicas and expires all detached attempts."""
        self.fleet.rebuild()
        for daemon in self.daemons:
            daemon.suspects.check_detached()
        self.fleet.clock.advance(suspects.DETACHED_WATCH_DURATION)
        for daemon in self.daemons:
            daemon.suspects.check_detached()


@pytest.mark.parametrize("keys", ["none", "same", "new"])
def test_quarantine_crashing_request_costs_two_replicas(keys):
    """A crashing request that is sent again must not crash every replica."""
    system = _System()
    codes = []
    for number in range(12):
        key = {"none": None, "same": "k", "new": f"k{number}"}[keys]
        codes.append(system.try_send(number % DAEMONS, CRASH, key))
        system.settle()
    assert len(system.fleet.deaths) <= quarantine.DEATHS_TO_QUARANTINE
    assert keys == "same" or codes[-1] == "request_quarantined"


@pytest.mark.parametrize("keys", ["none", "new"])
def test_quarantine_crashing_part_costs_two_replicas(keys):
    """Different requests with one crashing part must not crash every replica.

    The sound requests that share another part of the prompt are served.
    """
    system = _System()
    codes = []
    for number in range(12):
        key = {"none": None, "new": f"k{number}"}[keys]
        daemon = number % DAEMONS
        codes.append(
            system.try_send(daemon, f"q{number}", key, ("first", CRASH))
        )
        system.fleet.rebuild()
        assert system.try_send(daemon, f"s{number}", None, ("first",)) is None
    assert len(system.fleet.deaths) <= quarantine.DEATHS_TO_QUARANTINE
    assert codes[-1] == "request_quarantined"


def test_quarantine_lost_request_with_a_part_is_not_retried():
    """A retry would cost a second replica for certain."""
    system = _System()
    system.try_send(0, "q", None, ("first", CRASH))
    assert len(system.fleet.deaths) == 1


def test_quarantine_part_that_has_been_answered_is_not_blamed():
    """Long answers at replicas that die must not get their parts refused.

    Other answers with the part are complete, before the first death or since.
    """
    system = _System(replicas=2)
    for number in range(4):
        assert system.try_send(1, f"short {number}", None, ("popular",)) is None
        for engine in system.fleet.engines.values():
            engine.streams.clear()
        request = fleet_module.build_request(
            system.fleet, f"long {number}", parts=("popular",)
        )
        events = system.daemons[0].flow.run(request).events
        next(events)
        (engine,) = (e for e in system.fleet.engines.values() if e.streams)
        engine.die()
        assert _read(events) == "incomplete"
        system.settle()
        assert not system.daemons[0].suspects.evidence.culprits
    assert system.try_send(1, "q", None, ("popular",)) is None
    assert system.try_send(0, "q2", None, ("popular",)) is None


def test_quarantine_part_that_crashes_after_events_costs_two_replicas():
    """A part must not crash replica after replica since answers had begun."""
    system = _System(replicas=2)
    for number in range(4):
        request = fleet_module.build_request(
            system.fleet, f"long {number}", parts=("first", "bad")
        )
        try:
            events = system.daemons[number % DAEMONS].flow.run(request).events
        except failures.RequestFailedError as error:
            assert error.refusal.code == "request_quarantined"
            continue
        next(events)
        (engine,) = (e for e in system.fleet.engines.values() if e.streams)
        engine.die()
        assert _read(events) == "incomplete"
        system.settle()
    assert len(system.fleet.deaths) <= quarantine.DEATHS_TO_QUARANTINE


def test_quarantine_crashing_part_survives_restart_of_all_daemons():
    """After a restart a crashing part must not crash two more replicas."""
    system = _System()
    for number in range(3):
        system.try_send(number, f"q{number}", None, ("first", CRASH))
        system.fleet.rebuild()
    deaths = len(system.fleet.deaths)
    for daemon in system.daemons:
        daemon.suspects._verdicts.write_pending()
    system.daemons = [
        fleet_module.build_daemon(
            system.fleet, system.table, f"new{number}", system.gossip
        )
        for number in range(DAEMONS)
    ]
    for daemon in system.daemons:
        daemon.suspects.load()
    for number in range(DAEMONS):
        code = system.try_send(number, f"r{number}", None, ("first", CRASH))
        assert code == "request_quarantined"
        assert system.try_send(number, f"s{number}", None, ("first",)) is None
    assert len(system.fleet.deaths) == deaths


def test_quarantine_crashing_part_is_tried_again_rarely():
    """A part that no longer crashes replicas must not be refused forever."""
    system = _System()
    for number in range(3):
        system.try_send(number, f"q{number}", None, ("first", CRASH))
        system.settle()
    deaths = len(system.fleet.deaths)
    system.fleet.clock.advance(judgement.MIN_TRIAL_DELAY)
    codes = [
        system.try_send(number, f"t{number}", None, ("first", CRASH))
        for number in range(DAEMONS)
    ]
    assert codes.count("request_quarantined") == DAEMONS - 1
    assert len(system.fleet.deaths) == deaths + 1


def test_quarantine_innocent_beside_is_served():
    """A request that ran beside a crashing one must not stay refused."""
    system = _System(replicas=2)
    beside = [(n % DAEMONS, f"innocent {n}") for n in range(8)]
    for round_ in range(4):
        running = []
        for daemon, text in beside:
            try:
                running.append(system.open(daemon, text))
            except failures.RequestFailedError:
                continue
        system.try_send(round_ % DAEMONS, CRASH)
        for events in running:
            ending = _read(events)
            assert ending in ("whole", "incomplete")
        system.settle()
    for daemon, text in beside:
        other = (daemon + 1) % DAEMONS
        assert system.try_send(other, text) is None
        system.settle()
        assert system.try_send(daemon, text) is None
    assert len(system.fleet.deaths) <= quarantine.DEATHS_TO_QUARANTINE


def _read(events):
    """Reads the rest of an answer; returns how it ended."""
    try:
        list(events)
    except answers.AnswerIncompleteError:
        return "incomplete"
    return "whole"


def test_quarantine_suspects_run_one_at_a_time():
    """Both of two suspects on one replica would be charged with its death."""
    system = _System()
    running = [system.open(0, f"innocent {n}") for n in range(8)]
    system.try_send(1, CRASH, "k")
    lost = [n for n, e in enumerate(running) if _read(e) == "incomplete"]
    system.settle()
    trial = system.open(0, f"innocent {lost[0]}")
    assert system.try_send(1, CRASH, "l") == "request_suspected"
    assert _read(trial) == "whole"
    assert system.try_send(1, CRASH, "m") == "upstream_failed"
    assert system.try_send(2, CRASH, "n") == "request_quarantined"
    assert system.try_send(2, f"innocent {lost[0]}") is None


def test_quarantine_innocent_beside_both_deaths():
    """An innocent request may be running during both deaths."""
    system = _System(replicas=2)
    running = [system.open(daemon, "innocent") for daemon in (0, 1)]
    for daemon, key in enumerate("kl"):
        system.try_send(daemon, CRASH, key)
    assert len(system.fleet.deaths) == 2
    assert [_read(events) for events in running] == ["incomplete"] * 2
    system.settle()
    for daemon in range(DAEMONS):
        assert system.try_send(daemon, "innocent") is None
        assert system.try_send(daemon, CRASH) == "request_quarantined"


def test_quarantine_caller_leaves_before_the_crash():
    """A crash after the caller has disconnected must still be counted."""
    system = _System()
    events = system.open(0, "slow")
    events.close()
    name = next(n for n, e in system.fleet.engines.items() if e.streams)
    system.fleet.engines[name].die()
    system.daemons[0].suspects.check_detached()
    system.gossip()
    hints = system.daemons[2].suspects.list_suspicions()
    assert [(h.digest, h.deaths) for h in hints] == [("slow", 1)]


def test_quarantine_part_whose_callers_leave_costs_two_replicas():
    """A part must not crash replica after replica unseen by its callers.

    The sound requests that share another part of the prompt are served.
    """
    system = _System()
    codes = []
    for number in range(6):
        daemon = system.daemons[number % DAEMONS]
        request = fleet_module.build_request(
            system.fleet, f"long {number}", parts=("first", "bad")
        )
        try:
            events = daemon.flow.run(request).events
        except failures.RequestFailedError as error:
            codes.append(error.refusal.code)
            continue
        next(events)
        events.close()
        (engine,) = (e for e in system.fleet.engines.values() if e.streams)
        engine.die()
        daemon.suspects.check_detached()
        system.gossip()
        system.fleet.rebuild()
        assert system.try_send(0, f"s{number}", None, ("first",)) is None
        for engine in system.fleet.engines.values():
            engine.streams.clear()
    assert len(system.fleet.deaths) <= quarantine.DEATHS_TO_QUARANTINE
    assert codes == ["request_quarantined"] * 4


def test_quarantine_cut_connection_is_no_death():
    """A cut connection must not make its request a suspect."""
    system = _System(replicas=1)
    engine = system.fleet.engines["r0"]
    for _ in range(3):
        events = system.open(0, "innocent")
        engine.streams.clear()  # the engine ended the stream and keeps serving
        assert _read(events) == "incomplete"
        system.settle()
    assert system.daemons[0].suspects.list_suspicions() == []


def test_quarantine_unreachable_replica_is_no_second_death():
    """Two network partitions must not quarantine a request."""
    system = _System(replicas=2)
    engines = system.fleet.engines
    for name, other in (("r0", "r1"), ("r1", "r0")):
        engines[other].streams.add("makes the other replica preferable")
        events = system.open(0, "innocent")
        engines[name].reachable = False
        engines[name].streams.clear()
        assert _read(events) == "incomplete"
        assert system.try_send(1, "innocent") != "request_quarantined"
        engines[name].reachable = True
        engines[other].streams.clear()
        system.settle()
        system.settle()
    assert system.try_send(1, "innocent") is None


def test_quarantine_replica_in_doubt_keeps_its_trial():
    """A suspect on an unreachable replica must not get another trial."""
    system = _System(replicas=2)
    system.try_send(0, CRASH, "k")
    system.settle()
    work = fleet_module.build_request(system.fleet, CRASH).work
    run = system.daemons[0].suspects.begin(work).ok
    (replica,) = (
        item
        for item in system.fleet.list_serving("chat")
        if item.replica not in run.excluded
    )
    system.daemons[0].suspects.record_dispatch(run, replica)
    system.fleet.engines[replica.replica].reachable = False
    system.daemons[0].suspects.report_loss(run, work.deadline)
    system.daemons[0].suspects.end(run, is_complete=False)
    system.settle()
    assert system.try_send(1, CRASH) == "request_suspected"
    system.fleet.engines[replica.replica].reachable = True
    system.fleet.engines[replica.replica].die()
    system.settle()
    assert system.try_send(1, CRASH) == "request_quarantined"


def test_quarantine_outage_runs_no_suspect():
    """Without the table, two daemons could run two trials at once."""
    system = _System()
    system.table.down = True
    system.try_send(0, CRASH)
    system.settle()
    for daemon in range(DAEMONS):
        assert system.try_send(daemon, CRASH) == "request_suspected"
    assert len(system.fleet.deaths) == 1
    system.table.down = False
    for daemon in range(DAEMONS):
        system.try_send(daemon, CRASH)
        system.settle()
    assert len(system.fleet.deaths) == quarantine.DEATHS_TO_QUARANTINE
    assert system.try_send(0, CRASH) == "request_quarantined"


def test_quarantine_survives_restart_of_all_daemons():
    """After a restart a crashing request must not crash two more replicas."""
    system = _System()
    for daemon in range(DAEMONS):
        system.try_send(daemon, CRASH)
        system.settle()
    deaths = len(system.fleet.deaths)
    fresh = fleet_module.build_daemon(system.fleet, system.table, "new")
    fresh.suspects.load()
    with pytest.raises(failures.RequestFailedError) as caught:
        fresh.flow.run(fleet_module.build_request(system.fleet, CRASH))
    assert caught.value.refusal.code == "request_quarantined"
    assert len(system.fleet.deaths) == deaths


@pytest.mark.parametrize(
    "value", [7, {"count": 2**40}, {"count": -1}, {"deaths": ["d" * 300]}]
)
def test_quarantine_odd_row_does_not_cost_the_others(value):
    """Guards against daemons that know no suspects beside an odd row."""
    system = _System()
    for daemon in range(DAEMONS):
        system.try_send(daemon, CRASH)
        system.settle()
    write = table_module.Write(key=suspects.KEY_PREFIX + "0", value=value)
    system.table.transact(
        table_module.Transaction(conditions=(), writes=(write,))
    )
    fresh = fleet_module.build_daemon(system.fleet, system.table, "new")
    fresh.suspects.load()
    assert [item.digest for item in fresh.suspects.list_suspicions()] == [CRASH]
    with pytest.raises(failures.RequestFailedError) as caught:
        fresh.flow.run(fleet_module.build_request(system.fleet, CRASH))
    assert caught.value.refusal.status >= 400
    assert len(system.fleet.deaths) == quarantine.DEATHS_TO_QUARANTINE


def test_quarantine_rows_of_lost_suspects_end():
    """Rows of suspects that are never sent again must not fill the table."""
    system = _System()
    running = [system.open(0, f"innocent {n}") for n in range(8)]
    for daemon in range(DAEMONS):
        system.try_send(daemon, CRASH)
        system.settle()
    for events in running:
        _read(events)
    tracker = system.daemons[0].suspects
    tracker.load()
    assert len(tracker._read_records()) > 1
    system.fleet.clock.advance(suspects.SUSPECT_ROW_TTL)
    tracker.load()
    assert list(tracker._read_records()) == [CRASH]


def test_quarantine_trial_of_a_dead_daemon_ends():
    """The trial of a daemon that died must not block all suspects forever."""
    system = _System()
    system.try_send(0, CRASH, "k")
    system.settle()
    work = fleet_module.build_request(system.fleet, CRASH).work
    assert system.daemons[0].suspects.begin(work).is_ok()
    other = system.daemons[1].suspects
    assert other.begin(work).error.code == "request_suspected"
    system.fleet.clock.advance(suspects.TRIAL_TTL)
    assert other.begin(work).is_ok()


def _act(system, running, daemon, action, text):
    match action:
        case "open":
            try:
                running.append(system.open(daemon, text))
            except failures.RequestFailedError:
                return
        case "read" if running:
            _read(running.pop(0))
        case "leave" if running:
            running.pop().close()
        case "send":
            system.try_send(daemon, text)
        case "settle":
            system.settle()
        case fleet_module.CRASH:
            system.try_send(daemon, CRASH)
            system.fleet.rebuild()


ACTIONS = [CRASH, CRASH, "open", "open", "read", "send", "settle", "leave"]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, DAEMONS - 1),
            strategies.sampled_from(
                [
                    CRASH,
                    CRASH,
                    "open",
                    "read",
                    "read",
                    "send",
                    "settle",
                    "leave",
                ]
            ),
            strategies.sampled_from(["a", "b", "c", "d"]),
        ),
        max_size=60,
    )
)
@hypothesis.settings(max_examples=300)
def test_quarantine_bounds_hold_in_any_order(steps):
    """At most two replicas are lost, and every innocent request is served."""
    system = _System(replicas=3)
    running = []
    for daemon, action, text in steps:
        _act(system, running, daemon, action, text)
        assert len(system.fleet.deaths) <= quarantine.DEATHS_TO_QUARANTINE
    for events in running:
        _read(events)
    for text in "abcd":
        system.settle()
        assert system.try_send(0, text) is None
        assert system.try_send(1, text) is None


def _build_routed(fleet):
    """Returns a daemon with the production admission and routing."""
    routing = routing_service.Routing(
        fleet.clock, fleet, generator=random.Random(1)
    )
    admission = admission_service.Admission(
        fleet.clock, routing, loop.LagMonitor(fleet.clock)
    )
    return fleet_module.build_daemon(fleet, admission=admission)


def _mark_suspect(daemon, digest):
    hint = peer_pb2.Suspicion(digest=digest, deaths=1)
    daemon.suspects.merge_suspicions([hint])


def _open_stream(daemon, text):
    events = daemon.flow.run(
        fleet_module.build_request(daemon.fleet, text)
    ).events
    next(events)
    return events


def test_quarantine_trial_keeps_own_work_off_its_replica():
    """Work beside a crashing suspect would be lost and become suspect."""
    fleet = fleet_module.Fleet(replicas=2)
    daemon = _build_routed(fleet)
    _mark_suspect(daemon, "suspect")
    trial = _open_stream(daemon, "suspect")
    running = [_open_stream(daemon, f"innocent {n}") for n in range(6)]
    trial_replica = fleet.runs[0][1]
    assert [replica for _, replica in fleet.runs].count(trial_replica) == 1
    assert [_read(events) for events in (trial, *running)] == ["whole"] * 7
    fleet.engines[trial_replica].streams.clear()
    fleet.clock.advance(fleet_module.SECOND)
    for n in range(6):
        _open_stream(daemon, f"after {n}")
    assert [replica for _, replica in fleet.runs].count(trial_replica) > 1
