"""Guards against lost, doubled and cut requests when a daemon fails."""

import signal

import gevent

from arbutuscove.entry import headers
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import forwarder
from arbutuscove.standins.tests import scene as scene_module
from arbutuscove.storage import http


def test_daemon_dies_mid_stream_and_caller_resumes_elsewhere(scene):
    """The caller must get exactly the missing events, and one run."""
    stream = scene_module.Stream(scene.address(0), "resumed", 400)
    first = stream.read_events(20)
    scene.cluster.kill("entry-0")
    stream.read_all()
    assert not first.whole
    seen = first.events()
    identity = first.body.split(b"\n")[0].removeprefix(b"id: ").decode()
    last = identity.rpartition("-")[0] + f"-{seen[-1][0]}"
    extra = {
        headers.RESUME: first.headers[headers.RESUME],
        headers.LAST_EVENT_ID: last,
    }
    rest = scene.send(1, "resumed", 400, extra)
    assert rest.status == 200
    assert rest.whole, rest.failure
    assert rest.events()[0][0] == seen[-1][0] + 1
    rest.body = first.body[: first.body.rfind(b"\n\n") + 2] + rest.body
    assert rest.is_right()
    assert len(scene.runs("resumed")) == 1
    scene.cluster.start_daemon("entry-0")


def test_daemon_dies_after_dispatch_of_non_repeatable_request(scene):
    """The request must never run again and its caller must be told so."""
    extra = scene_module.never("filing-lost")
    sent = gevent.spawn(scene.send, 0, "filing", 400, extra)
    cluster_module.wait_for("the run", lambda: scene.runs("filing"))
    scene.cluster.kill("entry-0")
    assert not sent.get().whole
    for number in (1, 2):
        again = scene.send(number, "filing", 400, extra)
        assert again.status == 409
        assert again.error()["run"] == "unknown"
        assert again.headers[headers.RUN] == "unknown"
    assert len(scene.runs("filing")) == 1
    ran = scene.runs("filing")[0]["at"]
    claims = [e for e in scene.table_log() if e["key"].startswith("claim/")]
    assert claims[-1]["value"]["state"] == "claimed"
    assert claims[-1]["at"] < ran
    scene.cluster.start_daemon("entry-0")


def test_daemon_paused_past_its_lease_sends_no_effective_order(scene):
    """A holder that wakes must not undo what its successor did."""
    holder = _read_lease(scene)
    paused = holder["holder"].partition(".")[0]
    victim = scene.replica_rows()[0]["members"][-1]["name"]
    before = scene.replica_rows()
    scene.cluster.send_signal(paused, signal.SIGSTOP)
    scene.cluster.kill(victim)
    other = next(n for n in range(3) if f"entry-{n}" != paused)
    cluster_module.wait_for(
        "a successor", lambda: _read_lease(scene)["epoch"] > holder["epoch"]
    )
    cluster_module.wait_for(
        "the repair",
        lambda: (
            not _has_member(scene.replica_rows(), victim)
            and scene.cluster.count_serving("assistant", other) >= 2
        ),
    )
    orders = _count_orders(scene)
    scene.cluster.send_signal(paused, signal.SIGCONT)
    scene.wait_serving()
    scene.cluster.restart(victim)
    successor = _read_lease(scene)["epoch"]
    for entry in scene.cluster.read_record()[orders:]:
        if "order" in entry:
            assert entry["order"]["epoch"] >= successor
    assert before != scene.replica_rows()


def test_daemon_reached_by_nobody_serves_on(scene):
    """A one-way cut must not stop a daemon that reaches the others."""
    scene.cluster.terminate("entry-2")
    own = scene.cluster.addresses["entry-2.peer"]
    listen = f"127.0.0.1:{cluster_module.find_port()}"
    middle = forwarder.Forwarder(
        http.Address.parse(listen), http.Address.parse(own)
    )
    middle.start()
    scene.cluster.overrides["entry-2"] = {"--peer-advertise": listen}
    scene.cluster.start_daemon("entry-2")
    scene.wait_serving()
    cluster_module.wait_for("probes", lambda: middle.connections() > 0)
    mode = forwarder.Mode.DROP_TO_TARGET
    middle.set_faults(forwarder.Faults(mode=mode))
    try:
        sequence = _accept_again(scene)
        for number in range(3):
            cluster_module.wait_for(
                f"the change at entry-{number}",
                lambda number=number: _sequence(scene, number) == sequence,
            )
        for number in range(3):
            answer = scene.send(number, f"cut off {number}")
            assert answer.is_right(), answer
    finally:
        middle.set_faults(forwarder.Faults())
        scene.cluster.terminate("entry-2")
        middle.stop()
        del scene.cluster.overrides["entry-2"]
        scene.cluster.start_daemon("entry-2")


def _sequence(scene, number):
    return scene.cluster.admin("GET", "/status", daemon=number).json()[
        "sequence"
    ]


def _accept_again(scene):
    path = "/services/assistant"
    found = scene.cluster.admin("GET", path).json()
    proposal = {
        "service": found["service"],
        "base_version": found["version"],
        "author": "test",
        "reason": "during a cut",
    }
    reply = scene.cluster.admin("PUT", path, proposal)
    assert reply.status == 200, reply
    return reply.json()["change"]["sequence"]


def _read_lease(scene):
    return scene.ask("table", "GET", "/rows/lease/fabric/fabric-0")["value"]


def _has_member(rows, name):
    return any(m["name"] == name for row in rows for m in row["members"])


def _count_orders(scene):
    return len(scene.cluster.read_record())
