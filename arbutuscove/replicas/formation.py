"""Decides which VMs of a fabric domain form which replica.

A pure function of what one controller sees. Its decisions become effective
only through the transaction that moves the VM rows and the replica row
together, so a decision made on an outdated view changes nothing.

A replica that has lost a member is *broken*, and what is left of it are its
*remains*. Repairs go in order of the worth that they restore, each from the
cheapest source that suffices: the replica's reserved spares, then free VMs,
then spares of its siblings and the remains of replicas of lower value; if
none suffices, distrusted VMs that are free; else the replica is dissolved,
which frees its approved accelerators for a rebuild elsewhere. Only whole
replicas count, so spares are reserved last, from VMs that cannot form one.

A distrusted VM is the last resort because it may fail again soon. Leaving it
out of a replica that only it can complete strands all other VMs of that
replica as well, for up to an hour.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.config import model as config_model
from arbutuscove.replicas import model
from arbutuscove.replicas import serving
from arbutuscove.replicas import worth
from arbutuscove.storage import inventory
from arbutuscove.upstreams import protocol

LOST_AFTER = datetime.timedelta(seconds=5)  # without a status from a member
# A whole domain that goes silent is more often the reader's own network for a
# moment than an outage, and rebuilding a domain costs many loads.
DARK_AFTER = datetime.timedelta(seconds=10)
# Entries have read the phase of the row by then (once a second) and work sent
# before that shows in the leader's status.
DRAIN_NOTICE = datetime.timedelta(seconds=4)
DRAIN_LIMIT = datetime.timedelta(seconds=600)  # the longest request deadline
SURGE = 1  # replicas beyond the promised number while versions roll


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """What a controller knows of its fabric domain.

    `stuck` are members that answer but do not become ready in their
    replica's generation. `others` are the replicas of other fabric domains
    and `fleet` is the whole VM list. `draining_since` is when this
    controller first saw a replica in its present phase, `watching_since` when
    it began to read statuses.
    """

    now: datetime.timedelta
    fabric_domain: str
    services: tuple[config_model.Service, ...]
    vms: abc.Mapping[str, inventory.Vm]
    assigned: abc.Mapping[str, model.VmRow]
    replicas: abc.Mapping[str, model.ReplicaRow]
    capacity: abc.Mapping[str, model.CapacityRow]
    seen: abc.Mapping[str, model.StatusReport]
    others: abc.Mapping[str, model.ReplicaRow] = dataclasses.field(
        default_factory=dict
    )
    fleet: abc.Mapping[str, inventory.Vm] = dataclasses.field(
        default_factory=dict
    )
    distrusted: frozenset[str] = frozenset()
    stuck: frozenset[str] = frozenset()
    draining_since: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    watching_since: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Form:
    """Create a replica of a service from free VMs."""

    service: config_model.Service
    members: tuple[inventory.Vm, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replace:
    """Give a replica these members and spares; it then takes work.

    The generation is a new one exactly if the members change.
    """

    row: model.ReplicaRow
    generation: int
    members: tuple[protocol.Member, ...]
    spares: tuple[protocol.Member, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Give a replica no new work."""

    row: model.ReplicaRow
    phase: model.Phase
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dissolve:
    """Free all VMs of a replica."""

    row: model.ReplicaRow
    reason: str


Decision = Form | Replace | Drain | Dissolve


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Broken:
    """A replica to repair; `kept` are its remains."""

    row: model.ReplicaRow
    kept: tuple[protocol.Member, ...]
    value: float


class _Draft:
    """A plan in progress: what is decided, and which VMs are still free."""

    def __init__(self, view: View) -> None:
        free = [vm for vm in view.vms.values() if _is_free(view, vm)]
        free.sort(key=lambda vm: vm.name)
        distrusted = view.distrusted
        self.pool = [vm for vm in free if vm.name not in distrusted]
        self.last_resort = [vm for vm in free if vm.name in distrusted]
        self.decisions: list[Decision] = []
        self.settled: set[str] = set()

    def add(self, decision: Decision) -> None:
        self.decisions.append(decision)
        if not isinstance(decision, Form):
            self.settled.add(decision.row.replica)

    def take(self, view: View, wanted: str, count: int) -> list[inventory.Vm]:
        # VMs that hold the weights already save a load.
        ordered = sorted(
            self.pool,
            key=lambda vm: (
                vm.name in view.distrusted,
                _reported_model(view, vm.name) != wanted,
                vm.name,
            ),
        )
        taken = ordered[:count]
        self.pool = [vm for vm in self.pool if vm not in taken]
        return taken

    def add_last_resort(self, count: int) -> None:
        """Moves free VMs that are distrusted to the pool."""
        self.pool += self.last_resort[:count]
        del self.last_resort[:count]


