"""Guards against leaked tickets, second runs and answers past a deadline."""

import dataclasses
import datetime

import pytest

from arbutuscove.admission import work as work_module
from arbutuscove.requests import answers
from arbutuscove.requests import failures
from arbutuscove.requests import resume
from arbutuscove.requests.tests import fleet as fleet_module


@pytest.fixture(name="fleet")
def fixture_fleet():
    return fleet_module.Fleet()


@pytest.fixture(name="daemon")
def fixture_daemon(fleet):
    return fleet_module.build_daemon(fleet)


def _is_all_released(daemon):
    return (daemon.admission.open, daemon.limits.open) == (0, 0)


def _fail(daemon, request):
    with pytest.raises(failures.RequestFailedError) as caught:
        daemon.flow.run(request)
    return caught.value


def test_flow_whole_answer_settles_reported_use(fleet, daemon):
    """The token count of the engine is charged, not the number of events."""
    answer = daemon.flow.run(fleet_module.build_request(fleet))
    assert len(list(answer.events)) == fleet_module.TOKENS + 1
    assert _is_all_released(daemon)
    assert daemon.limits.settled == [fleet_module.TOKENS]


@pytest.mark.parametrize("read", [0, 1, 2])
def test_flow_caller_leaves(fleet, daemon, read):
    """A disconnected caller must not leak its ticket or reservation."""
    answer = daemon.flow.run(fleet_module.build_request(fleet))
    for _ in range(read):
        next(answer.events)
    answer.events.close()
    assert _is_all_released(daemon)
    assert daemon.limits.settled == [None]


def test_flow_refused_by_admission(fleet, daemon):
    """A request refused by admission is charged no tokens."""
    daemon.admission.refusal = work_module.Refusal(
        status=429, code="queue_full", message=""
    )
    error = _fail(daemon, fleet_module.build_request(fleet))
    assert error.run == failures.RunStatus.NOT_RUN
    assert _is_all_released(daemon)
    assert daemon.limits.settled == [0]


def test_flow_incomplete_answer(fleet, daemon):
    """The death of a replica during an answer must not leak the ticket."""
    answer = daemon.flow.run(fleet_module.build_request(fleet))
    next(answer.events)
    for engine in fleet.engines.values():
        engine.die()
    with pytest.raises(answers.AnswerIncompleteError):
        list(answer.events)
    assert _is_all_released(daemon)
    assert daemon.limits.settled == [None]


@pytest.mark.parametrize("fault", [RuntimeError, KeyboardInterrupt])
def test_flow_unexpected_error(fleet, daemon, fault, monkeypatch):
    """An unexpected exception must not leak a ticket."""

    def raise_fault(point):
        raise fault

    monkeypatch.setattr(daemon.flow._tokens, "issue", raise_fault)
    with pytest.raises(fault):
        daemon.flow.run(fleet_module.build_request(fleet))
    assert _is_all_released(daemon)


def test_flow_each_lost_run_is_charged(fleet, daemon):
    """Two runs of a request may generate twice its reserved tokens."""
    fleet.engines["r0"].status = 500
    list(daemon.flow.run(fleet_module.build_request(fleet)).events)
    assert daemon.limits.settled == [None, fleet_module.TOKENS]


@pytest.mark.parametrize(
    ("status", "run", "dispatches"),
    [
        (503, failures.RunStatus.NOT_RUN, 3),
        (409, failures.RunStatus.NOT_RUN, 3),
        (500, failures.RunStatus.UNKNOWN, 1),
        (502, failures.RunStatus.UNKNOWN, 1),
        (400, failures.RunStatus.NOT_RUN, 1),
    ],
)
def test_flow_engine_status_of_non_repeatable(
    fleet, daemon, status, run, dispatches
):
    """A 500 may follow the start of a run, so there must be no retry."""
    for engine in fleet.engines.values():
        engine.status = status
    request = fleet_module.build_request(fleet, repeatable=False)
    assert _fail(daemon, request).run == run
    assert fleet.dispatches == dispatches


def test_flow_non_repeatable_is_never_run_twice(fleet, daemon):
    """A non-repeatable request is not retried after its replica died."""
    request = fleet_module.build_request(fleet, "crash", repeatable=False)
    assert _fail(daemon, request).run == failures.RunStatus.UNKNOWN
    assert len(fleet.runs) == 1


