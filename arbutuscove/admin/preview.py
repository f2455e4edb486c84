"""Where a request to a service would go now, as an administration call."""

import dataclasses
import datetime
import random

from arbutuscove.admin import errors
from arbutuscove.admin import resources
from arbutuscove.admission import service as admission_module
from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model

REQUEST_ID = "route"
DEFAULT_TOKENS = 1000  # of prompt and answer
MAX_TOKENS = 1_000_000_000
DEFAULT_DEADLINE_MS = 120_000
MAX_DEADLINE_MS = 600_000
MAX_REPLICAS = 50  # in one answer


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """A request that is not sent.

    Attributes:
        account: name of the client account.
        rank: name of the rank, empty for the least urgent one.
        tokens: prompt and answer together.
        deadline_ms: time that the caller waits.
        prefix: digest of the prompt's start, as in the service's journal.
    """

    account: str
    rank: str
    tokens: int
    deadline_ms: int
    prefix: str


def build_work(
    service: config_model.Service,
    question: Question,
    now: datetime.timedelta,
) -> work_module.Work:
    """Returns the work of a question that arrives now.

    Raises:
        AdminError: the account, the rank, the number of tokens or the deadline
            is not valid.
    """
    account = next(
        (item for item in service.accounts if item.name == question.account),
        None,
    )
    if account is None:
        raise errors.AdminError(404, "unknown_account", question.account)
    rank = service.find_rank(question.rank or None)
    if rank is None:
        names = ", ".join(item.name for item in service.ranks)
        raise errors.AdminError(404, "unknown_rank", f"one of: {names}")
    if not 1 <= question.tokens <= MAX_TOKENS:
        raise errors.AdminError(
            400, "invalid_parameter", f"tokens is 1 to {MAX_TOKENS}"
        )
    if not 1 <= question.deadline_ms <= MAX_DEADLINE_MS:
        raise errors.AdminError(
            400, "invalid_parameter", f"deadline_ms is 1 to {MAX_DEADLINE_MS}"
        )
    return work_module.Work(
        request_id=REQUEST_ID,
        service=service,
        account=account,
        rank=rank,
        tokens=question.tokens,
        arrived=now,
        deadline=now + datetime.timedelta(milliseconds=question.deadline_ms),
        prefix=question.prefix,
    )


def explain(
    admission: admission_module.Admission,
    work: work_module.Work,
    now: datetime.timedelta,
    evacuated: tuple[str, ...],
    generator: random.Random,
) -> resources.RouteExplanation:
    """Returns where the work would go.

    Args:
        admission: decides about requests.
        work: the request.
        now: monotonic time.
        evacuated: names of the evacuated failure domains.
        generator: random source of the explanation.
    """
    found = admission.preview(work, generator)
    verdict, reason = "waits", "no replica has a free slot and credit for it"
    refusal, code, status, retry_after = found.refusal, "", 0, None
    if refusal is not None:
        verdict, reason = "refused", refusal.message
        code, status = refusal.code, refusal.status
        if refusal.retry_after is not None:
            retry_after = round(refusal.retry_after.total_seconds(), 3)
    elif found.replica is not None:
        verdict = "sent"
        reason = "the less loaded of the replicas that were compared"
    elif not found.uses:
        reason = "no replica of the service serves"
    is_sent = verdict == "sent" and found.replica is not None
    return resources.RouteExplanation(
        service=work.service.name,
        account=work.account.name,
        rank=work.rank.name,
        verdict=verdict,
        reason=reason,
        replica=found.replica.replica if is_sent and found.replica else "",
        behind=found.behind if verdict == "waits" else 0,
        status=status,
        code=code,
        retry_after=retry_after,
        evacuated=evacuated,
        replicas=tuple(
            resources.RouteReplica(
                replica=use.serving.replica,
                fabric_domain=use.serving.fabric_domain,
                slots=use.serving.slots,
                load=use.load,
                own=use.own,
                common_credits=use.common_credits,
                urgent_credits=use.urgent_credits,
                slowdown=round(use.slowdown, 2),
                report_age=round(
                    (now - use.serving.reported_at).total_seconds(), 3
                ),
            )
            for use in sorted(found.uses, key=lambda use: use.load)[
                :MAX_REPLICAS
            ]
        ),
        unlisted=max(0, len(found.uses) - MAX_REPLICAS),
    )
