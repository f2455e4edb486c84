"""Who calls, for which service, with which rank and deadline."""

import dataclasses
import datetime
import hashlib
import typing

import msgspec
import xxhash
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.entry import headers
from arbutuscove.entry import refusals

DEFAULT_DEADLINE = datetime.timedelta(seconds=120)
LONGEST_DEADLINE = datetime.timedelta(seconds=600)
BYTES_PER_TOKEN = 4  # rough size of a token in a prompt
DEFAULT_ANSWER_TOKENS = 256
CHOICES_LIMIT = 16  # answers to one request
ANSWER_TOKENS_LIMIT = 1_000_000  # beyond the context length of any engine
PREFIX_BYTES = 1024  # of the prompt, for cache affinity


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A client account of a service."""

    service: config_model.Service
    account: config_model.Account


def digest_key(key: str) -> str:
    """Returns the digest under which a key is kept.

    Example:
        >>> digest_key("secret")[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def read_key(request: wrappers.Request) -> str:
    """Returns the bearer key.

    Raises:
        BadRequestError: there is none.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise refusals.BadRequestError(
            401, "missing_key", "bearer key required"
        )
    return key.strip()


def find_callers(
    snapshot: config_model.Snapshot, request: wrappers.Request
) -> list[Caller]:
    """Returns the accounts that the key opens, one for each service.

    Raises:
        BadRequestError: no account has the key.
    """
    digest = digest_key(read_key(request))
    found = [
        Caller(service=version.service, account=account)
        for version in snapshot.services.values()
        for account in version.service.accounts
        if digest in account.key_digests
    ]
    if not found:
        raise refusals.BadRequestError(401, "wrong_key", "unknown key")
    return found


def build_work(
    request: wrappers.Request,
    caller: Caller,
    content: bytes,
    request_id: str,
    arrived: datetime.timedelta,
    body: dict[str, typing.Any],
) -> work_module.Work:
    """Returns the request as admission sees it.

    Raises:
        BadRequestError: unknown rank or invalid deadline.
    """
    rank = caller.service.find_rank(request.headers.get(headers.RANK))
    if rank is None:
        names = ", ".join(item.name for item in caller.service.ranks)
        raise refusals.BadRequestError(
            400, "unknown_rank", f"{headers.RANK} must be one of: {names}"
        )
    answer_tokens = _read_answer_tokens(body)
    digest = hashlib.sha256(caller.account.name.encode() + b"\0" + content)
    return work_module.Work(
        request_id=request_id,
        service=caller.service,
        account=caller.account,
        rank=rank,
        tokens=len(content) // BYTES_PER_TOKEN + answer_tokens,
        arrived=arrived,
        deadline=arrived + read_deadline(request),
        prefix=xxhash.xxh3_64_hexdigest(_encode_prompt(body)[:PREFIX_BYTES]),
        digest=digest.hexdigest(),
    )


def _read_answer_tokens(body: dict[str, typing.Any]) -> int:
    """Returns the longest answer, over all choices, in tokens."""
    longest = body.get("max_completion_tokens") or body.get("max_tokens")
    longest = longest or DEFAULT_ANSWER_TOKENS
    choices = body.get("n") or 1
    if not isinstance(choices, int) or not 1 <= choices <= CHOICES_LIMIT:
        raise refusals.BadRequestError(
            400, "invalid_body", f"n must be between 1 and {CHOICES_LIMIT}"
        )
    whole = isinstance(longest, int)
    if not whole or not 1 <= longest <= ANSWER_TOKENS_LIMIT:
        raise refusals.BadRequestError(
            400,
            "invalid_body",
            f"max_tokens must be between 1 and {ANSWER_TOKENS_LIMIT}",
        )
    return int(longest) * choices


def read_deadline(request: wrappers.Request) -> datetime.timedelta:
    """Returns how long the caller waits, from arrival.

    Raises:
        BadRequestError: not a number of seconds within bounds.
    """
    text = request.headers.get(headers.DEADLINE)
    if text is None:
        return DEFAULT_DEADLINE
    try:
        deadline = datetime.timedelta(seconds=float(text))
    except (ValueError, OverflowError):
        deadline = datetime.timedelta()
    if not datetime.timedelta() < deadline <= LONGEST_DEADLINE:
        longest = LONGEST_DEADLINE.total_seconds()
        raise refusals.BadRequestError(
            400,
            "invalid_deadline",
            f"{headers.DEADLINE} must be over 0 and at most {longest} seconds",
        )
    return deadline


def _encode_prompt(body: dict[str, typing.Any]) -> bytes:
    return msgspec.json.encode(body.get("messages"))
