"""What daemons say of themselves, and what is believed of them.

Each daemon sends its *beat* to some peers in each interval, with the newest
beats of others that it knows. A beat is ordered by the start time of its
daemon and a counter that only grows; a daemon whose counter stands still is
believed dead (van Renesse et al., A Gossip-Style Failure Detection Service,
1998). Everything here is a hint: it saves calls and time, and nothing that
must hold rests on it.
"""

import dataclasses
import datetime
import functools
import random
import zlib
from collections import abc

import msgspec

# Peers of a fleet that is covered whole in each interval.
SMALL_FLEET = 8
INTERVAL = datetime.timedelta(milliseconds=250)
# Direct beats come each interval; four lost ones in a row are rare.
SILENCE = datetime.timedelta(milliseconds=1250)
# In a larger fleet a beat reaches most daemons by way of others, and most of
# the traffic stays inside a failure domain.
LARGE_INTERVAL = datetime.timedelta(milliseconds=500)
LARGE_SILENCE = datetime.timedelta(seconds=3)
NEAR_RECIPIENTS = 3
FAR_RECIPIENTS = 1
# Beats of others in one datagram, about 3 KB.
RELAYED = 24
# Counters of others in one datagram, 11 bytes each. Whole beats alone leave one
# live daemon of eight unheard for too long in a fleet of 195.
COUNTERS_LIMIT = 512
COUNTER_FIELDS = 3  # of each: name's digest, end of its life, counter
# A silent daemon is addressed again once in so many intervals.
RECONNECT_TURNS = 8
PEER_LIMIT = 4096  # daemons remembered
GROUPS_LIMIT = 16  # stalled groups in one beat, and slow ones
# Entries in one datagram of an update, before it is compressed to about an
# eighth: it then fits one packet.
UPDATE_SIZE = 8192  # bytes
UPDATE_LIMIT = 1024 * 1024  # bytes of an update once it is unpacked
ZLIB_FIRST = 0x78  # first byte of compressed data; no message begins with it


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a daemon says of itself.

    `life` is the start of the process in microseconds of its wall clock,
    which only orders lives of one daemon. `holding` is the fencing token of
    the duty that it holds, 0 for none. `store_ok` says whether its last call
    to the store was answered. `loads` counts its requests running by the
    number in a backend's key, which is unique among backends. `stalled` names
    groups that move nothing for it and `slow` those whose events pause for too
    long, each as name and epoch. `capacity` is the processor time of its VM in
    thousandths of a core. `resigned` is the highest fencing token that it gave
    up before its term had passed.
    """

    name: str
    ip: str
    callers: str
    failure_domain: str
    life: int
    counter: int
    ready: bool
    leaving: bool
    config_version: int = -1
    holding: int = 0
    store_ok: bool = True
    loads: dict[int, int] = {}
    stalled: tuple[tuple[str, int], ...] = ()
    slow: tuple[tuple[str, int], ...] = ()
    capacity: int = 0
    resigned: int = 0


class Datagram(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="beats"
):
    """One message: the sender's beat and some others.

    `counters` holds three numbers for each daemon that the sender knows as
    live: a digest of its name, the last 16 bits of its life and its counter.
    """

    sender: Heartbeat
    others: tuple[Heartbeat, ...] = ()
    counters: tuple[int, ...] = ()


class ListUpdate(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="list"
):
    """What changed in the list of VMs between two of its versions.

    `rows` holds each changed entry by name, None if it went away. Entries
    that only renewed their heartbeat are left out. `relay` says that the
    recipient passes it on to its failure domain.
    """

    sender: str
    before: int
    version: int
    rows: tuple[tuple[str, bytes | None], ...] = ()
    relay: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ListRow:
    """An entry of the list as of one version; None if it went away."""

    version: int
    name: str
    content: bytes | None


LIFE_MASK = 0xFFFF


@functools.lru_cache(maxsize=PEER_LIMIT)
def digest_name(name: str) -> int:
    """Returns a short digest of a daemon's name."""
    return zlib.crc32(name.encode())


ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Datagram | ListUpdate)


class MessageError(Exception):
    """A datagram that no daemon of this version sent."""


