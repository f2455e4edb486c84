"""Callers that check each response against the request and the run records."""

import dataclasses
import datetime
import random
import time
from collections import abc

import gevent
import msgspec
from gevent import pool

from arbutuscove.platform import headers
from arbutuscove.standins import users_platform
from arbutuscove.storage import http
from arbutuscove.transport import connection
from soak import world as world_module

NOT_RUN_STATUSES = (408, 421, 429, 503)
DEADLINE = datetime.timedelta(seconds=4)
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
MAX_PAUSE_SECONDS = 0.05
# Seldom callers use connections that were idle for a while, also at a daemon
# that stops.
SELDOM_SHARE = 0.25  # of the callers
SELDOM_PAUSE_SECONDS = 4.0
# How long a caller waits beyond its deadline for the end of a request.
EXTRA_WAIT_SECONDS = 1.0
# Share of requests after which a caller chooses another daemon.
RECONNECT_SHARE = 0.05
ADDED_SHARE = 0.1  # of the requests, to a route that comes and goes
ADDED_ROUTE = "added"
RESOLVE_INTERVAL_SECONDS = 1.0
STEADY_INTERVAL_SECONDS = 0.05  # mean time between calls of one daemon
ROUTES = ("stream", "once", "safe")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How one request ended.

    Attributes:
        request_id: ID that the caller sent with the request.
        route: name of the route, one of `ROUTES`, or `ADDED_ROUTE`.
        daemon: name of the daemon that was called.
        status: HTTP status, or 0 if no complete response arrived.
        started_at: monotonic time at which the caller began, in seconds.
        seconds: time until the response was complete or had failed.
        prompt_parts: ids of the parts of the prompt, in order.
    """

    request_id: str
    route: str
    daemon: str
    status: int
    started_at: float
    seconds: float
    prompt_parts: tuple[str, ...] = ()


class Callers:
    """Concurrent callers that send requests until they are stopped.

    Attributes:
        outcomes: how the requests ended.
        unsent: requests for which no connection could be opened.
        violations: promises that were broken, as the callers saw it.
    """

    def __init__(
        self,
        world: world_module.World,
        generator: random.Random,
        count: int,
        draw_prompt: abc.Callable[[str], tuple[str, ...]] | None = None,
    ) -> None:
        """Starts the callers.

        Args:
            world: the system that they call.
            generator: source of random choices.
            count: number of callers.
            draw_prompt: returns the prompt parts of a streamed request by its
                id; None for requests without any.
        """
        self._draw_prompt = draw_prompt
        self._world = world
        self._generator = generator
        self.outcomes: list[Outcome] = []
        self.unsent: list[Outcome] = []
        self.violations: list[users_platform.Violation] = []
        self._request_count = 0
        self._is_stopping = False
        seldom_count = int(SELDOM_SHARE * count)
        self._greenlets = [
            gevent.spawn(
                self._run,
                SELDOM_PAUSE_SECONDS
                if number < seldom_count
                else MAX_PAUSE_SECONDS,
            )
            for number in range(count)
        ]

    def call_steadily(self) -> None:
        """Also calls each daemon at a steady rate, whatever it answers."""
        self._greenlets += [
            gevent.spawn(self._run_steadily, f"{daemon.ip}:{self._world.port}")
            for daemon in self._world.daemons
        ]

    def stop(self) -> None:
        """Stops the callers once their current requests have ended."""
        self._is_stopping = True
        gevent.joinall(self._greenlets)

    def _run(self, max_pause_seconds: float) -> None:
        http_connection: connection.Connection | None = None
        addresses: list[str] = []
        resolved_at = 0.0
        while not self._is_stopping:
            gevent.sleep(max_pause_seconds * self._generator.random())
            if time.monotonic() > resolved_at + RESOLVE_INTERVAL_SECONDS:
                addresses = self._resolve() or addresses
                resolved_at = time.monotonic()
            # An open connection is used until its daemon closes it, although
            # the address may no longer be listed.
            if (
                http_connection is not None
                and self._generator.random() < RECONNECT_SHARE
            ):
                http_connection.close()
                http_connection = None
            if not addresses:
                continue
            http_connection = self._send(
                http_connection, self._generator.choice(addresses)
            )

    def _run_steadily(self, entry_address: str) -> None:
        calls = pool.Group()
        idle_connections: list[connection.Connection] = []

        def call() -> None:
            kept = self._send(
                idle_connections.pop() if idle_connections else None,
                entry_address,
            )
            if kept is not None:
                idle_connections.append(kept)

        while not self._is_stopping:
            gevent.sleep(2 * STEADY_INTERVAL_SECONDS * self._generator.random())
            calls.spawn(call)
        calls.join()

    def _resolve(self) -> list[str]:
        daemon = self._generator.choice(self._world.daemons)
        address = http.Address(daemon.ip, self._world.port + 2)
        try:
            http_connection = connection.connect(address, CONNECT_TIMEOUT)
            path = "/resolve?name=x.example&zone=a"
            http_connection.send(
                "GET", connection.encode_request("GET", path, (), b"")
            )
            parser = http_connection.receive(CONNECT_TIMEOUT)
            while not parser.is_complete():
                parser = http_connection.receive(CONNECT_TIMEOUT)
        except http.HttpError:
            return []
        http_connection.close()
        if parser.get_code() != 200:
            return []
        body = msgspec.json.decode(parser.pop_body())
        return list(body["addresses"])

    def _send(
        self, http_connection: connection.Connection | None, entry_address: str
    ) -> connection.Connection | None:
        """Sends one request; returns the connection if it is reusable."""
        address = http.Address.parse(entry_address)
        route = self._generator.choice(ROUTES)
        self._request_count += 1
        request_id = f"r{self._request_count}"
        prompt_parts: tuple[str, ...] = ()
        if route == "stream" and self._draw_prompt is not None:
            prompt_parts = self._draw_prompt(request_id)
        prompt = ",".join(f"{part}:40" for part in prompt_parts)
        prefix = f"/{route}/"
        if (
            route == "safe"
            and self._world.added_prefixes
            and self._generator.random() < ADDED_SHARE
        ):
            route = ADDED_ROUTE
            prefix = self._generator.choice(self._world.added_prefixes)
        is_read = route in ("safe", ADDED_ROUTE)
        fields = (
            ("Host", "x.example"),
            (
                "Authorization",
                f"Token {self._generator.choice(self._world.keys)}",
            ),
            (headers.REQUEST_ID, request_id),
            (headers.DEADLINE, str(int(DEADLINE.total_seconds() * 1000))),
            *(((headers.MODEL, "chat"),) if route == "stream" else ()),
            *(((headers.PROMPT_PREFIX, prompt),) if prompt else ()),
        )
        body = b"body of " + request_id.encode()
        method = "GET" if is_read else "POST"
        data = connection.encode_request(
            method, f"{prefix}1", fields, b"" if is_read else body
        )
        begin_time = time.monotonic()
        status, answer, stamp, is_kept = 0, b"", None, False
        try:
            if http_connection is None or not http_connection.is_still_idle():
                http_connection = connection.connect(address, CONNECT_TIMEOUT)
        except http.HttpError:
            self.unsent.append(
                self._build_outcome(
                    request_id, route, address, 0, begin_time, ()
                )
            )
            return None
        address = http_connection.address
        try:
            http_connection.send(method, data)
            response_deadline = (
                begin_time + DEADLINE.total_seconds() + EXTRA_WAIT_SECONDS
            )
            parser = None
            while parser is None or not parser.is_complete():
                remaining = datetime.timedelta(
                    seconds=response_deadline - time.monotonic()
                )
                parser = http_connection.receive(remaining)
            status, answer = parser.get_code(), parser.pop_body()
            stamp, is_kept = (
                parser.get_header(users_platform.STAMP),
                http_connection.is_reusable(),
            )
        except http.HttpError:
            http_connection.close()
        self.outcomes.append(
            self._build_outcome(
                request_id, route, address, status, begin_time, prompt_parts
            )
        )
        if status == 200:
            self._check_success(route, request_id, answer, stamp, body)
        if is_kept:
            return http_connection
        http_connection.close()
        return None

    def _build_outcome(
        self,
        request_id: str,
        route: str,
        address: http.Address,
        status: int,
        begin_time: float,
        prompt_parts: tuple[str, ...],
    ) -> Outcome:
        daemon = next(d for d in self._world.daemons if d.ip == address.host)
        return Outcome(
            request_id=request_id,
            route=route,
            daemon=daemon.name,
            status=status,
            started_at=begin_time,
            seconds=time.monotonic() - begin_time,
            prompt_parts=prompt_parts,
        )

    def _check_success(
        self,
        route: str,
        request_id: str,
        answer: bytes,
        stamp: str | None,
        body: bytes,
    ) -> None:
        if stamp is None or not stamp.endswith("." + request_id):
            self._record_violation(
                "MIXED", f"{request_id} has the stamp {stamp}"
            )
            return
        server = stamp.rpartition(".")[0]
        expected = f"{server}:{request_id}".encode()
        if route == "once":
            expected += body
        if route == "stream":
            expected = b"".join(
                f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
                for number in range(1, users_platform.EVENTS_PER_STREAM + 1)
            )
        if answer != expected:
            name = "ORDER" if route == "stream" else "MIXED"
            self._record_violation(name, f"{request_id}: {answer!r}")

    def _record_violation(self, name: str, detail: str) -> None:
        self.violations.append(
            users_platform.Violation(name=name, detail=detail)
        )


def check_runs(
    outcomes: list[Outcome], runs: list[users_platform.Run]
) -> list[users_platform.Violation]:
    """Compares the outcomes that callers saw with the servers' run records.

    Args:
        outcomes: outcomes of all requests.
        runs: runs that the servers recorded.

    Returns:
        Non-repeatable requests that ran twice, or ran although the response
        said that they had not, and requests that ran for another account.
    """
    violations: list[users_platform.Violation] = []
    runs_by_id: dict[str, list[users_platform.Run]] = {}
    for run in runs:
        runs_by_id.setdefault(run.request_id, []).append(run)
    for outcome in outcomes:
        request_runs = runs_by_id.get(outcome.request_id, [])
        if outcome.route == "once" and len(request_runs) > 1:
            detail = f"{outcome.request_id} ran {len(request_runs)} times"
            violations.append(
                users_platform.Violation(name="TWICE", detail=detail)
            )
        if (
            outcome.route == "once"
            and outcome.status in NOT_RUN_STATUSES
            and request_runs
        ):
            detail = f"{outcome.request_id} got {outcome.status} and ran"
            violations.append(
                users_platform.Violation(name="REFUSED", detail=detail)
            )
        if any(run.account != "acme" for run in request_runs):
            detail = f"{outcome.request_id} ran under another account"
            violations.append(
                users_platform.Violation(name="UNASKED", detail=detail)
            )
    return violations
