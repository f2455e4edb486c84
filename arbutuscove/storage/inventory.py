"""The platform's list of upstream VMs. The list lags and is only a hint."""

import dataclasses
import enum
import typing

import msgspec

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

    name: str
    address: str
    fabric_domain: str
    failure_domain: str
    accelerators: int
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
        """Returns the live and leaving VMs.

        Raises:
            InventoryUnavailableError: the list could not be read.
        """
        try:
            reply = self._client.send("GET", "/vms")
        except http.HttpError as error:
            raise InventoryUnavailableError(str(error)) from error
        if reply.status != 200:
            raise InventoryUnavailableError(
                f"VM list request got status {reply.status}"
            )
        return msgspec.convert(reply.json(), list[Vm])
