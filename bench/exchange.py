"""Cost of an exchange between daemons: gRPC against framed TCP on gevent.

Both ends run in one process, as each daemon is both. Each way has a process of
its own, since what is once loaded stays in memory.
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

WAYS = ("grpc", "framed")
EXCHANGES = 2000
MEMBERS = 10  # daemons named in one message
IDLE_SECONDS = 3.0
TIMEOUT = datetime.timedelta(seconds=5)
LENGTH = struct.Struct("!I")
Call = abc.Callable[[peer_pb2.Gossip], peer_pb2.Gossip]


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """What one way costs."""

    way: str
    milliseconds: float  # of processor time for an exchange, both ends
    idle_percent: float  # of a core
    megabytes: float  # resident
    threads: int


def create_message() -> peer_pb2.Gossip:
    """Returns a message of usual size."""
    members = [
        peer_pb2.Member(
            name=f"entry-{number}",
            peer_address=f"10.0.0.{number}:8002",
            entry_address=f"10.0.0.{number}:8000",
            region="north",
            failure_domain="north-a",
            incarnation=number,
        )
        for number in range(MEMBERS)
    ]
    return peer_pb2.Gossip(updates=members)


def start_grpc(address: str) -> tuple[Call, object]:
    """Returns a call of a gRPC server, and the server, which ends without."""
    # Loaded here, as the other way must do without its memory.
    from grpc.experimental import gevent as grpc_gevent

    from arbutuscove.peers import client as client_module
    from arbutuscove.peers import server as server_module

    grpc_gevent.init_gevent()

    class Handler:
        """Answers probes with what they carry."""

        def answer_probe(self, gossip: peer_pb2.Gossip) -> peer_pb2.Gossip:
            """Returns the message."""
            return gossip

    handler: typing.Any = Handler()
    server = server_module.PeerServer(address, handler, handler, handler)
    server.start(typing.cast(typing.Any, None))
    client = client_module.PeerClient()
    return (lambda message: client.probe(address, message, TIMEOUT)), server


def start_framed(address: str) -> tuple[Call, object]:
    """Returns a call of a server of length-prefixed messages, and it."""
    host, _, port = address.rpartition(":")

    def serve(sock: socket.socket, _: typing.Any) -> None:
        stream = sock.makefile("rb")
        while header := stream.read(LENGTH.size):
            data = stream.read(LENGTH.unpack(header)[0])
            answer = peer_pb2.Gossip.FromString(data).SerializeToString()
            sock.sendall(LENGTH.pack(len(answer)) + answer)

    server = gevent_server.StreamServer((host, int(port)), serve)
    server.start()
    sock = socket.create_connection((host, int(port)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = sock.makefile("rb")

    def call(message: peer_pb2.Gossip) -> peer_pb2.Gossip:
        data = message.SerializeToString()
        sock.sendall(LENGTH.pack(len(data)) + data)
        answer = stream.read(LENGTH.unpack(stream.read(LENGTH.size))[0])
        return peer_pb2.Gossip.FromString(answer)

    return call, server


def measure(way: str) -> Figures:
    """Measures one way in this process."""
    address = f"{cluster.HOST}:{cluster.find_port()}"
    start = {"grpc": start_grpc, "framed": start_framed}[way]
    call, server = start(address)
    message = create_message()
    for _ in range(EXCHANGES // 10):
        call(message)
    begun = time.process_time()
    for _ in range(EXCHANGES):
        call(message)
    spent = time.process_time() - begun
    begun = time.process_time()
    gevent.sleep(IDLE_SECONDS)
    idle = time.process_time() - begun
    process = psutil.Process()
    return Figures(
        way=way,
        milliseconds=round(spent / EXCHANGES * 1000, 3),
        idle_percent=round(idle / IDLE_SECONDS * 100, 2),
        megabytes=round(process.memory_info().rss / 1e6, 1),
        threads=process.num_threads(),
    )


@click.command()
@click.option("--way", type=click.Choice(WAYS), help="Only this one.")
def main(way: str | None) -> None:
    """Prints the cost of each way as JSON, a line each."""
    if way is not None:
        click.echo(msgspec.json.encode(measure(way)))
        return
    for name in WAYS:
        command = [sys.executable, "-m", "bench.exchange", "--way", name]
        subprocess.run(command, check=True)


if __name__ == "__main__":
    main()
