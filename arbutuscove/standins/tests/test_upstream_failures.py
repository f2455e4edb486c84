"""Guards against wrong or doubled answers when upstreams fail."""

import signal

import gevent
import pytest

from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins.tests import scene as scene_module

LEAVING_BOUND = 3.0  # seconds after the signal (P6)


def _count_same(scene, fault, runs):
    leaders = [item["members"][0]["name"] for item in scene.serving()]
    answers = []
    with scene.faults(leaders, **fault):
        for number in range(runs):
            content = f"{fault} {number}"
            answers.append(scene.send(number % 3, content))
    return answers


@pytest.mark.parametrize(
    "fault",
    [{"repeat_at": 3}, {"swap_at": 4}, {"close_at": 5}],
    ids=str,
)
def test_upstream_repairable_stream_is_delivered_whole(scene, fault):
    """Late, repeated and reordered events must not reach the caller."""
    for answer in _count_same(scene, fault, 4):
        assert answer.is_right(), answer
        assert len(scene.runs(answer.content)) == 1


def test_upstream_failing_at_dispatch_is_retried_only_if_repeatable(scene):
    """A status 500 says nothing of what ran, so it must not be `not_run`."""
    leaders = [item["members"][0]["name"] for item in scene.serving()]
    extra = scene_module.never("failed dispatch")
    with scene.faults(leaders, close_at=0):
        once = scene.send(0, "file at a failing engine", extra=extra)
    assert once.error()["run"] == "unknown"
    assert len(scene.runs("file at a failing engine")) == 1
    with scene.faults(leaders, close_at=0):
        assert scene.send(1, "answer at the third attempt").is_right()


@pytest.mark.parametrize(
    "fault", [{"truncate_at": 6}, {"foreign_at": 6}], ids=str
)
def test_upstream_broken_stream_is_reported(scene, fault):
    """A truncated answer or another's must be an error at the caller."""
    for answer in _count_same(scene, fault, 2):
        assert not answer.whole
        assert b'"code":"answer_incomplete"' in answer.body
        right = scene_module.expect_words(answer.content)
        assert answer.words() == right[:6]


def test_upstream_foreign_first_event_never_reaches_a_caller(scene):
    """Another request's answer must not be sent even as a beginning."""
    for answer in _count_same(scene, {"foreign_at": 0}, 2):
        assert answer.status == 503
        assert answer.error()["run"] == "unknown"
        assert len(scene.runs(answer.content)) <= 3


def test_upstream_member_dies_and_is_replaced(scene):
    """A replica without a member must not serve; the rest goes on."""
    victim = scene.serving()[0]
    row = next(
        r for r in scene.replica_rows() if r["replica"] == victim["replica"]
    )
    member = row["members"][-1]["name"]
    load = scene_module.Load(lambda n: scene.address(n % 3), name="death")
    load.wait_for(30)
    scene.cluster.kill(member)
    cluster_module.wait_for(
        "the replacement", lambda: not _holds(scene, member)
    )
    scene.wait_serving()
    load.wait_for(30)
    answers = load.stop()
    scene.cluster.restart(member)
    _check_answers(answers)
    assert sum(not answer.is_right() for answer in answers) <= 6


def test_upstream_pauses_past_its_replacement_and_returns(scene):
    """A VM that returns as if nothing had happened must change nothing."""
    victim = scene.serving()[0]
    leader = victim["members"][0]["name"]
    load = scene_module.Load(lambda n: scene.address(n % 3), name="pause")
    load.wait_for(30)
    scene.cluster.send_signal(leader, signal.SIGSTOP)
    cluster_module.wait_for(
        "the replacement", lambda: not _holds(scene, leader)
    )
    scene.wait_serving()
    replaced = len(scene.cluster.read_record())
    scene.cluster.send_signal(leader, signal.SIGCONT)
    load.wait_for(100)
    _check_answers(load.stop())
    names = {answer.content for answer in load.answers[-90:]}
    for entry in scene.cluster.read_record()[replaced:]:
        if "ran" in entry and entry["messages"][0]["content"] in names:
            assert (entry["replica"], entry["generation"]) != (
                victim["replica"],
                victim["generation"],
            )


def test_upstream_leaving_by_its_own_signal_gets_no_new_work(scene):
    """The VM list lags; the VM's own word must be enough within 3 s."""
    leader = scene.serving()[0]["members"][0]["name"]
    load = scene_module.Load(lambda n: scene.address(n % 3), name="leave")
    load.wait_for(30)
    with scene.faults([leader], leaving=True):
        since = _now(scene)
        cluster_module.wait_for(
            "the replacement", lambda: not _holds(scene, leader)
        )
        scene.wait_serving()
        load.wait_for(100)
        _check_answers(load.stop())
        _check_left(scene, leader, since)


def test_upstream_leaving_by_the_list_gets_no_new_work(scene):
    """The VM list alone must be enough within 3 s, too."""
    leader = scene.serving()[0]["members"][0]["name"]
    vms = scene.ask("inventory", "GET", "/vms")
    marked = [
        {**vm, "state": "leaving"} if vm["name"] == leader else vm for vm in vms
    ]
    load = scene_module.Load(lambda n: scene.address(n % 3), name="listed")
    load.wait_for(30)
    scene.ask("inventory", "PUT", "/vms", marked)
    try:
        since = _now(scene)
        cluster_module.wait_for(
            "the replacement", lambda: not _holds(scene, leader)
        )
        scene.wait_serving()
        load.wait_for(100)
        _check_answers(load.stop())
        _check_left(scene, leader, since)
    finally:
        scene.ask("inventory", "PUT", "/vms", vms)


def _holds(scene, name):
    rows = scene.replica_rows()
    members = {m["name"] for row in rows for m in row["members"]}
    return len(rows) < 2 or name in members


def _now(scene):
    """Returns the time in the records' clock."""
    scene.send(0, "a mark in the record")
    return scene.cluster.read_record()[-1]["at"]


def _check_left(scene, name, since):
    late = [
        entry
        for entry in scene.cluster.read_record()
        if "ran" in entry
        and entry["vm"] == name
        and entry["at"] > since + LEAVING_BOUND
    ]
    assert not late
    gevent.sleep(0)


def _check_answers(answers):
    """Each answer is whole and right, or says that it is not."""
    for answer in answers:
        if answer.is_right():
            continue
        refused = answer.status != 200 and answer.error()["run"]
        assert refused or not answer.whole, answer
