"""Failure detection and dissemination of membership, without I/O.

SWIM (Das et al. 2002) with the local health of Lifeguard (Dadgar et al.
2018). `step` maps a state, an event and a time to a new state and the effects
that the caller carries out. Each daemon probes one member in each interval.
Membership updates are piggybacked on probes and replies, a bounded number on
each message.

A member's record is ordered by its *incarnation*, then by its state. Only the
member itself raises its incarnation, and does so to refute a suspicion. The
configuration sequence in a record never decreases, so copies are merged by
taking the maximum.
"""

import dataclasses
import datetime
import enum
import functools
import heapq
import math
from collections import abc

import xxhash

PROBE_INTERVAL = datetime.timedelta(seconds=1)
PROBE_TIMEOUT = datetime.timedelta(milliseconds=500)
# Multiplied by log10 of the fleet size, but at least by 1.
SUSPICION_TIMEOUT = datetime.timedelta(seconds=4)
# Records of dead and departed members are removed after this time. It is longer
# than a partition of a region that lasts an hour.
FORGET_AFTER = datetime.timedelta(hours=2)
# A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD = datetime.timedelta(seconds=3)
# Age up to which the outcome of an own probe counts as recent.
CONTACT_WINDOW = datetime.timedelta(seconds=10)
INDIRECT_PROBES = 3  # requested after a direct probe has failed
MAX_UPDATES = 6  # updates in a message: about 600 bytes
# Of these, records repeated in rotation to repair lost updates.
MAX_REFRESHES = 2
# Multiplied by log10 of the fleet size: how often one daemon sends an update.
RETRANSMIT_FACTOR = 4
MAX_HEALTH_SCORE = 8  # the longest timeouts are nine times the base
# Every fifth probe goes to a dead member or to a seed that has not replied.
RECONNECT_INTERVALS = 5
# Peers notified directly of a leave: all of them in a fleet of 7 daemons.
LEAVE_FANOUT = 6
MAX_MEMBERS = 4096  # records kept; twice the target size
# Replies that a new daemon needs to estimate its contact with a large fleet.
MIN_ANSWERS = 5
# Loads by rank in a record: at most 42 bytes. Both users have three ranks,
# plus one number for work beyond its urgent entitlement.
MAX_RANK_LOADS = 8
MAX_UNREACHED = 32  # services in a record that a member does not reach
MAX_OUTCOMES = 16  # probe outcomes kept; more than fit into CONTACT_WINDOW


class State(enum.IntEnum):
    """Believed state of a member; in one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """The membership record of one daemon.

    `load` counts its requests running and waiting. `rank_loads` has the same
    count by priority and is empty if the daemon has not reported it. On
    `tunnel_address` it carries connections of other daemons to upstreams; it
    carries none if this is empty. `unreached` names the services to whose
    upstreams its own paths have failed.
    """

    name: str
    peer_address: str
    entry_address: str = ""
    region: str = ""
    failure_domain: str = ""
    incarnation: int = 0
    state: State = State.ALIVE
    load: int = 0
    config_sequence: int = 0
    rank_loads: tuple[int, ...] = ()
    tunnel_address: str = ""
    unreached: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """Membership part of a gossip message.

    `is_sync_request` asks the receiver to reply with all live records.
    """

    sender: Member
    updates: tuple[Member, ...] = ()
    is_sync_request: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """A probe interval has passed; `lag` is the delay of the own event loop."""

    lag: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message was received, either a probe or the reply to one."""

    message: Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeEnded:
    """A direct probe was answered or has timed out."""

    name: str
    is_answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbesEnded:
    """All indirect probes of a member have ended.

    `is_reached` says whether any helper reached the member, `answer_count` how
    many helpers replied at all.
    """

    name: str
    is_reached: bool
    answer_count: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """This daemon is about to shut down."""


