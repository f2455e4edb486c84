"""Configuration of a service as immutable values.

A service is either a model served by replicas or a plain service. Ranks order
its work; client accounts send it; limits bound what it may cost.
"""

import dataclasses
import datetime
import typing
from collections import abc


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rank:
    """A class of work; priority 0 is the most urgent.

    `floor_share` is the share of capacity that the rank keeps in a flood of
    others, `ceiling_share` the most that it may claim; both are fractions of
    the service's token rate. `worth` weighs one answered request against
    those of other ranks.
    """

    name: str
    priority: int
    worth: float
    first_token_target: datetime.timedelta
    floor_share: float
    ceiling_share: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Account:
    """A client account; keys are kept as SHA-256 digests in hexadecimal.

    `urgent_tokens_per_second` is how much of the most urgent rank the account
    is entitled to; work beyond it is served with the next rank.
    """

    name: str
    key_digests: tuple[str, ...]
    weight: float = 1.0
    urgent_tokens_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelBackend:
    """A model served by replicas that each span several VMs.

    `urgent_share` is the share of a replica's slots that only the most urgent
    rank holds credits for; `headroom` is the share that less urgent work
    leaves free by the load report, unless its rank is below its floor.
    """

    model: str
    vms_per_replica: int
    replicas: int
    spares_per_fabric_domain: int = 0
    upstreams_check_fencing: bool = False
    urgent_share: float = 0.25
    headroom: float = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlainBackend:
    """A service beside the engines; `host:port` addresses.

    `failure_domains` are those of the addresses, in the same order; empty if
    they are not known. An address beyond the last of them, or with an empty
    name, belongs to none.
    """

    addresses: tuple[str, ...]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    failure_domains: tuple[str, ...] = ()

    def get_failure_domain(self, address: str) -> str:
        """Returns the failure domain of an address, empty if none is known."""
        for known, domain in zip(
            self.addresses, self.failure_domains, strict=False
        ):
            if known == address:
                return domain
        return ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What the operators approved.

    `tokens_per_period` bounds generated tokens in each budget period, which is
    how spend is metered; zero means that there is no such limit. The price
    of an accelerator is for one hour, in the operators' currency.
    """

    accelerators: int
    tokens_per_period: int = 0
    period: datetime.timedelta = datetime.timedelta(days=1)
    price_per_accelerator_hour: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """One service; exactly one of `model` and `plain` is set."""

    name: str
    team: str
    ranks: tuple[Rank, ...]
    accounts: tuple[Account, ...]
    limits: Limits
    model: ModelBackend | None = None
    plain: PlainBackend | None = None

    def get_backend(self) -> ModelBackend | PlainBackend:
        """Returns the backend of the service, `model` or `plain`.

        Raises:
            ValueError: none or both are set.
        """
        match self.model, self.plain:
            case ModelBackend() as model, None:
                return model
            case None, PlainBackend() as plain:
                return plain
            case _:
                raise ValueError(f"service {self.name!r} needs one backend")

    def find_rank(self, name: str | None) -> Rank | None:
        """Returns a rank by name, or the least urgent rank for None.

        Returns None if no rank has this name.
        """
        if name is None:
            return max(self.ranks, key=lambda rank: rank.priority)
        return next((rank for rank in self.ranks if rank.name == name), None)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One accepted change; `sequence` orders all changes of the system."""

    sequence: int
    version: int
    base_version: int
    service: Service
    author: str
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceVersion:
    """The newest accepted body of a service."""

    sequence: int
    version: int
    service: Service


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """All services as of one sequence number.

    Example:
        >>> Snapshot().find("chat") is None
        True
    """

    sequence: int = 0
    services: abc.Mapping[str, ServiceVersion] = dataclasses.field(
        default_factory=dict
    )

    def find(self, name: str) -> Service | None:
        """Returns the service with this name, or None if there is none."""
        version = self.services.get(name)
        return None if version is None else version.service

    def apply(self, change: Change) -> "Snapshot":
        """Returns the snapshot after the next change in sequence.

        If the change is not the next one, the same snapshot is returned, so
        that an older or repeated change never takes effect.
        """
        if change.sequence != self.sequence + 1:
            return self
        services = dict(self.services)
        name = change.service.name
        existing = services.get(name)
        if existing is None or existing.sequence < change.sequence:
            services[name] = ServiceVersion(
                sequence=change.sequence,
                version=change.version,
                service=change.service,
            )
        return Snapshot(sequence=change.sequence, services=services)

    def merge(self, other: "Snapshot") -> "Snapshot":
        """Returns a snapshot with the newer version of each service.

        A snapshot read from the table may contain a service version that is
        newer than the sequence number of the snapshot. Replacing it by another
        snapshot as a whole would revert that service.
        """
        services = dict(self.services)
        for name, candidate in other.services.items():
            existing = services.get(name)
            if existing is None or existing.sequence < candidate.sequence:
                services[name] = candidate
        sequence = max(self.sequence, other.sequence)
        return Snapshot(sequence=sequence, services=services)


class Head(typing.NamedTuple):
    """Sequence number of the newest change and version of the head row."""

    sequence: int
    row_version: int
