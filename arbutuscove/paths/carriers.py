"""Choice of the peers that carry connections to upstreams, without I/O.

Every daemon ranks the peers for each upstream by weighted rendezvous hashing
(Thaler and Ravishankar 1998; Schindelhauer and Schomaker 2005), so that its
connections to one upstream go through the same peer and are used again, and
those of all daemons are spread by the size of the peers' VMs.
"""

import dataclasses
import math
from collections import abc

import xxhash

MAX_CARRIERS = 6  # peers that are asked for one connection
_HASH_RANGE = float(1 << 64)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Carrier:
    """A peer that may carry connections.

    Attributes:
        name: name of the daemon.
        host: IP address of the daemon.
        port: TCP port on which it accepts tunnels, 0 if it accepts none.
        capacity: processor time of its VM in thousandths of a core.
        unreached: services to which its own paths have failed.
        is_leaving: whether it drains.
        failure_domain: the failure domain of its VM.
    """

    name: str
    host: str
    port: int
    capacity: int
    unreached: frozenset[str] = frozenset()
    is_leaving: bool = False
    failure_domain: str = ""


def rank_carriers(
    carriers: abc.Iterable[Carrier],
    own_name: str,
    service: str,
    target: str,
    avoided: abc.Container[str] = frozenset(),
    domain: str = "",
    own_domain: str = "",
) -> list[Carrier]:
    """Returns the peers to ask for a connection, best first.

    Args:
        carriers: the live peers.
        own_name: name of this daemon.
        service: service of the upstream.
        target: address of the upstream.
        avoided: names of peers that carried nothing recently; they come last.
        domain: the failure domain that this daemon does not reach, if it is one
            only. Peers there come first, and those near this daemon, which
            share its paths, after all others.
        own_domain: the failure domain of this daemon.

    Example:
        >>> peers = [
        ...     Carrier(name="a", host="10.0.0.1", port=7340, capacity=500),
        ...     Carrier(name="b", host="10.0.0.2", port=0, capacity=500),
        ... ]
        >>> ranked = rank_carriers(peers, "c", "chat", "10.1.0.1:80")
        >>> [peer.name for peer in ranked]
        ['a']
    """
    usable = [
        carrier
        for carrier in carriers
        if carrier.port
        and not carrier.is_leaving
        and service not in carrier.unreached
    ]
    usable.sort(
        key=lambda carrier: (
            carrier.name in avoided,
            _rank_place(carrier, domain, own_domain) if domain else 0,
            -_compute_weight(carrier, f"{own_name}/{target}"),
        )
    )
    return usable[:MAX_CARRIERS]


def _rank_place(carrier: Carrier, domain: str, own_domain: str) -> int:
    if carrier.failure_domain == domain:
        return 0
    return 2 if carrier.failure_domain == own_domain else 1


def _compute_weight(carrier: Carrier, key: str) -> float:
    digest = xxhash.xxh3_64_intdigest(f"{carrier.name}/{key}".encode())
    uniform = (digest + 0.5) / _HASH_RANGE
    return max(1, carrier.capacity) / -math.log(uniform)
