"""Guards against wrongly decoded routes, keys or route kinds."""

import contextlib
import copy
import datetime

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from arbutuscove.catalog import holder
from arbutuscove.catalog import model
from arbutuscove.platform import configuration
from arbutuscove.platform import store
from arbutuscove.platform.tests import test_entries

ROUTE = {
    "name": "r",
    "host": "H.example",
    "prefix": "/a/",
    "kind": "stream",
    "timeout_ms": 8000,
    "target_latency_ms": 500,
    "priority": 1,
    "service": "s",
    "max_attempts": 2,
    "public": False,
    "resumable": True,
    "target_gap_ms": 300,
}


def decode(*routes, **fields):
    body = {"version": 7, "routes": routes, "services": [{"name": "s"}]}
    return configuration.decode(msgspec.json.encode(body | fields))


def test_configuration_selects_the_longest_prefix():
    """Guards against a request that is matched to the wrong route."""
    longer = ROUTE | {"name": "longer", "prefix": "/a/b/"}
    catalog = decode(ROUTE, longer)
    assert catalog.find_route("h.example", "/a/b/c").name == "longer"
    assert catalog.find_route("h.example", "/a/bc").name == "r"
    assert catalog.find_route("h.example", "/b/") is None
    assert catalog.find_route("other", "/a/") is None


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"target_latency_ms": 300, "target_gap_ms": 200}, 2.0),
        ({"target_latency_ms": 700, "target_gap_ms": 200}, 2.8),
        ({"target_latency_ms": 500, "target_gap_ms": 300}, 2.4),
        ({"target_latency_ms": 300, "target_gap_ms": None}, 2.0),
        ({"kind": "safe", "target_gap_ms": None}, None),
    ],
)
def test_configuration_tells_when_callers_give_a_stream_up(fields, expected):
    """Guards against streams that wait longer than their callers do."""
    (route,) = decode(ROUTE | fields).routes["h.example"]
    timeout = route.first_event_timeout
    assert (timeout and timeout.total_seconds()) == expected


def test_large_configuration_is_taken():
    """Guards against acknowledged changes that never come in force (review/3).

    Its row also fits into an answer of the store.
    """
    routes = [
        ROUTE | {"name": f"r{n}", "prefix": f"/{n:06}/{'x' * 40}/"}
        for n in range(30_000)
    ]
    body = {"version": 7, "routes": routes, "services": [{"name": "s"}]}
    content = msgspec.json.encode(body)
    assert 6 * 1024 * 1024 < len(content) < 8 * 1024 * 1024
    catalog = configuration.decode(content)
    target = routes[-1]["prefix"]
    assert catalog.find_route("h.example", target).name == "r29999"
    assert len(content) * 4 / 3 + 1024 < store.MAX_ANSWER_BYTES


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        ({}, model.Repeat.STREAM_RESUMABLE),
        ({"resumable": False}, model.Repeat.STREAM_ONCE),
        ({"kind": "safe"}, model.Repeat.SAFE),
        ({"kind": "unsafe"}, model.Repeat.ONCE),
        ({"kind": "something new"}, model.Repeat.ONCE),
    ],
)
def test_configuration_says_what_may_be_repeated(change, expected):
    """Guards against a retry of a request that may run only once."""
    catalog = decode(ROUTE | change)
    assert catalog.find_route("h.example", "/a/").repeat == expected


def test_configuration_maps_keys_to_accounts():
    """Guards against a request served under another account."""
    tenants = [{"name": "x", "api_keys": ["k1", "k2"], "priority": 2}]
    catalog = decode(ROUTE, tenants=tenants)
    assert catalog.accounts["k2"].name == "x"
    assert decode(ROUTE).accounts is None


def test_configuration_splits_traffic():
    """Guards against a route whose second service gets no requests."""
    split = [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]
    (route,) = decode(ROUTE | {"traffic_split": split}).routes["h.example"]
    assert [target.weight for target in route.targets] == [90, 10]
    assert route.timeout == datetime.timedelta(seconds=8)


@pytest.mark.parametrize("content", [b"", b"{}", b"[]", b'{"version": "x"}'])
def test_invalid_configuration_is_an_error(content):
    """Guards against a crash or an empty catalog after an invalid row."""
    with pytest.raises(configuration.ConfigurationError):
        configuration.decode(content)


def test_catalog_never_goes_back():
    """Guards against an older configuration that arrives late."""
    catalogs = holder.CatalogHolder()
    assert catalogs.apply_if_newer(decode(ROUTE), "store")
    assert not catalogs.apply_if_newer(decode(ROUTE, version=6), "store")
    assert catalogs.get_version() == 7


ENGINE = {
    "models": [
        {
            "name": "daka",
            "size": 4,
            "share": 0.5,
            "pace": 1.5,
            "load_s": 20,
            "warm_s": 2,
        }
    ],
    "slots": 16,
    "step_ms": 20,
    "per_seq_ms": 0.5,
    "context_per_k": 0.1,
    "read_per_s": 9000,
    "stride": 4,
    "loads_per_s": 2,
    "loads_at_once": 3,
    "form_ms": 500,
    "usual": {"prompt": 900, "answer": 90},
}
CONFIGURATION = {
    "version": 7,
    "routes": [ROUTE | {"traffic_split": [{"service": "s", "weight": 1}]}],
    "services": [{"name": "s", "max_connections": 9, "engine": ENGINE}],
    "tenants": [{"name": "x", "api_keys": ["k1"], "priority": 2}],
    "limits": {
        "max_header_bytes": 9,
        "max_body_bytes": 9,
        "header_timeout_ms": 9,
        "idle_timeout_ms": 9,
    },
}


