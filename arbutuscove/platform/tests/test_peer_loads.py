"""Guards against wrong sums of the requests that other daemons report."""

from arbutuscove.gossip.tests import test_digest
from arbutuscove.platform import peer_loads


def create_heartbeat(name, domain, **fields):
    return test_digest.create_heartbeat(name, failure_domain=domain, **fields)


def test_loads_are_summed_by_domain():
    """Guards against demand that counts for another failure domain."""
    loads = peer_loads.sum_loads(
        [
            create_heartbeat("x", "a", loads={1: 2, 2: 1}),
            create_heartbeat("y", "a", loads={1: 1}, demand=(("s", "m", 4),)),
            create_heartbeat("z", "b", loads={2: 5}),
        ],
        fleet=4,
    )
    assert loads.daemons == 3
    assert loads.running == {1: 3, 2: 6}
    assert loads.by_domain == {"a": {1: 3, 2: 1}, "b": {2: 5}}
    assert loads.waiting["a"] == {("s", "m"): 4}
    assert loads.by_daemon["y"].running == {1: 1}
    assert loads.by_daemon["y"].waiting == {("s", "m"): 4}


def test_loads_of_few_daemons_give_no_demand():
    """Guards against demand that is too low as most daemons are not heard."""
    heartbeat = create_heartbeat("x", "a", loads={1: 2})
    assert peer_loads.sum_loads([heartbeat], fleet=4).by_domain is not None
    assert peer_loads.sum_loads([heartbeat], fleet=5).by_domain is None
    assert peer_loads.sum_loads([], fleet=1).by_domain is None


def test_reported_queues_are_bounded():
    """Guards against heartbeats and counts that grow without bound."""
    queues = [((f"s{number:02}", ""), number) for number in range(40)]
    rows = peer_loads.encode_waiting(queues)
    assert len(rows) == peer_loads.MAX_REPORTED_POOLS
    assert rows[0] == ("s39", "", 39)
    heartbeat = create_heartbeat("x", "a", demand=(("s", "m", 2**62),))
    loads = peer_loads.sum_loads([heartbeat], fleet=2)
    assert loads.waiting["a"]["s", "m"] == peer_loads.MAX_REPORTED_REQUESTS
    assert loads.by_daemon["x"].waiting == {
        ("s", "m"): peer_loads.MAX_REPORTED_REQUESTS
    }
