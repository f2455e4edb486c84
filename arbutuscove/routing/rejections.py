"""Decides which replicas to avoid as they have just rejected requests.

The load pattern: a replica loses a member. Its leader rejects each request at
once and so has the least load, until statuses show what happened. All requests
of a daemon would go there first and use up its retries.

So a replica that rejected a request is avoided until its leader has reported
later than that, while another replica serves.
"""

import datetime
from collections import abc

from arbutuscove.replicas import model
from arbutuscove.replicas import serving


class Rejections:
    """When the replicas of one service last rejected a request.

    Times are monotonic.
    """

    def __init__(self) -> None:
        self._rejected_at: dict[str, datetime.timedelta] = {}

    def record(self, replica: str, now: datetime.timedelta) -> None:
        """Records that a replica did not run a request that it got."""
        oldest = now - serving.MAX_STATUS_AGE
        self._rejected_at = {
            name: at for name, at in self._rejected_at.items() if at >= oldest
        }
        self._rejected_at[replica] = now

    def list_avoided(
        self, servings: abc.Iterable[model.ServingReplica]
    ) -> frozenset[str]:
        """Returns which of the serving replicas to avoid, not all of them."""
        names = {item.replica: item.reported_at for item in servings}
        avoided = {
            name
            for name, reported_at in names.items()
            if name in self._rejected_at
            and self._rejected_at[name] >= reported_at
        }
        return frozenset(avoided if len(avoided) < len(names) else ())
