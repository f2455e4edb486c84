"""Guards against bytes lost, added or taken for an end in frames."""

import struct

import hypothesis
import pytest
from hypothesis import strategies

from arbutuscove.transport import frames


@hypothesis.given(
    payloads=strategies.lists(strategies.binary(min_size=1, max_size=9)),
    cuts=strategies.lists(strategies.integers(1, 7), min_size=1),
)
def test_frames_are_decoded_however_they_are_cut(payloads, cuts):
    """Guards against bytes lost or added where a read ends within a frame."""
    encoded = b"".join(map(frames.encode, payloads)) + frames.END_FRAME
    decoder = frames.FrameDecoder()
    decoded = b""
    position = 0
    while position < len(encoded):
        assert not decoder.is_ended
        size = cuts[position % len(cuts)]
        decoded += decoder.feed(encoded[position : position + size])
        position += size
    assert decoded == b"".join(payloads)
    assert decoder.is_ended


@pytest.mark.parametrize(
    "data",
    [
        struct.pack("!I", frames.MAX_FRAME_BYTES + 1),
        b"\xff" * 4,
        frames.END_FRAME + b"\x00",
        frames.END_FRAME + frames.encode(b"a"),
    ],
)
def test_frames_that_are_odd_are_errors(data):
    """Guards against an answer made of bytes that no carrier sends."""
    decoder = frames.FrameDecoder()
    with pytest.raises(frames.FrameError):
        decoder.feed(data)
    assert not decoder.is_ended
    with pytest.raises(frames.FrameError):
        decoder.feed(frames.END_FRAME)