def plan(view: View) -> list[Decision]:
    """Returns what the controller should do now, most urgent first."""
    if not _can_judge(view):
        return []
    draft = _Draft(view)
    _adopt_repairs(view, draft)
    if not _may_be_blind(view):
        _settle_ends(view, draft)
        _repair(view, draft)
    _form(view, draft)
    _trim(view, draft)
    _reserve_spares(view, draft)
    return draft.decisions


def plan_outage(view: View) -> list[Replace]:
    """Returns the repairs that written plans permit without the table.

    Only a replica's own spares take part, and none of its VMs may report
    another replica: that shows that the table has moved on since the plan was
    read.
    """
    if not _can_judge(view) or _may_be_blind(view):
        return []
    repairs = []
    for row in view.replicas.values():
        if row.phase != model.Phase.SERVING or _is_superseded(view, row):
            continue
        current = serving.find_effective(row, view.seen)
        gone = [m for m in current.members if _is_gone(view, m.name)]
        spares = [m for m in current.spares if _is_usable(view, m.name)]
        if not gone or len(spares) < len(gone):
            continue
        kept = tuple(m for m in current.members if m not in gone)
        chosen = tuple(spares[: len(gone)])
        repairs.append(
            Replace(
                row=row,
                generation=_next_generation(view, row),
                members=kept + chosen,
                spares=tuple(m for m in current.spares if m not in chosen),
                reason="a member is lost while the table is down",
            )
        )
    return repairs


def choose_preloads(view: View) -> dict[str, str]:
    """Returns which weights VMs outside replicas should load ahead.

    Spares load their replica's model, and free VMs that of the most valuable
    service, while they are distrusted too. A repair with them then costs a
    regroup instead of a load.
    """
    services = [service for service in view.services if service.model]
    if not services:
        return {}
    best = max(services, key=worth.weigh_service).model
    assert best is not None
    wanted = {
        name: best.model for name in view.vms if name not in view.assigned
    }
    for row in view.replicas.values():
        wanted.update({member.name: row.model for member in row.spares})
    return {
        name: kind
        for name, kind in wanted.items()
        if name in view.vms
        and not _is_lost(view, name)
        and not view.seen[name].status.replica
        and view.seen[name].status.model != kind
    }


def weigh_replica(view: View, row: model.ReplicaRow) -> float:
    """Returns the value of completing a replica, worth per load time."""
    service = _find_service(view, row.service)
    if service is None:
        return 0.0
    names = [member.name for member in row.members]
    loads = worth.count_loads(names, row.model, view.seen)
    count = _count_serving(view, row.service)
    return worth.weigh_repair(service, count, loads)


def _can_judge(view: View) -> bool:
    # A controller that reads no VM at all is cut off itself.
    sighted = any(
        view.now - report.requested_at <= LOST_AFTER
        for report in view.seen.values()
    )
    # Shortly after the start, a VM without a status may not be lost.
    complete = all(name in view.seen for name in view.vms)
    return sighted and (
        complete or view.now - view.watching_since >= LOST_AFTER
    )


def _may_be_blind(view: View) -> bool:
    newest = max(
        (
            view.seen[name].requested_at
            for name in view.vms
            if name in view.seen
        ),
        default=view.watching_since,
    )
    age = view.now - newest
    if any(not _is_silent(view, name) for name in view.vms):
        return False
    return age < DARK_AFTER or not _can_rebuild_elsewhere(view)


