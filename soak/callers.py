"""Callers that check each answer against what they sent and what ran."""

import dataclasses
import datetime
import random
import time

import gevent
import msgspec

from arbutuscove.platform import headers
from arbutuscove.standins import users_platform
from arbutuscove.storage import http
from arbutuscove.transport import connection
from soak import world as world_module

NOT_RUN = (408, 421, 429, 503)
DEADLINE = datetime.timedelta(seconds=4)
CONNECT = datetime.timedelta(seconds=1)
PAUSE_SECONDS = 0.05
RESOLVE_SECONDS = 1.0
KINDS = ("stream", "once", "safe")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How one request ended; status 0 means a connection without an answer."""

    request_id: str
    kind: str
    daemon: str
    status: int
    at: float
    seconds: float


class Callers:
    """A few callers that send requests without pause."""

    def __init__(
        self, world: world_module.World, generator: random.Random, count: int
    ) -> None:
        self._world = world
        self._generator = generator
        self.outcomes: list[Outcome] = []
        self.violations: list[users_platform.Violation] = []
        self._number = 0
        self._stopping = False
        self._greenlets = [gevent.spawn(self._run) for _ in range(count)]

    def stop(self) -> None:
        """Ends the callers after their present request."""
        self._stopping = True
        gevent.joinall(self._greenlets)

    def _run(self) -> None:
        used: connection.Connection | None = None
        addresses: list[str] = []
        resolved = 0.0
        while not self._stopping:
            gevent.sleep(PAUSE_SECONDS * self._generator.random())
            if time.monotonic() > resolved + RESOLVE_SECONDS:
                addresses = self._resolve() or addresses
                resolved = time.monotonic()
                if used is not None and str(used.address) not in addresses:
                    used.close()
                    used = None
            if not addresses:
                continue
            used = self._send(used, self._generator.choice(addresses))

    def _resolve(self) -> list[str]:
        daemon = self._generator.choice(self._world.daemons)
        address = http.Address(daemon.ip, self._world.port + 2)
        try:
            used = connection.connect(address, CONNECT)
            target = "/resolve?name=x.example&zone=a"
            used.send("GET", connection.encode_request("GET", target, (), b""))
            parser = used.receive(CONNECT)
            while not parser.ended():
                parser = used.receive(CONNECT)
        except http.HttpError:
            return []
        used.close()
        if parser.get_code() != 200:
            return []
        body = msgspec.json.decode(parser.take_body())
        return list(body["addresses"])

    def _send(
        self, used: connection.Connection | None, chosen: str
    ) -> connection.Connection | None:
        """Sends one request; returns the connection if it may be kept."""
        address = http.Address.parse(chosen)
        kind = self._generator.choice(KINDS)
        self._number += 1
        request_id = f"r{self._number}"
        fields = (
            ("Host", "x.example"),
            ("Authorization", "Token key-1"),
            (headers.REQUEST_ID, request_id),
            (headers.DEADLINE, str(int(DEADLINE.total_seconds() * 1000))),
            *(((headers.MODEL, "chat"),) if kind == "stream" else ()),
        )
        body = b"body of " + request_id.encode()
        method = "GET" if kind == "safe" else "POST"
        data = connection.encode_request(
            method, f"/{kind}/1", fields, b"" if kind == "safe" else body
        )
        begun = time.monotonic()
        status, answer, stamp, kept = 0, b"", None, False
        try:
            if used is None or not used.quiet():
                used = connection.connect(address, CONNECT)
        except http.HttpError:
            return None
        address = used.address
        try:
            used.send(method, data)
            end = begun + DEADLINE.total_seconds() + 1
            parser = used.receive(DEADLINE)
            while not parser.ended():
                left = datetime.timedelta(seconds=end - time.monotonic())
                parser = used.receive(left)
            status, answer = parser.get_code(), parser.take_body()
            stamp, kept = parser.header(users_platform.STAMP), used.reusable()
        except http.HttpError:
            used.close()
        daemon = next(d for d in self._world.daemons if d.ip == address.host)
        self.outcomes.append(
            Outcome(
                request_id=request_id,
                kind=kind,
                daemon=daemon.name,
                status=status,
                at=begun,
                seconds=time.monotonic() - begun,
            )
        )
        if status == 200:
            self._check_success(kind, request_id, answer, stamp, body)
        if kept:
            return used
        used.close()
        return None

    def _check_success(
        self,
        kind: str,
        request_id: str,
        answer: bytes,
        stamp: str | None,
        body: bytes,
    ) -> None:
        if stamp is None or not stamp.endswith("." + request_id):
            self._note("MIXED", f"{request_id} has the stamp {stamp}")
            return
        server = stamp.rpartition(".")[0]
        expected = f"{server}:{request_id}".encode()
        if kind == "once":
            expected += body
        if kind == "stream":
            expected = b"".join(
                f"id: {number}\ndata: {request_id}.{number}\n\n".encode()
                for number in range(1, users_platform.EVENTS_PER_STREAM + 1)
            )
        if answer != expected:
            name = "ORDER" if kind == "stream" else "MIXED"
            self._note(name, f"{request_id}: {answer!r}")

    def _note(self, name: str, detail: str) -> None:
        self.violations.append(
            users_platform.Violation(name=name, detail=detail)
        )


def check_runs(
    outcomes: list[Outcome], runs: list[users_platform.Run]
) -> list[users_platform.Violation]:
    """Returns what the answers promised and the servers' record denies."""
    found: list[users_platform.Violation] = []
    by_id: dict[str, list[users_platform.Run]] = {}
    for run in runs:
        by_id.setdefault(run.request_id, []).append(run)
    for outcome in outcomes:
        ran = by_id.get(outcome.request_id, [])
        if outcome.kind == "once" and len(ran) > 1:
            detail = f"{outcome.request_id} ran {len(ran)} times"
            found.append(users_platform.Violation(name="TWICE", detail=detail))
        if outcome.kind == "once" and outcome.status in NOT_RUN and ran:
            detail = f"{outcome.request_id} got {outcome.status} and ran"
            found.append(
                users_platform.Violation(name="REFUSED", detail=detail)
            )
        if any(run.account != "acme" for run in ran):
            detail = f"{outcome.request_id} ran under another account"
            found.append(
                users_platform.Violation(name="UNASKED", detail=detail)
            )
    return found
