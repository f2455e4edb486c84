"""Where a request would go now, and why, without sending it.

An explanation runs the decisions of `relay.waiting` on a copy of what they
change. It takes no turn, slot, place or retry, logs and counts nothing, and has
random draws of its own: of two equal backends it may name the other one.
"""

import collections
import dataclasses
import datetime
import typing
from collections import abc

import msgspec
from gevent import event

from arbutuscove.admission import queue as queue_module
from arbutuscove.admission import work as work_module
from arbutuscove.balancing import locality
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import shutdown as shutdown_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import blocking as blocking_module
from arbutuscove.relay import domains as domains_module
from arbutuscove.relay import model
from arbutuscove.relay import placement
from arbutuscove.relay import rounds
from arbutuscove.relay import selection
from arbutuscove.relay import works as works_module

REQUEST_ID = "explanation"
MAX_OPTIONS = 50  # backends that one explanation lists


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sent:
    """The request would go to a backend at once."""

    backend: str
    vm: str
    failure_domain: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """The request would wait, behind at most this many others."""

    behind: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """The request would be refused; `retry_after` is in seconds."""

    status: int
    code: str
    retry_after: float | None


Verdict = Sent | Waiting | Refused


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Option:
    """A backend of the request's service and model.

    Attributes:
        backend: name of the group or VM.
        vm: the VM that gets its requests.
        failure_domain: where it is.
        state: "usable", or why it gets no request or is avoided.
        slots: requests that it runs at once.
        running: estimated requests there, None if it may get none now.
        own: whether a free place there is owned by the daemon.
        slowness: factor by which it is slower than its load explains.
        turn_in: seconds until the daemon's turn while it warms, else None.
    """

    backend: str
    vm: str
    failure_domain: str
    state: str
    slots: int
    running: float | None = None
    own: bool = False
    slowness: float | None = None
    turn_in: float | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slots:
    """Use of the usable slots of a service and model, as the daemon counts.

    Attributes:
        total: slots of the usable backends.
        own: used by this daemon.
        others: used by the others, as estimated.
        daemons: other daemons that share the slots.
        places: slots that this daemon owns.
        available: requests that it may send now.
    """

    total: int
    own: int
    others: float
    daemons: float
    places: int
    available: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """A verdict and what it depends on; times and ages are in seconds.

    Attributes:
        route: name of the route.
        service: the service, drawn by the weights of the route.
        model: the model, empty for a plain service.
        account: the client account, empty without one.
        priority: the request's priority, 0 is the most urgent.
        verdict: what would happen.
        reasons: why, in the order of the decisions.
        shares: parts of the demand by failure domain, None if all are equal.
        load_ages: age of the last load reported by each failure domain.
        list_age: age of the list of VMs.
        evacuated: failure domains with backends that are evacuated.
        slots: use of the slots, None if the verdict does not depend on it.
        options: the backends, those with a slot first, at most `MAX_OPTIONS`.
        unlisted: number of further backends.
    """

    route: str
    service: str
    model: str
    account: str
    priority: int
    verdict: Verdict
    reasons: tuple[str, ...]
    shares: abc.Mapping[str, float] | None = None
    load_ages: abc.Mapping[str, float] = dataclasses.field(default_factory=dict)
    list_age: float | None = None
    evacuated: tuple[str, ...] = ()
    slots: Slots | None = None
    options: tuple[Option, ...] = ()
    unlisted: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Sources:
    """What decides about a request.

    `selector` is a copy that may change. `queues` are only read.
    """

    clock: clock_module.Clock
    selector: selection.BackendSelector
    works: works_module.Works
    queues: abc.Mapping[backends_module.PoolKey, queue_module.WorkQueue]
    shutdown: shutdown_module.Shutdown


def explain(
    request: model.Request, service: str, sources: Sources
) -> Explanation:
    """Returns where a request that arrives now would go.

    Whether its queue is full is not examined.

    Args:
        request: the request.
        service: the service that serves it.
        sources: what decides.
    """
    pool = sources.works.get_pool(service, request)
    outline = describe_request(request, pool)
    if pool not in sources.queues and not sources.works.is_configured(pool):
        refusal = blocking_module.build_unknown_refusal(
            request, domains_module.log_nothing
        )
        return refuse(
            outline, refusal, "no such service or model is configured"
        )
    return _Explainer(request, pool, outline, sources).explain()


