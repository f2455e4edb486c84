"""Guards against harm by a table that loses what it acknowledged."""

import time

import pytest

from arbutuscove.entry import headers
from arbutuscove.requests import lost_claims
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins.tests import scene as scene_module

# A daemon without recent claims learns of the era only by its next read.
MARGIN_SECONDS = 3.0


@pytest.fixture(name="scene")
def fixture_scene(tmp_path):
    """A cluster of its own, since its table names an era from here on."""
    layout = cluster_module.Layout(check_fencing=False, keep_seconds=1.0)
    scene = scene_module.Scene(cluster_module.Cluster(tmp_path, layout))
    try:
        scene.set_up()
        yield scene
    finally:
        scene.cluster.stop()


def test_restored_table_runs_nothing_twice_and_serving_goes_on(scene):
    """Guards against a second run, stale orders and an end of serving."""
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="lost")
    load.wait_for(20)
    scene.call_standin("table", "POST", "/save")
    extra = scene_module.build_never_repeat_headers("lost-1")
    first = scene.send(0, "file once", 8, extra)
    assert first.is_correct(), first
    scene.call_standin("table", "POST", "/restore")
    for daemon in range(3):
        repeated = scene.send(daemon, "file once", 8, extra)
        assert repeated.headers[headers.RUN] in ("unknown", "ran")
    time.sleep(lost_claims.SETTLE_TIME.total_seconds() + MARGIN_SECONDS)
    for daemon in range(3):
        repeated = scene.send(daemon, "file once", 8, extra)
        assert repeated.headers[headers.RUN] in ("unknown", "ran")
    assert len(scene.list_runs("file once")) == 1
    extra = scene_module.build_never_repeat_headers("later-1")
    assert scene.send(1, "file later", 8, extra).is_correct()
    load.wait_for(20)
    assert all(answer.is_correct() for answer in load.stop())
    scene.wait_until_serving()
    scene_module.check_orders_fenced(scene.cluster.read_record())
