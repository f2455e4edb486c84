"""The settings file that the platform writes for each daemon.

Unknown fields are ignored, since the platform may add fields.
"""

import dataclasses
import datetime
import os
import pathlib
import typing

import eliot

from arbutuscove.balancing import cold
from arbutuscove.kernel import decoding
from arbutuscove.storage import http

SETTINGS_FILE_VARIABLE = "ARBUTUSCOVE_NODE_FILE"
MAX_SETTINGS_BYTES = 1024 * 1024
# Memory of a VM whose settings do not tell it.
DEFAULT_MEMORY_MB = 512
MIN_MEMORY_MB = 64
MAX_MEMORY_MB = 1024 * 1024

_DECODER = decoding.JsonDecoder[dict[str, typing.Any]](
    dict[str, typing.Any], MAX_SETTINGS_BYTES
)


class SettingsError(Exception):
    """The settings file is missing or invalid."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the platform sets for the system.

    `retry_ratio` is the number of retries allowed per request and `retry_slack`
    the number allowed beyond it, both in any `retry_window`. A warming VM gets
    at most `warming_overshoot` times its rate and `warming_slack` requests in
    any second; both are None if the platform sets no such bound.
    """

    drain_timeout: datetime.timedelta
    config_apply_timeout: datetime.timedelta
    shutdown_grace: datetime.timedelta
    stall_timeout: datetime.timedelta
    max_ttl: datetime.timedelta
    retry_ratio: float
    retry_slack: float
    retry_window: datetime.timedelta
    address_reuse_delay: datetime.timedelta
    load_window: datetime.timedelta
    load_overshoot: float
    warming_overshoot: float | None = None
    warming_slack: float | None = None

    def build_warming_bound(self) -> cold.Bound | None:
        """Returns the bound on requests to warming VMs, None without one."""
        overshoot, slack = self.warming_overshoot, self.warming_slack
        if overshoot is None and slack is None:
            return None
        return cold.Bound(
            overshoot=1.0 if overshoot is None else overshoot,
            slack=slack or 0.0,
        )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one daemon.

    `region_by_domain` maps failure domains to regions. `caller_address`,
    `ready_address` and `directory_address` are the addresses on which the
    daemon listens for callers, readiness checks and address look-ups; an
    address is None if the daemon does not serve that part. `gossip_port` is the
    UDP port for gossip and `tunnel_port` the TCP port on which connections of
    other daemons are carried, both the same on all VMs. `max_descriptors`
    bounds the open file descriptors. `memory_bytes` is the memory of the VM.
    `cpu_millicores` is the processor time of
    the VM in thousandths of a core.
    """

    name: str
    ip: str
    failure_domain: str
    region: str
    region_by_domain: dict[str, str]
    caller_address: http.Address | None
    ready_address: http.Address | None
    directory_address: http.Address | None
    gossip_port: int
    metrics_port: int
    tunnel_port: int
    store_address: http.Address
    heartbeat_interval: datetime.timedelta
    max_descriptors: int
    memory_bytes: int
    cpu_millicores: int
    is_first_start: bool
    bounds: Bounds


def read() -> Settings:
    """Reads the settings file named in the environment.

    Raises:
        SettingsError: the variable is not set, the file cannot be read, or its
            content is invalid.
    """
    path = os.environ.get(SETTINGS_FILE_VARIABLE)
    if not path:
        raise SettingsError(f"the variable {SETTINGS_FILE_VARIABLE} is not set")
    try:
        content = pathlib.Path(path).read_bytes()
    except OSError as error:
        raise SettingsError(f"cannot read {path}: {error}") from error
    return decode(content)


def decode(content: bytes) -> Settings:
    """Returns the settings in a file's content.

    Args:
        content: the JSON document in the file.

    Raises:
        SettingsError: the content is not JSON, or a value is missing or
            invalid.
    """
    try:
        return _convert(_DECODER.decode(content))
    except KeyError as error:
        raise SettingsError(f"settings: {error} is missing") from error
    except (TypeError, ValueError, ArithmeticError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from error


def _convert(fields: dict[str, typing.Any]) -> Settings:
    listen = fields["listen"]
    first_port, last_port = fields["internal_ports"]
    if not 0 < first_port < last_port <= http.MAX_PORT:
        raise SettingsError("settings: internal_ports needs two ports")
    return Settings(
        # Other daemons reject heartbeats with values of another form.
        name=decoding.convert(str(fields["node"]), decoding.Text),
        ip=decoding.convert(str(fields["ip"]), decoding.Ipv4Address),
        failure_domain=decoding.convert(str(fields["zone"]), decoding.Text),
        region=str(fields["region"]),
        region_by_domain=dict(fields["zones"]),
        caller_address=_parse_address(listen, "front"),
        ready_address=_parse_address(listen, "ready"),
        directory_address=_parse_address(listen, "directory"),
        gossip_port=int(first_port),
        metrics_port=int(first_port) + 1,
        # UDP and TCP ports have the same numbers.
        tunnel_port=int(first_port),
        store_address=http.Address.parse(fields["platform"]["address"]),
        heartbeat_interval=_convert_milliseconds(fields["heartbeat_ms"]),
        max_descriptors=int(fields["limits"]["max_fds"]),
        memory_bytes=_read_memory_bytes(fields["limits"]),
        cpu_millicores=_compute_cpu_millicores(fields["limits"]),
        is_first_start=bool(fields.get("bootstrap", False)),
        bounds=_convert_bounds(fields["bounds"]),
    )


def _read_memory_bytes(limits: dict[str, typing.Any]) -> int:
    """Returns the memory of the VM; a wrong value is replaced and logged."""
    value = limits.get("memory_mb", DEFAULT_MEMORY_MB)
    try:
        megabytes = float(value)
        is_valid = MIN_MEMORY_MB <= megabytes <= MAX_MEMORY_MB
    except (TypeError, ValueError, OverflowError):
        is_valid = False
    if not is_valid:
        eliot.log_message("settings:memory_wrong", value=repr(value)[:100])
        megabytes = DEFAULT_MEMORY_MB
    return int(megabytes * 1024 * 1024)


def _compute_cpu_millicores(limits: dict[str, typing.Any]) -> int:
    """Returns the processor time of the VM in thousandths of a core."""
    # "cores" is the speed of the VM as a multiple of one core, "cpu_share" the
    # fraction of that processor time which the VM gets.
    share = float(limits.get("cpu_share", 1.0))
    millicores = int(1000 * share * float(limits.get("cores", 1)))
    return decoding.convert(millicores, decoding.Count)


def _convert_bounds(fields: dict[str, typing.Any]) -> Bounds:
    return Bounds(
        drain_timeout=_convert_milliseconds(fields["drain_ms"]),
        config_apply_timeout=_convert_milliseconds(fields["config_apply_ms"]),
        shutdown_grace=_convert_seconds(fields["grace_s"]),
        stall_timeout=_convert_milliseconds(fields.get("stall_ms", 6000)),
        max_ttl=_convert_seconds(fields.get("ttl_max_s", 5)),
        retry_ratio=float(fields["retry_budget_ratio"]),
        retry_slack=float(fields["retry_budget_slack"]),
        retry_window=_convert_seconds(fields["budget_window_s"]),
        address_reuse_delay=_convert_seconds(fields.get("reuse_after_s", 2)),
        load_window=_convert_seconds(fields.get("ceiling_window_s", 5)),
        load_overshoot=float(fields.get("ceiling_overshoot", 1.0)),
        warming_overshoot=_convert_amount(fields.get("cold_overshoot")),
        warming_slack=_convert_amount(fields.get("cold_slack")),
    )


def _parse_address(
    listen: dict[str, typing.Any], role: str
) -> http.Address | None:
    text = listen.get(role)
    return None if text is None else http.Address.parse(text)


def _convert_amount(value: float | None) -> float | None:
    if value is None:
        return None
    amount: float = decoding.convert(float(value), decoding.Amount)
    return amount


def _convert_milliseconds(value: float) -> datetime.timedelta:
    milliseconds = decoding.convert(float(value), decoding.Milliseconds)
    return datetime.timedelta(milliseconds=milliseconds)


def _convert_seconds(value: float) -> datetime.timedelta:
    seconds = decoding.convert(float(value), decoding.Seconds)
    return datetime.timedelta(seconds=seconds)
