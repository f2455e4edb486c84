"""Problems of administration calls, with their HTTP status."""

import typing


class AdminError(Exception):
    """A call that cannot be carried out.

    `details` is a JSON value with more about the problem, or None.
    """

    def __init__(
        self, status: int, code: str, message: str, details: typing.Any = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.details = details
