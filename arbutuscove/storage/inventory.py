"""The platform's list of upstream VMs. The list lags and is only a hint."""

import dataclasses
import enum
import typing

import eliot

from arbutuscove.kernel import decoding
from arbutuscove.storage import http

SERVICE_NAME = "inventory"


class InventoryUnavailableError(Exception):
    """The VM list could not be read."""


class VmState(enum.StrEnum):
    """State of a VM as listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One upstream VM as listed by the platform."""

    name: decoding.Name
    address: decoding.Name
    fabric_domain: decoding.Text
    failure_domain: decoding.Text
    accelerators: decoding.Count
    state: VmState = VmState.LIVE


class Inventory(typing.Protocol):
    """Interface of the VM list as used by the rest of the system."""

    def list_vms(self) -> list[Vm]:
        """Returns the live and leaving VMs."""


class HttpInventory:
    """Client of the VM list over HTTP."""

    def __init__(self, address: http.Address) -> None:
        self._client = http.JsonClient(address)

    def list_vms(self) -> list[Vm]:
        """Returns the live and leaving VMs; invalid ones are left out.

        Raises:
            InventoryUnavailableError: the list could not be read.
        """
        try:
            reply = self._client.send("GET", "/vms")
            if reply.status != 200:
                raise InventoryUnavailableError(
                    f"VM list request got status {reply.status}"
                )
            listed = reply.decode(list[typing.Any])
        except http.HttpError as error:
            raise InventoryUnavailableError(str(error)) from error
        vms: list[Vm] = []
        for item in listed:
            try:
                vm = decoding.convert(item, Vm)
                http.Address.parse(vm.address)
            except ValueError as error:
                eliot.log_message("inventory:vm_skipped", reason=str(error))
                continue
            vms.append(vm)
        return vms
