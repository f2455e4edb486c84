"""Guards against a daemon that believes an old list of VMs."""

import random

import gevent
import msgspec
import pytest

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.gossip import digest
from arbutuscove.kernel import clock as clock_module
from arbutuscove.platform import followers
from arbutuscove.platform import store as store_module
from arbutuscove.platform.tests import test_entries


class FakeGossip:
    """Keeps what is sent; is a reader as told."""

    def __init__(self):
        self.reader = True
        self.sent = []
        self.passed_on = []
        self.to_all = None
        self.take = None

    def set_update_handler(self, take):
        self.take = take

    def is_reader(self):
        return self.reader

    def send_update(self, before, version, rows, to_all):
        self.sent.append((before, version, rows))
        self.to_all = to_all

    def forward_update(self, update):
        self.passed_on.append(update)


class FakeStore:
    """Answers each feed call with the next page."""

    def __init__(self):
        self.pages = []
        self.asked = []
        self.refuses = False

    def read_rows(self, table, key=None):
        if self.refuses:
            raise store_module.StoreError("refused")
        return self.pages.pop(0)

    def follow(self, table, version, wait):
        self.asked.append(version)
        return self.pages.pop(0)


def create_entry(**change):
    return msgspec.json.encode(test_entries.ENTRY | change)


def create_page(version, **rows):
    return store_module.Page(
        version=version,
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
    follower = followers.ServersFollower(
        store, clock, random.Random(1), inventory, gossip, lambda: False
    )
    store.pages.append(create_page(10, a=create_entry()))
    assert follower.read_whole() == 10
    return store, gossip, inventory, follower


def test_reader_passes_on_what_changed(scene):
    """Guards against heartbeats that fill the network of a large fleet."""
    store, gossip, _, follower = scene
    beat = create_entry(sequence=9)
    new = create_entry(address="10.0.0.9:80")
    store.pages.append(create_page(12, a=beat, b=new))
    assert follower.read_changes(10) == 12
    row = digest.ListRow(version=12, name="b", content=new)
    assert gossip.sent == [(10, 12, [row])]


def test_holder_of_the_duty_reads_for_all(scene):
    """Guards against store calls that grow with the failure domains.

    435 of 712 calls in the small twin of nilavu-diary-large quiet-1 were reads
    of the list by one daemon of each of five domains.
    """
    store, gossip, _, follower = scene
    follower._holds_duty = lambda: True
    store.pages.append(create_page(12))
    follower.read_changes(10)
    assert gossip.to_all


def test_reader_of_a_domain_waits_while_it_is_told(scene):
    """Guards against domains that read what the holder of the duty told."""
    store, gossip, inventory, follower = scene
    update = digest.ListUpdate(
        sender="p", before=9, version=12, rows=(("a", None),), relay=True
    )
    gossip.take(update)
    assert gossip.passed_on == [update]
    store.pages.append(create_page(13))
    follower.read_changes(10)  # reads once nothing is heard any more
    assert store.asked == [12]
    assert gossip.sent == [(12, 13, [])]
    assert not gossip.to_all


def test_update_that_follows_is_taken(scene):
    """Guards against each daemon reading what a peer has just read."""
    store, gossip, inventory, follower = scene
    gossip.reader = False
    update = digest.ListUpdate(
        sender="p", before=9, version=12, rows=(("a", None),)
    )
    gossip.take(update)
    store.pages.append(create_page(13))
    assert follower.read_changes(10) == 13
    assert store.asked == [12]
    assert inventory.find("b") is None


def test_lost_update_makes_a_daemon_read_for_itself(scene):
    """Guards against a VM that leaves unseen behind a lost datagram."""
    store, gossip, inventory, follower = scene
    gossip.reader = False
    gossip.take(digest.ListUpdate(sender="p", before=11, version=12))
    store.pages.append(create_page(13, b=create_entry()))
    assert follower.read_changes(10) == 13
    assert store.asked == [10]
    assert inventory.find("b") is not None


def test_older_update_changes_nothing(scene):
    """Guards against a late datagram that brings a VM back."""
    _, gossip, inventory, _ = scene
    update = digest.ListUpdate(
        sender="p", before=3, version=9, rows=(("z", create_entry()),)
    )
    gossip.take(update)
    assert inventory.find("z") is None


def test_configuration_is_read_anew_when_peers_are_ahead():
    """Guards against a silent feed that leaves a daemon an old version.

    Beats of other peers that were behind, too, used to end the suspicion
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
    follower.note_peer_version(7)
    follower.note_peer_version(-1)
    clock.advance(followers.BEHIND_LONGEST * 1.1)
    follower.note_peer_version(-1)
    follower.note_peer_version(7)
    assert killed == [followers.BehindError]


class FakeGreenlet:
    """Records what it is killed with."""

    def __init__(self, killed):
        self._killed = killed

    def kill(self, exception, block):
        self._killed.append(exception)


def test_configuration_follower_survives_being_told_in_a_pause():
    """Guards against a follower that ends when a peer is ahead.

    The news came while it paused after a failed read, and ended its greenlet;
    the daemon kept its configuration for good (nilavu-diary scale-2: CONFIG 47,
    DENIED 28).
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
