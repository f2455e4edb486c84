"""What all attempts of a daemon share."""

import datetime
import random
from collections import abc

from arbutuscove.catalog import holder as catalog_holder
from arbutuscove.crashes import tracker
from arbutuscove.fleet import model as fleet_model
from arbutuscove.kernel import clock as clock_module
from arbutuscove.paths import connections as connections_module
from arbutuscove.relay import backends as backends_module
from arbutuscove.relay import model
from arbutuscove.relay import replies
from arbutuscove.relay import stalls
from arbutuscove.relay import waiting

# Longest pause of a healthy engine, as a multiple of the pause between two
# events of a half full engine. A slow engine pauses five times as long and is
# still healthy.
HEALTHY_PAUSE_FACTOR = 8
ZERO = datetime.timedelta()


class AttemptContext:
    """Services that all attempts share.

    `notify_peers`, `probe_members` and `generator` are for the probes of silent
    groups, see `stalls.StallProbes`.
    """

    def __init__(
        self,
        clock: clock_module.Clock,
        catalog: catalog_holder.CatalogHolder,
        request_dispatcher: waiting.RequestDispatcher,
        states: backends_module.BackendStates,
        connections: connections_module.UpstreamConnections,
        codec: replies.Codec,
        notify_peers: abc.Callable[[], None],
        probe_members: abc.Callable[[model.Backend], list[str]],
        generator: random.Random,
        crashes: tracker.CrashTracker[fleet_model.Vm],
    ) -> None:
        self.clock = clock
        self.crashes = crashes
        self.dispatcher = request_dispatcher
        self.states = states
        self.connections = connections
        self.codec = codec
        self._catalog = catalog
        self._stall_probes = stalls.StallProbes(
            clock,
            request_dispatcher,
            states,
            connections,
            notify_peers,
            probe_members,
            generator,
        )

    def get_expected_pause(
        self, service: str, model_name: str
    ) -> datetime.timedelta | None:
        """Returns the pause between events of a half full, healthy engine.

        Returns None if the configuration has no such model.
        """
        catalog = self._catalog.get_current()
        service_spec = (
            None if catalog is None else catalog.services.get(service)
        )
        engine = None if service_spec is None else service_spec.engine
        spec = None if engine is None else engine.find_model(model_name)
        if engine is None or spec is None:
            return None
        step = engine.step_ms + engine.per_request_ms * engine.slots / 2
        milliseconds = max(engine.stride * step * spec.time_factor, 1.0)
        return datetime.timedelta(milliseconds=milliseconds)

    def compute_end(self, request: model.Request) -> datetime.timedelta:
        """Returns when the attempts at a request have to end."""
        return self.dispatcher.shutdown.bound_deadline(request.deadline)

    def get_longest_pause(
        self, service: str, model_name: str
    ) -> datetime.timedelta:
        """Returns the longest pause of a slow, healthy engine; 0 if unknown."""
        expected = self.get_expected_pause(service, model_name)
        return ZERO if expected is None else HEALTHY_PAUSE_FACTOR * expected

    def probe(self, service: str, backend: model.Backend) -> None:
        """Starts a probe of the backend's group if it is silent and due."""
        self._stall_probes.probe(
            service, backend, self.get_longest_pause(service, backend.model)
        )
