"""Guards against a model without any group beside idle groups of another."""

import dataclasses

from arbutuscove.fleet import exchange
from arbutuscove.fleet import model
from arbutuscove.fleet import orders
from arbutuscove.fleet import state
from arbutuscove.fleet.tests import test_planner

SECOND = test_planner.SECOND
# Groups of "chat" have two VMs, those of "draft" four.
ENGINE = test_planner.ENGINE


def create_group(number, domain="d0", staged=("draft",), state="open"):
    return [
        test_planner.create_member(
            f"{domain}-{number}-{rank}",
            rank,
            state if rank == 0 else "ready",
            epoch=number,
            last_model="chat",
            staged=staged,
            fabric_domain=domain,
        )
        for rank in range(2)
    ]


def list_closed(found):
    return sorted(
        order.vm.name
        for order in found.orders
        if isinstance(order, orders.Close)
    )


def create_fleet(staged=("draft",)):
    return [
        vm
        for number in range(1, 6)
        for vm in create_group(number, f"d{number % 2}", staged)
    ]


def test_exchange_gives_groups_up_for_a_model_without_any():
    """Guards against requests that all fail for want of one group.

    In the small twin of nilavu-diary-large trouble-1, one model had 4 to 11
    groups from 17 s on and the other none: 340 requests were refused.
    """
    vms = create_fleet()
    begun = test_planner.plan(vms, engine=ENGINE, load_limit=0)
    (found,) = begun.next_state.reallocations
    assert found.model == "draft"
    assert len(found.groups) == 2
    closing = test_planner.plan(
        vms, begun.next_state, now=101 * SECOND, engine=ENGINE, load_limit=0
    )
    closed = list_closed(closing)
    assert len(closed) == 2
    # The heads have ended their work and left.
    ready = [
        dataclasses.replace(
            vm,
            membership=dataclasses.replace(
                vm.membership, state=model.MemberState.READY
            ),
        )
        if vm.name in closed
        else vm
        for vm in vms
    ]
    memory = closing.next_state
    for key in found.groups:
        memory = state.mark_released(memory, key)
    last = test_planner.plan(
        ready, memory, now=104 * SECOND, engine=ENGINE, load_limit=0
    )
    joins = [o for o in last.orders if isinstance(o, orders.Join)]
    assert {order.model for order in joins} == {"draft"}
    assert len(joins) == 4
    assert last.next_state.reallocations == ()


def test_exchange_keeps_the_vms_of_the_first_group_for_the_model():
    """Guards against VMs that go back while the second group still closes."""
    # Both models lack groups, so that either could use what is free.
    vms = create_fleet()
    vms += [
        test_planner.create_vm(f"x{number}", fabric_domain="d9", staged=())
        for number in range(12)
    ]
    begun = test_planner.plan(vms, engine=ENGINE, load_limit=0)
    (found,) = begun.next_state.reallocations
    first = min(found.groups)
    free = [
        dataclasses.replace(vm, membership=None)
        if vm.membership is not None and vm.membership.key == first
        else vm
        for vm in vms
    ]
    later = test_planner.plan(
        free, begun.next_state, now=102 * SECOND, engine=ENGINE, load_limit=0
    )
    assert test_planner.list_joined(later) == []
    late = 100 * SECOND + exchange.MAX_DURATION
    given = test_planner.plan(
        free, begun.next_state, now=late, engine=ENGINE, load_limit=0
    )
    assert len(test_planner.list_joined(given)) == 2


def test_exchange_needs_vms_that_hold_the_model():
    """Guards against groups given up for loads of 16 s."""
    found = test_planner.plan(create_fleet(()), engine=ENGINE, load_limit=0)
    assert found.next_state.reallocations == ()


def test_exchange_leaves_models_alone_that_both_have_few():
    """Guards against groups that go to and fro."""
    vms = create_group(1) + create_group(2)
    vms += [
        test_planner.create_vm(f"x{number}", fabric_domain="d9", staged=())
        for number in range(16)
    ]
    found = test_planner.plan(vms, engine=ENGINE, load_limit=0)
    assert found.next_state.reallocations == ()
