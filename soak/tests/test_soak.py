"""Guards against promises broken under faults; short runs of kept seeds."""

import pytest

from soak import run

SECONDS = 6.0


@pytest.mark.parametrize("seed", [1, 2])
def test_soak_keeps_promises(seed):
    """Guards against a promise that random faults break."""
    report = run.run_seed(seed, SECONDS, logs=None)
    assert not report.violations, report.describe()
    assert report.faults
    assert any(outcome.status == 200 for outcome in report.outcomes)