def _can_rebuild_elsewhere(view: View) -> bool:
    # Replicas of a dark domain come back whole with it. Dissolving them only
    # helps where another domain has the VMs for one.
    used = {
        member.name
        for row in view.others.values()
        for member in row.members + row.spares
    }
    free: dict[str, int] = {}
    for name, vm in view.fleet.items():
        report = view.seen.get(name)
        fresh = (
            report is not None and view.now - report.requested_at <= LOST_AFTER
        )
        if fresh and name not in used and name not in view.vms:
            domain = vm.fabric_domain
            free[domain] = free.get(domain, 0) + 1
    sizes = [len(row.members) for row in view.replicas.values()]
    return max(free.values(), default=0) >= min(sizes, default=0)


def _adopt_repairs(view: View, draft: _Draft) -> None:
    for row in view.replicas.values():
        current = serving.find_effective(row, view.seen)
        if current is row:
            continue
        if not _agree(view, current):
            _raise_generation(view, draft, row)
            continue
        draft.add(
            Replace(
                row=row,
                generation=current.generation,
                members=current.members,
                spares=current.spares,
                reason="repaired from its plan while the table was down",
            )
        )


def _raise_generation(view: View, draft: _Draft, row: model.ReplicaRow) -> None:
    # A half-done repair left VMs in a generation above the row's. Orders of
    # the row's generation would take them back to a lower one.
    if any(_is_gone(view, member.name) for member in row.members):
        return
    draft.add(
        Replace(
            row=row,
            generation=_next_generation(view, row),
            members=row.members,
            spares=row.spares,
            reason="a repair made while the table was down is incomplete",
        )
    )


def _agree(view: View, row: model.ReplicaRow) -> bool:
    names = tuple(member.name for member in row.members)
    reports = [view.seen[name].status for name in names if name in view.seen]
    return len(reports) == len(names) and all(
        (status.replica, status.generation, status.members)
        == (row.replica, row.generation, names)
        for status in reports
    )


def _settle_ends(view: View, draft: _Draft) -> None:
    for row in _unsettled(view, draft):
        service = _find_service(view, row.service)
        broken = any(_is_gone(view, m.name) for m in row.members)
        leaving = any(_is_leaving(view, m.name) for m in row.members)
        ended = broken or _is_drained(view, row)
        if service is None or _is_outdated(service, row):
            if ended:
                draft.add(Dissolve(row=row, reason="its version is not wanted"))
            elif row.phase == model.Phase.SERVING and (
                service is None or leaving
            ):
                draft.add(_drain(row, "its version is not wanted"))
        elif row.phase == model.Phase.DRAINING and ended:
            draft.add(_end_or_resume(view, service, row))
        elif row.phase == model.Phase.SERVING and not broken and leaving:
            phase = model.Phase.REPLACING
            reason = "a member is leaving"
            draft.add(Drain(row=row, phase=phase, reason=reason))


def _drain(row: model.ReplicaRow, reason: str) -> Drain:
    return Drain(row=row, phase=model.Phase.DRAINING, reason=reason)


def _end_or_resume(
    view: View, service: config_model.Service, row: model.ReplicaRow
) -> Decision:
    assert service.model is not None
    broken = any(not _is_usable(view, m.name) for m in row.members)
    capacity = _capacity(view, service)
    fits = capacity.accelerators <= service.limits.accelerators
    short = capacity.replicas - capacity.draining < service.model.replicas
    if short and fits and not broken:
        return _keep_members(row, row.spares, "the replica is needed again")
    return Dissolve(row=row, reason="more replicas than promised or approved")


def _repair(view: View, draft: _Draft) -> None:
    broken = []
    for row in _unsettled(view, draft):
        if row.phase == model.Phase.DRAINING:
            continue
        gone = [m for m in row.members if _is_gone(view, m.name)]
        replacing = row.phase == model.Phase.REPLACING
        drained = replacing and (gone or _is_drained(view, row))
        if not gone and not drained:
            continue
        kept = tuple(m for m in row.members if not _is_lost(view, m.name))
        if len(kept) == len(row.members):
            draft.add(_keep_members(row, row.spares, "no member leaves now"))
            continue
        value = weigh_replica(view, row)
        broken.append(Broken(row=row, kept=kept, value=value))
    # Equal values: the larger remains are completed by the smaller.
    broken.sort(key=lambda b: (-b.value, -len(b.kept), b.row.replica))
    for index, item in enumerate(broken):
        if item.row.replica not in draft.settled:
            _complete(view, draft, item, broken[index + 1 :])


