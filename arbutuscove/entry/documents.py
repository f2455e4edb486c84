"""Bodies of chat requests, decoded as far as this daemon uses them.

A body of many tiny values would take many times its bytes as Python objects.
What only the engine reads stays as it arrived.
"""

import codecs
import typing

import msgspec

from arbutuscove.entry import refusals
from arbutuscove.kernel import turns

MAX_FIELDS = 256  # of the body; more are no chat request
MAX_PROMPT_PARTS = 32  # further messages of a prompt are not tracked
MESSAGES = "messages"
# Fields whose values the daemon reads.
SETTINGS = ("model", "stream", "n", "max_tokens", "max_completion_tokens")

_Scalar = str | int | float | None  # `int` includes booleans


class _Name:
    """Name of a field; each one is counted while the body is decoded."""

    def __init__(self, text: str) -> None:
        self.text = text


class _TooManyFieldsError(ValueError):
    """The body has more fields than are allowed."""


# Messages beyond the last field are skipped.
_Parts = msgspec.defstruct(
    "_Parts",
    [
        (f"part_{number}", msgspec.Raw, msgspec.Raw())
        for number in range(MAX_PROMPT_PARTS + 1)
    ],
    array_like=True,
)
_PARTS = msgspec.json.Decoder(_Parts)
_SETTING = msgspec.json.Decoder(bool | _Scalar)


def decode(content: bytes) -> dict[str, typing.Any]:
    """Returns the fields of a body.

    The values of `SETTINGS` are decoded, all others are `msgspec.Raw`.

    Raises:
        BadRequestError: the body is not JSON, or no chat request.
    """
    try:
        _check_text(content)
        fields = _decode_fields(content)
        return fields | {
            name: _SETTING.decode(fields[name])
            for name in SETTINGS
            if name in fields
        }
    except (msgspec.ValidationError, _TooManyFieldsError) as error:
        raise _build_error("invalid_body", f"the body: {error}") from error
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise _build_error(
            "malformed_json", f"the body is not JSON: {error}"
        ) from error


def list_prompt_parts(messages: msgspec.Raw) -> list[bytes]:
    """Returns the encoded messages but the last one, without white space.

    Args:
        messages: the messages of a body that has been decoded.
    """
    parts = [
        part
        for part in msgspec.structs.astuple(_PARTS.decode(messages))
        if part != msgspec.Raw()
    ]
    return [msgspec.json.format(bytes(part), indent=-1) for part in parts[:-1]]


def get_beginning(messages: msgspec.Raw, size: int) -> bytes:
    """Returns the first bytes of the messages, as they arrived."""
    return bytes(memoryview(messages)[:size])


def _decode_fields(content: bytes) -> dict[str, typing.Any]:
    count = 0

    def count_name(_: type, text: str) -> _Name:
        nonlocal count
        count += 1
        if count > MAX_FIELDS:
            raise _TooManyFieldsError(f"more than {MAX_FIELDS} fields")
        return _Name(text)

    decoder = msgspec.json.Decoder(
        dict[_Name, msgspec.Raw], dec_hook=count_name
    )
    fields = {name.text: raw for name, raw in decoder.decode(content).items()}
    if get_beginning(fields.get(MESSAGES, msgspec.Raw()), 1) != b"[":
        raise msgspec.ValidationError("must be an object with messages")
    return fields


def _check_text(content: bytes) -> None:
    """Raises `UnicodeError` if the bytes are not UTF-8.

    The bytes of skipped values are not decoded, so nothing else notices.
    """
    decoder = codecs.getincrementaldecoder("utf-8")()
    for start in range(0, len(content), turns.TURN_BYTES):
        decoder.decode(content[start : start + turns.TURN_BYTES])
    decoder.decode(b"", True)


def _build_error(code: str, message: str) -> refusals.BadRequestError:
    return refusals.BadRequestError(400, code, message)