def list_paths(value, path=()):
    match value:
        case dict():
            items = value.items()
        case list():
            items = enumerate(value)
        case _:
            items = ()
    paths = [path] if path else []
    for key, inner in items:
        paths += list_paths(inner, (*path, key))
    return paths


def replace(path, value):
    body = copy.deepcopy(CONFIGURATION)
    inner = body
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return msgspec.json.encode(body)


LIMITS = ("limits",)
MODEL = ("services", 0, "engine", "models", 0)
OUT_OF_RANGE = [
    (("version",), 2**63),
    (("version",), -1),
    (("routes", 0, "timeout_ms"), 1e300),
    (("routes", 0, "timeout_ms"), -1),
    (("routes", 0, "target_latency_ms"), 1e17),
    (("routes", 0, "target_gap_ms"), 1e300),
    (("routes", 0, "host"), "a\n"),
    (("routes", 0, "traffic_split", 0, "weight"), -1),
    (("routes", 0, "traffic_split", 0, "weight"), 1e300),
    ((*LIMITS, "idle_timeout_ms"), 1e300),
    ((*LIMITS, "header_timeout_ms"), 1e300),
    ((*LIMITS, "max_body_bytes"), 2**63),
    ((*LIMITS, "max_body_bytes"), -1),
    ((*MODEL, "size"), 0),
    ((*MODEL, "share"), 1e300),
    ((*MODEL, "load_s"), 1e300),
    ((*MODEL, "pace"), 1e300),
    (("services", 0, "engine", "slots"), 2**70),
    (("services", 0, "engine", "stride"), 2**40),
    (("services", 0, "engine", "step_ms"), 1e300),
    (("tenants", 0, "name"), "a\r\nb"),
    (("tenants", 0, "name"), "\u65e5"),
]


@pytest.mark.parametrize(("path", "value"), OUT_OF_RANGE)
def test_configuration_out_of_range_is_an_error(path, value):
    """Guards against a value that fails where it is used."""
    with pytest.raises(configuration.ConfigurationError):
        configuration.decode(replace(path, value))


@pytest.mark.parametrize("nested", test_entries.NESTED.values())
def test_deeply_nested_configuration_is_an_error(nested):
    """Guards against a follower that one nested configuration ends."""
    content = replace(("unknown",), "NESTED").replace(b'"NESTED"', nested)
    with pytest.raises(configuration.ConfigurationError):
        configuration.decode(content)


@hypothesis.given(
    strategies.sampled_from(list_paths(CONFIGURATION)),
    test_entries.JSON_VALUES,
)
def test_configuration_with_any_value_is_a_catalog_or_an_error(path, value):
    """Guards against a decoder that fails in an unexpected way."""
    with contextlib.suppress(configuration.ConfigurationError):
        catalog = configuration.decode(replace(path, value))
        # As sent in the heartbeats of this daemon.
        msgspec.msgpack.encode(catalog.version)


def test_whole_configuration_is_decoded():
    """Guards against a limit that rejects a sound configuration."""
    content = msgspec.json.encode(CONFIGURATION)
    engine = configuration.decode(content).services["s"].engine
    assert engine.find_model("daka").size == 4


def test_service_tells_the_rate_of_its_cold_servers():
    """Guards against a service whose started VMs are flooded."""
    told = {"name": "t", "cold_start_s": 3.0, "cold_per_s": 17.0}
    body = CONFIGURATION | {"services": [{"name": "s"}, told]}
    services = configuration.decode(msgspec.json.encode(body)).services
    assert services["t"].warming_time == datetime.timedelta(seconds=3)
    assert services["t"].warming_rate == 17.0
    assert services["s"].warming_rate == 0.0


ONE_WAY = {"from": "a", "to": "b", "delay_ms": 3.9}


def decode_delays(delays):
    engine = {"models": [], "slots": 1, "delays": delays}
    return decode(services=[{"name": "s", "engine": engine}]).one_way


def test_configuration_tells_the_time_between_domains():
    """Guards against a way across that counts as free."""
    assert decode_delays([ONE_WAY]) == {
        ("a", "b"): datetime.timedelta(milliseconds=3.9)
    }


@pytest.mark.parametrize(
    "odd",
    [
        ONE_WAY | {"delay_ms": -1},
        ONE_WAY | {"delay_ms": "fast"},
        ONE_WAY | {"delay_ms": 1e300},
        ONE_WAY | {"to": None},
        {"from": "a"},
        7,
        None,
    ],
)
def test_odd_time_between_domains_is_skipped(odd):
    """Guards against a configuration that one odd row keeps out of force."""
    assert decode_delays([odd, ONE_WAY]).keys() == {("a", "b")}


@pytest.mark.parametrize("odd", [7, "x", {"a": 1}, None])
def test_odd_times_between_domains_are_skipped(odd):
    """Guards against a configuration that an odd field keeps out of force."""
    assert not decode_delays(odd)
