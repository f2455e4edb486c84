"""Messages of the engine protocol, as published by the engines.

An order assigns a VM to a replica; a status is a VM's report of its own state.
A dispatch contains the generation of the replica. An engine of another
generation rejects it with `STALE_GENERATION` and does not run it.
"""

import dataclasses
import datetime
import enum
import typing

import msgspec

from arbutuscove.kernel import decoding

REQUEST_ID = "X-Request-Id"
REPLICA = "X-Replica"
GENERATION = "X-Replica-Generation"
PRIORITY = "X-Priority"
STALE_EPOCH = "stale_epoch"
STALE_GENERATION = "stale_generation"
NOT_READY = 503  # HTTP status of a dispatch that was rejected and not run
DONE = b"data: [DONE]"
EVENT_END = b"\n\n"
MAX_REQUEST_COUNT = 1_000_000  # requests that one VM reports
MAX_INTERVAL = datetime.timedelta(hours=1)  # between two tokens

_RequestCount = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_REQUEST_COUNT)]
# Of a memory; a report may be a little above 1.
_Fraction = typing.Annotated[float, msgspec.Meta(ge=0, le=10)]


class Role(enum.StrEnum):
    """Role of a VM in its replica; only the leader receives requests."""

    LEADER = "leader"
    MEMBER = "member"


class State(enum.StrEnum):
    """State that a VM reports; `BROKEN` means that its group is lost."""

    IDLE = "idle"
    LOADING = "loading"
    READY = "ready"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """One VM of a replica."""

    name: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """Order that assigns a VM to a replica; an empty `replica` releases the VM.

    The first of `members` is the leader. `epoch` is the fencing token of the
    controller's lease.
    """

    replica: str
    generation: int
    epoch: int
    model: str = ""
    members: tuple[Member, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Status:
    """A VM's report of its assignment and load.

    `running` and `queued` count requests; `kv_used` is the fraction of KV
    cache memory in use; `leaving` is set by a VM that is about to stop.
    """

    vm: decoding.Name
    state: State
    replica: decoding.Text = ""
    generation: decoding.Count = 0
    role: Role = Role.MEMBER
    model: decoding.Text = ""
    members: tuple[decoding.Text, ...] = ()
    slots: _RequestCount = 0
    running: _RequestCount = 0
    queued: _RequestCount = 0
    kv_used: _Fraction = 0.0
    leaving: bool = False
    token_interval: datetime.timedelta = datetime.timedelta()

    def __post_init__(self) -> None:
        if not datetime.timedelta() <= self.token_interval <= MAX_INTERVAL:
            raise ValueError("the token interval is out of range")
