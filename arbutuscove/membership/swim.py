"""Failure detection and spreading of membership, without I/O.

SWIM (Das et al. 2002) with the local health of Lifeguard (Dadgar et al.
2018). `step` maps a state, an event and a time to a new state and the effects
that the caller carries out. Each daemon probes one member in each interval;
what it learned rides on these messages, a bounded number of updates each.

A member's record is ordered by its *incarnation*, then by its state. Only the
member itself raises its incarnation, and does so to refute a suspicion. The
configuration sequence in a record only grows, so copies merge by maximum.
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
SUSPICION = datetime.timedelta(seconds=4)  # times log10 of the fleet, from 1 up
FORGET_AFTER = datetime.timedelta(hours=2)  # outlasts a region cut for an hour
PAUSE = datetime.timedelta(seconds=3)  # a later tick means that we were paused
WINDOW = datetime.timedelta(seconds=10)  # own probes that count as recent
HELPERS = 3  # indirect probes for one failed direct probe
UPDATES_LIMIT = 6  # updates in a message: about 600 bytes
FILL_LIMIT = 2  # of these, records repeated in turn to repair lost updates
SEND_FACTOR = 4  # times log10 of the fleet: sends of an update by one daemon
HEALTH_LIMIT = 8  # longest timeouts are nine times the base
RECONNECT_TURNS = 5  # each fifth probe tries a dead member or a silent seed
LEAVE_FANOUT = 6  # peers told at once of a leave: all of them at 7 daemons
MEMBER_LIMIT = 4096  # records kept; twice the target size
LEAST_ANSWERS = 5  # answers before a new daemon can judge a large fleet
# Loads by rank in a record: at most 42 bytes. Both users have three ranks
# and one more number for work beyond its urgent entitlement.
RANK_LOADS_LIMIT = 8
SAMPLE_LIMIT = 16  # probe outcomes kept; more than the window holds


class State(enum.IntEnum):
    """What is believed of a member; later values win in one incarnation."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One daemon as it is known.

    `load` counts its requests running and waiting, `rank_loads` the same by
    priority; empty if the daemon has not said.
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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Message:
    """What one daemon tells another; `whole` asks for all records."""

    sender: Member
    updates: tuple[Member, ...] = ()
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """A probe interval has passed; `lag` is how late the own loop runs."""

    lag: datetime.timedelta = datetime.timedelta()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message arrived, as a probe or as the answer to one."""

    message: Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeEnded:
    """A direct probe was answered or timed out."""

    name: str
    answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IndirectEnded:
    """All helpers answered or timed out; `helped` counts the answers."""

    name: str
    reached: bool
    helped: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Leave:
    """This daemon is about to stop."""


Event = Tick | Received | ProbeEnded | IndirectEnded | Leave


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Send a probe; `name` is empty for a seed that is not known yet."""

    name: str
    address: str
    timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ProbeThrough:
    """Ask helpers to probe a member that did not answer."""

    target: Member
    helpers: tuple[Member, ...]
    timeout: datetime.timedelta


