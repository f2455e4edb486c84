"""Guards against cut daemons that fail their callers unreported."""

import os
import socket

import pytest

from soak import callers
from soak import faults
from soak import ownership
from soak import partitions

CUT_AT = 100.0
SETTLED_AT = CUT_AT + faults.SETTLE_SECONDS


def _build_record(name, target, started_at, ended_at):
    return faults.Record(
        name=name,
        target=target,
        started_at=started_at,
        seconds=0.0,
        ended_at=ended_at,
    )


CUT = _build_record(
    faults.ENTRY_CUT, "daemon-1,daemon-2", CUT_AT, SETTLED_AT + 2.0
)


def _build_tries(daemon, served, failed, started_at=SETTLED_AT + 1.0):
    return [
        callers.Outcome(
            request_id=f"r{number}",
            route=callers.ROUTES[number % len(callers.ROUTES)],
            daemon=daemon,
            status=200 if number < served else 0,
            started_at=started_at,
            seconds=0.1,
        )
        for number in range(served + failed)
    ]


@pytest.mark.parametrize(
    ("served", "failed", "other_served", "is_broken"),
    [
        (0, 12, 100, True),
        (0, 10, 100, False),
        (89, 11, 100, False),
        (65, 35, 100, True),
        (67, 33, 100, False),
        (40, 60, 60, False),
        (40, 61, 61, True),
    ],
)
def test_cut_daemons_are_compared_with_the_others(
    served, failed, other_served, is_broken
):
    """Guards against a RECOVER check other than the rule as stated."""
    tries = [
        *_build_tries("daemon-1", served, failed),
        *_build_tries("daemon-0", other_served, 100 - other_served),
    ]
    assert bool(partitions.check_cuts(tries, [CUT])) == is_broken


def test_tries_are_counted_from_the_settle_time_to_the_end():
    """Guards against failures outside of the time that the rule names."""
    others = _build_tries("daemon-0", 20, 0)
    for started_at, is_broken in (
        (SETTLED_AT - 0.1, False),
        (SETTLED_AT + 0.1, True),
        (CUT.ended_at - 0.1, True),
        (CUT.ended_at + 0.1, False),
    ):
        tries = others + _build_tries("daemon-2", 0, 20, started_at)
        assert bool(partitions.check_cuts(tries, [CUT])) == is_broken


def test_tries_beside_another_disturbance_are_not_counted():
    """Guards against a report of failures that a kill or a stop causes."""
    tries = _build_tries("daemon-1", 0, 20) + _build_tries("daemon-0", 20, 0)
    kill = _build_record("kill", "daemon-0", CUT_AT, SETTLED_AT)
    crash = _build_record("server_crash", "i-0", CUT_AT, SETTLED_AT)
    assert not partitions.check_cuts(tries, [CUT, kill])
    assert partitions.check_cuts(tries, [CUT, crash])


def test_owners_find_the_connections_that_a_process_opened():
    """Guards against a cut that hits the connections of another process."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        client = socket.create_connection(server.getsockname())
        with client, server.accept()[0] as accepted:
            ends = (accepted.getpeername(), accepted.getsockname())
            other = (("127.0.0.1", 1), accepted.getsockname())
            own = ownership.Owners(lambda: [os.getpid()])
            parent = ownership.Owners(lambda: [os.getppid()])
            assert own.find_owned({ends, other}) == {ends}
            assert not parent.find_owned({ends, other})
