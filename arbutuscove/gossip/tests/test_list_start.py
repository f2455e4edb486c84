"""Guards against a fleet of which each daemon reads the list at its start."""

import collections
import datetime
import random

import pytest

from arbutuscove.gossip import list_exchange
from arbutuscove.gossip import list_start
from arbutuscove.gossip.tests import test_digest

MILLISECOND = datetime.timedelta(milliseconds=1)
ANSWERS = 4  # lists that a daemon gives in one interval
LARGE = list_start.MAX_DIRECT_PEERS + 1
READ, ASK, WAIT = (
    list_start.Step.READ,
    list_start.Step.ASK,
    list_start.Step.WAIT,
)


def create_start(part=0.0):
    return list_start.Start(datetime.timedelta(), part)


def test_daemon_of_a_small_fleet_reads_at_once():
    """Guards against a start that became slower for nothing."""
    for peers in (0, list_start.MAX_DIRECT_PEERS):
        assert create_start().decide(MILLISECOND, peers, False, False) == READ


def test_daemon_that_cannot_learn_of_its_peers_reads():
    """Guards against a daemon that waits for ever in an outage."""
    start = create_start()
    late = list_start.PEERS_TIMEOUT
    assert start.decide(late - MILLISECOND, None, False, False) == WAIT
    assert start.decide(late, None, False, False) == READ


def test_source_reads_once_it_has_heard_others():
    """Guards against a fleet without any daemon that reads the list."""
    start = create_start()
    assert start.decide(MILLISECOND, LARGE, False, True) == WAIT
    now = MILLISECOND + list_start.DISCOVERY_TIME
    assert start.decide(now, LARGE, False, True) == READ


def test_daemon_asks_one_that_has_the_list_at_once():
    """Guards against a restarted daemon that waits for nothing."""
    start = create_start()
    assert start.decide(MILLISECOND, LARGE, True, True) == ASK
    assert start.decide(2 * MILLISECOND, LARGE, True, True) == WAIT


def test_daemon_whose_peers_do_not_answer_reads_soon():
    """Guards against an upgrade that makes each start late.

    Daemons of an earlier version do not answer.
    """
    start = create_start()
    now, steps = datetime.timedelta(), collections.Counter()
    while (step := start.decide(now, LARGE, True, False)) != READ:
        steps[step] += 1
        now += list_start.PAUSE
    assert steps[ASK] == list_start.MAX_ASKED
    assert now == list_start.MAX_ASKED * list_start.ASK_INTERVAL


def test_daemon_without_any_source_reads_in_time():
    """Guards against a domain whose readers are frozen or turned away."""
    for part in (0.0, 1.0):
        start = create_start(part)
        now = datetime.timedelta()
        while start.decide(now, LARGE, False, False) != READ:
            now += list_start.PAUSE
        assert now == list_start.LIST_TIMEOUT + part * list_start.SPREAD


class Fleet:
    """Daemons of one failure domain that start together, on a manual clock.

    They know each other from the first moment. An answer and a read take one
    round of `PAUSE`, and so does the news that a daemon is ready.
    """

    def __init__(self, size, lost=0.0, silent_readers=False):
        self.beats = [
            test_digest.create_heartbeat(
                name=f"d{number:03}", ip=f"{number}", ready=False
            )
            for number in range(size)
        ]
        self.lost = lost
        self.silent_readers = silent_readers
        self.reads = 0
        self.rounds = 0
        self.most_answers = 0

    def run(self):
        generator = random.Random(3)
        starts = [create_start(generator.random()) for _ in self.beats]
        missing = set(range(len(self.beats)))
        answered = collections.Counter()
        now = datetime.timedelta()
        while missing:
            if not now % list_exchange.ANSWER_INTERVAL:
                answered.clear()
            has_ready = any(beat.ready for beat in self.beats)
            received = set()
            for number in sorted(missing):
                if self.silent_readers and number < 2:
                    continue
                step = starts[number].decide(now, 299, has_ready, number < 2)
                if step == READ:
                    self.reads += 1
                    received.add(number)
                if step != ASK:
                    continue
                (asked,) = list_exchange.pick_asked(
                    self.beats[number], self.beats, 1, generator
                )
                answered[asked.name] += 1
                if (
                    asked.ready
                    and answered[asked.name] <= ANSWERS
                    and generator.random() >= self.lost
                ):
                    received.add(number)
            for number in received:
                self.beats[number] = test_digest.create_heartbeat(
                    name=f"d{number:03}", ip=f"{number}", ready=True
                )
            missing -= received
            if self.silent_readers:
                missing -= {0, 1}
            now += list_start.PAUSE
            self.rounds += 1
        return now


@pytest.mark.parametrize("size", [10, 100, 630])
def test_few_daemons_of_a_domain_read_the_store(size):
    """Guards against bytes of the store that grow with daemons times VMs.

    In a fleet of 299 daemons and 3,000 VMs each daemon read the whole list at
    its start. All have it within 5 s, as many as there may be.
    """
    fleet = Fleet(size)
    assert fleet.run() < datetime.timedelta(seconds=5)
    assert fleet.reads <= 2 + size // 20


def test_few_daemons_read_although_answers_are_lost():
    """Guards against one lost datagram that costs a reading of the store."""
    fleet = Fleet(100, lost=0.15)
    assert fleet.run() < datetime.timedelta(seconds=5)
    assert fleet.reads <= 2 + 100 // 10


def test_domain_starts_without_its_readers():
    """Guards against a domain that waits for readers which are frozen."""
    fleet = Fleet(100, silent_readers=True)
    assert fleet.run() < datetime.timedelta(seconds=5)
    assert fleet.reads <= 100 // 4
