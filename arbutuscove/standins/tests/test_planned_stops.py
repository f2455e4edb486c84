"""Guards against planned stops that cut off requests."""

import signal
import time

import msgspec

from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.standins.tests import scene as scene_module

RESTARTS = 20


class Directory:
    """Addresses as a caller keeps them: as long as it was told, no longer."""

    def __init__(self, scene):
        self._scene = scene
        self._known = [scene.address(number) for number in range(3)]
        self._until = 0.0

    def pick(self, caller):
        """Returns an address that `/v1/entries` gave."""
        if time.monotonic() >= self._until:
            self._refresh()
        return self._known[caller % len(self._known)]

    def _refresh(self):
        key = {"Authorization": f"Bearer {demo.API_KEY}"}
        for address in [*self._known, *map(self._scene.address, range(3))]:
            asked = time.monotonic()
            try:
                reply = cluster_module.call(
                    address, "GET", "/v1/entries", headers=key
                )
            except cluster_module.http.HttpError:
                continue
            body = msgspec.json.decode(reply.body)
            if reply.status == 200 and body["entries"]:
                urls = [entry["url"] for entry in body["entries"]]
                self._known = [url.removeprefix("http://") for url in urls]
                self._until = asked + body["keep_seconds"]
                return


def test_planned_restarts_of_daemons_cut_off_nothing(scene):
    """Rolling restarts under load must not cost one caller an answer."""
    directories = [Directory(scene) for _ in range(6)]
    load = scene_module.Load(
        lambda caller: directories[caller].pick(caller), name="rolling"
    )
    load.wait_for(20)
    for turn in range(RESTARTS):
        name = f"entry-{turn % 3}"
        assert scene.cluster.terminate(name) == 0
        scene.cluster.start_daemon(name)
        load.wait_for(5)
    answers = load.stop()
    wrong = [answer for answer in answers if not answer.is_right()]
    assert not wrong, (len(wrong), len(answers), wrong[:3])
    runs = scene.count_runs()
    doubled = [a.content for a in answers if runs[a.content] != 1]
    assert not doubled, (len(doubled), len(answers), doubled[:3])


def test_planned_stop_waits_for_a_long_answer(scene):
    """An answer that outlasts the keep time must still end whole."""
    stream = scene_module.Stream(scene.address(0), "long answer", 600)
    stream.read_events(1)
    scene.cluster.send_signal("entry-0", signal.SIGTERM)
    answer = stream.read_all()
    assert answer.is_right(), answer.failure
    assert scene.cluster.processes["entry-0"].wait(30) == 0
    scene.cluster.start_daemon("entry-0")


def test_planned_stop_of_an_upstream_cuts_off_nothing(scene):
    """A VM that says it leaves may end its work before it stops."""
    leader = scene.serving()[0]["members"][0]["name"]
    load = scene_module.Load(lambda n: scene.address(n % 3), name="drain")
    load.wait_for(30)
    scene.set_faults(leader, leaving=True)
    cluster_module.wait_for(
        "the end of its work",
        lambda: scene.ask(leader, "GET", "/status")["replica"] == "",
    )
    assert scene.cluster.terminate(leader) == 0
    scene.wait_serving()
    load.wait_for(30)
    answers = load.stop()
    scene.cluster.restart(leader)
    wrong = [answer for answer in answers if not answer.is_right()]
    assert not wrong, (len(wrong), len(answers), wrong[:2])
