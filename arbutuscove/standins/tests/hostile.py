"""Crowds of clients that keep to no limit, and daemons that they meet.

A client sends the start of a request and stays connected, without reading.
"""

import dataclasses
import http.client
import os
import pathlib
import subprocess
import sys
import typing

import gevent
import msgspec
import psutil
from gevent import socket

from arbutuscove.config import acceptance
from arbutuscove.platform import headers
from arbutuscove.platform import settings as settings_module
from arbutuscove.questionnaire import answers
from arbutuscove.questionnaire import generation
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.standins import users_platform
from arbutuscove.storage import http as storage_http

MEMORY_MB = 160  # of the VM
MAX_DESCRIPTORS = 400
CROWD = 40  # clients of a kind
CONNECTION_CROWD = 480
TRICKLE_CROWD = 300  # twice the connections that `MAX_DESCRIPTORS` leave
TRICKLE_SECONDS = 1.0  # between two bytes
PEER_CROWD = 500  # more than all descriptors
MAX_BODY_BYTES = 4 << 20
CHUNK_BYTES = 65536
# A client whose bytes are not read for so long sends no more.
SEND_SECONDS = 3.0
CROWD_SECONDS = 60.0
READ_SECONDS = 30.0
SETTLE_SECONDS = 1.0  # without a byte on the way
POLL_SECONDS = 0.1
MEGABYTE = 1 << 20
CONNECTED_STATES = ("01", "08")  # of /proc/net/tcp


def _encode_chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def _announce(head, length):
    return head + f"Content-Length: {length}\r\n\r\n".encode()


def _begin_chunks(head):
    return head + b"Transfer-Encoding: chunked\r\n\r\n"