def _complete(
    view: View, draft: _Draft, item: Broken, lower: list[Broken]
) -> None:
    row = item.row
    missing = len(row.members) - len(item.kept)
    spares = [m for m in row.spares if _is_usable(view, m.name)]
    short = missing - len(spares)
    lacking = short - len(draft.pool)
    if lacking > 0:
        if _collect(view, draft, item, lacking, lower):
            return
        if lacking <= len(draft.last_resort):
            draft.add_last_resort(lacking)
    if short <= len(draft.pool) and _fits_repair(view, draft, item, short):
        chosen = tuple(spares[:missing])
        free = draft.take(view, row.model, max(0, short))
        draft.add(
            Replace(
                row=row,
                generation=_next_generation(view, row),
                members=item.kept + chosen + tuple(map(_to_member, free)),
                spares=tuple(spares[missing:]),
                reason="a member is lost or leaving",
            )
        )
    else:
        draft.add(Dissolve(row=row, reason="its domain cannot complete it"))


def _fits_repair(view: View, draft: _Draft, item: Broken, short: int) -> bool:
    """Returns whether the repair stays within approval."""
    service = _find_service(view, item.row.service)
    if service is None:
        return False
    if short <= 0:
        return True
    kept = {member.name for member in item.kept}
    freed = sum(
        _assigned_accelerators(view, member.name)
        for member in item.row.members + item.row.spares
        if member.name not in kept and not _is_usable(view, member.name)
    )
    added = max(vm.accelerators for vm in draft.pool) * short
    return added - freed <= _room(view, service)


def _collect(
    view: View, draft: _Draft, item: Broken, short: int, lower: list[Broken]
) -> bool:
    """Frees VMs for a replica; the next plan completes it with them."""
    found: list[Decision] = []
    for row in _unsettled(view, draft):
        if short <= 0 or row is item.row or row.service != item.row.service:
            continue
        usable = [m for m in row.spares if _is_usable(view, m.name)]
        intact = row.phase == model.Phase.SERVING
        if usable and intact and not any(b.row is row for b in lower):
            short -= len(usable)
            found.append(_keep_members(row, (), "a sibling needs its spares"))
    for donor in reversed(lower):
        if short <= 0 or donor.row.replica in draft.settled:
            continue
        remains = donor.kept + donor.row.spares
        short -= sum(1 for m in remains if _is_usable(view, m.name))
        found.append(
            Dissolve(row=donor.row, reason="its remains complete another")
        )
    if short > 0 or not found:
        return False
    for decision in found:
        draft.add(decision)
    draft.settled.add(item.row.replica)
    return True


def _form(view: View, draft: _Draft) -> None:
    ordered = sorted(
        (service for service in view.services if service.model is not None),
        key=lambda service: (
            -_weigh_form(view, service),
            service.name,
        ),
    )
    for service in ordered:
        backend = service.model
        assert backend is not None
        if not _wants_more(view, service):
            continue
        lacking = backend.vms_per_replica - len(draft.pool)
        spares = _count_spares(view, service)
        if 0 < lacking - spares <= len(draft.last_resort):
            draft.add_last_resort(lacking - spares)
            lacking = spares
        if lacking <= 0:
            _form_whole(view, draft, service)
        elif lacking <= spares:
            _release_spares(view, draft, service, lacking)