def decode(data: bytes) -> Datagram | ListUpdate:
    """Returns the message in a datagram.

    Raises:
        MessageError: the bytes are no message, or one that is too large.
    """
    try:
        if data[:1] == bytes((ZLIB_FIRST,)):
            unpacker = zlib.decompressobj()
            data = unpacker.decompress(data, UPDATE_LIMIT)
            if not unpacker.eof:
                raise MessageError("an update is cut or too large")
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, zlib.error) as error:
        raise MessageError(str(error)) from error


def split_update(
    sender: str, before: int, version: int, rows: abc.Iterable[ListRow]
) -> list[ListUpdate]:
    """Returns updates that lead from one version of the list to another.

    Each leads from the version of the one before it, so that a daemon which
    lost one knows it. Rows of one version stay together.

    Args:
        sender: the daemon that read the list.
        before: the version that it knew before.
        version: the version that it read.
        rows: what changed between them.
    """
    found: list[ListUpdate] = []
    pending: list[ListRow] = []
    size = 0

    def finish(until: int) -> None:
        first = found[-1].version if found else before
        found.append(
            ListUpdate(
                sender=sender,
                before=first,
                version=until,
                rows=tuple((row.name, row.content) for row in pending),
            )
        )
        pending.clear()

    for row in sorted(rows, key=lambda row: row.version):
        if size >= UPDATE_SIZE and pending[-1].version < row.version:
            finish(pending[-1].version)
            size = 0
        pending.append(row)
        size += len(row.name) + len(row.content or b"")
    finish(version)
    return found


def pack_update(update: ListUpdate) -> bytes:
    """Returns the datagram of an update."""
    return zlib.compress(ENCODER.encode(update), level=1)


@dataclasses.dataclass(slots=True, kw_only=True)
class Peer:
    """Another daemon.

    `counter` is the highest heard of, which may be ahead of its beat's, and
    `heard` when it last grew.
    """

    beat: Heartbeat
    counter: int
    heard: datetime.timedelta


