"""Tests that choices follow the configuration of a service."""

import dataclasses
import random

import pytest

from arbutuscove.admission import work as work_module
from arbutuscove.kernel import clock as clock_module
from arbutuscove.replicas import model
from arbutuscove.routing import service as routing_service
from arbutuscove.upstreams import protocol
from bench import users

SLOTS = 100


class _Directory:
    """Lists one idle replica whose report is always current."""

    def __init__(self, clock):
        self._clock = clock

    def list_serving(self, service):
        return [
            model.ServingReplica(
                replica="r",
                service=service,
                fabric_domain="f",
                generation=1,
                leader=protocol.Member(name="r", address=""),
                slots=SLOTS,
                running=0,
                queued=0,
                reported_at=self._clock.monotonic(),
            )
        ]


def _configure(**shares):
    service = users.SIAM.build_service()
    backend = dataclasses.replace(service.model, **shares)
    return dataclasses.replace(service, model=backend)


def _fill(routing, service):
    work = work_module.Work(
        request_id="q",
        service=service,
        account=service.accounts[0],
        rank=service.ranks[-1],
        tokens=1,
        arrived=clock_module.ManualClock().monotonic(),
        deadline=clock_module.ManualClock().monotonic(),
    )
    tickets = []
    while (ticket := routing.choose(work)) is not None:
        tickets.append(ticket)
    for ticket in tickets:
        routing.release(ticket)
    return len(tickets)


@pytest.mark.parametrize(
    ("shares", "bulk_slots"),
    [
        ({}, 75),
        ({"headroom": 0.4}, 60),
        ({"urgent_share": 0.1}, 80),
        ({"headroom": 0.12, "urgent_share": 0.05}, 88),
    ],
)
def test_routing_uses_configured_shares(shares, bulk_slots):
    """Guards against keeping the same slots free for every configuration."""
    clock = clock_module.ManualClock()
    routing = routing_service.Routing(
        clock, _Directory(clock), generator=random.Random(1)
    )
    assert _fill(routing, _configure(**shares)) == bulk_slots


def test_routing_accepted_change_takes_effect():
    """A setting that is read only once would require a restart to change."""
    clock = clock_module.ManualClock()
    routing = routing_service.Routing(
        clock, _Directory(clock), generator=random.Random(1)
    )
    assert _fill(routing, _configure()) == 75
    clock.advance(routing_service.MAX_VIEW_AGE)
    assert _fill(routing, _configure(headroom=0.4)) == 60
