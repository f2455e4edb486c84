"""One configuration version as immutable values.

A *route* is the rule for all requests of one host below a path prefix: the
service that runs them, what may be repeated, and how long they may take. A
*model service* is run by replica groups of several VMs, a *plain service* by
single VMs.
"""

import dataclasses
import datetime
import enum
import types
from collections import abc


class Repeat(enum.Enum):
    """What may be sent again after an attempt that may have run."""

    SAFE = "safe"
    ONCE = "once"
    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def is_streamed(self) -> bool:
        """Whether the answer is a series of events."""
        return self in (Repeat.STREAM_ONCE, Repeat.STREAM_RESUMABLE)

    @property
    def is_idempotent(self) -> bool:
        """Whether an attempt that may have run may be followed by another."""
        return self in (Repeat.SAFE, Repeat.STREAM_RESUMABLE)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service that takes a share of a route's requests."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Rule for the requests of one host below a path prefix.

    `first_byte_target` is the time in which an answer earns its full worth,
    `gap_target` the longest pause between events of such an answer. `attempts`
    bounds the VMs to which one request may be sent. Priority 0 is the most
    urgent.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    timeout: datetime.timedelta
    first_byte_target: datetime.timedelta
    gap_target: datetime.timedelta | None
    attempts: int
    priority: int
    public: bool
    targets: tuple[Target, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelSpec:
    """A model and what its replica groups need.

    `share` is its part of the service's work; `time_factor` multiplies all
    times of its groups; `load_time` is a load from the weight store
    and `warm_load_time` one from the host's own copy.
    """

    name: str
    size: int
    share: float
    time_factor: float
    load_time: datetime.timedelta
    warm_load_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """How the engines of a model service behave; times in milliseconds.

    A token step takes `step_ms` and, for each running request, `per_request_ms`
    and `per_context_ms` for each 1,000 tokens of its context. Prompts are read
    at `prefill_tokens_per_ms`. `stride` steps pass between two events.
    """

    models: tuple[ModelSpec, ...]
    slots: int
    step_ms: float
    per_request_ms: float
    per_context_ms: float
    prefill_tokens_per_ms: float
    stride: int
    loads_per_second: float
    loads_at_once: int
    formation_time: datetime.timedelta
    typical_prompt_tokens: int
    typical_answer_tokens: int

    def find_model(self, name: str) -> ModelSpec | None:
        """Returns a model by name."""
        return next((spec for spec in self.models if spec.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service; a plain service has no engine."""

    name: str
    connections: int
    engine: Engine | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account; its priority, if any, goes before the route's."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerBounds:
    """What one caller's connection may take; sizes in bytes."""

    header_bytes_limit: int
    body_bytes_limit: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """Everything that one configuration version says.

    `routes` holds the routes of a host with the longest prefix first.
    `accounts` is None if requests need no key.
    """

    version: int
    routes: abc.Mapping[str, tuple[Route, ...]]
    services: abc.Mapping[str, Service]
    accounts: abc.Mapping[str, Account] | None
    bounds: CallerBounds

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of `path`."""
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(
    routes: abc.Iterable[Route],
) -> abc.Mapping[str, tuple[Route, ...]]:
    """Returns routes by host, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return types.MappingProxyType(
        {
            host: tuple(sorted(found, key=lambda route: -len(route.prefix)))
            for host, found in by_host.items()
        }
    )
