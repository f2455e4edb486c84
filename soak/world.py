"""Real daemons as processes before a stand-in of the users' platform.

Each daemon has an address of its own in the loopback range, as its ports are
the same on all VMs, and reaches the store through a forwarder of its own.
"""

import dataclasses
import os
import pathlib
import signal
import subprocess
import sys

import msgspec

from arbutuscove.platform import settings
from arbutuscove.standins import cluster
from arbutuscove.standins import forwarder
from arbutuscove.standins import users_platform
from arbutuscove.storage import http

DAEMONS = 3
GROUPED = 6
PLAIN = 2
STOP_SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class Daemon:
    """One daemon process and what was done to it."""

    name: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    link: forwarder.Forwarder
    process: subprocess.Popen[bytes] | None = None
    disturbed_until: float = 0.0  # faults other than planned stops
    exits: int = 0


class World:
    """All processes and stand-ins of one run."""

    def __init__(self, directory: pathlib.Path, seed: int) -> None:
        self._root = pathlib.Path(__file__).parent.parent
        self._directory = directory
        self._started: list[subprocess.Popen[bytes]] = []
        # Ports differ by run, so that runs side by side do not meet.
        self.port = cluster.find_port()
        block = seed % 200 + 1
        self.platform = users_platform.UsersPlatform(
            f"127.{block}.1.1", self.port
        )
        self.links: dict[str, forwarder.Forwarder] = {}
        for number in range(GROUPED):
            self._add_server(block, number, "models", "d0")
        for number in range(GROUPED, GROUPED + PLAIN):
            self._add_server(block, number, "desk", "")
        self.version = 1
        self.change_configuration()
        self.daemons = [
            self._create_daemon(block, number) for number in range(DAEMONS)
        ]

    def change_configuration(self) -> int:
        """Writes a newer configuration and returns its version."""
        self.version += 3
        body = users_platform.build_configuration(self.version)
        added = dict(body["routes"][2])
        added["prefix"] = f"/v{self.version}/"
        added["name"] = f"added-{self.version}"
        body["routes"].append(added)
        self.platform.store.put("op", "config", body)
        return self.version

    def start(self, daemon: Daemon) -> None:
        """Starts a daemon's process."""
        environment = dict(os.environ)
        environment[settings.SETTINGS_FILE_VARIABLE] = str(daemon.settings)
        environment["PYTHONPATH"] = str(self._root)
        with daemon.log.open("ab") as log:
            daemon.process = subprocess.Popen(
                [sys.executable, "-m", "arbutuscove.platform"],
                cwd=self._root,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._started.append(daemon.process)

    def signal(self, daemon: Daemon, number: signal.Signals) -> None:
        """Sends a signal to a daemon's process if it runs."""
        if daemon.process is not None and daemon.process.poll() is None:
            daemon.process.send_signal(number)

    def stop(self) -> None:
        """Ends the processes that this world started, and the stand-ins."""
        for process in self._started:
            if process.poll() is None:
                process.kill()
                process.wait(timeout=STOP_SECONDS)
        for daemon in self.daemons:
            daemon.link.stop()
        for link in self.links.values():
            link.stop()
        self.platform.stop()

    def _add_server(
        self, block: int, number: int, service: str, domain: str
    ) -> None:
        own = (f"127.{block}.2.{number + 1}", self.port)
        seen = (f"127.{block}.3.{number + 1}", self.port)
        link = forwarder.Forwarder(http.Address(*seen), http.Address(*own))
        link.start()
        name = f"i-{number}"
        server = users_platform.Server(
            self.platform, name, service, own, domain, advertised=seen
        )
        self.platform.add(server)
        self.links[name] = link

    def _create_daemon(self, block: int, number: int) -> Daemon:
        name = f"daemon-{number}"
        ip = f"127.{block}.4.{number + 1}"
        near = http.Address(f"127.{block}.5.{number + 1}", self.port)
        store = http.Address(f"127.{block}.1.1", self.port)
        link = forwarder.Forwarder(near, store)
        link.start()
        path = self._directory / f"{name}.json"
        body = users_platform.build_settings(name, ip, str(near), self.port)
        path.write_bytes(msgspec.json.encode(body))
        log = self._directory / f"{name}.log"
        return Daemon(name=name, ip=ip, settings=path, log=log, link=link)
