"""Starts daemons and stand-ins as processes on loopback, for demo and tests.

This is not part of the product, whose processes never start other processes.
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
PORTS = range(10_000, 32_000)  # below the ephemeral ports
PORT_ATTEMPTS = 100
ADMIN_KEY = "demo-admin-key"
RESUME_SECRET = "a secret for loopback only"
WAIT_SECONDS = 60.0  # default timeout of waits for an expected state
STOP_SECONDS = 30.0  # until a process that does not exit is killed
POLL_SECONDS = 0.05
DAEMON_MODULE = "arbutuscove.daemon.main"
CALL_TIMEOUT = datetime.timedelta(seconds=10)  # exceeds the longest acceptance


class WaitFailedError(Exception):
    """An expected state was not reached before the timeout."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """Number of processes of each kind, and their settings.

    Attributes:
        daemons: Number of daemons.
        vms: Number of VMs, each with an engine.
        fabric_domains: Number of fabric domains that the VMs alternate over.
        failure_domains: Number of failure domains that the VMs and daemons
            alternate over.
        accelerators_per_vm: Accelerators of each VM.
        check_fencing: Whether engines refuse orders with stale fencing tokens.
        token_interval: Seconds per token of an engine.
        slots: Requests that an engine runs at once.
        keep_seconds: Value of the daemons' flag `--keep-seconds`.
        plain_services: Number of plain services.
    """

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
    """Returns a TCP port that was free when checked.

    Ephemeral ports are excluded: an outgoing connection once got one of them
    between this check and the start of the server.

    Raises:
        WaitFailedError: No free port was found in `PORT_ATTEMPTS` attempts.
    """
    for _ in range(PORT_ATTEMPTS):
        port = random.SystemRandom().choice(PORTS)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        return port
    raise WaitFailedError("found no free TCP port on loopback")


def wait_for(
    what: str,
    condition: abc.Callable[[], typing.Any],
    seconds: float = WAIT_SECONDS,
) -> typing.Any:
    """Polls `condition` until it returns a true value.

    Args:
        what: Description of the expected state, for the error message.
        condition: Function to poll.
        seconds: Timeout.

    Returns:
        The first true value of `condition`.

    Raises:
        WaitFailedError: No true value was returned before the timeout.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise WaitFailedError(f"timed out waiting for {what}")


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> http.Reply:
    """Sends one request on a new connection.

    Raises:
        HttpError: No complete reply arrived.
    """
    client = http.JsonClient(http.Address.parse(address), CALL_TIMEOUT)
    try:
        return client.send(method, path, body, headers)
    finally:
        client.close()


class Cluster:
    """Processes of one run, with their addresses and record file.

    Attributes:
        layout: Number and settings of the processes.
        directory: Directory of logs and of the record file.
        record: File to which engines and plain services append what they ran.
        addresses: Addresses by process; those of a daemon's administration,
            peer and tunnel interfaces have the suffixes `.admin`, `.peer` and
            `.tunnel`.
        processes: Processes by name.
        overrides: Flags by daemon that differ from the layout.
        modules: Modules by daemon that are run in place of the product's.
    """

    def __init__(self, directory: pathlib.Path, layout: Layout) -> None:
        self.layout = layout
        self.directory = directory
        self.record = directory / "record.jsonl"
        self.addresses: dict[str, str] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.overrides: dict[str, dict[str, str]] = {}
        self.modules: dict[str, str] = {}
        self._commands: dict[str, list[str]] = {}

    def start(self) -> None:
        """Starts all processes and waits until each answers."""
        self.start_platform()
        self.start_upstreams()
        for number in range(self.layout.daemons):
            self.start_daemon(f"entry-{number}")

    def start_platform(self) -> None:
        """Starts table, object store, weight store and VM list."""
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
        """Starts an engine for each VM and the plain services."""
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
        """Returns the address of a process; first use chooses a free port."""
        if name not in self.addresses:
            self.addresses[name] = f"{HOST}:{find_port()}"
        return self.addresses[name]

    def start_daemon(self, name: str, wait: bool = True) -> None:
        """Starts or restarts a daemon on its addresses.

        Args:
            name: Name of the daemon, which ends with its number.
            wait: Whether to wait until it answers.
        """
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
            "--tunnel-listen": self.get_address(name + ".tunnel"),
            "--peers": ",".join(peers),
            "--table": self.get_address("table"),
            "--objects": self.get_address("objects"),
            "--inventory": self.get_address("inventory"),
            "--resume-secret": RESUME_SECRET,
            "--admin-key-digest": callers.digest_key(ADMIN_KEY),
            "--keep-seconds": str(layout.keep_seconds),
            **self.overrides.get(name, {}),
        }
        module = self.modules.get(name, DAEMON_MODULE)
        command = [sys.executable, "-m", module, "serve"]
        for flag, value in flags.items():
            command += [flag, value]
        self._spawn(name, command)
        if wait:
            wait_for(f"{name} to answer", lambda: self._answers(name))

    def _get_peer_address(self, name: str) -> str:
        own = self.get_address(name + ".peer")
        return self.overrides.get(name, {}).get("--peer-advertise", own)

    def restart(self, name: str) -> None:
        """Restarts a terminated stand-in with the same command line."""
        self._spawn(name, self._commands[name])
        wait_for(f"{name} to answer", lambda: self._answers(name))

    def send_signal(self, name: str, number: int) -> None:
        """Sends a signal to a process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process and waits until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait()

    def terminate(self, name: str) -> int:
        """Sends SIGTERM to a process and returns its exit code.

        Raises:
            subprocess.TimeoutExpired: It runs on after `STOP_SECONDS`.
        """
        self.processes[name].send_signal(signal.SIGTERM)
        return self.processes[name].wait(STOP_SECONDS)

    def read_record(self) -> list[dict[str, typing.Any]]:
        """Returns the entries of the upstreams' record, oldest first."""
        if not self.record.exists():
            return []
        lines = self.record.read_bytes().splitlines()
        return [msgspec.json.decode(line) for line in lines]

    def stop(self) -> dict[str, int]:
        """Stops the daemons, then the stand-ins, all with SIGTERM.

        Processes that do not exit within `STOP_SECONDS` are killed.

        Returns:
            Exit codes by process; a negative code is a signal.
        """
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
        """Sends a call to a daemon's administration API.

        Args:
            method: HTTP method.
            path: Path below `/admin/v1`.
            body: Body to encode as JSON.
            daemon: Number of the daemon.
        """
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
        """Returns the rows of a service's replicas that serve at a daemon."""
        status = self.admin("GET", "/status", daemon=daemon).json()
        return [
            item["row"]
            for item in status["replicas"]
            if item["serving"] and item["row"]["service"] == service
        ]

    def is_ready(self, daemon: int = 0) -> bool:
        """Returns whether a daemon reports that it is ready."""
        try:
            reply = call(self.addresses[f"entry-{daemon}"], "GET", "/readyz")
        except http.HttpError:
            return False
        return reply.status == 200

    def count_serving(self, service: str, daemon: int = 0) -> int:
        """Returns how many replicas of a service serve at a daemon.

        The count is 0 if the daemon does not answer.
        """
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
        # A negative code is the signal that terminated the process.
        code = self.processes[name].poll()
        if code is not None:
            log = (self.directory / f"{name}.log").read_text()
            raise WaitFailedError(
                f"{name} exited while starting, code {code}:\n{log[-3000:]}"
            )
        try:
            call(self.addresses[name], "GET", "/healthz")
        except http.HttpError:
            return False
        return True
