"""What other daemons lend to this one, for each service and model.

It feeds `balancing.loans` with the demands of the daemons, as this one knows
them.
"""

import copy
import datetime
from collections import abc

from arbutuscove.balancing import loans
from arbutuscove.kernel import clock as clock_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import model
from arbutuscove.relay import placement

PoolKey = backends_module.PoolKey


class Lending:
    """The loans of each service and model."""

    def __init__(self, clock: clock_module.Clock) -> None:
        self._clock = clock
        self._histories: dict[PoolKey, loans.DemandHistory] = {}
        self._loans: dict[PoolKey, loans.Loan] = {}
        self._updated_at: dict[PoolKey, datetime.timedelta] = {}

    def copy(self) -> "Lending":
        """Returns the same loans, which change apart from these."""
        copied = Lending(self._clock)
        copied._histories = copy.deepcopy(self._histories)
        copied._loans = self._loans.copy()
        copied._updated_at = self._updated_at.copy()
        return copied

    def get(self, pool: PoolKey) -> loans.Loan:
        """Returns what this daemon may use beside its own places."""
        return self._loans.get(pool, loans.NO_LOAN)

    def update(
        self,
        pool: PoolKey,
        backends: abc.Sequence[model.Backend],
        requests: int,
        loads: placement.PeerLoads,
    ) -> None:
        """Updates the loan of a service and model.

        Args:
            pool: service and model.
            backends: the usable backends of the pool.
            requests: this daemon's requests of the pool that run or wait.
            loads: requests of the other daemons.
        """
        if loads.own not in loads.dispatchers:
            self._loans.pop(pool, None)
            return
        now = self._clock.monotonic()
        history = self._histories.setdefault(pool, loans.DemandHistory())
        lasting = history.record(requests, now)
        updated_at = self._updated_at.get(pool)
        if updated_at is not None and now - updated_at < loans.SAMPLE_INTERVAL:
            return
        self._updated_at[pool] = now
        slots = sum(backend.slots for backend in backends)
        places = slots / len(loads.dispatchers)
        self._loans[pool] = loans.compute_loan(
            loans.Demand(requests=lasting, places=places),
            _list_demands(pool, backends, places, loads),
        )


def _list_demands(
    pool: PoolKey,
    backends: abc.Sequence[model.Backend],
    places: float,
    loads: placement.PeerLoads,
) -> abc.Iterator[loans.Demand]:
    """Yields the demands of the other daemons for a service and model.

    Only dispatchers own places; of the others, those with requests count.
    """
    numbers = {backend.key[1] for backend in backends}
    owners = set(loads.dispatchers)
    idle = placement.DaemonLoad(running={})
    for name in (owners | loads.by_daemon.keys()) - {loads.own}:
        load = loads.by_daemon.get(name, idle)
        running = sum(
            count for number, count in load.running.items() if number in numbers
        )
        yield loans.Demand(
            requests=running + load.waiting.get(pool, 0),
            places=places if name in owners else 0.0,
        )
