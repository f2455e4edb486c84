"""Guards against wrongly decoded routes, keys or route kinds."""

import datetime

import msgspec
import pytest

from arbutuscove.catalog import holder
from arbutuscove.catalog import model
from arbutuscove.platform import configuration

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
