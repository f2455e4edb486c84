"""Guards against a platform outage that causes an outage of the daemons."""

import pathlib
import tempfile
import time

import pytest

from arbutuscove.entry import headers
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.standins.tests import scene as scene_module
from arbutuscove.storage import http

# A refusal that waits for the table takes at least the table's 2 s timeout.
REFUSAL_BOUND_SECONDS = 1.0


def _check_refused(scene, answer):
    assert answer.status == 503
    assert answer.read_error()["run"] == "not_run"
    assert answer.headers[headers.RUN] == "not_run"
    assert int(answer.headers[headers.RETRY_AFTER]) > 0
    assert not scene.list_runs(answer.content)


def test_platform_table_and_store_down_serving_goes_on(scene):
    """Repeatable requests succeed; others are refused at once as not run."""
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="outage")
    load.wait_for(20)
    with (
        scene.inject_faults(["table"], mode="down"),
        scene.inject_faults(["objects"], down=True),
    ):
        load.wait_for(200)
        refused = []
        for number in range(6):
            started = time.monotonic()
            extra = scene_module.build_never_repeat_headers(f"outage-{number}")
            refused.append(scene.send(number % 3, f"file {number}", 8, extra))
            assert time.monotonic() - started < REFUSAL_BOUND_SECONDS
    load.wait_for(20)
    assert all(answer.is_correct() for answer in load.stop())
    for answer in refused:
        _check_refused(scene, answer)
        key = "outage-" + answer.content.rpartition(" ")[2]
        extra = scene_module.build_never_repeat_headers(key)
        later = scene.send(0, answer.content, 8, extra)
        assert later.is_correct(), later
        assert len(scene.list_runs(answer.content)) == 1


def test_platform_table_slow_serving_goes_on(scene):
    """A slow table must delay only requests that need a claim."""
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="slow")
    with scene.inject_faults(["table"], mode="slow"):
        load.wait_for(200)
        extra = scene_module.build_never_repeat_headers("slow-1")
        answer = scene.send(0, "file slowly", 8, extra)
        assert answer.is_correct() or answer.read_error()["run"] == "not_run"
        assert len(scene.list_runs("file slowly")) == answer.is_correct()
    assert all(answer.is_correct() for answer in load.stop())


@pytest.mark.parametrize("mode", ["lose_confirmation", "lose_request"])
def test_platform_table_loses_answers_to_claims(scene, mode):
    """A claim with unknown outcome must never let a request run twice."""
    content = f"file with {mode}"
    extra = scene_module.build_never_repeat_headers(mode)
    with scene.inject_faults(["table"], mode=mode, key_prefix="claim/"):
        first = scene.send(0, content, 8, extra)
        if first.status != 200:
            _check_refused(scene, first)
    second = scene.send(1, content, 8, extra)
    runs = len(scene.list_runs(content))
    assert runs <= 1
    if first.status == 200:
        assert runs == 1
    if second.status != 200:
        assert second.read_error()["run"] in ("unknown", "not_run")


def test_platform_store_down_answer_is_reported_as_ran(scene):
    """A request whose answer could not be stored must not run again."""
    extra = scene_module.build_never_repeat_headers("store-down")
    with scene.inject_faults(["objects"], down=True):
        first = scene.send(0, "file unstored", 8, extra)
        assert first.is_correct(), first
        repeated = scene.send(1, "file unstored", 8, extra)
    assert repeated.headers[headers.RUN] == "ran"
    assert len(scene.list_runs("file unstored")) == 1


def test_platform_down_at_start_with_peers(scene):
    """A daemon that starts in an outage gets its configuration from peers."""
    scene.cluster.terminate("entry-2")
    with scene.inject_faults(["table"], mode="down"):
        scene.cluster.start_daemon("entry-2")
        cluster_module.wait_for(
            "readiness", lambda: _read_readiness(scene, 2)[0] == 200
        )
        extra = {headers.DEADLINE: "2"}
        answer = scene.send(2, "during the outage", 8, extra)
        assert answer.is_correct() or answer.read_error()["run"] == "not_run"
    scene.wait_until_serving()


def test_platform_down_at_start_takes_rows_of_peers(scene):
    """A daemon that starts during an outage must get replica rows from peers.

    It still refuses requests charged to a limit: it has no slice of the limit,
    and slices are allocated only through the table.
    """
    scene.cluster.terminate("entry-2")
    with scene.inject_faults(["table"], mode="down"):
        scene.cluster.start_daemon("entry-2")
        cluster_module.wait_for(
            "replicas during the outage",
            lambda: scene.cluster.count_serving(demo.SERVICE, 2),
            seconds=20,
        )
    scene.wait_until_serving()


def test_platform_down_at_start_without_peers():
    """A daemon without configuration must report that until it gets one."""
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
            assert answer.read_error()["code"] == "config_missing"
            assert answer.read_error()["run"] == "not_run"
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
        address = scene.get_address(number)
        reply = cluster_module.call(address, "GET", "/readyz")
    except http.HttpError:
        return 0, b""
    return reply.status, reply.body
