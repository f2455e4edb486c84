"""Errors of the upstream layer; each says what is known to have run."""

import dataclasses


class UpstreamError(Exception):
    """An upstream did not do what was asked."""


class UnreachableError(UpstreamError):
    """A status or order got no valid answer."""


class NotListeningError(UnreachableError):
    """The VM answers but its engine process is gone."""


class NotDispatchedError(UpstreamError):
    """The request never reached the upstream; nothing ran."""


class DispatchUnknownError(UpstreamError):
    """The request may have begun to run."""


class StreamBrokenError(UpstreamError):
    """The connection was lost inside a stream, which may be resumed."""


class StreamLostError(UpstreamError):
    """The upstream no longer has the stream; the rest cannot be had."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OrderRefused:
    """The engine refused an order, for example an old epoch."""

    code: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DispatchRefused:
    """The engine refused a dispatch with this status; nothing ran."""

    status: int
