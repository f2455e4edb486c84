"""Guards against a head row without readers, and against too many readers."""

import datetime

import gevent
import pytest

from arbutuscove.config import follower
from arbutuscove.config import readers
from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import table as table_standin

SECOND = datetime.timedelta(seconds=1)
NAMES = [f"entry-{number}" for number in range(7)]


def build(own="entry-0", **changes):
    values = {
        "own_name": own,
        "region": "north",
        "regional_peers": [name for name in NAMES if name != own],
        "daemon_count": 7,
        "majority_contact_age": SECOND,
        "read_age": SECOND,
        "has_config": True,
    }
    return readers.ReaderInputs(**{**values, **changes})


def test_readers_are_two_of_the_region():
    """If all daemons read the head row, reads would grow with the fleet."""
    reading = [name for name in NAMES if readers.should_read(build(name))]
    assert len(reading) == readers.READERS_PER_REGION


def test_readers_are_replaced_when_both_die():
    """The head row must be read after the loss of both readers."""
    failed = readers.select_readers("north", NAMES)
    remaining = [name for name in NAMES if name not in failed]
    reading = [
        name
        for name in remaining
        if readers.should_read(
            build(name, regional_peers=[n for n in remaining if n != name])
        )
    ]
    assert len(reading) == readers.READERS_PER_REGION


@pytest.mark.parametrize(
    "changes",
    [
        {"has_config": False},
        {"read_age": None},
        {"majority_contact_age": None},
        {"majority_contact_age": 8 * SECOND},
        {"read_age": 11 * SECOND},
    ],
)
def test_readers_isolated_or_uninformed_daemon_reads(changes):
    """A daemon without updates from peers would keep an old version."""
    reading = readers.select_readers("north", NAMES)
    other = next(name for name in NAMES if name not in reading)
    assert not readers.should_read(build(other))
    assert readers.should_read(build(other, **changes))


def test_readers_fallback_reads_stay_bounded_at_target_size():
    """1,900 daemons may add 10 fallback reads/s in all, not 190."""
    names = [f"entry-{number}" for number in range(317)]
    reading = readers.select_readers("north", names)
    other = next(name for name in names if name not in reading)
    inputs = build(
        other, regional_peers=names, daemon_count=1900, read_age=180 * SECOND
    )
    assert not readers.should_read(inputs)


class _CountingTable(table_standin.MemoryTable):
    """Counts the reads of single rows."""

    reads = 0

    def read(self, key):
        self.reads += 1
        return super().read(key)


class _EndingClock(clock_module.ManualClock):
    """Ends the greenlet that sleeps on it after 20 sleeps."""

    remaining_sleeps = 20

    def sleep(self, duration):
        super().sleep(duration)
        self.remaining_sleeps -= 1
        if not self.remaining_sleeps:
            raise gevent.GreenletExit


def test_readers_other_daemons_do_not_read_the_head():
    """Polls of the head by every daemon would use up the table's read rate."""
    table = _CountingTable()
    config = follower.ConfigFollower(table, _EndingClock())
    config.start(None)
    config.configure_polling(lambda: False, lambda: None)
    reads = table.reads
    gevent.wait(timeout=1)
    assert table.reads == reads
