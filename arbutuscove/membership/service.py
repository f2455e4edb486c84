"""Probes peers and spreads what daemons know of each other.

Membership is a hint. It never decides who may act; leases and transactions in
the table service do. The decisions are in `swim`; this module sends, receives
and keeps time. Gossip also carries the configuration sequence, and a daemon
that hears a higher one fetches what it lacks.
"""

import dataclasses
import datetime
import typing
from collections import abc

import eliot
import gevent
import msgspec

from arbutuscove.config import follower
from arbutuscove.config import model as config_model
from arbutuscove.config import readers
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.membership import swim
from arbutuscove.membership import wire
from arbutuscove.peers import client as client_module
from arbutuscove.peers import peer_pb2
from arbutuscove.storage import table as table_module

SERVICE_NAME = "membership"
FETCH_TIMEOUT = datetime.timedelta(seconds=2)
SPREAD_TIMEOUT = datetime.timedelta(seconds=1)  # of news to peers at once
LEAVE_TIMEOUT = datetime.timedelta(seconds=2)
LEAVE_ATTEMPTS = 8
LEAVE_PAUSE = datetime.timedelta(milliseconds=250)
HELP_TIMEOUT_LIMIT = datetime.timedelta(seconds=5)  # asked of us by a peer
CHANGES_PAGE = 100  # changes in one reply, far below gRPC's 4 MB
FETCH_PAGES = 20  # pages fetched from one peer in a row
SMALL_FLEET = 16  # up to this, a new change is sent to all peers at once
FORCE_POLL = datetime.timedelta(milliseconds=200)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InForce:
    """Which live daemons have said that they apply a change."""

    sequence: int
    reached: tuple[str, ...]
    missing: tuple[str, ...]


class Suspicions(typing.Protocol):
    """What learns and tells of requests that crash upstreams."""

    def list_suspicions(self) -> list[peer_pb2.Suspicion]:
        """Returns what to tell peers."""

    def learn_suspicions(self, found: abc.Iterable[peer_pb2.Suspicion]) -> None:
        """Takes what a peer tells."""


