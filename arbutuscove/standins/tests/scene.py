"""A running system for process-level tests, its callers and its records.

What happened is judged only by what callers received, by the engines' record
and by the table's log.
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
from arbutuscove.storage import http as platform_http

CALL_SECONDS = 60.0  # bound on one read of a caller
TOKENS = 16


@dataclasses.dataclass(kw_only=True)
class Answer:
    """What one caller received; `whole` if HTTP says that it is complete."""

    content: str
    tokens: int = TOKENS
    status: int = 0
    headers: typing.Any = None
    body: bytes = b""
    whole: bool = False
    failure: str = ""

    def events(self):
        """Returns the numbers and data of the events, in order."""
        found = []
        for event in self.body.split(b"\n\n"):
            head, _, data = event.partition(b"\ndata: ")
            if head.startswith(b"id: "):
                found.append((int(head.rpartition(b"-")[2]), data))
        return found

    def words(self):
        """Returns the words of a streamed answer."""
        chunks = [d for _, d in self.events() if d != b"[DONE]"]
        decoded = [msgspec.json.decode(chunk) for chunk in chunks]
        found = [c["choices"][0]["delta"].get("content") for c in decoded]
        return [word for word in found if word]

    def is_right(self):
        """Returns whether this is the whole answer to its own request."""
        numbers = [number for number, _ in self.events()]
        return (
            self.status == 200
            and self.whole
            and numbers == list(range(self.tokens + 2))
            and self.words() == expect_words(self.content, self.tokens)
        )

    def error(self):
        """Returns the error object of a refusal."""
        return msgspec.json.decode(self.body)["error"]


def expect_words(content, tokens=TOKENS):
    """Returns the words that an engine answers."""
    messages = [{"role": "user", "content": content}]
    return engine.build_words({"messages": messages, "max_tokens": tokens})


class Stream:
    """One open request of a caller."""

    def __init__(self, address, content, tokens=TOKENS, extra=None):
        self.answer = Answer(content=content, tokens=tokens)
        parsed = platform_http.Address.parse(address)
        self._connection = http.client.HTTPConnection(
            parsed.host, parsed.port, timeout=CALL_SECONDS
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
        """Reads until `count` events have arrived."""
        while len(self.answer.events()) < count:
            self.answer.body += self._response.readline()
        return self.answer

    def read_all(self):
        """Reads to the end, or to the loss of the connection."""
        try:
            while part := self._response.read1(65536):
                self.answer.body += part
            self.answer.whole = True
        except (OSError, http.client.HTTPException) as error:
            self.answer.failure = repr(error)
        finally:
            self._connection.close()
        return self.answer


def send(address, content, tokens=TOKENS, extra=None):
    """Sends one request and returns what came of it."""
    try:
        return Stream(address, content, tokens, extra).read_all()
    except (OSError, http.client.HTTPException) as error:
        answer = Answer(content=content, tokens=tokens)
        answer.failure = repr(error)
        return answer


def never(key):
    """Returns the headers of a non-repeatable request."""
    return {headers.REPEAT: headers.NEVER, headers.IDEMPOTENCY_KEY: key}


class Scene:
    """A cluster that serves, with its callers."""

    def __init__(self, cluster):
        self.cluster = cluster

    def set_up(self):
        """Starts everything, accepts the services and waits."""
        self.cluster.start()
        self.accept()
        self.wait_serving()

    def accept(self):
        """Accepts the demo's services with this cluster's properties."""
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

    def wait_serving(self, replicas=demo.REPLICAS):
        """Waits until every living daemon sees the replicas serving."""
        cluster_module.wait_for(
            "replicas to serve at every daemon",
            lambda: all(
                self.cluster.is_ready(number)
                and self.cluster.count_serving(demo.SERVICE, number) >= replicas
                for number in range(self.cluster.layout.daemons)
            ),
        )

    def address(self, number):
        """Returns the callers' address of a daemon."""
        return self.cluster.addresses[f"entry-{number}"]

    def send(self, number, content, tokens=TOKENS, extra=None):
        """Sends one request to a daemon."""
        return send(self.address(number), content, tokens, extra)

    def serving(self, daemon=0):
        """Returns the replicas that a daemon reports, to aim faults at."""
        return self.cluster.list_serving(demo.SERVICE, daemon)

    def replica_rows(self):
        """Returns the replica rows from the table itself."""
        path = "/scan?prefix=replica/&after=&limit=500"
        return [row["value"] for row in self.ask("table", "GET", path)]

    def ask(self, name, method, path, body=None):
        """Sends a call to a stand-in."""
        address = self.cluster.addresses[name]
        return cluster_module.call(address, method, path, body).json()

    def set_faults(self, name, **faults):
        """Makes a stand-in fail; without arguments it works again."""
        self.ask(name, "POST", "/faults", faults)

    @contextlib.contextmanager
    def faults(self, names, **faults):
        """Makes stand-ins fail inside the block."""
        for name in names:
            self.set_faults(name, **faults)
        try:
            yield
        finally:
            for name in names:
                self.set_faults(
                    name, **({"down": False} if name == "objects" else {})
                )

    def runs(self, content):
        """Returns the engines' record of running a request."""
        return [
            entry
            for entry in self.cluster.read_record()
            if "ran" in entry and entry["messages"][0]["content"] == content
        ]

    def count_runs(self):
        """Returns how often the engines ran each content.

        Reads the record once. `runs` decodes all of it, which for each of
        thousands of answers takes minutes.
        """
        return collections.Counter(
            entry["messages"][0]["content"]
            for entry in self.cluster.read_record()
            if "ran" in entry
        )

    def table_log(self):
        """Returns the table's log of applied writes."""
        return self.ask("table", "GET", "/log")

    def metric(self, number, name):
        """Returns the lines of one metric of a daemon."""
        reply = cluster_module.call(self.address(number), "GET", "/metrics")
        lines = reply.body.decode().splitlines()
        return [line for line in lines if line.startswith(name)]


class Load:
    """Callers that send requests all the time, each in its own greenlet."""

    def __init__(self, pick, callers=6, name="load", pause=0.02):
        self.answers: list[Answer] = []
        self._pick = pick
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
            self.answers.append(send(self._pick(caller), content))
            gevent.sleep(self._pause)

    def wait_for(self, count):
        """Waits until `count` more answers have come."""
        wanted = len(self.answers) + count
        cluster_module.wait_for(
            f"{wanted} answers", lambda: len(self.answers) >= wanted
        )

    def stop(self):
        """Ends the callers after their current requests."""
        self._stopping = True
        gevent.joinall(self._greenlets, raise_error=True)
        return self.answers


def check_vms_exclusive(log):
    """Replays the table log: members of replica rows never overlap."""
    rows: dict[str, typing.Any] = {}
    for index, entry in enumerate(log):
        if entry["key"].startswith("replica/"):
            rows[entry["key"]] = entry["value"]
        following = log[index + 1 : index + 2]
        if following and following[0]["write_id"] == entry["write_id"]:
            continue  # inside a transaction
        names = [
            member["name"]
            for row in rows.values()
            if row is not None
            for member in row["members"] + row["spares"]
        ]
        assert len(names) == len(set(names)), entry


def check_orders_fenced(record):
    """No VM takes an order of an older epoch after one of a newer."""
    newest: dict[str, int] = {}
    for entry in record:
        if "order" in entry:
            epoch = entry["order"]["epoch"]
            assert epoch >= newest.get(entry["vm"], 0), entry
            newest[entry["vm"]] = epoch
