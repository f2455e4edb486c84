"""Decodes what servers write of themselves in the platform's store.

An entry may come from another writer, with fields missing or of another type.
Such an entry names no VM to use.
"""

import dataclasses

import msgspec

from arbutuscove.fleet import model
from arbutuscove.storage import http

READY = "ready"
DRAINING = "draining"


class EntryError(Exception):
    """An entry that names no VM to use."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Group:
    """The place of a server in a group, wherever it reports one."""

    name: str
    epoch: int
    rank: int
    state: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Model:
    name: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    # The field "sequence" is left out: here it counts heartbeats, while in a
    # report the same name counts orders.
    service: str
    address: str
    zone: str
    state: str
    slots: int
    born: int = 0
    domain: str | int = ""
    staged: tuple[str, ...] = ()
    models: tuple[_Model, ...] = ()
    group: Group | None = None


_DECODER = msgspec.json.Decoder(_Entry)


def decode(name: str, content: bytes) -> model.Vm:
    """Returns the VM that an entry describes.

    Args:
        name: the server's id, which is the key of its entry.
        content: the entry.

    Raises:
        EntryError: the entry is unreadable or names an unknown state.
    """
    try:
        entry = _DECODER.decode(content)
        address = http.Address.parse(entry.address)
        membership = convert_group(entry.group)
    except (msgspec.MsgspecError, ValueError) as error:
        raise EntryError(str(error)) from error
    if entry.state not in (READY, DRAINING):
        raise EntryError(f"state {entry.state!r} is unknown")
    if not 0 < address.port < 65536 or entry.slots < 1:
        raise EntryError("the address or the number of slots is no such number")
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
    )


def convert_group(group: Group | None) -> model.Membership | None:
    """Returns the membership that a server reports.

    Raises:
        ValueError: the state is unknown.
    """
    if group is None or not group.name:
        return None
    return model.Membership(
        group=group.name,
        epoch=group.epoch,
        rank=group.rank,
        state=model.MemberState(group.state),
    )
