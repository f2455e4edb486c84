"""Which daemons callers should be sent to, without I/O."""

import typing
from collections import abc


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
