"""Guards against documents that end whoever decodes them."""

import typing

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from arbutuscove.kernel import decoding

ANY_JSON = decoding.JsonDecoder(dict[str, typing.Any], 1024 * 1024)


def nest(levels):
    return b'{"a":' + b"[" * levels + b"]" * levels + b"}"


def test_nesting_is_limited():
    """Guards against a value that later code cannot walk through."""
    assert ANY_JSON.decode(nest(decoding.MAX_DEPTH - 1))
    with pytest.raises(decoding.DecodingError):
        ANY_JSON.decode(nest(decoding.MAX_DEPTH))


def test_brackets_in_strings_are_not_nesting():
    """Guards against a sound document that is rejected for its text."""
    document = {'a"': '\\"' + "[{" * 100, "b": [[]] * 100}
    assert ANY_JSON.decode(msgspec.json.encode(document)) == document


def test_size_is_limited():
    """Guards against a document that costs more time than its worth."""
    with pytest.raises(decoding.DecodingError):
        decoding.JsonDecoder(str, 4).decode(b'"abc"')
    with pytest.raises(decoding.DecodingError):
        decoding.MessagePackDecoder(str, 3).decode(b"\xa3abc")


@hypothesis.given(strategies.binary(max_size=64))
def test_any_bytes_are_a_value_or_an_error(content):
    """Guards against a decoder that fails in an unexpected way."""
    for decoder in (
        ANY_JSON,
        decoding.MessagePackDecoder(tuple[decoding.Count, ...], 64),
    ):
        try:
            decoder.decode(content)
        except decoding.DecodingError as error:
            assert str(error)


def test_deep_message_is_an_error():
    """Guards against a datagram that ends its receiver."""
    with pytest.raises(decoding.DecodingError):
        decoding.MessagePackDecoder(typing.Any, 10**6).decode(b"\x91" * 10**5)
    with pytest.raises(decoding.DecodingError):
        ANY_JSON.decode(b'{"a":' * 10**5)


@pytest.mark.parametrize("text", ["a\n", "a\r\nb", "\x00", "\x7f", "x" * 256])
def test_text_has_no_control_characters(text):
    """Guards against a name that ends a line of a head or of a log."""
    for text_type in (decoding.Text, decoding.Name):
        with pytest.raises(decoding.DecodingError):
            decoding.convert(text, text_type)
