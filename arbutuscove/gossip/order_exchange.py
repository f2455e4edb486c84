"""Sends orders through other daemons, and those of others.

An order has the same effect whoever sends it: its VM checks the fencing token
and the count of orders. If an agent does not answer, the holder of the duty
sends the same order itself, which then has no effect a second time.
"""

import collections
import datetime
import enum
import random
from collections import abc

import eliot
import gevent
from gevent import event

from arbutuscove.crashes import liveness
from arbutuscove.fleet import model
from arbutuscove.fleet import orders
from arbutuscove.gossip import order_agents
from arbutuscove.gossip import order_calls
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module

# A call, its order and the answer take some milliseconds each.
ANSWER_TIMEOUT = datetime.timedelta(milliseconds=300)
# After this time an agent says that it still waits for the VM.
PENDING_DELAY = datetime.timedelta(milliseconds=150)
# From the call on, once the agent has said so. An order itself takes 800 ms.
OUTCOME_TIMEOUT = datetime.timedelta(milliseconds=1200)
# Further calls are not answered, so that the holder sends these orders itself.
MAX_ORDERS_FOR_PEERS = 64


class Sender(enum.StrEnum):
    """Who sent an order, for the count of orders."""

    OWN = "own"  # this daemon, its own order
    AGENT = "agent"  # another daemon, for this one
    PEER = "peer"  # this daemon, for another one
    AGAIN = "again"  # this daemon, after an agent did not answer


class _Call:
    """An order that an agent was asked to send."""

    def __init__(self) -> None:
        self.answered = event.Event()
        self.is_pending = False
        self.outcome: orders.Outcome | None = None


class OrderExchange:
    """Sends the orders of this daemon, and those that it is an agent for."""

    def __init__(
        self,
        clock: clock_module.Clock,
        generator: random.Random,
        gossip: gossip_service.Gossip,
        client: orders.OrderClient,
        is_evacuated: abc.Callable[[str], bool],
        metrics: metrics_module.Metrics,
    ) -> None:
        """Creates the exchange.

        Args:
            clock: the clock.
            generator: source of random choices.
            gossip: sends messages and knows the live daemons.
            client: sends orders from this daemon.
            is_evacuated: whether VMs of a failure domain are to be sent
                nothing.
            metrics: counts the orders.
        """
        self._clock = clock
        self._gossip = gossip
        self._client = client
        self._is_evacuated = is_evacuated
        self._choice = order_agents.AgentChoice(generator)
        self._calls: dict[int, _Call] = {}
        self._last_number = 0
        self._highest_fence = 0
        self._running = 0
        self._metrics = metrics
        self.sent_counts: collections.Counter[Sender] = collections.Counter()
        gossip.set_handler(order_calls.OrderCall, self.receive_call)
        gossip.set_handler(order_calls.OrderAnswer, self.receive_answer)

    def send(
        self, order: orders.Order, fence: int, accepted: int
    ) -> orders.Outcome:
        """Sends one order, itself or through an agent."""
        agent = self._choice.pick(
            self._gossip.get_live(),
            order.vm.failure_domain,
            order.vm.service,
            self._clock.monotonic(),
        )
        if agent is None:
            self._count(Sender.OWN)
            return self._client.send(order, fence, accepted)
        own = self._gossip.get_own()
        self._last_number += 1
        number = self._last_number
        message = order_calls.encode(
            order,
            fence,
            accepted,
            sender=own.name,
            ip=own.ip,
            number=number,
        )
        call = self._calls[number] = _Call()
        try:
            self._gossip.send_message(agent.ip, message)
            outcome = self._wait(call)
        finally:
            del self._calls[number]
        if outcome is not None:
            self._count(Sender.AGENT)
            return outcome
        self._choice.avoid(agent.name, self._clock.monotonic())
        eliot.log_message("orders:no_answer", daemon=agent.name)
        self._count(Sender.AGAIN)
        return self._client.send(order, fence, accepted)

    def read_status(self, vm: model.Vm) -> orders.Status | None:
        """Returns the status that a VM reports, or None without a response."""
        return self._client.read_status(vm)

    def probe_liveness(self, vm: model.Vm) -> liveness.Liveness:
        """Determines whether a VM still runs since the start that is known."""
        return self._client.probe_liveness(vm)

    def receive_call(self, message: order_calls.OrderCall) -> None:
        """Sends the order of another daemon, and the outcome to it."""
        if not self._gossip.is_known(message.ip):
            eliot.log_message("orders:unknown_daemon", daemon=message.sender)
            return
        if self._running >= MAX_ORDERS_FOR_PEERS:
            eliot.log_message("orders:call_refused", daemon=message.sender)
            return
        self._running += 1
        gevent.spawn(self._execute, message)

    def receive_answer(self, message: order_calls.OrderAnswer) -> None:
        """Hands over the outcome of an order that an agent has sent."""
        call = self._calls.get(message.number)
        if call is None:
            return
        outcome = order_calls.decode_outcome(message)
        if outcome is None:
            call.is_pending = True
        else:
            call.outcome = outcome
        call.answered.set()

    def _wait(self, call: _Call) -> orders.Outcome | None:
        """Returns the outcome of a call, None if the agent does not answer."""
        call.answered.wait(ANSWER_TIMEOUT.total_seconds())
        if call.outcome is None and call.is_pending:
            call.answered.clear()
            left = OUTCOME_TIMEOUT - ANSWER_TIMEOUT
            call.answered.wait(left.total_seconds())
            if call.outcome is None:
                return orders.Outcome.UNKNOWN
        return call.outcome

    def _execute(self, message: order_calls.OrderCall) -> None:
        try:
            job = gevent.spawn(self._send_for_peer, message)
            job.join(PENDING_DELAY.total_seconds())
            if not job.ready():
                self._answer(message, order_calls.PENDING)
                job.join()
            outcome = job.value or orders.Outcome.UNKNOWN
            self._answer(message, outcome.value)
        finally:
            self._running -= 1

    def _send_for_peer(self, message: order_calls.OrderCall) -> orders.Outcome:
        order = order_calls.decode_order(message)
        if message.fence < self._highest_fence or self._is_evacuated(
            order.vm.failure_domain
        ):
            return orders.Outcome.FENCED
        self._highest_fence = message.fence
        self._count(Sender.PEER)
        return self._client.send(order, message.fence, message.accepted)

    def _count(self, sender: Sender) -> None:
        self.sent_counts[sender] += 1
        self._metrics.orders_sent.inc({"by": sender.value})

    def _answer(self, message: order_calls.OrderCall, outcome: str) -> None:
        answer = order_calls.OrderAnswer(
            sender=self._gossip.get_own().name,
            number=message.number,
            outcome=outcome,
        )
        self._gossip.send_message(message.ip, answer)
