"""How a request can end without a whole answer."""

import enum

from arbutuscove.admission import work as work_module


class RunStatus(enum.StrEnum):
    """What is known about whether a request was run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RequestFailedError(Exception):
    """The request got no whole answer; `run` says what is known."""

    def __init__(self, refusal: work_module.Refusal, run: RunStatus) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.run = run
