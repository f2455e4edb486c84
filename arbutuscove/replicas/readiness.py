"""Which members answer but do not become ready.

A member is *stuck* when it has not reported `ready` in its replica's
generation within a limit, although it may load and answers. Time in which a
replica waits for a load permit does not count.
"""

import dataclasses
import datetime
from collections import abc

from arbutuscove.replicas import formation
from arbutuscove.replicas import model
from arbutuscove.replicas import serving
from arbutuscove.upstreams import protocol

# Loads take minutes from a weight store that is shared and rate-limited; a
# shorter limit would end loads that still progress.
READY_LIMIT = datetime.timedelta(minutes=10)
# A leader reports its group whole again within seconds of the members'
# return. Regrouping takes seconds, so waiting longer costs more than it saves.
BROKEN_LIMIT = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Unready:
    """Since when a member has not been ready in a generation."""

    replica: str
    generation: int
    broken: bool
    since: datetime.timedelta


def note(
    unready: dict[str, Unready],
    view: formation.View,
    wanted: abc.Mapping[str, model.ReplicaRow],
) -> None:
    """Updates the members of one fabric domain that are not ready.

    Args:
        unready: records by VM, changed in place.
        view: what the controller sees of the domain.
        wanted: by VM, the replicas that may load or regroup now.
    """
    for name in set(unready) - set(view.fleet):
        del unready[name]
    for name in view.vms:
        row = wanted.get(name)
        found = None if row is None else _judge(name, row, view.seen, view.now)
        known = unready.pop(name, None)
        if found is None:
            continue
        same = known is not None and found == dataclasses.replace(
            known, since=view.now
        )
        unready[name] = known if known is not None and same else found


def find_stuck(
    replicas: abc.Mapping[str, model.ReplicaRow],
    seen: abc.Mapping[str, model.StatusReport],
    unready: abc.Mapping[str, Unready],
    now: datetime.timedelta,
) -> frozenset[str]:
    """Returns the members whose limit has passed and that are not ready."""
    stuck = set()
    for written in replicas.values():
        # During a table outage a repair is ahead of the written row.
        row = serving.find_effective(written, seen)
        for member in row.members:
            known = unready.get(member.name)
            found = _judge(member.name, row, seen, now)
            if known is None or found is None:
                continue
            limit = BROKEN_LIMIT if known.broken else READY_LIMIT
            same = found == dataclasses.replace(known, since=now)
            if same and now - known.since > limit:
                stuck.add(member.name)
    return frozenset(stuck)


def _judge(
    name: str,
    row: model.ReplicaRow,
    seen: abc.Mapping[str, model.StatusReport],
    now: datetime.timedelta,
) -> Unready | None:
    report = seen.get(name)
    if report is None or now - report.requested_at > formation.LOST_AFTER:
        return None
    if _is_ready(name, row, seen):
        return None
    broken = report.status.state == protocol.State.BROKEN
    others = [m.name for m in row.members if m.name != name]
    # A group that lacks another member is not this member's fault.
    if broken and not all(_is_ready(other, row, seen) for other in others):
        return None
    return Unready(
        replica=row.replica,
        generation=row.generation,
        broken=broken,
        since=now,
    )


def _is_ready(
    name: str, row: model.ReplicaRow, seen: abc.Mapping[str, model.StatusReport]
) -> bool:
    report = seen.get(name)
    if report is None:
        return False
    status = report.status
    return (
        status.state == protocol.State.READY
        and status.replica == row.replica
        and status.generation == row.generation
    )
