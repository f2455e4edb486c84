"""Guards against requests lost through planned stops."""

import signal
import time

import msgspec

from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.standins.tests import scene as scene_module

RESTARTS = 20


class Directory:
    """Daemon addresses of a caller, refreshed after `keep_seconds`."""

    def __init__(self, scene):
        self._scene = scene
        self._addresses = [scene.get_address(number) for number in range(3)]
        self._expires_at = 0.0

    def choose_address(self, caller):
        """Returns an address from the last answer to `/v1/entries`."""
        if time.monotonic() >= self._expires_at:
            self._refresh()
        return self._addresses[caller % len(self._addresses)]

    def _refresh(self):
        key = {"Authorization": f"Bearer {demo.API_KEY}"}
        for address in [
            *self._addresses,
            *map(self._scene.get_address, range(3)),
        ]:
            sent_at = time.monotonic()
            try:
                reply = cluster_module.call(
                    address, "GET", "/v1/entries", headers=key
                )
            except cluster_module.http.HttpError:
                continue
            body = msgspec.json.decode(reply.body)
            if reply.status == 200 and body["entries"]:
                urls = [entry["url"] for entry in body["entries"]]
                self._addresses = [url.removeprefix("http://") for url in urls]
                self._expires_at = sent_at + body["keep_seconds"]
                return


def test_planned_restarts_of_daemons_cut_off_nothing(scene):
    """No caller may lose an answer through rolling restarts under load."""
    directories = [Directory(scene) for _ in range(6)]
    load = scene_module.Load(
        lambda caller: directories[caller].choose_address(caller),
        name="rolling",
    )
    load.wait_for(20)
    for number in range(RESTARTS):
        name = f"entry-{number % 3}"
        assert scene.cluster.terminate(name) == 0
        scene.cluster.start_daemon(name)
        load.wait_for(5)
    answers = load.stop()
    wrong = [answer for answer in answers if not answer.is_correct()]
    assert not wrong, (len(wrong), len(answers), wrong[:3])
    runs = scene.count_runs()
    not_run_once = [a.content for a in answers if runs[a.content] != 1]
    assert not not_run_once, (len(not_run_once), len(answers), not_run_once[:3])


def test_planned_stop_waits_for_a_long_answer(scene):
    """An answer that takes longer than `keep_seconds` must still complete."""
    stream = scene_module.Stream(scene.get_address(0), "long answer", 600)
    stream.read_events(1)
    scene.cluster.send_signal("entry-0", signal.SIGTERM)
    answer = stream.read_all()
    assert answer.is_correct(), answer.failure
    assert scene.cluster.processes["entry-0"].wait(30) == 0
    scene.cluster.start_daemon("entry-0")


def test_planned_stop_of_an_upstream_cuts_off_nothing(scene):
    """A VM that reports that it leaves must be able to complete its work."""
    leader = scene.list_serving_replicas()[0]["members"][0]["name"]
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="drain")
    load.wait_for(30)
    scene.set_faults(leader, leaving=True)
    cluster_module.wait_for(
        "the VM to be released",
        lambda: scene.call_standin(leader, "GET", "/status")["replica"] == "",
    )
    assert scene.cluster.terminate(leader) == 0
    scene.wait_until_serving()
    load.wait_for(30)
    answers = load.stop()
    scene.cluster.restart(leader)
    wrong = [answer for answer in answers if not answer.is_correct()]
    assert not wrong, (len(wrong), len(answers), wrong[:2])
