"""Request and response bodies of the administration API.

The OpenAPI description is generated from these classes; it contains their
docstrings.
"""

import dataclasses
import datetime

from arbutuscove.admin import keys
from arbutuscove.audit import trail
from arbutuscove.config import model as config_model
from arbutuscove.replicas import drains
from arbutuscove.replicas import evacuations
from arbutuscove.replicas import model as replica_model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Problem:
    """Why a call failed."""

    code: str
    message: str
    details: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServicePage:
    """Services in order of their names; `next` continues, empty at the end."""

    items: tuple[config_model.ServiceVersion, ...]
    next: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KeyPage:
    """Administration keys; `next` continues, empty at the end."""

    items: tuple[keys.AdminKey, ...]
    next: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditPage:
    """Entries of a scope; `gaps` are missing numbers among them."""

    items: tuple[trail.NumberedEntry, ...]
    gaps: tuple[int, ...]
    next: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditScopes:
    """Names of the audit scopes and the newest number of each."""

    newest: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedChange:
    """The accepted change, and the daemons that already have it in force."""

    change: config_model.Change
    in_force: tuple[str, ...]
    not_yet: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AccountKey:
    """The digest of a client account's key; an empty list removes all."""

    base_version: int
    key_digests: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StrandedVm:
    """A VM that is paid for but cannot serve, and why."""

    vm: str
    fabric_domain: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DaemonState:
    """What is known of a daemon; `sequence` is its configuration."""

    name: str
    failure_domain: str
    load: int
    sequence: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaState:
    """A replica and whether this daemon may route to it."""

    row: replica_model.ReplicaRow
    serving: bool
    running: int = 0
    slots: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SystemStatus:
    """The system as the answering daemon sees it."""

    daemon: str
    sequence: int
    waiting: int
    replicas: tuple[ReplicaState, ...]
    stranded: tuple[StrandedVm, ...]
    daemons: tuple[DaemonState, ...]
    serving: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestEvent:
    """One step in the life of a request."""

    time: datetime.datetime
    step: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Why a request was queued, routed or refused, step by step."""

    request_id: str
    daemon: str
    events: tuple[RequestEvent, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteReplica:
    """A serving replica, as the daemon that answers sees it.

    `load` is its requests by the last report, `report_age` seconds ago, and the
    daemon's changes since; the daemon has `own` requests there and may have
    `common_credits`, and `urgent_credits` more of the most urgent rank.
    `slowdown` is the factor by which a straggler is slower.
    """

    replica: str
    fabric_domain: str
    slots: int
    load: int
    own: int
    common_credits: int
    urgent_credits: int
    slowdown: float
    report_age: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteExplanation:
    """Where a request would go now; nothing was sent.

    `verdict` is "sent" (to `replica`), "waits" (behind at most `behind`
    requests) or "refused" (with `status` and `code`; it may come again after
    `retry_after` seconds). Replicas in `evacuated` failure domains do not
    serve. `unlisted` counts further replicas.
    """

    service: str
    account: str
    rank: str
    verdict: str
    reason: str
    replica: str
    behind: int
    status: int
    code: str
    retry_after: float | None
    evacuated: tuple[str, ...]
    replicas: tuple[RouteReplica, ...]
    unlisted: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainList:
    """VMs being drained, in order of their names."""

    items: tuple[drains.Drain, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvacuationList:
    """Evacuated failure domains, and all domains that have VMs, by name."""

    items: tuple[evacuations.Evacuation, ...]
    domains: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QuarantineList:
    """Digests of quarantined requests, in order."""

    digests: tuple[str, ...]
