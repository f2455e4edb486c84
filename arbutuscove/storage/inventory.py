"""The platform's list of upstream VMs. It lags and is only a hint."""

import dataclasses
import enum
import typing

import msgspec

from arbutuscove.storage import http

SERVICE_NAME = "inventory"


class InventoryUnavailableError(Exception):
    """The VM list could not be read."""


class VmState(enum.StrEnum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """One upstream VM as listed by the platform."""

    name: str
    address: str
    fabric_domain: str
    failure_domain: str
    accelerators: int
    state: VmState = VmState.LIVE


class Inventory(typing.Protocol):
    """What the rest of the system asks of the VM list."""

    def list_vms(self) -> list[Vm]:
        """Returns the live and leaving VMs."""


class HttpInventory:
    """The VM list over its HTTP protocol."""

    def __init__(self, address: http.Address) -> None:
        self._client = http.JsonClient(address)

    def list_vms(self) -> list[Vm]:
        """Returns the live and leaving VMs.

        Raises:
            InventoryUnavailableError: no answer was received.
        """
        try:
            reply = self._client.send("GET", "/vms")
        except http.HttpError as error:
            raise InventoryUnavailableError(str(error)) from error
        if reply.status != 200:
            raise InventoryUnavailableError(f"status {reply.status}")
        return msgspec.convert(reply.json(), list[Vm])
