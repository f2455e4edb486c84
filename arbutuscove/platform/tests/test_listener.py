"""Guards against requests that end without an answer for a header's value."""

import datetime

import pytest

from arbutuscove.platform import fields as fields_module
from arbutuscove.platform.tests import test_configuration

ODD_NUMBERS = ["9" * 20, "9" * 400, "9" * 5000, "\u00b2", "-1", "1e3", ""]


def get_route():
    (route,) = test_configuration.decode(test_configuration.ROUTE).routes[
        "h.example"
    ]
    return route


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_odd_time_out_of_a_caller_is_that_of_the_route(text):
    """Guards against a request cut off for the time that it would wait."""
    route = get_route()
    timeout = fields_module.parse_timeout({"x-deadline-ms": text}, route)
    assert timeout == route.timeout


def test_shorter_time_out_of_a_caller_is_used():
    """Guards against work on a request that its caller has given up."""
    timeout = fields_module.parse_timeout({"x-deadline-ms": "250"}, get_route())
    assert timeout == datetime.timedelta(milliseconds=250)


@pytest.mark.parametrize("text", ODD_NUMBERS)
def test_odd_token_counts_are_not_used(text):
    """Guards against a count that overflows in the shares of accounts."""
    for counts in (f"{text},1", f"1,{text}"):
        fields = {"x-token-counts": counts}
        assert fields_module.parse_token_counts(fields) == (0, 0)


def test_token_counts_are_used():
    """Guards against requests whose stated size is lost."""
    fields = {"x-token-counts": "900, 100"}
    assert fields_module.parse_token_counts(fields) == (900, 100)


def test_all_parts_of_a_long_prompt_are_tracked():
    """Guards against a crashing part that is never blamed as it comes late."""
    prefix = ",".join(f"p{number}:35" for number in range(41))
    parts = fields_module.parse_prompt_parts({"x-prompt-prefix": prefix})
    assert parts == tuple(f"p{number}" for number in range(40))
