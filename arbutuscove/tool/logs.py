"""Steps of a request in log files of daemons."""

import datetime
import typing
from collections import abc

import msgspec

from arbutuscove.observe import journal

# Field that says which daemon wrote a line.
DAEMON_FIELD = "process"


def find_steps(
    lines: abc.Iterable[bytes], request_id: str
) -> list[dict[str, typing.Any]]:
    """Returns what log lines say of a request, oldest first.

    Lines may come from several daemons in any order. What stands before the
    JSON object of a line is passed over, as are lines without one.

    Example:
        >>> line = b'{"request_id":"7a","running":4,"process":"d1"}'
        >>> find_steps([line, b"no object"], "7a")[0]["detail"]
        'd1: running=4'
    """
    found = []
    for line in lines:
        message = _read_message(line)
        if message.get("request_id") != request_id:
            continue
        fields = " ".join(
            f"{key}={value}"
            for key, value in message.items()
            if key not in journal.LOG_FIELDS
        )
        stamp = float(message.get("timestamp", 0.0))
        time = datetime.datetime.fromtimestamp(stamp, datetime.UTC)
        found.append(
            {
                "time": time.isoformat(timespec="milliseconds"),
                "step": str(message.get("message_type", "")),
                "detail": f"{message.get(DAEMON_FIELD, '')}: {fields}",
            }
        )
    return sorted(found, key=lambda step: step["time"])


def _read_message(line: bytes) -> dict[str, typing.Any]:
    begin = line.find(b"{")
    if begin < 0:
        return {}
    try:
        message = msgspec.json.decode(line[begin:])
    except msgspec.DecodeError:
        return {}
    return message if isinstance(message, dict) else {}
