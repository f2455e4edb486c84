"""Guards against a planned stop that lasts longer than its grace period."""

import datetime

import pytest

from arbutuscove.kernel import shutdown

SECOND = datetime.timedelta(seconds=1)


@pytest.mark.parametrize("accept_seconds", [0, 3, 31])
@pytest.mark.parametrize("grace_seconds", [0.2, 0.5, 1, 2, 3, 3.5, 8, 632])
def test_shutdown_times_lie_in_the_grace_period(grace_seconds, accept_seconds):
    """Guards against requests accepted until the process is killed."""
    schedule = shutdown.plan_stop(
        SECOND, grace_seconds * SECOND, accept_seconds * SECOND
    )
    assert SECOND <= schedule.refuse_at < schedule.cutoff < schedule.exit_at
    assert schedule.exit_at < (1 + grace_seconds) * SECOND
