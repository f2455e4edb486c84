"""The part of a plan that pauses while failure domains are evacuated.

VMs of an evacuated failure domain are sent no orders, and the plan for the
others is computed as if they were absent. What the planner knows of them is
kept, so that it goes on where it stopped once they come back.
"""

import dataclasses
import datetime

from arbutuscove.fleet import state


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Paused:
    """The VMs to leave out, by name, and the groups that have one of them.

    `forming` are the groups being formed that have one of them.
    """

    vms: frozenset[str] = frozenset()
    groups: frozenset[tuple[str, int]] = frozenset()
    forming: tuple[state.FormingGroup, ...] = ()


def find_paused(
    plan_input: state.PlanInput, planner_state: state.PlannerState
) -> Paused:
    """Returns what the plan leaves out.

    Groups and formations pause as a whole, also if only some of their members
    are in an evacuated domain.
    """
    if not plan_input.evacuated:
        return Paused()
    evacuated = [
        vm for vm in plan_input.vms if vm.failure_domain in plan_input.evacuated
    ]
    names = {vm.name for vm in evacuated}
    forming = tuple(
        pending
        for pending in planner_state.forming
        if not names.isdisjoint(pending.members)
    )
    keys = {vm.membership.key for vm in evacuated if vm.membership is not None}
    names.update(name for pending in forming for name in pending.members)
    names.update(
        vm.name
        for vm in plan_input.vms
        if vm.membership is not None and vm.membership.key in keys
    )
    return Paused(vms=frozenset(names), groups=frozenset(keys), forming=forming)


def leave_out(plan_input: state.PlanInput, paused: Paused) -> state.PlanInput:
    """Returns the input without the paused VMs."""
    vms = tuple(vm for vm in plan_input.vms if vm.name not in paused.vms)
    return dataclasses.replace(plan_input, vms=vms)


def leave_out_state(
    planner_state: state.PlannerState, paused: Paused
) -> state.PlannerState:
    """Returns the planner's state without the paused formations."""
    forming = tuple(
        pending
        for pending in planner_state.forming
        if pending not in paused.forming
    )
    return dataclasses.replace(planner_state, forming=forming)


def add_back(
    next_state: state.PlannerState,
    before: state.PlannerState,
    paused: Paused,
    now: datetime.timedelta,
) -> state.PlannerState:
    """Returns the next state with what pauses, as it was before.

    Args:
        next_state: the state after a plan without the paused VMs.
        before: the state before that plan.
        paused: what the plan left out.
        now: monotonic time; the time that a formation may take begins anew.
    """
    forming = tuple(
        dataclasses.replace(pending, since=now) for pending in paused.forming
    )
    last_orders = {
        name: last
        for name, last in before.last_orders.items()
        if name in paused.vms
    }
    staging = {
        key: since
        for key, since in before.staging.items()
        if key[0] in paused.vms
    }
    return dataclasses.replace(
        next_state,
        forming=(*next_state.forming, *forming),
        last_orders={**next_state.last_orders, **last_orders},
        staging={**next_state.staging, **staging},
        released=next_state.released | (before.released & paused.groups),
        confirmed=next_state.confirmed | (before.confirmed & paused.groups),
    )
