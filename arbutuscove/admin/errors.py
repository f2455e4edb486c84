"""Errors of administration calls, with their HTTP status."""

import typing


class AdminError(Exception):
    """An administration call was rejected or failed.

    Attributes:
        status: HTTP status of the response.
        code: Reason code of the problem.
        details: JSON value with further information, or None.
    """

    def __init__(
        self, status: int, code: str, message: str, details: typing.Any = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.details = details
