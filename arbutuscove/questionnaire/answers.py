"""The questionnaire: what a team says about its work, callers and limits."""

import dataclasses
import pathlib

import msgspec
import yaml

FORMAT = 1


class AnswersInvalidError(Exception):
    """The answer file cannot be read or has missing or unknown answers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Work:
    """One kind of work, from most to least urgent in the list.

    `someone_waits` says that a person waits for the answer.
    `first_token_seconds` is the target; `keep_percent` is what the work keeps
    while other work floods in; `at_most_percent` is the most it may take.
    """

    name: str
    worth: float
    first_token_seconds: float
    keep_percent: float
    at_most_percent: float = 100.0
    someone_waits: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A client account; `key_digests` are SHA-256 in hexadecimal."""

    name: str
    key_digests: tuple[str, ...]
    share: float = 1.0
    urgent_tokens_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Model:
    """The model and the machines that it needs.

    `vms_per_fabric_domain` is the size of the largest fabric domain, which a
    replica cannot exceed. `urgent_only_percent` of each replica is only for
    the most urgent work. Less urgent work leaves `keep_free_percent` idle, so
    that urgent work finds a free slot; a lower value uses accelerators better
    and makes more urgent answers late in a flood.
    """

    name: str
    vms_per_replica: int
    replicas: int
    accelerators_per_vm: int = 1
    vms_per_fabric_domain: int = 0
    spares_per_fabric_domain: int = 0
    engines_check_fencing: bool = False
    urgent_only_percent: float = 25.0
    keep_free_percent: float = 20.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plain:
    """A plain service; methods that are safe to repeat.

    The failure domains are those of the addresses, in the same order.
    """

    addresses: tuple[str, ...]
    repeatable_methods: tuple[str, ...] = ("GET", "HEAD")
    failure_domains: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Approval:
    """What the operators approved; zero tokens or bill: no such limit.

    The price and the bill are in the same currency.
    """

    accelerators: int
    tokens_per_day: int = 0
    price_per_accelerator_hour: float = 0.0
    bill_per_day: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answers:
    """All answers about one service."""

    format: int
    service: str
    team: str
    work: tuple[Work, ...]
    callers: tuple[Caller, ...]
    approval: Approval
    model: Model | None = None
    plain: Plain | None = None


def read_answers(path: pathlib.Path) -> Answers:
    """Returns the answers of a YAML file.

    Raises:
        AnswersInvalidError: the file cannot be read or does not fit the schema.
    """
    try:
        loaded = yaml.safe_load(path.read_text())
        answers = msgspec.convert(loaded, Answers)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        raise AnswersInvalidError(f"{path}: {error}") from error
    if answers.format != FORMAT:
        raise AnswersInvalidError(f"{path}: format {answers.format} is unknown")
    return answers
