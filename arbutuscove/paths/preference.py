"""Which daemons callers should be sent to, without I/O."""

import random
import typing
from collections import abc

# A sample of daemons has at least this number, so that callers have others when
# some fail, and at least this share of the daemons.
MIN_SAMPLE = 16
SAMPLE_SHARE = 0.5


class Daemon(typing.Protocol):
    """The part of a daemon's record that the choice needs."""

    @property
    def unreached(self) -> abc.Collection[str]:
        """The services to whose upstreams its own paths have failed."""


DaemonT = typing.TypeVar("DaemonT", bound=Daemon)


def prefer_reaching(daemons: abc.Sequence[DaemonT]) -> list[DaemonT]:
    """Returns the daemons that reach all services, unless they are few.

    All are returned if less than half of them would remain: these could not
    serve the callers of all.

    Example:
        >>> from arbutuscove.paths import carriers
        >>> own = carriers.Carrier(name="a", host="h", port=1, capacity=1)
        >>> cut = carriers.Carrier(
        ...     name="b",
        ...     host="h",
        ...     port=1,
        ...     capacity=1,
        ...     unreached=frozenset({"chat"}),
        ... )
        >>> [daemon.name for daemon in prefer_reaching([own, cut])]
        ['a']
        >>> [daemon.name for daemon in prefer_reaching([own, cut, cut])]
        ['a', 'b', 'b']
    """
    reaching = [daemon for daemon in daemons if not daemon.unreached]
    return list(daemons) if 2 * len(reaching) < len(daemons) else reaching


def sample_by_capacity(
    daemons: abc.Sequence[tuple[str, int]],
    limit: int,
    generator: random.Random,
) -> list[str]:
    """Returns a random sample of addresses, weighted by capacity.

    Callers use the addresses of an answer evenly, so daemons on larger VMs are
    in more answers. The sample is drawn without replacement (Efraimidis and
    Spirakis, Weighted Random Sampling with a Reservoir, 2006).

    Args:
        daemons: address and capacity of each daemon; a capacity of 0 is
            unknown and counts as the smallest that is known.
        limit: largest number of addresses.
        generator: source of random choices.
    """
    count = min(limit, max(MIN_SAMPLE, round(SAMPLE_SHARE * len(daemons))))
    smallest = min((size for _, size in daemons if size > 0), default=1)
    keys = {
        address: generator.random() ** (smallest / max(capacity, smallest))
        for address, capacity in daemons
    }
    return sorted(keys, key=lambda address: keys[address])[-count:]
