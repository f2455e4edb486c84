"""Guards against streams that end although another server could go on."""

import pytest

from arbutuscove.catalog import model as catalog_model
from arbutuscove.relay import replacement
from arbutuscove.relay.tests import test_silence
from arbutuscove.relay.tests import test_troubled
from arbutuscove.standins import faulty_upstream

EVENTS = faulty_upstream.EVENTS
RESUMABLE = catalog_model.Repeat.STREAM_RESUMABLE

build = test_troubled.build_fixture


class EveryoneSuspects:
    """Crash evidence against every request, from some moment on."""

    def __init__(self, tracker):
        self._tracker = tracker
        self.is_suspected = False

    def __getattr__(self, name):
        return getattr(self._tracker, name)

    def may_repeat(self, request):
        return not self.is_suspected


def test_answer_of_a_replacement_is_used_despite_new_crash_evidence(build):
    """Guards against a silent stream and its answered replacement both ended.

    The replacement has sent an event, so its server has survived the request.
    Evidence against a part of the prompt arrives in the same moment.
    """
    scene = build(test_silence.pause_between_events, answer_at_once)
    crashes = scene._shared.crashes = EveryoneSuspects(scene._shared.crashes)
    read_event = replacement.Replacement._read_event

    def read_and_suspect(self):
        data = read_event(self)
        crashes.is_suspected = True
        return data

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(replacement.Replacement, "_read_event", read_and_suspect)
        answer, body = scene.serve(RESUMABLE)
    assert (answer.status, body) == (200, b"".join(EVENTS))


def answer_at_once(request_id):
    """Goes on after the second event."""
    yield faulty_upstream.build_head(request_id, faulty_upstream.CHUNKED)
    for event in EVENTS[2:]:
        yield faulty_upstream.build_chunk(event)
    yield faulty_upstream.LAST_CHUNK
