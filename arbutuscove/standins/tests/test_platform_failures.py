"""Guards against an outage of the platform becoming one of the system."""

import pathlib
import tempfile
import time

import pytest

from arbutuscove.entry import headers
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.standins.tests import scene as scene_module
from arbutuscove.storage import http

# A refusal that waits for the table would take its 2 s timeout at least.
AT_ONCE = 1.0  # seconds


def _check_refused(scene, answer):
    assert answer.status == 503
    assert answer.error()["run"] == "not_run"
    assert answer.headers[headers.RUN] == "not_run"
    assert int(answer.headers[headers.RETRY_AFTER]) > 0
    assert not scene.runs(answer.content)


def test_platform_table_and_store_down_serving_goes_on(scene):
    """Repeatable work goes on; the rest is refused at once, truthfully."""
    load = scene_module.Load(lambda n: scene.address(n % 3), name="outage")
    load.wait_for(20)
    with (
        scene.faults(["table"], mode="down"),
        scene.faults(["objects"], down=True),
    ):
        load.wait_for(200)
        refused = []
        for number in range(6):
            began = time.monotonic()
            extra = scene_module.never(f"outage-{number}")
            refused.append(scene.send(number % 3, f"file {number}", 8, extra))
            assert time.monotonic() - began < AT_ONCE
    load.wait_for(20)
    assert all(answer.is_right() for answer in load.stop())
    for answer in refused:
        _check_refused(scene, answer)
        key = "outage-" + answer.content.rpartition(" ")[2]
        extra = scene_module.never(key)
        later = scene.send(0, answer.content, 8, extra)
        assert later.is_right(), later
        assert len(scene.runs(answer.content)) == 1


def test_platform_table_slow_serving_goes_on(scene):
    """A slow table delays what needs a claim and nothing else."""
    load = scene_module.Load(lambda n: scene.address(n % 3), name="slow")
    with scene.faults(["table"], mode="slow"):
        load.wait_for(200)
        extra = scene_module.never("slow-1")
        answer = scene.send(0, "file slowly", 8, extra)
        assert answer.is_right() or answer.error()["run"] == "not_run"
        assert len(scene.runs("file slowly")) == answer.is_right()
    assert all(answer.is_right() for answer in load.stop())


@pytest.mark.parametrize("mode", ["lose_confirmation", "lose_request"])
def test_platform_table_loses_answers_to_claims(scene, mode):
    """A claim in doubt must never let a request run twice."""
    content = f"file with {mode}"
    extra = scene_module.never(mode)
    with scene.faults(["table"], mode=mode, key_prefix="claim/"):
        first = scene.send(0, content, 8, extra)
        if first.status != 200:
            _check_refused(scene, first)
    second = scene.send(1, content, 8, extra)
    runs = len(scene.runs(content))
    assert runs <= 1
    if first.status == 200:
        assert runs == 1
    if second.status != 200:
        assert second.error()["run"] in ("unknown", "not_run")


def test_platform_store_down_answer_is_reported_as_ran(scene):
    """Without its stored answer a request must still not run again."""
    extra = scene_module.never("store-down")
    with scene.faults(["objects"], down=True):
        first = scene.send(0, "file unstored", 8, extra)
        assert first.is_right(), first
        again = scene.send(1, "file unstored", 8, extra)
    assert again.headers[headers.RUN] == "ran"
    assert len(scene.runs("file unstored")) == 1


def test_platform_down_at_start_with_peers(scene):
    """A daemon that starts in an outage takes the configuration of peers."""
    scene.cluster.terminate("entry-2")
    with scene.faults(["table"], mode="down"):
        scene.cluster.start_daemon("entry-2")
        cluster_module.wait_for(
            "readiness", lambda: _read_readiness(scene, 2)[0] == 200
        )
        extra = {headers.DEADLINE: "2"}
        answer = scene.send(2, "during the outage", 8, extra)
        assert answer.is_right() or answer.error()["run"] == "not_run"
    scene.wait_serving()


def test_platform_down_at_start_takes_rows_of_peers(scene):
    """A daemon that starts in an outage must find the replicas.

    It still refuses what is charged to a limit: it holds no slice of spend,
    and a slice comes only from the table.
    """
    scene.cluster.terminate("entry-2")
    with scene.faults(["table"], mode="down"):
        scene.cluster.start_daemon("entry-2")
        cluster_module.wait_for(
            "replicas during the outage",
            lambda: scene.cluster.count_serving(demo.SERVICE, 2),
            seconds=20,
        )
    scene.wait_serving()


def test_platform_down_at_start_without_peers():
    """A daemon that knows nothing must say so and serve when it can."""
    layout = cluster_module.Layout(daemons=1, vms=0, plain_services=0)
    with tempfile.TemporaryDirectory() as directory:
        cluster = cluster_module.Cluster(pathlib.Path(directory), layout)
        try:
            cluster.get_address("table")
            for name in ("objects", "weights"):
                cluster.start_standin(name)
            cluster.get_address("inventory")
            cluster.start_daemon("entry-0")
            scene = scene_module.Scene(cluster)
            assert _read_readiness(scene, 0) == (503, b"config_missing\n")
            answer = scene.send(0, "too early")
            assert answer.status == 503
            assert answer.error()["code"] == "config_missing"
            assert answer.error()["run"] == "not_run"
            assert int(answer.headers[headers.RETRY_AFTER]) > 0
            cluster.start_standin("table")
            cluster_module.wait_for(
                "readiness", lambda: _read_readiness(scene, 0)[0] == 200
            )
        finally:
            codes = cluster.stop()
    assert set(codes.values()) == {0}


def _read_readiness(scene, number):
    try:
        address = scene.address(number)
        reply = cluster_module.call(address, "GET", "/readyz")
    except http.HttpError:
        return 0, b""
    return reply.status, reply.body
