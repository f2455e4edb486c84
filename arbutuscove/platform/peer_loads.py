"""Sums of the requests that other daemons report in their heartbeats."""

import collections
from collections import abc

from arbutuscove.gossip import digest
from arbutuscove.relay import placement

# Services and models of which one heartbeat tells the waiting requests.
MAX_REPORTED_POOLS = 16
MAX_DOMAINS = 256
MAX_REPORTED_REQUESTS = 1_000_000  # waiting in one daemon, of one model


def sum_loads(
    heartbeats: abc.Sequence[digest.Heartbeat], fleet: int
) -> placement.PeerLoads:
    """Returns the sums of all daemons and of each failure domain.

    A daemon that hears less than half of the fleet does not know the demand of
    the failure domains.

    Args:
        heartbeats: those of the other live daemons.
        fleet: number of daemons that were counted lately, with this one.
    """
    is_known = len(heartbeats) > 0 and 2 * (len(heartbeats) + 1) >= fleet
    running: collections.Counter[int] = collections.Counter()
    by_domain: dict[str, collections.Counter[int]] = {}
    waiting: dict[str, collections.Counter[tuple[str, str]]] = {}
    by_daemon: dict[str, placement.DaemonLoad] = {}
    for heartbeat in heartbeats:
        if heartbeat.loads or heartbeat.demand:
            by_daemon[heartbeat.name] = _read_load(heartbeat)
        running.update(heartbeat.loads)
        domain = heartbeat.failure_domain
        if domain not in by_domain:
            if len(by_domain) >= MAX_DOMAINS:
                continue
            by_domain[domain] = collections.Counter()
            waiting[domain] = collections.Counter()
        by_domain[domain].update(heartbeat.loads)
        for service, model, count in heartbeat.demand[:MAX_REPORTED_POOLS]:
            waiting[domain][service, model] += min(count, MAX_REPORTED_REQUESTS)
    return placement.PeerLoads(
        running=running,
        daemons=len(heartbeats),
        by_domain=by_domain if is_known else None,
        waiting=waiting,
        by_daemon=by_daemon,
    )


def _read_load(heartbeat: digest.Heartbeat) -> placement.DaemonLoad:
    return placement.DaemonLoad(
        running=heartbeat.loads,
        waiting={
            (service, model): min(count, MAX_REPORTED_REQUESTS)
            for service, model, count in heartbeat.demand[:MAX_REPORTED_POOLS]
        },
    )


def encode_waiting(
    queues: abc.Iterable[tuple[tuple[str, str], int]],
) -> tuple[tuple[str, str, int], ...]:
    """Returns the longest queues as rows of a heartbeat."""
    rows = [(service, model, count) for (service, model), count in queues]
    rows.sort(key=lambda row: (-row[2], row))
    return tuple(rows[:MAX_REPORTED_POOLS])
