"""Immutable data model of one configuration version.

A *route* matches the requests of one host below a path prefix and sets the
services that run them, whether they may be retried, and their timeout. A
*model service* runs on replica groups of several VMs, a *plain service* on
single VMs.
"""

import dataclasses
import datetime
import enum
import types
from collections import abc


class Repeat(enum.Enum):
    """Whether a request may be retried after an attempt that may have run.

    `ONCE` and `STREAM_ONCE` are not retried then; `SAFE` and
    `STREAM_RESUMABLE` are.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM_ONCE = "stream_once"
    STREAM_RESUMABLE = "stream_resumable"

    @property
    def is_streamed(self) -> bool:
        """Whether the response is a stream of events."""
        return self in (Repeat.STREAM_ONCE, Repeat.STREAM_RESUMABLE)

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be retried although an attempt may have run."""
        return self in (Repeat.SAFE, Repeat.STREAM_RESUMABLE)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service of a route, and its weight in the traffic split."""

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Rule for the requests of one host below a path prefix.

    Attributes:
        name: name of the route.
        host: host name that the requests address.
        prefix: path prefix that the requests share.
        repeat: whether requests may be retried.
        timeout: longest duration of a request.
        first_byte_target: latest first byte of a response of full worth.
        gap_target: longest pause between events of a response of full worth;
            None if there is no target.
        first_event_timeout: silence after which callers give a stream up that
            has not begun; None if they wait until `timeout`.
        attempts: maximum number of VMs to which one request may be sent.
        priority: 0 is the most urgent.
        public: whether requests without a known API key are accepted.
        targets: services that share the requests, with their weights.
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
    first_event_timeout: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelSpec:
    """A model and the requirements of its replica groups.

    Attributes:
        name: name of the model.
        size: number of VMs in one replica group.
        share: the model's share of the service's work.
        time_factor: multiplies all durations of the model's groups.
        load_time: duration of a load from the weight store.
        warm_load_time: duration of a load from the host's local copy.
    """

    name: str
    size: int
    share: float
    time_factor: float
    load_time: datetime.timedelta
    warm_load_time: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Engine:
    """Performance parameters of the engines of a model service.

    A decoding step takes `step_ms`, plus `per_request_ms` for each running
    request and `per_context_ms` for each 1,000 tokens of its context.

    Attributes:
        models: the models of the service.
        slots: number of requests that one engine runs concurrently.
        step_ms: base duration of a decoding step, in milliseconds.
        per_request_ms: added for each running request, in milliseconds.
        per_context_ms: added for each running request and each 1,000 tokens of
            its context, in milliseconds.
        prefill_tokens_per_ms: prompt tokens processed per millisecond.
        stride: number of decoding steps between two events.
        loads_per_second: maximum rate of model loads.
        loads_at_once: maximum number of concurrent model loads.
        formation_time: duration of the formation of a group.
        typical_prompt_tokens: length of a typical prompt, in tokens.
        typical_answer_tokens: length of a typical answer, in tokens.
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
        """Returns the model with this name, None if there is none."""
        return next((spec for spec in self.models if spec.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service.

    `engine` is None for a plain service. `health_path` is the path at which its
    upstreams tell whether they are healthy, empty if they do not. A VM of the
    service warms for `warming_time` after its start and bears `warming_rate`
    requests a second until then; 0 if there is no limit.
    """

    name: str
    connections: int
    engine: Engine | None = None
    health_path: str = ""
    warming_time: datetime.timedelta = datetime.timedelta()
    warming_rate: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account; its priority, if any, overrides the route's."""

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerBounds:
    """Limits of one caller connection; sizes in bytes."""

    header_bytes_limit: int
    body_bytes_limit: int
    head_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Catalog:
    """The content of one configuration version.

    Attributes:
        version: the configuration version.
        routes: the routes of each host in lower case, longest prefix first.
        services: services by name.
        accounts: client accounts by API key; None if requests need no key.
        bounds: limits of one caller connection.
        one_way: time that a packet takes between two failure domains, by both
            names in any order.
    """

    version: int
    routes: abc.Mapping[str, tuple[Route, ...]]
    services: abc.Mapping[str, Service]
    accounts: abc.Mapping[str, Account] | None
    bounds: CallerBounds
    one_way: abc.Mapping[tuple[str, str], datetime.timedelta] = (
        dataclasses.field(default_factory=dict)
    )

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the matching route with the longest prefix.

        Args:
            host: host name of the request, in any case.
            path: path of the request.

        Returns:
            The route, None if no route matches.
        """
        for route in self.routes.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None


def index_routes(
    routes: abc.Iterable[Route],
) -> abc.Mapping[str, tuple[Route, ...]]:
    """Returns the routes of each host in lower case, longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    return types.MappingProxyType(
        {
            host: tuple(
                sorted(host_routes, key=lambda route: -len(route.prefix))
            )
            for host, host_routes in by_host.items()
        }
    )
