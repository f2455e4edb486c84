"""Guards against groups that a daemon ends because its own path has failed."""

import pytest

from arbutuscove.fleet.tests import test_controller

SECOND = test_controller.SECOND

starting_setup = test_controller.starting_setup
serving_setup = test_controller.serving_setup
stalled = test_controller.stalled
headless = test_controller.headless


@pytest.fixture(name="lose_path")
def lose_path_fixture(serving_setup):
    """Returns a function after which the daemon reaches no VM."""

    def lose_path():
        group_controller = serving_setup[4]
        group_controller._confirm_contact = lambda service, since: False

    return lose_path


@pytest.mark.parametrize("names", ["m", "hm"])
def test_group_is_not_ended_while_no_vm_is_reached(stalled, lose_path, names):
    """Guards against a sound group ended by a daemon that reaches no VM."""
    vms, verify = stalled
    lose_path()
    for name in names:
        vms.silence(name, 9 * SECOND)
    assert not verify()


def test_silence_before_the_path_is_back_does_not_count(
    stalled, lose_path, serving_setup
):
    """Guards against a sound group ended by the first check after a cut."""
    vms, verify = stalled
    lose_path()
    vms.silence("m", 2 * SECOND)
    assert not verify()
    group_controller = serving_setup[4]
    group_controller._confirm_contact = lambda service, since: True
    assert not verify(SECOND)
    assert not group_controller._unresponsive


def test_head_is_not_taken_for_ended_while_no_vm_is_reached(
    headless, lose_path, serving_setup
):
    """Guards against members reused while their head serves other daemons."""
    clock, inventory, _, vms, group_controller = serving_setup
    headless("resetting")
    vms.unresponsive.add("m")
    lose_path()
    for _ in range(40):
        clock.advance(SECOND / 2)
        inventory.update([], [])
        (group,) = test_controller.collect_listed_groups(inventory)
        group_controller._check_group("models", group, 1)
    planner_state = group_controller._planner_states.get("models")
    assert planner_state is None or not planner_state.released
