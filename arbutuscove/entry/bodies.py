"""Bodies of callers' requests, whose memory is bounded."""

import datetime
import math
import typing

import gevent
from gevent import pywsgi

from arbutuscove.admission import work as work_module
from arbutuscove.entry import memory
from arbutuscove.entry import places
from arbutuscove.entry import refusals
from arbutuscove.entry import sockets
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import turns
from arbutuscove.upstreams import errors

RETRY_AFTER = datetime.timedelta(seconds=2)
READ_SIZE_BYTES = turns.TURN_BYTES
# Body bytes in chunks that are read in one turn: chunks may have a byte each,
# which costs some microseconds.
CHUNKED_READ_SIZE_BYTES = 1024
# Sizes and ends of chunks, extensions and trailers that are read in one turn.
# Chunks of one byte take five bytes more each.
MAX_FRAMING_BYTES = 16384
BLOCK_BYTES = 65536  # of a body that arrives
# A body that is refused unread is still read if it is small and comes at once,
# so that the connection stays usable.
MAX_DISCARDED_BYTES = turns.TURN_BYTES
DISCARD_TIMEOUT = datetime.timedelta(milliseconds=100)


class AnswerMemory:
    """Memory of an answer that is held as a whole.

    Args:
        reservation: that of the request's body; None for no bound.
    """

    def __init__(self, reservation: memory.Reservation | None) -> None:
        self._reservation = reservation
        self._size = 0

    def reserve(self, size: int) -> None:
        """Reserves bytes that have arrived.

        Raises:
            NoMemoryError: there is no room for them.
        """
        if self._reservation is None:
            return
        try:
            self._reservation.extend(size)
        except memory.BudgetFullError as error:
            raise errors.NoMemoryError(str(error)) from error
        self._size += size

    def drop(self) -> None:
        """Gives the bytes of an answer back that is not used."""
        if self._reservation is not None:
            self._reservation.shrink(self._size)
        self._size = 0


def build_answer_refusal() -> work_module.Refusal:
    """Returns the failure of a call whose answer there was no memory for.

    Not 503, since the call may have run.
    """
    return work_module.Refusal(
        status=502,
        code="answer_memory_full",
        message="there is no memory for the answer",
        retry_after=RETRY_AFTER,
    )


class _FramingError(ValueError):
    """The chunks of a body have more framing than is allowed."""


class _ChunkReader:
    """Reads a chunked body, whose framing is bounded.

    Extensions and trailers may come without an end, and they are read byte by
    byte without a pause as long as bytes are ready.
    """

    def __init__(self, stream: typing.Any) -> None:
        self._stream = stream
        self._left = 0

    def begin_turn(self, size: int) -> None:
        """Allows `size` bytes of the body to be read, with their framing."""
        self._left = size + MAX_FRAMING_BYTES

    def read(self, size: int) -> bytes:
        """Returns up to `size` bytes.

        Raises:
            _FramingError: the turn allows no more bytes.
        """
        self._left -= size
        if self._left < 0:
            raise _FramingError("too many bytes beside those of the body")
        data: bytes = self._stream.read(size)
        return data


