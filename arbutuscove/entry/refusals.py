"""Refusals as HTTP responses."""

import math
import typing

import msgspec
from werkzeug import wrappers

from arbutuscove.admission import work as work_module
from arbutuscove.entry import headers
from arbutuscove.requests import failures

JSON_TYPE = "application/json"


class BadRequestError(Exception):
    """The request is at fault; it was not run."""

    def __init__(self, status: int, code: str, message: str) -> None:
        super().__init__(message)
        self.refusal = work_module.Refusal(
            status=status, code=code, message=message
        )


def build_body(
    refusal: work_module.Refusal, run: failures.RunStatus
) -> dict[str, typing.Any]:
    """Returns the error body in the form of the OpenAI interface."""
    kind = "server_error"
    if refusal.status < 500:
        kind = "invalid_request_error"
    return {
        "error": {
            "message": refusal.message,
            "type": kind,
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
    response.headers.extend(build_fields(refusal, run))
    return response


def build_fields(
    refusal: work_module.Refusal, run: failures.RunStatus
) -> dict[str, str]:
    """Returns the response headers of a refusal."""
    fields = {headers.RUN: run.value}
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after.total_seconds())
        fields[headers.RETRY_AFTER] = str(seconds)
    return fields
