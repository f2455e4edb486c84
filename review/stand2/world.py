"""A small deployment for the scripts of the second review.

With KEEP=1 in the environment the settings and logs of the daemons stay.

The daemons are separate processes, started with the command of the deploy file
on loopback addresses. The store and the servers are the project's own stand-in
for the users' platform and run in the process of the script.
"""

# Modules that use sockets have to be imported after the patch.
# ruff: noqa: E402
from gevent import monkey

monkey.patch_all()

import contextlib
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import gevent

ROOT = pathlib.Path(__file__).resolve().parents[2]

from arbutuscove.standins import users_platform

HOST = "x.example"
KEY = "key-1"
STAMP = "x-server-stamp"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be brought about."""


class Record:
    """The lines of `record.txt`, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self.started = time.monotonic()

    def write(self, text):
        """Writes one line."""
        passed = time.monotonic() - self.started
        self._file.write(f"{passed:8.3f} {text}\n")
        self._file.flush()

    def close(self):
        """Closes the file."""
        self._file.close()


def find_port():
    """Returns the first of some free ports."""
    for _ in range(100):
        port = random.randrange(20000, 30000)
        with contextlib.ExitStack() as cleanup:
            try:
                for number in range(12):
                    probe = cleanup.enter_context(socket.socket())
                    probe.bind(("0.0.0.0", port + number))
            except OSError:
                continue
            return port
    raise CannotRunError("no free ports")


class World:
    """The platform and the daemons of one run."""

    def __init__(self, record, daemons=3, grouped=4, plain=2):
        self.record = record
        self.started = record.started
        self.port = find_port()
        subnet = random.randrange(1, 200)
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review2-"))
        self._processes = {}
        self.platform = users_platform.UsersPlatform(
            f"127.{subnet}.1.1", self.port
        )
        for number in range(grouped + plain):
            is_grouped = number < grouped
            server = users_platform.Server(
                self.platform,
                f"i-{number}",
                "models" if is_grouped else "desk",
                (f"127.{subnet}.2.{number + 1}", self.port),
                "d0" if is_grouped else "",
            )
            self.platform.add(server)
        self.configuration = users_platform.build_configuration(1)
        self.put_configuration()
        self.ips = []
        self._settings = {}
        self._logs = {}
        for number in range(daemons):
            ip = f"127.{subnet}.4.{number + 1}"
            name = f"daemon-{number}"
            body = users_platform.build_settings(
                name, ip, f"127.{subnet}.1.1:{self.port}", self.port
            )
            body["limits"]["memory_mb"] = 300
            body["limits"]["max_fds"] = 4200
            path = self._folder / f"{name}.json"
            path.write_text(json.dumps(body))
            self.ips.append(ip)
            self._settings[ip] = path
            self._logs[ip] = (self._folder / f"{name}.log").open("ab")

    def put_configuration(self):
        """Stores the configuration; the store's answer acknowledges it."""
        self.platform.store.put("op", "config", self.configuration)
        version = self.configuration["version"]
        self.record.write(f"operator: version {version} is acknowledged")

    def start(self, ip):
        """Starts the daemon at an address as the deploy file says."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["daemon"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["ARBUTUSCOVE_NODE_FILE"] = str(self._settings[ip])
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        log = self._logs[ip]
        self._processes[ip] = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )

    def get_process(self, ip):
        """Returns the process of the daemon at an address."""
        return self._processes[ip]

    def start_all(self):
        """Starts all daemons, and waits until they are ready."""
        for ip in self.ips:
            self.start(ip)
        end = time.monotonic() + 30
        while not all(self.is_ready(ip) for ip in self.ips):
            if time.monotonic() > end:
                raise CannotRunError("the daemons are not ready")
            gevent.sleep(0.1)
        self.record.write(f"{len(self.ips)} daemons are ready")

    def is_ready(self, ip):
        """Returns whether a daemon says that it is ready."""
        try:
            answer = ask(
                ip, self.port + 1, b"GET /ready HTTP/1.1\r\nHost: p\r\n\r\n"
            )
        except OSError:
            return False
        return answer.status == 200

    def stop(self):
        """Ends all processes of this run."""
        for process in self._processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.platform.stop()
        for log in self._logs.values():
            log.close()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self._folder, ignore_errors=True)


class Answer:
    """An answer: status, headers by name in lower case, body and the rest."""

    def __init__(self, status, headers, body, rest):
        self.status = status
        self.headers = headers
        self.body = body
        self.rest = rest


def ask(ip, port, data, timeout=5.0):
    """Sends bytes on a connection of its own and returns the first answer."""
    with socket.create_connection((ip, port), timeout=timeout) as sock:
        sock.sendall(data)
        return read_answer(sock)


def read_answer(sock, rest=b""):
    """Reads one answer with a length or in chunks."""
    while b"\r\n\r\n" not in rest:
        data = sock.recv(65536)
        if not data:
            raise ConnectionResetError(f"closed after {rest!r}")
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding") == "chunked":
        body, rest = _read_chunks(sock, rest)
    else:
        length = int(headers.get("content-length", "0"))
        while len(rest) < length:
            data = sock.recv(65536)
            if not data:
                raise ConnectionResetError("closed within a body")
            rest += data
        body, rest = rest[:length], rest[length:]
    return Answer(int(lines[0].split()[1]), headers, body, rest)


def _read_chunks(sock, rest):
    body = b""
    while True:
        while b"\r\n" not in rest:
            data = sock.recv(65536)
            if not data:
                raise ConnectionResetError("closed within chunks")
            rest += data
        line, _, rest = rest.partition(b"\r\n")
        size = int(line, 16)
        while len(rest) < size + 2:
            data = sock.recv(65536)
            if not data:
                raise ConnectionResetError("closed within a chunk")
            rest += data
        body, rest = body + rest[:size], rest[size + 2 :]
        if not size:
            return body, rest


def run_case(folder, case, **counts):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held.

    Args:
        folder: where `record.txt` is written.
        case: called with the world; returns what broke the rule.
        counts: passed to `World`.
    """
    record = Record(folder)
    world = None
    status = 2
    try:
        with gevent.Timeout(100):
            world = World(record, **counts)
            world.start_all()
            broken = case(world)
        for text in broken:
            record.write(f"BROKEN {text}")
        record.write(f"the rule {'was broken' if broken else 'held'}")
        status = 1 if broken else 0
    except (CannotRunError, OSError, gevent.Timeout) as error:
        record.write(f"could not run: {type(error).__name__} {error}")
    finally:
        if world is not None:
            world.stop()
        record.close()
    sys.exit(status)
