"""Guards the exchange of loads between services and between daemons."""

import pytest

from arbutuscove.admission import service as admission_service
from arbutuscove.daemon import assembly
from arbutuscove.daemon import settings as settings_module
from arbutuscove.membership import service as membership_service
from arbutuscove.routing import credits
from arbutuscove.routing import service as routing_service

FLOORS = (0.4, 0.2, 0.1)
LOADS = {
    "entry-1": (5, 3, 20, 0),
    "entry-2": (0, 40, 900, 2),
    "entry-3": (1, 0, 0, 0),
}


class _Daemon:
    """An assembled daemon whose services are not started."""

    def __init__(self, name):
        address = "127.0.0.1:0"  # only the peer server binds before the start
        service = "127.0.0.1:1"  # nothing is sent to it before the start
        kernel = assembly.build_kernel(
            settings_module.Settings(
                name=name,
                region="r",
                failure_domain="f",
                listen=address,
                admin_listen=address,
                peer_listen=address,
                advertise=address,
                peer_advertise=address,
                peers=(),
                table=service,
                objects=service,
                inventory=service,
                resume_secret="0123456789abcdef",
                admin_key_digest="0" * 64,
                keep_seconds=30.0,
            )
        )
        self.membership = kernel.get_service(
            membership_service.SERVICE_NAME, membership_service.Membership
        )
        self._admission = kernel.get_service(
            admission_service.SERVICE_NAME, admission_service.Admission
        )
        self._routing = kernel.get_service(
            routing_service.SERVICE_NAME, routing_service.Routing
        )

    def publish(self, loads):
        self._admission._publish_loads(loads)

    def receive_gossip(self, other):
        self.membership.answer_probe(other.membership._build_gossip(""))

    def read_demands(self):
        return self._routing._read_demands()


@pytest.fixture(name="daemons")
def build_daemons():
    daemons = {name: _Daemon(name) for name in LOADS}
    for name, daemon in daemons.items():
        daemon.publish(LOADS[name])
    for daemon in daemons.values():
        for other in daemons.values():
            if other is not daemon:
                daemon.receive_gossip(other)
    return daemons


def test_assembly_division_uses_loads_by_rank(daemons):
    """Guards against credits that are divided by totals alone.

    A flood of bulk requests on one daemon would then reduce the urgent credits
    of the others.
    """
    for name, daemon in daemons.items():
        demands = daemon.read_demands()
        assert demands == credits.Demands(own=name, loads=LOADS)
        division = credits.divide(demands, FLOORS, 144, 48)
        assert len(division.floors) == len(FLOORS)


def test_assembly_division_with_older_member_uses_totals(daemons):
    """Guards against a total that is combined with loads by rank.

    The total would count as urgent work.
    """
    gossip = daemons["entry-2"].membership._build_gossip("")
    del gossip.sender.rank_loads[:]
    daemons["entry-1"].membership.answer_probe(gossip)
    loads = {name: (sum(load),) for name, load in LOADS.items()}
    assert daemons["entry-1"].read_demands().loads == loads


def test_assembly_division_of_idle_fleet(daemons):
    """Guards against an idle daemon that is assigned no credits.

    Daemons that have not received any request publish no loads by rank.
    """
    for daemon in daemons.values():
        daemon.publish(())
        for other in daemons.values():
            if other is not daemon:
                other.receive_gossip(daemon)
    for daemon in daemons.values():
        division = credits.divide(daemon.read_demands(), FLOORS, 144, 48)
        assert division.common.end > division.common.start
