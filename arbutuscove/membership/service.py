"""Probes peers and spreads what daemons know of each other.

Membership is a hint. It never decides who may act; leases and transactions in
the table service do.
"""

import datetime
import itertools

import eliot
import gevent
import msgspec

from arbutuscove.config import follower
from arbutuscove.config import model as config_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services
from arbutuscove.peers import client as client_module
from arbutuscove.peers import peer_pb2

SERVICE_NAME = "membership"
PROBE_INTERVAL = datetime.timedelta(seconds=1)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=500)
ALIVE_FOR = datetime.timedelta(seconds=10)
LEAVE_MESSAGES = 64  # sent at once; members beyond it hear by gossip
LEAVE_ATTEMPTS = 8
LEAVE_PAUSE = datetime.timedelta(milliseconds=250)
FETCH_TIMEOUT = datetime.timedelta(seconds=2)


class Membership(services.BaseService):
    """Probes one peer each interval and answers the probes of others."""

    def __init__(
        self,
        own: peer_pb2.Member,
        seeds: tuple[str, ...],
        clock: clock_module.Clock,
        client: client_module.PeerClient,
        config: follower.ConfigFollower,
    ) -> None:
        self._own = own
        self._seeds = tuple(s for s in seeds if s != own.peer_address)
        self._clock = clock
        self._client = client
        self._config = config
        self._members: dict[str, peer_pb2.Member] = {}
        self._heard: dict[str, datetime.timedelta] = {}
        self._fetching = False
        self._greenlet: gevent.Greenlet | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Begins to probe."""
        self._greenlet = gevent.spawn(self._run)

    def drain(self) -> None:
        """Tells the peers that this daemon leaves.

        A peer that is not reached here hears it with the next messages.
        """
        self._own.state = peer_pb2.LEFT
        members = list(self._members.values())[:LEAVE_MESSAGES]
        gevent.joinall(
            [gevent.spawn(self._announce, m.peer_address) for m in members]
        )

    def _announce(self, address: str) -> None:
        # The channel to a peer that was just restarted is still waiting to
        # reconnect, so one message alone would often be lost.
        for _ in range(LEAVE_ATTEMPTS):
            if self._probe(address):
                return
            self._clock.sleep(LEAVE_PAUSE)

    def stop(self) -> None:
        """Ends probing."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def set_load(self, load: int) -> None:
        """Publishes the number of requests in progress."""
        self._own.load = load

    def own(self) -> peer_pb2.Member:
        """Returns this daemon's own record."""
        return self._own

    def alive(self) -> list[peer_pb2.Member]:
        """Returns the peers that seem alive, without this daemon."""
        now = self._clock.monotonic()
        return [
            member
            for name, member in self._members.items()
            if now - self._heard[name] <= ALIVE_FOR
            and member.state == peer_pb2.ALIVE
        ]

    def answer_probe(self, gossip: peer_pb2.Gossip) -> peer_pb2.Gossip:
        """Takes a peer's gossip and returns one's own."""
        self._learn(gossip)
        return self._build_gossip()

    def answer_indirect(self, request: peer_pb2.IndirectProbe) -> bool:
        """Probes the target and returns whether it answered."""
        return self._probe(request.target_address)

    def answer_changes(self, after: int) -> peer_pb2.ChangesReply:
        """Returns configuration changes after a sequence number."""
        changes = self._config.changes_after(after)
        if changes is None:
            snapshot = msgspec.json.encode(self._config.current())
            return peer_pb2.ChangesReply(snapshot=snapshot)
        return peer_pb2.ChangesReply(
            changes=[msgspec.json.encode(change) for change in changes]
        )

    def _run(self) -> None:
        for turn in itertools.count():
            targets = sorted({m.peer_address for m in self._members.values()})
            targets = sorted(set(targets) | set(self._seeds))
            if targets:
                self._probe(targets[turn % len(targets)])
            self._clock.sleep(PROBE_INTERVAL)

    def _probe(self, address: str) -> bool:
        try:
            gossip = self._client.probe(
                address, self._build_gossip(), PROBE_TIMEOUT
            )
        except client_module.PeerUnreachableError:
            return False
        self._learn(gossip)
        return True

    def _build_gossip(self) -> peer_pb2.Gossip:
        return peer_pb2.Gossip(
            sender=self._own,
            config_sequence=self._config.current().sequence,
        )

    def _learn(self, gossip: peer_pb2.Gossip) -> None:
        sender = gossip.sender
        if sender.name == self._own.name:
            return
        self._members[sender.name] = sender
        self._heard[sender.name] = self._clock.monotonic()
        self._confirm_config()
        behind = gossip.config_sequence > self._config.current().sequence
        if behind and not self._fetching:
            self._fetching = True
            gevent.spawn(self._fetch, sender.peer_address)

    def _confirm_config(self) -> None:
        peers = max(len(self._members), len(self._seeds))
        if self._config.is_loaded() and len(self.alive()) * 2 > peers:
            self._config.confirm()

    def _fetch(self, address: str) -> None:
        after = self._config.current().sequence
        try:
            reply = self._client.fetch_changes(address, after, FETCH_TIMEOUT)
            if reply.snapshot:
                self._config.adopt(
                    msgspec.json.decode(
                        reply.snapshot, type=config_model.Snapshot
                    )
                )
            self._config.offer(
                [
                    msgspec.json.decode(item, type=config_model.Change)
                    for item in reply.changes
                ]
            )
        except client_module.PeerUnreachableError as error:
            eliot.log_message("membership:fetch_failed", reason=str(error))
        finally:
            self._fetching = False
