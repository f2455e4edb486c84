"""Guards against verdicts on sound parts as a failure domain dies.

The requests of a failure domain share popular parts. Daemons see few of its
deaths each and exchange them.
"""

import datetime
import random

import pytest

from arbutuscove.crashes import moments
from arbutuscove.crashes import traits
from arbutuscove.crashes.tests import test_tracker
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module

SECOND = datetime.timedelta(seconds=1)
TICK = datetime.timedelta(milliseconds=50)
DAEMONS = 12
HEADS = 57  # of the failure domain that dies
SMALL_HEADS = 10
RUNNING = 4  # answers that have begun at each head
PARTS = 60
ANSWERED = 600  # requests that were served before, by all daemons together
# Daemons notice the death of a head within this time.
NOTICE_TICKS = 6
CRASHING = "crashing"


class _Fleet:
    """Daemons that see deaths and answers, and tell each other of deaths."""

    def __init__(self, seed):
        self.generator = random.Random(seed)
        self.clock = clock_module.ManualClock()
        self.daemons = [
            test_tracker.Daemon(self.clock, is_owner=not number)
            for number in range(DAEMONS)
        ]
        self.requests = 0

    def create_request(self, *parts):
        """Returns a request with popular parts, or with those given."""
        self.requests += 1
        # The lower of two draws makes some parts much more popular.
        first = min(self.generator.randrange(PARTS) for _ in range(2))
        return test_tracker.Request(
            request_id=f"r{self.requests}",
            prompt_parts=parts or (f"tenant-{first % 12}", f"part-{first}"),
        )

    def serve(self, count):
        """Answers requests, each by one of the daemons."""
        for _ in range(count):
            daemon = self.generator.choice(self.daemons)
            daemon.tracker.record_answer(
                self.create_request(), self.clock.monotonic()
            )
        self.clock.advance(SECOND)

    def lose(self, head, requests):
        """Loses requests at a head, each at one of the daemons."""
        for request in requests:
            daemon = self.generator.choice(self.daemons)
            daemon.report_loss(request, test_tracker.create_vm(head))

    def exchange(self):
        """Delivers the news of each daemon to the others."""
        for sender in self.daemons:
            for data in sender.sent:
                for receiver in self.daemons:
                    if receiver is not sender:
                        receiver.evidence.merge_evidence(data)
            sender.sent.clear()

    def kill_domain(self, heads=HEADS):
        """Kills the heads of a domain; yields once some have been noticed."""
        names = [f"head-{number}" for number in range(heads)]
        self.generator.shuffle(names)
        for tick in range(NOTICE_TICKS):
            for head in names[tick::NOTICE_TICKS]:
                self.lose(head, [self.create_request() for _ in range(RUNNING)])
            self.exchange()
            self.clock.advance(TICK)
            yield

    def list_culprits(self):
        """Returns the parts that any daemon refuses."""
        return set().union(*(d.evidence.culprits for d in self.daemons))


@pytest.mark.parametrize("seed", range(2))
def test_domain_that_dies_convicts_no_part(seed):
    """Guards against sound requests refused after a whole domain died.

    Load pattern: popular parts run at all heads as the domain dies.
    """
    fleet = _Fleet(seed)
    fleet.serve(ANSWERED)
    for _ in fleet.kill_domain():
        assert not fleet.list_culprits()
    fleet.clock.advance(SECOND)
    fleet.exchange()
    assert not fleet.list_culprits()


@pytest.mark.parametrize("seed", range(6))
def test_small_domain_that_dies_convicts_no_part_for_long(seed):
    """Guards against verdicts on the first deaths that outlive the others."""
    fleet = _Fleet(seed)
    fleet.serve(ANSWERED)
    for _ in fleet.kill_domain(SMALL_HEADS):
        pass
    assert not fleet.list_culprits()


@pytest.mark.parametrize("seed", range(2))
def test_part_is_convicted_beside_a_domain_that_dies(seed):
    """Guards against a crashing part that hides behind a domain's death."""
    fleet = _Fleet(seed)
    fleet.serve(ANSWERED)
    fleet.lose("other-0", [fleet.create_request("tenant-0", CRASHING)])
    for _ in fleet.kill_domain():
        pass
    fleet.lose("other-1", [fleet.create_request("tenant-0", CRASHING)])
    fleet.exchange()
    fleet.clock.advance(SECOND)
    fleet.lose("other-2", [fleet.create_request("tenant-1", CRASHING)])
    fleet.exchange()
    assert fleet.list_culprits() == {traits.hash_part(CRASHING)}


@pytest.mark.parametrize("crashes", [2, 4, 12])
def test_part_that_crashes_many_at_once_is_convicted(crashes):
    """Guards against crashes by one part taken for the death of a domain.

    Load pattern: many requests with the part run as the first one crashes.
    """
    fleet = _Fleet(1)
    fleet.serve(ANSWERED)
    for number in range(crashes):
        beside = [fleet.create_request() for _ in range(RUNNING)]
        crashing = fleet.create_request("tenant-0", CRASHING)
        fleet.lose(f"head-{number}", [*beside, crashing])
    fleet.exchange()
    assert fleet.list_culprits() == {traits.hash_part(CRASHING)}


def test_two_parts_that_crash_in_one_moment_are_convicted():
    """Guards against two crashing parts that each explain only a part."""
    fleet = _Fleet(2)
    fleet.serve(ANSWERED)
    for number in range(9):
        part = CRASHING if number % 3 else "another"
        crashing = fleet.create_request("tenant-0", part)
        fleet.lose(f"head-{number}", [crashing])
    fleet.exchange()
    assert fleet.list_culprits() == {
        traits.hash_part(CRASHING),
        traits.hash_part("another"),
    }


def test_part_that_was_answered_is_convicted_in_three_moments():
    """Guards against a part that crashes all upstreams once it was answered.

    Load pattern: ten crashes a second by the part.
    """
    fleet = _Fleet(3)
    request = fleet.create_request("tenant-0", CRASHING)
    fleet.daemons[0].tracker.record_answer(request, fleet.clock.monotonic())
    fleet.serve(ANSWERED)
    begun_at = fleet.clock.monotonic()
    crashes = 0
    while fleet.clock.monotonic() - begun_at < 3 * moments.MOMENT:
        crashing = fleet.create_request("tenant-0", CRASHING)
        if fleet.daemons[crashes % DAEMONS].tracker.check(crashing) is None:
            fleet.lose(f"head-{crashes}", [crashing])
            fleet.exchange()
            crashes += 1
        fleet.clock.advance(2 * TICK)
    assert fleet.list_culprits() == {traits.hash_part(CRASHING)}


def test_verdicts_of_many_parts_are_known_after_a_restart():
    """Guards against restored deaths that count as one moment."""
    fleet = _Fleet(4)
    daemon = fleet.daemons[0]
    for part in range(6):
        for head in range(4):
            fleet.lose(
                f"head-{part}-{head}", [fleet.create_request(f"bad-{part}")]
            )
        fleet.exchange()
        fleet.clock.advance(SECOND)
    daemon.keeper.write_pending()
    started = test_tracker.Daemon(fleet.clock)
    started.evidence.restore(table_module.read_all(daemon.table, ""))
    assert set(started.evidence.culprits) == {
        traits.hash_part(f"bad-{part}") for part in range(6)
    }
