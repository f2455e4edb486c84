"""Generates the configuration of a service from answers, deterministically."""

import dataclasses
import datetime

from arbutuscove.config import model
from arbutuscove.questionnaire import answers as answers_module

DAY = datetime.timedelta(days=1)

# The answer that each setting is generated from. An empty string marks a
# setting that is a constant or depends on the position in the list.
RANK_ORIGINS = {
    "name": "name",
    "priority": "",
    "worth": "worth",
    "first_token_target": "first_token_seconds",
    "floor_share": "keep_percent",
    "ceiling_share": "at_most_percent",
}
ACCOUNT_ORIGINS = {
    "name": "name",
    "key_digests": "key_digests",
    "weight": "share",
    "urgent_tokens_per_second": "urgent_tokens_per_second",
}
LIMIT_ORIGINS = {
    "accelerators": "accelerators",
    "tokens_per_period": "tokens_per_day",
    "period": "",
    "price_per_accelerator_hour": "price_per_accelerator_hour",
}
# Model settings whose answer has another name.
RENAMED_MODEL_ORIGINS = {
    "model": "name",
    "upstreams_check_fencing": "engines_check_fencing",
    "urgent_share": "urgent_only_percent",
    "headroom": "keep_free_percent",
}


def generate(answers: answers_module.Answers) -> model.Service:
    """Generates the configuration of the service that the answers describe.

    Args:
        answers: answers without faults.
    """
    return model.Service(
        name=answers.service,
        team=answers.team,
        ranks=tuple(
            _generate_rank(priority, work)
            for priority, work in enumerate(answers.work)
        ),
        accounts=tuple(
            model.Account(
                name=caller.name,
                key_digests=caller.key_digests,
                weight=caller.share,
                urgent_tokens_per_second=caller.urgent_tokens_per_second,
            )
            for caller in answers.callers
        ),
        limits=model.Limits(
            accelerators=answers.approval.accelerators,
            tokens_per_period=answers.approval.tokens_per_day,
            period=DAY,
            price_per_accelerator_hour=(
                answers.approval.price_per_accelerator_hour
            ),
        ),
        model=_generate_model(answers.model),
        plain=_generate_plain(answers.plain),
    )


def _generate_rank(priority: int, work: answers_module.Work) -> model.Rank:
    return model.Rank(
        name=work.name,
        priority=priority,
        worth=work.worth,
        first_token_target=datetime.timedelta(seconds=work.first_token_seconds),
        floor_share=work.keep_percent / 100,
        ceiling_share=work.at_most_percent / 100,
    )


def _generate_model(
    answer: answers_module.Model | None,
) -> model.ModelBackend | None:
    if answer is None:
        return None
    return model.ModelBackend(
        model=answer.name,
        vms_per_replica=answer.vms_per_replica,
        replicas=answer.replicas,
        spares_per_fabric_domain=answer.spares_per_fabric_domain,
        upstreams_check_fencing=answer.engines_check_fencing,
        urgent_share=answer.urgent_only_percent / 100,
        headroom=answer.keep_free_percent / 100,
    )


def _generate_plain(
    answer: answers_module.Plain | None,
) -> model.PlainBackend | None:
    if answer is None:
        return None
    return model.PlainBackend(
        addresses=answer.addresses,
        repeatable_methods=answer.repeatable_methods,
        failure_domains=answer.failure_domains,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Origin:
    """A generated setting, its value and the answer it is generated from."""

    setting: str
    value: str
    answer: str


def trace_origins(answers: answers_module.Answers) -> list[Origin]:
    """Returns the origin of each generated setting, in order of the settings.

    Args:
        answers: answers without faults.
    """
    service = generate(answers)
    origins = [
        Origin(setting="name", value=service.name, answer="service"),
        Origin(setting="team", value=service.team, answer="team"),
    ]
    for index, rank in enumerate(service.ranks):
        for field, answer in RANK_ORIGINS.items():
            value = str(getattr(rank, field))
            setting = f"ranks[{index}].{field}"
            origin = f"work[{index}].{answer}" if answer else "order of work"
            origins.append(Origin(setting=setting, value=value, answer=origin))
    for index, account in enumerate(service.accounts):
        for field, answer in ACCOUNT_ORIGINS.items():
            value = str(getattr(account, field))
            setting = f"accounts[{index}].{field}"
            origin = f"callers[{index}].{answer}"
            origins.append(Origin(setting=setting, value=value, answer=origin))
    for field, answer in LIMIT_ORIGINS.items():
        value = str(getattr(service.limits, field))
        origin = f"approval.{answer}" if answer else "always one day"
        setting = f"limits.{field}"
        origins.append(Origin(setting=setting, value=value, answer=origin))
    return origins + _trace_backend(service)


def _trace_backend(service: model.Service) -> list[Origin]:
    match service.get_backend():
        case model.ModelBackend() as backend:
            section, renamed_origins = "model", RENAMED_MODEL_ORIGINS
        case model.PlainBackend() as backend:
            section, renamed_origins = "plain", {}
    return [
        Origin(
            setting=f"{section}.{field.name}",
            value=str(getattr(backend, field.name)),
            answer=f"{section}.{renamed_origins.get(field.name, field.name)}",
        )
        for field in dataclasses.fields(backend)
    ]
