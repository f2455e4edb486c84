"""Probes of silent groups, which are marked as stalled for all daemons."""

import datetime
import random
from collections import abc

import gevent

from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths import connections as connections_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import model
from arbutuscove.relay import waiting

# Range of the random delay before a probe, which spreads the daemons' probes of
# a silent group.
PROBE_JITTER = datetime.timedelta(milliseconds=200)
# Pause between two probes of a group that was marked as a member was silent.
STALL_RECHECK_INTERVAL = datetime.timedelta(milliseconds=500)


class StallProbes:
    """Probes groups that make no progress, and marks the stalled ones.

    `notify_peers` sends this daemon's state to the other daemons at once;
    `probe_members` returns the members of a group that do not confirm their
    membership.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        request_dispatcher: waiting.RequestDispatcher,
        states: backends_module.BackendStates,
        connections: connections_module.UpstreamConnections,
        notify_peers: abc.Callable[[], None],
        probe_members: abc.Callable[[model.Backend], list[str]],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._dispatcher = request_dispatcher
        self._states = states
        self._connections = connections
        self._notify_peers = notify_peers
        self._probe_members = probe_members
        self._generator = generator

    def probe(
        self,
        service: str,
        backend: model.Backend,
        longest_pause: datetime.timedelta,
    ) -> None:
        """Starts a probe of the backend's group if it is silent and due.

        Args:
            service: the service of the group.
            backend: the group.
            longest_pause: the longest pause of a slow, healthy engine.
        """
        if backend.model and self._states.start_probe_if_due(backend.key):
            gevent.spawn(self._probe, service, backend, longest_pause)

    def _probe(
        self,
        service: str,
        backend: model.Backend,
        longest_pause: datetime.timedelta,
    ) -> None:
        key = backend.key
        # Many daemons find the same group silent at the same time. The first
        # that has probed it notifies the others.
        self._clock.sleep(PROBE_JITTER * self._generator.random())
        if self._states.is_stalled(key) or not self._states.is_silent(key):
            return
        started_at = self._clock.monotonic()
        unresponsive = self._probe_members(backend)
        if not self._states.is_silent(key):
            return
        if unresponsive:
            reason = f"no response from {unresponsive[0]}"
        elif self._states.is_past_stall_timeout(key, longest_pause):
            reason = "silence"
        else:
            return
        if not self._is_path_sound(service, started_at, bool(unresponsive)):
            return
        if not self._states.mark_stalled(key, reason):
            return
        self._notify_peers()
        if unresponsive:
            self._recheck_stall(service, backend, reason)

    def _is_path_sound(
        self, service: str, since: datetime.timedelta, has_probed: bool
    ) -> bool:
        """Returns whether silence is one of the group and not of the path.

        Args:
            service: the service of the group.
            since: monotonic time of the begin of the probe.
            has_probed: whether members were silent to the probe, which takes
                the path in use now; else requests that began before were.
        """
        if has_probed:
            return self._connections.confirm_contact(service, since)
        return self._connections.confirm_reach(service, since)

    def _recheck_stall(
        self, service: str, backend: model.Backend, reason: str
    ) -> None:
        """Clears the mark of a stalled group once all its members respond.

        A marked group gets no requests that could show its progress.
        """
        key = backend.key
        while self._states.is_stalled(key):
            self._clock.sleep(STALL_RECHECK_INTERVAL)
            if not self._states.is_stalled(key) or self._probe_members(backend):
                continue
            # A member that has left the list since then is not probed.
            current = self._dispatcher.list_backends((service, backend.model))
            if any(
                found.key == key and found.members >= backend.members
                for found in current
            ):
                if self._states.clear_stalled(key, reason):
                    self._notify_peers()
                return