def _form_whole(
    view: View, draft: _Draft, service: config_model.Service
) -> None:
    backend = service.model
    assert backend is not None
    members = draft.take(view, backend.model, backend.vms_per_replica)
    used = sum(vm.accelerators for vm in members)
    if used <= _room(view, service):
        draft.add(
            Form(
                service=service,
                members=tuple(members),
                reason="fewer replicas than promised, or a version rolls",
            )
        )
        return
    draft.pool.extend(members)
    accelerators = max(vm.accelerators for vm in members)
    lacking = used - _room(view, service)
    _release_spares(view, draft, service, -(-lacking // accelerators))


def _release_spares(
    view: View, draft: _Draft, service: config_model.Service, count: int
) -> None:
    if count > _count_spares(view, service):
        return
    for row in _unsettled(view, draft):
        if row.phase != model.Phase.SERVING or row.service != service.name:
            continue
        if count > 0 and row.spares:
            count -= len(row.spares)
            reason = "a whole replica needs its spares"
            draft.add(_keep_members(row, (), reason))


def _wants_more(view: View, service: config_model.Service) -> bool:
    assert service.model is not None
    capacity = _capacity(view, service)
    active = capacity.replicas - capacity.draining
    if active < service.model.replicas:
        return True
    rolling = any(
        _is_outdated(service, row) and row.phase != model.Phase.DRAINING
        for row in _all_rows(view, service)
    )
    return rolling and active < service.model.replicas + SURGE


def _trim(view: View, draft: _Draft) -> None:
    """Ends replicas beyond what is promised or approved, one at a time."""
    for service in view.services:
        backend = service.model
        if backend is None:
            continue
        capacity = _capacity(view, service)
        rows = [
            row
            for row in _unsettled(view, draft)
            if row.service == service.name and row.phase != model.Phase.DRAINING
        ]
        leaving = sum(
            row.accelerators
            for row in _all_rows(view, service)
            if row.phase == model.Phase.DRAINING
        )
        over = capacity.accelerators - leaving > service.limits.accelerators
        surplus = capacity.replicas - capacity.draining > backend.replicas
        spared = [
            row
            for row in rows
            if row.spares and row.phase == model.Phase.SERVING
        ]
        if over and spared:
            reason = "more accelerators than approved"
            draft.add(_keep_members(spared[0], (), reason))
        elif rows and (over or surplus):
            _drain_one(view, draft, service, rows, over)


def _drain_one(
    view: View,
    draft: _Draft,
    service: config_model.Service,
    rows: list[model.ReplicaRow],
    over: bool,
) -> None:
    assert service.model is not None
    row = min(
        rows,
        key=lambda row: (
            not _is_outdated(service, row),
            _is_serving(view, row),
            row.replica,
        ),
    )
    left = _count_serving(view, service.name) - _is_serving(view, row)
    # Approval binds more than the promised number of replicas.
    if over or not _is_serving(view, row) or left >= service.model.replicas:
        draft.add(_drain(row, "more replicas than promised or approved"))


def _reserve_spares(view: View, draft: _Draft) -> None:
    for service in view.services:
        backend = service.model
        if backend is None:
            continue
        rows = [
            row
            for row in _unsettled(view, draft)
            if row.service == service.name and row.phase == model.Phase.SERVING
        ]
        for row in rows:
            kept = tuple(m for m in row.spares if not _is_lost(view, m.name))
            if _is_outdated(service, row):
                kept = ()
            if kept != row.spares:
                draft.add(_keep_members(row, kept, "spares are lost"))
        rows = [
            row
            for row in rows
            if row.replica not in draft.settled
            and not _is_outdated(service, row)
        ]
        reserved = _count_spares(view, service)
        if rows and reserved < backend.spares_per_fabric_domain:
            _reserve_one(view, draft, service, rows)


def _reserve_one(
    view: View,
    draft: _Draft,
    service: config_model.Service,
    rows: list[model.ReplicaRow],
) -> None:
    backend = service.model
    assert backend is not None
    if all(vm.name in view.distrusted for vm in draft.pool):
        return
    capacity = _capacity(view, service)
    missing = max(0, backend.replicas - capacity.replicas + capacity.draining)
    accelerators = draft.pool[0].accelerators
    kept_room = missing * backend.vms_per_replica * accelerators
    if accelerators + kept_room > _room(view, service):
        return
    row = min(rows, key=lambda row: (len(row.spares), row.replica))
    spare = draft.take(view, backend.model, 1)
    draft.add(
        _keep_members(
            row, row.spares + (_to_member(spare[0]),), "a spare is free"
        )
    )


def _keep_members(
    row: model.ReplicaRow,
    spares: tuple[protocol.Member, ...],
    reason: str,
) -> Replace:
    return Replace(
        row=row,
        generation=row.generation,
        members=row.members,
        spares=spares,
        reason=reason,
    )


def _unsettled(view: View, draft: _Draft) -> list[model.ReplicaRow]:
    return [
        row
        for row in view.replicas.values()
        if row.replica not in draft.settled
    ]


def _all_rows(
    view: View, service: config_model.Service
) -> list[model.ReplicaRow]:
    every = [*view.replicas.values(), *view.others.values()]
    return [row for row in every if row.service == service.name]


def _find_service(view: View, name: str) -> config_model.Service | None:
    found = (s for s in view.services if s.name == name and s.model)
    return next(found, None)


def _is_outdated(service: config_model.Service, row: model.ReplicaRow) -> bool:
    backend = service.model
    assert backend is not None
    size = backend.vms_per_replica
    return row.model != backend.model or len(row.members) != size


def _capacity(view: View, service: config_model.Service) -> model.CapacityRow:
    return view.capacity.get(service.name, model.CapacityRow())


def _room(view: View, service: config_model.Service) -> int:
    return service.limits.accelerators - _capacity(view, service).accelerators


def _weigh_form(view: View, service: config_model.Service) -> float:
    assert service.model is not None
    count = _count_serving(view, service.name)
    return worth.weigh_repair(service, count, service.model.vms_per_replica)


def _count_spares(view: View, service: config_model.Service) -> int:
    return sum(
        len(row.spares)
        for row in view.replicas.values()
        if row.service == service.name and row.phase == model.Phase.SERVING
    )


def _count_serving(view: View, service: str) -> int:
    rows = [*view.replicas.values(), *view.others.values()]
    return sum(
        1 for row in rows if row.service == service and _is_serving(view, row)
    )


def _is_serving(view: View, row: model.ReplicaRow) -> bool:
    vms = {**view.fleet, **view.vms}
    found = serving.find_serving(row, vms, view.seen, view.now)
    return found is not None


def _is_drained(view: View, row: model.ReplicaRow) -> bool:
    since = view.draining_since.get(row.replica)
    if since is None or row.phase == model.Phase.SERVING:
        return False
    if view.now - since > DRAIN_LIMIT:
        return True
    report = view.seen.get(row.members[0].name)
    if report is None or report.requested_at < since + DRAIN_NOTICE:
        return False
    return report.status.running + report.status.queued == 0


def _is_superseded(view: View, row: model.ReplicaRow) -> bool:
    names = [member.name for member in row.members + row.spares]
    reports = [view.seen[name].status for name in names if name in view.seen]
    return any(s.replica not in ("", row.replica) for s in reports)


def _next_generation(view: View, row: model.ReplicaRow) -> int:
    # Above what any VM reports, so that a repair made during a table outage
    # and not adopted can never pass for this one.
    reported = [
        report.status.generation
        for report in view.seen.values()
        if report.status.replica == row.replica
    ]
    return max([row.generation, *reported]) + 1


def _reported_model(view: View, name: str) -> str:
    report = view.seen.get(name)
    return "" if report is None else report.status.model


def _assigned_accelerators(view: View, name: str) -> int:
    row = view.assigned.get(name)
    return 0 if row is None else row.accelerators


def _to_member(vm: inventory.Vm) -> protocol.Member:
    return protocol.Member(name=vm.name, address=vm.address)


def _is_free(view: View, vm: inventory.Vm) -> bool:
    return vm.name not in view.assigned and not _is_lost(view, vm.name)


def _is_usable(view: View, name: str) -> bool:
    return name not in view.distrusted and not _is_lost(view, name)


def _is_lost(view: View, name: str) -> bool:
    return _is_gone(view, name) or _is_leaving(view, name)


def _is_leaving(view: View, name: str) -> bool:
    vm = view.vms.get(name)
    if vm is not None and vm.state == inventory.VmState.LEAVING:
        return True
    report = view.seen.get(name)
    return report is not None and report.status.leaving


def _is_gone(view: View, name: str) -> bool:
    return name in view.stuck or _is_silent(view, name)


def _is_silent(view: View, name: str) -> bool:
    report = view.seen.get(name)
    if name not in view.vms or report is None:
        return True
    return view.now - report.requested_at > LOST_AFTER
