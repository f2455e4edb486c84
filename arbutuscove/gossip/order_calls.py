"""Messages by which a daemon has another one send an order to a VM."""

import enum

import msgspec

from arbutuscove.fleet import model
from arbutuscove.fleet import orders
from arbutuscove.kernel import decoding
from arbutuscove.storage import http

MAX_MEMBERS = 1024  # of a group; a call with more would not fit a datagram
PENDING = "pending"


class Operation(enum.StrEnum):
    """Kind of an order."""

    JOIN = "join"
    OPEN = "open"
    CLOSE = "close"
    LEAVE = "leave"
    STAGE = "stage"


class OrderCall(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="order"
):
    """Asks a daemon to send an order.

    The outcome is sent to `ip`, with `number`, which is unique in the process
    of the sender. `fence` and `accepted` go with the order, so that a call that
    arrives late, or twice, has no further effect. The fields after `operation`
    are those of the VM and of the order.
    """

    sender: decoding.Text
    ip: decoding.Ipv4Address
    number: decoding.Count
    fence: decoding.Count
    accepted: decoding.Count
    operation: Operation
    vm: decoding.Text
    service: decoding.Name
    host: decoding.Ipv4Address
    port: decoding.Count
    failure_domain: decoding.Text
    started_at_ms: decoding.Count
    group: decoding.Name = ""
    epoch: decoding.Count = 0
    model: decoding.Name = ""
    members: tuple[decoding.Text, ...] = ()


class OrderAnswer(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag="outcome"
):
    """The outcome of the order of a call; `PENDING` while there is none."""

    sender: decoding.Text
    number: decoding.Count
    outcome: decoding.Name


def encode(
    order: orders.Order,
    fence: int,
    accepted: int,
    *,
    sender: str,
    ip: str,
    number: int,
) -> OrderCall:
    """Returns the call for an order.

    Args:
        order: the order.
        fence: the fencing token of the holder of the duty.
        accepted: how many orders the VM must have accepted before.
        sender: name of this daemon.
        ip: IP address of this daemon.
        number: number of the call.
    """
    operation = Operation.STAGE
    match order:
        case orders.Join():
            operation = Operation.JOIN
        case orders.Open():
            operation = Operation.OPEN
        case orders.Close():
            operation = Operation.CLOSE
        case orders.Leave():
            operation = Operation.LEAVE
    vm = order.vm
    return OrderCall(
        sender=sender,
        ip=ip,
        number=number,
        fence=fence,
        accepted=accepted,
        operation=operation,
        vm=vm.name,
        service=vm.service,
        host=vm.address.host,
        port=vm.address.port,
        failure_domain=vm.failure_domain,
        started_at_ms=vm.started_at_ms,
        group=getattr(order, "group", ""),
        epoch=getattr(order, "epoch", 0),
        model=getattr(order, "model", ""),
        members=getattr(order, "members", ()),
    )


def decode_order(call: OrderCall) -> orders.Order:
    """Returns the order of a call."""
    vm = model.Vm(
        name=call.vm,
        service=call.service,
        address=http.Address(call.host, call.port),
        failure_domain=call.failure_domain,
        slots=0,
        started_at_ms=call.started_at_ms,
    )
    match call.operation:
        case Operation.JOIN:
            return orders.Join(
                vm=vm,
                group=call.group,
                epoch=call.epoch,
                model=call.model,
                members=call.members,
            )
        case Operation.OPEN:
            return orders.Open(vm=vm, group=call.group, epoch=call.epoch)
        case Operation.CLOSE:
            return orders.Close(vm=vm, group=call.group, epoch=call.epoch)
        case Operation.LEAVE:
            return orders.Leave(vm=vm, group=call.group, epoch=call.epoch)
        case Operation.STAGE:
            return orders.Stage(vm=vm, model=call.model)


def decode_outcome(answer: OrderAnswer) -> orders.Outcome | None:
    """Returns the outcome in an answer, None while it is pending."""
    if answer.outcome == PENDING:
        return None
    try:
        return orders.Outcome(answer.outcome)
    except ValueError:
        # Of a later version.
        return orders.Outcome.UNKNOWN
