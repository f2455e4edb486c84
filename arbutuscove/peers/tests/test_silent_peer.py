"""Guards against gRPC connections that stay open after a peer is lost."""

import math
import subprocess
import sys

import msgspec
import pytest

from arbutuscove.peers import client
from arbutuscove.peers import server
from arbutuscove.transport.tests import test_silent_loss

TIMEOUT_SECONDS = 60


@pytest.mark.parametrize("lost", ["server", "client"])
def test_silent_peer_is_noticed_as_the_page_says(lost):
    """Guards against calls to a lost peer that fail for a quarter of an hour.

    The lost server is noticed by calls, the lost client by pings.
    """
    completed = subprocess.run(
        [sys.executable, "-m", "arbutuscove.peers.tests.silence", lost],
        capture_output=True,
        timeout=TIMEOUT_SECONDS,
        check=True,
    )
    result = msgspec.json.decode(completed.stdout)
    limits = {
        "client": client.LOSS_TIMEOUT_MS / 1000,
        "server": server.LOSS_TIMEOUT_MS / 1000,
    }
    for side, limit in limits.items():
        assert result[side] == [[str(math.inf), str(limit)]]
    assert result["is_noticed"]
    options = dict(server.SERVER_OPTIONS)
    assert options["grpc.keepalive_permit_without_calls"] == 1
    idle = options["grpc.keepalive_time_ms"] / 1000 + limits["server"]
    page = test_silent_loss.read_page()
    assert page["gRPC, at the caller of a peer"] == (
        "at the next call",
        test_silent_loss.describe(limits["client"]),
    )
    assert page["gRPC, at the called peer"] == (
        test_silent_loss.describe(idle),
        test_silent_loss.describe(limits["server"]),
    )
