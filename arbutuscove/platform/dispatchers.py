"""The daemons that callers are sent to.

`balancing.scarcity` chooses these *dispatchers* among the live daemons; callers
of a failure domain get the addresses of those in their domain.
"""

import datetime
import random
from collections import abc

import eliot

from arbutuscove.balancing import scarcity
from arbutuscove.gossip import digest
from arbutuscove.gossip import service as gossip_service
from arbutuscove.kernel import clock as clock_module
from arbutuscove.observe import metrics as metrics_module
from arbutuscove.paths import preference

# With at least this number of daemons in their failure domain, callers get no
# addresses in other domains.
MIN_NEAR_DAEMONS = 4
# Heartbeats change which daemons are live no faster; a choice costs about a
# microsecond for each of them.
MAX_AGE = datetime.timedelta(milliseconds=500)


class Dispatchers:
    """Chooses the dispatchers, as this daemon sees them.

    `accepts_callers` tells whether this daemon itself accepts callers, and
    `count_slots` how many slots all backends have.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        gossip: gossip_service.Gossip,
        generator: random.Random,
        metrics: metrics_module.Metrics,
        accepts_callers: abc.Callable[[], bool],
        count_slots: abc.Callable[[], int],
    ) -> None:
        self._clock = clock
        self._gossip = gossip
        self._generator = generator
        self._metrics = metrics
        self._accepts_callers = accepts_callers
        self._count_slots = count_slots
        self._names: tuple[str, ...] = ()
        self._read_at: datetime.timedelta | None = None

    def get_names(self) -> tuple[str, ...]:
        """Returns the names of the dispatchers, by failure domain."""
        now = self._clock.monotonic()
        if self._read_at is not None and now - self._read_at < MAX_AGE:
            return self._names
        self._read_at = now
        accepting = self._list_accepting()
        names = tuple(heartbeat.name for heartbeat in self._choose(accepting))
        if names != self._names:
            is_own = self._gossip.get_own().name in names
            eliot.log_message(
                "scarcity:dispatchers",
                count=len(names),
                accepting=len(accepting),
                is_own=is_own,
            )
            self._metrics.dispatchers.set({}, len(names))
            self._metrics.is_dispatcher.set({}, int(is_own))
        self._names = names
        return names

    def list_addresses(self, domain: str, limit: int) -> list[str]:
        """Returns addresses to which callers of a failure domain may connect.

        Callers stay in their domain while it has enough daemons that each
        caller still has others when some fail.

        Args:
            domain: the callers' failure domain; any other name is allowed.
            limit: largest number of addresses.
        """
        heartbeats = self._list_accepting()
        near = [
            heartbeat
            for heartbeat in heartbeats
            if heartbeat.failure_domain == domain
        ]
        is_near = len(near) >= MIN_NEAR_DAEMONS
        addresses = sorted(
            heartbeat.callers
            for heartbeat in self._choose(heartbeats)
            if not is_near or heartbeat.failure_domain == domain
        )
        # Each answer is a random sample, so that all daemons get callers.
        return self._generator.sample(addresses, min(limit, len(addresses)))

    def _list_accepting(self) -> list[digest.Heartbeat]:
        """Returns the heartbeats of the daemons that accept callers."""
        heartbeats = [
            heartbeat
            for heartbeat in self._gossip.get_live()
            if heartbeat.callers and heartbeat.ready and not heartbeat.leaving
        ]
        if self._accepts_callers():
            heartbeats.append(self._gossip.get_own())
        return preference.prefer_reaching(heartbeats)

    def _choose(
        self, heartbeats: abc.Iterable[digest.Heartbeat]
    ) -> list[digest.Heartbeat]:
        by_daemon = {
            scarcity.Daemon(
                failure_domain=heartbeat.failure_domain,
                name=heartbeat.name,
                millicores=heartbeat.capacity,
            ): heartbeat
            for heartbeat in heartbeats
        }
        chosen = scarcity.choose_dispatchers(by_daemon, self._count_slots())
        return [by_daemon[daemon] for daemon in chosen]
