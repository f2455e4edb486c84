"""Guards against explanations that differ from what daemons then do."""

import http.client
import json
import os
import subprocess
import sys

import msgspec
import pytest

from arbutuscove.platform import headers
from arbutuscove.platform import settings as settings_module
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import users_platform
from arbutuscove.storage import http as storage_http

HOST = "x.example"
KEY = "key-1"
READ_SECONDS = 10.0
READY_PORT_OFFSET = 1
DOMAINS = ("a", "b")
# One route to a plain service, one to a model.
PATHS = ("/safe/x", "/stream/x")
# What a sent or refused request adds to.
COUNTED = ("domain_choices", "refusals", "request", "tokens", "warming_sends")
COMMAND = "from arbutuscove.tool import main; main.main()"


class Fleet:
    """One daemon, one plain server and one group in each failure domain."""

    def __init__(self, directory):
        self.port = cluster_module.find_port()
        self.platform = users_platform.UsersPlatform("127.78.1.1", self.port)
        configuration = users_platform.build_configuration(1)
        # Groups that are slower than their configuration get fewer requests.
        engine = configuration["services"][0]["engine"]
        engine["step_ms"] = 1000 * users_platform.EVENT_INTERVAL_SECONDS
        self.platform.store.put("op", "config", configuration)
        self._processes = []
        for number, domain in enumerate(DOMAINS):
            self._add_servers(number, domain)
            self._start(directory, number, domain)

    def _add_servers(self, number, domain):
        for place, (service, fabric_domain) in enumerate(
            [("desk", ""), *[("models", f"rack-{domain}")] * 2]
        ):
            self.platform.add(
                users_platform.Server(
                    self.platform,
                    f"srv-{domain}{place}",
                    service,
                    (f"127.78.2.{3 * number + place + 1}", self.port),
                    domain=fabric_domain,
                    zone=domain,
                )
            )

    def _start(self, directory, number, domain):
        settings = users_platform.build_settings(
            f"front-{number}",
            self.get_ip(number),
            f"127.78.1.1:{self.port}",
            self.port,
        )
        settings["zone"] = domain
        settings["zones"] = dict.fromkeys(DOMAINS, "r")
        file = directory / f"settings-{number}.json"
        file.write_bytes(msgspec.json.encode(settings))
        with (directory / f"daemon-{number}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "arbutuscove.platform"],
                env=self._build_environment()
                | {settings_module.SETTINGS_FILE_VARIABLE: str(file)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self._processes.append(process)

    def _build_environment(self):
        return os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}

    def get_ip(self, number):
        """Returns the address of a daemon, without a port."""
        return f"127.78.3.{number + 1}"

    def ask(self, number, path):
        """Returns what the command says about a request to a daemon."""
        # The port for questions follows the first internal one.
        address = f"{self.get_ip(number)}:{self.port + 4}"
        options = ["--address", address, "--host", HOST, "--path", path]
        if path.startswith("/stream/"):
            options += ["--model", "chat"]
        result = subprocess.run(
            [sys.executable, "-c", COMMAND, "explain-route", *options]
            + ["--key", KEY, "--json"],
            env=self._build_environment(),
            capture_output=True,
            check=False,
        )
        return json.loads(result.stdout) if result.returncode == 0 else None

    def call(self, number, method, path, fields, offset=0):
        """Returns status and body of a daemon's answer.

        Args:
            number: the number of the daemon.
            method: the method.
            path: the path.
            fields: the header fields.
            offset: of the port, from that for callers.
        """
        address = storage_http.Address(self.get_ip(number), self.port + offset)
        caller = http.client.HTTPConnection(*address, timeout=READ_SECONDS)
        try:
            caller.request(method, path, None, fields)
            response = caller.getresponse()
            return response.status, response.read()
        finally:
            caller.close()

    def send(self, number, path, request_id):
        """Sends a request; returns the server that ran it."""
        fields = {
            "Host": HOST,
            "Authorization": headers.KEY_SCHEME + KEY,
            "X-Request-Id": request_id,
            "X-Model": "chat",
        }
        status, _ = self.call(number, "POST", path, fields)
        assert status == 200
        (run,) = [
            run for run in self.platform.runs if run.request_id == request_id
        ]
        return run.server

    def read_counters(self, number):
        """Returns the lines of the metrics that requests add to."""
        _, body = self.call(number, "GET", "/metrics", {}, READY_PORT_OFFSET)
        return [
            line
            for line in body.decode().splitlines()
            if line.startswith(tuple(f"arbutuscove_{x}" for x in COUNTED))
        ]

    def stop(self):
        """Stops the processes and the stand-ins."""
        for process in self._processes:
            process.kill()
            process.wait()
        self.platform.stop()


@pytest.fixture
def fleet(tmp_path):
    """Daemons that know each other's demand, so that requests stay near."""
    running = Fleet(tmp_path)
    try:
        for number, domain in enumerate(DOMAINS):
            for path in PATHS:
                cluster_module.wait_for(
                    f"requests to {path} stay in {domain}",
                    lambda number=number, path=path, domain=domain: stays(
                        running.ask(number, path), domain
                    ),
                )
        yield running
    finally:
        running.stop()


def stays(found, domain):
    """Returns whether an explanation sends all to its failure domain."""
    return (
        found is not None
        and found["verdict"]["verdict"] == "sent"
        and found["shares"] == {domain: 1.0}
    )


def test_explanation_names_the_upstream_of_the_next_request(fleet):
    """Guards against an explanation of other decisions, or one that acts.

    All is calm, and one upstream of each service is near each daemon.
    """
    for number, domain in enumerate(DOMAINS):
        for path in PATHS:
            # The metrics have rows for what was counted once.
            fleet.send(number, path, f"first-{number}{path}")
            counted = fleet.read_counters(number)
            arrivals = len(fleet.platform.arrivals)
            verdict = fleet.ask(number, path)["verdict"]
            assert fleet.read_counters(number) == counted
            assert len(fleet.platform.arrivals) == arrivals
            assert verdict["verdict"] == "sent"
            assert verdict["failure_domain"] == domain
            server = fleet.send(number, path, f"next-{number}{path}")
            assert server == verdict["vm"]
            assert fleet.read_counters(number) != counted
