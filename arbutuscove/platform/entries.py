"""Decoder of the entries that servers write to the platform's store.

An entry may come from another writer, with fields missing or of another type.
Such an entry is rejected, and its VM is not used.
"""

import dataclasses

import msgspec

from arbutuscove.fleet import model
from arbutuscove.storage import http

READY = "ready"
DRAINING = "draining"


class EntryError(Exception):
    """The entry is invalid, so that its VM cannot be used."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Group:
    """A server's membership in a group, in entries and in status reports."""

    name: str
    epoch: int
    rank: int
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Model:
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    service: str
    address: str
    zone: str  # failure domain
    state: str
    slots: int
    born: int = 0  # start of the VM in Unix milliseconds
    # Counts heartbeats; in a status report, the same name counts orders.
    sequence: int = 0
    domain: str | int = ""  # fabric domain
    staged: tuple[str, ...] = ()  # models on the VM's host
    models: tuple[_Model, ...] = ()  # models in the VM's memory
    group: Group | None = None


_DECODER = msgspec.json.Decoder(_Entry)


def decode(name: str, content: bytes) -> model.Vm:
    """Returns the VM that an entry describes.

    Args:
        name: the server's id, which is the key of its entry.
        content: the JSON document in the entry.

    Raises:
        EntryError: the entry cannot be decoded, its state is unknown, or its
            port or number of slots is out of range.
    """
    try:
        entry = _DECODER.decode(content)
        address = http.Address.parse(entry.address)
        membership = convert_group(entry.group)
    except (msgspec.MsgspecError, ValueError) as error:
        raise EntryError(str(error)) from error
    if entry.state not in (READY, DRAINING):
        raise EntryError(f"entry state {entry.state!r} is unknown")
    if not 0 < address.port < 65536 or entry.slots < 1:
        raise EntryError("the port or the number of slots is out of range")
    return model.Vm(
        name=name,
        service=entry.service,
        address=address,
        failure_domain=entry.zone,
        slots=entry.slots,
        leaving=entry.state == DRAINING,
        started_at_ms=entry.born,
        fabric_domain=str(entry.domain),
        staged=entry.staged,
        loaded=tuple(loaded.name for loaded in entry.models),
        membership=membership,
        sequence=entry.sequence,
    )


def convert_group(group: Group | None) -> model.Membership | None:
    """Returns the membership that a server reports, None if it has none.

    Raises:
        ValueError: the member state is unknown.
    """
    if group is None or not group.name:
        return None
    return model.Membership(
        group=group.name,
        epoch=group.epoch,
        rank=group.rank,
        state=model.MemberState(group.state),
    )
