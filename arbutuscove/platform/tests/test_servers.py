"""Guards against daemons that read from the store what their peers know."""

import datetime
import random

import pytest

from arbutuscove.fleet import inventory as inventory_module
from arbutuscove.gossip import digest
from arbutuscove.gossip import list_exchange
from arbutuscove.gossip import list_start
from arbutuscove.gossip.tests import test_digest
from arbutuscove.kernel import clock as clock_module
from arbutuscove.platform import servers
from arbutuscove.platform import store as store_module
from arbutuscove.platform.tests import test_followers

at = test_followers.at
create_entry = test_followers.create_entry
create_page = test_followers.create_page
VMS = 300
UPDATE_TIMEOUT = datetime.timedelta(milliseconds=20)


class Network:
    """Delivers messages between the daemons of one failure domain at once."""

    def __init__(self):
        self.daemons = {}
        self.lost = lambda message: False

    def find(self, ip):
        for daemon in self.daemons.values():
            if daemon.gossip.beat.ip == ip:
                return daemon
        return None

    def send(self, ip, data):
        message = digest.decode(data)
        daemon = self.find(ip)
        if daemon is None or self.lost(message):
            return
        match message:
            case digest.ListUpdate():
                daemon.gossip.deliver(message)
            case digest.ListRequest():
                daemon.gossip.ask(message)


class FakeGossip(test_followers.FakeGossip):
    """The gossip of one daemon, which knows all others of its network."""

    def __init__(self, network, name):
        super().__init__()
        self.network = network
        self.reader = False
        self.ask = lambda request: None
        self.beat = test_digest.create_heartbeat(
            name=name, ip=f"10.0.0.{ord(name)}"
        )
        self.possible_peers = 2 * list_start.MAX_DIRECT_PEERS

    def set_handler(self, kind, handler):
        super().set_handler(kind, handler)
        if kind is digest.ListRequest:
            self.ask = handler

    def get_own(self):
        return self.beat

    def get_live(self):
        return [
            daemon.gossip.beat
            for daemon in self.network.daemons.values()
            if daemon.gossip is not self
        ]

    def count_possible_peers(self):
        return self.possible_peers

    def is_known(self, ip):
        return self.network.find(ip) is not None

    def broadcast_near(self):
        pass

    def send_message(self, ip, message):
        self.send_data(ip, digest.ENCODER.encode(message))

    def send_data(self, ip, data):
        self.network.send(ip, data)


class Daemon:
    """The follower of one daemon."""

    def __init__(self, network, name):
        self.clock = clock_module.ManualClock()
        self.store = test_followers.FakeStore()
        self.gossip = FakeGossip(network, name)
        self.inventory = inventory_module.Inventory(self.clock)
        self.follower = servers.ServersFollower(
            self.store,
            self.clock,
            random.Random(1),
            self.inventory,
            self.gossip,
            lambda: False,
            list_exchange.ListExchange(
                self.clock, random.Random(1), self.gossip
            ),
        )
        network.daemons[name] = self

    def list_names(self):
        return {vm.name for vm in self.inventory.list_vms()}


@pytest.fixture(name="network")
def network_fixture(monkeypatch):
    """Daemon `a` has the list, and `b` is one that starts."""
    monkeypatch.setattr(
        servers.ServersFollower,
        "_get_update_timeout",
        lambda self: UPDATE_TIMEOUT,
    )
    network = Network()
    daemon = Daemon(network, "a")
    daemon.gossip.possible_peers = 0
    daemon.store.pages.append(
        create_page(
            10000, **{f"vm{number}": create_entry() for number in range(VMS)}
        )
    )
    daemon.follower.read_snapshot()
    Daemon(network, "b")
    return network


def test_daemon_that_starts_gets_the_list_from_a_peer(network):
    """Guards against a start of the fleet that costs daemons times VMs."""
    starting = network.daemons["b"]
    assert starting.follower.read_snapshot() == at(10000)
    assert len(starting.list_names()) == VMS
    assert not starting.store.pages
    update = digest.ListUpdate(
        sender="p", before=10000, version=10002, rows=(("vm0", None),)
    )
    starting.gossip.deliver(update)
    starting.clock.advance(inventory_module.LAPSE_GRACE)
    assert "vm0" not in starting.list_names()


