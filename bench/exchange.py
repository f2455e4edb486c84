"""Cost of an exchange between daemons: gRPC against framed TCP on gevent.

Client and server run in one process, as in each daemon. Each transport is
measured in a process of its own, because loaded modules stay in memory.
"""

from gevent import monkey

monkey.patch_all()

# pylint: disable=wrong-import-position
import datetime  # noqa: E402
import struct  # noqa: E402
import subprocess  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
import typing  # noqa: E402
from collections import abc  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402
import psutil  # noqa: E402
from gevent import server as gevent_server  # noqa: E402
from gevent import socket  # noqa: E402

from arbutuscove.peers import peer_pb2  # noqa: E402
from arbutuscove.standins import cluster  # noqa: E402

TRANSPORTS = ("grpc", "framed")
EXCHANGE_COUNT = 2000
MEMBERS_PER_MESSAGE = 10
IDLE_SECONDS = 3.0
TIMEOUT = datetime.timedelta(seconds=5)
LENGTH_PREFIX = struct.Struct("!I")
Call = abc.Callable[[peer_pb2.Gossip], peer_pb2.Gossip]


class TransportCost(msgspec.Struct, frozen=True, kw_only=True):
    """The cost of one transport."""

    way: str
    milliseconds: float  # processor time of an exchange, both ends
    idle_percent: float  # of a core, without exchanges
    megabytes: float  # resident memory
    threads: int


def create_message() -> peer_pb2.Gossip:
    """Returns a gossip message of typical size."""
    members = [
        peer_pb2.Member(
            name=f"entry-{number}",
            peer_address=f"10.0.0.{number}:8002",
            entry_address=f"10.0.0.{number}:8000",
            region="north",
            failure_domain="north-a",
            incarnation=number,
        )
        for number in range(MEMBERS_PER_MESSAGE)
    ]
    return peer_pb2.Gossip(updates=members)


def start_grpc(address: str) -> tuple[Call, object]:
    """Starts a gRPC server.

    Returns:
        A function that calls the server, and the server; it stops when it is
        no longer referenced.
    """
    # Imported here, so that these modules do not count in the memory of the
    # other transport.
    from grpc.experimental import gevent as grpc_gevent

    from arbutuscove.peers import client as client_module
    from arbutuscove.peers import server as server_module

    grpc_gevent.init_gevent()

    class Handler:
        """Echoes the gossip of probes."""

        def answer_probe(self, gossip: peer_pb2.Gossip) -> peer_pb2.Gossip:
            """Returns the gossip unchanged."""
            return gossip

    handler: typing.Any = Handler()
    server = server_module.PeerServer(address, handler, handler, handler)
    server.start(typing.cast(typing.Any, None))
    client = client_module.PeerClient()
    return (lambda message: client.probe(address, message, TIMEOUT)), server


def start_framed(address: str) -> tuple[Call, object]:
    """Starts a TCP server of length-prefixed messages.

    Returns:
        A function that calls the server, and the server.
    """
    host, _, port = address.rpartition(":")

    def serve(sock: socket.socket, _: typing.Any) -> None:
        stream = sock.makefile("rb")
        while header := stream.read(LENGTH_PREFIX.size):
            data = stream.read(LENGTH_PREFIX.unpack(header)[0])
            answer = peer_pb2.Gossip.FromString(data).SerializeToString()
            sock.sendall(LENGTH_PREFIX.pack(len(answer)) + answer)

    server = gevent_server.StreamServer((host, int(port)), serve)
    server.start()
    sock = socket.create_connection((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = sock.makefile("rb")

    def call(message: peer_pb2.Gossip) -> peer_pb2.Gossip:
        data = message.SerializeToString()
        sock.sendall(LENGTH_PREFIX.pack(len(data)) + data)
        answer = stream.read(
            LENGTH_PREFIX.unpack(stream.read(LENGTH_PREFIX.size))[0]
        )
        return peer_pb2.Gossip.FromString(answer)

    return call, server


def measure(way: str) -> TransportCost:
    """Measures one transport in this process."""
    address = f"{cluster.HOST}:{cluster.find_port()}"
    start = {"grpc": start_grpc, "framed": start_framed}[way]
    call, server = start(address)
    message = create_message()
    for _ in range(EXCHANGE_COUNT // 10):
        call(message)
    started = time.process_time()
    for _ in range(EXCHANGE_COUNT):
        call(message)
    exchange_time = time.process_time() - started
    started = time.process_time()
    gevent.sleep(IDLE_SECONDS)
    idle_time = time.process_time() - started
    process = psutil.Process()
    return TransportCost(
        way=way,
        milliseconds=round(exchange_time / EXCHANGE_COUNT * 1000, 3),
        idle_percent=round(idle_time / IDLE_SECONDS * 100, 2),
        megabytes=round(process.memory_info().rss / 1e6, 1),
        threads=process.num_threads(),
    )


@click.command()
@click.option("--way", type=click.Choice(TRANSPORTS), help="Only this one.")
def main(way: str | None) -> None:
    """Prints the cost of each way as JSON, a line each."""
    if way is not None:
        click.echo(msgspec.json.encode(measure(way)))
        return
    for name in TRANSPORTS:
        command = [sys.executable, "-m", "bench.exchange", "--way", name]
        subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
