"""Guards against requests that fail because only this daemon is cut off."""

import random

import gevent
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths import carriers
from arbutuscove.paths import connections as connections_module
from arbutuscove.paths import monitor as monitor_module
from arbutuscove.paths import peers
from arbutuscove.platform import upstreams
from arbutuscove.relay import attempt
from arbutuscove.relay import backends
from arbutuscove.relay import context as context_module
from arbutuscove.relay import model
from arbutuscove.relay import stalls
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http
from arbutuscove.transport import carriage
from arbutuscove.transport import pool as pool_module
from arbutuscove.transport import tunnel

EVENTS = faulty_upstream.EVENTS
RESUMABLE = catalog_model.Repeat.STREAM_RESUMABLE
PAUSE_SECONDS = 0.2  # between the events of a stream during which a cut begins
MODES = pytest.mark.parametrize("mode", ["silent", "reset", "refused"])


class CutSocket:
    """The socket of a connection whose path has failed."""

    def __init__(self, mode):
        self._mode = mode
        self._timeout = 0.0

    def settimeout(self, seconds):
        self._timeout = seconds

    def setblocking(self, is_blocking):
        pass

    def sendall(self, data):
        if self._mode == "reset":
            raise ConnectionResetError

    def recv(self, size, flags=0):
        if self._mode == "reset":
            raise ConnectionResetError
        if flags:
            raise BlockingIOError
        gevent.sleep(self._timeout)
        raise TimeoutError

    def close(self):
        pass


class CutPool(pool_module.ConnectionPool):
    """Direct connections of a daemon that can be cut off."""

    def __init__(self, clock):
        super().__init__(clock)
        self.mode = ""
        self.opened_by_requests = 0
        self._opened = []

    def cut(self, mode):
        """Cuts the daemon off; `refused` lets open connections live on."""
        self.mode = mode
        for opened in self._opened if mode != "refused" else ():
            opened._socket = CutSocket(mode)

    def open(self, address, timeout):
        self.opened_by_requests += 1
        return self.open_for_trial(address, timeout)

    def open_for_trial(self, address, timeout):
        match self.mode:
            case "":
                self._opened.append(super().open(address, timeout))
                return self._opened[-1]
            case "silent":
                gevent.sleep(timeout.total_seconds())
                raise http.NotSentError("timed out")
            case _:
                raise http.RefusedError("refused")


class Scene(test_troubled.Scene):
    """A daemon that can be cut off, and a peer that carries connections."""

    def __init__(self, behaviour, has_peer=True):
        super().__init__(behaviour, behaviour)
        clock = self.clock
        self.direct = CutPool(clock)
        self.tunnels = pool_module.ConnectionPool(clock)
        self.carrier = tunnel.TunnelServer(
            http.Address("127.0.0.1", 0),
            lambda ip: True,
            lambda address: True,
            lambda: True,
            carriage.Capacity(max_tunnels=99),
        )
        self.carrier.start(None)
        peer = carriers.Carrier(
            name="peer",
            host="127.0.0.1",
            port=self.carrier.address.port,
            capacity=1000,
        )
        peer_paths = peers.PeerPaths(
            clock, "own", lambda: [peer] if has_peer else []
        )
        self.monitor = monitor_module.ReachMonitor(
            clock,
            lambda service: list(self.inventory.list_vms()),
            peer_paths.open,
            random.Random(1),
            self.direct.open_for_trial,
        )
        self.monitor.start(None)
        self._shared.connections = connections_module.UpstreamConnections(
            clock, self.direct, self.tunnels, self.monitor, peer_paths
        )

    def stop(self):
        super().stop()
        self.monitor.stop()
        self.direct.stop()
        self.tunnels.stop()
        self.carrier.stop()


@pytest.fixture(name="build")
def build_fixture():
    scenes = []

    def build(*args):
        scenes.append(Scene(*args))
        return scenes[-1]

    yield build
    for scene in scenes:
        scene.stop()


@MODES
@pytest.mark.parametrize("repeat", catalog_model.Repeat)
def test_request_is_served_through_a_peer(build, mode, repeat):
    """Guards against refusals by a daemon whose peers reach the upstreams."""
    scene = build(
        faulty_upstream.answer_stream
        if repeat.is_streamed
        else faulty_upstream.answer_completely
    )
    scene.direct.cut(mode)
    for number in range(3):
        answer, body = scene.serve(repeat, f"r{number}")
        assert answer.status == 200
        assert body == (
            b"".join(EVENTS) if repeat.is_streamed else test_troubled.WHOLE
        )
    assert scene.bad.requests + scene.good.requests == 3
    assert scene.monitor.list_unreached() == ("models",)


@MODES
def test_path_that_fails_is_no_failure_of_the_upstreams(build, mode):
    """Guards against cooldowns of upstreams that only this daemon misses."""
    scene = build(faulty_upstream.answer_completely)
    scene.states["good", 1].failures = 0
    scene.direct.cut(mode)
    scene.serve(catalog_model.Repeat.SAFE)
    assert scene.states["good", 1].failures == 0
    assert scene.states["bad", 1].failures == 0


