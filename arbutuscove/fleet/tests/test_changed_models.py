"""Guards against running requests that a changed configuration ends."""

import dataclasses

import gevent
import pytest

from arbutuscove.fleet import orders
from arbutuscove.fleet.tests import test_controller
from arbutuscove.fleet.tests import test_planner

serving_setup = test_controller.serving_setup
starting_setup = test_controller.starting_setup


def change_models(catalog, **change):
    """Puts a version in force that changes all models."""
    current = catalog.get_current()
    service = current.services["models"]
    models = tuple(
        dataclasses.replace(spec, **change) for spec in service.engine.models
    )
    service = dataclasses.replace(
        service, engine=dataclasses.replace(service.engine, models=models)
    )
    catalog.apply_if_newer(
        dataclasses.replace(current, version=2, services={"models": service}),
        "test",
    )


@pytest.mark.parametrize(
    "change", [{"name": "other"}, {"size": 3}], ids=["dropped", "larger"]
)
def test_open_group_of_a_changed_model_is_not_left_at_once(
    serving_setup, change
):
    """Guards against streams cut as their model changes or is dropped.

    An order to leave takes effect at once; one to close lets requests end.
    """
    clock, inventory, _, vms, group_controller = serving_setup
    inventory.replace(
        [
            test_planner.create_member("h", 0, "open"),
            test_planner.create_member("m", 1, "ready"),
        ]
    )
    catalog = group_controller._catalog
    for _ in range(3):
        group_controller.run_cycle()
        gevent.sleep(0)
        clock.advance(test_controller.SECOND)
        inventory.update([], [])
    assert vms.sent == []
    change_models(catalog, **change)
    for _ in range(3):
        group_controller.run_cycle()
        gevent.sleep(0)
        clock.advance(test_controller.SECOND)
        inventory.update([], [])
    assert not [order for order in vms.sent if isinstance(order, orders.Leave)]


@pytest.mark.parametrize(
    "change", [{"name": "other"}, {"size": 3}], ids=["dropped", "larger"]
)
def test_silent_group_of_a_changed_model_is_not_left_at_once(
    serving_setup, change
):
    """Guards against streams cut as a changed model's VM is silent briefly.

    The group is checked as it is reported as stalled, while a new version drops
    its model or makes its groups larger.
    """
    clock, inventory, _, vms, group_controller = serving_setup
    stalled = {("chat~5", 5)}
    group_controller._list_stalled_groups = lambda: frozenset(stalled)
    inventory.replace(
        [
            test_planner.create_member("h", 0, "open"),
            test_planner.create_member("m", 1, "ready"),
        ]
    )
    group_controller.run_cycle()  # begins the term of the lease
    (group,) = test_controller.collect_listed_groups(inventory)
    change_models(group_controller._catalog, **change)
    group_controller._check_group("models", group, 1)
    stalled.clear()
    for _ in range(3):
        group_controller.run_cycle()
        gevent.sleep(0)
        clock.advance(test_controller.SECOND)
        inventory.update([], [])
    sent = [type(order) for order in vms.sent]
    assert orders.Leave not in sent
    assert orders.Close in sent


def test_silent_group_that_is_too_small_is_ended_in_the_end(serving_setup):
    """Guards against a group that stands still until its engine gives up."""
    clock, inventory, _, vms, group_controller = serving_setup
    group_controller._list_stalled_groups = lambda: frozenset({("chat~5", 5)})
    inventory.replace([test_planner.create_member("h", 0, "open")])
    group_controller.run_cycle()  # begins the term of the lease
    (group,) = test_controller.collect_listed_groups(inventory)
    for _ in range(4):
        group_controller._check_group("models", group, 1)
        clock.advance(test_controller.SECOND / 2)
        inventory.update([], [])
    assert {type(order) for order in vms.sent} == {orders.Leave}
