"""Structured logs: one JSON object per line on standard error."""

import sys

import eliot


def configure(process: str) -> None:
    """Writes log messages to standard error, with the process name.

    Args:
        process: the name of this process, added to each message.
    """
    eliot.add_global_fields(process=process)
    eliot.to_file(sys.stderr)
