"""Guards against requests lost as a configuration changes their service."""

import dataclasses

import gevent
import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.fleet import model as fleet_model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.relay.tests import test_resumption
from arbutuscove.relay.tests import test_silence
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream
from arbutuscove.storage import http

EVENTS = faulty_upstream.EVENTS
RESUMABLE = catalog_model.Repeat.STREAM_RESUMABLE
ENGINE = dataclasses.replace(
    test_planner.ENGINE,
    models=(dataclasses.replace(test_planner.CHAT, size=1),),
)
SERVICE = catalog_model.Service(name="models", connections=9, engine=ENGINE)
PLAIN = dataclasses.replace(SERVICE, engine=None)
WITHOUT_MODELS = dataclasses.replace(
    SERVICE, engine=dataclasses.replace(ENGINE, models=())
)

build = test_troubled.build_fixture


def put_in_force(scene, version, *listed):
    scene.catalog.apply_if_newer(
        catalog_model.Catalog(
            version=version,
            routes={},
            services={service.name: service for service in listed},
            accounts=None,
            bounds=None,
        ),
        "test",
    )


def list_groups(scene):
    """Lists both upstreams as groups of one VM of a model service."""
    addresses = {1: scene.bad.port, 2: scene.good.port}
    scene.inventory.replace(
        test_planner.create_vm(
            f"head{epoch}",
            address=http.Address("127.0.0.1", port),
            membership=fleet_model.Membership(
                group=fleet_model.create_group_name("chat", epoch),
                epoch=epoch,
                rank=0,
                state=fleet_model.MemberState.OPEN,
            ),
        )
        for epoch, port in addresses.items()
    )
    scene.dispatcher.list_backends(("models", "chat"))
    # The other one is tried first.
    scene.states.record_failure((fleet_model.create_group_name("chat", 2), 2))


def create_request(scene):
    request = scene.create_request(RESUMABLE)
    return dataclasses.replace(request, model="chat")


@pytest.mark.parametrize(
    "listed", [(), (WITHOUT_MODELS,)], ids=["removed", "no_models"]
)
@pytest.mark.parametrize(
    "first",
    [test_resumption.break_off, test_silence.pause_between_events],
    ids=lambda behaviour: behaviour.__name__,
)
def test_stream_goes_on_in_a_service_that_is_changed(build, first, listed):
    """Guards against a stream cut as no new request may go to its servers."""
    scene = build(first, faulty_upstream.answer_stream)
    put_in_force(scene, 1, SERVICE)
    list_groups(scene)
    answer = scene.flow.serve(create_request(scene))
    put_in_force(scene, 2, *listed)
    with gevent.Timeout(2 * test_troubled.DEADLINE.total_seconds()):
        assert b"".join(answer.body) == b"".join(EVENTS)


@pytest.mark.parametrize(
    "listed",
    [(), (PLAIN,), (WITHOUT_MODELS,)],
    ids=["removed", "plain", "no_models"],
)
def test_waiting_request_of_a_changed_service_is_served(build, listed):
    """Guards against a request that waits in a queue that is left behind."""
    scene = build(faulty_upstream.answer_stream, faulty_upstream.answer_stream)
    put_in_force(scene, 1, SERVICE)
    list_groups(scene)
    backends = scene.dispatcher.list_backends(("models", "chat"))
    for backend in backends:
        for _ in range(backend.slots):
            scene.states.begin_request(backend.key)
    served = gevent.spawn(scene.flow.serve, create_request(scene))
    gevent.sleep(0.05)
    assert not served.ready()
    put_in_force(scene, 2, *listed)
    for backend in backends:
        for _ in range(backend.slots):
            scene.states.end_request(backend.key)
    answer = served.get(timeout=test_troubled.DEADLINE.total_seconds())
    assert b"".join(answer.body) == b"".join(EVENTS)
    assert all(not scene.states[backend.key].running for backend in backends)
