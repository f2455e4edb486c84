"""Requests, attempts and answers as values."""

import dataclasses
import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import model as fleet_model

BackendKey = tuple[str, int]
Fields = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """One request of a caller; times are monotonic.

    `fields` are the headers to pass on. `model` is empty for plain services.
    `last_event` is the id after which a stream is to go on.
    """

    request_id: str
    method: str
    target: str
    fields: Fields
    body: bytes
    route: catalog_model.Route
    account: catalog_model.Account | None
    arrived: datetime.timedelta
    deadline: datetime.timedelta
    model: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    last_event: str = ""

    @property
    def priority(self) -> int:
        """The rank of the request; the account's goes before the route's."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Backend:
    """Where requests are sent: the head of a group, or a plain VM.

    `key` is the group's name and epoch, or the VM's name and start. `members`
    counts the VMs of the group that are listed.
    """

    key: BackendKey
    vm: fleet_model.Vm
    model: str
    slots: int
    members: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The system's own answer to a request.

    `not_run` says that no upstream ran the request or ever will.
    """

    status: int
    code: str
    not_run: bool
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An upstream's answer; `body` raises if it cannot be had whole."""

    status: int
    fields: Fields
    body: abc.Iterable[bytes]
    length: int | None


class BrokenAnswerError(Exception):
    """An answer that has begun cannot be brought to its end."""


class RefusedError(Exception):
    """The request gets the system's own answer."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal
