"""Guards against lost, duplicate and truncated answers if a daemon fails."""

import signal

import gevent

from arbutuscove.entry import headers
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import forwarder
from arbutuscove.standins.tests import scene as scene_module
from arbutuscove.storage import http


def test_daemon_dies_mid_stream_and_caller_resumes_elsewhere(scene):
    """The caller must receive exactly the missing events of a single run."""
    stream = scene_module.Stream(scene.get_address(0), "resumed", 400)
    first = stream.read_events(20)
    scene.cluster.kill("entry-0")
    stream.read_all()
    assert not first.is_complete
    received = first.list_events()
    identity = first.body.split(b"\n")[0].removeprefix(b"id: ").decode()
    last = identity.rpartition("-")[0] + f"-{received[-1][0]}"
    extra = {
        headers.RESUME: first.headers[headers.RESUME],
        headers.LAST_EVENT_ID: last,
    }
    rest = scene.send(1, "resumed", 400, extra)
    assert rest.status == 200
    assert rest.is_complete, rest.failure
    assert rest.list_events()[0][0] == received[-1][0] + 1
    rest.body = first.body[: first.body.rfind(b"\n\n") + 2] + rest.body
    assert rest.is_correct()
    assert len(scene.list_runs("resumed")) == 1
    scene.cluster.start_daemon("entry-0")


def test_daemon_dies_after_dispatch_of_non_repeatable_request(scene):
    """The request must not run again; a repeat must report an unknown run."""
    extra = scene_module.build_never_repeat_headers("filing-lost")
    sent = gevent.spawn(scene.send, 0, "filing", 400, extra)
    cluster_module.wait_for("the run", lambda: scene.list_runs("filing"))
    scene.cluster.kill("entry-0")
    assert not sent.get().is_complete
    for number in (1, 2):
        repeated = scene.send(number, "filing", 400, extra)
        assert repeated.status == 409
        assert repeated.read_error()["run"] == "unknown"
        assert repeated.headers[headers.RUN] == "unknown"
    assert len(scene.list_runs("filing")) == 1
    ran = scene.list_runs("filing")[0]["at"]
    claims = [
        e for e in scene.read_table_log() if e["key"].startswith("claim/")
    ]
    assert claims[-1]["value"]["state"] == "claimed"
    assert claims[-1]["at"] < ran
    scene.cluster.start_daemon("entry-0")


def test_daemon_paused_past_its_lease_sends_no_effective_order(scene):
    """A resumed former lease holder must not undo its successor's changes."""
    holder = _read_lease(scene)
    paused = holder["holder"].partition(".")[0]
    victim = scene.read_replica_rows()[0]["members"][-1]["name"]
    before = scene.read_replica_rows()
    scene.cluster.send_signal(paused, signal.SIGSTOP)
    scene.cluster.kill(victim)
    other = next(n for n in range(3) if f"entry-{n}" != paused)
    cluster_module.wait_for(
        "a successor", lambda: _read_lease(scene)["epoch"] > holder["epoch"]
    )
    cluster_module.wait_for(
        "the repair",
        lambda: (
            not _has_member(scene.read_replica_rows(), victim)
            and scene.cluster.count_serving("assistant", other) >= 2
        ),
    )
    position = _count_entries(scene)
    scene.cluster.send_signal(paused, signal.SIGCONT)
    scene.wait_until_serving()
    scene.cluster.restart(victim)
    successor = _read_lease(scene)["epoch"]
    for entry in scene.cluster.read_record()[position:]:
        if "order" in entry:
            assert entry["order"]["epoch"] >= successor
    assert before != scene.read_replica_rows()


def test_daemon_reached_by_nobody_serves_on(scene):
    """A one-way partition must not stop a daemon that can reach its peers."""
    scene.cluster.terminate("entry-2")
    own = scene.cluster.addresses["entry-2.peer"]
    listen = f"127.0.0.1:{cluster_module.find_port()}"
    proxy = forwarder.Forwarder(
        http.Address.parse(listen), http.Address.parse(own)
    )
    proxy.start()
    scene.cluster.overrides["entry-2"] = {"--peer-advertise": listen}
    scene.cluster.start_daemon("entry-2")
    scene.wait_until_serving()
    cluster_module.wait_for("probes", lambda: proxy.connections() > 0)
    mode = forwarder.Mode.DROP_TO_TARGET
    proxy.set_faults(forwarder.Faults(mode=mode))
    try:
        sequence = _accept_again(scene)
        for number in range(3):
            cluster_module.wait_for(
                f"the change at entry-{number}",
                lambda number=number: _read_sequence(scene, number) == sequence,
            )
        for number in range(3):
            answer = scene.send(number, f"cut off {number}")
            assert answer.is_correct(), answer
    finally:
        proxy.set_faults(forwarder.Faults())
        scene.cluster.terminate("entry-2")
        proxy.stop()
        del scene.cluster.overrides["entry-2"]
        scene.cluster.start_daemon("entry-2")


def _read_sequence(scene, number):
    return scene.cluster.admin("GET", "/status", daemon=number).json()[
        "sequence"
    ]


def _accept_again(scene):
    path = "/services/assistant"
    accepted = scene.cluster.admin("GET", path).json()
    proposal = {
        "service": accepted["service"],
        "base_version": accepted["version"],
        "author": "test",
        "reason": "during a cut",
    }
    reply = scene.cluster.admin("PUT", path, proposal)
    assert reply.status == 200, reply
    return reply.json()["change"]["sequence"]


def _read_lease(scene):
    return scene.call_standin("table", "GET", "/rows/lease/fabric/fabric-0")[
        "value"
    ]


def _has_member(rows, name):
    return any(m["name"] == name for row in rows for m in row["members"])


def _count_entries(scene):
    return len(scene.cluster.read_record())
