"""Guards against contents that crash one server after the other."""

import pytest

from soak import deadly

GROUPS = {"route": "stream", "grouped_count": 12, "plain_count": 1}
LOADS = {
    "plain": deadly.Load(),
    "plain-left": deadly.Load(leave_seconds=0.03),
    "plain-left-early": deadly.Load(
        leave_seconds=0.3, plan=deadly.build_plan(delay_seconds=0.5)
    ),
    "head-left": deadly.Load(**GROUPS, per_second=4.0, leave_seconds=0.03),
    "no-head": deadly.Load(
        **GROUPS, per_second=4.0, plan=deadly.build_plan(has_head=False)
    ),
    "no-head-left": deadly.Load(
        **GROUPS,
        per_second=4.0,
        leave_seconds=0.03,
        plan=deadly.build_plan(has_head=False),
    ),
}


@pytest.mark.parametrize("name", LOADS)
def test_content_that_crashes_servers_reaches_few_after_its_third_crash(
    tmp_path, name
):
    """Guards against crashes that no attempt is left to see.

    Callers stay, or leave before the crash; the head of the answer comes before
    it, or never.
    """
    report = deadly.run_seed(tmp_path, 2, LOADS[name])
    assert not report.list_broken(), report


# 103: sound requests sent to daemons that had been killed counted as refused
# ones (a fault of the soak test); kills follow each other for most of the run.
@pytest.mark.parametrize(("seed", "seconds"), [(100, 15.0), (103, 25.0)])
def test_deadly_contents_beside_faults_reach_few_servers(
    tmp_path, seed, seconds
):
    """Guards against evidence that restarts and pauses of daemons lose."""
    load = deadly.draw_load(seed, seconds)
    report = deadly.run_seed(tmp_path, seed, load)
    assert not report.list_broken(), report
    assert report.faults
