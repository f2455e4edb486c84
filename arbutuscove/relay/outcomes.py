"""How an attempt at one backend fails, by what is known of the request."""

import datetime


class NotRunError(Exception):
    """The upstream did not run the request and never will.

    `is_busy` says that the upstream rejected the request for lack of capacity.
    """

    def __init__(self, reason: str, is_busy: bool = False) -> None:
        super().__init__(reason)
        self.is_busy = is_busy


class UnsentError(NotRunError):
    """The upstream accepted no connection, so that nothing was sent to it.

    It does not count as an attempt of the route, nor as a retry.
    """


class NoPathError(UnsentError):
    """No path leads to the service, after a search; no upstream was reached."""


class QuarantinedError(NotRunError):
    """The request did not run, since requests like it crash upstreams."""

    def __init__(self, retry_after: datetime.timedelta) -> None:
        super().__init__("requests like it crash upstreams")
        self.retry_after = retry_after


class AttemptLostError(Exception):
    """The attempt failed; the upstream may have run the request."""


FailedAttempt = NotRunError | AttemptLostError


class StalledError(AttemptLostError):
    """The backend makes no progress, and another attempt replaces this one."""
