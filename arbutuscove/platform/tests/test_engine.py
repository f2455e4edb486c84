"""Guards against a server's report that ends whoever reads it."""

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from arbutuscove.crashes import liveness
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module
from arbutuscove.platform import engine
from arbutuscove.platform.tests import test_entries

REPORT = {
    "sequence": 3,
    "group": test_entries.ENTRY["group"],
    "born": 5,
    "pace": 1.5,
}
VM = test_planner.create_vm("i-1", started_at_ms=5)


class Client(engine.HttpOrderClient):
    """A client whose calls are answered with a given body."""

    def __init__(self, answer):
        super().__init__(None, clock_module.ManualClock())
        self.answer = answer

    def _call(self, *arguments):
        return 200, self.answer


def test_report_is_decoded():
    """Guards against a field that is decoded with a wrong meaning."""
    client = Client(msgspec.json.encode(REPORT))
    status = client.read_status(VM)
    assert (status.accepted, status.pace) == (3, 1.5)
    assert status.membership.key == ("daka~5", 5)
    assert client.probe_liveness(VM) == liveness.Liveness.ALIVE


ODD_REPORTS = [
    REPORT | {"sequence": 2**63},
    REPORT | {"sequence": -1},
    REPORT | {"born": 2**63},
    REPORT | {"pace": -1.0},
    REPORT | {"group": REPORT["group"] | {"epoch": 2**70}},
    REPORT | {"group": REPORT["group"] | {"rank": -1}},
    REPORT | {"unknown": "x" * engine.MAX_REPORT_BYTES},
]


@pytest.mark.parametrize("report", ODD_REPORTS)
def test_report_out_of_range_is_no_status(report):
    """Guards against orders that cannot be encoded."""
    client = Client(msgspec.json.encode(report))
    assert client.read_status(VM) is None
    assert client.probe_liveness(VM) == liveness.Liveness.UNKNOWN


@pytest.mark.parametrize("nested", test_entries.NESTED.values())
def test_deeply_nested_report_is_no_status(nested):
    """Guards against a group controller that one report ends."""
    content = msgspec.json.encode(REPORT | {"unknown": "NESTED"})
    client = Client(content.replace(b'"NESTED"', nested))
    assert client.read_status(VM) is None
    assert client.probe_liveness(VM) == liveness.Liveness.UNKNOWN


@hypothesis.given(
    strategies.sampled_from(sorted(REPORT)), test_entries.JSON_VALUES
)
def test_report_with_any_value_is_a_status_or_none(field, value):
    """Guards against a decoder that fails in an unexpected way."""
    client = Client(msgspec.json.encode(REPORT | {field: value}))
    status = client.read_status(VM)
    if status is not None:
        msgspec.msgpack.encode(status)
    client.probe_liveness(VM)
