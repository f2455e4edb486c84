"""Decoder of the operator's configuration, which yields a catalog."""

import dataclasses
import datetime
import types
import typing
from collections import abc

import eliot
import msgspec

from arbutuscove.catalog import model
from arbutuscove.kernel import decoding

# As large as the platform's objects. A configuration with 5,600 routes has more
# than 1 MiB.
MAX_CONFIGURATION_BYTES = 8 * 1024 * 1024
MAX_LINE_LENGTH = 4096  # characters of a path or an API key
MAX_SIZE = 65535  # VMs of a group, or requests that an engine runs at once
MAX_STRIDE = 1024  # token steps between two events
MAX_STEP_MS = 60_000.0
MAX_FACTOR = 1000.0
MAX_LIMIT_BYTES = 2**40  # of a limit that the operator sets
MAX_DELAYS = 4096  # pairs of failure domains
MIN_STREAM_SILENCE = datetime.timedelta(seconds=2)

_Line = typing.Annotated[
    str,
    msgspec.Meta(max_length=MAX_LINE_LENGTH, pattern=decoding.NO_CONTROLS),
]
_Bytes = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_LIMIT_BYTES)]
_Size = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SIZE)]
_Stride = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_STRIDE)]
_StepMs = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_STEP_MS)]
_Factor = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_FACTOR)]