class Membership(services.LoopService):
    """Probes one peer each interval and answers the probes of others."""

    def __init__(
        self,
        own: peer_pb2.Member,
        seeds: tuple[str, ...],
        clock: clock_module.Clock,
        client: client_module.PeerClient,
        config: follower.ConfigFollower,
        lag: loop.LagMonitor | None = None,
    ) -> None:
        others = tuple(seed for seed in seeds if seed != own.peer_address)
        self._view = swim.View(own=wire.decode_member(own), seeds=others)
        self._clock = clock
        self._client = client
        self._config = config
        self._lag = lag
        self._rank_loads: tuple[int, ...] = ()
        self._fetching = False
        self._suspicions: Suspicions | None = None

    def start(self, kernel: services.Kernel) -> None:
        """Begins to probe."""
        self._config.configure_polling(self._should_read_head, self.announce)
        self.run_loop(self._run)

    def drain(self) -> None:
        """Tells peers at once that this daemon leaves.

        A peer that is not reached here hears it by gossip.
        """
        self._step(swim.Leave())
        jobs = [
            gevent.spawn(self._announce_leave, peer)
            for peer in self.alive()[:SMALL_FLEET]
        ]
        gevent.joinall(jobs, timeout=LEAVE_TIMEOUT.total_seconds())

    def _announce_leave(self, peer: swim.Member) -> None:
        # The channel to a peer that was just restarted may still wait to
        # reconnect, so one message alone would often be lost.
        for _ in range(LEAVE_ATTEMPTS):
            if self._probe(peer.name, peer.peer_address):
                return
            self._clock.sleep(LEAVE_PAUSE)

    def carry(self, suspicions: Suspicions) -> None:
        """Sets whose suspicions travel on each probe."""
        self._suspicions = suspicions

    def spread(self) -> None:
        """Probes peers at once, for news that cannot wait its turn.

        In a large fleet only some are told; gossip tells the others.
        """
        jobs = [
            gevent.spawn(self._probe, member.name, member.peer_address)
            for member in self.alive()[:SMALL_FLEET]
        ]
        gevent.joinall(jobs, timeout=SPREAD_TIMEOUT.total_seconds())

    def set_loads(self, loads: tuple[int, ...]) -> None:
        """Publishes the requests running and waiting by priority."""
        self._rank_loads = swim.bound_loads(loads)

    def own(self) -> swim.Member:
        """Returns this daemon's own record."""
        self._refresh_own()
        return self._view.own

    def alive(self) -> list[swim.Member]:
        """Returns the peers that seem alive, without this daemon."""
        return swim.list_alive(self._view)

    def report_in_force(self, sequence: int) -> InForce:
        """Returns which live daemons apply a change, as far as heard."""
        members = sorted(
            [self.own(), *self.alive()], key=lambda member: member.name
        )
        done = [m.name for m in members if m.config_sequence >= sequence]
        rest = [m.name for m in members if m.config_sequence < sequence]
        return InForce(
            sequence=sequence, reached=tuple(done), missing=tuple(rest)
        )

    def wait_in_force(
        self, sequence: int, timeout: datetime.timedelta
    ) -> InForce:
        """Spreads an accepted change and waits until all live peers have it.

        A large fleet is told by gossip alone, so the report is then partial.
        """
        deadline = self._clock.monotonic() + timeout
        self._config.record_accepted(sequence)
        self._read_table()
        while True:
            jobs = self.announce()
            gevent.joinall(jobs, timeout=FORCE_POLL.total_seconds())
            self._clock.sleep(FORCE_POLL)
            report = self.report_in_force(sequence)
            if not report.missing or self._clock.monotonic() > deadline:
                return report

    def announce(self) -> list[gevent.Greenlet]:
        """Exchanges gossip with peers that lag behind, if the fleet is small.

        Returns the exchanges in progress.
        """
        peers = self.alive()
        if len(peers) >= SMALL_FLEET:
            return []
        sequence = self._config.get_snapshot().sequence
        return [
            gevent.spawn(self._probe, peer.name, peer.peer_address)
            for peer in peers
            if peer.config_sequence < sequence
        ]

    def turn(self) -> None:
        """Sends the probe of one interval and judges contact with the fleet."""
        lag = self._lag.lag() if self._lag else datetime.timedelta()
        for effect in self._step(swim.Tick(lag=lag)):
            gevent.spawn(self._carry_out, effect)
        self._confirm_config()

    def answer_probe(self, gossip: peer_pb2.Gossip) -> peer_pb2.Gossip:
        """Takes a peer's gossip and returns one's own."""
        self._learn(gossip)
        self._refresh_own()
        request = wire.decode_message(gossip)
        self._view, message = swim.answer(self._view, request)
        return self._encode(message)

    def answer_indirect(self, request: peer_pb2.IndirectProbe) -> bool:
        """Probes the target and returns whether it answered."""
        timeout = datetime.timedelta(milliseconds=request.timeout_ms)
        timeout = min(timeout or swim.PROBE_TIMEOUT, HELP_TIMEOUT_LIMIT)
        return bool(self._probe("", request.target_address, timeout))

    def answer_changes(self, after: int) -> peer_pb2.ChangesReply:
        """Returns configuration changes after a sequence number."""
        if not self._config.is_loaded():
            return peer_pb2.ChangesReply(loaded=False)
        changes = self._config.get_changes_after(after)
        if changes is None:
            snapshot = msgspec.json.encode(self._config.get_snapshot())
            return peer_pb2.ChangesReply(snapshot=snapshot, loaded=True)
        page = changes[:CHANGES_PAGE]
        return peer_pb2.ChangesReply(
            changes=[msgspec.json.encode(change) for change in page],
            loaded=True,
        )

    def _run(self) -> None:
        for seed in self._view.seeds[:SMALL_FLEET]:
            gevent.spawn(self._probe, "", seed)
        while True:
            self.turn()
            self._clock.sleep(swim.PROBE_INTERVAL)

    def _step(self, event: swim.Event) -> tuple[swim.Effect, ...]:
        now = self._clock.monotonic()
        self._view, effects = swim.step(self._view, event, now)
        return effects

    def _carry_out(self, effect: swim.Effect) -> None:
        match effect:
            case swim.Probe(name=name, address=address, timeout=timeout):
                found = self._probe(name, address, timeout)
                if not name:
                    return
                event = swim.ProbeEnded(name=name, answered=found == name)
                for further in self._step(event):
                    self._carry_out(further)
                self._confirm_config()
            case swim.ProbeThrough():
                self._probe_through(effect)

    def _probe(
        self,
        name: str,
        address: str,
        timeout: datetime.timedelta = swim.PROBE_TIMEOUT,
    ) -> str:
        """Returns the name of the daemon that answered, "" for none."""
        try:
            gossip = self._client.probe(
                address, self._build_gossip(name), timeout
            )
        except client_module.PeerUnreachableError:
            return ""
        self._learn(gossip)
        return str(gossip.sender.name)

    def _probe_through(self, effect: swim.ProbeThrough) -> None:
        jobs = [
            gevent.spawn(self._ask_helper, helper, effect)
            for helper in effect.helpers
        ]
        gevent.joinall(jobs)
        answers = [job.value for job in jobs]
        self._step(
            swim.IndirectEnded(
                name=effect.target.name,
                reached=True in answers,
                helped=sum(answer is not None for answer in answers),
            )
        )

    def _ask_helper(
        self, helper: swim.Member, effect: swim.ProbeThrough
    ) -> bool | None:
        inner = effect.timeout / 2
        request = peer_pb2.IndirectProbe(
            gossip=self._build_gossip(helper.name),
            target_address=effect.target.peer_address,
            timeout_ms=int(inner.total_seconds() * 1000),
        )
        try:
            return self._client.probe_indirect(
                helper.peer_address, request, effect.timeout
            )
        except client_module.PeerUnreachableError:
            return None

    def _build_gossip(self, to: str) -> peer_pb2.Gossip:
        self._refresh_own()
        self._view, message = swim.write_message(self._view, to)
        return self._encode(message)

    def _encode(self, message: swim.Message) -> peer_pb2.Gossip:
        return peer_pb2.Gossip(
            sender=wire.encode_member(message.sender),
            updates=[wire.encode_member(item) for item in message.updates],
            whole=message.whole,
            config_sequence=self._config.get_snapshot().sequence,
            config_loaded=self._config.is_loaded(),
            suspicions=(
                self._suspicions.list_suspicions() if self._suspicions else ()
            ),
        )

    def _learn(self, gossip: peer_pb2.Gossip) -> None:
        self._step(swim.Received(message=wire.decode_message(gossip)))
        if gossip.sender.name == self._view.own.name:
            return
        if self._suspicions is not None:
            self._suspicions.learn_suspicions(gossip.suspicions)
        self._config.record_accepted(gossip.config_sequence)
        missing = gossip.config_loaded and not self._config.is_loaded()
        behind = gossip.config_sequence > self._config.get_snapshot().sequence
        if (behind or missing) and not self._fetching:
            self._fetching = True
            gevent.spawn(self._fetch, gossip.sender.peer_address)

    def _refresh_own(self) -> None:
        own = self._view.own
        loads = self._rank_loads
        sequence = self._config.get_snapshot().sequence
        if (loads, sequence) != (own.rank_loads, own.config_sequence):
            own = dataclasses.replace(
                own,
                load=sum(loads),
                rank_loads=loads,
                config_sequence=sequence,
            )
            self._view = dataclasses.replace(self._view, own=own)

    def _confirm_config(self) -> None:
        seen_at = swim.date_majority(self._view, self._clock.monotonic())
        if seen_at is not None:
            self._config.record_contact(seen_at)

    def _should_read_head(self) -> bool:
        now = self._clock.monotonic()
        seen_at = swim.date_majority(self._view, now)
        own = self._view.own
        alive = self.alive()
        inputs = readers.ReaderInputs(
            own_name=own.name,
            region=own.region,
            regional_peers=[m.name for m in alive if m.region == own.region],
            daemon_count=len(alive) + 1,
            majority_contact_age=None if seen_at is None else now - seen_at,
            read_age=self._config.get_read_age(),
            has_config=self._config.is_loaded(),
        )
        return readers.should_read(inputs) or self._config.is_behind()

    def _fetch(self, address: str) -> None:
        try:
            for _ in range(FETCH_PAGES):
                if not self._fetch_page(address):
                    break
        except client_module.PeerUnreachableError as error:
            eliot.log_message("membership:fetch_failed", reason=str(error))
        finally:
            self._fetching = False
        if self._config.is_behind():
            self._read_table()
        self._confirm_config()

    def _fetch_page(self, address: str) -> bool:
        """Returns whether the peer gave something and more is missing."""
        before = self._config.get_snapshot().sequence
        reply = self._client.fetch_changes(address, before, FETCH_TIMEOUT)
        if not reply.loaded:
            return False
        changes = [
            msgspec.json.decode(item, type=config_model.Change)
            for item in reply.changes
        ]
        if reply.snapshot:
            snapshot = msgspec.json.decode(
                reply.snapshot, type=config_model.Snapshot
            )
            self._config.merge_snapshot(snapshot)
        elif not changes and not before:
            self._config.merge_snapshot(config_model.Snapshot())
        self._config.apply_changes(changes)
        advanced = self._config.get_snapshot().sequence > before
        return advanced and self._config.is_behind()

    def _read_table(self) -> None:
        try:
            self._config.poll_once()
        except table_module.TableUnavailableError as error:
            eliot.log_message("membership:read_failed", reason=str(error))
