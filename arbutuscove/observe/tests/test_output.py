"""Guards against a daemon that blocks on the reader of its log."""

import datetime
import os

import gevent
import msgspec
import pytest

from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import output as output_module


@pytest.fixture(name="pipe")
def pipe_fixture():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_lines(reader):
    data = os.read(reader, 1 << 20)
    return [msgspec.json.decode(line) for line in data.splitlines()]


def test_output_writes_each_message_as_a_line(pipe):
    """Guards against log lines that a reader cannot parse."""
    output = output_module.LineOutput(pipe[1], clock_module.ManualClock())
    output.start()
    output.enqueue({"message_type": "a", "task_uuid": "x", "value": {1, 2}})
    gevent.sleep(0.01)
    (line,) = read_lines(pipe[0])
    assert line["message_type"] == "a"
    assert "task_uuid" not in line
    output.stop()


def test_output_never_waits_for_its_reader(pipe):
    """Guards against a daemon that blocks on a full pipe."""
    clock = clock_module.ManualClock()
    output = output_module.LineOutput(pipe[1], clock)
    output.start()
    for _ in range(4 * output_module.MAX_QUEUED_LINES):
        clock.advance(datetime.timedelta(milliseconds=10))
        output.enqueue({"message_type": "x" * 200})
        gevent.sleep(0)
    output.stop()


def test_output_is_bounded_in_rate_and_says_what_it_dropped(pipe):
    """Guards against logging that uses too much CPU time under load."""
    clock = clock_module.ManualClock()
    output = output_module.LineOutput(pipe[1], clock)
    for number in range(int(output_module.BURST_LINES) + 5):
        output.enqueue({"number": number})
    clock.advance(datetime.timedelta(seconds=1))
    output.enqueue({"number": -1})
    output.start()
    gevent.sleep(0.01)
    lines = read_lines(pipe[0])
    assert len(lines) == output_module.BURST_LINES + 1
    assert lines[-1]["lines_dropped"] == 5
    output.stop()


def test_lines_of_callers_bytes_are_bounded(pipe):
    """Guards against long values of callers that fill the memory or the disk.

    Nobody reads here, so that all lines stay in the process.
    """
    clock = clock_module.ManualClock()
    output = output_module.LineOutput(pipe[1], clock)
    for _ in range(output_module.MAX_QUEUED_LINES):
        clock.advance(datetime.timedelta(milliseconds=10))
        output.enqueue({"request_id": "x" * 28_000, "outcome": "no_route"})
        output.enqueue({"nested": [{"name": "\u00e4" * 28_000}], "outcome": 1})
    sizes = [len(line) for line in output._lines]
    assert len(sizes) == output_module.MAX_QUEUED_LINES
    assert max(sizes) <= 4096
    for line in list(output._lines)[:2]:
        assert "outcome" in msgspec.json.decode(line)
    output._lines.clear()


def test_end_of_a_long_text_is_kept(pipe):
    """Guards against tracebacks without the error that they are about."""
    output = output_module.LineOutput(pipe[1], clock_module.ManualClock())
    output.enqueue({"traceback": "begin" + "x" * 28_000 + "the error"})
    (line,) = output._lines
    text = msgspec.json.decode(line)["traceback"]
    assert text.startswith("begin")
    assert text.endswith("the error")
    output._lines.clear()
