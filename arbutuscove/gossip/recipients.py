"""The daemons to which each heartbeat is sent, and what is sent with it.

Load pattern: a large fleet, in which each daemon sends at a fixed rate. What
crosses between failure domains is bounded for each domain, not for each daemon:
a domain needs a few copies of the news of another one, and passes them on.
"""

import dataclasses
import datetime
import random
from collections import abc

from arbutuscove.gossip import digest

NEAR_RECIPIENTS = 3
FAR_RECIPIENTS = 1
# Daemons of a failure domain that send to another one in each interval, on
# average; all of them in a smaller domain.
FAR_SENDERS = 16
# Daemons to which an update is sent by one daemon, which pass it on; all of
# them in a domain of at most twice as many.
FANOUT = 8
# Once in this many intervals a daemon that is not live is sent a heartbeat.
RECONNECT_INTERVALS = 8


def get_interval(peers: int) -> datetime.timedelta:
    """Returns the heartbeat interval in a fleet with this number of peers."""
    return (
        digest.INTERVAL
        if peers <= digest.SMALL_FLEET_PEERS
        else digest.LARGE_FLEET_INTERVAL
    )


def pick_recipients(
    own: digest.Heartbeat,
    live: abc.Sequence[digest.Heartbeat],
    others: abc.Sequence[str],
    interval: int,
    generator: random.Random,
) -> list[str]:
    """Returns the IP addresses to send to in this interval.

    Args:
        own: the heartbeat of this daemon.
        live: the heartbeats of other live daemons.
        others: addresses of unresponsive daemons and of those that have not
            sent a heartbeat yet.
        interval: number of the interval.
        generator: source of random choices.
    """
    chosen = [heartbeat.ip for heartbeat in live]
    if len(chosen) > digest.SMALL_FLEET_PEERS:
        domain = own.failure_domain
        near = [
            heartbeat.ip
            for heartbeat in live
            if heartbeat.failure_domain == domain
        ]
        far = [
            heartbeat.ip
            for heartbeat in live
            if heartbeat.failure_domain != domain
        ]
        chosen = generator.sample(near, min(NEAR_RECIPIENTS, len(near)))
        # In turns, so that the rate of a domain does not grow with its size.
        if generator.random() * (len(near) + 1) < FAR_SENDERS:
            chosen += generator.sample(far, min(FAR_RECIPIENTS, len(far)))
    if others and interval % RECONNECT_INTERVALS == 0:
        chosen.append(generator.choice(others))
    return chosen


def pick_relayed(
    peers: abc.Iterable[digest.Peer], limit: int, generator: random.Random
) -> list[digest.Heartbeat]:
    """Returns the heartbeats of other daemons to send with the own one.

    Those received last come first, as fewer daemons know them (rumor mongering,
    Demers et al., Epidemic Algorithms, 1987). A choice at random repeats what
    most recipients have.

    Args:
        peers: the live daemons.
        limit: the greatest number of heartbeats.
        generator: source of random choices among those received together.
    """
    ordered = sorted(
        peers,
        key=lambda peer: (peer.received, generator.random()),
        reverse=True,
    )
    return [peer.heartbeat for peer in ordered[:limit]]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Branch:
    """A daemon to send an update to, and those to which it passes it on."""

    ip: str
    others: tuple[str, ...] = ()


def split_branches(
    daemons: abc.Sequence[digest.Heartbeat], generator: random.Random
) -> list[Branch]:
    """Returns to whom an update for all these daemons is sent.

    Load pattern: a failure domain of a hundred daemons, of which one reads
    thousands of entries and would send each change to all others. The daemons
    that pass an update on differ from one update to the next, so that one which
    is gone and not noticed yet costs few daemons one update each.

    Args:
        daemons: the heartbeats of the recipients.
        generator: source of random choices.
    """
    capable = [
        heartbeat
        for heartbeat in daemons
        if heartbeat.passes_on and not heartbeat.leaving
    ]
    if len(daemons) <= 2 * FANOUT or len(capable) < FANOUT:
        return [Branch(ip=heartbeat.ip) for heartbeat in daemons]
    heads = [heartbeat.ip for heartbeat in generator.sample(capable, FANOUT)]
    others = [
        heartbeat.ip for heartbeat in daemons if heartbeat.ip not in heads
    ]
    return [
        Branch(ip=ip, others=tuple(others[number::FANOUT]))
        for number, ip in enumerate(heads)
    ]
