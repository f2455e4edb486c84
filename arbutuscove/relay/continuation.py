"""Whether an answer goes on with a stream that another upstream began."""

import dataclasses
import re

from arbutuscove.relay import replies

EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"
# An event has a few tokens; a faulty upstream may never end one.
MAX_EVENT_BYTES = 65536
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\n]*)")
ERROR_EVENT = re.compile(rb"(?:^|\n)event: ?error\s*(?:\n|$)")
# Longer ids are compared as text.
MAX_NUMBER_DIGITS = 18
# Ids that rose by one each time, after which a larger rise shows a gap.
MIN_SINGLE_RISES = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Position:
    """Where a stream stands.

    `event_id` is the id of the last event that has one, and `is_known` says
    whether that is the last event. `single_rises` is how often an id was by one
    larger than the one before; None once it was not.
    """

    event_id: str = ""
    is_known: bool = True
    single_rises: int | None = 0

    def advance(self, events: bytes) -> "Position":
        r"""Returns the position after complete events.

        Example:
            >>> Position().advance(b"id: 3\n\nid: 4\n\n")
            Position(event_id='4', is_known=True, single_rises=1)
        """
        event_id, single_rises = self.event_id, self.single_rises
        for found in EVENT_ID.findall(events):
            following = decode_id(found)
            if event_id and single_rises is not None:
                is_single = _is_next(following, event_id)
                single_rises = single_rises + 1 if is_single else None
            event_id = following
        return Position(
            event_id=event_id,
            is_known=_ends_with_id(events, self.is_known),
            single_rises=single_rises,
        )

    def shows_gap(self, event_id: str) -> bool:
        """Returns whether an id shows that events before it are missing."""
        return (
            self.single_rises is not None
            and self.single_rises >= MIN_SINGLE_RISES
            and not _is_next(event_id, self.event_id)
        )


def is_continuation(first: replies.Reply, following: replies.Reply) -> bool:
    """Returns whether an answer may go on with a stream, judged by its head.

    Args:
        first: the head of the answer that began the stream.
        following: the head of the other answer.
    """
    kind = _read_kind(first)
    return (
        following.status == 200
        and kind in ("", EVENT_STREAM)
        and _read_kind(following) == kind
        and _read_encoding(following) == _read_encoding(first)
    )


def find_fault(events: bytes, position: Position, has_joined: bool) -> str:
    """Returns why complete events cannot go on with a stream, "" if they can.

    Args:
        events: complete events of one answer, as they arrived.
        position: where the caller's stream stands.
        has_joined: whether earlier events of this answer went on with it.
    """
    last_event = position.event_id
    for event in events.split(EVENT_END)[:-1]:
        if is_comment(event):
            continue
        found = EVENT_ID.findall(event)
        if not has_joined:
            if not found:
                return "the first event has no id"
            if ERROR_EVENT.search(event):
                return "the first event is an error"
        if found:
            event_id = decode_id(found[-1])
            if not _is_later(event_id, last_event):
                return "an event comes twice"
            if not has_joined and position.shows_gap(event_id):
                return "events are missing"
            last_event = event_id
        has_joined = True
    return ""


def is_comment(event: bytes) -> bool:
    r"""Returns whether an event carries nothing but comments.

    Example:
        >>> is_comment(b": wait"), is_comment(b": wait\ndata: x")
        (True, False)
    """
    lines = event.split(b"\n")
    return all(not line or line.startswith(b":") for line in lines)


def decode_id(data: bytes) -> str:
    """Returns the id of an event as it is sent in Last-Event-Id."""
    return data.decode("latin-1").strip()


def _ends_with_id(events: bytes, before: bool) -> bool:
    """Returns whether the last event has an id, `before` without an event."""
    for event in reversed(events.split(EVENT_END)[:-1]):
        if not is_comment(event):
            return EVENT_ID.search(event) is not None
    return before


def _read_kind(reply: replies.Reply) -> str:
    return _get_field(reply, "content-type").partition(";")[0].strip()


def _read_encoding(reply: replies.Reply) -> str:
    return _get_field(reply, "content-encoding")


def _get_field(reply: replies.Reply, name: str) -> str:
    """Returns a header in lower case, empty if it is missing."""
    for key, value in reply.fields:
        if key.lower() == name:
            return value.lower()
    return ""


def _is_later(event_id: str, last_event: str) -> bool:
    if _is_number(event_id) and _is_number(last_event):
        return int(event_id) > int(last_event)
    return event_id != last_event


def _is_next(event_id: str, last_event: str) -> bool:
    return (
        _is_number(event_id)
        and _is_number(last_event)
        and int(event_id) == int(last_event) + 1
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS
