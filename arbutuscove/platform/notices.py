"""Decoder of what upstreams say about themselves in the heads of answers."""

import datetime
import re

from arbutuscove.fleet import notices
from arbutuscove.platform import headers
from arbutuscove.transport import connection

_LEAVES = "1"
_UNAVAILABLE_STATUS = 503
_NUMBER = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,9})?")


def decode(parser: connection.ResponseParser) -> notices.Notice:
    """Returns the notice in the head of any answer of an upstream.

    Args:
        parser: the response, whose head is complete.
    """
    pause = None
    if parser.get_code() == _UNAVAILABLE_STATUS:
        pause = _parse_pause(parser.get_header(headers.RETRY_AFTER))
    return notices.Notice(
        leaving=(parser.get_header(headers.LEAVING) or "").strip() == _LEAVES,
        pause=pause,
        warming_left=_parse_left(parser.get_header(headers.COLD)),
        sender=parser.get_header(headers.INSTANCE) or "",
    )


def _parse_left(text: str | None) -> datetime.timedelta | None:
    """Returns a time in milliseconds, None if it is missing or malformed."""
    if text is None or not _NUMBER.fullmatch(text.strip()):
        return None
    return datetime.timedelta(milliseconds=float(text))


def _parse_pause(text: str | None) -> datetime.timedelta | None:
    """Returns a time in seconds, None if it is missing or malformed."""
    if text is None or not _NUMBER.fullmatch(text.strip()):
        return None
    pause = datetime.timedelta(seconds=float(text))
    return min(pause, notices.MAX_PAUSE) if pause else None
