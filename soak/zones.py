"""Checks what servers got while they were cold or evacuated (FAILBACK, EVAC).

In any second, a cold server may get so many requests of all daemons together,
in touch or not: its rate times an overshoot, and a constant.

From `EVACUATE_SECONDS` after an evacuation was stored until it is taken back,
no request reaches a server of its zone. Daemons that were killed, paused or
stopped within `faults.SETTLE_SECONDS` are left out; one that is cut off from
the store is not, as the other daemons tell it. Requests that servers answer
with 421 count for neither.
"""

import bisect
import collections
from collections import abc

from arbutuscove.standins import users_platform
from soak import callers
from soak import faults
from soak import world

EVACUATE_SECONDS = 1.5
MAX_COLD_REQUESTS = world.COLD_RATE * world.COLD_OVERSHOOT + world.COLD_SLACK
WINDOW_SECONDS = 1.0
DISTURBANCES = ("kill", "pause", "term")  # of one daemon


def check_cold(
    arrivals: abc.Iterable[users_platform.Arrival],
) -> list[users_platform.Violation]:
    """Returns a violation for each cold server with too many requests.

    Args:
        arrivals: arrivals of requests at servers, by time.
    """
    by_server: dict[str, list[users_platform.Arrival]] = (
        collections.defaultdict(list)
    )
    for arrival in arrivals:
        if arrival.cold_left and not arrival.is_misdirected:
            by_server[arrival.server].append(arrival)
    violations = []
    for server, cold in by_server.items():
        times = [arrival.at for arrival in cold]
        spans = [
            cold[start : bisect.bisect_left(times, begin + WINDOW_SECONDS)]
            for start, begin in enumerate(times)
        ]
        fullest = max(spans, key=len)
        if len(fullest) > MAX_COLD_REQUESTS:
            moments = ", ".join(
                f"{arrival.request_id} {arrival.cold_left:.3f} s"
                for arrival in fullest
            )
            detail = (
                f"{len(fullest)} requests in a second at {server};"
                f" before it was warm: {moments}"
            )
            violations.append(
                users_platform.Violation(name="FAILBACK", detail=detail)
            )
    return violations


def check_evacuations(
    arrivals: abc.Collection[users_platform.Arrival],
    outcomes: abc.Iterable[callers.Outcome],
    records: abc.Collection[faults.Record],
) -> list[users_platform.Violation]:
    """Returns a violation for each evacuation that was not obeyed.

    Args:
        arrivals: arrivals of requests at servers.
        outcomes: outcomes of all requests.
        records: faults and planned work.
    """
    daemons = {outcome.request_id: outcome.daemon for outcome in outcomes}
    violations = []
    for record in records:
        if record.name != faults.EVACUATION or not record.target:
            continue
        since = record.started_at + EVACUATE_SECONDS
        late = [
            arrival
            for arrival in arrivals
            if arrival.zone == record.target
            and since <= arrival.at < record.ended_at
            and not arrival.is_misdirected
            and not _is_disturbed(
                daemons.get(arrival.request_id), arrival.at, records
            )
        ]
        if late:
            seconds = late[-1].at - record.started_at
            detail = (
                f"{len(late)} requests in evacuated zone {record.target}, the"
                f" last one, {late[-1].request_id} of"
                f" {daemons.get(late[-1].request_id)}, after {seconds:.2f} s"
            )
            violations.append(
                users_platform.Violation(name="EVAC", detail=detail)
            )
    return violations


def _is_disturbed(
    daemon: str | None, at: float, records: abc.Iterable[faults.Record]
) -> bool:
    return any(
        record.name in DISTURBANCES
        and record.target == daemon
        and record.started_at < at < record.ended_at + faults.SETTLE_SECONDS
        for record in records
    )
