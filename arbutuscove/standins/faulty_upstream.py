"""An upstream that misbehaves on order, for tests of what daemons make of it.

It speaks raw bytes, so that it can send what no server would: heads and bodies
without an end, a byte now and then, answers to other requests. `CALM` is what a
sound one does; each other behaviour is listed once here.
"""

import re
import typing
from collections import abc

import gevent
from gevent import server
from gevent import socket

REQUEST_ID = re.compile(rb"X-Request-Id: ?([^\r\n]*)", re.IGNORECASE)
STAMP = b"X-Server-Stamp: s\r\n"
EVENTS = tuple(b"id: %d\ndata: x\n\n" % number for number in range(1, 6))
PIECE_BYTES = 16384  # bytes sent at once by behaviours without end
PAUSE_SECONDS = 0.05  # seconds between pieces of slow behaviours
# What one connection may be sent in all, so that a daemon without bounds ends
# a test with a failure and not with the memory of the machine.
MAX_SENT_BYTES = 64 * 1024 * 1024  # bytes


def build_head(request_id: bytes, *fields: bytes) -> bytes:
    """Returns the head of a signed answer to a request."""
    own = (b"X-Request-Id: " + request_id, *fields)
    lines = b"".join(field + b"\r\n" for field in own)
    return b"HTTP/1.1 200 OK\r\n" + STAMP + lines + b"\r\n"


def build_chunk(data: bytes) -> bytes:
    """Returns a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = b"Transfer-Encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
Pieces = abc.Iterator[bytes | float]


def _stream(request_id: bytes, events: abc.Iterable[bytes]) -> Pieces:
    yield build_head(request_id, CHUNKED)
    for event in events:
        yield build_chunk(event)
        yield PAUSE_SECONDS / 10


def answer_completely(request_id: bytes) -> Pieces:
    """Answers in full."""
    yield build_head(request_id, b"Content-Length: 5") + b"whole"


def answer_stream(request_id: bytes) -> Pieces:
    """Sends all events."""
    yield from _stream(request_id, EVENTS)
    yield LAST_CHUNK


def send_endless_line(request_id: bytes) -> Pieces:
    """Sends one header line without an end."""
    yield b"HTTP/1.1 200 OK\r\nX-Line: "
    while True:
        yield b"a" * PIECE_BYTES


def send_endless_head(request_id: bytes) -> Pieces:
    """Sends header lines without an end."""
    yield b"HTTP/1.1 200 OK\r\n"
    while True:
        yield b"X-Line: a\r\n" * (PIECE_BYTES // 11)


def send_endless_information(request_id: bytes) -> Pieces:
    """Sends informational answers without a final one."""
    while True:
        yield b"HTTP/1.1 100 Continue\r\n\r\n" * (PIECE_BYTES // 25)


def send_endless_event(request_id: bytes) -> Pieces:
    """Sends an event that never ends."""
    yield build_head(request_id, CHUNKED)
    while True:
        yield build_chunk(b"data: " + b"a" * PIECE_BYTES)


def send_endless_trailer(request_id: bytes) -> Pieces:
    """Sends an answer whose trailer never ends."""
    yield build_head(request_id, CHUNKED) + build_chunk(b"whole") + b"0\r\n"
    while True:
        yield b"X-Line: a\r\n" * (PIECE_BYTES // 11)


def send_endless_extension(request_id: bytes) -> Pieces:
    """Sends a chunk whose extension never ends."""
    yield build_head(request_id, CHUNKED) + b"5;a="
    while True:
        yield b"a" * PIECE_BYTES


def send_endless_foreign_answer(request_id: bytes) -> Pieces:
    """Sends an answer to another request that never ends."""
    yield build_head(b"another", CHUNKED)
    while True:
        yield build_chunk(b"a" * PIECE_BYTES)


def send_foreign_answers(request_id: bytes) -> Pieces:
    """Sends answers to other requests, one after the other."""
    while True:
        yield build_head(b"another", b"Content-Length: 5") + b"other"


def send_bytes_slowly(request_id: bytes) -> Pieces:
    """Begins a stream and then sends single bytes that end no event."""
    yield from _stream(request_id, EVENTS[:2])
    while True:
        yield build_chunk(b"d")
        yield PAUSE_SECONDS


def send_comments(request_id: bytes) -> Pieces:
    """Begins a stream and then sends comments, which are no events."""
    yield from _stream(request_id, EVENTS[:2])
    while True:
        yield build_chunk(b":\n\n")
        yield PAUSE_SECONDS


def end_stream_within_event(request_id: bytes) -> Pieces:
    """Ends properly, in the middle of an event."""
    yield from _stream(request_id, (*EVENTS[:2], EVENTS[2][:-3]))
    yield LAST_CHUNK


def answer_with_foreign_id(request_id: bytes) -> Pieces:
    """Answers another request, signed, with an answer of the same length."""
    yield build_head(b"another", b"Content-Length: 5") + b"other"


def answer_without_id(request_id: bytes) -> Pieces:
    """Answers without saying which request."""
    yield b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 5\r\n\r\nother"


Behaviour = abc.Callable[[bytes], Pieces]
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
    end_stream_within_event,
)


class Upstream:
    """Listens on loopback and does the same with each request."""

    def __init__(self, behaviour: Behaviour) -> None:
        self.requests = 0
        self.sent = 0  # bytes
        self._behaviour = behaviour
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.port: int = self._server.server_port

    def stop(self) -> None:
        """Stops listening and ends what is being sent."""
        self._server.stop(timeout=0.1)

    def _serve(self, sock: socket.socket, _: typing.Any) -> None:
        try:
            while data := sock.recv(65536):
                self.requests += 1
                found = REQUEST_ID.search(data)
                name = b"" if found is None else found.group(1)
                self._send(sock, self._behaviour(name))
        except OSError:
            return  # the daemon closed the connection

    def _send(self, sock: socket.socket, pieces: Pieces) -> None:
        before = self.sent
        for piece in pieces:
            if isinstance(piece, float):
                gevent.sleep(piece)
                continue
            sock.sendall(piece)
            self.sent += len(piece)
            if self.sent - before > MAX_SENT_BYTES:
                return
