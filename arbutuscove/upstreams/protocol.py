"""Messages of the engine protocol, as engines publish it.

Orders move a VM into a replica; a status is what the VM says of itself. A
dispatch names the replica generation and an engine of another generation
refuses it with `STALE_GENERATION` without running it.
"""

import dataclasses
import datetime
import enum

REQUEST_ID = "X-Request-Id"
REPLICA = "X-Replica"
GENERATION = "X-Replica-Generation"
PRIORITY = "X-Priority"
STALE_EPOCH = "stale_epoch"
STALE_GENERATION = "stale_generation"
NOT_READY = 503  # status of a dispatch that was refused unrun
DONE = b"data: [DONE]"
EVENT_END = b"\n\n"


class Role(enum.StrEnum):
    """What a VM does inside its replica; the leader takes requests."""

    LEADER = "leader"
    MEMBER = "member"


class State(enum.StrEnum):
    """What a VM says it is doing; `BROKEN` means that its group is lost."""

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
    """Assigns a VM to a replica; an empty `replica` releases it.

    The first member is the leader. `epoch` is the fencing token of the
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
    cache memory in use; `leaving` is the VM's own notice that it will stop.
    """

    vm: str
    state: State
    replica: str = ""
    generation: int = 0
    role: Role = Role.MEMBER
    model: str = ""
    members: tuple[str, ...] = ()
    slots: int = 0
    running: int = 0
    queued: int = 0
    kv_used: float = 0.0
    leaving: bool = False
    token_interval: datetime.timedelta = datetime.timedelta()
