"""The settings file that the platform writes for each daemon.

Fields that are not known are ignored, as new ones may come.
"""

import dataclasses
import datetime
import os
import pathlib
import typing

import msgspec

from arbutuscove.storage import http

SETTINGS_FILE_VARIABLE = "ARBUTUSCOVE_NODE_FILE"


class SettingsError(Exception):
    """The settings file is missing or a value in it is wrong."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Time limits that the platform holds the system to."""

    drain: datetime.timedelta
    config_apply: datetime.timedelta
    grace: datetime.timedelta
    stall: datetime.timedelta
    keep_longest: datetime.timedelta
    retry_ratio: float
    retry_slack: float
    retry_window: datetime.timedelta
    address_reuse: datetime.timedelta
    load_window: datetime.timedelta
    load_overshoot: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """What one daemon is told at its start.

    `gossip_port` is the port for datagrams between daemons, the same on all
    VMs. `callers`, `ready` and `directory` are listening addresses; an address
    is None where the daemon does not serve that part. `capacity` is the
    processor time of the VM in thousandths of a core.
    """

    name: str
    ip: str
    failure_domain: str
    region: str
    regions: dict[str, str]
    callers: http.Address | None
    ready: http.Address | None
    directory: http.Address | None
    gossip_port: int
    metrics_port: int
    store: http.Address
    heartbeat: datetime.timedelta
    descriptors: int
    capacity: int
    first_start: bool
    bounds: Bounds


def read() -> Settings:
    """Reads the settings file named in the environment.

    Raises:
        SettingsError: no file, no JSON, or a value that is missing or wrong.
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

    Raises:
        SettingsError: no JSON, or a value that is missing or wrong.
    """
    try:
        fields = msgspec.json.decode(content, type=dict[str, typing.Any])
        return _convert(fields)
    except msgspec.MsgspecError as error:
        raise SettingsError(f"settings: {error}") from error
    except KeyError as error:
        raise SettingsError(f"settings: {error} is missing") from error
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from error


def _convert(fields: dict[str, typing.Any]) -> Settings:
    listen = fields["listen"]
    first_port, last_port = fields["internal_ports"]
    if last_port <= first_port:
        raise SettingsError("settings: internal_ports needs two ports")
    return Settings(
        name=str(fields["node"]),
        ip=str(fields["ip"]),
        failure_domain=str(fields["zone"]),
        region=str(fields["region"]),
        regions=dict(fields["zones"]),
        callers=_address(listen, "front"),
        ready=_address(listen, "ready"),
        directory=_address(listen, "directory"),
        gossip_port=int(first_port),
        metrics_port=int(first_port) + 1,
        store=http.Address.parse(fields["platform"]["address"]),
        heartbeat=_milliseconds(fields["heartbeat_ms"]),
        descriptors=int(fields["limits"]["max_fds"]),
        capacity=_read_capacity(fields["limits"]),
        first_start=bool(fields.get("bootstrap", False)),
        bounds=_convert_bounds(fields["bounds"]),
    )


def _read_capacity(limits: dict[str, typing.Any]) -> int:
    """Returns the processor time of the VM in thousandths of a core."""
    # "cores" says how many times as fast as one core the VM runs, and
    # "cpu_share" which part of that time it has.
    share = float(limits.get("cpu_share", 1.0))
    return int(1000 * share * float(limits.get("cores", 1)))


def _convert_bounds(fields: dict[str, typing.Any]) -> Bounds:
    return Bounds(
        drain=_milliseconds(fields["drain_ms"]),
        config_apply=_milliseconds(fields["config_apply_ms"]),
        grace=_seconds(fields["grace_s"]),
        stall=_milliseconds(fields.get("stall_ms", 6000)),
        keep_longest=_seconds(fields.get("ttl_max_s", 5)),
        retry_ratio=float(fields["retry_budget_ratio"]),
        retry_slack=float(fields["retry_budget_slack"]),
        retry_window=_seconds(fields["budget_window_s"]),
        address_reuse=_seconds(fields.get("reuse_after_s", 2)),
        load_window=_seconds(fields.get("ceiling_window_s", 5)),
        load_overshoot=float(fields.get("ceiling_overshoot", 1.0)),
    )


def _address(listen: dict[str, typing.Any], role: str) -> http.Address | None:
    text = listen.get(role)
    return None if text is None else http.Address.parse(text)


def _milliseconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(milliseconds=float(value))


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=float(value))
