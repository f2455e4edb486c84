"""Guards against requests late in a planned stop that are cut off.

The clock is moved on instead of waited for. The services are those of a
daemon, from the sockets of callers to those of upstreams.
"""

import contextlib
import datetime

import gevent
import msgspec
import pytest
from gevent import event

from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel.tests import clocks
from arbutuscove.platform import assembly
from arbutuscove.platform import configuration
from arbutuscove.platform.tests import test_settings
from arbutuscove.standins import cluster
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.transport import connection

SECOND = datetime.timedelta(seconds=1)
GRACE_SECONDS = test_settings.FIELDS["bounds"]["grace_s"]
ARRIVALS = [0, 1, 3, 5, 7, 7.5, 7.9]  # in seconds after SIGTERM
SLOTS = 4
# Bytes of a request that are sent before SIGTERM, by the name of its caller.
CUTS = {"head": 20, "body": -1}
KINDS = ("safe", "unsafe", "stream", "resumable")
STREAM = b"".join(faulty_upstream.EVENTS)
BODIES = {
    "safe": b"whole",
    "unsafe": b"whole",
    "stream": STREAM,
    "resumable": STREAM,
}


def build_configuration():
    """Returns a configuration with one route for each kind."""
    routes = [
        {
            "name": kind,
            "host": "h",
            "prefix": f"/{kind}",
            "kind": "stream" if kind == "resumable" else kind,
            "resumable": kind == "resumable",
            "timeout_ms": 30000,
            "target_latency_ms": 20000,
            "max_attempts": 3,
            "service": "models",
            "public": True,
        }
        for kind in KINDS
    ]
    content = {
        "version": 1,
        "services": [{"name": "models"}],
        "routes": routes,
    }
    return configuration.decode(msgspec.json.encode(content))


def stay_silent(_request_id):
    """Runs the request for longer than the grace period."""
    yield 60.0


def refuse(request_id):
    """Refuses the request without running it."""
    yield (
        b"HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
        b"X-Request-Id: " + request_id + b"\r\n\r\n"
    )


def close(_request_id):
    """Ends the connection without an answer."""
    yield None


def answer(request_id):
    """Answers a request, named after its kind, at once."""
    if BODIES[request_id.decode().partition("-")[0]] == STREAM:
        yield from faulty_upstream.answer_stream(request_id)
    else:
        yield from faulty_upstream.answer_completely(request_id)


class Outcome:
    """What a caller got for a request: a whole answer, or none."""

    def __init__(self, name, parser, received):
        self.name = name
        self.runs = received.count(name)
        self.status = 0
        self.is_not_run = False
        if parser is not None:
            self.status = parser.get_code()
            self.body = parser.pop_body()
            self.retry_after = parser.get_header("Retry-After")
            self.is_not_run = b'"not_run":true' in self.body

    def __repr__(self):
        return f"{self.name}: {self.status}, {self.runs} runs"

    def is_whole(self):
        kind = self.name.partition("-")[0]
        return (self.status, self.runs) == (200, 1) and (
            self.body == BODIES[kind]
        )

    def is_refused(self):
        """Returns whether it was refused before it was sent on."""
        return (
            self.status == 503
            and self.is_not_run
            and float(self.retry_after) > 0
            and not self.runs
        )

    def is_unread(self):
        """Returns whether its connection ended before it was sent on."""
        return not self.status and not self.runs


