"""Guards against a configuration that reverts to an older version."""

import pathlib

from arbutuscove.config import acceptance
from arbutuscove.config import follower
from arbutuscove.config import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.questionnaire import answers
from arbutuscove.questionnaire import generation
from arbutuscove.standins import table as table_standin

EXAMPLE = pathlib.Path(__file__).parents[3] / "examples" / "demo.yaml"
SERVICE = generation.generate(answers.read_answers(EXAMPLE))


def _change(sequence):
    return model.Change(
        sequence=sequence,
        version=sequence,
        base_version=sequence - 1,
        service=SERVICE,
        author="a",
        reason="r",
    )


def _build():
    clock = clock_module.ManualClock()
    return follower.ConfigFollower(table_standin.MemoryTable(), clock)


def test_config_older_change_is_ignored():
    """An older change from a peer that was disconnected must not apply."""
    config = _build()
    config.apply_changes([_change(1), _change(2), _change(3)])
    config.apply_changes([_change(2)])
    assert config.get_snapshot().sequence == 3
    assert config.get_snapshot().services[SERVICE.name].version == 3


def test_config_change_after_a_gap_is_ignored():
    """A change must not be applied before its predecessor."""
    config = _build()
    config.apply_changes([_change(1), _change(3)])
    assert config.get_snapshot().sequence == 1


def test_config_older_snapshot_is_ignored():
    """A snapshot of a disconnected peer must not revert this daemon."""
    config = _build()
    config.apply_changes([_change(1), _change(2)])
    config.merge_snapshot(model.Snapshot(sequence=1))
    assert config.get_snapshot().sequence == 2


def test_config_changes_from_the_first_make_it_loaded():
    """A daemon that received all changes from a peer must become ready."""
    config = _build()
    assert not config.is_loaded()
    config.apply_changes([_change(1)])
    assert config.is_loaded()


def test_config_second_operator_conflicts():
    """Of two proposals for the same reviewed version, one must conflict."""
    table = table_standin.MemoryTable()
    clock = clock_module.ManualClock()
    proposal = acceptance.Proposal(
        service=SERVICE, base_version=0, author="a", reason="r"
    )
    assert acceptance.accept(table, clock, proposal).is_ok()
    assert acceptance.accept(table, clock, proposal).is_error()
