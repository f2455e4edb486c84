"""Guards against a daemon that uses a stale list of VMs or configuration."""

import random

import gevent
import msgspec
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.gossip import digest
from arbutuscove.kernel import clock as clock_module
from arbutuscove.platform import availability
from arbutuscove.platform import followers
from arbutuscove.platform import servers
from arbutuscove.platform import store as store_module
from arbutuscove.platform.tests import test_configuration
from arbutuscove.platform.tests import test_entries


class FakeGossip:
    """Records sent updates; `reader` is the result of `is_reader`."""

    def __init__(self):
        self.reader = True
        self.deputy = False
        self.sent = []
        self.forwarded = []
        self.to_all = None
        self.deliver = None

    def set_handler(self, kind, handler):
        if kind is digest.ListUpdate:
            self.deliver = handler

    def is_reader(self):
        return self.reader

    def is_deputy(self):
        return self.deputy

    def follows_operator(self, name):
        return True

    def send_update(self, before, version, rows, to_all, era):
        self.sent.append((before, version, rows))
        self.to_all = to_all

    def forward_update(self, update):
        self.forwarded.append(update)


class FakeStore:
    """Answers each feed call with the next page."""

    def __init__(self):
        self.pages = []
        self.requested_versions = []
        self.reasons = []
        self.refuses = False
        self.era = 0
        self.era_listeners = []
        self.availability = availability.Availability(
            clock_module.ManualClock()
        )

    def get_era(self):
        return self.era

    def observe_era(self, era, source):
        if era > self.era:
            self.era = era
            for callback in self.era_listeners:
                callback()

    def add_era_listener(self, callback):
        self.era_listeners.append(callback)

    def read_rows(self, table, key=None, reason=None):
        if self.refuses:
            raise store_module.StoreError("refused")
        return self.pages.pop(0)

    def wait_for_changes(self, table, position, wait, reason=None):
        self.reasons.append(reason)
        self.requested_versions.append(position.version)
        return self.pages.pop(0)


def at(version, era=0):
    return store_module.Position(era=era, version=version)


def create_entry(**change):
    return msgspec.json.encode(test_entries.ENTRY | change)


def create_page(version, era=0, **rows):
    return store_module.Page(
        version=version,
        era=era,
        rows=tuple(
            store_module.Row(key=key, version=version, content=content)
            for key, content in rows.items()
        ),
    )


@pytest.fixture(name="scene")
def scene_fixture():
    clock = clock_module.ManualClock()
    store, gossip = FakeStore(), FakeGossip()
    inventory = inventory_module.Inventory(clock)
    follower = servers.ServersFollower(
        store, clock, random.Random(1), inventory, gossip, lambda: False
    )
    store.pages.append(create_page(10, a=create_entry()))
    assert follower.read_snapshot() == at(10)
    return store, gossip, inventory, follower


def test_reader_passes_on_what_changed(scene):
    """Guards against heartbeats that saturate the network of a large fleet."""
    store, gossip, _, follower = scene
    heartbeat_only = create_entry(sequence=9)
    new = create_entry(address="10.0.0.9:80")
    store.pages.append(create_page(12, a=heartbeat_only, b=new))
    assert follower.read_changes(at(10)) == at(12)
    row = digest.ListRow(version=12, name="b", content=new)
    assert gossip.sent == [(10, 12, [row])]


def test_reader_passes_on_a_vm_that_returns(scene):
    """Guards against VMs that only the reader uses after an outage.

    The reader still lists a VM during its grace period, while a peer delists it
    at once; when the VM wrote the same entry again, the peer was not told
    (nilavu-diary mix seed 928459047096: 503 for lack of backends).
    """
    store, gossip, inventory, follower = scene
    store.pages.append(create_page(11, a=None))
    position = follower.read_changes(at(10))
    assert inventory.find("a") is not None
    entry = create_entry(sequence=9)
    store.pages.append(create_page(12, a=entry))
    follower.read_changes(position)
    row = digest.ListRow(version=12, name="a", content=entry)
    assert gossip.sent[-1] == (11, 12, [row])


def test_holder_of_the_duty_reads_for_all(scene):
    """Guards against store calls that grow with the failure domains.

    435 of 712 calls in the small twin of nilavu-diary-large quiet-1 were reads
    of the list by one daemon of each of five domains.
    """
    store, gossip, _, follower = scene
    follower._is_lease_holder = lambda: True
    store.pages.append(create_page(12))
    follower.read_changes(at(10))
    assert gossip.to_all


def test_domain_reader_waits_while_updates_arrive(scene):
    """Guards against reads of what the lease holder has already sent."""
    store, gossip, inventory, follower = scene
    update = digest.ListUpdate(
        sender="p", before=9, version=12, rows=(("a", None),), relay=True
    )
    gossip.deliver(update)
    assert gossip.forwarded == [update]
    store.pages.append(create_page(13))
    follower.read_changes(at(10))  # reads when no further update arrives
    assert store.requested_versions == [12]
    assert gossip.sent == [(12, 13, [])]
    assert not gossip.to_all


