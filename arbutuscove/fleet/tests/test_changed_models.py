"""Guards against running requests that a changed configuration ends."""

import dataclasses

import gevent
import pytest

from arbutuscove.fleet import orders
from arbutuscove.fleet.tests import test_controller
from arbutuscove.fleet.tests import test_planner

serving_setup = test_controller.serving_setup
starting_setup = test_controller.starting_setup


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
    for _ in range(3):
        group_controller.run_cycle()
        gevent.sleep(0)
        clock.advance(test_controller.SECOND)
        inventory.update([], [])
    assert not [order for order in vms.sent if isinstance(order, orders.Leave)]
