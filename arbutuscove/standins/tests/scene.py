"""Running cluster for process-level tests, with callers and access to records.

Tests judge the outcome only by the answers that callers received, by the
engines' record and by the table's log.
"""

import collections
import contextlib
import dataclasses
import http.client
import typing

import gevent
import msgspec

from arbutuscove.config import acceptance
from arbutuscove.entry import headers
from arbutuscove.questionnaire import answers
from arbutuscove.questionnaire import generation
from arbutuscove.standins import cluster as cluster_module
from arbutuscove.standins import demo
from arbutuscove.standins import engine
from arbutuscove.storage import http as storage_http

READ_TIMEOUT_SECONDS = 60.0  # of one read by a caller
TOKENS = 16


@dataclasses.dataclass(kw_only=True)
class Answer:
    """Answer that one caller received.

    Attributes:
        content: Content of the request.
        tokens: Number of requested tokens.
        status: HTTP status; 0 if none arrived.
        headers: Headers of the response.
        body: Body as far as it arrived.
        is_complete: Whether the body ended properly according to HTTP.
        failure: Error of the connection; empty for none.
    """

    content: str
    tokens: int = TOKENS
    status: int = 0
    headers: typing.Any = None
    body: bytes = b""
    is_complete: bool = False
    failure: str = ""

    def list_events(self):
        """Returns the numbers and data of the received events, in order."""
        events = []
        for event in self.body.split(b"\n\n"):
            head, _, data = event.partition(b"\ndata: ")
            if head.startswith(b"id: "):
                events.append((int(head.rpartition(b"-")[2]), data))
        return events

    def list_words(self):
        """Returns the words of a streamed answer."""
        chunks = [d for _, d in self.list_events() if d != b"[DONE]"]
        decoded = [msgspec.json.decode(chunk) for chunk in chunks]
        words = [c["choices"][0]["delta"].get("content") for c in decoded]
        return [word for word in words if word]

    def is_correct(self):
        """Returns whether this is the complete answer to its own request."""
        numbers = [number for number, _ in self.list_events()]
        return (
            self.status == 200
            and self.is_complete
            and numbers == list(range(self.tokens + 2))
            and self.list_words()
            == build_expected_words(self.content, self.tokens)
        )

    def read_error(self):
        """Returns the error object of a refusal."""
        return msgspec.json.decode(self.body)["error"]


def build_expected_words(content, tokens=TOKENS):
    """Returns the words of an engine's answer to a request."""
    messages = [{"role": "user", "content": content}]
    return engine.build_words({"messages": messages, "max_tokens": tokens})


class Stream:
    """Open streamed request of a caller."""

    def __init__(self, address, content, tokens=TOKENS, extra=None):
        self.answer = Answer(content=content, tokens=tokens)
        parsed = storage_http.Address.parse(address)
        self._connection = http.client.HTTPConnection(
            parsed.host, parsed.port, timeout=READ_TIMEOUT_SECONDS
        )
        body = {
            "model": demo.MODEL,
            "messages": [{"role": "user", "content": content}],
            "max_tokens": tokens,
            "stream": True,
        }
        fields = {
            "Authorization": f"Bearer {demo.API_KEY}",
            "Content-Type": "application/json",
            **(extra or {}),
        }
        encoded = msgspec.json.encode(body)
        self._connection.request(
            "POST", "/v1/chat/completions", encoded, fields
        )
        self._response = self._connection.getresponse()
        self.answer.status = self._response.status
        self.answer.headers = self._response.headers

    def read_events(self, count):
        """Reads until `count` events arrived; returns the answer so far."""
        while len(self.answer.list_events()) < count:
            self.answer.body += self._response.readline()
        return self.answer

    def read_all(self):
        """Reads until the body ends or the connection fails."""
        try:
            while part := self._response.read1(65536):
                self.answer.body += part
            self.answer.is_complete = True
        except (OSError, http.client.HTTPException) as error:
            self.answer.failure = repr(error)
        finally:
            self._connection.close()
        return self.answer


def send(address, content, tokens=TOKENS, extra=None):
    """Sends one request and returns its answer, or the failure."""
    try:
        return Stream(address, content, tokens, extra).read_all()
    except (OSError, http.client.HTTPException) as error:
        answer = Answer(content=content, tokens=tokens)
        answer.failure = repr(error)
        return answer


def build_never_repeat_headers(key):
    """Returns the headers of a non-repeatable request."""
    return {headers.REPEAT: headers.NEVER, headers.IDEMPOTENCY_KEY: key}


