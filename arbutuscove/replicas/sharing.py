"""Divides the reading of VM statuses among the daemons of a cell.

The daemons of a region form cells. In a cell, each VM is read by one daemon,
selected by rendezvous hashing, and the other daemons pull its reports. The
cost per daemon therefore does not grow with the number of daemons. A pull
from a peer costs about as much as 13 status reads, so the cell size depends
on the number of VMs.

Reports are pulled, never pushed. The receiver subtracts the age in the reply
from the time at which it sent its request, so no delay can understate the age
of a report. For an unchanged assignment, only the age and the load are sent.
"""

import dataclasses
import datetime
import math
from collections import abc

import eliot
import msgspec
import xxhash

from arbutuscove.kernel import decoding
from arbutuscove.peers import peer_pb2
from arbutuscove.replicas import model
from arbutuscove.upstreams import protocol

MAX_CELL_SIZE = 8  # members; bounds the pulls of a daemon to 7 per second
# A gRPC exchange took 2.4 ms of processor time at one per second, an HTTP
# status read 0.19 ms (bench.control). The cost of V/c reads and c - 1 pulls is
# minimal at c = sqrt(V * 0.19 / 2.4).
VMS_PER_MEMBER_SQUARED = 13
MAX_STATUS_BYTES = 65536
KV_SCALE = 1000  # fractions are sent as integer thousandths


def choose_cell_size(vms: int) -> int:
    """Returns the number of daemons in a cell.

    Args:
        vms: the number of VMs.

    Example:
        >>> [choose_cell_size(vms) for vms in (6, 50, 200, 5000)]
        [1, 2, 4, 8]
    """
    size = round(math.sqrt(vms / VMS_PER_MEMBER_SQUARED))
    return min(max(size, 1), MAX_CELL_SIZE)


def pick_cell(own: str, names: abc.Iterable[str], size: int) -> list[str]:
    """Returns the other members of the cell of a daemon.

    Args:
        own: the name of the daemon.
        names: the names of all daemons of the region.
        size: the maximum number of members of a cell.

    Example:
        >>> pick_cell("a", ["b", "c"], 3)
        ['b', 'c']
    """
    ordered = sorted({own, *names})
    cell_count = -(-len(ordered) // size)
    cell_index = ordered.index(own) % cell_count
    return [name for name in ordered[cell_index::cell_count] if name != own]


def pick_reader(vm: str, names: abc.Iterable[str]) -> str:
    """Returns the daemon of a cell that reads a VM."""
    return max(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{vm}\0{name}".encode()),
    )


def strip_load(status: protocol.Status) -> protocol.Status:
    """Returns a status without its load, which changes continuously."""
    return dataclasses.replace(status, running=0, queued=0, kv_used=0.0)


class Outbox:
    """The statuses that this process has read, with a number per change.

    The change numbers are valid within one process only. Peers detect by a
    new `process` that the numbers start again.
    """

    def __init__(self, process: str) -> None:
        self._process = process
        self._counter = 0
        self._reports: dict[str, model.StatusReport] = {}
        self._stable: dict[str, protocol.Status] = {}
        self._changes: dict[str, int] = {}

    def add(self, report: model.StatusReport) -> None:
        """Adds a status that was just read."""
        name = report.status.vm
        stable = strip_load(report.status)
        if self._stable.get(name) != stable:
            self._counter += 1
            self._stable[name] = stable
            self._changes[name] = self._counter
        self._reports[name] = report

    def retain(self, names: abc.Container[str]) -> None:
        """Removes the statuses of all VMs except the named ones."""
        for name in [name for name in self._reports if name not in names]:
            del self._reports[name], self._stable[name], self._changes[name]

    def build_reply(
        self,
        request: peer_pb2.ReportsRequest,
        now: datetime.timedelta,
        max_age: datetime.timedelta,
    ) -> peer_pb2.ReportsReply:
        """Builds the reply to a request of a peer.

        A report includes the full status only if the status has changed since
        the change number `after` of the request; otherwise only age and load.

        Args:
            request: the request.
            now: the monotonic time.
            max_age: older reports are omitted.
        """
        after = request.after if request.process == self._process else 0
        reply = peer_pb2.ReportsReply(
            process=self._process, counter=self._counter
        )
        for name, report in self._reports.items():
            age = now - report.requested_at
            if age > max_age:
                continue
            body = b""
            if self._changes[name] > after:
                body = msgspec.json.encode(self._stable[name])
            reply.reports.add(
                vm=name,
                # Rounded up, so that the age is never understated.
                age_ms=int(age / datetime.timedelta(milliseconds=1)) + 1,
                status=body,
                running=report.status.running,
                queued=report.status.queued,
                kv_used=round(report.status.kv_used * KV_SCALE),
            )
        return reply


_DECODER = decoding.JsonDecoder[protocol.Status](
    protocol.Status, MAX_STATUS_BYTES
)


class Inbox:
    """The statuses that one peer has sent, to complete later replies."""

    def __init__(self) -> None:
        self._process = ""
        self._counter = 0
        self._stable: dict[str, protocol.Status] = {}

    def build_request(self) -> peer_pb2.ReportsRequest:
        """Builds the next request to this peer."""
        return peer_pb2.ReportsRequest(
            process=self._process, after=self._counter
        )

    def read_reply(
        self, reply: peer_pb2.ReportsReply, sent_at: datetime.timedelta
    ) -> list[model.StatusReport]:
        """Returns the reports in a reply.

        Args:
            reply: the reply of the peer.
            sent_at: the monotonic time at which the request was sent.
        """
        if reply.process != self._process:
            self._stable.clear()
        self._process, self._counter = reply.process, reply.counter
        decoded = []
        for entry in reply.reports:
            if entry.status:
                # Later entries of this VM complete only the newest status.
                self._stable.pop(entry.vm, None)
                try:
                    self._stable[entry.vm] = _DECODER.decode(entry.status)
                except decoding.DecodingError as error:
                    eliot.log_message(
                        "board:report_skipped", vm=entry.vm, reason=str(error)
                    )
            stable = self._stable.get(entry.vm)
            if stable is None:
                continue
            status = dataclasses.replace(
                stable,
                running=entry.running,
                queued=entry.queued,
                kv_used=entry.kv_used / KV_SCALE,
            )
            age = datetime.timedelta(milliseconds=entry.age_ms)
            decoded.append(
                model.StatusReport(status=status, requested_at=sent_at - age)
            )
        return decoded
