"""Guards against calls of peers that take the memory of a daemon."""

import subprocess
import sys

import msgspec
import pytest

TIMEOUT_SECONDS = 60


@pytest.fixture(scope="module")
def result():
    completed = subprocess.run(
        [sys.executable, "-m", "arbutuscove.peers.tests.bounds"],
        capture_output=True,
        timeout=TIMEOUT_SECONDS,
        check=True,
    )
    return msgspec.json.decode(completed.stdout)


def test_large_request_is_refused(result):
    """Guards against a message that is held whole, whatever its size."""
    assert result["large"] == ["RESOURCE_EXHAUSTED", 0]
    assert result["small"][0] == "OK"


def test_calls_are_bounded(result):
    """Guards against calls that wait for a greenlet without a bound.

    Those of one connection alone are fewer than all.
    """
    assert result["refused_of_one"] == 0
    assert result["refused_of_all"] > 0
    assert result["afterwards"] == ["OK", 1]
