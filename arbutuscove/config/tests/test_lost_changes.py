"""Guards against accepted changes that a restored table no longer has."""

import pytest

from arbutuscove.audit import trail
from arbutuscove.config import follower
from arbutuscove.config.tests import test_follower
from arbutuscove.kernel import clock as clock_module
from arbutuscove.storage import table as table_module


@pytest.fixture(name="lost")
def fixture_lost():
    """A table that lost the second and third change, and two followers."""
    table, clock = test_follower.FaultyTable(), clock_module.ManualClock()
    followers = [follower.ConfigFollower(table, clock) for _ in range(2)]
    test_follower.accept(table, clock, 0)
    for item in followers:
        item.poll_once()
    table.save()
    test_follower.accept(table, clock, 1, team="lost")
    test_follower.accept(table, clock, 0, name="other")
    for item in followers:
        item.poll_once()
    table.restore()
    return table, clock, followers


def test_accepted_changes_are_written_again(lost):
    """Guards against a configuration that reverts with the next start."""
    table, clock, followers = lost
    followers[0].poll_once()
    started = follower.ConfigFollower(table, clock)
    started.poll_once()
    assert started.get_snapshot() == followers[0].get_snapshot()
    entries = trail.read_scope(table, "config")
    assert [item.entry.action for item in entries] == [
        "configuration.accepted",
        "configuration.restored",
        "configuration.restored",
    ]
    assert not trail.find_gaps(entries)


def test_change_after_a_loss_is_in_force_everywhere(lost):
    """Guards against a change that gets the number of a lost one.

    Daemons that have the lost one in force would ignore it for ever.
    """
    table, clock, followers = lost
    followers[0].poll_once()
    assert test_follower.accept(table, clock, 2, team="new").is_ok()
    started = follower.ConfigFollower(table, clock)
    for item in (*followers, started):
        item.poll_once()
        assert item.get_snapshot().services["chat"].service.team == "new"
        assert "other" in item.get_snapshot().services


def test_two_daemons_write_lost_changes_once(lost):
    """Guards against changes that are written twice at the same time."""
    table, _, followers = lost
    transact = table.transact

    def interrupt(transaction):
        table.transact = transact
        followers[1].poll_once()
        return transact(transaction)

    table.transact = interrupt
    followers[0].poll_once()
    entries = trail.read_scope(table, "config")
    assert len(entries) == 3
    assert not trail.find_gaps(entries)


def test_lost_changes_wait_for_the_table(lost):
    """Guards against a poll loop that ends when a write fails."""
    table, _, followers = lost
    table.confirmations_to_lose = 100
    with pytest.raises(table_module.OutcomeUnknownError):
        followers[0].poll_once()
    followers[0].poll_if_due()
    table.confirmations_to_lose = 0
    for _ in range(2):
        followers[0].poll_once()
    assert len(trail.read_scope(table, "config")) == 3
