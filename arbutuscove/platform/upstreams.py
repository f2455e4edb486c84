"""Codec of requests to upstreams and of the heads of their responses."""

import datetime
import re

from arbutuscove.platform import headers
from arbutuscove.platform import notices
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.relay import replies
from arbutuscove.transport import connection

# Headers that apply to a single connection (RFC 9110, section 7.6.1), among
# them the body's framing, which is chosen anew for each connection.
CONNECTION_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
# Headers that the system itself sets; values from callers are not forwarded.
SYSTEM_FIELDS = frozenset(
    name.lower()
    for name in (
        headers.DEADLINE,
        headers.TENANT,
        headers.EXPECT_INSTANCE,
        headers.EXPECT_VERSION,
        headers.PRIORITY,
        headers.LAST_EVENT_ID,
        "Authorization",
    )
)
# Response headers that are meant for this daemon and not for the caller.
INTERNAL_FIELDS = frozenset({headers.LOAD.lower(), "date"})
LOWEST_PRIORITY = 9
_COUNT = re.compile(" *[0-9]{1,9} *")


def select_fields(
    fields: list[tuple[str, str]], dropped: frozenset[str]
) -> model.Fields:
    """Returns the headers to forward.

    Args:
        fields: all headers of a message.
        dropped: names to leave out, in lower case. Headers of one connection,
            and those that a Connection header names, are left out, too.
    """
    connection_options = {
        name.strip().lower()
        for key, value in fields
        if key.lower() == "connection"
        for name in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in fields
        if name.lower() not in CONNECTION_FIELDS
        and name.lower() not in dropped
        and name.lower() not in connection_options
    )


class HttpCodec:
    """Encodes requests and decodes response heads in the platform's format."""

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
            left: time left to the deadline; sent in whole milliseconds, at
                least 1.
            last_event: id of the event after which a stream resumes, or empty.
        """
        milliseconds = max(1, int(left.total_seconds() * 1000))
        fields = [
            *request.fields,
            (headers.DEADLINE, str(milliseconds)),
            (headers.EXPECT_INSTANCE, backend.vm.name),
        ]
        if request.account is not None:
            fields.append((headers.TENANT, request.account.name))
        if backend.model:
            priority = min(max(request.priority, 0), LOWEST_PRIORITY)
            fields.append((headers.PRIORITY, str(priority)))
        if last_event:
            fields.append((headers.LAST_EVENT_ID, last_event))
        return connection.encode_request(
            request.method, request.target, fields, request.body
        )

    def read_reply(
        self, request: model.Request, parser: connection.ResponseParser
    ) -> replies.Reply:
        """Returns the head of a response.

        A response promises that the request did not run if its status is 421
        or if it has the header X-Not-Run.
        """
        status = parser.get_code()
        echoed = parser.get_header(headers.REQUEST_ID)
        # Upstreams echo the request id; only a refusal, with a status of 300 or
        # above, may lack it. A late copy of an earlier answer must not be
        # accepted as the answer to this request.
        is_named = echoed == request.request_id
        is_matching = is_named or (echoed is None and status >= 300)
        not_run = (
            parser.get_header(headers.NOT_RUN) is not None or status == 421
        )
        return replies.Reply(
            status=status,
            fields=select_fields(list(parser.items()), INTERNAL_FIELDS),
            is_matching=is_matching,
            is_named=is_named,
            is_signed=parser.get_header(headers.STAMP) is not None,
            not_run=not_run,
            is_busy=not_run and status in (429, 503),
            load=_parse_load(parser.get_header(headers.LOAD)),
            notice=notices.decode(parser),
        )


def _parse_load(text: str | None) -> occupancy.EngineLoad | None:
    """Returns an engine's load, None if it is missing or malformed."""
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(map(_COUNT.fullmatch, parts)):
        return None
    running, waiting, slots = map(int, parts)
    return occupancy.EngineLoad(running=running, waiting=waiting, slots=slots)
