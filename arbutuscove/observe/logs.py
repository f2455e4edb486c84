"""Structured logs: one JSON object a line on standard error."""

import sys

import eliot


def configure(process: str) -> None:
    """Sends log messages to standard error with the process name."""
    eliot.add_global_fields(process=process)
    eliot.to_file(sys.stderr)
