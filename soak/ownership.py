"""Which connections belong to given processes, seen from outside of them."""

from collections import abc

import gevent
import psutil
from gevent import lock

from arbutuscove.standins import forwarder


class Owners:
    """Processes whose connections are looked up.

    A list of connections takes long, as the kernel shows those of all processes
    at once. Calls that wait at the same time share one that begins after them.
    """

    def __init__(self, list_pids: abc.Callable[[], list[int]]) -> None:
        """Creates an object.

        Args:
            list_pids: returns the ids of the processes.
        """
        self._list_pids = list_pids
        self._lock = lock.Semaphore()
        self._list_count = 0
        self._owned: frozenset[forwarder.Ends] = frozenset()

    def find_owned(
        self, connections: abc.Set[forwarder.Ends]
    ) -> abc.Set[forwarder.Ends]:
        """Returns those of the connections that the processes opened."""
        if not connections:
            return frozenset()
        list_count = self._list_count
        with self._lock:
            if self._list_count == list_count:
                self._list_count += 1
                self._owned = gevent.get_hub().threadpool.apply(
                    _list_connections, (self._list_pids(),)
                )
            return self._owned & connections


def _list_connections(pids: list[int]) -> frozenset[forwarder.Ends]:
    owned: set[forwarder.Ends] = set()
    for pid in pids:
        try:
            connections = psutil.Process(pid).net_connections(kind="tcp4")
        except psutil.NoSuchProcess:
            continue
        owned |= {
            ((*item.laddr,), (*item.raddr,))
            for item in connections
            if item.raddr
        }
    return frozenset(owned)
