"""Recent requests and the steps that each one took, for `explain`.

Kept in memory and bounded; a request's identity begins with the name of the
daemon that took it.
"""

import collections
import dataclasses
import datetime
import uuid

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "journal"
REQUEST_LIMIT = 2000  # requests kept, oldest dropped first
STEP_LIMIT = 50  # steps kept of one request


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One step of a request."""

    time: datetime.datetime
    name: str
    detail: str


class Journal(services.BaseService):
    """Steps of recent requests by request identity."""

    def __init__(self, daemon: str, clock: clock_module.Clock) -> None:
        self._daemon = daemon
        self._clock = clock
        self._steps: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )

    def create_id(self) -> str:
        """Returns the identity of a new request."""
        return f"{self._daemon}.{uuid.uuid4().hex}"

    def record(self, request_id: str, name: str, detail: str = "") -> None:
        """Adds a step to a request."""
        steps = self._steps.setdefault(request_id, [])
        if len(steps) < STEP_LIMIT:
            time = self._clock.now()
            steps.append(Step(time=time, name=name, detail=detail))
        if len(self._steps) > REQUEST_LIMIT:
            self._steps.popitem(last=False)

    def read(self, request_id: str) -> tuple[Step, ...]:
        """Returns the steps of a request; none if it is not kept."""
        return tuple(self._steps.get(request_id, ()))
