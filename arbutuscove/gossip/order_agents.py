"""Which daemon sends an order: the holder of the duty, or an *agent* for it.

Load pattern: all VMs of a fleet get orders within seconds, as it starts or a
failure domain returns. Each order takes a connection of its own, so that those
of one daemon would grow with the number of VMs. Up to a fixed rate the holder
sends orders itself, since that is fastest; the others are spread over the
daemons of the VM's failure domain, which grow in number as the VMs do.
"""

import datetime
import random
from collections import abc

from arbutuscove.admission import rates
from arbutuscove.gossip import digest

OWN_ORDERS_PER_SECOND = 8.0
OWN_BURST = datetime.timedelta(seconds=8)  # at that rate
# An agent that has not answered is asked for no orders for this time.
AVOIDANCE = datetime.timedelta(seconds=4)


class AgentChoice:
    """The choice for the orders of one daemon."""

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._own = rates.TokenBucket(OWN_BURST)
        self._avoided: dict[str, datetime.timedelta] = {}

    def pick(
        self,
        live: abc.Iterable[digest.Heartbeat],
        failure_domain: str,
        service: str,
        now: datetime.timedelta,
    ) -> digest.Heartbeat | None:
        """Returns the agent for an order, None if this daemon sends it.

        Args:
            live: the heartbeats of the other live daemons.
            failure_domain: the failure domain of the VM.
            service: the service of the VM.
            now: monotonic time.
        """
        if self._own.try_acquire(1.0, OWN_ORDERS_PER_SECOND, now):
            return None
        agents = [
            heartbeat
            for heartbeat in live
            if heartbeat.failure_domain == failure_domain
            and heartbeat.sends_orders
            and heartbeat.ready
            and not heartbeat.leaving
            and service not in heartbeat.unreached
            and not self._is_avoided(heartbeat.name, now)
        ]
        return self._generator.choice(agents) if agents else None

    def avoid(self, name: str, now: datetime.timedelta) -> None:
        """Records that an agent has not answered."""
        self._avoided = {
            known: until
            for known, until in self._avoided.items()
            if now < until
        }
        self._avoided[name] = now + AVOIDANCE

    def _is_avoided(self, name: str, now: datetime.timedelta) -> bool:
        until = self._avoided.get(name)
        return until is not None and now < until
