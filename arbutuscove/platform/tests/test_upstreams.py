"""Guards against misinterpreted responses of upstreams."""

import pytest

from arbutuscove.platform import upstreams
from arbutuscove.relay import occupancy
from arbutuscove.relay.tests import test_waiting


class FakeHead:
    """The head of a response."""

    def __init__(self, status=200, **fields):
        self.status = status
        self.fields = {
            name.replace("_", "-").lower(): value
            for name, value in fields.items()
        }

    def get_code(self):
        """Returns the status."""
        return self.status

    def get_header(self, name):
        """Returns a header, None if it is missing."""
        return self.fields.get(name.lower())

    def items(self):
        """Returns all headers."""
        return list(self.fields.items())


@pytest.fixture(name="request_sent")
def request_sent_fixture():
    scene = test_waiting.Scene()
    return scene.create_request("r1")


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (
            "12, 3,13",
            occupancy.EngineLoad(running=12, waiting=3, slots=13),
        ),
        ("12,3", None),
        ("many,3,13", None),
        ("-1,3,13", None),
        ("\u00b2,3,13", None),
        ("1,3," + "9" * 20, None),
        ("9" * 5000 + ",3,13", None),
        ("", None),
    ],
)
def test_load_of_an_upstream_is_parsed_or_ignored(request_sent, text, expected):
    """Guards against an answer that is lost because of a malformed load."""
    head = FakeHead(X_Server_Load=text, X_Server_Stamp="s")
    reply = upstreams.HttpCodec().read_reply(request_sent, head)
    assert reply.load == expected
    assert reply.is_signed
    # The load is meant for the daemon and not for the caller.
    assert all(name != "x-server-load" for name, _ in reply.fields)


def test_missing_load_header_gives_no_load(request_sent):
    """Guards against an engine that counts as idle for lack of the header."""
    reply = upstreams.HttpCodec().read_reply(request_sent, FakeHead())
    assert reply.load is None
