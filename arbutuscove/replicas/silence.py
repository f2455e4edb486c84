"""Decides when the silence of VMs says something of them, without I/O.

The load pattern: all paths of a daemon to a fabric domain fail for some seconds
and return. The first VM that is read again then has a new status beside those
of the others, which are as old as the failure, although they are sound. So once
the paths are back, silence counts only after it has lasted as long as that of
any VM that is replaced.
"""

import datetime
from collections import abc

from arbutuscove.replicas import formation


class Judge:
    """Remembers when the silence of each fabric domain last said nothing."""

    def __init__(self, has_paths: abc.Callable[[str], bool]) -> None:
        """Creates a judge.

        Args:
            has_paths: returns whether the silence of the VMs of a fabric
                domain now says something of them, not of this daemon's paths.
        """
        self._has_paths = has_paths
        self._unjudged_at: dict[str, datetime.timedelta] = {}

    def may_judge(self, fabric_domain: str, now: datetime.timedelta) -> bool:
        """Returns whether silent VMs of a domain may be replaced.

        It has to be called in each control round, to notice failures.

        Args:
            fabric_domain: the domain.
            now: monotonic time.
        """
        if not self._has_paths(fabric_domain):
            self._unjudged_at[fabric_domain] = now
            return False
        unjudged_at = self._unjudged_at.get(fabric_domain)
        if unjudged_at is None:
            return True
        if now - unjudged_at < formation.UNRESPONSIVE_AFTER:
            return False
        del self._unjudged_at[fabric_domain]
        return True
