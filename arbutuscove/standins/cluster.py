"""Starts daemons and stand-ins as loopback processes, for demo and tests.

Not part of the product: no process of the product starts another one.
"""

import dataclasses
import datetime
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import time
import typing
from collections import abc

import msgspec

from arbutuscove.entry import callers
from arbutuscove.storage import http
from arbutuscove.storage import inventory as inventory_module

HOST = "127.0.0.1"
PORTS = range(10_000, 32_000)  # below the ports of outgoing connections
PORT_ATTEMPTS = 100
ADMIN_KEY = "demo-admin-key"
RESUME_SECRET = "a secret for loopback only"
WAIT_SECONDS = 60.0  # bound on waits for an expected state
STOP_SECONDS = 30.0
POLL_SECONDS = 0.05
CALL_TIMEOUT = datetime.timedelta(seconds=10)  # longest acceptance and more


class WaitFailedError(Exception):
    """An expected state did not come."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """How many processes of each kind, and how they behave."""

    daemons: int = 3
    vms: int = 6
    fabric_domains: int = 1
    failure_domains: int = 3
    accelerators_per_vm: int = 4
    check_fencing: bool = True
    token_interval: float = 0.005
    slots: int = 8
    keep_seconds: float = 0.5
    plain_services: int = 1


def find_port() -> int:
    """Returns a TCP port that was free a moment ago.

    Ports from which the system picks those of outgoing connections are left
    out: one of them was taken between this check and the start of a server.

    Raises:
        WaitFailedError: no free port was found.
    """
    for _ in range(PORT_ATTEMPTS):
        port = random.SystemRandom().choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
    raise WaitFailedError("no free port")


def wait_for(
    what: str,
    condition: abc.Callable[[], typing.Any],
    seconds: float = WAIT_SECONDS,
) -> typing.Any:
    """Polls until `condition` returns something true and returns that.

    Raises:
        WaitFailedError: it did not within `seconds`.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(POLL_SECONDS)
    raise WaitFailedError(f"timed out waiting for {what}")


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> http.Reply:
    """Sends one request on a connection of its own."""
    client = http.JsonClient(http.Address.parse(address), CALL_TIMEOUT)
    try:
        return client.send(method, path, body, headers)
    finally:
        client.close()