Effect = Probe | ProbeThrough


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How one own direct probe ended."""

    name: str
    at: datetime.timedelta
    answered: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """All that one daemon knows of the fleet.

    `pending` counts how often each update was sent, `deadlines` says when a
    suspect is declared dead, `gone` since when a member is dead or has left.
    `order` is the order of probes in this round.
    """

    own: Member
    seeds: tuple[str, ...] = ()
    members: abc.Mapping[str, Member] = dataclasses.field(default_factory=dict)
    pending: abc.Mapping[str, int] = dataclasses.field(default_factory=dict)
    deadlines: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    gone: abc.Mapping[str, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    order: tuple[str, ...] = ()
    turn: int = 0
    fill: int = 0
    health: int = 0
    lag: datetime.timedelta = datetime.timedelta()
    ticked: datetime.timedelta | None = None
    sample: tuple[Outcome, ...] = ()
    synced: bool = False


Step = tuple[View, tuple[Effect, ...]]


def step(view: View, event: Event, now: datetime.timedelta) -> Step:
    """Returns the view after an event and what is to be done.

    Example:
        >>> own = Member(name="a", peer_address="127.0.0.1:1")
        >>> view = View(own=own, seeds=("127.0.0.1:2",))
        >>> _, effects = step(view, Tick(), datetime.timedelta())
        >>> effects[0].address
        '127.0.0.1:2'
    """
    match event:
        case Tick(lag=lag):
            return _tick(view, lag, now)
        case Received(message=message):
            return _receive(view, message, now), ()
        case ProbeEnded():
            return _end_probe(view, event, now)
        case IndirectEnded():
            return _end_indirect(view, event, now), ()
        case Leave():
            return _leave(view)


def write_message(view: View, to: str) -> tuple[View, Message]:
    """Returns the next message and the view that counts it as sent.

    A receiver that is believed suspect, dead or gone is told so first, since
    only it can refute that.
    """
    if not view.synced:
        return view, Message(sender=view.own, whole=True)
    names = heapq.nsmallest(
        UPDATES_LIMIT, view.pending, key=view.pending.__getitem__
    )
    known = view.members.get(to)
    if known is not None and known.state != State.ALIVE:
        names = [to, *(name for name in names if name != to)][:UPDATES_LIMIT]
    pending = dict(view.pending)
    most = _count_sends(len(view.members))
    for name in names:
        if name not in pending:
            continue
        pending[name] += 1
        if pending[name] >= most:
            del pending[name]
    room = min(FILL_LIMIT, UPDATES_LIMIT - len(names))
    fill, names = _fill(view, names, room)
    updates = tuple(view.members[name] for name in names)
    view = dataclasses.replace(view, pending=pending, fill=fill)
    return view, Message(sender=view.own, updates=updates)


def answer(view: View, message: Message) -> tuple[View, Message]:
    """Returns the answer to a message: all live records if it asks for them."""
    if not message.whole:
        return write_message(view, message.sender.name)
    asker = message.sender.name
    told = [
        member
        for member in view.members.values()
        if (member.name == asker) != (member.state <= State.SUSPECT)
    ]
    return view, Message(sender=view.own, updates=tuple(told))


def bound_loads(loads: abc.Sequence[int]) -> tuple[int, ...]:
    """Returns loads by priority in at most `RANK_LOADS_LIMIT` numbers.

    The last number then counts all less urgent work together.

    Example:
        >>> bound_loads([3, 0, 1, 1, 1, 1, 1, 1, 1])
        (3, 0, 1, 1, 1, 1, 1, 2)
    """
    kept = RANK_LOADS_LIMIT - 1
    if len(loads) <= kept:
        return tuple(loads)
    return (*loads[:kept], sum(loads[kept:]))


def list_alive(view: View) -> list[Member]:
    """Returns the other members that are believed alive."""
    return [m for m in view.members.values() if m.state == State.ALIVE]


def date_majority(
    view: View, now: datetime.timedelta
) -> datetime.timedelta | None:
    """Returns since when most of the fleet is known to be in contact.

    A daemon of a large fleet reaches ten members in the window, so it
    estimates: the members not believed dead, times the share of its recent
    probes of such members that were answered, plus itself, must be more than
    half of the fleet. The answer is the time of the oldest probe that the
    estimate needs, so that contact is never dated later than it was. Dead
    members belong to the fleet until they are forgotten, those that left do
    not. Returns None if there is no such contact in the window.
    """
    latest: dict[str, Outcome] = {}
    for outcome in view.sample:
        if now - outcome.at <= WINDOW and outcome.name not in view.gone:
            latest[outcome.name] = outcome
    live = len(view.members) - len(view.gone)
    left = sum(view.members[n].state == State.LEFT for n in view.gone)
    total = 1 + len(view.members) - left + len(_find_silent_seeds(view))
    if not latest or not live:
        return None
    share = max(0.0, (total / 2 - 1) / live)
    least = min(LEAST_ANSWERS, total // 2)
    needed = max(math.floor(share * len(latest)) + 1, least)
    answered = sorted(o.at for o in latest.values() if o.answered)
    return answered[-needed] if len(answered) >= needed else None


def _tick(view: View, lag: datetime.timedelta, now: datetime.timedelta) -> Step:
    view = _skip_pause(view, now)
    view = dataclasses.replace(view, lag=lag, ticked=now)
    view = _expire(view, now)
    if view.own.state == State.LEFT:
        return view, ()
    view, target = _pick_target(view)
    if target is None:
        return view, ()
    return view, (dataclasses.replace(target, timeout=_get_timeout(view)),)


def _skip_pause(view: View, now: datetime.timedelta) -> View:
    # A daemon that was paused heard no refutations meanwhile. Its suspicions
    # must not turn into deaths on waking, so their deadlines move along.
    if view.ticked is None or now - view.ticked <= PAUSE:
        return view
    late = now - view.ticked - PROBE_INTERVAL
    deadlines = {name: at + late for name, at in view.deadlines.items()}
    return dataclasses.replace(view, deadlines=deadlines, sample=())


def _expire(view: View, now: datetime.timedelta) -> View:
    for name in [n for n, at in view.deadlines.items() if at <= now]:
        dead = dataclasses.replace(view.members[name], state=State.DEAD)
        view = _store(view, (dead,), now)
    old = [n for n, at in view.gone.items() if now - at > FORGET_AFTER]
    excess = len(view.members) - MEMBER_LIMIT
    if excess > 0:
        old += heapq.nsmallest(excess, view.gone, key=view.gone.__getitem__)
    return _forget(view, old) if old else view


def _forget(view: View, names: abc.Sequence[str]) -> View:
    def drop(found: abc.Mapping) -> dict:
        return {key: found[key] for key in found if key not in names}

    return dataclasses.replace(
        view,
        members=drop(view.members),
        pending=drop(view.pending),
        gone=drop(view.gone),
        order=tuple(name for name in view.order if name not in names),
    )


def _pick_target(view: View) -> tuple[View, Probe | None]:
    view = dataclasses.replace(view, turn=view.turn + 1)
    lost = _find_silent_seeds(view)
    lost += [
        view.members[name].peer_address
        for name in view.gone
        if view.members[name].state == State.DEAD
    ]
    alone = len(view.members) == len(view.gone)
    if lost and (alone or view.turn % RECONNECT_TURNS == 0):
        turn = view.turn if alone else view.turn // RECONNECT_TURNS
        return view, _build_probe("", lost[turn % len(lost)])
    order = list(view.order)
    while order:
        member = view.members.get(order.pop(0))
        if member is not None and member.state <= State.SUSPECT:
            break
    else:
        order, member = _start_round(view)
    view = dataclasses.replace(view, order=tuple(order))
    if member is None:
        return view, None
    return view, _build_probe(member.name, member.peer_address)


def _start_round(view: View) -> tuple[list[str], Member | None]:
    names = [
        name
        for name, member in view.members.items()
        if member.state <= State.SUSPECT
    ]
    # The same order in each round: with a new one, two probes of a member
    # could lie two rounds apart, and `WINDOW` would lose sight of it.
    names.sort(key=functools.partial(_rank, view.own.name))
    return names[1:], view.members[names[0]] if names else None


def _rank(seed: str, name: str) -> int:
    text = f"{seed}\0{name}"
    return xxhash.xxh3_64_intdigest(text.encode())


def _build_probe(name: str, address: str) -> Probe:
    return Probe(name=name, address=address, timeout=PROBE_TIMEOUT)


def _find_silent_seeds(view: View) -> list[str]:
    if not view.seeds:
        return []
    known = {member.peer_address for member in view.members.values()}
    known.add(view.own.peer_address)
    return [seed for seed in view.seeds if seed not in known]


def _get_timeout(view: View) -> datetime.timedelta:
    return PROBE_TIMEOUT * (1 + view.health) + 2 * view.lag


def _receive(view: View, message: Message, now: datetime.timedelta) -> View:
    sender = message.sender
    if sender.name == view.own.name:
        return view
    # While a whole fleet starts, answers are partial. A daemon goes on asking
    # until one names nobody new.
    known = all(u.name in view.members for u in message.updates)
    enough = sender.name in view.members and len(view.members) >= len(
        view.seeds
    )
    synced = view.synced or known and (enough or bool(message.updates))
    view = _store(view, (*message.updates, sender), now, sender.name)
    return dataclasses.replace(view, synced=synced)


def _store(
    view: View,
    updates: abc.Iterable[Member],
    now: datetime.timedelta,
    direct: str = "",
) -> View:
    """Merges records; the one named `direct` came from the member itself."""
    members = dict(view.members)
    pending = dict(view.pending)
    deadlines = dict(view.deadlines)
    gone = dict(view.gone)
    joined: list[str] = []
    own = view.own
    for update in updates:
        name = update.name
        if name == own.name:
            own = _refute(own, update)
            continue
        known = members.get(name)
        merged = _merge(known, update, name == direct)
        if merged is None or merged is known:
            if known is not None and _order(update) < _order(known):
                pending.setdefault(name, 0)  # the peer has an older record
            continue
        members[name] = merged
        if known is not None and _order(known) == _order(merged):
            continue
        pending[name] = 0
        deadlines.pop(name, None)
        gone.pop(name, None)
        match merged.state:
            case State.SUSPECT:
                deadlines[name] = now + _get_suspicion(view)
            case State.DEAD | State.LEFT:
                gone[name] = now
            case State.ALIVE if known is None or known.state >= State.DEAD:
                joined.append(name)
    health = view.health
    if own.incarnation > view.own.incarnation:
        health = min(HEALTH_LIMIT, health + 1)
    return dataclasses.replace(
        view,
        own=own,
        members=members,
        pending=pending,
        deadlines=deadlines,
        gone=gone,
        health=health,
        order=_insert(view, joined) if joined else view.order,
    )


def _insert(view: View, joined: list[str]) -> tuple[str, ...]:
    # A random place in the round bounds the time until a new member is first
    # probed without favouring it.
    order = list(view.order)
    for name in joined:
        order.insert(_rank(view.own.name, name) % (len(order) + 1), name)
    return tuple(order)


def _order(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state


def _merge(known: Member | None, update: Member, direct: bool) -> Member | None:
    if known is None:
        # A member that is gone and forgotten must not come back as gone.
        return update if update.state <= State.SUSPECT or direct else None
    sequence = max(known.config_sequence, update.config_sequence)
    newer = _order(update) > _order(known)
    base = update if newer else known
    loaded = update if direct or newer else known
    found = (sequence, loaded.load, loaded.rank_loads)
    if not newer and found == (
        known.config_sequence,
        known.load,
        known.rank_loads,
    ):
        return known
    return dataclasses.replace(
        base,
        config_sequence=sequence,
        load=loaded.load,
        rank_loads=loaded.rank_loads,
    )


def _refute(own: Member, update: Member) -> Member:
    # An older process of the same name may have left or died at a higher
    # incarnation; a live one takes the next. A leaving daemon does not object.
    worse = update.state != State.ALIVE or update.incarnation > own.incarnation
    if own.state == State.LEFT or not worse:
        return own
    if update.incarnation < own.incarnation:
        return own
    return dataclasses.replace(own, incarnation=update.incarnation + 1)


def _end_probe(view: View, event: ProbeEnded, now: datetime.timedelta) -> Step:
    member = view.members.get(event.name)
    if member is None:
        return view, ()
    outcome = Outcome(name=event.name, at=now, answered=event.answered)
    sample = (*view.sample, outcome)[-SAMPLE_LIMIT:]
    view = dataclasses.replace(view, sample=sample)
    if event.answered:
        return dataclasses.replace(view, health=max(0, view.health - 1)), ()
    helpers = _pick_helpers(view, member)
    if not helpers:
        return _suspect(view, member.name, now), ()
    timeout = 2 * _get_timeout(view)
    through = ProbeThrough(target=member, helpers=helpers, timeout=timeout)
    return view, (through,)


def _pick_helpers(view: View, target: Member) -> tuple[Member, ...]:
    # Helpers of one domain would fail with that domain, so each comes from
    # another one as far as there are enough.
    alive = [m for m in list_alive(view) if m.name != target.name]
    seed = f"{view.own.name}\0{view.turn}"
    alive.sort(key=lambda member: _rank(seed, member.name))
    others = (view.own.failure_domain, target.failure_domain)
    far = [m for m in alive if m.failure_domain not in others]
    near = [m for m in alive if m.failure_domain in others]
    firsts: dict[str, Member] = {}
    for member in far:
        firsts.setdefault(member.failure_domain, member)
    chosen = list(firsts.values())
    names = {member.name for member in chosen}
    chosen += [m for m in far if m.name not in names]
    return tuple((chosen + near)[:HELPERS])


def _end_indirect(
    view: View, event: IndirectEnded, now: datetime.timedelta
) -> View:
    if event.reached:
        return view
    if not event.helped:
        # No helper answered either, so the fault is probably one's own.
        health = min(HEALTH_LIMIT, view.health + 1)
        view = dataclasses.replace(view, health=health)
    return _suspect(view, event.name, now)


def _suspect(view: View, name: str, now: datetime.timedelta) -> View:
    member = view.members.get(name)
    if member is None or member.state != State.ALIVE:
        return view
    return _store(
        view, (dataclasses.replace(member, state=State.SUSPECT),), now
    )


def _leave(view: View) -> Step:
    own = dataclasses.replace(view.own, state=State.LEFT)
    view = dataclasses.replace(view, own=own)
    peers = sorted(
        list_alive(view), key=lambda member: _rank(own.name, member.name)
    )
    return view, tuple(
        _build_probe(peer.name, peer.peer_address)
        for peer in peers[:LEAVE_FANOUT]
    )


def _get_suspicion(view: View) -> datetime.timedelta:
    size = max(1.0, math.log10(len(view.members) + 1))
    return SUSPICION * size * (1 + view.health) + 2 * view.lag


def _count_sends(size: int) -> int:
    return SEND_FACTOR * max(1, math.ceil(math.log10(size + 1)))


def _fill(view: View, names: list[str], room: int) -> tuple[int, list[str]]:
    """Adds live records in turn, so that a lost update is repaired in time."""
    if room <= 0 or not view.members:
        return view.fill, names
    keys = list(view.members)
    found = list(names)
    for offset in range(room):
        name = keys[(view.fill + offset) % len(keys)]
        live = view.members[name].state <= State.SUSPECT
        if live and name not in found:
            found.append(name)
    return (view.fill + room) % len(keys), found
