"""Real daemon processes in front of a stand-in for the users' platform.

The daemons use the same ports on all VMs, so each daemon has its own loopback
address. Each daemon reaches the store through its own forwarder.
"""

import dataclasses
import os
import pathlib
import random
import signal
import subprocess
import sys
import time
import typing
from collections import abc

import gevent
import msgspec

from arbutuscove.platform import settings
from arbutuscove.standins import cluster
from arbutuscove.standins import forwarder
from arbutuscove.standins import users_platform
from arbutuscove.storage import http
from soak import ownership

DAEMON_COUNT = 3
GROUPED_SERVER_COUNT = 6
PLAIN_SERVER_COUNT = 2
# Its one server gets no faults but silence; only varied configurations use it.
SPARE_SERVICE = "annex"
CHANGE_TIMEOUTS_MS = (2500, 4000, 6000)
MAX_ADDED_ROUTES = 3
ZONES = ("a", "b")  # of a world with several
# Of cold servers; the rate is in requests a second.
COLD_SECONDS = 8.0  # groups of servers that start open after about 3
COLD_RATE = 2.0
COLD_OVERSHOOT = 1.5
COLD_SLACK = 2.0
STOP_TIMEOUT_SECONDS = 12.0


@dataclasses.dataclass(slots=True)
class Daemon:
    """One daemon, its current process and the faults that affect it.

    Attributes:
        name: name of the daemon.
        ip: loopback address on which it listens.
        settings: path of its settings file.
        log: path of its log file.
        link: forwarder between the daemon and the store.
        process: current process; None before the start and while a fault
            restarts it.
        started_at: monotonic time of the process's start, in seconds.
        disturbed_until: monotonic time, in seconds, until which faults other
            than planned stops may affect the daemon.
        exits: unused.
    """

    name: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    link: forwarder.Forwarder
    process: subprocess.Popen[bytes] | None = None
    started_at: float = 0.0
    disturbed_until: float = 0.0
    exits: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """One configuration that was stored.

    Attributes:
        stored_at: monotonic time in seconds.
        timeouts: time-out of each route by its prefix, in seconds.
    """

    stored_at: float
    timeouts: dict[str, float]


