"""Guards against odd replies of platform services that end their readers."""

import contextlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from arbutuscove.platform.tests import test_entries
from arbutuscove.storage import http
from arbutuscove.storage import inventory
from arbutuscove.storage import objects
from arbutuscove.storage import table
from arbutuscove.upstreams import engine
from arbutuscove.upstreams import errors
from arbutuscove.upstreams import protocol

ADDRESS = http.Address("127.0.0.1", 1)
WRITE = table.Transaction(
    conditions=(), writes=(table.Write(key="a", value=1),)
)
VM = {
    "name": "v1",
    "address": "10.0.0.9:80",
    "fabric_domain": "d0",
    "failure_domain": "a",
    "accelerators": 8,
}
ODD_BODIES = [
    b"",
    b"{",
    b"7",
    b"null",
    b'{"key":7}',
    b"\xff",
    test_entries.NESTED["objects"],
    test_entries.NESTED["arrays"],
]


class Replies:
    """A client whose requests all get the same reply."""

    def __init__(self, body, status=200):
        self.reply = http.Reply(status, body, {})

    def send(self, *arguments):
        return self.reply


def create(client_type, body, status=200):
    client = client_type(ADDRESS)
    client._client = Replies(body, status)
    return client


@pytest.mark.parametrize("body", ODD_BODIES)
def test_odd_reply_of_the_table_is_an_error(body):
    """Guards against a reply that ends a loop that reads the table."""
    client = create(table.HttpTable, body)
    with pytest.raises(table.TableUnavailableError):
        client.read("a")
    with pytest.raises(table.TableUnavailableError):
        client.scan("a")
    for status in (200, 409):
        with pytest.raises(table.OutcomeUnknownError):
            create(table.HttpTable, body, status).transact(WRITE)


@pytest.mark.parametrize("body", ODD_BODIES)
def test_odd_reply_of_the_inventory_is_an_error(body):
    """Guards against a reply that ends the reader of the VM list."""
    with pytest.raises(inventory.InventoryUnavailableError):
        create(inventory.HttpInventory, body).list_vms()


@pytest.mark.parametrize("body", ODD_BODIES)
def test_odd_reply_of_the_object_store_is_an_error(body):
    """Guards against a stored answer that is no answer."""
    with pytest.raises(objects.ObjectStoreUnavailableError):
        create(objects.HttpObjectStore, body).get("a")


ODD_VMS = [
    None,
    7,
    {},
    VM | {"name": "a\r\nb"},
    VM | {"address": "10.0.0.9:65536"},
    VM | {"address": "h" * 300 + ":80"},
    VM | {"accelerators": 2**70},
    VM | {"accelerators": -1},
    VM | {"state": "asleep"},
]


@pytest.mark.parametrize("odd", ODD_VMS)
def test_odd_vm_does_not_cost_the_others_of_the_list(odd):
    """Guards against one VM that stops the reader of the VM list."""
    body = msgspec.json.encode([VM, odd, VM | {"name": "v2"}])
    vms = create(inventory.HttpInventory, body).list_vms()
    assert [vm.name for vm in vms] == ["v1", "v2"]


@hypothesis.given(strategies.sampled_from(sorted(VM)), test_entries.JSON_VALUES)
def test_vm_with_any_value_is_listed_or_left_out(field, value):
    """Guards against a decoder that fails in an unexpected way."""
    body = msgspec.json.encode([VM | {field: value}, VM])
    assert create(inventory.HttpInventory, body).list_vms()[-1].name == "v1"


@hypothesis.given(strategies.binary(max_size=64))
def test_reply_of_any_bytes_is_read_or_an_error(body):
    """Guards against a decoder that fails in an unexpected way."""
    with contextlib.suppress(table.TableError):
        create(table.HttpTable, body).read("a")


@pytest.mark.parametrize("value", [None, 7, [], {"a": 2**70}])
def test_odd_value_of_a_row_is_unreadable(value):
    """Guards against a value that raises another error than the table's."""
    row = table.Row(key="a", version=1, write_id="", value=value)
    with pytest.raises(table.UnreadableRowError):
        row.decode(table.Conflict)


STATUS = {
    "vm": "v1",
    "state": "ready",
    "replica": "r",
    "generation": 3,
    "slots": 16,
    "running": 3,
    "queued": 1,
    "kv_used": 0.5,
    "token_interval": "PT0.02S",
}
ODD_STATUSES = [
    msgspec.json.encode(STATUS | change)
    for change in (
        {"vm": "a\r\nb"},
        {"generation": 2**63},
        {"running": -1},
        {"running": 2**32},
        {"slots": 2**40},
        {"kv_used": -1.0},
        {"kv_used": 1e300},
        {"token_interval": "P9999999D"},
        {"token_interval": "-PT1S"},
    )
]


@pytest.mark.parametrize("body", [*ODD_BODIES, *ODD_STATUSES])
def test_odd_reply_of_an_engine_is_no_status(body):
    """Guards against a status that ends its reader or cannot be sent on."""
    client = engine.EngineClient(str(ADDRESS))
    client._status = Replies(body)
    with pytest.raises(errors.UnreachableError):
        client.read_status()
    order = protocol.Order(replica="r", generation=1, epoch=1)
    client._control = Replies(body)
    with pytest.raises(errors.UnreachableError):
        client.send_order(order)


@pytest.mark.parametrize("body", [b"7", b"[]", b'{"code":7}'])
def test_odd_refusal_of_an_order_is_an_error(body):
    """Guards against a refusal that ends the sender of orders."""
    client = engine.EngineClient(str(ADDRESS))
    client._control = Replies(body, 409)
    with pytest.raises(errors.UnreachableError):
        client.send_order(protocol.Order(replica="r", generation=1, epoch=1))


def test_status_is_decoded():
    """Guards against a limit that rejects a sound status."""
    client = engine.EngineClient(str(ADDRESS))
    client._status = Replies(msgspec.json.encode(STATUS))
    assert client.read_status().running == 3
