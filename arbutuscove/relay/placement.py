"""Selection of the backend for one request, without I/O.

Engines slow down for all their requests as they fill, so a request goes to the
backend whose token step is shortest with the request added. Each daemon counts
its own requests exactly and spreads them evenly; it assumes that the requests
of the other daemons are spread evenly, too. The other daemons' counts per
backend arrive some hundred milliseconds late, in a large fleet as late as a
request takes. Daemons that all follow them fill the same backends
(Mitzenmacher, How Useful Is Old Information, 2000; Vargaftik et al., LSQ: Load
Balancing in Large-Scale Heterogeneous Systems with Multiple Dispatchers, 2020).
Of 4,700 requests through 72 daemons, 1,170 shared a backend of 17 slots with
over 20 others, while 680 shared one with fewer than 6.
"""

import dataclasses
import math
import random
from collections import abc

from arbutuscove.balancing import loans
from arbutuscove.relay import model

SAMPLE_SIZE = 4  # backends compared for one request
# One daemon may use this number, divided by the number of daemons, as its part
# of the slots that seem free beyond its equal share: all daemons see the same
# free slots at once.
SURPLUS_FACTOR = 8
# The same for a daemon that owns places: it reads answers often enough to know
# what is free, and needs less beyond its places. Up to `SURPLUS_FACTOR` owners
# borrow like others.
OWNER_SURPLUS_FACTOR = 1
OWNER_SURPLUS_EXPONENT = 4
# Share of their slots to which healthy backends fill up before backends to be
# avoided are used, too.
MAX_HEALTHY_FILL = 0.8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonLoad:
    """Requests of another daemon, as last reported.

    `running` is by the number in a backend's key, `waiting` by service and
    model.
    """

    running: abc.Mapping[int, int]
    waiting: abc.Mapping[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoads:
    """Requests in flight at other daemons, as last reported.

    `running` maps the number in a backend's key to a count of requests;
    `daemons` is the number of other daemons that share the slots. `dispatchers`
    are the names of the daemons that own places, by failure domain, and `own`
    is this daemon's name. `by_domain` divides `running` by the failure domain
    of the daemons, and `waiting` is how many requests wait in daemons of a
    failure domain, by service and model. Both are None if they are unknown, as
    in a daemon that hears few others. `by_daemon` has each other daemon with
    requests.
    """

    running: abc.Mapping[int, int]
    daemons: float
    dispatchers: tuple[str, ...] = ()
    own: str = ""
    by_domain: abc.Mapping[str, abc.Mapping[int, int]] | None = None
    waiting: abc.Mapping[str, abc.Mapping[tuple[str, str], float]] = (
        dataclasses.field(default_factory=dict)
    )
    by_daemon: abc.Mapping[str, DaemonLoad] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A backend that a request may be sent to, with its estimated load.

    `running` is this daemon's requests at the backend plus an even share of the
    other daemons' requests. `slowness` is the factor by which the backend was
    recently slower than its load explains; 1 is as expected. A backend with
    `is_avoided` is used only as far as the others lack slots. One with
    `is_warming` is offered to few daemons at a time, so each of these compares
    it with its sample. `free_places` is the number of this daemon's own places
    that are free.
    """

    backend: model.Backend
    running: float
    slowness: float
    is_avoided: bool
    is_warming: bool = False
    free_places: int = 0


def choose_candidate(
    candidates: abc.Sequence[Candidate],
    excluded: abc.Set[model.BackendKey],
    step_ms: float,
    per_request_ms: float,
    running: float,
    generator: random.Random,
    domain: str | None = None,
) -> Candidate | None:
    """Returns the candidate to send a request to, None if none has a slot.

    Backends to be avoided get no requests while the others have slots for all
    requests. If a network partition makes most backends suspect, they share
    the load: otherwise the few healthy backends would be flooded, and prompts
    that an engine processes at the same time delay all its answers.

    Args:
        candidates: backends of the request's service and model.
        excluded: backends that this request was already sent to.
        step_ms: token step of an idle engine, in milliseconds.
        per_request_ms: milliseconds that each running request adds to a step.
        running: requests of all daemons at these backends.
        generator: random source for sampling and tie-breaks.
        domain: failure domain that is preferred while it has a slot, None if
            all are equal.

    Returns:
        The candidate with the shortest expected step in a random sample of
        those with a free own place, or of all without any; or None.
    """
    usable = [
        candidate
        for candidate in candidates
        if (
            candidate.running < candidate.backend.slots
            or candidate.free_places > 0
        )
        and candidate.backend.key not in excluded
    ]
    preferred = [option for option in usable if not option.is_avoided]
    avoided = [option for option in usable if option.is_avoided]
    room = MAX_HEALTHY_FILL * sum(option.backend.slots for option in preferred)
    if avoided and generator.random() * running >= room:
        preferred = avoided
    if not preferred:
        return None
    preferred = _narrow(
        preferred,
        {option.backend.key for option in preferred if option.free_places > 0},
    )
    preferred = _narrow(
        preferred,
        {
            option.backend.key
            for option in preferred
            if domain == option.backend.vm.failure_domain
        },
    )
    steady = [option for option in preferred if not option.is_warming]
    if len(steady) > SAMPLE_SIZE:
        warming = [option for option in preferred if option.is_warming]
        preferred = generator.sample(steady, SAMPLE_SIZE) + warming
    return min(
        preferred,
        key=lambda option: (
            (step_ms + per_request_ms * (option.running + 1)) * option.slowness,
            generator.random(),
        ),
    )


def _narrow(
    options: list[Candidate], keys: abc.Set[model.BackendKey]
) -> list[Candidate]:
    """Returns the options with some keys and those that warm.

    All options are returned if only warming ones would remain, since other
    slots exist.
    """
    if not keys:
        return options
    narrowed = [
        option
        for option in options
        if option.is_warming or option.backend.key in keys
    ]
    is_steady = any(not option.is_warming for option in narrowed)
    return narrowed if is_steady else options


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Usage:
    """Slots of one service and model, and their use.

    `own` is the number of slots that this daemon uses, `others` the estimated
    number that the other daemons use, `daemons` the number of other daemons.
    `places` is the number of slots that this daemon owns, 0 if it owns none,
    and `loan` what it may use beside them.
    `others_by_domain` divides `others` by the backends' failure domain; it is
    empty if that is unknown.
    """

    total_slots: int
    own: int
    others: float
    daemons: float
    places: int = 0
    others_by_domain: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    loan: loans.Loan = loans.NO_LOAN

    @property
    def equal_share(self) -> float:
        """The number of slots of one daemon if all have the same number.

        Owned places are whole slots that add up to all slots.
        """
        share = self.total_slots / (self.daemons + 1)
        return min(self.places, math.ceil(share)) if self.places else share


def must_borrow(
    candidates: abc.Sequence[Candidate], usage: Usage, domain: str
) -> bool:
    """Returns whether a daemon that owns places has none free.

    A further request is not kept near, nor sent to a drawn domain: the other
    slots there are places of the daemons of that domain, which hold their own
    part of its demand. Under waves of demand, daemons that borrow near fill
    groups beyond their slots while groups of other domains have free ones.
    While some backends near are to be avoided, daemons whose places are there
    fill the few others near in the same way, so these places do not count. If
    all near are to be avoided, no demand is kept near, and the draw divides it
    among the other domains by what they lack.

    Args:
        candidates: the usable backends.
        usage: slots of these backends and their use.
        domain: the daemon's failure domain.
    """
    if not usage.places:
        return False
    preferred = [option for option in candidates if not option.is_avoided]
    if any(option.backend.vm.failure_domain == domain for option in preferred):
        candidates = preferred
    return all(candidate.free_places <= 0 for candidate in candidates)


def bound_peer_usage(usage: Usage) -> float:
    """Returns the other daemons' use of slots, capped at their equal shares.

    Without the cap, outdated counts cause oscillation: while the other daemons
    seem to use all slots, every daemon stops sending and the engines run idle;
    when the new counts arrive, every daemon sends at once and floods them.
    """
    return min(usage.others, usage.total_slots - usage.equal_share)


def count_available(usage: Usage) -> float:
    """Returns how many more requests this daemon may send.

    Beyond its equal share a daemon uses only a part of the slots that seem
    free: the other daemons see the same free slots and send requests, too,
    before the next answers report the new load.
    """
    surplus = max(0.0, usage.total_slots - usage.others - usage.own)
    part = SURPLUS_FACTOR / (usage.daemons + 1)
    if usage.places:
        # Falls steeply: in a small fleet, callers may all use one daemon.
        part = max(
            OWNER_SURPLUS_FACTOR / (usage.daemons + 1),
            part**OWNER_SURPLUS_EXPONENT,
        )
    borrowed = surplus * min(1.0, part)
    if usage.places:
        kept = max(0.0, usage.own - usage.equal_share)
        borrowed = max(borrowed, min(usage.loan.slots, kept + surplus))
        # A fraction for each of many daemons would add up to many slots.
        borrowed = math.floor(borrowed)
    limit = usage.equal_share + borrowed
    return min(limit, usage.total_slots - bound_peer_usage(usage)) - usage.own


def compute_reserve(usage: Usage) -> float:
    """Returns how many of its slots a daemon reserves for on-time requests.

    Requests that are already late may not use the reserve, so that the next
    request finds a free slot at once and can be on time. Arrivals are random,
    so the slots needed beyond the mean grow with its square root (Halfin and
    Whitt, Heavy-Traffic Limits for Queues with Many Exponential Servers, 1981).
    An idle daemon reserves none.
    """
    if not usage.own:
        return 0.0
    return math.sqrt(usage.equal_share + usage.loan.slots)


def count_late_sharers(usage: Usage) -> float:
    """Returns among how many daemons the slots for late work are divided.

    A daemon with most of the excess demand gets most of them, as the others
    have no late work.
    """
    sharers = usage.daemons + 1
    if usage.loan.late_part > 0:
        sharers = min(sharers, 1 / usage.loan.late_part)
    return sharers
