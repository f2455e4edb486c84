"""Guards against an API that the official OpenAI client cannot use."""

import openai
import pytest

from arbutuscove.entry import connections
from arbutuscove.entry.tests import serving

MESSAGES = [{"role": "user", "content": "hello"}]


@pytest.fixture
def server():
    running = serving.Server(connections.Bounds())
    yield running
    running.entry.stop()


def _build_client(server, key=serving.KEY):
    return openai.OpenAI(
        base_url=f"http://{server.address}/v1",
        api_key=key,
        max_retries=0,
        timeout=10,
    )


def _complete(client, stream):
    return client.chat.completions.create(
        model=serving.MODEL, messages=MESSAGES, stream=stream
    )


def test_openai_client_reads_whole_and_streamed_answers(server):
    """The unmodified OpenAI client must work."""
    with _build_client(server) as client:
        completion = _complete(client, False)
        assert completion.choices[0].message.content == "one two "
        chunks = list(_complete(client, True))
        words = [chunk.choices[0].delta.content for chunk in chunks]
        assert words == ["one ", "two ", None]
        assert [item.id for item in client.models.list()] == [serving.MODEL]


@pytest.mark.parametrize("stream", [False, True])
def test_openai_client_reports_a_cut_answer(server, stream):
    """A truncated answer must not look complete to the client."""
    server.flow.cut = True
    with _build_client(server) as client, pytest.raises(openai.APIError):
        list(_complete(client, stream))


def test_openai_client_reports_a_lost_connection(server):
    """A connection that closes early must raise an error at the client."""
    server.flow.lost = True
    received = []
    with _build_client(server) as client, pytest.raises(openai.APIError):
        for chunk in _complete(client, True):
            received.append(chunk)
    assert len(received) == 1
    assert server.entry.count_active() == 0


def test_openai_client_gets_typed_refusals(server):
    """Refusals must map to the error types of the client."""
    with (
        _build_client(server, "no") as client,
        pytest.raises(openai.AuthenticationError) as caught,
    ):
        _complete(client, False)
    assert caught.value.code == "wrong_key"
