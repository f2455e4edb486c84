"""Guards against wrong evidence, and against trials by several daemons."""

import dataclasses
import datetime

import pytest

from arbutuscove.crashes import holder
from arbutuscove.crashes import judgement
from arbutuscove.crashes import liveness
from arbutuscove.crashes import tracker
from arbutuscove.crashes import verdicts
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import faulty
from arbutuscove.standins import table as memory_table
from arbutuscove.storage import table as table_module

SECOND = datetime.timedelta(seconds=1)
DEAD = liveness.Liveness.DEAD
ALIVE = liveness.Liveness.ALIVE
UNKNOWN = liveness.Liveness.UNKNOWN
PARTS = ("first", "crash")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request with one part that it shares."""

    request_id: str
    prompt_parts: tuple[str, ...] = PARTS

    def encode_identity(self):
        return self.request_id.encode()


class Daemon:
    """A tracker whose probes, list and peers are controlled by a test."""

    def __init__(self, clock, is_owner=True, table=None):
        self.table = faulty.SwitchedTable(table or memory_table.MemoryTable())
        self.keeper = verdicts.VerdictKeeper(
            self.table, clock, lambda key: is_owner
        )
        self.listed = {}
        self.liveness = DEAD
        self.probes = 0
        self.sent = []
        self.evidence = holder.EvidenceHolder(clock, self.keeper)
        self.tracker = tracker.CrashTracker(
            clock,
            self.listed.get,
            self._probe,
            self.sent.append,
            lambda key: is_owner,
            self.evidence,
        )

    def _probe(self, vm):
        self.probes += 1
        return self.liveness

    def lose(self, name, vm, parts=PARTS):
        request = Request(request_id=name, prompt_parts=parts)
        self.report_loss(request, create_vm(vm))
        return request

    def report_loss(self, request, vm):
        """Loses the answer of a request that had begun."""
        exposure = self.tracker.begin(request, vm, has_begun=True)
        self.tracker.report_loss(exposure)
        self.tracker.end(exposure)

    def refuses(self, name="new", parts=PARTS):
        request = Request(request_id=name, prompt_parts=parts)
        return self.tracker.find_culprit(request) is not None


def create_vm(name, started_at_ms=1, **fields):
    return test_planner.create_vm(name, started_at_ms=started_at_ms, **fields)


@pytest.fixture(name="clock")
def fixture_clock():
    return clock_module.ManualClock()


@pytest.fixture(name="daemon")
def fixture_daemon(clock):
    return Daemon(clock)


def test_tracker_refuses_a_part_after_two_deaths(daemon):
    """Guards against a part that crashes one VM after the other."""
    daemon.lose("r1", "a")
    assert not daemon.refuses()
    daemon.lose("r2", "b")
    assert daemon.refuses()


@pytest.mark.parametrize("state", [ALIVE, UNKNOWN])
def test_tracker_blames_nothing_for_a_cut_connection(daemon, state):
    """Guards against resets or partitions that count as crashes."""
    daemon.liveness = state
    for number in range(5):
        daemon.lose(f"r{number}", f"vm{number}")
    assert not daemon.refuses()
    assert daemon.tracker.may_repeat(Request(request_id="r0"))
    assert not daemon.sent


def test_tracker_blames_nothing_for_a_planned_stop(daemon):
    """Guards against a drain that counts as a crash."""
    for number in range(3):
        name = f"vm{number}"
        daemon.listed[name] = create_vm(name, leaving=True)
        daemon.lose(f"r{number}", name)
    assert not daemon.refuses()
    assert not daemon.probes


def test_tracker_learns_a_crash_from_a_later_start(daemon, clock):
    """Guards against crashes behind a cut, which no probe can show."""
    daemon.liveness = UNKNOWN
    for number in range(2):
        daemon.lose(f"r{number}", f"vm{number}")
        daemon.listed[f"vm{number}"] = create_vm(f"vm{number}")
    daemon.tracker.settle_losses()
    assert not daemon.refuses()
    clock.advance(SECOND)
    for number in range(2):
        daemon.listed[f"vm{number}"] = create_vm(f"vm{number}", 2)
    daemon.tracker.settle_losses()
    assert daemon.refuses()


def test_tracker_stops_one_request_that_crashes_vm_after_vm(daemon):
    """Guards against retries of one request without any shared part."""
    for number in range(judgement.MIN_DEATHS_ANSWERED):
        daemon.lose("same", f"vm{number}", parts=())
    assert daemon.refuses("same", parts=())
    assert not daemon.refuses("another", parts=())


def test_tracker_repeats_no_request_that_may_have_crashed_a_vm(daemon):
    """Guards against a retry that crashes a second VM."""
    lost = daemon.lose("r1", "a")
    assert not daemon.tracker.may_repeat(lost)
    daemon.tracker.record_answer(
        Request(request_id="sound", prompt_parts=("first",)), SECOND
    )
    sound = Request(request_id="r2", prompt_parts=("first",))
    assert daemon.tracker.may_repeat(sound)


def test_tracker_shares_one_probe_among_requests_lost_together(daemon):
    """Guards against a probe for each of the requests of a group."""
    for number in range(10):
        daemon.lose(f"r{number}", "a")
    assert daemon.probes == 1


def test_tracker_tells_the_other_daemons(daemon, clock):
    """Guards against daemons that learn each part by crashes of their own."""
    other = Daemon(clock)
    daemon.lose("r1", "a")
    other.lose("r2", "b")
    for data in daemon.sent:
        other.evidence.merge_evidence(data)
    assert other.refuses()
    started = Daemon(clock)
    started.evidence.merge_evidence(other.evidence.encode_evidence())
    assert started.refuses()
    started.evidence.merge_evidence(b"no evidence")


def test_tracker_tries_a_culprit_once_and_at_one_daemon(clock):
    """Guards against trials of all daemons at once, and endless verdicts."""
    owner, other = Daemon(clock), Daemon(clock, is_owner=False)
    for daemon in (owner, other):
        daemon.lose("r1", "a")
        daemon.lose("r2", "b")
    clock.advance(judgement.MIN_TRIAL_DELAY - SECOND)
    assert owner.refuses("trial")
    clock.advance(2 * SECOND)
    assert other.refuses("trial")
    trial = Request(request_id="trial")
    assert owner.tracker.find_culprit(trial) is None
    assert owner.tracker.find_culprit(trial) is None
    assert owner.refuses("trial")
    owner.tracker.record_answer(trial, clock.monotonic())
    assert not owner.refuses("second")
    other.evidence.merge_evidence(owner.evidence.encode_evidence())
    assert not other.refuses("trial")


def test_content_that_goes_on_for_long_crashes_few_more_vms(daemon, clock):
    """Guards against a verdict that ends with the age of its first deaths.

    The content comes every five seconds for twenty minutes.
    """
    crashes = 0
    for _ in range(20 * 12):
        daemon.evidence.expire()
        if not daemon.refuses("same", parts=()):
            daemon.lose("same", f"vm{crashes}", parts=())
            crashes += 1
        clock.advance(5 * SECOND)
    assert crashes <= judgement.MIN_DEATHS_ANSWERED + 3


def test_tracker_knows_culprits_after_a_restart_of_all_daemons(clock):
    """Guards against a part that crashes VMs anew after each restart."""
    daemon = Daemon(clock)
    daemon.lose("r1", "a")
    daemon.lose("r2", "b")
    daemon.table.down = True
    with pytest.raises(table_module.TableError):
        daemon.keeper.write_pending()
    daemon.table.down = False
    daemon.keeper.write_pending()
    rows = table_module.read_all(daemon.table, "")
    started = Daemon(clock)
    started.evidence.restore(rows)
    assert started.refuses()
    clock.advance(judgement.MIN_TRIAL_DELAY)
    assert not started.refuses("trial")
    started.tracker.record_answer(
        Request(request_id="trial"), clock.monotonic()
    )
    assert not started.refuses()


@pytest.mark.parametrize("is_writer", [True, False])
def test_tracker_writes_verdicts_again_that_the_table_lost(clock, is_writer):
    """Guards against a part that crashes VMs anew after a loss and a restart.

    The daemon that wrote the verdict may have ended, so that another one owns
    it now.
    """
    table = memory_table.MemoryTable()
    daemon = Daemon(clock, is_writer, table)
    daemon.lose("r1", "a")
    daemon.lose("r2", "b")
    daemon.keeper.write_pending()
    daemon.keeper._owns = lambda key: not is_writer
    table.rows.clear()
    daemon.evidence.record_again()
    daemon.keeper.write_pending()
    started = Daemon(clock)
    started.evidence.restore(table_module.read_all(daemon.table, ""))
    assert started.refuses()


def test_tracker_removes_the_row_of_a_cleared_culprit(daemon, clock):
    """Guards against a verdict that returns with each restart."""
    daemon.lose("r1", "a")
    daemon.lose("r2", "b")
    daemon.keeper.write_pending()
    daemon.tracker.record_answer(Request(request_id="sound"), clock.monotonic())
    daemon.keeper.write_pending()
    assert not table_module.read_all(daemon.table, "")


def test_tracker_reads_no_foreign_rows(daemon):
    """Guards against a daemon that does not start beside a damaged row."""
    rows = [
        table_module.Row(key=key, version=1, write_id="", value=value)
        for key, value in (
            ("crash/none", {"depth": 1, "deaths": ["a", "b"]}),
            ("crash/0f", {"deaths": "ab"}),
            ("daemon/d1", None),
        )
    ]
    daemon.evidence.restore(rows)
    assert not daemon.refuses()


# The third field is unknown here, as of a newer version.
NESTED_REPORT = b"\x93\x90\x90" + b"\x91" * 20_000 + b"\x01"


@pytest.mark.parametrize("content", [b"", b"\xc1", b"\x80", NESTED_REPORT])
def test_unreadable_evidence_is_not_merged(daemon, content):
    """Guards against a report that ends the receiver of datagrams."""
    daemon.evidence.merge_evidence(content)
    assert daemon.evidence.get_fingerprint() == 0
