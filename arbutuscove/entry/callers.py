"""Authenticates callers and derives the work of a request from its headers."""

import dataclasses
import datetime
import hashlib
import typing

import msgspec
import xxhash
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.config import model as config_model
from arbutuscove.entry import documents
from arbutuscove.entry import headers
from arbutuscove.entry import refusals

DEFAULT_DEADLINE = datetime.timedelta(seconds=120)
MAX_DEADLINE = datetime.timedelta(seconds=600)
BYTES_PER_TOKEN = 4  # approximate size of a token in a prompt
DEFAULT_ANSWER_TOKENS = 256
MAX_CHOICES = 16  # answers to one request
MAX_ANSWER_TOKENS = 1_000_000  # beyond the context length of any engine
PREFIX_BYTES = 1024  # bytes of the prompt that are hashed for cache affinity


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Caller:
    """A client account together with its service."""

    service: config_model.Service
    account: config_model.Account


def digest_key(key: str) -> str:
    """Returns the digest by which a key is stored.

    Example:
        >>> digest_key("secret")[:8]
        '2bb80d53'
    """
    return hashlib.sha256(key.encode()).hexdigest()


def read_key(request: wrappers.Request) -> str:
    """Returns the bearer key of a request.

    Raises:
        BadRequestError: the request has no bearer key.
    """
    scheme, _, key = request.headers.get("Authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise refusals.BadRequestError(
            401, "missing_key", "bearer key required"
        )
    return key.strip()


def authenticate(
    snapshot: config_model.Snapshot, request: wrappers.Request
) -> list[Caller]:
    """Returns the accounts that the bearer key authenticates.

    One key can belong to accounts of several services.

    Args:
        snapshot: the configuration in force.
        request: the HTTP request.

    Raises:
        BadRequestError: the key is missing, or no account has it.
    """
    digest = digest_key(read_key(request))
    matching_callers = [
        Caller(service=version.service, account=account)
        for version in snapshot.services.values()
        for account in version.service.accounts
        if digest in account.key_digests
    ]
    if not matching_callers:
        raise refusals.BadRequestError(401, "wrong_key", "unknown key")
    return matching_callers


def build_work(
    request: wrappers.Request,
    caller: Caller,
    content: bytes,
    request_id: str,
    arrived: datetime.timedelta,
    body: dict[str, typing.Any],
) -> work_module.Work:
    """Builds the work item that admission schedules.

    Args:
        request: the HTTP request.
        caller: the authenticated account and its service.
        content: the request body.
        request_id: identity of the request.
        arrived: monotonic time of arrival.
        body: the fields of the request body (`documents.decode`).

    Raises:
        BadRequestError: the rank is unknown, or the deadline, the number of
            choices or the number of tokens is invalid.
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
        prefix=xxhash.xxh3_64_hexdigest(_get_beginning(body)),
        digest=digest.hexdigest(),
        prompt_parts=_list_prompt_parts(body),
    )


def _read_answer_tokens(body: dict[str, typing.Any]) -> int:
    """Returns the maximum length of all choices together, in tokens.

    Raises:
        BadRequestError: the number of choices or of tokens is out of range.
    """
    max_tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    max_tokens = max_tokens or DEFAULT_ANSWER_TOKENS
    choices = body.get("n") or 1
    if not isinstance(choices, int) or not 1 <= choices <= MAX_CHOICES:
        raise refusals.BadRequestError(
            400, "invalid_body", f"n must be between 1 and {MAX_CHOICES}"
        )
    is_integer = isinstance(max_tokens, int)
    if not is_integer or not 1 <= max_tokens <= MAX_ANSWER_TOKENS:
        raise refusals.BadRequestError(
            400,
            "invalid_body",
            f"max_tokens must be between 1 and {MAX_ANSWER_TOKENS}",
        )
    return int(max_tokens) * choices


def read_deadline(request: wrappers.Request) -> datetime.timedelta:
    """Returns the caller's deadline, relative to the arrival of the request.

    Raises:
        BadRequestError: the header is not a number of seconds within bounds.
    """
    text = request.headers.get(headers.DEADLINE)
    if text is None:
        return DEFAULT_DEADLINE
    try:
        deadline = datetime.timedelta(seconds=float(text))
    except (ValueError, OverflowError):
        deadline = datetime.timedelta()
    if not datetime.timedelta() < deadline <= MAX_DEADLINE:
        limit = MAX_DEADLINE.total_seconds()
        raise refusals.BadRequestError(
            400,
            "invalid_deadline",
            f"{headers.DEADLINE} must be over 0 and at most {limit} seconds",
        )
    return deadline


def _list_prompt_parts(body: dict[str, typing.Any]) -> tuple[str, ...]:
    """Returns the digests of all messages but the last one.

    The last message is the question of this request. Other requests may have
    the ones before it, such as the instructions of an application.
    """
    if documents.MESSAGES not in body:
        return ()
    return tuple(
        xxhash.xxh3_64_hexdigest(part)
        for part in documents.list_prompt_parts(body[documents.MESSAGES])
    )


def _get_beginning(body: dict[str, typing.Any]) -> bytes:
    messages = body.get(documents.MESSAGES, msgspec.Raw())
    return documents.get_beginning(messages, PREFIX_BYTES)
