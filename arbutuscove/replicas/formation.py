"""Decides which VMs of a fabric domain form which replica.

Planning is a pure function of one controller's view of its fabric domain. A
decision takes effect only through the transaction that updates the VM rows
and the replica row together, so a decision based on a stale view changes
nothing.

A replica that has lost a member is *broken*; its usable VMs are its
*remains*. Broken replicas are repaired in descending order of the worth that
the repair restores per load time. Each repair uses the cheapest sufficient
source: the replica's reserved spares, then free VMs, then the spares of other
replicas of the same service and the remains of broken replicas of lower
value. If none suffices, free VMs that are distrusted are used. Otherwise the
replica is dissolved, which releases its approved accelerators for a rebuild
in another domain. Only complete replicas serve, so spares are reserved last,
from VMs that cannot form a replica.

A distrusted VM is the last resort because it may fail again soon. Without it,
however, a replica that only it can complete would strand all of its other VMs
as well, for up to an hour.
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

UNRESPONSIVE_AFTER = datetime.timedelta(seconds=5)  # age of the newest status
# If all VMs of a domain stop responding at once, a transient failure of the
# controller's own network is more likely than an outage of the domain, and a
# rebuild of a domain costs many loads.
DOMAIN_OUTAGE_AFTER = datetime.timedelta(seconds=10)
# Within this time all entries have read the new phase of the row (they read
# once a second), and the leader's status includes requests dispatched before.
DRAIN_SETTLE_TIME = datetime.timedelta(seconds=4)
DRAIN_TIMEOUT = datetime.timedelta(seconds=600)  # the longest request deadline
MAX_SURGE_REPLICAS = 1  # above the promised number during a rolling update


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """A controller's view of one fabric domain, the input of planning.

    Attributes:
        now: the monotonic time of this view.
        fabric_domain: the name of the domain.
        services: the configured services; those without a model are ignored.
        vms: the listed VMs of the domain, by name.
        assigned: the assignment rows of the domain, by VM.
        replicas: the replica rows of the domain, by replica.
        capacity: the capacity rows, by service.
        reports: the newest status of each VM of any domain, by VM.
        other_domain_replicas: the replica rows of other fabric domains, by
            replica.
        fleet: the VM list of all domains, by name.
        distrusted: VMs that failed recently and are used only as a last resort.
        stuck: members that respond but do not become ready in their
            replica's generation.
        phase_since: when this controller first observed the current phase
            of a replica, by replica.
        observing_since: when this controller began to read statuses.
    """

    now: datetime.timedelta
    fabric_domain: str
    services: tuple[config_model.Service, ...]
    vms: abc.Mapping[str, inventory.Vm]
    assigned: abc.Mapping[str, model.VmRow]
    replicas: abc.Mapping[str, model.ReplicaRow]
    capacity: abc.Mapping[str, model.CapacityRow]
    reports: abc.Mapping[str, model.StatusReport]
    other_domain_replicas: abc.Mapping[str, model.ReplicaRow] = (
        dataclasses.field(default_factory=dict)
    )
    fleet: abc.Mapping[str, inventory.Vm] = dataclasses.field(
        default_factory=dict
    )
    distrusted: frozenset[str] = frozenset()
    stuck: frozenset[str] = frozenset()
    phase_since: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    observing_since: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Form:
    """Creates a replica of a service from free VMs."""

    service: config_model.Service
    members: tuple[inventory.Vm, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Replace:
    """Sets the members and spares of a replica and its phase to serving.

    The generation is incremented if and only if the members change.
    """

    row: model.ReplicaRow
    generation: int
    members: tuple[protocol.Member, ...]
    spares: tuple[protocol.Member, ...]
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Drain:
    """Stops new requests to a replica, by a change of its phase."""

    row: model.ReplicaRow
    phase: model.Phase
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Dissolve:
    """Deletes a replica, which frees all of its VMs."""

    row: model.ReplicaRow
    reason: str


Decision = Form | Replace | Drain | Dissolve


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BrokenReplica:
    """A replica to repair.

    Attributes:
        row: the row of the replica.
        remaining_members: the members that are neither failed nor leaving.
        value: the value of the repair, as worth per load time.
    """

    row: model.ReplicaRow
    remaining_members: tuple[protocol.Member, ...]
    value: float


class _Draft:
    """A plan under construction.

    Attributes:
        free_vms: VMs that can be allocated.
        distrusted_vms: free VMs that are withheld from allocation until
            nothing else suffices.
        decisions: the decisions so far, most urgent first.
        decided: names of replicas that already have a decision.
    """

    def __init__(self, view: View) -> None:
        free = [vm for vm in view.vms.values() if _is_free(view, vm)]
        free.sort(key=lambda vm: vm.name)
        distrusted = view.distrusted
        self.free_vms = [vm for vm in free if vm.name not in distrusted]
        self.distrusted_vms = [vm for vm in free if vm.name in distrusted]
        self.decisions: list[Decision] = []
        self.decided: set[str] = set()

    def add(self, decision: Decision) -> None:
        self.decisions.append(decision)
        if not isinstance(decision, Form):
            self.decided.add(decision.row.replica)

    def allocate(
        self, view: View, model_name: str, count: int
    ) -> list[inventory.Vm]:
        # VMs that have already loaded the weights come first: they need no
        # load.
        ordered = sorted(
            self.free_vms,
            key=lambda vm: (
                vm.name in view.distrusted,
                _get_reported_model(view, vm.name) != model_name,
                vm.name,
            ),
        )
        allocated = ordered[:count]
        self.free_vms = [vm for vm in self.free_vms if vm not in allocated]
        return allocated

    def add_distrusted_vms(self, count: int) -> None:
        """Moves distrusted VMs to the VMs that can be allocated."""
        self.free_vms += self.distrusted_vms[:count]
        del self.distrusted_vms[:count]


def plan(view: View) -> list[Decision]:
    """Returns the decisions for a fabric domain, most urgent first."""
    if not _has_sufficient_reports(view):
        return []
    draft = _Draft(view)
    _adopt_repairs(view, draft)
    if not _must_defer_repairs(view):
        _plan_terminations(view, draft)
        _plan_repairs(view, draft)
    _plan_new_replicas(view, draft)
    _plan_scale_down(view, draft)
    _reserve_spares(view, draft)
    return draft.decisions


def plan_outage_repairs(view: View) -> list[Replace]:
    """Returns the repairs that are permitted while the table is unavailable.

    A repair may use only the spares that the replica's row reserves. A
    replica is skipped if any of its VMs reports another replica, because the
    table has then changed since the row was read.
    """
    if not _has_sufficient_reports(view) or _must_defer_repairs(view):
        return []
    repairs = []
    for row in view.replicas.values():
        if row.phase != model.Phase.SERVING or _has_reassigned_vm(view, row):
            continue
        current = serving.resolve_effective_row(row, view.reports)
        failed = [m for m in current.members if _is_failed(view, m.name)]
        spares = [m for m in current.spares if _is_usable(view, m.name)]
        if not failed or len(spares) < len(failed):
            continue
        remaining = tuple(m for m in current.members if m not in failed)
        chosen = tuple(spares[: len(failed)])
        repairs.append(
            Replace(
                row=row,
                generation=_compute_next_generation(view, row),
                members=remaining + chosen,
                spares=tuple(m for m in current.spares if m not in chosen),
                reason="a member is lost while the table is down",
            )
        )
    return repairs


def choose_preloads(view: View) -> dict[str, str]:
    """Returns the models to preload on VMs that are not replica members.

    Spares load the model of their replica. Free VMs, including distrusted
    ones, load the model of the most valuable service. A repair with a
    preloaded VM needs only a regroup instead of a load.

    Returns:
        Model names by VM, only of VMs that have another model loaded.
    """
    model_services = [service for service in view.services if service.model]
    if not model_services:
        return {}
    most_valuable = max(model_services, key=worth.compute_service_worth).model
    assert most_valuable is not None
    preloads = {
        name: most_valuable.model
        for name in view.vms
        if name not in view.assigned
    }
    for row in view.replicas.values():
        preloads.update({member.name: row.model for member in row.spares})
    return {
        name: model_name
        for name, model_name in preloads.items()
        if name in view.vms
        and not _is_unavailable(view, name)
        and not view.reports[name].status.replica
        and view.reports[name].status.model != model_name
    }


def compute_replica_repair_value(view: View, row: model.ReplicaRow) -> float:
    """Returns the value of repairing a replica, as worth per load time."""
    service = _find_service(view, row.service)
    if service is None:
        return 0.0
    names = [member.name for member in row.members]
    loads = worth.count_loads(names, row.model, view.reports)
    count = _count_serving(view, row.service)
    return worth.compute_repair_value(service, count, loads)


def _has_sufficient_reports(view: View) -> bool:
    # A controller without a fresh status of any VM is itself partitioned.
    has_fresh_report = any(
        view.now - report.requested_at <= UNRESPONSIVE_AFTER
        for report in view.reports.values()
    )
    # Shortly after the start, a missing status does not imply a failed VM.
    is_complete = all(name in view.reports for name in view.vms)
    return has_fresh_report and (
        is_complete or view.now - view.observing_since >= UNRESPONSIVE_AFTER
    )


def _must_defer_repairs(view: View) -> bool:
    # True while all VMs of the domain are unresponsive, until that has lasted
    # for `DOMAIN_OUTAGE_AFTER` and another domain could host a replica.
    newest_report_at = max(
        (
            view.reports[name].requested_at
            for name in view.vms
            if name in view.reports
        ),
        default=view.observing_since,
    )
    age = view.now - newest_report_at
    if any(not _is_unresponsive(view, name) for name in view.vms):
        return False
    return age < DOMAIN_OUTAGE_AFTER or not _can_rebuild_elsewhere(view)


def _can_rebuild_elsewhere(view: View) -> bool:
    # When an unresponsive domain recovers, its replicas are complete again.
    # Dissolving them helps only if another domain has enough free VMs to
    # form a replica.
    assigned_names = {
        member.name
        for row in view.other_domain_replicas.values()
        for member in row.members + row.spares
    }
    free: dict[str, int] = {}
    for name, vm in view.fleet.items():
        report = view.reports.get(name)
        is_fresh = (
            report is not None
            and view.now - report.requested_at <= UNRESPONSIVE_AFTER
        )
        if is_fresh and name not in assigned_names and name not in view.vms:
            domain = vm.fabric_domain
            free[domain] = free.get(domain, 0) + 1
    sizes = [len(row.members) for row in view.replicas.values()]
    return max(free.values(), default=0) >= min(sizes, default=0)


def _adopt_repairs(view: View, draft: _Draft) -> None:
    for row in view.replicas.values():
        current = serving.resolve_effective_row(row, view.reports)
        if current is row:
            continue
        if not _is_confirmed_by_members(view, current):
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
    # After an incomplete repair, some VMs are in a higher generation than the
    # row. Orders with the generation of the row would move them back to a
    # lower one.
    if any(_is_failed(view, member.name) for member in row.members):
        return
    draft.add(
        Replace(
            row=row,
            generation=_compute_next_generation(view, row),
            members=row.members,
            spares=row.spares,
            reason="a repair made while the table was down is incomplete",
        )
    )


def _is_confirmed_by_members(view: View, row: model.ReplicaRow) -> bool:
    names = tuple(member.name for member in row.members)
    statuses = [
        view.reports[name].status for name in names if name in view.reports
    ]
    return len(statuses) == len(names) and all(
        (status.replica, status.generation, status.members)
        == (row.replica, row.generation, names)
        for status in statuses
    )


def _plan_terminations(view: View, draft: _Draft) -> None:
    for row in _list_undecided(view, draft):
        service = _find_service(view, row.service)
        has_failed_member = any(_is_failed(view, m.name) for m in row.members)
        has_leaving_member = any(_is_leaving(view, m.name) for m in row.members)
        can_end = has_failed_member or _is_drained(view, row)
        if service is None or _is_outdated(service, row):
            if can_end:
                draft.add(Dissolve(row=row, reason="its version is not wanted"))
            elif row.phase == model.Phase.SERVING and (
                service is None or has_leaving_member
            ):
                draft.add(
                    _build_drain_decision(row, "its version is not wanted")
                )
        elif row.phase == model.Phase.DRAINING and can_end:
            draft.add(_dissolve_or_resume(view, service, row))
        elif (
            row.phase == model.Phase.SERVING
            and not has_failed_member
            and has_leaving_member
        ):
            phase = model.Phase.REPLACING
            reason = "a member is leaving"
            draft.add(Drain(row=row, phase=phase, reason=reason))


def _build_drain_decision(row: model.ReplicaRow, reason: str) -> Drain:
    return Drain(row=row, phase=model.Phase.DRAINING, reason=reason)


def _dissolve_or_resume(
    view: View, service: config_model.Service, row: model.ReplicaRow
) -> Decision:
    assert service.model is not None
    has_unusable_member = any(not _is_usable(view, m.name) for m in row.members)
    capacity = _get_capacity(view, service)
    is_within_approval = capacity.accelerators <= service.limits.accelerators
    is_short = capacity.replicas - capacity.draining < service.model.replicas
    if is_short and is_within_approval and not has_unusable_member:
        return _replace_spares(row, row.spares, "the replica is needed again")
    return Dissolve(row=row, reason="more replicas than promised or approved")


def _plan_repairs(view: View, draft: _Draft) -> None:
    broken = []
    for row in _list_undecided(view, draft):
        if row.phase == model.Phase.DRAINING:
            continue
        failed = [m for m in row.members if _is_failed(view, m.name)]
        is_replacing = row.phase == model.Phase.REPLACING
        is_drained = is_replacing and (failed or _is_drained(view, row))
        if not failed and not is_drained:
            continue
        remaining = tuple(
            m for m in row.members if not _is_unavailable(view, m.name)
        )
        if len(remaining) == len(row.members):
            draft.add(_replace_spares(row, row.spares, "no member leaves now"))
            continue
        value = compute_replica_repair_value(view, row)
        broken.append(
            BrokenReplica(row=row, remaining_members=remaining, value=value)
        )
    # Tie-break: among equal values, larger remains are repaired first, with
    # the VMs of smaller ones.
    broken.sort(
        key=lambda b: (-b.value, -len(b.remaining_members), b.row.replica)
    )
    for index, target in enumerate(broken):
        if target.row.replica not in draft.decided:
            _repair_replica(view, draft, target, broken[index + 1 :])


def _repair_replica(
    view: View,
    draft: _Draft,
    target: BrokenReplica,
    less_valuable: list[BrokenReplica],
) -> None:
    row = target.row
    missing = len(row.members) - len(target.remaining_members)
    spares = [m for m in row.spares if _is_usable(view, m.name)]
    shortage = missing - len(spares)
    deficit = shortage - len(draft.free_vms)
    if deficit > 0:
        if _reclaim_vms(view, draft, target, deficit, less_valuable):
            return
        if deficit <= len(draft.distrusted_vms):
            draft.add_distrusted_vms(deficit)
    if shortage <= len(draft.free_vms) and _is_repair_approved(
        view, draft, target, shortage
    ):
        chosen = tuple(spares[:missing])
        free = draft.allocate(view, row.model, max(0, shortage))
        draft.add(
            Replace(
                row=row,
                generation=_compute_next_generation(view, row),
                members=target.remaining_members
                + chosen
                + tuple(map(_to_member, free)),
                spares=tuple(spares[missing:]),
                reason="a member is lost or leaving",
            )
        )
    else:
        draft.add(Dissolve(row=row, reason="its domain cannot complete it"))


def _is_repair_approved(
    view: View, draft: _Draft, target: BrokenReplica, shortage: int
) -> bool:
    """Returns whether the repair stays within the approved accelerators."""
    service = _find_service(view, target.row.service)
    if service is None:
        return False
    if shortage <= 0:
        return True
    remaining_names = {member.name for member in target.remaining_members}
    freed = sum(
        _get_assigned_accelerators(view, member.name)
        for member in target.row.members + target.row.spares
        if member.name not in remaining_names
        and not _is_usable(view, member.name)
    )
    added = max(vm.accelerators for vm in draft.free_vms) * shortage
    return added - freed <= _get_headroom(view, service)


def _reclaim_vms(
    view: View,
    draft: _Draft,
    target: BrokenReplica,
    deficit: int,
    less_valuable: list[BrokenReplica],
) -> bool:
    """Releases VMs of other replicas for the repair of `target`.

    Spares of intact replicas of the same service are released first, then
    broken replicas of lower value are dissolved. The next plan repairs the
    target with the released VMs.

    Returns:
        Whether enough VMs could be released; if not, nothing is decided.
    """
    decisions: list[Decision] = []
    for row in _list_undecided(view, draft):
        if (
            deficit <= 0
            or row is target.row
            or row.service != target.row.service
        ):
            continue
        usable = [m for m in row.spares if _is_usable(view, m.name)]
        is_serving = row.phase == model.Phase.SERVING
        if (
            usable
            and is_serving
            and not any(b.row is row for b in less_valuable)
        ):
            deficit -= len(usable)
            decisions.append(
                _replace_spares(row, (), "a sibling needs its spares")
            )
    for donor in reversed(less_valuable):
        if deficit <= 0 or donor.row.replica in draft.decided:
            continue
        remains = donor.remaining_members + donor.row.spares
        deficit -= sum(1 for m in remains if _is_usable(view, m.name))
        decisions.append(
            Dissolve(row=donor.row, reason="its remains complete another")
        )
    if deficit > 0 or not decisions:
        return False
    for decision in decisions:
        draft.add(decision)
    draft.decided.add(target.row.replica)
    return True


def _plan_new_replicas(view: View, draft: _Draft) -> None:
    ordered = sorted(
        (service for service in view.services if service.model is not None),
        key=lambda service: (
            -_compute_formation_value(view, service),
            service.name,
        ),
    )
    for service in ordered:
        backend = service.model
        assert backend is not None
        if not _needs_new_replica(view, service):
            continue
        shortage = backend.vms_per_replica - len(draft.free_vms)
        spares = _count_spares(view, service)
        if 0 < shortage - spares <= len(draft.distrusted_vms):
            draft.add_distrusted_vms(shortage - spares)
            shortage = spares
        if shortage <= 0:
            _form_replica(view, draft, service)
        elif shortage <= spares:
            _release_spares(view, draft, service, shortage)


def _form_replica(
    view: View, draft: _Draft, service: config_model.Service
) -> None:
    backend = service.model
    assert backend is not None
    members = draft.allocate(view, backend.model, backend.vms_per_replica)
    used = sum(vm.accelerators for vm in members)
    if used <= _get_headroom(view, service):
        draft.add(
            Form(
                service=service,
                members=tuple(members),
                reason="fewer replicas than promised, or a version rolls",
            )
        )
        return
    draft.free_vms.extend(members)
    accelerators = max(vm.accelerators for vm in members)
    excess = used - _get_headroom(view, service)
    _release_spares(view, draft, service, -(-excess // accelerators))


def _release_spares(
    view: View, draft: _Draft, service: config_model.Service, count: int
) -> None:
    if count > _count_spares(view, service):
        return
    for row in _list_undecided(view, draft):
        if row.phase != model.Phase.SERVING or row.service != service.name:
            continue
        if count > 0 and row.spares:
            count -= len(row.spares)
            reason = "a whole replica needs its spares"
            draft.add(_replace_spares(row, (), reason))


def _needs_new_replica(view: View, service: config_model.Service) -> bool:
    assert service.model is not None
    capacity = _get_capacity(view, service)
    active = capacity.replicas - capacity.draining
    if active < service.model.replicas:
        return True
    is_rolling = any(
        _is_outdated(service, row) and row.phase != model.Phase.DRAINING
        for row in _list_replicas(view, service)
    )
    return is_rolling and active < service.model.replicas + MAX_SURGE_REPLICAS


def _plan_scale_down(view: View, draft: _Draft) -> None:
    """Drains replicas above the promised or approved number, one at a time."""
    for service in view.services:
        backend = service.model
        if backend is None:
            continue
        capacity = _get_capacity(view, service)
        rows = [
            row
            for row in _list_undecided(view, draft)
            if row.service == service.name and row.phase != model.Phase.DRAINING
        ]
        draining_accelerators = sum(
            row.accelerators
            for row in _list_replicas(view, service)
            if row.phase == model.Phase.DRAINING
        )
        is_over_approval = (
            capacity.accelerators - draining_accelerators
            > service.limits.accelerators
        )
        has_surplus = capacity.replicas - capacity.draining > backend.replicas
        with_spares = [
            row
            for row in rows
            if row.spares and row.phase == model.Phase.SERVING
        ]
        if is_over_approval and with_spares:
            reason = "more accelerators than approved"
            draft.add(_replace_spares(with_spares[0], (), reason))
        elif rows and (is_over_approval or has_surplus):
            _drain_surplus_replica(view, draft, service, rows, is_over_approval)


def _drain_surplus_replica(
    view: View,
    draft: _Draft,
    service: config_model.Service,
    rows: list[model.ReplicaRow],
    is_over_approval: bool,
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
    remaining = _count_serving(view, service.name) - _is_serving(view, row)
    # The approval limit takes precedence over the promised number of replicas.
    if (
        is_over_approval
        or not _is_serving(view, row)
        or remaining >= service.model.replicas
    ):
        draft.add(
            _build_drain_decision(
                row, "more replicas than promised or approved"
            )
        )


def _reserve_spares(view: View, draft: _Draft) -> None:
    for service in view.services:
        backend = service.model
        if backend is None:
            continue
        rows = [
            row
            for row in _list_undecided(view, draft)
            if row.service == service.name and row.phase == model.Phase.SERVING
        ]
        for row in rows:
            usable_spares = tuple(
                m for m in row.spares if not _is_unavailable(view, m.name)
            )
            if _is_outdated(service, row):
                usable_spares = ()
            if usable_spares != row.spares:
                draft.add(
                    _replace_spares(row, usable_spares, "spares are lost")
                )
        rows = [
            row
            for row in rows
            if row.replica not in draft.decided
            and not _is_outdated(service, row)
        ]
        reserved = _count_spares(view, service)
        if rows and reserved < backend.spares_per_fabric_domain:
            _reserve_spare_for_service(view, draft, service, rows)


def _reserve_spare_for_service(
    view: View,
    draft: _Draft,
    service: config_model.Service,
    rows: list[model.ReplicaRow],
) -> None:
    backend = service.model
    assert backend is not None
    if all(vm.name in view.distrusted for vm in draft.free_vms):
        return
    capacity = _get_capacity(view, service)
    missing = max(0, backend.replicas - capacity.replicas + capacity.draining)
    accelerators = draft.free_vms[0].accelerators
    reserved_headroom = missing * backend.vms_per_replica * accelerators
    if accelerators + reserved_headroom > _get_headroom(view, service):
        return
    row = min(rows, key=lambda row: (len(row.spares), row.replica))
    allocated = draft.allocate(view, backend.model, 1)
    draft.add(
        _replace_spares(
            row, row.spares + (_to_member(allocated[0]),), "a spare is free"
        )
    )


def _replace_spares(
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


def _list_undecided(view: View, draft: _Draft) -> list[model.ReplicaRow]:
    return [
        row
        for row in view.replicas.values()
        if row.replica not in draft.decided
    ]


def _list_replicas(
    view: View, service: config_model.Service
) -> list[model.ReplicaRow]:
    all_rows = [*view.replicas.values(), *view.other_domain_replicas.values()]
    return [row for row in all_rows if row.service == service.name]


def _find_service(view: View, name: str) -> config_model.Service | None:
    matches = (s for s in view.services if s.name == name and s.model)
    return next(matches, None)


def _is_outdated(service: config_model.Service, row: model.ReplicaRow) -> bool:
    backend = service.model
    assert backend is not None
    size = backend.vms_per_replica
    return row.model != backend.model or len(row.members) != size


def _get_capacity(
    view: View, service: config_model.Service
) -> model.CapacityRow:
    return view.capacity.get(service.name, model.CapacityRow())


def _get_headroom(view: View, service: config_model.Service) -> int:
    return (
        service.limits.accelerators - _get_capacity(view, service).accelerators
    )


def _compute_formation_value(
    view: View, service: config_model.Service
) -> float:
    assert service.model is not None
    count = _count_serving(view, service.name)
    return worth.compute_repair_value(
        service, count, service.model.vms_per_replica
    )


def _count_spares(view: View, service: config_model.Service) -> int:
    return sum(
        len(row.spares)
        for row in view.replicas.values()
        if row.service == service.name and row.phase == model.Phase.SERVING
    )


def _count_serving(view: View, service: str) -> int:
    rows = [*view.replicas.values(), *view.other_domain_replicas.values()]
    return sum(
        1 for row in rows if row.service == service and _is_serving(view, row)
    )


def _is_serving(view: View, row: model.ReplicaRow) -> bool:
    vms = {**view.fleet, **view.vms}
    resolved = serving.resolve_serving(row, vms, view.reports, view.now)
    return resolved is not None


def _is_drained(view: View, row: model.ReplicaRow) -> bool:
    since = view.phase_since.get(row.replica)
    if since is None or row.phase == model.Phase.SERVING:
        return False
    if view.now - since > DRAIN_TIMEOUT:
        return True
    report = view.reports.get(row.members[0].name)
    if report is None or report.requested_at < since + DRAIN_SETTLE_TIME:
        return False
    return report.status.running + report.status.queued == 0


def _has_reassigned_vm(view: View, row: model.ReplicaRow) -> bool:
    names = [member.name for member in row.members + row.spares]
    statuses = [
        view.reports[name].status for name in names if name in view.reports
    ]
    return any(s.replica not in ("", row.replica) for s in statuses)


def _compute_next_generation(view: View, row: model.ReplicaRow) -> int:
    # Higher than any generation that a VM reports, so that an unadopted repair
    # from a table outage is never mistaken for this one.
    reported = [
        report.status.generation
        for report in view.reports.values()
        if report.status.replica == row.replica
    ]
    return max([row.generation, *reported]) + 1


def _get_reported_model(view: View, name: str) -> str:
    report = view.reports.get(name)
    return "" if report is None else report.status.model


def _get_assigned_accelerators(view: View, name: str) -> int:
    row = view.assigned.get(name)
    return 0 if row is None else row.accelerators


def _to_member(vm: inventory.Vm) -> protocol.Member:
    return protocol.Member(name=vm.name, address=vm.address)


def _is_free(view: View, vm: inventory.Vm) -> bool:
    return vm.name not in view.assigned and not _is_unavailable(view, vm.name)


def _is_usable(view: View, name: str) -> bool:
    return name not in view.distrusted and not _is_unavailable(view, name)


def _is_unavailable(view: View, name: str) -> bool:
    return _is_failed(view, name) or _is_leaving(view, name)


def _is_leaving(view: View, name: str) -> bool:
    vm = view.vms.get(name)
    if vm is not None and vm.state == inventory.VmState.LEAVING:
        return True
    report = view.reports.get(name)
    return report is not None and report.status.leaving


def _is_failed(view: View, name: str) -> bool:
    return name in view.stuck or _is_unresponsive(view, name)


def _is_unresponsive(view: View, name: str) -> bool:
    report = view.reports.get(name)
    if name not in view.vms or report is None:
        return True
    return view.now - report.requested_at > UNRESPONSIVE_AFTER
