"""Output of log lines that never blocks the daemon.

Lines are added to a bounded queue. A separate greenlet writes them as fast as
the reader of the output consumes them. Lines above a rate limit, and lines
that arrive while the queue is full, are dropped and counted; the next line
that is queued reports the number of dropped lines.
"""

import collections
import datetime
import os
import typing

import gevent
import msgspec
from gevent import event
from gevent import socket

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "log-output"
MAX_QUEUED_LINES = 2000
LINES_PER_SECOND = 300.0  # refill rate of the token bucket
BURST_LINES = 1000.0  # capacity of the token bucket
STOP_TIMEOUT = datetime.timedelta(milliseconds=200)
WRITE_SIZE_BYTES = 65536  # at most, per write
# Longer lines are shortened, since values of callers may be in them: the queue
# takes 8 MB at most.
MAX_LINE_BYTES = 4096
# Of a value in a line that is shortened.
BEGIN_CHARS = 256
END_CHARS = 768  # a traceback ends with its error
# Fields that add no information to the others of a line.
OMITTED_FIELDS = frozenset({"task_uuid", "task_level"})


class LineOutput(services.BaseService):
    """Log destination that writes each message as a line of JSON.

    Args:
        descriptor: the file descriptor to write to; it is made non-blocking.
        clock: the clock for the rate limit.
    """

    def __init__(self, descriptor: int, clock: clock_module.Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines: collections.deque[bytes] = collections.deque()
        self._has_lines = event.Event()
        self._tokens = BURST_LINES
        self._refilled_at = clock.monotonic()
        self._dropped_count = 0
        self._greenlet: gevent.Greenlet | None = None

    def start(self, kernel: services.Kernel | None = None) -> None:
        """Starts writing."""
        os.set_blocking(self._descriptor, False)
        self._greenlet = gevent.spawn(self._run_writer)

    def stop(self) -> None:
        """Stops after writing what the reader accepts within `STOP_TIMEOUT`."""
        if self._greenlet is not None:
            self._greenlet.kill()
        with gevent.Timeout(STOP_TIMEOUT.total_seconds(), False):
            self._write_queued()

    def enqueue(self, message: dict[str, typing.Any]) -> None:
        """Enqueues a message, or drops it above the rate or queue limit."""
        if (
            len(self._lines) >= MAX_QUEUED_LINES
            or not self._try_acquire_token()
        ):
            self._dropped_count += 1
            return
        fields = {
            key: value
            for key, value in message.items()
            if key not in OMITTED_FIELDS
        }
        if self._dropped_count:
            fields["lines_dropped"] = self._dropped_count
            self._dropped_count = 0
        line = msgspec.json.encode(fields, enc_hook=str) + b"\n"
        if len(line) > MAX_LINE_BYTES:
            shortened = {key: _shorten(fields[key]) for key in fields}
            line = msgspec.json.encode(shortened, enc_hook=str) + b"\n"
        if len(line) > MAX_LINE_BYTES:
            self._dropped_count += 1
            return
        self._lines.append(line)
        self._has_lines.set()

    def _try_acquire_token(self) -> bool:
        now = self._clock.monotonic()
        elapsed_seconds = (now - self._refilled_at).total_seconds()
        self._refilled_at = now
        self._tokens = min(
            BURST_LINES, self._tokens + elapsed_seconds * LINES_PER_SECOND
        )
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def _run_writer(self) -> None:
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            self._write_queued()

    def _write_queued(self) -> None:
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._descriptor, data[:WRITE_SIZE_BYTES])
            except BlockingIOError:
                socket.wait_write(self._descriptor)
                continue
            except OSError:
                # The reader has closed its end, so no error can be reported.
                self._lines.clear()
                return
            if written < len(data):
                self._lines[0] = data[written:]
            else:
                self._lines.popleft()


def _shorten(value: typing.Any) -> typing.Any:
    """Returns a short value as it is, of others the begin and the end."""
    text = value
    if not isinstance(value, str):
        text = msgspec.json.encode(value, enc_hook=str).decode()
    if len(text) <= BEGIN_CHARS + END_CHARS:
        return value
    return f"{text[:BEGIN_CHARS]} ... {text[-END_CHARS:]}"
