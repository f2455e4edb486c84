"""Compares a proposed configuration with the one in force."""

import dataclasses
import typing

import msgspec

from arbutuscove.config import model

HOURS_PER_DAY = 24
ABSENT = "(absent)"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Difference:
    """A setting that the proposal changes."""

    setting: str
    before: str
    after: str

    def __str__(self) -> str:
        return f"{self.setting}: {self.before} -> {self.after}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Review:
    """What an operator looks at before accepting.

    `worst_bill_per_day` is what the approved accelerators cost if all of them
    run all day, in the operators' currency. `refused_first` lists the ranks in
    the order in which overload refuses them.
    """

    service: str
    base_version: int
    differences: tuple[Difference, ...]
    promised_replicas: int
    accelerators: int
    worst_bill_per_day: float
    tokens_per_period: int
    refused_first: tuple[str, ...]


def build_review(
    in_force: model.ServiceVersion | None, proposed: model.Service
) -> Review:
    """Summarizes the effects of a proposal for the operator.

    Args:
        in_force: the version in force; None for a new service.
        proposed: the proposed configuration.
    """
    before = None if in_force is None else in_force.service
    limits = proposed.limits
    ranks = sorted(proposed.ranks, key=lambda rank: -rank.priority)
    bill_per_hour = limits.accelerators * limits.price_per_accelerator_hour
    return Review(
        service=proposed.name,
        base_version=0 if in_force is None else in_force.version,
        differences=tuple(find_differences(before, proposed)),
        promised_replicas=proposed.model.replicas if proposed.model else 0,
        accelerators=limits.accelerators,
        worst_bill_per_day=bill_per_hour * HOURS_PER_DAY,
        tokens_per_period=limits.tokens_per_period,
        refused_first=tuple(rank.name for rank in ranks),
    )


def find_differences(
    before: model.Service | None, after: model.Service
) -> list[Difference]:
    """Compares two configurations of a service.

    Args:
        before: the old configuration; None for a new service.
        after: the new configuration.

    Returns:
        The settings that differ, sorted by name.
    """
    old = _flatten("", None if before is None else msgspec.to_builtins(before))
    new = _flatten("", msgspec.to_builtins(after))
    return [
        Difference(
            setting=setting,
            before=old.get(setting, ABSENT),
            after=new.get(setting, ABSENT),
        )
        for setting in sorted(old.keys() | new.keys())
        if old.get(setting) != new.get(setting)
    ]


def _flatten(prefix: str, value: typing.Any) -> dict[str, str]:
    match value:
        case None:
            return {}
        case dict():
            items = [(_join(prefix, key), item) for key, item in value.items()]
        case [{"name": _}, *_]:
            # Ranks and accounts are matched by name instead of by position, so
            # that an insertion does not show all later ones as changed.
            items = [(f"{prefix}[{item['name']}]", item) for item in value]
        case list() | tuple():
            return {prefix: ", ".join(str(item) for item in value)}
        case _:
            return {prefix: str(value)}
    settings: dict[str, str] = {}
    for key, item in items:
        settings.update(_flatten(key, item))
    return settings


def _join(prefix: str, key: str) -> str:
    return f"{prefix}.{key}" if prefix else key
