"""Loses one end of a gRPC connection silently, in a process of its own.

In the tests' process gRPC would have to run on gevent. Prints JSON: the times
that the options of both sockets set, and whether the loss was noticed.
"""

import datetime
import sys
import time

import msgspec

from arbutuscove.peers import client
from arbutuscove.peers import peer_pb2
from arbutuscove.peers import server
from arbutuscove.standins import cluster
from arbutuscove.transport.tests import sockets

CALL_TIMEOUT = datetime.timedelta(milliseconds=500)
GIVE_UP_SECONDS = 10.0
SHORT_KEEP_ALIVE_MS = 1000


class Handler:
    """Answers one of the calls."""

    def answer_rows(self):
        return peer_pb2.RowsReply()


def list_times(port, is_server):
    """Returns the times of the sockets of one side."""
    times = set()
    for sock in sockets.list_connected():
        with sock:
            name = sock.getsockname() if is_server else sock.getpeername()
            if name[1] == port:
                times.add(sockets.compute_times(sock))
    return sorted(times)


def lose(port, is_server):
    """Makes one side deaf, so that the other one hears nothing of it."""
    for sock in sockets.list_connected():
        with sock:
            name = sock.getsockname() if is_server else sock.getpeername()
            if name[1] == port:
                sockets.make_silent(sock)


def is_served(peers, address):
    try:
        peers.fetch_rows(address, CALL_TIMEOUT)
    except client.PeerUnreachableError:
        return False
    return True


def wait_until(condition):
    give_up_at = time.monotonic() + GIVE_UP_SECONDS
    while time.monotonic() < give_up_at:
        if condition():
            return True
        time.sleep(0.05)
    return False


def main(lost):
    port = cluster.find_port()
    address = f"127.0.0.1:{port}"
    server.SERVER_OPTIONS = [
        (name, SHORT_KEEP_ALIVE_MS if name == "grpc.keepalive_time_ms" else old)
        for name, old in server.SERVER_OPTIONS
    ]
    handler = Handler()
    served = server.PeerServer(address, handler, handler, handler)
    served.start(None)
    peers = client.PeerClient()
    assert wait_until(lambda: is_served(peers, address))
    result = {
        side: [
            [str(seconds) for seconds in times]
            for times in list_times(port, side == "server")
        ]
        for side in ("client", "server")
    }
    lose(port, lost == "server")
    if lost == "server":
        result["is_noticed"] = wait_until(lambda: is_served(peers, address))
    else:
        result["is_noticed"] = wait_until(lambda: not list_times(port, True))
    sys.stdout.write(msgspec.json.encode(result).decode())
    peers.stop()
    served.stop()


if __name__ == "__main__":
    main(sys.argv[1])
