"""Faulty upstream, for tests of how daemons react to invalid answers.

It writes raw bytes to the socket, so that it can send what no HTTP server
would: endless heads and bodies, single bytes at intervals, answers to other
requests. `answer_completely` and `answer_stream` are the behaviours without a
fault; only the latter goes on after Last-Event-Id. `FAULTY_ANSWERS` and
`FAULTY_STREAMS` list the faulty ones.
"""

import enum
import re
import struct
import typing
from collections import abc

import gevent
from gevent import server
from gevent import socket

REQUEST_ID = re.compile(rb"X-Request-Id: ?([^\r\n]*)", re.IGNORECASE)
LAST_EVENT_ID = re.compile(rb"Last-Event-Id: ?([0-9]+)", re.IGNORECASE)
STAMP = b"X-Server-Stamp: s\r\n"
EVENTS = tuple(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
PIECE_BYTES = 16384  # sent at once by endless behaviours
PAUSE_SECONDS = 0.05  # between pieces of slow behaviours
# Limit per request. It makes the test of a daemon that reads without bounds
# fail before the machine runs out of memory.
MAX_SENT_BYTES = 64 * 1024 * 1024


def build_head(request_id: bytes, *fields: bytes) -> bytes:
    """Returns the head of an answer with a server stamp.

    Args:
        request_id: Request that the answer claims to belong to.
        *fields: Further header lines.
    """
    all_fields = (b"X-Request-Id: " + request_id, *fields)
    lines = b"".join(field + b"\r\n" for field in all_fields)
    return b"HTTP/1.1 200 OK\r\n" + STAMP + lines + b"\r\n"


def build_chunk(data: bytes) -> bytes:
    """Returns data encoded as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = b"Transfer-Encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
NO_LINGER = struct.pack("ii", 1, 0)  # a close then resets the connection


class Ending(enum.Enum):
    """How an upstream ends a connection, FIN or RST."""

    CLOSE = "close"
    RESET = "reset"


# Bytes to send, seconds to wait, or how to end the connection.
Pieces = abc.Iterator[bytes | float | Ending]


def _stream(request_id: bytes, events: abc.Iterable[bytes]) -> Pieces:
    yield build_head(request_id, CHUNKED)
    for event in events:
        yield build_chunk(event)
        yield PAUSE_SECONDS / 10


def answer_completely(request_id: bytes) -> Pieces:
    """Sends a complete answer."""
    yield build_head(request_id, b"Content-Length: 5") + b"whole"


def answer_stream(request_id: bytes) -> Pieces:
    """Sends a complete stream of all events."""
    yield from _stream(request_id, EVENTS)
    yield LAST_CHUNK


def answer_rest(request_id: bytes, last_event: int) -> Pieces:
    """Sends a complete stream of the events after one."""
    yield from _stream(request_id, EVENTS[last_event:])
    yield LAST_CHUNK


def send_endless_line(request_id: bytes) -> Pieces:
    """Sends one endless header line."""
    yield b"HTTP/1.1 200 OK\r\nX-Line: "
    while True:
        yield b"a" * PIECE_BYTES


def send_endless_head(request_id: bytes) -> Pieces:
    """Sends endlessly many header lines."""
    yield b"HTTP/1.1 200 OK\r\n"
    while True:
        yield b"X-Line: a\r\n" * (PIECE_BYTES // 11)


def send_endless_information(request_id: bytes) -> Pieces:
    """Sends endlessly many informational answers (status 100)."""
    while True:
        yield b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE_BYTES // 25)


def send_endless_event(request_id: bytes) -> Pieces:
    """Sends one endless event."""
    yield build_head(request_id, CHUNKED)
    while True:
        yield build_chunk(b"data: " + b"a" * PIECE_BYTES)


def send_endless_trailer(request_id: bytes) -> Pieces:
    """Sends an answer with an endless trailer."""
    yield build_head(request_id, CHUNKED) + build_chunk(b"whole") + b"0\r\n"
    while True:
        yield b"X-Line: a\r\n" * (PIECE_BYTES // 11)


def send_endless_extension(request_id: bytes) -> Pieces:
    """Sends a chunk with an endless extension."""
    yield build_head(request_id, CHUNKED) + b"5;a="
    while True:
        yield b"a" * PIECE_BYTES


def send_endless_foreign_answer(request_id: bytes) -> Pieces:
    """Sends an endless answer to another request."""
    yield build_head(b"another", CHUNKED)
    while True:
        yield build_chunk(b"a" * PIECE_BYTES)


def send_foreign_answers(request_id: bytes) -> Pieces:
    """Sends endlessly many answers to another request."""
    while True:
        yield build_head(b"another", b"Content-Length: 5") + b"other"


def send_bytes_slowly(request_id: bytes) -> Pieces:
    """Starts a stream, then sends single bytes that never complete an event."""
    yield from _stream(request_id, EVENTS[:2])
    while True:
        yield build_chunk(b"d")
        yield PAUSE_SECONDS


def send_comments(request_id: bytes) -> Pieces:
    """Starts a stream, then sends only comments, which are not events."""
    yield from _stream(request_id, EVENTS[:2])
    while True:
        yield build_chunk(b":\n\n")
        yield PAUSE_SECONDS


def send_endless_comments(request_id: bytes) -> Pieces:
    """Starts a stream, then sends comments without a pause."""
    yield from _stream(request_id, EVENTS[:2])
    while True:
        yield build_chunk(b":\n\n") * 1000


def end_stream_within_event(request_id: bytes) -> Pieces:
    """Sends a properly terminated body that ends within an event."""
    yield from _stream(request_id, (*EVENTS[:2], EVENTS[2][:-3]))
    yield LAST_CHUNK


def answer_unframed(request_id: bytes) -> Pieces:
    """Sends a complete answer without a length, and ends the connection."""
    yield build_head(request_id) + b"whole"
    yield Ending.CLOSE


def _stream_unframed(request_id: bytes, events: abc.Iterable[bytes]) -> Pieces:
    yield build_head(request_id)
    for event in events:
        yield event
        yield PAUSE_SECONDS / 10
    yield Ending.CLOSE


def answer_stream_unframed(request_id: bytes) -> Pieces:
    """Sends a complete stream without framing, and ends the connection."""
    yield from _stream_unframed(request_id, EVENTS)


def end_unframed_stream_within_event(request_id: bytes) -> Pieces:
    """Ends the connection of a stream without framing within an event."""
    yield from _stream_unframed(request_id, (*EVENTS[:2], EVENTS[2][:-3]))


def end_unframed_stream_before_events(request_id: bytes) -> Pieces:
    """Ends the connection of a stream without framing before any event."""
    yield from _stream_unframed(request_id, ())


def answer_with_foreign_id(request_id: bytes) -> Pieces:
    """Sends a stamped answer of the same length to another request."""
    yield build_head(b"another", b"Content-Length: 5") + b"other"


def answer_without_id(request_id: bytes) -> Pieces:
    """Sends a stamped answer without a request identifier."""
    yield b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 5\r\n\r\nother"


Behaviour = abc.Callable[[bytes], Pieces]
# Statuses that no final answer has; 101 would need a request for it.
INVALID_STATUSES = (b"000", b"099", b"101", b"20", b"600", b"999")


def build_status_answer(status: bytes) -> Behaviour:
    """Returns a behaviour that answers with a status and keeps the connection.

    Args:
        status: Three digits, or what stands in their place.
    """

    def answer(request_id: bytes) -> Pieces:
        head = build_head(request_id, b"Content-Length: 5")
        yield head.replace(b"200 OK", status + b" -", 1) + b"whole"

    return answer


FAULTY_ANSWERS: tuple[Behaviour, ...] = (
    send_endless_line,
    send_endless_head,
    send_endless_information,
    send_endless_trailer,
    send_endless_extension,
    send_endless_foreign_answer,
    send_foreign_answers,
    answer_with_foreign_id,
    answer_without_id,
)
FAULTY_STREAMS: tuple[Behaviour, ...] = (
    send_endless_line,
    send_endless_head,
    send_endless_information,
    send_endless_event,
    send_endless_foreign_answer,
    send_bytes_slowly,
    send_comments,
    send_endless_comments,
    end_stream_within_event,
    end_unframed_stream_within_event,
    end_unframed_stream_before_events,
)


class Upstream:
    """Server on loopback that applies one behaviour to each request.

    Attributes:
        requests: Number of requests received.
        sent: Number of bytes sent.
        port: TCP port that it listens on.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.requests = 0
        self.sent = 0
        self._behaviour = behaviour
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    def stop(self) -> None:
        """Stops listening and kills handlers that run for 0.1 s more."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock: socket.socket, _: typing.Any) -> None:
        try:
            while data := sock.recv(65536):
                self.requests += 1
                match = REQUEST_ID.search(data)
                request_id = b"" if match is None else match.group(1)
                pieces = self._behaviour(request_id)
                last_event = LAST_EVENT_ID.search(data)
                if last_event and self._behaviour is answer_stream:
                    pieces = answer_rest(request_id, int(last_event.group(1)))
                self._send(sock, pieces)
        except OSError:
            return  # the daemon closed the connection

    def _send(self, sock: socket.socket, pieces: Pieces) -> None:
        initial = self.sent
        for piece in pieces:
            if isinstance(piece, Ending):
                _end_connection(sock, piece)
                return
            if isinstance(piece, float):
                gevent.sleep(piece)
                continue
            sock.sendall(piece)
            self.sent += len(piece)
            if self.sent - initial > MAX_SENT_BYTES:
                return


def _end_connection(sock: socket.socket, ending: Ending) -> None:
    if ending is Ending.CLOSE:
        sock.shutdown(socket.SHUT_RDWR)
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    sock.close()
