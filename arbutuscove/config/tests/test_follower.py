"""Guards against configuration that reverts, is unconfirmed or is late."""

import dataclasses
import datetime

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from arbutuscove.config import acceptance
from arbutuscove.config import follower
from arbutuscove.config import keys
from arbutuscove.config import model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.standins import table as table_standin
from arbutuscove.storage import table as table_module

SECOND = datetime.timedelta(seconds=1)


class FaultyTable(table_standin.MemoryTable):
    """Simulates outages, lost confirmations and writes before a scan."""

    def __init__(self):
        super().__init__()
        self.down = False
        self.confirmations_to_lose = 0
        self.on_next_scan = None

    def read(self, key):
        self._check()
        return super().read(key)

    def scan(self, prefix, after="", limit=table_module.SCAN_LIMIT):
        self._check()
        callback, self.on_next_scan = self.on_next_scan, None
        if callback is not None:
            callback()
        return super().scan(prefix, after, limit)

    def transact(self, transaction):
        self._check()
        outcome = super().transact(transaction)
        if self.confirmations_to_lose:
            self.confirmations_to_lose -= 1
            raise table_module.OutcomeUnknownError("confirmation lost")
        return outcome

    def _check(self):
        if self.down:
            raise table_module.TableUnavailableError("down")


def build_service(name="chat", team="desk"):
    return model.Service(
        name=name,
        team=team,
        ranks=(),
        accounts=(),
        limits=model.Limits(accelerators=4),
        plain=model.PlainBackend(addresses=("127.0.0.1:1",)),
    )


def accept(table, clock, base, name="chat", team="desk"):
    proposal = acceptance.Proposal(
        service=build_service(name, team),
        base_version=base,
        author="ann",
        reason="test",
    )
    return acceptance.accept(table, clock, proposal)


@pytest.fixture(name="world")
def _world():
    table, clock = FaultyTable(), clock_module.ManualClock()
    return table, clock, follower.ConfigFollower(table, clock)


def test_follower_start_does_not_claim_freshness(world):
    """A daemon without contact since its start must not admit requests."""
    _, _, config = world
    assert config.is_stale()
    assert not config.is_loaded()


def test_follower_contact_without_config_is_ignored(world):
    """Contact with peers must not confirm a configuration not yet loaded."""
    _, clock, config = world
    config.record_contact(clock.monotonic())
    assert config.is_stale()


def test_follower_first_table_read_does_not_revert(world):
    """The first load from the table must not replace newer peer changes.

    It once replaced them by an older snapshot.
    """
    table, clock, config = world
    accept(table, clock, 0)
    outdated = model.Snapshot(
        sequence=1, services={"chat": _version(table, "chat")}
    )
    accept(table, clock, 1, team="newer")
    changes = [
        row.decode(model.Change) for row in table.scan(keys.CHANGE_PREFIX)
    ]
    config.apply_changes(changes)
    assert config.is_loaded()
    config.merge_snapshot(outdated)
    assert config.get_snapshot().sequence == 2
    assert config.get_snapshot().find("chat").team == "newer"


def _version(table, name):
    return table.read(keys.service_key(name)).decode(model.ServiceVersion)


def test_follower_snapshot_keeps_newer_service(world):
    """A snapshot with a higher sequence can contain an older service."""
    _, _, config = world
    newest = model.ServiceVersion(
        sequence=12, version=3, service=build_service(team="newest")
    )
    older = dataclasses.replace(newest, sequence=9, version=2)
    config.merge_snapshot(
        model.Snapshot(sequence=10, services={"chat": newest})
    )
    config.merge_snapshot(model.Snapshot(sequence=11, services={"chat": older}))
    assert config.get_snapshot().sequence == 11
    assert config.get_snapshot().services["chat"] == newest


def test_follower_unobtainable_accepted_change_makes_stale(world):
    """A daemon must not serve for ever while it lacks an accepted change."""
    table, clock, config = world
    accept(table, clock, 0)
    config.poll_once()
    assert not config.is_stale()
    config.record_accepted(2)
    clock.advance(11 * SECOND)
    config.record_contact(clock.monotonic())
    assert config.is_stale()


def test_follower_table_outage_keeps_configuration(world):
    """An outage must not unload the configuration."""
    table, clock, config = world
    accept(table, clock, 0)
    config.poll_once()
    table.down = True
    with pytest.raises(table_module.TableUnavailableError):
        config.poll_once()
    assert config.get_snapshot().sequence == 1
    clock.advance(9 * SECOND)
    assert not config.is_stale()
    clock.advance(2 * SECOND)
    assert config.is_stale()


def test_acceptance_two_operators_at_once_one_conflicts(world):
    """Of two proposals reviewed against version 1, only one is accepted."""
    table, clock, config = world
    accept(table, clock, 0)
    first = accept(table, clock, 1, team="first")
    second = accept(table, clock, 1, team="second")
    assert first.is_ok()
    assert second.is_error()
    config.poll_once()
    assert config.get_snapshot().find("chat").team == "first"


