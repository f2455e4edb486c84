"""Guards against a row or an answer that ends a reader of the store."""

import base64
import contextlib
import datetime

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from arbutuscove.crashes import holder as crash_holder
from arbutuscove.crashes import verdicts
from arbutuscove.kernel import clock as clock_module
from arbutuscove.leases import lease
from arbutuscove.platform import registry
from arbutuscove.platform import store as store_module
from arbutuscove.platform import table as platform_table
from arbutuscove.platform.tests import test_entries
from arbutuscove.storage import http
from arbutuscove.storage import table as table_module

NESTED = test_entries.NESTED["objects"]


class AnsweringStore(store_module.Store):
    """A store client whose calls are answered with given bodies."""

    def __init__(self, *answers):
        super().__init__(
            http.Address("127.0.0.1", 1), None, clock_module.ManualClock()
        )
        self.answers = list(answers)
        self.targets = []

    def _call(self, method, target, body, timeout):
        self.targets.append(target)
        return store_module._Answer(
            status=200, body=self.answers.pop(0), era=0, is_stale=False
        )


def create_row(key, content=b"{}", **fields):
    row = {"key": key, "schema_version": 5}
    return row | {"value": base64.b64encode(content).decode()} | fields


def encode_page(*rows, **fields):
    return msgspec.json.encode({"schema_version": 9, "rows": rows} | fields)


ODD_ROWS = [
    {"schema_version": 5},
    None,
    [],
    create_row(7),
    create_row("odd", schema_version=2**70),
    create_row("odd", schema_version=-1),
    create_row("odd", deleted="yes"),
]


@pytest.mark.parametrize("odd", ODD_ROWS)
def test_odd_row_does_not_cost_the_others_of_its_page(odd):
    """Guards against one row that stops a follower of a table."""
    store = AnsweringStore(encode_page(create_row("a"), odd, create_row("b")))
    page = store.wait_for_changes(
        "servers",
        store_module.Position(era=0, version=4),
        datetime.timedelta(),
    )
    assert [row.key for row in page.rows] == ["a", "b"]
    assert page.version == 9


@pytest.mark.parametrize("value", [None, 7, "\u00e9", "a", "=", [], {"a": 1}])
def test_row_that_is_not_base64_has_no_content(value):
    """Guards against one value that stops a follower of a table."""
    odd = create_row("odd", value=value)
    store = AnsweringStore(encode_page(odd, create_row("b")))
    odd_row, row = store.read_rows("servers").rows
    assert odd_row.content == b""
    assert row.content == b"{}"


def test_odd_last_row_does_not_cost_the_next_page():
    """Guards against rows that are missed after one without a key."""
    first = encode_page(create_row("a"), None, has_more=True)
    store = AnsweringStore(first, encode_page(create_row("b")))
    assert [row.key for row in store.read_rows("t").rows] == ["a", "b"]
    assert "from=a%00" in store.targets[1]
    store = AnsweringStore(encode_page(None, has_more=True))
    with pytest.raises(store_module.StoreError):
        store.read_rows("t")


ODD_ANSWERS = [
    b"",
    b"[]",
    b'{"schema_version":' + b"9" * 30 + b"}",
    b'{"schema_version":1,"unknown":' + NESTED + b"}",
    b'{"schema_version":1,"rows":[' + NESTED + b"]}",
]


@pytest.mark.parametrize("answer", ODD_ANSWERS)
def test_unreadable_answer_is_an_error(answer):
    """Guards against an answer that ends a caller of the store."""
    with pytest.raises(store_module.StoreError):
        AnsweringStore(answer).read_rows("t")
    # The store may have written, so that the write must not be repeated.
    with pytest.raises(store_module.OutcomeUnknownError):
        AnsweringStore(answer).transact("t", {}, {"a": b""})


ODD_CONTENTS = [b"", b"7", b"[]", b"{", NESTED, b"\xff", b'{"value":7}']


@pytest.mark.parametrize("content", ODD_CONTENTS)
def test_odd_content_of_an_own_row_is_unreadable(content):
    """Guards against one row that ends the loop of the leases."""
    store = AnsweringStore(encode_page(create_row("lease/duty", content)))
    row = platform_table.StoreTable(store).read("lease/duty")
    with pytest.raises(table_module.UnreadableRowError):
        row.decode(lease.LeaseRow)


@hypothesis.given(test_entries.JSON_VALUES, test_entries.JSON_VALUES)
def test_page_with_any_row_is_read_or_an_error(row, value):
    """Guards against a decoder that fails in an unexpected way."""
    page = encode_page(row, create_row("a", value=value), create_row("b"))
    rows = AnsweringStore(page).read_rows("t").rows
    assert rows[-1].key == "b"


@hypothesis.given(strategies.binary(max_size=64))
def test_answer_of_any_bytes_is_read_or_an_error(answer):
    """Guards against a decoder that fails in an unexpected way."""
    with contextlib.suppress(store_module.StoreError):
        AnsweringStore(answer).read_rows("t")


class Peers:
    """Keeps the addresses that are passed to gossip."""

    def __init__(self):
        self.ips = None

    def add_peers(self, ips):
        self.ips = list(ips)


class Settings:
    """The settings that a registration uses."""

    name = "d1"
    ip = "10.0.0.1"


def register(*rows):
    peers, clock = Peers(), clock_module.ManualClock()
    store = AnsweringStore(encode_page(), encode_page(*rows))
    keeper = verdicts.VerdictKeeper(
        platform_table.StoreTable(store), clock, lambda key: True
    )
    evidence = crash_holder.EvidenceHolder(clock, keeper)
    registry.Registry(Settings, store, clock, peers, evidence)._register()
    return peers.ips, evidence


@pytest.mark.parametrize(
    "content", [*ODD_CONTENTS, b'{"ip":["10.0.0.3"]}', b'{"ip":"10.0.0.x"}']
)
def test_odd_registration_does_not_cost_the_others(content):
    """Guards against a daemon that finds no peer beside an odd row."""
    odd = create_row("daemon/odd", content)
    sound = create_row("daemon/d2", b'{"ip":"10.0.0.2"}')
    assert register(odd, sound)[0] == ["10.0.0.2"]


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("f" * 17, {"depth": 1, "deaths": ["a", "b"]}),
        ("0_1", {"depth": 1, "deaths": ["a", "b"]}),
        ("01", {"depth": 2**70, "deaths": ["a", "b"]}),
        ("01", {"depth": 1, "deaths": ["a" * 300, "b" * 300]}),
        ("01", [[]]),
    ],
)
def test_odd_verdict_does_not_cost_the_start(key, value):
    """Guards against a daemon that never starts beside an odd verdict."""
    content = msgspec.json.encode({"value": value}) if value else NESTED
    rows = (
        create_row(verdicts.KEY_PREFIX + key, content),
        create_row("daemon/d2", b'{"ip":"10.0.0.2"}'),
    )
    ips, evidence = register(*rows)
    assert ips == ["10.0.0.2"]
    assert evidence.get_fingerprint() == 0
