"""Decoder of the entries that servers write to the platform's store.

An entry may come from another writer, with fields missing or of another type.
Such an entry is rejected, and its VM is not used.
"""

import dataclasses
import datetime
import typing

import msgspec

from arbutuscove.fleet import model
from arbutuscove.kernel import decoding
from arbutuscove.storage import http

READY = "ready"
DRAINING = "draining"
MAX_ENTRY_BYTES = 65536
MAX_SLOTS = 65535  # requests that one VM runs concurrently
MAX_RANK = 65535  # of a member in its group

_Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
_Rank = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_RANK)]


class EntryError(Exception):
    """The entry is invalid, so that its VM cannot be used."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Group:
    """A server's membership in a group, in entries and in status reports."""

    name: decoding.Name
    epoch: decoding.Count
    rank: _Rank
    state: decoding.Name


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Model:
    name: decoding.Name


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Entry:
    service: decoding.Text
    address: decoding.Name
    zone: decoding.Text  # failure domain
    state: decoding.Name
    slots: _Slots
    born: decoding.Count = 0  # start of the VM in Unix milliseconds
    # Counts heartbeats; in a status report, the same name counts orders.
    sequence: decoding.Count = 0
    domain: decoding.Text | decoding.Integer = ""  # fabric domain
    staged: tuple[decoding.Name, ...] = ()  # models on the VM's host
    models: tuple[_Model, ...] = ()  # models in the VM's memory
    group: Group | None = None
    # Until the VM bears any load, as of the time of the entry; unknown if None.
    cold_remaining_ms: decoding.Milliseconds | None = None


_DECODER = decoding.JsonDecoder[_Entry](_Entry, MAX_ENTRY_BYTES)


def decode(name: str, content: bytes) -> model.Vm:
    """Returns the VM that an entry describes.

    Args:
        name: the server's id, which is the key of its entry.
        content: the JSON document in the entry.

    Raises:
        EntryError: the name or the entry cannot be decoded, its state is
            unknown, or a value is out of range.
    """
    try:
        # The name is sent in headers of requests to the VM.
        decoding.convert(name, decoding.Name)
        entry = _DECODER.decode(content)
        address = http.Address.parse(entry.address)
        membership = convert_group(entry.group)
    except ValueError as error:
        raise EntryError(str(error)) from error
    if entry.state not in (READY, DRAINING):
        raise EntryError(f"entry state {entry.state!r} is unknown")
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
        warming_left=_convert_left(entry.cold_remaining_ms),
    )


def _convert_left(left_ms: float | None) -> datetime.timedelta | None:
    return None if left_ms is None else datetime.timedelta(milliseconds=left_ms)


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
