"""Frames of a byte stream whose orderly end has to be told from its loss.

A frame is a length (4 bytes, big-endian) and as many bytes. A frame of length
zero is the last one: the sender of the stream has closed it in an orderly way.
"""

import struct

MAX_FRAME_BYTES = 65536

_LENGTH = struct.Struct("!I")
END_FRAME = _LENGTH.pack(0)


class FrameError(ValueError):
    """The bytes are not valid frames."""


class FrameDecoder:
    """Decodes frames; keeps no bytes but those of an incomplete length.

    Attributes:
        is_ended: whether the last frame was decoded.

    Example:
        >>> decoder = FrameDecoder()
        >>> decoder.feed(encode(b"ab") + END_FRAME[:3]), decoder.is_ended
        (b'ab', False)
        >>> decoder.feed(END_FRAME[3:]), decoder.is_ended
        (b'', True)
    """

    def __init__(self) -> None:
        self.is_ended = False
        self._is_invalid = False
        self._length = b""  # as far as it has arrived
        self._remaining = 0  # bytes of the current frame

    def feed(self, data: bytes) -> bytes:
        """Returns the content of the frames in the next bytes.

        Raises:
            FrameError: a frame is too long, or bytes follow the last one, now
                or in an earlier call.
        """
        content = []
        start = 0
        while start < len(data):
            if self._is_invalid or self.is_ended:
                self._fail("bytes follow the last frame")
            if self._remaining:
                piece = data[start : start + self._remaining]
                self._remaining -= len(piece)
                content.append(piece)
            else:
                missing = _LENGTH.size - len(self._length)
                piece = data[start : start + missing]
                self._read_length(piece)
            start += len(piece)
        return b"".join(content)

    def is_between_frames(self) -> bool:
        """Returns whether the last frame is complete and others may follow."""
        return not (self._length or self._remaining or self.is_ended)

    def _read_length(self, piece: bytes) -> None:
        self._length += piece
        if len(self._length) < _LENGTH.size:
            return
        (self._remaining,) = _LENGTH.unpack(self._length)
        self._length = b""
        self.is_ended = self._remaining == 0
        if self._remaining > MAX_FRAME_BYTES:
            self._fail(f"a frame has {self._remaining} bytes")

    def _fail(self, reason: str) -> None:
        # An end that was seen before does not count any more.
        self.is_ended = False
        self._is_invalid = True
        raise FrameError(reason)


def encode(data: bytes) -> bytes:
    """Returns a frame with `data`, from 1 to `MAX_FRAME_BYTES` bytes."""
    return _LENGTH.pack(len(data)) + data