def send_slowly(request_id):
    """Sends events with pauses."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS:
        yield faulty_upstream.build_chunk(event)
        yield PAUSE_SECONDS
    yield faulty_upstream.LAST_CHUNK


@MODES
def test_stream_goes_on_through_a_peer(build, mode):
    """Guards against streams cut when the path fails within them."""
    scene = build(faulty_upstream.answer_stream)
    scene.bad._behaviour = send_slowly
    chunks = []
    for chunk in scene.flow.serve(scene.create_request(RESUMABLE)).body:
        chunks.append(chunk)
        if len(chunks) == 2:
            scene.direct.cut(mode)
            # Another request finds out.
            gevent.spawn(scene.serve, RESUMABLE, "r2").join()
    assert b"".join(chunks) == b"".join(EVENTS)


@MODES
def test_daemon_without_peers_refuses_as_not_run(build, mode):
    """Guards against requests held, or called failed, without any path."""
    scene = build(faulty_upstream.answer_completely, False)
    scene.direct.cut(mode)
    with pytest.raises(model.RefusedError) as caught:
        scene.serve(catalog_model.Repeat.ONCE)
    assert caught.value.refusal.not_run
    assert caught.value.refusal.retry_after
    assert scene.monitor.get_verdict("models") is monitor_module.UNREACHED


@MODES
def test_request_without_any_path_is_refused_at_once(build, mode):
    """Guards against connections to each upstream although no path is left."""
    scene = build(faulty_upstream.answer_completely, False)
    scene.direct.cut(mode)
    for _ in range(2):
        before = scene.direct.opened_by_requests
        with pytest.raises(model.RefusedError):
            scene.serve(catalog_model.Repeat.SAFE)
        assert scene.direct.opened_by_requests == before + 1


class RecordingCodec(upstreams.HttpCodec):
    """Records by how much the deadline that is sent exceeds the request's."""

    def __init__(self, clock):
        self._clock = clock
        self.excess = []

    def encode(self, request, backend, left, last_event):
        self.excess.append(self._clock.monotonic() + left - request.deadline)
        return super().encode(request, backend, left, last_event)


@MODES
def test_upstream_is_not_given_the_time_of_the_search(build, mode):
    """Guards against upstreams that work on after the caller's deadline."""
    scene = build(faulty_upstream.answer_completely)
    codec = scene._shared.codec = RecordingCodec(scene.clock)
    scene.direct.cut(mode)
    scene.serve(catalog_model.Repeat.ONCE)
    (excess,) = codec.excess
    assert excess < attempt.MIN_TIME_LEFT


def test_stream_waits_for_a_path(build):
    """Guards against a stream cut although the path is back within a second."""
    scene = build(faulty_upstream.answer_stream, False)
    scene.bad._behaviour = send_slowly
    chunks = []
    for chunk in scene.flow.serve(scene.create_request(RESUMABLE)).body:
        chunks.append(chunk)
        if len(chunks) == 2:
            scene.direct.cut("reset")
            gevent.spawn_later(1.2, scene.direct.cut, "")
    assert b"".join(chunks) == b"".join(EVENTS)


def test_requests_take_the_direct_path_after_the_cut(build):
    """Guards against peers that carry connections for ever."""
    scene = build(faulty_upstream.answer_completely)
    scene.direct.cut("reset")
    scene.serve(catalog_model.Repeat.SAFE)
    carried = scene.carrier.opened
    assert carried > 0
    scene.direct.cut("")
    with gevent.Timeout(test_troubled.DEADLINE.total_seconds()):
        while scene.monitor.is_cut_off("models"):
            gevent.sleep(0.02)
    carried = scene.carrier.opened
    for number in range(3):
        scene.serve(catalog_model.Repeat.SAFE, f"r{number}")
    assert scene.carrier.opened == carried


@pytest.mark.parametrize("members", [["m"], []])
def test_group_is_not_stalled_because_the_path_has_failed(members):
    """Guards against sound groups that a cut-off daemon reports as stalled.

    All daemons believe such a report. The members do not answer a probe, or
    do and the group has been silent for long.
    """
    clock = clock_module.SystemClock()
    states = backends.BackendStates(clock)
    vm = test_planner.create_vm("head")
    key = test_troubled.KEY
    backend = model.Backend(key=key, vm=vm, model="chat", slots=9)
    direct = CutPool(clock)
    direct.cut("reset")
    peer_paths = peers.PeerPaths(clock, "own", list)
    monitor = monitor_module.ReachMonitor(
        clock,
        lambda service: [vm],
        peer_paths.open,
        random.Random(1),
        direct.open,
    )
    context = context_module.AttemptContext(
        clock,
        catalog_holder.CatalogHolder(),
        None,
        states,
        connections_module.UpstreamConnections(
            clock, direct, direct, monitor, peer_paths
        ),
        None,
        lambda: None,
        lambda _: members,
        random.Random(1),
        test_troubled.create_tracker(clock),
    )
    states.begin_request(key)
    states.begin_answer(key)
    states[key].last_progress = clock.monotonic() - 3 * test_troubled.SECOND
    context.probe("models", backend)
    gevent.sleep(2 * stalls.PROBE_JITTER.total_seconds())
    assert not states.is_stalled(key)
