"""Guards against connections of other daemons cut by a planned stop."""

import datetime

import pytest

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import shutdown
from arbutuscove.platform import paths

SECOND = datetime.timedelta(seconds=1)


class Server:
    """Carries one connection until a time."""

    def __init__(self, clock, until):
        self._clock = clock
        self._until = until

    @property
    def open_count(self):
        return int(self._clock.monotonic() < self._until)


@pytest.mark.parametrize(("lasting", "expected"), [(0, 0), (3, 3), (60, 7.6)])
def test_stop_waits_for_carried_connections(lasting, expected):
    """Guards against a stop that cuts what it carries, or outlasts its grace.

    The grace period is 8 s.
    """
    clock = clock_module.ManualClock()
    begun_at = clock.monotonic()
    stop = shutdown.Shutdown()
    stop.begin(shutdown.plan_stop(begun_at, 8 * SECOND, 3 * SECOND))
    server = Server(clock, begun_at + lasting * SECOND)
    paths.CarrierDrain(clock, server, stop).drain()
    passed = clock.monotonic() - begun_at
    assert abs(passed - expected * SECOND) <= paths.DRAIN_POLL_INTERVAL
