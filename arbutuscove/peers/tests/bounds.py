"""Calls a peer without a bound, in a process of its own.

In the tests' process gRPC would have to run on gevent. Prints JSON: how calls
ended.
"""

import sys
import threading
import time

import grpc
import msgspec

from arbutuscove.peers import client
from arbutuscove.peers import peer_pb2
from arbutuscove.peers import peer_pb2_grpc
from arbutuscove.peers import server
from arbutuscove.standins import cluster

CONNECTIONS = 8
CALLS_PER_CONNECTION = 40
GIVE_UP_SECONDS = 20.0
SETTLE_SECONDS = 1.0


class Handler:
    """Answers probes at once and requests for rows once it is released."""

    def __init__(self):
        self.released = threading.Event()

    def answer_probe(self, gossip):
        return peer_pb2.Gossip(config_sequence=len(gossip.evidence))

    def answer_rows(self):
        self.released.wait(GIVE_UP_SECONDS)
        return peer_pb2.RowsReply(loaded=True)


def connect(address):
    # Otherwise all channels of a process share a connection.
    own = ("grpc.use_local_subchannel_pool", 1)
    channel = grpc.insecure_channel(
        address, options=[*client.CHANNEL_OPTIONS, own]
    )
    return peer_pb2_grpc.PeerStub(channel)


def begin(stub, count):
    request = peer_pb2.RowsRequest()
    return [
        stub.FetchRows.future(request, timeout=GIVE_UP_SECONDS)
        for _ in range(count)
    ]


def count_refused(calls):
    time.sleep(SETTLE_SECONDS)
    return sum(
        call.done() and call.code() == grpc.StatusCode.RESOURCE_EXHAUSTED
        for call in calls
    )


def send(stub, size):
    """Returns the code of a probe with so many bytes, and what arrived."""
    gossip = peer_pb2.Gossip(evidence=bytes(size))
    try:
        reply = stub.Probe(gossip, timeout=GIVE_UP_SECONDS)
    except grpc.RpcError as error:
        return [error.code().name, 0]
    return ["OK", reply.config_sequence]


def main():
    handler = Handler()
    address = f"127.0.0.1:{cluster.find_port()}"
    served = server.PeerServer(address, handler, handler, handler)
    served.start(None)
    stubs = [connect(address) for _ in range(CONNECTIONS)]
    result = {
        "large": send(stubs[0], server.MAX_REQUEST_BYTES),
        "small": send(stubs[0], server.MAX_REQUEST_BYTES // 2),
    }
    calls = begin(stubs[0], 2 * server.MAX_CALLS)
    result["refused_of_one"] = count_refused(calls)
    for stub in stubs[1:]:
        calls += begin(stub, CALLS_PER_CONNECTION)
    result["refused_of_all"] = count_refused(calls)
    result["running"] = sum(not call.done() for call in calls)
    handler.released.set()
    for call in calls:
        call.exception(GIVE_UP_SECONDS)
    result["afterwards"] = send(stubs[1], 1)
    served.stop()
    sys.stdout.write(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
