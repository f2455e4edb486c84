"""Whether the store answers this daemon, and whether its feeds may be lost.

A feed call that was sent before the end of a failure may have been lost by the
store and never be answered. Recovery listeners are therefore called when the
store answers again, and `is_in_doubt` says whether a feed call that is sent now
should wait only briefly.

That the store answers a peer again is a hint that it failed here, too, unless
it has answered here since the peer was first turned away. Without this limit,
each of many peers that are turned away makes all daemons call the store.
"""

import datetime
from collections import abc

import eliot

from arbutuscove.kernel import clock as clock_module

# After a failure the store may fail again, or for some calls only.
DOUBT_PERIOD = datetime.timedelta(seconds=1)
# A sound store accepts a connection sooner.
CONNECT_GRACE = datetime.timedelta(milliseconds=250)
MAX_UNAVAILABLE_PEERS = 4096
OWN_SOURCE = "store"  # in log lines, where the other sources are peers


class Availability:
    """What the outcomes of calls, here and at peers, say of the store."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        # Whether no call was answered since a failure.
        self._has_failed = False
        self._answered_at: datetime.timedelta | None = None
        self._recovered_at: datetime.timedelta | None = None
        self._peer_recovered_at: datetime.timedelta | None = None
        self._listeners: list[abc.Callable[[], bool]] = []
        # When each peer was first seen to be turned away.
        self._unavailable_peers: dict[str, datetime.timedelta] = {}
        # When each connection that is not open yet was begun, by call.
        self._connecting: dict[int, datetime.timedelta] = {}

    def add_recovery_listener(self, callback: abc.Callable[[], bool]) -> None:
        """Adds a function that is called when the store answers again.

        It ends the feed call that is pending, if any, and returns whether there
        was one.
        """
        self._listeners.append(callback)

    def is_available(self) -> bool:
        """Returns whether the last call was answered, and none hangs."""
        now = self._clock.monotonic()
        return not self._has_failed and all(
            now - since < CONNECT_GRACE for since in self._connecting.values()
        )

    def is_failing(self) -> bool:
        """Returns whether no call was answered since a failure."""
        return self._has_failed

    def is_in_doubt(self) -> bool:
        """Returns whether a feed call that is sent now may be lost."""
        if self._has_failed:
            return True
        now = self._clock.monotonic()
        recovered = self._recovered_at
        if recovered is not None and now - recovered < DOUBT_PERIOD:
            return True
        recovered = self._peer_recovered_at
        return (
            recovered is not None
            and now - recovered < DOUBT_PERIOD
            and not self._has_answered_since(recovered)
        )

    def begin_connecting(self, call: int) -> None:
        """Records that a call begins to open a connection."""
        self._connecting[call] = self._clock.monotonic()

    def end_connecting(self, call: int) -> None:
        """Records that a call has a connection, or gave up."""
        self._connecting.pop(call, None)

    def record_failure(self) -> None:
        """Records a call without an answer, or that was turned away."""
        self._has_failed = True

    def record_answer(self) -> None:
        """Records a call that was answered."""
        self._answered_at = self._clock.monotonic()
        if self._has_failed:
            self._has_failed = False
            self._recovered_at = self._answered_at
            self._report_recovery(OWN_SOURCE)

    def observe_peer(self, name: str, is_available: bool) -> None:
        """Learns whether the store answers a peer."""
        now = self._clock.monotonic()
        if not is_available:
            if len(self._unavailable_peers) < MAX_UNAVAILABLE_PEERS:
                self._unavailable_peers.setdefault(name, now)
            return
        since = self._unavailable_peers.pop(name, None)
        if since is None or self._has_answered_since(since):
            return
        self._peer_recovered_at = now
        self._report_recovery(name)

    def _has_answered_since(self, since: datetime.timedelta) -> bool:
        return self._answered_at is not None and self._answered_at > since

    def _report_recovery(self, source: str) -> None:
        restarted = [callback() for callback in self._listeners]
        if source == OWN_SOURCE or any(restarted):
            eliot.log_message(
                "store:available_again", source=source, feeds=sum(restarted)
            )
