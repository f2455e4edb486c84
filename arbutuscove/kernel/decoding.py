"""Decoders of documents that other processes wrote.

Such a document may be of any form: nested deeply, of any size, with numbers
that later fail to be encoded or converted. One limit for each of these is
applied here, and a document beyond them is an error of one type.
"""

import itertools
import re
import typing

import msgspec

MAX_DEPTH = 32  # nested arrays and objects of a document
MAX_INTEGER = 2**63 - 1  # fits a signed integer of 64 bits
MAX_TEXT_LENGTH = 255  # characters of a name or of another short text
MAX_DURATION_SECONDS = 366 * 24 * 3600.0
MAX_DURATION_MS = 1000 * MAX_DURATION_SECONDS

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=float(MAX_INTEGER))]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_SECONDS)]
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
NO_CONTROLS = r"\A[^\x00-\x1f\x7f]*\Z"
# Text without control characters.
Text = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT_LENGTH, pattern=NO_CONTROLS)
]
# Text that a header can hold: printable characters of Latin-1.
HeaderText = typing.Annotated[
    str,
    msgspec.Meta(
        max_length=MAX_TEXT_LENGTH, pattern=r"\A[\x20-\x7e\xa0-\xff]*\Z"
    ),
]
# Text of visible ASCII characters.
Name = typing.Annotated[
    str, msgspec.Meta(max_length=MAX_TEXT_LENGTH, pattern=r"\A[!-~]*\Z")
]

_OCTET = "(?:25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
Ipv4Address = typing.Annotated[
    str, msgspec.Meta(pattern=rf"\A{_OCTET}(?:\.{_OCTET}){{3}}\Z")
]

_BRACKETS = b"[]{}"
_OTHER_BYTES = bytes(set(range(256)) - set(_BRACKETS))
_STRING = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)

ValueT = typing.TypeVar("ValueT")


class DecodingError(ValueError):
    """The document is not valid, or beyond a limit."""


class _Decoder(typing.Generic[ValueT]):
    """Decodes documents of one type and a bounded size."""

    def __init__(
        self,
        decoder: msgspec.json.Decoder[ValueT] | msgspec.msgpack.Decoder[ValueT],
        max_bytes: int,
    ) -> None:
        self._decoder = decoder
        self._max_bytes = max_bytes

    def decode(self, content: bytes) -> ValueT:
        """Returns the value of a document.

        Raises:
            DecodingError: the document is not valid, or beyond a limit.
        """
        if len(content) > self._max_bytes:
            raise DecodingError(f"{len(content)} bytes exceed the limit")
        try:
            return self._decoder.decode(content)
        except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
            raise DecodingError(str(error)) from error


class JsonDecoder(_Decoder[ValueT]):
    """Decodes JSON documents of one type."""

    def __init__(self, value_type: typing.Any, max_bytes: int) -> None:
        super().__init__(msgspec.json.Decoder(value_type), max_bytes)

    def decode(self, content: bytes) -> ValueT:
        """Returns the value of a document.

        Raises:
            DecodingError: the document is not valid, or beyond a limit.
        """
        if len(content) <= self._max_bytes:
            _check_depth(content)
        return super().decode(content)


class MessagePackDecoder(_Decoder[ValueT]):
    """Decodes MessagePack documents of one type."""

    def __init__(self, value_type: typing.Any, max_bytes: int) -> None:
        super().__init__(msgspec.msgpack.Decoder(value_type), max_bytes)


def parse_digits(text: str, max_digits: int) -> int | None:
    """Returns the number in a text of ASCII digits, None for another text.

    Example:
        >>> parse_digits("080", 3), parse_digits("8_0", 3)
        (80, None)
    """
    is_number = text.isascii() and text.isdigit() and len(text) <= max_digits
    return int(text) if is_number else None


def convert(value: typing.Any, value_type: type[ValueT]) -> ValueT:
    """Returns a decoded value as another type.

    Raises:
        DecodingError: the value is not one of that type.
    """
    try:
        return msgspec.convert(value, value_type)
    except (
        msgspec.MsgspecError,
        UnicodeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise DecodingError(str(error)) from error


def _check_depth(content: bytes) -> None:
    """Raises `DecodingError` if a JSON document is nested too deeply."""
    # Brackets inside strings count only in this first, cheaper test.
    if _may_be_deep(content) and _may_be_deep(_STRING.sub(b"", content)):
        raise DecodingError(f"nested more than {MAX_DEPTH} levels deep")


def _may_be_deep(content: bytes) -> bool:
    brackets = content.translate(None, _OTHER_BYTES)
    if len(brackets) <= MAX_DEPTH:
        return False
    steps = (1 if bracket in b"[{" else -1 for bracket in brackets)
    return any(depth > MAX_DEPTH for depth in itertools.accumulate(steps))
