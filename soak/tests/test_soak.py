"""Guards against promises broken under faults; short runs of kept seeds."""

import pytest

from soak import run

SECONDS = 6.0


# Seeds that failed once stay here, each with its cause.
# 121: two overlapping kills each started the daemon again; the second process
# found its ports taken and ended (a fault of the soak).
# 300: two planned stops of one daemon each started it again (the same).
FAILED_SEEDS = [121, 300]


@pytest.mark.parametrize("seed", [1, 2, *FAILED_SEEDS])
def test_soak_keeps_promises(seed):
    """Guards against a promise that random faults break."""
    report = run.run_seed(seed, SECONDS, logs=None)
    assert not report.violations, report.describe()
    assert report.faults
    assert any(outcome.status == 200 for outcome in report.outcomes)
