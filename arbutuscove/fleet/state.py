"""What a plan of groups is made from, and what is remembered between plans."""

import dataclasses
import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import exchange
from arbutuscove.fleet import model
from arbutuscove.fleet import orders

# A VM's name and start, and the model that it copies to its host.
Copy = tuple[str, int, str]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Forming:
    """A group that this holder is forming."""

    group: str
    epoch: int
    model: str
    members: tuple[str, ...]
    since: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """When a VM was last sent an order, and what it said of itself then."""

    time: datetime.timedelta
    membership: model.Membership | None
    started_at_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Memory:
    """What a holder remembers between plans.

    `sent` is when each VM was last sent an order; `staging` names the VMs that
    were told to copy a model, their starts and the model, and says when they
    were told. `released` are groups
    whose absent head no longer serves, `kept` those whose absent member answers
    for itself. `exchanges` are groups that are given up for another model.
    """

    forming: tuple[Forming, ...] = ()
    sent: abc.Mapping[str, Sent] = dataclasses.field(default_factory=dict)
    staging: abc.Mapping[Copy, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    released: frozenset[tuple[str, int]] = frozenset()
    kept: frozenset[tuple[str, int]] = frozenset()
    exchanges: tuple[exchange.Exchange, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Situation:
    """What a plan is made from.

    `vms` are all listed VMs of the service, leaving ones too. `stalled` are
    groups that move nothing, seen by the daemons that use them; `silent` are
    VMs that gave no answer a moment ago. `next_epoch` is above all epochs given
    before. `loads` is how many loads from the weight store may begin now. While
    not `settled`, VMs are still being listed, and no group is formed. Once
    callers have `started`, loads take their full time.
    """

    engine: catalog_model.Engine
    vms: tuple[model.Vm, ...]
    now: datetime.timedelta
    next_epoch: int
    loads: int
    stalled: frozenset[tuple[str, int]] = frozenset()
    silent: frozenset[str] = frozenset()
    settled: bool = True
    started: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """Orders to send now, and what to remember.

    `unclear` are groups with a missing member or head, whose VMs have to be
    asked before they are used again.
    """

    orders: tuple[orders.Order, ...]
    memory: Memory
    next_epoch: int
    unclear: tuple[model.Group, ...]


def release(memory: Memory, key: tuple[str, int]) -> Memory:
    """Returns the memory after a group's absent head was found gone."""
    return dataclasses.replace(memory, released=memory.released | {key})


def keep(memory: Memory, key: tuple[str, int]) -> Memory:
    """Returns the memory after each member answered for itself."""
    return dataclasses.replace(memory, kept=memory.kept | {key})


def forget_copy(memory: Memory, copy: Copy) -> Memory:
    """Returns the memory after a VM refused to copy a model."""
    staging = {
        found: since for found, since in memory.staging.items() if found != copy
    }
    return dataclasses.replace(memory, staging=staging)
