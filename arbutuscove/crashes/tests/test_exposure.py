"""Guards against verdicts too late, or on sound parts, however upstreams crash.

A small fleet serves sound requests beside some with a part that crashes their
upstream before its head, after any number of events or as the answer ends.
"""

import dataclasses
import datetime

import msgspec
import pytest

from arbutuscove.crashes import evidence
from arbutuscove.crashes import judgement
from arbutuscove.crashes import liveness
from arbutuscove.crashes import reports
from arbutuscove.crashes import traits
from arbutuscove.crashes.tests import test_tracker
from arbutuscove.kernel import clock as clock_module

TICK = datetime.timedelta(milliseconds=50)
TICKS_PER_SECOND = 20
EVENTS = 24  # of a whole answer, one a tick
BEFORE_HEAD = -1
UPSTREAMS = 4
RESTART_TICKS = 3 * TICKS_PER_SECOND
WARM_TICKS = 10 * TICKS_PER_SECOND
TICKS = 60 * TICKS_PER_SECOND
DAEMONS = 2
# After so many crashes hardly any request with the part may be sent.
MAX_CRASHES_BY_PART = 5


@dataclasses.dataclass(slots=True, kw_only=True, eq=False)
class _Request:
    """A request with its state at the upstream that runs it."""

    request_id: str
    prompt_parts: tuple[str, ...]
    crashes_after: int | None  # events; None: it is sound
    daemon: test_tracker.Daemon
    events: int = 0  # of this attempt
    delivered: int = 0
    is_resumed: bool = False

    def encode_identity(self):
        return self.request_id.encode()


class _Upstream:
    def __init__(self, name):
        self.vm = test_tracker.create_vm(name, started_at_ms=1)
        self.running = []
        self.down_until = 0


class _Fleet:
    """Upstreams, daemons that exchange evidence, and requests in progress."""

    def __init__(self, can_exchange=True):
        self.clock = clock_module.ManualClock()
        self.daemons = [
            test_tracker.Daemon(self.clock, is_owner=number == 0)
            for number in range(DAEMONS)
        ]
        self.upstreams = [_Upstream(f"u{n}") for n in range(UPSTREAMS)]
        self.can_exchange = can_exchange
        self.tick = 0
        self.sent = 0
        self.crashes = 0
        self.sound = []  # whether each sound request was admitted
        self.bad_runs = 0

    def send(self, parts, crashes_after=None, daemon=None):
        """Sends a request to an upstream, unless it is refused."""
        self.sent += 1
        request = _Request(
            request_id=f"r{self.sent}",
            prompt_parts=parts,
            crashes_after=crashes_after,
            daemon=daemon or self.daemons[self.sent % DAEMONS],
        )
        usable = [u for u in self.upstreams if u.down_until <= self.tick]
        is_admitted = request.daemon.tracker.check(request) is None
        if crashes_after is None and usable:
            self.sound.append(is_admitted)
        if is_admitted and usable:
            self._place(request, usable)

    def _place(self, request, usable):
        self.bad_runs += request.crashes_after is not None
        request.events = 0
        min(usable, key=lambda u: len(u.running)).running.append(request)

    def crash(self, upstream):
        """Ends an upstream; its requests are lost and may go on elsewhere."""
        self.crashes += 1
        upstream.down_until = self.tick + RESTART_TICKS
        lost, upstream.running = upstream.running, []
        vm = upstream.vm
        upstream.vm = test_tracker.create_vm(
            vm.name, started_at_ms=vm.started_at_ms + 1
        )
        for request in lost:
            has_head = request.crashes_after != BEFORE_HEAD
            if has_head:
                request.daemon.report_loss(request, vm)
        self.exchange()
        for request in lost:
            tracker = request.daemon.tracker
            may_go_on = (
                tracker.may_resume(request)
                if request.delivered
                else tracker.may_repeat(request)
            )
            usable = [u for u in self.upstreams if u.down_until <= self.tick]
            if may_go_on and usable and not request.is_resumed:
                request.is_resumed = True
                self._place(request, usable)

    def exchange(self):
        """Delivers the evidence of each daemon to the others."""
        for sender in self.daemons if self.can_exchange else ():
            for data in sender.sent:
                for receiver in self.daemons:
                    if receiver is not sender:
                        receiver.evidence.merge_evidence(data)
            sender.sent.clear()

    def step(self):
        """Runs one tick: each running answer sends an event."""
        self.tick += 1
        self.clock.advance(TICK)
        for upstream in self.upstreams:
            for request in list(upstream.running):
                if request.crashes_after in (BEFORE_HEAD, request.events):
                    self.crash(upstream)
                    break
                request.events += 1
                request.delivered += 1
                if request.events >= EVENTS + (
                    request.crashes_after is not None
                ):
                    upstream.running.remove(request)
                    begun = self.clock.monotonic() - EVENTS * TICK
                    request.daemon.tracker.record_answer(request, begun)

    def list_culprits(self):
        return set().union(*(d.evidence.culprits for d in self.daemons))