class Caller:
    """One connection of a caller."""

    def __init__(self, scene):
        self._scene = scene
        self._connection = connection.connect(scene.address, SECOND)

    def send(self, name, timeout_ms=30000, cut=None):
        """Sends a request, or its bytes up to `cut`."""
        self._name = name
        kind = name.partition("-")[0]
        content = (
            f"POST /{kind} HTTP/1.1\r\nHost: h\r\nX-Request-Id: {name}\r\n"
            f"X-Deadline-Ms: {timeout_ms}\r\nContent-Length: 2\r\n\r\nab"
        ).encode()
        self._rest = b"" if cut is None else content[cut:]
        self._connection.send("POST", content[: len(content) - len(self._rest)])

    def send_rest(self):
        self._connection._socket.sendall(self._rest)

    def receive(self):
        """Returns the outcome of the last request."""
        parser = None
        try:
            with gevent.Timeout(10):
                while not (
                    parser := self._connection.receive(5 * SECOND)
                ).is_complete():
                    pass
        except http.NoResponseError:
            parser = None
        return Outcome(self._name, parser, self._scene.received)

    def receive_head(self):
        """Returns the last response once its head has arrived."""
        while not (parser := self._connection.receive(5 * SECOND)).has_head():
            pass
        return parser

    def request(self, name, **fields):
        """Returns the outcome of a request."""
        self.send(name, **fields)
        return self.receive()


