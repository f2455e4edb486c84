"""Guards against a holder of the duty that contacts each VM of a fleet."""

import collections
import datetime
import random

import gevent
import pytest

from arbutuscove.fleet import orders
from arbutuscove.fleet.tests import test_planner
from arbutuscove.gossip import digest
from arbutuscove.gossip import order_agents
from arbutuscove.gossip import order_calls
from arbutuscove.gossip import order_exchange
from arbutuscove.gossip.tests import test_digest
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics
from arbutuscove.storage import http

DOMAINS = ("a", "b", "c")
DAEMONS = 300
VMS = 3000
SECOND = datetime.timedelta(seconds=1)
VM = test_planner.create_vm("vm", address=http.Address("10.0.0.1", 8000))
ORDERS = (
    orders.Join(vm=VM, group="g", epoch=7, model="m", members=("vm", "w")),
    orders.Open(vm=VM, group="g", epoch=7),
    orders.Close(vm=VM, group="g", epoch=7),
    orders.Leave(vm=VM, group="g", epoch=7),
    orders.Stage(vm=VM, model="m"),
)


def create_fleet(count=DAEMONS, **fields):
    return [
        test_digest.create_heartbeat(
            name=f"d{number}",
            ip=f"10.0.{number // 200}.{number % 200 + 1}",
            **{
                "failure_domain": DOMAINS[number % len(DOMAINS)],
                "sends_orders": True,
                **fields,
            },
        )
        for number in range(count)
    ]


def pick_all(live, count=VMS, seconds=2):
    """Returns how many orders each daemon sends; None stands for the own."""
    choice = order_agents.AgentChoice(random.Random(3))
    sent = collections.Counter()
    for number in range(count):
        agent = choice.pick(
            live,
            DOMAINS[number % 3],
            "models",
            seconds * SECOND * number / count,
        )
        sent[None if agent is None else agent.name] += 1
    return sent


def test_orders_of_a_fleet_that_starts_are_spread():
    """Load pattern: 3,000 VMs get their first order within two seconds."""
    sent = pick_all(create_fleet())
    own = sent.pop(None)
    assert own <= 64 + 2 * order_agents.OWN_ORDERS_PER_SECOND + 1
    assert max(sent.values()) <= 30
    assert len(sent) > 0.9 * DAEMONS


def test_connections_of_the_holder_do_not_grow_with_the_fleet():
    """Load pattern: one order for each VM, in fleets of three sizes."""
    own = [
        pick_all(create_fleet(size), count=10 * size)[None]
        for size in (30, 100, 300)
    ]
    assert max(own) - min(own) <= 1


def test_few_orders_are_sent_by_the_holder_itself():
    """Load pattern: repairs, a few orders a second."""
    assert pick_all(create_fleet(), count=48, seconds=10)[None] == 48


@pytest.mark.parametrize(
    "fields",
    [
        {"sends_orders": False},
        {"ready": False},
        {"leaving": True},
        {"unreached": ("models",)},
        {"failure_domain": "z"},
    ],
)
def test_daemon_that_cannot_send_is_no_agent(fields):
    """Guards against orders that wait for a daemon in vain."""
    fields = {"failure_domain": "a"} | fields
    live = create_fleet(3, **fields)
    assert set(pick_all(live, count=200)) == {None}


def test_agent_that_did_not_answer_is_avoided_for_a_while():
    """Guards against each order of a domain waiting for a daemon that died."""
    choice = order_agents.AgentChoice(random.Random(3))
    live = create_fleet(6)
    domain = live[0].failure_domain
    choice.avoid("d0", SECOND)

    def pick(now):
        return {
            getattr(choice.pick(live, domain, "models", now), "name", None)
            for _ in range(200)
        }

    assert pick(SECOND) - {None} == {"d3"}
    assert pick(SECOND + order_agents.AVOIDANCE) - {None} == {"d0", "d3"}


@pytest.mark.parametrize("order", ORDERS)
def test_order_is_the_same_after_a_call(order):
    """Guards against an agent that sends another order."""
    call = order_calls.encode(order, 5, 3, sender="d0", ip="10.0.0.9", number=1)
    received = digest.decode(digest.ENCODER.encode(call))
    decoded = order_calls.decode_order(received)
    assert (received.fence, received.accepted) == (5, 3)
    assert type(decoded) is type(order)
    for field in ("group", "epoch", "model", "members"):
        assert getattr(decoded, field, None) == getattr(order, field, None)
    for field in ("name", "service", "address", "failure_domain"):
        assert getattr(decoded.vm, field) == getattr(VM, field)


class FakeClient:
    """Sends orders to VMs that count them, after a delay."""

    def __init__(self, accepted, delay=0.0):
        self.accepted = accepted
        self.delay = delay
        self.sent = []

    def send(self, order, fence, accepted):
        gevent.sleep(self.delay)
        self.sent.append((order.vm.name, fence))
        if self.accepted[order.vm.name] != accepted:
            return orders.Outcome.STATE_MISMATCH
        self.accepted[order.vm.name] += 1
        return orders.Outcome.ACCEPTED