class RequestBody(pywsgi.Input):
    """A request body with a read deadline, left unread if it is refused.

    Its bytes are reserved in the budget of the server, and given back when the
    request has ended. Until it is complete, its connection may lose its place.
    """

    def __init__(
        self,
        handler: typing.Any,
        stream: typing.Any,
        chunked: bool,
        budget: memory.ByteBudget | None = None,
        place: places.Place | None = None,
    ) -> None:
        self._place = place
        self._chunks = _ChunkReader(stream)
        super().__init__(
            self._chunks if chunked else stream,
            handler.content_length,
            handler.socket,
            chunked,
        )
        self._handler = handler
        self._clock = clock_module.SystemClock()
        self._deadline: datetime.timedelta | None = None
        self._arriving: list[bytearray] = []
        self._reservation: memory.Reservation | None = None
        if budget is not None:
            self._reservation = budget.open(self._give_way)
        if not handler.headers.get("Expect"):
            self.socket = None  # the client expects no interim response

    def read(self, length: int | None = None) -> bytes:
        """Returns up to `length` bytes of the body; None reads to its end.

        Raises:
            BadRequestError: the body did not arrive in time, or there is no
                memory for it.
        """
        if self._deadline is None:
            self._deadline = (
                self._clock.monotonic()
                + self._handler.server.bounds.body_timeout
            )
        left = self._deadline - self._clock.monotonic()
        remaining = max(0.0, left.total_seconds())
        timeout_error = refusals.BadRequestError(
            408, "body_timeout", "the request body did not arrive in time"
        )
        try:
            with gevent.Timeout(remaining, timeout_error):
                self._read_pieces(length)
            if not self.has_unread_bytes():
                self._complete()
            return b"".join(self._arriving)
        finally:
            self._arriving.clear()

    def read_whole(self, limit: int) -> bytes:
        """Returns the body, which holds its memory until the request ends.

        Args:
            limit: most bytes of the body.

        Raises:
            BadRequestError: the body is larger, did not arrive in time, or
                there is no memory for it.
        """
        body = b""
        if (self.content_length or 0) <= limit:
            body = self.read(limit + 1)
        if len(body) > limit or (self.content_length or 0) > limit:
            self.release()
            raise refusals.BadRequestError(
                413, "body_too_large", "the request body is too large"
            )
        return body

    def discard_small(self) -> None:
        """Reads a body that is not needed, if it is small and has arrived."""
        if (self.content_length or 0) > MAX_DISCARDED_BYTES:
            return
        with gevent.Timeout(DISCARD_TIMEOUT.total_seconds(), False):
            try:
                self.read(MAX_DISCARDED_BYTES + 1)
            except (OSError, ValueError, refusals.BadRequestError):
                return

    def hold_answer(self) -> "AnswerMemory":
        """Returns the memory of an answer, held until the request ends."""
        return AnswerMemory(self._reservation)

    def release(self) -> None:
        """Gives the memory of the body and of its answer back."""
        if self._reservation is not None:
            self._reservation.release()

    def _complete(self) -> None:
        if self._reservation is not None:
            self._reservation.complete()
        if self._place is not None:
            self._place.complete()

    def _give_way(self) -> None:
        """Frees the bytes of an incomplete body, and ends its read."""
        self._arriving.clear()
        sockets.stop_reading(self._handler.socket)

    def _read_pieces(self, length: int | None) -> None:
        """Reads the body in pieces, between which other greenlets run."""
        size = READ_SIZE_BYTES
        if self.chunked_input:
            size = CHUNKED_READ_SIZE_BYTES
        turn = turns.Turn()
        left = math.inf if length is None else length
        while left > 0:
            wanted = int(min(size, left))
            if not self.chunked_input:
                unread = (self.content_length or 0) - self.position
                wanted = min(wanted, unread)
            self._reserve(wanted)
            self._chunks.begin_turn(wanted)
            try:
                piece = bytes(super().read(wanted))
            except (OSError, ValueError) as error:
                # The read ends like this, too, if the body has given way.
                self._confirm(0)
                if _is_malformed(error):
                    self._handler.close_connection = True
                    raise refusals.BadRequestError(
                        400, "invalid_request", "the chunks are malformed"
                    ) from error
                raise
            self._confirm(len(piece))
            self._append(piece)
            if not piece or len(piece) < wanted:
                return
            left -= wanted
            # Chunks count as much as they may cost.
            turn.spend(READ_SIZE_BYTES)

    def _append(self, piece: bytes) -> None:
        """Adds bytes to blocks, so that small pieces leave no objects.

        One buffer that grows would be moved again and again, and leave holes
        of all sizes in the memory of the process.
        """
        blocks = self._arriving
        if not blocks or len(blocks[-1]) + len(piece) > BLOCK_BYTES:
            blocks.append(bytearray())
        blocks[-1] += piece

    def _reserve(self, size: int) -> None:
        """Reserves memory for bytes that are about to be read.

        Raises:
            BadRequestError: there is none, or the body has given way.
        """
        if self._reservation is None:
            return
        try:
            self._reservation.add(size)
        except memory.BudgetFullError as error:
            self.release()
            raise _build_memory_error(str(error)) from error

    def _confirm(self, size: int) -> None:
        """Records the arrival of the bytes that were reserved last.

        Raises:
            BadRequestError: the body or its connection has given way.
        """
        if self._place is not None:
            if self._place.is_lost:
                raise _build_place_error()
            self._place.record_bytes(size)
        if self._reservation is None:
            return
        if self._reservation.is_revoked:
            raise _build_memory_error("the request gave way to others")
        self._reservation.record_progress(self._clock.monotonic())

    def has_unread_bytes(self) -> bool:
        """Returns whether part of the body was not read."""
        if self.chunked_input:
            return bool(self.chunk_length != 0)
        return bool(self.position < (self.content_length or 0))

    def _discard(self) -> None:
        """Closes the connection instead of reading the rest of the body.

        The request has ended, so that its memory is given back.
        """
        self.release()
        if self.has_unread_bytes():
            self._handler.close_connection = True
            sockets.linger(
                self._handler.socket,
                is_shutdown_needed=False,
                is_over=lambda: self._place is not None and self._place.is_lost,
            )


def _is_malformed(error: Exception) -> bool:
    """Returns whether a body is malformed, rather than its connection lost."""
    if isinstance(error, ConnectionError | TimeoutError):
        return False
    # Errors of the system have a number, those of the parser may have a text.
    return not isinstance(getattr(error, "errno", None), int)


def _build_memory_error(message: str) -> refusals.BadRequestError:
    return refusals.BadRequestError(503, "memory_full", message, RETRY_AFTER)


def _build_place_error() -> refusals.BadRequestError:
    return refusals.BadRequestError(
        503,
        "too_many_connections",
        "the connection gave way to others",
        RETRY_AFTER,
    )