def test_daemon_goes_on_from_the_list_of_a_peer_in_the_store(network):
    """Guards against changes between a peer's list and the first own read."""
    starting = network.daemons["b"]
    position = starting.follower.read_snapshot()
    starting.store.pages.append(create_page(10004, new=create_entry()))
    assert starting.follower.read_changes(position) == at(10004)
    assert starting.store.requested_versions == [10000]
    assert "new" in starting.list_names()


@pytest.mark.parametrize("part", [0, 5])
def test_daemon_uses_no_part_of_a_list(network, part):
    """Guards against a daemon that serves with a part of the VMs.

    One datagram of each answer is lost, and it reads the store in the end.
    """
    network.lost = lambda message: (
        isinstance(message, digest.ListUpdate)
        and message.before == digest.WHOLE_LIST + part
    )
    starting = network.daemons["b"]
    starting.follower._update_received = FakeEvent(starting.clock)
    starting.store.pages.append(create_page(10003, only=create_entry()))
    assert starting.follower.read_snapshot() == at(10003)
    assert starting.list_names() == {"only"}


class FakeEvent:
    """An event that is never set; waiting advances the clock."""

    def __init__(self, clock):
        self._clock = clock

    def clear(self):
        pass

    def set(self):
        pass

    def wait(self, timeout):
        self._clock.advance(datetime.timedelta(seconds=timeout))
        return False


def test_daemon_reads_the_store_while_no_peer_answers(network):
    """Guards against a start that fails as its peers are frozen or old."""
    network.lost = lambda message: isinstance(message, digest.ListRequest)
    starting = network.daemons["b"]
    starting.follower._update_received = FakeEvent(starting.clock)
    starting.store.pages.append(create_page(10003, only=create_entry()))
    assert starting.follower.read_snapshot() == at(10003)


def start_both(network):
    first, second = network.daemons.values()
    second.follower.read_snapshot()
    return first, second


def test_missed_update_is_obtained_from_a_peer(network):
    """Guards against a lost datagram that costs a page of heartbeats."""
    first, second = start_both(network)
    (lost,) = digest.split_update(
        "p",
        10000,
        10005,
        [digest.ListRow(version=10005, name="vm0", content=None)],
    )
    (next_update,) = digest.split_update("p", 10005, 10007, [])
    first.gossip.deliver(lost)
    first.gossip.deliver(next_update)
    second.gossip.deliver(next_update)
    assert second.follower._has_missed_update
    second.store.pages.append(create_page(10008))
    second.follower.read_changes(at(10000))
    assert second.store.requested_versions == [10007]
    assert second.store.reasons == [store_module.Reason.NO_UPDATE]
    second.clock.advance(inventory_module.LAPSE_GRACE)
    assert "vm0" not in second.list_names()


def test_answer_of_a_peer_is_no_word_of_a_reader(network):
    """Guards against a daemon that hears of no change of the operator."""
    _, second = start_both(network)
    assert not second.follower.hears_updates()
    (update,) = digest.split_update("p", 10000, 10001, [])
    second.gossip.deliver(update)
    assert second.follower.hears_updates()


def test_updates_that_overtake_each_other_are_all_used(network):
    """Guards against a reading of the store for each late datagram."""
    first, second = start_both(network)
    row = digest.ListRow(version=10005, name="new", content=create_entry())
    updates = [
        *digest.split_update("p", 10000, 10005, [row]),
        *digest.split_update("p", 10005, 10007, []),
    ]
    for update in reversed(updates):
        second.gossip.deliver(update)
    assert not second.follower._has_missed_update
    assert "new" in second.list_names()


@pytest.mark.parametrize("lost", [digest.ListRequest, digest.ListUpdate])
def test_missed_update_is_read_from_the_store_if_no_peer_has_it(network, lost):
    """Guards against a departed VM that is used on as peers are silent."""
    _, second = start_both(network)
    network.lost = lambda message: isinstance(message, lost)
    (update,) = digest.split_update("p", 10005, 10007, [])
    second.gossip.deliver(update)
    second.store.pages.append(create_page(10008, vm0=None))
    second.follower.read_changes(at(10000))
    assert second.store.requested_versions == [10000]
    assert second.store.reasons == [store_module.Reason.MISSED_UPDATE]


