"""Heads of upstreams' responses, and the codec that a dialect provides."""

import dataclasses
import datetime
import typing

from arbutuscove.fleet import notices
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.transport import connection


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """The head of an upstream's response.

    Attributes:
        status: HTTP status.
        fields: the headers to forward.
        is_matching: whether it may answer the request that was sent.
        is_named: whether it names the request that was sent.
        is_signed: whether it carries an upstream's signature.
        not_run: whether the upstream did not run the request.
        is_busy: whether the upstream had no capacity for the request.
        load: the load that the engine reports, None if it reports none.
        notice: what the upstream says about itself.
    """

    status: int
    fields: model.Fields
    is_matching: bool
    is_named: bool
    is_signed: bool
    not_run: bool
    is_busy: bool
    load: occupancy.EngineLoad | None = None
    notice: notices.Notice = notices.Notice()


class Codec(typing.Protocol):
    """Encodes requests to upstreams and decodes the heads of responses."""

    def encode(
        self,
        request: model.Request,
        backend: model.Backend,
        left: datetime.timedelta,
        last_event: str,
    ) -> bytes:
        """Returns the encoded request.

        Args:
            request: the request.
            backend: the backend that the request is sent to.
            left: time left to the deadline.
            last_event: id of the event after which a stream resumes, or empty.
        """

    def read_reply(
        self, request: model.Request, parser: connection.ResponseParser
    ) -> Reply:
        """Returns the head of a response."""
