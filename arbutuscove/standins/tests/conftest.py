"""Running cluster shared by the process-level tests."""

import pathlib
import tempfile

import pytest

from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins.tests import scene as scene_module

# Engines ignore fencing tokens, so that each order of a stale controller takes
# effect and appears in the record.
LAYOUT = cluster_module.Layout(check_fencing=False, keep_seconds=1.0)


@pytest.fixture(scope="session")
def _running():
    with tempfile.TemporaryDirectory() as directory:
        cluster = cluster_module.Cluster(pathlib.Path(directory), LAYOUT)
        scene = scene_module.Scene(cluster)
        try:
            scene.set_up()
            yield scene
        finally:
            codes = cluster.stop()
    assert set(codes.values()) <= {0, -9}, codes


@pytest.fixture
def scene(_running):
    """Shared cluster that serves; its records are checked after the test."""
    _running.wait_until_serving()
    yield _running
    scene_module.check_vms_exclusive(_running.read_table_log())
    scene_module.check_orders_fenced(_running.cluster.read_record())
