"""Guards against a replica that serves with a member in doubt (P1, P6)."""

import dataclasses
import datetime

import pytest

from arbutuscove.replicas import model
from arbutuscove.replicas import serving
from arbutuscove.storage import inventory
from arbutuscove.upstreams import protocol

NAMES = ("vm-0", "vm-1")
NOW = datetime.timedelta(seconds=100)
ROW = model.ReplicaRow(
    replica="r",
    service="s",
    fabric_domain="f",
    generation=2,
    model="m",
    members=tuple(
        protocol.Member(name=name, address=f"127.0.0.1:{number}")
        for number, name in enumerate(NAMES, 1)
    ),
    spares=(),
    accelerators=8,
)
STATUS = protocol.Status(
    vm="vm-1",
    state=protocol.State.READY,
    replica="r",
    generation=2,
    members=NAMES,
    slots=1,
)


def _find(status=STATUS, age=datetime.timedelta(0), vm_state=None):
    vms = {
        name: inventory.Vm(
            name=name,
            address="127.0.0.1:1",
            fabric_domain="f",
            failure_domain="z",
            accelerators=4,
        )
        for name in NAMES
    }
    if vm_state is not None:
        vms["vm-1"] = dataclasses.replace(vms["vm-1"], state=vm_state)
    seen = {
        "vm-0": model.StatusReport(status=STATUS, requested_at=NOW),
        "vm-1": model.StatusReport(status=status, requested_at=NOW - age),
    }
    return serving.find_serving(ROW, vms, seen, NOW)


def test_serving_with_all_members_in_generation():
    """The check must not refuse a whole replica."""
    assert _find() is not None


@pytest.mark.parametrize(
    "changes",
    [
        {"generation": 1},
        {"replica": "other"},
        {"members": ("vm-0", "vm-2")},
        {"state": protocol.State.LOADING},
        {"leaving": True},
    ],
    ids=str,
)
def test_serving_never_with_a_member_in_doubt(changes):
    """One member of another generation or group is enough to stop."""
    assert _find(dataclasses.replace(STATUS, **changes)) is None


def test_serving_never_on_an_old_status():
    """A member that was not heard for over 3 s may be gone."""
    assert _find(age=datetime.timedelta(seconds=3.1)) is None


def test_serving_never_with_a_vm_that_the_list_says_leaves():
    """The VM list alone is reason enough."""
    assert _find(vm_state=inventory.VmState.LEAVING) is None