def test_acceptance_lost_confirmation_is_one_change(world):
    """A change must be reported as accepted and must be applied once only."""
    table, clock, config = world
    table.confirmations_to_lose = 1
    result = accept(table, clock, 0)
    assert result.is_ok()
    assert acceptance.read_head(table).sequence == 1
    config.poll_once()
    assert config.get_snapshot().sequence == 1


ACTIONS = (
    "accept",
    "poll",
    "poll_during_changes",
    "restart",
    "exchange",
    "redeliver",
)
FAULTS = ("down", "up", "lose")
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(ACTIONS + FAULTS),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
    ),
    max_size=60,
)


class Followers:
    """Four daemons that exchange changes as JSON, some messages delayed."""

    def __init__(self):
        self.table = FaultyTable()
        self.clock = clock_module.ManualClock()
        self.all = [
            follower.ConfigFollower(self.table, self.clock) for _ in range(4)
        ]
        self.delayed = []
        self.bases = {"a": 0, "b": 0}

    def act(self, action, first, second):
        match action:
            case "accept":
                self._accept("ab"[first % 2], str(second))
            case "poll":
                self._poll(self.all[first])
            case "poll_during_changes":
                self._poll_while_accepting(self.all[first], second)
            case "restart":
                self.all[first] = follower.ConfigFollower(
                    self.table, self.clock
                )
            case "exchange":
                self._exchange(self.all[first], self.all[second])
            case "redeliver" if self.delayed:
                self._deliver(
                    self.all[first], self.delayed[second % len(self.delayed)]
                )
            case "down" | "up":
                self.table.down = action == "down"
            case "lose":
                self.table.confirmations_to_lose = 1

    def _accept(self, name, team):
        base = self.bases[name]
        try:
            result = accept(self.table, self.clock, base, name, team)
        except acceptance.AcceptanceUnavailableError:
            return
        if result.is_ok():
            self.bases[name] = result.ok.version

    def _poll_while_accepting(self, config, other):
        """Accepts two changes between the reads of head and services."""

        def change_both_services():
            self._accept("b", "during")
            self._poll(self.all[other])
            self._accept("a", "during")

        self.table.on_next_scan = change_both_services
        self._poll(config)
        self.table.on_next_scan = None

    def _poll(self, config):
        try:
            config.poll_once()
        except table_module.TableUnavailableError:
            return

    def _exchange(self, source, target):
        if not source.is_loaded():
            return
        after = target.get_snapshot().sequence
        changes = source.get_changes_after(after)
        message = changes if changes is not None else source.get_snapshot()
        self.delayed = [*self.delayed[-3:], msgspec.json.encode(message)]
        self._deliver(target, self.delayed[-1])

    def _deliver(self, target, encoded):
        if encoded.startswith(b"["):
            target.apply_changes(
                msgspec.json.decode(encoded, type=list[model.Change])
            )
        else:
            target.merge_snapshot(
                msgspec.json.decode(encoded, type=model.Snapshot)
            )


def _read(config):
    snapshot = config.get_snapshot()
    versions = {
        name: service.version for name, service in snapshot.services.items()
    }
    return snapshot.sequence, versions


@pytest.mark.parametrize("value", [7, [], {}, {"sequence": "many"}])
def test_follower_passes_an_odd_change(world, value):
    """Guards against a daemon that stays behind for the row of one change."""
    table, clock, config = world
    accept(table, clock, 0)
    config.poll_once()
    accept(table, clock, 1, team="second")
    accept(table, clock, 2, team="third")
    write = table_module.Write(key=keys.change_key(2), value=value)
    table.transact(table_module.Transaction(conditions=(), writes=(write,)))
    assert config.poll_once()
    assert config.get_snapshot().sequence == 3
    assert config.get_snapshot().find("chat").team == "third"
    accept(table, clock, 3, team="fourth")
    assert config.poll_once()
    assert config.get_snapshot().find("chat").team == "fourth"


@hypothesis.settings(derandomize=True, max_examples=400, deadline=None)
@hypothesis.example(
    [("accept", 0, 0), ("poll_during_changes", 0, 1), ("exchange", 1, 0)]
)
@hypothesis.given(STEPS)
def test_follower_never_reverts_in_any_trace(steps):
    """No order of polls, exchanges, outages and races reverts a version."""
    fleet = Followers()
    before = [_read(config) for config in fleet.all]
    for action, first, second in steps:
        fleet.act(action, first, second)
        after = [_read(config) for config in fleet.all]
        if action == "restart":
            before[first] = after[first]
        for (old, old_versions), (new, new_versions) in zip(
            before, after, strict=True
        ):
            assert new >= old
            assert all(
                new_versions[name] >= old_versions[name]
                for name in old_versions
            )
        before = after
    accepted = [
        entry["value"]["sequence"]
        for entry in fleet.table.log
        if entry["key"] == keys.HEAD
    ]
    assert accepted == list(range(1, len(accepted) + 1))
    fleet.table.down = False
    for config in fleet.all:
        fleet._poll(config)
        assert config.get_snapshot().sequence == len(accepted)
