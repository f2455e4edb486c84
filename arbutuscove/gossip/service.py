"""Sends and receives beats over UDP."""

import datetime
import random
from collections import abc

import eliot
import gevent
import msgspec
from gevent import socket

from arbutuscove.gossip import digest
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "gossip"
DATAGRAM_LIMIT = 65000  # bytes
# A beat that says "leaving" is sent more than once, as datagrams get lost.
LEAVE_REPEATS = 3
# Daemons that stand for a duty at once, and how long the next ones wait.
CANDIDATES = 2
# Time in which a new daemon hears of the others.
SETTLE = datetime.timedelta(milliseconds=500)
STAND_DELAY = datetime.timedelta(seconds=1)


class Gossip(services.LoopService):
    """This daemon's view of the others."""

    def __init__(
        self,
        own: digest.Heartbeat,
        port: int,
        clock: clock_module.Clock,
        generator: random.Random,
        read_own: abc.Callable[[digest.Heartbeat], digest.Heartbeat],
        note_stalled: abc.Callable[[str, tuple[str, int]], None],
        note_slow: abc.Callable[[str, tuple[str, int]], None],
    ) -> None:
        self._own = own
        self._port = port
        self._clock = clock
        self._generator = generator
        self._read_own = read_own
        self._note_stalled = note_stalled
        self._note_slow = note_slow
        self._stalled: dict[str, frozenset[tuple[str, int]]] = {}
        self._table = digest.PeerTable(own.name)
        self._named: set[str] = set()
        self._leaving = False
        self._socket: socket.socket | None = None
        self._receiver: gevent.Greenlet | None = None
        self._live_before: frozenset[str] = frozenset()
        self._take_update: abc.Callable[[digest.ListUpdate], None] | None = None
        self._take_version: abc.Callable[[int], None] | None = None
        self._started = clock.monotonic()
        self._silent_duty_since = self._started

    def start(self, kernel: services.Kernel) -> None:
        """Opens the socket and begins to send and receive."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self._own.ip, self._port))
        self._receiver = gevent.spawn(self._receive)
        self.run_loop(self._send_all)

    def stop(self) -> None:
        """Closes the socket."""
        super().stop()
        if self._receiver is not None:
            self._receiver.kill()
        if self._socket is not None:
            self._socket.close()

    def add_peers(self, ips: abc.Iterable[str]) -> None:
        """Takes addresses at which daemons may be."""
        self._named.update(ip for ip in ips if ip != self._own.ip)
        self._send(self._named)

    def announce_leave(self) -> None:
        """Tells all live daemons at once that this one leaves."""
        self._leaving = True
        for _ in range(LEAVE_REPEATS):
            self._send(beat.ip for beat in self.get_live())

    def broadcast(self) -> None:
        """Sends this daemon's news to all others at once.

        What the others pass on reaches half of 72 daemons after a second.
        """
        self._send((beat.ip for beat in self.get_live()), relayed=0)

    def set_update_handler(
        self, take: abc.Callable[[digest.ListUpdate], None]
    ) -> None:
        """Names who takes what peers say of the list of VMs."""
        self._take_update = take

    def set_config_version_handler(
        self, take: abc.Callable[[int], None]
    ) -> None:
        """Names who takes the configuration versions of peers."""
        self._take_version = take

    def get_own(self) -> digest.Heartbeat:
        """Returns what this daemon last said of itself."""
        return self._own

    def is_reader(self) -> bool:
        """Returns whether this daemon reads the list for its domain."""
        return digest.is_reader(self._own, self.get_live())

    def send_update(
        self,
        before: int,
        version: int,
        rows: abc.Iterable[digest.ListRow],
        to_all: bool,
    ) -> None:
        """Tells other daemons what changed in the list.

        Args:
            before: the version that was known here before.
            version: the version that was read.
            rows: what changed between them.
            to_all: whether daemons of other failure domains are told, by way
                of one of each.
        """
        far = digest.pick_relays(self._own, self.get_live()) if to_all else []
        for update in digest.split_update(
            self._own.name, before, version, rows
        ):
            self.forward_update(update)
            update = msgspec.structs.replace(update, relay=True)
            data = digest.pack_update(update)
            for ip in far:
                self._send_data(ip, data)

    def forward_update(self, update: digest.ListUpdate) -> None:
        """Sends an update to the daemons of this failure domain."""
        update = msgspec.structs.replace(update, relay=False)
        data = digest.pack_update(update)
        for beat in self.get_live():
            if beat.failure_domain == self._own.failure_domain:
                self._send_data(beat.ip, data)

    def get_live(self) -> list[digest.Heartbeat]:
        """Returns the other daemons heard of lately."""
        return self._table.list_live(self._clock.monotonic())

    def holds(self, duty: str) -> bool:
        """Returns whether a live daemon says that it holds the duty."""
        now = self._clock.monotonic()
        live = self.get_live()
        if any(beat.holding and not beat.leaving for beat in live):
            self._silent_duty_since = now
            return True
        # The largest VMs stand for the duty; the others only when these did
        # not take it. It saves the calls of a whole fleet for one row.
        rank = digest.rank_for_duty(self._own, live)
        if now - self._started < SETTLE:
            return True
        waited = now - self._silent_duty_since
        return waited < STAND_DELAY * (rank // CANDIDATES)

    def is_lost(self, identity: str, epoch: int) -> bool:
        """Returns whether a holder fell silent, ended or gave its epoch up."""
        return self._table.is_lost(identity, epoch, self._clock.monotonic())

    def _send_all(self) -> None:
        turn = 0
        while True:
            self._clock.sleep(digest.find_interval(len(self.get_live())))
            turn += 1
            now = self._clock.monotonic()
            live = self._table.list_live(now)
            heard = {beat.ip for beat in live}
            others = sorted(
                (self._named | {b.ip for b in self._table.list_silent(now)})
                - heard
            )
            self._note_changes(live)
            self._send(
                digest.pick_recipients(
                    self._own, live, others, turn, self._generator
                )
            )

    def _note_changes(self, live: list[digest.Heartbeat]) -> None:
        names = frozenset(beat.name for beat in live)
        for name in sorted(names - self._live_before):
            eliot.log_message("gossip:daemon_heard", daemon=name)
        for name in sorted(self._live_before - names):
            eliot.log_message("gossip:daemon_silent", daemon=name)
        self._live_before = names

    def _send(
        self, ips: abc.Iterable[str], relayed: int = digest.RELAYED
    ) -> None:
        """Sends one datagram with this daemon's news to some addresses."""
        if self._socket is None:
            return
        self._own = msgspec.structs.replace(
            self._read_own(self._own),
            counter=self._own.counter + 1,
            leaving=self._leaving,
        )
        # Only a fleet that is not covered whole needs news passed on.
        others: list[digest.Heartbeat] = []
        counters: tuple[int, ...] = ()
        live = self.get_live()
        if relayed and len(live) > digest.SMALL_FLEET:
            count = min(relayed, len(live))
            others = self._generator.sample(live, count)
            counters = self._table.list_counters(
                self._clock.monotonic(), self._generator
            )
        data = digest.ENCODER.encode(
            digest.Datagram(
                sender=self._own, others=tuple(others), counters=counters
            )
        )
        for ip in ips:
            self._send_data(ip, data)

    def _send_data(self, ip: str, data: bytes) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, (ip, self._port))
        except OSError as error:
            eliot.log_message("gossip:send_failed", ip=ip, reason=str(error))

    def _receive(self) -> None:
        assert self._socket is not None
        while True:
            try:
                data = self._socket.recv(DATAGRAM_LIMIT)
                message = digest.decode(data)
            except digest.MessageError as error:
                eliot.log_message("gossip:unreadable", reason=str(error))
                continue
            except OSError as error:
                eliot.log_message("gossip:receive_failed", reason=str(error))
                self._clock.sleep(datetime.timedelta(milliseconds=50))
                continue
            if isinstance(message, digest.ListUpdate):
                if self._take_update is not None:
                    self._take_update(message)
                continue
            now = self._clock.monotonic()
            self._table.take_counters(message.counters, now)
            for beat in (message.sender, *message.others):
                if self._table.take(beat, now):
                    self._take_stalled(beat)
                    if self._take_version is not None:
                        self._take_version(beat.config_version)

    def _take_stalled(self, beat: digest.Heartbeat) -> None:
        """Passes on what a peer newly found stalled."""
        found = frozenset(beat.stalled)
        for key in found - self._stalled.get(beat.name, frozenset()):
            self._note_stalled(beat.name, key)
        self._stalled[beat.name] = found
        for key in beat.slow:
            self._note_slow(beat.name, key)
