"""Steps of recent requests, for the command `explain`.

The journal is a destination of the structured log and keeps the messages that
were logged while a request was processed. It is bounded and kept in memory. A
request's identity begins with the name of the daemon that received it.
"""

import collections
import dataclasses
import datetime
import typing
import uuid

import eliot

from arbutuscove.kernel import clock as clock_module
from arbutuscove.kernel import services

SERVICE_NAME = "journal"
MAX_REQUESTS = 2000  # the oldest is evicted first
# The start message of this action carries the request's identity.
REQUEST_ACTION = "entry:request"
MAX_STEPS_PER_REQUEST = 50  # later steps are dropped
# Fields of every log message that do not describe the request's processing.
LOG_FIELDS = frozenset(
    {
        "action_status",
        "action_type",
        "message_type",
        "process",
        "request_id",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Step:
    """One step in the processing of a request.

    Args:
        time: the wall-clock time.
        name: the type of the log message, or the status of its action.
        detail: the other fields of the message, as `key=value` pairs.
    """

    time: datetime.datetime
    name: str
    detail: str


class Journal(services.BaseService):
    """Records the steps of recent requests by request identity."""

    def __init__(self, daemon: str, clock: clock_module.Clock) -> None:
        self._daemon = daemon
        self._clock = clock
        self._steps: collections.OrderedDict[str, list[Step]] = (
            collections.OrderedDict()
        )
        # Request identities by the identity of the log task.
        self._request_ids: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def start(self, kernel: services.Kernel) -> None:
        """Starts receiving log messages."""
        eliot.add_destinations(self.record_message)

    def stop(self) -> None:
        """Stops receiving log messages."""
        eliot.remove_destination(self.record_message)

    def record_message(self, message: dict[str, typing.Any]) -> None:
        """Records a log message as a step if it belongs to a request."""
        task_id = str(message.get("task_uuid"))
        if message.get("action_type") == REQUEST_ACTION:
            request_id = message.get("request_id")
            if request_id is not None:
                self._request_ids[task_id] = str(request_id)
        elif message.get("message_type") is None:
            return
        request_id = self._request_ids.get(task_id)
        if request_id is None:
            return
        fields = [
            f"{key}={value}"
            for key, value in message.items()
            if key not in LOG_FIELDS
        ]
        name = message.get("message_type") or message.get("action_status")
        self.record_step(request_id, str(name), " ".join(fields))
        if len(self._request_ids) > MAX_REQUESTS:
            self._request_ids.popitem(last=False)

    def create_id(self) -> str:
        """Creates the identity of a new request."""
        return f"{self._daemon}.{uuid.uuid4().hex}"

    def record_step(self, request_id: str, name: str, detail: str = "") -> None:
        """Appends a step to a request, unless it has reached the limit."""
        steps = self._steps.setdefault(request_id, [])
        if len(steps) < MAX_STEPS_PER_REQUEST:
            time = self._clock.now()
            steps.append(Step(time=time, name=name, detail=detail))
        if len(self._steps) > MAX_REQUESTS:
            self._steps.popitem(last=False)

    def get_steps(self, request_id: str) -> tuple[Step, ...]:
        """Returns the steps of a request; none if it is not recorded."""
        return tuple(self._steps.get(request_id, ()))
