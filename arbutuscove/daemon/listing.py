"""Services of the upstream addresses that are registered.

The engines of one fabric domain count as one service here, since they share
the network that leads to them; a plain service counts by itself. Connections
of other daemons are carried only to addresses of this list.
"""

import dataclasses
from collections import abc

from arbutuscove.config import model as config_model
from arbutuscove.storage import http
from arbutuscove.storage import inventory as inventory_module

ENGINES_PREFIX = "engines/"
PLAIN_PREFIX = "plain/"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Upstream:
    """One upstream; `fabric_domain` is empty for plain services."""

    address: http.Address
    fabric_domain: str = ""


class UpstreamListing:
    """Finds the service of an address and the upstreams of a service."""

    def __init__(
        self,
        get_vms: abc.Callable[[], abc.Mapping[str, inventory_module.Vm]],
        get_snapshot: abc.Callable[[], config_model.Snapshot],
    ) -> None:
        """Creates the listing.

        Args:
            get_vms: returns the VM list by name; each read is a new mapping.
            get_snapshot: returns the configuration in force.
        """
        self._get_vms = get_vms
        self._get_snapshot = get_snapshot
        self._vms: abc.Mapping[str, inventory_module.Vm] | None = None
        self._snapshot: config_model.Snapshot | None = None
        self._services: dict[http.Address, str] = {}
        self._upstreams: dict[str, list[Upstream]] = {}

    def find_service(self, address: http.Address) -> str | None:
        """Returns the service of an address, None if it is not registered."""
        self._refresh()
        return self._services.get(address)

    def list_upstreams(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service, without VMs that leave."""
        self._refresh()
        return self._upstreams.get(service, [])

    def list_engine_services(self) -> list[str]:
        """Returns the services of the engines, one for each fabric domain."""
        self._refresh()
        return [
            service
            for service in self._upstreams
            if service.startswith(ENGINES_PREFIX)
        ]

    def _refresh(self) -> None:
        vms, snapshot = self._get_vms(), self._get_snapshot()
        if vms is self._vms and snapshot is self._snapshot:
            return
        self._vms, self._snapshot = vms, snapshot
        self._services = {}
        self._upstreams = {}
        for vm in vms.values():
            address = http.Address.parse(vm.address)
            service = name_engine_service(vm.fabric_domain)
            self._services[address] = service
            if vm.state is not inventory_module.VmState.LEAVING:
                self._upstreams.setdefault(service, []).append(
                    Upstream(address=address, fabric_domain=vm.fabric_domain)
                )
        for version in snapshot.services.values():
            plain = version.service.plain
            for text in () if plain is None else plain.addresses:
                address = http.Address.parse(text)
                service = PLAIN_PREFIX + version.service.name
                self._services.setdefault(address, service)
                self._upstreams.setdefault(service, []).append(
                    Upstream(address=address)
                )


def name_engine_service(fabric_domain: str) -> str:
    """Returns the name of the service of a fabric domain's engines.

    Example:
        >>> name_engine_service("fabric-0")
        'engines/fabric-0'
    """
    return ENGINES_PREFIX + fabric_domain
