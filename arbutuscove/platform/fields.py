"""Values of the header fields of callers' requests."""

import datetime
import re

from arbutuscove.catalog import model as catalog_model
from arbutuscove.platform import headers

# Further parts of a prompt are not tracked.
MAX_PROMPT_PARTS = 128
MAX_PART_ID_CHARS = 64
# Larger values of callers are not used.
MILLISECONDS = re.compile("[0-9]{1,13}")
TOKENS = re.compile(" *[0-9]{1,9} *")


def parse_timeout(
    headers_by_name: dict[str, str], route: catalog_model.Route
) -> datetime.timedelta:
    """Returns the shorter of the time-outs of the caller and of the route."""
    text = headers_by_name.get(headers.DEADLINE.lower(), "")
    if not MILLISECONDS.fullmatch(text):
        return route.timeout
    return min(route.timeout, datetime.timedelta(milliseconds=int(text)))


def parse_token_counts(headers_by_name: dict[str, str]) -> tuple[int, int]:
    """Returns prompt and maximum answer tokens, zeros if not stated."""
    prompt, _, answer = headers_by_name.get(
        headers.TOKEN_COUNTS.lower(), ""
    ).partition(",")
    if not (TOKENS.fullmatch(prompt) and TOKENS.fullmatch(answer)):
        return 0, 0
    return int(prompt), int(answer)


def parse_prompt_parts(headers_by_name: dict[str, str]) -> tuple[str, ...]:
    """Returns the ids of all parts of the prompt but the last one."""
    text = headers_by_name.get(headers.PROMPT_PREFIX.lower(), "")
    parts = [entry.partition(":")[0].strip() for entry in text.split(",")]
    return tuple(
        part
        for part in parts[:-1][:MAX_PROMPT_PARTS]
        if 0 < len(part) <= MAX_PART_ID_CHARS
    )
