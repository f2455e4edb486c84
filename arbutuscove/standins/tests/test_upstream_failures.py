"""Guards against wrong or duplicate answers when upstreams fail."""

import signal

import gevent
import pytest

from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins.tests import scene as scene_module

LEAVING_BOUND_SECONDS = 3.0  # after the signal (P6)


def _send_with_fault(scene, fault, runs):
    leaders = [
        item["members"][0]["name"] for item in scene.list_serving_replicas()
    ]
    answers = []
    with scene.inject_faults(leaders, **fault):
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
    """Repeated and reordered events and cut streams must be repaired."""
    for answer in _send_with_fault(scene, fault, 4):
        assert answer.is_correct(), answer
        assert len(scene.list_runs(answer.content)) == 1


def test_upstream_failing_at_dispatch_is_retried_only_if_repeatable(scene):
    """Status 500 does not show whether a request ran: `not_run` is wrong."""
    leaders = [
        item["members"][0]["name"] for item in scene.list_serving_replicas()
    ]
    extra = scene_module.build_never_repeat_headers("failed dispatch")
    with scene.inject_faults(leaders, close_at=0):
        once = scene.send(0, "file at a failing engine", extra=extra)
    assert once.read_error()["run"] == "unknown"
    assert len(scene.list_runs("file at a failing engine")) == 1
    with scene.inject_faults(leaders, close_at=0):
        assert scene.send(1, "answer at the third attempt").is_correct()


@pytest.mark.parametrize(
    "fault", [{"truncate_at": 6}, {"foreign_at": 6}], ids=str
)
def test_upstream_broken_stream_is_reported(scene, fault):
    """The caller must get an error for a truncated or foreign answer."""
    for answer in _send_with_fault(scene, fault, 2):
        assert not answer.is_complete
        assert b'"code":"answer_incomplete"' in answer.body
        expected = scene_module.build_expected_words(answer.content)
        assert answer.list_words() == expected[:6]


def test_upstream_foreign_first_event_never_reaches_a_caller(scene):
    """No event of another request's answer may be sent to the caller."""
    for answer in _send_with_fault(scene, {"foreign_at": 0}, 2):
        assert answer.status == 503
        assert answer.read_error()["run"] == "unknown"
        assert len(scene.list_runs(answer.content)) <= 3


def test_upstream_member_dies_and_is_replaced(scene):
    """A replica that lost a member must not serve, while others do."""
    victim = scene.list_serving_replicas()[0]
    row = next(
        r
        for r in scene.read_replica_rows()
        if r["replica"] == victim["replica"]
    )
    member = row["members"][-1]["name"]
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="death")
    load.wait_for(30)
    scene.cluster.kill(member)
    cluster_module.wait_for(
        "the replacement", lambda: not _is_replacement_pending(scene, member)
    )
    scene.wait_until_serving()
    load.wait_for(30)
    answers = load.stop()
    scene.cluster.restart(member)
    _check_answers(answers)
    assert sum(not answer.is_correct() for answer in answers) <= 6


def test_upstream_pauses_past_its_replacement_and_returns(scene):
    """A VM that resumes after its replacement must not affect any request."""
    victim = scene.list_serving_replicas()[0]
    leader = victim["members"][0]["name"]
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="pause")
    load.wait_for(30)
    scene.cluster.send_signal(leader, signal.SIGSTOP)
    cluster_module.wait_for(
        "the replacement", lambda: not _is_replacement_pending(scene, leader)
    )
    scene.wait_until_serving()
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
    """The VM list lags, so the VM's own status must take effect within 3 s."""
    leader = scene.list_serving_replicas()[0]["members"][0]["name"]
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="leave")
    load.wait_for(30)
    with scene.inject_faults([leader], leaving=True):
        since = _read_time(scene)
        cluster_module.wait_for(
            "the replacement",
            lambda: not _is_replacement_pending(scene, leader),
        )
        scene.wait_until_serving()
        load.wait_for(100)
        _check_answers(load.stop())
        _check_no_late_runs(scene, leader, since)


def test_upstream_leaving_by_the_list_gets_no_new_work(scene):
    """The VM list alone must take effect within 3 s, too."""
    leader = scene.list_serving_replicas()[0]["members"][0]["name"]
    vms = scene.call_standin("inventory", "GET", "/vms")
    marked = [
        {**vm, "state": "leaving"} if vm["name"] == leader else vm for vm in vms
    ]
    load = scene_module.Load(lambda n: scene.get_address(n % 3), name="listed")
    load.wait_for(30)
    scene.call_standin("inventory", "PUT", "/vms", marked)
    try:
        since = _read_time(scene)
        cluster_module.wait_for(
            "the replacement",
            lambda: not _is_replacement_pending(scene, leader),
        )
        scene.wait_until_serving()
        load.wait_for(100)
        _check_answers(load.stop())
        _check_no_late_runs(scene, leader, since)
    finally:
        scene.call_standin("inventory", "PUT", "/vms", vms)


def _is_replacement_pending(scene, name):
    rows = scene.read_replica_rows()
    members = {m["name"] for row in rows for m in row["members"]}
    return len(rows) < 2 or name in members


def _read_time(scene):
    """Returns the current time on the clock of the records."""
    scene.send(0, "a mark in the record")
    return scene.cluster.read_record()[-1]["at"]


def _check_no_late_runs(scene, name, since):
    late = [
        entry
        for entry in scene.cluster.read_record()
        if "ran" in entry
        and entry["vm"] == name
        and entry["at"] > since + LEAVING_BOUND_SECONDS
    ]
    assert not late
    gevent.sleep(0)


def _check_answers(answers):
    """Checks that each answer is correct or reports that it is not."""
    for answer in answers:
        if answer.is_correct():
            continue
        refused = answer.status != 200 and answer.read_error()["run"]
        assert refused or not answer.is_complete, answer
