"""Checks of groups whose head is not listed, before their members are reused.

`fleet.fencing` decides; this module collects what it decides on.
"""

import datetime
from collections import abc

import eliot

from arbutuscove.crashes import liveness
from arbutuscove.fleet import fencing
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.fleet import model
from arbutuscove.fleet import orders as orders_module
from arbutuscove.kernel import clock as clock_module

# Groups of which it is kept that nobody has ordered their head to open; the one
# formed first is dropped.
MAX_UNOPENED_GROUPS = 4096

GroupKey = tuple[str, int]
_UNANSWERING = frozenset((fencing.HeadSign.REFUSING, fencing.HeadSign.SILENT))


class HeadlessGroups:
    """The checks of one lease holder."""

    def __init__(
        self,
        clock: clock_module.Clock,
        inventory: inventory_module.Inventory,
        order_client: orders_module.OrderClient,
        send: abc.Callable[[orders_module.Order, int], orders_module.Outcome],
        stall_timeout: datetime.timedelta,
    ) -> None:
        """Creates the checks.

        Args:
            clock: the clock.
            inventory: the listed VMs.
            order_client: reads the status of VMs.
            send: sends an order with a fencing token.
            stall_timeout: time after which an engine gives up work that depends
                on a lost member.
        """
        self._clock = clock
        self._inventory = inventory
        self._order_client = order_client
        self._send = send
        self._stall_timeout = stall_timeout
        # The last sign of each head, and since when it gave none or this one.
        self._signs: dict[
            GroupKey, tuple[fencing.HeadSign, datetime.timedelta]
        ] = {}
        # When members were last ordered to leave without an answer, by name.
        self._unanswered: dict[GroupKey, dict[str, datetime.timedelta]] = {}
        self._logged: dict[
            GroupKey, tuple[fencing.HeadSign, fencing.Decision]
        ] = {}
        # Groups formed in this term whose head was not ordered to open yet, in
        # the order of their formation.
        self._unopened: dict[GroupKey, None] = {}

    def begin_term(self) -> None:
        """Forgets what belongs to an earlier term of the lease."""
        self._signs.clear()
        self._unanswered.clear()
        self._logged.clear()
        self._unopened.clear()

    def record_formed(self, key: GroupKey) -> None:
        """Records that this lease holder has chosen the members of a group."""
        self._unopened[key] = None
        while len(self._unopened) > MAX_UNOPENED_GROUPS:
            del self._unopened[next(iter(self._unopened))]

    def record_opening(self, key: GroupKey) -> None:
        """Records that the head of a group is about to be ordered to open."""
        self._unopened.pop(key, None)

    def forget(self, listed: abc.Container[GroupKey]) -> None:
        """Forgets the groups without a listed member."""
        for records in (self._signs, self._unanswered, self._logged):
            for key in [key for key in records if key not in listed]:
                del records[key]

    def check(self, group: model.Group, fence: int) -> fencing.Decision:
        """Decides whether the members of a group may be reused.

        A head that is still known is ordered to leave; if it does not confirm
        this, it is probed.

        Args:
            group: the group; its head is not listed.
            fence: fencing token of the lease.
        """
        departed = self._find_departed_head(group.key)
        sign = self._read_sign(group, departed, fence)
        now = self._clock.monotonic()
        sign_since = self._record_sign(group.key, sign, now)
        unlisted_since = sign_since if departed is None else departed.since
        loss = self._inventory.losses.find_loss(group.key)
        found = fencing.HeadlessGroup(
            sign=sign,
            silent_for=now - sign_since,
            unlisted_for=now - unlisted_since,
            may_be_draining=departed is not None
            and departed.may_be_serving()
            and _was_serving(departed.vm),
            lost_member_for=None if loss is None else now - loss.since,
        )
        decision = fencing.decide(found, self._stall_timeout)
        if self._logged.get(group.key) != (sign, decision):
            self._logged[group.key] = (sign, decision)
            _log_decision(group, found, decision)
        return decision

    def fence_head(self, group: model.Group, fence: int) -> bool:
        """Orders one member of a group to leave, so that its head ends.

        The others stay in the group until its head serves no longer, so that
        another lease holder finds them in it.

        Args:
            group: the group.
            fence: fencing token of the lease.

        Returns:
            Whether a member has confirmed that it left.
        """
        members = [
            vm
            for vm in group.members
            if vm.membership is not None and vm.membership.rank != 0
        ]
        if not members:
            return False
        # The one that was not asked for the longest time goes first.
        unanswered = self._unanswered.setdefault(group.key, {})
        chosen = min(
            reversed(members),
            key=lambda vm: unanswered.get(vm.name, datetime.timedelta()),
        )
        unanswered[chosen.name] = self._clock.monotonic()
        leave = orders_module.Leave(
            vm=chosen, group=group.name, epoch=group.epoch
        )
        outcome = self._send(leave, fence)
        has_left = outcome in (
            orders_module.Outcome.ACCEPTED,
            orders_module.Outcome.IN_EFFECT,
            orders_module.Outcome.ANOTHER_VM,
        )
        if has_left:
            self._inventory.losses.record_loss(group.key, is_head=False)
        eliot.log_message(
            "groups:fenced",
            group=group.name,
            vm=chosen.name,
            outcome=outcome.value,
        )
        return has_left

    def _record_sign(
        self,
        key: GroupKey,
        sign: fencing.HeadSign,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Records the sign of a head and returns since when it gives it.

        A head that refuses connections and is silent in turn does not answer
        all the while.
        """
        before, since = self._signs.get(key, (sign, now))
        if before != sign and not {before, sign} <= _UNANSWERING:
            since = now
        self._signs[key] = (sign, since)
        return since

    def _find_departed_head(
        self, key: GroupKey
    ) -> inventory_module.Departed | None:
        for departed in self._inventory.list_departed():
            reported = departed.vm.membership
            if (
                reported is not None
                and reported.key == key
                and reported.rank == 0
            ):
                return departed
        return None

    def _read_sign(
        self,
        group: model.Group,
        departed: inventory_module.Departed | None,
        fence: int,
    ) -> fencing.HeadSign:
        loss = self._inventory.losses.find_loss(group.key)
        if group.key in self._unopened or (
            loss is not None and loss.has_head_ended
        ):
            return fencing.HeadSign.ENDED
        if departed is None:
            return fencing.HeadSign.UNSEEN
        leave = orders_module.Leave(
            vm=departed.vm, group=group.name, epoch=group.epoch
        )
        outcome = self._send(leave, fence)
        match outcome:
            case (
                orders_module.Outcome.ACCEPTED
                | orders_module.Outcome.IN_EFFECT
                | orders_module.Outcome.ANOTHER_VM
            ):
                return fencing.HeadSign.ENDED
            case orders_module.Outcome.FENCED:
                return fencing.HeadSign.RESPONSIVE
        status = self._order_client.read_status(departed.vm)
        if status is not None:
            # The head is only disconnected from the list. The order may take
            # effect later.
            reported = status.membership
            if reported is None or reported.key != group.key:
                return fencing.HeadSign.ENDED
            return fencing.HeadSign.RESPONSIVE
        if outcome == orders_module.Outcome.NOT_LISTENING:
            return fencing.HeadSign.REFUSING
        match self._order_client.probe_liveness(departed.vm):
            case liveness.Liveness.DEAD:
                return fencing.HeadSign.REFUSING
            case liveness.Liveness.ALIVE:
                return fencing.HeadSign.RESPONSIVE
        return fencing.HeadSign.SILENT


def _was_serving(vm: model.Vm) -> bool:
    return (
        vm.membership is not None
        and vm.membership.state in model.SERVING_STATES
    )


def _log_decision(
    group: model.Group,
    found: fencing.HeadlessGroup,
    decision: fencing.Decision,
) -> None:
    lost_for = found.lost_member_for
    eliot.log_message(
        "groups:headless",
        group=group.name,
        sign=found.sign.value,
        silent_for=round(found.silent_for.total_seconds(), 3),
        unlisted_for=round(found.unlisted_for.total_seconds(), 3),
        may_be_draining=found.may_be_draining,
        lost_member_for=None
        if lost_for is None
        else round(lost_for.total_seconds(), 3),
        decision=decision.value,
    )
