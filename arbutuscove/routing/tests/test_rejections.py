"""Guards against requests that all go first to a replica that rejects them."""

import datetime
import random

import pytest

from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.replicas import model
from arbutuscove.replicas.tests import world
from arbutuscove.routing import service as routing_service
from arbutuscove.upstreams import protocol

SLOTS = 100


class _TwoReplicas:
    """Lists a broken replica without load and a busy one."""

    def __init__(self, clock):
        self._clock = clock
        self.names = ["broken", "sound"]
        self.reported_at = clock.monotonic()

    def list_serving(self, service):
        return [
            model.ServingReplica(
                replica=name,
                service=service,
                fabric_domain="f",
                generation=1,
                leader=protocol.Member(name=name, address=""),
                slots=SLOTS,
                running=0 if name == "broken" else SLOTS // 2,
                queued=0,
                reported_at=self.reported_at,
            )
            for name in self.names
        ]


def _choose(routing, service, clock, **fields):
    now = clock.monotonic()
    work = work_module.Work(
        request_id="q",
        service=service,
        account=None,
        rank=service.ranks[0],
        tokens=1,
        arrived=now,
        deadline=now,
        **fields,
    )
    ticket = routing.choose(work)
    routing.release(ticket)
    return ticket


@pytest.fixture(name="broken")
def broken_fixture():
    clock = clock_module.ManualClock()
    directory = _TwoReplicas(clock)
    routing = routing_service.Routing(
        clock, directory, generator=random.Random(1)
    )
    return clock, directory, routing, world.build_service()


def test_replica_that_rejects_gets_no_more_before_its_next_status(broken):
    """Guards against retries that one broken replica uses up.

    Load pattern: callers that send one request after the other.
    """
    clock, directory, routing, service = broken
    rejected = 0
    for _ in range(40):
        clock.advance(datetime.timedelta(milliseconds=25))
        ticket = _choose(routing, service, clock)
        if ticket.replica.replica == "broken":
            rejected += 1
            routing.record_rejection(ticket)
    assert rejected == 1
    clock.advance(datetime.timedelta(milliseconds=101))
    directory.reported_at = clock.monotonic()
    assert "broken" in {
        _choose(routing, service, clock).replica.replica for _ in range(9)
    }


def test_replicas_that_all_reject_are_still_used(broken):
    """Guards against requests that wait as no replica is left."""
    clock, directory, routing, service = broken
    for _ in range(2):
        routing.record_rejection(_choose(routing, service, clock))
    assert _choose(routing, service, clock) is not None
    directory.names = ["broken"]
    clock.advance(datetime.timedelta(milliseconds=101))
    assert _choose(routing, service, clock).replica.replica == "broken"


def test_retry_does_not_go_where_it_was_lost_for_one_that_rejects(broken):
    """Guards against a second loss at the replica that a retry avoids."""
    clock, _, routing, service = broken
    ticket = _choose(routing, service, clock)
    assert ticket.replica.replica == "broken"
    routing.record_rejection(ticket)
    retried = _choose(routing, service, clock, excluded=frozenset({"sound"}))
    assert retried.replica.replica == "broken"
