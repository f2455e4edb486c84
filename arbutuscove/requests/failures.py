"""Failures of requests that end without a complete answer."""

import enum

from arbutuscove.admission import work as work_module


class RunStatus(enum.StrEnum):
    """Whether a request was run."""

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"


class RequestFailedError(Exception):
    """The request got no complete answer; `run` says whether it was run."""

    def __init__(self, refusal: work_module.Refusal, run: RunStatus) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal
        self.run = run