def announce_far_too_much(head):
    """Announces 4 GB and sends nearly as much as is allowed."""
    yield _announce(head, 4 << 30)
    for _ in range(MAX_BODY_BYTES // CHUNK_BYTES - 1):
        yield bytes(CHUNK_BYTES)


def send_too_much(head):
    """Sends four times as much as is allowed, as announced."""
    yield _announce(head, 4 * MAX_BODY_BYTES)
    for _ in range(4 * MAX_BODY_BYTES // CHUNK_BYTES):
        yield bytes(CHUNK_BYTES)


def send_too_many_chunks(head):
    """Sends chunks of four times as many bytes as are allowed."""
    yield _begin_chunks(head)
    chunk = _encode_chunk(bytes(CHUNK_BYTES))
    for _ in range(4 * MAX_BODY_BYTES // CHUNK_BYTES):
        yield chunk


def stop_short(head):
    """Announces what is allowed and sends nearly all of it."""
    yield _announce(head, MAX_BODY_BYTES)
    for _ in range(MAX_BODY_BYTES // CHUNK_BYTES - 1):
        yield bytes(CHUNK_BYTES)


def stop_short_in_large_chunks(head):
    """Sends nearly as many bytes as are allowed in large chunks."""
    yield _begin_chunks(head)
    chunk = _encode_chunk(bytes(CHUNK_BYTES))
    for _ in range(MAX_BODY_BYTES // CHUNK_BYTES - 1):
        yield chunk


def stop_short_in_small_chunks(head):
    """Sends 400 KB in chunks of 16 bytes."""
    yield _begin_chunks(head)
    chunks = _encode_chunk(bytes(16)) * 256
    for _ in range(100):
        yield chunks


def stop_short_in_the_head(head):
    """Sends 16 KB of a head without its end."""
    yield head + b"X-Padding: " + b"x" * 16384


def send_whole_requests(head):
    """Sends a whole request, whose answer of the same size is not read."""
    yield _announce(head, MAX_BODY_BYTES)
    for _ in range(MAX_BODY_BYTES // CHUNK_BYTES):
        yield b"x" * CHUNK_BYTES


KINDS = [
    announce_far_too_much,
    send_too_much,
    send_too_many_chunks,
    stop_short,
    stop_short_in_large_chunks,
    stop_short_in_small_chunks,
    stop_short_in_the_head,
    send_whole_requests,
]


def trickle_announced_body(head):
    """Announces what is allowed, then sends a byte a second."""
    yield _announce(head, MAX_BODY_BYTES) + bytes(1000)
    while True:
        gevent.sleep(TRICKLE_SECONDS)
        yield b"x"


def trickle_small_body(head):
    """Announces a body of usual size, then sends a byte a second."""
    yield _announce(head, 1000) + bytes(100)
    while True:
        gevent.sleep(TRICKLE_SECONDS)
        yield b"x"


def trickle_chunks(head):
    """Sends a chunk of one byte a second."""
    yield _begin_chunks(head)
    while True:
        gevent.sleep(TRICKLE_SECONDS)
        yield _encode_chunk(b"x")


def trickle_head(head):
    """Sends a byte of a head a second."""
    yield head + b"X-Padding: "
    while True:
        gevent.sleep(TRICKLE_SECONDS)
        yield b"x"


def stand_still_in_the_body(head):
    """Sends half of a small body."""
    yield _announce(head, 100) + bytes(50)


def send_refused_body(head):
    """Begins a body on a path that does not exist, then sends a byte a second.

    It is refused unread.
    """
    _, _, fields = head.partition(b"\r\n")
    yield _announce(b"POST /nowhere HTTP/1.1\r\n" + fields, 1000)
    while True:
        gevent.sleep(TRICKLE_SECONDS)
        yield b"x"


def ask_once_and_stay(head):
    """Sends a whole request that is refused, and keeps its connection."""
    _, _, fields = head.partition(b"\r\n")
    yield b"GET /nowhere HTTP/1.1\r\n" + fields + b"\r\n"


def send_nothing(_head):
    """Only connects."""
    yield b""


TRICKLES = [
    trickle_announced_body,
    trickle_small_body,
    trickle_chunks,
    trickle_head,
    stand_still_in_the_body,
    send_refused_body,
    ask_once_and_stay,
    send_nothing,
]


class Crowd:
    """Connected clients; the connections stay open until `leave`."""

    def __init__(self, daemon):
        self._daemon = daemon
        self._sockets: list[typing.Any] = []
        self._trickles: list[gevent.Greenlet] = []

    def begin(self, kinds, seconds, address=None):
        """Lets one client of each kind send until `leave`.

        Returns after `seconds`.
        """
        self._trickles = [
            gevent.spawn(self._send, kind, address) for kind in kinds
        ]
        gevent.sleep(seconds)

    def begin_everywhere(self, kind, seconds):
        """Lets clients of many hosts send to each address of the daemon."""
        self._trickles = [
            gevent.spawn(self._send, kind, address, f"127.0.9.{1 + number % 9}")
            for address in self._daemon.list_addresses()
            for number in range(TRICKLE_CROWD)
        ]
        gevent.sleep(seconds)

    def send(self, kinds):
        """Sends the bytes of one client for each kind, all at once."""
        clients = [gevent.spawn(self._send, kind) for kind in kinds]
        gevent.joinall(clients, timeout=CROWD_SECONDS)
        gevent.killall(clients)
        self._wait_until_settled()

    def _wait_until_settled(self):
        """Waits until the daemon has read what it reads."""
        queued, unchanged = self._daemon.count_queued_bytes(), 0.0
        left = CROWD_SECONDS
        while unchanged < SETTLE_SECONDS and left > 0:
            gevent.sleep(POLL_SECONDS)
            left -= POLL_SECONDS
            now_queued = self._daemon.count_queued_bytes()
            unchanged = unchanged + POLL_SECONDS if now_queued == queued else 0
            queued = now_queued

    def _send(self, kind, address=None, source="127.0.0.1"):
        try:
            client = socket.create_connection(
                tuple(address or self._daemon.address),
                timeout=SEND_SECONDS,
                source_address=(source, 0),
            )
        except OSError:
            return
        self._sockets.append(client)
        try:
            for data in kind(self._daemon.build_head()):
                client.sendall(data)
        except OSError:
            return  # refused or not read; the connection is kept

    def leave(self):
        """Closes all connections."""
        gevent.killall(self._trickles)
        for client in self._sockets:
            client.close()
        self._sockets.clear()


class Daemon:
    """A daemon as its clients and its VM see it."""

    address: storage_http.Address
    process: typing.Any
    crowd_path: str
    path: str
    key: str
    key_scheme = "Bearer "

    def __init__(self):
        self._requests = 0

    def build_head(self):
        """Returns the head of a proper request, without its end."""
        self._requests += 1
        fields = self.build_fields()
        lines = [f"POST {self.crowd_path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return "".join(line + "\r\n" for line in lines).encode()

    def build_fields(self):
        """Returns the header fields of a proper request."""
        return {
            "Host": "x.example",
            "Authorization": f"{self.key_scheme}{self.key}",
            "X-Request-Id": f"r{self._requests}",
            "Content-Type": "application/json",
        }

    def send(self, body):
        """Sends an ordinary request; returns status and body of its answer."""
        self._requests += 1
        caller = http.client.HTTPConnection(*self.address, timeout=READ_SECONDS)
        try:
            caller.request("POST", self.path, body, self.build_fields())
            response = caller.getresponse()
            return response.status, response.read()
        finally:
            caller.close()

    def measure_peak_mb(self):
        """Returns the most memory held so far, with the unread bytes now."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        peak_kb = int(status.partition("VmHWM:")[2].split()[0])
        return peak_kb / 1024 + self.count_queued_bytes()[0] / MEGABYTE

    def count_queued_bytes(self):
        """Returns the bytes that it has not read, and those not sent to it."""
        port = f":{self.address.port:04X}"
        rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
        fields = [row.split() for row in rows]
        unread = [
            int(row[4].partition(":")[2], 16)
            for row in fields
            if row[1].endswith(port) and row[3] in CONNECTED_STATES
        ]
        unsent = [
            int(row[4].partition(":")[0], 16)
            for row in fields
            if row[2].endswith(port)
        ]
        return sum(unread), sum(unsent)

    def count_descriptors(self):
        """Returns the number of open descriptors."""
        return psutil.Process(self.process.pid).num_fds()

    def is_alive(self):
        """Returns whether its process runs."""
        return self.process.poll() is None


class PlatformDaemon(Daemon):
    """A daemon on the users' platform, beside stand-ins in this process."""

    crowd_path = "/safe/x"
    path = "/other/x"
    key = "key-1"
    key_scheme = headers.KEY_SCHEME

    def __init__(
        self,
        directory,
        memory_mb=MEMORY_MB,
        max_descriptors=MAX_DESCRIPTORS,
        server_type=users_platform.Server,
    ):
        super().__init__()
        port = cluster_module.find_port()
        self.platform = users_platform.UsersPlatform("127.77.1.1", port)
        configuration = users_platform.build_configuration(1)
        # Clients that read no answer hold the slots of their service.
        configuration["services"].append(
            configuration["services"][1] | {"name": "other"}
        )
        configuration["routes"].append(
            configuration["routes"][2]
            | {"name": "other", "prefix": "/other/", "service": "other"}
        )
        for number, service in enumerate(("desk", "other")):
            self.platform.add(
                server_type(
                    self.platform,
                    f"srv-{number}",
                    service,
                    (f"127.77.2.{number + 1}", port),
                )
            )
        self.platform.store.put("op", "config", configuration)
        settings = users_platform.build_settings(
            "front-0", "127.77.3.1", f"127.77.1.1:{port}", port
        )
        settings["limits"] = {
            "max_fds": max_descriptors,
            "memory_mb": memory_mb,
        }
        self.address = storage_http.Address("127.77.3.1", port)
        file = directory / "settings.json"
        file.write_bytes(msgspec.json.encode(settings))
        with (directory / "daemon.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "arbutuscove.platform"],
                env=os.environ
                | {
                    settings_module.SETTINGS_FILE_VARIABLE: str(file),
                    "PYTHONPATH": os.pathsep.join(sys.path),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def list_addresses(self):
        """Returns the addresses that it serves HTTP at."""
        host, port = self.address
        return [storage_http.Address(host, port + more) for more in range(3)]

    def wait_until_serving(self):
        """Waits for the first answer."""
        cluster_module.wait_for("an answer", self._is_serving)

    def _is_serving(self):
        assert self.is_alive()
        try:
            return self.send(b"{}")[0] == 200
        except OSError:
            return False

    def stop(self):
        """Stops the process and the stand-ins."""
        self.process.kill()
        self.process.wait()
        self.platform.stop()


class OwnDaemon(Daemon):
    """`arbutuscoved` with a plain service."""

    crowd_path = "/plain/filings/call/x"
    path = crowd_path
    key = demo.API_KEY

    def __init__(self, directory):
        super().__init__()
        layout = cluster_module.Layout(daemons=1, vms=1, failure_domains=1)
        self._cluster = cluster_module.Cluster(directory, layout)

    def wait_until_serving(self):
        """Starts all processes and waits for the first answer."""
        self._cluster.start()
        self.process = self._cluster.processes["entry-0"]
        self.address = storage_http.Address.parse(
            self._cluster.addresses["entry-0"]
        )
        loaded = answers.read_answers(demo.EXAMPLES / "demo-plain.yaml")
        service = generation.generate(loaded)
        address = self.find_plain_address()
        self.accept(
            dataclasses.replace(
                service,
                plain=dataclasses.replace(service.plain, addresses=(address,)),
            )
        )
        cluster_module.wait_for("an answer", lambda: self.send(b"{}")[0] == 200)

    def list_addresses(self):
        """Returns the addresses that it serves HTTP at."""
        admin = self._cluster.addresses["entry-0.admin"]
        return [self.address, storage_http.Address.parse(admin)]

    def find_peer_address(self):
        """Returns the address for calls of other daemons."""
        return storage_http.Address.parse(
            self._cluster.addresses["entry-0.peer"]
        )

    def find_plain_address(self):
        """Returns the address of the plain service."""
        return self._cluster.addresses["plain-0"]

    def accept(self, service):
        """Has a service accepted."""
        proposal = acceptance.Proposal(
            service=service, base_version=0, author="test", reason="test"
        )
        path = f"/services/{service.name}"
        reply = self._cluster.admin("PUT", path, proposal)
        assert reply.status == 200, reply

    def stop(self):
        """Stops all processes."""
        self._cluster.stop()
