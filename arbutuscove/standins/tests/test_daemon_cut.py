"""Guards against failures at a daemon that is cut off from all upstreams."""

import http.client
import pathlib
import tempfile
import time

import gevent
import msgspec
import pytest

from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import cut_daemon
from arbutuscove.standins import demo
from arbutuscove.standins.tests import scene as scene_module
from arbutuscove.storage import http as storage_http

CUT = 0  # number of the daemon that is cut off
OTHER = 1
ALL = (0, 1, 2)
CUT_MODULE = "arbutuscove.standins.cut_daemon"
LAYOUT = cluster_module.Layout(check_fencing=False)
CUT_SECONDS = 6.0  # longer than a status stays valid
READ_SECONDS = 1.5  # in which each VM is read, and three control rounds come
HEADERS = {"Authorization": f"Bearer {demo.API_KEY}"}
MODES = [
    cut_daemon.Mode.SILENT,
    cut_daemon.Mode.RESET,
    cut_daemon.Mode.REFUSED,
]


@pytest.fixture(name="cut_scene", scope="module")
def build_scene():
    with (
        tempfile.TemporaryDirectory() as directory,
        pytest.MonkeyPatch.context() as patch,
    ):
        patch.setenv(cut_daemon.DIRECTORY_VARIABLE, directory)
        cluster = cluster_module.Cluster(pathlib.Path(directory), LAYOUT)
        for number in ALL:
            cluster.modules[f"entry-{number}"] = CUT_MODULE
        scene = scene_module.Scene(cluster)
        try:
            scene.set_up()
            yield scene
        finally:
            codes = cluster.stop()
    assert set(codes.values()) == {0}, codes


@pytest.fixture(name="scene")
def build_serving_scene(cut_scene):
    cut_scene.wait_until_serving()
    yield cut_scene
    _write_cut(cut_scene, cut_daemon.Mode.NONE, ALL)
    scene_module.check_vms_exclusive(cut_scene.read_table_log())


def _write_cut(scene, mode, daemons=(CUT,), names=None):
    addresses = scene.cluster.addresses
    if names is None:
        names = [vm.name for vm in scene.cluster.list_vms()] + ["plain-0"]
    ports = [storage_http.Address.parse(addresses[n]).port for n in names]
    cut = cut_daemon.Cut(mode=mode, ports=frozenset(ports))
    for number in daemons:
        name = f"entry-{number}"
        cut_daemon.write_cut(scene.cluster.directory, name, cut)


def _list_blamed(scene):
    """Returns the rows of requests that are taken for crashes' causes."""
    return [
        row
        for prefix in ("quarantine/", "crash/")
        for row in scene.call_standin(
            "table", "GET", f"/scan?prefix={prefix}&after=&limit=100"
        )
    ]


def _call_plain(scene, name):
    address = storage_http.Address.parse(scene.get_address(CUT))
    connection = http.client.HTTPConnection(*address, timeout=30)
    path = f"/plain/{demo.PLAIN_SERVICE}/call/{name}"
    connection.request("GET", path, headers=HEADERS)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response.status


def _read_entries(scene):
    reply = cluster_module.call(
        scene.get_address(OTHER), "GET", "/v1/entries", headers=HEADERS
    )
    return [
        entry["url"] for entry in msgspec.json.decode(reply.body)["entries"]
    ]


@pytest.mark.parametrize("mode", MODES)
def test_daemon_cut_from_upstreams_serves_through_peers(scene, mode):
    """Guards against refusals at a daemon that alone is cut off."""
    rows = scene.read_replica_rows()
    running = gevent.spawn(scene.send, CUT, f"running-{mode}", 400)
    gevent.sleep(0.5)
    _write_cut(scene, mode)
    load = scene_module.Load(lambda _: scene.get_address(CUT), name=mode)
    ends_at = time.monotonic() + CUT_SECONDS
    statuses = []
    while time.monotonic() < ends_at:
        statuses.append(_call_plain(scene, mode))
        gevent.sleep(0.2)
    serving = scene.cluster.count_serving(demo.SERVICE, CUT)
    entries = _read_entries(scene)
    answers = [*load.stop(), running.get()]
    _write_cut(scene, cut_daemon.Mode.NONE)
    wrong = [answer for answer in answers if not answer.is_correct()]
    assert not wrong, (len(wrong), len(answers), wrong[0])
    assert set(statuses) == {200}
    assert serving == demo.REPLICAS
    assert scene.read_replica_rows() == rows
    assert _list_blamed(scene) == []
    assert not any(scene.get_address(CUT) in url for url in entries)
    cluster_module.wait_for(
        "the daemon to be listed again",
        lambda: any(
            scene.get_address(CUT) in url for url in _read_entries(scene)
        ),
    )
    assert scene.send(CUT, f"after-{mode}").is_correct()


@pytest.mark.parametrize("mode", MODES)
def test_daemons_cut_at_once_serve_through_the_one_left(scene, mode):
    """Guards against a search for a path among those that have none."""
    cut = (CUT, OTHER)
    _write_cut(scene, mode, cut)
    load = scene_module.Load(
        lambda caller: scene.get_address(cut[caller % 2]), name=f"two-{mode}"
    )
    gevent.sleep(CUT_SECONDS)
    answers = load.stop()
    wrong = [answer for answer in answers if not answer.is_correct()]
    assert not wrong, (len(wrong), len(answers), wrong[0])
    assert _list_blamed(scene) == []


@pytest.mark.parametrize("mode", MODES)
def test_daemons_that_are_all_cut_judge_nothing(scene, mode):
    """Guards against blame and repairs for a failure of all paths.

    Also against a service that does not come back by itself after it.
    """
    rows = scene.read_replica_rows()
    load = scene_module.Load(
        lambda caller: scene.get_address(caller % 3), name=f"all-{mode}"
    )
    load.wait_for(12)
    _write_cut(scene, mode, ALL)
    gevent.sleep(2 * CUT_SECONDS)
    assert _list_blamed(scene) == []
    _write_cut(scene, cut_daemon.Mode.NONE, ALL)
    load.stop()
    assert scene.read_replica_rows() == rows
    assert _list_blamed(scene) == []
    scene.wait_until_serving()
    for number in ALL:
        assert scene.send(number, f"healed-{mode}-{number}").is_correct()


def test_member_whose_path_returns_last_keeps_its_place(scene):
    """Guards against a replica formed anew as not all members are read yet.

    Each VM is read once a second, so that after a cut the first statuses are
    new beside others that are as old as the cut.
    """
    rows = scene.read_replica_rows()
    last = rows[0]["members"][-1]["name"]
    _write_cut(scene, cut_daemon.Mode.SILENT, ALL)
    gevent.sleep(2 * CUT_SECONDS)
    _write_cut(scene, cut_daemon.Mode.SILENT, ALL, names=[last])
    gevent.sleep(READ_SECONDS)
    _write_cut(scene, cut_daemon.Mode.NONE, ALL)
    scene.wait_until_serving()
    assert scene.read_replica_rows() == rows
    assert _list_blamed(scene) == []
