"""Guards against an interface that the stock client cannot use."""

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
    """Callers use the stock client without change."""
    with _build_client(server) as client:
        whole = _complete(client, False)
        assert whole.choices[0].message.content == "one two "
        parts = list(_complete(client, True))
        words = [part.choices[0].delta.content for part in parts]
        assert words == ["one ", "two ", None]
        assert [item.id for item in client.models.list()] == [serving.MODEL]


@pytest.mark.parametrize("stream", [False, True])
def test_openai_client_reports_a_cut_answer(server, stream):
    """A cut answer must never pass for a whole one."""
    server.flow.cut = True
    with _build_client(server) as client, pytest.raises(openai.APIError):
        list(_complete(client, stream))


def test_openai_client_reports_a_lost_connection(server):
    """A connection that closes early must be an error at the client."""
    server.flow.lost = True
    seen = []
    with _build_client(server) as client, pytest.raises(openai.APIError):
        for part in _complete(client, True):
            seen.append(part)
    assert len(seen) == 1
    assert server.entry.active() == 0


def test_openai_client_gets_typed_refusals(server):
    """Refusals map to the client's own error types."""
    with (
        _build_client(server, "no") as client,
        pytest.raises(openai.AuthenticationError) as caught,
    ):
        _complete(client, False)
    assert caught.value.code == "wrong_key"
