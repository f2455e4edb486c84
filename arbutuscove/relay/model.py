"""Data types of requests, backends and answers."""

import dataclasses
import datetime
from collections import abc

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import model as fleet_model

BackendKey = tuple[str, int]
Fields = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A caller's request; times are monotonic.

    `fields` are the headers to forward. `model` is empty for plain services.
    `last_event` is the id of the event after which a stream resumes; empty for
    a new stream. `prompt_parts` identifies the parts of the prompt that other
    requests may have, too, in order.
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
    prompt_parts: tuple[str, ...] = ()

    def encode_identity(self) -> bytes:
        """Returns what makes two requests equal: account and content."""
        account = "" if self.account is None else self.account.name
        head = f"{self.method}\0{self.target}\0{account}\0{self.model}\0"
        return head.encode() + self.body

    @property
    def priority(self) -> int:
        """The priority of the account, or of the route if it has none."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Backend:
    """A destination of requests: the head of a group, or a plain VM.

    `key` is the group's name and epoch, or the VM's name and start time.
    `slots` is how many requests it runs at once. `members` is the number of VMs
    of the group in the list of VMs.
    """

    key: BackendKey
    vm: fleet_model.Vm
    model: str
    slots: int
    members: int = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """An error response of the system itself to a request.

    `not_run` promises that no upstream ran the request or will run it.
    """

    status: int
    code: str
    not_run: bool
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """An upstream's answer.

    Iteration over `body` raises `BrokenAnswerError` if the rest of the body
    cannot be read. `length` is its length in bytes, None if unknown.
    """

    status: int
    fields: Fields
    body: abc.Iterable[bytes]
    length: int | None


class BrokenAnswerError(Exception):
    """The rest of an answer that has begun cannot be delivered."""


class RefusedError(Exception):
    """The request is answered by a refusal of the system itself."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal
