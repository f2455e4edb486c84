"""HTTP client for orders to model servers and for their status reports."""

import dataclasses
import datetime
import typing
from collections import abc

import eliot
import msgspec

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.crashes import liveness
from arbutuscove.fleet import model
from arbutuscove.fleet import notices as notices_module
from arbutuscove.fleet import orders
from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import decoding
from arbutuscove.paths import connections as connections_module
from arbutuscove.paths import detours
from arbutuscove.paths import errors as path_errors
from arbutuscove.platform import entries
from arbutuscove.platform import headers
from arbutuscove.platform import notices
from arbutuscove.storage import http
from arbutuscove.transport import connection
from arbutuscove.transport import pool

ORDER_TIMEOUT = datetime.timedelta(milliseconds=800)
# The address now belongs to another VM.
ANOTHER_VM_STATUS = 421
# A responsive server answers a status request within some milliseconds.
REPORT_TIMEOUT = datetime.timedelta(milliseconds=300)
MAX_REPORT_BYTES = 65536
# Of the time of a call, the part for a direct connection; the rest is left for
# one through a peer.
DIRECT_TIME_SHARE = 1 / 3
REPORT_PATH = "/report"


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Report:
    sequence: decoding.Count  # orders accepted since the start
    group: entries.Group | None = None
    born: decoding.Count = 0  # start of the VM in Unix milliseconds
    pace: decoding.Amount = 1.0  # above 1 if the VM is slow


_DECODER = decoding.JsonDecoder[_Report](_Report, MAX_REPORT_BYTES)


# Called with the VM that was asked and with its notice.
RecordNotice = abc.Callable[[model.Vm, notices_module.Notice], None]


class TrialClient:
    """Checks whether an upstream answers on a new connection.

    Model servers are asked for their report and the others for their health;
    neither runs anything, and any response is an answer. Without a path to ask
    for, an open connection counts.
    """

    def __init__(
        self,
        catalog: catalog_holder.CatalogHolder,
        clock: clock_module.Clock,
        find_vm: abc.Callable[[str], model.Vm | None] = lambda name: None,
        record_notice: RecordNotice = lambda vm, notice: None,
    ) -> None:
        self._catalog = catalog
        self._clock = clock
        self._find_vm = find_vm
        self._record_notice = record_notice

    def is_answered(
        self,
        service: str,
        opened: connection.Connection,
        timeout: datetime.timedelta,
    ) -> bool:
        """Returns whether the head of a response arrives within a timeout."""
        deadline = self._clock.monotonic() + timeout
        path = self._find_path(service)
        if not path:
            return True
        fields = [("Host", str(opened.address))]
        data = connection.encode_request("GET", path, fields, b"")
        try:
            opened.send("GET", data)
            parser = opened.receive(deadline - self._clock.monotonic())
            while not parser.has_head():
                parser = opened.receive(deadline - self._clock.monotonic())
        except http.NoResponseError:
            return False
        notice = notices.decode(parser)
        # An address says nothing of the VM: only a name does.
        vm = self._find_vm(notice.sender)
        if vm is not None and vm.address == opened.address:
            self._record_notice(vm, notice)
        return True

    def _find_path(self, service: str) -> str:
        catalog = self._catalog.get_current()
        spec = None if catalog is None else catalog.services.get(service)
        if spec is None or spec.engine is not None:
            return REPORT_PATH
        return spec.health_path


class HttpOrderClient:
    """Sends orders and status requests to model servers over HTTP."""

    def __init__(
        self,
        connections: connections_module.UpstreamConnections,
        clock: clock_module.Clock,
        record_notice: RecordNotice = lambda vm, notice: None,
    ) -> None:
        self._connections = connections
        self._clock = clock
        self._record_notice = record_notice
        self._detours = detours.Detours()
        self._silent = detours.SilentVms()

    def send(
        self, order: orders.Order, fence: int, accepted: int
    ) -> orders.Outcome:
        """Sends one order on a new connection.

        Answers to orders name no order, so that on a used connection a copy of
        an earlier answer could be taken for the answer to this one.

        Args:
            order: the order.
            fence: the sender's fencing token.
            accepted: how many orders the VM must have accepted before; it
                rejects the order at another count.
        """
        body = {
            **_encode(order),
            "fence": fence,
            "expected_revision": accepted,
        }
        try:
            status = self._call(
                order.vm,
                "POST",
                "/order",
                msgspec.json.encode(body),
                max_idle_time=pool.NEVER_IDLE,
            )[0]
        except http.RefusedError:
            return orders.Outcome.NOT_LISTENING
        except http.HttpError:
            return orders.Outcome.UNKNOWN
        return _OUTCOMES.get(status, orders.Outcome.REFUSED)

    def read_status(self, vm: model.Vm) -> orders.Status | None:
        """Returns the VM's status, None if it sends no valid report."""
        try:
            status, answer = self._call(
                vm, "GET", REPORT_PATH, b"", REPORT_TIMEOUT
            )
            if status != 200:
                return None
            report = _DECODER.decode(answer)
            membership = entries.convert_group(report.group)
        except (http.HttpError, ValueError) as error:
            eliot.log_message("fleet:no_status", vm=vm.name, reason=str(error))
            return None
        return orders.Status(
            accepted=report.sequence, membership=membership, pace=report.pace
        )

    def probe_liveness(self, vm: model.Vm) -> liveness.Liveness:
        """Determines whether a VM still runs since the start that is known.

        The probe has a connection of its own: an idle one shows only that the
        VM was there when it was used last.
        """
        try:
            status, answer = self._call(
                vm, "GET", REPORT_PATH, b"", REPORT_TIMEOUT, pool.NEVER_IDLE
            )
        except http.RefusedError:
            return liveness.Liveness.DEAD
        except http.HttpError as error:
            eliot.log_message("fleet:undecided", vm=vm.name, reason=str(error))
            return liveness.Liveness.UNKNOWN
        if status == ANOTHER_VM_STATUS:
            return liveness.Liveness.DEAD
        if status != 200:
            return liveness.Liveness.ALIVE
        try:
            report = _DECODER.decode(answer)
        except decoding.DecodingError:
            return liveness.Liveness.UNKNOWN
        if vm.started_at_ms and report.born > vm.started_at_ms:
            return liveness.Liveness.DEAD
        return liveness.Liveness.ALIVE

    def _call(
        self,
        vm: model.Vm,
        method: str,
        target: str,
        body: bytes,
        timeout: datetime.timedelta = ORDER_TIMEOUT,
        max_idle_time: datetime.timedelta = pool.MAX_IDLE_TIME,
    ) -> tuple[int, bytes]:
        deadline = self._clock.monotonic() + timeout
        fields = [
            ("Host", str(vm.address)),
            (headers.EXPECT_INSTANCE, vm.name),
        ]
        if body:
            fields.append(("Content-Type", "application/json"))
        client_connection = self._check_out(vm, timeout, max_idle_time)
        is_direct = client_connection.carrier is None
        try:
            data = connection.encode_request(method, target, fields, body)
            client_connection.send(method, data)
            parser = client_connection.receive(
                deadline - self._clock.monotonic()
            )
            while not parser.is_complete():
                parser = client_connection.receive(
                    deadline - self._clock.monotonic()
                )
            if parser.get_header(headers.REQUEST_ID) or parser.get_header(
                headers.STAMP
            ):
                # A late answer to an earlier request on this connection.
                raise http.NoResponseError("received another request's answer")
        except BaseException as error:
            client_connection.close()
            if isinstance(error, http.HttpError):
                now = self._clock.monotonic()
                self._silent.record_silence(vm.name, is_direct, now)
            raise
        self._silent.record_answer(vm.name, is_direct)
        self._record_notice(vm, notices.decode(parser))
        self._connections.record_answer(vm.service, client_connection)
        self._connections.check_in(
            client_connection, pool.parse_keep_alive_timeout(parser)
        )
        return parser.get_code(), parser.pop_body()

    def _check_out(
        self,
        vm: model.Vm,
        timeout: datetime.timedelta,
        max_idle_time: datetime.timedelta,
    ) -> connection.Connection:
        """Returns a connection to a VM, on a detour if its domain needs one.

        Raises:
            RefusedError: no process listens on the port.
            NotSentError: the VM accepted no connection.
        """
        started = self._clock.monotonic()
        if self._silent.must_take_peer(vm.name, started):
            try:
                return self._connections.check_out_through_peer(
                    vm.service,
                    vm.address,
                    vm.failure_domain,
                    (1 - DIRECT_TIME_SHARE) * timeout,
                    max_idle_time,
                )
            except http.RefusedError:
                raise
            except http.NotSentError:
                # There may be no peer at all.
                self._silent.record_silence(vm.name, False, started)
        is_direct = not self._detours.must_take(vm.failure_domain, started)
        if is_direct:
            now = self._clock.monotonic()
            try:
                opened = self._connections.check_out(
                    vm.service,
                    vm.address,
                    min(DIRECT_TIME_SHARE * timeout, started + timeout - now),
                    max_idle_time,
                    started + timeout,
                )
            except (http.RefusedError, path_errors.NoPathError):
                raise
            except http.NotSentError:
                now = self._clock.monotonic()
                if not self._detours.may_try(vm.failure_domain, now):
                    raise
            else:
                self._log_detour(vm, self._detours.end(vm.failure_domain), "")
                return opened
        opened = self._connections.check_out_through_peer(
            vm.service,
            vm.address,
            vm.failure_domain,
            started + timeout - self._clock.monotonic(),
            max_idle_time,
        )
        if is_direct:
            now = self._clock.monotonic()
            is_new = self._detours.begin(vm.failure_domain, now)
            self._log_detour(vm, is_new, str(opened.carrier))
        return opened

    def _log_detour(self, vm: model.Vm, is_changed: bool, carrier: str) -> None:
        if is_changed:
            eliot.log_message(
                "paths:detour",
                domain=vm.failure_domain,
                service=vm.service,
                carrier=carrier,
            )


_OUTCOMES = {
    200: orders.Outcome.IN_EFFECT,
    202: orders.Outcome.ACCEPTED,
    409: orders.Outcome.STATE_MISMATCH,
    412: orders.Outcome.FENCED,
    ANOTHER_VM_STATUS: orders.Outcome.ANOTHER_VM,
}


def _encode(order: orders.Order) -> dict[str, typing.Any]:
    match order:
        case orders.Join():
            return {
                "operation": "join",
                "group": order.group,
                "epoch": order.epoch,
                "model": order.model,
                "members": order.members,
            }
        case orders.Open():
            return _encode_group_order("open", order)
        case orders.Close():
            return {**_encode_group_order("close", order), "close_mode": "wait"}
        case orders.Leave():
            return _encode_group_order("leave", order)
        case orders.Stage():
            return {"operation": "stage", "model": order.model}


def _encode_group_order(
    operation: str, order: orders.Open | orders.Close | orders.Leave
) -> dict[str, typing.Any]:
    return {
        "operation": operation,
        "group": order.group,
        "epoch": order.epoch,
    }
