"""Detects members that respond to status reads but do not become ready.

A member is *stuck* when it has not reported `ready` in its replica's
generation within a timeout, although it responds and its replica may load or
regroup. The time for which a replica waits for a load permit does not count.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.replicas import formation
from arbutuscove.replicas import model
from arbutuscove.replicas import serving
from arbutuscove.upstreams import protocol

# A load from the shared, rate-limited weight store takes minutes. A shorter
# timeout would abort loads that still make progress.
READY_TIMEOUT = datetime.timedelta(minutes=10)
# After its members return, a leader leaves the state `broken` within seconds.
# A regroup takes seconds too, so a longer timeout costs more than it saves.
BROKEN_TIMEOUT = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class UnreadyMember:
    """A member that is not ready in its generation.

    Attributes:
        replica: the replica of the member.
        generation: the generation in which the member should be ready.
        is_broken: whether the member reports the state `broken`.
        since: the monotonic time since which the other fields are unchanged.
    """

    replica: str
    generation: int
    is_broken: bool
    since: datetime.timedelta


def update_unready(
    unready: dict[str, UnreadyMember],
    view: formation.View,
    targets: abc.Mapping[str, model.ReplicaRow],
) -> None:
    """Updates the records of unready members of one fabric domain.

    Args:
        unready: records by VM, changed in place.
        view: the controller's view of the domain.
        targets: rows of the replicas that may load or regroup now, by VM.
    """
    for name in set(unready) - set(view.fleet):
        del unready[name]
    for name in view.vms:
        row = targets.get(name)
        current = (
            None
            if row is None
            else _check_member(name, row, view.reports, view.now)
        )
        previous = unready.pop(name, None)
        if current is None:
            continue
        is_unchanged = previous is not None and current == dataclasses.replace(
            previous, since=view.now
        )
        unready[name] = (
            previous if previous is not None and is_unchanged else current
        )


def find_stuck(
    replicas: abc.Mapping[str, model.ReplicaRow],
    reports: abc.Mapping[str, model.StatusReport],
    unready: abc.Mapping[str, UnreadyMember],
    now: datetime.timedelta,
) -> frozenset[str]:
    """Returns the members that have not become ready within their timeout.

    Args:
        replicas: the replica rows of one fabric domain.
        reports: the newest status of each VM, by name.
        unready: the records that `update_unready` keeps, by VM.
        now: the monotonic time.

    Returns:
        The names of the stuck members.
    """
    stuck = set()
    for stored_row in replicas.values():
        # During a table outage, a repair may be newer than the stored row.
        row = serving.resolve_effective_row(stored_row, reports)
        for member in row.members:
            previous = unready.get(member.name)
            current = _check_member(member.name, row, reports, now)
            if previous is None or current is None:
                continue
            timeout = BROKEN_TIMEOUT if previous.is_broken else READY_TIMEOUT
            is_unchanged = current == dataclasses.replace(previous, since=now)
            if is_unchanged and now - previous.since > timeout:
                stuck.add(member.name)
    return frozenset(stuck)


def _check_member(
    name: str,
    row: model.ReplicaRow,
    reports: abc.Mapping[str, model.StatusReport],
    now: datetime.timedelta,
) -> UnreadyMember | None:
    report = reports.get(name)
    if (
        report is None
        or now - report.requested_at > formation.UNRESPONSIVE_AFTER
    ):
        return None
    if _is_ready(name, row, reports):
        return None
    is_broken = report.status.state == protocol.State.BROKEN
    other_names = [m.name for m in row.members if m.name != name]
    # A group may be broken because of another member. Then this member is not
    # at fault.
    if is_broken and not all(
        _is_ready(other, row, reports) for other in other_names
    ):
        return None
    return UnreadyMember(
        replica=row.replica,
        generation=row.generation,
        is_broken=is_broken,
        since=now,
    )


def _is_ready(
    name: str,
    row: model.ReplicaRow,
    reports: abc.Mapping[str, model.StatusReport],
) -> bool:
    report = reports.get(name)
    if report is None:
        return False
    status = report.status
    return (
        status.state == protocol.State.READY
        and status.replica == row.replica
        and status.generation == row.generation
    )
