"""Which daemons follow the operator's table, and for whom.

The holder of the group duty, and the reader of each failure domain with its
deputy, read the list of VMs for all daemons. They also follow the operator's
table and send what has changed; the others are *covered* and keep no call of
their own pending.
"""

import datetime
from collections import abc

from arbutuscove.gossip import digest
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module

# Time in which a daemon that starts hears of the readers. Without it, each
# daemon of a fleet that starts would follow the table until the next change.
DISCOVERY_TIME = datetime.timedelta(milliseconds=1500)


class Coverage:
    """Whether peers follow the operator's table for this daemon.

    The daemons that read the list of VMs for others also follow that table.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        gossip: gossip_service.Gossip,
        is_lease_holder: abc.Callable[[], bool],
        hears_updates: abc.Callable[[], bool],
    ) -> None:
        """Creates the state of one daemon.

        Args:
            clock: the clock.
            gossip: sends updates and knows the readers.
            is_lease_holder: whether this daemon reads the list for all.
            hears_updates: whether an update of the list came lately.
        """
        self._clock = clock
        self._started = clock.monotonic()
        self._gossip = gossip
        self._is_lease_holder = is_lease_holder
        self._hears_updates = hears_updates

    def is_covered(self) -> bool:
        """Returns whether this daemon needs no feed of its own."""
        age = self._clock.monotonic() - self._started
        if age < DISCOVERY_TIME and not self._is_lease_holder():
            return True
        return self._hears_updates() and not self._is_source()

    def send(self, update: digest.OperatorUpdate) -> None:
        """Sends what this daemon has read, if peers rely on it."""
        if self._is_source():
            self._gossip.send_operator_update(
                update, to_all=self._is_lease_holder()
            )

    def forward(self, update: digest.OperatorUpdate) -> None:
        """Sends an update to the daemons of this failure domain."""
        self._gossip.forward_operator_update(update)

    def _is_source(self) -> bool:
        return (
            self._is_lease_holder()
            or self._gossip.is_reader()
            or self._gossip.is_deputy()
        )
