"""Heartbeats of daemons and the failure detector that evaluates them.

In each interval a daemon sends its heartbeat to some peers, with the newest
heartbeats of other daemons that it has received. Heartbeats of one daemon are
ordered by the start time of its process and then by a counter that only
increases; a daemon whose counter stops increasing is believed dead (van Renesse
et al., A Gossip-Style Failure Detection Service, 1998). All of this is a hint:
it saves calls and time, and no guarantee depends on it.
"""

import dataclasses
import datetime
import functools
import random
import zlib
from collections import abc

import msgspec
import xxhash

from arbutuscove.gossip import order_calls
from arbutuscove.kernel import decoding

# Number of peers up to which every peer is sent a heartbeat in each interval.
SMALL_FLEET_PEERS = 8
INTERVAL = datetime.timedelta(milliseconds=250)
# Direct heartbeats arrive in each interval; four losses in a row are rare.
FAILURE_TIMEOUT = datetime.timedelta(milliseconds=1250)
# In a larger fleet a heartbeat reaches most daemons through relays, and most
# of the traffic stays inside a failure domain.
LARGE_FLEET_INTERVAL = datetime.timedelta(milliseconds=500)
LARGE_FLEET_FAILURE_TIMEOUT = datetime.timedelta(seconds=3)
# Heartbeats of other daemons in one datagram, about 3 KB.
MAX_RELAYED_HEARTBEATS = 24
# Counters of other daemons in one datagram, 11 bytes each. With full heartbeats
# alone, one live daemon of eight exceeds the failure timeout in a fleet of 195.
MAX_RELAYED_COUNTERS = 512
COUNTER_FIELDS = 3  # each: hash of the name, low bits of `life`, counter
MAX_PEERS = 4096  # daemons in a `PeerTable`
# Stalled groups in one heartbeat, and as many slow ones.
MAX_REPORTED_GROUPS = 16
MAX_REPORTED_VMS = 16  # leaving VMs in one heartbeat
# An update is ended and the next one begun once its entries reach this size.
# Compression reduces it to about an eighth, which fits into one packet.
TARGET_UPDATE_BYTES = 8192
MAX_UPDATE_BYTES = 1024 * 1024  # size of an update when decompressed
# Larger updates of the operator's table are not sent: a datagram of many
# packets is often lost.
MAX_OPERATOR_UPDATE_BYTES = 32 * 1024
WHOLE_LIST = -1  # the version before all others
# First byte of compressed data; no uncompressed message starts with it.
ZLIB_FIRST_BYTE = 0x78


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The state that a daemon reports of itself.

    `callers` is its address for callers, empty if it has none. `life` is the
    start time of the process in microseconds of its wall clock; it is used only
    to order the processes of one daemon. `holding` is the fencing token of the
    duty that it holds, 0 for none. `store_ok` says whether its last call to the
    store was answered. `loads` counts its running requests by the number in a
    backend's key, which is unique among backends. `stalled` names groups that
    make no progress on its requests and `slow` those whose events pause for too
    long, each as name and epoch. `capacity` is the processor time of its VM in
    thousandths of a core. `resigned` is the highest fencing token from which it
    resigned before the lease had expired. `evidence` is the fingerprint of what
    it knows of crashes of upstreams, -1 if its version has none. `era` is the
    highest era of the store that it knows, 0 for none. `tunnel_port` is the TCP
    port on which it carries connections of other daemons, 0 if it carries none.
    `unreached` names the services that its own connections do not reach.
    `leaving_vms` are VMs, each with its start in Unix milliseconds, that told
    this daemon themselves that they leave. `fleet` is the number of daemons
    that it counted lately, itself included, 0 if its version does not say.
    `evacuated` names the failure domains whose VMs are to receive nothing, as
    of the store's version `evacuated_at` in `era`, which is -1 if it has read
    none. `demand` is how many requests wait in it, by service and model;
    `loads` has those that run. `passes_on` says whether it passes an update on
    to the daemons that the update names, and `sends_orders` whether it sends
    orders for the holder of the duty.
    """

    name: decoding.Text
    ip: decoding.Ipv4Address
    callers: decoding.Name
    failure_domain: decoding.Text
    life: decoding.Count
    counter: decoding.Count
    ready: bool
    leaving: bool
    config_version: decoding.Integer = -1
    holding: decoding.Count = 0
    store_ok: bool = True
    loads: dict[decoding.Count, decoding.Count] = {}
    stalled: tuple[tuple[decoding.Name, decoding.Count], ...] = ()
    slow: tuple[tuple[decoding.Name, decoding.Count], ...] = ()
    capacity: decoding.Count = 0
    resigned: decoding.Count = 0
    evidence: int = -1  # unsigned 64 bits if not negative
    era: decoding.Count = 0
    tunnel_port: decoding.Count = 0
    unreached: tuple[decoding.Name, ...] = ()
    leaving_vms: tuple[tuple[decoding.Name, decoding.Count], ...] = ()
    fleet: decoding.Count = 0
    evacuated: tuple[decoding.Text, ...] = ()
    evacuated_at: decoding.Integer = -1
    demand: tuple[tuple[decoding.Text, decoding.Name, decoding.Count], ...] = ()
    passes_on: bool = False
    sends_orders: bool = False


class Datagram(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="beats"
):
    """A message with the sender's heartbeat and those of some other daemons.

    `counters` has three numbers for each daemon that the sender believes live:
    a hash of its name, the low 16 bits of its `life` and its counter.
    """

    sender: Heartbeat
    others: tuple[Heartbeat, ...] = ()
    counters: tuple[int, ...] = ()


class ListUpdate(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="list"
):
    """The changes between two versions of the list of VMs.

    `rows` has each changed entry by name, with None if it was removed. Entries
    that only renewed their heartbeat are left out. `relay` asks the recipient
    to forward the update to its failure domain. `era` is the era of the store
    in which both versions were read. The updates that were sent together lead
    from `start` to `target`, which is -1 if the sender's version does not say.
    `branch` has the IP addresses of daemons to which the recipient passes the
    update on. `answer` says that the recipient asked for it, so that it does
    not show that the sender reads the list for others.
    """

    sender: decoding.Text
    before: decoding.Integer
    version: decoding.Integer
    rows: tuple[tuple[str, bytes | None], ...] = ()
    relay: bool = False
    era: decoding.Count = 0
    target: decoding.Integer = -1
    start: decoding.Integer = -1
    branch: tuple[decoding.Ipv4Address, ...] = ()
    answer: bool = False


class ListRequest(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="ask"
):
    """Asks for the changes of the list of VMs since a version.

    The answer is sent to `ip`. `since` is `WHOLE_LIST` for the list itself.
    """

    sender: decoding.Text
    ip: decoding.Ipv4Address
    since: decoding.Integer
    era: decoding.Count


class OperatorUpdate(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="operator"
):
    """What the operator's table has, after a change of it.

    `configuration` is the content of the row with the configuration, empty if
    it has not changed; `version` is the version of the store at the read.
    `evacuated` and `evacuated_at` are as in a heartbeat, `relay` and `era` as
    in a `ListUpdate`. Each part is complete, so that no update builds on
    another one.
    """

    sender: decoding.Text
    version: decoding.Integer
    configuration: bytes = b""
    evacuated: tuple[decoding.Text, ...] = ()
    evacuated_at: decoding.Integer = -1
    relay: bool = False
    era: decoding.Count = 0


class EvidenceUpdate(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="evidence"
):
    """What a daemon knows of crashes of upstreams, in an encoded form."""

    sender: decoding.Text
    content: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListRow:
    """An entry of the list in one version; `content` is None if removed."""

    version: int
    name: str
    content: bytes | None


LIFE_MASK = 0xFFFF


@functools.lru_cache(maxsize=MAX_PEERS)
def hash_name(name: str) -> int:
    """Returns a 32-bit hash of a daemon's name."""
    return zlib.crc32(name.encode())


