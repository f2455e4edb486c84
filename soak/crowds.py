"""Crowds of clients that keep to no limit, beside the ordinary callers.

Their bytes may end no daemon, nor take more than the memory of its VM.
"""

import pathlib
import random
import socket
import time
import typing

import gevent

from arbutuscove.platform import headers
from arbutuscove.standins import users_platform
from arbutuscove.standins.tests import hostile
from arbutuscove.storage import http
from soak import world as world_module

MEMORY_MB = 160  # of each VM
KINDS = (
    hostile.announce_far_too_much,
    hostile.send_too_much,
    hostile.send_too_many_chunks,
    hostile.stop_short,
    hostile.stop_short_in_large_chunks,
    hostile.stop_short_in_small_chunks,
    hostile.stop_short_in_the_head,
)
CROWD = 60  # clients at once, all at one daemon
STAY_SECONDS = 1.0  # for which a crowd stays once it has sent its bytes
SEND_SECONDS = 2.0
MEASURE_INTERVAL_SECONDS = 0.2


class Crowds:
    """Sends crowds to one daemon after another, and measures the daemons.

    Attributes:
        sent: number of clients that have connected.
    """

    def __init__(
        self, world: world_module.World, generator: random.Random
    ) -> None:
        self.sent = 0
        self._world = world
        self._generator = generator
        self._peaks_mb: dict[str, float] = {}

    def run(self, seconds: float) -> None:
        """Sends crowds for a time."""
        end = time.monotonic() + seconds
        measuring = gevent.spawn(self._measure)
        try:
            while time.monotonic() < end:
                self._send_crowd(self._generator.choice(self._world.daemons))
        finally:
            measuring.kill()

    def check_memory(self) -> list[users_platform.Violation]:
        """Returns a violation for each daemon that took too much memory."""
        return [
            users_platform.Violation(
                name="MEMORY", detail=f"{name} held {peak_mb:.0f} MB"
            )
            for name, peak_mb in sorted(self._peaks_mb.items())
            if peak_mb >= MEMORY_MB
        ]

    def _send_crowd(self, daemon: world_module.Daemon) -> None:
        address = http.Address(daemon.ip, self._world.port)
        clients: list[typing.Any] = []
        kinds = [self._generator.choice(KINDS) for _ in range(CROWD)]
        sending = [
            gevent.spawn(self._send, address, kind, clients) for kind in kinds
        ]
        gevent.joinall(sending, timeout=SEND_SECONDS)
        gevent.killall(sending)
        gevent.sleep(STAY_SECONDS)
        for client in clients:
            client.close()

    def _send(
        self, address: http.Address, kind: typing.Any, clients: list[typing.Any]
    ) -> None:
        try:
            client = socket.create_connection(address, timeout=SEND_SECONDS)
        except OSError:
            return  # the daemon stops or starts
        clients.append(client)
        self.sent += 1
        try:
            for data in kind(self._build_head()):
                client.sendall(data)
        except OSError:
            return  # refused or not read; the connection is kept

    def _build_head(self) -> bytes:
        return (
            "POST /safe/crowd HTTP/1.1\r\nHost: x.example\r\n"
            f"Authorization: {headers.KEY_SCHEME}{self._world.keys[0]}\r\n"
            f"{headers.REQUEST_ID}: crowd{self.sent}\r\n"
        ).encode()

    def _measure(self) -> None:
        while True:
            for daemon in self._world.daemons:
                peak_mb = measure_peak_mb(daemon, self._world.port)
                known_mb = self._peaks_mb.get(daemon.name, 0.0)
                self._peaks_mb[daemon.name] = max(known_mb, peak_mb)
            gevent.sleep(MEASURE_INTERVAL_SECONDS)


def measure_peak_mb(daemon: world_module.Daemon, port: int) -> float:
    """Returns the most memory of a daemon's process, with unread bytes now.

    Args:
        daemon: the daemon; 0 without a process.
        port: the port at which it serves callers.
    """
    process = daemon.process
    if process is None:
        return 0.0
    try:
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    except OSError:
        return 0.0
    _, found, peak = status.partition("VmHWM:")
    if not found:
        return 0.0  # it has ended and was not yet waited for
    # The kernel writes an address as a number in the order of the host.
    host = int.from_bytes(socket.inet_aton(daemon.ip), "little")
    rows = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    unread = sum(
        int(row[4].partition(":")[2], 16)
        for row in map(str.split, rows)
        if row[1] == f"{host:08X}:{port:04X}"
        and row[3] in hostile.CONNECTED_STATES
    )
    return int(peak.split()[0]) / 1024 + unread / hostile.MEGABYTE
