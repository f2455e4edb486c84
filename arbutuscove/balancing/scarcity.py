"""Division of the slots of engines among many daemons.

A daemon with a few of the requests in progress cannot spread them evenly over
the groups: the sum of many small numbers at one group is close to a Poisson
variable, and a full group lets requests wait while others have room. Therefore
only some daemons, the *dispatchers*, are named to callers, and each of them
owns places at the groups. Places of different dispatchers never collide as far
as the daemons agree on which of them are live and which groups are open.
"""

import collections
import dataclasses
import datetime
import math
from collections import abc

import xxhash

# Slots for one dispatcher: its requests at a group then differ from their even
# share by rounding only.
SLOTS_PER_DISPATCHER = 32
# Processor time for the streams of one slot, in thousandths of a core.
SLOT_MILLICORES = 12
# Smallest number of places that a dispatcher owns. A smaller number could not
# serve two requests that arrive at once, so all is borrowed then.
MIN_PLACES = 4
MAX_CACHED_POOLS = 64  # a full cache is emptied
# Dispatchers of a failure domain: the loss of one breaks few connections.
MIN_DISPATCHERS = 5

# Late work may take the slots that are free beyond the reserve within the time
# of a request, which is no shorter than reports of the load are old.
MIN_LATE_WINDOW = datetime.timedelta(milliseconds=200)
MAX_LATE_WINDOW = datetime.timedelta(milliseconds=500)
DURATION_WEIGHT = 0.1  # weight of a new time in the moving mean
MIN_LATE_SHARE = 0.03  # of the slots, taken by late work in each window
MAX_LATE_BURST = 1.0  # late requests that one daemon starts at once


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Daemon:
    """A live daemon that accepts callers.

    `millicores` is the processor time of its VM, 0 if unknown.
    """

    failure_domain: str
    name: str
    millicores: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Site:
    """A backend as a place of slots.

    `number` is unique among backends; `slots` is how many requests it runs.
    """

    failure_domain: str
    number: int
    slots: int


