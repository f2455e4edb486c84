"""Guards against downtime that the metrics do not show."""

import datetime

import pytest

from arbutuscove.observe import metrics as metrics_module
from arbutuscove.replicas import downtime
from arbutuscove.replicas.tests import world as world_module

SECOND = datetime.timedelta(seconds=1)
SERVICE = {"service": "chat"}
DOMAIN = {"fabric_domain": "a"}


@pytest.fixture(name="world")
def _build():
    service = world_module.build_service()
    world = world_module.World({"a": 5}, [service])
    world.advance(100)
    return world


@pytest.fixture(name="metrics")
def _build_metrics():
    return metrics_module.Metrics()


@pytest.fixture(name="meter")
def _build_meter(world, metrics):
    (daemon,) = world.daemons
    return downtime.DowntimeMeter(
        world.clock, daemon.config, daemon.board, daemon.directory, metrics
    )


def test_downtime_counts_replicas_and_vms_that_do_not_serve(
    world, metrics, meter
):
    """A replica that lacks a member must count, with all of its VMs."""
    meter.measure_once()
    assert metrics.replicas_down.get(SERVICE) == 0
    assert metrics.stranded_vms.get(DOMAIN) == 1
    (row, _) = world.rows()
    world.fleet.vms[row.members[0].name].up = False
    world.advance(4)
    meter.measure_once()
    assert metrics.replicas_down.get(SERVICE) == 1
    assert metrics.group_downtime.get(SERVICE) == 4
    assert metrics.stranded_vms.get(DOMAIN) == 3
    assert metrics.stranded_time.get(DOMAIN) == 12
    world.advance(90)
    meter.measure_once()
    assert metrics.replicas_down.get(SERVICE) == 0


def test_downtime_of_a_pause_is_not_guessed(world, metrics, meter):
    """A paused daemon would count its own pause as downtime of replicas."""
    meter.measure_once()
    world.clock.advance(1000 * SECOND)
    meter.measure_once()
    longest = downtime.MAX_COUNTED_TIME.total_seconds()
    assert metrics.group_downtime.get(SERVICE) == 2 * longest


def test_downtime_of_a_domain_that_left_ends(world, metrics, meter):
    """A gauge that keeps its last value reports VMs that are not paid for."""
    meter.measure_once()
    world.fleet.unlisted.update(world.fleet.vms)
    world.advance(3)
    meter.measure_once()
    assert metrics.stranded_vms.get(DOMAIN) == 0
    assert metrics.replicas_down.get(SERVICE) == 2
