"""Which part of a failure domain's demand stays, and where the rest goes.

Requests stay near until one more of them would wait longer behind the others
than the way across takes. What is beyond goes to domains that are less full
than the fleet, in proportion to what they lack, so that the daemons of a full
domain do not all pick the same neighbor. Equal inputs give equal shares: each
daemon computes alone.
"""

import dataclasses
import datetime
import math
from collections import abc

# Assumed between two domains if the configuration does not tell.
DEFAULT_ONE_WAY = datetime.timedelta(milliseconds=1)
# Fill up to which a domain keeps the requests of a service whose delay under
# load is unknown.
DEFAULT_NEAR_FILL = 0.5
# Fill up to which nearly every request finds a free slot near, although the
# backends are not equally full at each moment.
MAX_NEAR_FILL = 0.8
# The part of a domain's demand that has to be in excess before any leaves. Some
# then leaves until there is no excess.
MIN_LEAVING_SHARE = 0.05
# Shares that differ by less are not replaced.
MIN_SHARE_CHANGE = 0.05
LONG_PART_WEIGHT = 0.02  # weight of a request in the part of long prompts
DEMAND_WINDOW = datetime.timedelta(seconds=1)  # of the moving mean
UPDATE_INTERVAL = datetime.timedelta(milliseconds=100)

Shares = abc.Mapping[str, float]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DomainLoad:
    """Demand and room of a failure domain for one service and model.

    Attributes:
        demand: requests of the callers of its daemons, running or waiting.
        slots: requests that its usable backends may run.
        backends: number of its usable backends.
    """

    demand: float
    slots: float
    backends: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delays:
    """What a request waits for.

    Attributes:
        one_way: time between two failure domains, by both names in any order.
        per_request: time by which one more running request delays the first
            byte of the next one at the same backend; None if unknown.
    """

    one_way: abc.Mapping[tuple[str, str], datetime.timedelta] = (
        dataclasses.field(default_factory=dict)
    )
    per_request: datetime.timedelta | None = None

    def get_one_way(self, first: str, second: str) -> datetime.timedelta:
        """Returns the time between two failure domains."""
        known = self.one_way.get((first, second))
        if known is None:
            known = self.one_way.get((second, first))
        return DEFAULT_ONE_WAY if known is None else known


def compute_shares(
    domain: str,
    loads: abc.Mapping[str, DomainLoad],
    delays: Delays,
    least_leaving: float = MIN_LEAVING_SHARE,
) -> Shares:
    """Returns which part of a domain's demand goes to each domain.

    The shares add up to 1; domains without a part are left out. A domain
    without demand keeps what comes next, if it has room.

    Args:
        domain: the domain of the callers.
        loads: demand and room of all domains.
        delays: delays of the service and model.
        least_leaving: share of the demand up to which an excess stays.

    Example:
        >>> loads = {
        ...     "a": DomainLoad(demand=30.0, slots=20.0, backends=2),
        ...     "b": DomainLoad(demand=6.0, slots=20.0, backends=2),
        ... }
        >>> compute_shares("b", loads, Delays())
        {'b': 1.0}
        >>> compute_shares("a", loads, Delays())
        {'a': 0.6, 'b': 0.4}
    """
    total_slots = sum(load.slots for load in loads.values())
    own = loads.get(domain)
    if total_slots <= 0:
        return {domain: 1.0}
    even_fill = sum(load.demand for load in loads.values()) / total_slots
    lacking = {
        name: max(0.0, load.slots * even_fill - load.demand)
        for name, load in sorted(loads.items())
        if name != domain and load.slots > 0
    }
    if own is None or own.slots <= 0:
        if not sum(lacking.values()):
            lacking = {name: loads[name].slots for name in lacking}
        return _normalize(lacking)
    kept = max(
        own.slots * even_fill,
        own.slots * _compute_near_fill(domain, own, loads, even_fill, delays),
        float(own.backends),
    )
    leaving = own.demand - kept
    if leaving <= least_leaving * own.demand or not sum(lacking.values()):
        return {domain: 1.0}
    leaving_share = leaving / own.demand
    return {domain: 1.0 - leaving_share} | {
        name: leaving_share * part for name, part in _normalize(lacking).items()
    }


def _compute_near_fill(
    domain: str,
    own: DomainLoad,
    loads: abc.Mapping[str, DomainLoad],
    even_fill: float,
    delays: Delays,
) -> float:
    """Returns the fill at which the way across costs as much as the wait.

    The way is taken twice, by the request and by the first byte. A request
    delays the others at its backend as much as they delay it.
    """
    if delays.per_request is None:
        return DEFAULT_NEAR_FILL
    if delays.per_request <= datetime.timedelta():
        return MAX_NEAR_FILL
    ways = [
        delays.get_one_way(domain, name)
        for name, load in loads.items()
        if name != domain and load.slots > 0
    ]
    if not ways:
        return MAX_NEAR_FILL
    requests = 2 * min(ways) / (2 * delays.per_request)
    return min(MAX_NEAR_FILL, even_fill + requests * own.backends / own.slots)


def _normalize(parts: abc.Mapping[str, float]) -> dict[str, float]:
    total = sum(parts.values())
    return {name: part / total for name, part in parts.items() if part > 0}


