"""Announcement of a planned stop to callers and peers."""

from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import services
from arbutuscove.platform import listener as listener_module

SERVICE_NAME = "leaving"


class DrainAnnouncer(services.BaseService):
    """Notifies the peers of a drain before the listener drains."""

    def __init__(
        self,
        gossip: gossip_service.Gossip,
        listener: listener_module.Listener,
    ) -> None:
        self._gossip = gossip
        self._listener = listener

    def drain(self) -> None:
        """Announces the drain to callers and peers."""
        self._listener.mark_draining()
        self._gossip.announce_leave()