class Cluster:
    """The processes of one run, their addresses and their record file."""

    def __init__(self, directory: pathlib.Path, layout: Layout) -> None:
        self.layout = layout
        self.directory = directory
        self.record = directory / "record.jsonl"
        self.addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        # Flags of one daemon that differ from the layout, by its name.
        self.overrides: dict[str, dict[str, str]] = {}
        self._commands: dict[str, list[str]] = {}

    def start(self) -> None:
        """Starts everything and waits until each process answers."""
        self.start_platform()
        self.start_upstreams()
        for number in range(self.layout.daemons):
            self.start_daemon(f"entry-{number}")

    def start_platform(self) -> None:
        """Starts table, objects, weights and VM list."""
        for name in ("table", "objects", "weights"):
            self.start_standin(name)
        self._start_standin(
            "inventory",
            [
                "inventory",
                "--vms",
                msgspec.json.encode(self.list_vms()).decode(),
            ],
        )

    def start_upstreams(self) -> None:
        """Starts an engine for each VM, and the plain services."""
        layout = self.layout
        fencing = "--check-fencing"
        if not layout.check_fencing:
            fencing = "--ignore-fencing"
        for vm in self.list_vms():
            self._start_standin(
                vm.name,
                [
                    "engine",
                    "--vm",
                    vm.name,
                    fencing,
                    "--token-interval",
                    str(layout.token_interval),
                    "--slots",
                    str(layout.slots),
                    "--weights",
                    self.addresses["weights"],
                    "--record",
                    str(self.record),
                ],
            )
        for number in range(layout.plain_services):
            name = f"plain-{number}"
            self._start_standin(
                name, ["plain", "--name", name, "--record", str(self.record)]
            )

    def list_vms(self) -> list[inventory_module.Vm]:
        """Returns the VMs of the layout with their addresses."""
        layout = self.layout
        return [
            inventory_module.Vm(
                name=f"vm-{number}",
                address=self.get_address(f"vm-{number}"),
                fabric_domain=f"fabric-{number % layout.fabric_domains}",
                failure_domain=f"zone-{number % layout.failure_domains}",
                accelerators=layout.accelerators_per_vm,
            )
            for number in range(layout.vms)
        ]

    def get_address(self, name: str) -> str:
        """Returns the address of a process, chosen on first use."""
        if name not in self.addresses:
            self.addresses[name] = f"{HOST}:{find_port()}"
        return self.addresses[name]

    def start_daemon(self, name: str, wait: bool = True) -> None:
        """Starts or restarts one daemon on its addresses."""
        number = int(name.rpartition("-")[2])
        layout = self.layout
        peers = [
            self._get_peer_address(f"entry-{other}")
            for other in range(layout.daemons)
        ]
        flags = {
            "--name": name,
            "--region": "loopback",
            "--failure-domain": f"zone-{number % layout.failure_domains}",
            "--listen": self.get_address(name),
            "--admin-listen": self.get_address(name + ".admin"),
            "--peer-listen": self.get_address(name + ".peer"),
            "--peers": ",".join(peers),
            "--table": self.get_address("table"),
            "--objects": self.get_address("objects"),
            "--inventory": self.get_address("inventory"),
            "--resume-secret": RESUME_SECRET,
            "--admin-key-digest": callers.digest_key(ADMIN_KEY),
            "--keep-seconds": str(layout.keep_seconds),
            **self.overrides.get(name, {}),
        }
        command = [sys.executable, "-m", "arbutuscove.daemon.main", "serve"]
        for flag, value in flags.items():
            command += [flag, value]
        self._spawn(name, command)
        if wait:
            wait_for(f"{name} to answer", lambda: self._answers(name))

    def _get_peer_address(self, name: str) -> str:
        own = self.get_address(name + ".peer")
        return self.overrides.get(name, {}).get("--peer-advertise", own)

    def restart(self, name: str) -> None:
        """Starts a stand-in that has ended again with the same command."""
        self._spawn(name, self._commands[name])
        wait_for(f"{name} to answer", lambda: self._answers(name))

    def send_signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits for its end."""
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name: str) -> int:
        """Asks a process to stop and returns its exit code."""
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(STOP_SECONDS)

    def read_record(self) -> list[dict[str, typing.Any]]:
        """Returns what the upstreams recorded that they ran."""
        if not self.record.exists():
            return []
        lines = self.record.read_bytes().splitlines()
        return [msgspec.json.decode(line) for line in lines]

    def stop(self) -> dict[str, int]:
        """Stops daemons gracefully, then the rest; returns exit codes."""
        codes = {}
        names = sorted(self.processes, key=lambda name: name[:5] != "entry")
        daemons = [name for name in names if name.startswith("entry")]
        for name in daemons:
            if self.processes[name].poll() is None:
                self.processes[name].send_signal(signal.SIGTERM)
        for name in names:
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
            try:
                codes[name] = process.wait(STOP_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = process.wait()
        return codes

    def admin(
        self, method: str, path: str, body: typing.Any = None, daemon: int = 0
    ) -> http.Reply:
        """Sends a call to the administration API of a daemon."""
        return call(
            self.addresses[f"entry-{daemon}.admin"],
            method,
            "/admin/v1" + path,
            body,
            {"Authorization": f"Bearer {ADMIN_KEY}"},
        )

    def list_serving(
        self, service: str, daemon: int = 0
    ) -> list[dict[str, typing.Any]]:
        """Returns the rows of the replicas that a daemon may use."""
        status = self.admin("GET", "/status", daemon=daemon).json()
        return [
            item["row"]
            for item in status["replicas"]
            if item["serving"] and item["row"]["service"] == service
        ]

    def is_ready(self, daemon: int = 0) -> bool:
        """Returns whether a daemon admits requests."""
        try:
            reply = call(self.addresses[f"entry-{daemon}"], "GET", "/readyz")
        except http.HttpError:
            return False
        return reply.status == 200

    def count_serving(self, service: str, daemon: int = 0) -> int:
        """Returns how many replicas of a service a daemon may use."""
        try:
            reply = self.admin("GET", "/status", daemon=daemon)
        except http.HttpError:
            return 0
        if reply.status != 200:
            return 0
        return int(reply.json()["serving"].get(service, 0))

    def start_standin(self, name: str) -> None:
        """Starts a stand-in that needs no arguments."""
        self._start_standin(name, [name])

    def _start_standin(self, name: str, arguments: list[str]) -> None:
        address = self.get_address(name)
        command = [sys.executable, "-m", "arbutuscove.standins"]
        self._commands[name] = command + [*arguments, "--listen", address]
        self._spawn(name, self._commands[name])
        wait_for(f"{name} to answer", lambda: self._answers(name))

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self.directory / f"{name}.log").open("ab")
        with log:
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=dict(os.environ),
            )

    def _answers(self, name: str) -> bool:
        # A negative code is the signal that ended the process.
        code = self.processes[name].poll()
        if code is not None:
            log = (self.directory / f"{name}.log").read_text()
            raise WaitFailedError(
                f"{name} ended at its start with {code}:\n{log[-3000:]}"
            )
        try:
            call(self.addresses[name], "GET", "/healthz")
        except http.HttpError:
            return False
        return True
