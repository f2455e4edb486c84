"""Errors for requests that the system answers itself, and their log lines."""

import contextlib
import datetime
from collections import abc

import eliot

from arbutuscove.relay import model
from arbutuscove.relay import outcomes

RETRY_AFTER = datetime.timedelta(milliseconds=200)


@contextlib.contextmanager
def correct_refusal(
    request: model.Request, has_lost_attempt: bool
) -> abc.Iterator[None]:
    """Turns a refusal into a failure if an earlier attempt may have run."""
    try:
        yield
    except model.RefusedError as refused:
        if has_lost_attempt:
            raise build_failure(request, 502, str(refused)) from refused
        raise


def build_not_run_refusal(
    request: model.Request,
    error: outcomes.NotRunError,
    has_lost_attempt: bool,
    pause: datetime.timedelta | None = None,
) -> model.RefusedError:
    """Returns the error for a request whose last attempt did not run.

    Args:
        request: the request.
        error: why the last attempt did not run.
        has_lost_attempt: whether an earlier attempt may have run.
        pause: until an upstream accepts requests again, if all have asked for
            a pause.
    """
    if has_lost_attempt:
        return build_failure(request, 502, str(error))
    if isinstance(error, outcomes.QuarantinedError):
        return build_quarantine_refusal(error.retry_after)
    return model.RefusedError(
        model.Refusal(
            status=503,
            code="upstream_busy" if error.is_busy else "upstream_unavailable",
            not_run=True,
            retry_after=pause or RETRY_AFTER,
        )
    )


def build_quarantine_refusal(
    retry_after: datetime.timedelta,
) -> model.RefusedError:
    """Returns the error for a request that would crash its upstream."""
    return model.RefusedError(
        model.Refusal(
            status=503,
            code="request_quarantined",
            not_run=True,
            retry_after=retry_after,
        )
    )


def build_failure(
    request: model.Request, status: int, reason: str
) -> model.RefusedError:
    """Logs a failed request that may have run and returns its error."""
    eliot.log_message(
        "flow:failed",
        request_id=request.request_id,
        status=status,
        reason=reason,
    )
    return model.RefusedError(
        model.Refusal(status=status, code="attempt_lost", not_run=False)
    )


def log_retry(request: model.Request, attempts_made: int, reason: str) -> None:
    """Logs a retry of a request."""
    eliot.log_message(
        "flow:repeat",
        request_id=request.request_id,
        attempts=attempts_made,
        reason=reason,
    )
