"""Settings of the daemon, checked all at once.

Each setting is a flag and an environment variable `ARBUTUSCOVE_*`.
"""

import dataclasses
import datetime
import re

from arbutuscove.storage import http

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
MIN_SECRET_CHARS = 16  # characters at least


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A setting that is wrong, and what would be right."""

    flag: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"{self.flag}: {self.value!r} is not {self.expected}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """What one daemon is told at its start."""

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


def validate(settings: Settings) -> list[Fault]:
    """Returns all faults of the settings; an empty list means none."""
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
    if not 0 <= settings.keep_seconds <= 600:
        value = str(settings.keep_seconds)
        faults.append(
            _build_fault("--keep-seconds", value, "between 0 and 600")
        )
    return faults


def get_address_ttl(settings: Settings) -> datetime.timedelta:
    """Returns how long callers may keep an entry address."""
    return datetime.timedelta(seconds=settings.keep_seconds)


def _build_fault(flag: str, value: str, expected: str) -> Fault:
    return Fault(flag=flag, value=value, expected=expected)


def _is_address(text: str) -> bool:
    try:
        address = http.Address.parse(text)
    except ValueError:
        return False
    return 0 < address.port < 65536
