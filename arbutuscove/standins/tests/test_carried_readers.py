"""Guards against slow readers of carried connections that end the carrier."""

import contextlib
import datetime
import pathlib
import socket

import gevent
import pytest

from arbutuscove.platform import registry
from arbutuscove.platform import table as platform_table
from arbutuscove.standins import users_platform
from arbutuscove.standins.tests import hostile
from arbutuscove.storage import http
from arbutuscove.transport import carriage
from arbutuscove.transport import tunnel

MEMORY_MB = 200  # of the smallest VMs
MAX_DESCRIPTORS = 4100
INITIATOR = "127.77.3.2"
TUNNEL_PORT_OFFSET = 3
TIMEOUT = datetime.timedelta(seconds=5)
PIECE_BYTES = 65536
# A reader that takes less may be cut after 2.5 s
# (`connection.TCP_USER_TIMEOUT_MS`), if its window stays shut so long.
READ_BYTES = 65536
READ_INTERVAL_SECONDS = 0.5
RECEIVE_BUFFER_BYTES = 131072  # of the initiator
BEGIN_SECONDS = 12.0  # longer than any time-out of a write
FLOOD = b"GET /flood HTTP/1.1\r\nHost: x\r\n\r\n"


class FloodingServer(users_platform.Server):
    """Answers a path with bytes without an end."""

    def _run(self, environ, body, start_response, *args):
        if environ["PATH_INFO"] != "/flood":
            return super()._run(environ, body, start_response, *args)
        start_response("200 -", [])
        return self._flood()

    def _flood(self):
        while not self._platform.stopped:
            yield bytes(PIECE_BYTES)


class Reader:
    """Takes the answer of a carried connection slowly."""

    def __init__(self, carrier, target):
        self.size = 0
        opened = tunnel.open_tunnel(carrier, target, TIMEOUT, INITIATOR)
        self._tunnel = opened.detach()
        self._tunnel._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._tunnel.settimeout(None)
        self._tunnel.sendall(FLOOD)
        self._reading = gevent.spawn(self._read)

    def _read(self):
        while data := self._tunnel.recv(READ_BYTES):
            self.size += len(data)
            gevent.sleep(READ_INTERVAL_SECONDS)

    def is_reading(self):
        return not self._reading.ready()

    def close(self):
        self._reading.kill()
        self._tunnel.close()


@pytest.fixture
def daemon(tmp_path):
    """A carrier with little memory, to which the initiator is known."""
    running = hostile.PlatformDaemon(
        tmp_path, MEMORY_MB, MAX_DESCRIPTORS, FloodingServer
    )
    try:
        running.platform.store.put(
            platform_table.OWN_TABLE,
            registry.DAEMON_PREFIX + "other",
            {"ip": INITIATOR},
        )
        running.wait_until_serving()
        yield running
    finally:
        running.stop()


def _count_queued_bytes(daemon):
    """Returns the bytes in all buffers of the daemon's sockets."""
    names = [
        link.readlink().name
        for link in pathlib.Path(f"/proc/{daemon.process.pid}/fd").iterdir()
    ]
    inodes = {name[8:-1] for name in names if name.startswith("socket:[")}
    rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    queues = [row.split()[4] for row in rows if row.split()[9] in inodes]
    return sum(int(size, 16) for queue in queues for size in queue.split(":"))


def test_carrier_bears_as_many_slow_readers_as_it_permits(daemon):
    """Guards against a bound on tunnels that is computed only."""
    capacity = carriage.compute_capacity(
        MEMORY_MB * hostile.MEGABYTE, MAX_DESCRIPTORS
    )
    target = http.Address(*daemon.platform.servers["srv-1"].address)
    host, port = daemon.address
    carrier = http.Address(host, port + TUNNEL_PORT_OFFSET)
    with contextlib.ExitStack() as cleanup:
        readers = []
        for _ in range(capacity.max_tunnels):
            readers.append(Reader(carrier, target))
            cleanup.callback(readers[-1].close)
        with pytest.raises(tunnel.CarrierError, match="busy"):
            Reader(carrier, target)
        gevent.sleep(BEGIN_SECONDS)
        queued = _count_queued_bytes(daemon)
        peak_mb = daemon.measure_peak_mb() + queued / hostile.MEGABYTE
        assert peak_mb < MEMORY_MB
        assert daemon.is_alive()
        assert daemon.count_descriptors() < MAX_DESCRIPTORS
        status, _ = daemon.send(b'{"small": 1}')
        assert status == 200
        assert all(reader.is_reading() for reader in readers)
        assert min(reader.size for reader in readers) > 0
