"""Guards against upstreams blamed for a path that this daemon has lost."""

import dataclasses

import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.relay import model
from arbutuscove.relay.tests import test_silence
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream

build = test_troubled.build_fixture


@pytest.fixture(name="scene")
def fixture_scene(build, monkeypatch):
    """A silent upstream whose direct path has been lost, and a sound one."""
    scene = build(test_silence.stay_silent, faulty_upstream.answer_completely)
    monkeypatch.setattr(
        scene.flow.context.connections,
        "has_lost_path",
        lambda service, used: used.address.port == scene.bad.port,
    )
    return scene


def test_request_on_a_lost_path_is_sent_again(scene):
    """Guards against a request that waits for an answer that cannot come."""
    answer, body = scene.serve(catalog_model.Repeat.SAFE)
    assert (answer.status, body) == (200, test_troubled.WHOLE)
    assert (scene.bad.requests, scene.good.requests) == (1, 1)


def test_request_on_a_lost_path_starts_no_cooldown(scene):
    """Guards against all backends on cooldown when a cut is found.

    Peers still reach them, and nothing else would be left to serve from.
    """
    scene.serve(catalog_model.Repeat.SAFE)
    assert scene.states["bad", 1].failures == 0


def test_request_that_may_not_repeat_stays_on_a_lost_path(scene):
    """Guards against a request run twice after its path was lost."""
    request = dataclasses.replace(
        scene.create_request(catalog_model.Repeat.ONCE),
        deadline=scene.clock.monotonic() + test_troubled.SECOND,
    )
    with pytest.raises(model.RefusedError) as caught:
        scene.flow.serve(request)
    assert caught.value.refusal.status in (502, 504)
    assert (scene.bad.requests, scene.good.requests) == (1, 0)
