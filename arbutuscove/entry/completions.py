"""Assembles a whole completion from the events of its stream.

Each choice is assembled by itself: text fields are joined, tool calls are
merged by their index, and lists of log probabilities are joined, so that a
whole answer holds all that the stream held.
"""

import typing
from collections import abc

import msgspec

DONE = b"[DONE]"


def assemble(events: abc.Iterable[bytes]) -> dict[str, typing.Any]:
    """Returns the completion of a complete list of events."""
    choices: dict[int, dict[str, typing.Any]] = {}
    last: dict[str, typing.Any] = {}
    usage: dict[str, typing.Any] = {}
    for event in events:
        data = event.partition(b"data: ")[2].strip()
        if not data or data == DONE:
            continue
        last = msgspec.json.decode(data)
        usage = last.get("usage") or usage
        for part in last.get("choices", []):
            _add_part(choices, part)
    return {
        "id": last.get("id"),
        "object": "chat.completion",
        "created": last.get("created"),
        "model": last.get("model"),
        "choices": [choices[index] for index in sorted(choices)],
        "usage": usage,
    }


def _add_part(
    choices: dict[int, dict[str, typing.Any]], part: dict[str, typing.Any]
) -> None:
    index = part.get("index", 0)
    message = {"role": "assistant", "content": ""}
    choice = choices.setdefault(
        index, {"index": index, "message": message, "finish_reason": None}
    )
    _merge(choice["message"], part.get("delta") or {})
    choice["finish_reason"] = (
        part.get("finish_reason") or choice["finish_reason"]
    )
    if part.get("logprobs"):
        _merge(choice.setdefault("logprobs", {}), part["logprobs"])


def _merge(target: dict[str, typing.Any], delta: dict[str, typing.Any]) -> None:
    for name, value in delta.items():
        held = target.get(name)
        match held, value:
            case _, None:
                continue
            case _, str() if name in ("role", "id", "type"):
                target[name] = value
            case str(), str():
                target[name] = held + value
            case dict(), dict():
                _merge(held, value)
            case ((None | list()), list()):
                target[name] = _join(held or [], value)
            case _:
                target[name] = value


def _join(held: list[typing.Any], added: list[typing.Any]) -> list[typing.Any]:
    """Joins two lists; items with an index are merged by it."""
    joined = list(held)
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
