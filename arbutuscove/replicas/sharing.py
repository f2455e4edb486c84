"""Splits the reading of VM statuses among the daemons of a cell.

The daemons of a region form cells. In a cell each VM is read by one daemon,
picked by rendezvous hash, and the others pull its reports. What a daemon
spends so does not grow with the number of daemons. A pull from a peer costs
about as much as 13 status reads, so a cell is as large as its VMs repay.

Reports are pulled, never pushed: the age in an answer is added to the time
since the request was sent, so no delay can make a report look younger.
Unchanged assignments are not sent again, only their age and load.
"""

import dataclasses
import datetime
import math
from collections import abc

import msgspec
import xxhash

from arbutuscove.peers import peer_pb2
from arbutuscove.replicas import model
from arbutuscove.upstreams import protocol

CELL_LIMIT = 8  # members; bounds the pulls of a daemon to 7 a second
# A gRPC exchange took 2.4 ms of processor time at one a second, an HTTP status
# read 0.19 ms (bench.control). V/c reads and c - 1 pulls are cheapest at
# c = sqrt(V * 0.19 / 2.4).
VMS_PER_MEMBER_SQUARED = 13
KV_SCALE = 1000  # fractions travel in thousandths


def choose_cell_size(vms: int) -> int:
    """Returns how many daemons share the reading of so many VMs.

    Example:
        >>> [choose_cell_size(vms) for vms in (6, 50, 200, 5000)]
        [1, 2, 4, 8]
    """
    size = round(math.sqrt(vms / VMS_PER_MEMBER_SQUARED))
    return min(max(size, 1), CELL_LIMIT)


def pick_cell(own: str, names: abc.Iterable[str], size: int) -> list[str]:
    """Returns the members of the cell of `own`, without it.

    Example:
        >>> pick_cell("a", ["b", "c"], 3)
        ['b', 'c']
    """
    ordered = sorted({own, *names})
    cells = -(-len(ordered) // size)
    place = ordered.index(own) % cells
    return [name for name in ordered[place::cells] if name != own]


def pick_reader(vm: str, names: abc.Iterable[str]) -> str:
    """Returns the daemon of a cell that reads a VM."""
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{vm}\0{name}".encode()),
    )


def strip_load(status: protocol.Status) -> protocol.Status:
    """Returns a status without the figures that change all the time."""
    return dataclasses.replace(status, running=0, queued=0, kv_used=0.0)


class Outbox:
    """The statuses that this process read itself, numbered by change."""

    def __init__(self, process: str) -> None:
        self._process = process
        self._counter = 0
        self._seen: dict[str, model.StatusReport] = {}
        self._stable: dict[str, protocol.Status] = {}
        self._changed: dict[str, int] = {}

    def put(self, seen: model.StatusReport) -> None:
        """Takes a status just read."""
        name = seen.status.vm
        stable = strip_load(seen.status)
        if self._stable.get(name) != stable:
            self._counter += 1
            self._stable[name] = stable
            self._changed[name] = self._counter
        self._seen[name] = seen

    def keep(self, names: abc.Container[str]) -> None:
        """Forgets VMs that are no longer listed."""
        for name in [name for name in self._seen if name not in names]:
            del self._seen[name], self._stable[name], self._changed[name]

    def answer(
        self,
        request: peer_pb2.ReportsRequest,
        now: datetime.timedelta,
        oldest: datetime.timedelta,
    ) -> peer_pb2.ReportsReply:
        """Returns reports up to an age, whole if changed since `after`."""
        after = request.after if request.process == self._process else 0
        reply = peer_pb2.ReportsReply(
            process=self._process, counter=self._counter
        )
        for name, seen in self._seen.items():
            age = now - seen.requested_at
            if age > oldest:
                continue
            body = b""
            if self._changed[name] > after:
                body = msgspec.json.encode(self._stable[name])
            reply.reports.add(
                vm=name,
                # Rounded up, so that the age is never understated.
                age_ms=int(age / datetime.timedelta(milliseconds=1)) + 1,
                status=body,
                running=seen.status.running,
                queued=seen.status.queued,
                kv_used=round(seen.status.kv_used * KV_SCALE),
            )
        return reply


class Inbox:
    """What one peer has reported, so that it need not repeat itself."""

    def __init__(self) -> None:
        self._process = ""
        self._counter = 0
        self._stable: dict[str, protocol.Status] = {}

    def request(self) -> peer_pb2.ReportsRequest:
        """Returns the next request to this peer."""
        return peer_pb2.ReportsRequest(
            process=self._process, after=self._counter
        )

    def take(
        self, reply: peer_pb2.ReportsReply, sent: datetime.timedelta
    ) -> list[model.StatusReport]:
        """Returns the reports of an answer to a request sent at a time."""
        if reply.process != self._process:
            self._stable.clear()
        self._process, self._counter = reply.process, reply.counter
        found = []
        for report in reply.reports:
            if report.status:
                self._stable[report.vm] = msgspec.json.decode(
                    report.status, type=protocol.Status
                )
            stable = self._stable.get(report.vm)
            if stable is None:
                continue
            status = dataclasses.replace(
                stable,
                running=report.running,
                queued=report.queued,
                kv_used=report.kv_used / KV_SCALE,
            )
            age = datetime.timedelta(milliseconds=report.age_ms)
            found.append(
                model.StatusReport(status=status, requested_at=sent - age)
            )
        return found