class FakeGossip:
    """Delivers messages between the daemons of one process at once."""

    def __init__(self, own, network):
        self.own = own
        self.network = network
        self.handlers = {}

    def set_handler(self, kind, handler):
        self.handlers[kind] = handler

    def get_own(self):
        return self.own

    def get_live(self):
        return [
            gossip.own
            for gossip, _ in self.network.values()
            if gossip is not self
        ]

    def is_known(self, ip):
        return ip in self.network

    def send_message(self, ip, message):
        received = digest.decode(digest.ENCODER.encode(message))
        self.network[ip][0].handlers[type(received)](received)


class Fleet:
    """A holder and two agents before VMs that count their orders."""

    def __init__(self, delay=0.0):
        self.accepted = collections.Counter()
        self.evacuated = set()
        self.network = {}
        self.clients = []
        for beat in create_fleet(3, failure_domain="a"):
            gossip = FakeGossip(beat, self.network)
            client = FakeClient(self.accepted, delay)
            exchange = order_exchange.OrderExchange(
                clock_module.SystemClock(),
                random.Random(1),
                gossip,
                client,
                self.evacuated.__contains__,
                metrics.Metrics(),
            )
            self.network[beat.ip] = (gossip, exchange)
            self.clients.append(client)
        self.holder = next(iter(self.network.values()))[1]

    def send(self, count, fence=1):
        """Sends the first order of some VMs and returns the outcomes."""
        jobs = [
            gevent.spawn(
                self.holder.send,
                orders.Stage(
                    vm=test_planner.create_vm(f"vm{number}"), model="m"
                ),
                fence,
                0,
            )
            for number in range(count)
        ]
        gevent.joinall(jobs)
        return collections.Counter(job.value for job in jobs)


def test_agents_send_what_the_holder_does_not():
    """Load pattern: each VM of a domain gets an order at once."""
    fleet = Fleet()
    assert fleet.send(160) == {orders.Outcome.ACCEPTED: 160}
    assert set(fleet.accepted.values()) == {1}
    sent = [len(client.sent) for client in fleet.clients]
    assert sent[0] == fleet.holder.sent_counts["own"] < 80
    assert min(sent[1:]) > 20
    assert fleet.holder.sent_counts["agent"] == sum(sent[1:])


def test_agent_without_answer_costs_no_order():
    """Guards against orders that are lost with the message that asks for them.

    The VM gets one order whether the call or the answer was lost.
    """
    fleet = Fleet()
    for _, exchange in list(fleet.network.values())[1:]:
        exchange._answer = lambda message, outcome: None
    outcomes = fleet.send(100)
    assert set(fleet.accepted.values()) == {1}
    assert set(outcomes) <= {
        orders.Outcome.ACCEPTED,
        orders.Outcome.STATE_MISMATCH,
    }
    assert fleet.holder.sent_counts["again"] > 20


def test_holder_waits_for_a_vm_that_is_slow_to_answer():
    """Guards against a second order while an agent still waits for the VM."""
    fleet = Fleet(delay=order_exchange.ANSWER_TIMEOUT.total_seconds() + 0.1)
    assert fleet.send(100) == {orders.Outcome.ACCEPTED: 100}
    assert not fleet.holder.sent_counts["again"]


def test_agent_sends_nothing_to_an_evacuated_domain():
    """Guards against a holder that does not know of an evacuation yet."""
    fleet = Fleet()
    fleet.evacuated.add("a")
    outcomes = fleet.send(100)
    assert outcomes[orders.Outcome.FENCED] > 20
    assert not any(client.sent for client in fleet.clients[1:])


def test_agent_sends_no_order_of_an_earlier_holder():
    """Guards against a holder that was replaced while its call is sent."""
    fleet = Fleet()
    fleet.send(100, fence=9)
    before = [len(client.sent) for client in fleet.clients[1:]]
    fleet.accepted.clear()
    outcomes = fleet.send(60, fence=8)
    assert outcomes[orders.Outcome.FENCED] > 20
    assert [len(client.sent) for client in fleet.clients[1:]] == before


def test_agent_refuses_calls_of_strangers_and_beyond_its_bound():
    """Guards against a daemon that is made to send any number of orders."""
    fleet = Fleet(delay=0.05)
    exchange = list(fleet.network.values())[1][1]

    def receive(ip, number):
        exchange.receive_call(
            order_calls.encode(
                ORDERS[-1], 1, 0, sender="x", ip=ip, number=number
            )
        )

    sent = fleet.clients[1].sent

    def wait_for(count):
        # A pause of the process delays the orders, however long it is.
        with gevent.Timeout(10):
            while len(sent) < count:
                gevent.sleep(0.01)
        gevent.sleep(0.2)

    receive("10.9.9.9", 0)
    for number in range(3 * order_exchange.MAX_ORDERS_FOR_PEERS):
        receive("10.0.0.1", number)
    wait_for(order_exchange.MAX_ORDERS_FOR_PEERS)
    assert len(sent) == order_exchange.MAX_ORDERS_FOR_PEERS
    receive("10.0.0.1", 1)
    wait_for(order_exchange.MAX_ORDERS_FOR_PEERS + 1)
    assert len(sent) == order_exchange.MAX_ORDERS_FOR_PEERS + 1
