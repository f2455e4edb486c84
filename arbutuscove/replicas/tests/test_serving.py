"""Guards against serving while a member may not be ready (P1, P6)."""

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


def _resolve(status=STATUS, age=datetime.timedelta(0), vm_state=None):
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
    reports = {
        "vm-0": model.StatusReport(status=STATUS, requested_at=NOW),
        "vm-1": model.StatusReport(status=status, requested_at=NOW - age),
    }
    return serving.resolve_serving(ROW, vms, reports, NOW)


def test_serving_with_all_members_in_generation():
    """The check must accept a complete replica."""
    assert _resolve() is not None


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
    """One member that is not ready in the generation stops the replica."""
    assert _resolve(dataclasses.replace(STATUS, **changes)) is None


def test_serving_never_on_an_old_status():
    """A member without a status for over 3 s may have failed."""
    assert _resolve(age=datetime.timedelta(seconds=3.1)) is None


def test_serving_never_with_a_vm_that_the_list_says_leaves():
    """A VM listed as leaving must stop the replica whatever its status."""
    assert _resolve(vm_state=inventory.VmState.LEAVING) is None
