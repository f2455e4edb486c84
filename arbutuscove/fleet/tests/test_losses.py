"""Guards against former groups that are forgotten, or believed too early."""

import dataclasses
import datetime

import pytest

from arbutuscove.fleet import losses as losses_module
from arbutuscove.fleet import model
from arbutuscove.fleet.tests import test_planner
from arbutuscove.kernel import clock as clock_module

SECOND = datetime.timedelta(seconds=1)
TIMEOUT = 6 * SECOND


@pytest.fixture(name="clock")
def build_clock():
    return clock_module.ManualClock()


@pytest.fixture(name="losses")
def build_losses(clock):
    return losses_module.GroupLosses(clock)


def _report(name="m", rank=1, state="ready", epoch=5, sequence=1, **fields):
    return test_planner.create_member(
        name, rank, state, epoch=epoch, sequence=sequence, **fields
    )


def _free(vm, sequence, **fields):
    return dataclasses.replace(vm, membership=None, sequence=sequence, **fields)


def test_vm_that_left_is_needed_until_the_head_has_ended(clock, losses):
    """Guards against a VM in two groups as its former head is still open."""
    member = _report()
    losses.record_report(None, member)
    left = _free(member, 2)
    losses.record_report(member, left)
    clock.advance(TIMEOUT - SECOND)
    assert losses.may_be_needed(left.identity, TIMEOUT)
    clock.advance(SECOND)
    assert not losses.may_be_needed(left.identity, TIMEOUT)


@pytest.mark.parametrize("how", ["left", "joined", "broken", "restarted"])
def test_report_of_a_head_shows_its_end(losses, how):
    """Guards against VMs that wait for a head that has said it has ended."""
    member, head = _report(), _report("h", 0, "open")
    left = _free(member, 2)
    losses.record_report(member, left)
    later = {
        "left": _free(head, 2),
        "joined": _report("h", 0, "joining", epoch=6, sequence=2),
        "broken": _report("h", 0, "broken", sequence=2),
        "restarted": _free(head, 0, started_at_ms=2),
    }[how]
    losses.record_report(head, later)
    assert losses.find_loss(("chat~5", 5)).has_head_ended
    assert not losses.may_be_needed(left.identity, TIMEOUT)


def test_old_report_of_a_head_does_not_show_its_end(clock, losses):
    """Guards against an entry from before a join taken for a leave."""
    head = _report("h", 0, "open", sequence=2)
    losses.record_report(head, _free(head, 1))
    assert losses.find_loss(("chat~5", 5)) is None
    same_beat = _free(head, 2)
    losses.record_report(head, same_beat)
    assert not losses.find_loss(("chat~5", 5)).has_head_ended
    losses.record_report(same_beat, head)
    assert losses.find_loss(("chat~5", 5)) is None


def test_new_start_has_left_no_group(losses):
    """Guards against restarted VMs that wait for a head they never had."""
    member = _report()
    again = _free(member, 0, started_at_ms=2)
    losses.record_report(member, again)
    assert losses.find_freedom(again.identity).former is None
    losses.record_unused(again.identity)
    assert not losses.may_be_needed(again.identity, TIMEOUT)


def test_plain_vms_are_not_recorded(losses):
    """Guards against memory for VMs that can be in no group."""
    vm = test_planner.create_vm("p", fabric_domain="")
    losses.record_report(None, vm)
    assert losses.find_freedom(vm.identity) is None


def test_losses_are_bounded(losses):
    """Guards against memory that grows with each group ever formed."""
    for epoch in range(losses_module.MAX_GROUPS + 10):
        losses.record_loss(
            (model.create_group_name("chat", epoch), epoch), True
        )
    assert len(losses._losses) == losses_module.MAX_GROUPS
