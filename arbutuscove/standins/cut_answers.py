"""Answers of upstreams that break off, for tests of what callers receive.

All name the request "r1" and are signed, so that only their end is faulty.
"""

import types
from collections import abc

from arbutuscove.standins import faulty_upstream

# The answer's head up to its framing: it names the request and is signed.
SIGNED = faulty_upstream.build_head(b"r1").removesuffix(b"\r\n")
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
HEADS = {
    "before_status_line": b"",
    "in_protocol": b"HTTP/1.",
    "in_status": b"HTTP/1.1 20",
    "after_status": b"HTTP/1.1 200",
    "in_reason": b"HTTP/1.1 200 O",
    "in_end_of_status_line": b"HTTP/1.1 200 OK\r",
    "after_status_line": b"HTTP/1.1 200 OK\r\n",
    "in_header_name": SIGNED + b"Content-Le",
    "after_header_name": SIGNED + b"Content-Length:",
    "in_length": SIGNED + b"Content-Length: 1",
    "in_length_with_zeros": SIGNED + b"Content-Length: 0",
    "in_end_of_length": SIGNED + b"Content-Length: 0\r",
    "after_length": SIGNED + b"Content-Length: 0\r\n",
    "in_encoding": SIGNED + b"Transfer-Encoding: chunk",
    "after_encoding": SIGNED + faulty_upstream.CHUNKED + b"\r\n",
    "in_other_value": SIGNED + b"Content-Type: text/ev",
    "before_blank_line": SIGNED,
    "in_blank_line": SIGNED + b"\r",
    "in_blank_line_after_length": SIGNED + b"Content-Length: 0\r\n\r",
    "with_bare_line_feeds": SIGNED.replace(b"\r\n", b"\n"),
    "with_bare_line_feeds_and_blank_line": (
        SIGNED.replace(b"\r\n", b"\n") + b"Content-Length: 5\n\nwh"
    ),
    "after_interim_head": INTERIM,
    "in_status_after_interim_head": INTERIM + b"HTTP/1.1 2",
    "in_header_after_interim_head": INTERIM + SIGNED + b"Content-Le",
}
CHUNKED_HEAD = faulty_upstream.build_head(b"r1", faulty_upstream.CHUNKED)
FIRST_CHUNK = faulty_upstream.build_chunk(faulty_upstream.EVENTS[0])
BODIES = {
    "in_body_with_length": (
        faulty_upstream.build_head(b"r1", b"Content-Length: 75")
        + faulty_upstream.EVENTS[0]
    ),
    "with_cut_encoding": SIGNED + b"Transfer-Encoding: chunk\r\n\r\n",
    "before_first_chunk": CHUNKED_HEAD,
    "in_chunk_size": CHUNKED_HEAD + FIRST_CHUNK + b"1",
    "in_chunk_size_with_zeros": CHUNKED_HEAD + FIRST_CHUNK + b"0",
    "in_end_of_chunk_size": CHUNKED_HEAD + FIRST_CHUNK + b"0\r",
    "in_chunk_extension": CHUNKED_HEAD + FIRST_CHUNK + b"0;a=",
    "in_chunk": CHUNKED_HEAD + FIRST_CHUNK[:-6],
    "after_chunk": CHUNKED_HEAD + FIRST_CHUNK,
    "before_trailer": CHUNKED_HEAD + FIRST_CHUNK + b"0\r\n",
    "in_trailer_name": CHUNKED_HEAD + FIRST_CHUNK + b"0\r\nX-Tr",
    "after_trailer": CHUNKED_HEAD + FIRST_CHUNK + b"0\r\nX-T: a\r\n",
    "in_last_line": CHUNKED_HEAD + FIRST_CHUNK + b"0\r\n\r",
}
# Only a reset tells them from complete ones.
UNFRAMED_HEAD = SIGNED + b"\r\n"
UNFRAMED_BODIES = {
    "unframed_before_body": UNFRAMED_HEAD,
    "unframed_after_event": UNFRAMED_HEAD + faulty_upstream.EVENTS[0],
    "unframed_in_event": UNFRAMED_HEAD + faulty_upstream.EVENTS[0][:-1],
}
# What is sent of each answer.
SENT: abc.Mapping[str, bytes] = types.MappingProxyType(
    HEADS | BODIES | UNFRAMED_BODIES
)
# Each answer with each way in which the connection may end.
CASES = tuple(
    (name, ending)
    for name in SENT
    for ending in faulty_upstream.Ending
    if name not in UNFRAMED_BODIES or ending is faulty_upstream.Ending.RESET
)


def break_off(
    sent: bytes, ending: faulty_upstream.Ending
) -> faulty_upstream.Behaviour:
    """Returns a behaviour that sends bytes and ends the connection."""

    def answer(request_id: bytes) -> faulty_upstream.Pieces:
        yield sent
        yield ending

    return answer
