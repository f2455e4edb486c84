"""Values shared by admission, routing and limits."""

import dataclasses
import datetime

from arbutuscove.config import model as config_model
from arbutuscove.replicas import model as replica_model


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """One request as admission sees it; times are monotonic.

    `punctual_until` is the last time to begin at which the first token still
    comes within its target; None if that is unknown.
    """

    request_id: str
    service: config_model.Service
    account: config_model.Account
    rank: config_model.Rank
    tokens: int  # estimate of prompt and answer together
    arrived: datetime.timedelta
    deadline: datetime.timedelta
    punctual_until: datetime.timedelta | None = None
    prefix: str = ""  # digest of the prompt's beginning, for cache affinity
    digest: str = ""  # identity of account and content
    excluded: frozenset[str] = frozenset()  # replicas not to use
    suspect: bool = False  # ran where an upstream died; must run alone
    entitled: bool = True  # False: beyond the account's urgent entitlement


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a request is not served now; it was not run.

    `retry_after` is when to come back; None when coming back does not help.
    """

    status: int
    code: str
    message: str
    retry_after: datetime.timedelta | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ticket:
    """Permission to run on one replica until `Admission.finish`."""

    work: Work
    replica: replica_model.ServingReplica
    admitted: datetime.timedelta


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Capacity:
    """What one daemon may use of a service now.

    `slots` is how many requests it may run at once. `floors` are the shares of
    its service that it keeps for each rank, by priority; they differ from the
    configured floors because a rank's work is spread unevenly over daemons.
    Empty floors mean that the configured ones apply.
    """

    slots: int
    floors: tuple[float, ...] = ()
