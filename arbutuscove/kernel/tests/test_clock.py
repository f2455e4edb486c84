"""Guards against a clock that stops while the VM is suspended."""

import time

import gevent

from arbutuscove.kernel import clock


def test_clock_counts_the_time_in_which_the_vm_was_suspended(monkeypatch):
    """Guards against a VM that uses a lease that expired during suspension.

    CLOCK_MONOTONIC stops during a suspension, while another daemon may acquire
    the lease.
    """
    suspended = 0.0

    def read_clock(clock_id):
        elapsed = suspended if clock_id == time.CLOCK_BOOTTIME else 0.0
        return 100.0 + elapsed

    monkeypatch.setattr(time, "clock_gettime", read_clock)
    system_clock = clock.SystemClock()
    started_at = system_clock.monotonic()
    suspended = 7.0
    assert (system_clock.monotonic() - started_at).total_seconds() == 7.0


def test_clock_sleeps_in_its_own_time():
    """Guards against a clock that does not advance with gevent's sleep."""
    system_clock = clock.SystemClock()
    started_at = system_clock.monotonic()
    gevent.sleep(0.05)
    assert 0.04 < (system_clock.monotonic() - started_at).total_seconds() < 5.0
