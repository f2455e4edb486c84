"""Settings of the daemon and their validation, which reports all faults.

Each setting has a flag and an environment variable `ARBUTUSCOVE_*`.
"""

import dataclasses
import datetime
import re

from arbutuscove.storage import http

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MIN_SECRET_CHARS = 16
DEFAULT_MEMORY_MB = 1024
MIN_MEMORY_MB = 128
MAX_MEMORY_MB = 1024 * 1024
ANY_HOST = "0.0.0.0"  # listens on all addresses of the VM


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A setting with an invalid value.

    Args:
        flag: the flag of the setting.
        value: the value that was given.
        expected: a description of valid values.
    """

    flag: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.flag}: {self.value!r} is not {self.expected}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """Settings of one daemon, fixed at its start.

    Args:
        name: unique name of this daemon.
        region: region of this VM.
        failure_domain: failure domain of this VM.
        listen: address to listen on for callers, host:port.
        admin_listen: address to listen on for operators.
        peer_listen: address to listen on for other daemons.
        advertise: address of this daemon that callers receive.
        peer_advertise: address of this daemon that peers receive.
        peers: addresses of peers.
        table: address of the table service.
        objects: address of the object store.
        inventory: address of the service that provides the VM list.
        resume_secret: secret shared by all daemons, which signs tokens.
        admin_key_digest: SHA-256 digest of the first operator's key.
        keep_seconds: how long callers may use an entry address, in seconds.
        tunnel_listen: address on which connections of other daemons to
            upstreams are carried; empty to carry none.
        memory_mb: memory that the daemon may use, in megabytes.
    """

    name: str
    region: str
    failure_domain: str
    listen: str
    admin_listen: str
    peer_listen: str
    advertise: str
    peer_advertise: str
    peers: tuple[str, ...]
    table: str
    objects: str
    inventory: str
    resume_secret: str
    admin_key_digest: str
    keep_seconds: float
    tunnel_listen: str = ""
    memory_mb: int = DEFAULT_MEMORY_MB


def validate(settings: Settings) -> list[Fault]:
    """Returns all faults of the settings; empty if they are valid."""
    faults: list[Fault] = []
    addresses = {
        "--listen": settings.listen,
        "--admin-listen": settings.admin_listen,
        "--peer-listen": settings.peer_listen,
        "--advertise": settings.advertise,
        "--peer-advertise": settings.peer_advertise,
        "--table": settings.table,
        "--objects": settings.objects,
        "--inventory": settings.inventory,
        **_list_optional_addresses(settings),
    }
    for flag, value in addresses.items():
        if not _is_address(value):
            faults.append(
                _build_fault(flag, value, "an address like 127.0.0.1:80")
            )
    for peer in settings.peers:
        if not _is_address(peer):
            expected = "a list of addresses separated by commas"
            faults.append(_build_fault("--peers", peer, expected))
    for flag, value in {
        "--name": settings.name,
        "--region": settings.region,
        "--failure-domain": settings.failure_domain,
    }.items():
        if not value or "/" in value:
            faults.append(_build_fault(flag, value, "a name without slashes"))
    if len(settings.resume_secret) < MIN_SECRET_CHARS:
        expected = f"a secret of at least {MIN_SECRET_CHARS} characters"
        faults.append(_build_fault("--resume-secret", "(hidden)", expected))
    if not DIGEST_PATTERN.fullmatch(settings.admin_key_digest):
        expected = "a SHA-256 digest of 64 hexadecimal digits"
        faults.append(
            _build_fault(
                "--admin-key-digest", settings.admin_key_digest, expected
            )
        )
    return faults + _check_numbers(settings)


def get_address_ttl(settings: Settings) -> datetime.timedelta:
    """Returns how long callers may use an entry address."""
    return datetime.timedelta(seconds=settings.keep_seconds)


def get_tunnel_address(settings: Settings) -> str:
    """Returns where peers ask for tunnels, empty if none are carried.

    A daemon that listens on all addresses is reached at that for peers.
    """
    if not settings.tunnel_listen:
        return ""
    host, port = http.Address.parse(settings.tunnel_listen)
    if host == ANY_HOST:
        host = http.Address.parse(settings.peer_advertise).host
    return f"{host}:{port}"


def _build_fault(flag: str, value: str, expected: str) -> Fault:
    return Fault(flag=flag, value=value, expected=expected)


def _check_numbers(settings: Settings) -> list[Fault]:
    faults = []
    for flag, value, low, high in (
        ("--keep-seconds", settings.keep_seconds, 0, 600),
        ("--memory-mb", settings.memory_mb, MIN_MEMORY_MB, MAX_MEMORY_MB),
    ):
        if not low <= value <= high:
            expected = f"between {low} and {high}"
            faults.append(_build_fault(flag, str(value), expected))
    return faults


def _list_optional_addresses(settings: Settings) -> dict[str, str]:
    if not settings.tunnel_listen:
        return {}
    return {"--tunnel-listen": settings.tunnel_listen}


def _is_address(text: str) -> bool:
    try:
        http.Address.parse(text)
    except ValueError:
        return False
    return True
