"""Guards against a start with invalid or misread settings."""

import datetime

import msgspec
import pytest

from arbutuscove.platform import settings

FIELDS = {
    "node": "front-a-1",
    "ip": "10.1.0.40",
    "zone": "a",
    "region": "south",
    "zones": {"a": "south"},
    "listen": {
        "front": "10.1.0.40:8227",
        "ready": "10.1.0.40:8220",
        "directory": "10.1.0.40:8224",
    },
    "internal_ports": [7340, 7355],
    "bootstrap": True,
    "limits": {"max_fds": 4200},
    "heartbeat_ms": 1200,
    "bounds": {
        "drain_ms": 2000,
        "config_apply_ms": 2000,
        "grace_s": 8,
        "retry_budget_ratio": 0.2,
        "retry_budget_slack": 132,
        "budget_window_s": 10,
    },
    "platform": {"address": "10.200.1.7:8223"},
}


def decode(**change):
    return settings.decode(msgspec.json.encode(FIELDS | change))


def test_settings_ignore_unknown_fields():
    """Guards against a daemon that does not start because of a new field."""
    decoded = decode(something_new=[1, 2])
    assert decoded.bounds.drain_timeout == datetime.timedelta(seconds=2)
    assert (
        decoded.caller_address is not None
        and decoded.caller_address.port == 8227
    )


@pytest.mark.parametrize("name", ["node", "platform", "bounds", "listen"])
def test_settings_without_a_field_are_an_error(name):
    """Guards against a daemon that runs with incomplete settings."""
    fields = {key: value for key, value in FIELDS.items() if key != name}
    with pytest.raises(settings.SettingsError, match=name):
        settings.decode(msgspec.json.encode(fields))


@pytest.mark.parametrize(
    "change",
    [
        {"platform": {"address": "nowhere"}},
        {"internal_ports": [1, 1]},
        {"heartbeat_ms": "often"},
        {"listen": []},
    ],
)
def test_settings_with_a_wrong_value_are_an_error(change):
    """Guards against a daemon that runs with an unusable value."""
    with pytest.raises(settings.SettingsError):
        decode(**change)


def test_settings_read_the_size_of_the_vm():
    """Guards against leases that are assigned to the smallest VM."""
    limits = {"max_fds": 4200, "cpu_share": 0.717, "cores": 3}
    assert decode(limits=limits).cpu_millicores == 2151
