"""Probes peers and disseminates membership by gossip.

Membership is a hint. It never decides who may act; leases and transactions in
the table service do. The protocol's decisions are in `swim`; this module sends
and receives messages and runs the timers. Gossip also carries the configuration
sequence, and a daemon that receives a higher one than its own fetches the
missing changes.
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
from arbutuscove.kernel import decoding
from arbutuscove.kernel import loop
from arbutuscove.kernel import services
from arbutuscove.membership import swim
from arbutuscove.membership import wire
from arbutuscove.peers import client as client_module
from arbutuscove.peers import peer_pb2
from arbutuscove.storage import table as table_module

SERVICE_NAME = "membership"
FETCH_TIMEOUT = datetime.timedelta(seconds=2)
# Timeout for all probes that are sent to several peers at once.
PEER_PROBES_TIMEOUT = datetime.timedelta(seconds=1)
LEAVE_TIMEOUT = datetime.timedelta(seconds=2)
LEAVE_ATTEMPTS = 8
MAX_FINGERPRINTS = 8192  # members whose evidence is known
LEAVE_RETRY_DELAY = datetime.timedelta(milliseconds=250)
MAX_INDIRECT_TIMEOUT = datetime.timedelta(seconds=5)  # for peers' requests
CHANGES_PER_PAGE = 100  # changes in one reply, far below gRPC's 4 MB
MAX_FETCH_PAGES = 20  # fetched in a row from one peer
# Below this number of peers, a new change is sent to all of them at once. No
# more peers than this are probed at once.
SMALL_FLEET_PEERS = 16
APPLIED_POLL_INTERVAL = datetime.timedelta(milliseconds=200)
MAX_DOCUMENT_BYTES = 4 * 1024 * 1024  # gRPC's limit of one message

_CHANGE_DECODER = decoding.JsonDecoder[config_model.Change](
    config_model.Change, MAX_DOCUMENT_BYTES
)
_SNAPSHOT_DECODER = decoding.JsonDecoder[config_model.Snapshot](
    config_model.Snapshot, MAX_DOCUMENT_BYTES
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppliedReport:
    """Which live daemons have reported that they apply a change.

    `applied_by` names the daemons that apply it, `not_applied_by` the others.
    """

    sequence: int
    applied_by: tuple[str, ...]
    not_applied_by: tuple[str, ...]


class Suspicions(typing.Protocol):
    """Source and receiver of suspicions that a request crashes upstreams."""

    def list_suspicions(self) -> list[peer_pb2.Suspicion]:
        """Returns the suspicions to send to peers."""

    def merge_suspicions(
        self, suspicions: abc.Iterable[peer_pb2.Suspicion]
    ) -> None:
        """Merges the suspicions received from a peer."""


class EvidenceSource(typing.Protocol):
    """Source and receiver of evidence on prompt parts that crash upstreams."""

    def get_fingerprint(self) -> int:
        """Returns a hash of the evidence, 0 if there is nothing to send."""

    def encode_evidence(self) -> bytes:
        """Returns the evidence to send to peers, empty without any."""

    def merge_evidence(self, data: bytes) -> None:
        """Merges the evidence received from a peer."""


class Membership(services.LoopService):
    """Probes one peer in each interval and answers the probes of peers."""

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
        self._list_unreached: abc.Callable[[], tuple[str, ...]] = tuple
        self._is_fetching = False
        self._suspicions: Suspicions | None = None
        self._evidence: EvidenceSource | None = None
        # The fingerprint of each member's evidence, as last received.
        self._fingerprints: dict[str, int] = {}

    def start(self, kernel: services.Kernel) -> None:
        """Starts probing and registers with the configuration follower."""
        self._config.configure_polling(
            self._should_read_head, self.probe_outdated_peers
        )
        self.run_loop(self._run)

    def drain(self) -> None:
        """Notifies peers at once that this daemon leaves.

        Peers that are not reached here learn of it by gossip.
        """
        self._step(swim.Leave())
        jobs = [
            gevent.spawn(self._announce_leave, peer)
            for peer in self.get_alive()[:SMALL_FLEET_PEERS]
        ]
        gevent.joinall(jobs, timeout=LEAVE_TIMEOUT.total_seconds())

    def _announce_leave(self, peer: swim.Member) -> None:
        # The channel to a peer that has just restarted may still be waiting to
        # reconnect, so a single message would often be lost.
        for _ in range(LEAVE_ATTEMPTS):
            if self._probe(peer.name, peer.peer_address):
                return
            self._clock.sleep(LEAVE_RETRY_DELAY)

    def set_suspicion_source(self, suspicions: Suspicions) -> None:
        """Sets the source of the suspicions that are sent with each message."""
        self._suspicions = suspicions

    def set_evidence_source(self, evidence: EvidenceSource) -> None:
        """Sets the evidence on prompt parts to exchange with peers."""
        self._evidence = evidence

    def probe_peers(self) -> None:
        """Probes peers at once, for updates that must not wait for gossip.

        In a large fleet only some peers are probed; gossip reaches the others.
        """
        jobs = [
            gevent.spawn(self._probe, member.name, member.peer_address)
            for member in self.get_alive()[:SMALL_FLEET_PEERS]
        ]
        gevent.joinall(jobs, timeout=PEER_PROBES_TIMEOUT.total_seconds())

    def set_loads(self, loads: tuple[int, ...]) -> None:
        """Publishes the number of requests running and waiting by priority."""
        self._rank_loads = swim.bound_loads(loads)

    def set_unreached_source(
        self, list_unreached: abc.Callable[[], tuple[str, ...]]
    ) -> None:
        """Sets the source of the services that this daemon does not reach."""
        self._list_unreached = list_unreached

    def get_own(self) -> swim.Member:
        """Returns this daemon's own record."""
        self._refresh_own()
        return self._view.own

    def get_alive(self) -> list[swim.Member]:
        """Returns the peers believed alive, without this daemon."""
        return swim.list_alive(self._view)

    def report_applied(self, sequence: int) -> AppliedReport:
        """Returns which live daemons apply a change, as far as known here."""
        members = sorted(
            [self.get_own(), *self.get_alive()], key=lambda member: member.name
        )
        applied = [m.name for m in members if m.config_sequence >= sequence]
        outdated = [m.name for m in members if m.config_sequence < sequence]
        return AppliedReport(
            sequence=sequence,
            applied_by=tuple(applied),
            not_applied_by=tuple(outdated),
        )

    def wait_until_applied(
        self, sequence: int, timeout: datetime.timedelta
    ) -> AppliedReport:
        """Distributes a change and waits until all live peers apply it.

        A large fleet is updated by gossip alone, so the report is then partial.

        Args:
            sequence: configuration sequence of the change.
            timeout: time after which the current report is returned.

        Returns:
            Which live daemons apply the change at the end of the wait.
        """
        deadline = self._clock.monotonic() + timeout
        self._config.record_accepted(sequence)
        self._read_table()
        while True:
            jobs = self.probe_outdated_peers()
            gevent.joinall(jobs, timeout=APPLIED_POLL_INTERVAL.total_seconds())
            self._clock.sleep(APPLIED_POLL_INTERVAL)
            report = self.report_applied(sequence)
            if not report.not_applied_by or self._clock.monotonic() > deadline:
                return report

    def probe_outdated_peers(self) -> list[gevent.Greenlet]:
        """Probes peers with an older configuration, if the fleet is small.

        Returns:
            The probes in progress; an empty list in a large fleet.
        """
        peers = self.get_alive()
        if len(peers) >= SMALL_FLEET_PEERS:
            return []
        sequence = self._config.get_snapshot().sequence
        return [
            gevent.spawn(self._probe, peer.name, peer.peer_address)
            for peer in peers
            if peer.config_sequence < sequence
        ]

    def run_interval(self) -> None:
        """Sends the probe of one interval and confirms the configuration.

        The configuration is confirmed as of the last majority contact.
        """
        lag = self._lag.get_lag() if self._lag else datetime.timedelta()
        for effect in self._step(swim.Tick(lag=lag)):
            gevent.spawn(self._carry_out, effect)
        self._confirm_config()

    def answer_probe(self, gossip: peer_pb2.Gossip) -> peer_pb2.Gossip:
        """Processes gossip from a peer and returns the reply to it."""
        self._process_gossip(gossip)
        self._refresh_own()
        request = wire.decode_message(gossip)
        self._view, message = swim.build_reply(self._view, request)
        reply = self._encode(message)
        self._add_evidence(reply, gossip.sender.name)
        return reply

    def answer_indirect(self, request: peer_pb2.IndirectProbe) -> bool:
        """Probes a target for a peer and returns whether it answered."""
        timeout = datetime.timedelta(milliseconds=request.timeout_ms)
        timeout = min(timeout or swim.PROBE_TIMEOUT, MAX_INDIRECT_TIMEOUT)
        return bool(self._probe("", request.target_address, timeout))

    def answer_changes(self, after: int) -> peer_pb2.ChangesReply:
        """Returns configuration changes after a sequence number.

        The reply has a snapshot instead if the history does not reach back.
        """
        if not self._config.is_loaded():
            return peer_pb2.ChangesReply(loaded=False)
        changes = self._config.get_changes_after(after)
        if changes is None:
            snapshot = msgspec.json.encode(self._config.get_snapshot())
            return peer_pb2.ChangesReply(snapshot=snapshot, loaded=True)
        page = changes[:CHANGES_PER_PAGE]
        return peer_pb2.ChangesReply(
            changes=[msgspec.json.encode(change) for change in page],
            loaded=True,
        )

    def _run(self) -> None:
        for seed in self._view.seeds[:SMALL_FLEET_PEERS]:
            gevent.spawn(self._probe, "", seed)
        while True:
            self.run_interval()
            self._clock.sleep(swim.PROBE_INTERVAL)

    def _step(self, event: swim.Event) -> tuple[swim.Effect, ...]:
        now = self._clock.monotonic()
        self._view, effects = swim.step(self._view, event, now)
        return effects

    def _carry_out(self, effect: swim.Effect) -> None:
        match effect:
            case swim.Probe(name=name, address=address, timeout=timeout):
                responder = self._probe(name, address, timeout)
                if not name:
                    return
                event = swim.ProbeEnded(
                    name=name, is_answered=responder == name
                )
                for next_effect in self._step(event):
                    self._carry_out(next_effect)
                self._confirm_config()
            case swim.RequestIndirectProbes():
                self._request_indirect_probes(effect)

    def _probe(
        self,
        name: str,
        address: str,
        timeout: datetime.timedelta = swim.PROBE_TIMEOUT,
    ) -> str:
        """Returns the name of the daemon that answered, or "" if none did."""
        try:
            gossip = self._client.probe(
                address, self._build_gossip(name), timeout
            )
            self._process_gossip(gossip)
        except client_module.PeerUnreachableError:
            return ""
        except decoding.DecodingError as error:
            eliot.log_message(
                "membership:answer_invalid", peer=address, reason=str(error)
            )
            return ""
        return str(gossip.sender.name)

    def _request_indirect_probes(
        self, effect: swim.RequestIndirectProbes
    ) -> None:
        jobs = [
            gevent.spawn(self._request_indirect_probe, helper, effect)
            for helper in effect.helpers
        ]
        gevent.joinall(jobs)
        answers = [job.value for job in jobs]
        self._step(
            swim.IndirectProbesEnded(
                name=effect.target.name,
                is_reached=True in answers,
                answer_count=sum(answer is not None for answer in answers),
            )
        )

    def _request_indirect_probe(
        self, helper: swim.Member, effect: swim.RequestIndirectProbes
    ) -> bool | None:
        probe_timeout = effect.timeout / 2
        request = peer_pb2.IndirectProbe(
            gossip=self._build_gossip(helper.name),
            target_address=effect.target.peer_address,
            timeout_ms=int(probe_timeout.total_seconds() * 1000),
        )
        try:
            return self._client.probe_indirect(
                helper.peer_address, request, effect.timeout
            )
        except client_module.PeerUnreachableError:
            return None

    def _build_gossip(self, receiver: str) -> peer_pb2.Gossip:
        self._refresh_own()
        self._view, message = swim.build_message(self._view, receiver)
        gossip = self._encode(message)
        self._add_evidence(gossip, receiver)
        return gossip

    def _add_evidence(self, gossip: peer_pb2.Gossip, receiver: str) -> None:
        """Adds the evidence on crashes that the receiver may not have."""
        if self._evidence is None:
            return
        fingerprint = self._evidence.get_fingerprint()
        gossip.evidence_fingerprint = fingerprint
        if self._fingerprints.get(receiver, 0) != fingerprint:
            gossip.evidence = self._evidence.encode_evidence()

    def _encode(self, message: swim.Message) -> peer_pb2.Gossip:
        return peer_pb2.Gossip(
            sender=wire.encode_member(message.sender),
            updates=[wire.encode_member(item) for item in message.updates],
            whole=message.is_sync_request,
            config_sequence=self._config.get_snapshot().sequence,
            config_loaded=self._config.is_loaded(),
            suspicions=(
                self._suspicions.list_suspicions() if self._suspicions else ()
            ),
        )

    def _process_gossip(self, gossip: peer_pb2.Gossip) -> None:
        self._step(swim.Received(message=wire.decode_message(gossip)))
        if gossip.sender.name == self._view.own.name:
            return
        if self._suspicions is not None:
            self._suspicions.merge_suspicions(gossip.suspicions)
        if self._evidence is not None:
            if gossip.evidence:
                self._evidence.merge_evidence(gossip.evidence)
            if len(self._fingerprints) >= MAX_FINGERPRINTS:
                self._fingerprints.pop(next(iter(self._fingerprints)))
            self._fingerprints[gossip.sender.name] = gossip.evidence_fingerprint
        self._config.record_accepted(gossip.config_sequence)
        is_missing = gossip.config_loaded and not self._config.is_loaded()
        is_behind = (
            gossip.config_sequence > self._config.get_snapshot().sequence
        )
        if (is_behind or is_missing) and not self._is_fetching:
            self._is_fetching = True
            gevent.spawn(self._fetch, gossip.sender.peer_address)

    def _refresh_own(self) -> None:
        own = self._view.own
        loads = self._rank_loads
        sequence = self._config.get_snapshot().sequence
        refreshed = dataclasses.replace(
            own,
            load=sum(loads),
            rank_loads=loads,
            config_sequence=sequence,
            unreached=self._list_unreached()[: swim.MAX_UNREACHED],
        )
        if refreshed != own:
            self._view = dataclasses.replace(self._view, own=refreshed)

    def _confirm_config(self) -> None:
        contact_at = swim.estimate_majority_contact(
            self._view, self._clock.monotonic()
        )
        if contact_at is not None:
            self._config.record_contact(contact_at)

    def _should_read_head(self) -> bool:
        now = self._clock.monotonic()
        contact_at = swim.estimate_majority_contact(self._view, now)
        own = self._view.own
        alive = self.get_alive()
        inputs = readers.ReaderInputs(
            own_name=own.name,
            region=own.region,
            regional_peers=[m.name for m in alive if m.region == own.region],
            daemon_count=len(alive) + 1,
            majority_contact_age=None
            if contact_at is None
            else now - contact_at,
            read_age=self._config.get_read_age(),
            has_config=self._config.is_loaded(),
        )
        return readers.should_read(inputs) or self._config.is_behind()

    def _fetch(self, address: str) -> None:
        try:
            for _ in range(MAX_FETCH_PAGES):
                if not self._fetch_page(address):
                    break
        except client_module.PeerUnreachableError as error:
            eliot.log_message("membership:fetch_failed", reason=str(error))
        finally:
            self._is_fetching = False
        if self._config.is_behind():
            self._read_table()
        self._confirm_config()

    def _fetch_page(self, address: str) -> bool:
        """Returns whether the page had changes and more are missing."""
        before = self._config.get_snapshot().sequence
        reply = self._client.fetch_changes(address, before, FETCH_TIMEOUT)
        if not reply.loaded:
            return False
        try:
            changes = list(map(_CHANGE_DECODER.decode, reply.changes))
            snapshot = (
                _SNAPSHOT_DECODER.decode(reply.snapshot)
                if reply.snapshot
                else None
            )
        except decoding.DecodingError as error:
            raise client_module.PeerUnreachableError(
                f"{address}: {error}"
            ) from error
        if snapshot is not None:
            self._config.merge_snapshot(snapshot)
        elif not changes and not before:
            self._config.merge_snapshot(config_model.Snapshot())
        self._config.apply_changes(changes)
        has_advanced = self._config.get_snapshot().sequence > before
        return has_advanced and self._config.is_behind()

    def _read_table(self) -> None:
        try:
            self._config.poll_once()
        except table_module.TableError as error:
            eliot.log_message("membership:read_failed", reason=str(error))
