"""Assembles a complete chat completion from the events of its stream.

Each choice is assembled separately: text fields are concatenated, tool calls
are merged by index, and lists of log probabilities are concatenated, so that
the complete answer contains everything that the stream contained.
"""

import typing
from collections import abc

import msgspec

DONE = b"[DONE]"
# Raised for an event that is not JSON or has fields of other types.
FORM_ERRORS = (
    msgspec.DecodeError,
    AttributeError,
    RecursionError,
    TypeError,
)


class UnreadableAnswerError(Exception):
    """An event of an answer has another form than chat completions have."""


def assemble(events: abc.Iterable[bytes]) -> dict[str, typing.Any]:
    """Returns the chat completion that a stream of events encodes.

    Args:
        events: all events of the stream, in order.

    Raises:
        UnreadableAnswerError: an event cannot be read.
    """
    try:
        return _assemble(events)
    except FORM_ERRORS as error:
        raise UnreadableAnswerError(str(error)) from error


def _assemble(events: abc.Iterable[bytes]) -> dict[str, typing.Any]:
    choices: dict[int, dict[str, typing.Any]] = {}
    last_chunk: dict[str, typing.Any] = {}
    usage: dict[str, typing.Any] = {}
    for event in events:
        data = event.partition(b"data: ")[2].strip()
        if not data or data == DONE:
            continue
        last_chunk = msgspec.json.decode(data)
        usage = last_chunk.get("usage") or usage
        for choice_delta in last_chunk.get("choices") or []:
            _add_delta(choices, choice_delta)
    return {
        "id": last_chunk.get("id"),
        "object": "chat.completion",
        "created": last_chunk.get("created"),
        "model": last_chunk.get("model"),
        "choices": [choices[index] for index in sorted(choices)],
        "usage": usage,
    }


def _add_delta(
    choices: dict[int, dict[str, typing.Any]],
    choice_delta: dict[str, typing.Any],
) -> None:
    """Merges one element of a chunk's `choices` into its choice."""
    index = choice_delta.get("index", 0)
    message = {"role": "assistant", "content": ""}
    choice = choices.setdefault(
        index, {"index": index, "message": message, "finish_reason": None}
    )
    _merge(choice["message"], choice_delta.get("delta") or {})
    choice["finish_reason"] = (
        choice_delta.get("finish_reason") or choice["finish_reason"]
    )
    if choice_delta.get("logprobs"):
        _merge(choice.setdefault("logprobs", {}), choice_delta["logprobs"])


def _merge(target: dict[str, typing.Any], delta: dict[str, typing.Any]) -> None:
    """Merges a delta into `target`, in place."""
    for name, value in delta.items():
        current = target.get(name)
        match current, value:
            case _, None:
                continue
            case _, str() if name in ("role", "id", "type"):
                target[name] = value
            case str(), str():
                target[name] = current + value
            case dict(), dict():
                _merge(current, value)
            case ((None | list()), list()):
                target[name] = _join_lists(current or [], value)
            case _:
                target[name] = value


def _join_lists(
    current: list[typing.Any], added: list[typing.Any]
) -> list[typing.Any]:
    """Concatenates two lists; items with equal `index` are merged."""
    joined = list(current)
    by_index = {
        item["index"]: item
        for item in joined
        if isinstance(item, dict) and "index" in item
    }
    for item in added:
        index = item.get("index") if isinstance(item, dict) else None
        if index is not None and index in by_index:
            _merge(by_index[index], item)
            continue
        joined.append(item)
        if index is not None:
            by_index[index] = item
    return joined