class ConfigurationError(Exception):
    """The content of the configuration row cannot be decoded."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Split:
    service: decoding.Text
    weight: decoding.Amount


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Route:
    host: decoding.Text
    prefix: _Line
    kind: decoding.Text  # "safe", "unsafe" or "stream"
    timeout_ms: decoding.Milliseconds
    name: decoding.Text = ""
    service: decoding.Text = ""
    traffic_split: tuple[_Split, ...] = ()
    # To the first byte of the answer.
    target_latency_ms: decoding.Milliseconds = 1000.0
    # Longest pause between stream events.
    target_gap_ms: decoding.Milliseconds | None = None
    max_attempts: decoding.Integer = 1
    priority: decoding.Integer = 0  # 0 is the most urgent
    public: bool = False
    resumable: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Model:
    name: decoding.Name
    size: _Size = 1
    share: _Factor = 1.0  # of the service's work
    pace: _Factor = 1.0  # multiplies all times of the model's groups
    load_s: decoding.Seconds = 0.0  # load from the weight store
    warm_s: decoding.Seconds = 0.0  # load from the host's own copy


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Usual:
    # Tokens of a typical request and of its answer.
    prompt: decoding.Amount = 1000.0
    answer: decoding.Amount = 100.0


class _Delay(msgspec.Struct, frozen=True, kw_only=True):
    origin: decoding.Text = msgspec.field(name="from")
    to: decoding.Text
    delay_ms: decoding.Milliseconds  # one way


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Engine:
    models: tuple[_Model, ...]
    slots: _Size
    step_ms: _StepMs = 0.0
    per_seq_ms: _StepMs = 0.0  # added to a step for each running request
    context_per_k: _StepMs = 0.0  # milliseconds added for 1,000 context tokens
    read_per_s: decoding.Amount = 1.0  # prompt tokens
    stride: _Stride = 1  # token steps between two events
    loads_per_s: decoding.Amount = 1.0
    loads_at_once: decoding.Count = 1
    form_ms: decoding.Milliseconds = 0.0
    usual: _Usual = _Usual()
    # Rows of `_Delay`, each decoded on its own.
    delays: typing.Any = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Service:
    name: decoding.Text
    max_connections: decoding.Count = 100
    engine: _Engine | None = None
    health_path: _Line = ""
    cold_start_s: decoding.Seconds = 0.0  # for which a started VM is cold
    cold_per_s: decoding.Amount = 0.0  # requests that a cold VM bears; 0: any


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Tenant:
    name: decoding.HeaderText
    api_keys: tuple[_Line, ...] = ()
    priority: decoding.Integer | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Limits:
    max_header_bytes: _Bytes = 16384
    max_body_bytes: _Bytes = 4194304
    header_timeout_ms: decoding.Milliseconds = 3000.0
    idle_timeout_ms: decoding.Milliseconds = 15000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Configuration:
    version: decoding.Count
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | None = None


_DECODER = decoding.JsonDecoder[_Configuration](
    _Configuration, MAX_CONFIGURATION_BYTES
)


def decode(content: bytes) -> model.Catalog:
    """Returns the catalog in the operator's configuration row.

    Args:
        content: the JSON document in the row.

    Raises:
        ConfigurationError: the content is not JSON, a field is missing, or the
            value of a field has the wrong type or is out of range.
    """
    try:
        decoded = _DECODER.decode(content)
    except decoding.DecodingError as error:
        raise ConfigurationError(str(error)) from error
    accounts = None
    if decoded.tenants is not None:
        accounts = types.MappingProxyType(
            {
                key: model.Account(name=tenant.name, priority=tenant.priority)
                for tenant in decoded.tenants
                for key in tenant.api_keys
            }
        )
    return model.Catalog(
        version=decoded.version,
        routes=model.index_routes(map(_convert_route, decoded.routes)),
        services=types.MappingProxyType(
            {
                service.name: _convert_service(service)
                for service in decoded.services
            }
        ),
        accounts=accounts,
        bounds=model.CallerBounds(
            header_bytes_limit=decoded.limits.max_header_bytes,
            body_bytes_limit=decoded.limits.max_body_bytes,
            head_timeout=_convert_milliseconds(
                decoded.limits.header_timeout_ms
            ),
            idle_timeout=_convert_milliseconds(decoded.limits.idle_timeout_ms),
        ),
        one_way=_convert_delays(decoded),
    )


def _convert_delays(
    decoded: _Configuration,
) -> abc.Mapping[tuple[str, str], datetime.timedelta]:
    """Returns the times between failure domains; odd rows are skipped."""
    times: dict[tuple[str, str], datetime.timedelta] = {}
    skipped = 0
    for service in decoded.services:
        rows = () if service.engine is None else service.engine.delays
        if not isinstance(rows, list | tuple):
            skipped += 1
            continue
        skipped += max(0, len(rows) - MAX_DELAYS)
        for row in rows[:MAX_DELAYS]:
            try:
                delay = msgspec.convert(row, _Delay)
            except msgspec.ValidationError:
                skipped += 1
                continue
            if len(times) < MAX_DELAYS:
                times[delay.origin, delay.to] = _convert_milliseconds(
                    delay.delay_ms
                )
    if skipped:
        eliot.log_message("configuration:delays_skipped", count=skipped)
    return types.MappingProxyType(times)


def _convert_route(route: _Route) -> model.Route:
    targets = tuple(
        model.Target(service=split.service, weight=split.weight)
        for split in route.traffic_split
    )
    if not targets:
        targets = (model.Target(service=route.service, weight=1.0),)
    gap = route.target_gap_ms
    return model.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        repeat=_convert_repeat(route),
        timeout=_convert_milliseconds(route.timeout_ms),
        first_byte_target=_convert_milliseconds(route.target_latency_ms),
        gap_target=None if gap is None else _convert_milliseconds(gap),
        attempts=max(1, route.max_attempts),
        priority=route.priority,
        public=route.public,
        targets=targets,
        first_event_timeout=_compute_first_event_timeout(route),
    )


def _compute_first_event_timeout(route: _Route) -> datetime.timedelta | None:
    """Returns how long callers wait for the first event of a stream.

    Source: the platform's protocol, requests: two seconds, four times the
    objective or eight times the pause, whichever is longest.
    """
    if route.kind != "stream":
        return None
    return max(
        MIN_STREAM_SILENCE,
        4 * _convert_milliseconds(route.target_latency_ms),
        8 * _convert_milliseconds(route.target_gap_ms or 0.0),
    )


def _convert_repeat(route: _Route) -> model.Repeat:
    """Returns what may be sent again; nothing if the kind is unknown."""
    match route.kind, route.resumable:
        case "stream", True:
            return model.Repeat.STREAM_RESUMABLE
        case "stream", False:
            return model.Repeat.STREAM_ONCE
        case "safe", _:
            return model.Repeat.SAFE
        case _:
            return model.Repeat.ONCE


def _convert_service(service: _Service) -> model.Service:
    engine = service.engine
    return model.Service(
        name=service.name,
        connections=service.max_connections,
        health_path=service.health_path,
        engine=None if engine is None else _convert_engine(engine),
        warming_time=datetime.timedelta(seconds=service.cold_start_s),
        warming_rate=service.cold_per_s,
    )


def _convert_engine(engine: _Engine) -> model.Engine:
    return model.Engine(
        models=tuple(
            model.ModelSpec(
                name=spec.name,
                size=spec.size,
                share=spec.share,
                time_factor=spec.pace,
                load_time=datetime.timedelta(seconds=spec.load_s),
                warm_load_time=datetime.timedelta(seconds=spec.warm_s),
            )
            for spec in engine.models
        ),
        slots=engine.slots,
        step_ms=engine.step_ms,
        per_request_ms=engine.per_seq_ms,
        per_context_ms=engine.context_per_k,
        prefill_tokens_per_ms=engine.read_per_s / 1000.0,
        stride=engine.stride,
        loads_per_second=engine.loads_per_s,
        loads_at_once=engine.loads_at_once,
        formation_time=_convert_milliseconds(engine.form_ms),
        typical_prompt_tokens=int(engine.usual.prompt),
        typical_answer_tokens=int(engine.usual.answer),
    )


def _convert_milliseconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=value)
