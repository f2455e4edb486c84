"""Guards against promises broken under random faults; short runs."""

import pytest

from soak import run

SECONDS = 6.0


# Seeds that once failed, each with its cause.
# 121: two overlapping kills each restarted the daemon; the ports were already
# in use, so the second process exited (a fault of the soak test).
# 300: two planned stops of one daemon each restarted it (the same fault).
FAILED_SEEDS = [121, 300]


@pytest.mark.parametrize("seed", [1, 2, *FAILED_SEEDS])
def test_soak_keeps_promises(seed):
    """Guards against a promise that random faults break."""
    report = run.run_seed(seed, SECONDS, logs=None)
    assert not report.violations, report.describe()
    assert report.faults
    assert any(outcome.status == 200 for outcome in report.outcomes)


# 1: all servers of a service were silent for over a second, and streams were
# closed without an answer although the servers went on.
@pytest.mark.parametrize("seed", [1])
def test_planned_work_and_silent_servers_lose_no_request(seed):
    """Guards against requests without an answer beside planned work."""
    report = run.run_seed(seed, SECONDS, logs=None, is_planned_only=True)
    assert not report.violations, report.describe()
    assert {"server_silent"} <= {fault.name for fault in report.faults}
    assert any(outcome.status == 200 for outcome in report.outcomes)
