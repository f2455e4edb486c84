"""Stand-in for the platform's list of upstream VMs."""

import msgspec
from werkzeug import wrappers

from arbutuscove.standins import server
from arbutuscove.storage import inventory


class InventoryStandin:
    """HTTP interface of a VM list, which tests replace with `PUT /vms`."""

    def __init__(self, vms: list[inventory.Vm]) -> None:
        self._vms = vms

    def build_app(self) -> server.App:
        """Returns the WSGI application."""
        return server.App(
            [("GET", "/vms", self._list), ("PUT", "/vms", self._replace)]
        )

    def _list(self, request: wrappers.Request) -> wrappers.Response:
        return server.respond(self._vms)

    def _replace(self, request: wrappers.Request) -> wrappers.Response:
        self._vms = msgspec.json.decode(
            request.get_data(), type=list[inventory.Vm]
        )
        return server.respond({})