class PeerTable:
    """What is believed of all other daemons."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, Peer] = {}
        self._names: dict[int, str] = {}  # by digest

    def take(self, beat: Heartbeat, now: datetime.timedelta) -> bool:
        """Keeps a beat if it is newer than what is known; says whether."""
        if beat.name == self._name:
            return False
        known = self._peers.get(beat.name)
        order = (beat.life, beat.counter)
        if known is not None and order <= (known.beat.life, known.beat.counter):
            return False
        if known is None and len(self._peers) >= PEER_LIMIT:
            return False
        counter, heard = beat.counter, now
        if (
            known is not None
            and known.beat.life == beat.life
            and known.counter >= counter
        ):
            counter, heard = known.counter, known.heard
        self._peers[beat.name] = Peer(beat=beat, counter=counter, heard=heard)
        self._names[digest_name(beat.name)] = beat.name
        return True

    def take_counters(
        self, counters: abc.Sequence[int], now: datetime.timedelta
    ) -> None:
        """Takes the counters in a datagram, for daemons that are known."""
        numbers = iter(counters)
        for name_digest, life, counter in zip(
            numbers, numbers, numbers, strict=False
        ):
            peer = self._peers.get(self._names.get(name_digest, ""))
            if peer is None or peer.beat.life & LIFE_MASK != life:
                continue
            if counter > peer.counter:
                peer.counter, peer.heard = counter, now

    def list_counters(
        self, now: datetime.timedelta, generator: random.Random
    ) -> tuple[int, ...]:
        """Returns the counters of live daemons for a datagram."""
        silence = self._find_silence()
        live = [
            peer for peer in self._peers.values() if now - peer.heard <= silence
        ]
        if len(live) > COUNTERS_LIMIT:
            live = generator.sample(live, COUNTERS_LIMIT)
        found: list[int] = []
        for peer in live:
            name_digest = digest_name(peer.beat.name)
            found += (name_digest, peer.beat.life & LIFE_MASK, peer.counter)
        return tuple(found)

    def list_live(self, now: datetime.timedelta) -> list[Heartbeat]:
        """Returns the beats of daemons heard of lately."""
        silence = self._find_silence()
        return [
            peer.beat
            for peer in self._peers.values()
            if now - peer.heard <= silence
        ]

    def _find_silence(self) -> datetime.timedelta:
        """Returns how long a live daemon may go unheard."""
        return SILENCE if len(self._peers) <= SMALL_FLEET else LARGE_SILENCE

    def list_silent(self, now: datetime.timedelta) -> list[Heartbeat]:
        """Returns the beats of daemons that fell silent."""
        silence = self._find_silence()
        return [
            peer.beat
            for peer in self._peers.values()
            if now - peer.heard > silence
        ]

    def is_lost(
        self, identity: str, fence: int, now: datetime.timedelta
    ) -> bool:
        """Returns whether a process fell silent, ended or gave a token up."""
        for peer in self._peers.values():
            if read_identity(peer.beat) == identity:
                silent = now - peer.heard > self._find_silence()
                resigned = fence <= peer.beat.resigned
                return peer.beat.leaving or silent or resigned
        name = identity.rpartition(".")[0]
        return name in self._peers  # a later life of that daemon is known


def is_reader(own: Heartbeat, live: abc.Iterable[Heartbeat]) -> bool:
    """Returns whether this daemon reads the list of VMs for its domain.

    The daemon with the largest VM of each failure domain does, of those that
    the store answers, since the whole list comes at each heartbeat. Daemons may
    differ about that for a moment: two then read, or none, and each daemon
    reads for itself once it hears nothing.

    Args:
        own: the beat of this daemon.
        live: the beats of other daemons heard of lately.
    """
    rank = (-own.capacity, own.name)
    return all(
        rank < (-beat.capacity, beat.name)
        for beat in live
        if beat.failure_domain == own.failure_domain
        and beat.store_ok
        and not beat.leaving
    )


def pick_relays(own: Heartbeat, live: abc.Iterable[Heartbeat]) -> list[str]:
    """Returns the address of the largest daemon of each other domain."""
    first: dict[str, tuple[int, str, str]] = {}
    for beat in live:
        if beat.failure_domain == own.failure_domain or beat.leaving:
            continue
        rank = (-beat.capacity, beat.name, beat.ip)
        found = first.get(beat.failure_domain)
        if found is None or rank < found:
            first[beat.failure_domain] = rank
    return [ip for _, _, ip in first.values()]


def rank_for_duty(own: Heartbeat, live: abc.Iterable[Heartbeat]) -> int:
    """Returns how many live daemons stand for the duty before this one.

    The largest VMs go first. Of equal ones the last by name does, as the first
    reads the list.
    """
    rank = (own.capacity, own.name)
    return sum(
        (beat.capacity, beat.name) > rank for beat in live if not beat.leaving
    )


def read_identity(beat: Heartbeat) -> str:
    """Returns the identity of a process, by which it holds leases."""
    return f"{beat.name}.{beat.life}"


def find_interval(peers: int) -> datetime.timedelta:
    """Returns the time between two rounds in a fleet with so many peers."""
    return INTERVAL if peers <= SMALL_FLEET else LARGE_INTERVAL


def pick_recipients(
    own: Heartbeat,
    live: abc.Sequence[Heartbeat],
    others: abc.Sequence[str],
    turn: int,
    generator: random.Random,
) -> list[str]:
    """Returns the IP addresses to send to in this interval.

    Args:
        own: the beat of this daemon.
        live: daemons heard of lately.
        others: addresses of silent daemons and of those only named so far.
        turn: number of the interval.
        generator: source of choice.
    """
    chosen = [beat.ip for beat in live]
    if len(chosen) > SMALL_FLEET:
        domain = own.failure_domain
        near = [beat.ip for beat in live if beat.failure_domain == domain]
        far = [beat.ip for beat in live if beat.failure_domain != domain]
        chosen = generator.sample(near, min(NEAR_RECIPIENTS, len(near)))
        chosen += generator.sample(far, min(FAR_RECIPIENTS, len(far)))
    if others and turn % RECONNECT_TURNS == 0:
        chosen.append(generator.choice(others))
    return chosen
