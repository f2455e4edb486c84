"""Whether the silence of upstreams says something of them, without I/O.

A daemon that repairs what is silent has to know that the silence is not that
of its own paths.
"""

from collections import abc

from arbutuscove.paths import reach


def may_judge(
    service: str,
    verdicts: abc.Mapping[str, reach.Verdict],
    peers_unreached: abc.Iterable[abc.Container[str]],
) -> bool:
    """Returns whether the silent upstreams of a service may be replaced.

    Not while no path leads to them though a peer reaches them, and not while
    no path leads to any service: all may then serve at other daemons. A peer
    of a version that does not say what it reaches counts as one that does.

    Args:
        service: the service.
        verdicts: the verdicts of this daemon on all services of the kind.
        peers_unreached: for each live peer, the services it does not reach.

    Example:
        >>> verdicts = {
        ...     "a": reach.Verdict.UNREACHED,
        ...     "b": reach.Verdict.REACHED,
        ... }
        >>> may_judge("a", verdicts, [set()])
        False
        >>> may_judge("a", verdicts, [{"a"}])
        True
    """
    unreached = reach.Verdict.UNREACHED
    if verdicts.get(service, reach.Verdict.REACHED) is not unreached:
        return True
    if all(verdict is unreached for verdict in verdicts.values()):
        return False
    return all(service in peer for peer in peers_unreached)