def compute_weight(name: str, key: int) -> int:
    """Returns the weight of a daemon for a key in rendezvous hashing."""
    return xxhash.xxh3_64_intdigest(name.encode(), seed=key)


ENCODER = msgspec.msgpack.Encoder()
Message = (
    Datagram
    | ListUpdate
    | ListRequest
    | OperatorUpdate
    | EvidenceUpdate
    | order_calls.OrderCall
    | order_calls.OrderAnswer
)
_DECODER = decoding.MessagePackDecoder[Message](Message, MAX_UPDATE_BYTES)


class MessageError(Exception):
    """A datagram that is not a valid message of this version."""


def decode(data: bytes) -> Message:
    """Returns the message in a datagram.

    Raises:
        MessageError: the bytes are not a valid message, or it is too large.
    """
    try:
        if data[:1] == bytes((ZLIB_FIRST_BYTE,)):
            unpacker = zlib.decompressobj()
            data = unpacker.decompress(data, MAX_UPDATE_BYTES)
            if not unpacker.eof:
                raise MessageError("update is truncated or too large")
        return _DECODER.decode(data)
    except (decoding.DecodingError, zlib.error) as error:
        raise MessageError(str(error)) from error


def split_update(
    sender: str,
    before: int,
    version: int,
    rows: abc.Iterable[ListRow],
    era: int = 0,
) -> list[ListUpdate]:
    """Returns updates that lead from one version of the list to another.

    Each update starts at the version where the previous one ends, so that a
    daemon which missed one detects the gap. Rows of one version stay together.

    Args:
        sender: the daemon that read the list.
        before: the version that it had before.
        version: the version that it read.
        rows: the entries that changed between them.
        era: the era of both versions.
    """
    updates: list[ListUpdate] = []
    pending: list[ListRow] = []
    size = 0

    def finish_update(last: int) -> None:
        first = updates[-1].version if updates else before
        updates.append(
            ListUpdate(
                sender=sender,
                before=first,
                version=last,
                rows=tuple((row.name, row.content) for row in pending),
                era=era,
                target=version,
                start=before,
            )
        )
        pending.clear()

    for row in sorted(rows, key=lambda row: row.version):
        if size >= TARGET_UPDATE_BYTES and pending[-1].version < row.version:
            finish_update(pending[-1].version)
            size = 0
        pending.append(row)
        size += len(row.name) + len(row.content or b"")
    finish_update(version)
    return updates


