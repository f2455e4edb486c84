"""Orders that wait to be sent, and those on their way.

Load pattern: thousands of VMs get an order at the same time, as the fleet
starts or a failure domain returns. Sent all at once, orders compete for the
processor until they time out; those that are late are planned again meanwhile.
"""

import collections
import datetime
import heapq
from collections import abc

import eliot
import gevent
from gevent import event

from arbutuscove.fleet import orders
from arbutuscove.kernel import clock as clock_module

# A fraction of a second's orders of one daemon, so that none of them waits for
# the processor until its timeout.
MAX_CONCURRENT_ORDERS = 64


class OrderQueue:
    """Sends orders, those first that let a group serve.

    Attributes:
        finished: when the last order to each VM was answered or given up.
    """

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._waiting: list[tuple[int, int, str, abc.Callable[[], None]]] = []
        self._count = 0
        self._running = 0
        self._pending: collections.Counter[str] = collections.Counter()
        self._idle = event.Event()
        self.finished: dict[str, datetime.timedelta] = {}

    def list_pending(self) -> frozenset[str]:
        """Returns the VMs whose order waits or is on its way."""
        return frozenset(self._pending)

    def submit(self, order: orders.Order, send: abc.Callable[[], None]) -> None:
        """Sends an order as soon as no more urgent one waits.

        Args:
            order: the order.
            send: sends it and records its outcome.
        """
        self._count += 1
        name = order.vm.name
        self._pending[name] += 1
        self._idle.clear()
        heapq.heappush(self._waiting, (_rank(order), self._count, name, send))
        if self._running < MAX_CONCURRENT_ORDERS:
            self._running += 1
            gevent.spawn(self._work)

    def wait(self, timeout: datetime.timedelta) -> None:
        """Blocks until all orders have been sent, or `timeout` has passed."""
        if self._pending:
            self._idle.wait(timeout.total_seconds())

    def forget(self, listed: abc.Container[str]) -> None:
        """Forgets the VMs that are no longer listed."""
        for name in [name for name in self.finished if name not in listed]:
            del self.finished[name]

    def _work(self) -> None:
        try:
            while self._waiting:
                _, _, name, send = heapq.heappop(self._waiting)
                try:
                    send()
                except Exception:  # noqa: BLE001 - the others must be sent
                    eliot.write_traceback()
                finally:
                    self._pending[name] -= 1
                    if not self._pending[name]:
                        del self._pending[name]
                    self.finished[name] = self._clock.monotonic()
        finally:
            self._running -= 1
            if not self._pending:
                self._idle.set()


def _rank(order: orders.Order) -> int:
    match order:
        case orders.Open():
            return 0
        case orders.Close() | orders.Leave():
            return 1
        case orders.Join():
            return 2
        case orders.Stage():
            return 3
