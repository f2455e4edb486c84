"""What the choice of a replica depends on, beside the replicas."""

import dataclasses
import datetime

SECOND = datetime.timedelta(seconds=1)
URGENT = 0  # priority of the most urgent rank


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChoiceSettings:
    """Parameters of the choice of a replica.

    A service's configuration sets `urgent_share` and `headroom`.

    Attributes:
        urgent_share: share of a replica's slots for which only the most urgent
            rank has credits.
        headroom: share of a replica's slots that less urgent work leaves free
            according to the load report, unless its rank is below its floor.
            Credits alone cannot keep slots free while work that was sent under
            an earlier division still runs.
        handover_divisions: number of successive divisions (one per second) in
            which less urgent work must have had a credit before it uses it. By
            then the daemon that lost the credit has stopped using it.
        guaranteed_urgent: urgent requests that each daemon may have in
            progress regardless of its credits.
        max_bulk_kv: used fraction of KV memory from which less urgent work is
            not sent to a replica.
        max_urgent_kv: the same for urgent work.
        affinity_bound: factor by which the load of a replica that has the
            prefix in its cache may exceed the mean (as in consistent hashing
            with bounded loads, Mirrokni et al., 2018).
        straggler_ratio: ratio of the time per token to the median of the
            service's replicas from which a replica is a straggler.
        max_straggler_slowdown: largest factor by which a straggler's slots are
            reduced.
        sample_age: time for which a measured latency is used.
        prefix_limit: number of prefixes that are remembered.
        replicas_per_prefix: number of replicas remembered for each prefix.
    """

    urgent_share: float = 0.25
    headroom: float = 0.2
    handover_divisions: int = 3
    guaranteed_urgent: int = 1
    max_bulk_kv: float = 0.85
    max_urgent_kv: float = 0.97
    affinity_bound: float = 1.25
    straggler_ratio: float = 1.5
    max_straggler_slowdown: float = 4.0
    sample_age: datetime.timedelta = 30 * SECOND
    prefix_limit: int = 10_000
    replicas_per_prefix: int = 3


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """The properties of a request that the choice depends on."""

    priority: int
    prefix: str = ""
    excluded: frozenset[str] = frozenset()
    is_suspect: bool = False
    is_below_floor: bool = False  # its rank is below its floor
