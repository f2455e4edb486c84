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