def count_fitting(
    slots: int, step_ms: float, per_request_ms: float, longest_step_ms: float
) -> int:
    """Returns how many requests a backend may run with steps of bounded length.

    At least one is allowed, since a slow backend is better than none.

    Args:
        slots: requests that the backend runs at most.
        step_ms: token step without a request, in milliseconds.
        per_request_ms: milliseconds that each request adds.
        longest_step_ms: bound of a step, in milliseconds.
    """
    if step_ms + per_request_ms * slots <= longest_step_ms:
        return slots
    if per_request_ms <= 0:
        return 1
    return max(1, int((longest_step_ms - step_ms) / per_request_ms))


def draw_domain(shares: Shares, number: float) -> str:
    """Returns the domain at a position of the cumulated shares.

    Args:
        shares: shares that add up to 1.
        number: the position, at least 0 and below 1.
    """
    for name, share in shares.items():
        number -= share
        if number < 0:
            return name
    return max(shares, key=lambda name: shares[name])


def keep_long_prompts(
    shares: Shares, domain: str, is_long: bool, long_part: float
) -> Shares:
    """Returns the shares for one request: long prompts leave last.

    Over all requests, the shares remain as they are.

    Args:
        shares: shares of all requests.
        domain: the domain of the callers.
        is_long: whether the request has a long prompt.
        long_part: which part of the requests have one.

    Example:
        >>> shares = {"a": 0.75, "b": 0.25}
        >>> keep_long_prompts(shares, "a", True, 0.5)
        {'a': 1.0}
        >>> keep_long_prompts(shares, "a", False, 0.5)
        {'a': 0.5, 'b': 0.5}
    """
    leaving = 1.0 - shares.get(domain, 0.0)
    if not 0.0 < leaving < 1.0 or not 0.0 < long_part < 1.0:
        return shares
    if is_long:
        part = max(0.0, (leaving - (1.0 - long_part)) / long_part)
    else:
        part = min(1.0, leaving / (1.0 - long_part))
    others = {
        name: share / leaving * part
        for name, share in shares.items()
        if name != domain and part > 0
    }
    return ({domain: 1.0 - part} if part < 1.0 else {}) | others


class DomainFlow:
    """The shares of one domain's demand for a service and model over time."""

    def __init__(self, domain: str) -> None:
        self._domain = domain
        self._demands: dict[str, float] = {}
        self._updated_at: datetime.timedelta | None = None
        self._shares: Shares | None = None
        self._long_part = 0.5

    @property
    def shares(self) -> Shares | None:
        """The current shares, None if there are none."""
        return self._shares

    def draw(self, is_long: bool, number: float) -> str | None:
        """Returns the domain for a request, None if all are equal.

        Args:
            is_long: whether the request has a long prompt.
            number: a random number, at least 0 and below 1.
        """
        self._long_part += LONG_PART_WEIGHT * (is_long - self._long_part)
        if self._shares is None:
            return None
        shares = keep_long_prompts(
            self._shares, self._domain, is_long, self._long_part
        )
        return draw_domain(shares, number)

    def is_due(self, now: datetime.timedelta) -> bool:
        """Returns whether the shares are to be updated."""
        return (
            self._updated_at is None
            or now - self._updated_at >= UPDATE_INTERVAL
        )

    def update(
        self,
        now: datetime.timedelta,
        loads: abc.Mapping[str, DomainLoad] | None,
        delays: Delays,
    ) -> bool:
        """Updates the shares; returns whether they changed.

        Args:
            now: monotonic time.
            loads: demand and room of all domains, None if the demand of the
                others is unknown.
            delays: delays of the service and model.
        """
        before = self._shares
        if loads is None:
            self._demands, self._shares = {}, None
        else:
            self._smooth(now, loads)
            smoothed = {
                name: dataclasses.replace(load, demand=self._demands[name])
                for name, load in loads.items()
            }
            is_away = before is not None and before.get(self._domain) != 1.0
            new = compute_shares(
                self._domain,
                smoothed,
                delays,
                0.0 if is_away else MIN_LEAVING_SHARE,
            )
            self._shares = hold_shares(before, new, self._domain)
        self._updated_at = now
        return self._shares != before

    def _smooth(
        self, now: datetime.timedelta, loads: abc.Mapping[str, DomainLoad]
    ) -> None:
        elapsed = (
            datetime.timedelta.max
            if self._updated_at is None
            else now - self._updated_at
        )
        weight = 1.0 - math.exp(-(elapsed / DEMAND_WINDOW))
        demands: dict[str, float] = {}
        for name, load in loads.items():
            mean = self._demands.get(name, load.demand)
            demands[name] = mean + weight * (load.demand - mean)
        self._demands = demands


def hold_shares(current: Shares | None, new: Shares, domain: str) -> Shares:
    """Returns the shares to use: the current ones while they nearly hold.

    New shares under which all demand stays are used at once, and so are those
    that leave out a domain: it may have no room any more.
    """
    if current is None or new.get(domain) == 1.0:
        return new
    if current.keys() - new.keys():
        return new
    is_close = all(
        abs(share - current.get(name, 0.0)) < MIN_SHARE_CHANGE
        for name, share in new.items()
    )
    return current if is_close else new
