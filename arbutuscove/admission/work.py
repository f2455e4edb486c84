"""Data types shared by admission, routing and limits."""

import dataclasses
import datetime

from arbutuscove.config import model as config_model
from arbutuscove.replicas import model as replica_model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """One request in the form that admission uses; times are monotonic.

    `latest_on_time_start` is the last start time at which the first token
    still arrives within its target; None if that time is unknown.
    `latest_start` is the last one at which the caller still waits for the first
    token; None if the caller waits until the deadline.
    """

    request_id: str
    service: config_model.Service
    account: config_model.Account
    rank: config_model.Rank
    tokens: int  # estimated total of prompt and answer
    arrived: datetime.timedelta
    deadline: datetime.timedelta
    latest_on_time_start: datetime.timedelta | None = None
    latest_start: datetime.timedelta | None = None
    prefix: str = ""  # digest of the prompt's start, for cache affinity
    digest: str = ""  # identifies account and content
    prompt_parts: tuple[str, ...] = ()  # digests of what other prompts may have
    excluded: frozenset[str] = frozenset()  # replicas not to use
    is_suspect: bool = False  # ran on an upstream that died; runs alone
    is_entitled: bool = True  # False: beyond the account's urgent entitlement


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Reason why a request is not served now; the request has not run.

    `retry_after` is the delay until a retry; None if a retry cannot succeed.
    `is_hopeless` tells that this request cannot be served then, but another one
    can.
    """

    status: int
    code: str
    message: str
    retry_after: datetime.timedelta | None = None
    is_hopeless: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Permission to run on one replica, released with `Admission.finish`.

    `admitted` is the monotonic time at which the permission was granted.
    """

    work: Work
    replica: replica_model.ServingReplica
    admitted: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """Capacity of a service that one daemon may use now.

    `slots` is the number of requests that it may run concurrently. `floors`
    are the shares of its capacity that it guarantees to each rank, by
    priority. They differ from the configured floors because a rank's work is
    distributed unevenly over daemons. If empty, the configured floors apply.
    """

    slots: int
    floors: tuple[float, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplicaUse:
    """How a daemon sees and may use a serving replica.

    Attributes:
        serving: the replica with its last load report.
        load: requests there, as reported plus own changes since then.
        own: this daemon's requests there.
        common_credits: requests of any rank that this daemon may have there.
        urgent_credits: further ones of the most urgent rank.
        slowdown: factor by which a straggler is slower, 1 for others.
    """

    serving: replica_model.ServingReplica
    load: int
    own: int
    common_credits: int
    urgent_credits: int
    slowdown: float
