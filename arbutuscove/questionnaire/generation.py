"""Generates a service configuration from answers, always the same way."""

import datetime

from arbutuscove.config import model
from arbutuscove.questionnaire import answers as answers_module

DAY = datetime.timedelta(days=1)


def generate(answers: answers_module.Answers) -> model.Service:
    """Returns the service that the answers describe."""
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
    )


def _generate_plain(
    answer: answers_module.Plain | None,
) -> model.PlainBackend | None:
    if answer is None:
        return None
    return model.PlainBackend(
        addresses=answer.addresses,
        repeatable_methods=answer.repeatable_methods,
    )