Event = Tick | Received | ProbeEnded | IndirectProbesEnded | Leave


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Send a direct probe; `name` is empty for a seed or a dead member."""

    name: str
    address: str
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestIndirectProbes:
    """Ask helpers to probe a member that did not reply to a direct probe."""

    target: Member
    helpers: tuple[Member, ...]
    timeout: datetime.timedelta


Effect = Probe | RequestIndirectProbes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeOutcome:
    """Outcome of one direct probe that this daemon sent."""

    name: str
    at: datetime.timedelta
    is_answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """The state of one daemon's membership protocol.

    Attributes:
        own: record of this daemon.
        seeds: configured addresses of peers.
        members: records of the other daemons by name.
        send_counts: how often each update that is being disseminated was sent.
        suspicion_deadlines: when each suspect is declared dead.
        departed_at: when each dead or departed member was recorded as such.
        probe_order: members still to be probed in this round.
        interval_count: number of probe intervals so far.
        refresh_index: position in `members` of the next record to repeat.
        health_score: 0 if this daemon seems healthy; raises its timeouts.
        lag: delay of the own event loop at the last tick.
        last_tick: time of the last tick.
        outcomes: newest outcomes of own direct probes.
        is_synced: whether the records of the fleet were received.
    """

    own: Member
    seeds: tuple[str, ...] = ()
    members: abc.Mapping[str, Member] = dataclasses.field(default_factory=dict)
    send_counts: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    suspicion_deadlines: abc.Mapping[str, datetime.timedelta] = (
        dataclasses.field(default_factory=dict)
    )
    departed_at: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    probe_order: tuple[str, ...] = ()
    interval_count: int = 0
    refresh_index: int = 0
    health_score: int = 0
    lag: datetime.timedelta = datetime.timedelta()
    last_tick: datetime.timedelta | None = None
    outcomes: tuple[ProbeOutcome, ...] = ()
    is_synced: bool = False


Step = tuple[View, tuple[Effect, ...]]


def step(view: View, event: Event, now: datetime.timedelta) -> Step:
    """Returns the view after an event and the effects to carry out.

    Example:
        >>> own = Member(name="a", peer_address="127.0.0.1:1")
        >>> view = View(own=own, seeds=("127.0.0.1:2",))
        >>> _, effects = step(view, Tick(), datetime.timedelta())
        >>> effects[0].address
        '127.0.0.1:2'
    """
    match event:
        case Tick(lag=lag):
            return _handle_tick(view, lag, now)
        case Received(message=message):
            return _handle_message(view, message, now), ()
        case ProbeEnded():
            return _handle_probe_end(view, event, now)
        case IndirectProbesEnded():
            return _handle_indirect_end(view, event, now), ()
        case Leave():
            return _announce_leave(view)


def build_message(view: View, receiver: str) -> tuple[View, Message]:
    """Returns the next message and the view that counts it as sent.

    If the receiver is not believed alive, its own record comes first, since
    only the receiver can refute it.

    Args:
        view: the current view.
        receiver: name of the receiver; empty if unknown.
    """
    if not view.is_synced:
        return view, Message(sender=view.own, is_sync_request=True)
    names = heapq.nsmallest(
        MAX_UPDATES, view.send_counts, key=view.send_counts.__getitem__
    )
    known = view.members.get(receiver)
    if known is not None and known.state != State.ALIVE:
        names = [receiver, *(name for name in names if name != receiver)][
            :MAX_UPDATES
        ]
    send_counts = dict(view.send_counts)
    send_limit = _compute_send_limit(len(view.members))
    for name in names:
        if name not in send_counts:
            continue
        send_counts[name] += 1
        if send_counts[name] >= send_limit:
            del send_counts[name]
    room = min(MAX_REFRESHES, MAX_UPDATES - len(names))
    refresh_index, names = _add_refreshes(view, names, room)
    updates = tuple(view.members[name] for name in names)
    view = dataclasses.replace(
        view, send_counts=send_counts, refresh_index=refresh_index
    )
    return view, Message(sender=view.own, updates=updates)


def build_reply(view: View, message: Message) -> tuple[View, Message]:
    """Returns the reply to a message.

    A request for synchronization is answered with all live records. The
    sender's own record is included only if it is believed dead or departed.
    """
    if not message.is_sync_request:
        return build_message(view, message.sender.name)
    requester = message.sender.name
    records = [
        member
        for member in view.members.values()
        if (member.name == requester) != (member.state <= State.SUSPECT)
    ]
    return view, Message(sender=view.own, updates=tuple(records))


def bound_loads(loads: abc.Sequence[int]) -> tuple[int, ...]:
    """Returns loads by priority in at most `MAX_RANK_LOADS` numbers.

    If there are more, the last number is the sum of all less urgent loads.

    Example:
        >>> bound_loads([3, 0, 1, 1, 1, 1, 1, 1, 1])
        (3, 0, 1, 1, 1, 1, 1, 2)
    """
    kept = MAX_RANK_LOADS - 1
    if len(loads) <= kept:
        return tuple(loads)
    return (*loads[:kept], sum(loads[kept:]))


def list_alive(view: View) -> list[Member]:
    """Returns the other members that are believed alive."""
    return [m for m in view.members.values() if m.state == State.ALIVE]


def estimate_majority_contact(
    view: View, now: datetime.timedelta
) -> datetime.timedelta | None:
    """Returns when this daemon last had contact with a majority of the fleet.

    A daemon of a large fleet probes only about ten members within
    `CONTACT_WINDOW`, so contact is estimated: the number of members not
    believed dead, times the share of recent probes of such members that were
    answered, plus this daemon itself, must exceed half of the fleet. The
    result is the time of the oldest probe that the estimate needs, so that
    contact is never dated later than it was. Dead members count as part of the
    fleet until their records are removed; members that left do not.

    Args:
        view: the current view.
        now: the current monotonic time.

    Returns:
        A monotonic time, or None without such contact in the window.
    """
    latest: dict[str, ProbeOutcome] = {}
    for outcome in view.outcomes:
        if (
            now - outcome.at <= CONTACT_WINDOW
            and outcome.name not in view.departed_at
        ):
            latest[outcome.name] = outcome
    live = len(view.members) - len(view.departed_at)
    left = sum(view.members[n].state == State.LEFT for n in view.departed_at)
    total = 1 + len(view.members) - left + len(_list_unknown_seeds(view))
    if not latest or not live:
        return None
    needed_share = max(0.0, (total / 2 - 1) / live)
    min_answers = min(MIN_ANSWERS, total // 2)
    needed = max(math.floor(needed_share * len(latest)) + 1, min_answers)
    answered = sorted(o.at for o in latest.values() if o.is_answered)
    return answered[-needed] if len(answered) >= needed else None


def _handle_tick(
    view: View, lag: datetime.timedelta, now: datetime.timedelta
) -> Step:
    view = _compensate_pause(view, now)
    view = dataclasses.replace(view, lag=lag, last_tick=now)
    view = _expire_members(view, now)
    if view.own.state == State.LEFT:
        return view, ()
    view, target = _pick_target(view)
    if target is None:
        return view, ()
    return view, (
        dataclasses.replace(target, timeout=_compute_probe_timeout(view)),
    )


def _compensate_pause(view: View, now: datetime.timedelta) -> View:
    # A paused daemon receives no refutations. The deadlines of its suspicions
    # are extended by the pause, so that no member is declared dead on resuming.
    if view.last_tick is None or now - view.last_tick <= PAUSE_THRESHOLD:
        return view
    pause = now - view.last_tick - PROBE_INTERVAL
    suspicion_deadlines = {
        name: at + pause for name, at in view.suspicion_deadlines.items()
    }
    return dataclasses.replace(
        view, suspicion_deadlines=suspicion_deadlines, outcomes=()
    )


def _expire_members(view: View, now: datetime.timedelta) -> View:
    for name in [n for n, at in view.suspicion_deadlines.items() if at <= now]:
        dead = dataclasses.replace(view.members[name], state=State.DEAD)
        view = _merge_records(view, (dead,), now)
    expired = [
        n for n, at in view.departed_at.items() if now - at > FORGET_AFTER
    ]
    excess = len(view.members) - MAX_MEMBERS
    if excess > 0:
        expired += heapq.nsmallest(
            excess, view.departed_at, key=view.departed_at.__getitem__
        )
    return _remove_members(view, expired) if expired else view


def _remove_members(view: View, names: abc.Sequence[str]) -> View:
    def drop(mapping: abc.Mapping) -> dict:
        return {key: mapping[key] for key in mapping if key not in names}

    return dataclasses.replace(
        view,
        members=drop(view.members),
        send_counts=drop(view.send_counts),
        departed_at=drop(view.departed_at),
        probe_order=tuple(
            name for name in view.probe_order if name not in names
        ),
    )


def _pick_target(view: View) -> tuple[View, Probe | None]:
    view = dataclasses.replace(view, interval_count=view.interval_count + 1)
    unreachable = _list_unknown_seeds(view)
    unreachable += [
        view.members[name].peer_address
        for name in view.departed_at
        if view.members[name].state == State.DEAD
    ]
    is_isolated = len(view.members) == len(view.departed_at)
    if unreachable and (
        is_isolated or view.interval_count % RECONNECT_INTERVALS == 0
    ):
        index = (
            view.interval_count
            if is_isolated
            else view.interval_count // RECONNECT_INTERVALS
        )
        return view, _build_probe("", unreachable[index % len(unreachable)])
    probe_order = list(view.probe_order)
    while probe_order:
        member = view.members.get(probe_order.pop(0))
        if member is not None and member.state <= State.SUSPECT:
            break
    else:
        probe_order, member = _start_round(view)
    view = dataclasses.replace(view, probe_order=tuple(probe_order))
    if member is None:
        return view, None
    return view, _build_probe(member.name, member.peer_address)


def _start_round(view: View) -> tuple[list[str], Member | None]:
    names = [
        name
        for name, member in view.members.items()
        if member.state <= State.SUSPECT
    ]
    # Each round has the same order. With a new order, two probes of a member
    # could be two rounds apart, and `CONTACT_WINDOW` might contain neither.
    names.sort(key=functools.partial(_compute_hash, view.own.name))
    return names[1:], view.members[names[0]] if names else None


def _compute_hash(seed: str, name: str) -> int:
    text = f"{seed}\0{name}"
    return xxhash.xxh3_64_intdigest(text.encode())


def _build_probe(name: str, address: str) -> Probe:
    return Probe(name=name, address=address, timeout=PROBE_TIMEOUT)


def _list_unknown_seeds(view: View) -> list[str]:
    if not view.seeds:
        return []
    known = {member.peer_address for member in view.members.values()}
    known.add(view.own.peer_address)
    return [seed for seed in view.seeds if seed not in known]


def _compute_probe_timeout(view: View) -> datetime.timedelta:
    return PROBE_TIMEOUT * (1 + view.health_score) + 2 * view.lag


def _handle_message(
    view: View, message: Message, now: datetime.timedelta
) -> View:
    sender = message.sender
    if sender.name == view.own.name:
        return view
    # While the whole fleet starts, replies are partial. A daemon repeats its
    # request for synchronization until a reply names no new member.
    is_complete = all(u.name in view.members for u in message.updates)
    has_enough = sender.name in view.members and len(view.members) >= len(
        view.seeds
    )
    is_synced = (
        view.is_synced or is_complete and (has_enough or bool(message.updates))
    )
    view = _merge_records(view, (*message.updates, sender), now, sender.name)
    return dataclasses.replace(view, is_synced=is_synced)


def _merge_records(
    view: View,
    updates: abc.Iterable[Member],
    now: datetime.timedelta,
    sender: str = "",
) -> View:
    """Merges records; the record of `sender` came from that member itself."""
    members = dict(view.members)
    send_counts = dict(view.send_counts)
    suspicion_deadlines = dict(view.suspicion_deadlines)
    departed_at = dict(view.departed_at)
    joined: list[str] = []
    own = view.own
    for update in updates:
        name = update.name
        if name == own.name:
            own = _refute(own, update)
            continue
        known = members.get(name)
        merged = _merge_record(known, update, name == sender)
        if merged is None or merged is known:
            if known is not None and _get_precedence(update) < _get_precedence(
                known
            ):
                # The sender has an older record.
                send_counts.setdefault(name, 0)
            continue
        members[name] = merged
        if known is not None and _get_precedence(known) == _get_precedence(
            merged
        ):
            continue
        send_counts[name] = 0
        suspicion_deadlines.pop(name, None)
        departed_at.pop(name, None)
        match merged.state:
            case State.SUSPECT:
                suspicion_deadlines[name] = now + _compute_suspicion_timeout(
                    view
                )
            case State.DEAD | State.LEFT:
                departed_at[name] = now
            case State.ALIVE if known is None or known.state >= State.DEAD:
                joined.append(name)
    health_score = view.health_score
    if own.incarnation > view.own.incarnation:
        health_score = min(MAX_HEALTH_SCORE, health_score + 1)
    return dataclasses.replace(
        view,
        own=own,
        members=members,
        send_counts=send_counts,
        suspicion_deadlines=suspicion_deadlines,
        departed_at=departed_at,
        health_score=health_score,
        probe_order=_insert_into_round(view, joined)
        if joined
        else view.probe_order,
    )


def _insert_into_round(view: View, joined: list[str]) -> tuple[str, ...]:
    # A random position in the round bounds the time until a new member is first
    # probed, without giving new members precedence.
    probe_order = list(view.probe_order)
    for name in joined:
        probe_order.insert(
            _compute_hash(view.own.name, name) % (len(probe_order) + 1), name
        )
    return tuple(probe_order)


def _get_precedence(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state


def _merge_record(
    known: Member | None, update: Member, is_direct: bool
) -> Member | None:
    if known is None:
        # A dead or departed member whose record was removed must not be added
        # again from an old record of a peer.
        return update if update.state <= State.SUSPECT or is_direct else None
    sequence = max(known.config_sequence, update.config_sequence)
    is_newer = _get_precedence(update) > _get_precedence(known)
    base = update if is_newer else known
    source = update if is_direct or is_newer else known
    merged = dataclasses.replace(
        base,
        config_sequence=sequence,
        load=source.load,
        rank_loads=source.rank_loads,
        tunnel_address=source.tunnel_address,
        unreached=source.unreached,
    )
    return known if merged == known else merged


def _refute(own: Member, update: Member) -> Member:
    # A former process of the same name may have left or died at a higher
    # incarnation; the current one continues with the next. A leaving daemon
    # does not refute.
    is_contradicted = (
        update.state != State.ALIVE or update.incarnation > own.incarnation
    )
    if own.state == State.LEFT or not is_contradicted:
        return own
    if update.incarnation < own.incarnation:
        return own
    return dataclasses.replace(own, incarnation=update.incarnation + 1)


def _handle_probe_end(
    view: View, event: ProbeEnded, now: datetime.timedelta
) -> Step:
    member = view.members.get(event.name)
    if member is None:
        return view, ()
    outcome = ProbeOutcome(
        name=event.name, at=now, is_answered=event.is_answered
    )
    outcomes = (*view.outcomes, outcome)[-MAX_OUTCOMES:]
    view = dataclasses.replace(view, outcomes=outcomes)
    if event.is_answered:
        return dataclasses.replace(
            view, health_score=max(0, view.health_score - 1)
        ), ()
    helpers = _pick_helpers(view, member)
    if not helpers:
        return _mark_suspect(view, member.name, now), ()
    timeout = 2 * _compute_probe_timeout(view)
    request = RequestIndirectProbes(
        target=member, helpers=helpers, timeout=timeout
    )
    return view, (request,)


def _pick_helpers(view: View, target: Member) -> tuple[Member, ...]:
    # Helpers in one failure domain would fail together, so each is chosen from
    # a different domain as far as there are enough domains.
    alive = [m for m in list_alive(view) if m.name != target.name]
    seed = f"{view.own.name}\0{view.interval_count}"
    alive.sort(key=lambda member: _compute_hash(seed, member.name))
    avoided_domains = (view.own.failure_domain, target.failure_domain)
    preferred = [m for m in alive if m.failure_domain not in avoided_domains]
    fallback = [m for m in alive if m.failure_domain in avoided_domains]
    first_by_domain: dict[str, Member] = {}
    for member in preferred:
        first_by_domain.setdefault(member.failure_domain, member)
    chosen = list(first_by_domain.values())
    names = {member.name for member in chosen}
    chosen += [m for m in preferred if m.name not in names]
    return tuple((chosen + fallback)[:INDIRECT_PROBES])


def _handle_indirect_end(
    view: View, event: IndirectProbesEnded, now: datetime.timedelta
) -> View:
    if event.is_reached:
        return view
    if not event.answer_count:
        # No helper replied either, so the fault is probably local.
        health_score = min(MAX_HEALTH_SCORE, view.health_score + 1)
        view = dataclasses.replace(view, health_score=health_score)
    return _mark_suspect(view, event.name, now)


def _mark_suspect(view: View, name: str, now: datetime.timedelta) -> View:
    member = view.members.get(name)
    if member is None or member.state != State.ALIVE:
        return view
    return _merge_records(
        view, (dataclasses.replace(member, state=State.SUSPECT),), now
    )


def _announce_leave(view: View) -> Step:
    own = dataclasses.replace(view.own, state=State.LEFT)
    view = dataclasses.replace(view, own=own)
    peers = sorted(
        list_alive(view),
        key=lambda member: _compute_hash(own.name, member.name),
    )
    return view, tuple(
        _build_probe(peer.name, peer.peer_address)
        for peer in peers[:LEAVE_FANOUT]
    )


def _compute_suspicion_timeout(view: View) -> datetime.timedelta:
    factor = max(1.0, math.log10(len(view.members) + 1))
    return SUSPICION_TIMEOUT * factor * (1 + view.health_score) + 2 * view.lag


def _compute_send_limit(size: int) -> int:
    return RETRANSMIT_FACTOR * max(1, math.ceil(math.log10(size + 1)))


def _add_refreshes(
    view: View, names: list[str], room: int
) -> tuple[int, list[str]]:
    """Adds live records in rotation, so that lost updates are repaired.

    Returns the next refresh index and the extended list of names.
    """
    if room <= 0 or not view.members:
        return view.refresh_index, names
    keys = list(view.members)
    extended = list(names)
    for offset in range(room):
        name = keys[(view.refresh_index + offset) % len(keys)]
        is_live = view.members[name].state <= State.SUSPECT
        if is_live and name not in extended:
            extended.append(name)
    return (view.refresh_index + room) % len(keys), extended
