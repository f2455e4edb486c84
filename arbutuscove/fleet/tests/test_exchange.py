"""Guards against a model without any group while another has idle groups."""

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


def list_closed(result):
    return sorted(
        order.vm.name
        for order in result.orders
        if isinstance(order, orders.Close)
    )


def create_fleet(staged=("draft",)):
    return [
        vm
        for number in range(1, 6)
        for vm in create_group(number, f"d{number % 2}", staged)
    ]


def test_exchange_gives_groups_up_for_a_model_without_any():
    """Guards against a model whose requests all fail because it has no group.

    In the small twin of nilavu-diary-large trouble-1, one model had 4 to 11
    groups from 17 s on and the other none: 340 requests were refused.
    """
    vms = create_fleet()
    first_plan = test_planner.plan(vms, engine=ENGINE, load_limit=0)
    (selected,) = first_plan.next_state.reallocations
    assert selected.model == "draft"
    assert len(selected.groups) == 2
    closing_plan = test_planner.plan(
        vms,
        first_plan.next_state,
        now=101 * SECOND,
        engine=ENGINE,
        load_limit=0,
    )
    closed = list_closed(closing_plan)
    assert len(closed) == 2
    # The heads have finished their requests and left.
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
    planner_state = closing_plan.next_state
    for key in selected.groups:
        planner_state = state.mark_released(planner_state, key)
    last_plan = test_planner.plan(
        ready, planner_state, now=104 * SECOND, engine=ENGINE, load_limit=0
    )
    joins = [o for o in last_plan.orders if isinstance(o, orders.Join)]
    assert {order.model for order in joins} == {"draft"}
    assert len(joins) == 4
    assert last_plan.next_state.reallocations == ()


def test_exchange_keeps_the_vms_of_the_first_group_for_the_model():
    """Guards against VMs reused before the second group has closed."""
    # Both models are scarce, so that either could use the free VMs.
    vms = create_fleet()
    vms += [
        test_planner.create_vm(f"x{number}", fabric_domain="d9", staged=())
        for number in range(12)
    ]
    first_plan = test_planner.plan(vms, engine=ENGINE, load_limit=0)
    (selected,) = first_plan.next_state.reallocations
    first = min(selected.groups)
    free = [
        dataclasses.replace(vm, membership=None)
        if vm.membership is not None and vm.membership.key == first
        else vm
        for vm in vms
    ]
    later = test_planner.plan(
        free,
        first_plan.next_state,
        now=102 * SECOND,
        engine=ENGINE,
        load_limit=0,
    )
    assert test_planner.list_joined(later) == []
    late = 100 * SECOND + exchange.MAX_REALLOCATION_DURATION
    expired_plan = test_planner.plan(
        free, first_plan.next_state, now=late, engine=ENGINE, load_limit=0
    )
    assert len(test_planner.list_joined(expired_plan)) == 2


def test_exchange_needs_vms_that_hold_the_model():
    """Guards against groups closed for a model that needs loads of 16 s."""
    result = test_planner.plan(create_fleet(()), engine=ENGINE, load_limit=0)
    assert result.next_state.reallocations == ()


def test_exchange_leaves_models_alone_that_both_have_few():
    """Guards against groups reallocated back and forth."""
    vms = create_group(1) + create_group(2)
    vms += [
        test_planner.create_vm(f"x{number}", fabric_domain="d9", staged=())
        for number in range(16)
    ]
    result = test_planner.plan(vms, engine=ENGINE, load_limit=0)
    assert result.next_state.reallocations == ()