def test_next_update_is_applied(scene):
    """Guards against each daemon reading what a peer has just read."""
    store, gossip, inventory, follower = scene
    gossip.reader = False
    update = digest.ListUpdate(
        sender="p", before=9, version=12, rows=(("a", None),)
    )
    gossip.deliver(update)
    store.pages.append(create_page(13))
    assert follower.read_changes(at(10)) == at(13)
    assert store.requested_versions == [12]
    assert inventory.find("b") is None


def test_lost_update_makes_a_daemon_read_for_itself(scene):
    """Guards against a departed VM that is missed after a lost datagram."""
    store, gossip, inventory, follower = scene
    gossip.reader = False
    gossip.deliver(digest.ListUpdate(sender="p", before=11, version=12))
    store.pages.append(create_page(13, b=create_entry()))
    assert follower.read_changes(at(10)) == at(13)
    assert store.requested_versions == [10]
    assert inventory.find("b") is not None


def test_older_update_changes_nothing(scene):
    """Guards against a late datagram that restores a departed VM."""
    _, gossip, inventory, _ = scene
    update = digest.ListUpdate(
        sender="p", before=3, version=9, rows=(("z", create_entry()),)
    )
    gossip.deliver(update)
    assert inventory.find("z") is None


def test_configuration_is_read_anew_when_peers_are_ahead():
    """Guards against a feed without data that leaves a daemon out of date.

    Heartbeats of peers that were behind, too, used to reset the detection
    (nilavu-diary-grown trouble-1: 404 for a route 3.9 s after its version).
    """
    clock = clock_module.ManualClock()
    catalog = catalog_holder.CatalogHolder()
    store = FakeStore()
    follower = followers.ConfigurationFollower(
        store, clock, random.Random(1), catalog
    )
    killed = []
    follower._greenlet = FakeGreenlet(killed)
    follower.record_peer_version(7)
    follower.record_peer_version(-1)
    clock.advance(followers.BEHIND_TOLERANCE * 1.1)
    follower.record_peer_version(-1)
    follower.record_peer_version(7)
    assert killed == [followers.BehindError]


class FakeGreenlet:
    """Records the exceptions that it is killed with."""

    def __init__(self, killed):
        self._killed = killed

    def kill(self, exception, block):
        self._killed.append(exception)


def test_configuration_follower_survives_an_interrupt_in_a_pause():
    """Guards against a follower that ends when a peer has a newer version.

    The interrupt came during the pause after a failed read and ended the
    follower's greenlet; the daemon never applied another configuration
    (nilavu-diary scale-2: CONFIG 47, DENIED 28).
    """
    store = FakeStore()
    catalog = catalog_holder.CatalogHolder()
    follower = followers.ConfigurationFollower(
        store, clock_module.SystemClock(), random.Random(1), catalog
    )
    store.refuses = True
    follower.start(None)
    gevent.sleep(0.02)  # now in the pause after the first failure
    follower._greenlet.kill(followers.BehindError, block=False)
    gevent.sleep(0.02)
    assert not follower._greenlet.dead
    follower.stop()


def test_odd_entry_does_not_cost_the_others_of_its_page(scene):
    """Guards against one entry that stops the follower of the list."""
    store, gossip, inventory, follower = scene
    entry = create_entry(group="NESTED")
    odd = entry.replace(b'"NESTED"', b'{"a":' * 5000 + b"1" + b"}" * 5000)
    new = create_entry(address="10.0.0.9:80")
    store.pages.append(create_page(12, a=create_entry(), b=odd, c=new))
    assert follower.read_changes(at(10)) == at(12)
    assert inventory.find("c") is not None
    assert inventory.find("b") is None


def test_odd_configuration_leaves_the_one_in_force():
    """Guards against a follower that one configuration ends."""
    catalog = catalog_holder.CatalogHolder()
    store = FakeStore()
    follower = followers.ConfigurationFollower(
        store, clock_module.ManualClock(), random.Random(1), catalog
    )
    first, odd, last = (
        test_configuration.replace(("version",), version)
        for version in (7, 8, 9)
    )
    odd = odd.replace(b'"timeout_ms":8000', b'"timeout_ms":1e300')
    store.pages.append(create_page(10, config=first))
    store.pages.append(create_page(11, config=odd))
    store.pages.append(create_page(12, config=last))
    follower.read_snapshot()
    assert follower.read_changes(at(10)) == at(11)
    assert catalog.get_version() == 7
    assert follower.read_changes(at(11)) == at(12)
    assert catalog.get_version() == 9


