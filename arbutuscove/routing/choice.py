"""Choice of a replica as a pure function of load."""

from collections import abc

from arbutuscove.replicas import model


def choose(
    candidates: abc.Sequence[model.Serving],
    own: abc.Mapping[str, int],
    excluded: frozenset[str],
) -> model.Serving | None:
    """Returns the candidate with most free slots, or None if none has any.

    Args:
        candidates: replicas that may take work.
        own: this daemon's requests in progress on each replica.
        excluded: replicas not to use.
    """
    if all(replica.replica in excluded for replica in candidates):
        # Waiting for another replica would last until the deadline.
        excluded = frozenset()
    free = [
        replica
        for replica in candidates
        if replica.replica not in excluded
        and own.get(replica.replica, 0) < replica.slots
    ]
    if not free:
        return None
    return min(free, key=lambda item: (own.get(item.replica, 0), item.replica))