@pytest.mark.parametrize("role", ["reader", "deputy"])
def test_reader_of_a_domain_asks_the_sender(network, role):
    """Guards against a question to those who lack the same update.

    In a trial with 159 daemons the readers and their deputies made 43 of the 45
    reads of the list that followed a missed update.
    """
    first, second = start_both(network)
    setattr(second.gossip, role, True)
    row = digest.ListRow(version=10005, name="new", content=create_entry())
    (lost,) = digest.split_update("a", 10000, 10005, [row])
    (update,) = digest.split_update("a", 10005, 10007, [])
    first.gossip.deliver(lost)
    first.gossip.deliver(update)
    second.gossip.deliver(update)
    second.store.pages.append(create_page(10008))
    second.follower.read_changes(at(10000))
    assert second.store.requested_versions == [10007]
    assert second.store.reasons == [store_module.Reason.DOMAIN_READER]
    assert "new" in second.list_names()


@pytest.mark.parametrize("is_live", [True, False])
def test_reader_of_a_domain_asks_the_store_if_the_sender_is_gone(
    network, is_live
):
    """Guards against a domain that waits for a sender which does not answer."""
    first, second = start_both(network)
    second.gossip.reader = True
    first.gossip.ask = lambda request: None
    sender = "a" if is_live else "gone"
    (update,) = digest.split_update(sender, 10005, 10007, [])
    second.gossip.deliver(update)
    second.store.pages.append(create_page(10008))
    second.follower.read_changes(at(10000))
    assert second.store.requested_versions == [10000]
    assert second.store.reasons == [store_module.Reason.MISSED_UPDATE]


def test_list_is_not_passed_on_after_a_restore(network):
    """Guards against entries from before a restore that a peer keeps."""
    first, second = network.daemons.values()
    first.follower._reason = store_module.Reason.ERA
    first.store.observe_era(2, "store")
    first.store.pages.append(create_page(40, era=2, vm0=create_entry()))
    first.follower.read_snapshot()
    second.follower._update_received = FakeEvent(second.clock)
    second.store.era = 2
    second.store.pages.append(create_page(41, era=2, only=create_entry()))
    assert second.follower.read_snapshot() == at(41, era=2)


def test_list_with_warming_vms_is_not_passed_on(network):
    """Guards against a VM that seems to warm long after it has."""
    first, second = network.daemons.values()
    entry = create_entry(cold_remaining_ms=5000)
    first.store.pages.append(create_page(10001, warm=entry))
    first.follower.read_changes(at(10000))
    second.follower._update_received = FakeEvent(second.clock)
    second.store.pages.append(create_page(10003, only=create_entry()))
    assert second.follower.read_snapshot() == at(10003)


def test_daemon_answers_few_whole_lists_at_a_time(network, monkeypatch):
    """Guards against one daemon whose link all others of its domain fill."""
    first = network.daemons["a"]
    sent = []
    first.gossip.send_data = lambda ip, data: sent.append(data)
    request = digest.ListRequest(
        sender="b", ip="10.0.0.98", since=digest.WHOLE_LIST, era=0
    )
    first.gossip.ask(request)
    size, count = sum(map(len, sent)), len(sent)
    monkeypatch.setattr(list_exchange, "MAX_ANSWER_BYTES", 4 * size)
    for _ in range(20):
        first.gossip.ask(request)
    assert len(sent) == 4 * count
    first.clock.advance(list_exchange.ANSWER_INTERVAL)
    first.gossip.ask(request)
    assert len(sent) == 5 * count
    stranger = digest.ListRequest(
        sender="x", ip="10.0.0.9", since=digest.WHOLE_LIST, era=0
    )
    first.gossip.ask(stranger)
    assert len(sent) == 5 * count


def test_whole_list_of_many_vms_is_given_by_some_daemons(network):
    """Guards against a list so long that nobody gives it."""
    first = network.daemons["a"]
    first.follower._exchange._pack = lambda *arguments: [
        bytes(2 * list_exchange.MAX_ANSWER_BYTES)
    ]
    sent = []
    first.gossip.send_data = lambda ip, data: sent.append(data)
    request = digest.ListRequest(
        sender="b", ip="10.0.0.98", since=digest.WHOLE_LIST, era=0
    )
    for _ in range(3):
        first.gossip.ask(request)
    assert len(sent) == 1
