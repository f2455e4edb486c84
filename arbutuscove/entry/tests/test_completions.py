"""Guards against assembled answers that lack part of their stream."""

import msgspec

from arbutuscove.entry import completions


def _event(number, choices):
    data = msgspec.json.encode({"id": "c", "model": "m", "choices": choices})
    return f"id: s-{number}\ndata: ".encode() + data + b"\n\n"


def _part(delta, index=0, finish=None):
    return {"index": index, "delta": delta, "finish_reason": finish}


def test_completions_keep_several_choices_apart():
    """Merging choices into one would mix two answers."""
    events = [
        _event(0, [_part({"content": "a"}), _part({"content": "x"}, 1)]),
        _event(1, [_part({"content": "b"}, 0, "stop")]),
        _event(2, [_part({"content": "y"}, 1, "length")]),
    ]
    choices = completions.assemble(events)["choices"]
    assert [c["message"]["content"] for c in choices] == ["ab", "xy"]
    assert [c["finish_reason"] for c in choices] == ["stop", "length"]


def test_completions_merge_tool_calls():
    """A dropped tool call would silently truncate the answer."""
    first = {"index": 0, "id": "t", "type": "function"}
    calls = [
        {**first, "function": {"name": "file", "arguments": '{"lot"'}},
        {"index": 0, "function": {"arguments": ": 7}"}},
        {"index": 1, "id": "u", "function": {"name": "bid", "arguments": ""}},
    ]
    events = [
        _event(n, [_part({"tool_calls": [call]})])
        for n, call in enumerate(calls)
    ]
    message = completions.assemble(events)["choices"][0]["message"]
    tool_calls = message["tool_calls"]
    assert [call["function"]["name"] for call in tool_calls] == ["file", "bid"]
    assert tool_calls[0]["function"]["arguments"] == '{"lot": 7}'
    assert tool_calls[0]["id"] == "t"


def test_completions_join_log_probabilities():
    """The complete answer must contain the log probabilities of all tokens."""
    events = [
        _event(n, [{**_part({"content": t}), "logprobs": {"content": [t]}}])
        for n, t in enumerate("ab")
    ]
    choice = completions.assemble(events)["choices"][0]
    assert choice["logprobs"] == {"content": ["a", "b"]}
