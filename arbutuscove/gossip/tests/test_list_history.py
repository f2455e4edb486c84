"""Guards against a daemon that lacks changes of the list without knowing it."""

import random

import pytest

from arbutuscove.gossip import digest
from arbutuscove.gossip import list_history


def create_row(name, version, content=b"x"):
    return digest.ListRow(version=version, name=name, content=content)


def create_answer(rows, since=10, version=5000):
    return list_history.split_answer("p", since, version, rows, 0)


def create_large_answer():
    rows = [create_row(f"{number}", 20, b"y" * 300) for number in range(200)]
    return rows, create_answer(rows)


def test_history_tells_the_last_change_of_each_entry():
    """Guards against an answer that lacks a change or a removal."""
    history = list_history.ListHistory()
    history.replace([create_row("a", 3), create_row("b", 7)], 10)
    history.record([create_row("a", 12, b"z"), create_row("b", 14, None)])
    assert history.list_since(14) == []
    assert history.list_since(12) == [create_row("b", 14, None)]
    assert {row.name for row in history.list_since(10)} == {"a", "b"}
    assert history.list_since(digest.WHOLE_LIST) == [create_row("a", 12, b"z")]


def test_history_does_not_answer_for_times_that_it_has_not_seen():
    """Guards against a departed VM that is listed for ever.

    The removal came before the first read, or was dropped as one of too many.
    """
    history = list_history.ListHistory()
    history.replace([create_row("a", 3)], 10)
    assert history.list_since(9) is None
    for number in range(list_history.MAX_REMOVALS + 1):
        history.record([create_row(f"{number}", 11 + number, None)])
    assert history.list_since(10) is None
    assert len(history.list_since(11)) == list_history.MAX_REMOVALS


def test_entry_that_returns_is_no_removal():
    """Guards against a returned VM that is told as removed."""
    history = list_history.ListHistory()
    history.replace([], 1)
    history.record([create_row("a", 2, None)])
    history.record([create_row("a", 3)])
    assert history.list_since(1) == [create_row("a", 3)]


@pytest.mark.parametrize("seed", range(5))
def test_answer_is_used_whole_in_any_order(seed):
    """Guards against a part of an answer that counts as all of it."""
    rows, updates = create_large_answer()
    assert len(updates) > 3
    assert max(len(digest.pack(update)) for update in updates) < 65000
    random.Random(seed).shuffle(updates)
    chains = list_history.UpdateChains()
    for update in updates[:-1]:
        chains.add(update)
        assert chains.take_complete(10, 0) is None
    chains.add(updates[-1])
    chain = chains.take_complete(10, 0)
    assert chain.version == 5000
    assert chain.list_rows() == {row.name: row.content for row in rows}
    assert chains.is_empty()


def test_answer_that_begins_later_is_kept_until_the_gap_is_closed():
    """Guards against changes that are skipped, and against a second reading."""
    chains = list_history.UpdateChains()
    for before, version in ((12, 14), (10, 12)):
        for update in digest.split_update("p", before, version, []):
            chains.add(update)
    assert chains.take_complete(9, 0) is None
    assert chains.take_complete(10, 0).version == 12
    assert chains.take_complete(12, 0).version == 14


def test_answer_is_used_whole_also_when_a_part_seems_old():
    """Guards against rows that are dropped as this daemon has gone on since."""
    rows, updates = create_large_answer()
    chains = list_history.UpdateChains()
    for update in updates[1:]:
        chains.add(update)
    assert chains.take_complete(updates[-2].version, 0) is None
    chains.add(updates[0])
    chain = chains.take_complete(updates[-2].version, 0)
    assert len(chain.list_rows()) == len(rows)


def test_update_of_an_earlier_version_is_a_whole():
    """Guards against versions that do not understand each other's updates."""
    chains = list_history.UpdateChains()
    chains.add(digest.ListUpdate(sender="p", before=8, version=12))
    assert chains.take_complete(10, 0).version == 12


def test_old_updates_and_too_many_are_dropped():
    """Guards against updates that fill the memory."""
    chains = list_history.UpdateChains()
    for number in range(100):
        chains.add(
            digest.ListUpdate(
                sender="p", before=1000 + number, version=2000 + number
            )
        )
    assert len(chains._chains) == list_history.MAX_CHAINS
    assert chains.take_complete(5000, 0) is None
    assert chains.is_empty()
