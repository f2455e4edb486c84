"""Guards against operators' calls that fail without a stated fault."""

import pytest
from werkzeug import test as werkzeug_test
from werkzeug import wrappers

from arbutuscove.admin import api
from arbutuscove.admin import errors
from arbutuscove.config import model


@pytest.mark.parametrize(
    "content", [b"", b"{", b"[" * 100_000, b'{"a":' * 5000, b"\xff"]
)
def test_odd_body_is_refused(content):
    """Guards against a body that is answered with a server error."""
    with pytest.raises(errors.AdminError):
        api._decode_body(content, model.Service)


@pytest.mark.parametrize("text", ["\u00b2", "9" * 5000, "-1", "1_0", "0"])
def test_odd_limit_is_refused(text):
    """Guards against a parameter that is answered with a server error."""
    environ = werkzeug_test.create_environ(query_string={"limit": text})
    with pytest.raises(errors.AdminError):
        api._read_parameter(wrappers.Request(environ), "limit", 10)