class Scene:
    """Serving cluster, with calls to its daemons and stand-ins."""

    def __init__(self, cluster):
        self.cluster = cluster

    def set_up(self):
        """Starts all processes, accepts the services and waits until ready."""
        self.cluster.start()
        self.accept_services()
        self.wait_until_serving()

    def accept_services(self):
        """Accepts the demo's services, adapted to this cluster's layout."""
        for name in ("demo.yaml", "demo-plain.yaml"):
            loaded = answers.read_answers(demo.EXAMPLES / name)
            service = generation.generate(loaded)
            if service.plain is not None:
                address = self.cluster.addresses["plain-0"]
                plain = dataclasses.replace(service.plain, addresses=(address,))
                service = dataclasses.replace(service, plain=plain)
            if service.model is not None:
                model = dataclasses.replace(
                    service.model,
                    upstreams_check_fencing=self.cluster.layout.check_fencing,
                )
                service = dataclasses.replace(service, model=model)
            proposal = acceptance.Proposal(
                service=service, base_version=0, author="test", reason="test"
            )
            path = "/services/" + service.name
            reply = self.cluster.admin("PUT", path, proposal)
            assert reply.status == 200, reply

    def wait_until_serving(self, replicas=demo.REPLICAS):
        """Waits until every daemon is ready and sees the replicas serving."""
        cluster_module.wait_for(
            "replicas to serve at every daemon",
            lambda: all(
                self.cluster.is_ready(number)
                and self.cluster.count_serving(demo.SERVICE, number) >= replicas
                for number in range(self.cluster.layout.daemons)
            ),
        )

    def get_address(self, number):
        """Returns the address of a daemon for callers."""
        return self.cluster.addresses[f"entry-{number}"]

    def send(self, number, content, tokens=TOKENS, extra=None):
        """Sends one request to a daemon."""
        return send(self.get_address(number), content, tokens, extra)

    def list_serving_replicas(self, daemon=0):
        """Returns the replicas that serve at a daemon (targets for faults)."""
        return self.cluster.list_serving(demo.SERVICE, daemon)

    def read_replica_rows(self):
        """Reads the replica rows directly from the table."""
        path = "/scan?prefix=replica/&after=&limit=500"
        return [row["value"] for row in self.call_standin("table", "GET", path)]

    def call_standin(self, name, method, path, body=None):
        """Sends a call to a stand-in and returns the decoded reply."""
        address = self.cluster.addresses[name]
        return cluster_module.call(address, method, path, body).json()

    def set_faults(self, name, **faults):
        """Sets the faults of a stand-in; without arguments, removes them."""
        self.call_standin(name, "POST", "/faults", faults)

    @contextlib.contextmanager
    def inject_faults(self, names, **faults):
        """Injects faults into stand-ins within the block."""
        for name in names:
            self.set_faults(name, **faults)
        try:
            yield
        finally:
            for name in names:
                self.set_faults(
                    name, **({"down": False} if name == "objects" else {})
                )

    def list_runs(self, content):
        """Returns the record's entries of runs of a request."""
        return [
            entry
            for entry in self.cluster.read_record()
            if "ran" in entry and entry["messages"][0]["content"] == content
        ]

    def count_runs(self):
        """Returns the number of runs by content.

        Decodes the record once. `list_runs` decodes all of it at each call,
        which takes minutes for thousands of answers.
        """
        return collections.Counter(
            entry["messages"][0]["content"]
            for entry in self.cluster.read_record()
            if "ran" in entry
        )

    def read_table_log(self):
        """Returns the table's log of applied writes."""
        return self.call_standin("table", "GET", "/log")

    def read_metric(self, number, name):
        """Returns the lines of one metric of a daemon."""
        reply = cluster_module.call(self.get_address(number), "GET", "/metrics")
        lines = reply.body.decode().splitlines()
        return [line for line in lines if line.startswith(name)]


class Load:
    """Callers that send requests continuously, each in its own greenlet.

    Args:
        choose_address: Function from a caller's number to a daemon's address.
        callers: Number of callers.
        name: Prefix of the requests' contents.
        pause: Seconds between an answer and the caller's next request.
    """

    def __init__(self, choose_address, callers=6, name="load", pause=0.02):
        self.answers: list[Answer] = []
        self._choose_address = choose_address
        self._name = name
        self._pause = pause
        self._stopping = False
        self._greenlets = [
            gevent.spawn(self._run, number) for number in range(callers)
        ]

    def _run(self, caller):
        number = 0
        while not self._stopping:
            content = f"{self._name}-{caller}-{number}"
            number += 1
            self.answers.append(send(self._choose_address(caller), content))
            gevent.sleep(self._pause)

    def wait_for(self, count):
        """Waits until `count` more answers were received."""
        target = len(self.answers) + count
        cluster_module.wait_for(
            f"{target} answers", lambda: len(self.answers) >= target
        )

    def stop(self):
        """Stops callers after their current requests; returns all answers."""
        self._stopping = True
        gevent.joinall(self._greenlets, raise_error=True)
        return self.answers


def check_vms_exclusive(log):
    """Checks in the table log that no VM is in two replica rows at a time."""
    rows: dict[str, typing.Any] = {}
    for index, entry in enumerate(log):
        if entry["key"].startswith("replica/"):
            rows[entry["key"]] = entry["value"]
        following = log[index + 1 : index + 2]
        if following and following[0]["write_id"] == entry["write_id"]:
            continue  # only the state after a whole transaction counts
        names = [
            member["name"]
            for row in rows.values()
            if row is not None
            for member in row["members"] + row["spares"]
        ]
        assert len(names) == len(set(names)), entry


def check_orders_fenced(record):
    """Checks that no VM accepted an order of an older epoch than before."""
    newest: dict[str, int] = {}
    for entry in record:
        if "order" in entry:
            epoch = entry["order"]["epoch"]
            assert epoch >= newest.get(entry["vm"], 0), entry
            newest[entry["vm"]] = epoch