def describe_request(
    request: model.Request, pool: backends_module.PoolKey
) -> Explanation:
    """Returns an explanation without a decision."""
    return Explanation(
        route=request.route.name,
        service=pool[0],
        model=pool[1],
        account="" if request.account is None else request.account.name,
        priority=request.priority,
        verdict=Waiting(behind=0),
        reasons=(),
    )


def refuse(
    outline: Explanation, refusal: model.Refusal, reason: str
) -> Explanation:
    """Returns an explanation that ends with a refusal.

    Args:
        outline: what is known so far.
        refusal: the refusal.
        reason: why it is given.
    """
    verdict = Refused(
        status=refusal.status,
        code=refusal.code,
        retry_after=_get_seconds(refusal.retry_after),
    )
    return dataclasses.replace(
        outline, verdict=verdict, reasons=(*outline.reasons, reason)
    )


class _Explainer:
    """The decisions about one request."""

    def __init__(
        self,
        request: model.Request,
        pool: backends_module.PoolKey,
        outline: Explanation,
        sources: Sources,
    ) -> None:
        self._request = request
        self._pool = pool
        self._outline = outline
        self._selector = sources.selector
        self._now = sources.clock.monotonic()
        self._queue = sources.queues.get(pool, queue_module.WorkQueue())
        self._blocking = blocking_module.Blocking(
            sources.clock,
            sources.selector,
            sources.shutdown,
            domains_module.log_nothing,
        )
        work = sources.works.create_first(request, REQUEST_ID, pool)
        self._waiter = blocking_module.Waiter(
            request=request,
            work=work,
            excluded=frozenset(),
            pool=pool,
            may_have_run=False,
            enqueued_at=self._now,
            assignment=event.AsyncResult(),
        )

    def explain(self) -> Explanation:
        work = self._waiter.work
        current = rounds.Round(self._selector, self._pool, len(self._queue) + 1)
        known = self._describe_backends()
        refusal = self._blocking.find_stop_refusal(self._waiter)
        if refusal is not None:
            return refuse(known, refusal, "the daemon stops before it may end")
        refusal = self._blocking.find_wait_refusal(self._waiter)
        if refusal is not None:
            return refuse(known, refusal, "no backend may be sent it in time")
        rejected = self._queue.predict_refusal(work, self._now)
        if rejected is not None:
            return refuse(
                known, self._convert_refusal(rejected), rejected.message
            )
        latest = work.latest_on_time_start
        is_late = latest is not None and latest <= self._now
        chosen = current.choose(
            frozenset(), is_late, self._request.prompt_tokens
        )
        behind = self._queue.count_ahead(work, self._now)
        if chosen is None:
            return dataclasses.replace(
                known,
                verdict=Waiting(behind=behind),
                reasons=(*known.reasons, self._find_wait_reason(known)),
            )
        vm = chosen.backend.vm
        return dataclasses.replace(
            known,
            verdict=Sent(
                backend=chosen.backend.key[0],
                vm=vm.name,
                failure_domain=vm.failure_domain,
            ),
            reasons=(*known.reasons, _find_choice_reason(chosen)),
        )

    def _convert_refusal(self, refusal: work_module.Refusal) -> model.Refusal:
        return model.Refusal(
            status=refusal.status,
            code=refusal.code,
            not_run=True,
            retry_after=self._blocking.bound_retry_after(
                self._waiter, refusal.retry_after
            ),
        )

    def _find_wait_reason(self, known: Explanation) -> str:
        if known.slots is None or not known.slots.total:
            return "no backend is usable now"
        if known.slots.available <= 0:
            return "the slots that the daemon may use are in use"
        return "no usable backend has a free slot"

    def _describe_backends(self) -> Explanation:
        """Returns the outline with the backends and their use."""
        selector, pool = self._selector, self._pool
        listed = selector.list_backends(pool)
        usable = selector.list_usable(pool)
        steady = selector.list_steady(usable)
        usage = selector.read_usage(pool, steady)
        candidates = {
            candidate.backend.key: candidate
            for candidate in (
                *selector.list_candidates(pool, steady, usage),
                *selector.list_turns(usable),
            )
        }
        options = sorted(
            (
                self._describe_option(backend, candidates.get(backend.key))
                for backend in listed
            ),
            key=_rank_option,
        )
        domains = sorted({backend.vm.failure_domain for backend in listed})
        ages = {
            domain: _get_seconds(selector.get_load_age(pool, domain))
            for domain in domains
        }
        shares = selector.get_shares(pool)
        return dataclasses.replace(
            self._outline,
            reasons=(_describe_shares(shares), _count_states(options)),
            shares=shares,
            load_ages={
                domain: age for domain, age in ages.items() if age is not None
            },
            list_age=_get_seconds(selector.get_list_age()),
            evacuated=tuple(
                sorted(
                    {
                        backend.vm.failure_domain
                        for backend in listed
                        if selector.is_evacuated(backend)
                    }
                )
            ),
            slots=Slots(
                total=usage.total_slots,
                own=usage.own,
                others=round(usage.others, 1),
                daemons=round(usage.daemons, 1),
                places=usage.places,
                available=round(placement.count_available(usage), 2),
            ),
            options=tuple(options[:MAX_OPTIONS]),
            unlisted=max(0, len(options) - MAX_OPTIONS),
        )

    def _describe_option(
        self, backend: model.Backend, candidate: placement.Candidate | None
    ) -> Option:
        state = self._selector.describe_state(backend)
        option = Option(
            backend=backend.key[0],
            vm=backend.vm.name,
            failure_domain=backend.vm.failure_domain,
            state=state,
            slots=backend.slots,
        )
        if state == "warming":
            wait = self._selector.warming.get_wait(backend)
            option = dataclasses.replace(option, turn_in=_get_seconds(wait))
        if candidate is None:
            return option
        return dataclasses.replace(
            option,
            running=round(candidate.running, 2),
            own=candidate.free_places > 0,
            slowness=round(candidate.slowness, 2),
        )


