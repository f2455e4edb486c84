"""Guards against answers of upstreams read otherwise than they are meant."""

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
        """Returns a field, None if it is missing."""
        return self.fields.get(name.lower())

    def items(self):
        """Returns all fields."""
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
        ("", None),
    ],
)
def test_upstreams_load_is_read_or_left_out(request_sent, text, expected):
    """Guards against an answer lost to a load that cannot be read."""
    head = FakeHead(X_Server_Load=text, X_Server_Stamp="s")
    reply = upstreams.HttpCodec().read_reply(request_sent, head)
    assert reply.load == expected
    assert reply.is_signed
    # It is said to the daemon and not to the caller.
    assert all(name != "x-server-load" for name, _ in reply.fields)


def test_upstreams_without_a_load_say_nothing_of_it(request_sent):
    """Guards against an engine without that field that counts as empty."""
    reply = upstreams.HttpCodec().read_reply(request_sent, FakeHead())
    assert reply.load is None