class Scene:
    """A daemon with its callers' listener and two plain upstreams."""

    def __init__(self, grace_seconds=GRACE_SECONDS):
        port = cluster.find_port()
        self.address = http.Address("127.0.0.1", port)
        bounds = test_settings.FIELDS["bounds"] | {"grace_s": grace_seconds}
        daemon = assembly._Assembly(
            test_settings.decode(
                ip="127.0.0.1",
                listen={"front": f"127.0.0.1:{port}"},
                bounds=bounds,
            )
        )
        self.clock = daemon._clock
        self.received = []  # names of requests that upstreams received
        self.behaviours = {}  # by the name of a request, one for each send
        self.upstreams = [
            faulty_upstream.Upstream(self._behave) for _ in range(2)
        ]
        daemon._catalog.apply_if_newer(build_configuration(), "test")
        daemon._inventory.replace(
            test_planner.create_vm(
                f"vm-{number}",
                fabric_domain="",
                slots=SLOTS,
                address=http.Address("127.0.0.1", upstream.port),
            )
            for number, upstream in enumerate(self.upstreams)
        )
        self.daemon = daemon
        daemon._dispatcher.start(None)
        daemon._listener.start(None)
        self.stopping = None
        self.stopped_at = None

    def _behave(self, request_id):
        name = request_id.decode()
        if not name:  # a question whether the VM lives
            return iter([b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"])
        self.received.append(name)
        behaviours = self.behaviours.get(name)
        behave = behaviours.pop(0) if behaviours else answer
        return behave(request_id)

    def begin_stop(self):
        """Begins a planned stop, as after SIGTERM."""
        self.stopped_at = self.clock.stop()
        self.stopping = gevent.spawn(self._stop_listener)
        gevent.sleep(0.01)

    def _stop_listener(self):
        self.daemon._listener.mark_draining()
        self.daemon._listener.drain()
        self.daemon._listener.stop()

    def move_to(self, seconds):
        """Moves the clock to a time after SIGTERM.

        The loops of the daemon run shortly before that time.
        """
        time = self.stopped_at + seconds * SECOND
        self.clock.move_to(time - 0.15 * SECOND)
        gevent.sleep(0.12)
        self.clock.move_to(time)

    def hold(self, name):
        """Sends a request that its upstream runs longer than the grace."""
        # A silent attempt at a stream may be replaced by others.
        self.behaviours[name] = [stay_silent] * 3
        caller = Caller(self)
        caller.send(name)
        with gevent.Timeout(5):
            while name not in self.received:
                gevent.sleep(0.005)
        return caller

    def stop(self):
        if self.stopping is not None:
            self.stopping.kill()
        self.daemon._listener.stop()
        self.daemon._dispatcher.stop()
        self.daemon._connections.stop()
        for upstream in self.upstreams:
            upstream.stop()


@pytest.fixture(name="build")
def build_fixture(monkeypatch):
    scenes = []
    monkeypatch.setattr(clock_module, "SystemClock", clocks.StoppedClock)

    def build(**fields):
        scenes.append(Scene(**fields))
        return scenes[-1]

    yield build
    for scene in scenes:
        scene.stop()


@pytest.fixture(name="scene")
def scene_fixture(build):
    return build()


def receive_all(callers):
    """Returns the outcomes of the last requests of callers."""
    jobs = [gevent.spawn(caller.receive) for caller in callers]
    gevent.joinall(jobs)
    return [job.get() for job in jobs]


@pytest.mark.parametrize("timeout_ms", [30000, 250])
@pytest.mark.parametrize("arrival", ARRIVALS)
def test_request_in_a_stop_is_whole_or_not_run(scene, arrival, timeout_ms):
    """Guards against requests accepted in a stop and cut at its end.

    They come on connections that were idle, in the middle of a head, in the
    middle of a body, and on new ones.
    """
    scene.hold("unsafe-held")
    callers = {}
    for kind in KINDS:
        callers[f"{kind}-idle"] = Caller(scene)
        assert callers[f"{kind}-idle"].request(f"{kind}-first").is_whole()
        for part, cut in CUTS.items():
            callers[f"{kind}-{part}"] = Caller(scene)
            callers[f"{kind}-{part}"].send(f"{kind}-{part}", timeout_ms, cut)
    gevent.sleep(0.02)
    scene.begin_stop()
    scene.move_to(arrival)
    with contextlib.suppress(http.HttpError):
        for kind in KINDS:
            callers[f"{kind}-new"] = Caller(scene)
    for name, caller in callers.items():
        with contextlib.suppress(http.NoResponseError):
            if name.endswith(tuple(CUTS)):
                caller.send_rest()
            else:
                caller.send(name, timeout_ms)
    outcomes = receive_all(callers.values())
    assert all(
        outcome.is_whole() or outcome.is_refused() or outcome.is_unread()
        for outcome in outcomes
    ), outcomes
    # The deadline of a request counts from the end of its head.
    in_time = [
        outcome
        for outcome in outcomes
        if timeout_ms > 1000 or not outcome.name.endswith("-body")
    ]
    begun = [
        outcome for outcome in in_time if outcome.name.endswith(tuple(CUTS))
    ]
    match arrival:
        case 0 | 1:
            assert len(outcomes) == 4 * len(KINDS)
            assert all(outcome.is_whole() for outcome in in_time), outcomes
        case 3 | 5 | 7 if timeout_ms < 1000:
            assert all(outcome.is_whole() for outcome in begun), begun
        case 3 | 5 | 7 | 7.5:
            assert all(outcome.is_refused() for outcome in begun), begun


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("sent_at", [-1, 1])
def test_request_at_a_slow_upstream_gets_an_answer(scene, kind, sent_at):
    """Guards against a connection closed without an answer by the exit.

    The upstream still runs the request when the grace period ends, so that
    the caller must not be told that it did not run.
    """
    caller = scene.hold(f"{kind}-slow") if sent_at < 0 else None
    scene.begin_stop()
    if caller is None:
        scene.move_to(sent_at)
        caller = scene.hold(f"{kind}-slow")
    scene.move_to(GRACE_SECONDS - 0.5)
    outcome = caller.receive()
    assert (outcome.status, outcome.is_not_run) == (502, False), outcome
    assert outcome.runs == 1 or kind == "resumable"


@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_stream_that_outlives_the_grace_looks_incomplete(scene, kind):
    """Guards against a stream that ends early and looks complete."""

    def pause(request_id):
        yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
        yield faulty_upstream.build_chunk(faulty_upstream.EVENTS[0])
        yield 60.0

    scene.behaviours[f"{kind}-long"] = [pause, stay_silent, stay_silent]
    caller = Caller(scene)
    caller.send(f"{kind}-long")
    parser = caller.receive_head()
    scene.begin_stop()
    scene.move_to(GRACE_SECONDS - 0.5)
    assert caller.receive().status == 0
    assert parser.get_code() == 200 and not parser.is_complete()
    assert len(scene.received) == 1 or kind == "resumable"


@pytest.mark.parametrize("kind", KINDS)
def test_waiting_request_is_refused_before_it_may_be_cut(scene, kind):
    """Guards against a request that waits, and is sent on only to be cut.

    All places are taken until late in the grace period.
    """
    names = [f"unsafe-{number}" for number in range(2 * SLOTS)]
    held = [scene.hold(name) for name in names]
    callers = []
    for number in range(3):
        callers.append(Caller(scene))
        callers[-1].send(f"{kind}-waiting-{number}")
    gevent.sleep(0.05)
    scene.begin_stop()
    scene.move_to(5)
    for caller in held:
        caller._connection.close()
    outcomes = receive_all(callers)
    assert all(outcome.is_refused() for outcome in outcomes), outcomes


@pytest.mark.parametrize("kind", KINDS)
def test_refused_attempt_is_not_sent_again_late(scene, kind):
    """Guards against a second send too late for an answer in the grace.

    The first upstream refuses the request late, and has not run it.
    """
    name = f"{kind}-refused"
    released = event.Event()

    def refuse_late(request_id):
        released.wait()
        yield from refuse(request_id)

    scene.behaviours[name] = [refuse_late, stay_silent]
    caller = Caller(scene)
    caller.send(name)
    gevent.sleep(0.05)
    scene.begin_stop()
    scene.move_to(5)
    released.set()
    outcome = caller.receive()
    assert (outcome.status, outcome.is_not_run) == (503, True), outcome
    assert outcome.runs == 1


@pytest.mark.parametrize("second", [answer, stay_silent])
@pytest.mark.parametrize("kind", KINDS)
def test_lost_attempt_late_in_a_stop_gets_an_answer(scene, kind, second):
    """Guards against a repeat that is cut, and one that is not made.

    Only what may run twice is sent again after an attempt that may have run.
    """
    name = f"{kind}-lost"
    released = event.Event()

    def close_late(request_id):
        released.wait()
        yield from close(request_id)

    scene.behaviours[name] = [close_late, second, second]
    caller = Caller(scene)
    caller.send(name)
    gevent.sleep(0.05)
    scene.begin_stop()
    scene.move_to(5)
    released.set()
    gevent.sleep(0.05)
    scene.move_to(GRACE_SECONDS - 0.5)
    outcome = caller.receive()
    is_sent_again = kind in ("safe", "resumable")
    assert (outcome.runs > 1) == is_sent_again, outcome
    if is_sent_again and second is answer:
        assert outcome.status == 200 and outcome.body == BODIES[kind]
    else:
        assert (outcome.status, outcome.is_not_run) == (502, False), outcome


@pytest.mark.parametrize("arrival", [0, 3, 5])
def test_pipelined_request_is_not_run_after_a_close(scene, arrival):
    """Guards against a run whose caller was told that no answer follows."""
    released = event.Event()

    def answer_late(request_id):
        released.wait()
        yield from answer(request_id)

    scene.behaviours["unsafe-first"] = [answer_late]
    caller = Caller(scene)
    caller.send("unsafe-first")
    gevent.sleep(0.05)
    scene.begin_stop()
    scene.move_to(arrival)
    second = (
        b"POST /unsafe HTTP/1.1\r\nHost: h\r\nX-Request-Id: unsafe-second\r\n"
        b"Content-Length: 2\r\n\r\nab"
    )
    caller._connection._socket.sendall(second)
    gevent.sleep(0.02)
    released.set()
    assert caller.receive().is_whole()
    gevent.sleep(0.05)
    assert "unsafe-second" not in scene.received


@pytest.mark.parametrize("grace_seconds", [1, 3])
def test_short_grace_is_kept(build, grace_seconds):
    """Guards against a stop that accepts requests until it is killed."""
    scene = build(grace_seconds=grace_seconds)
    begun = Caller(scene)
    begun.send("unsafe-late", cut=20)
    held = scene.hold("safe-held")
    scene.begin_stop()
    scene.move_to(grace_seconds - 0.5)
    begun.send_rest()
    outcome = begun.receive()
    assert outcome.is_refused() or outcome.is_unread()
    assert held.receive().status == 502
    scene.stopping.join(timeout=5)
    assert scene.stopping.ready()
