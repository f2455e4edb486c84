"""Errors of upstream calls; each states what is known to have run."""

import dataclasses


class UpstreamError(Exception):
    """A call to an upstream failed."""


class UnreachableError(UpstreamError):
    """No valid answer to a status request or an order was received."""


class NotListeningError(UnreachableError):
    """The VM responds, but no engine process listens on the port."""


class NotDispatchedError(UpstreamError):
    """The request never reached the upstream; nothing ran."""


class DispatchUnknownError(UpstreamError):
    """The request may have begun to run."""


class NoMemoryError(UpstreamError):
    """There is no memory for an answer; the request has run."""


class StreamBrokenError(UpstreamError):
    """The connection was lost during a stream; the stream may be resumed."""


class StreamLostError(UpstreamError):
    """The upstream no longer has the stream; it cannot be resumed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderRefused:
    """The engine rejected an order, for example because of a stale epoch."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchRefused:
    """The engine rejected a dispatch with this HTTP status; nothing ran."""

    status: int
