"""Extraction of the steps of a request from log files of daemons."""

import datetime
import typing
from collections import abc

import msgspec

from arbutuscove.observe import journal

# Log field with the name of the daemon that wrote the line.
DAEMON_FIELD = "process"


def find_steps(
    lines: abc.Iterable[bytes], request_id: str
) -> list[dict[str, typing.Any]]:
    """Returns the steps of a request that log lines record, oldest first.

    Lines may come from several daemons in any order. Text before the JSON
    object of a line is ignored, and so are lines without a JSON object.

    Args:
        lines: Lines of the logs.
        request_id: Identity of the request.

    Returns:
        Steps with `time`, `step` and `detail`, as in an `Explanation`.

    Example:
        >>> line = b'{"request_id":"7a","running":4,"process":"d1"}'
        >>> find_steps([line, b"no object"], "7a")[0]["detail"]
        'd1: running=4'
    """
    steps = []
    for line in lines:
        message = _parse_message(line)
        if message.get("request_id") != request_id:
            continue
        fields = " ".join(
            f"{key}={value}"
            for key, value in message.items()
            if key not in journal.LOG_FIELDS
        )
        timestamp = float(message.get("timestamp", 0.0))
        time = datetime.datetime.fromtimestamp(timestamp, datetime.UTC)
        steps.append(
            {
                "time": time.isoformat(timespec="milliseconds"),
                "step": str(message.get("message_type", "")),
                "detail": f"{message.get(DAEMON_FIELD, '')}: {fields}",
            }
        )
    return sorted(steps, key=lambda step: step["time"])


def _parse_message(line: bytes) -> dict[str, typing.Any]:
    start = line.find(b"{")
    if start < 0:
        return {}
    try:
        message = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return {}
    return message if isinstance(message, dict) else {}
