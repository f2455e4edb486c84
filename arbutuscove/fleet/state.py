"""The input and output of the planner, and its state between two plans."""

import dataclasses
import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import exchange
from arbutuscove.fleet import model
from arbutuscove.fleet import orders

# Name and start time of a VM, and the model that it copies to its host.
StagingKey = tuple[str, int, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FormingGroup:
    """A group whose members have been chosen and are being joined.

    `since` is the monotonic time at which the members were chosen.
    """

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentOrder:
    """The last order to a VM: when it was sent, and the VM's state then."""

    time: datetime.timedelta
    membership: model.Membership | None
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlannerState:
    """State that one lease holder carries from plan to plan.

    `forming` are groups that are not complete yet. `last_orders` has the last
    order of each VM, by name. `staging` has the model copies in progress and
    the monotonic time at which each was ordered. `released` are groups whose
    head is not listed and has been found to serve no longer; their members may
    be reused. `confirmed` are groups with a missing member in which every
    member, when probed, has confirmed its membership. `reallocations` are
    groups that are closed for the benefit of another model.
    """

    forming: tuple[FormingGroup, ...] = ()
    last_orders: abc.Mapping[str, SentOrder] = dataclasses.field(
        default_factory=dict
    )
    staging: abc.Mapping[StagingKey, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    released: frozenset[tuple[str, int]] = frozenset()
    confirmed: frozenset[tuple[str, int]] = frozenset()
    reallocations: tuple[exchange.Reallocation, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlanInput:
    """Snapshot of a service from which a plan is computed.

    `vms` are all listed VMs of the service, including those that are leaving.
    `now` is monotonic time. `next_epoch` is greater than every epoch assigned
    before. `load_limit` is how many loads from the weight store may begin now.
    `stalled` are groups that make no progress according to the daemons that
    use them. `unresponsive` are VMs that recently did not respond. `withheld`
    are VMs in no group that may join none yet, as their former one may serve.
    As long as `is_list_stable` is false, VMs are still being added to the list,
    and no group is formed. `has_traffic` is true once callers have sent
    requests; from then on, loads take their full time. `evacuated` are failure
    domains whose VMs are to be sent nothing; what runs there comes back later.
    `pending` are VMs whose last order is not answered yet, and `finished` says
    when that to another VM was.
    """

    engine: catalog_model.Engine
    vms: tuple[model.Vm, ...]
    now: datetime.timedelta
    next_epoch: int
    load_limit: int
    stalled: frozenset[tuple[str, int]] = frozenset()
    unresponsive: frozenset[str] = frozenset()
    withheld: frozenset[str] = frozenset()
    is_list_stable: bool = True
    has_traffic: bool = True
    evacuated: frozenset[str] = frozenset()
    pending: frozenset[str] = frozenset()
    finished: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Orders to send now, and the planner's state afterwards.

    `unverified` are groups whose head or another member is not listed, and
    open groups that are stalled. Their VMs must be probed before they are
    reused.
    """

    orders: tuple[orders.Order, ...]
    next_state: PlannerState
    next_epoch: int
    unverified: tuple[model.Group, ...]


def mark_released(
    planner_state: PlannerState, key: tuple[str, int]
) -> PlannerState:
    """Records that the unlisted head of a group no longer serves.

    Args:
        planner_state: the state before.
        key: name and epoch of the group.

    Returns:
        The state after.
    """
    return dataclasses.replace(
        planner_state, released=planner_state.released | {key}
    )


def mark_confirmed(
    planner_state: PlannerState, key: tuple[str, int]
) -> PlannerState:
    """Records that each member of a group has confirmed its membership.

    Args:
        planner_state: the state before.
        key: name and epoch of the group.

    Returns:
        The state after.
    """
    return dataclasses.replace(
        planner_state, confirmed=planner_state.confirmed | {key}
    )


def remove_staging(
    planner_state: PlannerState, rejected: StagingKey
) -> PlannerState:
    """Removes a model copy that its VM has rejected.

    Args:
        planner_state: the state before.
        rejected: the VM and the model of the copy.

    Returns:
        The state after.
    """
    staging = {
        key: since
        for key, since in planner_state.staging.items()
        if key != rejected
    }
    return dataclasses.replace(planner_state, staging=staging)