def pack(message: Datagram | ListUpdate | OperatorUpdate) -> bytes:
    """Returns the compressed datagram of a message."""
    return zlib.compress(ENCODER.encode(message), level=1)


@dataclasses.dataclass(slots=True, kw_only=True)
class Peer:
    """Another daemon.

    `counter` is the highest counter received, which may be ahead of that in
    `heartbeat`, and `last_increase` is when it last increased. `received` is
    when `heartbeat` was received.
    """

    heartbeat: Heartbeat
    counter: int
    last_increase: datetime.timedelta
    received: datetime.timedelta


class PeerTable:
    """The last state received from each other daemon."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, Peer] = {}
        self._names: dict[int, str] = {}  # by hash

    def merge(self, heartbeat: Heartbeat, now: datetime.timedelta) -> bool:
        """Stores a heartbeat if it is newer; returns whether it was stored."""
        if heartbeat.name == self._name:
            return False
        known = self._peers.get(heartbeat.name)
        order = (heartbeat.life, heartbeat.counter)
        if known is not None and order <= (
            known.heartbeat.life,
            known.heartbeat.counter,
        ):
            return False
        if known is None and len(self._peers) >= MAX_PEERS:
            return False
        counter, last_increase = heartbeat.counter, now
        if (
            known is not None
            and known.heartbeat.life == heartbeat.life
            and known.counter >= counter
        ):
            counter, last_increase = known.counter, known.last_increase
        self._peers[heartbeat.name] = Peer(
            heartbeat=heartbeat,
            counter=counter,
            last_increase=last_increase,
            received=now,
        )
        self._names[hash_name(heartbeat.name)] = heartbeat.name
        return True

    def merge_counters(
        self, counters: abc.Sequence[int], now: datetime.timedelta
    ) -> None:
        """Merges the counters in a datagram for daemons in this table."""
        numbers = iter(counters)
        for name_hash, life, counter in zip(
            numbers, numbers, numbers, strict=False
        ):
            peer = self._peers.get(self._names.get(name_hash, ""))
            if peer is None or peer.heartbeat.life & LIFE_MASK != life:
                continue
            if counter > peer.counter:
                peer.counter, peer.last_increase = counter, now

    def list_counters(
        self, now: datetime.timedelta, generator: random.Random
    ) -> tuple[int, ...]:
        """Returns the counters of live daemons for a datagram."""
        live = self.list_live_peers(now)
        if len(live) > MAX_RELAYED_COUNTERS:
            live = generator.sample(live, MAX_RELAYED_COUNTERS)
        counters: list[int] = []
        for peer in live:
            name_hash = hash_name(peer.heartbeat.name)
            counters += (
                name_hash,
                peer.heartbeat.life & LIFE_MASK,
                peer.counter,
            )
        return tuple(counters)

    def list_live(self, now: datetime.timedelta) -> list[Heartbeat]:
        """Returns the heartbeats of daemons within the failure timeout."""
        return [peer.heartbeat for peer in self.list_live_peers(now)]

    def list_live_peers(self, now: datetime.timedelta) -> list[Peer]:
        """Returns the daemons within the failure timeout."""
        timeout = self._get_failure_timeout()
        return [
            peer
            for peer in self._peers.values()
            if now - peer.last_increase <= timeout
        ]

    def list_heard(
        self, now: datetime.timedelta, memory: datetime.timedelta
    ) -> frozenset[str]:
        """Returns the daemons heard lately, without those that have ended.

        Args:
            now: the current monotonic time.
            memory: how long a silent daemon counts, as it may be cut off.
        """
        timeout = self._get_failure_timeout()
        return frozenset(
            name
            for name, peer in self._peers.items()
            if now - peer.last_increase
            <= (timeout if peer.heartbeat.leaving else memory)
        )

    def has_ip(self, ip: str) -> bool:
        """Returns whether a daemon with this IP address was ever heard."""
        return any(peer.heartbeat.ip == ip for peer in self._peers.values())

    def _get_failure_timeout(self) -> datetime.timedelta:
        """Returns the time after which a daemon counts as unresponsive."""
        return (
            FAILURE_TIMEOUT
            if len(self._peers) <= SMALL_FLEET_PEERS
            else LARGE_FLEET_FAILURE_TIMEOUT
        )

    def list_unresponsive(self, now: datetime.timedelta) -> list[Heartbeat]:
        """Returns the heartbeats of daemons past the failure timeout."""
        timeout = self._get_failure_timeout()
        return [
            peer.heartbeat
            for peer in self._peers.values()
            if now - peer.last_increase > timeout
        ]

    def is_holder_lost(
        self, identity: str, epoch: int, now: datetime.timedelta
    ) -> bool:
        """Returns whether a lease holder is unresponsive, ended or resigned.

        A holder has ended if its daemon is leaving or has restarted.

        Args:
            identity: identity of the process that holds the lease.
            epoch: epoch of the lease, which is its fencing token.
            now: the current monotonic time.
        """
        for peer in self._peers.values():
            if build_identity(peer.heartbeat) == identity:
                is_unresponsive = (
                    now - peer.last_increase > self._get_failure_timeout()
                )
                has_resigned = epoch <= peer.heartbeat.resigned
                return peer.heartbeat.leaving or is_unresponsive or has_resigned
        name = identity.rpartition(".")[0]
        return name in self._peers  # another process of that daemon is known


def build_identity(heartbeat: Heartbeat) -> str:
    """Returns the identity under which a process holds leases."""
    return f"{heartbeat.name}.{heartbeat.life}"