def build_parts(count, position, bad):
    """Returns the parts that requests share, one of them another if given."""
    parts = [f"p{number}" for number in range(count)]
    if bad:
        parts[position] = bad
    return tuple(parts)


def serve(fleet, count, position, crashes_after, beside=6, bads=("bad",)):
    """Sends sound requests, and after a while others with a crashing part.

    Args:
        fleet: the fleet.
        count: the shared parts of each prompt.
        position: where the crashing part is.
        crashes_after: events before the crash.
        beside: sound requests a second.
        bads: the crashing parts, in turn.
    """
    for tick in range(TICKS):
        if tick % max(1, TICKS_PER_SECOND // beside) == 0:
            fleet.send(build_parts(count, position, ""))
        if tick > WARM_TICKS and tick % TICKS_PER_SECOND == 7:
            bad = bads[tick // TICKS_PER_SECOND % len(bads)]
            fleet.send(build_parts(count, position, bad), crashes_after)
        fleet.step()


def get_sound_share(fleet):
    return sum(fleet.sound) / len(fleet.sound)


@pytest.mark.parametrize("crashes_after", [0, 1, 20, EVENTS])
@pytest.mark.parametrize("beside", [1, 2, 6])
@pytest.mark.parametrize(
    ("count", "position"),
    [(3, 0), (3, 1), (16, 0), (16, 8), (17, 0), (17, 8), (40, 0), (40, 20)],
)
def test_part_is_convicted_whenever_it_crashes(
    count, position, beside, crashes_after
):
    """Guards against a part that crashes upstreams after the first event.

    Nor is a part of the sound requests convicted in its place.
    """
    fleet = _Fleet()
    serve(fleet, count, position, crashes_after, beside)
    assert fleet.crashes <= MAX_CRASHES_BY_PART
    assert fleet.list_culprits() == {traits.hash_part("bad")}
    assert get_sound_share(fleet) == 1.0


@pytest.mark.parametrize("crashes_after", [0, 1, 20])
def test_two_parts_that_crash_are_both_convicted(crashes_after):
    """Guards against one culprit whose deaths hide those of another."""
    fleet = _Fleet()
    serve(fleet, 3, 1, crashes_after, bads=("bad", "worse"))
    assert fleet.crashes <= 2 * MAX_CRASHES_BY_PART
    assert fleet.list_culprits() == {
        traits.hash_part("bad"),
        traits.hash_part("worse"),
    }
    assert get_sound_share(fleet) == 1.0


def test_crash_before_the_head_convicts_no_sound_part():
    """Guards against blame of the requests that run beside an unseen cause."""
    fleet = _Fleet()
    serve(fleet, 3, 1, BEFORE_HEAD)
    assert not fleet.list_culprits()
    assert get_sound_share(fleet) == 1.0


@pytest.mark.parametrize("crashes_after", [1, 20])
def test_unrelated_crashes_convict_no_sound_part(crashes_after):
    """Guards against a verdict on what all requests share, as groups die."""
    fleet = _Fleet()
    for tick in range(TICKS):
        if tick % 3 == 0:
            fleet.send(build_parts(3, 1, ""))
        if tick > WARM_TICKS and tick % TICKS_PER_SECOND == 7:
            fleet.send(build_parts(3, 1, "bad"), crashes_after)
        if tick > WARM_TICKS and tick % (5 * TICKS_PER_SECOND) == 0:
            up = [u for u in fleet.upstreams if u.down_until <= fleet.tick]
            for upstream in up:
                fleet.crash(upstream)
        fleet.step()
    assert fleet.list_culprits() == {traits.hash_part("bad")}
    assert get_sound_share(fleet) == 1.0


def test_shared_part_is_not_convicted_while_nothing_answers():
    """Guards against a verdict that lasts since no answer can refute it."""
    known = evidence.Evidence()
    second = datetime.timedelta(seconds=1)
    for number in range(1000):
        known.record_answer(1, number * second / 10)
    for number in range(evidence.MAX_DEATHS):
        known.record_death(
            judgement.Death(
                identity=f"vm{number}@1",
                at=(120 + number) * second,
                suspects={1: 0},
            )
        )
    assert not known.culprits
    known.expire(200 * second)
    assert not known.culprits


def test_daemons_that_see_one_death_each_convict_the_part():
    """Guards against evidence in pieces that convicts nothing, or too much.

    Each of them saw another part of the crash, beside sound requests.
    """
    fleet = _Fleet()
    for tick in range(WARM_TICKS):
        if tick % 3 == 0:
            fleet.send(build_parts(3, 1, ""))
        fleet.step()
    for daemon in fleet.daemons:
        fleet.send(build_parts(3, 1, "bad"), 1, daemon)
        for _ in range(4):
            fleet.step()
    for daemon in fleet.daemons:
        assert set(daemon.evidence.culprits) == {traits.hash_part("bad")}


def test_one_stream_with_a_suspect_part_is_resumed():
    """Guards against many streams that each take another upstream along."""
    clock = clock_module.ManualClock()
    daemon = test_tracker.Daemon(clock)
    lost = [daemon.lose(f"r{number}", "a") for number in range(6)]
    allowed = [daemon.tracker.may_resume(request) for request in lost]
    assert allowed == [True] + [False] * 5
    assert daemon.tracker.may_resume(lost[0])
    daemon.liveness = liveness.Liveness.DEAD
    daemon.report_loss(lost[0], test_tracker.create_vm("b"))
    assert not any(daemon.tracker.may_resume(request) for request in lost)


def test_sound_streams_of_a_dead_upstream_are_all_resumed():
    """Guards against sound streams given up since one beside them is bad."""
    clock = clock_module.ManualClock()
    daemon = test_tracker.Daemon(clock)
    parts = ("first", "second")
    sound = [
        test_tracker.Request(request_id=f"s{n}", prompt_parts=parts)
        for n in range(6)
    ]
    daemon.tracker.record_answer(sound[0], clock.monotonic())
    clock.advance(TICK)
    daemon.lose("bad", "a")
    for request in sound:
        daemon.lose(request.request_id, "a", parts)
    assert all(daemon.tracker.may_resume(request) for request in sound)


class _EarlierAnswer(msgspec.Struct, frozen=True, array_like=True):
    key: int
    age_ms: int


class _EarlierDeath(msgspec.Struct, frozen=True, array_like=True):
    identity: str
    age_ms: int
    suspects: dict[int, int]


class _EarlierReport(msgspec.Struct, frozen=True, array_like=True):
    deaths: tuple[_EarlierDeath, ...] = ()
    answers: tuple[_EarlierAnswer, ...] = ()


def test_evidence_is_exchanged_with_daemons_of_the_earlier_version():
    """Guards against an upgrade whose daemons do not read each other."""
    second = datetime.timedelta(seconds=1)
    known = evidence.Evidence()
    for _ in range(3):
        known.record_answer(1, second)
    known.record_death(
        judgement.Death(identity="vm@1", at=2 * second, suspects={1: 0, 2: 1})
    )
    data = msgspec.msgpack.encode(known.build_report(3 * second))
    earlier = msgspec.msgpack.decode(data, type=_EarlierReport)
    assert earlier.deaths[0].suspects == {1: 0, 2: 1}
    assert earlier.answers == (_EarlierAnswer(1, 2000),)
    data = msgspec.msgpack.encode(earlier)
    other = evidence.Evidence()
    other.merge(msgspec.msgpack.decode(data, type=reports.Report), 3 * second)
    assert other.fingerprint == known.fingerprint
    known.record_death(
        judgement.Death(
            identity="vm@2", at=2 * second, suspects={5: 1}, waiting={6: 1}
        )
    )
    data = msgspec.msgpack.encode(known.build_report(3 * second))
    earlier = msgspec.msgpack.decode(data, type=_EarlierReport)
    assert [death.suspects for death in earlier.deaths][1] == {5: 1}
    other.merge(msgspec.msgpack.decode(data, type=reports.Report), 3 * second)
    assert other.fingerprint == known.fingerprint
