"""Requests to the users' servers and the heads of their responses."""

import datetime

from arbutuscove.platform import headers
from arbutuscove.relay import attempt
from arbutuscove.relay import model
from arbutuscove.relay import occupancy
from arbutuscove.transport import connection

# Headers that concern one connection (RFC 9110, section 7.6.1), and the body's
# framing, which each connection has of its own.
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
# Headers that the system sets itself; a caller's values are not passed on.
OWN_FIELDS = frozenset(
    name.lower()
    for name in (
        headers.DEADLINE,
        headers.TENANT,
        headers.EXPECT_INSTANCE,
        headers.EXPECT_VERSION,
        headers.PRIORITY,
        headers.LAST_EVENT,
        "Authorization",
    )
)
# Of an upstream's response, said to this daemon and not to the caller.
INTERNAL_FIELDS = frozenset({headers.LOAD.lower(), "date"})
LOWEST_PRIORITY = 9


def select_fields(
    fields: list[tuple[str, str]], dropped: frozenset[str]
) -> model.Fields:
    """Returns the headers to pass on."""
    named = {
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
        and name.lower() not in named
    )


class HttpCodec:
    """Requests and responses in the users' form."""

    def encode(
        self,
        request: model.Request,
        backend: model.Backend,
        left: datetime.timedelta,
        last_event: str,
    ) -> bytes:
        """Returns the bytes of a request."""
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
            fields.append((headers.LAST_EVENT, last_event))
        return connection.encode_request(
            request.method, request.target, fields, request.body
        )

    def read_reply(
        self, request: model.Request, parser: connection.ResponseParser
    ) -> attempt.Reply:
        """Returns the head of a response.

        Statuses 421 and those with the header for it promise that the request
        did not run.
        """
        status = parser.get_code()
        echoed = parser.get_header(headers.REQUEST_ID)
        # Upstreams repeat the id; only a refusal may lack it. A late copy of an
        # earlier answer must not pass for this one's.
        own = echoed == request.request_id or (echoed is None and status >= 300)
        not_run = (
            parser.get_header(headers.NOT_RUN) is not None or status == 421
        )
        return attempt.Reply(
            status=status,
            fields=select_fields(list(parser.items()), INTERNAL_FIELDS),
            is_matching=own,
            is_signed=parser.get_header(headers.STAMP) is not None,
            not_run=not_run,
            is_busy=not_run and status in (429, 503),
            load=_read_load(parser.get_header(headers.LOAD)),
        )


def _read_load(text: str | None) -> occupancy.EngineLoad | None:
    """Returns an engine's load, None if it is missing or no such numbers."""
    parts = (text or "").split(",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None
    running, waiting, slots = map(int, parts)
    return occupancy.EngineLoad(running=running, waiting=waiting, slots=slots)