class World:
    """All daemon processes and stand-ins of one run.

    Attributes:
        keys: keys that callers use; the newest configuration has them.
        added_prefixes: prefixes of the routes that the newest configuration
            has besides those of `users_platform.build_configuration`.
        changes: stored configurations, in order.
    """

    def __init__(
        self,
        directory: pathlib.Path,
        seed: int,
        has_server_links: bool = True,
        beside: pathlib.Path | None = None,
        has_zones: bool = False,
        memory_mb: int | None = None,
        grouped_count: int = GROUPED_SERVER_COUNT,
        plain_count: int = PLAIN_SERVER_COUNT,
        daemon_count: int = DAEMON_COUNT,
    ) -> None:
        """Creates the stand-ins; `start` then starts each daemon.

        Args:
            directory: for the daemons' settings and logs.
            seed: chooses the loopback addresses.
            has_server_links: whether daemons reach servers through forwarders.
                A forwarder accepts connections for a server that has crashed.
            beside: checkout of another version, which every second start of a
                daemon runs, so that both versions run side by side.
            has_zones: whether there are several zones, and servers of groups
                that start are cold.
            memory_mb: memory of each daemon's VM, as its settings state it;
                None if they state none.
            grouped_count: servers that form groups.
            plain_count: servers of the plain service.
            daemon_count: daemons, each a process.
        """
        self._memory_mb = memory_mb
        self._zones = ZONES if has_zones else ZONES[:1]
        self._beside = beside
        self._has_server_links = has_server_links
        self._root = pathlib.Path(__file__).parent.parent
        self._directory = directory
        self._processes: list[subprocess.Popen[bytes]] = []
        # Each run has its own port, so that concurrent runs do not collide.
        self.port = cluster.find_port()
        subnet = seed % 200 + 1
        self.platform = users_platform.UsersPlatform(
            f"127.{subnet}.1.1", self.port
        )
        self.links: dict[str, forwarder.Forwarder] = {}
        for number in range(grouped_count):
            # Two servers in a row can form a group.
            index = number // 2 % len(self._zones)
            self._add_server(
                subnet, number, "models", f"d{index}", self._zones[index]
            )
        for number in range(grouped_count, grouped_count + plain_count):
            zone = self._zones[number % len(self._zones)]
            self._add_server(subnet, number, "desk", "", zone)
        self._add_server(
            subnet,
            grouped_count + plain_count,
            SPARE_SERVICE,
            "",
            self._zones[0],
        )
        if has_zones:
            self.platform.cold_start_seconds = COLD_SECONDS
        self.version = 1
        self.keys: list[str] = []
        self.added_prefixes: list[str] = []
        self.changes: list[Change] = []
        self.change_configuration()
        self.daemons = [
            self._create_daemon(subnet, number)
            for number in range(daemon_count)
        ]

    def change_configuration(self) -> int:
        """Stores a newer configuration with one more route.

        Returns:
            Version of the new configuration.
        """
        self.version += 3
        return self._store(
            users_platform.build_configuration(self.version),
            [f"/v{self.version}/"],
        )

    def vary_configuration(self, generator: random.Random) -> int:
        """Stores a newer configuration that differs in several ways.

        Time-outs change, the route `safe` may use the spare service, and routes
        and a key are added and removed.

        Args:
            generator: source of random choices.

        Returns:
            Version of the new configuration.
        """
        self.version += 3
        body = users_platform.build_configuration(self.version)
        for route in body["routes"]:
            route["timeout_ms"] = generator.choice(CHANGE_TIMEOUTS_MS)
        if generator.random() < 0.5:
            body["routes"][2]["service"] = SPARE_SERVICE
        if generator.random() < 0.5:
            keys = body["tenants"][0]["api_keys"]
            keys.append(f"key-{self.version}")
        kept = [p for p in self.added_prefixes if generator.random() < 0.5]
        prefixes = [*kept, f"/v{self.version}/"][:MAX_ADDED_ROUTES]
        return self._store(body, prefixes)

    def _store(
        self, body: dict[str, typing.Any], added_prefixes: list[str]
    ) -> int:
        """Stores a configuration with more routes like `safe`."""
        body["services"].append(
            {
                "name": SPARE_SERVICE,
                "health_path": "/health",
                "max_connections": 100,
            }
        )
        if len(self._zones) > 1:
            body["services"][0] |= {
                "cold_start_s": COLD_SECONDS,
                "cold_per_s": COLD_RATE,
            }
        for prefix in added_prefixes:
            added_route = dict(body["routes"][2])
            added_route |= {"prefix": prefix, "name": f"added-{prefix[2:-1]}"}
            body["routes"].append(added_route)
        self.platform.store.put("op", "config", body)
        self.added_prefixes = added_prefixes
        self.keys = body["tenants"][0]["api_keys"]
        timeouts = {
            route["prefix"]: route["timeout_ms"] / 1000
            for route in body["routes"]
        }
        self.changes.append(
            Change(stored_at=time.monotonic(), timeouts=timeouts)
        )
        return self.version

    def evacuate(self, zone: str) -> None:
        """Asks the daemons to send nothing to a zone, until `restore`."""
        self.platform.store.put("op", f"evacuate/{zone}", {})

    def restore(self, zone: str) -> None:
        """Takes back `evacuate`."""
        self.platform.store.drop("op", f"evacuate/{zone}")

    def list_open_groups(self, zone: str) -> set[tuple[typing.Any, ...]]:
        """Returns name, epoch and members, with starts, of a zone's groups."""
        servers = self.platform.servers
        return {
            (
                head.group["name"],
                head.group["epoch"],
                *((name, servers[name].born) for name in head.members),
            )
            for head in servers.values()
            if head.zone == zone and head.is_alive and head.is_progressing()
        }

    def list_heads(self) -> list[users_platform.Server]:
        """Returns the heads of open groups that nothing isolates, by name."""
        return [
            server
            for _, server in sorted(self.platform.servers.items())
            if server.is_alive
            and server.is_progressing()
            and server.members[0] == server.name
            and not server.is_cut_from_store
        ]

    def isolate(
        self,
        servers: abc.Iterable[users_platform.Server],
        mode: forwarder.Mode | None,
    ) -> None:
        """Cuts servers from the store until `end_isolation`.

        Args:
            servers: the servers.
            mode: how they are cut from the daemons, too; None if they are not.
        """
        for server in servers:
            server.is_cut_from_store = True
            if mode is not None:
                link = self.links[server.name]
                link.set_faults(forwarder.Faults(mode=mode))

    def end_isolation(
        self, servers: abc.Iterable[users_platform.Server]
    ) -> None:
        """Ends what `isolate` began."""
        for server in servers:
            server.is_cut_from_store = False
            self.links[server.name].set_faults(forwarder.Faults())

    def start(self, daemon: Daemon) -> None:
        """Starts a process for the daemon."""
        environment = dict(os.environ)
        environment[settings.SETTINGS_FILE_VARIABLE] = str(daemon.settings)
        root = self._choose_root()
        environment["PYTHONPATH"] = str(root)
        daemon.started_at = time.monotonic()
        with daemon.log.open("ab") as log:
            daemon.process = subprocess.Popen(
                [sys.executable, "-m", "arbutuscove.platform"],
                cwd=root,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(daemon.process)

    def _choose_root(self) -> pathlib.Path:
        """Returns the checkout that the next process runs."""
        if self._beside is not None and len(self._processes) % 2 == 0:
            return self._beside
        return self._root

    def signal(self, daemon: Daemon, number: signal.Signals) -> None:
        """Sends a signal to the daemon's process if it is running."""
        if daemon.process is not None and daemon.process.poll() is None:
            daemon.process.send_signal(number)

    def cut_off(
        self, daemons: abc.Sequence[Daemon], mode: forwarder.CutMode
    ) -> None:
        """Cuts daemons from all servers until `end_cut`.

        A connection that a peer opens for a daemon is the peer's.
        """
        owners = ownership.Owners(
            lambda: [d.process.pid for d in daemons if d.process is not None]
        )
        gevent.joinall(
            [
                gevent.spawn(link.cut_peers, mode, owners.find_owned)
                for link in self.links.values()
            ],
            raise_error=True,
        )

    def end_cut(self) -> None:
        """Ends the cut of `cut_off`."""
        for link in self.links.values():
            link.end_cut()

    def stop(self) -> None:
        """Kills the daemon processes of this run and stops the stand-ins."""
        for process in self._processes:
            if process.poll() is None:
                process.kill()
                process.wait(timeout=STOP_TIMEOUT_SECONDS)
        for daemon in self.daemons:
            daemon.link.stop()
        for link in self.links.values():
            link.stop()
        self.platform.stop()

    def _add_server(
        self, subnet: int, number: int, service: str, domain: str, zone: str
    ) -> None:
        listen_address = (f"127.{subnet}.2.{number + 1}", self.port)
        advertised_address = listen_address
        name = f"i-{number}"
        if self._has_server_links:
            advertised_address = (f"127.{subnet}.3.{number + 1}", self.port)
            link = forwarder.Forwarder(
                http.Address(*advertised_address), http.Address(*listen_address)
            )
            link.start()
            self.links[name] = link
        server = users_platform.Server(
            self.platform,
            name,
            service,
            listen_address,
            domain,
            advertised=advertised_address,
            zone=zone,
        )
        self.platform.add(server)

    def _create_daemon(self, subnet: int, number: int) -> Daemon:
        name = f"daemon-{number}"
        ip = f"127.{subnet}.4.{number + 1}"
        link_address = http.Address(f"127.{subnet}.5.{number + 1}", self.port)
        store_address = http.Address(f"127.{subnet}.1.1", self.port)
        link = forwarder.Forwarder(link_address, store_address)
        link.start()
        settings_path = self._directory / f"{name}.json"
        body = users_platform.build_settings(
            name, ip, str(link_address), self.port
        )
        if len(self._zones) > 1:
            body["zone"] = self._zones[number % len(self._zones)]
            body["zones"] = dict.fromkeys(self._zones, body["region"])
            body["bounds"] |= {
                "cold_overshoot": COLD_OVERSHOOT,
                "cold_slack": COLD_SLACK,
            }
        if self._memory_mb is not None:
            body["limits"]["memory_mb"] = self._memory_mb
        settings_path.write_bytes(msgspec.json.encode(body))
        log = self._directory / f"{name}.log"
        return Daemon(
            name=name, ip=ip, settings=settings_path, log=log, link=link
        )