def choose_dispatchers(
    daemons: abc.Iterable[Daemon], slots: int
) -> tuple[Daemon, ...]:
    """Returns the daemons that callers are to be sent to, in a fixed order.

    Each failure domain gets dispatchers for an equal part of the slots.

    Args:
        daemons: live daemons that accept callers.
        slots: slots of all backends.

    Example:
        >>> daemons = [
        ...     Daemon(failure_domain="a", name=f"n{number}", millicores=500)
        ...     for number in range(30)
        ... ]
        >>> len(choose_dispatchers(daemons, 320))
        10
    """
    domains: dict[str, list[Daemon]] = collections.defaultdict(list)
    for daemon in daemons:
        domains[daemon.failure_domain].append(daemon)
    chosen: list[Daemon] = []
    for members in domains.values():
        members.sort(key=_rank)
        needed = slots / len(domains)
        for count, daemon in enumerate(members):
            if count >= MIN_DISPATCHERS and needed <= 0:
                break
            chosen.append(daemon)
            needed -= max(
                1,
                min(SLOTS_PER_DISPATCHER, daemon.millicores // SLOT_MILLICORES),
            )
    return tuple(sorted(chosen))


def _rank(daemon: Daemon) -> tuple[int, int]:
    digest = xxhash.xxh3_64_intdigest(daemon.name.encode())
    return (-daemon.millicores, digest)


def count_sharers(loads: abc.Iterable[int], dispatchers: int) -> float:
    """Returns the number of daemons that share the slots.

    This is at least the number of dispatchers. Daemons that are none may still
    have callers; the participation ratio of the loads counts daemons with
    equal loads as one each and idle ones as none.

    Args:
        loads: requests in progress at each live daemon.
        dispatchers: number of dispatchers.

    Example:
        >>> count_sharers([5, 5, 5, 5, 0, 0], 2)
        4.0
    """
    total = squares = 0
    for load in loads:
        total += load
        squares += load * load
    ratio = total * total / squares if squares else 0.0
    return max(1.0, float(dispatchers), ratio)


def assign_places(
    sites: abc.Iterable[Site], dispatchers: abc.Sequence[str], own: str
) -> abc.Mapping[int, int]:
    """Returns how many slots of each backend a dispatcher owns.

    The parts of all dispatchers add up to the slots of each backend. Nobody
    owns places if there are too few for all dispatchers.

    Args:
        sites: the backends of one service and model.
        dispatchers: names of the dispatchers, in order of failure domain.
        own: the dispatcher; one that is not listed owns nothing.

    Returns:
        Owned slots by the backend's number.

    Example:
        >>> sites = [
        ...     Site(failure_domain="a", number=number, slots=4)
        ...     for number in (1, 2)
        ... ]
        >>> dict(assign_places(sites, ["x", "y"], "y"))
        {1: 2, 2: 2}
    """
    if own not in dispatchers:
        return {}
    places = sorted(
        (site.failure_domain, turn, site.number)
        for site in sites
        for turn in range(site.slots)
    )
    if len(places) < MIN_PLACES * len(dispatchers):
        return {}
    position = list(dispatchers).index(own)
    first = position * len(places) // len(dispatchers)
    end = (position + 1) * len(places) // len(dispatchers)
    return collections.Counter(number for _, _, number in places[first:end])


class PlaceCache:
    """The owned places of each set of backends, as they were last assigned."""

    def __init__(self) -> None:
        self._places: dict[
            tuple[int, ...], tuple[tuple[str, ...], abc.Mapping[int, int]]
        ] = {}

    def assign(
        self,
        numbers: tuple[int, ...],
        sites: abc.Iterable[Site],
        dispatchers: tuple[str, ...],
        own: str,
    ) -> abc.Mapping[int, int]:
        """Returns what `assign_places` does.

        Args:
            numbers: the numbers of the sites.
            sites: the backends; read only if the places are not known.
            dispatchers: names of the dispatchers, by failure domain.
            own: this daemon's name.
        """
        known = self._places.get(numbers)
        if known is not None and known[0] == dispatchers:
            return known[1]
        if len(self._places) >= MAX_CACHED_POOLS:
            self._places.clear()
        places = assign_places(sites, dispatchers, own)
        self._places[numbers] = (dispatchers, places)
        return places


class LateAllowance:
    """Limits how fast a daemon starts work that is late already.

    Late work takes slots that work still in time is going to need, so it gets
    part of the slots which remain free beyond the random variation of arrivals.
    The allowance grows by what is free now, as reports of the load arrive later
    than the next decision. A small share of the slots prevents starvation.

    Example:
        >>> second = datetime.timedelta(seconds=1)
        >>> allowance = LateAllowance()
        >>> allowance.spend()
        >>> allowance.refresh(100.0, 0.0, 10.0, second)
        False
        >>> allowance.refresh(100.0, 30.0, 10.0, 2 * second)
        True
    """

    def __init__(self) -> None:
        self._allowed = MAX_LATE_BURST
        self._duration = MAX_LATE_WINDOW
        self._updated_at: datetime.timedelta | None = None

    def refresh(
        self,
        slots: float,
        free: float,
        sharers: float,
        now: datetime.timedelta,
    ) -> bool:
        """Updates the allowance; returns whether one late request may start.

        Args:
            slots: slots of the service and model.
            free: slots that seem free, may be negative.
            sharers: daemons that share the slots.
            now: monotonic time.
        """
        elapsed = datetime.timedelta()
        if self._updated_at is not None:
            elapsed = max(elapsed, now - self._updated_at)
        self._updated_at = now
        rate = max(free - math.sqrt(slots), MIN_LATE_SHARE * slots)
        window = max(MIN_LATE_WINDOW, min(self._duration, MAX_LATE_WINDOW))
        self._allowed += rate / sharers * (elapsed / window)
        self._allowed = min(self._allowed, MAX_LATE_BURST)
        return self._allowed >= 1.0

    def spend(self) -> None:
        """Records the start of a late request."""
        self._allowed = max(0.0, self._allowed - 1.0)

    def record_end(self, duration: datetime.timedelta) -> None:
        """Records how long a request occupied its slot."""
        self._duration += DURATION_WEIGHT * (duration - self._duration)
