"""Sends and receives heartbeats over UDP."""

import datetime
import random
import typing
from collections import abc

import eliot
import gevent
import msgspec
from gevent import socket

from arbutuscove.gossip import digest
from arbutuscove.gossip import evidence
from arbutuscove.gossip import recipients
from arbutuscove.gossip import roles
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.kernel import turns

SERVICE_NAME = "gossip"
_MessageT = typing.TypeVar("_MessageT", bound=digest.Message)
MAX_DATAGRAM_BYTES = 65000  # bytes
# The heartbeat that announces a leave is repeated, as datagrams may be lost.
LEAVE_REPEATS = 3
# Number of daemons that may apply for a duty at the same time. In the order of
# their ranks, each further set of this size waits longer by `CANDIDATE_DELAY`.
CANDIDATES_PER_STEP = 2
# Time in which a new daemon receives the heartbeats of the others.
DISCOVERY_TIME = datetime.timedelta(milliseconds=500)
CANDIDATE_DELAY = datetime.timedelta(seconds=1)


class Gossip(services.LoopService):
    """Exchanges heartbeats with the other daemons and tracks which are live.

    `update_own` returns a heartbeat with the current state of this daemon.
    `report_stalled` and `report_slow` are called with the name of a peer and
    the key of a group that the peer reports as stalled or slow, and
    `report_not_stalled` when the peer no longer reports it.
    """

    def __init__(
        self,
        own: digest.Heartbeat,
        port: int,
        clock: clock_module.Clock,
        generator: random.Random,
        update_own: abc.Callable[[digest.Heartbeat], digest.Heartbeat],
        report_stalled: abc.Callable[[str, tuple[str, int]], None],
        report_slow: abc.Callable[[str, tuple[str, int]], None],
        report_not_stalled: abc.Callable[
            [str, tuple[str, int]], None
        ] = lambda peer, key: None,
    ) -> None:
        self._own = own
        self._port = port
        self._clock = clock
        self._generator = generator
        self._update_own = update_own
        self._report_stalled = report_stalled
        self._report_slow = report_slow
        self._report_not_stalled = report_not_stalled
        self._stalled: dict[str, frozenset[tuple[str, int]]] = {}
        self._table = digest.PeerTable(own.name)
        self._known_ips: set[str] = set()
        self._has_peer_list = False
        self._leaving = False
        self._socket: socket.socket | None = None
        self._receiver: gevent.Greenlet | None = None
        self._previously_live: frozenset[str] = frozenset()
        self._handlers: dict[type, abc.Callable[[typing.Any], None]] = {}
        self._handle_config_version: abc.Callable[[int], None] | None = None
        self._observe_peer: abc.Callable[[digest.Heartbeat], None] | None = None
        self._evidence = evidence.EvidenceExchange(clock)
        self._started = clock.monotonic()
        self._duty_unheld_since = self._started

    def start(self, kernel: services.Kernel) -> None:
        """Opens the socket and starts sending and receiving."""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((self._own.ip, self._port))
        self._receiver = gevent.spawn(self._receive)
        self.run_loop(self._run)

    def stop(self) -> None:
        """Closes the socket."""
        super().stop()
        if self._receiver is not None:
            self._receiver.kill()
        if self._socket is not None:
            self._socket.close()

    def add_peers(self, ips: abc.Iterable[str]) -> None:
        """Adds IP addresses of possible daemons and sends them a heartbeat."""
        self._has_peer_list = True
        self._known_ips.update(ip for ip in ips if ip != self._own.ip)
        # Each daemon of a fleet that starts sends to all of them.
        self._send(self._known_ips, relayed=0)

    def announce_leave(self) -> None:
        """Notifies all live daemons at once that this daemon leaves."""
        self._leaving = True
        for _ in range(LEAVE_REPEATS):
            self.broadcast()

    def broadcast(self) -> None:
        """Sends this daemon's heartbeat to all live daemons at once.

        Relayed heartbeats alone take a second to reach half of 72 daemons.
        """
        self._send((heartbeat.ip for heartbeat in self.get_live()), relayed=0)

    def broadcast_near(self) -> None:
        """Sends this daemon's heartbeat to those of its failure domain."""
        self._send((heartbeat.ip for heartbeat in self._list_near()), relayed=0)

    def send_message(self, ip: str, message: digest.Message) -> None:
        """Sends a message to one daemon."""
        self.send_data(ip, digest.ENCODER.encode(message))

    def set_handler(
        self, kind: type[_MessageT], handler: abc.Callable[[_MessageT], None]
    ) -> None:
        """Sets the function that handles messages of one type."""
        self._handlers[kind] = handler

    def set_config_version_handler(
        self, handler: abc.Callable[[int], None]
    ) -> None:
        """Sets the function that handles configuration versions of peers."""
        self._handle_config_version = handler

    def set_peer_observer(
        self, observer: abc.Callable[[digest.Heartbeat], None]
    ) -> None:
        """Sets the function to call with each new heartbeat of a peer."""
        self._observe_peer = observer

    def set_evidence_source(self, source: evidence.EvidenceSource) -> None:
        """Sets the evidence to exchange with the other daemons."""
        self._evidence.set_source(source)

    def broadcast_evidence(self, content: bytes) -> None:
        """Sends evidence to all live daemons at once.

        A daemon that misses it learns it by the fingerprints in heartbeats.
        """
        data = digest.ENCODER.encode(
            digest.EvidenceUpdate(sender=self._own.name, content=content)
        )
        for heartbeat in self.get_live():
            if heartbeat.evidence >= 0:
                self.send_data(heartbeat.ip, data)

    def owns(self, key: int) -> bool:
        """Returns whether this daemon is responsible for a key.

        The daemons agree on it as far as they agree on which of them are live
        (rendezvous hashing, Thaler and Ravishankar 1998).
        """
        own_weight = digest.compute_weight(self._own.name, key)
        return all(
            own_weight > digest.compute_weight(heartbeat.name, key)
            for heartbeat in self.get_live()
            if not heartbeat.leaving
        )

    def get_own(self) -> digest.Heartbeat:
        """Returns the last heartbeat that this daemon sent."""
        return self._own

    def is_reader(self) -> bool:
        """Returns whether this daemon reads the list for its domain."""
        return roles.is_reader(self._own, self.get_live())

    def is_deputy(self) -> bool:
        """Returns whether this daemon reads the list if the reader does not.

        The reader may be gone for seconds before it counts as unresponsive.
        """
        return roles.rank_as_reader(self._own, self.get_live()) == 1

    def send_update(
        self,
        before: int,
        version: int,
        rows: abc.Iterable[digest.ListRow],
        to_all: bool,
        era: int = 0,
    ) -> None:
        """Sends the changes of the list of VMs to other daemons.

        Args:
            before: the version that this daemon had before.
            version: the version that was read.
            rows: the entries that changed between them.
            to_all: whether to send to other failure domains too, through one
                daemon of each.
            era: the era of the store in which both versions were read.
        """
        relays = roles.pick_relays(self._own, self.get_live()) if to_all else []
        for update in digest.split_update(
            self._own.name, before, version, rows, era
        ):
            self.forward_update(update)
            update = msgspec.structs.replace(update, relay=True)
            data = digest.pack(update)
            for ip in relays:
                self.send_data(ip, data)

    def forward_update(self, update: digest.ListUpdate) -> None:
        """Sends an update to the daemons of this failure domain."""
        self._send_branches(
            msgspec.structs.replace(update, relay=False),
            self._list_near(),
        )

    def pass_on(self, update: digest.ListUpdate) -> None:
        """Sends an update to the daemons that it names."""
        named = set(update.branch)
        live = [beat for beat in self.get_live() if beat.ip in named]
        self._send_branches(update, live)
        data = digest.pack(msgspec.structs.replace(update, branch=()))
        for ip in named - {beat.ip for beat in live}:
            if self.is_known(ip):
                self.send_data(ip, data)

    def _send_branches(
        self, update: digest.ListUpdate, daemons: list[digest.Heartbeat]
    ) -> None:
        plain = digest.pack(msgspec.structs.replace(update, branch=()))
        for branch in recipients.split_branches(daemons, self._generator):
            data = plain
            if branch.others:
                data = digest.pack(
                    msgspec.structs.replace(update, branch=branch.others)
                )
            self.send_data(branch.ip, data)

    def send_operator_update(
        self, update: digest.OperatorUpdate, to_all: bool
    ) -> None:
        """Sends what the operator's table has to other daemons.

        An update that is too large for a datagram is not sent.

        Args:
            update: the update.
            to_all: whether to send to other failure domains too, through one
                daemon of each.
        """
        update = msgspec.structs.replace(update, sender=self._own.name)
        data = digest.pack(update)
        if len(data) > digest.MAX_OPERATOR_UPDATE_BYTES:
            eliot.log_message("gossip:update_too_large", bytes=len(data))
            return
        self._send_to_domain(data)
        if to_all:
            data = digest.pack(msgspec.structs.replace(update, relay=True))
            for ip in roles.pick_relays(self._own, self.get_live()):
                self.send_data(ip, data)

    def forward_operator_update(self, update: digest.OperatorUpdate) -> None:
        """Sends an update to the daemons of this failure domain."""
        update = msgspec.structs.replace(update, relay=False)
        self._send_to_domain(digest.pack(update))

    def _send_to_domain(self, data: bytes) -> None:
        for heartbeat in self._list_near():
            self.send_data(heartbeat.ip, data)

    def _list_near(self) -> list[digest.Heartbeat]:
        domain = self._own.failure_domain
        return [
            heartbeat
            for heartbeat in self.get_live()
            if heartbeat.failure_domain == domain
        ]

    def get_live(self) -> list[digest.Heartbeat]:
        """Returns the heartbeats of the other live daemons."""
        return self._table.list_live(self._clock.monotonic())

    def list_heard(self, memory: datetime.timedelta) -> frozenset[str]:
        """Returns the names of the other daemons that were heard lately.

        Args:
            memory: how long a silent daemon counts.
        """
        return self._table.list_heard(self._clock.monotonic(), memory)

    def has_possible_peers(self) -> bool:
        """Returns whether the store has listed other daemons."""
        return bool(self._known_ips)

    def count_possible_peers(self) -> int | None:
        """Returns how many other daemons the store lists, None if unknown."""
        return len(self._known_ips) if self._has_peer_list else None

    def follows_operator(self, name: str) -> bool:
        """Returns whether a live daemon tells what the operator's table has.

        Daemons of earlier versions do not.
        """
        return any(
            heartbeat.name == name and heartbeat.evacuated_at >= 0
            for heartbeat in self.get_live()
        )

    def is_known(self, ip: str) -> bool:
        """Returns whether an IP address belongs to a daemon, as far as known.

        Daemons that are not live count, too.
        """
        return ip in self._known_ips or self._table.has_ip(ip)

    def must_defer(self, duty: str) -> bool:
        """Returns whether this daemon must not apply for the duty yet.

        That is so while a live daemon reports that it holds the duty, just
        after the start of this daemon, and while other candidates precede it.
        """
        now = self._clock.monotonic()
        live = self.get_live()
        if any(
            heartbeat.holding and not heartbeat.leaving for heartbeat in live
        ):
            self._duty_unheld_since = now
            return True
        # The largest VMs apply for the duty first, the others only if these did
        # not acquire it. This avoids calls of a whole fleet for one row.
        rank = roles.rank_for_duty(self._own, live)
        if now - self._started < DISCOVERY_TIME:
            return True
        waited = now - self._duty_unheld_since
        return waited < CANDIDATE_DELAY * (rank // CANDIDATES_PER_STEP)

    def is_holder_lost(self, identity: str, epoch: int) -> bool:
        """Returns whether a lease holder is unresponsive, ended or resigned.

        Args:
            identity: identity of the process that holds the lease.
            epoch: epoch of the lease, which is its fencing token.
        """
        return self._table.is_holder_lost(
            identity, epoch, self._clock.monotonic()
        )

    def _run(self) -> None:
        interval = 0
        while True:
            self._clock.sleep(recipients.get_interval(len(self.get_live())))
            interval += 1
            now = self._clock.monotonic()
            live = self._table.list_live(now)
            live_ips = {heartbeat.ip for heartbeat in live}
            others = sorted(
                (
                    self._known_ips
                    | {peer.ip for peer in self._table.list_unresponsive(now)}
                )
                - live_ips
            )
            self._log_changes(live)
            was_ready = self._own.ready
            self._send(
                recipients.pick_recipients(
                    self._own, live, others, interval, self._generator
                )
            )
            if self._own.ready and not was_ready:
                # After a stop of the whole fleet, callers would be told of few
                # daemons until relayed heartbeats have reached all others.
                self.broadcast_near()

    def _log_changes(self, live: list[digest.Heartbeat]) -> None:
        names = frozenset(heartbeat.name for heartbeat in live)
        for name in sorted(names - self._previously_live):
            eliot.log_message("gossip:daemon_heard", daemon=name)
        for name in sorted(self._previously_live - names):
            eliot.log_message("gossip:daemon_silent", daemon=name)
        self._previously_live = names

    def _send(
        self,
        ips: abc.Iterable[str],
        relayed: int = digest.MAX_RELAYED_HEARTBEATS,
    ) -> None:
        """Sends one datagram with this daemon's heartbeat to some addresses."""
        if self._socket is None:
            return
        self._own = msgspec.structs.replace(
            self._update_own(self._own),
            counter=self._own.counter + 1,
            leaving=self._leaving,
            evidence=self._evidence.get_fingerprint(),
        )
        # Heartbeats are relayed only in a fleet too large to send to all peers.
        others: list[digest.Heartbeat] = []
        counters: tuple[int, ...] = ()
        live = self.get_live()
        if relayed and len(live) > digest.SMALL_FLEET_PEERS:
            now = self._clock.monotonic()
            others = recipients.pick_relayed(
                self._table.list_live_peers(now), relayed, self._generator
            )
            counters = self._table.list_counters(now, self._generator)
        message = digest.Datagram(
            sender=self._own, others=tuple(others), counters=counters
        )
        data = (
            digest.pack(message) if others else digest.ENCODER.encode(message)
        )
        for ip in ips:
            self.send_data(ip, data)

    def send_data(self, ip: str, data: bytes) -> None:
        """Sends a datagram to one daemon; it may be lost."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, (ip, self._port))
        except OSError as error:
            eliot.log_message("gossip:send_failed", ip=ip, reason=str(error))

    def _receive(self) -> None:
        assert self._socket is not None
        turn = turns.Turn()
        while True:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
                turn.spend(len(data))
                message = digest.decode(data)
            except digest.MessageError as error:
                eliot.log_message("gossip:unreadable", reason=str(error))
                continue
            except OSError as error:
                eliot.log_message("gossip:receive_failed", reason=str(error))
                self._clock.sleep(datetime.timedelta(milliseconds=50))
                continue
            try:
                self._handle_message(message)
            except Exception:  # noqa: BLE001 - receive on after any error
                eliot.write_traceback()

    def _handle_message(self, message: digest.Message) -> None:
        match message:
            case digest.EvidenceUpdate():
                self._evidence.merge(message)
            case digest.Datagram():
                self._handle_heartbeats(message)
            case digest.ListUpdate(branch=[_, *_]):
                self.pass_on(message)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _handle_heartbeats(self, message: digest.Datagram) -> None:
        now = self._clock.monotonic()
        self._table.merge_counters(message.counters, now)
        for heartbeat in (message.sender, *message.others):
            if self._table.merge(heartbeat, now):
                self._report_impaired_groups(heartbeat)
                if self._observe_peer is not None:
                    self._observe_peer(heartbeat)
                if self._handle_config_version is not None:
                    self._handle_config_version(heartbeat.config_version)
        answer = self._evidence.answer(message.sender, self._own.name)
        if answer is not None:
            self.send_data(message.sender.ip, digest.ENCODER.encode(answer))

    def _report_impaired_groups(self, heartbeat: digest.Heartbeat) -> None:
        """Reports groups that a peer newly found stalled or that are slow.

        Also reports those that it no longer finds stalled.
        """
        stalled_groups = frozenset(heartbeat.stalled)
        before = self._stalled.get(heartbeat.name, frozenset())
        self._stalled[heartbeat.name] = stalled_groups
        for key in stalled_groups - before:
            self._report_stalled(heartbeat.name, key)
        # A list of full length may lack groups that are still stalled.
        if len(before) < digest.MAX_REPORTED_GROUPS:
            for key in before - stalled_groups:
                self._report_not_stalled(heartbeat.name, key)
        for key in heartbeat.slow:
            self._report_slow(heartbeat.name, key)