def test_flow_unconfirmed_dispatch_is_resumed(fleet, daemon, monkeypatch):
    """A run whose response was lost must be resumed, not abandoned."""
    engine = fleet.engines["r0"]
    send = engine.open_stream

    def lose_response(dispatch):
        send(dispatch)
        raise fleet_module.errors.DispatchUnknownError("lost")

    monkeypatch.setattr(engine, "open_stream", lose_response)
    request = fleet_module.build_request(fleet, repeatable=False)
    answer = daemon.flow.run(request)
    assert len(list(answer.events)) == fleet_module.TOKENS + 1
    assert len(fleet.runs) == 1


def test_flow_overload_multiplies_nothing(fleet, daemon):
    """While every upstream fails, retries must not multiply the load."""
    for engine in fleet.engines.values():
        engine.status = 503
    for _ in range(1000):
        _fail(daemon, fleet_module.build_request(fleet))
    assert fleet.dispatches <= 1.1 * 1000


def test_flow_attempts_end_with_the_deadline(fleet, daemon):
    """A retry after the deadline would run although no caller waits."""
    for engine in fleet.engines.values():
        engine.status = 503
    request = fleet_module.build_request(fleet, seconds=0.01)
    _fail(daemon, request)
    assert fleet.dispatches == 1


def test_flow_answer_ends_with_the_deadline(fleet, daemon):
    """The ticket of a slow answer must be released at the deadline."""
    fleet.token_interval = datetime.timedelta(seconds=1)
    answer = daemon.flow.run(fleet_module.build_request(fleet, seconds=2.5))
    with pytest.raises(answers.DeadlinePassedError):
        list(answer.events)
    assert _is_all_released(daemon)


def test_flow_resumed_answer_ends_with_the_deadline(fleet, daemon):
    """The deadline also applies to a resumed answer."""
    fleet.engines["r0"].streams.add("s")
    fleet.token_interval = datetime.timedelta(seconds=1)
    point = resume.ResumePoint(
        service="chat",
        replica="r0",
        generation=1,
        address="r0",
        stream="s",
        account="chat/desk",
        digest="d",
    )
    deadline = fleet.clock.monotonic() + datetime.timedelta(seconds=2)
    answer = daemon.flow.resume(point, -1, deadline)
    with pytest.raises(answers.DeadlinePassedError):
        list(answer.events)


@pytest.mark.parametrize(
    ("given", "sent"),
    [
        ({}, {"max_tokens": 100}),
        ({"max_tokens": 7}, {"max_tokens": 7}),
        ({"max_tokens": 500}, {"max_tokens": 100}),
        ({"max_tokens": 90, "n": 4}, {"max_tokens": 25}),
        ({"max_completion_tokens": 7}, {"max_completion_tokens": 7}),
    ],
)
def test_flow_limited_answer_fits_its_reservation(
    fleet, daemon, given, sent, monkeypatch
):
    """Without a capped length an engine may exceed the approved tokens."""
    limits = dataclasses.replace(
        fleet_module.SERVICE.limits, tokens_per_period=1000
    )
    service = dataclasses.replace(fleet_module.SERVICE, limits=limits)
    request = fleet_module.build_request(fleet, service=service)
    request.body.update(given)
    bodies = []
    engine = fleet.engines["r0"]
    send = engine.open_stream

    def record_body(dispatch):
        bodies.append(dispatch.body)
        return send(dispatch)

    monkeypatch.setattr(engine, "open_stream", record_body)
    list(daemon.flow.run(request).events)
    lengths = {k: v for k, v in bodies[0].items() if k.startswith("max_")}
    assert lengths == sent


@pytest.mark.parametrize(
    ("status", "expected"), [(503, ["r0"]), (409, ["r0"]), (429, []), (500, [])]
)
def test_flow_replica_that_rejects_is_reported(fleet, daemon, status, expected):
    """Guards against further requests to a replica that runs none.

    One that is full is chosen by its load, and one whose attempt was lost may
    have run it.
    """
    rejected = []
    daemon.flow._record_rejection = lambda ticket: rejected.append(
        ticket.replica.replica
    )
    fleet.engines["r0"].status = status
    list(daemon.flow.run(fleet_module.build_request(fleet)).events)
    assert rejected == expected
