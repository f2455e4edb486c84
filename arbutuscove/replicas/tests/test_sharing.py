"""Guards against VMs that no daemon reads and reports dated too late."""

import datetime

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.kernel import clock as clock_module
from arbutuscove.membership import swim
from arbutuscove.peers import client as peer_client
from arbutuscove.platform.tests import test_entries
from arbutuscove.replicas import board as board_module
from arbutuscove.replicas import model
from arbutuscove.replicas import serving
from arbutuscove.replicas import sharing
from arbutuscove.storage import inventory
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

SECOND = datetime.timedelta(seconds=1)
NAMES = [f"entry-{number}" for number in range(7)]
VMS = [
    inventory.Vm(
        name=f"vm-{number}",
        address=f"10.1.0.{number}:1",
        fabric_domain="fabric-0",
        failure_domain="zone-0",
        accelerators=4,
    )
    for number in range(120)
]


def test_sharing_cells_cover_each_daemon_once():
    """A daemon outside of all cells would have no peer to pull from."""
    for size in range(1, sharing.MAX_CELL_SIZE + 1):
        cells = {
            tuple(sorted([name, *sharing.pick_cell(name, NAMES, size)]))
            for name in NAMES
        }
        assert sorted(name for cell in cells for name in cell) == NAMES
        assert max(map(len, cells)) <= size


@hypothesis.settings(derandomize=True, deadline=None)
@hypothesis.given(
    strategies.floats(0, 2), strategies.floats(0, 5), strategies.floats(0, 5)
)
def test_sharing_age_is_never_understated(read, sent, delay):
    """A report that was delayed in flight must not count as fresh."""
    outbox = sharing.Outbox("process")
    status = protocol.Status(vm="vm-1", state=protocol.State.READY)
    read_at = read * SECOND
    outbox.add(model.StatusReport(status=status, requested_at=read_at))
    sent_at = read_at + sent * SECOND
    answered_at = sent_at + delay * SECOND
    inbox = sharing.Inbox()
    reply = outbox.build_reply(inbox.build_request(), answered_at, 60 * SECOND)
    (report,) = inbox.read_reply(reply, sent_at)
    assert report.requested_at <= read_at


def test_sharing_restarted_peer_sends_all_again():
    """Change numbers of a previous process must not suppress a status."""
    first, second = sharing.Outbox("one"), sharing.Outbox("two")
    inbox = sharing.Inbox()
    for number, outbox in enumerate((first, second)):
        state = list(protocol.State)[number]
        status = protocol.Status(vm="vm-1", state=state, running=number)
        outbox.add(model.StatusReport(status=status, requested_at=SECOND))
        for _ in range(2):
            reply = outbox.build_reply(inbox.build_request(), SECOND, SECOND)
            (report,) = inbox.read_reply(reply, SECOND)
            assert report.status == status
    assert not reply.reports[0].status


@pytest.mark.parametrize(
    "odd",
    [b"{", b"7", b'{"vm":"vm-2"}', test_entries.NESTED["objects"]],
)
def test_odd_status_of_a_peer_does_not_cost_the_others(odd):
    """Guards against reports that are never sent again after an odd one."""
    outbox, inbox = sharing.Outbox("process"), sharing.Inbox()
    for name in ("vm-1", "vm-2", "vm-3"):
        status = protocol.Status(vm=name, state=protocol.State.READY)
        outbox.add(model.StatusReport(status=status, requested_at=SECOND))
    reply = outbox.build_reply(inbox.build_request(), SECOND, SECOND)
    reply.reports[1].status = odd
    reports = inbox.read_reply(reply, SECOND)
    assert [report.status.vm for report in reports] == ["vm-1", "vm-3"]


class World:
    """Boards of several daemons on one clock; engines respond immediately."""

    def __init__(self):
        self.clock = clock_module.ManualClock()
        self.reads = 0
        self.dead = set()
        self.boards = {
            name: board_module.StatusBoard(
                self, self, self.clock, Peers(self, name), self, name
            )
            for name in NAMES
        }

    def list_vms(self):
        return VMS

    def get(self, address):
        return Engine(self, address)

    def fetch_reports(self, address, request, timeout):
        if address in self.dead:
            raise peer_client.PeerUnreachableError(address)
        return self.boards[address].answer_reports(request)

    def run_round(self):
        for name, board in self.boards.items():
            if name not in self.dead:
                board.read_once()
                board._pullers.join()
                board._readers.join()
        self.clock.advance(board_module.INTERVAL)

    def compute_max_age(self):
        now = self.clock.monotonic()
        return max(
            now - board.get_reports()[vm.name].requested_at
            for name, board in self.boards.items()
            if name not in self.dead
            for vm in VMS
        )


class Peers:
    def __init__(self, world, name):
        self.name = name

    def get_own(self):
        return swim.Member(name=self.name, peer_address=self.name)

    def get_alive(self):
        return [
            swim.Member(name=name, peer_address=name)
            for name in NAMES
            if name != self.name
        ]


class Engine:
    def __init__(self, world, address):
        self.world = world
        self.vm = "vm-" + address.split(":")[0].rpartition(".")[2]

    def read_status(self):
        self.world.reads += 1
        if self.vm in self.world.dead:
            raise errors.UnreachableError(self.vm)
        return protocol.Status(vm=self.vm, state=protocol.State.READY)


def test_board_reports_stay_fresh_when_shared():
    """A shared report older than 3 s would stop a healthy replica."""
    world = World()
    for _ in range(10):
        world.run_round()
    world.reads = 0
    for _ in range(20):
        world.run_round()
        assert world.compute_max_age() < serving.MAX_STATUS_AGE
    size = sharing.choose_cell_size(len(VMS))
    cells = -(-len(NAMES) // size)
    assert world.reads <= 11 * cells * len(VMS)
    assert world.reads < 11 * len(NAMES) * len(VMS) / 2


def test_board_reads_directly_when_a_reader_dies():
    """Membership detects a failure late; reads must not wait for it."""
    world = World()
    for _ in range(10):
        world.run_round()
    world.dead.add("entry-2")
    for _ in range(30):
        world.run_round()
        assert world.compute_max_age() < serving.MAX_STATUS_AGE