def _rank_option(option: Option) -> tuple[bool, bool, float, str]:
    """Returns the position of an option: free slots and own places first."""
    running = float(option.slots) if option.running is None else option.running
    return (running >= option.slots, not option.own, running, option.backend)


def _describe_shares(shares: locality.Shares | None) -> str:
    if shares is None:
        return (
            "all failure domains are equal: the backends lie in one, or the "
            "demand of the others is unknown"
        )
    parts = (f"{share:.2f} to {name}" for name, share in shares.items())
    return f"of the demand of this failure domain go {', '.join(parts)}"


def _count_states(options: abc.Iterable[Option]) -> str:
    counts = collections.Counter(option.state for option in options)
    parts = (f"{count} {state}" for state, count in sorted(counts.items()))
    return f"backends: {', '.join(parts) or 'none'}"


def _find_choice_reason(chosen: placement.Candidate) -> str:
    if chosen.is_warming:
        return "the daemon has a turn at this warming backend"
    if chosen.free_places > 0:
        return "the daemon owns a free place there"
    if chosen.is_avoided:
        return "the sound backends lack slots, so avoided ones are used"
    return "its expected step is the shortest of those compared"


def _get_seconds(duration: datetime.timedelta | None) -> float | None:
    return None if duration is None else round(duration.total_seconds(), 3)


def encode(explanation: Explanation) -> dict[str, typing.Any]:
    """Returns an explanation as JSON values; `verdict` names its kind."""
    match explanation.verdict:
        case Sent():
            name = "sent"
        case Waiting():
            name = "waits"
        case Refused():
            name = "refused"
    encoded: dict[str, typing.Any] = msgspec.to_builtins(explanation)
    encoded["verdict"] = {"verdict": name, **encoded["verdict"]}
    return encoded