def test_update_of_an_earlier_era_changes_nothing(scene):
    """Guards against entries from before a restore that replace newer ones.

    The version of the update is higher than those assigned since.
    """
    store, gossip, inventory, follower = scene
    store.observe_era(2, "store")
    store.pages.append(create_page(4, era=2, b=create_entry()))
    assert follower.read_snapshot() == at(4, era=2)
    gossip.deliver(
        digest.ListUpdate(
            sender="p",
            before=4,
            version=12,
            rows=(("b", None), ("z", create_entry())),
            era=1,
        )
    )
    assert inventory.find("z") is None
    store.pages.append(create_page(5, era=2))
    follower.read_changes(at(4, era=2))
    assert store.requested_versions == [4]


def test_page_of_a_new_era_is_used(scene):
    """Guards against pages that are dropped until the counter has caught up."""
    store, _, inventory, follower = scene
    store.observe_era(2, "store")
    store.pages.append(create_page(4, era=2, b=create_entry()))
    position = follower.read_snapshot()
    store.pages.append(create_page(5, era=2, c=create_entry()))
    assert follower.read_changes(position) == at(5, era=2)
    assert inventory.find("c") is not None


def test_daemon_without_the_store_learns_the_era_from_an_update(scene):
    """Guards against a daemon that stays in an era that its peers have left."""
    store, gossip, inventory, follower = scene
    killed = []
    follower._greenlet = FakeGreenlet(killed)
    gossip.deliver(
        digest.ListUpdate(
            sender="p",
            before=3,
            version=4,
            rows=(("a", None), ("z", create_entry())),
            era=2,
        )
    )
    assert store.get_era() == 2
    assert killed == [followers.BehindError]
    assert {vm.name for vm in inventory.list_vms()} == {"a", "z"}
    assert inventory.is_settling()
    follower._clock.advance(inventory_module.LAPSE_GRACE)
    assert {vm.name for vm in inventory.list_vms()} == {"z"}


def test_late_first_read_of_a_new_era_settles_again(scene):
    """Guards against a copy that replaces what is known, read long after."""
    store, _, inventory, follower = scene
    store.observe_era(2, "peer")
    follower._clock.advance(inventory_module.LAPSE_GRACE * 2)
    assert not inventory.is_settling()
    older = create_entry(sequence=3, state="draining")
    store.pages.append(create_page(4, era=2, a=older))
    follower.read_snapshot()
    assert not inventory.find("a").leaving


def test_update_is_passed_on_also_without_changes(scene):
    """Guards against a failure domain that reads the list for no reason.

    The daemon that passes updates on dropped those without news, and its whole
    domain read the list itself after a second (rtdza-kigali-grown scale-2: 25
    calls of each of two domains each third second before traffic). One after a
    missed update is not passed on: this daemon reads for its domain first.
    """
    _, gossip, _, _ = scene
    updates = [
        digest.ListUpdate(
            sender="p", before=before, version=version, relay=True
        )
        for before, version in ((10, 10), (8, 9), (12, 13))
    ]
    for update in updates:
        gossip.deliver(update)
    assert gossip.forwarded == updates[:2]


def test_daemon_that_starts_waits_longer_for_the_first_update(scene):
    """Guards against a fleet that starts and reads the list at each daemon.

    A daemon that has heard nobody takes itself for the reader of its domain.
    """
    _, gossip, _, follower = scene
    assert gossip.is_reader()
    assert follower._get_update_timeout() == servers.START_READ_TIMEOUT
    gossip.deliver(digest.ListUpdate(sender="p", before=10, version=11))
    assert follower._get_update_timeout() == servers.DOMAIN_READER_TIMEOUT
    gossip.reader = False
    assert follower._get_update_timeout() == servers.OWN_READ_TIMEOUT
    gossip.deputy = True
    assert follower._get_update_timeout() == servers.DEPUTY_READ_TIMEOUT


def test_snapshot_after_lost_history_is_passed_on_as_changes(scene):
    """Guards against a snapshot at each daemon after the history was lost.

    The others missed what was between the two reads of their reader.
    """
    store, gossip, inventory, follower = scene
    new = create_entry(address="10.0.0.9:80")
    store.pages.append(create_page(20, b=new))
    assert follower.read_snapshot() == at(20)
    ((before, version, rows),) = gossip.sent
    assert (before, version) == (10, 20)
    assert {(row.name, row.content) for row in rows} == {
        ("a", None),
        ("b", new),
    }
    store.pages.append(create_page(20, b=new))
    follower.read_snapshot()
    assert gossip.sent[1][:2] == (20, 20)
    assert "b" not in {row.name for row in gossip.sent[1][2]}


def test_first_snapshot_and_one_of_a_new_era_are_not_passed_on(scene):
    """Guards against changes between versions of two eras."""
    store, gossip, _, follower = scene
    assert not gossip.sent
    store.observe_era(2, "store")
    store.pages.append(create_page(5, era=2, a=create_entry()))
    follower.read_snapshot()
    assert not gossip.sent
