"""Which daemons have tasks for others, as each daemon sees it.

Daemons may disagree for a moment, and no guarantee depends on it.
"""

from collections import abc

from arbutuscove.gossip import digest


def is_reader(
    own: digest.Heartbeat, live: abc.Iterable[digest.Heartbeat]
) -> bool:
    """Returns whether this daemon reads the list of VMs for its domain.

    The reader of a failure domain is the daemon with the largest VM among those
    that the store answers, since the whole list is sent at each heartbeat.
    Daemons may disagree for a moment: then two of them read, or none, and each
    daemon that receives no update reads the list itself.

    Args:
        own: the heartbeat of this daemon.
        live: the heartbeats of other live daemons.
    """
    return rank_as_reader(own, live) == 0


def rank_as_reader(
    own: digest.Heartbeat, live: abc.Iterable[digest.Heartbeat]
) -> int:
    """Returns how many daemons of its domain precede this one as the reader.

    Args:
        own: the heartbeat of this daemon.
        live: the heartbeats of other live daemons.
    """
    rank = (-own.capacity, own.name)
    return sum(
        (-heartbeat.capacity, heartbeat.name) < rank
        for heartbeat in live
        if heartbeat.failure_domain == own.failure_domain
        and heartbeat.store_ok
        and not heartbeat.leaving
    )


def pick_relays(
    own: digest.Heartbeat, live: abc.Iterable[digest.Heartbeat]
) -> list[str]:
    """Returns the IP address of the largest daemon of each other domain."""
    best: dict[str, tuple[int, str, str]] = {}
    for heartbeat in live:
        if heartbeat.failure_domain == own.failure_domain or heartbeat.leaving:
            continue
        rank = (-heartbeat.capacity, heartbeat.name, heartbeat.ip)
        current = best.get(heartbeat.failure_domain)
        if current is None or rank < current:
            best[heartbeat.failure_domain] = rank
    return [ip for _, _, ip in best.values()]


def rank_for_duty(
    own: digest.Heartbeat, live: abc.Iterable[digest.Heartbeat]
) -> int:
    """Returns how many live daemons precede this one as candidates for a duty.

    Daemons that reach all services precede others, and larger VMs smaller ones.
    Among equal ones the last by name comes first, as the first by name reads
    the list of VMs.
    """

    def rank(heartbeat: digest.Heartbeat) -> tuple[bool, int, str]:
        return (not heartbeat.unreached, heartbeat.capacity, heartbeat.name)

    return sum(
        rank(heartbeat) > rank(own)
        for heartbeat in live
        if not heartbeat.leaving
    )
