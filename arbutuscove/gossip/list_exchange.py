"""Asks other daemons for the list of VMs, and answers them.

Load pattern: a large fleet of which many daemons start at the same time, or
miss an update. Each of them would read thousands of entries from the store.
"""

import datetime
import random
from collections import abc

import eliot

from arbutuscove.gossip import digest
from arbutuscove.gossip import list_history
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module

# Answers begun in one interval, which fill a link of 20 Mbit/s: some four whole
# lists of 3,000 VMs. Those who get none ask another daemon, of which there are
# more in each interval.
MAX_ANSWER_BYTES = 500_000
ANSWER_INTERVAL = datetime.timedelta(milliseconds=250)
# Daemons that are asked at once for changes: the first may lack them, too.
ASKED_FOR_CHANGES = 2


class ListExchange:
    """The list of VMs between the daemons of one failure domain.

    It does not decide when to ask, which is up to the follower of the list.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        gossip: gossip_service.Gossip,
    ) -> None:
        self._clock = clock
        self._generator = generator
        self._gossip = gossip
        self._interval_end = datetime.timedelta()
        self._answered_bytes = 0
        # The datagrams of the last whole list and its version and era.
        self._packed: tuple[tuple[int, int], list[bytes]] | None = None

    def count_possible_peers(self) -> int | None:
        """Returns how many other daemons the store lists, None if unknown."""
        return self._gossip.count_possible_peers()

    def has_ready_peers(self) -> bool:
        """Returns whether a daemon of this failure domain has the list."""
        return bool(list_ready(self._gossip.get_own(), self._gossip.get_live()))

    def ask(self, since: int, era: int) -> int:
        """Asks daemons of this failure domain for changes of the list.

        Args:
            since: the version up to which this daemon knows all changes;
                `digest.WHOLE_LIST` for the whole list.
            era: the era of that version.

        Returns:
            How many daemons were asked.
        """
        own, live = self._gossip.get_own(), self._gossip.get_live()
        count = 1 if since == digest.WHOLE_LIST else ASKED_FOR_CHANGES
        asked = pick_asked(own, live, count, self._generator)
        return self._send_request(asked, since, era)

    def ask_sender(self, name: str, since: int, era: int) -> int:
        """Asks the daemon that sent an update for those before it.

        Args:
            name: the name of the daemon, in any failure domain.
            since: the version up to which this daemon knows all changes.
            era: the era of that version.

        Returns:
            How many daemons were asked, 0 if it is not live.
        """
        asked = [
            heartbeat
            for heartbeat in self._gossip.get_live()
            if heartbeat.name == name
        ]
        return self._send_request(asked, since, era)

    def _send_request(
        self, asked: abc.Sequence[digest.Heartbeat], since: int, era: int
    ) -> int:
        own = self._gossip.get_own()
        request = digest.ListRequest(
            sender=own.name, ip=own.ip, since=since, era=era
        )
        for heartbeat in asked:
            self._gossip.send_message(heartbeat.ip, request)
        return len(asked)

    def answer(
        self,
        request: digest.ListRequest,
        history: list_history.ListHistory,
        version: int,
        era: int,
    ) -> None:
        """Answers a daemon that lacks what is known here.

        It is not answered if nothing newer is known, and if many others were
        answered just now. It then asks another daemon, or the store.

        Args:
            request: the question.
            history: what is known of the list.
            version: the version up to which all changes are known.
            era: the era of that version.
        """
        is_whole = request.since == digest.WHOLE_LIST
        if not is_whole and (request.era != era or request.since >= version):
            return
        if not self._gossip.is_known(request.ip):
            eliot.log_message("list:unknown_daemon", daemon=request.sender)
            return
        if not self._may_answer():
            eliot.log_message("list:answer_refused", daemon=request.sender)
            return
        for data in self._pack(history, request.since, version, era):
            self._answered_bytes += len(data)
            self._gossip.send_data(request.ip, data)

    def announce(self) -> None:
        """Tells the failure domain that this daemon has the list."""
        self._gossip.broadcast_near()

    def _may_answer(self) -> bool:
        now = self._clock.monotonic()
        if now >= self._interval_end:
            self._interval_end = now + ANSWER_INTERVAL
            self._answered_bytes = 0
        return self._answered_bytes < MAX_ANSWER_BYTES

    def _pack(
        self,
        history: list_history.ListHistory,
        since: int,
        version: int,
        era: int,
    ) -> list[bytes]:
        is_whole = since == digest.WHOLE_LIST
        if is_whole and self._packed is not None:
            packed_for, packed = self._packed
            if packed_for == (version, era):
                return packed
        rows = history.list_since(since)
        if rows is None:
            return []
        updates = list_history.split_answer(
            self._gossip.get_own().name, since, version, rows, era
        )
        packed = [digest.pack(update) for update in updates]
        if is_whole:
            self._packed = ((version, era), packed)
        return packed


def list_ready(
    own: digest.Heartbeat, live: abc.Iterable[digest.Heartbeat]
) -> list[digest.Heartbeat]:
    """Returns the daemons of this domain that have the list and stay."""
    return [
        heartbeat
        for heartbeat in live
        if heartbeat.failure_domain == own.failure_domain
        and heartbeat.ready
        and not heartbeat.leaving
    ]


def pick_asked(
    own: digest.Heartbeat,
    live: abc.Sequence[digest.Heartbeat],
    count: int,
    generator: random.Random,
) -> list[digest.Heartbeat]:
    """Returns the daemons to ask, which differ from one call to the next.

    Those that have the list come first. While no daemon of the domain has it,
    these are the ones that read it for the domain.
    """
    ready = list_ready(own, live)
    if ready:
        return generator.sample(ready, min(count, len(ready)))
    near = [
        heartbeat
        for heartbeat in live
        if heartbeat.failure_domain == own.failure_domain
        and heartbeat.store_ok
        and not heartbeat.leaving
    ]
    near.sort(key=lambda heartbeat: (-heartbeat.capacity, heartbeat.name))
    readers = near[:2]  # the reader and its deputy
    return generator.sample(readers, min(count, len(readers)))
