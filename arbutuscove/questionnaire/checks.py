"""Finds answers that are invalid, contradictory or infeasible.

All faults are reported together, in the terms of the questionnaire.
"""

import collections
import dataclasses
import re

from arbutuscove.questionnaire import answers as answers_module

DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
HOURS_PER_DAY = 24


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A faulty answer, and the problem or the value that it must have."""

    answer: str
    problem: str

    def __str__(self) -> str:
        return f"{self.answer}: {self.problem}"


def find_faults(answers: answers_module.Answers) -> list[Fault]:
    """Checks the answers of one service.

    Args:
        answers: the answers, already decoded.

    Returns:
        All faults; an empty list if the answers are valid.
    """
    faults: list[Fault] = []
    for answer, name in (("service", answers.service), ("team", answers.team)):
        if not NAME_PATTERN.fullmatch(name):
            faults.append(
                Fault(
                    answer=answer,
                    problem=f"{name!r} must be lower-case letters, digits, "
                    "dots or hyphens",
                )
            )
    if (answers.model is None) == (answers.plain is None):
        faults.append(
            Fault(
                answer="model, plain",
                problem="answer exactly one of the two sections",
            )
        )
    faults += _check_work(answers.work)
    faults += _check_callers(answers.callers)
    if answers.model is not None:
        faults += _check_model(answers.model, answers.approval)
    if answers.plain is not None:
        faults += _check_plain(answers.plain)
    return faults


def _check_plain(plain: answers_module.Plain) -> list[Fault]:
    domains = len(plain.failure_domains)
    if domains in (0, len(plain.addresses)):
        return []
    return [
        Fault(
            answer="plain.failure_domains",
            problem=f"{domains} names for {len(plain.addresses)} addresses; "
            "name one for each address, or none",
        )
    ]


def _check_work(work: tuple[answers_module.Work, ...]) -> list[Fault]:
    if not work:
        return [Fault(answer="work", problem="name at least one kind of work")]
    faults = _find_duplicates("work", [item.name for item in work])
    kept_percent = sum(item.keep_percent for item in work)
    if kept_percent > 100:
        faults.append(
            Fault(
                answer="work.keep_percent",
                problem=f"the kinds keep {kept_percent:g}% together; "
                "at most 100%",
            )
        )
    if not work[0].someone_waits:
        faults.append(
            Fault(
                answer="work[0].someone_waits",
                problem="the first kind must be urgent work that someone "
                "waits for",
            )
        )
    for index, item in enumerate(work):
        faults += _check_work_item(f"work[{index}]", item)
    return faults


def _check_work_item(answer: str, item: answers_module.Work) -> list[Fault]:
    faults = []
    if not 0 <= item.keep_percent <= item.at_most_percent <= 100:
        faults.append(
            Fault(
                answer=f"{answer}.keep_percent, at_most_percent",
                problem=f"{item.name!r} keeps {item.keep_percent:g}% and may "
                f"take {item.at_most_percent:g}%; need 0 <= keep <= most <= "
                "100",
            )
        )
    if item.first_token_seconds <= 0:
        faults.append(
            Fault(
                answer=f"{answer}.first_token_seconds",
                problem=f"{item.first_token_seconds:g} must be over 0",
            )
        )
    if item.worth <= 0:
        faults.append(
            Fault(
                answer=f"{answer}.worth",
                problem=f"{item.worth:g} must be over 0",
            )
        )
    return faults


def _check_callers(callers: tuple[answers_module.Caller, ...]) -> list[Fault]:
    if not callers:
        return [Fault(answer="callers", problem="name at least one caller")]
    faults = _find_duplicates("callers", [item.name for item in callers])
    digests = [digest for item in callers for digest in item.key_digests]
    faults += _find_duplicates("callers.key_digests", digests)
    for index, item in enumerate(callers):
        if item.share <= 0:
            faults.append(
                Fault(
                    answer=f"callers[{index}].share",
                    problem=f"{item.share:g} must be over 0",
                )
            )
        for digest in item.key_digests:
            if not DIGEST_PATTERN.fullmatch(digest):
                faults.append(
                    Fault(
                        answer=f"callers[{index}].key_digests",
                        problem=f"{digest!r} is not a SHA-256 digest",
                    )
                )
    return faults


def _check_model(
    model: answers_module.Model, approval: answers_module.Approval
) -> list[Fault]:
    faults = []
    counts = (model.vms_per_replica, model.replicas, model.accelerators_per_vm)
    if min(counts) < 1:
        faults.append(
            Fault(
                answer="model",
                problem="VMs per replica, replicas and accelerators per VM "
                "must be at least 1",
            )
        )
        return faults
    faults += _check_shares(model)
    replica_size = model.vms_per_replica
    domain_size = model.vms_per_fabric_domain
    if (
        domain_size
        and replica_size + model.spares_per_fabric_domain > domain_size
    ):
        faults.append(
            Fault(
                answer="model.vms_per_replica",
                problem=f"a replica of {replica_size} VMs and its spares "
                f"exceed a fabric domain of {domain_size}",
            )
        )
    accelerators_per_replica = replica_size * model.accelerators_per_vm
    if approval.accelerators < accelerators_per_replica:
        faults.append(
            Fault(
                answer="approval.accelerators",
                problem=f"{approval.accelerators} approved; one replica "
                f"needs {accelerators_per_replica}",
            )
        )
    replica_bill_per_day = (
        accelerators_per_replica
        * HOURS_PER_DAY
        * approval.price_per_accelerator_hour
    )
    if 0 < approval.bill_per_day < replica_bill_per_day:
        faults.append(
            Fault(
                answer="approval.bill_per_day",
                problem=f"{approval.bill_per_day:g} is under the cost of one "
                f"replica, {replica_bill_per_day:g}",
            )
        )
    accelerator_hours_per_day = approval.accelerators * HOURS_PER_DAY
    max_bill_per_day = (
        accelerator_hours_per_day * approval.price_per_accelerator_hour
    )
    if (
        approval.bill_per_day
        and max_bill_per_day > approval.bill_per_day >= replica_bill_per_day
    ):
        faults.append(
            Fault(
                answer="approval.accelerators",
                problem=f"{approval.accelerators} accelerators can cost "
                f"{max_bill_per_day:g} a day, over the bill of "
                f"{approval.bill_per_day:g}",
            )
        )
    return faults


def _check_shares(model: answers_module.Model) -> list[Fault]:
    shares = {
        "urgent_only_percent": model.urgent_only_percent,
        "keep_free_percent": model.keep_free_percent,
    }
    return [
        Fault(
            answer=f"model.{name}",
            problem=f"{value:g} must be at least 0 and under 100, so that "
            "less urgent work can run",
        )
        for name, value in shares.items()
        if not 0 <= value < 100
    ]


def _find_duplicates(answer: str, names: list[str]) -> list[Fault]:
    counts = collections.Counter(names)
    return [
        Fault(answer=answer, problem=f"{name!r} is named {count} times")
        for name, count in counts.items()
        if count > 1
    ]
