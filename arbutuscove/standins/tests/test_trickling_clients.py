"""Guards against clients that keep connections and send next to nothing.

The ordinary caller has the address of the crowd, as behind a shared one.
"""

import resource

import pytest

from arbutuscove.standins.tests import hostile

FACES = {
    "platform": hostile.PlatformDaemon,
    "own": hostile.OwnDaemon,
}
BEGIN_SECONDS = 4.0  # until all clients have connected
ORDINARY_REQUESTS = 3


@pytest.fixture(params=FACES)
def daemon(request, tmp_path, monkeypatch):
    """A daemon of either face on a VM with few descriptors."""
    monkeypatch.setenv("ARBUTUSCOVE_MEMORY_MB", str(hostile.MEMORY_MB))
    running = FACES[request.param](tmp_path)
    limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    try:
        # `arbutuscoved` reads its limit when it starts.
        resource.setrlimit(
            resource.RLIMIT_NOFILE, (hostile.MAX_DESCRIPTORS, limits[1])
        )
        running.wait_until_serving()
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        yield running
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        running.stop()


def _check(daemon, kinds):
    """Checks that ordinary requests are served while a crowd stays."""
    crowd = hostile.Crowd(daemon)
    crowd.begin(kinds, BEGIN_SECONDS)
    try:
        _check_served(daemon)
    finally:
        crowd.leave()


def _check_served(daemon):
    for _ in range(ORDINARY_REQUESTS):
        status, body = daemon.send(b'{"small": 1}')
        assert status == 200, body
        assert b"small" in body
    assert daemon.is_alive()
    assert daemon.measure_peak_mb() < hostile.MEMORY_MB
    assert daemon.count_descriptors() < hostile.MAX_DESCRIPTORS


@pytest.mark.parametrize(
    "kind", hostile.TRICKLES, ids=lambda kind: kind.__name__
)
def test_caller_is_served_beside_clients_that_trickle(daemon, kind):
    """Guards against places that are held by requests without progress."""
    _check(daemon, [kind] * hostile.TRICKLE_CROWD)


def test_caller_is_served_beside_all_kinds_of_trickles(daemon):
    """Guards against an order of giving way that spares one of them."""
    count = hostile.TRICKLE_CROWD // len(hostile.TRICKLES) + 1
    _check(daemon, hostile.TRICKLES * count)


@pytest.mark.parametrize(
    "kind",
    [hostile.trickle_small_body, hostile.send_nothing],
    ids=lambda kind: kind.__name__,
)
def test_crowds_at_all_addresses_leave_descriptors(daemon, kind):
    """Guards against places that each address of a daemon has once more.

    The crowds come from many hosts, so that no rule by address helps.
    """
    crowd = hostile.Crowd(daemon)
    crowd.begin_everywhere(kind, BEGIN_SECONDS)
    try:
        _check_served(daemon)
    finally:
        crowd.leave()


@pytest.mark.parametrize("daemon", ["own"], indirect=True)
def test_silent_connections_of_peers_leave_descriptors(daemon):
    """Guards against connections to the address for peers without a bound."""
    crowd = hostile.Crowd(daemon)
    kinds = [hostile.send_nothing] * hostile.PEER_CROWD
    crowd.begin(kinds, BEGIN_SECONDS, daemon.find_peer_address())
    try:
        # While all are open, and not only once they have timed out.
        assert daemon.count_descriptors() < hostile.MAX_DESCRIPTORS
        _check_served(daemon)
    finally:
        crowd.leave()
