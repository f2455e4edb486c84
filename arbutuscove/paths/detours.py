"""Failure domains that this daemon reaches through peers only, without I/O.

Load pattern: a daemon is cut off from the upstreams of one failure domain and
reaches those of the others, so that `paths.reach` finds its service reached.
Whether the domain or the path has failed, a single connection through a peer
tells. So one is tried for a domain whose upstreams accept no direct connection,
at most once in `TRIAL_INTERVAL`. Once one succeeds, connections to the domain
take the detour, except for one in `DIRECT_INTERVAL` that tries the direct path.

A second load pattern: a single VM accepts direct connections, or something on
the path does, and does not answer on them, while peers reach it. So the call
after one that was not answered goes through a peer.
"""

import collections
import datetime

TRIAL_INTERVAL = datetime.timedelta(milliseconds=500)
DIRECT_INTERVAL = datetime.timedelta(seconds=2)
# Names of domains come from entries. A full map is emptied.
MAX_DOMAINS = 64
MAX_SILENT_VMS = 4096  # the one that was silent first is dropped


class Detours:
    """The failure domains to which connections go through peers.

    Times are monotonic.
    """

    def __init__(self) -> None:
        # When a domain's next connection through a peer may be tried.
        self._next_trial: dict[str, datetime.timedelta] = {}
        # When the next direct connection to a domain on a detour may be tried.
        self._next_direct: dict[str, datetime.timedelta] = {}

    def must_take(self, domain: str, now: datetime.timedelta) -> bool:
        """Returns whether the next connection to a domain takes the detour.

        The call records that the direct path is tried if it returns False.
        """
        due = self._next_direct.get(domain)
        if due is None or now >= due:
            if due is not None:
                self._next_direct[domain] = now + DIRECT_INTERVAL
            return False
        return True

    def may_try(self, domain: str, now: datetime.timedelta) -> bool:
        """Returns whether a failed direct connection may try a peer.

        The call records the trial if it returns True.
        """
        if domain in self._next_direct:
            return True
        due = self._next_trial.get(domain)
        if due is not None and now < due:
            return False
        if len(self._next_trial) >= MAX_DOMAINS:
            self._next_trial.clear()
        self._next_trial[domain] = now + TRIAL_INTERVAL
        return True

    def begin(self, domain: str, now: datetime.timedelta) -> bool:
        """Records that a peer reached a domain where this daemon did not.

        Returns:
            Whether the domain was not on a detour before.
        """
        is_new = domain not in self._next_direct
        if is_new and len(self._next_direct) >= MAX_DOMAINS:
            self._next_direct.clear()
        self._next_direct[domain] = now + DIRECT_INTERVAL
        return is_new

    def end(self, domain: str) -> bool:
        """Records that a direct connection to a domain was accepted.

        Returns:
            Whether the domain was on a detour.
        """
        self._next_trial.pop(domain, None)
        return self._next_direct.pop(domain, None) is not None


class SilentVms:
    """The VMs to which the next calls go through peers, as direct ones failed.

    Times are monotonic. A VM that does not answer through a peer either is
    asked directly again, so that a dead one is asked on both paths by turns.
    """

    def __init__(self) -> None:
        self._until: collections.OrderedDict[str, datetime.timedelta] = (
            collections.OrderedDict()
        )

    def must_take_peer(self, vm: str, now: datetime.timedelta) -> bool:
        """Returns whether the next call to a VM goes through a peer."""
        until = self._until.get(vm)
        return until is not None and now < until

    def record_silence(
        self, vm: str, is_direct: bool, now: datetime.timedelta
    ) -> None:
        """Records a call that was not answered.

        Args:
            vm: name of the VM.
            is_direct: whether the call took the direct path.
            now: monotonic time.
        """
        self._until.pop(vm, None)
        if not is_direct:
            return
        self._until[vm] = now + DIRECT_INTERVAL
        if len(self._until) > MAX_SILENT_VMS:
            self._until.popitem(last=False)

    def record_answer(self, vm: str, is_direct: bool) -> None:
        """Records a call that was answered; see `record_silence`."""
        if is_direct:
            self._until.pop(vm, None)
