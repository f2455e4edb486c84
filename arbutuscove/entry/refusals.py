"""Converts refusals to HTTP responses."""

import datetime
import math
import typing

import msgspec
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.entry import headers
from arbutuscove.requests import failures

JSON_TYPE = "application/json"


class BadRequestError(Exception):
    """A request that was rejected as invalid, before it ran.

    Args:
        status: HTTP status.
        code: reason code.
        message: explanation for the caller.
        retry_after: when the caller may come back; None for no statement.
    """

    def __init__(
        self,
        status: int,
        code: str,
        message: str,
        retry_after: datetime.timedelta | None = None,
    ) -> None:
        super().__init__(message)
        self.refusal = work_module.Refusal(
            status=status, code=code, message=message, retry_after=retry_after
        )


def build_body(
    refusal: work_module.Refusal, run: failures.RunStatus
) -> dict[str, typing.Any]:
    """Returns the error body in the format of the OpenAI API."""
    error_type = "server_error"
    if refusal.status < 500:
        error_type = "invalid_request_error"
    return {
        "error": {
            "message": refusal.message,
            "type": error_type,
            "code": refusal.code,
            "run": run.value,
        }
    }


def build_response(
    refusal: work_module.Refusal, run: failures.RunStatus
) -> wrappers.Response:
    """Returns the response to a refused request."""
    body = msgspec.json.encode(build_body(refusal, run))
    response = wrappers.Response(body, refusal.status, content_type=JSON_TYPE)
    response.headers.extend(build_headers(refusal, run))
    return response


def build_headers(
    refusal: work_module.Refusal, run: failures.RunStatus
) -> dict[str, str]:
    """Returns the HTTP headers of a refusal."""
    fields = {headers.RUN: run.value}
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after.total_seconds())
        fields[headers.RETRY_AFTER] = str(seconds)
    return fields
